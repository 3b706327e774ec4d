//! What other entries say of the software versions of a service.

use std::net;

use rhubarb_core::agreement;

use agreement::Older;

fn ip(last: u8) -> net::IpAddr {
    [10, 0, 0, last].into()
}

// A few entries may be cut off together, so that only most of a fleet show that there is one version.
#[test]
fn most_of_fleet() {
    let mut said = agreement::Agreement::default();
    assert!(!said.has_answer() && !said.has_dissent());
    assert!(!said.is_majority(Some(1)), "nobody has named a version");
    said.record(ip(1), Some(7));
    said.record(ip(1), Some(7));
    assert!(said.is_majority(Some(3)), "two of three");
    assert!(!said.is_majority(Some(4)), "two of four");
    assert!(!said.is_majority(None), "the size is unknown");
    said.record(ip(2), Some(7));
    assert!(said.is_majority(Some(5)));
    said.record(ip(3), Some(8));
    assert!(!said.is_majority(Some(5)), "another version");
    assert_eq!(said.versions().len(), 2);
}

#[test]
fn several_known() {
    let mut said = agreement::Agreement::default();
    (1..9).for_each(|last| said.record(ip(last), Some(7)));
    said.record(ip(9), None);
    assert!(said.has_answer() && said.has_dissent());
    assert!(!said.is_majority(Some(10)), "one entry knows of others");
}

// Guards against a stream that is put down to the wrong version, since the process that began it has ended
// (ORDER), and against one that nobody takes up though all entries know how the older ones began (issue
// 50, LOST).
#[test]
fn older_streams() {
    let check = |said: &[Older], own, entries| {
        let mut known = agreement::Agreement::default();
        for (older, last) in said.iter().zip(1..) {
            known.record_older(ip(last), *older);
        }
        known.older(own, entries)
    };
    let (only, other) = (Older::Only(7), Older::Only(8));
    assert_eq!(check(&[only, only], only, Some(3)), Some(7));
    assert_eq!(check(&[only, Older::Nothing], Older::Nothing, Some(3)), Some(7));
    assert_eq!(check(&[only], only, Some(3)), None, "one has not answered");
    assert_eq!(check(&[only, only], only, None), None, "the size is unknown");
    assert_eq!(check(&[only, Older::Unknown], only, Some(3)), None, "one started later");
    assert_eq!(check(&[only, only], Older::Unknown, Some(3)), None, "this one did");
    assert_eq!(check(&[only, other], only, Some(3)), None, "they disagree");
    assert_eq!(check(&[Older::Nothing; 2], Older::Nothing, Some(3)), None, "none is that old");
}
