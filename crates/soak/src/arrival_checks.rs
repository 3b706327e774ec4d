//! Checks of what arrived at servers: work on the results of other requests, requests to servers
//! that leave, and requests to servers that asked for a pause.

use std::{collections, time};

use rhubarb_fakes::{arrivals, caller, pause};

use crate::{invariant, record};

use invariant::{Invariant, Violation};
use record::{EntryFault, Place};

/// Time after which a server that leaves gets no more requests, the platform's `drain_ms`.
const DRAIN: time::Duration = time::Duration::from_millis(2_000);
/// Time for which a disturbance excuses an entry, the platform's `contact_ms`.
pub(crate) const CONTACT: time::Duration = time::Duration::from_millis(3_000);
/// Number of crashes by requests with one part after which the entries must know it, and of such
/// requests that may still reach servers.
const KNOWN_AFTER: usize = 5;
const MAX_KNOWN: usize = 3;
/// Number of crashes by one request after which the entries must know it.
const REPEATED_AFTER: usize = 3;
/// Span in which requests to a server with a limit are counted.
const LIMIT_SPAN: time::Duration = time::Duration::from_secs(4);
/// Factor and number by which a limit may be exceeded.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// Number of requests that an entry may send to a server in a pause.
const MAX_IN_PAUSE: usize = 2;

/// Checks all arrivals.
pub(crate) fn check(history: &record::History) -> Vec<Violation> {
    let mut violations = check_foreign(history);
    violations.extend(check_told(history));
    violations.extend(check_departures(history));
    violations.extend(check_pauses(history));
    violations.extend(check_isolated(history));
    violations.extend(check_repeated(history));
    violations.extend(check_limits(history));
    violations.extend(check_customers(history));
    violations
}

fn check_foreign(history: &record::History) -> Vec<Violation> {
    let details =
        history.foreign.iter().map(|foreign| format!("handle of another attempt: {foreign:?}"));
    details.map(|detail| Violation { invariant: Invariant::Mixed, detail }).collect()
}

/// Checks that an answer belongs to its request.
pub(crate) fn check_answer(
    record: &record::Record,
    headers: &hyper::HeaderMap,
) -> Option<&'static str> {
    let is_other = |attempt: &str| attempt != record.attempt;
    if caller::echoed_attempt(headers).is_some_and(is_other) {
        return Some("the response has the id of another request");
    }
    let seal = caller::seal(headers);
    let is_foreign = seal.is_some_and(|seal| is_other(seal.attempt));
    is_foreign.then_some("the response was made for another request")
}

// Checks that entries heed what servers said in answers that they passed on.
fn check_told(history: &record::History) -> Vec<Violation> {
    // When an entry passed on an answer that says that a server leaves, by entry, server and start.
    let mut told: collections::BTreeMap<(usize, &str, u64), Vec<time::Instant>> =
        collections::BTreeMap::new();
    for record in &history.records {
        let record::End::Answer(reply) = &record.end else { continue };
        if let Some(seal) =
            caller::seal(&reply.headers).filter(|_| caller::is_leaving(&reply.headers))
        {
            let times = told.entry((record.edge, seal.server, seal.born)).or_default();
            times.push(record.began + reply.head_after);
        }
    }
    let mut violations = Vec::new();
    for (server, arrival, sent) in client_arrivals(history) {
        let Some(times) = told.get(&(sent.edge, server, arrival.born)) else { continue };
        // The latest one leaves the least time for an excuse.
        let Some(at) = times.iter().filter(|at| **at + DRAIN < sent.at).max() else { continue };
        if !is_restarted(history, sent.edge, *at, arrival.at) {
            let late = sent.at - *at;
            violations.push(leaving(
                server,
                arrival,
                sent,
                &format!("sent {late:?} after an answer of the server that it leaves"),
            ));
        }
    }
    violations
}

// Checks that entries heed what the store says.
fn check_departures(history: &record::History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (server, arrival, sent) in client_arrivals(history) {
        let departures = history.departures.iter().filter(|departure| departure.server == server);
        let mut open = departures.filter(|departure| {
            departure.at + DRAIN < arrival.at
                && departure.until.is_none_or(|until| until > arrival.at)
        });
        let Some(departure) = open.next() else { continue };
        let from = arrival.at - CONTACT;
        let places = [Place::Store, Place::Edge(sent.edge), Place::Server(server.to_string())];
        let is_disturbed = places.iter().any(|place| history.is_disturbed(place, from, arrival.at));
        if !is_disturbed && !has_fault(history, sent.edge, from, arrival.at) {
            let late = arrival.at - departure.at;
            violations.push(leaving(
                server,
                arrival,
                sent,
                &format!("arrived {late:?} after the store knew that the server leaves"),
            ));
        }
    }
    violations
}

