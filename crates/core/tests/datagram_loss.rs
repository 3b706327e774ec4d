//! Datagrams between entries that are lost, reordered or duplicated.

use std::time;

use proptest::prelude::*;

use rhubarb_core::{engine, engines, fleet, ids, members, reports, urgency};

mod random;

const MILLI: time::Duration = time::Duration::from_millis(1);
const NEED: engine::Need = engine::Need { prompt: 2_000, output: 1_000 };
const PEER: &str = "edge-1";

fn engines() -> engines::Engines {
    let mut engines = engines::Engines::default();
    let instance = fleet::Instance {
        service: "models".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "hall-a".into(),
        slots: 16,
        stage: Some(fleet::Stage::Decode),
        leaving: false,
        software: "v1".into(),
        started_ms: None,
        sequence: 1,
    };
    for id in ["d-0", "d-1"] {
        engines.set(id, &instance, 16, 40_000);
    }
    engines
}

// Next action of the peer, and how the datagram that reports it is delivered.
#[derive(Clone, Copy, Debug)]
struct Step {
    pause_ms: u32,
    reserves: bool,
    is_lost: bool,
    is_duplicated: bool,
    // Number of steps until delivery, so that later datagrams may arrive first.
    delay: usize,
}

fn step() -> impl Strategy<Value = Step> {
    let parts = (0u32..600, any::<bool>(), 0u8..3, any::<bool>(), 0usize..3);
    parts.prop_map(|(pause_ms, reserves, loss, is_duplicated, delay)| Step {
        pause_ms,
        reserves,
        is_lost: loss == 0,
        is_duplicated,
        delay,
    })
}

fn tokens(commitments: &reports::Commitments) -> u64 {
    commitments.values().map(|commitment| u64::from(commitment.tokens)).sum()
}

proptest! {
    #![proptest_config(random::config(512))]

    // The estimate of a peer's commitments is the report with the highest sequence number among
    // those received, and zero after the peer timeout.
    #[test]
    fn newest_report(steps in proptest::collection::vec(step(), 1..80)) {
        let ip = [10, 0, 0, 7].into();
        let (mut peer, mut own) = (engines(), engines());
        let mut members = members::Members::new([10, 0, 0, 1].into(), 1, time::Instant::now());
        let mut runs = Vec::new();
        let mut in_flight: Vec<(usize, u64, reports::Commitments)> = Vec::new();
        let mut newest: Option<(u64, reports::Commitments, time::Instant)> = None;
        let start = time::Instant::now();
        let mut now = start;
        for (seq, step) in (1u64..).zip(steps) {
            now += step.pause_ms * MILLI;
            if step.reserves {
                let position = engines::Position {
                    urgency: urgency::Urgency::default(),
                    overdue: false,
                    arrived: now,
                    run: ids::RunId::from(seq),
                };
                let id = peer.reserve(position, NEED, |_| true, seq, now);
                runs.extend(id.map(|id| (id, position.run)));
            } else if let Some((id, run)) = runs.pop() {
                peer.release(&id, run, now);
            }
            if !step.is_lost {
                let copies = if step.is_duplicated { 2 } else { 1 };
                let datagram = (step.delay, seq, peer.commitments(now));
                in_flight.extend(std::iter::repeat_n(datagram, copies));
            }
            let (due, delayed) =
                in_flight.into_iter().partition::<Vec<_>, _>(|(delay, ..)| *delay == 0);
            in_flight = delayed
                .into_iter()
                .map(|(delay, seq, commitments)| (delay - 1, seq, commitments))
                .collect();
            for (_, seq, commitments) in due {
                let heartbeat = members::Heartbeat { ip, zone: 1, seq };
                if members.record_heartbeat(heartbeat, 1, now) {
                    let range = (0, ids::ServerTag::MAX);
                    let report = reports::Report { range, commitments: commitments.clone() };
                    own.update_peer(PEER, &report, now);
                    prop_assert!(newest.as_ref().is_none_or(|(old, ..)| *old < seq));
                    newest = Some((seq, commitments, now));
                }
            }
            let is_fresh = |at: time::Instant| now <= at + engine::PEER_TIMEOUT;
            let report = newest.as_ref().filter(|(.., at)| is_fresh(*at));
            let expected = report.map_or(0, |(_, commitments, _)| tokens(commitments));
            let capacity = 2 * (40_000.0 * 0.95) as u64;
            prop_assert_eq!(u64::from(own.fill(now)), expected * 1000 / capacity);
        }
    }
}
