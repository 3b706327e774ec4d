//! Requests of the load, and their state on the way.

use std::time;

use rhubarb_core::{fair_share, flow, outcome};

use crate::{random, scenario};

/// A request.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) caller: usize,
    pub(crate) entry: usize,
    pub(crate) prompt: u32,
    pub(crate) prefix: u64,
    pub(crate) output: u32,
    pub(crate) share: fair_share::Share,
    pub(crate) arrived: time::Instant,
    pub(crate) leaves: Option<time::Instant>,
    pub(crate) flow: flow::Flow,
    /// Raised with each attempt, so that late messages of old ones are told apart.
    pub(crate) attempt: u64,
    pub(crate) decode: Option<usize>,
    pub(crate) prefill: Option<usize>,
    /// Prefill server that holds the result.
    pub(crate) source: usize,
    /// Prompt tokens prefilled and not yet of use.
    pub(crate) unused: u32,
    pub(crate) sent: u32,
    pub(crate) first_at: Option<time::Instant>,
    pub(crate) last_at: Option<time::Instant>,
    pub(crate) closed: bool,
    pub(crate) refusal: Option<outcome::Refusal>,
}

/// Prompts share their first tokens within one of this many groups.
const PREFIXES: u64 = 40;
const PROMPT_TOKENS: (f64, f64) = (30.0, 20_000.0);
const OUTPUT_TOKENS: (f64, f64) = (20.0, 200.0);
/// Mean of the log-uniform spread of prompts.
pub(crate) const MEAN_PROMPT: f64 = 3071.0;
/// Mean of the log-uniform spread of outputs.
pub(crate) const MEAN_OUTPUT: f64 = 78.2;
/// Longest time of a request, as the service list sets it unless given.
const DEADLINE: time::Duration = time::Duration::from_secs(60);
const LEAVE_SHARE: f64 = 0.3;
const LEAVE_WITHIN: f64 = 3.0;

/// Draws the request of `caller` that arrives at `arrived`.
pub(crate) fn draw(
    random: &mut random::Random,
    caller: usize,
    arrived: time::Instant,
    fault: scenario::Fault,
) -> Request {
    let leaves = fault == scenario::Fault::Cancels && random.unit() < LEAVE_SHARE;
    let after = time::Duration::from_secs_f64(random.unit() * LEAVE_WITHIN);
    Request {
        caller,
        entry: random.next() as usize % scenario::ZONES,
        prompt: random.log_uniform(PROMPT_TOKENS.0, PROMPT_TOKENS.1) as u32,
        prefix: random.next() % PREFIXES,
        output: random.log_uniform(OUTPUT_TOKENS.0, OUTPUT_TOKENS.1) as u32,
        share: fair_share::Share::Within,
        arrived,
        leaves: leaves.then(|| arrived + after),
        flow: flow::Flow::new(
            flow::Path::Staged,
            flow::RetryPolicy::model(false, arrived + DEADLINE),
        ),
        attempt: 0,
        decode: None,
        prefill: None,
        source: 0,
        unused: 0,
        sent: 0,
        first_at: None,
        last_at: None,
        closed: false,
        refusal: None,
    }
}

/// Arrival times and callers of a run, in order.
pub(crate) fn arrivals(
    random: &mut random::Random,
    scenario: &scenario::Scenario,
    rate: f64,
) -> Vec<(time::Duration, usize)> {
    let mut arrivals = Vec::new();
    let greedy = rate / scenario::CALLERS as f64 * 9.0;
    let total = if scenario.shape == scenario::Shape::Greedy { rate + greedy } else { rate };
    let mut at = 0.0;
    loop {
        let factor = match scenario.shape {
            scenario::Shape::Burst if (at as u64).is_multiple_of(4) => 2.0,
            scenario::Shape::Burst => 2.0 / 3.0,
            _ => 1.0,
        };
        at += random.gap(total * factor);
        if at >= scenario.seconds as f64 {
            return arrivals;
        }
        let is_greedy = random.unit() * total >= rate;
        let even = random.next() as usize % scenario::CALLERS;
        let caller = if is_greedy { 0 } else { even };
        arrivals.push((time::Duration::from_secs_f64(at), caller));
    }
}
