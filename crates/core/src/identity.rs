//! Which process of a server answers on a connection.
//!
//! A server may start again under its id and address, with other software, before its registration
//! says so. A connection leads to one process as long as it is open, so that a process has to be asked
//! once for each connection, unless another connection has shown that it runs.

/// What is known of the process at the other end of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Peer {
    /// It has not been asked.
    #[default]
    Unknown,
    /// It has answered, with its start in Unix milliseconds if it tells that.
    Said(Option<u64>),
}

/// Whether a request that is meant for the registered process may be sent on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// It reaches that process or nobody, as far as starts are told.
    Pass,
    /// The process is to be asked before.
    Ask,
    /// It would reach another process.
    Replaced,
}

impl Peer {
    /// Checks the process against the registered one, which started at `registered`, in Unix milliseconds.
    /// Processes that do not tell their starts are taken for each other.
    pub fn check(self, registered: Option<u64>) -> Check {
        match (registered, self) {
            (None, _) | (Some(_), Peer::Said(None)) => Check::Pass,
            (Some(_), Peer::Unknown) => Check::Ask,
            (Some(registered), Peer::Said(Some(said))) if said == registered => Check::Pass,
            (Some(_), Peer::Said(Some(_))) => Check::Replaced,
        }
    }

    /// Whether the process is shown to be the registered one.
    pub fn is_proven(self, registered: Option<u64>) -> bool {
        registered.is_some() && self == Peer::Said(registered)
    }
}
