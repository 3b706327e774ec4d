//! The client of the platform store over restores from a copy: conditions, feeds and late
//! responses of an earlier era, invalid eras, and transactions in a copy.

use std::{net, time};

use serde_json::json;

use rhubarb_core::stamp;
use rhubarb_fakes::store as fake;
use rhubarb_node::client;
use rhubarb_platform::store;

const TIMEOUT: time::Duration = time::Duration::from_secs(3);
const SLACK: time::Duration = time::Duration::from_millis(500);
const TABLE: store::Table = store::Table::Leases;

async fn start() -> anyhow::Result<(fake::Store, net::SocketAddr, store::Store)> {
    let fake = fake::Store::default();
    let address = fake.serve([127, 0, 0, 1].into()).await?;
    Ok((fake, address, store::Store::new(client::Client::new(), address)))
}

fn write(expected: store::Version) -> store::Write<'static> {
    store::Write { table: TABLE, key: "row", expected: Some(expected), value: b"value" }
}

#[tokio::test]
async fn no_era() -> anyhow::Result<()> {
    let (fake, _, client) = start().await?;
    let version = fake.put("leases", "row", "first");
    let rows = client.read_all(TABLE, TIMEOUT).await?;
    assert_eq!(rows.version, stamp::Stamp::new(0, version));
    let outcome = client.write(write(rows.rows[0].version), TIMEOUT).await?;
    assert!(matches!(outcome, store::WriteOutcome::Committed(written) if written.era == 0));
    Ok(())
}

// Guards against a condition of an earlier era that holds by chance, as the store has given the
// version out again.
#[tokio::test]
async fn condition_of_old_era() -> anyhow::Result<()> {
    let (fake, _, client) = start().await?;
    let copy = fake.copy();
    fake.put("leases", "row", "first");
    let old = client.read_all(TABLE, TIMEOUT).await?.rows[0].version;
    fake.restore(copy.clone());
    assert_eq!(fake.put("leases", "row", "second"), old.version, "given out again");
    // The client learns of the new era by the response to the write.
    let outcome = client.write(write(old), TIMEOUT).await;
    assert!(matches!(outcome, Err(store::StoreError::EraChanged)), "{outcome:?}");
    // Now it knows, and sends nothing.
    fake.restore(copy);
    assert_eq!(fake.put("leases", "row", "third"), old.version);
    client.read_all(TABLE, TIMEOUT).await?;
    let outcome = client.remove(TABLE, "row", old, TIMEOUT).await;
    assert!(matches!(outcome, Err(store::StoreError::EraChanged)), "{outcome:?}");
    assert_eq!(fake.get("leases", "row").as_deref(), Some(b"third".as_slice()));
    Ok(())
}

// Guards against a feed that goes on from a version of an earlier era and misses what the new one
// has before it.
#[tokio::test]
async fn feed_of_old_era() -> anyhow::Result<()> {
    let (fake, _, client) = start().await?;
    let copy = fake.copy();
    fake.put("leases", "row", "first");
    let read = client.read_all(TABLE, TIMEOUT).await?;
    let feed = client.feed(TABLE, read.version, TIMEOUT, SLACK);
    let restore = async {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        fake.restore(copy);
        for _ in 0..3 {
            fake.put("leases", "row", "second");
        }
    };
    let (changes, ()) = tokio::join!(feed, restore);
    assert!(matches!(changes, Err(store::StoreError::EraChanged)), "{changes:?}");
    let calls = fake.calls();
    let changes = client.feed(TABLE, read.version, TIMEOUT, SLACK).await;
    assert!(matches!(changes, Err(store::StoreError::EraChanged)), "{changes:?}");
    assert_eq!(fake.calls(), calls, "not sent");
    Ok(())
}

// Guards against a response of an earlier era that arrives after one of the next.
#[tokio::test]
async fn late_response() -> anyhow::Result<()> {
    let (fake, _, client) = start().await?;
    let copy = fake.copy();
    fake.put("leases", "lost", "value");
    fake.set_mode(fake::Mode::LateReplies);
    let restore = async {
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        fake.restore(copy);
        fake.set_mode(fake::Mode::Up);
        client.read_all(TABLE, TIMEOUT).await
    };
    let (late, read) = tokio::join!(client.read_all(TABLE, TIMEOUT), restore);
    assert!(read?.rows.is_empty());
    assert!(matches!(late, Err(store::StoreError::EraChanged)), "{late:?}");
    assert_eq!(client.era(), 1);
    Ok(())
}

#[tokio::test]
async fn invalid_eras() -> anyhow::Result<()> {
    let (fake, _, client) = start().await?;
    fake.set_era("2");
    client.read_all(TABLE, TIMEOUT).await?;
    let huge = (stamp::MAX_ERA + 1).to_string();
    for era in ["", "-1", "+3", "3.0", "3, 3", "0x3", "99999999999999999999", &huge, "\u{b3}"] {
        fake.set_era(era);
        let rows = client.read_all(TABLE, TIMEOUT).await?;
        assert_eq!((rows.version.era, client.era()), (2, 2), "{era:?}");
        assert!(client.take_invalid_era().is_some(), "{era:?}");
    }
    fake.set_era("3");
    assert_eq!(client.read_all(TABLE, TIMEOUT).await?.version.era, 3);
    assert_eq!(client.take_invalid_era(), None);
    Ok(())
}

// Guards against rows of one stream that count for another: a store may return more than was asked for.
#[tokio::test]
async fn rows_beyond_range() -> anyhow::Result<()> {
    let (fake, _, client) = start().await?;
    for key in ["a", "b.1", "b.2", "b/", "c"] {
        fake.put("streams/0", key, "value");
    }
    for _ in 0..2 {
        let rows = client.read_range(store::Table::Streams, "0", "b.".."b/", TIMEOUT).await?;
        let keys: Vec<_> = rows.rows.iter().map(|row| row.key.as_str()).collect();
        assert_eq!(keys, ["b.1", "b.2"]);
        fake.ignore_ranges();
    }
    Ok(())
}

// A transaction over several rows is in a copy as a whole or not at all.
#[tokio::test(flavor = "multi_thread")]
async fn copy_atomic() -> anyhow::Result<()> {
    let (fake, address, _) = start().await?;
    let url = format!("http://{address}/v1/rows-tx");
    let rows =
        ["a", "b"].map(|key| json!({"table": "leases", "part": "", "key": key, "value": "eA=="}));
    let removed = json!({"table": "leases", "part": "", "key": "c"});
    for _ in 0..50 {
        let before = fake.copy();
        fake.put("leases", "c", "value");
        let transaction = json!({"writes": rows, "remove": [removed]});
        let http = client::Client::new();
        let copy = async {
            tokio::time::sleep(time::Duration::from_micros(rand::random_range(0..2_000))).await;
            fake.copy()
        };
        let (reply, copy) = tokio::join!(http.post_json(&url, &transaction, TIMEOUT), copy);
        assert!(reply?.status.is_success());
        fake.restore(copy);
        let is_written = ["a", "b"].map(|key| fake.get("leases", key).is_some());
        let is_removed = fake.get("leases", "c").is_none();
        assert!(is_written == [is_removed; 2], "{is_written:?}, {is_removed}");
        fake.restore(before);
    }
    Ok(())
}
