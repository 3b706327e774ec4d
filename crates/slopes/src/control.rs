//! Costs of control traffic and decisions: heartbeats, pools, owners of keys and pings.

use std::time;

use rhubarb_core::{ids, load, owner, pool, subset};
use rhubarb_wire::{auth, datagram, frame, message};

use crate::meter;

/// Servers in the subset of an entry.
const SUBSET: u32 = 12;
/// Servers from which a subset is chosen.
const CANDIDATES: u32 = 1333;
/// Servers of which one owns a key.
const OWNERS: u32 = 30;

pub(crate) fn measure(meter: &mut meter::Meter) {
    measure_heartbeats(meter);
    measure_pool(meter);
    measure_pings(meter);
}

fn measure_heartbeats(meter: &mut meter::Meter) {
    let keys = auth::Keys::new(vec!["0123456789abcdef0123456789abcdef".into()]);
    let keys = keys.expect("the key is long enough");
    let follow = datagram::Heartbeat::Follow(datagram::Follow {
        incarnation: u64::MAX,
        seq: 1_000_000,
        version: 100_000,
        leaving: false,
        depends_ready: true,
    });
    let report = datagram::Heartbeat::Report(datagram::Report {
        server: "clip-decode-0123".into(),
        incarnation: u64::MAX,
        seq: 1_000_000,
        version: 100_000,
        load: load::Load { slots: 300, held: 280, waiting: 10, queue_ms: 900, leaving: false },
    });
    let sealed = datagram::encode(&keys, &report);
    meter.size("load request, without IP and UDP headers", datagram::encode(&keys, &follow).len());
    meter.size("load report, without IP and UDP headers", sealed.len());
    meter.time("seal a load request or report", 20_000, |_| datagram::encode(&keys, &report));
    meter.time("open a load request or report", 20_000, |_| datagram::decode(&keys, &sealed));
}

fn measure_pool(meter: &mut meter::Meter) {
    let now = time::Instant::now();
    let mut pool = pool::Pool::new("zone-1".into());
    for number in 0..SUBSET {
        let name = format!("server-{number}");
        pool.add(&name, if number % 3 == 0 { "zone-2" } else { "zone-1" });
        let load = load::Load { slots: 20, held: number, ..load::Load::default() };
        pool.update_load(&name, load, now);
    }
    meter.time("choose a server of a subset of 12", 20_000, |number| {
        let random = u64::from(number) * 0x9e37_79b9_7f4a_7c15;
        pool.pick(pool::Criteria { tried: &[], affinity: None, random, by_work: false }, now)
    });
    meter.time("choose a server of a subset of 12, by prefix", 5_000, |number| {
        let affinity = Some(u128::from(number));
        pool.pick(
            pool::Criteria { tried: &[], affinity, random: u64::from(number), by_work: false },
            now,
        )
    });
    let candidates: Vec<_> = (0..CANDIDATES)
        .map(|number| subset::Candidate {
            name: format!("server-{number}"),
            zone: format!("zone-{}", number % 9),
        })
        .collect();
    meter.time("choose the subset of a pool of 1333", 20, |_| {
        subset::choose("entry-1", "zone-1", &candidates, SUBSET as usize)
    });
    let names: Vec<ids::ServerName> = (0..OWNERS).map(|number| format!("yard-{number}")).collect();
    meter.time("find the owner of a key among 30 servers", 2_000, |number| {
        owner::rank(u128::from(number), &names).len()
    });
}

fn measure_pings(meter: &mut meter::Meter) {
    let ping = message::ToAgent::Ping(message::Ping { seq: 100_000, version: 100_000 });
    let pong = message::ToEntry::Pong(message::Pong {
        seq: 100_000,
        clock_ms: 100_000_000,
        version: 100_000,
        load: load::Load { slots: 300, held: 280, waiting: 10, queue_ms: 900, leaving: false },
    });
    let bytes = frame::encode(&ping).len() + frame::encode(&pong).len();
    meter.size("ping and pong on a link, without IP and TCP headers", bytes);
    meter.time("encode and decode a pong", 20_000, |_| {
        let bytes = frame::encode(&pong);
        frame::decode::<message::ToEntry>(&bytes[4..]).is_ok()
    });
}
