//! Beginnings of prompts that engines keep: what is known of them, and what they weigh in the choice
//! of a prefill engine.

use std::{collections, time};

use rhubarb_core::{beginnings, engines, fleet, ids};

const MILLI: time::Duration = time::Duration::from_millis(1);
/// Tokens of the parts that prompts share, and of their own parts.
const SHARED: u32 = 6_000;
const OWN: u32 = 300;
/// Memory of an engine, in tokens.
const MEMORY: u32 = 30_000;

// An entry with its knowledge of four prefill engines.
#[derive(Clone, Default)]
struct Entry {
    engines: engines::Engines,
    beginnings: beginnings::Beginnings,
    entries: u32,
}

fn instance(started_ms: u64) -> fleet::Instance {
    fleet::Instance {
        service: "models".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "hall-a".into(),
        slots: 16,
        stage: Some(fleet::Stage::Prefill),
        leaving: false,
        software: "v1".into(),
        started_ms: Some(started_ms),
        sequence: 1,
    }
}

fn name(number: u32) -> ids::ServerName {
    format!("p-{number}")
}

// A prompt that shares its first part, and has an own one.
fn prompt(shared: u64, own: u64) -> Vec<beginnings::Beginning> {
    let parts = [(shared, SHARED), (1_000_000 + own, OWN)];
    let parts = parts.map(|(tag, tokens)| beginnings::Part { tag, tokens });
    beginnings::Beginning::list(&parts)
}

impl Entry {
    fn new() -> Entry {
        let mut entry = Entry { entries: 1, ..Entry::default() };
        for number in 0..4 {
            entry.start(number, 1);
        }
        entry
    }

    fn start(&mut self, number: u32, started_ms: u64) {
        let (id, instance) = (name(number), instance(started_ms));
        self.engines.set(&id, &instance, 16, MEMORY);
        let lifetime = (ids::process_tag(&id, instance.started_ms), 1);
        self.beginnings.set(&id, lifetime, fleet::Stage::Prefill, MEMORY);
    }

    fn kept(&self, prompt: &[beginnings::Beginning], number: u32, now: time::Instant) -> u32 {
        let kept = self.beginnings.kept(prompt, self.entries, now);
        kept.get(&name(number)).copied().unwrap_or_default()
    }

    // Chooses an engine for a prompt and commits it.
    fn place(
        &mut self,
        prompt: &[beginnings::Beginning],
        draw: u64,
        now: time::Instant,
    ) -> ids::ServerName {
        let kept = self.beginnings.kept(prompt, self.entries, now);
        let kept = |id: &str| kept.get(id).copied().unwrap_or_default();
        let tokens = SHARED + OWN;
        let (id, _) =
            self.engines.pick_prefill(tokens, "hall-a", |_| true, kept, draw, now).unwrap();
        self.engines.record_prefill(&id, tokens - kept(&id), now);
        id
    }

    // The engine has read the prompt.
    fn read(&mut self, number: u32, prompt: &[beginnings::Beginning], now: time::Instant) {
        let read = SHARED + OWN - self.kept(prompt, number, now);
        self.beginnings.record(&name(number), prompt, read, now);
    }
}

#[test]
fn holder_preferred() {
    let now = time::Instant::now();
    let mut entry = Entry::new();
    entry.read(2, &prompt(1, 0), now);
    for draw in 0..20 {
        assert_eq!(entry.clone().place(&prompt(1, 1 + draw), draw, now + MILLI), "p-2");
    }
}

#[test]
fn session_returns() {
    let now = time::Instant::now();
    let mut entry = Entry::new();
    let first = [1, 2].map(|tag| beginnings::Part { tag, tokens: 1_000 });
    let next = [1, 2, 3].map(|tag| beginnings::Part { tag, tokens: 1_000 });
    entry.read(0, &beginnings::Beginning::list(&first[..1]), now);
    entry.read(1, &beginnings::Beginning::list(&first), now);
    let next = beginnings::Beginning::list(&next);
    assert!(entry.kept(&next, 0, now) < 1_000 && entry.kept(&next, 1, now) == 2_000);
    // The same parts in another order are another beginning.
    let other = [2, 1].map(|tag| beginnings::Part { tag, tokens: 1_000 });
    assert_eq!(entry.kept(&beginnings::Beginning::list(&other), 1, now), 0);
}

