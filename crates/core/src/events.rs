//! Events of a stream (`text/event-stream`), cut at their ends.

/// One whole event with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its id, where it has a numeric one.
    pub id: Option<u64>,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// Collects the bytes of a stream and yields whole events.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    pending: Vec<u8>,
}

impl Scanner {
    /// Takes bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = scan_event(&self.pending)?;
        let rest = self.pending.split_off(end);
        let bytes = std::mem::replace(&mut self.pending, rest);
        Some(Event { id: scan_id(&bytes), bytes })
    }

    /// Whether an event has begun and not ended.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// Length of the first whole event, its blank line included.
pub fn scan_event(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(line) = scan_line(&bytes[at..]) {
        at += line;
        if matches!(&bytes[at - line..at], b"\n" | b"\r\n") && at > line {
            return Some(at);
        }
    }
    None
}

// Length of the first line with its end.
fn scan_line(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n').map(|at| at + 1)
}

/// Id of an event, where it is a number.
pub fn scan_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
