//! Beginnings of prompts that engines of a service are expected to keep.
//!
//! An engine keeps what it has read until other prompts push it out or its process ends. An entry
//! notes what its own requests have left where, and is told by its peers what several requests
//! share. What it knows is an estimate: a wrong one costs reading time.

use std::{collections, time};

use crate::{fleet, ids};

/// Part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its tag.
    pub tag: ids::PartTag,
    /// Its size, in tokens.
    pub tokens: u32,
}

/// First parts of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Beginning {
    /// Tag of all these parts in order.
    pub tag: ids::BeginningTag,
    /// Size of all of them, in tokens.
    pub tokens: u32,
}

/// Where a beginning is kept, to be told to peers.
pub type Place = (ids::BeginningTag, ids::ServerTag);

/// What the engines of one service keep.
#[derive(Clone, Debug, Default)]
pub struct Beginnings {
    holders: collections::BTreeMap<ids::ServerName, Holder>,
    names: collections::BTreeMap<ids::ServerTag, ids::ServerName>,
    // Number of engines at which a beginning is noted.
    noted: collections::BTreeMap<ids::BeginningTag, u32>,
    // Tokens that this entry's requests have brought to all engines of a stage.
    brought: collections::BTreeMap<fleet::Stage, u64>,
    // What the peers are to be told, oldest first.
    news: collections::VecDeque<(time::Instant, Place)>,
}

// What one engine keeps.
#[derive(Clone, Debug)]
struct Holder {
    lifetime: Lifetime,
    stage: fleet::Stage,
    memory: u32,
    kept: collections::BTreeMap<ids::BeginningTag, Kept>,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    used_at: time::Instant,
    // Tokens brought to all engines of the stage when it was used last.
    brought: u64,
    told_at: Option<time::Instant>,
}

/// Process of an engine and the version of its software: with another one, nothing is kept.
pub type Lifetime = (ids::ProcessTag, ids::SoftwareTag);

/// Beginnings noted for one engine; the one that was used least recently yields. An engine has
/// memory for some ten prompts, of a few parts each.
pub const MAX_KEPT: usize = 64;
/// Longest list of parts that is considered; prompts have a few.
pub const MAX_PARTS: usize = 32;
/// Tokens below which a beginning is neither noted nor told: a few milliseconds of reading, less than
/// the wait at an engine is known to.
pub const MIN_TOKENS: u32 = 100;
/// Time after its last use from which a beginning counts as pushed out, whatever is known.
pub const MAX_AGE: time::Duration = time::Duration::from_secs(60);
/// Places in one datagram: about a tenth of it.
pub const MAX_TOLD: usize = 8;
/// Places that wait to be told; older ones are dropped.
const MAX_NEWS: usize = 64;
/// Time after which a place is not told any more.
const NEWS_TTL: time::Duration = time::Duration::from_secs(2);
/// Time before the use of a beginning at the same engine is told again.
const RETELL: time::Duration = time::Duration::from_secs(5);

impl Beginning {
    /// The beginnings of a prompt with these parts, from the shortest to the whole prompt.
    pub fn list(parts: &[Part]) -> Vec<Beginning> {
        let extend = |whole: &mut Beginning, part: &Part| {
            let pair = [whole.tag.to_be_bytes(), part.tag.to_be_bytes()];
            whole.tag = ids::digest(&[&pair[0], &pair[1]]) as ids::BeginningTag;
            whole.tokens = whole.tokens.saturating_add(part.tokens);
            Some(*whole)
        };
        let none = Beginning { tag: 0, tokens: 0 };
        parts.iter().take(MAX_PARTS).scan(none, extend).collect()
    }
}

impl Holder {
    // Certainty that a beginning is still there after `others` more tokens have come, from 0 to 1.
    fn certainty(&self, kept: &Kept, others: f64, now: time::Instant) -> f64 {
        let age = now.saturating_duration_since(kept.used_at).as_secs_f64();
        let unaged = 1.0 - age / MAX_AGE.as_secs_f64();
        let unpushed = 1.0 - others / f64::from(self.memory.max(1));
        unaged.max(0.0) * unpushed.max(0.0)
    }
}

impl Beginnings {
    /// Adds or updates an engine with `memory` tokens; one in another lifetime keeps nothing.
    pub fn set(&mut self, engine: &str, lifetime: Lifetime, stage: fleet::Stage, memory: u32) {
        if self.holders.get(engine).is_some_and(|holder| holder.lifetime != lifetime) {
            self.remove(engine);
        }
        let kept = collections::BTreeMap::new();
        let new = Holder { lifetime, stage, memory, kept };
        let holder = self.holders.entry(engine.to_string()).or_insert(new);
        (holder.stage, holder.memory) = (stage, memory);
        self.names.insert(ids::server_tag(engine), engine.to_string());
    }

    /// Removes an engine and what it keeps.
    pub fn remove(&mut self, engine: &str) {
        self.names.remove(&ids::server_tag(engine));
        let kept = self.holders.remove(engine).map(|holder| holder.kept).unwrap_or_default();
        for tag in kept.keys() {
            self.forget(*tag);
        }
    }

    // Counts one engine less for a beginning.
    fn forget(&mut self, tag: ids::BeginningTag) {
        if let Some(count) = self.noted.get_mut(&tag) {
            *count -= 1;
            if *count == 0 {
                self.noted.remove(&tag);
            }
        }
    }

