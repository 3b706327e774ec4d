//! Events of a stream, however the bytes arrive.

mod random;

use proptest::prelude::*;
use rhubarb_core::events;

fn whole(number: u64) -> String {
    format!("id: {number}\ndata: token-{number}\n\n")
}

#[test]
fn ids_and_ends() {
    let cases = [
        ("id: 7\ndata: a\n\n", Some(7)),
        ("data: a\nid:8\n\n", Some(8)),
        ("id: 9\r\ndata: a\r\n\r\n", Some(9)),
        ("id: x\ndata: a\n\n", None),
        ("data: a\n\n", None),
    ];
    for (text, id) in cases {
        let mut scanner = events::Scanner::default();
        scanner.push(text.as_bytes());
        let event = scanner.next_event().unwrap();
        assert_eq!((event.id, event.bytes.as_slice()), (id, text.as_bytes()));
        assert!(!scanner.is_partial());
    }
}

#[test]
fn cut_in_event() {
    let mut scanner = events::Scanner::default();
    scanner.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(scanner.next_event().unwrap().id, Some(1));
    assert_eq!(scanner.next_event(), None);
    assert!(scanner.is_partial());
}

proptest! {
    #![proptest_config(random::config(256))]

    #[test]
    fn any_pieces(count in 1u64..20, size in 1usize..40) {
        let text: String = (0..count).map(whole).collect();
        let mut scanner = events::Scanner::default();
        let mut seen = Vec::new();
        for piece in text.as_bytes().chunks(size) {
            scanner.push(piece);
            while let Some(event) = scanner.next_event() {
                seen.push((event.id, event.bytes));
            }
        }
        let expected: Vec<_> =
            (0..count).map(|number| (Some(number), whole(number).into_bytes())).collect();
        prop_assert_eq!(seen, expected);
        prop_assert!(!scanner.is_partial());
    }
}
