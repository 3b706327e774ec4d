//! Reads one prompt at a prefill engine.

use std::{sync, time};

use rhubarb_core::{fleet, ids, outcome, pool};
use rhubarb_node::{clock, metrics, responder};
use rhubarb_platform::{engine, request, response as forms};

use outcome::{RETRY_SOON, Reason, Refusal};

use crate::{call, cleanup, connections, directory, edge, exchange, ledger};

/// The KV cache of a prompt at the engine that read it; freed when dropped before it is taken.
#[derive(Debug)]
pub(crate) struct Cache {
    edge: sync::Arc<edge::Edge>,
    pub(crate) server: ids::ServerName,
    target: directory::Target,
    handle: String,
    tokens: u32,
    account: ledger::Account,
    read_at: time::Instant,
    is_taken: bool,
}

impl Cache {
    /// Where a decode engine fetches it.
    pub(crate) fn source(&self) -> String {
        engine::kv_source(self.target.address, &self.handle)
    }

    /// Until when a decode engine can still be sought for it.
    pub(crate) fn use_by(&self, call: &call::Call) -> time::Instant {
        let config = self.edge.directory().config();
        let service = config.as_ref().and_then(|config| config.services.get(&call.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        let life = engine.map_or(time::Duration::ZERO, |engine| engine.handle_ttl);
        self.read_at + life.mul_f64(USABLE_LIFE)
    }

    /// Notes that a decode engine has it.
    pub(crate) fn set_taken(&mut self) {
        self.is_taken = true;
    }
}

impl Drop for Cache {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let reason = metrics::reason_labels(Reason::Withdrawn);
        self.edge.counters.requests.wasted.get_or_create(&reason).inc_by(u64::from(self.tokens));
        self.account.add(|totals| totals.count_waste(Reason::Withdrawn, u64::from(self.tokens)));
        let (edge, address) = (self.edge.clone(), self.target.address);
        let request = engine::free_handle(&self.handle);
        tokio::spawn(async move { cleanup::send(&edge, address, request).await });
    }
}

/// What became of a prefill.
#[derive(Debug)]
pub(crate) enum Read {
    /// The prompt has been read.
    Done(Cache),
    /// It has not; the server is not to be tried again.
    Failed(Option<ids::ServerName>, Refusal),
    /// It could not be sent to the server.
    Unsent(ids::ServerName),
    /// The caller closed its connection.
    Gone,
}

/// Part of a result's life in which it is offered: the rest is for the way to the engine.
const USABLE_LIFE: f64 = 0.6;
/// Time beyond the expected one before a prefill engine counts as silent: other entries' prompts
/// may stand before ours.
const SLACK: time::Duration = time::Duration::from_millis(700);
/// Servers that may turn out to be out of reach before a prompt is given up.
const MAX_UNSENT: usize = 4;

/// A prompt that is to be read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prompt<'a> {
    pub(crate) call: &'a call::Call,
    /// Zone of the engine that decodes; one there is taken if that is as fast.
    pub(crate) zone: &'a str,
    pub(crate) tokens: u32,
}

/// Has the prompt read at a server that has not been `tried`.
pub(crate) async fn read(
    prompt: Prompt<'_>,
    reply: &mut responder::Responder,
    tried: &[ids::ServerName],
) -> Read {
    let mut tried = tried.to_vec();
    for _ in 0..MAX_UNSENT {
        match read_once(prompt, reply, &tried).await {
            Read::Unsent(server) => tried.push(server),
            read => return read,
        }
    }
    Read::Failed(None, Refusal::not_run(Reason::NoServer, RETRY_SOON))
}

