//! What other entries say of the software versions of a service.

use std::net;

use rhubarb_core::agreement;

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
