//! Servers of one service and role as one entry sees them, and the choice among them.

use std::{collections, time};

use crate::{ids, load, outcome, outlier};

use outcome::Reason;

/// One server as seen by an entry.
#[derive(Clone, Debug)]
pub struct Server {
    /// Availability zone of the server.
    pub zone: ids::ZoneName,
    /// Last load heard.
    pub load: load::Load,
    /// When the load was heard.
    pub heard_at: Option<time::Instant>,
    /// Requests sent since the load was heard, which it does not count yet.
    pub sent: u32,
    /// Work sent since the load was heard.
    pub sent_work: time::Duration,
    /// Requests of this entry in flight.
    pub open: u32,
    /// Consecutive failures.
    pub failures: u32,
    /// Consecutive ejections.
    pub ejections: u32,
    /// Not chosen until then, unless all servers are ejected.
    pub ejected: Option<time::Instant>,
    /// Known to be leaving.
    pub leaving: bool,
    /// Failures among its own answers.
    pub record: outlier::FailureRate,
}

/// How an entry judges servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// A server that was heard before and not for this long is used like an ejected one.
    pub suspect_after: Option<time::Duration>,
    /// Whether each ejection in a row lasts twice as long as the one before.
    pub growing: bool,
}

/// What the end of a request tells of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The server did its part, and it was of use.
    Good,
    /// Nothing is known of its use.
    Open,
    /// The server refused or failed.
    Bad(Reason),
}

/// What an entry believes of a server's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Belief {
    /// Requests that it has, running and waiting.
    pub busy: u32,
    /// Age of its last word on that.
    pub age: time::Duration,
}

/// Pool of servers.
#[derive(Clone, Debug)]
pub struct Pool {
    zone: ids::ZoneName,
    tuning: Tuning,
    servers: collections::BTreeMap<ids::ServerName, Server>,
}

/// What a request asks of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// Servers that already failed or refused this request.
    pub tried: &'a [ids::ServerName],
    /// Hash of the prompt's prefix, whose preferred server wins if it is not loaded more.
    pub affinity: Option<u128>,
    /// Two random numbers in one.
    pub random: u64,
    /// Whether servers are compared by the work before them instead of by requests.
    pub by_work: bool,
}

const EJECT_AFTER: u32 = 3;
const MAX_DOUBLINGS: u32 = 3;
const UNREACHABLE_FOR: time::Duration = time::Duration::from_secs(1);
const EJECT_FOR: time::Duration = time::Duration::from_secs(5);
/// Servers of a pool that may be left out for their failures, as a divisor.
const MAX_OUT_DIVISOR: usize = 3;
const STALE_AFTER: time::Duration = time::Duration::from_secs(5);
// Scores are in thousandths of the server's rooms.
const SCALE: u64 = 1000;
const WORK_SCALE_MS: u64 = 1000;
const AWAY_SCORE: u64 = 150;
const AFFINITY_SLACK: u64 = 250;
const STALE_SCORE: u64 = 500;

impl Pool {
    /// Makes an empty pool for an entry in `zone`.
    pub fn new(zone: ids::ZoneName) -> Pool {
        let tuning = Tuning { suspect_after: None, growing: false };
        Pool { zone, tuning, servers: collections::BTreeMap::new() }
    }

    /// Sets how servers are judged.
    pub fn set_tuning(&mut self, tuning: Tuning) {
        self.tuning = tuning;
    }

    /// Adds a server or updates its availability zone.
    pub fn add(&mut self, name: &str, zone: &str) {
        let fresh = || Server {
            zone: zone.to_string(),
            load: load::Load::default(),
            heard_at: None,
            sent: 0,
            sent_work: time::Duration::ZERO,
            open: 0,
            failures: 0,
            ejections: 0,
            ejected: None,
            leaving: false,
            record: outlier::FailureRate::default(),
        };
        self.servers.entry(name.to_string()).or_insert_with(fresh).zone = zone.to_string();
    }

