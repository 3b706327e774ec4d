//! Metrics of the entry.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::{counter, family, gauge, histogram};

use rhubarb_node::metrics;

/// Label set of a counter by the source of an entry's knowledge.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SourceLabels {
    /// Name of the source.
    pub(crate) source: String,
}

/// Counter with one series per source.
pub(crate) type SourceFamily = family::Family<SourceLabels, counter::Counter>;

/// Label set of a counter by the rank of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RankLabels {
    /// Rank; 0 is the most urgent.
    pub(crate) rank: u8,
}

/// Counter with one series per rank.
pub(crate) type RankFamily = family::Family<RankLabels, counter::Counter>;

/// Label set of a counter by the status of a server's response.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct StatusLabels {
    /// Status.
    pub(crate) status: u16,
}

/// Counter with one series per status.
pub(crate) type StatusFamily = family::Family<StatusLabels, counter::Counter>;

/// Label set of a counter by the order of a registration and the one known before.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OrderLabels {
    /// Name of the order.
    pub(crate) order: String,
}

/// Counter with one series per order.
pub(crate) type OrderFamily = family::Family<OrderLabels, counter::Counter>;

/// Registry and the metrics in it.
#[derive(Debug)]
pub(crate) struct Counters {
    pub(crate) registry: metrics::Metrics,
    pub(crate) requests: metrics::RequestMetrics,
    pub(crate) config_version: gauge::Gauge,
    pub(crate) peers: gauge::Gauge,
    pub(crate) shares_sent: counter::Counter,
    pub(crate) bytes_sent: counter::Counter,
    pub(crate) engine_full: counter::Counter,
    pub(crate) kept_tokens: counter::Counter,
    pub(crate) stray_responses: counter::Counter,
    pub(crate) histories_written: counter::Counter,
    pub(crate) stream_records: counter::Counter,
    pub(crate) unrecorded_streams: counter::Counter,
    pub(crate) record_waits: histogram::Histogram,
    pub(crate) uses_written: counter::Counter,
    pub(crate) refused_ranks: RankFamily,
    pub(crate) withheld_statuses: StatusFamily,
    pub(crate) leaving: SourceFamily,
    pub(crate) earlier_rows: OrderFamily,
    pub(crate) pauses: counter::Counter,
    pub(crate) withheld: counter::Counter,
    pub(crate) limits: counter::Counter,
    pub(crate) misdirected: counter::Counter,
    pub(crate) crashes: counter::Counter,
    pub(crate) rejected_causes: gauge::Gauge,
    pub(crate) dropped_lines: gauge::Gauge,
    pub(crate) callers: gauge::Gauge,
    pub(crate) callers_closed: gauge::Gauge,
    pub(crate) plain_time: histogram::Histogram,
    pub(crate) first_event: histogram::Histogram,
    pub(crate) config_age: histogram::Histogram,
    pub(crate) servers_age: histogram::Histogram,
    pub(crate) timer_delay: histogram::Histogram,
    pub(crate) knowledge_waits: histogram::Histogram,
    pub(crate) config_read: histogram::Histogram,
    pub(crate) process_questions: histogram::Histogram,
    pub(crate) config_apply: histogram::Histogram,
}

impl Counters {
    pub(crate) fn new() -> Counters {
        let registry = metrics::Metrics::new("rhubarb_edge");
        Counters {
            requests: registry.requests(),
            config_version: registry.gauge("config_version", "Version of the config in force"),
            peers: registry.gauge("peers", "Other entries that are heard"),
            shares_sent: registry.counter("shares_sent", "Datagrams sent to other entries"),
            bytes_sent: registry.counter("share_bytes_sent", "Bytes of these datagrams"),
            engine_full: registry
                .counter("engine_full", "Times that an engine had no memory to set aside"),
            kept_tokens: registry.counter(
                "kept_tokens",
                "Tokens of prompts that the engines which were to read them were expected to keep",
            ),
            histories_written: registry
                .counter("histories_written", "Rows of the versions of a service written"),
            stream_records: registry
                .counter("stream_records_written", "Rows of the versions of streams written"),
            unrecorded_streams: registry.counter(
                "unrecorded_streams",
                "Streams whose first events were sent before the store had their versions",
            ),
            record_waits: registry.seconds_histogram(
                "record_wait_seconds",
                "Time that first events waited for the store to have the versions of their streams",
            ),
            uses_written: registry
                .counter("uses_written", "Writes of the versions at which streams begin here"),
            stray_responses: registry
                .counter("stray_responses", "Answers of servers that belonged to another request"),
            refused_ranks: registry.family("refused_ranks", "Requests refused, by rank"),
            withheld_statuses: registry.family(
                "withheld_statuses",
                "Failures of servers not passed on, since they said that what may have run did not",
            ),
            leaving: registry
                .family("leaving_servers", "Servers found to be leaving, by how it was learned"),
            earlier_rows: registry.family(
                "earlier_rows",
                "Rows of servers that were written before the ones known, by who wrote them",
            ),
            pauses: registry
                .counter("server_pauses", "Pauses that servers have asked for, and longer ones"),
            withheld: registry.counter(
                "withheld_requests",
                "Requests not sent because of a server's pause or limit",
            ),
            limits: registry
                .counter("server_limits", "Limits that servers have named, and changes of them"),
            misdirected: registry.counter(
                "misdirected_requests",
                "Requests of any kind that another server answered at the address of the one meant",
            ),
            crashes: registry.counter(
                "crash_losses",
                "Requests that a server's crash ended before their answers began",
            ),
            rejected_causes: registry.gauge(
                "rejected_causes",
                "Requests and parts of prompts that are rejected, since they crash servers",
            ),
            dropped_lines: registry.gauge("log_lines_dropped", "Log lines not written in time"),
            callers: registry.gauge("caller_connections", "Open connections of callers"),
            callers_closed: registry.gauge(
                "caller_connections_closed",
                "Idle connections of callers that were closed for others",
            ),
            plain_time: registry
                .seconds_histogram("plain_seconds", "Time to the answer of a plain call"),
            first_event: registry
                .seconds_histogram("first_event_seconds", "Time to a stream's first event"),
            config_age: registry.seconds_histogram(
                "config_age_seconds",
                "Time since all changes of the config were known, at each request",
            ),
            servers_age: registry.seconds_histogram(
                "servers_age_seconds",
                "Time since all changes of the servers were known, at each request",
            ),
            timer_delay: registry.seconds_histogram(
                "timer_delay_seconds",
                "Time by which a timer fires late, as each step of a request then waits",
            ),
            knowledge_waits: registry.seconds_histogram(
                "knowledge_wait_seconds",
                "Time for which decisions waited, since what the entry knew may have been outdated",
            ),
            process_questions: registry.seconds_histogram(
                "process_question_seconds",
                "Time to ask on a connection which process of an engine answers, before a stream",
            ),
            config_read: registry.seconds_histogram(
                "config_read_seconds",
                "Time to read a config from the bytes of its row",
            ),
            config_apply: registry.seconds_histogram(
                "config_apply_seconds",
                "Time to put a config that was read in force",
            ),
            registry,
        }
    }
}
