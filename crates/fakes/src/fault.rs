//! Faults of a fake backend server.

use std::time;

/// Fault of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Rejects the request and reports that it was not executed.
    Sheds,
    /// Executes the request and replies with status 500. Engines are not affected.
    Fails,
    /// Executes the request, or the stream, and replies with this status, which may say that it did not
    /// run. Nothing else in the response does.
    FailsWith(u16),
    /// Executes the request and sends no response or event.
    Hangs,
    /// Executes the request and aborts the connection before the response is complete.
    Resets,
    /// Returns the id of another attempt.
    OtherId,
    /// Replies as another server that now has this address.
    Moved,
    /// Aborts the stream in the middle of the third event.
    AbortsStream,
    /// Ends the stream normally in the middle of the third event.
    TruncatesStream,
    /// Sends nothing after the second event and keeps the connection open.
    Stalls,
    /// Pauses after the second event, like a preempted run.
    Pauses,
    /// Omits the third event.
    SkipsEvent,
    /// Restarts a resumed stream from its first event.
    StartsOver,
    /// Sends events without ids.
    OmitsIds,
    /// Sends events without ids and aborts the stream after the second one.
    AbortsWithoutIds,
    /// Sends events without ids, nothing after the second one, and keeps the connection open.
    StallsWithoutIds,
    /// Sends a response with status 500, its head included, in the same body after the second event.
    AppendsResponse,
    /// The same in the middle of the third event.
    CutsIntoResponse,
    /// Sends a line of text after the second event, and ends the stream normally.
    AppendsText,
    /// Sends an event with an error and without an id after the second event, and ends the stream
    /// normally.
    AppendsError,
    /// Executes the stream and replies with status 500.
    FailsStream,
    /// Replies to a stream with a page of text.
    SendsPage,
    /// Replies to a stream with an empty response that is no stream.
    SendsNothing,
    /// Sends the stream without the proof that it is the server's.
    Unsealed,
    /// Restarts a resumed stream from its first event and ends it normally after that.
    StartsOverShort,
    /// Rejects new holds because its memory is full.
    Full,
    /// Evicts each prefill result at once.
    EvictsResults,
}

/// Number of events in each stream.
pub const EVENTS: u64 = 6;
/// Exceeds every timeout of an entry.
pub(crate) const HANG_TIME: time::Duration = time::Duration::from_secs(600);
