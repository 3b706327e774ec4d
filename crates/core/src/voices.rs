//! When the other entries last told what their customers' requests have used.

use std::{collections, time};

use crate::ids;

/// Tag of an entry, by its name.
pub type EntryTag = u64;

/// Time for which what an entry told counts, as for its demand.
pub const TTL: time::Duration = time::Duration::from_secs(3);
/// Age from which an entry counts as silent: more than three heartbeats, of which two may be lost.
pub const FRESH_TIME: time::Duration = time::Duration::from_secs(1);

/// The other entries of the cell, as far as they tell something.
#[derive(Clone, Debug, Default)]
pub struct Voices {
    entries: collections::BTreeMap<EntryTag, Voice>,
    // Entries that told all that there is to tell, as of the last tick.
    idle: collections::BTreeSet<EntryTag>,
    // Entries that are silent, as of the last tick.
    silent: collections::BTreeSet<EntryTag>,
    // Until then none of them becomes silent or too old.
    fresh_until: Option<time::Instant>,
}

// What is known of one entry.
#[derive(Clone, Debug)]
struct Voice {
    at: time::Instant,
    // When it last told all that there is to tell.
    complete_at: Option<time::Instant>,
    // Customers that it named since then.
    named: collections::BTreeSet<ids::CustomerTag>,
}

/// Tag of the entry with this name.
pub fn entry_tag(name: &str) -> EntryTag {
    ids::digest(&[name.as_bytes()]) as EntryTag
}

impl Voices {
    /// Records that an entry named some customers. Returns those of which it has nothing to tell any
    /// more, which are some only if it told all that there is.
    pub fn record(
        &mut self,
        entry: EntryTag,
        named: impl Iterator<Item = ids::CustomerTag>,
        is_complete: bool,
        now: time::Instant,
    ) -> Vec<ids::CustomerTag> {
        let new = Voice { at: now, complete_at: None, named: collections::BTreeSet::new() };
        let voice = self.entries.entry(entry).or_insert(new);
        voice.at = now;
        self.silent.remove(&entry);
        let end = now + FRESH_TIME;
        self.fresh_until = Some(self.fresh_until.map_or(end, |until| until.min(end)));
        if !is_complete {
            voice.named.extend(named);
            return Vec::new();
        }
        voice.complete_at = Some(now);
        let before = std::mem::replace(&mut voice.named, named.collect());
        self.idle.insert(entry);
        before.difference(&voice.named).copied().collect()
    }

    /// Forgets what has become too old.
    pub fn tick(&mut self, now: time::Instant) {
        if self.fresh_until.is_none_or(|until| now < until) {
            return;
        }
        let is_fresh = |at: &time::Instant| now < *at + TTL;
        self.entries.retain(|_, voice| is_fresh(&voice.at));
        for voice in self.entries.values_mut() {
            voice.complete_at = voice.complete_at.filter(is_fresh);
        }
        let idle = self.entries.iter().filter(|(_, voice)| voice.complete_at.is_some());
        self.idle = idle.map(|(entry, _)| *entry).collect();
        let silent = self.entries.iter().filter(|(_, voice)| voice.at + FRESH_TIME <= now);
        self.silent = silent.map(|(entry, _)| *entry).collect();
        let ends = self.entries.iter().map(|(entry, voice)| {
            let is_silent = self.silent.contains(entry);
            let end = voice.complete_at.unwrap_or(voice.at) + TTL;
            if is_silent { end } else { end.min(voice.at + FRESH_TIME) }
        });
        self.fresh_until = ends.min();
    }

    /// Whether an entry told nothing lately, as of the last tick.
    pub fn is_silent(&self, entry: EntryTag) -> bool {
        self.silent.contains(&entry)
    }

    /// Number of entries that told all that there is to tell, after `from`, and are not silent.
    pub fn idle_count(&self, from: time::Instant, now: time::Instant) -> u32 {
        if from + TTL <= now && self.silent.is_empty() {
            return self.idle.len() as u32;
        }
        self.idle.iter().filter(|entry| self.is_idle(**entry, from, now)).count() as u32
    }

    /// Whether an entry told all that there is to tell, after `from`, and is not silent.
    pub fn is_idle(&self, entry: EntryTag, from: time::Instant, now: time::Instant) -> bool {
        if self.is_silent(entry) {
            return false;
        }
        let known = self.entries.get(&entry).and_then(|voice| voice.complete_at);
        known.is_some_and(|at| from <= at && now < at + TTL)
    }

    /// Whether each entry told all that there is to tell.
    pub fn are_complete(&self) -> bool {
        self.idle.len() == self.entries.len()
    }

    /// Number of entries that told something within the last `age`.
    pub fn count(&self, age: time::Duration, now: time::Instant) -> u32 {
        self.entries.values().filter(|voice| now < voice.at + age).count() as u32
    }

    /// When the entry that has been quiet longest told something.
    pub fn oldest(&self) -> Option<time::Instant> {
        self.entries.values().map(|voice| voice.at).min()
    }
}
