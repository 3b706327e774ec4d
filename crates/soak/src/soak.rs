//! Plays a plan against a deployment of real entries.

use std::{fmt, sync, sync::atomic, time};

use rhubarb_e2e::{edge, standin};
use rhubarb_node::client;

use crate::{callers, check, injector, plan, record};

/// What came of a soak.
#[derive(Debug)]
pub struct Report {
    /// Requests.
    pub requests: usize,
    /// Those with a server's answer.
    pub answered: usize,
    /// Those that were refused as not run.
    pub refused: usize,
    /// Promises that were broken.
    pub violations: Vec<check::Violation>,
    /// Logs of the entries, if a promise was broken.
    pub logs: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { requests, answered, refused, violations, .. } = self;
        write!(f, "{requests} requests, {answered} answered, {refused} refused")?;
        write!(f, ", {} promises broken", violations.len())?;
        violations.iter().try_for_each(|violation| write!(f, "\n  {violation}"))
    }
}

/// Time for all to be as before after the last fault; the platform's `recover_s`.
const RECOVER: time::Duration = time::Duration::from_secs(15);
/// Time for engines to free what the last callers left, and what entries that were killed held.
const FREE_LIMIT: time::Duration = time::Duration::from_secs(8);
const STEP: time::Duration = time::Duration::from_millis(100);

/// Plays `plan`.
///
/// # Errors
/// Returns an error if the deployment does not start.
pub async fn run(plan: &plan::Plan) -> anyhow::Result<Report> {
    let site = standin::Site::start(plan.sizes).await?;
    let shared = sync::Arc::new(callers::Shared {
        history: sync::Mutex::default(),
        edges: site.edges.iter().map(|edge| edge.callers).collect(),
        version: atomic::AtomicU64::new(1),
        stopped: atomic::AtomicBool::new(false),
        seq: atomic::AtomicU64::new(0),
    });
    let mut tasks: Vec<_> =
        (0..plan.callers).map(|_| tokio::spawn(callers::run(shared.clone()))).collect();
    tasks.extend((0..plan.sizes.edges).map(|edge| {
        let shared = shared.clone();
        tokio::spawn(callers::probe_loop(shared, edge))
    }));
    let mut injector = injector::Injector { site, shared: shared.clone(), violations: Vec::new() };
    let start = tokio::time::Instant::now();
    for step in &plan.steps {
        tokio::time::sleep_until(start + step.at).await;
        injector.apply(step.change).await?;
    }
    injector.clear_faults().await?;
    wait_recovered(&mut injector).await;
    shared.stopped.store(true, atomic::Ordering::Relaxed);
    for task in tasks {
        task.await?;
    }
    wait_free(&mut injector).await;
    Ok(report(injector))
}

async fn wait_recovered(injector: &mut injector::Injector) {
    let until = time::Instant::now() + RECOVER;
    for edge in 0..injector.site.edges.len() {
        while let Err(detail) = is_well(injector, edge).await {
            if time::Instant::now() >= until {
                let invariant = check::Invariant::Recovered;
                injector.violations.push(check::Violation { invariant, detail });
                break;
            }
            tokio::time::sleep(STEP).await;
        }
    }
}

// Whether an entry is ready, has the newest config, and serves each kind of request.
async fn is_well(injector: &injector::Injector, edge: usize) -> Result<(), String> {
    if !injector.site.edges[edge].is_ready().await {
        return Err(format!("entry {edge} is not ready"));
    }
    let client = client::Client::new();
    let version = injector.shared.version.load(atomic::Ordering::Relaxed);
    let probe = callers::probe_config(&injector.shared, &client, edge, version).await;
    if !probe.is_some_and(|probe| probe.applied) {
        return Err(format!("entry {edge} does not have version {version}"));
    }
    for kind in record::KINDS {
        let record = callers::call(&injector.shared, &client, edge, kind).await;
        let is_served = match &record.end {
            record::End::Answer(reply) => reply.status == 200,
            record::End::Abandoned => true,
            _ => false,
        };
        let detail = format!("entry {edge} does not serve {kind:?}: {:?}", record.end);
        injector.shared.history().records.push(record);
        if !is_served {
            return Err(detail);
        }
    }
    Ok(())
}

async fn wait_free(injector: &mut injector::Injector) {
    let until = time::Instant::now() + FREE_LIMIT;
    while injector.site.kept_lastingly() > 0 {
        if time::Instant::now() >= until {
            let detail = format!("{} pieces of engine memory", injector.site.kept_lastingly());
            injector
                .violations
                .push(check::Violation { invariant: check::Invariant::NoLeak, detail });
            return;
        }
        tokio::time::sleep(STEP).await;
    }
}

fn report(injector: injector::Injector) -> Report {
    let mut runs = check::Runs::new();
    for server in injector.site.servers() {
        for (attempt, count) in server.runs() {
            *runs.entry(attempt).or_default() += count;
        }
    }
    let history = injector.shared.history();
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
    Report {
        requests: history.records.len(),
        answered: replies.clone().filter(|reply| !reply.is_own()).count(),
        refused: replies.filter(|reply| reply.is_own() && reply.status == 503).count(),
        violations,
        logs,
    }
}
