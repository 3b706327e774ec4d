//! Malformed, truncated and forged messages, and those of other protocol versions, are rejected
//! without a panic.

#[path = "../../core/tests/random/mod.rs"]
mod random;

use proptest::prelude::*;

use rhubarb_core::{ids, load, outcome};
use rhubarb_wire::{auth, chunk, datagram, frame, message, offer};

fn keys(key: &str) -> auth::Keys {
    auth::Keys::new(vec![key.to_string()]).unwrap()
}

fn to_agent() -> Vec<message::ToAgent> {
    let run = ids::run_id(7, 9);
    vec![
        message::ToAgent::Offer(offer::Offer {
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
        message::ToAgent::Resume(message::Resume { run, offset: u64::MAX }),
        message::ToAgent::Cancel(run),
        message::ToAgent::Ping(message::Ping { seq: 1, version: 2 }),
        message::ToAgent::WantList(7),
    ]
}

fn to_entry() -> Vec<message::ToEntry> {
    let run = ids::run_id(7, 9);
    let refusal = outcome::Refusal::permanent(outcome::Reason::NoRoom);
    let load = load::Load { slots: 20, held: 3, waiting: 1, queue_ms: 9, leaving: true };
    vec![
        message::ToEntry::Chunk(chunk::Chunk { run, offset: 3, bytes: b"piece".to_vec() }),
        message::ToEntry::Refused(message::Refused { run, refusal }),
        message::ToEntry::Pong(message::Pong { seq: 1, clock_ms: 2, version: 3, load }),
        message::ToEntry::End(message::End { run, length: 8 }),
    ]
}

#[test]
fn round_trip() {
    for message in to_agent() {
        let bytes = frame::encode(&message);
        assert_eq!(frame::decode::<message::ToAgent>(&bytes[4..]).unwrap(), message);
    }
    for message in to_entry() {
        let bytes = frame::encode(&message);
        assert_eq!(frame::decode::<message::ToEntry>(&bytes[4..]).unwrap(), message);
    }
}

#[test]
fn truncated_frame() {
    for message in to_entry() {
        let bytes = frame::encode(&message);
        for end in 4..bytes.len() {
            assert!(frame::decode::<message::ToEntry>(&bytes[4..end]).is_err(), "end at {end}");
        }
    }
}

#[test]
fn protocol_version() {
    let mut bytes = frame::encode(&message::ToAgent::WantList(7));
    bytes[4] = frame::VERSION + 1;
    let err = frame::decode::<message::ToAgent>(&bytes[4..]).unwrap_err();
    assert!(err.to_string().contains("upgrade the older peer"), "{err}");
}

#[tokio::test]
async fn frame_too_long() {
    let bytes = u32::MAX.to_be_bytes();
    let read = frame::read::<message::ToAgent, _>(&mut &bytes[..], frame::MAX_FRAME_BYTES).await;
    assert!(matches!(read, Err(frame::FrameError::TooLong(_))));
}

#[test]
fn forged_datagram() {
    let heartbeat = datagram::Heartbeat::Follow(datagram::Follow::default());
    let bytes = datagram::encode(&keys("the right shared key"), &heartbeat);
    let rejected = datagram::decode(&keys("some other shared key"), &bytes);
    assert_eq!(rejected, Err(datagram::DatagramError::Proof));
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert!(datagram::decode(&keys("the right shared key"), &changed).is_err(), "byte {at}");
    }
}

#[test]
fn rotated_keys() {
    let old = keys("the older shared key");
    let both = vec!["the newer shared key".to_string(), "the older shared key".to_string()];
    let both = auth::Keys::new(both).unwrap();
    let heartbeat = datagram::Heartbeat::Follow(datagram::Follow::default());
    assert!(datagram::decode(&both, &datagram::encode(&old, &heartbeat)).is_ok());
    assert!(
        datagram::decode(&old, &datagram::encode(&both, &heartbeat)).is_err(),
        "a peer with the old key alone rejects the new key"
    );
    assert!(auth::Keys::new(vec!["short".into()]).is_none());
    assert!(auth::Keys::new(Vec::new()).is_none());
}

#[test]
fn replayed_hello() {
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
        let _ = frame::decode::<message::ToAgent>(&framed);
        let _ = frame::decode::<message::ToEntry>(&framed);
        prop_assert!(datagram::decode(&keys("the right shared key"), &bytes).is_err());
    }

    #[test]
    fn changed_byte(at in 0..200usize, byte in any::<u8>(), pick in 0..5usize) {
        let mut bytes = frame::encode(&to_agent()[pick]);
        let length = bytes.len();
        bytes[4 + at % (length - 4)] = byte;
        let _ = frame::decode::<message::ToAgent>(&bytes[4..]);
    }
}
