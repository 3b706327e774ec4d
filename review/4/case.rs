//! All servers of a plain service crash at once, while callers ask for the same page.

#[path = "../lib/mod.rs"]
mod lib;

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use lib::{Verdict, client, deployment, entry, record, sleep_ms, store};

/// Time for which the servers are down.
const DOWN_MS: u64 = 2_000;
/// Callers that read the price board, and their pause between two requests.
const READERS: usize = 60;
const PAUSE_MS: u64 = 250;

struct Seen {
    path: &'static str,
    sent_s: f64,
    status: u16,
    is_sealed: bool,
}

fn main() {
    lib::main(run);
}

fn run(folder: &Path) -> Verdict {
    let store = store::Store::start();
    let config = deployment::config(
        7,
        &[
            deployment::plain_route("board", "safe", "yard-app", 3_000, 300),
            deployment::plain_route("lot", "unsafe", "yard-app", 3_000, 300),
        ],
        &[deployment::plain_service("yard-app")],
    );
    store.put("op", "config", &config);
    let servers = deployment::start_plain(&store, "yard-app", 60);
    let entries = entry::start(3, folder, &store, &[]);
    if !lib::are_ready(&entries) {
        return Verdict::NotRun;
    }
    let start = Instant::now();
    let is_over = AtomicBool::new(false);
    let seen = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for number in 0..READERS + 6 {
            let entry = entries[number % 3].frontend;
            let (is_over, seen) = (&is_over, &seen);
            scope.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    // All readers ask for the same page; each lot request is another one.
                    let lot = format!("{{\"lot\":{}}}", lib::random());
                    let (path, first, body) = match number < READERS {
                        true => ("/board/prices", "GET /board/prices", ""),
                        false => ("/lot/status", "POST /lot/status", lot.as_str()),
                    };
                    let sent_s = start.elapsed().as_secs_f64();
                    let answer = client::Request {
                        entry,
                        first,
                        host: deployment::HOST,
                        headers: &[],
                        body: body.as_bytes(),
                        limit: Duration::from_secs(3),
                        gap: Duration::from_secs(3),
                    }
                    .send();
                    let is_sealed = answer.seal.is_some();
                    let status = answer.status;
                    seen.lock().unwrap().push(Seen { path, sent_s, status, is_sealed });
                    sleep_ms(PAUSE_MS + lib::random() % 200);
                }
            });
        }
        sleep_ms(5_000);
        if lib::has_trouble() {
            thread::scope(|crashes| {
                servers.iter().for_each(|server| _ = crashes.spawn(|| server.crash()));
            });
            sleep_ms(DOWN_MS);
            servers.iter().for_each(|server| server.restart("v1"));
        } else {
            sleep_ms(DOWN_MS);
        }
        sleep_ms(23_000);
        is_over.store(true, Ordering::Relaxed);
    });
    let seen = seen.lock().unwrap();
    let mut table: BTreeMap<_, BTreeMap<_, u32>> = BTreeMap::new();
    for one in seen.iter() {
        let statuses = table.entry((one.path, one.sent_s as u64)).or_default();
        *statuses.entry(one.status).or_default() += 1;
    }
    for ((path, second), statuses) in &table {
        record::line(&format!("{path} sent in second {second}: {statuses:?}"));
    }
    // Own answers with 3xx or 4xx, other than 408, 421 and 429.
    let is_denied = |one: &&Seen| {
        !one.is_sealed && (300..500).contains(&one.status) && ![408, 421, 429].contains(&one.status)
    };
    let denied = seen.iter().filter(is_denied).count();
    let last = seen.iter().filter(is_denied).map(|one| one.sent_s).fold(0.0, f64::max);
    let allowed = 5.0 + seen.len() as f64 / 500.0;
    record::tell(&format!(
        "{denied} of {} proper requests were ended with an own 4xx, {allowed:.1} are allowed; the last \
         was sent at {last:.1} s; the servers were back at {:.1} s",
        seen.len(),
        5.0 + DOWN_MS as f64 / 1e3
    ));
    if denied as f64 > allowed { Verdict::Broken } else { Verdict::Held }
}
