//! Reassembles an answer from chunks that may be duplicated, delayed or lost.

use std::fmt;

/// Contiguous prefix of an answer that has been received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reassembly {
    offset: u64,
}

/// Missing bytes before a received chunk, or at the end of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// First missing byte.
    pub from: u64,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "missing bytes from offset {}; the answer is resumed from there", self.from)
    }
}

impl Reassembly {
    /// Number of contiguous bytes received.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Accepts a chunk that starts at `offset`, and returns its bytes that were not received
    /// before.
    ///
    /// # Errors
    /// Returns a gap if bytes before the chunk are missing; the chunk is discarded then.
    pub fn accept<'a>(&mut self, offset: u64, bytes: &'a [u8]) -> Result<&'a [u8], Gap> {
        if offset > self.offset {
            return Err(Gap { from: self.offset });
        }
        let duplicate = (self.offset - offset).min(bytes.len() as u64);
        let new_bytes = &bytes[duplicate as usize..];
        self.offset += new_bytes.len() as u64;
        Ok(new_bytes)
    }

    /// Checks that the answer is complete at a total of `length` bytes.
    ///
    /// # Errors
    /// Returns a gap if the number of bytes received is not `length`.
    pub fn finish(&self, length: u64) -> Result<(), Gap> {
        if length == self.offset { Ok(()) } else { Err(Gap { from: self.offset }) }
    }
}
