//! Generated requests and their state during the simulation.

use std::time;

use rhubarb_core::{fair_share, flow, outcome};

use crate::{random, scenario};

/// Request and its state at its entry.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) caller: usize,
    pub(crate) entry: usize,
    pub(crate) prompt_tokens: u32,
    /// Group of prompts with the same first tokens.
    pub(crate) prefix: u64,
    pub(crate) output_tokens: u32,
    pub(crate) share: fair_share::Share,
    pub(crate) arrived_at: time::Instant,
    /// When the caller cancels it, if it does.
    pub(crate) cancelled_at: Option<time::Instant>,
    pub(crate) flow: flow::Flow,
    /// Incremented with each attempt, so that delayed messages of earlier attempts are ignored.
    pub(crate) attempt: u64,
    /// Decode server of the attempt, until the outcome there is recorded.
    pub(crate) decode_server: Option<usize>,
    /// Prefill server of the attempt, until the outcome there is recorded.
    pub(crate) prefill_server: Option<usize>,
    /// Prefill server that holds the prefill result.
    pub(crate) source_server: usize,
    /// Prompt tokens prefilled whose result is not used yet.
    pub(crate) unused_tokens: u32,
    /// Tokens sent to the caller.
    pub(crate) sent_tokens: u32,
    /// When the caller receives the first token.
    pub(crate) first_at: Option<time::Instant>,
    /// When the caller receives the latest token.
    pub(crate) last_at: Option<time::Instant>,
    pub(crate) closed: bool,
    /// Refusal or failure of the latest attempt that failed.
    pub(crate) refusal: Option<outcome::Refusal>,
}

/// Number of groups of prompts that share their first tokens.
const PREFIX_GROUPS: u64 = 40;
/// Shortest and longest prompt.
const PROMPT_TOKENS: (f64, f64) = (30.0, 20_000.0);
/// Shortest and longest answer.
const OUTPUT_TOKENS: (f64, f64) = (20.0, 200.0);
/// Mean length of the log-uniformly distributed prompts.
pub(crate) const MEAN_PROMPT_TOKENS: f64 = 3071.0;
/// Mean length of the log-uniformly distributed answers.
pub(crate) const MEAN_OUTPUT_TOKENS: f64 = 78.2;
/// Deadline of a request, the default of the service list.
const DEADLINE: time::Duration = time::Duration::from_secs(60);
/// Share of the requests that are cancelled under [`scenario::Fault::Cancels`].
const CANCELLED_SHARE: f64 = 0.3;
/// Longest time from the arrival of a request to its cancellation.
const CANCELLED_WITHIN_SECONDS: f64 = 3.0;

/// Generates a random request of `caller` that arrives at `arrived_at`.
pub(crate) fn draw(
    random: &mut random::Random,
    caller: usize,
    arrived_at: time::Instant,
    fault: scenario::Fault,
) -> Request {
    let is_cancelled = fault == scenario::Fault::Cancels && random.unit() < CANCELLED_SHARE;
    let after = time::Duration::from_secs_f64(random.unit() * CANCELLED_WITHIN_SECONDS);
    Request {
        caller,
        entry: random.next() as usize % scenario::ZONES,
        prompt_tokens: random.log_uniform(PROMPT_TOKENS.0, PROMPT_TOKENS.1) as u32,
        prefix: random.next() % PREFIX_GROUPS,
        output_tokens: random.log_uniform(OUTPUT_TOKENS.0, OUTPUT_TOKENS.1) as u32,
        share: fair_share::Share::Within,
        arrived_at,
        cancelled_at: is_cancelled.then(|| arrived_at + after),
        flow: flow::Flow::new(
            flow::Path::Staged,
            flow::RetryPolicy::model(false, arrived_at + DEADLINE),
        ),
        attempt: 0,
        decode_server: None,
        prefill_server: None,
        source_server: 0,
        unused_tokens: 0,
        sent_tokens: 0,
        first_at: None,
        last_at: None,
        closed: false,
        refusal: None,
    }
}

/// Arrival times and callers of the requests of a scenario, in order; `rate` is in requests per
/// second.
pub(crate) fn arrivals(
    random: &mut random::Random,
    scenario: &scenario::Scenario,
    rate: f64,
) -> Vec<(time::Duration, usize)> {
    let mut arrivals = Vec::new();
    let greedy_rate = rate / scenario::CALLERS as f64 * 9.0;
    let total_rate =
        if scenario.shape == scenario::Shape::Greedy { rate + greedy_rate } else { rate };
    let mut at = 0.0;
    loop {
        let factor = match scenario.shape {
            scenario::Shape::Burst if (at as u64).is_multiple_of(4) => 2.0,
            scenario::Shape::Burst => 2.0 / 3.0,
            _ => 1.0,
        };
        at += random.exponential(total_rate * factor);
        if at >= scenario.seconds as f64 {
            return arrivals;
        }
        let is_greedy = random.unit() * total_rate >= rate;
        let random_caller = random.next() as usize % scenario::CALLERS;
        let caller = if is_greedy { 0 } else { random_caller };
        arrivals.push((time::Duration::from_secs_f64(at), caller));
    }
}
