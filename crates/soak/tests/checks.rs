//! The checks of a soak report exactly the invariants that a history violates.

use std::time;

use hyper::{HeaderMap, header};

use rhubarb_e2e::{call, site};
use rhubarb_soak::{check, record};

use check::Invariant;
use record::{End, EntryFault, Kind};

fn reply(status: u16, is_local: bool, body: Option<&str>) -> call::Reply {
    let mut headers = HeaderMap::new();
    if !is_local {
        headers.insert("x-response-seal", header::HeaderValue::from_static("i-1/1/a1"));
    }
    let body = body.map(str::to_string);
    let received = body.clone().unwrap_or_default();
    let elapsed = time::Duration::from_millis(80);
    call::Reply { status, headers, head_after: elapsed, body, received, elapsed }
}

fn rejection() -> call::Reply {
    let mut rejection = reply(503, true, Some("busy\n"));
    rejection.headers.insert(header::RETRY_AFTER, header::HeaderValue::from_static("1"));
    rejection
}

fn record(kind: Kind, end: End) -> record::Record {
    let began = time::Instant::now();
    let ended = began + time::Duration::from_millis(80);
    record::Record { attempt: "a1".to_string(), kind, edge: 0, began, ended, end, resumes: None }
}

fn violated(record: record::Record, windows: &[record::FaultWindow], ran: u32) -> Vec<Invariant> {
    let (records, windows) = (vec![record], windows.to_vec());
    let history = record::History { records, windows, ..record::History::default() };
    let runs = match ran {
        0 => check::Runs::new(),
        ran => check::Runs::from([("a1".to_string(), ran)]),
    };
    check::check(&history, &runs).into_iter().map(|violation| violation.invariant).collect()
}

// A fault of entry 0 that starts `before_ms` before the request and lasts `duration_ms`.
fn window(
    fault: EntryFault,
    record: &record::Record,
    before_ms: i64,
    duration_ms: u64,
) -> record::FaultWindow {
    let offset = time::Duration::from_millis(before_ms.unsigned_abs());
    let from = if before_ms < 0 { record.began + offset } else { record.began - offset };
    let until = Some(from + time::Duration::from_millis(duration_ms));
    record::FaultWindow { edge: 0, fault, from, until }
}

#[test]
fn valid_answers() {
    let complete = reply(200, false, Some("body of a1"));
    assert_eq!(violated(record(Kind::Unsafe, End::Answer(complete)), &[], 1), []);
    let stream = site::full_stream();
    let complete = reply(200, false, Some(&stream));
    assert_eq!(violated(record(Kind::Stream, End::Answer(complete)), &[], 1), []);
    let truncated = reply(200, false, None);
    assert_eq!(
        violated(record(Kind::Stream, End::Answer(truncated)), &[], 1),
        [],
        "visible to the caller"
    );
    assert_eq!(violated(record(Kind::Safe, End::Answer(rejection())), &[], 0), []);
    assert_eq!(violated(record(Kind::Safe, End::Abandoned), &[], 2), []);
}

#[test]
fn too_many_runs() {
    let complete = || End::Answer(reply(200, false, Some("body of a1")));
    assert_eq!(violated(record(Kind::Unsafe, complete()), &[], 2), [Invariant::RunCount]);
    assert_eq!(violated(record(Kind::Safe, complete()), &[], 2), []);
    assert_eq!(violated(record(Kind::Safe, complete()), &[], 3), [Invariant::RunCount]);
    assert_eq!(violated(record(Kind::Stream, End::Abandoned), &[], 2), [Invariant::RunCount]);
}

#[test]
fn invalid_rejection() {
    assert_eq!(
        violated(record(Kind::Unsafe, End::Answer(rejection())), &[], 1),
        [Invariant::NotRun]
    );
    let no_header = reply(503, true, Some("busy\n"));
    assert_eq!(
        violated(record(Kind::Unsafe, End::Answer(no_header)), &[], 0),
        [Invariant::RetryAfter]
    );
}

