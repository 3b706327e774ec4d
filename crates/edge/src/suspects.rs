//! Requests that crash servers: what is recorded of lost requests, and which requests are rejected.

use std::time;

use rhubarb_core::{abandoned, cause, outcome, pool, suspects};
use rhubarb_node::clock;

use outcome::{Outcome, Reason, Refusal};

use crate::{call, connections, directory, edge, trials};

/// Maximum size of a body that is read for the count of its answers, in bytes.
const MAX_COUNTED_BYTES: usize = 4 * 1024;
/// Number of events after which a server has survived the begin of an answer. It may have sent the
/// first one before it crashed.
pub(crate) const BEGUN_EVENTS: u64 = 2;

/// Maximum number of servers that are checked before a trial.
const MAX_CHECKED: usize = 3;

/// Share of the time for which an abandoned request counts after which its server is checked, if a
/// server has crashed with the request before.
const CHECK_SHARE: f64 = 0.8;

/// Decides whether a new request may be served. A rejected one is admitted from time to time, and
/// marked as a trial.
pub(crate) async fn admit(call: &mut call::Call) -> Result<(), Refusal> {
    let Some(refusal) = rejection(call, Outcome::NotRun) else { return Ok(()) };
    let edge = call.edge.clone();
    let trial = edge.rejected().suspects.take_trial(call.causes(), clock::now());
    let Some(trial) = trial else { return Err(refusal) };
    if !has_reachable(call).await {
        let suspects::Trial { cause, number } = trial;
        tracing::info!(id = call.id(), ?cause, number, "edge: trial postponed, no server is up");
        edge.rejected().suspects.postpone_trial(trial, clock::now());
        return Err(refusal);
    }
    let claimed = trials::claim(&edge, trial).await;
    let suspects::Trial { cause, number } = trial;
    match claimed {
        Ok(is_own) => {
            tracing::info!(id = call.id(), ?cause, number, is_own, "edge: trial of rejected cause");
            edge.rejected().suspects.record_trial(trial, clock::now());
            edge.evidence_changed.notify_one();
            call.is_trial = is_own;
            if is_own { Ok(()) } else { Err(refusal) }
        }
        Err(err) => {
            tracing::info!(id = call.id(), ?cause, number, %err, "edge: trial not claimed");
            Err(refusal)
        }
    }
}

// Whether one of some servers of the service accepts connections: a trial that reaches none would tell
// nothing, and there are few.
async fn has_reachable(call: &call::Call) -> bool {
    let targets = {
        let mut directory = call.edge.directory();
        let pool = &directory.service(&call.service).pool;
        let names: Vec<_> =
            pool.candidates(&[], |_| true, clock::now()).into_iter().cloned().collect();
        let targets = names.iter().filter_map(|name| directory.target(name));
        targets.take(MAX_CHECKED).collect::<Vec<_>>()
    };
    for target in targets {
        if call.edge.connections.is_accepted(target.address).await {
            return true;
        }
    }
    false
}

/// Refusal of a request that is rejected by now, and of which an attempt ended with `outcome`.
pub(crate) fn rejection(call: &call::Call, outcome: Outcome) -> Option<Refusal> {
    if call.is_trial || call.edge.rejected().suspects.is_empty() {
        return None;
    }
    let verdict = call.edge.rejected().suspects.check(call.causes(), clock::now());
    let suspects::Verdict::Rejected { cause, unsettled } = verdict else { return None };
    let reason = if cause.is_part() { Reason::CrashingPrompt } else { Reason::CrashingRequest };
    // Other entries may know of an answer that clears the cause.
    let retry = (!unsettled.is_zero()).then_some(unsettled);
    Some(Refusal { reason, outcome, retry })
}

/// Permits to send a request, unless it is rejected by now.
pub(crate) fn permit(call: &call::Call) -> Result<(), connections::SendError> {
    let is_rejected = rejection(call, Outcome::NotRun).is_some();
    if is_rejected { Err(connections::SendError::Rejected) } else { Ok(()) }
}

/// Whether a request whose connection to a server was lost may be sent to another.
pub(crate) fn may_repeat(call: &call::Call) -> bool {
    let rejected = call.edge.rejected();
    let is_suspected = !rejected.suspects.is_empty();
    !call.is_trial && (!is_suspected || rejected.suspects.may_repeat(call.causes(), clock::now()))
}

