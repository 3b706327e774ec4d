//! Runs the prefill of one prompt at a prefill engine.

use std::{sync, time};

use rhubarb_core::{engines, fleet, ids, outcome, pool};
use rhubarb_node::{clock, metrics, responder};
use rhubarb_platform::{engine, request, response as platform_response};

use outcome::{RETRY_SOON, Reason, Refusal};

use crate::{
    call, cleanup, connections, directory, edge, exchange, ledger, quotas, refuse, suspects,
};

/// KV cache of a prompt at its prefill engine, freed when dropped before it was fetched.
#[derive(Debug)]
pub(crate) struct KvCache {
    edge: sync::Arc<edge::Edge>,
    pub(crate) server: ids::ServerName,
    target: directory::Target,
    handle: String,
    tokens: u32,
    account: ledger::Account,
    completed_at: time::Instant,
    is_fetched: bool,
}

impl KvCache {
    /// Location from which a decode engine fetches the cache.
    pub(crate) fn source(&self) -> String {
        engine::kv_source(self.target.address, &self.handle)
    }

    /// Time until which a decode engine may still be chosen for the cache.
    pub(crate) fn usable_until(&self, call: &call::Call) -> time::Instant {
        let config = self.edge.directory().config();
        let service = config.as_ref().and_then(|config| config.services.get(&call.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        let ttl = engine.map_or(time::Duration::ZERO, |engine| engine.handle_ttl);
        self.completed_at + ttl.mul_f64(USABLE_TTL_SHARE)
    }

    /// Records that a decode engine has fetched the cache.
    pub(crate) fn set_fetched(&mut self) {
        self.is_fetched = true;
    }
}

impl Drop for KvCache {
    fn drop(&mut self) {
        if self.is_fetched {
            return;
        }
        let reason = metrics::reason_labels(Reason::Withdrawn);
        self.edge.counters.requests.wasted.get_or_create(&reason).inc_by(u64::from(self.tokens));
        self.account.update(|totals| totals.count_waste(Reason::Withdrawn, u64::from(self.tokens)));
        let (edge, target) = (self.edge.clone(), self.target.clone());
        let request = engine::free_handle(&self.handle);
        tokio::spawn(
            async move { cleanup::send(&edge, &target, request, quotas::Cost::One).await },
        );
    }
}

/// Result of a prefill.
#[derive(Debug)]
pub(crate) enum PrefillResult {
    /// The prefill completed.
    Completed(KvCache),
    /// The prefill failed; the server, if any, is not tried again.
    Failed(Option<ids::ServerName>, Refusal),
    /// The request could not be sent to the server.
    Unsent(ids::ServerName),
    /// The caller closed its connection.
    Disconnected,
}

/// Share of a cache's TTL in which it may be assigned to a decode engine; the rest is for the
/// transfer.
const USABLE_TTL_SHARE: f64 = 0.6;
/// Added to twice the expected time to get the timeout of a prefill: prompts of other entries may
/// be queued before it.
const TIMEOUT_MARGIN: time::Duration = time::Duration::from_millis(700);
/// Number of unreachable servers after which the prefill fails.
const MAX_UNSENT: usize = 4;

/// Prompt to prefill.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prompt<'a> {
    pub(crate) call: &'a call::Call,
    /// Availability zone of the decode engine; prefill engines in other zones get a penalty.
    pub(crate) zone: &'a str,
    /// Version of the software of the decode engine: another one may write its cache differently.
    pub(crate) software: Option<ids::SoftwareTag>,
    pub(crate) tokens: u32,
}

/// Runs the prefill of `prompt`, preferably at a server that was not `tried`.
pub(crate) async fn run(
    prompt: Prompt<'_>,
    responder: &mut responder::Responder,
    tried: &[ids::ServerName],
) -> PrefillResult {
    let mut tried = tried.to_vec();
    for _ in 0..MAX_UNSENT {
        match run_once(prompt, responder, &tried).await {
            PrefillResult::Unsent(server) => tried.push(server),
            result => return result,
        }
    }
    PrefillResult::Failed(None, Refusal::not_run(Reason::NoServer, RETRY_SOON))
}

async fn run_once(
    prompt: Prompt<'_>,
    responder: &mut responder::Responder,
    tried: &[ids::ServerName],
) -> PrefillResult {
    let call = prompt.call;
    let Some(Choice { target, expected, kept }) = choose(prompt, tried) else {
        return PrefillResult::Failed(None, Refusal::not_run(Reason::NoServer, RETRY_SOON));
    };
    // What was expected to be kept may have to be read.
    let longest = expected + engines::prefill_time(kept);
    let deadline = call.deadline().min(clock::now() + longest * 2 + TIMEOUT_MARGIN);
    let headers = request::ServerHeaders {
        server: &target.id,
        time_left: deadline.saturating_duration_since(clock::now()),
        priority: call.priority,
        ..request::ServerHeaders::default()
    };
    let request = call.head.to_prefill(&headers, call.body.clone());
    let started = clock::now();
    let sending = exchange::fetch_from_process(call, &target, request);
    let result = match call.wait(responder, sending, deadline).await {
        responder::WaitOutcome::Disconnected => {
            suspects::record_abandoned(call, &target, started);
            return PrefillResult::Disconnected;
        }
        responder::WaitOutcome::Expired => {
            suspects::record_abandoned(call, &target, started);
            Err(Refusal::not_run(Reason::EngineSilent, RETRY_SOON))
        }
        responder::WaitOutcome::Event(Err(connections::SendError::Unsent(err))) => {
            tracing::info!(id = call.id(), server = target.id, err, "edge: prefill not sent");
            call.record_outcome(&target.id, pool::ServerOutcome::Failure(Reason::NoServer));
            return PrefillResult::Unsent(target.id);
        }
        responder::WaitOutcome::Event(Err(
            connections::SendError::Leaving | connections::SendError::Replaced,
        )) => {
            tracing::info!(
                id = call.id(),
                server = target.id,
                "edge: prefill not sent to a leaving server"
            );
            return PrefillResult::Unsent(target.id);
        }
        responder::WaitOutcome::Event(Err(connections::SendError::Expired)) => {
            return PrefillResult::Failed(None, Refusal::not_run(Reason::TooLate, RETRY_SOON));
        }
        responder::WaitOutcome::Event(Err(
            connections::SendError::Paused | connections::SendError::Limited,
        )) => {
            tracing::info!(
                id = call.id(),
                server = target.id,
                "edge: prefill not sent to a paused or limited server"
            );
            return PrefillResult::Unsent(target.id);
        }
        responder::WaitOutcome::Event(Err(connections::SendError::Rejected)) => {
            let refusal = Refusal::not_run(Reason::CrashingPrompt, RETRY_SOON);
            return PrefillResult::Failed(None, refusal);
        }
        responder::WaitOutcome::Event(Err(connections::SendError::ConnectionLost(err))) => {
            tracing::info!(
                id = call.id(),
                server = target.id,
                err,
                "edge: connection lost during prefill"
            );
            suspects::record_loss(call, &target, started).await;
            Err(Refusal::not_run(Reason::LostContact, RETRY_SOON))
        }
        responder::WaitOutcome::Event(Ok(response)) => read_response(call, &target, &response),
    };
    let outcome = result.as_ref().map_or_else(
        |refusal| refuse::failure_outcome(refusal.reason),
        |_| pool::ServerOutcome::Unknown,
    );
    call.record_outcome(&target.id, outcome);
    match result {
        Ok(prefilled) => {
            let took = clock::now() - started;
            let mut directory = call.edge.directory();
            let engines = &mut directory.service(&call.service).engines;
            engines.record_prompt_time(&target.id, prompt.tokens - kept, took, expected);
            drop(directory);
            tracing::info!(
                id = call.id(),
                server = target.id,
                handle = prefilled.handle,
                tokens = prefilled.tokens,
                kept,
                expected_ms = expected.as_millis() as u64,
                took_ms = took.as_millis() as u64,
                "edge: prefill completed"
            );
            let read = prompt.tokens.saturating_sub(kept);
            let mut directory = call.edge.directory();
            let beginnings = &mut directory.service(&call.service).beginnings;
            beginnings.record(&target.id, &call.head.beginnings, read, clock::now());
            drop(directory);
            call.account().update(|totals| totals.prefill_tokens += u64::from(prefilled.tokens));
            PrefillResult::Completed(KvCache {
                account: call.account(),
                edge: call.edge.clone(),
                server: target.id.clone(),
                target,
                handle: prefilled.handle,
                tokens: prefilled.tokens,
                completed_at: clock::now(),
                is_fetched: false,
            })
        }
        Err(refusal) => {
            tracing::info!(
                id = call.id(),
                server = target.id,
                reason = refusal.reason.name(),
                "edge: prefill failed"
            );
            PrefillResult::Failed(Some(target.id), refusal)
        }
    }
}

// Engine that reads a prompt.
struct Choice {
    target: directory::Target,
    // Time until it is expected to have read it.
    expected: time::Duration,
    // Tokens of the prompt that it is expected to keep.
    kept: u32,
}

fn choose(prompt: Prompt<'_>, tried: &[ids::ServerName]) -> Option<Choice> {
    let Prompt { call, zone, software, tokens } = prompt;
    let now = clock::now();
    quotas::refresh(&call.edge);
    let mut directory = call.edge.directory();
    let kept = directory.kept(&call.service, &call.head.beginnings, now);
    let kept = |id: &str| kept.get(id).copied().unwrap_or_default();
    let unregistered = directory.unregistered().clone();
    let service = directory.service(&call.service);
    let engines = &service.engines;
    let is_prefill = |id: &str| {
        engines.stage(id) == Some(fleet::Stage::Prefill)
            && !unregistered.contains(id)
            && software.is_none_or(|software| engines.software(id) == Some(software))
    };
    let candidates = service.pool.candidates(tried, is_prefill, now);
    let allowed = |id: &str| candidates.binary_search_by(|other| other.as_str().cmp(id)).is_ok();
    let (id, expected) = engines.pick_prefill(tokens, zone, allowed, kept, rand::random(), now)?;
    let kept = kept(&id).min(tokens);
    service.engines.record_prefill(&id, tokens - kept, now);
    call.edge.counters.kept_tokens.inc_by(u64::from(kept));
    call.edge.commitments_changed.notify_one();
    Some(Choice { target: directory.target(&id)?, expected, kept })
}

fn read_response(
    call: &call::Call,
    target: &directory::Target,
    response: &exchange::BufferedResponse,
) -> Result<engine::Prefilled, Refusal> {
    if response.asks_pause() {
        return Err(Refusal::not_run(Reason::NoRoom, RETRY_SOON));
    }
    match platform_response::classify(&response.head, call.head.attempt_id.as_ref()) {
        platform_response::HeadClass::OtherServer => {
            Err(Refusal::not_run(Reason::Leaving, RETRY_SOON))
        }
        platform_response::HeadClass::NotRun => Err(Refusal::not_run(Reason::NoRoom, RETRY_SOON)),
        platform_response::HeadClass::Invalid => {
            Err(Refusal::not_run(Reason::LostContact, RETRY_SOON))
        }
        platform_response::HeadClass::Valid
        | platform_response::HeadClass::Ambiguous
        | platform_response::HeadClass::Unsealed => {
            let body = response.body.as_ref().filter(|_| response.is_success());
            match body.map(|body| engine::read_prefilled(body)) {
                Some(Ok(prefilled)) => Ok(prefilled),
                Some(Err(err)) => {
                    tracing::info!(server = target.id, %err, "edge: invalid prefill response");
                    Err(Refusal::not_run(Reason::EngineFailed, RETRY_SOON))
                }
                None => Err(Refusal::not_run(Reason::EngineFailed, RETRY_SOON)),
            }
        }
    }
}
