//! Incremental decoder of server-sent events (`text/event-stream`).

/// One complete event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Event id, if it is a number.
    pub id: Option<u64>,
    /// Raw bytes of the event.
    pub bytes: Vec<u8>,
}

/// Buffers the bytes of a stream and splits them into complete events.
#[derive(Clone, Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let length = event_length(&self.buffer)?;
        let rest = self.buffer.split_off(length);
        let bytes = std::mem::replace(&mut self.buffer, rest);
        Some(Event { id: event_id(&bytes), bytes })
    }

    /// Number of bytes in the buffer, which belong to an incomplete event once
    /// [`Decoder::next_event`] returns none.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer holds the beginning of an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Length of the first complete event in bytes, including its blank line.
pub fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut end = 0;
    while let Some(length) = line_length(&bytes[end..]) {
        end += length;
        if matches!(&bytes[end - length..end], b"\n" | b"\r\n") && end > length {
            return Some(end);
        }
    }
    None
}

// Length of the first complete line in bytes, including its line break.
fn line_length(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n').map(|at| at + 1)
}

/// Id of an event, if it is a number.
pub fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
