//! Versions at which the entry processes of each instance begin streams.

use std::{collections, time};

use proptest::prelude::*;

use rhubarb_core::{history, identity, ids, stamp, uses};

const SERVICE: &str = "models";
const WINDOW: time::Duration = time::Duration::from_secs(21);
const MINUTE: u64 = 60_000;

fn reading(era: stamp::Era, now_ms: u64) -> history::Reading {
    let now = time::Instant::now();
    history::Reading { era, now_ms, asked: now, answered: now }
}

fn versions(tags: &[ids::SoftwareTag]) -> uses::Versions {
    [(SERVICE.to_string(), tags.iter().copied().collect())].into()
}

fn judge(
    rows: &[uses::Row],
    others: &[ids::Incarnation],
    gone: &[ids::SoftwareTag],
    reading: &history::Reading,
) -> uses::Verdict {
    let others = others.iter().copied().collect();
    let gone = gone.iter().copied().collect();
    let question =
        uses::Question { service: SERVICE, others: &others, gone: &gone, window: WINDOW };
    uses::judge(rows.iter(), question, reading)
}

// A row of one instance, whose processes were recorded one after the other.
fn row(
    processes: &[(ids::Incarnation, &[ids::SoftwareTag])],
    reading: &history::Reading,
) -> uses::Row {
    let mut row = uses::Row::default();
    for (incarnation, tags) in processes {
        row.record(*incarnation, &versions(tags), false, WINDOW, reading);
    }
    row
}

// Guards against streams of an entry that ended before a second version came, and go on nowhere (review
// case 9): the others have used both, but have not begun them.
#[test]
fn ended_process() {
    let now = reading(0, MINUTE);
    let rows = [row(&[(1, &[7]), (2, &[7, 8])], &now), row(&[(3, &[7, 8])], &now)];
    assert_eq!(judge(&rows, &[2, 3], &[], &now), uses::Verdict::Only(7));
    // One that does not answer may have begun it.
    assert_eq!(judge(&rows, &[2], &[], &now), uses::Verdict::Several);
}

// Guards against streams that go on nowhere since an instance that was removed cannot answer (case 10).
#[test]
fn removed_instance() {
    let now = reading(0, MINUTE);
    let rows = [row(&[(1, &[7]), (2, &[7, 8])], &now), row(&[(3, &[7])], &now)];
    assert_eq!(judge(&rows, &[2], &[], &now), uses::Verdict::Only(7));
}

#[test]
fn over_and_gone() {
    let (before, now) = (reading(0, MINUTE), reading(0, 2 * MINUTE));
    let mut old = row(&[(1, &[7]), (2, &[8])], &before);
    assert_eq!(judge(&[old.clone()], &[], &[], &before), uses::Verdict::Several);
    assert_eq!(judge(&[old.clone()], &[], &[], &now), uses::Verdict::Only(8));
    assert_eq!(judge(&[old.clone()], &[2], &[], &now), uses::Verdict::Nobody);
    assert_eq!(judge(&[old.clone()], &[], &[7], &before), uses::Verdict::Only(8));
    // The earlier process is dropped with the next write.
    old.record(2, &versions(&[8]), false, WINDOW, &now);
    assert_eq!(old.processes.len(), 1);
}

// Guards against a version that the store has forgotten as it was restored from a copy (ORDER).
#[test]
fn restored_copy() {
    let (before, now) = (reading(0, MINUTE), reading(1, MINUTE));
    let rows = [row(&[(1, &[7])], &before)];
    assert_eq!(judge(&rows, &[], &[], &now), uses::Verdict::Restored);
    // A row that came after the copy is missing, until its streams can no longer be taken up.
    let again = row(&[(1, &[7])], &now);
    let again = [again];
    assert_eq!(judge(&again, &[], &[], &now), uses::Verdict::Restored);
    let later = reading(1, 2 * MINUTE);
    assert_eq!(judge(&again, &[], &[], &later), uses::Verdict::Only(7));
}

