//! Admission of requests: authentication, authorization and the limits of callers.

use std::{sync, sync::atomic, time};

use hyper::{HeaderMap, header};

use rhubarb_core::{fair_share, ids, limit, list, outcome};
use rhubarb_node::{clock, responder};

use crate::{entry, refuse};

use outcome::{Outcome, RETRY_SOON, Reason, Refusal};

/// Retry delay of a request rejected during shutdown.
const LEAVING_RETRY: time::Duration = time::Duration::from_millis(200);
const MAX_KEY_BYTES: usize = 255;

/// Header with the idempotency key; a request that carries one runs at most once.
const KEY_HEADER: &str = "idempotency-key";
/// Header with a deadline shorter than that of the service, in milliseconds from arrival.
const DEADLINE_HEADER: &str = "rhubarb-deadline-ms";

/// An admitted request.
///
/// Dropping the ticket counts the outcome and releases the request from the caller's limit.
#[derive(Debug)]
pub(crate) struct Ticket {
    pub(crate) entry: sync::Arc<entry::Entry>,
    pub(crate) service: sync::Arc<list::Service>,
    pub(crate) caller: ids::CallerName,
    pub(crate) key: Option<Key>,
    pub(crate) arrived: time::Instant,
    deadline: time::Instant,
    /// Whether the caller is above its fair share.
    pub(crate) excess: bool,
    result: (Outcome, Option<Reason>),
}

/// Idempotency key of a request.
#[derive(Clone, Debug)]
pub(crate) struct Key {
    pub(crate) text: String,
    pub(crate) hash: ids::KeyHash,
}

/// Authenticates the caller by the API key in the `authorization` header.
pub(crate) fn authenticate(
    entry: &entry::Entry,
    headers: &HeaderMap,
) -> Result<list::Caller, Refusal> {
    let view = entry.directory.view();
    if view.version() == 0 {
        return Err(Refusal::not_run(Reason::NoList, RETRY_SOON));
    }
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(Refusal::permanent(Reason::UnknownCaller))?;
    let caller = view.caller(&ids::key_digest(key.trim()));
    caller.cloned().ok_or(Refusal::permanent(Reason::UnknownCaller))
}

/// Admits a request of `caller` to `service`, or returns the refusal.
pub(crate) fn admit(
    entry: &sync::Arc<entry::Entry>,
    caller: &list::Caller,
    service: &str,
    headers: &HeaderMap,
) -> Result<Ticket, Refusal> {
    let found = entry.directory.view().list().services.get(service).cloned();
    let service = found.ok_or(Refusal::permanent(Reason::NoService))?;
    if !caller.may_use(&service.name) {
        return Err(Refusal::permanent(Reason::Forbidden));
    }
    let key = read_key(headers, &service.name, &caller.name)?;
    let keyed = key.is_some();
    if entry.rejects_requests() {
        return Err(refuse::local_refusal(Refusal::not_run(Reason::Leaving, LEAVING_RETRY), keyed));
    }
    let deadline = read_deadline(headers, service.deadline)?;
    let arrived = clock::now();
    admit_caller(entry, caller, arrived)
        .map_err(|refusal| refuse::local_refusal(refusal, keyed))?;
    entry.open.fetch_add(1, atomic::Ordering::Relaxed);
    entry.metrics.open.inc();
    let excess = {
        let mut view = entry.directory.view();
        view.budget(&service.name).deposit();
        view.fair_share(&service.name).admit(&caller.name, arrived) == fair_share::Share::Excess
    };
    Ok(Ticket {
        entry: entry.clone(),
        service,
        caller: caller.name.clone(),
        key,
        arrived,
        deadline: arrived + deadline,
        excess,
        // Remains if the task of the request panics.
        result: (Outcome::Unknown, Some(Reason::EngineFailed)),
    })
}

fn admit_caller(
    entry: &entry::Entry,
    caller: &list::Caller,
    now: time::Instant,
) -> Result<(), Refusal> {
    let entries = entry.directory.view().entry_count();
    let mut limits = entry.limits();
    let new_limiter = || limit::CallerLimiter::new(caller.rate, entries, now);
    let limiter = limits.entry(caller.name.clone()).or_insert_with(new_limiter);
    limiter.admit(caller.rate, caller.concurrent, entries, now)
}

fn read_key(headers: &HeaderMap, service: &str, caller: &str) -> Result<Option<Key>, Refusal> {
    let Some(value) = headers.get(KEY_HEADER) else { return Ok(None) };
    let invalid = Refusal::permanent(Reason::BadRequest);
    let text = value.to_str().map_err(|_| invalid)?.to_string();
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(invalid);
    }
    let hash = ids::key_hash(service, caller, &text);
    Ok(Some(Key { text, hash }))
}

fn read_deadline(headers: &HeaderMap, max: time::Duration) -> Result<time::Duration, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(max) };
    let millis = value.to_str().ok().and_then(|value| value.parse().ok());
    let millis = millis.ok_or(Refusal::permanent(Reason::BadRequest))?;
    Ok(max.min(time::Duration::from_millis(millis)))
}

impl Ticket {
    /// Sets the outcome to be counted when the ticket is dropped.
    pub(crate) fn set_outcome(&mut self, outcome: Outcome, reason: Option<Reason>) {
        self.result = (outcome, reason);
    }

    /// Time by which the answer must be complete: that of the request, or what a shutdown leaves.
    pub(crate) fn deadline(&self) -> time::Instant {
        self.entry.answered_by().map_or(self.deadline, |until| until.min(self.deadline))
    }

    /// Time left until the deadline.
    pub(crate) fn time_left(&self) -> time::Duration {
        self.deadline().saturating_duration_since(clock::now())
    }

    /// Waits for `event` until the caller disconnects, or the deadline passes, which a shutdown may
    /// bring forward meanwhile.
    pub(crate) async fn wait<T>(
        &self,
        responder: &mut responder::Responder,
        event: impl Future<Output = T>,
    ) -> responder::WaitOutcome<T> {
        tokio::select! {
            biased;
            outcome = responder.wait(event, self.deadline()) => outcome,
            () = self.entry.drained() => responder::WaitOutcome::Expired,
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let (outcome, reason) = self.result;
        if let Some(limiter) = self.entry.limits().get_mut(&self.caller) {
            limiter.release();
        }
        self.entry.open.fetch_sub(1, atomic::Ordering::Relaxed);
        self.entry.metrics.open.dec();
        match reason {
            Some(reason) => self.entry.count_refusal(reason),
            None => {
                self.entry.metrics.requests.answered.inc();
            }
        }
        let mut ledger = self.entry.ledger();
        ledger.totals(&self.service.name, &self.caller).count_outcome(outcome, reason);
    }
}
