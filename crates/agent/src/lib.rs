//! Agent beside one backend server; all requests to the server go through it.
//!
//! ```
//! use rhubarb_agent::settings;
//!
//! let text = "[agent]\nserver = yard-1\n";
//! let err = settings::parse("agent.ini", text).unwrap_err();
//! assert!(err.to_string().contains("add a line `zone = …`"));
//! ```

pub mod settings;

mod agent;
mod decode;
mod engine;
mod heartbeats;
mod http;
mod job;
mod jobs;
mod link;
mod lists;
mod model;
mod model_loader;
mod output;
mod plain;
mod prefill;
mod registration;
mod run;
mod sweep;

pub use run::run;