// Guards against a stream of a process that ended while the store took no record, which is put down to what
// an earlier one had used (soak seed 68044, ORDER): who had to wait for its own record says so.
#[test]
fn unwritten_use() {
    let (now, later) = (reading(0, MINUTE), reading(0, 2 * MINUTE));
    let mut other = row(&[(3, &[7])], &now);
    other.record(3, &versions(&[7, 8]), true, WINDOW, &now);
    let rows = [row(&[(1, &[7]), (2, &[8])], &now), other];
    assert_eq!(judge(&rows, &[2, 3], &[], &now), uses::Verdict::Unwritten);
    let again = [row(&[(1, &[7])], &later), rows[1].clone()];
    assert_eq!(judge(&again, &[3], &[], &later), uses::Verdict::Only(7));
}

// What an invalid row has named may be any version, until its streams can no longer be taken up.
#[test]
fn invalid_row() {
    let now = reading(0, MINUTE);
    let mut own = uses::Row::unknown();
    own.record(2, &versions(&[7]), false, WINDOW, &now);
    let rows = [own];
    assert_eq!(judge(&rows, &[], &[], &now), uses::Verdict::Restored);
    assert_eq!(judge(&rows, &[], &[], &reading(0, 2 * MINUTE)), uses::Verdict::Only(7));
}

// Guards against a row that grows with each restart: earlier processes are kept together.
#[test]
fn many_restarts() {
    let now = reading(0, MINUTE);
    let mut row = uses::Row::default();
    for incarnation in 0..50 {
        row.record(incarnation, &versions(&[incarnation as u32]), false, WINDOW, &now);
    }
    assert_eq!(row.processes.len(), uses::MAX_PROCESSES);
    let named: collections::BTreeSet<_> =
        row.processes.iter().flat_map(|process| &process.versions[SERVICE]).copied().collect();
    assert_eq!(named.len(), 50);
}

#[test]
fn recorded_before_use() {
    let (mut own, now) = (uses::Own::default(), time::Instant::now());
    assert!(!own.admits(SERVICE, 7, now));
    assert_eq!(own.pending(), Some(versions(&[7])));
    assert!(own.mixing().is_empty());
    own.set_recorded(versions(&[7]));
    assert!(own.admits(SERVICE, 7, now) && own.pending().is_none());
    assert!(!own.admits(SERVICE, 8, now));
    assert_eq!(own.mixing(), [SERVICE.to_string()].into());
    assert_eq!(own.pending(), Some(versions(&[7, 8])));
    own.retain(|_, software| software == 7);
    assert_eq!(own.pending(), None);
}

// While the store takes no record, only a version that is alone is used at once.
#[test]
fn store_silent() {
    let (mut own, now) = (uses::Own::default(), time::Instant::now());
    assert!(!own.admits(SERVICE, 7, now));
    own.set_failed(now);
    assert!(own.admits(SERVICE, 7, now));
    assert!(!own.admits(SERVICE, 8, now));
    assert!(own.admits(SERVICE, 8, now + time::Duration::from_secs(11)));
    // Both are still to be recorded.
    assert_eq!(own.pending(), Some(versions(&[7, 8])));
}

/// A step of the model: three instances before two servers, whose software may be of two versions.
#[derive(Clone, Debug)]
enum Step {
    /// The instance records a version, unless it has: the write is done, is lost, or is done late.
    Record { instance: usize, software: ids::SoftwareTag, fate: Fate },
    /// The instance reads the row of a server.
    Read { instance: usize, server: usize },
    /// The instance opens a connection to a server.
    Connect { instance: usize, server: usize },
    /// A stream begins at the instance on its connection to a server, if it has recorded the version that
    /// the row names.
    Begin { instance: usize, server: usize },
    /// A server starts again in place, with this software; its row stays as it is.
    Replace { server: usize, software: ids::SoftwareTag },
    /// A server writes its row.
    Register { server: usize },
    /// The process ends; another one takes its place, or the instance is gone.
    End { instance: usize, returns: bool },
    /// The writes that are still on their way arrive, as far as their conditions hold.
    Arrive,
    /// The store is restored from a copy of a moment before.
    Restore,
    /// The store is copied.
    Copy,
    /// Time passes.
    Wait(u64),
    /// All streams are taken up; these instances answer.
    TakeUp { answering: [bool; 3] },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Done,
    Lost,
    Late,
}

