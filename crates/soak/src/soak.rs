//! Runs a plan against a deployment whose entries are real processes.

use std::{collections, fmt, sync, sync::atomic, time};

use rhubarb_e2e::{edge, site};
use rhubarb_node::client;

use crate::{callers, check, injector, plan, record};

/// Result of a soak.
#[derive(Debug)]
pub struct Report {
    /// Number of requests.
    pub requests: usize,
    /// Number of requests that a server answered.
    pub answered: usize,
    /// Number of requests that an entry rejected with status 503.
    pub rejected: usize,
    /// Number of requests to take a stream up again that entries answered, and of those that went on.
    pub taken_up: (usize, usize),
    /// The same soon after all entries were killed, of streams that began before.
    pub outage_taken: (usize, usize),
    /// Number of resumable streams that callers sent anew then, and of those that began.
    pub outage_begun: (usize, usize),
    /// Violated invariants.
    pub violations: Vec<check::Violation>,
    /// Logs of the entries; empty if no invariant was violated.
    pub logs: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { requests, answered, rejected, taken_up, violations, .. } = self;
        let (taken, begun) = (self.outage_taken, self.outage_begun);
        write!(f, "{requests} requests, {answered} answered, {rejected} rejected")?;
        write!(f, ", {} of {} streams taken up", taken_up.1, taken_up.0)?;
        write!(f, " ({} of {} soon after all entries were killed", taken.1, taken.0)?;
        write!(f, ", {} of {} new ones begun then)", begun.1, begun.0)?;
        write!(f, ", {} violations", violations.len())?;
        let mut counts = collections::BTreeMap::new();
        for violation in violations {
            let count = counts.entry(violation.invariant).or_insert(0);
            *count += 1;
            if *count <= MAX_SHOWN {
                write!(f, "\n  {violation}")?;
            }
        }
        let hidden = counts.iter().filter(|(_, count)| **count > MAX_SHOWN);
        for (invariant, count) in hidden {
            write!(f, "\n  {invariant:?}: {} more", count - MAX_SHOWN)?;
        }
        Ok(())
    }
}

/// Maximum number of violations of one invariant that a report shows.
const MAX_SHOWN: usize = 5;

/// Time limit for recovery after the last fault, the platform's `recover_s`.
const RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(15);
/// Time after all entries were killed for which streams are counted apart.
const OUTAGE_SPAN: time::Duration = time::Duration::from_secs(6);
/// Maximum number of entries whose recovery is checked at a time, so that the checks alone do not
/// occupy all engines.
const MAX_CHECKS: usize = 16;
/// Time limit for engines to free the memory of abandoned requests and of killed entries.
const FREE_LIMIT: time::Duration = time::Duration::from_secs(8);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Runs `plan` and checks the invariants.
///
/// # Errors
/// Returns an error if the deployment does not start.
pub async fn run(plan: &plan::Plan) -> anyhow::Result<Report> {
    let site = site::Site::start(plan.sizes).await?;
    let shared = sync::Arc::new(callers::Shared {
        history: sync::Mutex::default(),
        edges: site.edges.iter().map(|edge| edge.frontend).collect(),
        ready: site.edges.iter().map(|edge| edge.ready).collect(),
        version: atomic::AtomicU64::new(1),
        stopped: atomic::AtomicBool::new(false),
        recovering: atomic::AtomicBool::new(false),
        next_attempt: atomic::AtomicU64::new(0),
        deadly: atomic::AtomicBool::new(false),
        repeated: atomic::AtomicBool::new(false),
    });
    let mut tasks: Vec<_> =
        (0..plan.callers).map(|_| tokio::spawn(callers::run(shared.clone()))).collect();
    tasks.extend((0..plan.sizes.edges).map(|edge| {
        let shared = shared.clone();
        tokio::spawn(callers::probe_loop(shared, edge))
    }));
    shared.history().edges = plan.sizes.edges;
    let mut injector = injector::Injector::new(site, shared.clone(), plan.routes);
    let start = tokio::time::Instant::now();
    for step in &plan.steps {
        injector.wait_until(start + step.at).await?;
        injector.apply(step.change).await?;
    }
    injector.clear_faults().await?;
    shared.recovering.store(true, atomic::Ordering::Relaxed);
    wait_recovered(&mut injector).await?;
    shared.stopped.store(true, atomic::Ordering::Relaxed);
    for task in tasks {
        task.await?;
    }
    wait_freed(&mut injector).await;
    Ok(build_report(injector))
}

// Waits until each entry serves all kinds of requests, or the limit has passed.
async fn wait_recovered(injector: &mut injector::Injector) -> anyhow::Result<()> {
    let deadline = time::Instant::now() + RECOVERY_LIMIT;
    let mut waiting = tokio::task::JoinSet::new();
    let turns = sync::Arc::new(tokio::sync::Semaphore::new(MAX_CHECKS));
    for edge in 0..injector.shared.edges.len() {
        let (shared, turns) = (injector.shared.clone(), turns.clone());
        waiting.spawn(async move { wait_serving(&shared, &turns, edge, deadline).await });
    }
    loop {
        // A server that has crashed with the last faults is used again once it has written its row.
        injector.follow_servers();
        let joining = tokio::time::timeout(POLL_INTERVAL, waiting.join_next());
        let Ok(joined) = joining.await else { continue };
        let Some(result) = joined else { return Ok(()) };
        if let Err(detail) = result? {
            let invariant = check::Invariant::Recovered;
            injector.violations.push(check::Violation { invariant, detail });
        }
    }
}

