//! Plain calls through entries, agents and backend servers as separate processes.

use hyper::Method;

use rhubarb_e2e::stack;
use rhubarb_fakes::plain;

#[tokio::test(flavor = "multi_thread")]
async fn request_forwarded() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let headers =
        [("x-custom", "wool"), ("connection", "x-private"), ("x-private", "1"), ("te", "gzip")];
    let path = "/yard-app/lots/7?page=2&all";
    let reply = stack.caller(0).call(Method::PUT, path, &headers, "bales").await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.body);
    let received = reply.json();
    assert_eq!(received["method"], "PUT");
    assert_eq!(received["path"], "/lots/7");
    assert_eq!(received["query"], "page=2&all");
    assert_eq!(received["body"], "bales");
    assert_eq!(received["custom"], "wool");
    assert_eq!(received["connection"], serde_json::Value::Null);
    assert_eq!(received["authorization"], serde_json::Value::Null);
    assert_eq!(reply.header("x-served"), Some("yes"));
    assert_eq!(reply.header("keep-alive"), None);
}

// Guards against a status that is none of the protocol and reaches a caller as an answer (issue 68, MIXED).
#[tokio::test(flavor = "multi_thread")]
async fn odd_status() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    for status in [600, 999] {
        let path = format!("/yard-app/fail?{status}");
        let reply = stack.caller(0).call(Method::GET, &path, &[], "").await.unwrap();
        assert!((500..600).contains(&reply.status), "{status}: {} {}", reply.status, reply.body);
    }
}

// Guards against a call that ran and is said not to have run: by a server that uses the entry's header
// (review case 12, on the older interface).
#[tokio::test(flavor = "multi_thread")]
async fn no_foreign_promise() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    for status in [429, 503] {
        let path = format!("/yard-app/fail?{status}");
        let reply = stack.caller(0).call(Method::POST, &path, &[], "").await.unwrap();
        assert_eq!((reply.status, reply.outcome()), (status, None), "{}", reply.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn large_body() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let size = 3_000_000;
    let path = format!("/yard-app/bytes?{size}");
    let reply = stack.caller(0).call(Method::GET, &path, &[], "").await.unwrap();
    assert_eq!(reply.status, 200);
    assert!(reply.body.as_bytes() == plain::pattern(size), "the body differs");
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_key() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let first = stack.caller(0).confirm("lot-7").await.unwrap();
    let second = stack.caller(1).confirm("lot-7").await.unwrap();
    assert_eq!((first.status, second.status), (200, 200), "{}", second.body);
    assert_eq!(first.body, second.body);
    assert_eq!(stack.runs("lot-7").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_key() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let (first, second) = (stack.caller(0), stack.caller(1));
    let (first, second) =
        tokio::join!(first.confirm_slowly("lot-8", 500), second.confirm_slowly("lot-8", 500));
    let (first, second) = (first.unwrap(), second.unwrap());
    let (ran, other) = if first.status == 200 { (first, second) } else { (second, first) };
    assert_eq!(ran.status, 200, "{}", ran.body);
    assert_eq!((other.status, other.reason().as_str()), (409, "key-running"));
    assert_eq!(other.outcome(), Some("unknown"));
    assert!(other.header("retry-after").is_some());
    assert_eq!(stack.runs("lot-8").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn rejection_reasons() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let caller = stack.caller(0);
    let unauthorized = rhubarb_e2e::caller::Caller::new(stack.entries[0].http, "wrong");
    let get = |path: &'static str| {
        let caller = caller.clone();
        async move { caller.call(Method::GET, path, &[], "").await.unwrap() }
    };
    let post = |path: &'static str, body: &'static str| {
        let caller = caller.clone();
        async move { caller.call(Method::POST, path, &[], body).await.unwrap() }
    };
    let wrong_caller_key = unauthorized.call(Method::GET, "/yard-app/x", &[], "").await.unwrap();
    let invalid_deadline =
        caller.call(Method::GET, "/yard-app/x", &[("rhubarb-deadline-ms", "soon")], "");
    let cases = [
        (wrong_caller_key, 401, "unknown-caller"),
        (get("/nowhere/x").await, 404, "no-service"),
        (get("/v1/completions").await, 405, "bad-method"),
        (post("/v1/completions", "{").await, 400, "bad-request"),
        (post("/v1/completions", r#"{"model":"clip-models"}"#).await, 400, "bad-request"),
        (post("/v1/completions", r#"{"model":"m","prompt":"p"}"#).await, 404, "no-service"),
        (post("/yard-app/confirm", "{}").await, 422, "key-missing"),
        (invalid_deadline.await.unwrap(), 400, "bad-request"),
    ];
    for (reply, status, reason) in cases {
        assert_eq!((reply.status, reply.reason().as_str()), (status, reason), "{}", reply.body);
        assert_eq!(reply.outcome(), Some("not-run"));
        assert!(reply.header("x-request-id").is_some());
    }
}
