//! Questions about streams that are taken up here, and what other entries have answered.

use std::collections;

use rhubarb_core::{agreement, ids, questions};
use rhubarb_node::clock;

/// Answers to questions that are open, and how many may be asked.
#[derive(Debug)]
pub(crate) struct Answers {
    pub(crate) questions: questions::Questions,
    /// What others say of the versions of the services of the streams.
    pub(crate) said: collections::BTreeMap<ids::AttemptTag, agreement::Agreement>,
}

impl Default for Answers {
    fn default() -> Answers {
        let questions = questions::Questions::new(clock::now());
        Answers { questions, said: collections::BTreeMap::new() }
    }
}
