//! All servers of a plain service are dark for some seconds, and go on without a restart.

#[path = "../lib/mod.rs"]
mod lib;

use std::{
    collections::BTreeMap,
    path::Path,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use lib::{Verdict, client, deployment, entry, record, sleep_ms, store};

/// Requests a second on each of the two routes, at all entries together.
const RATE: u64 = 56;
/// Time that a server takes for a request.
const WORK_MS: u64 = 30;
/// Time for which the servers are dark: less than three heartbeats, after which their rows would go.
const DARK_MS: u64 = 3_300;
/// Times from the start of traffic.
const DARK_AT_MS: u64 = 6_000;
const END_MS: u64 = 40_000;
/// Time after the disruption from which the state counts as steady: more than three times `contact_ms`.
const SETTLE_S: f64 = 10.0;

struct Seen {
    is_added: bool,
    sent_s: f64,
    status: u16,
    is_sealed: bool,
}

fn main() {
    lib::main(run);
}

fn run(folder: &Path) -> Verdict {
    let store = store::Store::start();
    let services = ["club-a", "club-b"].map(deployment::plain_service);
    let first = deployment::plain_route("first", "safe", "club-a", 1_200, 150);
    let added = deployment::plain_route("added", "safe", "club-b", 1_200, 150);
    store.put("op", "config", &deployment::config(7, &[first.clone()], &services));
    deployment::start_plain(&store, "club-a", WORK_MS);
    let servers = deployment::start_plain(&store, "club-b", WORK_MS);
    let entries = entry::start(3, folder, &store, &[]);
    if !lib::are_ready(&entries) {
        return Verdict::NotRun;
    }
    // The route is added long before the disruption.
    store.put("op", "config", &deployment::config(9, &[first, added], &services));
    sleep_ms(3_000);
    let start = Instant::now();
    let seen = Mutex::new(Vec::new());
    thread::scope(|scope| {
        scope.spawn(|| {
            sleep_ms(DARK_AT_MS);
            if lib::has_trouble() {
                servers.iter().for_each(|server| server.set_dark(true));
                sleep_ms(DARK_MS);
                servers.iter().for_each(|server| server.set_dark(false));
            }
        });
        for number in 0..2 * RATE * END_MS / 1_000 {
            let due = start + Duration::from_micros(number * 500_000 / RATE);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let is_added = number % 2 == 1;
            let entry = entries[(number / 2 % 3) as usize].frontend;
            let seen = &seen;
            scope.spawn(move || {
                let kind = if is_added { "added" } else { "first" };
                let sent_s = start.elapsed().as_secs_f64();
                let answer = client::Request {
                    entry,
                    // All pages differ.
                    first: &format!("GET /{kind}/{number}"),
                    host: deployment::HOST,
                    headers: &[],
                    body: b"",
                    limit: Duration::from_millis(2_500),
                    gap: Duration::from_millis(2_500),
                }
                .send();
                let (status, is_sealed) = (answer.status, answer.seal.is_some());
                seen.lock().unwrap().push(Seen { is_added, sent_s, status, is_sealed });
            });
        }
    });
    let seen = seen.lock().unwrap();
    let mut table: BTreeMap<_, BTreeMap<_, u32>> = BTreeMap::new();
    for one in seen.iter() {
        let statuses = table.entry((one.is_added, one.sent_s as u64)).or_default();
        *statuses.entry(one.status).or_default() += 1;
    }
    for ((is_added, second), statuses) in &table {
        let route = if *is_added { "r-added" } else { "r-first" };
        record::line(&format!("{route}, sent in second {second}: {statuses:?}"));
    }
    let steady_s = (DARK_AT_MS + DARK_MS) as f64 / 1e3 + SETTLE_S;
    let share = |is_added: bool| {
        let sent = seen.iter().filter(|one| one.is_added == is_added && one.sent_s >= steady_s);
        let sent: Vec<_> = sent.collect();
        let served = sent.iter().filter(|one| one.status == 200 && one.is_sealed).count();
        (served, sent.len())
    };
    let ((first, of_first), (added, of_added)) = (share(false), share(true));
    record::tell(&format!(
        "from {SETTLE_S} s after the disruption: {added} of {of_added} requests on the route that was added \
         were served, {first} of {of_first} on the first route"
    ));
    if of_added < 20 || first * 4 < of_first {
        return Verdict::NotRun;
    }
    let is_broken = (added as f64 / of_added as f64) < 0.25 * first as f64 / of_first as f64;
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
