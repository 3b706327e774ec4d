//! Admits jobs through the gate and the slot queue, runs them and ends them.

use std::{sync, time};

use rhubarb_core::{gate, ids, outcome, prefill_time, slots};
use rhubarb_node::clock;
use rhubarb_wire::message;

use crate::{agent, decode, engine, job, output, plain, prefill};

use job::{Job, QueuedJob, Sender};
use outcome::{RETRY_SOON, Reason, Refusal};

type Shared = sync::Arc<agent::Agent>;

/// Offers a job to the gate and runs, queues or refuses it.
pub(crate) fn accept(agent: &Shared, job: Job, sender: &Sender) {
    let run = job.run();
    let mut state = agent.lock();
    let admission = admit(agent, &mut state, &job);
    if matches!(admission, Admission::Queue) {
        // Queued under the same lock, so that a slot that is freed meanwhile is granted to the job.
        state.queued.insert(run, QueuedJob { job, sender: sender.clone() });
        return;
    }
    drop(state);
    match admission {
        Admission::Run => execute(agent, job, sender),
        Admission::Replay(earlier) => replay(agent, earlier, run, sender),
        Admission::Refuse(refusal) => refuse(agent, run, refusal, sender),
        Admission::Queue | Admission::Ignore => {}
    }
}

// What to do with a job.
enum Admission {
    /// Run it now.
    Run,
    /// Queue it for a slot.
    Queue,
    /// Send the response of this earlier run with the same key.
    Replay(ids::RunId),
    /// Refuse it.
    Refuse(Refusal),
    /// Ignore it as a duplicate of a known run.
    Ignore,
}

// A plain request with a key cannot be cancelled, because the agent would not know how much of it
// the server has done.
fn to_gate_offer(agent: &Shared, job: &Job) -> gate::Offer {
    let (key, start_by_ms, cancellable) = match job {
        Job::Plain(offer) => (offer.key, offer.start_by_ms, offer.key.is_none()),
        Job::Prefill(prefill) => (None, prefill.start_by_ms, true),
        Job::Reserve(reserve) => (reserve.key, reserve.start_by_ms, true),
    };
    gate::Offer { run: job.run(), key, start_by: agent.instant_at(start_by_ms), cancellable }
}

fn admit(agent: &Shared, state: &mut agent::State, job: &Job) -> Admission {
    let now = clock::now();
    let offer = to_gate_offer(agent, job);
    if let Some(refusal) = check_available(agent, state, job, offer.key.is_some()) {
        return Admission::Refuse(refusal);
    }
    match state.gate.offer(offer, now) {
        gate::Decision::Accept => {}
        gate::Decision::Duplicate => return Admission::Ignore,
        gate::Decision::Answered(earlier) => return Admission::Replay(earlier),
        gate::Decision::Refuse(refusal) => return Admission::Refuse(refusal),
    }
    if offer.key.is_some() && state.kept_bytes >= agent.settings.max_answers {
        state.gate.withdraw(offer.run, now);
        return Admission::Refuse(Refusal::not_run(Reason::RecordsFull, RETRY_SOON));
    }
    match request_slot(agent, state, job, offer.start_by) {
        slots::Answer::Granted => Admission::Run,
        slots::Answer::Queued => Admission::Queue,
        slots::Answer::Refused(refusal) => {
            state.gate.withdraw(offer.run, now);
            Admission::Refuse(refusal)
        }
    }
}

fn request_slot(
    agent: &Shared,
    state: &mut agent::State,
    job: &Job,
    start_by: time::Instant,
) -> slots::Answer {
    let now = clock::now();
    let (excess, work, wait_by) = match job {
        Job::Plain(offer) => (offer.excess, time::Duration::ZERO, start_by),
        Job::Reserve(reserve) => {
            (reserve.excess, time::Duration::ZERO, agent.instant_at(reserve.wait_by_ms))
        }
        Job::Prefill(prefill) => {
            let work = state.prefill_time.estimate(prefill.prompt.len() as u32);
            let due = prefill_time::PromptDeadline {
                first_token: agent.instant_at(prefill.due_ms),
                max_wait: time::Duration::from_millis(prefill.max_wait_ms),
            };
            (prefill.excess, work, due.latest_start(work, now).min(start_by))
        }
    };
    if excess {
        state.slots.request_spare(job.run(), work, now)
    } else {
        state.slots.request_work(job.run(), work, wait_by, now)
    }
}

