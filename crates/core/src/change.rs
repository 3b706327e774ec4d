//! Differences between consecutive revisions of the service list.
//!
//! The list of a large fleet is megabytes in size and changes many times a minute, so processes
//! exchange and apply changes instead of whole lists.

use serde::{Deserialize, Serialize};

use crate::{ids, parse, revision, section};

/// Difference between a revision and the next one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Sections whose text changed.
    pub sections: Vec<SectionChange>,
    /// Services that were added or removed.
    pub created: Vec<TimeChange>,
    /// Servers that joined or left a service.
    pub joined: Vec<TimeChange>,
    /// Servers that left their service.
    pub removed: Vec<revision::Removal>,
}

/// New text of a section, or its removal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SectionChange {
    /// Name in the brackets; empty for the text before the first section.
    pub name: String,
    /// New text; `None` if the section was removed.
    pub text: Option<String>,
}

/// New time recorded for a name, or its removal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimeChange {
    /// Name of the service or server.
    pub name: String,
    /// Milliseconds since the Unix epoch; `None` if the name was removed.
    pub at_ms: Option<u64>,
}

/// Computes the change that turns `before` into `content`.
///
/// Returns `None` if the order of sections changed; the whole list must then be read again.
pub fn diff(before: &revision::Revision, content: &revision::Content) -> Option<Change> {
    let chunks = section::split_chunks(&content.text);
    let old: section::Chunks<'_> = section::by_name(&before.chunks);
    let new: section::Chunks<'_> = section::by_name(&chunks);
    let deleted = before.chunks.iter().filter(|chunk| !new.contains_key(chunk.name.as_str()));
    let changed = chunks.iter().filter(|chunk| old.get(chunk.name.as_str()) != Some(&&chunk.text));
    let sections = deleted
        .map(|chunk| SectionChange { name: chunk.name.clone(), text: None })
        .chain(changed.map(|chunk| SectionChange {
            name: chunk.name.clone(),
            text: Some(chunk.text.clone()),
        }))
        .collect();
    let removed = content.removed.iter().filter(|removal| !before.removed.contains(removal));
    let change = Change {
        sections,
        created: diff_times(&before.created, &content.created),
        joined: diff_times(&before.joined, &content.joined),
        removed: removed.cloned().collect(),
    };
    let mut chunks = before.chunks.clone();
    apply_to_chunks(&mut chunks, &change.sections);
    let text: String = chunks.into_iter().map(|chunk| chunk.text).collect();
    (text == content.text).then_some(change)
}

fn diff_times(before: &revision::Times, after: &revision::Times) -> Vec<TimeChange> {
    let deleted = before.keys().filter(|name| !after.contains_key(*name));
    let deleted = deleted.map(|name| TimeChange { name: name.clone(), at_ms: None });
    let changed = after.iter().filter(|(name, at_ms)| before.get(*name) != Some(at_ms));
    let changed =
        changed.map(|(name, at_ms)| TimeChange { name: name.clone(), at_ms: Some(*at_ms) });
    deleted.chain(changed).collect()
}

fn apply_to_chunks(chunks: &mut Vec<section::Chunk>, changes: &[SectionChange]) {
    for change in changes {
        let at = chunks.iter().position(|chunk| chunk.name == change.name);
        match (at, &change.text) {
            (Some(at), Some(text)) => chunks[at].text.clone_from(text),
            (Some(at), None) => {
                chunks.remove(at);
            }
            (None, Some(text)) => {
                chunks.push(section::Chunk { name: change.name.clone(), text: text.clone() });
            }
            (None, None) => {}
        }
    }
}

fn apply_to_times(times: &mut revision::Times, changes: &[TimeChange]) {
    for change in changes {
        match change.at_ms {
            Some(at_ms) => times.insert(change.name.clone(), at_ms),
            None => times.remove(&change.name),
        };
    }
}

impl Change {
    /// Names of the callers whose sections changed.
    pub fn callers(&self) -> impl Iterator<Item = &str> {
        self.sections.iter().filter_map(|change| change.name.strip_prefix("caller "))
    }

    /// Whether a service or the servers of a service changed.
    pub fn affects_services(&self) -> bool {
        let is_service = |change: &SectionChange| change.name.starts_with("service ");
        self.sections.iter().any(is_service) || !self.joined.is_empty()
    }
}

impl revision::Revision {
    /// Applies the change that leads to `version`.
    ///
    /// Returns false and changes nothing if `version` is not the next one or the text of the
    /// changed sections is invalid.
    pub fn apply(&mut self, version: ids::ListVersion, change: &Change) -> bool {
        if version != self.version + 1 {
            return false;
        }
        let texts = change.sections.iter().filter_map(|section| section.text.as_deref());
        let Ok(part) = parse::parse_sections(&texts.collect::<String>()) else { return false };
        for section in &change.sections {
            if let Some(name) = section.name.strip_prefix("service ") {
                self.list.services.remove(name);
            } else if let Some(name) = section.name.strip_prefix("caller ") {
                self.list.callers.remove(name);
            }
        }
        self.list.services.extend(part.services);
        self.list.callers.extend(part.callers);
        apply_to_chunks(&mut self.chunks, &change.sections);
        apply_to_times(&mut self.created, &change.created);
        apply_to_times(&mut self.joined, &change.joined);
        self.removed.extend(change.removed.iter().cloned());
        self.version = version;
        true
    }
}
