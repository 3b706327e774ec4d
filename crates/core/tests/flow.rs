//! Life of a model request: each failure ends in one final step, and what is held is released.

use std::time;

use rhubarb_core::{flow, outcome, routing};

use flow::{Event, Step};
use outcome::{Outcome, Reason, Refusal};

const SOON: time::Duration = time::Duration::from_secs(1);

fn model(keyed: bool) -> flow::Flow {
    let deadline = time::Instant::now() + time::Duration::from_secs(60);
    flow::Flow::new(flow::Path::Staged, flow::Rules::model(keyed, deadline))
}

fn steps(flow: &mut flow::Flow, events: &[Event]) -> Vec<Step> {
    let mut steps = Vec::new();
    for event in events {
        flow.handle(event);
        while let Some(step) = flow.next_step() {
            steps.push(step);
        }
    }
    steps
}

fn failed(outcome: Outcome, retry: bool) -> Event {
    let refusal = Refusal { reason: Reason::EngineFailed, outcome, retry: Some(SOON) };
    Event::Failed { server: Some("decode-1".into()), refusal, retry }
}

fn last_outcome(steps: &[Step]) -> Outcome {
    match steps.last() {
        Some(Step::Refuse(refusal)) => refusal.outcome,
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn whole_answer() {
    let mut flow = model(false);
    let events = [Event::Begin, Event::Reserved, Event::Prefilled, Event::Streamed, Event::Ended];
    let steps = steps(&mut flow, &events);
    assert_eq!(steps, [Step::Reserve, Step::Prefill, Step::Send, Step::Finish]);
}

#[test]
fn fails_anywhere() {
    let path = [Event::Begin, Event::Reserved, Event::Prefilled, Event::Streamed];
    for length in 1..=path.len() {
        for last in [Event::CallerGone, Event::Expired, failed(Outcome::Unknown, false)] {
            let mut flow = model(false);
            let mut events = path[..length].to_vec();
            events.extend([last.clone(), last.clone(), Event::Ended, Event::Reserved]);
            let steps = steps(&mut flow, &events);
            let finals = |step: &&Step| matches!(step, Step::Refuse(_) | Step::Finish);
            assert_eq!(steps.iter().filter(finals).count(), 1, "{length} {last:?}: {steps:?}");
            let is_release = |step: &Step| matches!(step, Step::Release(_));
            assert!(steps.iter().any(is_release), "{length} {last:?}: {steps:?}");
        }
    }
}

#[test]
fn retries_bounded() {
    let mut flow = model(false);
    let events: Vec<_> = std::iter::once(Event::Begin)
        .chain((0..9).map(|_| failed(Outcome::NotRun, true)))
        .collect();
    let steps = steps(&mut flow, &events);
    let reserves = steps.iter().filter(|step| **step == Step::Reserve).count();
    assert_eq!(reserves, 1 + flow::MAX_RETRIES as usize);
    assert_eq!(last_outcome(&steps), Outcome::NotRun);
    assert_eq!(flow.tried().len(), flow::MAX_RETRIES as usize);
}

#[test]
fn unsure_stays() {
    let mut flow = model(false);
    let events = [Event::Begin, failed(Outcome::Unknown, true), failed(Outcome::NotRun, false)];
    let steps = steps(&mut flow, &events);
    assert_eq!(last_outcome(&steps), Outcome::Unknown, "the first attempt may have run");
}

#[test]
fn keyed_once() {
    let mut flow = model(true);
    let events = [Event::Begin, Event::Reserved, Event::Prefilled, failed(Outcome::Unknown, true)];
    let taken = steps(&mut flow, &events);
    assert_eq!(last_outcome(&taken), Outcome::Unknown, "never repeated");

    let mut flow = model(true);
    let taken = steps(&mut flow, &[Event::Begin, failed(Outcome::NotRun, true)]);
    assert_eq!(taken.last(), Some(&Step::Reserve), "what did not run may be tried again");
}

#[test]
fn keyed_replay() {
    let mut flow = model(true);
    let events = [Event::Begin, Event::Replayed, Event::Streamed, Event::Ended];
    assert_eq!(steps(&mut flow, &events), [Step::Reserve, Step::Replay, Step::Finish]);
}

#[test]
fn stream_goes_on() {
    let mut flow = model(false);
    let events = [
        Event::Begin,
        Event::Reserved,
        Event::Prefilled,
        Event::Streamed,
        failed(Outcome::Unknown, true),
    ];
    let taken = steps(&mut flow, &events);
    assert_eq!(taken[taken.len() - 2..], [Step::Release(Reason::EngineFailed), Step::Reserve]);
}

fn direct(kind: routing::Kind) -> flow::Flow {
    let deadline = time::Instant::now() + time::Duration::from_secs(10);
    let rules = flow::Rules { kind, attempts: 2, retries: 2, deadline };
    flow::Flow::new(flow::Path::Direct, rules)
}

#[test]
fn direct_call() {
    let mut flow = direct(routing::Kind::Safe);
    let taken = steps(&mut flow, &[Event::Begin, failed(Outcome::NotRun, true), Event::Ended]);
    let failed = Step::Release(Reason::EngineFailed);
    assert_eq!(taken, [Step::Send, failed, Step::Send, Step::Finish]);
}

#[test]
fn runs_bounded() {
    let mut flow = direct(routing::Kind::Safe);
    let unknown = failed(Outcome::Unknown, true);
    let taken = steps(&mut flow, &[Event::Begin, unknown.clone(), unknown]);
    let sends = taken.iter().filter(|step| **step == Step::Send).count();
    assert_eq!(sends, 2, "it may run at two servers: {taken:?}");
    assert_eq!(last_outcome(&taken), Outcome::Unknown);
}

#[test]
fn begun_answer() {
    let mut flow = direct(routing::Kind::Safe);
    let events = [Event::Begin, Event::Streamed, failed(Outcome::Unknown, true)];
    let taken = steps(&mut flow, &events);
    assert_eq!(last_outcome(&taken), Outcome::Unknown, "a plain answer is not begun twice");
}

#[test]
fn retry_rule() {
    let now = time::Instant::now();
    let server = "yard-1".to_string();
    let not_run = Refusal::not_run(Reason::NoServer, SOON);
    let unknown = Refusal::unknown(Reason::EngineSilent, SOON);
    let never = Refusal::not_run(Reason::Forbidden, SOON);
    let once = direct(routing::Kind::Unsafe);
    let safe = direct(routing::Kind::Safe);
    assert!(once.may_retry(Some(&server), &not_run, now));
    assert!(!once.may_retry(Some(&server), &unknown, now), "it may have run");
    assert!(safe.may_retry(Some(&server), &unknown, now));
    assert!(!safe.may_retry(None, &not_run, now), "there is no server");
    assert!(!safe.may_retry(Some(&server), &never, now), "all servers would refuse");
    let late = now + time::Duration::from_secs(11);
    assert!(!safe.may_retry(Some(&server), &not_run, late), "the deadline is past");
    assert!(once.is_last_run() && !safe.is_last_run());
}
