//! HTTP entry of rhubarbloom: admission, limits, routing, retries and exactly one final response for
//! each request.
//!
//! ```
//! use rhubarb_entry::settings;
//!
//! let text = "[entry]\nname = entry-1\nlisten = nowhere\n";
//! let err = settings::parse("entry.ini", text).unwrap_err();
//! assert!(err.to_string().contains("`listen = nowhere` is not an IP number and port"));
//! ```

pub mod settings;

mod admit;
mod channel;
mod completion;
mod connection_manager;
mod connector;
mod directory;
mod entry;
mod heartbeats;
mod ingress;
mod ledger;
mod lifecycle;
mod lists;
mod openai;
mod peer;
mod peers;
mod plain;
mod refuse;
mod request_id;
mod response_writer;
mod run;
mod selection;
mod view;

pub use run::run;
