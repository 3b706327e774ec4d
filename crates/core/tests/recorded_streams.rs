//! A model of streams that begin beside several versions: their records, kills of all entries at any moment,
//! and what a new process finds in the store.

use std::{collections, time};

use proptest::prelude;

use rhubarb_core::{ids, origins, stream_records};

/// What happens next; `pick` chooses among what it may happen to.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A server has made the first event of a new stream.
    Begin { software: ids::SoftwareTag, server: ids::ServerTag },
    /// The next streams are given to the store.
    Write,
    /// A write takes effect, whenever it was sent.
    Apply { pick: usize },
    /// The entry learns that a write has taken effect.
    Answer { pick: usize },
    /// The entry takes a write for lost, which may still take effect.
    GiveUp { pick: usize },
    /// The row of a server names another version: what it has begun is uncertain.
    Replace { server: ids::ServerTag },
    /// All entries are killed, and start again.
    Kill,
}

fn events() -> impl prelude::Strategy<Value = Vec<Event>> {
    use prelude::Strategy;
    let event = proptest::prop_oneof![
        4 => (1..3_u32, 0..3_u32).prop_map(|(software, server)| Event::Begin { software, server }),
        4 => prelude::Just(Event::Write),
        4 => (0..8_usize).prop_map(|pick| Event::Apply { pick }),
        4 => (0..8_usize).prop_map(|pick| Event::Answer { pick }),
        1 => (0..8_usize).prop_map(|pick| Event::GiveUp { pick }),
        1 => (0..3_u32).prop_map(|server| Event::Replace { server }),
        1 => prelude::Just(Event::Kill),
    ];
    proptest::collection::vec(event, 1..60)
}

type Streams = Vec<(ids::AttemptTag, origins::Origin)>;

// A write on its way.
#[derive(Clone, Debug)]
struct Write {
    streams: Streams,
    incarnation: ids::Incarnation,
    is_applied: bool,
    is_open: bool,
}

#[derive(Debug, Default)]
struct Model {
    known: origins::Origins,
    incarnation: ids::Incarnation,
    writes: Vec<Write>,
    rows: collections::BTreeMap<String, origins::Origin>,
    // The version that began each stream, and its server.
    truth: collections::BTreeMap<ids::AttemptTag, (ids::SoftwareTag, ids::ServerTag)>,
    // Streams whose first events have been sent to their callers.
    sent: collections::BTreeSet<ids::AttemptTag>,
    // Streams whose versions became uncertain while their entry lived.
    uncertain: collections::BTreeSet<ids::AttemptTag>,
}

impl Model {
    fn apply(&mut self, event: Event) {
        match event {
            Event::Begin { software, server } => self.begin(software, server),
            Event::Write => {
                let streams = self.known.take_unstored(2, |_| true);
                if !streams.is_empty() {
                    let incarnation = self.incarnation;
                    let (is_applied, is_open) = (false, true);
                    self.writes.push(Write { streams, incarnation, is_applied, is_open });
                }
            }
            Event::Apply { pick } => {
                if let Some(write) = self.writes.get_mut(pick).filter(|write| !write.is_applied) {
                    write.is_applied = true;
                    for (attempt, origin) in &write.streams {
                        let key =
                            stream_records::key(*attempt, write.incarnation, origin.is_some());
                        self.rows.insert(key, *origin);
                    }
                }
            }
            Event::Answer { pick } => {
                let own = self.incarnation;
                let write = self
                    .writes
                    .get_mut(pick)
                    .filter(|write| write.is_applied && write.is_open && write.incarnation == own);
                if let Some(write) = write {
                    write.is_open = false;
                    self.known.set_stored(&write.streams);
                }
            }
            Event::GiveUp { pick } => {
                let own = self.incarnation;
                let is_open = |write: &&mut Write| write.is_open && write.incarnation == own;
                if let Some(write) = self.writes.get_mut(pick).filter(is_open) {
                    write.is_open = false;
                    let lost: Vec<_> = write.streams.iter().map(|(attempt, _)| *attempt).collect();
                    self.known.set_unstored(|attempt| lost.contains(&attempt));
                }
            }
            Event::Replace { server } => {
                self.known.retract(server, None, None);
                let begun = self.truth.iter().filter(|(attempt, (_, known))| {
                    *known == server && !self.known.is_empty() && self.known.is_uncertain(**attempt)
                });
                self.uncertain.extend(begun.map(|(attempt, _)| *attempt));
            }
            Event::Kill => {
                self.known = origins::Origins::default();
                self.incarnation += 1;
            }
        }
        // First events are sent as soon as their streams are on record.
        for attempt in self.truth.keys() {
            let is_own = self.known.get(*attempt).is_some();
            if is_own && self.known.is_stored(*attempt) {
                self.sent.insert(*attempt);
            }
        }
    }

    fn begin(&mut self, software: ids::SoftwareTag, server: ids::ServerTag) {
        let attempt = self.truth.len() as ids::AttemptTag;
        self.truth.insert(attempt, (software, server));
        let stream = origins::Own {
            attempt,
            service: "models".into(),
            server,
            started_ms: None,
            at: time::Instant::now(),
            is_told: true,
            stored: origins::Stored::No,
        };
        self.known.record_own(stream, Some(software));
    }

    // What a process that knows nothing finds of a stream.
    fn find(&self, attempt: ids::AttemptTag) -> origins::Origins {
        let (from, to) = stream_records::key_range(attempt);
        let mut found = origins::Origins::default();
        for origin in self.rows.range(from..to).map(|(_, origin)| *origin) {
            found.record_told(attempt, origin);
        }
        found
    }
}

proptest::proptest! {
    // An event that a caller has seen implies a record that a new process finds, of the right version unless
    // that had become uncertain (review case 15: LOST; ORDER).
    #[test]
    fn sent_is_found(events in events()) {
        let mut model = Model::default();
        for event in events {
            model.apply(event);
            for attempt in &model.sent {
                let found = model.find(*attempt);
                proptest::prop_assert!(!found.is_empty(), "stream {attempt} is on no record");
                let software = model.truth[attempt].0;
                let is_right = found.get(*attempt) == Some(software);
                proptest::prop_assert!(is_right || model.uncertain.contains(attempt), "stream {attempt}");
            }
            // Nothing else is ever concluded.
            for (attempt, (software, _)) in &model.truth {
                let found = model.find(*attempt).get(*attempt);
                proptest::prop_assert!(found.is_none_or(|found| found == *software));
            }
        }
    }
}
