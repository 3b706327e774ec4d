//! Switches that make a stand-in misbehave.

use std::{collections, sync, time};

use tokio::sync as lock;

use rhubarb_node::locks;

/// Mode of a stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Works.
    #[default]
    Up,
    /// Answers at once that it is down.
    Down,
    /// Works after a delay.
    Slow,
    /// Does as asked, then closes the connection without an answer.
    Lost,
    /// Loses the answers to writes only.
    LostWrites,
    /// Does nothing until the mode changes.
    Frozen,
    /// Answers every call with an error.
    Failing,
    /// Does as asked and holds its answer back until the mode changes.
    Silent,
}

/// Switches by target: `table`, `objects`, `instances`, `weights` or a server name.
#[derive(Debug, Default)]
pub struct Switches {
    modes: sync::Mutex<collections::BTreeMap<String, Mode>>,
    changed: lock::Notify,
}

const SLOW_BY: time::Duration = time::Duration::from_millis(700);

const MODES: [(&str, Mode); 8] = [
    ("up", Mode::Up),
    ("down", Mode::Down),
    ("slow", Mode::Slow),
    ("lost", Mode::Lost),
    ("lost-writes", Mode::LostWrites),
    ("frozen", Mode::Frozen),
    ("failing", Mode::Failing),
    ("silent", Mode::Silent),
];

/// Reads the name of a mode.
pub fn scan_mode(name: &str) -> Option<Mode> {
    MODES.iter().find(|(known, _)| *known == name).map(|(_, mode)| *mode)
}

impl Switches {
    /// Sets the mode of `target`.
    pub fn set(&self, target: &str, mode: Mode) {
        self.lock().insert(target.to_string(), mode);
        self.changed.notify_waiters();
    }

    /// Mode of `target`.
    pub fn mode(&self, target: &str) -> Mode {
        self.lock().get(target).copied().unwrap_or_default()
    }

    /// Waits while `target` is in one of `modes`.
    pub async fn wait_out(&self, target: &str, modes: &[Mode]) {
        loop {
            let changed = self.changed.notified();
            if !modes.contains(&self.mode(target)) {
                return;
            }
            changed.await;
        }
    }

    /// Delays a call to `target` as its mode says.
    pub async fn delay(&self, target: &str) {
        self.wait_out(target, &[Mode::Frozen]).await;
        if self.mode(target) == Mode::Slow {
            tokio::time::sleep(SLOW_BY).await;
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<String, Mode>> {
        locks::lock(&self.modes)
    }
}
