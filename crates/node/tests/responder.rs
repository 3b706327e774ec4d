//! Streamed responses look complete only if they are.

use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;

use rhubarb_node::{clock, responder, response};

// Sends chunks until the buffer is full; returns the responder and the body of its response.
async fn fill() -> (responder::Responder, response::Body) {
    let (mut responder, receiver) = responder::Responder::new();
    responder.start_stream(Response::new(()));
    let body = receiver.await.unwrap().into_body();
    let until = || clock::now() + time::Duration::from_millis(20);
    while responder.send(Bytes::from_static(b"chunk"), until()).await
        == responder::SendOutcome::Sent
    {}
    (responder, body)
}

// Guards against an answer that is given up while its caller reads slowly, and ends as if it were
// complete.
#[tokio::test]
async fn aborted_when_full() {
    let (mut responder, body) = fill().await;
    responder.abort("given up").await;
    drop(responder);
    assert!(body.collect().await.is_err());
}

// The same for a task that ends without a result.
#[tokio::test]
async fn dropped() {
    let (responder, body) = fill().await;
    drop(responder);
    assert!(body.collect().await.is_err());
}

#[tokio::test]
async fn finished() {
    let (mut responder, body) = fill().await;
    responder.finish();
    assert!(!body.collect().await.unwrap().to_bytes().is_empty());
}
