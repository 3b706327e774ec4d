//! Answers reassembled from chunks that are duplicated, delayed, lost or split at every byte.

mod random;

use proptest::prelude::*;

use rhubarb_core::reassembly;

const ANSWER: &[u8] = b"grade 21.5 micron, staple sound";

#[test]
fn split_everywhere() {
    for split in 0..=ANSWER.len() {
        for resumed in 0..=split {
            let mut reassembly = reassembly::Reassembly::default();
            let mut received = reassembly.accept(0, &ANSWER[..split]).unwrap().to_vec();
            received.extend(reassembly.accept(resumed as u64, &ANSWER[resumed..]).unwrap());
            assert_eq!(received, ANSWER, "split at {split}, resumed from {resumed}");
            assert!(reassembly.finish(ANSWER.len() as u64).is_ok());
        }
    }
}

#[test]
fn lost_chunk() {
    let mut reassembly = reassembly::Reassembly::default();
    reassembly.accept(0, &ANSWER[..5]).unwrap();
    let gap = reassembly.accept(6, &ANSWER[6..]).unwrap_err();
    assert_eq!(gap.from, 5);
    assert_eq!(reassembly.offset(), 5, "the chunk was discarded");
    assert!(reassembly.finish(ANSWER.len() as u64).is_err(), "a truncated answer is incomplete");
}

proptest! {
    #![proptest_config(random::config(2000))]

    #[test]
    fn any_order(chunks in prop::collection::vec((0..40usize, 0..20usize), 0..60)) {
        let mut reassembly = reassembly::Reassembly::default();
        let mut received = Vec::new();
        for (start, length) in chunks {
            let start = start.min(ANSWER.len());
            let end = (start + length).min(ANSWER.len());
            if let Ok(new_bytes) = reassembly.accept(start as u64, &ANSWER[start..end]) {
                received.extend_from_slice(new_bytes);
            }
            prop_assert_eq!(&received[..], &ANSWER[..received.len()]);
            prop_assert_eq!(received.len() as u64, reassembly.offset());
        }
        prop_assert_eq!(reassembly.finish(ANSWER.len() as u64).is_ok(), received == ANSWER);
    }
}
