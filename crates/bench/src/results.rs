//! Results of a simulation.

use std::{collections, fmt::Write, time};

use rhubarb_core::{outcome, usage};

use crate::{request, scenario};

use outcome::Reason;

/// Results of one simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Results {
    /// Requests per second that met both latency targets.
    pub goodput: f64,
    /// Requests per second whose answer was complete.
    pub answered: f64,
    /// Share of the prefilled prompt tokens whose result was never used.
    pub wasted: f64,
    /// Wasted prefill tokens by reason.
    pub wasted_by: collections::BTreeMap<&'static str, u64>,
    /// Refusals by reason.
    pub refused: collections::BTreeMap<&'static str, u64>,
    /// Lowest goodput of a caller, as a share of the mean.
    pub worst_caller: f64,
    /// Jain's fairness index of the callers' goodput.
    pub fairness: f64,
    /// Goodput of all callers except the first, which is the one that can be greedy.
    pub others_goodput: f64,
    /// Share of the requests of all callers except the first that met both latency targets.
    pub others_share: f64,
    /// Slots still held at the end of the simulation, when all requests are closed.
    pub held: u32,
}

/// Counters from which the results are computed.
#[derive(Debug)]
pub(crate) struct Counters {
    // Prompt tokens prefilled.
    prefilled: u64,
    // Prompt tokens prefilled whose result was never used.
    wasted: u64,
    results: Results,
    ledger: usage::Ledger,
    // Requests that met both latency targets, by caller.
    good: [u64; scenario::CALLERS],
    // Requests that arrived, by caller.
    arrived: [u64; scenario::CALLERS],
    answered: u64,
}

/// Service for which all requests are counted.
pub const SERVICE: &str = "model";

impl Counters {
    pub(crate) fn new() -> Counters {
        Counters {
            prefilled: 0,
            wasted: 0,
            results: Results::default(),
            ledger: usage::Ledger::new("bench".to_string(), 1, 0),
            good: [0; scenario::CALLERS],
            arrived: [0; scenario::CALLERS],
            answered: 0,
        }
    }

    // Totals of `caller` in the ledger, which is filled as an entry fills its own.
    fn totals(&mut self, caller: usize) -> &mut usage::Totals {
        self.ledger.totals(SERVICE, &format!("caller-{caller}"))
    }

    pub(crate) fn record_arrival(&mut self, caller: usize) {
        self.arrived[caller] += 1;
    }

    pub(crate) fn record_prefill(&mut self, caller: usize, tokens: u32) {
        self.totals(caller).prefill_tokens += u64::from(tokens);
        self.prefilled += u64::from(tokens);
    }

    pub(crate) fn record_waste(&mut self, caller: usize, reason: Reason, tokens: u32) {
        self.totals(caller).count_waste(reason, u64::from(tokens));
        self.wasted += u64::from(tokens);
        *self.results.wasted_by.entry(reason.name()).or_default() += u64::from(tokens);
    }

    pub(crate) fn record_refusal(&mut self, caller: usize, refusal: outcome::Refusal) {
        self.totals(caller).count_outcome(refusal.outcome, Some(refusal.reason));
        *self.results.refused.entry(refusal.reason.name()).or_default() += 1;
    }

    pub(crate) fn record_answer(&mut self, request: &request::Request, fleet: &scenario::Fleet) {
        self.answered += 1;
        self.totals(request.caller).count_outcome(outcome::Outcome::Answered, None);
        let (Some(first), Some(last)) = (request.first_at, request.last_at) else { return };
        let first_time = first - request.arrived_at;
        let between = (last - first) / request.sent_tokens.saturating_sub(1).max(1);
        let is_good = first_time <= fleet.first_token && between <= fleet.between_tokens;
        let tokens = u64::from(request.sent_tokens);
        self.totals(request.caller).count_answer(first_time, between, tokens, is_good);
        self.good[request.caller] += u64::from(is_good);
    }

    pub(crate) fn finish(mut self, length: time::Duration, held: u32) -> (Results, usage::Ledger) {
        self.ledger.close(length.as_millis() as u64, true);
        let seconds = length.as_secs_f64();
        let good: Vec<f64> = self.good.iter().map(|count| *count as f64).collect();
        let sum: f64 = good.iter().sum();
        let squares: f64 = good.iter().map(|count| count * count).sum();
        let worst = good.iter().copied().fold(f64::INFINITY, f64::min);
        let count = scenario::CALLERS as f64;
        self.results.goodput = sum / seconds;
        self.results.answered = self.answered as f64 / seconds;
        self.results.wasted = self.wasted as f64 / (self.prefilled as f64).max(1.0);
        self.results.worst_caller = if sum > 0.0 { worst * count / sum } else { 0.0 };
        self.results.fairness = if squares > 0.0 { sum * sum / (count * squares) } else { 0.0 };
        self.results.others_goodput = (sum - good[0]) / seconds;
        let others: u64 = self.arrived[1..].iter().sum();
        self.results.others_share = (sum - good[0]) / (others as f64).max(1.0);
        self.results.held = held;
        (self.results, self.ledger)
    }
}

/// Head of the table of results, in Markdown.
pub fn table_head() -> String {
    "| fleet | load | shape | fault | policy | goodput /s | others /s | answered /s | wasted % | worst | Jain \
     | refused | wasted by |\n|---|---:|---|---|---|---:|---:|---:|---:|---:|---:|---|---|\n"
        .to_string()
}

/// Row of the table of results.
pub fn table_row(scenario: &scenario::Scenario, policy: &str, results: &Results) -> String {
    let mut text = format!(
        "| {} | {} | {:?} | {:?} | {policy} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {:.3} | ",
        scenario.fleet.name,
        scenario.load,
        scenario.shape,
        scenario.fault,
        results.goodput,
        results.others_goodput,
        results.answered,
        results.wasted * 100.0,
        results.worst_caller,
        results.fairness,
    );
    write_counts(&mut text, &results.refused);
    text.push_str("| ");
    write_counts(&mut text, &results.wasted_by);
    text.push_str("|\n");
    text
}

fn write_counts(text: &mut String, counts: &collections::BTreeMap<&'static str, u64>) {
    for (name, count) in counts {
        let _ = write!(text, "{name} {count} ");
    }
}
