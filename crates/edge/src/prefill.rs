//! Reads one prompt at a prefill engine.

use std::{sync, time};

use hyper::Request;

use rhubarb_core::{fleet, ids, outcome, pool};
use rhubarb_node::{clock, metrics, reply};
use rhubarb_platform::{answer as forms, engine, request};

use outcome::{Reason, Refusal};

use crate::{call, directory, edge, plain};

/// The KV cache of a prompt at the engine that read it; freed when dropped before it is taken.
#[derive(Debug)]
pub(crate) struct Cache {
    edge: sync::Arc<edge::Edge>,
    pub(crate) server: ids::ServerName,
    target: directory::Target,
    handle: String,
    tokens: u32,
    is_taken: bool,
}

impl Cache {
    /// Where a decode engine fetches it.
    pub(crate) fn source(&self) -> String {
        engine::source(self.target.address, &self.handle)
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
        let reason = metrics::labels(Reason::Withdrawn);
        self.edge.counters.wasted.get_or_create(&reason).inc_by(u64::from(self.tokens));
        let (edge, address) = (self.edge.clone(), self.target.address);
        let request = engine::free_handle(&self.handle);
        tokio::spawn(async move { free(&edge, address, request).await });
    }
}

async fn free(
    edge: &edge::Edge,
    address: std::net::SocketAddr,
    request: Request<http_body_util::Full<bytes::Bytes>>,
) {
    let freeing = async {
        let answered = edge.links.send(address, request).await?;
        Ok::<_, crate::links::SendError>(plain::read_whole(&edge.links, answered).await)
    };
    match tokio::time::timeout(FREE_LIMIT, freeing).await {
        Ok(Ok(_)) => {}
        Ok(Err(err)) => tracing::info!(%address, %err, "edge: a KV cache was not freed"),
        Err(_) => tracing::info!(%address, "edge: a KV cache was not freed in time"),
    }
}

/// What became of a prefill.
#[derive(Debug)]
pub(crate) enum Read {
    /// The prompt has been read.
    Done(Cache),
    /// It has not; the server is not to be tried again.
    Failed(Option<ids::ServerName>, Refusal),
    /// The caller closed its connection.
    Gone,
}

/// Unused results lapse by themselves soon after.
const FREE_LIMIT: time::Duration = time::Duration::from_secs(1);
/// Time beyond the expected one before a prefill engine counts as silent: other entries' prompts
/// may stand before ours.
const SLACK: time::Duration = time::Duration::from_millis(700);
const RETRY_SOON: time::Duration = time::Duration::from_secs(1);

/// Has the prompt read, near `zone` if that is as fast.
pub(crate) async fn read(
    call: &call::Call,
    reply: &mut reply::Reply,
    zone: &str,
    tokens: u32,
    tried: &[ids::ServerName],
) -> Read {
    let chosen = choose(call, zone, tokens, tried);
    let Some((target, expected)) = chosen else {
        return Read::Failed(None, Refusal::not_run(Reason::NoServer, RETRY_SOON));
    };
    let deadline = call.deadline.min(clock::now() + expected * 2 + SLACK);
    let send = request::Send {
        expect: &target.id,
        left: deadline.saturating_duration_since(clock::now()),
        ..request::Send::default()
    };
    let request = call.head.to_prefill(&send, call.body.clone());
    let started = clock::now();
    let reading = async {
        let answered = call.edge.links.send(target.address, request).await?;
        Ok::<_, crate::links::SendError>(plain::read_whole(&call.edge.links, answered).await)
    };
    let waited = reply.wait(reading, deadline).await;
    let result = match waited {
        reply::Waited::Gone => return Read::Gone,
        reply::Waited::Expired => Err(Refusal::not_run(Reason::EngineSilent, RETRY_SOON)),
        reply::Waited::Event(Err(err)) => {
            tracing::info!(id = call.id(), server = target.id, %err, "edge: prefill not sent");
            Err(Refusal::not_run(Reason::NoServer, RETRY_SOON))
        }
        reply::Waited::Event(Ok(read)) => take(call, &target, &read),
    };
    let end =
        result.as_ref().map_or_else(|refusal| pool::End::Bad(refusal.reason), |_| pool::End::Open);
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
            Read::Done(Cache {
                edge: call.edge.clone(),
                server: target.id.clone(),
                target,
                handle: prefilled.handle,
                tokens: prefilled.tokens,
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
    call: &call::Call,
    zone: &str,
    tokens: u32,
    tried: &[ids::ServerName],
) -> Option<(directory::Target, time::Duration)> {
    let now = clock::now();
    let mut directory = call.edge.directory();
    let service = directory.service(&call.service);
    let engines = &service.engines;
    let is_prefill = |id: &str| engines.stage(id) == Some(fleet::Stage::Prefill);
    let sound = service.pool.candidates(tried, is_prefill, now);
    let allowed = |id: &str| sound.iter().any(|other| *other == id);
    let (id, expected) = engines.pick_prefill(tokens, zone, allowed, now)?;
    service.engines.prefill_sent(&id, tokens, now);
    Some((directory.target(&id)?, expected))
}

fn take(
    call: &call::Call,
    target: &directory::Target,
    read: &plain::Read,
) -> Result<engine::Prefilled, Refusal> {
    let proof = forms::judge(&read.head, call.head.attempt.as_ref());
    match proof {
        forms::Proof::OtherServer => Err(Refusal::not_run(Reason::Leaving, RETRY_SOON)),
        forms::Proof::NotRun => Err(Refusal::not_run(Reason::NoRoom, RETRY_SOON)),
        forms::Proof::Genuine | forms::Proof::Foreign => {
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
pub(crate) fn note_end(call: &call::Call, server: &str, end: pool::End) {
    call.edge.directory().service(&call.service).pool.judge(server, end, clock::now());
}
