//! Entry of rhubarbloom on the users' platform.
//!
//! Callers' requests come in, are placed by the decisions of `rhubarb_core`, and go straight to
//! the backend servers. What is known of routes and servers comes from the platform's store and
//! from the other entries.
//!
//! ```
//! use rhubarb_platform::settings;
//!
//! assert!(settings::parse("").is_err());
//! ```

mod ahead;
mod boot;
mod call;
mod cleanup;
mod connections;
mod dates;
mod directory;
mod duty;
mod edge;
mod exchange;
mod ingress;
mod ledger;
mod metrics;
mod orders;
mod peers;
mod plain;
mod prefill;
mod reader;
mod refuse;
mod reload;
mod reservation;
mod rows;
mod run;
mod stream;
mod watch;

pub use run::run;
