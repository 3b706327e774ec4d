//! Possible causes of the crashes of servers.

use serde::{Deserialize, Serialize};

use crate::ids;

/// What requests that were at servers when they crashed have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Cause {
    /// A part of prompts, which requests of any caller share.
    Part(ids::PartTag),
    /// A request of any caller.
    Content(ids::ContentTag),
    /// A request of one caller.
    Request(ids::RequestTag),
}

impl Cause {
    /// Whether it is a part of prompts.
    pub fn is_part(&self) -> bool {
        matches!(self, Cause::Part(_))
    }

    /// Number that identifies it among all causes, with its kind.
    pub(crate) fn number(&self) -> (u8, u64) {
        match *self {
            Cause::Part(tag) => (0, tag),
            Cause::Content(tag) => (1, tag),
            Cause::Request(tag) => (2, tag),
        }
    }

    /// Name of its row in a table.
    pub fn key(&self) -> String {
        let (kind, tag) = self.number();
        format!("{kind}-{tag:016x}")
    }

    /// Whether `other` explains the crashes of this cause if both were at the same ones. Otherwise it
    /// has to be at more of them.
    ///
    /// Requests that always come together would otherwise explain each other for ever. Parts may
    /// stand together in prompts as well, but the first prompt without one of them tells them apart.
    pub fn yields_to(&self, other: Cause) -> bool {
        match self {
            Cause::Part(_) => true,
            Cause::Content(_) => matches!(other, Cause::Request(_)),
            Cause::Request(_) => false,
        }
    }
}
