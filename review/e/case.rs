//! Callers of a route that is split between two services take their streams up again.
#[path = "../lib/mod.rs"]
mod lib;

use std::{path::Path, thread, time::Duration};

use lib::{client, entry, proxy, server, sleep_ms, store};

fn config(version: u32, old: u32, new: u32) -> String {
    let engine = r#""engine":{"batch_slots":16,"kv_capacity":34446,"kv_bytes":163840,"link_mbps":1600000.0,"moves":true,"backups":true,"stride":1,"most":12,"kv_hold_s":0.5,"role_switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}"#;
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/health","max_connections":180,"protocol":"h1","tls":false,{engine}}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-brief","host":"yard.example","prefix":"/brief/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"traffic_split":[{{"service":"clip-a","weight":{old}}},{{"service":"clip-b","weight":{new}}}],"max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300}}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        service("clip-a"),
        service("clip-b")
    )
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let folder = Path::new(&args[1]);
    lib::record::open(&args[2]);
    let store = store::Store::start();
    store.put("op", "config", &config(7, 90, 10));
    let engines = server::Engines::default();
    let zones = ["ens-a", "ens-b", "tij-c"];
    for index in 0..8 {
        let spec = server::Spec {
            id: format!("i-llm{index}"),
            service: if index < 4 { "clip-a" } else { "clip-b" }.to_string(),
            zone: zones[index % 3].to_string(),
            stage: Some(if index % 4 < 1 { "prefill" } else { "decode" }),
            slots: 16,
            event_ms: 80,
            events: 85,
            work_ms: 0,
        };
        server::Server::start(&store, &engines, spec, "v1");
    }
    let entries = entry::start(3, folder, &store, &[]);
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        eprintln!("an entry is not ready");
        std::process::exit(2);
    }
    sleep_ms(3_000);
    let front = proxy::Proxy::start(entries[0].frontend);
    let order: Vec<_> = entries.iter().map(|entry| entry.frontend).collect();
    let run = |number: usize, order: Vec<std::net::SocketAddr>| {
        thread::spawn(move || {
            client::Stream {
                entries: &order,
                first: "POST /brief/1",
                host: "yard.example",
                headers: &[
                    ("X-Model", "m"),
                    ("X-Token-Usage", "1460,170"),
                    ("X-Prompt-Prefix", &format!("5c1e07a2:200,e4402b{number:02x}:1260")),
                ],
                body: b"{}",
                limit: Duration::from_secs(14),
                gap: Duration::from_millis(3_600),
            }
            .run()
        })
    };
    let callers: Vec<_> = (0..28)
        .map(|number| {
            sleep_ms(20);
            run(number, vec![front.address, order[1 + number % 2], order[2 - number % 2]])
        })
        .collect();
    sleep_ms(700);
    store.put("op", "config", &config(9, 10, 90));
    sleep_ms(2_500);
    if lib::has_trouble() {
        front.break_connections(15);
    }
    for caller in callers {
        let tries = caller.join().unwrap();
        let text: Vec<_> = tries.iter().map(|one| format!("{} after {} {} events {:?} {}", one.answer.status, one.after, one.events.len(), one.events.first().map(|e| e.1.clone()), one.answer.is_whole)).collect();
        println!("{text:?}");
    }
}
