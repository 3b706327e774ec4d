//! Fault cases of the gate, one by one.

use std::time;

use rhubarb_core::{gate, ids, outcome};

use outcome::{Outcome, Reason};

const WINDOW: time::Duration = time::Duration::from_secs(600);
const GRACE: time::Duration = time::Duration::from_secs(2);
const SECOND: time::Duration = time::Duration::from_secs(1);

fn limits() -> gate::Limits {
    gate::Limits { window: WINDOW, max_keys: 3, orphan_grace: GRACE }
}

fn names(count: usize) -> Vec<ids::ServerName> {
    (1..=count).map(|number| format!("yard-{number}")).collect()
}

/// A gate of `yard-1` that has seen all of `count` servers and remembers everything.
fn open(count: usize, now: time::Instant) -> gate::Gate {
    let mut gate = gate::Gate::new("yard-1".into(), limits(), now);
    gate.mark_history_complete();
    gate.observe(&names(count), |_| false, now);
    gate
}

/// A key that ranks the servers in the order of `wanted`.
fn key_for(wanted: &[&str]) -> u128 {
    let servers = names(wanted.len());
    let is_wanted = |key: &u128| rhubarb_core::owner::rank(*key, &servers) == wanted;
    (0..).find(is_wanted).unwrap()
}

fn offer(run: u128, key: Option<u128>, now: time::Instant) -> gate::Offer {
    gate::Offer { run, key, start_by: now + 10 * SECOND, cancellable: key.is_none() }
}

fn refusal(verdict: gate::Decision) -> (Reason, Outcome) {
    match verdict {
        gate::Decision::Refuse(refusal) => (refusal.reason, refusal.outcome),
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn late_original() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    assert_eq!(gate.withdraw(1, now), gate::Withdrawal::NotRun);
    let verdict = gate.offer(offer(1, None, now), now + SECOND);
    assert_eq!(refusal(verdict), (Reason::Withdrawn, Outcome::NotRun));
}

#[test]
fn withdrawn_between() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    assert_eq!(gate.offer(offer(1, Some(5), now), now), gate::Decision::Accept);
    assert_eq!(gate.withdraw(1, now), gate::Withdrawal::NotRun);
    assert_eq!(gate.start(1, now).unwrap_err().outcome, Outcome::NotRun);
    assert_eq!(gate.offer(offer(2, Some(5), now), now), gate::Decision::Accept);
}

#[test]
fn paused_between() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    gate.offer(offer(1, None, now), now);
    let refusal = gate.start(1, now + 11 * SECOND).unwrap_err();
    assert_eq!((refusal.reason, refusal.outcome), (Reason::TooLate, Outcome::NotRun));
    assert!(gate.start(1, now).is_err(), "it can never start any more");
}

#[test]
fn delivered_late() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    let verdict = gate.offer(offer(1, None, now), now + 11 * SECOND);
    assert_eq!(refusal(verdict), (Reason::TooLate, Outcome::NotRun));
}

#[test]
fn started_settles_running() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    gate.offer(offer(1, None, now), now);
    gate.start(1, now).unwrap();
    assert_eq!(gate.withdraw(1, now), gate::Withdrawal::Running);
    gate.finish(1, true, now);
    assert_eq!(gate.withdraw(1, now), gate::Withdrawal::Ended);
}

#[test]
fn second_copy() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    gate.offer(offer(1, Some(5), now), now);
    let running = gate.offer(offer(2, Some(5), now), now);
    assert_eq!(refusal(running), (Reason::KeyRunning, Outcome::Unknown));
    gate.start(1, now).unwrap();
    gate.finish(1, true, now);
    assert_eq!(gate.offer(offer(3, Some(5), now), now), gate::Decision::Answered(1));
    gate.leave();
    let again = gate.offer(offer(4, Some(5), now), now);
    assert_eq!(again, gate::Decision::Answered(1), "also while leaving");
}

