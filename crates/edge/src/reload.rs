//! Reloads the settings on SIGHUP and after a change.

use std::{sync, time};

use tokio::signal::unix;

use rhubarb_platform::settings;

use crate::edge;

/// Interval between checks for changes without a signal.
const CHECK_PERIOD: time::Duration = time::Duration::from_secs(2);

/// Reloads the settings after each signal and each period; does not return.
pub(crate) async fn run(edge: sync::Arc<edge::Edge>, mut hangups: unix::Signal) {
    loop {
        let is_signalled = tokio::select! {
            signal = hangups.recv() => signal.is_some(),
            () = tokio::time::sleep(CHECK_PERIOD) => false,
        };
        reload(&edge, is_signalled);
    }
}

fn reload(edge: &edge::Edge, is_signalled: bool) {
    let old = edge.settings();
    match settings::load() {
        Ok(new) if new == *old => {
            if is_signalled {
                tracing::info!("edge: settings read again without changes");
            }
        }
        Ok(new) => {
            let kept = keep_addresses(&old, &new);
            if kept != new {
                tracing::warn!("edge: addresses in the settings changed; restart to use them");
            }
            tracing::info!(seeds = ?kept.seeds, "edge: settings read again and in force");
            edge.set_settings(kept);
        }
        Err(err) => tracing::error!(%err, "edge: settings not used, the earlier ones stay"),
    }
}

// The new settings with the addresses that this process is bound to or connected with.
fn keep_addresses(old: &settings::Settings, new: &settings::Settings) -> settings::Settings {
    settings::Settings {
        ip: old.ip,
        frontend_addr: old.frontend_addr,
        ready_addr: old.ready_addr,
        port_range: old.port_range,
        store_addr: old.store_addr,
        ..new.clone()
    }
}
