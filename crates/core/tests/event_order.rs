//! Only events of a stream, in order, are added to it.

mod random;

use proptest::prelude::*;
use rhubarb_core::{event_order, sse};

use event_order::{EventOrder, Misfit, Placement};

fn event(text: &str) -> sse::Event {
    let mut decoder = sse::Decoder::default();
    decoder.push(text.as_bytes());
    decoder.next_event().unwrap()
}

fn numbered(id: u64) -> sse::Event {
    event(&format!("id: {id}\ndata: a\n\n"))
}

fn unfit(order: &mut EventOrder, event: &sse::Event) -> Misfit {
    match order.place(event) {
        Placement::Unfit(misfit) => misfit,
        placement => panic!("{event:?}: {placement:?}"),
    }
}

// Guards against an error's text in a stream (issue 41).
#[test]
fn error_text() {
    let mut order = EventOrder::new(None, &[]);
    for text in ["HTTP/1.1 500 Failed\r\na: b\r\n\r\n", "out of memory\n\n"] {
        assert_eq!(unfit(&mut order, &event(text)), Misfit::Text);
    }
    assert_eq!(order.place(&numbered(4)), Placement::Next);
    assert_eq!(unfit(&mut order, &event("out of memory\n\n")), Misfit::Text);
    assert_eq!(unfit(&mut order, &event("event: error\ndata: a\n\n")), Misfit::NoId);
    assert_eq!(order.last(), Some(4));
}

#[test]
fn ids_out_of_order() {
    let mut order = EventOrder::new(Some(3), &[]);
    assert_eq!(unfit(&mut order, &numbered(5)), Misfit::Order);
    assert_eq!(order.place(&numbered(4)), Placement::Next);
    for id in [3, 4, 6] {
        assert_eq!(unfit(&mut order, &numbered(id)), Misfit::Order);
    }
    // A run that starts over.
    order.begin_run();
    let places = [3, 4, 5].map(|id| order.place(&numbered(id)));
    assert_eq!(places, [Placement::Repeated, Placement::Repeated, Placement::Next]);
}

#[test]
fn without_ids() {
    let mut order = EventOrder::new(None, &[]);
    for _ in 0..2 {
        assert_eq!(order.place(&event("data: a\n\n")), Placement::Next);
    }
    assert_eq!(unfit(&mut order, &numbered(1)), Misfit::NewId);
    assert!(!order.can_resume());
    let mut taken_up = EventOrder::new(Some(3), &[]);
    assert_eq!(unfit(&mut taken_up, &event("data: a\n\n")), Misfit::NoId);
}

// Guards against a broken stream that looks complete (issue 41).
#[test]
fn ends() {
    let mut order = EventOrder::new(None, &[]);
    assert!(!order.is_whole(true), "no event at all");
    order.place(&event(": a\n\n"));
    assert!(!order.is_whole(true), "a comment only");
    for id in 0..3 {
        order.place(&numbered(id));
    }
    assert!(order.is_whole(false));
    order.begin_run();
    assert!(order.is_whole(true), "nothing is left");
    assert!(!order.is_whole(false), "nothing was sent");
    for id in 0..2 {
        order.place(&numbered(id));
    }
    assert!(!order.is_whole(true), "the run starts over and ends early");
    order.place(&numbered(2));
    assert!(order.is_whole(true));
    let mut unnumbered = EventOrder::new(None, &[]);
    unnumbered.place(&event("data: a\n\n"));
    assert!(unnumbered.is_whole(false));
}

#[test]
fn comments_and_fields() {
    let mut order = EventOrder::new(Some(3), &["x-added"]);
    for text in [": a\n\n", "retry: 5\n\n", "x-added: 2\nid: 4\ndata: a\n\n", ":\n\n"] {
        assert_eq!(order.place(&event(text)), Placement::Next, "{text:?}");
    }
    assert_eq!(order.last(), Some(4));
}

fn any_event() -> impl Strategy<Value = sse::Event> {
    prop_oneof![
        6 => (0u64..8).prop_map(numbered),
        1 => Just(event("data: a\n\n")),
        1 => Just(event(": comment\n\n")),
        1 => Just(event("HTTP/1.1 500 Failed\r\na: b\r\n\r\n")),
    ]
}

proptest! {
    #![proptest_config(random::config(256))]

    // The caller gets each event of a stream once and in order, however often the stream is cut and
    // whether runs go on or start over, and a run that repeats less than the caller has ends nothing.
    #[test]
    fn any_cuts(count in 1u64..20, runs in proptest::collection::vec((0u64..20, any::<bool>()), 0..6)) {
        let mut order = EventOrder::new(None, &[]);
        let mut got = Vec::new();
        for (length, starts_over) in runs.into_iter().chain([(count, false)]) {
            order.begin_run();
            let first = order.last().filter(|_| !starts_over).map_or(0, |last| last + 1);
            for id in (first..count).take(length as usize) {
                match order.place(&numbered(id)) {
                    Placement::Next => got.push(id),
                    placement => prop_assert_eq!(placement, Placement::Repeated),
                }
                prop_assert_eq!(order.is_whole(true), Some(id) == order.last());
            }
        }
        prop_assert_eq!(got, (0..count).collect::<Vec<_>>());
    }

    // Whatever runs send, only events are added, their ids increase by one, and events with ids and
    // without are not mixed.
    #[test]
    fn any_events(
        last in proptest::option::of(0u64..4),
        runs in proptest::collection::vec(proptest::collection::vec(any_event(), 0..12), 1..5),
    ) {
        let mut order = EventOrder::new(last, &[]);
        let mut got = Vec::new();
        for run in runs {
            order.begin_run();
            // A run that does not fit is given up.
            for event in run {
                match order.place(&event) {
                    Placement::Next => got.push(event),
                    Placement::Repeated => prop_assert!(event.id <= order.last()),
                    Placement::Unfit(_) => break,
                }
            }
        }
        prop_assert!(got.iter().all(|event| event.is_well_formed(&[])));
        got.retain(sse::Event::has_data);
        let ids: Vec<_> = got.iter().filter_map(|event| event.id).collect();
        prop_assert!(ids.is_empty() || ids.len() == got.len());
        prop_assert!(last.is_none() || ids.len() == got.len());
        let ids: Vec<_> = last.into_iter().chain(ids).collect();
        prop_assert!(ids.windows(2).all(|pair| pair[1] == pair[0] + 1), "{:?}", ids);
    }
}
