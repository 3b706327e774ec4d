//! Rows of the service list in the table, and reading what is new in them.
//!
//! Three rows are written in one transaction: the whole list, a head with the same version that
//! is cheap to poll, and what the version changed.

use rhubarb_core::{ids, revisions};
use rhubarb_wire::message;

use crate::{platform, table};

use platform::PlatformError;

/// Key of the row with the whole list.
pub const LIST_KEY: &str = "list";
/// Key of the row whose version is that of the list.
pub const HEAD_KEY: &str = "list-head";

/// Key of the row with what `version` changed.
pub fn change_key(version: ids::ListVersion) -> String {
    format!("list-change/{version}")
}

/// Text from the table that brings a process up to date.
#[derive(Clone, Debug)]
pub enum News {
    /// Nothing is newer.
    None,
    /// The change that makes a version.
    Change(ids::ListVersion, String),
    /// The whole row.
    Row(ids::ListVersion, String),
}

/// Most changes that are read one by one; beyond, the whole row is read.
const MAX_BEHIND: u64 = 64;

/// Reads what follows `version`.
///
/// # Errors
/// Returns an error while the table is away.
pub async fn read_news(
    table: &table::Table,
    version: ids::ListVersion,
) -> Result<News, PlatformError> {
    let head = table.read(HEAD_KEY).await?.map_or(0, |row| row.version);
    if head <= version {
        return Ok(News::None);
    }
    if version > 0
        && head - version <= MAX_BEHIND
        && let Some(row) = table.read(&change_key(version + 1)).await?
        && !row.value.is_empty()
    {
        return Ok(News::Change(version + 1, row.value));
    }
    let row = table.read(LIST_KEY).await?;
    Ok(row.map_or(News::None, |row| News::Row(row.version, row.value)))
}

/// Takes news into `editions`; a change that does not fit makes the whole row be read next.
pub fn take_news(editions: &mut revisions::Revisions, news: &News) -> Option<revisions::Affected> {
    match news {
        News::None => None,
        News::Change(version, text) => editions.apply_change(*version, text),
        News::Row(version, row) => editions.apply_row(*version, row),
    }
}

/// Writes what a peer lacks as a message, with the last instance list in JSON.
pub fn write_copy(update: revisions::Update, instances: String) -> message::ListCopy {
    let (version, body) = match update {
        revisions::Update::Row(version, row) => (version, message::ListBody::Row(row)),
        revisions::Update::Changes(version, changes) => {
            (version, message::ListBody::Changes(changes))
        }
    };
    message::ListCopy { version, body, instances }
}

/// Reads a message of a peer as news in order.
pub fn read_copy(copy: &message::ListCopy) -> Vec<News> {
    match &copy.body {
        message::ListBody::Row(row) => vec![News::Row(copy.version, row.clone())],
        message::ListBody::Changes(changes) => {
            let numbered = (copy.version..).zip(changes);
            numbered.map(|(version, text)| News::Change(version, text.clone())).collect()
        }
    }
}