// Refuses a job that this server cannot run now. A request with a key to a server that checks
// fencing numbers needs the number that registration in the table returns.
fn check_available(
    agent: &Shared,
    state: &agent::State,
    job: &Job,
    keyed: bool,
) -> Option<Refusal> {
    let assignment = state.assignment(&agent.settings.server);
    if assignment.is_none_or(|(_, role)| role != job.role()) {
        let reason = if state.has_list { Reason::NoServer } else { Reason::NoList };
        return Some(refuse_before_gate(reason, keyed));
    }
    if !state.loaded {
        return Some(refuse_before_gate(Reason::NotLoaded, keyed));
    }
    let is_fenced = assignment.is_some_and(|(service, _)| service.fenced);
    let lacks_fence = keyed && is_fenced && !state.registered;
    lacks_fence.then(|| Refusal::unknown(Reason::KeyUncertain, RETRY_SOON))
}

// The gate has not checked the key yet, so an earlier attempt with the key may have run.
fn refuse_before_gate(reason: Reason, keyed: bool) -> Refusal {
    if keyed { Refusal::unknown(reason, RETRY_SOON) } else { Refusal::not_run(reason, RETRY_SOON) }
}

fn execute(agent: &Shared, job: Job, sender: &Sender) {
    let run = job.run();
    let agent_ref = agent.clone();
    let sender_ref = sender.clone();
    match job {
        Job::Plain(offer) => {
            let output = open_output(agent, run, 0, sender);
            spawn(agent, run, async move {
                let result = plain::call(&agent_ref, offer, &output).await;
                finish(&agent_ref, run, result);
            });
        }
        Job::Prefill(prefill) => {
            spawn(agent, run, async move {
                let result = prefill::call(&agent_ref, prefill).await;
                finish(&agent_ref, run, result.as_ref().map(drop).map_err(|refusal| *refusal));
                let refused =
                    |refusal| message::ToEntry::Refused(message::Refused { run, refusal });
                let message = result.map_or_else(refused, message::ToEntry::Prefilled);
                let _ = sender_ref.send(message).await;
            });
        }
        Job::Reserve(_) => spawn_send(sender, message::ToEntry::Reserved(run)),
    }
}

/// Starts the decode of a reserved run.
pub(crate) fn start_decode(agent: &Shared, request: message::Decode, sender: &Sender) {
    let run = request.run;
    if !agent.lock().slots.claim(run) {
        let refusal = Refusal::not_run(Reason::TooLate, RETRY_SOON);
        agent.lock().gate.withdraw(run, clock::now());
        return refuse(agent, run, refusal, sender);
    }
    let output = open_output(agent, run, 0, sender);
    let agent_ref = agent.clone();
    spawn(agent, run, async move {
        let result = decode::call(&agent_ref, request, &output).await;
        finish(&agent_ref, run, result);
        if result.is_err() {
            engine::cancel(&agent_ref, run);
        }
    });
}

fn spawn(agent: &Shared, run: ids::RunId, task: impl Future<Output = ()> + Send + 'static) {
    // The lock is held so that the task cannot end before its handle is stored.
    let mut state = agent.lock();
    let handle = tokio::spawn(task).abort_handle();
    state.tasks.insert(run, handle);
}

/// Creates the output of a run and forwards it to the entry as it grows.
fn open_output(
    agent: &Shared,
    run: ids::RunId,
    offset: u64,
    sender: &Sender,
) -> sync::Arc<output::Output> {
    let output = output::Output::new();
    agent.lock().outputs.insert(run, output.clone());
    forward_output(output.clone(), run, offset, sender);
    output
}

fn forward_output(
    output: sync::Arc<output::Output>,
    run: ids::RunId,
    offset: u64,
    sender: &Sender,
) {
    let sender = sender.clone();
    tokio::spawn(async move {
        let mut cursor = output::Cursor::at(offset);
        while let Some(message) = output.next(run, &mut cursor).await {
            if sender.send(message).await.is_err() {
                return;
            }
        }
    });
}

fn replay(agent: &Shared, earlier: ids::RunId, run: ids::RunId, sender: &Sender) {
    let output = agent.lock().outputs.get(&earlier).cloned();
    match output {
        Some(output) => forward_output(output, run, 0, sender),
        None => refuse(agent, run, Refusal::unknown(Reason::KeyUncertain, RETRY_SOON), sender),
    }
}