fn step() -> impl Strategy<Value = Step> {
    let fate = prop_oneof![3 => Just(Fate::Done), 1 => Just(Fate::Lost), 1 => Just(Fate::Late)];
    prop_oneof![
        3 => (0..3_usize, 7..9_u32, fate)
            .prop_map(|(instance, software, fate)| Step::Record { instance, software, fate }),
        2 => (0..3_usize, 0..2_usize)
            .prop_map(|(instance, server)| Step::Read { instance, server }),
        3 => (0..3_usize, 0..2_usize)
            .prop_map(|(instance, server)| Step::Connect { instance, server }),
        4 => (0..3_usize, 0..2_usize)
            .prop_map(|(instance, server)| Step::Begin { instance, server }),
        2 => (0..2_usize, 7..9_u32)
            .prop_map(|(server, software)| Step::Replace { server, software }),
        2 => (0..2_usize).prop_map(|server| Step::Register { server }),
        2 => (0..3_usize, any::<bool>())
            .prop_map(|(instance, returns)| Step::End { instance, returns }),
        1 => Just(Step::Arrive),
        1 => Just(Step::Restore),
        1 => Just(Step::Copy),
        1 => (1_000..20_000_u64).prop_map(Step::Wait),
        3 => any::<[bool; 3]>().prop_map(|answering| Step::TakeUp { answering }),
    ]
}

#[derive(Clone, Default)]
struct Stored {
    // Content and version of the row of each instance.
    rows: [(u64, uses::Row); 3],
    era: stamp::Era,
}

struct Entry {
    incarnation: ids::Incarnation,
    recorded: uses::Versions,
    is_gone: bool,
    // Rows of the servers as it has read them.
    rows: [Process; 2],
    // Connections to them: the process that it leads to, and what is known of that.
    connections: [Option<(Process, identity::Peer)>; 2],
}

// Process of a server, by its start, and the version of its software.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Process {
    started_ms: u64,
    software: ids::SoftwareTag,
}

const FIRST: Process = Process { started_ms: 1, software: 7 };

struct Model {
    // The processes that run, and those that their rows name.
    servers: [Process; 2],
    rows: [Process; 2],
    store: Stored,
    copy: Stored,
    late: Vec<(usize, u64, stamp::Era, uses::Row)>,
    entries: Vec<Entry>,
    // Streams, by their processes and versions, and when they began.
    begun: Vec<(ids::Incarnation, ids::SoftwareTag, u64)>,
    next: u64,
    now_ms: u64,
}

impl Model {
    fn new() -> Model {
        let mut model = Model {
            servers: [FIRST; 2],
            rows: [FIRST; 2],
            store: Stored::default(),
            copy: Stored::default(),
            late: Vec::new(),
            entries: Vec::new(),
            begun: Vec::new(),
            next: 100,
            now_ms: MINUTE,
        };
        for _ in 0..3 {
            let entry = model.start();
            model.entries.push(entry);
        }
        model
    }

    fn start(&mut self) -> Entry {
        self.next += 1;
        Entry {
            incarnation: self.next,
            recorded: uses::Versions::new(),
            is_gone: false,
            rows: self.rows,
            connections: [None; 2],
        }
    }

    // Begins a stream at the process that a connection leads to, unless that is shown to be another one than
    // the row names.
    fn begin(&mut self, instance: usize, server: usize) {
        let entry = &mut self.entries[instance];
        let row = entry.rows[server];
        let recorded = entry.recorded.get(SERVICE);
        let Some((process, peer)) = &mut entry.connections[server] else { return };
        if entry.is_gone || !recorded.is_some_and(|tags| tags.contains(&row.software)) {
            return;
        }
        if peer.check(Some(row.started_ms)) == identity::Check::Ask {
            *peer = identity::Peer::Said(Some(process.started_ms));
        }
        if peer.check(Some(row.started_ms)) == identity::Check::Pass {
            self.begun.push((entry.incarnation, process.software, self.now_ms));
        }
    }

    fn reading(&self) -> history::Reading {
        reading(self.store.era, self.now_ms)
    }

