//! Usage records: totals of each caller at each service.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use crate::{ids, outcome};

/// Totals of one entry over one interval; immutable once the interval is closed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the entry instance.
    pub entry: String,
    /// Incarnation of the entry process.
    pub incarnation: ids::Incarnation,
    /// Sequence number of the record, from 0, without gaps.
    pub seq: u64,
    /// Start of the interval, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End of the interval, in milliseconds since the Unix epoch.
    pub to_ms: u64,
    /// Maximum time until the next write of the entry, in milliseconds; 0 stands for twice the
    /// interval.
    #[serde(default)]
    pub due_ms: u64,
    /// Whether the entry shut down gracefully after this record.
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
    /// Counters of the interval.
    pub totals: Totals,
}

/// Counters that can be summed over records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// Requests by the name of their outcome.
    pub outcomes: collections::BTreeMap<String, u64>,
    /// Refusals and failures by the name of their reason.
    pub refusals: collections::BTreeMap<String, u64>,
    /// Retries by the name of their reason.
    pub retries: collections::BTreeMap<String, u64>,
    /// Requests that met all latency targets of their service.
    pub good: u64,
    /// Tokens of requests that met all latency targets of their service.
    pub useful_tokens: u64,
    /// Tokens sent to callers.
    pub output_tokens: u64,
    /// Prompt tokens prefilled.
    pub prefill_tokens: u64,
    /// Wasted prefill in prompt tokens, by the name of the reason.
    pub wasted_tokens: collections::BTreeMap<String, u64>,
    /// Times to the first token, or to the complete answer of a plain service.
    pub first: Histogram,
    /// Mean time between tokens of each answer.
    pub between: Histogram,
}

/// Histogram of durations with ten logarithmic buckets for each doubling.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Histogram {
    buckets: collections::BTreeMap<u32, u64>,
}

const BUCKETS_PER_DOUBLING: f64 = 10.0;

impl Histogram {
    /// Adds one sample.
    pub fn add(&mut self, sample: time::Duration) {
        let micros = sample.as_micros().max(1) as f64;
        let bucket = (micros.log2() * BUCKETS_PER_DOUBLING).ceil() as u32;
        *self.buckets.entry(bucket).or_default() += 1;
    }

    /// Upper bound of the bucket that contains the quantile, given from 0 to 1; `None` without
    /// samples.
    pub fn quantile(&self, quantile: f64) -> Option<time::Duration> {
        let count: u64 = self.buckets.values().sum();
        let rank = ((count as f64 * quantile).ceil() as u64).max(1);
        let mut cumulative = 0;
        self.buckets.iter().find_map(|(bucket, samples)| {
            cumulative += samples;
            let micros = (f64::from(*bucket) / BUCKETS_PER_DOUBLING).exp2();
            (cumulative >= rank).then(|| time::Duration::from_micros(micros as u64))
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
    /// Counts the outcome of a request, and the reason if it was refused or failed.
    pub fn count_outcome(&mut self, outcome: outcome::Outcome, reason: Option<outcome::Reason>) {
        *self.outcomes.entry(outcome.name().to_string()).or_default() += 1;
        if let Some(reason) = reason {
            *self.refusals.entry(reason.name().to_string()).or_default() += 1;
        }
    }

    /// Counts the tokens and times of a complete answer; `good` says whether it met all latency
    /// targets.
    pub fn count_answer(
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
    pub fn count_retry(&mut self, reason: outcome::Reason) {
        *self.retries.entry(reason.name().to_string()).or_default() += 1;
    }

    /// Counts prompt tokens of a wasted prefill.
    pub fn count_waste(&mut self, reason: outcome::Reason, tokens: u64) {
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

/// Maximum number of records kept while the object store is unavailable; beyond it the newest two
/// are merged.
const MAX_PENDING: usize = 240;
/// Maximum number of rows in all records kept, of about 1.2 KB each; beyond it records are merged,
/// which leaves a row for each caller.
const MAX_PENDING_ROWS: usize = 20_000;

impl Ledger {
    /// Creates a ledger whose first interval starts at `now_ms`, in milliseconds since the Unix
    /// epoch.
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

    /// Totals of `caller` at `service` in the current interval.
    pub fn totals(&mut self, service: &str, caller: &str) -> &mut Totals {
        self.rows.entry((service.to_string(), caller.to_string())).or_default()
    }

    /// Record of the current interval so far; a record with the same sequence number replaces it
    /// within `due_ms` milliseconds.
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

    /// Closes the current interval; one without requests produces a record too, so that a missing
    /// record always indicates lost data.
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
        self.limit_pending();
    }

    // Merges the newest two records if too much is pending, which keeps all totals and loses only
    // resolution. The front record is never changed, since a write of it may be in progress.
    fn limit_pending(&mut self) {
        let rows: usize = self.pending.iter().map(|record| record.rows.len()).sum();
        let is_within = self.pending.len() <= MAX_PENDING && rows <= MAX_PENDING_ROWS;
        if is_within || self.pending.len() <= 2 {
            return;
        }
        let (Some(newest), Some(previous)) = (self.pending.pop_back(), self.pending.back_mut())
        else {
            return;
        };
        previous.to_ms = newest.to_ms;
        previous.last = newest.last;
        for row in newest.rows {
            let same =
                |other: &&mut Row| other.service == row.service && other.caller == row.caller;
            match previous.rows.iter_mut().find(same) {
                Some(other) => other.totals.merge(&row.totals),
                None => previous.rows.push(row),
            }
        }
        self.seq -= 1;
    }

    /// Oldest record that is not yet stored.
    pub fn next_record(&self) -> Option<&Record> {
        self.pending.front()
    }

    /// Number of closed records that are not stored yet.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Removes record `seq`, which is stored.
    pub fn remove_stored(&mut self, seq: u64) {
        self.pending.retain(|record| record.seq != seq);
    }
}
