//! Requests whose bodies arrive long after their heads.

use std::time;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net as tokio_net,
};

use rhubarb_e2e::{call, site};

/// Time within which a change of the config is in force; with the rest less than the timeout of the route.
const IN_FORCE: time::Duration = time::Duration::from_millis(500);

// Guards against a request that is decided by the config in force when its head was read, while its body
// takes long to arrive.
#[tokio::test]
async fn changed_before_body() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let mut stream = tokio_net::TcpStream::connect(site.edges[0].frontend).await?;
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: slow-body\r\nContent-Length: 2\r\n\r\nb",
        site::SAFE,
        call::HOST
    );
    stream.write_all(head.as_bytes()).await?;
    tokio::time::sleep(IN_FORCE).await;
    let mut config = site.config(2);
    config["routes"].as_array_mut().expect("routes are a list").remove(0);
    site.store.put("op", "config", config.to_string());
    tokio::time::sleep(IN_FORCE).await;
    stream.write_all(b"b").await?;
    let mut reply = [0; 64];
    let length = stream.read(&mut reply).await?;
    let reply = String::from_utf8_lossy(&reply[..length]).into_owned();
    assert!(reply.starts_with("HTTP/1.1 404"), "its route is gone: {reply}");
    assert_eq!(site.runs("slow-body"), 0);
    Ok(())
}
