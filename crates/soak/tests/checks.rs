//! Each promise is found broken where it is, and only there.

use std::time;

use hyper::{HeaderMap, header};

use rhubarb_e2e::{call, standin};
use rhubarb_soak::{check, record};

use check::Invariant;
use record::{End, EntryFault, Kind};

fn reply(status: u16, is_own: bool, body: Option<&str>) -> call::Reply {
    let mut headers = HeaderMap::new();
    if !is_own {
        headers.insert("x-response-seal", header::HeaderValue::from_static("seal"));
    }
    let body = body.map(str::to_string);
    call::Reply { status, headers, body, taken: time::Duration::from_millis(80) }
}

fn refusal() -> call::Reply {
    let mut refusal = reply(503, true, Some("busy\n"));
    refusal.headers.insert(header::RETRY_AFTER, header::HeaderValue::from_static("1"));
    refusal
}

fn record(kind: Kind, end: End) -> record::Record {
    let began = time::Instant::now();
    let ended = began + time::Duration::from_millis(80);
    record::Record { attempt: "a1".to_string(), kind, edge: 0, began, ended, end }
}

fn found(record: record::Record, windows: &[record::FaultWindow], ran: u32) -> Vec<Invariant> {
    let history =
        record::History { records: vec![record], probes: Vec::new(), windows: windows.to_vec() };
    let runs = match ran {
        0 => check::Runs::new(),
        ran => check::Runs::from([("a1".to_string(), ran)]),
    };
    check::check(&history, &runs).into_iter().map(|violation| violation.invariant).collect()
}

// A fault of entry 0 that began `before` the request and ended `after` that.
fn window(
    fault: EntryFault,
    record: &record::Record,
    before: i64,
    after: u64,
) -> record::FaultWindow {
    let shift = time::Duration::from_millis(before.unsigned_abs());
    let from = if before < 0 { record.began + shift } else { record.began - shift };
    let until = Some(from + time::Duration::from_millis(after));
    record::FaultWindow { edge: 0, fault, from, until }
}

#[test]
fn sound_answers() {
    let whole = reply(200, false, Some("body of a1"));
    assert_eq!(found(record(Kind::Unsafe, End::Answer(whole)), &[], 1), []);
    let stream = standin::whole_stream();
    let whole = reply(200, false, Some(&stream));
    assert_eq!(found(record(Kind::Stream, End::Answer(whole)), &[], 1), []);
    let cut = reply(200, false, None);
    assert_eq!(found(record(Kind::Stream, End::Answer(cut)), &[], 1), [], "its caller sees it");
    assert_eq!(found(record(Kind::Safe, End::Answer(refusal())), &[], 0), []);
    assert_eq!(found(record(Kind::Safe, End::Abandoned), &[], 2), []);
}

#[test]
fn too_many_runs() {
    let whole = || End::Answer(reply(200, false, Some("body of a1")));
    assert_eq!(found(record(Kind::Unsafe, whole()), &[], 2), [Invariant::RunCount]);
    assert_eq!(found(record(Kind::Safe, whole()), &[], 2), []);
    assert_eq!(found(record(Kind::Safe, whole()), &[], 3), [Invariant::RunCount]);
    assert_eq!(found(record(Kind::Stream, End::Abandoned), &[], 2), [Invariant::RunCount]);
}

#[test]
fn false_refusal() {
    assert_eq!(found(record(Kind::Unsafe, End::Answer(refusal())), &[], 1), [Invariant::NotRun]);
    let bare = reply(503, true, Some("busy\n"));
    assert_eq!(found(record(Kind::Unsafe, End::Answer(bare)), &[], 0), [Invariant::RetryAfter]);
}

#[test]
fn wrong_body() {
    let others = reply(200, false, Some("body of a2"));
    assert_eq!(found(record(Kind::Safe, End::Answer(others)), &[], 1), [Invariant::Intact]);
    let part = reply(200, false, Some("id: 0\n"));
    assert_eq!(found(record(Kind::Resumable, End::Answer(part)), &[], 1), [Invariant::Intact]);
    let cut = reply(200, false, None);
    assert_eq!(found(record(Kind::Safe, End::Answer(cut)), &[], 1), [Invariant::Intact]);
}

#[test]
fn no_answer() {
    let broken = || record(Kind::Safe, End::ConnectionLost("reset".to_string()));
    assert_eq!(found(broken(), &[], 0), [Invariant::Answered]);
    let killed = window(EntryFault::Killed, &broken(), 10, 1_000);
    assert_eq!(found(broken(), &[killed], 0), []);
    let earlier = window(EntryFault::Killed, &broken(), 500, 100);
    assert_eq!(found(broken(), &[earlier], 0), [Invariant::Answered]);
    let stopped_after = window(EntryFault::Stopped, &broken(), -20, 1_000);
    assert_eq!(found(broken(), &[stopped_after], 0), [Invariant::GracefulStop]);
    let stopped_before = window(EntryFault::Stopped, &broken(), 20, 1_000);
    assert_eq!(found(broken(), &[stopped_before], 0), []);
}

#[test]
fn late_answer() {
    let mut slow = reply(200, false, Some("body of a1"));
    slow.taken = standin::PLAIN_LIMIT + time::Duration::from_secs(2);
    assert_eq!(found(record(Kind::Safe, End::Answer(slow)), &[], 1), [Invariant::Deadline]);
}

#[test]
fn config_undone() {
    let start = time::Instant::now();
    let at = |millis| start + time::Duration::from_millis(millis);
    let probe = |millis, version, applied| record::ConfigProbe {
        edge: 0,
        at: at(millis),
        version,
        applied,
    };
    let undone = |probes: &[record::ConfigProbe], windows: &[record::FaultWindow]| {
        let (probes, windows) = (probes.to_vec(), windows.to_vec());
        let history = record::History { records: Vec::new(), probes, windows };
        check::check(&history, &check::Runs::new()).len()
    };
    let grows = [probe(0, 1, true), probe(10, 2, false), probe(20, 2, true), probe(30, 3, false)];
    assert_eq!(undone(&grows, &[]), 0);
    let falls = [probe(0, 2, true), probe(20, 2, false)];
    assert_eq!(undone(&falls, &[]), 1);
    let window = |fault| record::FaultWindow { edge: 0, fault, from: at(5), until: Some(at(10)) };
    assert_eq!(undone(&falls, &[window(EntryFault::Killed)]), 0, "another process");
    assert_eq!(undone(&falls, &[window(EntryFault::Frozen)]), 1, "the same process");
}
