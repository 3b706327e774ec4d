//! Connections of the HTTP client.

use std::{net, time};

use bytes::Bytes;
use hyper::Method;
use tokio::net as tcp;

use rhubarb_node::client;

/// More than the socket buffers of both ends hold.
const BODY_BYTES: usize = 64 * 1024 * 1024;
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);
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
