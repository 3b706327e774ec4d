//! Discovery of peers from the settings and from the instances' rows in the store.

use std::{sync, time};

use rhubarb_core::{stale_rows, stamp};
use rhubarb_node::clock;
use rhubarb_platform::store;

use crate::{edge, eras, peers, uses};

/// Interval between lookups of the instances in the store, before jitter. Entries learn of each
/// other from their peers; the store helps those that know none.
const DISCOVERY_PERIOD: time::Duration = time::Duration::from_secs(300);
/// Longest delay before an entry writes its row again in a new era of the store, so that a large
/// fleet does not write at once.
const MAX_ERA_DELAY: time::Duration = time::Duration::from_secs(10);
/// Interval between attempts to reach the seeds in the settings, which are made while fewer peers
/// are live than there are seeds, and delay after a failed discovery; both before jitter.
const SEED_PERIOD: time::Duration = time::Duration::from_secs(2);
/// Timeout of a call to the store.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

// Rows of instances that may be gone.
#[derive(Debug, Default)]
struct Stale {
    members: stale_rows::StaleRows,
    uses: stale_rows::StaleRows,
}

/// Discovers peers from the addresses in the settings and from the rows of instances in the store;
/// does not return.
pub(crate) async fn discover(edge: sync::Arc<edge::Edge>) {
    tokio::spawn(retry_seeds(edge.clone()));
    let mut stale = Stale::default();
    loop {
        let era = match exchange_addresses(&edge, &mut stale).await {
            Ok(era) => era,
            Err(err) => {
                tracing::info!(%err, "edge: peer discovery through the store failed");
                tokio::time::sleep(clock::jitter(SEED_PERIOD)).await;
                continue;
            }
        };
        tokio::select! {
            () = tokio::time::sleep(clock::jitter(DISCOVERY_PERIOD)) => {}
            // The store may have lost the row.
            () = eras::wait_for_next(&edge, era) => {
                tokio::time::sleep(MAX_ERA_DELAY.mul_f64(rand::random())).await;
            }
        }
    }
}

async fn retry_seeds(edge: sync::Arc<edge::Edge>) {
    loop {
        add_seeds(&edge);
        tokio::time::sleep(clock::jitter(SEED_PERIOD)).await;
    }
}

fn add_seeds(edge: &edge::Edge) {
    let now = clock::now();
    let mut members = edge.members();
    if members.live(now).count() < edge.settings().seeds.len() {
        for ip in &edge.settings().seeds {
            members.add_candidate(*ip, now);
        }
    }
}

// Writes this entry's row and reads those of the others. Returns the era of the store in which the
// row was written.
async fn exchange_addresses(
    edge: &edge::Edge,
    stale: &mut Stale,
) -> Result<stamp::Era, store::StoreError> {
    let ip = edge.settings().ip.to_string();
    let write = store::Write {
        table: store::Table::Members,
        key: &edge.settings().name,
        expected: None,
        value: ip.as_bytes(),
    };
    let mut era = 0;
    if let store::WriteOutcome::Committed(version) = edge.store.write(write, STORE_TIMEOUT).await? {
        era = version.era;
    }
    let rows = edge.store.read_all(store::Table::Members, STORE_TIMEOUT).await?;
    edge.members().record_size(rows.rows.len() as u32);
    peers::update_members(edge);
    let known = add_candidates(edge, rows.rows);
    let is_leader = edge.members().leader(clock::now()).is_none();
    for row in stale.members.update(&known).into_iter().filter(|_| is_leader) {
        let table = store::Table::Members;
        let outcome = edge.store.remove(table, &row.key, row.version, STORE_TIMEOUT).await?;
        tracing::info!(key = row.key, ?outcome, "edge: row of a gone instance removed");
    }
    if is_leader {
        let members = known.into_iter().map(|row| row.key).collect();
        uses::remove_gone(edge, &members, &mut stale.uses).await?;
    }
    Ok(era)
}

// Adds the instances in the store as candidates, and returns their rows.
fn add_candidates(edge: &edge::Edge, rows: Vec<store::Row>) -> Vec<stale_rows::Row> {
    let now = clock::now();
    let mut members = edge.members();
    let mut known = Vec::new();
    for row in rows {
        let text = row.value.and_then(|value| String::from_utf8(value).ok());
        let mut is_live = false;
        match text.map(|text| text.parse()) {
            Some(Ok(ip)) => {
                members.add_candidate(ip, now);
                is_live = ip == edge.settings().ip || members.is_live(ip, now);
            }
            Some(Err(_)) | None => {
                tracing::warn!(key = row.key, "edge: row of an instance is not an IP address");
            }
        }
        known.push(stale_rows::Row { key: row.key, version: row.version, is_live });
    }
    known
}
