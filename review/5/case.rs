//! Callers of a route that is split between two services take their streams up again.

#[path = "../lib/mod.rs"]
mod lib;

use std::path::Path;

use lib::{Verdict, deployment, entry, proxy, record, server, sleep_ms, store};

const STREAMS_OF_ENGINES: deployment::Streams = deployment::Streams { events: 85, event_ms: 80 };
/// Streams through the proxy, and connections of them that are broken: 15 of 28 are 54 in 100.
const STREAMS: usize = 28;
const BROKEN: usize = 15;

fn main() {
    lib::main(run);
}

fn config(version: u32, old: u32, new: u32) -> String {
    let route = deployment::stream_route(&[("clip-a", old), ("clip-b", new)]);
    let services = ["clip-a", "clip-b"].map(deployment::model_service);
    deployment::config(version, &[route], &services)
}

fn run(folder: &Path) -> Verdict {
    let store = store::Store::start();
    store.put("op", "config", &config(7, 95, 5));
    let engines = server::Engines::default();
    for service in ["clip-a", "clip-b"] {
        deployment::start_engines(&store, &engines, service, 4, 1, STREAMS_OF_ENGINES);
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
            let tries = vec![front.address, second, third];
            deployment::start_stream(number, STREAMS_OF_ENGINES.events, tries)
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
            let tries = vec![order[1 + number % 2]];
            deployment::start_stream(number + 40, STREAMS_OF_ENGINES.events, tries)
        })
        .collect();
    let streams: Vec<_> = streams.into_iter().map(|stream| stream.join().unwrap()).collect();
    let new: Vec<_> = new.into_iter().map(|stream| stream.join().unwrap()).collect();
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
    }
    let (taken_up, gone_on) = deployment::count_taken_up(&streams);
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