    fn record(&mut self, instance: usize, software: ids::SoftwareTag, fate: Fate) {
        let reading = self.reading();
        let entry = &mut self.entries[instance];
        let (version, mut content) = self.store.rows[instance].clone();
        let mut versions = entry.recorded.clone();
        versions.entry(SERVICE.to_string()).or_default().insert(software);
        content.record(entry.incarnation, &versions, false, WINDOW, &reading);
        match fate {
            Fate::Done => {
                self.next += 1;
                self.store.rows[instance] = (self.next, content);
                entry.recorded = versions;
            }
            Fate::Late => self.late.push((instance, version, self.store.era, content)),
            Fate::Lost => {}
        }
    }

    fn check(&self, answering: [bool; 3]) -> Result<(), TestCaseError> {
        let rows: Vec<_> = self.store.rows.iter().map(|(_, row)| row.clone()).collect();
        let live = self.entries.iter().zip(answering);
        let others: Vec<_> = live
            .filter(|(entry, answers)| *answers && !entry.is_gone)
            .map(|(entry, _)| entry.incarnation)
            .collect();
        // Processes that answer know their own streams.
        let unknown = self.begun.iter().filter(|(process, ..)| !others.contains(process));
        let verdict = judge(&rows, &others, &[], &self.reading());
        for (process, software, _) in unknown {
            if let uses::Verdict::Only(named) = verdict {
                prop_assert_eq!(named, *software, "process {} by {:?}", process, rows);
            }
        }
        Ok(())
    }

    fn play(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Record { instance, software, fate } if !self.entries[instance].is_gone => {
                self.record(instance, software, fate);
            }
            Step::Read { instance, server } => {
                self.entries[instance].rows[server] = self.rows[server];
            }
            Step::Connect { instance, server } => {
                let process = self.servers[server];
                self.entries[instance].connections[server] =
                    Some((process, identity::Peer::Unknown));
            }
            Step::Begin { instance, server } => self.begin(instance, server),
            Step::Replace { server, software } => {
                self.next += 1;
                self.servers[server] = Process { started_ms: self.next, software };
                // Connections to the process before lead nowhere.
                for entry in &mut self.entries {
                    entry.connections[server] = None;
                }
            }
            Step::Register { server } => self.rows[server] = self.servers[server],
            Step::End { instance, returns } => {
                let next = self.start();
                let entry = &mut self.entries[instance];
                if returns || entry.is_gone {
                    *entry = next;
                } else {
                    entry.is_gone = true;
                }
            }
            Step::Copy => self.copy = self.store.clone(),
            Step::Wait(ms) => {
                self.now_ms += ms;
                let oldest = self.now_ms - WINDOW.as_millis() as u64;
                self.begun.retain(|(.., at_ms)| *at_ms >= oldest);
            }
            Step::Arrive => {
                for (instance, version, era, content) in std::mem::take(&mut self.late) {
                    let row = &mut self.store.rows[instance];
                    if row.0 == version && era == self.store.era {
                        self.next += 1;
                        *row = (self.next, content);
                    }
                }
            }
            Step::Restore => {
                let era = self.store.era + 1;
                self.store = Stored { era, ..self.copy.clone() };
                // Those that live write again before anything else begins.
                for instance in 0..3 {
                    let entry = &self.entries[instance];
                    let first = entry
                        .recorded
                        .values()
                        .flatten()
                        .next()
                        .copied()
                        .filter(|_| !entry.is_gone);
                    if let Some(software) = first {
                        self.record(instance, software, Fate::Done);
                    }
                }
            }
            Step::TakeUp { answering } => self.check(answering)?,
            Step::Record { .. } => {}
        }
        Ok(())
    }
}

proptest! {
    // Guards against a stream that is put down to a version that did not begin it: over lost and late
    // writes, ends, removals, restores and servers that are replaced before their rows say so the
    // conclusion names the version of the process that began it, or none (ORDER).
    #[test]
    fn right_or_none(steps in prop::collection::vec(step(), 1..80)) {
        let mut model = Model::new();
        for step in &steps {
            model.play(step)?;
        }
        model.check([true; 3])?;
        model.check([false; 3])?;
    }
}
