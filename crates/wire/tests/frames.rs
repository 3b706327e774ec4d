//! Malformed, cut, foreign and forged messages are refused without a panic.

#[path = "../../core/tests/random/mod.rs"]
mod random;

use proptest::prelude::*;

use rhubarb_core::{ids, load, outcome};
use rhubarb_wire::{auth, chunk, datagram, frame, message, offer};

fn keys(key: &str) -> auth::Keys {
    auth::Keys::new(vec![key.to_string()]).unwrap()
}

fn orders() -> Vec<message::Order> {
    let run = ids::run_id(7, 9);
    vec![
        message::Order::Offer(offer::Offer {
            run,
            key: Some(3),
            start_by_ms: 5,
            limit_ms: 6,
            excess: true,
            method: "POST".into(),
            target: "/confirm?x".into(),
            headers: vec![offer::Header { name: "a".into(), value: vec![0xff] }],
            body: b"body".to_vec(),
        }),
        message::Order::Resume(message::Resume { run, offset: u64::MAX }),
        message::Order::Cancel(run),
        message::Order::Ping(message::Ping { seq: 1, version: 2 }),
        message::Order::WantList(7),
    ]
}

fn notices() -> Vec<message::Notice> {
    let run = ids::run_id(7, 9);
    let refusal = outcome::Refusal::permanent(outcome::Reason::NoRoom);
    let load = load::Load { rooms: 20, held: 3, waiting: 1, queue_ms: 9, leaving: true };
    vec![
        message::Notice::Chunk(chunk::Chunk { run, offset: 3, bytes: b"piece".to_vec() }),
        message::Notice::Refused(message::Refused { run, refusal }),
        message::Notice::Pong(message::Pong { seq: 1, clock_ms: 2, version: 3, load }),
        message::Notice::End(message::End { run, length: 8 }),
    ]
}

#[test]
fn round_trip() {
    for order in orders() {
        let bytes = frame::encode(&order);
        assert_eq!(frame::decode::<message::Order>(&bytes[4..]).unwrap(), order);
    }
    for notice in notices() {
        let bytes = frame::encode(&notice);
        assert_eq!(frame::decode::<message::Notice>(&bytes[4..]).unwrap(), notice);
    }
}

#[test]
fn cut_short() {
    for notice in notices() {
        let bytes = frame::encode(&notice);
        for cut in 4..bytes.len() {
            assert!(frame::decode::<message::Notice>(&bytes[4..cut]).is_err(), "cut at {cut}");
        }
    }
}

#[test]
fn other_version() {
    let mut bytes = frame::encode(&message::Order::WantList(7));
    bytes[4] = frame::VERSION + 1;
    let err = frame::decode::<message::Order>(&bytes[4..]).unwrap_err();
    assert!(err.to_string().contains("upgrade the older peer"), "{err}");
}

#[tokio::test]
async fn too_long() {
    let bytes = u32::MAX.to_be_bytes();
    let read = frame::read::<message::Order, _>(&mut &bytes[..], frame::MAX_FRAME_BYTES).await;
    assert!(matches!(read, Err(frame::FrameError::TooLong(_))));
}

#[test]
fn forged_datagram() {
    let beat = datagram::Beat::Follow(datagram::Follow::default());
    let bytes = datagram::seal(&keys("the right shared key"), &beat);
    let refused = datagram::open(&keys("some other shared key"), &bytes);
    assert_eq!(refused, Err(datagram::DatagramError::Proof));
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert!(datagram::open(&keys("the right shared key"), &changed).is_err(), "byte {at}");
    }
}

#[test]
fn rotated_keys() {
    let old = keys("the older shared key");
    let both = vec!["the newer shared key".to_string(), "the older shared key".to_string()];
    let both = auth::Keys::new(both).unwrap();
    let beat = datagram::Beat::Follow(datagram::Follow::default());
    assert!(datagram::open(&both, &datagram::seal(&old, &beat)).is_ok());
    assert!(datagram::open(&old, &datagram::seal(&both, &beat)).is_err(), "give both keys first");
    assert!(auth::Keys::new(vec!["short".into()]).is_none());
    assert!(auth::Keys::new(Vec::new()).is_none());
}

#[test]
fn hello_bound() {
    let keys = keys("the right shared key");
    let challenge = message::Challenge { server: "yard-1".into(), incarnation: 1, nonce: [1; 16] };
    let hello = message::Hello::sign(&keys, &challenge, "entry-1", 2, [2; 16]);
    assert!(hello.is_signed(&keys, &challenge));
    let other = message::Challenge { nonce: [3; 16], ..challenge.clone() };
    assert!(!hello.is_signed(&keys, &other), "replayed on another connection");
    let renamed = message::Hello { entry: "entry-2".into(), ..hello.clone() };
    assert!(!renamed.is_signed(&keys, &challenge));
    let welcome = message::Welcome::sign(&keys, &hello, message::Pong::default());
    assert!(welcome.is_signed(&keys, &hello));
    let later = message::Hello::sign(&keys, &other, "entry-1", 2, [4; 16]);
    assert!(!welcome.is_signed(&keys, &later), "replayed on another connection");
}

proptest! {
    #![proptest_config(random::config(3000))]

    #[test]
    fn random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut framed = vec![frame::VERSION];
        framed.extend(&bytes);
        let _ = frame::decode::<message::Order>(&framed);
        let _ = frame::decode::<message::Notice>(&framed);
        prop_assert!(datagram::open(&keys("the right shared key"), &bytes).is_err());
    }

    #[test]
    fn random_changes(at in 0..200usize, byte in any::<u8>(), pick in 0..5usize) {
        let mut bytes = frame::encode(&orders()[pick]);
        let length = bytes.len();
        bytes[4 + at % (length - 4)] = byte;
        let _ = frame::decode::<message::Order>(&bytes[4..]);
    }
}