// Checks that servers see no keys, and callers count for nobody else.
fn check_customers(history: &record::History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (server, arrival, sent) in client_arrivals(history) {
        let expected = record::customer(&arrival.attempt).name;
        let is_other = arrival.customer.as_ref().is_some_and(|name| name != expected);
        if arrival.has_key || is_other {
            let arrivals::Arrival { attempt, customer, has_key, .. } = arrival;
            let detail = format!(
                "{attempt} of {expected} from entry {} at {server}: customer {customer:?}, \
                 has_key {has_key}",
                sent.edge
            );
            violations.push(Violation { invariant: Invariant::Customer, detail });
        }
    }
    violations
}

fn leaving(
    server: &str,
    arrival: &arrivals::Arrival,
    sent: record::Sent,
    reason: &str,
) -> Violation {
    let arrivals::Arrival { attempt, target, .. } = arrival;
    let detail = format!("{attempt} ({target}) from entry {} at {server}: {reason}", sent.edge);
    Violation { invariant: Invariant::Leaving, detail }
}

fn check_pauses(history: &record::History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (server, arrivals) in &history.arrivals {
        let mut reported = collections::BTreeSet::new();
        for paused in arrivals {
            let (Some(until), Some(edge)) = (paused.paused_until, edge_of(history, paused)) else {
                continue;
            };
            let from = paused.at + pause::PAUSE_GRACE;
            let unwanted: Vec<_> = arrivals
                .iter()
                .filter(|arrival| arrival.at > from && arrival.at < until)
                .filter(|arrival| arrival.born == paused.born && counts_in_pause(arrival))
                .filter(|arrival| edge_of(history, arrival) == Some(edge))
                .collect();
            let Some(last) = unwanted.get(MAX_IN_PAUSE) else { continue };
            let place = Place::Server(server.clone());
            let is_excused = has_fault(history, edge, paused.at, last.at)
                || history.is_disturbed(&place, paused.at, last.at);
            if !is_excused && reported.insert(edge) {
                let attempts: Vec<_> = unwanted
                    .iter()
                    .map(|arrival| {
                        format!(
                            "{}{} {:?}",
                            arrival.attempt,
                            arrival.target,
                            arrival.at - paused.at
                        )
                    })
                    .collect();
                let detail = format!(
                    "entry {edge} sent {} requests to {server} within {:?} after it asked for a pause ({}): {attempts:?}",
                    unwanted.len(),
                    until - paused.at,
                    paused.attempt
                );
                violations.push(Violation { invariant: Invariant::Paused, detail });
            }
        }
    }
    violations
}

// Checks that requests with the part that crashes engines no longer reach servers.
fn check_isolated(history: &record::History) -> Vec<Violation> {
    let late = late_arrivals(history, &history.crashes, KNOWN_AFTER, record::DEADLY_PREFIX);
    let detail = late.map(|late| format!("{} requests too late: {late:?}", late.len()));
    detail.into_iter().map(|detail| Violation { invariant: Invariant::Isolated, detail }).collect()
}

// Checks the same of a request that is sent again and again.
fn check_repeated(history: &record::History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (crashes, prefix) in history.repeated.iter().zip(record::REPEATED_PREFIXES) {
        if let Some(late) = late_arrivals(history, crashes, REPEATED_AFTER, prefix) {
            let detail = format!("{} runs of one request too late: {late:?}", late.len());
            violations.push(Violation { invariant: Invariant::Repeated, detail });
        }
    }
    violations
}

