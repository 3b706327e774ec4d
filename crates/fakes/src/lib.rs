//! Fakes of the platform's services and of the backend servers, for tests and the demo.
//!
//! The fakes of a deployment run in one process and are addressed by path. `backend` and `store`
//! imitate the users' platform instead; a test serves them on addresses of their own. All state is
//! kept in memory and lost when the process ends.
//!
//! ```
//! use rhubarb_fakes::tokens;
//!
//! let answer = tokens::answer("grade lot 7", 8);
//! assert_eq!(answer, tokens::answer("grade lot 7", 8));
//! ```

pub mod arrivals;
pub mod backend;
pub mod caller;
pub mod copy;
pub mod crash;
pub mod engine;
mod fault;
pub mod handles;
pub mod instances;
pub mod objects;
pub mod pace;
pub mod pause;
pub mod plain;
pub mod raw;
pub mod routes;
pub mod store;
pub mod stutter;
pub mod switch;
pub mod table;
pub mod tokens;
mod transaction;

mod events;
mod replies;
mod running;
mod stage;
