//! Metrics registry and the metric families that several processes share.

use std::{fmt, sync};

use hyper::{Response, StatusCode};
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::{counter, family, gauge, histogram};
use prometheus_client::registry;

use rhubarb_core::outcome;

use crate::{locks, response};

/// Metrics port of an entry on the users' platform; the deploy file names the same port.
pub const PLATFORM_PORT: u16 = 9464;

/// Label set of a counter by reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabels {
    /// Name of the reason.
    pub reason: String,
}

/// Counter with one series per reason.
pub type ReasonFamily = family::Family<ReasonLabels, counter::Counter>;

/// Request counters of an entry.
#[derive(Debug)]
pub struct RequestMetrics {
    /// Requests received.
    pub received: counter::Counter,
    /// Requests that a server answered completely.
    pub answered: counter::Counter,
    /// Requests refused or failed.
    pub refused: ReasonFamily,
    /// Retried attempts.
    pub retried: ReasonFamily,
    /// Prompt tokens of wasted prefills.
    pub wasted: ReasonFamily,
}

/// Upper bounds of the buckets of latency histograms, in seconds.
const SECONDS_BUCKETS: [f64; 10] = [0.025, 0.05, 0.1, 0.15, 0.3, 0.5, 0.9, 2.0, 5.0, 15.0];

/// Metrics registry of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: sync::Mutex<registry::Registry>,
}

impl Metrics {
    /// Creates a registry whose metric names start with `prefix`.
    pub fn new(prefix: &str) -> Metrics {
        let registry = registry::Registry::with_prefix(prefix.to_string());
        Metrics { registry: sync::Mutex::new(registry) }
    }

    /// Registers the request counters of an entry.
    pub fn requests(&self) -> RequestMetrics {
        RequestMetrics {
            received: self.counter("requests", "Requests received"),
            answered: self.counter("answered", "Requests answered whole by a server"),
            refused: self.reason_counter("refused", "Requests refused or failed, by reason"),
            retried: self.reason_counter("retried", "Attempts repeated, by reason"),
            wasted: self
                .reason_counter("wasted_tokens", "Prompt tokens prefilled in vain, by reason"),
        }
    }

    /// Registers a counter by reason; every reason is exported from the start.
    pub fn reason_counter(&self, name: &str, help: &str) -> ReasonFamily {
        let family = ReasonFamily::default();
        for reason in outcome::REASONS {
            let _ = family.get_or_create(&reason_labels(reason));
        }
        self.lock().register(name, help, family.clone());
        family
    }

    /// Registers a counter.
    pub fn counter(&self, name: &str, help: &str) -> counter::Counter {
        let counter = counter::Counter::default();
        self.lock().register(name, help, counter.clone());
        counter
    }

    /// Registers a counter with one series per label set.
    pub fn family<L>(&self, name: &str, help: &str) -> family::Family<L, counter::Counter>
    where
        L: EncodeLabelSet + Clone + Eq + std::hash::Hash + fmt::Debug + Send + Sync + 'static,
    {
        let family = family::Family::default();
        self.lock().register(name, help, family.clone());
        family
    }

    /// Registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> gauge::Gauge {
        let gauge = gauge::Gauge::default();
        self.lock().register(name, help, gauge.clone());
        gauge
    }

    /// Registers a histogram of durations in seconds.
    pub fn seconds_histogram(&self, name: &str, help: &str) -> histogram::Histogram {
        let histogram = histogram::Histogram::new(SECONDS_BUCKETS);
        self.lock().register(name, help, histogram.clone());
        histogram
    }

    /// Returns the response to `GET /metrics`.
    pub fn response(&self) -> Response<response::Body> {
        let mut content = String::new();
        match text::encode(&mut content, &self.lock()) {
            Ok(()) => response::text(StatusCode::OK, content),
            Err(err) => response::text(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, registry::Registry> {
        locks::lock(&self.registry)
    }
}

/// Returns the label set for `reason`.
pub fn reason_labels(reason: outcome::Reason) -> ReasonLabels {
    ReasonLabels { reason: reason.name().to_string() }
}
