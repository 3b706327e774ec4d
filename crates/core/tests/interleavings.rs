//! Random interleavings of a request's steps with servers that run it, fail or run it late.
//!
//! To check a million requests: `PROPTEST_CASES=1000000 cargo test --release -p rhubarb-core
//! --test interleavings`.

mod random;

use std::time;

use proptest::prelude::*;

use rhubarb_core::{flow, outcome, routing};

use flow::{Event, Step};
use outcome::{Outcome, Reason, Refusal};

const SOON: time::Duration = time::Duration::from_secs(1);

/// Next action of a server or the caller.
#[derive(Clone, Copy, Debug)]
enum Action {
    Succeed,
    /// The caller receives a part of the answer; the next action follows.
    Partial,
    /// The attempt fails with proof that the request did not run.
    NotRun,
    /// The request ran, and the entry cannot know it.
    RanUnknown,
    /// The request runs after the entry has given up the attempt.
    RunsLate,
    /// The request never runs, and the entry cannot know it.
    LostUnknown,
    CallerGone,
    Expired,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => Just(Action::Succeed),
        2 => Just(Action::Partial),
        3 => Just(Action::NotRun),
        2 => Just(Action::RanUnknown),
        2 => Just(Action::RunsLate),
        2 => Just(Action::LostUnknown),
        1 => Just(Action::CallerGone),
        1 => Just(Action::Expired),
    ]
}

/// Ground truth of one case, which the entry cannot observe.
#[derive(Debug, Default)]
struct Truth {
    runs: u32,
    late_runs: u32,
    // Whether a decode slot is reserved.
    is_held: bool,
    // Retries granted by the budget.
    retries: u32,
    sends: u32,
    // Whether the caller has received a part of an answer.
    has_part: bool,
    last: Option<Step>,
}

struct Simulation {
    flow: flow::Flow,
    policy: flow::RetryPolicy,
    truth: Truth,
    // Decisions of the retry budget, in reverse order.
    budget: Vec<bool>,
    now: time::Instant,
}

impl Simulation {
    fn failed(&mut self, outcome: Outcome) -> Event {
        let refusal = Refusal { reason: Reason::EngineFailed, outcome, retry: Some(SOON) };
        let server = Some(format!("server-{}", self.truth.sends));
        let may_retry = self.flow.may_retry(server.as_ref(), &refusal, self.now);
        let retry = may_retry && self.budget.pop().unwrap_or(false);
        self.truth.retries += u32::from(retry);
        Event::Failed { server, refusal, retry }
    }

    // Executes a reservation or prefill, which sends nothing to the caller.
    fn stage(&mut self, action: Action, done: Event) -> Event {
        match action {
            Action::Succeed | Action::Partial => done,
            Action::CallerGone => Event::CallerGone,
            Action::Expired => Event::Expired,
            _ => self.failed(Outcome::NotRun),
        }
    }

    fn send(&mut self, mut actions: impl Iterator<Item = Action>) -> Event {
        self.truth.sends += 1;
        let is_resumable = self.policy.kind == routing::Kind::Stream { resumable: true };
        assert!(is_resumable || !self.truth.has_part, "a partly sent answer is restarted");
        let mut has_run = false;
        for action in actions.by_ref() {
            match action {
                // A request with a partial answer has run.
                Action::Partial => {
                    self.truth.runs += u32::from(!has_run);
                    has_run = true;
                    self.truth.has_part = true;
                    self.flow.handle(&Event::Streamed);
                }
                Action::Succeed => {
                    self.truth.runs += u32::from(!has_run);
                    return Event::Ended;
                }
                Action::NotRun if !has_run => return self.failed(Outcome::NotRun),
                Action::RanUnknown if !has_run => {
                    self.truth.runs += 1;
                    return self.failed(Outcome::Unknown);
                }
                Action::RunsLate if !has_run => {
                    self.truth.late_runs += 1;
                    return self.failed(Outcome::Unknown);
                }
                Action::CallerGone => return Event::CallerGone,
                Action::Expired => {
                    self.truth.late_runs += u32::from(!has_run);
                    return Event::Expired;
                }
                _ => return self.failed(Outcome::Unknown),
            }
        }
        Event::CallerGone
    }

    fn run(&mut self, mut actions: impl Iterator<Item = Action>) {
        self.flow.handle(&Event::Begin);
        while let Some(step) = self.flow.next_step() {
            assert!(!is_final(self.truth.last), "{step:?} after {:?}", self.truth.last);
            self.truth.last = Some(step);
            let event = match step {
                Step::Reserve => {
                    assert!(!self.truth.is_held, "a slot is already reserved");
                    let event =
                        self.stage(actions.next().unwrap_or(Action::CallerGone), Event::Reserved);
                    self.truth.is_held = matches!(event, Event::Reserved);
                    event
                }
                Step::Prefill => {
                    self.stage(actions.next().unwrap_or(Action::CallerGone), Event::Prefilled)
                }
                Step::Send => self.send(actions.by_ref()),
                Step::Release(_) => {
                    self.truth.is_held = false;
                    continue;
                }
                Step::Finish | Step::Refuse(_) | Step::Replay => continue,
            };
            self.flow.handle(&event);
        }
    }

    fn check(&self) {
        let Truth { runs, late_runs, is_held, retries, sends, last, .. } = &self.truth;
        let all_runs = runs + late_runs;
        assert!(is_final(*last), "no final answer: {last:?}");
        assert!(!is_held || *last == Some(Step::Finish), "the slot is not released");
        assert_eq!(self.flow.retries(), *retries, "retries differ from the retries granted");
        assert!(*retries <= self.policy.max_retries && *sends <= 1 + retries);
        assert!(all_runs <= self.policy.max_runs, "ran {all_runs} times");
        let is_once = !self.policy.kind.is_repeatable();
        assert!(!is_once || all_runs <= 1, "ran {all_runs} times, but may run once");
        if let Some(Step::Refuse(Refusal { outcome: Outcome::NotRun, .. })) = last {
            assert_eq!(all_runs, 0, "reported `NotRun` after a run");
        }
    }
}

fn is_final(step: Option<Step>) -> bool {
    matches!(step, Some(Step::Finish | Step::Refuse(_)))
}

fn kind() -> impl Strategy<Value = routing::Kind> {
    prop_oneof![
        Just(routing::Kind::Safe),
        Just(routing::Kind::Unsafe),
        Just(routing::Kind::Stream { resumable: true }),
        Just(routing::Kind::Stream { resumable: false }),
    ]
}

proptest! {
    #![proptest_config(random::config(5000))]

    #[test]
    fn random_interleavings(
        kind in kind(),
        is_staged in any::<bool>(),
        max_runs in 1u32..4,
        max_retries in 0u32..5,
        budget in proptest::collection::vec(any::<bool>(), 0..6),
        actions in proptest::collection::vec(action(), 0..24),
    ) {
        let now = time::Instant::now();
        let deadline = now + 10 * SOON;
        let policy = flow::RetryPolicy { kind, max_runs, max_retries, deadline };
        let path = if is_staged { flow::Path::Staged } else { flow::Path::Direct };
        let flow = flow::Flow::new(path, policy);
        let mut simulation = Simulation { flow, policy, truth: Truth::default(), budget, now };
        simulation.run(actions.into_iter());
        simulation.check();
    }
}
