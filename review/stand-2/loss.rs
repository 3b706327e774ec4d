//! The loss of one entry while the first server of another version is added.

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

const ENTRIES: u8 = 4;
/// Engines of the version that serves from the start.
const ENGINES: u8 = 18;
const EVENTS: u64 = 8;
/// The first event meets its objective of 900 ms, and the pauses are allowed.
const FIRST: Duration = Duration::from_millis(600);
const PAUSE: Duration = Duration::from_millis(250);
const CALM: Duration = Duration::from_secs(12);
/// Time from the end of an entry to the new version, and from there to its start.
const BEFORE_ADDED: Duration = Duration::from_millis(500);
const BEFORE_START: Duration = Duration::from_millis(500);
const AFTER: Duration = Duration::from_secs(20);

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let traffic = Traffic { rate: 48.0, events: EVENTS, contact: Duration::from_secs(4) };
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
        let pace = Pace { events: EVENTS, first: FIRST, pause: PAUSE };
        let engine = Engine::start(&id, version, at, pace);
        store.put("servers", &id, Some(&engine.row("clip", "z-a", at, 32)));
        engine
    };
    let mut engines: Vec<_> = (0..ENGINES).map(|number| add(number, "v1")).collect();
    store.put("op", "config", Some(CONFIG));
    let settings =
        Settings { zone: "z-a", memory_mb: 110, store: subnet.at(2, 8142), params: PARAMS };
    let start = Instant::now();
    let mut entries: Vec<_> =
        (0..ENTRIES).map(|number| Entry::start(dir, subnet, number, &settings)).collect();
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        shared.add("an entry is not ready".to_string());
        return 2;
    }
    let mut all: Vec<_> = entries.iter().map(|entry| (entry.frontend(), start)).collect();
    shared.set_entries(all.clone());
    let callers = {
        let shared = shared.clone();
        thread::spawn(move || streams::send_streams(&shared))
    };
    thread::sleep(CALM);
    shared.set_killed();
    if has_trouble {
        shared.set_entries(all[1..].to_vec());
        entries[0].kill();
        shared.add("an entry is killed".to_string());
    }
    thread::sleep(BEFORE_ADDED);
    engines.push(add(ENGINES, "v2"));
    shared.add("an engine with version v2 is added".to_string());
    thread::sleep(BEFORE_START);
    if has_trouble {
        entries[0].restart();
        all[0].1 = Instant::now();
        shared.set_entries(all);
        shared.add("the entry is started again".to_string());
    }
    thread::sleep(AFTER);
    shared.is_over.store(true, Ordering::Relaxed);
    let _ = callers.join();
    let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (taken, went_on) = (read(&shared.taken), read(&shared.went_on));
    let (new, began) = (read(&shared.new), read(&shared.began));
    let is_broken =
        taken >= 12 && went_on as f64 / taken as f64 * 2.0 < began as f64 / new.max(1) as f64;
    let text = format!(
        "of {taken} streams taken up at entries in touch {went_on} went on, of {new} new ones {began} began; LOST broken: {is_broken}"
    );
    shared.add(text.clone());
    println!("{text}");
    i32::from(is_broken)
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
{"name":"brief","host":"clip.example","prefix":"/brief/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"clip","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":300}],
"services":[{"name":"clip","health_path":"/health","max_connections":340,"protocol":"h1","tls":false,"engine":{"batch_slots":32,"kv_capacity":25385,"kv_bytes":163840,"link_mbps":1600000.0,"moves":true,"backups":true,"stride":9,"most":12,"kv_hold_s":0.5,"role_switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
