//! Callers of a route that is split between two services take their streams up again.

#[path = "../lib/mod.rs"]
mod lib;

use std::{net::SocketAddr, path::Path, thread, time::Duration};

use lib::{Verdict, client, entry, proxy, record, server, sleep_ms, store};

const EVENTS: u64 = 85;
const EVENT_MS: u64 = 80;
/// Streams through the proxy, and connections of them that are broken: 15 of 28 are 54 in 100.
const STREAMS: usize = 28;
const BROKEN: usize = 15;

fn main() {
    lib::main(run);
}

fn config(version: u32, old: u32, new: u32) -> String {
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/health","max_connections":180,"protocol":"h1","tls":false,"engine":{{"batch_slots":16,"kv_capacity":34446,"kv_bytes":163840,"link_mbps":1600000.0,"moves":true,"backups":true,"stride":1,"most":12,"kv_hold_s":0.5,"role_switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{{"name":"m"}}]}}}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-brief","host":"yard.example","prefix":"/brief/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"traffic_split":[{{"service":"clip-a","weight":{old}}},{{"service":"clip-b","weight":{new}}}],"max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300}}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        service("clip-a"),
        service("clip-b")
    )
}

fn start_stream(number: usize, entries: Vec<SocketAddr>) -> thread::JoinHandle<Vec<client::Try>> {
    thread::spawn(move || {
        client::Stream {
            entries: &entries,
            first: "POST /brief/1",
            host: "yard.example",
            headers: &[
                ("X-Model", "m"),
                ("X-Token-Usage", &format!("1460,{}", 2 * EVENTS)),
                ("X-Length-Hint", &EVENTS.to_string()),
                ("X-Prompt-Prefix", &format!("5c1e07a2:200,e4402b{number:02x}:1260")),
            ],
            body: b"{}",
            limit: Duration::from_secs(14),
            gap: Duration::from_millis(3_600),
        }
        .run()
    })
}

fn run(folder: &Path) -> Verdict {
    let store = store::Store::start();
    store.put("op", "config", &config(7, 95, 5));
    let engines = server::Engines::default();
    let zones = ["ens-a", "ens-b", "tij-c"];
    for index in 0..8 {
        let spec = server::Spec {
            id: format!("i-llm{index}"),
            service: if index < 4 { "clip-a" } else { "clip-b" }.to_string(),
            zone: zones[index % 3].to_string(),
            stage: Some(if index % 4 == 0 { "prefill" } else { "decode" }),
            slots: 16,
            event_ms: EVENT_MS,
            events: EVENTS,
            work_ms: 0,
        };
        server::Server::start(&store, &engines, spec, "v1");
    }
    let entries = entry::start(3, folder, &store, &[]);
    if !lib::are_ready(&entries) {
        return Verdict::NotRun;
    }
    let front = proxy::Proxy::start(entries[0].frontend);
    let order: Vec<_> = entries.iter().map(|entry| entry.frontend).collect();
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            sleep_ms(20);
            let (second, third) = (order[1 + number % 2], order[2 - number % 2]);
            start_stream(number, vec![front.address, second, third])
        })
        .collect();
    sleep_ms(700);
    // Planned work: the operator moves the traffic from one service to the other. Both stay allowed.
    store.put("op", "config", &config(9, 5, 95));
    record::line("the operator has written config 9");
    sleep_ms(2_500);
    if lib::has_trouble() {
        front.break_connections(BROKEN);
    }
    let new: Vec<_> = (0..12)
        .map(|number| {
            sleep_ms(30);
            start_stream(number + 40, vec![order[1 + number % 2]])
        })
        .collect();
    let streams: Vec<_> = streams.into_iter().map(|stream| stream.join().unwrap()).collect();
    let new: Vec<_> = new.into_iter().map(|stream| stream.join().unwrap()).collect();
    let (mut taken_up, mut gone_on) = (0, 0);
    for tries in &streams {
        for (index, one) in tries.iter().enumerate() {
            let server = one.events.first().map_or("none", |(_, server, _)| server.as_str());
            record::line(&format!(
                "stream {}: try {} at {}, after event {}: {} with {} events of {server}, retry-after {:?}",
                tries[0].answer.attempt,
                index + 1,
                one.entry,
                one.after,
                one.answer.status,
                one.events.len(),
                one.answer.retry_after
            ));
        }
        if tries.len() > 1 && tries[0].answer.status == 200 {
            taken_up += 1;
            // Generous: any later try that brought an event counts.
            gone_on += u32::from(tries[1..].iter().any(|one| !one.events.is_empty()));
        }
    }
    let begun = new.iter().filter(|tries| !tries[0].events.is_empty()).count();
    record::tell(&format!(
        "{taken_up} streams were taken up again, {gone_on} went on; {begun} of {} new streams began",
        new.len()
    ));
    if taken_up < 12 {
        return if lib::has_trouble() { Verdict::NotRun } else { Verdict::Held };
    }
    let share = f64::from(gone_on) / f64::from(taken_up);
    let begun_share = begun as f64 / new.len() as f64;
    if share < begun_share / 2.0 { Verdict::Broken } else { Verdict::Held }
}