#[test]
fn broken_run() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    gate.offer(offer(1, Some(5), now), now);
    gate.start(1, now).unwrap();
    gate.finish(1, false, now);
    let verdict = gate.offer(offer(2, Some(5), now), now + SECOND);
    assert_eq!(refusal(verdict), (Reason::KeyUncertain, Outcome::Unknown));
}

#[test]
fn refused_by_server() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    gate.offer(offer(1, Some(5), now), now);
    gate.start(1, now).unwrap();
    gate.mark_not_executed(1, now);
    assert_eq!(gate.offer(offer(2, Some(5), now), now), gate::Decision::Accept);
    let old = gate.offer(offer(1, Some(5), now), now);
    assert_eq!(refusal(old).0, Reason::Withdrawn);
}

#[test]
fn memory_lost() {
    let now = time::Instant::now();
    let mut gate = gate::Gate::new("yard-1".into(), limits(), now);
    gate.observe(&names(1), |_| false, now);
    let verdict = gate.offer(offer(1, Some(5), now), now);
    assert_eq!(refusal(verdict), (Reason::KeyUncertain, Outcome::Unknown));
    assert_eq!(gate.offer(offer(2, None, now), now), gate::Decision::Accept);
    let later = now + WINDOW;
    assert_eq!(gate.offer(offer(3, Some(5), later), later), gate::Decision::Accept);
}

#[test]
fn handed_over() {
    let now = time::Instant::now();
    let mut old = open(1, now);
    old.offer(offer(1, Some(5), now), now);
    old.start(1, now).unwrap();
    old.finish(1, true, now);
    let mut new = gate::Gate::new("yard-1".into(), limits(), now);
    new.import(&old.export(now).unwrap(), SECOND, now);
    new.observe(&names(1), |_| false, now);
    assert_eq!(new.offer(offer(2, Some(5), now), now), gate::Decision::Answered(1));
    assert_eq!(new.offer(offer(3, Some(6), now), now), gate::Decision::Accept);
    assert_eq!(new.next_expired(now + WINDOW - SECOND), Some(1), "kept for the window, no longer");
}

#[test]
fn away_long() {
    let now = time::Instant::now();
    let old = open(1, now);
    let handover = old.export(now).unwrap();
    let later = now + WINDOW;
    let mut new = gate::Gate::new("yard-1".into(), limits(), later);
    new.import(&handover, WINDOW / 2, later);
    new.observe(&names(1), |_| false, later);
    let verdict = new.offer(offer(1, Some(5), later), later);
    assert_eq!(refusal(verdict).0, Reason::KeyUncertain, "others may have run its keys");
    assert!(new.export(later).is_none(), "an unsure gate leaves nothing to trust");
}

#[test]
fn taken_over() {
    let now = time::Instant::now();
    let mut gate = open(2, now);
    let key = key_for(&["yard-2", "yard-1"]);
    let elsewhere = gate.offer(offer(1, Some(key), now), now);
    assert_eq!(refusal(elsewhere), (Reason::WrongHome, Outcome::Unknown));
    gate.observe(&names(2), |name| name == "yard-2", now);
    let held = gate.offer(offer(2, Some(key), now), now + SECOND);
    assert_eq!(refusal(held), (Reason::KeyUncertain, Outcome::Unknown));
    let later = now + WINDOW;
    assert_eq!(gate.offer(offer(3, Some(key), later), later), gate::Decision::Accept);
}

#[test]
fn gone_and_back() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    gate.observe(&names(1), |_| true, now + SECOND);
    gate.observe(&names(1), |_| false, now + 2 * SECOND);
    let verdict = gate.offer(offer(1, Some(5), now), now + 2 * SECOND);
    assert_eq!(refusal(verdict).0, Reason::KeyUncertain, "others may have taken over");
}

