//! Load report of one backend server, written by its agent.

use std::fmt;

use serde::{de, ser};

/// Load of a server; its agent sends it to each follower about once a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of slots: requests that the server can hold at once.
    pub slots: u32,
    /// Requests that hold a slot, reserved or claimed.
    pub held: u32,
    /// Requests queued at the agent.
    pub waiting: u32,
    /// Expected time until a request that arrives now starts, in milliseconds.
    pub queue_ms: u32,
    /// Whether the agent refuses new work because it is stopping.
    pub leaving: bool,
}

/// What a server says of its load in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Its load.
    pub load: Load,
    /// Time that work takes there at present, as a multiple of what is usual.
    pub pace: f64,
}

/// Range of the pace in a report: beyond it the outcomes of a server tell more.
const PACE_RANGE: (f64, f64) = (0.2, 5.0);

impl Report {
    /// Report of `load` by a server at which work takes `pace` times what is usual.
    pub fn new(load: Load, pace: f64) -> Report {
        Report { load, pace: pace.clamp(PACE_RANGE.0, PACE_RANGE.1) }
    }
}

/// Number of fields of a report, which is written as a tuple.
const FIELDS: usize = 5;

impl ser::Serialize for Load {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use ser::SerializeTuple;
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&self.slots)?;
        tuple.serialize_element(&self.held)?;
        tuple.serialize_element(&self.waiting)?;
        tuple.serialize_element(&self.queue_ms)?;
        tuple.serialize_element(&self.leaving)?;
        tuple.end()
    }
}

impl<'de> de::Deserialize<'de> for Load {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELDS, LoadVisitor)
    }
}

struct LoadVisitor;

impl<'de> de::Visitor<'de> for LoadVisitor {
    type Value = Load;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a load report of five fields")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Load, A::Error> {
        let missing = |at| de::Error::invalid_length(at, &"five fields");
        Ok(Load {
            slots: seq.next_element()?.ok_or_else(|| missing(0))?,
            held: seq.next_element()?.ok_or_else(|| missing(1))?,
            waiting: seq.next_element()?.ok_or_else(|| missing(2))?,
            queue_ms: seq.next_element()?.ok_or_else(|| missing(3))?,
            leaving: seq.next_element()?.ok_or_else(|| missing(4))?,
        })
    }
}
