//! Invariants that a soak checks against the history of callers and the runs on servers.

use std::{collections, time};

use rhubarb_e2e::call;

use crate::{arrival_checks, invariant, record};

pub use invariant::{Invariant, Violation};

/// Runs of each attempt id, over all servers.
pub type Runs = collections::BTreeMap<String, u32>;

// Attempt ids of the requests that reached a server.
type PassedOn<'a> = collections::BTreeSet<&'a str>;

/// Time beyond the timeout of a route, for delays on a busy machine.
const TIMEOUT_MARGIN: time::Duration = time::Duration::from_millis(1_500);
/// Time within which a version of the config is in force, the platform's `config_deadline_ms`.
const CONFIG_DEADLINE: time::Duration = time::Duration::from_millis(2_000);
/// Statuses of an entry that report that a request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Latest time after the signal for a graceful stop at which a request may still be interrupted by
/// the end of the grace period.
const LATE_REQUEST: time::Duration = time::Duration::from_secs(3);
/// Time after that signal from which requests may be interrupted: five sixths of the grace period
/// of 8 s.
const GRACE_END: time::Duration = time::Duration::from_millis(6_667);

/// Time within which a stopping entry may close a connection whose request it did not read, the
/// platform's `loss_slack_ms`.
const LOSS_SLACK: time::Duration = time::Duration::from_millis(200);

/// Checks the whole history and returns all violations.
pub fn check(history: &record::History, runs: &Runs) -> Vec<Violation> {
    let mut violations = arrival_checks::check(history);
    let arrivals = history.arrivals.values().flatten().filter(|arrival| !arrival.misdirected);
    let passed_on: PassedOn<'_> = arrivals.map(|arrival| arrival.attempt.as_str()).collect();
    for record in &history.records {
        violations.extend(check_runs(record, runs));
        match &record.end {
            record::End::Answer(reply) => {
                violations.extend(check_answer(history, record, reply, runs));
            }
            record::End::Unreachable | record::End::ConnectionLost(_) => {
                violations.extend(check_unanswered(history, record, &passed_on));
            }
            record::End::Abandoned => {}
        }
    }
    violations.extend(check_versions(history));
    violations.extend(check_probes(history));
    violations.extend(check_in_force(history));
    violations
}

// Checks that all events of a stream, over all requests that take it up, are of one version, also
// those of answers that were cut off.
fn check_versions(history: &record::History) -> Vec<Violation> {
    let mut streams: collections::BTreeMap<&str, collections::BTreeSet<String>> =
        collections::BTreeMap::new();
    let mut violations = Vec::new();
    for record in history.records.iter().filter(|record| record.kind.is_model()) {
        let record::End::Answer(reply) = &record.end else { continue };
        if reply.status != 200 {
            continue;
        }
        let first = record.resumes.as_ref().map_or(&record.attempt, |stream| &stream.first);
        let found = streams.entry(first).or_default();
        found.extend(record::split_versions(record::whole_events(&reply.received)).0);
        if found.len() > 1 {
            let reason = format!("events of the versions {found:?}");
            violations.push(violation(Invariant::OneVersion, record, &reason));
        }
    }
    violations
}

fn violation(invariant: Invariant, record: &record::Record, reason: &str) -> Violation {
    let record::Record { attempt, kind, edge, end, .. } = record;
    let duration = record.ended - record.began;
    let end = match end {
        record::End::Answer(reply) => format!("{} {:?}", reply.status, reply.body),
        other => format!("{other:?}"),
    };
    let detail = format!("{attempt} ({kind:?}) at entry {edge}, {duration:?}: {reason}; {end}");
    Violation { invariant, detail }
}

fn check_runs(record: &record::Record, runs: &Runs) -> Option<Violation> {
    let ran = runs.get(&record.attempt).copied().unwrap_or(0);
    let allowed = record.kind.max_runs();
    (ran > allowed).then(|| {
        violation(Invariant::RunCount, record, &format!("ran {ran} times, {allowed} allowed"))
    })
}

fn check_answer(
    history: &record::History,
    record: &record::Record,
    reply: &call::Reply,
    runs: &Runs,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let is_rejection = reply.is_local() && NOT_RUN_STATUSES.contains(&reply.status);
    if is_rejection && runs.contains_key(&record.attempt) {
        violations.push(violation(Invariant::NotRun, record, "reported as not run, but it ran"));
    }
    if is_rejection && !reply.headers.contains_key(hyper::header::RETRY_AFTER) {
        violations.push(violation(Invariant::RetryAfter, record, "no Retry-After header"));
    }
    let mixed = arrival_checks::check_answer(record, &reply.headers);
    violations.extend(mixed.map(|reason| violation(Invariant::Mixed, record, reason)));
    let body = record::body(&record.attempt);
    let expected = record.kind.expected_body(&body, record.resumes.as_ref());
    let received = reply.body.as_ref().map(|body| match record.kind.is_model() {
        true => record::split_versions(body).1,
        false => body.clone(),
    });
    let is_complete = received.as_ref() == Some(&expected);
    let is_plain = matches!(record.kind, record::Kind::Safe | record::Kind::Unsafe);
    // A stream may be truncated visibly; a healthy entry forwards plain responses complete.
    let may_truncate = !is_plain || overlaps_fault(history, record);
    if reply.status == 200 && !is_complete && !(reply.body.is_none() && may_truncate) {
        violations.push(violation(Invariant::Intact, record, "unexpected response body"));
    }
    if reply.body.is_none() && is_cut_in_stop(history, record) {
        violations.push(violation(Invariant::GracefulStop, record, "cut off in a stop"));
    }
    if reply.elapsed > record.kind.timeout() + TIMEOUT_MARGIN && !overlaps_fault(history, record) {
        violations.push(violation(Invariant::Deadline, record, "exceeded the timeout"));
    }
    violations
}

