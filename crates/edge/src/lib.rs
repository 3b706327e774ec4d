//! Entry of rhubarbloom on the users' platform.
//!
//! It accepts the requests of callers, chooses servers with the policies of `rhubarb_core` and
//! forwards the requests directly to these backend servers. Routes and servers are read from the
//! platform's store or copied from other entries.
//!
//! ```
//! use rhubarb_platform::settings;
//!
//! assert!(settings::parse("").is_err());
//! ```

mod answers;
mod boot;
mod buffer;
mod call;
mod capacity;
mod charge;
mod cleanup;
mod connection;
mod connections;
mod dates;
mod directory;
mod discovery;
mod doubts;
mod edge;
mod eras;
mod exchange;
mod histories;
mod ingress;
mod lag;
mod leader;
mod ledger;
mod limits;
mod metrics;
mod misdirected;
mod orders;
mod origins;
mod pauses;
mod peers;
mod places;
mod plain;
mod prefill;
mod process_names;
mod processes;
mod quotas;
mod reader;
mod records;
mod refuse;
mod rejected;
mod reload;
mod reservation;
mod rows;
mod run;
mod snapshots;
mod socket;
mod stream;
mod stream_records;
mod suspects;
mod tables;
mod trials;
mod uses;
mod uses_table;
mod verdicts;
mod watch;

pub use run::run;
