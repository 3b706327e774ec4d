//! Whole answers from pieces that are repeated, late, lost or cut at every byte.

mod random;

use proptest::prelude::*;

use rhubarb_core::assembly;

const ANSWER: &[u8] = b"grade 21.5 micron, staple sound";

#[test]
fn cut_everywhere() {
    for cut in 0..=ANSWER.len() {
        for resumed in 0..=cut {
            let mut assembly = assembly::Assembly::default();
            let mut got = assembly.take(0, &ANSWER[..cut]).unwrap().to_vec();
            got.extend(assembly.take(resumed as u64, &ANSWER[resumed..]).unwrap());
            assert_eq!(got, ANSWER, "cut at {cut}, resumed from {resumed}");
            assert!(assembly.finish(ANSWER.len() as u64).is_ok());
        }
    }
}

#[test]
fn lost_piece() {
    let mut assembly = assembly::Assembly::default();
    assembly.take(0, &ANSWER[..5]).unwrap();
    let gap = assembly.take(6, &ANSWER[6..]).unwrap_err();
    assert_eq!(gap.from, 5);
    assert_eq!(assembly.offset(), 5, "nothing was taken");
    assert!(assembly.finish(ANSWER.len() as u64).is_err(), "a cut answer is not whole");
}

proptest! {
    #![proptest_config(random::config(2000))]

    #[test]
    fn any_order(pieces in prop::collection::vec((0..40usize, 0..20usize), 0..60)) {
        let mut assembly = assembly::Assembly::default();
        let mut got = Vec::new();
        for (start, length) in pieces {
            let start = start.min(ANSWER.len());
            let end = (start + length).min(ANSWER.len());
            if let Ok(fresh) = assembly.take(start as u64, &ANSWER[start..end]) {
                got.extend_from_slice(fresh);
            }
            prop_assert_eq!(&got[..], &ANSWER[..got.len()]);
            prop_assert_eq!(got.len() as u64, assembly.offset());
        }
        prop_assert_eq!(assembly.finish(ANSWER.len() as u64).is_ok(), got == ANSWER);
    }
}
