//! Which process of a server answers on a connection.

use rhubarb_core::identity::{Check, Peer};

#[test]
fn asked_once() {
    assert_eq!(Peer::default().check(Some(5)), Check::Ask);
    assert_eq!(Peer::Said(Some(5)).check(Some(5)), Check::Pass);
    assert_eq!(Peer::Said(Some(6)).check(Some(5)), Check::Replaced);
    // Also where the row is newer than the process.
    assert_eq!(Peer::Said(Some(5)).check(Some(6)), Check::Replaced);
}

// Without starts processes cannot be told apart.
#[test]
fn untold_starts() {
    for peer in [Peer::Unknown, Peer::Said(None), Peer::Said(Some(5))] {
        assert_eq!(peer.check(None), Check::Pass);
        assert!(!peer.is_proven(None), "{peer:?}");
    }
    assert_eq!(Peer::Said(None).check(Some(5)), Check::Pass);
    assert!(!Peer::Said(None).is_proven(Some(5)) && Peer::Said(Some(5)).is_proven(Some(5)));
}
