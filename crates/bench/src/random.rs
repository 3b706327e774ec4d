//! Random numbers that depend only on the seed, not on the machine.

/// SplitMix64 generator.
#[derive(Clone, Debug)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random { state: seed }
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Uniformly distributed number from 0 to below 1.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Exponentially distributed time between events, in seconds, at a mean `rate` per second.
    pub(crate) fn exponential(&mut self, rate: f64) -> f64 {
        -(1.0 - self.unit()).ln() / rate
    }

    /// Log-uniformly distributed number from `min` to `max`.
    pub(crate) fn log_uniform(&mut self, min: f64, max: f64) -> f64 {
        (min.ln() + self.unit() * (max / min).ln()).exp()
    }
}
