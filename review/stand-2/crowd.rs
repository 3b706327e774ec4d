//! Many clients that keep their connections, and the loss of most entries.

use std::collections::BTreeSet;
use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Outcome, Request};
use crate::entry::{Entry, Settings, Subnet};
use crate::server::Server;
use crate::store::Store;

const ENTRIES: u8 = 4;
/// Memory of the smallest entries of the site.
const MEMORY_MB: u64 = 88;
const CLIENTS: usize = 1_400;
/// Time between two requests of a client: less than four fifths of `idle_timeout_ms`.
const GAP: Duration = Duration::from_millis(11_500);
const LIMIT: Duration = Duration::from_millis(3_000);
/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_secs(4);
const CALM: Duration = Duration::from_secs(25);
const LENGTH: Duration = Duration::from_secs(45);

// A request on a new connection.
struct Try {
    client: usize,
    from: Instant,
    to: Instant,
    is_served: bool,
}

#[derive(Default)]
struct Shared {
    record: Mutex<Vec<String>>,
    entries: Mutex<Vec<SocketAddr>>,
    tries: Mutex<Vec<Try>>,
    // Times at which the entry that is left did not say that it is ready.
    unready: Mutex<Vec<Instant>>,
    is_over: AtomicBool,
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let shared = Arc::new(Shared::default());
    let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a temporary folder");
    let code = play(&dir, has_trouble, &shared);
    let _ = fs::remove_dir_all(&dir);
    let mut file = fs::File::create(folder.join("record.txt")).expect("the record can be written");
    for line in shared.record.lock().unwrap_or_else(|err| err.into_inner()).iter() {
        let _ = writeln!(file, "{line}");
    }
    code
}

fn play(dir: &Path, has_trouble: bool, shared: &Arc<Shared>) -> i32 {
    let begun = Instant::now();
    let add = |line: String| {
        let line = format!("{:.3} {line}", begun.elapsed().as_secs_f64());
        shared.record.lock().unwrap_or_else(|err| err.into_inner()).push(line);
    };
    let subnet = Subnet::take();
    let store = Store::start(subnet.at(2, 8142));
    for number in 0..5_u8 {
        let (id, at) = (format!("i-{number}"), subnet.at(20 + number, 8080));
        let (_, address) = Server::start(&id, at, 6, Duration::from_millis(30));
        store.put("servers", &id, Some(&format!(
            r#"{{"service":"yard","address":"{address}","zone":"z-a","version":"v1","batch_slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{number}}}"#
        )));
    }
    store.put("op", "config", Some(CONFIG));
    let settings =
        Settings { zone: "z-a", memory_mb: MEMORY_MB, store: subnet.at(2, 8142), params: PARAMS };
    let mut entries: Vec<_> =
        (0..ENTRIES).map(|number| Entry::start(dir, subnet, number, &settings)).collect();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        add("an entry is not ready".to_string());
        return 2;
    }
    let set_entries = |entries: &[Entry]| {
        let all = entries.iter().map(Entry::frontend).collect();
        *shared.entries.lock().unwrap_or_else(|err| err.into_inner()) = all;
    };
    set_entries(&entries);
    let callers: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let shared = shared.clone();
            let builder = thread::Builder::new().stack_size(128 * 1024);
            builder.spawn(move || call(&shared, client, begun)).expect("a thread")
        })
        .collect();
    thread::sleep(CALM);
    let lost_at = Instant::now();
    if has_trouble {
        let mut lost = entries.split_off(1);
        set_entries(&entries);
        lost.iter_mut().for_each(Entry::kill);
        add(format!("{} of {ENTRIES} entries are lost for good", lost.len()));
    }
    let end = Instant::now() + LENGTH;
    while Instant::now() < end {
        if !entries[0].is_ready() {
            shared.unready.lock().unwrap_or_else(|err| err.into_inner()).push(Instant::now());
        }
        thread::sleep(Duration::from_millis(500));
    }
    let is_alive = entries[0].ended().is_none();
    shared.is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let longest = longest_stall(shared, lost_at);
    let unready = shared.unready.lock().unwrap_or_else(|err| err.into_inner()).len();
    let (length, clients) = longest;
    let is_broken = is_alive && length > CONTACT;
    let text = format!(
        "longest time in which the entry said it is ready and served no request on a new connection, while seven clients or more tried: {:.1} s, {clients} clients; not ready {unready} times; RECOVER broken: {is_broken}",
        length.as_secs_f64()
    );
    add(text.clone());
    println!("{text}");
    i32::from(is_broken)
}

