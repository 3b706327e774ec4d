//! Decoding of server-sent events from chunks of any size.

mod random;

use proptest::prelude::*;
use rhubarb_core::sse;

fn event_text(number: u64) -> String {
    format!("id: {number}\ndata: token-{number}\n\n")
}

#[test]
fn event_ids() {
    let cases = [
        ("id: 7\ndata: a\n\n", Some(7)),
        ("data: a\nid:8\n\n", Some(8)),
        ("id: 9\r\ndata: a\r\n\r\n", Some(9)),
        ("id: x\ndata: a\n\n", None),
        ("data: a\n\n", None),
    ];
    for (text, id) in cases {
        let mut decoder = sse::Decoder::default();
        decoder.push(text.as_bytes());
        let event = decoder.next_event().unwrap();
        assert_eq!((event.id, event.bytes.as_slice()), (id, text.as_bytes()));
        assert!(!decoder.is_partial());
    }
}

#[test]
fn incomplete_event() {
    let mut decoder = sse::Decoder::default();
    decoder.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(decoder.next_event().unwrap().id, Some(1));
    assert_eq!(decoder.next_event(), None);
    assert!(decoder.is_partial());
}

// Guards against a response's head or a page of text that is taken for an event (issue 41).
#[test]
fn other_text() {
    let cases = [
        ("id: 1\ndata: a\n\n", true),
        ("id: 1\r\ndata: a\r\n\r\n", true),
        (": comment\n\n", true),
        ("data\n\n", true),
        ("event: a\nretry: 5\ndata: b\ndata: c\n\n", true),
        ("x-added: 2\nid: 1\ndata: a\n\n", true),
        ("\n\ndata: a\n\n", true),
        ("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\n", false),
        ("id: 1\ndata: aHTTP/1.1 500 Failed\r\ncontent-length: 4\r\n\r\n", false),
        ("out of memory\n\n", false),
        ("error: out of memory\n\n", false),
        ("id: 1\nid: 2\ndata: b\n\n", false),
        (" data: a\n\n", false),
    ];
    for (text, is_event) in cases {
        let mut decoder = sse::Decoder::default();
        decoder.push(text.as_bytes());
        let event = decoder.next_event().unwrap();
        assert_eq!(event.is_well_formed(&["x-added"]), is_event, "{text:?}");
    }
}

#[test]
fn event_data() {
    let cases = [
        ("id: 1\ndata: a: b\n\n", Some("a: b")),
        ("data:a\r\ndata:  b\r\ndata\r\n\r\n", Some("a\n b\n")),
        ("id: 1\n\n", None),
    ];
    for (text, data) in cases {
        let mut decoder = sse::Decoder::default();
        decoder.push(text.as_bytes());
        let event = decoder.next_event().unwrap();
        assert_eq!(event.has_data(), data.is_some(), "{text:?}");
        assert_eq!(event.data(), data.unwrap_or_default().as_bytes(), "{text:?}");
    }
}

#[test]
fn byte_order_mark() {
    let mut decoder = sse::Decoder::default();
    for part in ["\u{feff}", "id: 1\ndata: a\n", "\n"] {
        assert_eq!(decoder.next_event(), None);
        decoder.push(part.as_bytes());
    }
    let event = decoder.next_event().unwrap();
    assert_eq!((event.id, event.bytes.as_slice()), (Some(1), "id: 1\ndata: a\n\n".as_bytes()));
    decoder.push("\u{feff}data: a\n\n".as_bytes());
    assert!(!decoder.next_event().unwrap().is_well_formed(&[]));
}

proptest! {
    #![proptest_config(random::config(256))]

    #[test]
    fn any_chunk_size(count in 1u64..20, size in 1usize..40) {
        let text: String = (0..count).map(event_text).collect();
        let mut decoder = sse::Decoder::default();
        let mut decoded = Vec::new();
        for chunk in text.as_bytes().chunks(size) {
            decoder.push(chunk);
            while let Some(event) = decoder.next_event() {
                decoded.push((event.id, event.bytes));
            }
        }
        let expected: Vec<_> =
            (0..count).map(|number| (Some(number), event_text(number).into_bytes())).collect();
        prop_assert_eq!(decoded, expected);
        prop_assert!(!decoder.is_partial());
    }
}
