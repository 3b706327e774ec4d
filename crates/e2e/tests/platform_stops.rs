//! Planned stops and changed settings on the platform.

use std::time;

use hyper::Method;
use rustix::process::Signal;

use rhubarb_e2e::standin;
use rhubarb_fakes::{backend, store};

#[tokio::test]
async fn nothing_cut() -> anyhow::Result<()> {
    let mut site = standin::Site::start(standin::Sizes::default()).await?;
    for plain in &site.plain {
        plain.set_fault(backend::Fault::None);
    }
    let edge = &site.edges[0];
    let call = edge.call(Method::POST, standin::STREAM, "a1", "body");
    let stop = async {
        tokio::time::sleep(time::Duration::from_millis(60)).await;
        edge.signal(Signal::TERM);
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        assert!(!edge.is_ready().await, "the balancer is told at once");
        edge.call(Method::POST, standin::UNSAFE, "a2", "body").await
    };
    let (streamed, late) = tokio::join!(call, stop);
    assert_eq!(streamed?.body, Some(standin::whole_stream()));
    let late = late?;
    assert_eq!((late.status, &late.headers["connection"]), (200, &"close".parse()?));
    let start = time::Instant::now();
    while site.edges[0].exit_code().is_none() {
        assert!(start.elapsed() < time::Duration::from_secs(8), "it does not end in time");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    assert_eq!(site.edges[0].exit_code(), Some(0));
    Ok(())
}

// Found by a hunt (brokerage, mix, seed 107079775830): a request that came while the entry, already
// drained, wrote its last usage record was run and cut off.
#[tokio::test]
async fn taken_last() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    // The last record takes as long as it may, and so do answers.
    site.store.set_mode(store::Mode::Unresponsive);
    for plain in &site.plain {
        plain.set_fault(backend::Fault::Hangs);
    }
    let edge = &site.edges[0];
    edge.signal(Signal::TERM);
    while !edge.log().contains("edge: stopped") {
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
    // Calls on new connections, for longer than the record takes.
    let until = time::Instant::now() + time::Duration::from_millis(400);
    let caller = async |name: &str| {
        for number in 0.. {
            if time::Instant::now() > until {
                break;
            }
            let id = format!("{name}-{number}");
            let reply = edge.call(Method::POST, standin::UNSAFE, &id, "b").await;
            assert!(reply.is_ok() || site.runs(&id) == 0, "{id} ran and was cut off: {reply:?}");
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
    };
    tokio::join!(caller("a"), caller("b"), caller("c"), caller("d"), caller("e"), caller("f"));
    Ok(())
}

#[tokio::test]
async fn settings_again() -> anyhow::Result<()> {
    let mut site = standin::Site::start(standin::Sizes::default()).await?;
    let edge = &site.edges[0];
    edge.edit_settings("contract_params.budget_slack=560", "contract_params.budget_slack=many")?;
    edge.signal(Signal::HUP);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    assert!(edge.log().contains("settings not used"), "{}", edge.log());
    edge.edit_settings("contract_params.budget_slack=many", "contract_params.budget_slack=5")?;
    // Without a signal too.
    tokio::time::sleep(time::Duration::from_millis(2_500)).await;
    assert!(edge.log().contains("settings read again and in force"));
    let reply = edge.call(Method::POST, standin::UNSAFE, "a1", "body").await?;
    assert_eq!(reply.status, 200);
    assert_eq!(site.edges[0].exit_code(), None);
    Ok(())
}
