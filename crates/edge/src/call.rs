//! State of a request during its processing.

use std::{net, sync, sync::atomic, time};

use bytes::Bytes;
use hyper::header;

use rhubarb_core::{cause, flow, ids, outcome, pool, routing, urgency};
use rhubarb_node::{clock, metrics, responder};
use rhubarb_platform::request;

use crate::{charge, edge, ledger, tables};

/// Request that has been read and routed.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) edge: sync::Arc<edge::Edge>,
    pub(crate) head: request::Head,
    pub(crate) body: Bytes,
    pub(crate) route: routing::Route,
    pub(crate) service: ids::ServiceName,
    /// Version of the config that it was routed with.
    pub(crate) version: ids::ListVersion,
    pub(crate) arrived: time::Instant,
    /// Urgency among the requests that compete with it.
    pub(crate) urgency: urgency::Urgency,
    /// Priority for engines; none if all requests to the service are equally urgent.
    pub(crate) priority: Option<u8>,
    /// Address from which the caller sent it.
    pub(crate) caller: Option<net::IpAddr>,
    /// Whether its timeout indicates the retry of a refused request, which can no longer meet its
    /// latency target.
    pub(crate) is_retry: bool,
    /// Whether it is sent to find out whether it still crashes servers.
    pub(crate) is_trial: bool,
    /// Result of [`Call::causes`], which reads the whole body.
    pub(crate) causes: sync::OnceLock<Vec<cause::Cause>>,
    /// What it counts for its customer's limit, if there is one.
    pub(crate) charge: Option<charge::Charge>,
    /// Deadline of the final answer, apart from a planned stop.
    pub(crate) deadline: time::Instant,
}

impl Call {
    /// Id of the caller's attempt, for logs.
    pub(crate) fn id(&self) -> &str {
        let id = self.head.attempt_id.as_ref().map(header::HeaderValue::to_str);
        id.and_then(Result::ok).unwrap_or("-")
    }

    /// Parts of the prompt, as possible causes of crashes.
    pub(crate) fn parts(&self) -> Vec<cause::Cause> {
        self.head.parts.iter().copied().map(cause::Cause::Part).collect()
    }

    /// What may crash servers that run it: the parts of its prompt, its content and, with its caller,
    /// the request itself.
    pub(crate) fn causes(&self) -> &[cause::Cause] {
        self.causes.get_or_init(|| {
            let content = self.head.content_tag(&self.body);
            let address = self.caller.map(|ip| ip.to_string()).unwrap_or_default();
            let caller: [&[u8]; 2] = match &self.head.customer {
                Some(customer) => [b"customer", customer.as_bytes()],
                None => [address.as_bytes(), &self.head.credentials],
            };
            let request = ids::request_tag(content, &caller);
            let whole = [cause::Cause::Content(content), cause::Cause::Request(request)];
            self.parts().into_iter().chain(whole).collect()
        })
    }

    /// Tags of the attempts by which callers may name its stream: the one that it takes up, and its own.
    pub(crate) fn stream_tags(&self) -> impl Iterator<Item = ids::AttemptTag> {
        let attempts = self.head.resumes.iter().chain(&self.head.attempt_id);
        attempts.map(|attempt| ids::attempt_tag(attempt.as_bytes()))
    }

    /// Time until which the answer must have begun, and no request is sent to a server afterwards: the
    /// deadline, or what a planned stop leaves.
    pub(crate) fn deadline(&self) -> time::Instant {
        self.edge.stopping().map_or(self.deadline, |stop| self.deadline.min(stop.answered_by()))
    }

    /// The same for an answer that has begun.
    pub(crate) fn stream_deadline(&self) -> time::Instant {
        self.edge.stopping().map_or(self.deadline, |stop| self.deadline.min(stop.drained_by()))
    }

    pub(crate) fn time_left(&self) -> time::Duration {
        self.deadline().saturating_duration_since(clock::now())
    }

    /// Waits for `event` until the caller disconnects, `deadline` passes, or a planned stop, which may
    /// begin meanwhile, leaves no more time.
    pub(crate) async fn wait<T>(
        &self,
        responder: &mut responder::Responder,
        event: impl Future<Output = T>,
        deadline: time::Instant,
    ) -> responder::WaitOutcome<T> {
        let has_started = responder.has_started();
        let stopped = async {
            let stop = self.edge.stopped().await;
            let end = if has_started { stop.drained_by() } else { stop.answered_by() };
            tokio::time::sleep_until(end.into()).await;
        };
        tokio::select! {
            biased;
            outcome = responder.wait(event, deadline) => outcome,
            () = stopped => responder::WaitOutcome::Expired,
        }
    }

    /// Limits on the attempts of the request, with at most `max_retries` after the first.
    pub(crate) fn retry_policy(&self, max_retries: u32) -> flow::RetryPolicy {
        let routing::Route { kind, attempts, .. } = self.route;
        flow::RetryPolicy { kind, max_runs: attempts, max_retries, deadline: self.deadline }
    }

    /// Usage account that counts the request.
    pub(crate) fn account(&self) -> ledger::Account {
        ledger::Account::new(&self.edge, &self.service, &self.route.name)
    }

    /// Time since the request arrived, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        (clock::now() - self.arrived).as_millis() as u64
    }

    /// Ages of the config and of the servers' rows in use.
    pub(crate) fn ages(&self) -> tables::Ages {
        self.edge.tables().ages(clock::now())
    }

    /// Records the outcome of a request to a server of the service.
    pub(crate) fn record_outcome(&self, server: &str, outcome: pool::ServerOutcome) {
        let mut directory = self.edge.directory();
        directory.service(&self.service).pool.record_outcome(server, outcome, clock::now());
    }

    /// Withdraws the `sends` requests of a retry, after a failure at `server`, from the budget.
    ///
    /// Returns whether the budget allows the retry, which is then counted.
    pub(crate) fn withdraw_retry(
        &self,
        server: Option<&ids::ServerName>,
        sends: u32,
        reason: outcome::Reason,
    ) -> bool {
        let mut directory = self.edge.directory();
        let balance = directory.retry_balance(&self.service, clock::now());
        let is_allowed = directory.withdraw_retry(&self.service, sends, clock::now());
        drop(directory);
        if is_allowed {
            self.edge
                .counters
                .requests
                .retried
                .get_or_create(&metrics::reason_labels(reason))
                .inc();
            self.account().update(|totals| totals.count_retry(reason));
        }
        tracing::info!(
            id = self.id(),
            server,
            reason = reason.name(),
            sends,
            spent = balance.spent,
            limit = balance.limit,
            is_allowed,
            "edge: retry requested"
        );
        is_allowed
    }
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub(crate) struct InFlight(sync::Arc<edge::Edge>);

impl InFlight {
    pub(crate) fn new(edge: &sync::Arc<edge::Edge>) -> InFlight {
        edge.open_requests.fetch_add(1, atomic::Ordering::Relaxed);
        InFlight(edge.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