    /// Keeps only the servers for which `keep` holds.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.servers.retain(|name, _| keep(name));
    }

    /// Removes a server.
    pub fn remove(&mut self, name: &str) {
        self.servers.remove(name);
    }

    /// Servers that were heard lately, have room to offer, and neither leave nor are ejected.
    pub fn usable_count(&self, now: time::Instant) -> usize {
        let usable = self.servers.values().filter(|server| {
            let is_fresh = server.heard_at.is_some_and(|heard| now <= heard + STALE_AFTER);
            let is_ejected = server.ejected.is_some_and(|until| now < until);
            is_fresh && server.load.rooms > 0 && !server.leaving && !is_ejected
        });
        usable.count()
    }

    /// Looks a server up.
    pub fn get(&self, name: &str) -> Option<&Server> {
        self.servers.get(name)
    }

    /// Names of all servers.
    pub fn names(&self) -> impl Iterator<Item = &ids::ServerName> {
        self.servers.keys()
    }

    /// Takes a load report.
    pub fn hear(&mut self, name: &str, load: load::Load, now: time::Instant) {
        if let Some(server) = self.servers.get_mut(name) {
            server.load = load;
            server.heard_at = Some(now);
            server.sent = 0;
            server.sent_work = time::Duration::ZERO;
            server.leaving = load.leaving;
        }
    }

    /// Takes the platform's word on whether a server is leaving.
    pub fn set_leaving(&mut self, name: &str, leaving: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            server.leaving = leaving;
        }
    }

    /// Notes a request sent to a server, with the work expected of it.
    pub fn sent(&mut self, name: &str, work: time::Duration) {
        if let Some(server) = self.servers.get_mut(name) {
            server.sent += 1;
            server.sent_work += work;
            server.open += 1;
        }
    }

    /// Notes the end of a request.
    pub fn ended(&mut self, name: &str, end: End, now: time::Instant) {
        if let Some(server) = self.servers.get_mut(name) {
            server.open = server.open.saturating_sub(1);
        }
        self.judge(name, end, now);
    }

    /// Takes in what is known of a server.
    ///
    /// A server that says that it leaves is not chosen until it reports otherwise; one that
    /// cannot be reached, or fails repeatedly, is ejected for a while.
    pub fn judge(&mut self, name: &str, end: End, now: time::Instant) {
        let growing = self.tuning.growing;
        let Some(server) = self.servers.get_mut(name) else { return };
        match end {
            End::Good => {
                server.failures = 0;
                server.ejections = 0;
            }
            End::Bad(Reason::Leaving) => server.leaving = true,
            // With decode room reserved, only a source that cannot send lets its result expire.
            End::Bad(Reason::Evicted) => server.eject(EJECT_FOR, growing, now),
            End::Bad(Reason::NoServer) => server.eject(UNREACHABLE_FOR, growing, now),
            End::Bad(reason) if is_fault(reason) => {
                server.failures += 1;
                if server.failures >= EJECT_AFTER {
                    server.failures = 0;
                    server.eject(EJECT_FOR, growing, now);
                }
            }
            End::Open | End::Bad(_) => {}
        }
    }

    /// Notes whether a server's own answer was a failure.
    ///
    /// A server that fails far more often than the others is left out for a while, as long as
    /// most of the others are not.
    pub fn answered(&mut self, name: &str, has_failed: bool, now: time::Instant) {
        let Some(server) = self.servers.get_mut(name) else { return };
        server.record.record(has_failed);
        let others: Vec<_> = self.servers.iter().filter(|(other, _)| *other != name).collect();
        let records = others.iter().map(|(_, server)| &server.record);
        let usual = outlier::median(records);
        let is_out = |server: &Server| server.ejected.is_some_and(|until| now < until);
        let out = others.iter().filter(|(_, server)| is_out(server)).count();
        let growing = self.tuning.growing;
        if out * MAX_OUT_DIVISOR >= self.servers.len() {
            return;
        }
        if let (Some(server), Some(usual)) = (self.servers.get_mut(name), usual)
            && server.record.is_outlier(usual)
        {
            server.record = outlier::FailureRate::default();
            server.eject(EJECT_FOR, growing, now);
        }
    }

    /// Chooses a server: the better of two random ones, or the prefix's preferred server.
    ///
    /// Ejected servers are used only when no other is left, and tried ones only after those;
    /// leaving ones never.
    pub fn pick(&self, wish: Wish<'_>, now: time::Instant) -> Option<ids::ServerName> {
        let usable = self.candidates(wish.tried, |_| true, now);
        let count = usable.len();
        let at = wish.random as u32 as usize % count.max(1);
        let first = usable.get(at)?;
        // A different one, as far as there is one.
        let step = 1 + (wish.random >> 32) as usize % (count - 1).max(1);
        let second = usable[(at + step) % count];
        let score = |name: &ids::ServerName| self.score(name, wish.by_work, now);
        let best = if score(second) < score(first) { second } else { first };
        let Some(prefix) = wish.affinity else { return Some(best.clone()) };
        let liked = crate::home::rank(prefix, usable.iter().copied()).into_iter().next()?;
        let is_near = score(liked) <= score(best) + AFFINITY_SLACK;
        Some(if is_near { liked.clone() } else { best.clone() })
    }

    /// Requests that a server is believed to have: as it last told, and what was sent since.
    pub fn busy(&self, name: &str) -> u32 {
        let server = self.servers.get(name);
        server.map_or(0, |server| {
            (server.load.held + server.load.waiting + server.sent).max(server.open)
        })
    }

    /// What is believed of a server's load.
    pub fn belief(&self, name: &str, now: time::Instant) -> Option<Belief> {
        let heard = self.servers.get(name)?.heard_at?;
        Some(Belief { busy: self.busy(name), age: now.saturating_duration_since(heard) })
    }

    /// Servers to choose from among those that are `allowed`, in the order of [`Pool::pick`]:
    /// sound ones, else ejected ones, else those that were tried.
    pub fn candidates(
        &self,
        tried: &[ids::ServerName],
        allowed: impl Fn(&str) -> bool,
        now: time::Instant,
    ) -> Vec<&ids::ServerName> {
        let staying =
            || self.servers.iter().filter(|(name, server)| !server.leaving && allowed(name));
        let is_sound = |server: &Server| {
            server.ejected.is_none_or(|until| until <= now) && !self.is_suspect(server, now)
        };
        let is_tried = |name: &ids::ServerName| tried.iter().any(|other| other == name);
        let by_rank = |rank: usize| {
            let chosen =
                staying().filter(|(name, server)| match (is_tried(name), is_sound(server)) {
                    (false, true) => rank == 0,
                    (false, false) => rank == 1,
                    (true, _) => rank == 2,
                });
            chosen.map(|(name, _)| name).collect::<Vec<_>>()
        };
        (0..3).map(by_rank).find(|names| !names.is_empty()).unwrap_or_default()
    }

    fn is_suspect(&self, server: &Server, now: time::Instant) -> bool {
        let (Some(after), Some(heard)) = (self.tuning.suspect_after, server.heard_at) else {
            return false;
        };
        now > heard + after
    }

    fn score(&self, name: &ids::ServerName, by_work: bool, now: time::Instant) -> u64 {
        let server = &self.servers[name];
        let mut score = if by_work { work_score(server, now) } else { busy_score(server) };
        if server.zone != self.zone {
            score += AWAY_SCORE;
        }
        if server.heard_at.is_none_or(|heard| now > heard + STALE_AFTER) {
            score += STALE_SCORE;
        }
        score
    }
}

impl Server {
    fn eject(&mut self, time: time::Duration, growing: bool, now: time::Instant) {
        let factor = if growing { 1 << self.ejections.min(MAX_DOUBLINGS) } else { 1 };
        // Requests that fail together eject the server once.
        if self.ejected.is_none_or(|until| until <= now) {
            self.ejections += 1;
            self.ejected = Some(now + time * factor);
        }
    }
}

fn is_fault(reason: Reason) -> bool {
    matches!(reason, Reason::EngineFailed | Reason::EngineSilent | Reason::LostContact)
}

fn busy_score(server: &Server) -> u64 {
    let busy = u64::from(server.load.held + 2 * server.load.waiting + server.sent);
    busy.max(u64::from(server.open)) * SCALE / u64::from(server.load.rooms.max(1))
}

// What was reported is worked off meanwhile. One second of work weighs as much as full rooms.
fn work_score(server: &Server, now: time::Instant) -> u64 {
    let reported = time::Duration::from_millis(u64::from(server.load.queue_ms));
    let since = server.heard_at.map_or(time::Duration::ZERO, |heard| now - heard);
    let left = (reported + server.sent_work).saturating_sub(since);
    left.as_millis() as u64 * SCALE / WORK_SCALE_MS
}
