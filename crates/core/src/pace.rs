//! How long one plain server takes for its answers, as a multiple of what is usual for its service.

use std::time;

/// Pace of one server: 1 is usual, 2 takes twice the time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    // Mean time of its answers without what the server said to be slow only then, in seconds.
    mean: f64,
    answers: u32,
    // What the server said last of the present, as a multiple of its usual time.
    present: f64,
    present_at: Option<time::Instant>,
}

/// Weight of one answer in the moving average of a server: about forty answers count.
const WEIGHT: f64 = 0.05;
/// Number of answers that count as much as the assumption that a server is like the others. With
/// fewer nothing is told of its speed: one late answer would keep away the requests that show it.
const PRIOR_ANSWERS: f64 = 8.0;
/// Difference from the usual below which servers are alike: the mean of some forty requests of
/// different sizes differs by as much without any difference of the servers.
const DEAD_BAND: f64 = 0.3;
/// Difference from the usual, in seconds, up to which servers are alike: links and the entry's own
/// machine delay an answer by as much.
const LEAST_DIFFERENCE: f64 = 0.01;
/// Time in which what a server said of the present loses most of its meaning: it shares its machine
/// with others, which come and go several times in a second.
const PRESENT_LIFE: time::Duration = time::Duration::from_millis(200);
/// Range of the pace by nature; one outside is a fault of the server, which its outcomes show.
const RANGE: (f64, f64) = (0.2, 5.0);

impl Pace {
    /// Records an answer of an idle slot that took `seconds`, while work took `present` times what
    /// is usual at the server.
    pub fn record(&mut self, seconds: f64, present: f64) {
        let seconds = seconds / present;
        let weight = WEIGHT.max(1.0 / f64::from(self.answers + 1));
        self.mean += weight * (seconds - self.mean);
        self.answers = self.answers.saturating_add(1);
    }

    /// Records that work takes `present` times what is usual at the server.
    pub fn set_present(&mut self, present: f64, now: time::Instant) {
        (self.present, self.present_at) = (present, Some(now));
    }

    /// Expected time of an answer that begins `now`, as a multiple of the service's mean of `usual`
    /// seconds.
    pub fn at(&self, usual: Option<f64>, now: time::Instant) -> f64 {
        self.by_nature(usual) * self.at_present(now)
    }

    // Few answers pull towards the mean of the service.
    fn by_nature(&self, usual: Option<f64>) -> f64 {
        let answers = f64::from(self.answers);
        let Some(usual) = usual.filter(|usual| *usual > 0.0 && answers >= PRIOR_ANSWERS) else {
            return 1.0;
        };
        let own = (self.mean / usual * answers + PRIOR_ANSWERS) / (answers + PRIOR_ANSWERS);
        let is_alike =
            (own - 1.0).abs() < DEAD_BAND || (self.mean - usual).abs() < LEAST_DIFFERENCE;
        if is_alike { 1.0 } else { own.clamp(RANGE.0, RANGE.1) }
    }

    fn at_present(&self, now: time::Instant) -> f64 {
        let Some(at) = self.present_at else { return 1.0 };
        if (self.present - 1.0).abs() < DEAD_BAND {
            return 1.0;
        }
        let age = now.saturating_duration_since(at);
        1.0 + (self.present - 1.0) * (-age.div_duration_f64(PRESENT_LIFE)).exp()
    }
}
