//! The checks of what arrived at servers report each violated invariant, and excuse what may happen.

use std::time;

use hyper::{HeaderMap, Method};

use rhubarb_e2e::call;
use rhubarb_fakes::{arrivals, handles};
use rhubarb_soak::{check, record};

use check::Invariant;
use record::{End, EntryFault, Place};

/// A history whose times are in milliseconds since its start.
struct Story {
    start: time::Instant,
    history: record::History,
}

impl Story {
    fn new() -> Story {
        let history = record::History { edges: 2, ..record::History::default() };
        // Far enough from the start of the clock for times before the first one.
        let start = time::Instant::now() + time::Duration::from_secs(10);
        Story { start, history }
    }

    fn at(&self, millis: u64) -> time::Instant {
        self.start + time::Duration::from_millis(millis)
    }

    // A request to entry 0 at `millis` that reaches server `i-1` 20 ms later.
    fn sent(&mut self, attempt: &str, millis: u64) -> &mut arrivals::Arrival {
        let sent = record::Sent { edge: 0, at: self.at(millis) };
        self.history.sent.insert(attempt.to_string(), sent);
        self.arrived(attempt, millis + 20)
    }

    fn arrived(&mut self, attempt: &str, millis: u64) -> &mut arrivals::Arrival {
        let arrival = arrivals::Arrival {
            at: self.at(millis),
            born: 1,
            attempt: attempt.to_string(),
            method: Method::POST,
            target: "/safe/x".to_string(),
            misdirected: false,
            paused_until: None,
            customer: None,
            has_key: false,
        };
        let arrivals = self.history.arrivals.entry("i-1".to_string()).or_default();
        arrivals.push(arrival);
        arrivals.last_mut().unwrap()
    }

