//! Servers that write an earlier refusal once more on a kept connection.

use std::time;

use hyper::Method;

use rhubarb_e2e::{call, site};
use rhubarb_fakes::{backend, stutter};

/// Attempts of each plain case.
const ROUNDS: usize = 4;
/// Streams: whether one comes again on the connection on which it was refused depends on which of
/// several connections is free first.
const STREAMS: usize = 12;
/// More requests than one connection carries.
const MANY: usize = 600;
/// Time for which a refused request keeps its connection, in which another one is served.
const REFUSAL_DELAY: time::Duration = time::Duration::from_millis(200);
/// Time after an answer at which its connection is idle.
const IDLE_DELAY: time::Duration = time::Duration::from_millis(20);
/// Time in which a request that was sent reaches the server.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(200);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

// A deployment with one server of each kind, and the proxy in front of the server that `chosen`
// names.
async fn start(
    chosen: impl Fn(&site::Site) -> backend::Backend,
    repeat: stutter::Repeat,
) -> anyhow::Result<(site::Site, stutter::Stutter)> {
    let sizes = site::Sizes { plain: 1, prefill: 1, decode: 1, ..site::Sizes::default() };
    let mut site = site::Site::prepare(sizes).await?;
    let server = chosen(&site);
    let address = server.address().expect("the server has an address");
    let stutter = stutter::Stutter::start(address).await?;
    stutter.set_repeat(repeat);
    let mut row = site::server_row(&server);
    row["address"] = serde_json::json!(stutter.address);
    site.store.put("servers", &server.id, row.to_string());
    site.add_edge().await?;
    site.wait_ready().await?;
    Ok((site, stutter))
}

// Checks that a response is that of `attempt`, which ran once, also a while later: the proxy forwards a
// request after it has repeated a refusal.
async fn check_answered(site: &site::Site, attempt: &str, reply: &call::Reply) {
    let echoed = reply.headers.get("x-attempt-id").and_then(|id| id.to_str().ok());
    assert_eq!(echoed, Some(attempt), "{reply:?}");
    tokio::time::sleep(SETTLE_TIME).await;
    let runs = site.runs(attempt);
    assert!(reply.status == 200 && runs == 1, "{attempt} ran {runs} times: {reply:?}");
}

async fn call(site: &site::Site, path: &str, attempt: &str) -> anyhow::Result<call::Reply> {
    site.edges[0].call(Method::POST, path, attempt, attempt).await
}

// An attempt is refused on two connections, and another one is served on the first of them meanwhile,
// before it comes again.
async fn retry_after_other(repeat: stutter::Repeat) -> anyhow::Result<()> {
    let (site, stutter) = start(|site| site.plain[0].clone(), repeat).await?;
    for number in 0..ROUNDS {
        let (first, second) = (format!("first-{number}"), format!("second-{number}"));
        let refused = stutter.refused();
        stutter.refuse(2, REFUSAL_DELAY);
        let other = async {
            while stutter.refused() < refused + 2 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            call(&site, site::UNSAFE, &second).await
        };
        let (reply, other) = tokio::join!(call(&site, site::UNSAFE, &first), other);
        check_answered(&site, &second, &other?).await;
        check_answered(&site, &first, &reply?).await;
    }
    Ok(())
}

// Guards against a request that ran and is reported as not run: the refusal of its first attempt,
// repeated on the same connection after another request was served there, counted as the answer to
// its retry.
#[tokio::test(flavor = "multi_thread")]
async fn plain_retry() -> anyhow::Result<()> {
    retry_after_other(stutter::Repeat::Refusal).await
}

// The same with a refusal that is repeated twice.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_twice() -> anyhow::Result<()> {
    retry_after_other(stutter::Repeat::RefusalTwice).await
}

// Guards against a stream that runs twice: the refusal of its first run, repeated after the next hold
// on the connection was granted, counted as the answer to its second run.
#[tokio::test(flavor = "multi_thread")]
async fn decode_retry() -> anyhow::Result<()> {
    let (site, stutter) = start(|site| site.decode[0].clone(), stutter::Repeat::Refusal).await?;
    for number in 0..STREAMS {
        let attempt = format!("stream-{number}");
        stutter.refuse(1, time::Duration::ZERO);
        let reply = call(&site, site::STREAM, &attempt).await?;
        check_answered(&site, &attempt, &reply).await;
        assert_eq!(reply.body.as_deref(), Some(site::full_stream().as_str()));
    }
    Ok(())
}

