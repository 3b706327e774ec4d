//! A plain request offered to an agent.
//!
//! One offer is sent per plain request, so serde is implemented by hand.

use std::fmt;

use serde::{Deserialize, Serialize, de, ser};

use rhubarb_core::ids;

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value as received.
    pub value: Vec<u8>,
}

/// A plain request, which the agent may refuse.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Id of the run.
    pub run: ids::RunId,
    /// Hash of the idempotency key, if the request has one.
    pub key: Option<ids::KeyHash>,
    /// Latest start, in milliseconds of the agent's clock.
    pub start_by_ms: u64,
    /// Time allowed from the start to the end of the response, in milliseconds.
    pub limit_ms: u64,
    /// Whether the caller is above its fair share.
    pub excess: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query, relative to the server.
    pub target: String,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
}

const FIELDS: usize = 9;

impl ser::Serialize for Offer {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use ser::SerializeTuple;
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&self.run)?;
        tuple.serialize_element(&self.key)?;
        tuple.serialize_element(&self.start_by_ms)?;
        tuple.serialize_element(&self.limit_ms)?;
        tuple.serialize_element(&self.excess)?;
        tuple.serialize_element(&self.method)?;
        tuple.serialize_element(&self.target)?;
        tuple.serialize_element(&self.headers)?;
        tuple.serialize_element(&self.body)?;
        tuple.end()
    }
}

impl<'de> de::Deserialize<'de> for Offer {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELDS, OfferVisitor)
    }
}

struct OfferVisitor;

impl<'de> de::Visitor<'de> for OfferVisitor {
    type Value = Offer;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an offer of nine fields")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Offer, A::Error> {
        let missing = |at| de::Error::invalid_length(at, &"nine fields");
        Ok(Offer {
            run: seq.next_element()?.ok_or_else(|| missing(0))?,
            key: seq.next_element()?.ok_or_else(|| missing(1))?,
            start_by_ms: seq.next_element()?.ok_or_else(|| missing(2))?,
            limit_ms: seq.next_element()?.ok_or_else(|| missing(3))?,
            excess: seq.next_element()?.ok_or_else(|| missing(4))?,
            method: seq.next_element()?.ok_or_else(|| missing(5))?,
            target: seq.next_element()?.ok_or_else(|| missing(6))?,
            headers: seq.next_element()?.ok_or_else(|| missing(7))?,
            body: seq.next_element()?.ok_or_else(|| missing(8))?,
        })
    }
}