#[test]
fn wrong_body() {
    let other = reply(200, false, Some("body of a2"));
    assert_eq!(violated(record(Kind::Safe, End::Answer(other)), &[], 1), [Invariant::Intact]);
    let partial = reply(200, false, Some("id: 0\n"));
    assert_eq!(
        violated(record(Kind::Resumable, End::Answer(partial)), &[], 1),
        [Invariant::Intact]
    );
    let truncated = reply(200, false, None);
    assert_eq!(violated(record(Kind::Safe, End::Answer(truncated)), &[], 1), [Invariant::Intact]);
}

#[test]
fn no_answer() {
    let lost = || record(Kind::Safe, End::ConnectionLost("reset".to_string()));
    assert_eq!(violated(lost(), &[], 0), [Invariant::Answered]);
    let killed = window(EntryFault::Killed, &lost(), 10, 1_000);
    assert_eq!(violated(lost(), &[killed], 0), []);
    let earlier = window(EntryFault::Killed, &lost(), 500, 100);
    assert_eq!(violated(lost(), &[earlier], 0), [Invariant::Answered]);
    let stopped_after = window(EntryFault::Stopped, &lost(), -20, 1_000);
    assert_eq!(violated(lost(), &[stopped_after], 0), [Invariant::GracefulStop]);
    let stopped_before = window(EntryFault::Stopped, &lost(), 20, 1_000);
    assert_eq!(violated(lost(), &[stopped_before], 0), []);
}

// An answer of a stopping entry that ended early was excused as one beside any other fault.
#[test]
fn cut_off_in_stop() {
    let cut = |kind| record(kind, End::Answer(reply(200, false, None)));
    // Sent and cut off at these times after the signal, by an entry that ran for 9 s after it.
    let violated = |kind, sent_ms: u64, lasted_ms: u64, others: &[EntryFault]| {
        let mut record = cut(kind);
        record.ended = record.began + time::Duration::from_millis(lasted_ms);
        let stop = window(EntryFault::Stopped, &record, sent_ms as i64, 10_000);
        let others = others.iter().map(|fault| window(*fault, &record, 0, 100));
        let windows: Vec<_> = std::iter::once(stop).chain(others).collect();
        violated(record, &windows, 1)
    };
    assert_eq!(violated(Kind::Safe, 1_000, 500, &[]), [Invariant::GracefulStop]);
    assert_eq!(violated(Kind::Safe, 1_000, 6_500, &[]), [], "until the end of the grace period");
    assert_eq!(violated(Kind::Safe, 4_000, 3_500, &[]), [Invariant::GracefulStop], "late");
    assert_eq!(violated(Kind::Safe, 1_000, 500, &[EntryFault::Killed]), []);
    assert_eq!(violated(Kind::Safe, 9_200, 100, &[]), [], "started again");
    assert_eq!(violated(Kind::Resumable, 1_000, 500, &[]), [], "may be the server's");
    assert_eq!(violated(Kind::Resumable, 4_000, 3_500, &[]), [Invariant::GracefulStop], "late");
    assert_eq!(violated(Kind::Resumable, 1_000, 6_500, &[]), []);
}

// The events that had arrived of a stream that was cut off were not compared with those that follow.
#[test]
fn versions_after_cut() {
    let event =
        |number: u64, suffix: &str| format!("id: {number}\ndata: token-{number}{suffix}\n\n");
    let events = |numbers: std::ops::Range<u64>, suffix: &str| -> String {
        numbers.map(|number| event(number, suffix)).collect()
    };
    let answered = |attempt: &str, received: String, is_whole: bool| {
        let mut reply = reply(200, false, None);
        reply.headers.insert("x-response-seal", format!("i-1/1/{attempt}").parse().unwrap());
        reply.body = is_whole.then(|| received.clone());
        reply.received = received;
        let record = record(Kind::Resumable, End::Answer(reply));
        record::Record { attempt: attempt.to_string(), ..record }
    };
    let take_up = |attempt: &str, last: u64, received: String, is_whole: bool| {
        let resumes = Some(record::TakeUp { first: "a1".to_string(), last });
        record::Record { resumes, ..answered(attempt, received, is_whole) }
    };
    let violated = |records: Vec<record::Record>| -> Vec<Invariant> {
        let history = record::History { records, ..record::History::default() };
        let violations = check::check(&history, &check::Runs::new());
        violations.into_iter().map(|violation| violation.invariant).collect()
    };
    let first = || answered("a1", events(0..2, "@v2") + "id: 2\ndata: to", false);
    let next = |suffix| take_up("a2", 1, events(2..3, suffix), false);
    let last = |suffix| take_up("a3", 2, events(3..6, suffix), true);
    assert_eq!(violated(vec![first(), next("@v2"), last("@v2")]), []);
    assert_eq!(violated(vec![first(), next("@v2"), last("")]), [Invariant::OneVersion]);
    let early = || answered("a1", "id: 0\ndata: token-0@v".to_string(), false);
    assert_eq!(violated(vec![early(), next("@v2")]), [], "no whole event had arrived");
    assert_eq!(record::last_event(&(events(0..2, "@v2") + "id: 2\ndata: to")), Some(1));
    assert_eq!(record::last_event("id: 0\ndata: token-0@v"), None);
}

