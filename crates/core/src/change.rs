//! What one revision of the service list changes in the one before.
//!
//! The list of a large fleet is megabytes and changes many times a minute, so processes pass on
//! and take in changes instead of lists.

use serde::{Deserialize, Serialize};

use crate::{ids, parse, revision, section};

/// Difference between an revision and the next.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Sections whose text changed.
    pub sections: Vec<SectionChange>,
    /// Services that came or went.
    pub created: Vec<TimeChange>,
    /// Servers that joined or left.
    pub joined: Vec<TimeChange>,
    /// Servers that left their service.
    pub removed: Vec<revision::Removal>,
}

/// New text of a section; `None` if the section went.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SectionChange {
    /// Name in the brackets; empty for the text before the first section.
    pub name: String,
    /// New text.
    pub text: Option<String>,
}

/// New time of a name; `None` if the name went.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimeChange {
    /// Service or server.
    pub name: String,
    /// Milliseconds since 1970.
    pub at_ms: Option<u64>,
}

/// Finds what `content` changes in `before`.
///
/// Returns `None` where sections moved, so that the whole list has to be read again.
pub fn diff(before: &revision::Revision, content: &revision::Content) -> Option<Change> {
    let chunks = section::split_chunks(&content.text);
    let old: section::Chunks<'_> = section::by_name(&before.chunks);
    let new: section::Chunks<'_> = section::by_name(&chunks);
    let gone = before.chunks.iter().filter(|chunk| !new.contains_key(chunk.name.as_str()));
    let changed = chunks.iter().filter(|chunk| old.get(chunk.name.as_str()) != Some(&&chunk.text));
    let sections = gone
        .map(|chunk| SectionChange { name: chunk.name.clone(), text: None })
        .chain(changed.map(|chunk| SectionChange {
            name: chunk.name.clone(),
            text: Some(chunk.text.clone()),
        }))
        .collect();
    let removed = content.removed.iter().filter(|removal| !before.removed.contains(removal));
    let change = Change {
        sections,
        created: time_changes(&before.created, &content.created),
        joined: time_changes(&before.joined, &content.joined),
        removed: removed.cloned().collect(),
    };
    let mut chunks = before.chunks.clone();
    change_chunks(&mut chunks, &change.sections);
    let text: String = chunks.into_iter().map(|chunk| chunk.text).collect();
    (text == content.text).then_some(change)
}

fn time_changes(before: &revision::Times, after: &revision::Times) -> Vec<TimeChange> {
    let gone = before.keys().filter(|name| !after.contains_key(*name));
    let gone = gone.map(|name| TimeChange { name: name.clone(), at_ms: None });
    let changed = after.iter().filter(|(name, at_ms)| before.get(*name) != Some(at_ms));
    let changed =
        changed.map(|(name, at_ms)| TimeChange { name: name.clone(), at_ms: Some(*at_ms) });
    gone.chain(changed).collect()
}

fn change_chunks(chunks: &mut Vec<section::Chunk>, changes: &[SectionChange]) {
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

fn change_times(times: &mut revision::Times, changes: &[TimeChange]) {
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

    /// Whether anything but callers changed.
    pub fn affects_services(&self) -> bool {
        let is_service = |change: &SectionChange| change.name.starts_with("service ");
        self.sections.iter().any(is_service) || !self.joined.is_empty()
    }
}

impl revision::Revision {
    /// Takes the change that makes `version` of the version before; false if it cannot.
    pub fn apply(&mut self, version: ids::ListVersion, change: &Change) -> bool {
        if version != self.version + 1 {
            return false;
        }
        let texts = change.sections.iter().filter_map(|section| section.text.as_deref());
        let Ok(part) = parse::parse_part(&texts.collect::<String>()) else { return false };
        for section in &change.sections {
            if let Some(name) = section.name.strip_prefix("service ") {
                self.list.services.remove(name);
            } else if let Some(name) = section.name.strip_prefix("caller ") {
                self.list.callers.remove(name);
            }
        }
        self.list.services.extend(part.services);
        self.list.callers.extend(part.callers);
        change_chunks(&mut self.chunks, &change.sections);
        change_times(&mut self.created, &change.created);
        change_times(&mut self.joined, &change.joined);
        self.removed.extend(change.removed.iter().cloned());
        self.version = version;
        true
    }
}
