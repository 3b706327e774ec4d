//! Servers whose rows were removed: how the removal reaches entries that did not see it, and until
//! when a server without a row is kept after an outage of the store.

use std::time;

use hyper::Method;

use rhubarb_e2e::{relay, site};
use rhubarb_fakes::store;

/// Time within which a removal reaches all entries, the platform's `contact_ms`.
const CONTACT: time::Duration = time::Duration::from_millis(3_000);
/// Time after the return of the store at which an entry reads it.
const LATE_READ: time::Duration = time::Duration::from_millis(1_200);
/// Time after the last refused call for which a server without a row is kept at most, and a margin.
const KEPT_TIME: time::Duration = time::Duration::from_millis(2_850);
/// Time for which all calls are refused, and after which a removed server gets nothing (`drain_ms`), where
/// that is shorter.
const REFUSED: time::Duration = time::Duration::from_millis(600);
const SHORT_DRAIN: time::Duration = time::Duration::from_millis(2_000);
/// Time after which an outage of the store has been noticed.
const OUTAGE: time::Duration = time::Duration::from_millis(4_000);

// A site of two entries, the second of which reaches the store through a relay.
async fn start() -> anyhow::Result<(site::Site, relay::Relay)> {
    let mut site = site::Site::start(site::Sizes::default()).await?;
    let relay = site.relay_store().await?;
    site.add_edge().await?;
    site.wait_ready().await?;
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    Ok((site, relay))
}

fn cut(relay: &relay::Relay, is_cut: bool) {
    let mode = if is_cut { relay::Mode::Buffer } else { relay::Mode::Forward };
    relay.set_modes(mode, mode);
}

// Checks that an entry sends nothing to the second plain server.
async fn check_removed(site: &site::Site, edge: usize) -> anyhow::Result<()> {
    let before = site.plain[1].requests().len();
    for number in 0..20 {
        let attempt = format!("late-{number}");
        let reply = site.edges[edge].call(Method::POST, site::SAFE, &attempt, "b").await?;
        assert_eq!(reply.status, 200);
    }
    assert_eq!(site.plain[1].requests().len(), before, "{}", site.edges[edge].log());
    Ok(())
}

// Guards against a removed server that an entry uses for good: its peer had started after the removal,
// and passed the rows on without it.
#[tokio::test]
async fn removal_unknown() -> anyhow::Result<()> {
    let (mut site, relay) = start().await?;
    cut(&relay, true);
    site.edges[0].kill();
    site.store.remove("servers", "i-plain-1");
    site.restart_edge(0)?;
    site.wait_ready().await?;
    site.announce(&site.plain[0], "ready");
    tokio::time::sleep(CONTACT).await;
    check_removed(&site, 1).await
}

// Guards against a grace period that begins anew at an entry that reaches the store later than its
// peers after an outage.
#[tokio::test]
async fn late_return() -> anyhow::Result<()> {
    let (site, relay) = start().await?;
    site.store.set_mode(store::Mode::Busy);
    tokio::time::sleep(OUTAGE).await;
    cut(&relay, true);
    site.store.remove("servers", "i-plain-1");
    site.store.set_mode(store::Mode::Up);
    tokio::time::sleep(time::Duration::from_millis(2_000)).await;
    cut(&relay, false);
    tokio::time::sleep(CONTACT - time::Duration::from_millis(2_000)).await;
    check_removed(&site, 1).await
}

// Guards against a removed server that an entry keeps for a grace period of the new era, which began at
// the entry's own late read, though the store had refused no call for long (soak-late-removal).
#[tokio::test]
async fn removed_before_restore() -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 0, ..site::Sizes::default() };
    let mut site = site::Site::prepare(sizes).await?;
    site.store.set_era("1");
    let relay = site.relay_store().await?;
    site.add_edge().await?;
    site.wait_ready().await?;
    site.store.set_mode(store::Mode::Busy);
    tokio::time::sleep(OUTAGE).await;
    site.store.remove("servers", "i-plain-1");
    let copy = site.store.copy();
    site.store.restore(copy);
    site.store.set_mode(store::Mode::Up);
    let back_at = tokio::time::Instant::now();
    cut(&relay, true);
    tokio::time::sleep_until(back_at + LATE_READ).await;
    cut(&relay, false);
    tokio::time::sleep_until(back_at + KEPT_TIME).await;
    check_removed(&site, 0).await
}

// Guards against a removed server that an entry keeps for a grace period, since a few of its calls were
// refused: no row expires in so short a time.
#[tokio::test]
async fn refused_briefly() -> anyhow::Result<()> {
    let mut site = site::Site::start(site::Sizes::default()).await?;
    site.edges[0].edit_settings("drain_ms=3000", "drain_ms=2000")?;
    site.restart_edge(0)?;
    site.wait_ready().await?;
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    site.store.set_mode(store::Mode::Busy);
    tokio::time::sleep(REFUSED).await;
    site.store.set_mode(store::Mode::Up);
    site.store.remove("servers", "i-plain-1");
    tokio::time::sleep(SHORT_DRAIN).await;
    check_removed(&site, 0).await
}
