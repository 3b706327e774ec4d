//! Answers of the fake backend servers.

use std::{net, time};

use bytes::Bytes;
use hyper::{Method, header};

use rhubarb_fakes::{backend, handles, pause};
use rhubarb_node::client;

use backend::Fault;

/// Names and values of request headers.
type Headers<'a> = &'a [(&'a str, &'a str)];

const TIMEOUT: time::Duration = time::Duration::from_secs(5);

async fn start(stage: &str) -> anyhow::Result<(backend::Backend, net::SocketAddr)> {
    let server = backend::Backend::new("i-1", stage, &handles::Handles::default());
    let address = server.serve(net::Ipv4Addr::LOCALHOST.into()).await?;
    Ok((server, address))
}

async fn call(
    address: net::SocketAddr,
    method: Method,
    path: &str,
    headers: Headers<'_>,
) -> anyhow::Result<client::FullResponse> {
    let url = format!("http://{address}{path}");
    let mut request = client::request(method, &url, Bytes::from("{}"))?;
    for (name, value) in headers {
        request.headers_mut().insert(name.parse::<header::HeaderName>()?, value.parse()?);
    }
    Ok(client::Client::new().fetch(request, TIMEOUT).await?)
}

fn text<'a>(reply: &'a client::FullResponse, name: &str) -> &'a str {
    reply.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

