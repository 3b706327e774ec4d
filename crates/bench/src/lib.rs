//! Simulates the decisions of entries and agents under load and faults, on a virtual clock.
//!
//! The decisions are those of the code in production; engines are simple models. Messages have a
//! fixed delay and are lost only under faults. The same scenario, policy and seed give the same
//! results.
//!
//! ```
//! use rhubarb_bench::{policy, scenario, simulation};
//!
//! let mut scenario = scenario::Scenario::new(scenario::laine_sahel(), 0.5);
//! scenario.seconds = 5;
//! let results = simulation::simulate(&scenario, &policy::LATEST);
//! assert_eq!(results, simulation::simulate(&scenario, &policy::LATEST));
//! ```

mod engine;
mod event;
pub mod policy;
mod random;
mod request;
pub mod results;
pub mod scenario;
mod server;
pub mod simulation;
