//! Datagrams about the software versions that began streams.

use std::collections;

use serde::{Deserialize, Serialize};

use rhubarb_core::{agreement, ids, origins};

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// [`FORMAT`].
    pub format: u8,
    /// What it says.
    pub content: Content,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// Streams that the sender has begun, by their versions.
    Told(Groups),
    /// Asks for the version that began a stream.
    Asked {
        /// The stream.
        attempt: ids::AttemptTag,
        /// Its service.
        service: ids::ServiceName,
    },
    /// Answers that.
    Answered {
        /// The stream.
        attempt: ids::AttemptTag,
        /// The version, if the sender knows it.
        origin: origins::Origin,
        /// The only version by which streams of the service may have begun, as the sender knows; none
        /// without an origin if it knows several.
        only: Option<ids::SoftwareTag>,
        /// What the sender knows of streams of the service that are older than its process.
        older: agreement::Older,
        /// The process that answers: it has begun no stream that it does not know.
        process: ids::Incarnation,
        /// Whether streams of the service may have begun at servers that had been replaced under their ids
        /// by ones of another version, before this was registered.
        is_replaced: bool,
    },
}

/// Streams by their versions.
pub type Groups = Vec<(origins::Origin, Vec<FixedTag>)>;

/// Tag of an attempt in eight bytes: as a number of variable length it would take up to ten.
pub type FixedTag = [u8; 8];

/// First byte, which differs from the formats of [`crate::share::Share`].
pub const FORMAT: u8 = 101;
/// Streams in one datagram, which fits into a packet.
pub const MAX_TOLD: usize = 120;

/// Groups streams by their versions.
pub fn group(streams: &[(ids::AttemptTag, origins::Origin)]) -> Groups {
    let mut groups: collections::BTreeMap<origins::Origin, Vec<FixedTag>> =
        collections::BTreeMap::new();
    for (attempt, origin) in streams {
        groups.entry(*origin).or_default().push(attempt.to_be_bytes());
    }
    groups.into_iter().collect()
}

impl Message {
    /// Creates a datagram.
    pub fn new(content: Content) -> Message {
        Message { format: FORMAT, content }
    }

    /// Creates a datagram that tells the versions of streams.
    pub fn tell(streams: &[(ids::AttemptTag, origins::Origin)]) -> Message {
        Message::new(Content::Told(group(streams)))
    }

    /// Whether these bytes are such a datagram and no share.
    pub fn is_one(bytes: &[u8]) -> bool {
        bytes.first() == Some(&FORMAT)
    }

    /// Encodes the datagram.
    ///
    /// # Errors
    /// Returns an error if it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Returns an error if the bytes are no datagram of this format.
    pub fn decode(bytes: &[u8]) -> Result<Message, postcard::Error> {
        let message: Message = postcard::from_bytes(bytes)?;
        if message.format == FORMAT { Ok(message) } else { Err(postcard::Error::WontImplement) }
    }
}
