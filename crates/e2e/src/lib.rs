//! Starts complete deployments as separate processes on loopback, for the end-to-end tests.
//!
//! `stack` starts entries with agents in front of the servers; `caller` sends requests to them.
//! `site` starts entries on the users' platform, which has no agents; `edge` is one such entry, and
//! `call` sends requests to it; `subnet` has the addresses of a deployment.
//!
//! ```no_run
//! # async fn example() -> anyhow::Result<()> {
//! use rhubarb_e2e::stack;
//!
//! let stack = stack::Stack::start(stack::Plan::default()).await?;
//! let reply = stack.caller(0).complete("grade lot 7", 8).await?;
//! assert_eq!(reply.status, 200);
//! # Ok(())
//! # }
//! ```

pub mod call;
pub mod caller;
pub mod edge;
pub mod process;
pub mod relay;
pub mod site;
pub mod stack;
pub mod subnet;
pub mod takeups;
