//! Takes and prints measurements.

use std::{fmt::Write, fs, hint, mem, time};

/// Collected measurements.
#[derive(Debug)]
pub(crate) struct Meter {
    runs: u32,
    lines: Vec<Line>,
}

#[derive(Debug)]
struct Line {
    what: &'static str,
    amount: f64,
    unit: &'static str,
}

const PAGE_BYTES: f64 = 4096.0;

impl Meter {
    pub(crate) fn new(runs: u32) -> Meter {
        Meter { runs: runs.max(1), lines: Vec::new() }
    }

    /// Times `work`, which does `count` units, and notes the time for one.
    pub(crate) fn time<T>(
        &mut self,
        what: &'static str,
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
        self.note(what, samples[samples.len() / 2], "ns");
    }

    /// Notes the resident memory that one of the `count` units made by `make` takes.
    pub(crate) fn memory<T>(&mut self, what: &'static str, count: u32, make: impl FnOnce() -> T) {
        let before = resident_bytes();
        let made = make();
        let grown = resident_bytes() - before;
        // Kept for good, so that what is measured next needs fresh pages.
        mem::forget(hint::black_box(made));
        self.note(what, grown / f64::from(count), "bytes of memory");
    }

    /// Notes a size.
    pub(crate) fn size(&mut self, what: &'static str, bytes: usize) {
        self.note(what, bytes as f64, "bytes");
    }

    fn note(&mut self, what: &'static str, amount: f64, unit: &'static str) {
        self.lines.push(Line { what, amount, unit });
    }

    /// All measurements as a table.
    pub(crate) fn table(&self) -> String {
        let mut text = String::from("| what | amount | unit |\n|---|---:|---|\n");
        for line in &self.lines {
            let _ = writeln!(text, "| {} | {:.0} | {} |", line.what, line.amount, line.unit);
        }
        text
    }
}

fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
