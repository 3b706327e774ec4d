//! How random tests draw their cases.

use std::env;

use proptest::{prelude::*, test_runner};

const SEED: u64 = 20_261_203;

/// Draws `cases` that are the same in every run; with `PROPTEST_CASES` set, as many others.
pub fn config(cases: u32) -> ProptestConfig {
    let given = ProptestConfig { failure_persistence: None, ..ProptestConfig::default() };
    if env::var_os("PROPTEST_CASES").is_some() {
        return given;
    }
    ProptestConfig { cases, rng_seed: test_runner::RngSeed::Fixed(SEED), ..given }
}
