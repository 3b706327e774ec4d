//! Puts the pieces of one answer together, whatever is repeated, late or lost.

use std::fmt;

/// How much of an answer has arrived in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Assembly {
    offset: u64,
}

/// A piece is missing before the one that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// First missing byte.
    pub from: u64,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer misses bytes from {}; it is resumed from there", self.from)
    }
}

impl Assembly {
    /// Bytes that have arrived.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Takes a piece and returns the part of it that is new.
    ///
    /// # Errors
    /// Returns a gap if bytes before the piece are missing; nothing is taken then.
    pub fn take<'a>(&mut self, offset: u64, bytes: &'a [u8]) -> Result<&'a [u8], Gap> {
        if offset > self.offset {
            return Err(Gap { from: self.offset });
        }
        let known = (self.offset - offset).min(bytes.len() as u64);
        let fresh = &bytes[known as usize..];
        self.offset += fresh.len() as u64;
        Ok(fresh)
    }

    /// Checks the length of the whole answer.
    ///
    /// # Errors
    /// Returns a gap if not all of it has arrived.
    pub fn finish(&self, length: u64) -> Result<(), Gap> {
        if length == self.offset { Ok(()) } else { Err(Gap { from: self.offset }) }
    }
}
