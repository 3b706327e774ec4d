//! The promises that a soak checks, from what callers and servers saw.

use std::{collections, fmt, time};

use rhubarb_e2e::call;

use crate::record;

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A request that may not be repeated runs at most once, others at most as often as allowed.
    RunCount,
    /// A refusal that says that nothing ran is true.
    NotRun,
    /// Such a refusal tells when to come back.
    RetryAfter,
    /// An answer is the caller's own, and whole or visibly broken off.
    Intact,
    /// An entry that is well answers each request.
    Answered,
    /// It does so in time.
    Deadline,
    /// An entry that is told to stop ends what it has begun, and then ends well.
    GracefulStop,
    /// A config that was in force stays so.
    NoRollback,
    /// All is as before soon after the last fault.
    Recovered,
    /// Nothing is kept at an engine for a request that has ended.
    NoLeak,
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Violated invariant.
    pub invariant: Invariant,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.detail)
    }
}

/// How often each request ran, over all servers.
pub type Runs = collections::BTreeMap<String, u32>;

/// Time beyond a route's limit for the way to the caller on a busy machine.
const SLACK: time::Duration = time::Duration::from_millis(1_500);
/// Statuses that promise that a request did not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Checks all requests and looks.
pub fn check(history: &record::History, runs: &Runs) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in &history.records {
        violations.extend(check_runs(record, runs));
        match &record.end {
            record::End::Answer(reply) => {
                violations.extend(check_answer(history, record, reply, runs))
            }
            record::End::Unreachable | record::End::ConnectionLost(_) => {
                violations.extend(check_unanswered(history, record));
            }
            record::End::Abandoned => {}
        }
    }
    violations.extend(check_probes(history));
    violations
}

fn violation(invariant: Invariant, record: &record::Record, what: &str) -> Violation {
    let record::Record { attempt, kind, edge, end, .. } = record;
    let taken = record.ended - record.began;
    let end = match end {
        record::End::Answer(reply) => format!("{} {:?}", reply.status, reply.body),
        other => format!("{other:?}"),
    };
    let detail = format!("{attempt} ({kind:?}) at entry {edge}, {taken:?}: {what}; {end}");
    Violation { invariant, detail }
}

fn check_runs(record: &record::Record, runs: &Runs) -> Option<Violation> {
    let ran = runs.get(&record.attempt).copied().unwrap_or(0);
    let most = record.kind.max_runs();
    (ran > most)
        .then(|| violation(Invariant::RunCount, record, &format!("ran {ran} times, not {most}")))
}

fn check_answer(
    history: &record::History,
    record: &record::Record,
    reply: &call::Reply,
    runs: &Runs,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let is_refusal = reply.is_own() && NOT_RUN.contains(&reply.status);
    if is_refusal && runs.contains_key(&record.attempt) {
        violations.push(violation(Invariant::NotRun, record, "it ran"));
    }
    if is_refusal && !reply.headers.contains_key(hyper::header::RETRY_AFTER) {
        violations.push(violation(Invariant::RetryAfter, record, "no time to come back"));
    }
    let body = format!("body of {}", record.attempt);
    let is_whole = reply.body.as_ref() == Some(&record.kind.expected_body(&body));
    let is_plain = matches!(record.kind, record::Kind::Safe | record::Kind::Unsafe);
    // A stream may be broken off, so that its caller sees it; a plain answer is passed whole.
    let may_break = !is_plain || is_in_trouble(history, record);
    if reply.status == 200 && !is_whole && !(reply.body.is_none() && may_break) {
        violations.push(violation(
            Invariant::Intact,
            record,
            "not the whole answer to this request",
        ));
    }
    if reply.taken > record.kind.timeout() + SLACK && !is_in_trouble(history, record) {
        violations.push(violation(Invariant::Deadline, record, "too late"));
    }
    violations
}

fn is_in_trouble(history: &record::History, record: &record::Record) -> bool {
    history.windows.iter().any(|window| window.overlaps(record))
}

// A stop excuses only requests that were sent after it, and may reach a listener that is gone.
fn check_unanswered(history: &record::History, record: &record::Record) -> Option<Violation> {
    let mut windows = history.windows.iter().filter(|window| window.overlaps(record));
    let is_excused = windows.clone().any(|window| window.fault != record::EntryFault::Stopped);
    let was_before = |window: &record::FaultWindow| record.began < window.from;
    if is_excused {
        return None;
    }
    if windows.clone().any(was_before) {
        return Some(violation(Invariant::GracefulStop, record, "cut by a planned stop"));
    }
    windows.next().is_none().then(|| violation(Invariant::Answered, record, "no answer"))
}

fn check_probes(history: &record::History) -> Vec<Violation> {
    let mut newest: collections::BTreeMap<usize, (time::Instant, u64)> =
        collections::BTreeMap::new();
    let mut violations = Vec::new();
    for probe in &history.probes {
        let known = newest.get(&probe.edge).copied();
        if probe.applied {
            let version = known.map_or(0, |(_, version)| version).max(probe.version);
            newest.insert(probe.edge, (probe.at, version));
            continue;
        }
        let Some((at, version)) = known.filter(|(_, version)| *version >= probe.version) else {
            continue;
        };
        let ended = |window: &record::FaultWindow| {
            window.edge == probe.edge
                && window.fault != record::EntryFault::Frozen
                && window.from <= probe.at
                && window.until.is_none_or(|until| until >= at)
        };
        // An entry that was started again may know less for a while.
        if history.windows.iter().any(ended) {
            newest.remove(&probe.edge);
            continue;
        }
        let detail = format!(
            "entry {}: version {version} was in force, {} is not",
            probe.edge, probe.version
        );
        violations.push(Violation { invariant: Invariant::NoRollback, detail });
    }
    violations
}
