//! Requests, and parts of prompts, that servers have begun to answer.

use std::{collections, time};

use crate::cause;

/// Answers of the recent past by what is known of their requests. Bounded: what has not been seen
/// for the longest time are forgotten first.
#[derive(Clone, Debug, Default)]
pub struct Answered {
    current: Generation,
    // Full, and dropped when the current one is full as well.
    previous: Generation,
}

type Generation = collections::BTreeMap<cause::Cause, Answers>;

/// Answers to requests with one possible cause of crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answers {
    /// Number of answers.
    pub count: u32,
    /// When the last one began.
    pub last_at: time::Instant,
}

/// Maximum number of causes in each of two generations.
pub const MAX_CAUSES: usize = 4_096;
/// Time for which an answer counts.
pub const ANSWER_TTL: time::Duration = time::Duration::from_secs(600);

impl Answered {
    /// Answers to requests with `cause`, unless the last is too old.
    pub fn get(&self, cause: cause::Cause, now: time::Instant) -> Option<Answers> {
        let answers = self.current.get(&cause).or_else(|| self.previous.get(&cause)).copied();
        answers.filter(|answers| now < answers.last_at + ANSWER_TTL)
    }

    /// Records that an answer to a request with `cause` has begun.
    pub fn record(&mut self, cause: cause::Cause, now: time::Instant) {
        let count = self.get(cause, now).map_or(0, |answers| answers.count);
        self.insert(cause, Answers { count: count.saturating_add(1), last_at: now });
    }

    /// Records what another entry knows of answers to requests with `cause`.
    pub fn merge(&mut self, cause: cause::Cause, other: Answers, now: time::Instant) {
        let merged = self.get(cause, now).map_or(other, |own| Answers {
            count: own.count.max(other.count),
            last_at: own.last_at.max(other.last_at),
        });
        self.insert(cause, merged);
    }

    fn insert(&mut self, cause: cause::Cause, answers: Answers) {
        if self.current.len() >= MAX_CAUSES && !self.current.contains_key(&cause) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(cause, answers);
    }
}
