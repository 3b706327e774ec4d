//! Which events of the servers' answers belong to a caller's stream.

use crate::sse;

/// Events of one stream that its caller has. If it breaks off, a run at another server goes on with
/// it.
#[derive(Clone, Debug)]
pub struct EventOrder {
    // Names of fields beyond those of the format.
    fields: &'static [&'static str],
    // Id of the last event that the caller has.
    last: Option<u64>,
    // Id of the last event of the current run.
    run_last: Option<u64>,
    // Whether the current run had an event with an id or data.
    has_run_event: bool,
    // Whether the events have no ids.
    is_unnumbered: bool,
}

/// Place of a received event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The caller gets it next.
    Next,
    /// The caller has it already, from an earlier run.
    Repeated,
    /// It does not belong to the stream.
    Unfit(Misfit),
}

/// Why an event does not belong to a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misfit {
    /// It is other text than an event.
    Text,
    /// It has no id, unlike the events before it.
    NoId,
    /// It has an id, unlike the events before it.
    NewId,
    /// Its id is not the next one.
    Order,
}

impl EventOrder {
    /// Order of a stream whose caller has the events up to the one with the id `last`. Lines of its
    /// events may have the fields `fields` beyond those of the format.
    pub fn new(last: Option<u64>, fields: &'static [&'static str]) -> EventOrder {
        EventOrder { fields, last, run_last: None, has_run_event: false, is_unnumbered: false }
    }

    /// Id of the last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether another run can go on with the stream. Without ids a run cannot tell which events the
    /// caller has, and starts over.
    pub fn can_resume(&self) -> bool {
        !self.is_unnumbered
    }

    /// Starts with the events of another run.
    pub fn begin_run(&mut self) {
        self.run_last = None;
        self.has_run_event = false;
    }

    /// Whether the end of the current run is the end of the stream. `is_stream` tells that the answer
    /// was shown to be a stream and complete, also without an event.
    ///
    /// A run without an event ends a stream only if its caller has the rest. One that repeats events
    /// must not end before the last one that the caller has.
    pub fn is_whole(&self, is_stream: bool) -> bool {
        if self.has_run_event {
            return self.run_last == self.last;
        }
        is_stream && self.last.is_some()
    }

    /// Places an event of the current run. One that is next counts as the caller's from then on.
    ///
    /// The ids of a run increase by one. A run that goes on with a stream may repeat events, as one
    /// does that starts over. What has neither data nor an id fits everywhere.
    pub fn place(&mut self, event: &sse::Event) -> Placement {
        if !event.is_well_formed(self.fields) {
            return Placement::Unfit(Misfit::Text);
        }
        match event.id {
            Some(id) => self.place_id(id),
            None if !event.has_data() => Placement::Next,
            None if self.last.is_some() || self.run_last.is_some() => {
                Placement::Unfit(Misfit::NoId)
            }
            None => {
                self.is_unnumbered = true;
                self.has_run_event = true;
                Placement::Next
            }
        }
    }

    /// Places an event with the id `id`, like [`EventOrder::place`].
    pub fn place_id(&mut self, id: u64) -> Placement {
        if self.is_unnumbered {
            return Placement::Unfit(Misfit::NewId);
        }
        let before = id.checked_sub(1);
        let is_in_order = match (self.run_last, self.last) {
            (Some(last), _) => before == Some(last),
            (None, Some(last)) => before <= Some(last),
            (None, None) => true,
        };
        if !is_in_order {
            return Placement::Unfit(Misfit::Order);
        }
        self.run_last = Some(id);
        self.has_run_event = true;
        if Some(id) <= self.last {
            return Placement::Repeated;
        }
        self.last = Some(id);
        Placement::Next
    }
}
