//! Outlier detection: compares the failure rate of a server with those of the others.

/// Moving average of the failures among the answers of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureRate {
    rate: f64,
    answers: u32,
}

/// Minimum weight of one answer in the moving average.
const MIN_WEIGHT: f64 = 0.1;
/// Number of answers before a failure rate is compared.
const MIN_ANSWERS: u32 = 10;
/// A server is an outlier if its rate is above this multiple of the median plus the margin.
const MEDIAN_FACTOR: f64 = 2.0;
const MARGIN: f64 = 0.2;

impl FailureRate {
    /// Records an answer.
    pub fn record(&mut self, has_failed: bool) {
        let sample = if has_failed { 1.0 } else { 0.0 };
        self.answers = self.answers.saturating_add(1);
        // The first answers have equal weights.
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.answers));
        self.rate += weight * (sample - self.rate);
    }

    /// Whether the rate is far above `median`, which is that of the other servers.
    pub fn is_outlier(&self, median: f64) -> bool {
        self.answers >= MIN_ANSWERS && self.rate > MEDIAN_FACTOR * median + MARGIN
    }
}

/// Median of the rates that are based on enough answers; `None` if no rate is.
pub fn median<'a>(rates: impl Iterator<Item = &'a FailureRate>) -> Option<f64> {
    let known = rates.filter(|rate| rate.answers >= MIN_ANSWERS);
    let mut rates: Vec<_> = known.map(|rate| rate.rate).collect();
    rates.sort_by(f64::total_cmp);
    rates.get(rates.len() / 2).copied()
}