async fn read_once(
    prompt: Prompt<'_>,
    reply: &mut responder::Responder,
    tried: &[ids::ServerName],
) -> Read {
    let call = prompt.call;
    let chosen = choose(prompt, tried);
    let Some((target, expected)) = chosen else {
        return Read::Failed(None, Refusal::not_run(Reason::NoServer, RETRY_SOON));
    };
    let deadline = call.deadline.min(clock::now() + expected * 2 + SLACK);
    let send = request::ServerHeaders {
        server: &target.id,
        time_left: deadline.saturating_duration_since(clock::now()),
        ..request::ServerHeaders::default()
    };
    let request = call.head.to_prefill(&send, call.body.clone());
    let started = clock::now();
    let reading = exchange::fetch(&call.edge.links, target.address, request);
    let waited = reply.wait(reading, deadline).await;
    let result = match waited {
        responder::WaitOutcome::Disconnected => return Read::Gone,
        responder::WaitOutcome::Expired => Err(Refusal::not_run(Reason::EngineSilent, RETRY_SOON)),
        responder::WaitOutcome::Event(Err(connections::SendError::Unsent(err))) => {
            tracing::info!(id = call.id(), server = target.id, err, "edge: prefill not sent");
            note_end(call, &target.id, pool::ServerOutcome::Failure(Reason::NoServer));
            return Read::Unsent(target.id);
        }
        responder::WaitOutcome::Event(Err(connections::SendError::ConnectionLost(err))) => {
            tracing::info!(id = call.id(), server = target.id, err, "edge: prefill broke off");
            Err(Refusal::not_run(Reason::LostContact, RETRY_SOON))
        }
        responder::WaitOutcome::Event(Ok(read)) => take(call, &target, &read),
    };
    let end = result.as_ref().map_or_else(
        |refusal| directory::bad_end(refusal.reason),
        |_| pool::ServerOutcome::Unknown,
    );
    note_end(call, &target.id, end);
    match result {
        Ok(prefilled) => {
            tracing::info!(
                id = call.id(),
                server = target.id,
                tokens = prefilled.tokens,
                expected_ms = expected.as_millis() as u64,
                took_ms = (clock::now() - started).as_millis() as u64,
                "edge: prompt read"
            );
            call.account().add(|totals| totals.prefill_tokens += u64::from(prefilled.tokens));
            Read::Done(Cache {
                account: call.account(),
                edge: call.edge.clone(),
                server: target.id.clone(),
                target,
                handle: prefilled.handle,
                tokens: prefilled.tokens,
                read_at: clock::now(),
                is_taken: false,
            })
        }
        Err(refusal) => {
            tracing::info!(
                id = call.id(),
                server = target.id,
                reason = refusal.reason.name(),
                "edge: prompt not read"
            );
            Read::Failed(Some(target.id), refusal)
        }
    }
}

fn choose(
    prompt: Prompt<'_>,
    tried: &[ids::ServerName],
) -> Option<(directory::Target, time::Duration)> {
    let Prompt { call, zone, tokens } = prompt;
    let now = clock::now();
    let mut directory = call.edge.directory();
    let service = directory.service(&call.service);
    let engines = &service.engines;
    let is_prefill = |id: &str| engines.stage(id) == Some(fleet::Stage::Prefill);
    let sound = service.pool.candidates(tried, is_prefill, now);
    let allowed = |id: &str| sound.iter().any(|other| *other == id);
    let (id, expected) = engines.pick_prefill(tokens, zone, allowed, rand::random(), now)?;
    service.engines.record_prefill(&id, tokens, now);
    call.edge.given.notify_one();
    Some((directory.target(&id)?, expected))
}

fn take(
    call: &call::Call,
    target: &directory::Target,
    read: &exchange::BufferedResponse,
) -> Result<engine::Prefilled, Refusal> {
    let proof = forms::classify(&read.head, call.head.attempt.as_ref());
    match proof {
        forms::HeadClass::OtherServer => Err(Refusal::not_run(Reason::Leaving, RETRY_SOON)),
        forms::HeadClass::NotRun => Err(Refusal::not_run(Reason::NoRoom, RETRY_SOON)),
        forms::HeadClass::Valid | forms::HeadClass::Invalid => {
            let body = read.body.as_ref().filter(|_| read.is_success());
            let parsed = body.map(|body| engine::read_prefilled(body));
            match parsed {
                Some(Ok(prefilled)) => Ok(prefilled),
                Some(Err(err)) => {
                    tracing::info!(server = target.id, %err, "edge: prefill answer unreadable");
                    Err(Refusal::not_run(Reason::EngineFailed, RETRY_SOON))
                }
                None => Err(Refusal::not_run(Reason::EngineFailed, RETRY_SOON)),
            }
        }
    }
}

/// Notes what is known of a server of the call's service.
pub(crate) fn note_end(call: &call::Call, server: &str, end: pool::ServerOutcome) {
    call.edge.directory().service(&call.service).pool.record_outcome(server, end, clock::now());
}
