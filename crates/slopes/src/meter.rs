//! Measures times, memory and sizes, and prints them as a table.

use std::{fmt::Write, fs, hint, mem, time};

/// Collector of measurements.
#[derive(Debug)]
pub(crate) struct Meter {
    // Number of runs of which the median time is recorded.
    runs: u32,
    measurements: Vec<Measurement>,
}

#[derive(Debug)]
struct Measurement {
    label: String,
    amount: f64,
    unit: &'static str,
}

/// Unit of `/proc/self/statm`.
const PAGE_BYTES: f64 = 4096.0;

impl Meter {
    pub(crate) fn new(runs: u32) -> Meter {
        Meter { runs: runs.max(1), measurements: Vec::new() }
    }

    /// Records the median time of one call of `work`, which is called `count` times in each run.
    pub(crate) fn time<T>(
        &mut self,
        label: impl Into<String>,
        count: u32,
        mut work: impl FnMut(u32) -> T,
    ) {
        let mut samples = Vec::new();
        for _ in 0..self.runs {
            let start = time::Instant::now();
            for number in 0..count {
                hint::black_box(work(number));
            }
            samples.push(start.elapsed().as_nanos() as f64 / f64::from(count));
        }
        samples.sort_by(f64::total_cmp);
        self.record(label, samples[samples.len() / 2], "ns");
    }

    /// Records the resident memory of one of the `count` items that `make` creates.
    pub(crate) fn memory<T>(
        &mut self,
        label: impl Into<String>,
        count: u32,
        make: impl FnOnce() -> T,
    ) {
        let before = resident_bytes();
        let items = make();
        let growth = resident_bytes() - before;
        // Never freed, so that the next measurement needs new pages.
        mem::forget(hint::black_box(items));
        self.record(label, growth / f64::from(count), "bytes of memory");
    }

    /// Records a size in bytes.
    pub(crate) fn size(&mut self, label: impl Into<String>, bytes: usize) {
        self.record(label, bytes as f64, "bytes");
    }

    fn record(&mut self, label: impl Into<String>, amount: f64, unit: &'static str) {
        let label = label.into();
        self.measurements.push(Measurement { label, amount, unit });
    }

    /// All measurements as a table.
    pub(crate) fn table(&self) -> String {
        let mut text = String::from("| what | amount | unit |\n|---|---:|---|\n");
        for measurement in &self.measurements {
            let Measurement { label, amount, unit } = measurement;
            let _ = writeln!(text, "| {label} | {amount:.0} | {unit} |");
        }
        text
    }
}

// Resident memory of this process; 0 if it cannot be read.
fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
