//! Costs of requests: frames, gates, slots, limits and usage.

use std::time;

use rhubarb_core::{gate, ids, limit, outcome, reassembly, slots, usage};
use rhubarb_wire::{chunk, frame, message, offer};

use crate::meter;

/// Idempotency keys that a gate remembers.
const KEYS: u32 = 100_000;
/// Callers of an entry.
const CALLERS: u32 = 14_000;

pub(crate) fn measure(meter: &mut meter::Meter) {
    measure_frames(meter);
    measure_gate(meter);
    measure_callers(meter);
}

pub(crate) fn measure_memory(meter: &mut meter::Meter) {
    let now = time::Instant::now();
    meter.memory("key record of a gate", KEYS, || full_gate(now));
    meter.memory("limit of a caller", CALLERS, || caller_limiters(now));
    meter.memory("usage row of a service and caller", CALLERS, || {
        let mut ledger = usage::Ledger::new("entry-1".into(), 1, 0);
        for number in 0..CALLERS {
            count_request(&mut ledger, number);
        }
        ledger
    });
}

fn measure_frames(meter: &mut meter::Meter) {
    let token = message::ToEntry::Chunk(chunk::Chunk {
        run: ids::run_id(u64::MAX, 1_000_000),
        offset: 10_000,
        bytes: br#"{"index":120,"token":"w0f3a2 "}"#.to_vec(),
    });
    meter.size("frame with one token", frame::encode(&token).len());
    meter.time("encode and decode the frame of one token", 20_000, |_| {
        let bytes = frame::encode(&token);
        frame::decode::<message::ToEntry>(&bytes[4..]).is_ok()
    });
    let offer = message::ToAgent::Offer(offer::Offer {
        run: ids::run_id(u64::MAX, 1_000_000),
        key: Some(u128::MAX),
        start_by_ms: 100_000_000,
        limit_ms: 10_000,
        excess: false,
        method: "POST".into(),
        target: "/confirm".into(),
        headers: (0..6)
            .map(|number| offer::Header {
                name: format!("x-header-{number}"),
                value: b"some value".to_vec(),
            })
            .collect(),
        body: vec![b'x'; 200],
    });
    meter.size("frame with a plain call of 200 bytes", frame::encode(&offer).len());
    meter.time("encode and decode the frame of a plain call", 10_000, |_| {
        let bytes = frame::encode(&offer);
        frame::decode::<message::ToAgent>(&bytes[4..]).is_ok()
    });
    meter.time("take one token into an answer", 100_000, |_| {
        reassembly::Reassembly::default().accept(0, b"token").map(<[u8]>::len)
    });
}

fn gate_limits() -> gate::Limits {
    gate::Limits {
        window: time::Duration::from_secs(600),
        max_keys: KEYS as usize * 2,
        orphan_grace: time::Duration::from_secs(2),
    }
}

fn open_gate(now: time::Instant) -> gate::Gate {
    let mut gate = gate::Gate::new("yard-1".into(), gate_limits(), now);
    gate.observe(&["yard-1".to_string()], |_| false, now);
    gate.mark_history_complete();
    gate
}

fn full_gate(now: time::Instant) -> gate::Gate {
    let mut gate = open_gate(now);
    for number in 0..KEYS {
        run_key(&mut gate, number, now);
    }
    gate
}

fn run_key(gate: &mut gate::Gate, number: u32, now: time::Instant) {
    let run = ids::run_id(7, u64::from(number));
    let key = Some(ids::digest(&[&number.to_be_bytes()]));
    let start_by = now + time::Duration::from_secs(10);
    gate.offer(gate::Offer { run, key, start_by, cancellable: false }, now);
    let _ = gate.start(run, now);
    gate.finish(run, true, now);
}

fn measure_gate(meter: &mut meter::Meter) {
    let now = time::Instant::now();
    let mut gate = full_gate(now);
    let mut number = KEYS;
    meter.time("run one key through a gate that remembers 100000", 2_000, |_| {
        number += 1;
        run_key(&mut gate, number, now);
    });
    meter.time("look for orphans and old records among 100000", 1_000, |_| {
        (gate.next_orphan(now), gate.next_expired(now))
    });
    let mut slots = slots::Slots::new(300, 64, time::Duration::from_secs(5));
    meter.time("reserve and free a slot", 20_000, |number| {
        let run = u128::from(number);
        slots.request(run, now + time::Duration::from_secs(2), now);
        slots.claim(run);
        slots.release(run, now);
    });
}

fn measure_callers(meter: &mut meter::Meter) {
    let now = time::Instant::now();
    let mut limiters = caller_limiters(now);
    meter.time("admit a request of one of 14000 callers", 20_000, |number| {
        let name = format!("caller-{}", number % CALLERS);
        let limiter = limiters.get_mut(&name).expect("each caller has a limiter");
        let admitted = limiter.admit(100, 50, 4, now);
        limiter.release();
        admitted
    });
    meter.time("digest a caller key", 10_000, |number| ids::key_digest(&number.to_string()));
    let mut ledger = usage::Ledger::new("entry-1".into(), 1, 0);
    for number in 0..CALLERS {
        count_request(&mut ledger, number);
    }
    meter.time("count a request", 20_000, |number| count_request(&mut ledger, number % CALLERS));
    ledger.close(60_000, false);
    let record = ledger.next_record().expect("a record was closed");
    let bytes = serde_json::to_string(record).expect("records can be encoded").len();
    meter.size("usage row in a stored record", bytes / CALLERS as usize);
}

fn caller_limiters(
    now: time::Instant,
) -> std::collections::BTreeMap<ids::CallerName, limit::CallerLimiter> {
    let limiters = (0..CALLERS).map(|number| {
        let name = format!("caller-{number}");
        (name, limit::CallerLimiter::new(100, 4, now))
    });
    limiters.collect()
}

fn count_request(ledger: &mut usage::Ledger, number: u32) {
    let totals = ledger.totals("clip-models", &format!("caller-{number}"));
    totals.count_outcome(outcome::Outcome::Answered, None);
    totals.first.add(time::Duration::from_millis(u64::from(number % 400) + 1));
    totals.between.add(time::Duration::from_millis(u64::from(number % 70) + 1));
    totals.output_tokens += 200;
}
