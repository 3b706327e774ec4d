//! Age of what is known of a table, and when the store is asked again.

use std::time;

use rhubarb_core::freshness;

const SECOND: time::Duration = time::Duration::from_secs(1);
/// Interval of the datagrams by which checkers tell others what the store has answered.
const HEARTBEAT: time::Duration = time::Duration::from_millis(300);
/// Deadlines of the platform's installations, and that of the size that the system is built for.
const LIMITS: [time::Duration; 4] = [
    time::Duration::from_secs(2),
    time::Duration::from_secs(3),
    time::Duration::from_secs(4),
    time::Duration::from_secs(6),
];

fn terms() -> freshness::Terms {
    freshness::Terms::new(3 * SECOND)
}

#[test]
fn newest_counts() {
    let now = time::Instant::now();
    let mut known = freshness::Freshness::default();
    assert_eq!((known.age(now), known.check_at(&terms(), 0.0)), (None, None));
    known.record_answer(now);
    known.record_answer(now - SECOND);
    known.record_told(now - SECOND, true);
    assert_eq!(known.age(now + SECOND), Some(SECOND));
    assert_eq!(known.age(now - SECOND), Some(time::Duration::ZERO));
    known.record_told(now + SECOND, false);
    assert_eq!(known.age(now + SECOND), Some(SECOND), "its changes are not known here");
}

// Guards against entries that keep old information beyond the shortest deadline, as nobody else notices
// that the feeds are silent, and one question is lost or refused (issue 56).
#[test]
fn checked_in_time() {
    let now = time::Instant::now();
    for limit in LIMITS {
        let terms = freshness::Terms::new(limit);
        let mut known = freshness::Freshness::default();
        known.record_answer(now);
        let first = known.check_at(&terms, 0.0).unwrap();
        let last = known.check_at(&terms, 1.0).unwrap();
        // Those that check have asked and told by then.
        let told_by = known.next_check(&terms).unwrap() + HEARTBEAT;
        assert!(first > told_by, "{limit:?}: told {:?} after the answer", told_by - now);
        assert!(last + 2 * terms.timeout() <= now + limit, "{limit:?}: two questions fit");
        known.record_answer(now + SECOND);
        assert_eq!(known.check_at(&terms, 0.0), Some(first + SECOND));
    }
}

// Guards against an answer that is taken for new though it waited on its way, or in an entry that stood
// still (issue 56).
#[test]
fn late_answers() {
    let sent_at = time::Instant::now();
    let wait = time::Duration::from_millis(750);
    let question = freshness::Question { sent_at, wait };
    let read_at = sent_at + 4 * SECOND;
    assert_eq!(question.answered_at(false, read_at), sent_at + wait, "the wait ended without any");
    assert_eq!(question.answered_at(true, read_at), sent_at, "others may have followed at once");
    let early = sent_at + wait / 2;
    assert_eq!(
        question.answered_at(false, early),
        early,
        "the store waited less than it was asked"
    );
}

// Guards against ages that lack the time for which the clock stood still (issue 56).
#[test]
fn suspended_time_counts() {
    let now = time::Instant::now();
    let mut known = freshness::Freshness::default();
    known.record_suspension(SECOND);
    assert_eq!(known.age(now), None);
    known.record_answer(now);
    known.record_suspension(4 * SECOND);
    assert_eq!((known.age(now), known.answer_age(now)), (Some(4 * SECOND), Some(4 * SECOND)));
    assert!(known.check_at(&terms(), 1.0) < Some(now), "the store is asked at once");
}

// Guards against a grace period that an entry begins for itself, as it alone did not reach the store:
// its peers know which servers are gone.
#[test]
fn cut_off_alone() {
    let now = time::Instant::now();
    let mut known = freshness::Freshness::default();
    let failed_at = now - 4 * SECOND;
    let is_answered =
        |known: &freshness::Freshness, now| known.is_answered(&terms(), failed_at, now);
    assert!(!is_answered(&known, now), "nobody has told anything");
    known.record_told(failed_at, false);
    assert!(!is_answered(&known, now), "told before the outage");
    known.record_told(now - SECOND, false);
    assert!(is_answered(&known, now));
    assert!(!is_answered(&known, now + SECOND), "the store may be away by then");
}

// Guards against a removed server that is kept for a grace period, as a call was refused: the store was
// not away for long enough that rows expire.
#[test]
fn refused_briefly() {
    let now = time::Instant::now();
    let mut known = freshness::Freshness::default();
    assert!(known.may_have_expired(now), "nothing is known");
    known.record_answer(now);
    assert!(!known.may_have_expired(now + 2 * SECOND));
    assert!(known.may_have_expired(now + 3 * SECOND));
    known.record_told(now + 2 * SECOND, false);
    assert!(!known.may_have_expired(now + 3 * SECOND), "another entry was answered");
    known.record_suspension(SECOND);
    assert!(known.may_have_expired(now + 4 * SECOND), "suspended time counts");
}

// Guards against live servers that are dropped after an outage which an open feed has outlasted.
#[test]
fn outage_outlasted() {
    let now = time::Instant::now();
    for limit in LIMITS {
        let terms = freshness::Terms::new(limit);
        let mut known = freshness::Freshness::default();
        assert!(!known.may_follow_outage(&terms, now), "nothing is known yet");
        known.record_answer(now);
        let checked = known.check_at(&terms, 1.0).unwrap() + terms.timeout();
        assert!(!known.may_follow_outage(&terms, checked), "asked and answered before");
        let outlasted = now + (4 * SECOND).max(limit);
        assert!(known.may_follow_outage(&terms, outlasted));
    }
}

// Guards against entries that confirm one another what nobody has asked the store.
#[test]
fn not_confirmed_in_circles() {
    let delay = time::Duration::from_millis(50);
    let now = time::Instant::now();
    let mut entries = [freshness::Freshness::default(); 2];
    entries[0].record_answer(now);
    for round in 0..200 {
        let at = now + round * delay;
        for (from, to) in [(0, 1), (1, 0)] {
            let Some(age) = entries[from].answer_age(at) else { continue };
            entries[to].record_told(at + delay - age, true);
        }
    }
    let mut newest = freshness::Freshness::default();
    newest.record_answer(now + delay);
    for entry in &entries {
        assert!(entry.check_at(&terms(), 0.0) <= newest.check_at(&terms(), 0.0));
    }
    assert_eq!(entries[1].answer_age(now), None, "it has not asked itself");
}

// The store is heard while it answers this entry, not while others tell so.
#[test]
fn heard_by_itself() {
    let now = time::Instant::now();
    let mut known = freshness::Freshness::default();
    known.record_told(now, true);
    assert!(!known.is_heard(&terms(), now));
    known.record_answer(now);
    assert!(known.is_heard(&terms(), now + SECOND) && !known.is_heard(&terms(), now + 2 * SECOND));
}
