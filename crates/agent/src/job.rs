//! Jobs that entries send to an agent.

use tokio::sync::mpsc;

use rhubarb_core::{ids, list};
use rhubarb_wire::{message, offer};

/// Sender of messages to one entry.
pub(crate) type Sender = mpsc::Sender<message::ToEntry>;

/// Job that waits for a slot.
#[derive(Debug)]
pub(crate) struct QueuedJob {
    pub(crate) job: Job,
    pub(crate) sender: Sender,
}

/// Work to start once a slot is granted.
#[derive(Debug)]
pub(crate) enum Job {
    /// Run a plain request.
    Plain(offer::Offer),
    /// Prefill a prompt.
    Prefill(message::Prefill),
    /// Reserve the slot for a decode.
    Reserve(message::Reserve),
}

impl Job {
    /// Id of the job's run.
    pub(crate) fn run(&self) -> ids::RunId {
        match self {
            Job::Plain(offer) => offer.run,
            Job::Prefill(prefill) => prefill.run,
            Job::Reserve(reserve) => reserve.run,
        }
    }

    /// Role that a server needs to do the job.
    pub(crate) fn role(&self) -> list::Role {
        match self {
            Job::Plain(_) => list::Role::Plain,
            Job::Prefill(_) => list::Role::Prefill,
            Job::Reserve(_) => list::Role::Decode,
        }
    }
}
