//! Drives the real decisions of entries and agents under load and faults, on a virtual clock.
//!
//! Engines are small stand-ins; messages take a fixed time and are lost only where a fault says
//! so. Every run with the same seed gives the same result.
//!
//! ```
//! use rhubarb_bench::{frame, policy, world};
//!
//! let mut run = frame::Run::new(frame::laine_sahel(), 0.5);
//! run.seconds = 5;
//! let first = world::simulate(&run, &policy::LATEST);
//! assert_eq!(first, world::simulate(&run, &policy::LATEST));
//! ```

mod engine;
mod event;
pub mod frame;
pub mod policy;
mod random;
mod request;
pub mod score;
mod server;
pub mod world;
