//! Software versions that began streams, by the caller's attempt that brought their first events.

use std::{collections, time};

use crate::ids;

/// What one entry knows: of its own streams, and of those that others have told it.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    current: Generation,
    // Full or old, and dropped when the current one is.
    previous: Generation,
    started_at: Option<time::Instant>,
    // Own streams that can still be taken up, oldest first.
    own: collections::VecDeque<Own>,
}

type Generation = collections::BTreeMap<ids::AttemptTag, Origin>;

/// Version that began a stream, if it is certain.
pub type Origin = Option<ids::SoftwareTag>;

/// A stream that this entry has begun.
#[derive(Clone, Debug)]
pub struct Own {
    /// Attempt of its caller.
    pub attempt: ids::AttemptTag,
    /// Its service.
    pub service: ids::ServiceName,
    /// Server that began it.
    pub server: ids::ServerTag,
    /// Start of the process that began it, in Unix milliseconds, if that was shown to be the registered one.
    pub started_ms: Option<u64>,
    /// When it began.
    pub at: time::Instant,
    /// Whether others have been told of it.
    pub is_told: bool,
    /// Whether it is on record in the store.
    pub stored: Stored,
}

/// Whether a stream is on record in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stored {
    /// It is to be written.
    #[default]
    No,
    /// It has been given to the store, which has not answered.
    Sent,
    /// The store has it.
    Yes,
}

/// Maximum number of streams in each of two generations.
pub const MAX_STREAMS: usize = 16_384;

impl Origins {
    /// Records the version that began a stream of this entry.
    pub fn record_own(&mut self, stream: Own, origin: Origin) {
        self.insert(stream.attempt, origin);
        if self.own.len() >= MAX_STREAMS {
            self.own.pop_front();
        }
        self.own.push_back(stream);
    }

    /// Makes the versions of own streams uncertain that a server has begun at or after `since`; returns how
    /// many there are. Its registration names another version by now, for the process that started at
    /// `started_ms`; streams of another process that is known stay certain.
    pub fn retract(
        &mut self,
        server: ids::ServerTag,
        started_ms: Option<u64>,
        since: Option<time::Instant>,
    ) -> usize {
        let is_later = |stream: &&mut Own| since.is_none_or(|since| stream.at >= since);
        let is_other = |stream: &Own| {
            let starts = stream.started_ms.zip(started_ms);
            starts.is_some_and(|(began, registered)| began != registered)
        };
        let may_differ = |stream: &&mut Own| stream.server == server && !is_other(stream);
        let streams = self.own.iter_mut().filter(may_differ);
        let attempts: Vec<_> = streams
            .filter(is_later)
            .map(|stream| {
                (stream.is_told, stream.stored) = (false, Stored::No);
                stream.attempt
            })
            .collect();
        attempts.iter().for_each(|attempt| self.insert(*attempt, None));
        attempts.len()
    }

    /// Records what another entry has told; returns whether it was new.
    pub fn record_told(&mut self, attempt: ids::AttemptTag, origin: Origin) -> bool {
        if self.entry(attempt).is_some_and(|known| known.is_none() || known == origin) {
            return false;
        }
        // Two entries that say different things are both not to be relied on.
        let is_new = self.entry(attempt).is_none();
        self.insert(attempt, origin.filter(|_| is_new));
        true
    }

    /// Version that began a stream, if it is known for certain.
    pub fn get(&self, attempt: ids::AttemptTag) -> Option<ids::SoftwareTag> {
        self.entry(attempt).flatten()
    }

    fn entry(&self, attempt: ids::AttemptTag) -> Option<Origin> {
        self.current.get(&attempt).or_else(|| self.previous.get(&attempt)).copied()
    }

    fn insert(&mut self, attempt: ids::AttemptTag, origin: Origin) {
        if self.current.len() >= MAX_STREAMS && !self.current.contains_key(&attempt) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(attempt, origin);
    }

