//! Servers of one service and role, as one entry knows them, and the choice among them.

use std::{collections, time};

use crate::{ids, load, outcome, outlier, pauses, server};

use outcome::Reason;

/// Parameters of the health checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Age of the last load report above which a server is treated like an ejected one, if set.
    pub suspect_after: Option<time::Duration>,
    /// Whether consecutive ejections double in length.
    pub backoff: bool,
    /// Whether servers are compared by the expected time of an answer instead of their number of
    /// requests, and load reports lose their meaning with time.
    pub by_time: bool,
}

/// Outcome of a request as far as its server is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server did its work, and the result was used.
    Success,
    /// It is not known yet whether the result is used.
    Unknown,
    /// The server refused or failed.
    Failure(Reason),
}

/// Estimated load of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Requests running or queued at the server.
    pub busy: u32,
    /// Age of the last load report.
    pub age: time::Duration,
    /// Expected time of an answer as a multiple of the service's mean.
    pub pace: f64,
}

/// Servers of one service and role.
#[derive(Clone, Debug)]
pub struct Pool {
    zone: ids::ZoneName,
    tuning: Tuning,
    servers: collections::BTreeMap<ids::ServerName, server::Server>,
    // Mean time of an answer of any server, in seconds.
    usual: Option<f64>,
}

/// Criteria for the choice of a server.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Servers that already failed or refused this request.
    pub tried: &'a [ids::ServerName],
    /// Hash of the prompt's prefix; its preferred server is chosen unless its score is worse than
    /// the best by more than a margin.
    pub affinity: Option<u128>,
    /// Two random numbers, in the lower and the upper half.
    pub random: u64,
    /// Whether servers are compared by their pending work instead of their number of requests.
    pub by_work: bool,
}

/// Weight of one answer in the moving average of a service: about forty answers count.
const USUAL_WEIGHT: f64 = 0.05;
/// Answers, one after another, in whose time a load report loses most of its meaning: about as long
/// as a queue that is within a latency target takes to be worked off.
const REPORT_ANSWERS: f64 = 20.0;
/// Consecutive failures that eject a server.
const EJECT_AFTER: u32 = 3;
/// Length of the first ejection of a server that cannot be reached.
const UNREACHABLE_EJECTION: time::Duration = time::Duration::from_secs(1);
/// Length of the first ejection of a server that fails.
const FAILURE_EJECTION: time::Duration = time::Duration::from_secs(5);
/// Share of a pool's servers that may be ejected as outliers, as a divisor.
const MAX_EJECTED_DIVISOR: usize = 3;
/// Age above which a load report is stale.
const STALE_AFTER: time::Duration = time::Duration::from_secs(5);
/// Penalty of a server in another availability zone, like those below in units of a score.
const REMOTE_PENALTY: u64 = 150;
/// Margin by which the score of a prefix's preferred server may be worse than the best.
const AFFINITY_MARGIN: u64 = 250;
/// Penalty of a server without a recent load report.
const STALE_PENALTY: u64 = 500;

impl Pool {
    /// Creates an empty pool for an entry in `zone`.
    pub fn new(zone: ids::ZoneName) -> Pool {
        let tuning = Tuning { suspect_after: None, backoff: false, by_time: false };
        Pool { zone, tuning, servers: collections::BTreeMap::new(), usual: None }
    }

    /// Sets the parameters of the health checks.
    pub fn set_tuning(&mut self, tuning: Tuning) {
        self.tuning = tuning;
    }

    /// Adds a server or updates its availability zone.
    pub fn add(&mut self, name: &str, zone: &str) {
        let new = || server::Server::new(zone);
        self.servers.entry(name.to_string()).or_insert_with(new).zone = zone.to_string();
    }

