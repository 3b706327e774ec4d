//! Merges usage records into totals. Each record counts once, and missing records are reported.

use std::collections;

use rhubarb_core::{ids, usage};

/// Totals of an interval over all entries.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Start in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End in milliseconds since the Unix epoch.
    pub to_ms: u64,
    rows: collections::BTreeMap<(ids::ServiceName, ids::CallerName), usage::Totals>,
    // Times covered by the records of each process, by sequence number.
    spans: collections::BTreeMap<Process, collections::BTreeMap<u64, Span>>,
}

/// Process of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    /// Instance name of the entry.
    pub entry: String,
    /// Incarnation of the process.
    pub incarnation: ids::Incarnation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Span {
    from_ms: u64,
    to_ms: u64,
    due_ms: u64,
    last: bool,
}

/// Time for which the records of a process are missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Process whose records are missing.
    pub process: Process,
    /// Start in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End in milliseconds since the Unix epoch; `None` where the process ended without a last
    /// record.
    pub to_ms: Option<u64>,
}

impl Report {
    /// Makes an empty report.
    pub fn new(from_ms: u64, to_ms: u64) -> Report {
        let rows = collections::BTreeMap::new();
        Report { from_ms, to_ms, rows, spans: collections::BTreeMap::new() }
    }

    /// Adds a record; returns false if it ends outside the interval or was added before.
    pub fn add(&mut self, record: usage::Record) -> bool {
        if record.to_ms < self.from_ms || record.to_ms >= self.to_ms {
            return false;
        }
        let process = Process { entry: record.entry, incarnation: record.incarnation };
        let usage::Record { from_ms, to_ms, due_ms, last, .. } = record;
        let span = Span { from_ms, to_ms, due_ms, last };
        let spans = self.spans.entry(process).or_default();
        if spans.insert(record.seq, span).is_some() {
            return false;
        }
        for row in record.rows {
            self.rows.entry((row.service, row.caller)).or_default().merge(&row.totals);
        }
        true
    }

    /// Service, caller and their totals, sorted by service and caller.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &str, &usage::Totals)> {
        let rows = self.rows.iter();
        rows.map(|((service, caller), totals)| (service.as_str(), caller.as_str(), totals))
    }

    /// Number of records added.
    pub fn record_count(&self) -> usize {
        self.spans.values().map(collections::BTreeMap::len).sum()
    }

    /// Times before `now_ms` for which records are missing: before the first record of a process,
    /// between two records, or after one that is not marked as the last.
    pub fn gaps(&self, now_ms: u64) -> Vec<Gap> {
        let mut gaps = Vec::new();
        for (process, spans) in &self.spans {
            gaps.extend(self.first_gap(process, spans));
            gaps.extend(inner_gaps(process, spans));
            let Some(latest) = spans.values().next_back().filter(|span| !span.last) else {
                continue;
            };
            let since_last = self.to_ms.min(now_ms).saturating_sub(latest.to_ms);
            // A live entry writes again within `due_ms`, or within twice the interval of its latest
            // record if that is longer; a longer time without a record is a gap.
            if since_last > latest.due_ms.max(2 * (latest.to_ms - latest.from_ms)).max(1) {
                let process = process.clone();
                gaps.push(Gap { process, from_ms: latest.to_ms, to_ms: None });
            }
        }
        gaps
    }

    // Records before the first one found are missing only if that one starts after the report does;
    // otherwise they ended before the report.
    fn first_gap(
        &self,
        process: &Process,
        spans: &collections::BTreeMap<u64, Span>,
    ) -> Option<Gap> {
        let (seq, first) = spans.first_key_value()?;
        let is_missing = *seq > 0 && first.from_ms > self.from_ms;
        is_missing.then(|| Gap {
            process: process.clone(),
            from_ms: self.from_ms,
            to_ms: Some(first.from_ms),
        })
    }
}

fn inner_gaps(process: &Process, spans: &collections::BTreeMap<u64, Span>) -> Vec<Gap> {
    let pairs = spans.iter().zip(spans.iter().skip(1));
    let missing = pairs.filter(|((seq, _), (next, _))| *seq + 1 < **next);
    let gaps = missing.map(|((_, before), (_, after))| Gap {
        process: process.clone(),
        from_ms: before.to_ms,
        to_ms: Some(after.from_ms),
    });
    gaps.collect()
}
