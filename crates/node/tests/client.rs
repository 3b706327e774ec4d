//! Connections of the HTTP client.

use std::{net, time};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net as tcp,
};

use rhubarb_node::{client, response, server};

/// More than the socket buffers of both ends hold.
const BODY_BYTES: usize = 64 * 1024 * 1024;
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Time for which a server reads nothing.
const PAUSE: time::Duration = time::Duration::from_secs(5);
/// Number of requests that use a port each.
const REQUESTS: usize = 200;
/// Longest time until a connection fails on which the peer takes no more data.
const DETECTION: time::Duration = time::Duration::from_secs(8);

// Guards against requests that wait for their whole timeout on a connection that went silent while
// data was on its way, which keepalive probes do not notice.
#[tokio::test]
async fn silent_peer() {
    let listener = tcp::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    let request = client::request(Method::PUT, &url, Bytes::from(vec![0; BODY_BYTES])).unwrap();
    let start = time::Instant::now();
    let result = client::Client::new().fetch(request, CALL_TIMEOUT).await;
    assert!(matches!(result, Err(client::CallError::Interrupted(_))), "{result:?}");
    assert!(start.elapsed() < DETECTION, "noticed after {:?}", start.elapsed());
}

// Guards against requests cut off at a server on the same machine that reads them late.
#[tokio::test]
async fn paused_server() {
    let listener = tcp::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    let request = client::request(Method::PUT, &url, Bytes::from(vec![0; BODY_BYTES])).unwrap();
    let server = tokio::spawn(async move {
        tokio::time::sleep(PAUSE).await;
        let (mut stream, _) = listener.accept().await.unwrap();
        let (mut left, mut buffer) = (BODY_BYTES, vec![0; 1 << 20]);
        while left > 0 {
            let read = stream.read(&mut buffer).await.unwrap();
            assert!(read > 0, "cut off {left} bytes early");
            left = left.saturating_sub(read);
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.unwrap();
        // The head of the request came before its body, so its last bytes are still to be read.
        while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
    });
    let reply = client::Client::for_local().fetch(request, CALL_TIMEOUT).await.unwrap();
    assert_eq!(reply.status, 200);
    server.await.unwrap();
}

// Guards against a reader of many objects that runs out of local ports: the end that closes first
// keeps its port for a minute.
#[tokio::test(flavor = "multi_thread")]
async fn ports_released() {
    let listener = server::bind((net::Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(server::serve(listener, server::Limits::default(), async |_| {
        response::text(StatusCode::OK, "content")
    }));
    let client = client::Client::single_use();
    for _ in 0..REQUESTS {
        client.get(&format!("http://{address}/"), CALL_TIMEOUT).await.unwrap();
    }
    // Fields of proc(5): remote address and state. State 06 is a closed connection that keeps its
    // port.
    let tcp = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port = format!(":{:04X}", address.port());
    let fields = tcp.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let kept = fields.filter(|fields| fields[2].ends_with(&port) && fields[3] == "06").count();
    assert!(kept < REQUESTS / 2, "{kept} of {REQUESTS} ports are kept");
}
