//! What requests count for the limits of their customers.

use std::sync::atomic;

use hyper::header;

use rhubarb_core::{ids, outcome};
use rhubarb_node::clock;
use rhubarb_platform::request;

use outcome::{Reason, Refusal};

use crate::edge;

/// Units that a request has used of its customer's limit.
#[derive(Debug)]
pub(crate) struct Charge {
    customer: ids::CustomerTag,
    cost: f64,
    // Whether they are not given back any more.
    is_final: atomic::AtomicBool,
}

impl Charge {
    /// Takes what a request counts for; `None` if its customer has no limit.
    ///
    /// # Errors
    /// Returns a refusal if the customer is over its limit.
    pub(crate) fn take(edge: &edge::Edge, head: &request::Head) -> Result<Option<Charge>, Refusal> {
        let Some(name) = &head.customer else { return Ok(None) };
        let customer = ids::customer_tag(name);
        let verdict = edge.allowances().request(customer, head.tokens, clock::now());
        let Some(verdict) = verdict else { return Ok(None) };
        let Some(wait) = verdict.wait else {
            let is_final = atomic::AtomicBool::new(false);
            return Ok(Some(Charge { customer, cost: verdict.cost, is_final }));
        };
        let id = head.attempt_id.as_ref().map(header::HeaderValue::to_str);
        // The callers of one customer come back one after another.
        let retry = wait.mul_f64(1.0 + rand::random::<f64>());
        tracing::info!(
            id = id.and_then(Result::ok).unwrap_or("-"),
            customer = name,
            cost = verdict.cost,
            level = verdict.level,
            fraction = verdict.fraction,
            told = verdict.told,
            age_ms = verdict.age.map(|age| age.as_millis() as u64),
            retry_ms = retry.as_millis() as u64,
            "edge: customer over its limit"
        );
        Err(Refusal::not_run(Reason::OverRate, retry))
    }

    /// Records that the request may have reached a server.
    pub(crate) fn keep(&self) {
        self.is_final.store(true, atomic::Ordering::Relaxed);
    }

    /// Gives the units back, unless the request may have reached a server.
    pub(crate) fn refund(&self, edge: &edge::Edge) {
        if !self.is_final.swap(true, atomic::Ordering::Relaxed) {
            edge.allowances().refund(self.customer, self.cost, clock::now());
        }
    }
}
