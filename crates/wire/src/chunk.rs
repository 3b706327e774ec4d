//! A part of a response body.
//!
//! One chunk is sent per token, so serde is implemented by hand to copy the bytes in one call
//! instead of one by one.

use std::fmt;

use serde::{de, ser};

use rhubarb_core::ids;

/// Part of the response body of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Id of the run.
    pub run: ids::RunId,
    /// Position of the first byte in the response body.
    pub offset: u64,
    /// Content.
    pub bytes: Vec<u8>,
}

struct Bytes<'a>(&'a [u8]);

impl ser::Serialize for Bytes<'_> {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self.0)
    }
}

struct Buffer(Vec<u8>);

impl<'de> de::Deserialize<'de> for Buffer {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BufferVisitor)
    }
}

struct BufferVisitor;

impl de::Visitor<'_> for BufferVisitor {
    type Value = Buffer;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Buffer, E> {
        Ok(Buffer(bytes.to_vec()))
    }

    fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Buffer, E> {
        Ok(Buffer(bytes))
    }
}

const FIELDS: usize = 3;

impl ser::Serialize for Chunk {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use ser::SerializeTuple;
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&self.run)?;
        tuple.serialize_element(&self.offset)?;
        tuple.serialize_element(&Bytes(&self.bytes))?;
        tuple.end()
    }
}

impl<'de> de::Deserialize<'de> for Chunk {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELDS, ChunkVisitor)
    }
}

struct ChunkVisitor;

impl<'de> de::Visitor<'de> for ChunkVisitor {
    type Value = Chunk;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chunk of three fields")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Chunk, A::Error> {
        let missing = |at| de::Error::invalid_length(at, &"three fields");
        let run = seq.next_element()?.ok_or_else(|| missing(0))?;
        let offset = seq.next_element()?.ok_or_else(|| missing(1))?;
        let Buffer(bytes) = seq.next_element()?.ok_or_else(|| missing(2))?;
        Ok(Chunk { run, offset, bytes })
    }
}
