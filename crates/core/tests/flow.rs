//! State machine of a request: each failure leads to one final step and releases the resources
//! held.

use std::time;

use rhubarb_core::{flow, outcome, routing};

use flow::{Event, Step};
use outcome::{Outcome, Reason, Refusal};

const SOON: time::Duration = time::Duration::from_secs(1);

fn model(keyed: bool) -> flow::Flow {
    let deadline = time::Instant::now() + time::Duration::from_secs(60);
    flow::Flow::new(flow::Path::Staged, flow::RetryPolicy::model(keyed, deadline))
}

fn handle_all(flow: &mut flow::Flow, events: &[Event]) -> Vec<Step> {
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
fn complete_answer() {
    let mut flow = model(false);
    let events = [Event::Begin, Event::Reserved, Event::Prefilled, Event::Streamed, Event::Ended];
    let steps = handle_all(&mut flow, &events);
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
            let steps = handle_all(&mut flow, &events);
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
    let steps = handle_all(&mut flow, &events);
    let reserves = steps.iter().filter(|step| **step == Step::Reserve).count();
    assert_eq!(reserves, 1 + flow::MAX_RETRIES as usize);
    assert_eq!(last_outcome(&steps), Outcome::NotRun);
    assert_eq!(flow.tried().len(), flow::MAX_RETRIES as usize);
}

#[test]
fn unknown_persists() {
    let mut flow = model(false);
    let events = [Event::Begin, failed(Outcome::Unknown, true), failed(Outcome::NotRun, false)];
    let steps = handle_all(&mut flow, &events);
    assert_eq!(last_outcome(&steps), Outcome::Unknown, "the first attempt may have run");
}

#[test]
fn keyed_once() {
    let mut flow = model(true);
    let events = [Event::Begin, Event::Reserved, Event::Prefilled, failed(Outcome::Unknown, true)];
    let steps = handle_all(&mut flow, &events);
    assert_eq!(last_outcome(&steps), Outcome::Unknown, "a keyed request is not retried");

    let mut flow = model(true);
    let steps = handle_all(&mut flow, &[Event::Begin, failed(Outcome::NotRun, true)]);
    assert_eq!(steps.last(), Some(&Step::Reserve), "a request that did not run is retried");
}

#[test]
fn keyed_replay() {
    let mut flow = model(true);
    let events = [Event::Begin, Event::Replayed, Event::Streamed, Event::Ended];
    assert_eq!(handle_all(&mut flow, &events), [Step::Reserve, Step::Replay, Step::Finish]);
}

#[test]
fn stream_resumed() {
    let mut flow = model(false);
    let events = [
        Event::Begin,
        Event::Reserved,
        Event::Prefilled,
        Event::Streamed,
        failed(Outcome::Unknown, true),
    ];
    let steps = handle_all(&mut flow, &events);
    assert_eq!(steps[steps.len() - 2..], [Step::Release(Reason::EngineFailed), Step::Reserve]);
}

fn direct(kind: routing::Kind) -> flow::Flow {
    let deadline = time::Instant::now() + time::Duration::from_secs(10);
    let policy = flow::RetryPolicy { kind, max_runs: 2, max_retries: 2, deadline };
    flow::Flow::new(flow::Path::Direct, policy)
}

#[test]
fn direct_retry() {
    let mut flow = direct(routing::Kind::Safe);
    let steps = handle_all(&mut flow, &[Event::Begin, failed(Outcome::NotRun, true), Event::Ended]);
    let release = Step::Release(Reason::EngineFailed);
    assert_eq!(steps, [Step::Send, release, Step::Send, Step::Finish]);
}

#[test]
fn runs_bounded() {
    let mut flow = direct(routing::Kind::Safe);
    let unknown = failed(Outcome::Unknown, true);
    let steps = handle_all(&mut flow, &[Event::Begin, unknown.clone(), unknown]);
    let sends = steps.iter().filter(|step| **step == Step::Send).count();
    assert_eq!(sends, 2, "the policy allows two runs: {steps:?}");
    assert_eq!(last_outcome(&steps), Outcome::Unknown);
}

#[test]
fn partial_answer() {
    let mut flow = direct(routing::Kind::Safe);
    let events = [Event::Begin, Event::Streamed, failed(Outcome::Unknown, true)];
    let steps = handle_all(&mut flow, &events);
    assert_eq!(
        last_outcome(&steps),
        Outcome::Unknown,
        "a partly sent plain answer is not restarted"
    );
}

#[test]
fn retry_rule() {
    let now = time::Instant::now();
    let server = "yard-1".to_string();
    let not_run = Refusal::not_run(Reason::NoServer, SOON);
    let unknown = Refusal::unknown(Reason::EngineSilent, SOON);
    let forbidden = Refusal::not_run(Reason::Forbidden, SOON);
    let unsafe_flow = direct(routing::Kind::Unsafe);
    let safe_flow = direct(routing::Kind::Safe);
    assert!(unsafe_flow.may_retry(Some(&server), &not_run, now));
    assert!(!unsafe_flow.may_retry(Some(&server), &unknown, now), "it may have run already");
    assert!(safe_flow.may_retry(Some(&server), &unknown, now));
    assert!(!safe_flow.may_retry(None, &not_run, now), "no server is available");
    assert!(!safe_flow.may_retry(Some(&server), &forbidden, now), "every server would refuse");
    let late = now + time::Duration::from_secs(11);
    assert!(!safe_flow.may_retry(Some(&server), &not_run, late), "the deadline has passed");
    assert!(unsafe_flow.is_last_run() && !safe_flow.is_last_run());
}
