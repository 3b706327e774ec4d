//! One revision of the service list: its row in the table and its parsed form.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use crate::{ids, list, parse, section};

/// Time at which each service or server was added, in milliseconds since the Unix epoch.
pub type Times = collections::BTreeMap<String, u64>;

/// Content of the list's row in the table: the text, and when servers joined and left.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Content {
    /// INI text as the operator wrote it.
    pub text: String,
    /// When each service was first listed.
    pub created: Times,
    /// When each server joined its service.
    pub joined: Times,
    /// Servers that left their service within the last day.
    pub removed: Vec<Removal>,
}

/// A server that left its service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Removal {
    /// Service that the server left.
    pub service: ids::ServiceName,
    /// Server that left.
    pub server: ids::ServerName,
    /// When it left, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// A parsed and checked revision of the service list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Revision {
    /// Version, equal to the version of the row in the table.
    pub version: ids::ListVersion,
    /// Checked list.
    pub list: list::ServiceList,
    /// Text, split into sections.
    pub(crate) chunks: Vec<section::Chunk>,
    /// When each service was first listed.
    pub(crate) created: Times,
    /// When each server joined its service.
    pub(crate) joined: Times,
    /// Servers that left their service within the last day.
    pub removed: Vec<Removal>,
}

const REMOVAL_RETENTION: time::Duration = time::Duration::from_secs(24 * 3600);

/// Builds the content of the revision that follows `before`, from `text`.
///
/// # Errors
/// Returns the mistakes found in `text`.
pub fn next_content(
    before: Option<&Revision>,
    text: &str,
    now_ms: u64,
) -> Result<Content, Vec<section::Mistake>> {
    let list = parse::parse_list(text)?;
    let empty = Revision::default();
    let before = before.unwrap_or(&empty);
    let mut content = Content { text: text.to_string(), ..Content::default() };
    for service in list.services.values() {
        let created = before.created.get(&service.name).copied().unwrap_or(now_ms);
        content.created.insert(service.name.clone(), created);
        let old = before.list.services.get(&service.name);
        for server in service.all_servers() {
            let stays = old.is_some_and(|old| old.role(server) == service.role(server));
            let joined = before.joined.get(server).filter(|_| stays);
            content.joined.insert(server.clone(), joined.copied().unwrap_or(now_ms));
        }
    }
    content.removed = recent_removals(before, &list, now_ms);
    Ok(content)
}

fn recent_removals(before: &Revision, list: &list::ServiceList, now_ms: u64) -> Vec<Removal> {
    let oldest = now_ms.saturating_sub(REMOVAL_RETENTION.as_millis() as u64);
    let kept = before.removed.iter().filter(|removal| removal.at_ms >= oldest).cloned();
    let mut removed: Vec<_> = kept.collect();
    for service in before.list.services.values() {
        let new = list.services.get(&service.name);
        for server in service.all_servers() {
            if new.is_none_or(|new| new.role(server).is_none()) {
                let (service, server) = (service.name.clone(), server.clone());
                removed.push(Removal { service, server, at_ms: now_ms });
            }
        }
    }
    removed
}

/// Parses a row of the table; `None` if it is not a valid list as `rhubarb-ctl` writes it.
pub fn read_row(version: ids::ListVersion, row: &str) -> Option<Revision> {
    let content: Content = serde_json::from_str(row).ok()?;
    let list = parse::parse_list(&content.text).ok()?;
    let chunks = section::split_chunks(&content.text);
    let Content { created, joined, removed, .. } = content;
    Some(Revision { version, list, chunks, created, joined, removed })
}

impl Revision {
    /// Whole INI text.
    pub fn text(&self) -> String {
        self.chunks.iter().map(|chunk| chunk.text.as_str()).collect()
    }

    /// Encodes the revision as a table row, for a process that has no earlier revision.
    pub fn row(&self) -> String {
        let content = Content {
            text: self.text(),
            created: self.created.clone(),
            joined: self.joined.clone(),
            removed: self.removed.clone(),
        };
        serde_json::to_string(&content).expect("contents can be encoded")
    }

    /// Time since `server` joined its service.
    pub fn listed_ago(&self, server: &str, now_ms: u64) -> Option<time::Duration> {
        let joined = *self.joined.get(server)?;
        Some(time::Duration::from_millis(now_ms.saturating_sub(joined)))
    }

    /// Time since `server` joined `service`, if the service existed before that.
    pub fn joined_ago(&self, service: &str, server: &str, now_ms: u64) -> Option<time::Duration> {
        let joined = *self.joined.get(server)?;
        let created = *self.created.get(service)?;
        let ago = time::Duration::from_millis(now_ms.saturating_sub(joined));
        (joined > created).then_some(ago)
    }
}