fn call(shared: &Shared, client: usize, begun: Instant) {
    // Clients come over the first gap.
    let mut next = begun + Duration::from_secs(2) + GAP.mul_f64(client as f64 / CLIENTS as f64);
    let mut connection: Option<(SocketAddr, Client)> = None;
    let mut seq = 0;
    while !shared.is_over.load(Ordering::Relaxed) {
        if Instant::now() < next {
            thread::sleep(Duration::from_millis(50));
            continue;
        }
        next += GAP;
        let entries = shared.entries.lock().unwrap_or_else(|err| err.into_inner()).clone();
        // A client that is refused or not answered comes once more.
        for _ in 0..2 {
            seq += 1;
            let (address, mut kept) = connection.take().unwrap_or_else(|| {
                let address = entries[(client.wrapping_mul(2_654_435_761) >> 7) % entries.len()];
                (address, Client::new(address))
            });
            let attempt = format!("c-{client}-{seq}");
            let request = Request {
                method: "GET",
                host: "yard.example",
                path: "/board/x",
                attempt: &attempt,
                headers: &[],
                body: b"",
                limit: LIMIT,
            };
            let from = Instant::now();
            let outcome = kept.send(&request);
            let to = Instant::now();
            let is_served = matches!(&outcome, Outcome::Answered(answer) if answer.status() == 200);
            if !kept.was_kept {
                let one = Try { client, from, to, is_served };
                shared.tries.lock().unwrap_or_else(|err| err.into_inner()).push(one);
            }
            if !is_served {
                let at = begun.elapsed().as_secs_f64();
                let what = match outcome {
                    Outcome::Answered(answer) => format!("answered {}", answer.status()),
                    other => format!("{other:?}"),
                };
                let kept = kept.was_kept;
                let line =
                    format!("{at:.3} {attempt} at {address}, kept connection: {kept}: {what}");
                shared.record.lock().unwrap_or_else(|err| err.into_inner()).push(line);
            } else {
                connection = Some((address, kept));
                break;
            }
        }
    }
}

// Longest span between two served requests on new connections in which seven clients or more tried and
// the entry said that it is ready.
fn longest_stall(shared: &Shared, from: Instant) -> (Duration, usize) {
    let tries = shared.tries.lock().unwrap_or_else(|err| err.into_inner());
    let unready = shared.unready.lock().unwrap_or_else(|err| err.into_inner());
    let Some(last) = tries.iter().map(|one| one.to).max() else { return (Duration::ZERO, 0) };
    let served = tries.iter().filter(|one| one.is_served && one.to > from).map(|one| one.to);
    let mut marks: Vec<_> = served.chain(unready.iter().copied()).chain([from, last]).collect();
    marks.sort();
    let mut longest = (Duration::ZERO, 0);
    for pair in marks.windows(2) {
        let (start, end) = (pair[0], pair[1]);
        let within =
            tries.iter().filter(|one| one.from >= start && one.from < end && !one.is_served);
        let clients: BTreeSet<_> = within.map(|one| one.client).collect();
        if clients.len() >= 7 && end - start > longest.0 {
            longest = (end - start, clients.len());
        }
    }
    longest
}

const PARAMS: &[(&str, &str)] = &[
    ("contact_ms", "4000"),
    ("drain_ms", "3000"),
    ("grace_s", "8"),
    ("config_deadline_ms", "3000"),
    ("retry_budget_ratio", "0.2"),
    ("budget_window_s", "10"),
    ("budget_slack", "88"),
    ("lease_ms", "3000"),
    ("require_fencing", "true"),
];

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"price-board","host":"yard.example","prefix":"/board/","kind":"safe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"yard","max_attempts":2}],
"services":[{"name":"yard","health_path":"/health","max_connections":200,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
