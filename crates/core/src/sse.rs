//! Incremental decoder of server-sent events (`text/event-stream`).

/// One complete event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Event id, if it is a number.
    pub id: Option<u64>,
    /// Raw bytes of the event.
    pub bytes: Vec<u8>,
}

impl Event {
    /// Whether every line is a comment or has a field of the format or one of `fields`, which servers
    /// add to it, and at most one has an id. Other text may end with a blank line as well.
    pub fn is_well_formed(&self, fields: &[&str]) -> bool {
        let names = || lines(&self.bytes).map(field_name).filter(|name| !name.is_empty());
        let is_known =
            |name: &[u8]| FIELDS.iter().chain(fields).any(|field| field.as_bytes() == name);
        names().all(is_known) && names().filter(|name| name == b"id").count() <= 1
    }

    /// Its data, several lines of it joined by line breaks.
    pub fn data(&self) -> Vec<u8> {
        let values = lines(&self.bytes).filter(|line| field_name(line) == b"data").map(|line| {
            let value = line.get(b"data:".len()..).unwrap_or_default();
            value.strip_prefix(b" ").unwrap_or(value)
        });
        values.collect::<Vec<_>>().join(&b'\n')
    }

    /// Whether it has data; receivers ignore one that has none.
    pub fn has_data(&self) -> bool {
        lines(&self.bytes).any(|line| field_name(line) == b"data")
    }
}

/// Fields of the format.
const FIELDS: [&str; 4] = ["data", "event", "id", "retry"];
/// Byte-order mark in UTF-8, which may precede the first event.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Memory that an empty buffer keeps, in bytes.
const KEPT_BYTES: usize = 4 * 1024;

/// Buffers the bytes of a stream and splits them into complete events, in time linear in their number.
#[derive(Clone, Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    // Positions in the buffer: of the next event, of the line that is being searched for its end, and of
    // the bytes that have not been searched.
    event: usize,
    line: usize,
    unsearched: usize,
    has_begun: bool,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        let taken = std::mem::take(&mut self.event);
        self.buffer.drain(..taken);
        self.line -= taken;
        self.unsearched -= taken;
        if self.buffer.is_empty() {
            self.buffer.shrink_to(KEPT_BYTES);
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, without a byte-order mark.
    pub fn next_event(&mut self) -> Option<Event> {
        if !self.has_begun && self.buffer[self.event..].starts_with(BYTE_ORDER_MARK) {
            self.event += BYTE_ORDER_MARK.len();
            self.line = self.line.max(self.event);
            self.unsearched = self.unsearched.max(self.event);
        }
        while let Some(length) = line_length(&self.buffer[self.unsearched..]) {
            let end = self.unsearched + length;
            let is_first = self.line == self.event;
            let line = &self.buffer[self.line..end];
            let is_blank = matches!(line, b"\n" | b"\r\n");
            (self.line, self.unsearched) = (end, end);
            if is_blank && !is_first {
                let bytes = self.buffer[self.event..end].to_vec();
                self.event = end;
                self.has_begun = true;
                return Some(Event { id: event_id(&bytes), bytes });
            }
        }
        self.unsearched = self.buffer.len();
        None
    }

    /// Number of bytes in the buffer, which belong to an incomplete event once
    /// [`Decoder::next_event`] returns none.
    pub fn buffered(&self) -> usize {
        self.buffer.len() - self.event
    }

    /// Memory of the buffer in bytes.
    pub fn memory(&self) -> usize {
        self.buffer.capacity()
    }

    /// Whether the buffer holds the beginning of an incomplete event.
    pub fn is_partial(&self) -> bool {
        self.buffered() > 0
    }
}

// Length of the first complete line in bytes, including its line break.
fn line_length(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n').map(|at| at + 1)
}

// Lines of an event without their line breaks.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

// Name of the field in a line; empty for a comment and for a blank line.
fn field_name(line: &[u8]) -> &[u8] {
    line.split(|byte| *byte == b':').next().unwrap_or_default()
}

/// Id of an event, if it is a number.
pub fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
