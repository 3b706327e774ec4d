//! Speed of a fake backend server: by nature, in the noise of its neighbours, and after a start.

use std::time;

use rhubarb_node::clock;

/// Speed of one server; alike and without noise unless set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    /// Time that work takes by nature, in percent of what is usual; 0 is usual.
    pub nature: u32,
    /// Whether neighbours on its machine slow it now and then.
    pub is_noisy: bool,
    /// Time after each start in which it is cold.
    pub cold: time::Duration,
}

/// Pace of a server and the start of its process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clock {
    pub(crate) pace: Pace,
    // When the process began; `None` before the first pace.
    started: Option<time::Instant>,
    // When the first neighbour came.
    noise_from: Option<time::Instant>,
}

/// Time that the work on a usual request takes at a server that has a pace.
pub(crate) const WORK: time::Duration = time::Duration::from_millis(10);
/// Interval between neighbours, the part of it in which they slow the server, and how much.
pub const NOISE_PERIOD: time::Duration = time::Duration::from_millis(600);
const NOISE_SHARE: f64 = 0.15;
const NOISE_PERCENT: u32 = 250;
/// Time that work takes at a cold server, in percent of the time when it is warm.
const COLD_PERCENT: u32 = 160;
const USUAL: u32 = 100;

impl Clock {
    /// Sets the pace; the first one is that of a process that has just started.
    pub(crate) fn set(&mut self, pace: Pace) {
        self.pace = pace;
        let now = clock::now();
        self.started.get_or_insert(now);
        self.noise_from.get_or_insert(now);
    }

    /// Begins a new process with the same pace.
    pub(crate) fn restart(&mut self) {
        self.started = Some(clock::now());
    }

    // Time that work takes on this machine now, in percent of what is usual there: what the fourth
    // figure of a load report says.
    fn present(&self) -> u32 {
        let now = clock::now();
        let since = |from: time::Instant| now.saturating_duration_since(from);
        let is_slowed = |from| {
            let phase = since(from).as_nanos() % NOISE_PERIOD.as_nanos();
            phase < NOISE_PERIOD.mul_f64(NOISE_SHARE).as_nanos()
        };
        let mut percent = USUAL;
        if self.pace.is_noisy && self.noise_from.is_some_and(is_slowed) {
            percent = NOISE_PERCENT;
        }
        if self.started.is_some_and(|started| since(started) < self.pace.cold) {
            percent = percent * COLD_PERCENT / USUAL;
        }
        percent
    }

    /// Load report of a server that runs one of six requests; with a fourth figure if it has a pace.
    pub(crate) fn report(&self) -> String {
        match self.pace == Pace::default() {
            true => "1,0,6".to_string(),
            false => format!("1,0,6,{}", self.present()),
        }
    }

    /// Time that work takes now which usually takes `usual`.
    pub(crate) fn time(&self, usual: time::Duration) -> time::Duration {
        let nature = if self.pace.nature == 0 { USUAL } else { self.pace.nature };
        usual * nature * self.present() / (USUAL * USUAL)
    }

    /// Time that the work on a request takes now, which takes none at a server without a pace.
    pub(crate) fn work(&self) -> time::Duration {
        if self.pace == Pace::default() { time::Duration::ZERO } else { self.time(WORK) }
    }
}