    // The answer to `attempt`, whose head arrives at `millis`.
    fn answered(&mut self, attempt: &str, millis: u64, headers: &[(&'static str, &str)]) {
        let began = self.history.sent[attempt].at;
        let mut map = HeaderMap::new();
        map.insert("x-response-seal", format!("i-1/1/{attempt}").parse().unwrap());
        map.insert("x-attempt-id", attempt.parse().unwrap());
        for (name, value) in headers {
            map.insert(*name, value.parse().unwrap());
        }
        let head_after = self.at(millis) - began;
        let received = format!("body of {attempt}");
        let body = Some(received.clone());
        let elapsed = head_after;
        let (status, headers) = (200, map);
        let reply = call::Reply { status, headers, head_after, body, received, elapsed };
        self.ended(attempt, millis, End::Answer(reply));
    }

    fn ended(&mut self, attempt: &str, millis: u64, end: End) {
        let (began, ended) = (self.history.sent[attempt].at, self.at(millis));
        let (attempt, kind) = (attempt.to_string(), record::Kind::Safe);
        self.history.records.push(record::Record {
            attempt,
            kind,
            edge: 0,
            began,
            ended,
            end,
            resumes: None,
        });
    }

    fn fault(&mut self, fault: EntryFault, from: u64, until: u64) {
        let (from, until) = (self.at(from), Some(self.at(until)));
        self.history.windows.push(record::FaultWindow { edge: 0, fault, from, until });
    }

    fn disturbed(&mut self, place: Place, from: u64, until: u64) {
        let (from, until) = (self.at(from), Some(self.at(until)));
        self.history.disturbances.push(record::Disturbance { place, from, until });
    }

    fn violated(&self) -> Vec<Invariant> {
        let violations = check::check(&self.history, &check::Runs::new());
        violations.into_iter().map(|violation| violation.invariant).collect()
    }
}

#[test]
fn foreign_handle() {
    let mut story = Story::new();
    let (handle_attempt, attempt) = ("a1".to_string(), "a2".to_string());
    story.history.foreign.push(handles::Foreign { handle_attempt, attempt, ran: true });
    assert_eq!(story.violated(), [Invariant::Mixed]);
}

#[test]
fn foreign_answer() {
    let mut story = Story::new();
    story.sent("a1", 0);
    story.answered("a1", 50, &[]);
    assert_eq!(story.violated(), []);
    for headers in [("x-attempt-id", "a2"), ("x-response-seal", "i-1/1/a2")] {
        let mut story = Story::new();
        story.sent("a1", 0);
        story.answered("a1", 50, &[headers]);
        assert_eq!(story.violated(), [Invariant::Mixed], "{headers:?}");
    }
}

// Passed on at 50 ms, an answer that says that the server leaves; the next request is sent at
// `millis`.
fn told(millis: u64) -> Story {
    let mut story = Story::new();
    story.sent("a1", 0);
    story.answered("a1", 50, &[("server-leaving", "1")]);
    story.sent("a2", millis);
    story
}

#[test]
fn leaving_told() {
    assert_eq!(told(2_040).violated(), [], "sent in time");
    assert_eq!(told(2_060).violated(), [Invariant::Leaving]);
    let mut other = told(3_000);
    other.history.sent.get_mut("a2").unwrap().edge = 1;
    assert_eq!(other.violated(), [], "another entry passed the answer on");
    let mut other = told(3_000);
    other.history.arrivals.get_mut("i-1").unwrap()[1].born = 2;
    assert_eq!(other.violated(), [], "another start of the server");
    let mut rejected = told(3_000);
    rejected.history.arrivals.get_mut("i-1").unwrap()[1].misdirected = true;
    assert_eq!(rejected.violated(), []);
    for fault in [EntryFault::Killed, EntryFault::Frozen, EntryFault::Stopped] {
        let mut excused = told(4_000);
        excused.fault(fault, 500, 2_000);
        assert_eq!(excused.violated(), [], "{fault:?}");
    }
    let mut stopping = told(4_000);
    stopping.fault(EntryFault::Stopped, 500, 9_000);
    assert_eq!(stopping.violated(), [Invariant::Leaving], "not yet started again");
    let mut earlier = told(4_000);
    earlier.sent("a0", 1_500);
    earlier.answered("a0", 1_600, &[("server-leaving", "1")]);
    earlier.fault(EntryFault::Killed, 200, 1_400);
    assert_eq!(earlier.violated(), [Invariant::Leaving], "told again after the restart");
    let mut away = told(4_000);
    away.disturbed(Place::Store, 0, 9_000);
    assert_eq!(away.violated(), [Invariant::Leaving], "the store does not matter");
}

// The store knows from 0 ms on that the server leaves; a request arrives at `millis`.
fn departed(millis: u64, until: Option<u64>) -> Story {
    let mut story = Story::new();
    let (server, at) = ("i-1".to_string(), story.at(0));
    let until = until.map(|until| story.at(until));
    story.history.departures.push(record::Departure { server, at, until });
    story.sent("a1", millis - 20);
    story
}

#[test]
fn leaving_stored() {
    assert_eq!(departed(1_990, None).violated(), []);
    assert_eq!(departed(2_010, None).violated(), [Invariant::Leaving]);
    assert_eq!(departed(4_000, Some(3_900)).violated(), [], "ready again");
    assert_eq!(departed(4_000, Some(4_100)).violated(), [Invariant::Leaving]);
    let server = || Place::Server("i-1".to_string());
    for place in [Place::Store, Place::Edge(0), server()] {
        let mut disturbed = departed(6_000, None);
        disturbed.disturbed(place.clone(), 100, 3_100);
        assert_eq!(disturbed.violated(), [], "{place:?}");
        let mut earlier = departed(6_000, None);
        earlier.disturbed(place.clone(), 100, 2_900);
        assert_eq!(earlier.violated(), [Invariant::Leaving], "{place:?}");
    }
    let mut elsewhere = departed(6_000, None);
    elsewhere.disturbed(Place::Edge(1), 100, 5_000);
    assert_eq!(elsewhere.violated(), [Invariant::Leaving]);
    let mut faulty = departed(6_000, None);
    faulty.fault(EntryFault::Killed, 100, 3_100);
    assert_eq!(faulty.violated(), []);
}

// The server answers at 20 ms that it wants a pause until 3 s; requests arrive at these times.
fn paused(times: &[u64]) -> Story {
    let mut story = Story::new();
    let until = story.at(3_000);
    story.sent("a1", 0).paused_until = Some(until);
    for millis in times {
        story.sent(&format!("b{millis}"), millis - 20);
    }
    story
}

#[test]
fn requests_in_pause() {
    assert_eq!(paused(&[100, 200, 510, 600, 700, 3_010]).violated(), []);
    assert_eq!(paused(&[600, 700, 2_990]).violated(), [Invariant::Paused]);
    let mut other = paused(&[600, 700, 2_990]);
    other.history.sent.get_mut("b700").unwrap().edge = 1;
    assert_eq!(other.violated(), [], "from another entry");
    let mut restarted = paused(&[600, 700, 2_990]);
    restarted.history.arrivals.get_mut("i-1").unwrap()[3].born = 2;
    assert_eq!(restarted.violated(), [], "another start of the server");
    let mut frozen = paused(&[600, 700, 2_990]);
    frozen.fault(EntryFault::Frozen, 100, 400);
    assert_eq!(frozen.violated(), []);
    let mut late = paused(&[600, 700, 2_990]);
    late.disturbed(Place::Server("i-1".to_string()), 100, 400);
    assert_eq!(late.violated(), [], "held up on the way");
}

// Requests for holds carry no attempt id, so that only a single entry can have sent them.
#[test]
fn holds_in_pause() {
    for (edges, expected) in [(1, vec![Invariant::Paused]), (2, Vec::new())] {
        let mut story = paused(&[]);
        story.history.edges = edges;
        for millis in [600, 700, 800] {
            story.arrived("", millis).target = "/v1/hold-take".to_string();
        }
        assert_eq!(story.violated(), expected, "{edges} entries");
    }
    let mut freed = paused(&[]);
    freed.history.edges = 1;
    for millis in [600, 700, 800] {
        freed.arrived("", millis).method = Method::DELETE;
    }
    assert_eq!(freed.violated(), [], "freed holds and handles do not count");
}

#[test]
fn lost_in_stop() {
    let lost = |sent: u64, ended: u64, reaches_server: bool| {
        let mut story = Story::new();
        story.fault(EntryFault::Stopped, 0, 10_000);
        story.sent("a1", sent);
        if !reaches_server {
            story.history.arrivals.clear();
        }
        story.ended("a1", ended, End::ConnectionLost("reset".to_string()));
        story.violated()
    };
    assert_eq!(lost(500, 600, false), [], "the request crossed the end of the connection");
    assert_eq!(lost(500, 2_300, false), [Invariant::GracefulStop], "held without an answer");
    assert_eq!(lost(500, 600, true), [Invariant::GracefulStop]);
    assert_eq!(lost(2_900, 7_900, true), [], "the grace period ended");
    assert_eq!(lost(3_100, 7_900, true), [Invariant::GracefulStop]);
}

// Five crashes by requests with one part, then requests with it from 7 s on, 100 ms apart.
fn crashed(late: u64) -> Story {
    let mut story = Story::new();
    story.history.edges = 1;
    story.history.crashes = (0..5).map(|number| story.at(number * 500)).collect();
    (0..late).for_each(|number| _ = story.sent(&format!("d{number}"), 7_000 + number * 100));
    story
}

#[test]
fn crashing_requests() {
    assert_eq!(crashed(3).violated(), []);
    assert_eq!(crashed(4).violated(), [Invariant::Isolated]);
    let mut sound = crashed(3);
    (0..9).for_each(|number| _ = sound.sent(&format!("s{number}"), 7_000));
    assert_eq!(sound.violated(), []);
    let mut few = crashed(9);
    few.history.crashes.pop();
    assert_eq!(few.violated(), []);
    // Knowledge may be lost only if no entry runs and the store does not keep it.
    let mut killed = crashed(9);
    killed.fault(EntryFault::Killed, 2_500, 3_000);
    assert_eq!(killed.violated(), [Invariant::Isolated]);
    killed.disturbed(Place::Store, 2_000, 2_600);
    assert_eq!(killed.violated(), []);
    killed.history.edges = 2;
    assert_eq!(killed.violated(), [Invariant::Isolated]);
}

#[test]
fn repeated_requests() {
    for (index, prefix) in record::REPEATED_PREFIXES.iter().enumerate() {
        let repeated = |crashes: u64, late: u64| {
            let mut story = Story::new();
            story.history.edges = 1;
            story.history.repeated[index] = (0..crashes).map(|number| story.at(number)).collect();
            (0..late).for_each(|number| _ = story.sent(&format!("{prefix}{number}"), 7_000));
            story
        };
        assert_eq!(repeated(2, 9).violated(), []);
        assert_eq!(repeated(3, 3).violated(), []);
        assert_eq!(repeated(3, 4).violated(), [Invariant::Repeated]);
        let mut frozen = repeated(3, 4);
        frozen.fault(EntryFault::Frozen, 6_000, 7_500);
        assert_eq!(frozen.violated(), []);
    }
}

#[test]
fn limited_server() {
    let limited = |count: u64, until: Option<u64>| {
        let mut story = Story::new();
        let until = until.map(|until| story.at(until));
        let (server, from) = ("i-1".to_string(), story.at(0));
        story.history.limits.push(record::Limit { server, rate: 1, from, until });
        (0..count).for_each(|number| _ = story.sent(&format!("s{number}"), 3_100 + number * 100));
        story
    };
    assert_eq!(limited(11, None).violated(), []);
    assert_eq!(limited(12, None).violated(), [Invariant::Limited]);
    assert_eq!(limited(30, Some(4_000)).violated(), []);
    let mut frozen = limited(12, None);
    frozen.fault(EntryFault::Frozen, 500, 1_000);
    assert_eq!(frozen.violated(), []);
}

#[test]
fn customer_told() {
    let names: [(Option<&str>, bool, bool); 5] = [
        (None, false, true),
        (Some("first"), false, true),
        (Some("second"), false, false),
        (Some("first"), true, false),
        (None, true, false),
    ];
    for (name, has_key, is_sound) in names {
        let mut story = Story::new();
        let arrival = story.sent("s10", 0);
        (arrival.customer, arrival.has_key) = (name.map(str::to_string), has_key);
        let expected: &[Invariant] = if is_sound { &[] } else { &[Invariant::Customer] };
        assert_eq!(story.violated(), expected, "{name:?} {has_key}");
    }
}