// Load comes before what is kept: a burst with one beginning does not wait for its only holder.
#[test]
fn burst_spreads() {
    let now = time::Instant::now();
    let mut entry = Entry::new();
    entry.read(0, &prompt(1, 0), now);
    let mut counts = collections::BTreeMap::new();
    for request in 0..80 {
        let id = entry.place(&prompt(1, request), request, now);
        *counts.entry(id).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 4, "{counts:?}");
    assert!(counts["p-0"] > counts["p-1"], "{counts:?}");
}

// One beginning in all requests: within seconds each engine keeps it, and loads are even.
#[test]
fn hot_beginning() {
    let start = time::Instant::now();
    let mut entry = Entry::new();
    let mut counts = [0; 4];
    // 190 ms for a prompt that is read in full, 19 ms for one of which the beginning is kept.
    for request in 0_u64..400 {
        let now = start + MILLI * 6 * request as u32;
        let id = entry.place(&prompt(1, request), request, now);
        let number = (0..4).find(|number| name(*number) == id).unwrap();
        entry.read(number, &prompt(1, request), now);
        counts[number as usize] += 1;
    }
    let end = start + MILLI * 2_400;
    assert!((0..4).all(|number| entry.kept(&prompt(1, 0), number, end) > SHARED / 2));
    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(most < &(least * 2), "{counts:?}");
}

#[test]
fn slow_holder() {
    let now = time::Instant::now();
    let mut entry = Entry::new();
    entry.read(3, &prompt(1, 0), now);
    // 182 ms of reading are saved, after a wait of 610 ms.
    entry.engines.record_prefill("p-3", 20_000, now);
    assert_ne!(entry.place(&prompt(1, 1), 0, now), "p-3");
}

// What other prompts bring to an engine pushes a beginning out.
#[test]
fn holder_full() {
    let now = time::Instant::now();
    let mut entry = Entry::new();
    entry.read(1, &prompt(1, 0), now);
    assert_eq!(entry.kept(&prompt(1, 1), 1, now), SHARED);
    for other in 0..20 {
        entry.read(other as u32 % 4, &prompt(100 + other, other), now);
    }
    assert_eq!(entry.kept(&prompt(1, 1), 1, now), 0);
    // One that is used stays.
    entry.read(1, &prompt(1, 2), now);
    assert_eq!(entry.kept(&prompt(1, 1), 1, now), SHARED);
}

// The prompts of other entries push it out as well.
#[test]
fn many_entries() {
    let now = time::Instant::now();
    let mut entry = Entry::new();
    entry.read(1, &prompt(1, 0), now);
    entry.read(2, &prompt(2, 0), now);
    let alone = entry.kept(&prompt(1, 1), 1, now);
    entry.entries = 24;
    assert!(alone > SHARED / 2 && entry.kept(&prompt(1, 1), 1, now) < 100);
}

#[test]
fn unused_forgotten() {
    let now = time::Instant::now();
    let mut entry = Entry::new();
    entry.read(1, &prompt(1, 0), now);
    let later = |seconds| entry.kept(&prompt(1, 1), 1, now + MILLI * 1_000 * seconds);
    assert!(later(1) > later(30) && later(30) > later(59));
    assert_eq!(later(60), 0);
}

#[test]
fn restart_empties() {
    let now = time::Instant::now();
    let mut entry = Entry::new();
    entry.read(0, &prompt(1, 0), now);
    entry.start(0, 1);
    assert_eq!(entry.kept(&prompt(1, 1), 0, now), SHARED);
    entry.start(0, 2);
    assert_eq!(entry.kept(&prompt(1, 1), 0, now), 0);
    assert!(entry.beginnings.is_empty());
    entry.read(0, &prompt(1, 0), now);
    let lifetime = (ids::process_tag("p-0", Some(2)), 7);
    entry.beginnings.set("p-0", lifetime, fleet::Stage::Prefill, MEMORY);
    assert_eq!(entry.kept(&prompt(1, 1), 0, now), 0, "other software");
    entry.read(0, &prompt(1, 0), now);
    entry.beginnings.remove("p-0");
    assert!(entry.beginnings.is_empty());
}

