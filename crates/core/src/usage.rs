//! Usage records: what each caller got from each service.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use crate::{ids, outcome};

/// Totals of one entry over one interval; written once and never changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the entry instance.
    pub entry: String,
    /// Incarnation of the entry process.
    pub incarnation: ids::Incarnation,
    /// Number of the record, from 0, without gaps.
    pub seq: u64,
    /// Start of the interval in milliseconds since 1970.
    pub from_ms: u64,
    /// End of the interval in milliseconds since 1970.
    pub to_ms: u64,
    /// Longest time until the entry writes again, in milliseconds; 0 for twice the interval.
    #[serde(default)]
    pub due_ms: u64,
    /// Whether the entry stopped in order after this record.
    pub last: bool,
    /// Totals by service and caller.
    pub rows: Vec<Row>,
}

/// Totals of one caller at one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Service name.
    pub service: ids::ServiceName,
    /// Caller name.
    pub caller: ids::CallerName,
    /// What was counted.
    pub totals: Totals,
}

/// Counters that add up across records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// Requests by the name of their outcome.
    pub outcomes: collections::BTreeMap<String, u64>,
    /// Refusals and failures by reason.
    pub refusals: collections::BTreeMap<String, u64>,
    /// Retries by reason.
    pub retries: collections::BTreeMap<String, u64>,
    /// Requests that met all targets.
    pub good: u64,
    /// Tokens of requests that met both latency targets.
    pub useful_tokens: u64,
    /// Tokens sent to callers.
    pub output_tokens: u64,
    /// Prompt tokens prefilled.
    pub prefill_tokens: u64,
    /// Prompt tokens prefilled for nothing, by reason.
    pub wasted_tokens: collections::BTreeMap<String, u64>,
    /// Times to the first token, or to the whole plain answer.
    pub first: Histogram,
    /// Mean times between tokens.
    pub between: Histogram,
}

/// Histogram with buckets a tenth of a binary order apart.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Histogram {
    buckets: collections::BTreeMap<u32, u64>,
}

const STEPS: f64 = 10.0;

impl Histogram {
    /// Adds one sample.
    pub fn add(&mut self, sample: time::Duration) {
        let micros = sample.as_micros().max(1) as f64;
        let bucket = (micros.log2() * STEPS).ceil() as u32;
        *self.buckets.entry(bucket).or_default() += 1;
    }

    /// Upper bound of the bucket that holds the given quantile; `None` without samples.
    pub fn quantile(&self, part: f64) -> Option<time::Duration> {
        let count: u64 = self.buckets.values().sum();
        let rank = ((count as f64 * part).ceil() as u64).max(1);
        let mut seen = 0;
        self.buckets.iter().find_map(|(bucket, samples)| {
            seen += samples;
            let micros = (f64::from(*bucket) / STEPS).exp2();
            (seen >= rank).then(|| time::Duration::from_micros(micros as u64))
        })
    }

    /// Adds all samples of `other`.
    pub fn merge(&mut self, other: &Histogram) {
        add_counts(&mut self.buckets, &other.buckets);
    }
}

fn add_counts<K: Clone + Ord>(
    into: &mut collections::BTreeMap<K, u64>,
    from: &collections::BTreeMap<K, u64>,
) {
    for (key, count) in from {
        *into.entry(key.clone()).or_default() += count;
    }
}

impl Totals {
    /// Counts an outcome, with its reason where the request was refused or failed.
    pub fn count(&mut self, outcome: outcome::Outcome, reason: Option<outcome::Reason>) {
        *self.outcomes.entry(outcome.name().to_string()).or_default() += 1;
        if let Some(reason) = reason {
            *self.refusals.entry(reason.name().to_string()).or_default() += 1;
        }
    }

    /// Counts the tokens and times of a whole answer; `good` if it met all targets.
    pub fn answer(
        &mut self,
        first: time::Duration,
        between: time::Duration,
        tokens: u64,
        good: bool,
    ) {
        self.first.add(first);
        self.between.add(between);
        self.output_tokens += tokens;
        if good {
            self.good += 1;
            self.useful_tokens += tokens;
        }
    }

    /// Counts a retry.
    pub fn retry(&mut self, reason: outcome::Reason) {
        *self.retries.entry(reason.name().to_string()).or_default() += 1;
    }

