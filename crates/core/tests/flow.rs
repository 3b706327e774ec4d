//! Life of a model request: each failure ends in one final step, and what is held is released.

use std::time;

use rhubarb_core::{flow, outcome};

use flow::{Event, Step};
use outcome::{Outcome, Reason, Refusal};

const SOON: time::Duration = time::Duration::from_secs(1);

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
    let mut flow = flow::Flow::new(false);
    let events = [Event::Begin, Event::Reserved, Event::Prefilled, Event::Streamed, Event::Ended];
    let steps = steps(&mut flow, &events);
    assert_eq!(steps, [Step::Reserve, Step::Prefill, Step::Decode, Step::Finish]);
}

#[test]
fn fails_anywhere() {
    let path = [Event::Begin, Event::Reserved, Event::Prefilled, Event::Streamed];
    for length in 1..=path.len() {
        for last in [Event::CallerGone, Event::Expired, failed(Outcome::Unknown, false)] {
            let mut flow = flow::Flow::new(false);
            let mut events = path[..length].to_vec();
            events.extend([last.clone(), last.clone(), Event::Ended, Event::Reserved]);
            let steps = steps(&mut flow, &events);
            let finals = |step: &&Step| matches!(step, Step::Refuse(_) | Step::Finish);
            assert_eq!(steps.iter().filter(finals).count(), 1, "{length} {last:?}: {steps:?}");
            assert!(steps.contains(&Step::Release), "{length} {last:?}: {steps:?}");
        }
    }
}

#[test]
fn retries_bounded() {
    let mut flow = flow::Flow::new(false);
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
    let mut flow = flow::Flow::new(false);
    let events = [Event::Begin, failed(Outcome::Unknown, true), failed(Outcome::NotRun, false)];
    let steps = steps(&mut flow, &events);
    assert_eq!(last_outcome(&steps), Outcome::Unknown, "the first attempt may have run");
}

#[test]
fn keyed_once() {
    let mut flow = flow::Flow::new(true);
    let events = [Event::Begin, Event::Reserved, Event::Prefilled, failed(Outcome::Unknown, true)];
    let taken = steps(&mut flow, &events);
    assert_eq!(last_outcome(&taken), Outcome::Unknown, "never repeated");

    let mut flow = flow::Flow::new(true);
    let taken = steps(&mut flow, &[Event::Begin, failed(Outcome::NotRun, true)]);
    assert_eq!(taken.last(), Some(&Step::Reserve), "what did not run may be tried again");
}

#[test]
fn keyed_replay() {
    let mut flow = flow::Flow::new(true);
    let events = [Event::Begin, Event::Replayed, Event::Streamed, Event::Ended];
    assert_eq!(steps(&mut flow, &events), [Step::Reserve, Step::Finish]);
}

#[test]
fn stream_goes_on() {
    let mut flow = flow::Flow::new(false);
    let events = [
        Event::Begin,
        Event::Reserved,
        Event::Prefilled,
        Event::Streamed,
        failed(Outcome::Unknown, true),
    ];
    let taken = steps(&mut flow, &events);
    assert_eq!(taken[taken.len() - 2..], [Step::Release, Step::Reserve]);
}
