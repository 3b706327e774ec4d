//! What an entry asks of an agent.

use tokio::sync::mpsc;

use rhubarb_core::{ids, list};
use rhubarb_wire::{message, offer};

/// Frames on their way to an entry.
pub(crate) type Sender = mpsc::Sender<message::ToEntry>;

/// A job that waits for a slot.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) job: Job,
    pub(crate) sender: Sender,
}

/// What to do once a slot is granted.
#[derive(Debug)]
pub(crate) enum Job {
    /// Run a plain call.
    Plain(offer::Offer),
    /// Prefill a prompt.
    Prefill(message::Prefill),
    /// Reserve the slot for a decode.
    Reserve(message::Reserve),
}

impl Job {
    /// Id of the run that the job asks for.
    pub(crate) fn run(&self) -> ids::RunId {
        match self {
            Job::Plain(offer) => offer.run,
            Job::Prefill(prefill) => prefill.run,
            Job::Reserve(reserve) => reserve.run,
        }
    }

    /// Role of a server that can do it.
    pub(crate) fn role(&self) -> list::Role {
        match self {
            Job::Plain(_) => list::Role::Plain,
            Job::Prefill(_) => list::Role::Prefill,
            Job::Reserve(_) => list::Role::Decode,
        }
    }
}
