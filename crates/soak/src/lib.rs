//! Soak test of entries on the users' platform: real processes, random faults, checked invariants.
//!
//! ```
//! use rhubarb_soak::plan;
//!
//! let plan = plan::Plan::draw(7, std::time::Duration::from_secs(8));
//! assert_eq!(plan.steps, plan::Plan::draw(7, plan.length).steps);
//! ```

pub mod check;
pub mod plan;
pub mod record;
pub mod soak;

mod arrival_checks;
mod callers;
mod injector;
mod invariant;
