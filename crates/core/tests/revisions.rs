//! Applying changes yields the same revision as reading the whole list.

mod random;

use proptest::prelude::*;

use rhubarb_core::{change, ids, revision, revisions};

fn section(kind: usize, number: usize, rate: u32) -> String {
    let key = ids::key_digest(&number.to_string());
    match kind {
        0 => format!("[caller c-{number}]\nkeys = {key}\nrate = {rate}\n# a comment\n\n"),
        _ => format!("[service s-{number}]\nkind = plain\nservers = b-{number}\nrooms = {rate}\n"),
    }
}

fn revision(version: u64, before: Option<&revision::Revision>, text: &str) -> revision::Revision {
    let content = revision::next_content(before, text, version * 1000).unwrap();
    revision::read_row(version, &serde_json::to_string(&content).unwrap()).unwrap()
}

fn diff(old: &revision::Revision, new: &revision::Revision) -> Option<change::Change> {
    change::diff(old, &serde_json::from_str(&new.row()).unwrap())
}

#[test]
fn changed_caller() {
    let old = revision(1, None, &format!("# head\n{}{}", section(1, 1, 5), section(0, 1, 5)));
    let text = old.text().replace("rate = 5", "rate = 6");
    let new = revision(2, Some(&old), &text);
    let change = diff(&old, &new).unwrap();
    assert_eq!(change.callers().collect::<Vec<_>>(), ["c-1"]);
    assert!(!change.affects_services());
    let mut applied = old.clone();
    assert!(applied.apply(2, &change));
    assert_eq!(applied, new);
    assert!(!applied.clone().apply(2, &change), "a change is applied once");
    assert!(!applied.apply(4, &change), "a change that skips versions is refused");
}

#[test]
fn reordered_sections() {
    let old = revision(1, None, &format!("{}{}", section(1, 1, 5), section(1, 2, 5)));
    let new = revision(2, Some(&old), &format!("{}{}", section(1, 2, 5), section(1, 1, 5)));
    assert_eq!(diff(&old, &new), None, "the whole list must be read again");
}

#[test]
fn removed_server() {
    let old = revision(1, None, &format!("{}{}", section(1, 1, 5), section(1, 2, 5)));
    let new = revision(2, Some(&old), &section(1, 1, 5));
    let mut applied = old.clone();
    assert!(applied.apply(2, &diff(&old, &new).unwrap()));
    assert_eq!(applied, new);
    assert_eq!(applied.removed[0].server, "b-2");
}

#[test]
fn peer_updates() {
    let first = revision(1, None, &section(1, 1, 5));
    let mut history = revisions::Revisions::default();
    history.apply_row(1, &first.row());
    let mut current = first;
    for version in 2..5 {
        let next = revision(version, Some(&current), &section(1, 1, version as u32));
        let change = serde_json::to_string(&diff(&current, &next).unwrap()).unwrap();
        assert!(history.apply_change(version, &change).is_some());
        assert!(history.apply_change(version, &change).is_none(), "a change is applied once");
        current = next;
    }
    assert_eq!(history.current(), &current);
    assert_eq!(history.update_from(4), None);
    let Some(revisions::Update::Changes(3, changes)) = history.update_from(2) else { panic!() };
    assert_eq!(changes.len(), 2);
    assert!(matches!(history.update_from(0), Some(revisions::Update::Row(4, _))));
    assert!(history.apply_row(3, &current.row()).is_none(), "an older row is refused");
}

proptest! {
    #![proptest_config(random::config(500))]

    #[test]
    fn random_edits(edits in prop::collection::vec((0..2usize, 0..6usize, 0..4u32), 1..25)) {
        let mut sections: Vec<(usize, usize, u32)> = vec![(1, 9, 1)];
        let text = |sections: &[(usize, usize, u32)]| {
            let texts = sections.iter().map(|(kind, number, rate)| section(*kind, *number, *rate));
            texts.collect::<String>()
        };
        let mut expected = revision(1, None, &text(&sections));
        let mut applied = expected.clone();
        for (version, (kind, number, rate)) in (2..).zip(edits) {
            let at = sections.iter().position(|(k, n, _)| (*k, *n) == (kind, number));
            match (at, rate) {
                (Some(at), 0) => {
                    sections.remove(at);
                }
                (Some(at), _) => sections[at].2 = rate,
                (None, _) => sections.push((kind, number, rate.max(1))),
            }
            let next = revision(version, Some(&expected), &text(&sections));
            let change = diff(&expected, &next);
            prop_assert!(change.is_some(), "the sections kept their order");
            prop_assert!(applied.apply(version, &change.unwrap()));
            prop_assert_eq!(&applied, &next);
            expected = next;
        }
    }
}
