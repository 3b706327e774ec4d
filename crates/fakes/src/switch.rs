//! Switches that inject faults into the fakes.

use std::{collections, sync, time};

use tokio::sync as lock;

use rhubarb_node::locks;

/// Mode of a fake.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Works normally.
    #[default]
    Up,
    /// Rejects each call at once with status 503.
    Down,
    /// Handles each call after a delay; engines also generate more slowly.
    Slow,
    /// Executes each call, but replies with status 504 in place of the result.
    Lost,
    /// Like `Lost`, for writes only.
    LostWrites,
    /// Does not start to handle a call until the mode changes.
    Frozen,
    /// Rejects each call with status 500.
    Failing,
    /// Executes each call and withholds the response until the mode changes.
    Silent,
    /// An engine sends an error in place of the next token and ends the stream normally.
    Erring,
    /// An engine starts a resumed stream over from its first token.
    StartsOver,
}

/// Modes by target: `table`, `objects`, `instances`, `weights` or a server name.
///
/// Any mode but [`Mode::Up`] for `NAME-closes` makes the engine `NAME` ignore closed connections.
#[derive(Debug, Default)]
pub struct Switches {
    modes: sync::Mutex<collections::BTreeMap<String, Mode>>,
    changed: lock::Notify,
}

const SLOW_DELAY: time::Duration = time::Duration::from_millis(700);

const MODES: [(&str, Mode); 10] = [
    ("up", Mode::Up),
    ("down", Mode::Down),
    ("slow", Mode::Slow),
    ("lost", Mode::Lost),
    ("lost-writes", Mode::LostWrites),
    ("frozen", Mode::Frozen),
    ("failing", Mode::Failing),
    ("silent", Mode::Silent),
    ("erring", Mode::Erring),
    ("starts-over", Mode::StartsOver),
];

/// Parses the name of a mode.
pub fn parse_mode(name: &str) -> Option<Mode> {
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
    pub async fn wait_while(&self, target: &str, modes: &[Mode]) {
        loop {
            let changed = self.changed.notified();
            if !modes.contains(&self.mode(target)) {
                return;
            }
            changed.await;
        }
    }

    /// Delays a call while `target` is frozen, and by `SLOW_DELAY` if it is slow.
    pub async fn delay(&self, target: &str) {
        self.wait_while(target, &[Mode::Frozen]).await;
        if self.mode(target) == Mode::Slow {
            tokio::time::sleep(SLOW_DELAY).await;
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<String, Mode>> {
        locks::lock(&self.modes)
    }
}
