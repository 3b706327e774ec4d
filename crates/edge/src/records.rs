//! State of the records of streams in the platform's store.

use std::{collections, time};

use tokio::sync as tokio_sync;

use rhubarb_core::{ids, origins, stream_records};
use rhubarb_platform::store;

/// Streams that are written together, by their attempts.
pub(crate) type Streams = Vec<(ids::AttemptTag, origins::Origin)>;

/// State of the records of this process.
#[derive(Debug, Default)]
pub(crate) struct Records {
    // First events that wait until the store has their streams.
    waiting: collections::BTreeMap<ids::AttemptTag, Vec<tokio_sync::oneshot::Sender<()>>>,
    is_failing: bool,
    // Own rows, and when they may be removed; the earliest first.
    rows: collections::VecDeque<(time::Instant, store::PartKey)>,
    /// Limit on reads, once there has been one.
    pub(crate) reads: Option<stream_records::Calls>,
}

impl Records {
    /// Receiver that is notified once the store has a stream.
    pub(crate) fn wait(&mut self, attempt: ids::AttemptTag) -> tokio_sync::oneshot::Receiver<()> {
        let (sender, receiver) = tokio_sync::oneshot::channel();
        self.waiting.entry(attempt).or_default().push(sender);
        receiver
    }

    /// Whether the store has not taken a record in time since it last took one.
    pub(crate) fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Records that the store has not taken a record in time.
    pub(crate) fn set_failing(&mut self) {
        self.is_failing = true;
    }

    /// Records that the store has these streams, in rows that may be removed at `until`.
    pub(crate) fn set_written(
        &mut self,
        streams: &Streams,
        keys: impl Iterator<Item = store::PartKey>,
        until: time::Instant,
    ) {
        self.is_failing = false;
        self.rows.extend(keys.map(|key| (until, key)));
        for (attempt, _) in streams {
            let waiting = self.waiting.remove(attempt).unwrap_or_default();
            waiting.into_iter().for_each(|sender| _ = sender.send(()));
        }
        self.waiting.retain(|_, senders| {
            senders.retain(|sender| !sender.is_closed());
            !senders.is_empty()
        });
    }

    /// Takes rows whose streams can no longer be taken up, as many as one call removes.
    pub(crate) fn take_expired(&mut self, now: time::Instant) -> Vec<store::PartKey> {
        let expired = self.rows.iter().take_while(|(until, _)| *until <= now);
        let count = expired.take(stream_records::MAX_STREAMS).count();
        self.rows.drain(..count).map(|(_, key)| key).collect()
    }
}