#[test]
fn late_answer() {
    let mut slow = reply(200, false, Some("body of a1"));
    slow.elapsed = site::PLAIN_TIMEOUT + time::Duration::from_secs(2);
    assert_eq!(violated(record(Kind::Safe, End::Answer(slow)), &[], 1), [Invariant::Deadline]);
}

#[test]
fn config_rollback() {
    let start = time::Instant::now();
    let at = |millis| start + time::Duration::from_millis(millis);
    let probe = |millis, version, applied| record::ConfigProbe {
        edge: 0,
        began: at(millis),
        at: at(millis),
        version,
        applied,
    };
    let rollbacks = |probes: &[record::ConfigProbe], windows: &[record::FaultWindow]| {
        let (probes, windows) = (probes.to_vec(), windows.to_vec());
        let history = record::History { probes, windows, ..record::History::default() };
        check::check(&history, &check::Runs::new()).len()
    };
    let growing = [probe(0, 1, true), probe(10, 2, false), probe(20, 2, true), probe(30, 3, false)];
    assert_eq!(rollbacks(&growing, &[]), 0);
    let falling = [probe(0, 2, true), probe(20, 2, false)];
    assert_eq!(rollbacks(&falling, &[]), 1);
    let window = |fault| record::FaultWindow { edge: 0, fault, from: at(5), until: Some(at(10)) };
    assert_eq!(rollbacks(&falling, &[window(EntryFault::Killed)]), 0, "restarted process");
    assert_eq!(rollbacks(&falling, &[window(EntryFault::Frozen)]), 1, "same process");
}

// Guards against a soak that passes while a version comes into force late.
#[test]
fn config_late() {
    let start = time::Instant::now() + time::Duration::from_secs(60);
    let at = |millis| start + time::Duration::from_millis(millis);
    let late = |asked_ms, windows: &[record::FaultWindow], disturbed: Option<record::Place>| {
        let probe = record::ConfigProbe {
            edge: 0,
            began: at(asked_ms),
            at: at(asked_ms),
            version: 4,
            applied: false,
        };
        let disturbance =
            |place| record::Disturbance { place, from: at(1_500), until: Some(at(1_600)) };
        let history = record::History {
            probes: vec![probe],
            configs: [(4, at(0))].into(),
            windows: windows.to_vec(),
            disturbances: disturbed.into_iter().map(disturbance).collect(),
            ..record::History::default()
        };
        let violations = check::check(&history, &check::Runs::new());
        violations.iter().filter(|found| found.invariant == Invariant::InForce).count()
    };
    assert_eq!(late(1_900, &[], None), 0);
    assert_eq!(late(2_100, &[], None), 1);
    let window =
        record::FaultWindow { edge: 0, fault: EntryFault::Frozen, from: at(0), until: Some(at(9)) };
    assert_eq!(late(2_100, &[window], None), 0, "disturbed within contact_ms");
    assert_eq!(late(3_100, &[window], None), 1);
    for (place, expected) in [(record::Place::Store, 0), (record::Place::Edge(1), 1)] {
        assert_eq!(late(2_100, &[], Some(place)), expected);
    }
}
