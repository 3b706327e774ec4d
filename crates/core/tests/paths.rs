//! Random interleavings of a request's life against servers that run, fail or run late.
//!
//! By hand with a million requests: `PROPTEST_CASES=1000000 cargo test --release -p rhubarb-core
//! --test paths`.

mod random;

use std::time;

use proptest::prelude::*;

use rhubarb_core::{flow, outcome, routing};

use flow::{Event, Step};
use outcome::{Outcome, Reason, Refusal};

const SOON: time::Duration = time::Duration::from_secs(1);

/// What the servers and the caller do next.
#[derive(Clone, Copy, Debug)]
enum Luck {
    Well,
    /// The caller gets a part of the answer, then what follows.
    Part,
    /// A proof that the request did not run.
    NotRun,
    /// It ran, and nobody can tell.
    RanUnseen,
    /// It has not run yet, and runs when it is too late to ask.
    RunsLate,
    /// It never runs, and nobody can tell.
    LostUnseen,
    CallerGone,
    Expired,
}

fn luck() -> impl Strategy<Value = Luck> {
    prop_oneof![
        4 => Just(Luck::Well),
        2 => Just(Luck::Part),
        3 => Just(Luck::NotRun),
        2 => Just(Luck::RanUnseen),
        2 => Just(Luck::RunsLate),
        2 => Just(Luck::LostUnseen),
        1 => Just(Luck::CallerGone),
        1 => Just(Luck::Expired),
    ]
}

/// What really happened, as nobody on the way can see it.
#[derive(Debug, Default)]
struct World {
    runs: u32,
    late_runs: u32,
    is_held: bool,
    paid: u32,
    sends: u32,
    // Whether the caller has a part of an answer.
    has_part: bool,
    last: Option<Step>,
}

struct Play {
    flow: flow::Flow,
    rules: flow::RetryPolicy,
    world: World,
    // Whether the retry budget has something left, call by call.
    budget: Vec<bool>,
    now: time::Instant,
}

impl Play {
    fn failed(&mut self, outcome: Outcome) -> Event {
        let refusal = Refusal { reason: Reason::EngineFailed, outcome, retry: Some(SOON) };
        let server = Some(format!("server-{}", self.world.sends));
        let may_retry = self.flow.may_retry(server.as_ref(), &refusal, self.now);
        let retry = may_retry && self.budget.pop().unwrap_or(false);
        self.world.paid += u32::from(retry);
        Event::Failed { server, refusal, retry }
    }

    // A stage that runs nothing a caller sees.
    fn stage(&mut self, luck: Luck, done: Event) -> Event {
        match luck {
            Luck::Well | Luck::Part => done,
            Luck::CallerGone => Event::CallerGone,
            Luck::Expired => Event::Expired,
            _ => self.failed(Outcome::NotRun),
        }
    }

    fn send(&mut self, mut lucks: impl Iterator<Item = Luck>) -> Event {
        self.world.sends += 1;
        let is_resumable = self.rules.kind == routing::Kind::Stream { resumable: true };
        assert!(is_resumable || !self.world.has_part, "a begun answer is begun again");
        let mut has_run = false;
        for luck in lucks.by_ref() {
            // What has answered in part has run.
            match luck {
                Luck::Part => {
                    self.world.runs += u32::from(!has_run);
                    has_run = true;
                    self.world.has_part = true;
                    self.flow.handle(&Event::Streamed);
                }
                Luck::Well => {
                    self.world.runs += u32::from(!has_run);
                    return Event::Ended;
                }
                Luck::NotRun if !has_run => return self.failed(Outcome::NotRun),
                Luck::RanUnseen if !has_run => {
                    self.world.runs += 1;
                    return self.failed(Outcome::Unknown);
                }
                Luck::RunsLate if !has_run => {
                    self.world.late_runs += 1;
                    return self.failed(Outcome::Unknown);
                }
                Luck::CallerGone => return Event::CallerGone,
                Luck::Expired => {
                    self.world.late_runs += u32::from(!has_run);
                    return Event::Expired;
                }
                _ => return self.failed(Outcome::Unknown),
            }
        }
        Event::CallerGone
    }

    fn run(&mut self, mut lucks: impl Iterator<Item = Luck>) {
        self.flow.handle(&Event::Begin);
        while let Some(step) = self.flow.next_step() {
            assert!(!is_final(self.world.last), "{step:?} after {:?}", self.world.last);
            self.world.last = Some(step);
            let event = match step {
                Step::Reserve => {
                    assert!(!self.world.is_held, "room is held already");
                    let event =
                        self.stage(lucks.next().unwrap_or(Luck::CallerGone), Event::Reserved);
                    self.world.is_held = matches!(event, Event::Reserved);
                    event
                }
                Step::Prefill => {
                    self.stage(lucks.next().unwrap_or(Luck::CallerGone), Event::Prefilled)
                }
                Step::Send => self.send(lucks.by_ref()),
                Step::Release(_) => {
                    self.world.is_held = false;
                    continue;
                }
                Step::Finish | Step::Refuse(_) | Step::Replay => continue,
            };
            self.flow.handle(&event);
        }
    }

    fn check(&self) {
        let World { runs, late_runs, is_held, paid, sends, last, .. } = &self.world;
        let all_runs = runs + late_runs;
        assert!(is_final(*last), "no final answer: {last:?}");
        assert!(!is_held || *last == Some(Step::Finish), "room stays held");
        assert_eq!(self.flow.retries(), *paid, "an attempt without budget, or budget without one");
        assert!(*paid <= self.rules.max_retries && *sends <= 1 + paid);
        assert!(all_runs <= self.rules.max_runs, "ran {all_runs} times");
        let is_once = !self.rules.kind.is_repeatable();
        assert!(!is_once || all_runs <= 1, "ran {all_runs} times, and may run once");
        if let Some(Step::Refuse(Refusal { outcome: Outcome::NotRun, .. })) = last {
            assert_eq!(all_runs, 0, "«not run» is not true");
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
    fn random_lives(
        kind in kind(),
        is_staged in any::<bool>(),
        attempts in 1u32..4,
        retries in 0u32..5,
        budget in proptest::collection::vec(any::<bool>(), 0..6),
        lucks in proptest::collection::vec(luck(), 0..24),
    ) {
        let now = time::Instant::now();
        let rules = flow::RetryPolicy { kind, max_runs: attempts, max_retries: retries, deadline: now + 10 * SOON };
        let path = if is_staged { flow::Path::Staged } else { flow::Path::Direct };
        let flow = flow::Flow::new(path, rules);
        let mut play = Play { flow, rules, world: World::default(), budget, now };
        play.run(lucks.into_iter());
        play.check();
    }
}
