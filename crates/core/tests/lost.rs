//! Datagrams between entries that are lost, delayed or doubled.

use std::{collections, time};

use proptest::prelude::*;

use rhubarb_core::{engine, engines, fleet, ids, members};

mod random;

const MILLI: time::Duration = time::Duration::from_millis(1);
const NEED: engine::Need = engine::Need { prompt: 2_000, output: 1_000 };
const PEER: &str = "edge-1";

type Given = collections::BTreeMap<ids::ServerName, engine::Commitment>;

fn engines() -> engines::Engines {
    let mut engines = engines::Engines::default();
    let instance = fleet::Instance {
        service: "models".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "hall-a".into(),
        slots: 16,
        stage: Some(fleet::Stage::Decode),
        leaving: false,
        started_ms: None,
    };
    for id in ["d-0", "d-1"] {
        engines.set(id, &instance, 16, 40_000);
    }
    engines
}

// What the peer does next, and what becomes of the datagram that tells it.
#[derive(Clone, Copy, Debug)]
struct Step {
    pause: u32,
    reserves: bool,
    is_lost: bool,
    is_doubled: bool,
    // Datagrams sent later that overtake this one.
    overtaken: usize,
}

fn step() -> impl Strategy<Value = Step> {
    let parts = (0u32..600, any::<bool>(), 0u8..3, any::<bool>(), 0usize..3);
    parts.prop_map(|(pause, reserves, fate, is_doubled, overtaken)| Step {
        pause,
        reserves,
        is_lost: fate == 0,
        is_doubled,
        overtaken,
    })
}

fn tokens(given: &Given) -> u64 {
    given.values().map(|commitment| u64::from(commitment.tokens)).sum()
}

proptest! {
    #![proptest_config(random::config(512))]

    // Whatever is lost, what an entry believes of a peer is what the newest datagram that came
    // through told, and nothing once none came for a while.
    #[test]
    fn newest_counts(steps in proptest::collection::vec(step(), 1..80)) {
        let ip = [10, 0, 0, 7].into();
        let (mut peer, mut own) = (engines(), engines());
        let mut members = members::Members::default();
        let mut runs = Vec::new();
        let mut way: Vec<(usize, u64, Given)> = Vec::new();
        let mut newest: Option<(u64, Given, time::Instant)> = None;
        let start = time::Instant::now();
        let mut now = start;
        for (seq, step) in (1u64..).zip(steps) {
            now += step.pause * MILLI;
            if step.reserves {
                let place =
                    engines::Position { overdue: false, arrived: now, run: ids::RunId::from(seq) };
                let id = peer.reserve(place, NEED, |_| true, seq, now);
                runs.extend(id.map(|id| (id, place.run)));
            } else if let Some((id, run)) = runs.pop() {
                peer.release(&id, run, now);
            }
            if !step.is_lost {
                let copies = if step.is_doubled { 2 } else { 1 };
                let datagram = (step.overtaken, seq, peer.commitments(now));
                way.extend(std::iter::repeat_n(datagram, copies));
            }
            let (here, later) = way.into_iter().partition::<Vec<_>, _>(|(wait, ..)| *wait == 0);
            way = later.into_iter().map(|(wait, seq, given)| (wait - 1, seq, given)).collect();
            for (_, seq, given) in here {
                if members.record_heartbeat(ip, 1, seq, now) {
                    own.update_peer(PEER, &given, now);
                    prop_assert!(newest.as_ref().is_none_or(|(old, ..)| *old < seq));
                    newest = Some((seq, given, now));
                }
            }
            let is_fresh = |at: time::Instant| now <= at + engine::PEER_TIMEOUT;
            let told = newest.as_ref().filter(|(.., at)| is_fresh(*at));
            let expected = told.map_or(0, |(_, given, _)| tokens(given));
            let room = 2 * (40_000.0 * 0.95) as u64;
            prop_assert_eq!(u64::from(own.fill(now)), expected * 1000 / room);
        }
    }
}
