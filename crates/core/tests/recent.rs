//! Names that were given out a short time ago.

use std::time;

use rhubarb_core::recent;

#[test]
fn repeated_names() {
    let mut names = recent::RecentNames::default();
    let now = time::Instant::now();
    let after = |seconds| now + time::Duration::from_secs(seconds);
    assert!(names.insert("i-1/h-1", now));
    assert!(names.insert("i-2/h-1", after(1)));
    assert!(!names.insert("i-1/h-1", after(59)));
    assert!(names.insert("i-1/h-1", after(60)), "it has expired");
    assert!(!names.insert("i-2/h-1", after(60)));
}