/// Records that a server has begun to answer a request.
pub(crate) fn record_answer(call: &call::Call) {
    let mut rejected = call.edge.rejected();
    // Answers that clear no suspect are counted by what can be told of their requests at little cost.
    let is_costly = call.body.len() > MAX_COUNTED_BYTES;
    let causes = match rejected.suspects.is_empty() && is_costly {
        true => call.parts(),
        false => call.causes().to_vec(),
    };
    let cleared = rejected.suspects.record_answer(&causes, clock::now());
    if cleared.is_empty() {
        return;
    }
    tracing::info!(id = call.id(), ?cleared, "edge: suspected causes of crashes answered");
    rejected.log_changes("answer", &call.edge.counters);
    drop(rejected);
    call.edge.evidence_changed.notify_one();
}

/// Records that a request sent at `sent_at` was lost before its answer had begun, if its server has
/// crashed.
pub(crate) async fn record_loss(
    call: &call::Call,
    target: &directory::Target,
    sent_at: time::Instant,
) {
    // The caller's answer waits for this.
    let checking = call.edge.connections.is_closed(target.address);
    let has_crashed =
        tokio::time::timeout_at(call.deadline().into(), checking).await.unwrap_or(false);
    tracing::info!(
        id = call.id(),
        server = target.id,
        has_crashed,
        path = call.head.path,
        caller = ?call.caller,
        causes = ?call.causes(),
        "edge: request lost before its answer began"
    );
    if has_crashed {
        call.record_outcome(&target.id, pool::ServerOutcome::Failure(Reason::NoServer));
        record_crash(&call.edge, target, Some((call.causes(), sent_at)));
    }
}

/// Records that a request sent at `sent_at` was given up at a server, which may crash by it a little
/// later.
pub(crate) fn record_abandoned(
    call: &call::Call,
    target: &directory::Target,
    sent_at: time::Instant,
) {
    let causes = call.causes().to_vec();
    let mut rejected = call.edge.rejected();
    let is_suspected = rejected.suspects.is_suspected(&causes);
    rejected.abandoned.record(target.process_tag(), causes, sent_at, clock::now());
    drop(rejected);
    if is_suspected {
        let (edge, target) = (call.edge.clone(), target.clone());
        tokio::spawn(async move {
            tokio::time::sleep(abandoned::TTL.mul_f64(CHECK_SHARE)).await;
            check_abandoned(&edge, &target).await;
        });
    }
}

/// Records the crash of a server that was not reached, if requests were given up there just before.
pub(crate) async fn check_abandoned(edge: &edge::Edge, target: &directory::Target) {
    let is_needed = edge.rejected().abandoned.contains(target.process_tag(), clock::now());
    if is_needed && edge.connections.is_closed(target.address).await {
        record_crash(edge, target, None);
    }
}

// Records a crash with the request that was lost with it, whose causes and time of sending are given, and
// with those given up just before.
fn record_crash(
    edge: &edge::Edge,
    target: &directory::Target,
    lost: Option<(&[cause::Cause], time::Instant)>,
) {
    let (server, now) = (target.process_tag(), clock::now());
    let _ = edge.directory().record_down(&target.id);
    edge.counters.crashes.inc();
    let mut rejected = edge.rejected();
    if let Some((causes, sent_at)) = lost {
        rejected.suspects.record_crash_since(causes, server, sent_at, now);
    }
    for (causes, sent_at) in rejected.abandoned.take(server, now) {
        tracing::info!(server = target.id, ?causes, "edge: server crashed after a request ended");
        rejected.suspects.record_crash_since(&causes, server, sent_at, now);
    }
    rejected.log_changes("crash", &edge.counters);
    drop(rejected);
    edge.evidence_changed.notify_one();
}

/// Adds what a peer knows; returns whether anything was new.
pub(crate) fn merge(edge: &edge::Edge, evidence: &[suspects::Evidence]) -> bool {
    if evidence.is_empty() {
        return false;
    }
    let now = clock::now();
    let mut rejected = edge.rejected();
    let mut has_changed = false;
    for evidence in evidence {
        has_changed |= rejected.suspects.merge(evidence, now);
    }
    if has_changed {
        rejected.log_changes("peer", &edge.counters);
    }
    has_changed
}
