//! Stage of a fake engine, which orders change.

use std::time;

use bytes::Bytes;
use hyper::StatusCode;
use serde_json::json;

/// Stage and accepted orders.
#[derive(Debug, Default)]
pub(crate) struct Stage {
    /// Name of the stage; empty at a plain server.
    pub(crate) name: String,
    /// Number of accepted orders since the start.
    pub(crate) orders: u64,
    /// When orders were received, and their fencing numbers, restarts included.
    pub(crate) received: Vec<(time::Instant, u64)>,
    /// Time that a report takes.
    pub(crate) report_time: time::Duration,
    // Highest fencing number of an accepted order.
    fence: u64,
}

impl Stage {
    /// Executes an order and returns the status of its answer.
    pub(crate) fn order(&mut self, content: &Bytes) -> StatusCode {
        let order: serde_json::Value = serde_json::from_slice(content).unwrap_or_default();
        let fence = order["fence"].as_u64().unwrap_or(0);
        self.received.push((time::Instant::now(), fence));
        if fence < self.fence {
            return StatusCode::PRECONDITION_FAILED;
        }
        if order["expected"].as_u64().is_some_and(|expected| expected != self.orders) {
            return StatusCode::CONFLICT;
        }
        self.fence = fence;
        self.orders += 1;
        self.name = order["stage"].as_str().unwrap_or_default().to_string();
        StatusCode::ACCEPTED
    }

    /// Body of a report while `running` requests are executed.
    pub(crate) fn report(&self, running: u64) -> serde_json::Value {
        json!({
            "stage": self.name, "models": [], "busy": false, "sequence": self.orders,
            "waiting": 0, "running": running, "kv_used": 0, "kv_total": 0, "handles": 0,
        })
    }

    /// Forgets all orders, as a restart does.
    pub(crate) fn restart(&mut self) {
        self.orders = 0;
        self.fence = 0;
    }
}