// Sends requests one after another, with `pause` between them. Each is refused once, so that its retry
// uses a connection on which another one was refused; the server repeats that refusal. Returns the
// responses.
async fn after_refusals(
    repeat: stutter::Repeat,
    pause: time::Duration,
) -> anyhow::Result<Vec<call::Reply>> {
    let (site, stutter) = start(|site| site.plain[0].clone(), repeat).await?;
    let mut replies = Vec::new();
    for number in 0..ROUNDS * 4 {
        let attempt = format!("other-{number}");
        stutter.refuse(1, time::Duration::ZERO);
        let reply = call(&site, site::UNSAFE, &attempt).await?;
        let echoed = reply.headers.get("x-attempt-id").and_then(|id| id.to_str().ok());
        assert_eq!(echoed, Some(attempt.as_str()), "{reply:?}");
        // 502 says that it may have run.
        let runs = site.runs(&attempt);
        assert!(runs == 1 || runs == 0 && reply.status == 502, "{runs} runs: {reply:?}");
        replies.push(reply);
        tokio::time::sleep(pause).await;
    }
    assert!(stutter.repeated() > 0, "no refusal was repeated");
    Ok(replies)
}

// Guards against a request that is sent on a connection on which bytes behind the last answer have
// arrived already: they would be taken for its answer.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_behind() -> anyhow::Result<()> {
    for reply in after_refusals(stutter::Repeat::Behind, time::Duration::ZERO).await? {
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    Ok(())
}

// The same with a refusal that arrives while the connection is idle.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_idle() -> anyhow::Result<()> {
    let repeat = stutter::Repeat::Idle(IDLE_DELAY);
    for reply in after_refusals(repeat, IDLE_DELAY * 4).await? {
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    Ok(())
}

// Guards against a request that ran and is reported as not run: a refusal that arrives at the moment at
// which the request is sent.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_meanwhile() -> anyhow::Result<()> {
    for delay_us in [0, 100, 300, 600, 1_000, 2_000] {
        let repeat = stutter::Repeat::Idle(time::Duration::from_micros(delay_us));
        for reply in after_refusals(repeat, time::Duration::ZERO).await? {
            assert!(reply.status == 200 || reply.status == 502, "{reply:?}");
        }
    }
    Ok(())
}

// Guards against a request that ran and is reported as not run: a refusal between head and body of its
// answer.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_inside() -> anyhow::Result<()> {
    for reply in after_refusals(stutter::Repeat::Inside, time::Duration::ZERO).await? {
        assert!(reply.status == 200 || reply.status == 502, "{reply:?}");
    }
    Ok(())
}

// Guards against a new connection for each request, or more than a few: what a connection remembers of
// its exchanges must not keep it from the next one.
#[tokio::test(flavor = "multi_thread")]
async fn connections_reused() -> anyhow::Result<()> {
    let (site, stutter) = start(|site| site.plain[0].clone(), stutter::Repeat::Never).await?;
    for number in 0..MANY {
        let reply = call(&site, site::UNSAFE, &format!("many-{number}")).await?;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert!(stutter.connections() <= MANY / 100, "{} connections", stutter.connections());
    Ok(())
}

// The same for streams, each of which takes a hold on the connection before.
#[tokio::test(flavor = "multi_thread")]
async fn hold_connections() -> anyhow::Result<()> {
    let (site, stutter) = start(|site| site.decode[0].clone(), stutter::Repeat::Never).await?;
    for number in 0..MANY / 4 {
        let reply = call(&site, site::STREAM, &format!("many-{number}")).await?;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert!(stutter.connections() <= MANY / 100, "{} connections", stutter.connections());
    Ok(())
}

// Guards against a prefill that goes on from a repeated refusal of its first attempt, so that what the
// engine read is read again.
#[tokio::test(flavor = "multi_thread")]
async fn prefill_retry() -> anyhow::Result<()> {
    let (site, stutter) = start(|site| site.prefill[0].clone(), stutter::Repeat::Refusal).await?;
    for number in 0..STREAMS {
        let attempt = format!("prefill-{number}");
        stutter.refuse(1, time::Duration::ZERO);
        let reply = call(&site, site::STREAM, &attempt).await?;
        check_answered(&site, &attempt, &reply).await;
        assert_eq!(reply.body.as_deref(), Some(site::full_stream().as_str()));
    }
    assert_eq!(stutter.repeated(), 0, "an attempt came again on its connection");
    Ok(())
}