#[test]
fn long_pause() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    gate.tick(now);
    gate.tick(now + WINDOW / 3);
    let later = now + WINDOW / 3;
    assert_eq!(gate.offer(offer(1, Some(5), later), later), gate::Decision::Accept);
    let woken = later + WINDOW / 2;
    gate.tick(woken);
    let verdict = gate.offer(offer(2, Some(6), woken), woken);
    assert_eq!(refusal(verdict).0, Reason::KeyUncertain);
}

#[test]
fn joined_lately() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    gate.record_join(WINDOW - SECOND, now);
    assert_eq!(refusal(gate.offer(offer(1, Some(5), now), now)).0, Reason::KeyUncertain);
    let later = now + SECOND;
    assert_eq!(gate.offer(offer(2, Some(5), later), later), gate::Decision::Accept);
}

#[test]
fn removed_lately() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    let key = key_for(&["yard-2", "yard-1"]);
    gate.record_removal("yard-2", SECOND, now);
    assert_eq!(refusal(gate.offer(offer(1, Some(key), now), now)).0, Reason::KeyUncertain);
    let later = now + WINDOW;
    assert_eq!(gate.offer(offer(2, Some(key), later), later), gate::Decision::Accept);
}

#[test]
fn records_full() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    for run in 1..=3 {
        assert_eq!(gate.offer(offer(run, Some(run), now), now), gate::Decision::Accept);
    }
    let verdict = gate.offer(offer(4, Some(4), now), now);
    assert_eq!(refusal(verdict), (Reason::RecordsFull, Outcome::NotRun));
    assert_eq!(gate.offer(offer(5, None, now), now), gate::Decision::Accept);
}

#[test]
fn orphans_cancelled() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    for (run, key) in [(1, None), (2, Some(5)), (3, None)] {
        gate.offer(offer(run, key, now), now);
        gate.start(run, now).unwrap();
        gate.lose_contact(run, now);
    }
    assert!(gate.resume(3));
    assert_eq!(gate.next_orphan(now + GRACE / 2), None, "the entry may still return");
    assert_eq!(gate.next_orphan(now + GRACE), Some(1));
    assert_eq!(gate.next_orphan(now + GRACE), None, "keyed and resumed runs go on");
    assert_eq!(gate.open_runs(), 3);
}

#[test]
fn leaving_refuses() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    gate.leave();
    assert_eq!(refusal(gate.offer(offer(1, None, now), now)), (Reason::Leaving, Outcome::NotRun));
}

#[test]
fn ended_forgotten() {
    let now = time::Instant::now();
    let mut gate = open(1, now);
    gate.offer(offer(1, None, now), now);
    gate.start(1, now).unwrap();
    gate.finish(1, true, now);
    let later = now + 2 * GRACE;
    assert_eq!(gate.next_expired(later), Some(1));
    assert_eq!(gate.withdraw(1, later), gate::Withdrawal::Ended, "it ran, though long ago");
    let verdict = gate.offer(offer(1, None, later), later);
    assert_eq!(refusal(verdict).1, Outcome::Unknown);
}

#[test]
fn hour_alone() {
    // Nothing is heard of the platform for an hour; the process goes on and ticks.
    let start = time::Instant::now();
    let mut gate = open(1, start);
    for second in 0..3600u32 {
        let now = start + second * SECOND;
        gate.tick(now);
        while gate.next_expired(now).is_some() {}
        if second % 300 == 0 {
            let run = u128::from(second) + 1;
            assert_eq!(gate.offer(offer(run, Some(run), now), now), gate::Decision::Accept);
            gate.start(run, now).unwrap();
            gate.finish(run, true, now);
        }
        if second % 300 == 200 {
            let (run, key) = (u128::from(second) + 1, u128::from(second - 200) + 1);
            let again = gate.offer(offer(run, Some(key), now), now);
            assert_eq!(again, gate::Decision::Answered(key), "second {second}");
        }
    }
    assert!(gate.key_count() <= 3, "records of the last window only");
}
