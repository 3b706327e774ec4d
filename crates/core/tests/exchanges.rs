//! What may be sent on a connection on which earlier responses may come once more.

use rhubarb_core::exchanges;

use exchanges::Proof;

fn after(proofs: &[Proof]) -> exchanges::Exchanges {
    let mut exchanges = exchanges::Exchanges::default();
    proofs.iter().for_each(|proof| exchanges.record(*proof));
    exchanges
}

const FIRST: Proof = Proof::Attempt(1);
const SECOND: Proof = Proof::Attempt(2);

// Guards against a repeated refusal of an earlier run of an attempt that counts for a later one,
// whatever came between them.
#[test]
fn same_attempt() {
    for between in [vec![], vec![SECOND], vec![Proof::Content], vec![Proof::Content, SECOND]] {
        let connection = after(&[&[FIRST][..], &between].concat());
        assert!(!connection.admits(FIRST), "{between:?}");
        assert!(connection.admits(Proof::Attempt(3)), "{between:?}");
    }
}

// Guards against a repeated response without an id that counts for a request whose response has none
// either.
#[test]
fn without_ids() {
    for earlier in [Proof::Content, Proof::Position] {
        for between in [vec![], vec![FIRST], vec![FIRST, SECOND]] {
            let connection = after(&[&[earlier][..], &between].concat());
            assert!(!connection.admits(Proof::Position), "{earlier:?}, {between:?}");
            assert_eq!(connection.admits(Proof::Content), !between.is_empty(), "{earlier:?}");
        }
    }
    assert!(after(&[FIRST]).admits(Proof::Position));
}

// Guards against a record that grows without bound, or that forgets an attempt.
#[test]
fn many_attempts() {
    let mut connection = exchanges::Exchanges::default();
    for attempt in 0..exchanges::MAX_ATTEMPTS as u64 {
        assert!(!connection.is_full());
        assert!(connection.admits(Proof::Attempt(attempt)));
        connection.record(Proof::Attempt(attempt));
        assert!(!connection.admits(Proof::Attempt(0)));
    }
    assert!(connection.is_full());
    assert!(!connection.admits(Proof::Attempt(u64::MAX)));
}
