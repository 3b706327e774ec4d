//! Drives the real decisions of entries and agents under load and faults, on a virtual clock.
//!
//! Engines are small stand-ins; messages take a fixed time and are lost only where a fault says
//! so. Every run with the same seed gives the same result.
//!
//! ```
//! use rhubarb_bench::{policy, scenario, simulation};
//!
//! let mut scenario = scenario::Scenario::new(scenario::laine_sahel(), 0.5);
//! scenario.seconds = 5;
//! let first = simulation::simulate(&scenario, &policy::LATEST);
//! assert_eq!(first, simulation::simulate(&scenario, &policy::LATEST));
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