async fn wait_serving(
    shared: &callers::Shared,
    turns: &tokio::sync::Semaphore,
    edge: usize,
    deadline: time::Instant,
) -> Result<(), String> {
    loop {
        let turn = turns.acquire().await;
        let result = check_serving(shared, edge).await;
        drop(turn);
        match result {
            Err(_) if time::Instant::now() < deadline => tokio::time::sleep(POLL_INTERVAL).await,
            result => return result,
        }
    }
}

// Checks that an entry is ready, has the latest config, and serves each kind of request.
async fn check_serving(shared: &callers::Shared, edge: usize) -> Result<(), String> {
    if !edge::is_ready(shared.ready[edge]).await {
        return Err(format!("entry {edge} is not ready"));
    }
    let client = client::Client::new();
    let version = shared.version.load(atomic::Ordering::Relaxed);
    let probe = callers::probe_config(shared, &client, edge, version).await;
    if !probe.is_some_and(|probe| probe.applied) {
        return Err(format!("entry {edge} does not have config version {version}"));
    }
    for kind in record::KINDS {
        let record = callers::call(shared, &client, edge, kind, callers::Flavor::Sound).await;
        let is_served = match &record.end {
            record::End::Answer(reply) => reply.status == 200,
            record::End::Abandoned => true,
            _ => false,
        };
        let detail = format!("entry {edge} does not serve {kind:?}: {:?}", record.end);
        shared.history().records.push(record);
        if !is_served {
            return Err(detail);
        }
    }
    Ok(())
}

async fn wait_freed(injector: &mut injector::Injector) {
    let deadline = time::Instant::now() + FREE_LIMIT;
    while injector.site.outstanding_unexpired() > 0 {
        if time::Instant::now() >= deadline {
            let remaining = injector.site.outstanding_unexpired();
            let detail =
                format!("{remaining} holds, prefill results or requests remain at engines");
            injector
                .violations
                .push(check::Violation { invariant: check::Invariant::NoLeak, detail });
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

// Number of requests that an entry answered, and of those that were served.
fn count_served<'a>(records: impl Iterator<Item = &'a record::Record>) -> (usize, usize) {
    let statuses = records.filter_map(|record| match &record.end {
        record::End::Answer(reply) => Some(reply.status),
        _ => None,
    });
    let statuses: Vec<_> = statuses.collect();
    (statuses.len(), statuses.iter().filter(|status| **status == 200).count())
}

fn build_report(injector: injector::Injector) -> Report {
    let mut runs = check::Runs::new();
    for server in injector.site.servers().iter().chain(&injector.site.replaced) {
        for (attempt, count) in server.runs() {
            *runs.entry(attempt).or_default() += count;
        }
    }
    let mut history = injector.shared.history();
    for server in injector.site.servers().iter().chain(&injector.site.replaced) {
        history.arrivals.insert(server.id.clone(), server.arrivals());
        history.foreign = server.foreign_handles();
        history.crashes.extend(server.deadly_crashes());
        let index = usize::from(!server.stage().0.is_empty());
        history.repeated[index].extend(server.request_crashes());
    }
    history.crashes.sort();
    history.repeated.iter_mut().for_each(|crashes| crashes.sort());
    let mut violations = injector.violations;
    violations.extend(check::check(&history, &runs));
    let replies = history.records.iter().filter_map(|record| match &record.end {
        record::End::Answer(reply) => Some(reply),
        _ => None,
    });
    let logs = match violations.is_empty() {
        true => Vec::new(),
        false => injector.site.edges.iter().map(edge::Edge::log).collect(),
    };
    let outages = history.outages(&[record::EntryFault::Killed]);
    // Last outage that was soon before a request.
    let outage_before = |record: &record::Record| {
        let span =
            |down: &time::Instant| *down < record.began && record.began < *down + OUTAGE_SPAN;
        outages.iter().copied().filter(span).max()
    };
    let streams = history.records.iter().filter(|record| record.kind == record::Kind::Resumable);
    let (resumed, new): (Vec<_>, Vec<_>) =
        streams.partition(|record: &&record::Record| record.resumes.is_some());
    let begun: collections::BTreeMap<_, _> =
        history.records.iter().map(|record| (&record.attempt, record.began)).collect();
    let outage_taken = resumed.iter().copied().filter(|record| {
        let first = record.resumes.as_ref().and_then(|stream| begun.get(&stream.first));
        first.zip(outage_before(record)).is_some_and(|(first, down)| *first < down)
    });
    let outage_begun = new.into_iter().filter(|record| outage_before(record).is_some());
    Report {
        taken_up: count_served(resumed.iter().copied()),
        outage_taken: count_served(outage_taken),
        outage_begun: count_served(outage_begun),
        requests: history.records.len(),
        answered: replies.clone().filter(|reply| !reply.is_local()).count(),
        rejected: replies.filter(|reply| reply.is_local() && reply.status == 503).count(),
        violations,
        logs,
    }
}
