//! Streams that clients take up again after all entries have ended at once.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{Engine, Pace};
use crate::entry::{Entry, Settings, Subnet};
use crate::store::Store;
use crate::streams::{self, Shared, Traffic};

/// Engines of the version that serves from the start, and of the one that is added.
const ENGINES: u8 = 6;
const ENTRIES: u8 = 4;
const EVENTS: u64 = 8;
const PAUSE: Duration = Duration::from_millis(250);
/// Time before the removal, between the removal and the kill, and after it.
const CALM: Duration = Duration::from_secs(10);
const BETWEEN: Duration = Duration::from_secs(10);
const AFTER: Duration = Duration::from_secs(20);
const DOWN: Duration = Duration::from_secs(1);

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let traffic = Traffic { rate: 18.0, events: EVENTS, contact: Duration::from_secs(3) };
    let shared = Shared::new(traffic);
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
    let subnet = Subnet::take();
    let store = Store::start(subnet.at(2, 8142));
    let add = |number: u8, version: &str| {
        let (id, at) = (format!("i-{number}"), subnet.at(20 + number, 8080));
        let engine =
            Engine::start(&id, version, at, Pace { events: EVENTS, first: PAUSE, pause: PAUSE });
        store.put("servers", &id, Some(&engine.row("clip", "z-a", at, 16)));
        engine
    };
    let mut engines: Vec<_> = (0..ENGINES).map(|number| add(number, "v1")).collect();
    store.put("op", "config", Some(CONFIG));
    let settings =
        Settings { zone: "z-a", memory_mb: 110, store: subnet.at(2, 8142), params: PARAMS };
    let mut entries: Vec<_> =
        (0..ENTRIES).map(|number| Entry::start(dir, subnet, number, &settings)).collect();
    let start = Instant::now();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        shared.add("an entry is not ready".to_string());
        return 2;
    }
    let set_entries = |entries: &[Entry], at: Instant| {
        shared.set_entries(entries.iter().map(|entry| (entry.frontend(), at)).collect());
    };
    set_entries(&entries, start);
    let callers = {
        let shared = shared.clone();
        thread::spawn(move || streams::send_streams(&shared))
    };
    thread::sleep(CALM);
    if has_trouble && let Some(mut entry) = entries.pop() {
        set_entries(&entries, start);
        entry.stop(Duration::from_secs(9));
        shared.add("an entry is removed for good, after SIGTERM".to_string());
    }
    thread::sleep(BETWEEN);
    // Nobody is in touch while they are down.
    set_entries(&entries, Instant::now());
    shared.set_killed();
    entries.iter_mut().for_each(Entry::kill);
    shared.add("all entries are killed".to_string());
    engines.push(add(ENGINES, "v2"));
    shared.add("an engine with version v2 is added".to_string());
    thread::sleep(DOWN);
    entries.iter_mut().for_each(Entry::restart);
    set_entries(&entries, Instant::now());
    shared.add("the entries are started again".to_string());
    thread::sleep(AFTER);
    shared.is_over.store(true, Ordering::Relaxed);
    let _ = callers.join();
    thread::sleep(Duration::from_secs(1));
    let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (taken, went_on) = (read(&shared.taken), read(&shared.went_on));
    let (new, began, mixed) = (read(&shared.new), read(&shared.began), read(&shared.mixed));
    let is_broken =
        taken >= 12 && went_on as f64 / taken as f64 * 2.0 < began as f64 / new.max(1) as f64;
    let text = format!(
        "of {taken} streams taken up at entries in touch {went_on} went on, of {new} new ones {began} began; {mixed} streams have events of two versions; LOST broken: {is_broken}"
    );
    shared.add(text.clone());
    println!("{text}");
    i32::from(is_broken)
}

const PARAMS: &[(&str, &str)] = &[
    ("contact_ms", "3000"),
    ("drain_ms", "2000"),
    ("grace_s", "8"),
    ("config_deadline_ms", "2000"),
    ("retry_budget_ratio", "0.2"),
    ("budget_window_s", "10"),
    ("budget_slack", "56"),
    ("lease_ms", "3000"),
    ("require_fencing", "true"),
];

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"brief","host":"clip.example","prefix":"/brief/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"clip","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300}],
"services":[{"name":"clip","health_path":"/health","max_connections":180,"protocol":"h1","tls":false,"engine":{"batch_slots":16,"kv_capacity":34446,"kv_bytes":163840,"link_mbps":1600000.0,"moves":true,"backups":true,"stride":9,"most":12,"kv_hold_s":0.5,"role_switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
