//! One server of a pool, as an entry knows it.

use std::time;

use crate::{ids, load, outlier, pace, pauses};

/// One server, as an entry knows it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Availability zone of the server.
    pub zone: ids::ZoneName,
    /// Last reported load.
    pub load: load::Load,
    /// When the load report was received.
    pub reported_at: Option<time::Instant>,
    /// Requests sent since the load report, which does not count them yet.
    pub sent: u32,
    /// Work sent since the load report.
    pub sent_work: time::Duration,
    /// Requests of this entry in flight.
    pub open: u32,
    /// Consecutive failures.
    pub failures: u32,
    /// Consecutive ejections.
    pub ejections: u32,
    /// End of its ejection; not chosen before, unless all servers are ejected.
    pub ejected_until: Option<time::Instant>,
    /// Time in which it gets no requests, because it has asked for that.
    pub paused: Option<pauses::Closed>,
    /// Time in which it gets no requests, because this entry's part of its limit is used up.
    pub limited: Option<pauses::Closed>,
    /// Whether another server answers at its address.
    pub misdirected: bool,
    /// Whether it is leaving, as last reported.
    pub leaving: bool,
    /// Whether the platform's list says that it is leaving; load reports do not change it.
    pub listed_leaving: bool,
    /// Process of its agent that said that it is leaving, which that process never takes back.
    pub leaver: Option<ids::Incarnation>,
    /// Rate of failures among its own answers to requests.
    pub failure_rate: outlier::FailureRate,
    /// Time that its answers take beside those of the others.
    pub pace: pace::Pace,
}

/// Maximum number of times that the length of an ejection doubles.
const MAX_DOUBLINGS: u32 = 3;
/// Score of a server whose slots are all taken.
const SCALE: u64 = 1000;
/// Added to all scores by time, so that those of fast servers are not below zero, in scales.
const FASTEST_ALLOWANCE: f64 = 1.0;
/// Pending work that scores as much as a server whose slots are all taken.
const WORK_SCALE_MS: u64 = 1000;

impl Server {
    /// Creates a server in `zone` of which nothing is known yet.
    pub(crate) fn new(zone: &str) -> Server {
        Server {
            zone: zone.to_string(),
            load: load::Load::default(),
            reported_at: None,
            sent: 0,
            sent_work: time::Duration::ZERO,
            open: 0,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            paused: None,
            limited: None,
            misdirected: false,
            leaving: false,
            listed_leaving: false,
            leaver: None,
            failure_rate: outlier::FailureRate::default(),
            pace: pace::Pace::default(),
        }
    }

    /// Whether the server is leaving, as its agent or the platform says.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.listed_leaving
    }

    /// Whether the server goes on serving at its address.
    pub(crate) fn is_staying(&self) -> bool {
        !self.is_leaving() && !self.misdirected
    }

    /// Whether new work may be sent to the server, which stays and has neither asked for a pause nor
    /// for fewer requests.
    pub(crate) fn accepts(&self, now: time::Instant) -> bool {
        self.is_staying() && self.closed(now).is_none()
    }

    /// Time in which it gets no requests because of a pause or a limit.
    pub(crate) fn closed(&self, now: time::Instant) -> Option<pauses::Closed> {
        pauses::later(self.paused, self.limited, now)
    }

    /// Ejects the server for `length`, or longer after earlier ejections if `backoff` is set.
    pub(crate) fn eject(&mut self, length: time::Duration, backoff: bool, now: time::Instant) {
        let factor = if backoff { 1 << self.ejections.min(MAX_DOUBLINGS) } else { 1 };
        // Requests that fail at the same time eject the server once.
        if self.ejected_until.is_none_or(|until| until <= now) {
            self.ejections += 1;
            self.ejected_until = Some(now + length * factor);
        }
    }

    /// Score by the number of requests; lower is better.
    pub(crate) fn busy_score(&self) -> u64 {
        let busy = u64::from(self.load.held + 2 * self.load.waiting + self.sent);
        busy.max(u64::from(self.open)) * SCALE / u64::from(self.load.slots.max(1))
    }

    /// Score by the expected time of an answer, which is `pace` times the usual one; what was
    /// reported loses its meaning over `life`. Equals that by the number of requests at a server
    /// with the usual pace and a new report.
    pub(crate) fn time_score(&self, pace: f64, life: time::Duration, now: time::Instant) -> u64 {
        let reported = f64::from(self.load.held + 2 * self.load.waiting);
        let busy = reported * self.trust(life, now) + f64::from(self.sent);
        let fill = busy.max(f64::from(self.open)) / f64::from(self.load.slots.max(1));
        // At a faster server than usual the time of the answer itself is below zero.
        let score = (pace * (1.0 + fill) - 1.0 + FASTEST_ALLOWANCE) * SCALE as f64;
        score.max(0.0).round() as u64
    }

    /// Estimated number of requests at the server: what it reported and what was sent since.
    pub(crate) fn busy(&self) -> u32 {
        (self.load.held + self.load.waiting + self.sent).max(self.open)
    }

    /// The same when what was reported loses its meaning over `life`.
    pub(crate) fn busy_now(&self, life: time::Duration, now: time::Instant) -> u32 {
        let reported = f64::from(self.load.held + self.load.waiting) * self.trust(life, now);
        (reported.round() as u32 + self.sent).max(self.open)
    }

    // Part of the last report that still holds.
    fn trust(&self, life: time::Duration, now: time::Instant) -> f64 {
        let age =
            self.reported_at.map_or(time::Duration::ZERO, |at| now.saturating_duration_since(at));
        (-age.div_duration_f64(life)).exp()
    }

    /// Score by pending work, which the server works off from the time of its report.
    pub(crate) fn work_score(&self, now: time::Instant) -> u64 {
        let reported = time::Duration::from_millis(u64::from(self.load.queue_ms));
        let since = self.reported_at.map_or(time::Duration::ZERO, |at| now - at);
        let left = (reported + self.sent_work).saturating_sub(since);
        left.as_millis() as u64 * SCALE / WORK_SCALE_MS
    }
}
