//! Watches for a new era of the store, which begins when the store is restored from a copy.

use std::{sync, time};

use rhubarb_core::stamp;
use rhubarb_node::clock;

use crate::edge;

/// Interval between checks for a new era. It costs no call: each response of the store tells its
/// era.
const CHECK_PERIOD: time::Duration = time::Duration::from_millis(250);

/// Logs new eras and responses with an invalid era; does not return.
pub(crate) async fn run(edge: sync::Arc<edge::Edge>) {
    let mut known = edge.store.era();
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        let era = edge.store.era();
        if era != known {
            tracing::warn!(era, known, "edge: store has begun a new era");
            known = era;
        }
        let Some(value) = edge.store.take_invalid_era() else { continue };
        if edge.log_limit().allows("era of the store", clock::now()) {
            tracing::warn!(value, "edge: invalid era of the store ignored; check the store");
        }
    }
}

/// Waits until the store has begun an era after `era`.
pub(crate) async fn wait_for_next(edge: &edge::Edge, era: stamp::Era) {
    while edge.store.era() <= era {
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}
