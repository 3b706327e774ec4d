//! Exchanges on one connection to a server that may send an earlier response once more.

use crate::ids;

/// What shows that a response belongs to its request, and not to an earlier one on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// It echoes the id of the request's attempt.
    Attempt(ids::AttemptTag),
    /// Its content: a name that no earlier response had. Of a response without one no more is taken
    /// than that the server is busy.
    Content,
    /// It tells which process is at the other end, as any earlier response that does. A response of
    /// another kind is told by its content.
    Process,
    /// Nothing but its position on the connection.
    Position,
}

/// Exchanges on one connection, from which follows what may be sent on it next.
#[derive(Clone, Debug, Default)]
pub struct Exchanges {
    // At most `MAX_ATTEMPTS`.
    attempts: Vec<ids::AttemptTag>,
    // Whether any response, and whether the last one, had no id.
    has_anonymous: bool,
    ends_anonymous: bool,
}

/// Number of exchanges with ids after which a connection is not used again. One that forgot an id
/// could take an old response to that attempt for a new one.
pub const MAX_ATTEMPTS: usize = 512;

impl Exchanges {
    /// Whether a response to any earlier exchange would be told from that to a request with `proof`,
    /// also if the server sends it late or several times.
    ///
    /// A response to one request that is told by its content is told from another's only if a response
    /// with an id came between them, as the platform says of late responses.
    pub fn admits(&self, proof: Proof) -> bool {
        match proof {
            Proof::Attempt(attempt) => !self.is_full() && !self.attempts.contains(&attempt),
            Proof::Content => !self.ends_anonymous,
            Proof::Process => true,
            Proof::Position => !self.has_anonymous,
        }
    }

    /// Records that a request with `proof` is sent.
    pub fn record(&mut self, proof: Proof) {
        self.ends_anonymous = !matches!(proof, Proof::Attempt(_));
        self.has_anonymous |= self.ends_anonymous;
        if let Proof::Attempt(attempt) = proof {
            self.attempts.push(attempt);
        }
    }

    /// Whether the connection cannot be used for another attempt.
    pub fn is_full(&self) -> bool {
        self.attempts.len() >= MAX_ATTEMPTS
    }
}