    /// Forgets streams that can no longer be taken up, `window` after their begin.
    pub fn expire(&mut self, window: time::Duration, now: time::Instant) {
        while self.own.front().is_some_and(|stream| now > stream.at + window) {
            self.own.pop_front();
        }
        if now > *self.started_at.get_or_insert(now) + window {
            self.previous = std::mem::take(&mut self.current);
            self.started_at = Some(now);
        }
    }

    /// Up to `count` own streams of the services that `is_needed` names of which others have not been
    /// told, and are from now on.
    pub fn take_untold(
        &mut self,
        count: usize,
        is_needed: impl Fn(&str) -> bool,
    ) -> Vec<(ids::AttemptTag, Origin)> {
        let is_due = |stream: &Own| !stream.is_told && is_needed(&stream.service);
        self.take(count, is_due, |stream| stream.is_told = true)
    }

    /// The same for streams that are to be written to the store and that `is_needed` names.
    pub fn take_unstored(
        &mut self,
        count: usize,
        is_needed: impl Fn(&Own) -> bool,
    ) -> Vec<(ids::AttemptTag, Origin)> {
        let is_due = |stream: &Own| stream.stored == Stored::No && is_needed(stream);
        self.take(count, is_due, |stream| stream.stored = Stored::Sent)
    }

    fn take(
        &mut self,
        count: usize,
        is_due: impl Fn(&Own) -> bool,
        mark: impl Fn(&mut Own),
    ) -> Vec<(ids::AttemptTag, Origin)> {
        let mut attempts = Vec::new();
        for stream in &mut self.own {
            if attempts.len() < count && is_due(stream) {
                mark(stream);
                attempts.push(stream.attempt);
            }
        }
        attempts.into_iter().map(|attempt| (attempt, self.get(attempt))).collect()
    }

    /// Whether own streams are to be written to the store, of those that `is_needed` names.
    pub fn has_unstored(&self, is_needed: impl Fn(&Own) -> bool) -> bool {
        self.own.iter().any(|stream| stream.stored == Stored::No && is_needed(stream))
    }

    /// Whether others have been told of all own streams of a service that began before `at`, and the store
    /// has them.
    pub fn are_kept(&self, service: &str, at: time::Instant) -> bool {
        let mut streams = self.own.iter().filter(|stream| stream.service == service);
        streams.all(|stream| stream.at >= at || stream.is_told && stream.stored == Stored::Yes)
    }

    /// Whether the store has an own stream.
    pub fn is_stored(&self, attempt: ids::AttemptTag) -> bool {
        let mut streams = self.own.iter().filter(|stream| stream.attempt == attempt);
        streams.all(|stream| stream.stored == Stored::Yes)
    }

    /// Records that the store has these own streams, unless their versions have become uncertain since.
    pub fn set_stored(&mut self, streams: &[(ids::AttemptTag, Origin)]) {
        let streams: collections::BTreeMap<_, _> = streams.iter().copied().collect();
        let (current, previous) = (&self.current, &self.previous);
        let known = |attempt| current.get(&attempt).or_else(|| previous.get(&attempt)).copied();
        for stream in self.own.iter_mut().filter(|stream| stream.stored == Stored::Sent) {
            let stored = streams.get(&stream.attempt);
            if stored.is_some_and(|origin| known(stream.attempt).flatten() == *origin) {
                stream.stored = Stored::Yes;
            }
        }
    }

    /// Records that own streams have to be written to the store again; `is_lost` names them.
    pub fn set_unstored(&mut self, is_lost: impl Fn(ids::AttemptTag) -> bool) {
        let lost = self.own.iter_mut().filter(|stream| is_lost(stream.attempt));
        lost.for_each(|stream| stream.stored = Stored::No);
    }

    /// Whether it is known that the version that began a stream is uncertain.
    pub fn is_uncertain(&self, attempt: ids::AttemptTag) -> bool {
        self.entry(attempt).is_some_and(|known| known.is_none())
    }

    /// Number of streams that are known.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty() && self.previous.is_empty()
    }
}