// Requests whose attempt ids begin with `prefix` that reached servers although `count` crashes by them
// must have been known; none if there are few enough.
fn late_arrivals(
    history: &record::History,
    crashes: &[time::Instant],
    count: usize,
    prefix: &str,
) -> Option<Vec<String>> {
    let forgotten_at = forgotten_at(history);
    let mut crashes = crashes.iter().filter(|at| forgotten_at.is_none_or(|from| **at > from));
    let known_at = crashes.nth(count - 1).map(|at| *at + CONTACT)?;
    let late: Vec<_> = client_arrivals(history)
        .filter(|(_, arrival, sent)| {
            arrival.attempt.starts_with(prefix)
                && arrival.at > known_at
                && !has_fault(history, sent.edge, arrival.at - CONTACT, arrival.at)
        })
        .map(|(server, arrival, sent)| {
            let late = arrival.at - known_at;
            format!("{} from entry {} at {server}, {late:?}", arrival.attempt, sent.edge)
        })
        .collect();
    (late.len() > MAX_KNOWN).then_some(late)
}

// Last time at which all entries were down at once while the store could not keep for them what they
// knew, or lost it.
fn forgotten_at(history: &record::History) -> Option<time::Instant> {
    let is_disturbed = |at: &time::Instant| {
        let mut places = (0..history.edges).map(Place::Edge).chain([Place::Store]);
        places.any(|place| history.is_disturbed(&place, *at - CONTACT, *at + CONTACT))
    };
    let ends = [EntryFault::Killed, EntryFault::Stopped];
    history.outages(&ends).into_iter().filter(is_disturbed).max()
}

// Checks that servers get no more requests than the limits that they name. Requests without an
// attempt id, and those of entries that were not in touch, do not count.
fn check_limits(history: &record::History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for limit in &history.limits {
        let (from, until) = (limit.from + CONTACT, limit.until);
        let counted: Vec<_> = client_arrivals(history)
            .filter(|(server, arrival, sent)| {
                *server == limit.server
                    && arrival.at >= from
                    && until.is_none_or(|until| arrival.at < until)
                    && !has_fault(history, sent.edge, limit.from, arrival.at)
            })
            .map(|(_, arrival, _)| arrival.at)
            .collect();
        let within = |at: time::Instant| {
            counted.iter().filter(|other| **other >= at && **other < at + LIMIT_SPAN).count()
        };
        let most = counted.iter().map(|at| within(*at)).max().unwrap_or(0);
        let allowed = LIMIT_FACTOR * f64::from(limit.rate) * LIMIT_SPAN.as_secs_f64() + LIMIT_SLACK;
        if most as f64 > allowed {
            let record::Limit { server, rate, .. } = limit;
            let detail = format!(
                "{most} requests in {LIMIT_SPAN:?} at {server}, which takes {rate} a second"
            );
            violations.push(Violation { invariant: Invariant::Limited, detail });
        }
    }
    violations
}

// Whether a server in a pause rejects such a request.
fn counts_in_pause(arrival: &arrivals::Arrival) -> bool {
    !arrival.misdirected && arrival.is_work()
}

// Entry that sent a request. Requests for holds and orders carry no attempt id and are attributed
// only in a deployment of one entry.
fn edge_of(history: &record::History, arrival: &arrivals::Arrival) -> Option<usize> {
    let sent = history.sent.get(&arrival.attempt).map(|sent| sent.edge);
    sent.or((history.edges == 1 && arrival.attempt.is_empty()).then_some(0))
}

// Requests of callers that reached a server, and how they were sent.
fn client_arrivals(
    history: &record::History,
) -> impl Iterator<Item = (&str, &arrivals::Arrival, record::Sent)> {
    history.arrivals.iter().flat_map(|(server, arrivals)| {
        let counted = arrivals.iter().filter(|arrival| !arrival.misdirected);
        counted.filter_map(|arrival| {
            Some((server.as_str(), arrival, *history.sent.get(&arrival.attempt)?))
        })
    })
}

/// Whether an entry had any fault in a period.
pub(crate) fn has_fault(
    history: &record::History,
    edge: usize,
    from: time::Instant,
    until: time::Instant,
) -> bool {
    history.windows.iter().any(|window| window.edge == edge && window.covers(from, until))
}

// Whether an entry was frozen or started again in a period.
fn is_restarted(
    history: &record::History,
    edge: usize,
    from: time::Instant,
    until: time::Instant,
) -> bool {
    history.windows.iter().filter(|window| window.edge == edge).any(|window| match window.fault {
        EntryFault::Killed | EntryFault::Frozen => window.covers(from, until),
        EntryFault::Stopped => {
            let started_at =
                window.until.and_then(|until| until.checked_sub(record::START_DURATION));
            started_at.is_some_and(|at| from <= at && at <= until)
        }
    })
}
