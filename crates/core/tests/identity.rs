//! Which process of a server answers on a connection.

use rhubarb_core::identity;

#[test]
fn asked_once() {
    assert_eq!(identity::Peer::default().check(Some(5)), identity::Check::Ask);
    assert_eq!(identity::Peer::Said(Some(5)).check(Some(5)), identity::Check::Pass);
    assert_eq!(identity::Peer::Said(Some(6)).check(Some(5)), identity::Check::Replaced);
    // Also where the row is newer than the process.
    assert_eq!(identity::Peer::Said(Some(5)).check(Some(6)), identity::Check::Replaced);
}

// Without starts processes cannot be told apart.
#[test]
fn untold_starts() {
    for peer in [identity::Peer::Unknown, identity::Peer::Said(None), identity::Peer::Said(Some(5))]
    {
        assert_eq!(peer.check(None), identity::Check::Pass);
        assert!(!peer.is_proven(None), "{peer:?}");
    }
    assert_eq!(identity::Peer::Said(None).check(Some(5)), identity::Check::Pass);
    assert!(
        !identity::Peer::Said(None).is_proven(Some(5))
            && identity::Peer::Said(Some(5)).is_proven(Some(5))
    );
}
