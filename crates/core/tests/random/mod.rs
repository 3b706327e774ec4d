//! Configuration of the property tests.

use std::env;

use proptest::{prelude::*, test_runner};

const SEED: u64 = 20_261_203;

/// Runs `cases` cases from a fixed seed, the same in every run. If `PROPTEST_CASES` is set, runs
/// that many cases with proptest's default seed instead.
pub fn config(cases: u32) -> ProptestConfig {
    let base = ProptestConfig { failure_persistence: None, ..ProptestConfig::default() };
    if env::var_os("PROPTEST_CASES").is_some() {
        return base;
    }
    ProptestConfig { cases, rng_seed: test_runner::RngSeed::Fixed(SEED), ..base }
}
