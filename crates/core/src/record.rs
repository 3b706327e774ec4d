//! How often one server's own answers are failures, beside the others'.

/// Recent answers of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Record {
    rate: f64,
    answers: u32,
}

/// Weight of one answer.
const WEIGHT: f64 = 0.1;
/// Answers before a record is compared.
const MIN_ANSWERS: u32 = 10;
/// A record is out of line beyond this multiple of the usual rate, and this much more.
const FACTOR: f64 = 2.0;
const MARGIN: f64 = 0.2;

impl Record {
    /// Notes an answer.
    pub fn note(&mut self, has_failed: bool) {
        let value = if has_failed { 1.0 } else { 0.0 };
        self.answers = self.answers.saturating_add(1);
        // The first answers weigh alike.
        let weight = WEIGHT.max(1.0 / f64::from(self.answers));
        self.rate += weight * (value - self.rate);
    }

    /// Whether the server fails far more often than is `usual`.
    pub fn is_outlier(&self, usual: f64) -> bool {
        self.answers >= MIN_ANSWERS && self.rate > FACTOR * usual + MARGIN
    }
}

/// Rate in the middle of those that are known.
pub fn median<'a>(records: impl Iterator<Item = &'a Record>) -> Option<f64> {
    let known = records.filter(|record| record.answers >= MIN_ANSWERS);
    let mut rates: Vec<_> = known.map(|record| record.rate).collect();
    rates.sort_by(f64::total_cmp);
    rates.get(rates.len() / 2).copied()
}