    /// Counts prompt tokens prefilled for nothing.
    pub fn waste(&mut self, reason: outcome::Reason, tokens: u64) {
        *self.wasted_tokens.entry(reason.name().to_string()).or_default() += tokens;
    }

    /// Adds all counts of `other`.
    pub fn merge(&mut self, other: &Totals) {
        add_counts(&mut self.outcomes, &other.outcomes);
        add_counts(&mut self.refusals, &other.refusals);
        add_counts(&mut self.retries, &other.retries);
        add_counts(&mut self.wasted_tokens, &other.wasted_tokens);
        self.good += other.good;
        self.useful_tokens += other.useful_tokens;
        self.output_tokens += other.output_tokens;
        self.prefill_tokens += other.prefill_tokens;
        self.first.merge(&other.first);
        self.between.merge(&other.between);
    }
}

/// Totals of the current interval of one entry, and the records not yet stored.
#[derive(Debug)]
pub struct Ledger {
    entry: String,
    incarnation: ids::Incarnation,
    seq: u64,
    from_ms: u64,
    rows: collections::BTreeMap<(ids::ServiceName, ids::CallerName), Totals>,
    pending: collections::VecDeque<Record>,
}

/// Records kept while the object store is away; beyond that the newest two become one.
const MAX_PENDING: usize = 240;
/// Rows of all records kept, of about 1.2 KB each; one record for each caller remains.
const MAX_PENDING_ROWS: usize = 20_000;

impl Ledger {
    /// Starts a ledger at `now_ms` milliseconds since 1970.
    pub fn new(entry: String, incarnation: ids::Incarnation, now_ms: u64) -> Ledger {
        Ledger {
            entry,
            incarnation,
            seq: 0,
            from_ms: now_ms,
            rows: collections::BTreeMap::new(),
            pending: collections::VecDeque::new(),
        }
    }

    /// Totals of `caller` at `service`.
    pub fn totals(&mut self, service: &str, caller: &str) -> &mut Totals {
        self.rows.entry((service.to_string(), caller.to_string())).or_default()
    }

    /// Record of the current interval so far; the next one under its number replaces it within
    /// `due_ms` milliseconds.
    pub fn open_record(&self, now_ms: u64, due_ms: u64) -> Record {
        let rows = self.rows.iter().map(|((service, caller), totals)| Row {
            service: service.clone(),
            caller: caller.clone(),
            totals: totals.clone(),
        });
        Record {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            from_ms: self.from_ms,
            to_ms: now_ms,
            due_ms,
            last: false,
            rows: rows.collect(),
        }
    }

    /// Closes the current interval; an interval without requests leaves a record too, so that a
    /// missing record is a gap and not silence.
    pub fn close(&mut self, now_ms: u64, last: bool) {
        let rows = std::mem::take(&mut self.rows);
        let rows =
            rows.into_iter().map(|((service, caller), totals)| Row { service, caller, totals });
        let record = Record {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            from_ms: self.from_ms,
            to_ms: now_ms,
            due_ms: 0,
            last,
            rows: rows.collect(),
        };
        self.seq += 1;
        self.from_ms = now_ms;
        self.pending.push_back(record);
        self.shrink();
    }

    // The newest two records become one, which keeps every total and loses only resolution.
    // The front record may be on its way to the store, so it is never touched.
    fn shrink(&mut self) {
        let rows: usize = self.pending.iter().map(|record| record.rows.len()).sum();
        let is_small = self.pending.len() <= MAX_PENDING && rows <= MAX_PENDING_ROWS;
        if is_small || self.pending.len() <= 2 {
            return;
        }
        let (Some(newest), Some(before)) = (self.pending.pop_back(), self.pending.back_mut())
        else {
            return;
        };
        before.to_ms = newest.to_ms;
        before.last = newest.last;
        for row in newest.rows {
            let same =
                |other: &&mut Row| other.service == row.service && other.caller == row.caller;
            match before.rows.iter_mut().find(same) {
                Some(other) => other.totals.merge(&row.totals),
                None => before.rows.push(row),
            }
        }
        self.seq -= 1;
    }

    /// Oldest record not yet stored.
    pub fn next_record(&self) -> Option<&Record> {
        self.pending.front()
    }

    /// Notes that record `seq` is stored.
    pub fn stored(&mut self, seq: u64) {
        self.pending.retain(|record| record.seq != seq);
    }
}