/// Resumes the response of a run. A run without a response is withdrawn, which keeps one that has not
/// started from starting.
pub(crate) fn resume(agent: &Shared, resume: message::Resume, sender: &Sender) {
    let now = clock::now();
    let mut state = agent.lock();
    if let Some(output) = state.outputs.get(&resume.run).cloned()
        && state.gate.resume(resume.run)
    {
        drop(state);
        return forward_output(output, resume.run, resume.offset, sender);
    }
    let withdrawal = state.gate.withdraw(resume.run, now);
    state.slots.release(resume.run, now);
    state.queued.remove(&resume.run);
    drop(state);
    let refusal = match withdrawal {
        gate::Withdrawal::NotRun => Refusal::not_run(Reason::Withdrawn, RETRY_SOON),
        _ => Refusal::unknown(Reason::LostContact, RETRY_SOON),
    };
    refuse(agent, resume.run, refusal, sender);
    grant_slots(agent);
}

/// Cancels a run at the request of its entry.
pub(crate) fn cancel(agent: &Shared, run: ids::RunId) {
    let now = clock::now();
    let mut state = agent.lock();
    state.queued.remove(&run);
    match state.gate.withdraw(run, now) {
        gate::Withdrawal::NotRun => state.slots.release(run, now),
        gate::Withdrawal::Ended => {}
        gate::Withdrawal::Running if !state.gate.is_cancellable(run) => {}
        gate::Withdrawal::Running => {
            drop(state);
            agent.metrics.cancelled.inc();
            return stop_run(agent, run);
        }
    }
    drop(state);
    grant_slots(agent);
}

/// Cancels a run whose entry has lost contact.
pub(crate) fn cancel_orphan(agent: &Shared, run: ids::RunId) {
    let now = clock::now();
    let mut state = agent.lock();
    state.queued.remove(&run);
    if state.gate.withdraw(run, now) == gate::Withdrawal::NotRun {
        state.slots.release(run, now);
        return;
    }
    drop(state);
    stop_run(agent, run);
}

/// Stops a started run and frees its resources at the engine.
pub(crate) fn stop_run(agent: &Shared, run: ids::RunId) {
    if let Some(task) = agent.lock().tasks.remove(&run) {
        task.abort();
    }
    finish(agent, run, Err(Refusal::unknown(Reason::CallerGone, RETRY_SOON)));
    engine::cancel(agent, run);
}

/// Records the end of a run, frees its slot and grants it to the next job.
pub(crate) fn finish(agent: &Shared, run: ids::RunId, result: Result<(), Refusal>) {
    let now = clock::now();
    let mut state = agent.lock();
    state.tasks.remove(&run);
    state.slots.release(run, now);
    let output = state.outputs.get(&run).cloned();
    match result {
        Ok(()) => {
            state.gate.finish(run, true, now);
            if state.gate.has_key(run) {
                state.keep_output(run);
            }
        }
        Err(refusal) if refusal.outcome == outcome::Outcome::NotRun => {
            state.gate.mark_not_executed(run, now);
            state.drop_output(run);
        }
        Err(_) => state.gate.finish(run, false, now),
    }
    drop(state);
    if let Err(refusal) = result {
        agent.count_refusal(refusal);
    }
    if let Some(output) = output {
        output.finish(match result {
            Ok(()) => output::End::Complete,
            Err(refusal) => output::End::Refused(refusal),
        });
    }
    grant_slots(agent);
}

/// Grants free slots to queued jobs and starts them.
pub(crate) fn grant_slots(agent: &Shared) {
    loop {
        let mut state = agent.lock();
        let Some(run) = state.slots.next_grant(clock::now()) else { return };
        let queued = state.queued.remove(&run);
        drop(state);
        match queued {
            Some(QueuedJob { job, sender }) => execute(agent, job, &sender),
            None => agent.lock().slots.release(run, clock::now()),
        }
    }
}

/// Drops a queued job or an unclaimed reservation that has expired.
pub(crate) fn expire(agent: &Shared, run: ids::RunId, refusal: Refusal) {
    let mut state = agent.lock();
    let queued = state.queued.remove(&run);
    state.gate.withdraw(run, clock::now());
    drop(state);
    agent.count_refusal(refusal);
    if let Some(queued) = queued {
        let refused = message::Refused { run, refusal };
        spawn_send(&queued.sender, message::ToEntry::Refused(refused));
    }
}

fn refuse(agent: &Shared, run: ids::RunId, refusal: Refusal, sender: &Sender) {
    agent.count_refusal(refusal);
    spawn_send(sender, message::ToEntry::Refused(message::Refused { run, refusal }));
}

// For code that cannot await. The queue to an entry holds far more messages than the entry has
// requests, so the send rarely waits.
fn spawn_send(sender: &Sender, message: message::ToEntry) {
    let sender = sender.clone();
    tokio::spawn(async move { sender.send(message).await });
}