// Prompts that come once are never told, are bounded, and change no choice.
#[test]
fn once_each() {
    let now = time::Instant::now();
    let mut entry = Entry::new();
    let mut told = 0;
    for request in 0..10_000_u64 {
        let prompt = prompt(10 + request, request);
        assert!(entry.beginnings.kept(&prompt, 1, now).is_empty());
        entry.read(request as u32 % 4, &prompt, now);
        told += entry.beginnings.take_news(now).len();
    }
    assert_eq!(told, 0);
    assert!(entry.beginnings.len() <= 4 * beginnings::MAX_KEPT);
}

#[test]
fn peers_learn() {
    let now = time::Instant::now();
    let (mut first, mut second) = (Entry::new(), Entry::new());
    first.read(2, &prompt(1, 0), now);
    assert_eq!(first.beginnings.take_news(now), []);
    first.read(2, &prompt(1, 1), now);
    let news = first.beginnings.take_news(now);
    assert_eq!(news.len(), 1);
    assert_eq!(second.kept(&prompt(1, 2), 2, now), 0);
    second.beginnings.record_told(news[0], now);
    assert_eq!(second.kept(&prompt(1, 2), 2, now), SHARED);
    // An engine that the entry does not know is ignored.
    second.beginnings.record_told((news[0].0, ids::server_tag("p-9")), now);
    assert_eq!(second.beginnings.len(), 1);
}

// What was told or heard a moment ago is not told again; what was not told in time is dropped.
#[test]
fn told_seldom() {
    let now = time::Instant::now();
    let mut entry = Entry::new();
    for request in 0..50 {
        entry.read(0, &prompt(1, request), now);
    }
    assert_eq!(entry.beginnings.take_news(now).len(), 1);
    entry.read(0, &prompt(1, 50), now + MILLI * 4_900);
    assert_eq!(entry.beginnings.take_news(now + MILLI * 4_900).len(), 0);
    entry.read(0, &prompt(1, 51), now + MILLI * 5_000);
    assert_eq!(entry.beginnings.take_news(now + MILLI * 7_000).len(), 0);
    for shared in 0..200 {
        entry.read(1, &prompt(500 + shared, 0), now);
        entry.read(1, &prompt(500 + shared, 1), now);
    }
    assert_eq!(entry.beginnings.take_news(now).len(), beginnings::MAX_TOLD);
}

// An entry that knows less reads a prompt again, and nothing else differs.
#[test]
fn differing_knowledge() {
    let now = time::Instant::now();
    let (mut knows, mut other) = (Entry::new(), Entry::new());
    knows.read(0, &prompt(1, 0), now);
    other.beginnings.record_told((u64::MAX, ids::server_tag("p-1")), now);
    let draws = 0..40_u64;
    let chosen: collections::BTreeSet<_> =
        draws.map(|draw| other.clone().place(&prompt(1, 1), draw, now)).collect();
    assert_eq!(chosen.len(), 4);
    assert_eq!(knows.place(&prompt(1, 1), 0, now), "p-0");
}

// What is kept never opens an engine that the rules have closed.
#[test]
fn closed_holder() {
    let now = time::Instant::now();
    let mut entry = Entry::new();
    entry.read(0, &prompt(1, 0), now);
    let kept = entry.beginnings.kept(&prompt(1, 1), 1, now);
    let kept = |id: &str| kept.get(id).copied().unwrap_or_default();
    let allowed = |id: &str| id != "p-0";
    let chosen = entry.engines.pick_prefill(SHARED + OWN, "hall-a", allowed, kept, 0, now);
    assert_ne!(chosen.unwrap().0, "p-0");
    entry.engines.set_unusable("p-0");
    let chosen = entry.engines.pick_prefill(SHARED + OWN, "hall-a", |_| true, kept, 0, now);
    assert_ne!(chosen.unwrap().0, "p-0");
}
