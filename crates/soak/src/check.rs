//! The promises that a soak checks, from what callers and servers saw.

use std::{collections, fmt, time};

use rhubarb_e2e::call;

use crate::record;

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A request that may not be repeated runs at most once, others at most as often as allowed.
    Runs,
    /// A refusal that says that nothing ran is true.
    NotRun,
    /// Such a refusal tells when to come back.
    ComeBack,
    /// An answer is the caller's own, and whole or visibly broken off.
    Whole,
    /// An entry that is well answers each request.
    Answered,
    /// It does so in time.
    InTime,
    /// An entry that is told to stop ends what it has begun, and then ends well.
    Stop,
    /// A config that was in force stays so.
    Undone,
    /// All is as before soon after the last fault.
    Recovered,
    /// Nothing is kept at an engine for a request that has ended.
    Kept,
}

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct Broken {
    /// Which one.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.seen)
    }
}

/// How often each request ran, over all servers.
pub type Runs = collections::BTreeMap<String, u32>;

/// Time beyond a route's limit for the way to the caller on a busy machine.
const SLACK: time::Duration = time::Duration::from_millis(1_500);
/// Statuses that promise that a request did not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Checks all requests and looks.
pub fn check(log: &record::Log, runs: &Runs) -> Vec<Broken> {
    let mut broken = Vec::new();
    for record in &log.records {
        broken.extend(check_runs(record, runs));
        match &record.end {
            record::End::Answer(reply) => broken.extend(check_answer(log, record, reply, runs)),
            record::End::Unreachable | record::End::Broken(_) => {
                broken.extend(check_unanswered(log, record));
            }
            record::End::Left => {}
        }
    }
    broken.extend(check_sights(log));
    broken
}

fn found(promise: Promise, record: &record::Record, what: &str) -> Broken {
    let record::Record { attempt, kind, edge, end, .. } = record;
    let taken = record.ended - record.began;
    let end = match end {
        record::End::Answer(reply) => format!("{} {:?}", reply.status, reply.body),
        other => format!("{other:?}"),
    };
    let seen = format!("{attempt} ({kind:?}) at entry {edge}, {taken:?}: {what}; {end}");
    Broken { promise, seen }
}

fn check_runs(record: &record::Record, runs: &Runs) -> Option<Broken> {
    let ran = runs.get(&record.attempt).copied().unwrap_or(0);
    let most = record.kind.most_runs();
    (ran > most).then(|| found(Promise::Runs, record, &format!("ran {ran} times, not {most}")))
}

fn check_answer(
    log: &record::Log,
    record: &record::Record,
    reply: &call::Reply,
    runs: &Runs,
) -> Vec<Broken> {
    let mut broken = Vec::new();
    let is_refusal = reply.is_local() && NOT_RUN.contains(&reply.status);
    if is_refusal && runs.contains_key(&record.attempt) {
        broken.push(found(Promise::NotRun, record, "it ran"));
    }
    if is_refusal && !reply.headers.contains_key(hyper::header::RETRY_AFTER) {
        broken.push(found(Promise::ComeBack, record, "no time to come back"));
    }
    let body = format!("body of {}", record.attempt);
    let is_whole = reply.body.as_ref() == Some(&record.kind.whole(&body));
    let is_plain = matches!(record.kind, record::Kind::Safe | record::Kind::Unsafe);
    // A stream may be broken off, so that its caller sees it; a plain answer is passed whole.
    let may_break = !is_plain || is_in_trouble(log, record);
    if reply.status == 200 && !is_whole && !(reply.body.is_none() && may_break) {
        broken.push(found(Promise::Whole, record, "not the whole answer to this request"));
    }
    if reply.taken > record.kind.limit() + SLACK && !is_in_trouble(log, record) {
        broken.push(found(Promise::InTime, record, "too late"));
    }
    broken
}

fn is_in_trouble(log: &record::Log, record: &record::Record) -> bool {
    log.windows.iter().any(|window| window.meets(record))
}

// A stop excuses only requests that were sent after it, and may reach a listener that is gone.
fn check_unanswered(log: &record::Log, record: &record::Record) -> Option<Broken> {
    let mut windows = log.windows.iter().filter(|window| window.meets(record));
    let is_excused = windows.clone().any(|window| window.trouble != record::Trouble::Stopped);
    let was_before = |window: &record::Window| record.began < window.from;
    if is_excused {
        return None;
    }
    if windows.clone().any(was_before) {
        return Some(found(Promise::Stop, record, "cut by a planned stop"));
    }
    windows.next().is_none().then(|| found(Promise::Answered, record, "no answer"))
}

fn check_sights(log: &record::Log) -> Vec<Broken> {
    let mut newest: collections::BTreeMap<usize, (time::Instant, u64)> =
        collections::BTreeMap::new();
    let mut broken = Vec::new();
    for sight in &log.sights {
        let known = newest.get(&sight.edge).copied();
        if sight.in_force {
            let version = known.map_or(0, |(_, version)| version).max(sight.version);
            newest.insert(sight.edge, (sight.at, version));
            continue;
        }
        let Some((at, version)) = known.filter(|(_, version)| *version >= sight.version) else {
            continue;
        };
        let ended = |window: &record::Window| {
            window.edge == sight.edge
                && window.trouble != record::Trouble::Frozen
                && window.from <= sight.at
                && window.until.is_none_or(|until| until >= at)
        };
        // An entry that was started again may know less for a while.
        if log.windows.iter().any(ended) {
            newest.remove(&sight.edge);
            continue;
        }
        let seen = format!(
            "entry {}: version {version} was in force, {} is not",
            sight.edge, sight.version
        );
        broken.push(Broken { promise: Promise::Undone, seen });
    }
    broken
}