    /// Records that an engine has a prompt in its memory, of which it had to read or fetch `tokens`,
    /// those of its answer included.
    ///
    /// A beginning that an earlier prompt had as well is told to the peers.
    pub fn record(&mut self, engine: &str, prompt: &[Beginning], tokens: u32, now: time::Instant) {
        let Some(holder) = self.holders.get(engine) else { return };
        *self.brought.entry(holder.stage).or_default() += u64::from(tokens);
        let is_worth = |beginning: &&Beginning| beginning.tokens >= MIN_TOKENS;
        let shared = prompt.iter().filter(is_worth).rfind(|one| self.noted.contains_key(&one.tag));
        let shared = shared.map(|beginning| beginning.tag);
        for beginning in prompt.iter().filter(is_worth) {
            self.note(engine, beginning.tag, now);
        }
        if let Some(tag) = shared {
            self.add_news(engine, tag, now);
        }
    }

    /// Records that a peer's request with a beginning has left it at an engine.
    pub fn record_told(&mut self, place: Place, now: time::Instant) {
        let (tag, server) = place;
        let Some(engine) = self.names.get(&server).cloned() else { return };
        self.note(&engine, tag, now);
        let holder = self.holders.get_mut(&engine);
        if let Some(kept) = holder.and_then(|holder| holder.kept.get_mut(&tag)) {
            kept.told_at = Some(now);
        }
    }

    fn note(&mut self, engine: &str, tag: ids::BeginningTag, now: time::Instant) {
        let Some(holder) = self.holders.get_mut(engine) else { return };
        let brought = self.brought.get(&holder.stage).copied().unwrap_or_default();
        if let Some(kept) = holder.kept.get_mut(&tag) {
            (kept.used_at, kept.brought) = (now, brought);
            return;
        }
        holder.kept.insert(tag, Kept { used_at: now, brought, told_at: None });
        let oldest = holder.kept.iter().min_by_key(|(_, kept)| kept.used_at);
        let oldest = oldest.map(|(tag, _)| *tag).filter(|_| holder.kept.len() > MAX_KEPT);
        if let Some(oldest) = oldest {
            holder.kept.remove(&oldest);
            self.forget(oldest);
        }
        *self.noted.entry(tag).or_default() += 1;
    }

    fn add_news(&mut self, engine: &str, tag: ids::BeginningTag, now: time::Instant) {
        let holder = self.holders.get_mut(engine);
        let Some(kept) = holder.and_then(|holder| holder.kept.get_mut(&tag)) else { return };
        if kept.told_at.is_some_and(|at| now < at + RETELL) {
            return;
        }
        kept.told_at = Some(now);
        self.news.push_back((now, (tag, ids::server_tag(engine))));
        if self.news.len() > MAX_NEWS {
            self.news.pop_front();
        }
    }

    /// What the next datagram to the peers tells: what is newest, at most [`MAX_TOLD`] places.
    pub fn take_news(&mut self, now: time::Instant) -> Vec<Place> {
        self.news.retain(|(at, _)| now < *at + NEWS_TTL);
        let from = self.news.len().saturating_sub(MAX_TOLD);
        self.news.drain(from..).map(|(_, place)| place).collect()
    }

    /// Tokens of a prompt that each engine is expected to keep, by certainty; engines without any are
    /// left out. `entries` send requests to the engines, this one included.
    pub fn kept(
        &self,
        prompt: &[Beginning],
        entries: u32,
        now: time::Instant,
    ) -> collections::BTreeMap<ids::ServerName, u32> {
        let is_noted = |beginning: &&Beginning| self.noted.contains_key(&beginning.tag);
        let noted: Vec<_> = prompt.iter().filter(is_noted).collect();
        if noted.is_empty() {
            return collections::BTreeMap::new();
        }
        let sharing = self.sharing();
        let expected = |holder: &Holder| {
            let part = f64::from(entries.max(1)) / f64::from(sharing[&holder.stage]);
            let brought = self.brought.get(&holder.stage).copied().unwrap_or_default();
            let tokens = |beginning: &&Beginning| {
                let kept = holder.kept.get(&beginning.tag)?;
                let others = (brought - kept.brought.min(brought)) as f64 * part;
                let certainty = holder.certainty(kept, others, now);
                Some((f64::from(beginning.tokens) * certainty) as u32)
            };
            noted.iter().filter_map(tokens).max().unwrap_or_default()
        };
        let all = self.holders.iter().map(|(id, holder)| (id.clone(), expected(holder)));
        all.filter(|(_, tokens)| *tokens >= MIN_TOKENS).collect()
    }

    // Number of engines of each stage.
    fn sharing(&self) -> collections::BTreeMap<fleet::Stage, u32> {
        let mut sharing = collections::BTreeMap::new();
        for holder in self.holders.values() {
            *sharing.entry(holder.stage).or_default() += 1;
        }
        sharing
    }

    /// Number of beginnings noted for all engines.
    pub fn len(&self) -> usize {
        self.holders.values().map(|holder| holder.kept.len()).sum()
    }

    /// Whether nothing is noted.
    pub fn is_empty(&self) -> bool {
        self.noted.is_empty()
    }
}
