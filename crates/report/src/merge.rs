//! Adds usage records up; each counts once, and missing ones are named.

use std::collections;

use rhubarb_core::{ids, usage};

/// Totals of an interval over all entries.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Start in milliseconds since 1970.
    pub from_ms: u64,
    /// End in milliseconds since 1970.
    pub to_ms: u64,
    rows: collections::BTreeMap<(ids::ServiceName, ids::CallerName), usage::Totals>,
    seen: collections::BTreeMap<Process, collections::BTreeMap<u64, Span>>,
}

/// One entry process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    /// Name of the entry instance.
    pub entry: String,
    /// Incarnation of its process.
    pub incarnation: ids::Incarnation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Span {
    from_ms: u64,
    to_ms: u64,
    due_ms: u64,
    last: bool,
}

/// Time for which an entry's records are missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Process whose records are missing.
    pub process: Process,
    /// Start in milliseconds since 1970.
    pub from_ms: u64,
    /// End in milliseconds since 1970; `None` where the process ended without a last record.
    pub to_ms: Option<u64>,
}

impl Report {
    /// Makes an empty report.
    pub fn new(from_ms: u64, to_ms: u64) -> Report {
        let rows = collections::BTreeMap::new();
        Report { from_ms, to_ms, rows, seen: collections::BTreeMap::new() }
    }

    /// Adds a record that ends within the interval; false if it was added before.
    pub fn add(&mut self, record: usage::Record) -> bool {
        if record.to_ms < self.from_ms || record.to_ms >= self.to_ms {
            return false;
        }
        let process = Process { entry: record.entry, incarnation: record.incarnation };
        let usage::Record { from_ms, to_ms, due_ms, last, .. } = record;
        let span = Span { from_ms, to_ms, due_ms, last };
        let seen = self.seen.entry(process).or_default();
        if seen.insert(record.seq, span).is_some() {
            return false;
        }
        for row in record.rows {
            self.rows.entry((row.service, row.caller)).or_default().merge(&row.totals);
        }
        true
    }

    /// Totals by service and caller, in order.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &str, &usage::Totals)> {
        let rows = self.rows.iter();
        rows.map(|((service, caller), totals)| (service.as_str(), caller.as_str(), totals))
    }

    /// Records added.
    pub fn record_count(&self) -> usize {
        self.seen.values().map(collections::BTreeMap::len).sum()
    }

    /// Times before `now_ms` for which records are missing.
    pub fn gaps(&self, now_ms: u64) -> Vec<Gap> {
        let mut gaps = Vec::new();
        for (process, spans) in &self.seen {
            gaps.extend(self.first_gap(process, spans));
            gaps.extend(inner_gaps(process, spans));
            let Some(end) = spans.values().next_back().filter(|span| !span.last) else { continue };
            let quiet = self.to_ms.min(now_ms).saturating_sub(end.to_ms);
            // A live entry writes a record each interval, so a longer silence is a gap.
            if quiet > end.due_ms.max(2 * (end.to_ms - end.from_ms)).max(1) {
                let process = process.clone();
                gaps.push(Gap { process, from_ms: end.to_ms, to_ms: None });
            }
        }
        gaps
    }

    // Earlier records of a process may end before the report starts; later ones must be there.
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