    /// Keeps only the servers for which `keep` holds.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.servers.retain(|name, _| keep(name));
    }

    /// Removes a server.
    pub fn remove(&mut self, name: &str) {
        self.servers.remove(name);
    }

    /// Number of servers with a recent load report and at least one slot that stay and are not
    /// ejected.
    pub fn usable_count(&self, now: time::Instant) -> usize {
        let usable = self.servers.values().filter(|server| {
            let is_fresh = server.reported_at.is_some_and(|at| now <= at + STALE_AFTER);
            let is_ejected = server.ejected_until.is_some_and(|until| now < until);
            is_fresh && server.load.slots > 0 && server.is_staying() && !is_ejected
        });
        usable.count()
    }

    /// Looks a server up.
    pub fn get(&self, name: &str) -> Option<&server::Server> {
        self.servers.get(name)
    }

    /// Names of all servers.
    pub fn names(&self) -> impl Iterator<Item = &ids::ServerName> {
        self.servers.keys()
    }

    /// Updates a server with its newest load report.
    pub fn update_load(&mut self, name: &str, load: load::Load, now: time::Instant) {
        if let Some(server) = self.servers.get_mut(name) {
            server.load = load;
            server.reported_at = Some(now);
            server.sent = 0;
            server.sent_work = time::Duration::ZERO;
            server.leaving = load.leaving;
        }
    }

    /// Updates a server with the newest load report of a process of its agent.
    pub fn update_report(
        &mut self,
        name: &str,
        incarnation: ids::Incarnation,
        load: load::Load,
        now: time::Instant,
    ) {
        let Some(server) = self.servers.get_mut(name) else { return };
        if load.leaving {
            server.leaver = Some(incarnation);
        }
        // A report that was written before the process left may come after one that says so.
        let leaving = server.leaver == Some(incarnation);
        self.update_load(name, load::Load { leaving, ..load }, now);
    }

    /// Records that a process of a server's agent said that it is leaving.
    pub fn record_leaving(&mut self, name: &str, incarnation: ids::Incarnation) {
        if let Some(server) = self.servers.get_mut(name) {
            server.leaver = Some(incarnation);
            server.leaving = true;
        }
    }

    /// Sets whether the platform's list says that a server is leaving.
    pub fn set_listed_leaving(&mut self, name: &str, leaving: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            server.listed_leaving = leaving;
        }
    }

    /// Whether a server is leaving; false for an unknown one.
    pub fn is_leaving(&self, name: &str) -> bool {
        self.servers.get(name).is_some_and(server::Server::is_leaving)
    }

    /// Sets whether a server is leaving, as the platform reports.
    pub fn set_leaving(&mut self, name: &str, leaving: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            server.leaving = leaving;
        }
    }

    /// Sends no requests to a server that has asked for that; its load and health stay known.
    ///
    /// It has turned away what was sent since its last report, so this counts no more.
    pub fn set_paused(&mut self, name: &str, paused: Option<pauses::Closed>) {
        if let Some(server) = self.servers.get_mut(name) {
            server.paused = paused;
            if paused.is_some() {
                server.sent = 0;
                server.sent_work = time::Duration::ZERO;
            }
        }
    }

    /// Sends no requests to a server at which this entry's part of the limit is used up.
    pub fn set_limited(&mut self, name: &str, limited: Option<pauses::Closed>) {
        if let Some(server) = self.servers.get_mut(name) {
            server.limited = limited;
        }
    }

    /// Sets whether another server answers at the address of a server, which then gets no requests.
    pub fn set_misdirected(&mut self, name: &str, misdirected: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            server.misdirected = misdirected;
        }
    }

    /// When the first server may be sent to again, if all that stay are paused or at their limits.
    pub fn paused(&self, now: time::Instant) -> Option<pauses::Closed> {
        let staying = self.servers.values().filter(|server| server.is_staying());
        // One that is open sorts first.
        staying.map(|server| server.closed(now)).min().flatten()
    }

    /// Records a request sent to a server, and its expected work.
    pub fn record_sent(&mut self, name: &str, work: time::Duration) {
        if let Some(server) = self.servers.get_mut(name) {
            server.sent += 1;
            server.sent_work += work;
            server.open += 1;
        }
    }

    /// Records the outcome of a request.
    pub fn record_end(&mut self, name: &str, outcome: ServerOutcome, now: time::Instant) {
        if let Some(server) = self.servers.get_mut(name) {
            server.open = server.open.saturating_sub(1);
            if self.tuning.by_time {
                // Without an answer there is no report that would count it instead.
                server.sent = server.sent.saturating_sub(1);
            }
        }
        self.record_outcome(name, outcome, now);
    }

    /// Records what an outcome shows about the health of a server.
    ///
    /// A server that answers that it is leaving is not chosen until it reports otherwise; one that
    /// cannot be reached, or fails repeatedly, is ejected for a while.
    pub fn record_outcome(&mut self, name: &str, outcome: ServerOutcome, now: time::Instant) {
        let backoff = self.tuning.backoff;
        let Some(server) = self.servers.get_mut(name) else { return };
        match outcome {
            ServerOutcome::Success => {
                server.failures = 0;
                server.ejections = 0;
            }
            ServerOutcome::Failure(Reason::Leaving) => server.leaving = true,
            // The decode slot is reserved, so a result expires only if its prefill server fails to
            // send it.
            ServerOutcome::Failure(Reason::Evicted) => server.eject(FAILURE_EJECTION, backoff, now),
            ServerOutcome::Failure(Reason::NoServer) => {
                server.eject(UNREACHABLE_EJECTION, backoff, now)
            }
            ServerOutcome::Failure(reason) if is_fault(reason) => {
                server.failures += 1;
                if server.failures >= EJECT_AFTER {
                    server.failures = 0;
                    server.eject(FAILURE_EJECTION, backoff, now);
                }
            }
            ServerOutcome::Unknown | ServerOutcome::Failure(_) => {}
        }
    }

    /// Records whether a server's own answer was a failure.
    ///
    /// A server that fails far more often than the others is ejected for a while, unless too many
    /// of the others are ejected already.
    pub fn record_answer(&mut self, name: &str, has_failed: bool, now: time::Instant) {
        let Some(server) = self.servers.get_mut(name) else { return };
        server.failure_rate.record(has_failed);
        let others: Vec<_> = self.servers.iter().filter(|(other, _)| *other != name).collect();
        let rates = others.iter().map(|(_, server)| &server.failure_rate);
        let median = outlier::median(rates);
        let is_ejected =
            |server: &server::Server| server.ejected_until.is_some_and(|until| now < until);
        let ejected = others.iter().filter(|(_, server)| is_ejected(server)).count();
        let backoff = self.tuning.backoff;
        if ejected * MAX_EJECTED_DIVISOR >= self.servers.len() {
            return;
        }
        if let (Some(server), Some(median)) = (self.servers.get_mut(name), median)
            && server.failure_rate.is_outlier(median)
        {
            server.failure_rate = outlier::FailureRate::default();
            server.eject(FAILURE_EJECTION, backoff, now);
        }
    }

    /// Chooses a server: the better of two random ones, or the prefix's preferred server.
    ///
    /// Ejected servers are chosen only if there is no other, servers that were tried only if there
    /// are no ejected ones either, and servers that leave, are paused or have lost their address
    /// never.
    pub fn pick(&self, criteria: Criteria<'_>, now: time::Instant) -> Option<ids::ServerName> {
        let usable = self.candidates(criteria.tried, |_| true, now);
        let count = usable.len();
        let index = criteria.random as u32 as usize % count.max(1);
        let first = usable.get(index)?;
        // A different server, unless there is only one.
        let step = 1 + (criteria.random >> 32) as usize % (count - 1).max(1);
        let second = usable[(index + step) % count];
        let score = |name: &ids::ServerName| self.score(name, criteria.by_work, now);
        let best = if score(second) < score(first) { second } else { first };
        let Some(prefix) = criteria.affinity else { return Some(best.clone()) };
        let preferred = crate::owner::rank(prefix, usable.iter().copied()).into_iter().next()?;
        let is_close = score(preferred) <= score(best) + AFFINITY_MARGIN;
        Some(if is_close { preferred.clone() } else { best.clone() })
    }

    /// Estimated number of requests at a server: the last report and what was sent since.
    pub fn busy(&self, name: &str, now: time::Instant) -> u32 {
        let server = self.servers.get(name);
        let life = self.report_life();
        server.map_or(0, |server| life.map_or(server.busy(), |life| server.busy_now(life, now)))
    }

    /// Estimated load of a server; `None` before its first report.
    pub fn estimate(&self, name: &str, now: time::Instant) -> Option<Estimate> {
        let reported_at = self.servers.get(name)?.reported_at?;
        let age = now.saturating_duration_since(reported_at);
        Some(Estimate { busy: self.busy(name, now), age, pace: self.pace(name, now) })
    }

    /// Updates a server with the report in one of its answers, which took `elapsed`.
    pub fn record_report(
        &mut self,
        name: &str,
        report: load::Report,
        elapsed: Option<time::Duration>,
        now: time::Instant,
    ) {
        self.update_load(name, report.load, now);
        let Some(server) = self.servers.get_mut(name) else { return };
        server.pace.set_present(report.pace, now);
        // While requests wait, the time includes that in the queue.
        let Some(elapsed) = elapsed.filter(|_| report.load.waiting == 0) else { return };
        let seconds = elapsed.as_secs_f64();
        server.pace.record(seconds, report.pace);
        let usual = self.usual.unwrap_or(seconds);
        self.usual = Some(usual + USUAL_WEIGHT * (seconds / report.pace - usual));
    }

    /// Mean time of an answer without a queue; `None` before the first one.
    pub fn usual(&self) -> Option<time::Duration> {
        self.usual.map(time::Duration::from_secs_f64)
    }

    /// Expected time of an answer of a server as a multiple of the service's mean.
    pub fn pace(&self, name: &str, now: time::Instant) -> f64 {
        self.servers.get(name).map_or(1.0, |server| server.pace.at(self.usual, now))
    }

    /// Servers to choose from among those that are `allowed`, in the order of [`Pool::pick`]:
    /// healthy ones, else ejected ones, else those that were tried.
    pub fn candidates(
        &self,
        tried: &[ids::ServerName],
        allowed: impl Fn(&str) -> bool,
        now: time::Instant,
    ) -> Vec<&ids::ServerName> {
        let staying =
            || self.servers.iter().filter(|(name, server)| server.accepts(now) && allowed(name));
        let is_healthy = |server: &server::Server| {
            server.ejected_until.is_none_or(|until| until <= now) && !self.is_suspect(server, now)
        };
        let is_tried = |name: &ids::ServerName| tried.iter().any(|other| other == name);
        let by_rank = |rank: usize| {
            let chosen =
                staying().filter(|(name, server)| match (is_tried(name), is_healthy(server)) {
                    (false, true) => rank == 0,
                    (false, false) => rank == 1,
                    (true, _) => rank == 2,
                });
            chosen.map(|(name, _)| name).collect::<Vec<_>>()
        };
        (0..3).map(by_rank).find(|names| !names.is_empty()).unwrap_or_default()
    }

    // Time over which a load report loses most of its meaning.
    fn report_life(&self) -> Option<time::Duration> {
        let usual = self.usual.filter(|_| self.tuning.by_time)?;
        Some(time::Duration::from_secs_f64(usual * REPORT_ANSWERS))
    }

    fn is_suspect(&self, server: &server::Server, now: time::Instant) -> bool {
        let (Some(after), Some(at)) = (self.tuning.suspect_after, server.reported_at) else {
            return false;
        };
        now > at + after
    }

    fn score(&self, name: &ids::ServerName, by_work: bool, now: time::Instant) -> u64 {
        let server = &self.servers[name];
        let mut score = match self.report_life() {
            _ if by_work => server.work_score(now),
            Some(life) => server.time_score(server.pace.at(self.usual, now), life, now),
            None => server.busy_score(),
        };
        if server.zone != self.zone {
            score += REMOTE_PENALTY;
        }
        if server.reported_at.is_none_or(|at| now > at + STALE_AFTER) {
            score += STALE_PENALTY;
        }
        score
    }
}

fn is_fault(reason: Reason) -> bool {
    matches!(reason, Reason::EngineFailed | Reason::EngineSilent | Reason::LostContact)
}
