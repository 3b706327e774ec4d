//! Rows of the service list in the table, and incremental reads of them.
//!
//! Each revision writes three rows in one transaction: the whole list, a head row with the same
//! version that is cheap to poll, and the change from the previous revision.

use rhubarb_core::{ids, revisions};
use rhubarb_wire::message;

use crate::{platform, table};

use platform::PlatformError;

/// Key of the row with the whole list.
pub const LIST_KEY: &str = "list";
/// Key of the head row, whose version equals that of the list.
pub const HEAD_KEY: &str = "list-head";

/// Key of the row with the change that made `version`.
pub fn change_key(version: ids::ListVersion) -> String {
    format!("list-change/{version}")
}

/// Update of the service list.
#[derive(Clone, Debug)]
pub enum ListUpdate {
    /// There is no newer revision.
    None,
    /// The change that makes the given version.
    Change(ids::ListVersion, String),
    /// The whole list at the given version.
    Row(ids::ListVersion, String),
}

/// A process further behind than this reads the whole list instead of single changes.
const MAX_REVISIONS_BEHIND: u64 = 64;

/// Reads the next update after `version`.
///
/// # Errors
/// Returns an error while the table is unavailable.
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

/// Applies an update to `revisions`; `None` if it is empty or does not apply.
///
/// After a change that does not apply, the caller reads the whole list.
pub fn apply_update(
    revisions: &mut revisions::Revisions,
    update: &ListUpdate,
) -> Option<revisions::Affected> {
    match update {
        ListUpdate::None => None,
        ListUpdate::Change(version, text) => revisions.apply_change(*version, text),
        ListUpdate::Row(version, row) => revisions.apply_row(*version, row),
    }
}

/// Converts an update to a message for a peer, with the last instance list in JSON.
pub fn to_list_copy(update: revisions::Update, instances: String) -> message::ListCopy {
    let (version, body) = match update {
        revisions::Update::Row(version, row) => (version, message::ListBody::Row(row)),
        revisions::Update::Changes(version, changes) => {
            (version, message::ListBody::Changes(changes))
        }
    };
    message::ListCopy { version, body, instances }
}

/// Converts a message from a peer to updates, in version order.
pub fn from_list_copy(copy: &message::ListCopy) -> Vec<ListUpdate> {
    match &copy.body {
        message::ListBody::Row(row) => vec![ListUpdate::Row(copy.version, row.clone())],
        message::ListBody::Changes(changes) => {
            let numbered = (copy.version..).zip(changes);
            numbered.map(|(version, text)| ListUpdate::Change(version, text.clone())).collect()
        }
    }
}
