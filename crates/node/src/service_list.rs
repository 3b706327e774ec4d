//! Rows of the service list in the table, and reading what is new in them.
//!
//! Three rows are written in one transaction: the whole list, a head with the same version that
//! is cheap to poll, and what the version changed.

use rhubarb_core::{editions, ids};
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
pub enum ListUpdate {
    /// Nothing is newer.
    None,
    /// The change that makes a version.
    Change(ids::ListVersion, String),
    /// The whole row.
    Row(ids::ListVersion, String),
}

/// Most changes that are read one by one; beyond, the whole row is read.
const MAX_REVISIONS_BEHIND: u64 = 64;

/// Reads what follows `version`.
///
/// # Errors
/// Returns an error while the table is away.
pub async fn read_update(
    table: &table::Table,
    version: ids::ListVersion,
) -> Result<ListUpdate, PlatformError> {
    let head = table.read(HEAD_KEY).await?.map_or(0, |row| row.version);
    if head <= version {
        return Ok(ListUpdate::None);
    }
    if version > 0
        && head - version <= MAX_REVISIONS_BEHIND
        && let Some(row) = table.read(&change_key(version + 1)).await?
        && !row.value.is_empty()
    {
        return Ok(ListUpdate::Change(version + 1, row.value));
    }
    let row = table.read(LIST_KEY).await?;
    Ok(row.map_or(ListUpdate::None, |row| ListUpdate::Row(row.version, row.value)))
}

/// Takes news into `editions`; a change that does not fit makes the whole row be read next.
pub fn apply_update(
    editions: &mut editions::Editions,
    update: &ListUpdate,
) -> Option<editions::Touched> {
    match update {
        ListUpdate::None => None,
        ListUpdate::Change(version, text) => editions.take_change(*version, text),
        ListUpdate::Row(version, row) => editions.take_row(*version, row),
    }
}

/// Writes what a peer lacks as a message, with the last instance list in JSON.
pub fn to_list_copy(update: editions::Update, instances: String) -> message::ListCopy {
    let (version, body) = match update {
        editions::Update::Row(version, row) => (version, message::ListBody::Row(row)),
        editions::Update::Changes(version, changes) => {
            (version, message::ListBody::Changes(changes))
        }
    };
    message::ListCopy { version, body, instances }
}

/// Reads a message of a peer as news in order.
pub fn from_list_copy(copy: &message::ListCopy) -> Vec<ListUpdate> {
    match &copy.body {
        message::ListBody::Row(row) => vec![ListUpdate::Row(copy.version, row.clone())],
        message::ListBody::Changes(changes) => {
            let numbered = (copy.version..).zip(changes);
            numbered.map(|(version, text)| ListUpdate::Change(version, text.clone())).collect()
        }
    }
}
