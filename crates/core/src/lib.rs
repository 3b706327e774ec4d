//! Decision logic of rhubarbloom: routing, admission, retries and at-most-once execution.
//!
//! Nothing here does I/O or reads a clock. Callers pass `now` and act on the returned decision, so
//! that binaries, tests and benchmarks run the same code.
//!
//! ```
//! use rhubarb_core::parse;
//!
//! let text = "[service board]\nkind = plain\nservers = board-1\n";
//! let list = parse::parse_list(text).expect("the list has no mistakes");
//! assert_eq!(list.services["board"].servers(), ["board-1"]);
//! ```

pub mod abandoned;
pub mod account;
pub mod agreement;
pub mod allowance;
pub mod answered;
pub mod backoff;
pub mod beginnings;
pub mod budget;
pub mod cause;
pub mod cell_voices;
pub mod cells;
pub mod change;
pub mod customers;
pub mod demand;
pub mod departures;
pub mod engine;
pub mod engines;
pub mod event_order;
pub mod exchanges;
pub mod fair_share;
pub mod fleet;
pub mod flow;
pub mod freshness;
pub mod gate;
pub mod handover;
pub mod history;
pub mod identity;
pub mod ids;
pub mod key_history;
pub mod lease;
pub mod limit;
pub mod list;
pub mod load;
pub mod log_limit;
pub mod members;
pub mod misdirected;
pub mod origins;
pub mod outcome;
pub mod outlier;
pub mod owner;
pub mod pace;
pub mod parse;
pub mod parts;
pub mod pauses;
pub mod pool;
pub mod prefill_time;
pub mod questions;
pub mod queue_limit;
pub mod quotas;
pub mod reassembly;
pub mod recent;
pub mod releases;
pub mod reports;
pub mod retry;
pub mod retry_detector;
pub mod revision;
pub mod revisions;
pub mod route;
pub mod routes;
pub mod routing;
pub mod row_stamps;
pub mod section;
pub mod server;
pub mod slots;
pub mod speeds;
pub mod sse;
pub mod stages;
pub mod stale_rows;
pub mod stalls;
pub mod stamp;
pub mod stopping;
pub mod stream_records;
pub mod subset;
pub mod suspects;
pub mod suspension;
pub mod terms;
pub mod urgency;
pub mod usage;
pub mod uses;
pub mod voices;