#[tokio::test]
async fn echoed_ids() -> anyhow::Result<()> {
    let (server, address) = start("decode").await?;
    let id = ("x-attempt-id", "a1");
    let run = [id];
    let prefill = [id, ("x-stage", "prefill")];
    let gone = [id, ("x-kv-source", "127.0.0.1:1/none")];
    let cases: [(Fault, Headers<'_>, u16, &str); 6] = [
        (Fault::None, &run, 200, ""),
        (Fault::None, &prefill, 200, ""),
        (Fault::None, &gone, 503, "1"),
        (Fault::Sheds, &run, 503, "1"),
        (Fault::Sheds, &prefill, 503, "1"),
        (Fault::Moved, &run, 421, "1"),
    ];
    for (fault, headers, status, not_run) in cases {
        server.set_fault(fault);
        let reply = call(address, Method::POST, "/x", headers).await?;
        assert_eq!(reply.status.as_u16(), status, "{fault:?}");
        assert_eq!(text(&reply, "x-attempt-id"), "a1", "{fault:?} {status}");
        assert_eq!(text(&reply, "x-not-executed"), not_run, "{fault:?} {status}");
        let instance = if status == 421 { "i-other" } else { "" };
        assert_eq!(text(&reply, "x-instance-id"), instance, "{fault:?}");
    }
    server.set_fault(Fault::None);
    let calls = [
        (Method::POST, "/v1/hold-take"),
        (Method::DELETE, "/v1/hold/none"),
        (Method::GET, "/v1/report"),
        (Method::POST, "/v1/order"),
    ];
    for (method, path) in calls {
        let reply = call(address, method, path, &run).await?;
        assert!(!reply.headers.contains_key("x-attempt-id"), "{path}");
    }
    Ok(())
}

#[tokio::test]
async fn foreign_handles() -> anyhow::Result<()> {
    let (server, address) = start("decode").await?;
    for attempt in ["a1", "a2"] {
        let headers = [("x-attempt-id", attempt), ("x-stage", "prefill")];
        call(address, Method::POST, "/x", &headers).await?;
    }
    for (attempt, handle, status) in
        [("a1", "kv-i-1-a1", 200), ("a3", "kv-i-1-a2", 200), ("a4", "kv-i-1-a1", 503)]
    {
        let source = format!("127.0.0.1:1/{handle}");
        let headers = [("x-attempt-id", attempt), ("x-kv-source", source.as_str())];
        let reply = call(address, Method::POST, "/x", &headers).await?;
        assert_eq!(reply.status.as_u16(), status, "{attempt}");
    }
    let foreign = |handle_attempt: &str, attempt: &str, ran| handles::Foreign {
        handle_attempt: handle_attempt.to_string(),
        attempt: attempt.to_string(),
        ran,
    };
    assert_eq!(server.foreign_handles(), [foreign("a2", "a3", true), foreign("a1", "a4", false)]);
    assert_eq!(server.runs().len(), 2, "engines do not check whose handle it is");
    Ok(())
}

#[tokio::test]
async fn leaving_answers() -> anyhow::Result<()> {
    let (server, address) = start("decode").await?;
    let run: Headers<'_> = &[("x-attempt-id", "a1")];
    let prefill: Headers<'_> = &[("x-attempt-id", "a2"), ("x-stage", "prefill")];
    let post = Method::POST;
    let cases = [
        (Fault::None, post.clone(), "/x", run),
        (Fault::None, post.clone(), "/x", prefill),
        (Fault::Sheds, post.clone(), "/x", run),
        (Fault::Moved, post.clone(), "/x", run),
        (Fault::None, post.clone(), "/v1/hold-take", &[]),
        (Fault::Full, post.clone(), "/v1/hold-take", &[]),
        (Fault::None, Method::GET, "/v1/report", &[]),
        (Fault::None, post, "/v1/order", &[]),
        (Fault::None, Method::DELETE, "/v1/kv-handle/kv-i-1-a2", &[]),
    ];
    for is_leaving in [false, true] {
        server.set_leaving(is_leaving);
        for (fault, method, path, headers) in cases.clone() {
            server.set_fault(fault);
            let reply = call(address, method, path, headers).await?;
            let expected = if is_leaving { "1" } else { "" };
            assert_eq!(text(&reply, "server-leaving"), expected, "{fault:?} {path}");
        }
    }
    server.set_fault(Fault::None);
    server.restart();
    let reply = call(address, Method::POST, "/x", run).await?;
    assert_eq!(text(&reply, "server-leaving"), "", "another lifetime");
    let arrivals = server.arrivals();
    assert_eq!(arrivals.len(), 2 * cases.len() + 1);
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    for (arrival, (fault, method, path, headers)) in arrivals.iter().zip(&cases) {
        let attempt = headers.first().map_or("", |(_, attempt)| attempt);
        let expected = (method, *path, attempt, 1, *fault == Fault::Moved);
        let target = arrival.target.as_str();
        let seen =
            (&arrival.method, target, arrival.attempt.as_str(), arrival.born, arrival.misdirected);
        assert_eq!(seen, expected);
    }
    assert_eq!(arrivals.last().map(|arrival| arrival.born), Some(2));
    Ok(())
}

#[tokio::test]
async fn pauses() -> anyhow::Result<()> {
    let (server, address) = start("decode").await?;
    let run: Headers<'_> = &[("x-attempt-id", "a1")];
    let prefill: Headers<'_> = &[("x-attempt-id", "a2"), ("x-stage", "prefill")];
    let length = time::Duration::from_millis(1_000);
    server.set_pause(length, None);
    for (path, headers) in
        [("/x", run), ("/x", prefill), ("/v1/hold-take", &[]), ("/v1/order", &[])]
    {
        let reply = call(address, Method::POST, path, headers).await?;
        assert_eq!(reply.status.as_u16(), 503, "{path}");
        assert_eq!(text(&reply, "x-not-executed"), "1", "{path}");
        let seconds: f64 = text(&reply, "retry-after").parse()?;
        assert!(seconds > 0.0 && seconds <= 1.0, "{path}: {seconds}");
    }
    let report = call(address, Method::GET, "/v1/report", &[]).await?;
    assert_eq!(report.status.as_u16(), 200);
    assert_eq!(server.late_arrivals(), 0, "sent before the answer can have been heeded");
    let arrivals = server.arrivals();
    assert_eq!(arrivals.iter().filter(|arrival| arrival.paused_until.is_some()).count(), 4);
    tokio::time::sleep(pause::PAUSE_GRACE + time::Duration::from_millis(50)).await;
    call(address, Method::POST, "/x", run).await?;
    call(address, Method::DELETE, "/v1/hold/none", &[]).await?;
    assert_eq!(server.late_arrivals(), 1);
    tokio::time::sleep(length).await;
    let reply = call(address, Method::POST, "/x", run).await?;
    assert_eq!(reply.status.as_u16(), 200);
    assert_eq!((server.late_arrivals(), server.runs().len()), (1, 1));
    // Values that are no time ask for no pause.
    server.set_pause(length, Some("soon"));
    let reply = call(address, Method::POST, "/x", run).await?;
    assert_eq!((reply.status.as_u16(), text(&reply, "retry-after")), (503, "soon"));
    tokio::time::sleep(pause::PAUSE_GRACE + time::Duration::from_millis(50)).await;
    call(address, Method::POST, "/x", run).await?;
    assert_eq!(server.late_arrivals(), 1);
    Ok(())
}