fn overlaps_fault(history: &record::History, record: &record::Record) -> bool {
    history.windows.iter().any(|window| window.overlaps(record))
}

// Whether a stop, and no other fault, cut off the answer to a request. A stream may end early because
// its server broke off, so only one that ends at the end of the grace period counts.
fn is_cut_in_stop(history: &record::History, record: &record::Record) -> bool {
    let mut windows = history.windows.iter().filter(|window| window.overlaps(record));
    if windows.clone().any(|window| window.fault != record::EntryFault::Stopped) {
        return false;
    }
    windows.any(|stop| {
        let is_ended = |until: time::Instant| record.ended + record::START_DURATION > until;
        let is_excused = is_excused_by_end(record, stop);
        let is_at_end = record.ended >= stop.from + GRACE_END;
        !stop.until.is_some_and(is_ended) && !is_excused && (is_at_end || !record.kind.is_model())
    })
}

// Whether a request was sent early enough in a stop, and lasted until the end of the grace period.
fn is_excused_by_end(record: &record::Record, stop: &record::FaultWindow) -> bool {
    record.began <= stop.from + LATE_REQUEST && record.ended >= stop.from + GRACE_END
}

// A graceful stop excuses only requests that were sent after it, when the listener may be closed,
// and that were not passed on to a server, or were sent soon after it and lasted until the end of
// the grace period. Any other fault excuses all requests that overlap it.
fn check_unanswered(
    history: &record::History,
    record: &record::Record,
    passed_on: &PassedOn<'_>,
) -> Option<Violation> {
    let mut windows = history.windows.iter().filter(|window| window.overlaps(record));
    let is_excused = windows.clone().any(|window| window.fault != record::EntryFault::Stopped);
    let sent_before = |window: &record::FaultWindow| record.began < window.from;
    if is_excused {
        return None;
    }
    if windows.clone().any(sent_before) {
        return Some(violation(Invariant::GracefulStop, record, "interrupted by a graceful stop"));
    }
    let Some(stop) = windows.next() else {
        return Some(violation(Invariant::Answered, record, "no response"));
    };
    if passed_on.contains(record.attempt.as_str()) {
        let reason = "passed on and lost in a stop";
        return (!is_excused_by_end(record, stop))
            .then(|| violation(Invariant::GracefulStop, record, reason));
    }
    let is_held = record.ended > record.began + LOSS_SLACK + TIMEOUT_MARGIN;
    is_held.then(|| violation(Invariant::GracefulStop, record, "held and lost in a stop"))
}

// Checks that each version of the config is in force in time at entries that nothing has disturbed.
fn check_in_force(history: &record::History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for probe in history.probes.iter().filter(|probe| !probe.applied) {
        let Some(taken_at) = history.configs.get(&probe.version) else { continue };
        let from = probe.began - arrival_checks::CONTACT;
        let places = [record::Place::Store, record::Place::Edge(probe.edge)];
        let is_disturbed = places.iter().any(|place| history.is_disturbed(place, from, probe.at));
        if probe.began > *taken_at + CONFIG_DEADLINE
            && !is_disturbed
            && !arrival_checks::has_fault(history, probe.edge, from, probe.at)
        {
            let late = probe.began - *taken_at;
            let record::ConfigProbe { edge, version, .. } = probe;
            let detail = format!("entry {edge}: version {version} is not applied after {late:?}");
            violations.push(Violation { invariant: Invariant::InForce, detail });
        }
    }
    violations
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
        let restarted = |window: &record::FaultWindow| {
            window.edge == probe.edge
                && window.fault != record::EntryFault::Frozen
                && window.from <= probe.at
                && window.until.is_none_or(|until| until >= at)
        };
        // A restarted entry may have an older config for a while.
        if history.windows.iter().any(restarted) {
            newest.remove(&probe.edge);
            continue;
        }
        let detail = format!(
            "entry {}: version {version} was applied, {} is not",
            probe.edge, probe.version
        );
        violations.push(Violation { invariant: Invariant::NoRollback, detail });
    }
    violations
}
