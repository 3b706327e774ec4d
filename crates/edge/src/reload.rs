//! Reads the settings again when they change.

use std::{sync, time};

use tokio::signal::unix;

use rhubarb_platform::settings;

use crate::edge;

/// Settings that change without a signal are noticed within this time.
const PERIOD: time::Duration = time::Duration::from_secs(2);

/// Follows the settings file.
pub(crate) async fn run(edge: sync::Arc<edge::Edge>, mut hangups: unix::Signal) {
    loop {
        let is_told = tokio::select! {
            told = hangups.recv() => told.is_some(),
            () = tokio::time::sleep(PERIOD) => false,
        };
        reload(&edge, is_told);
    }
}

fn reload(edge: &edge::Edge, is_told: bool) {
    let old = edge.settings();
    match settings::load() {
        Ok(new) if new == *old => {
            if is_told {
                tracing::info!("edge: settings read again, nothing new");
            }
        }
        Ok(new) => {
            let is_moved = new.frontend_addr != old.frontend_addr
                || new.ready_addr != old.ready_addr
                || new.ip != old.ip;
            if is_moved {
                tracing::warn!("edge: addresses in the settings changed; restart to use them");
            }
            tracing::info!(seeds = ?new.seeds, "edge: settings read again and in force");
            edge.set_settings(new);
        }
        Err(err) => tracing::error!(%err, "edge: settings not used, the earlier ones stay"),
    }
}
