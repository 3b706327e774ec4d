//! Parts of prompts whose requests servers have begun to answer.

use std::{collections, time};

use crate::ids;

/// Answers of the recent past by the parts of their prompts. Bounded: parts that have not been seen
/// for the longest time are forgotten first.
#[derive(Clone, Debug, Default)]
pub struct Answered {
    current: Generation,
    // Full, and dropped when the current one is full as well.
    previous: Generation,
}

type Generation = collections::BTreeMap<ids::PartTag, Answers>;

/// Answers to requests with one part in their prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answers {
    /// Number of answers.
    pub count: u32,
    /// When the last one began.
    pub last_at: time::Instant,
}

/// Maximum number of parts in each of two generations.
pub const MAX_PARTS: usize = 4_096;
/// Time for which an answer counts.
pub const ANSWER_TTL: time::Duration = time::Duration::from_secs(600);

impl Answered {
    /// Answers to requests with `part`, unless the last is too old.
    pub fn get(&self, part: ids::PartTag, now: time::Instant) -> Option<Answers> {
        let answers = self.current.get(&part).or_else(|| self.previous.get(&part)).copied();
        answers.filter(|answers| now < answers.last_at + ANSWER_TTL)
    }

    /// Records that an answer to a request with `part` has begun.
    pub fn record(&mut self, part: ids::PartTag, now: time::Instant) {
        let count = self.get(part, now).map_or(0, |answers| answers.count);
        self.insert(part, Answers { count: count.saturating_add(1), last_at: now });
    }

    /// Records what another entry knows of answers to requests with `part`.
    pub fn merge(&mut self, part: ids::PartTag, other: Answers, now: time::Instant) {
        let merged = self.get(part, now).map_or(other, |own| Answers {
            count: own.count.max(other.count),
            last_at: own.last_at.max(other.last_at),
        });
        self.insert(part, merged);
    }

    fn insert(&mut self, part: ids::PartTag, answers: Answers) {
        if self.current.len() >= MAX_PARTS && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(part, answers);
    }
}
