//! Code shared by all processes of rhubarbloom: settings, logs, metrics, HTTP and platform clients.
//!
//! ```
//! use rhubarb_node::settings;
//!
//! let text = "[log]\nformat = json\nlevel = info\n";
//! let mut file = settings::Settings::parse("entry.ini", text).unwrap();
//! let mut log = file.section("log");
//! assert_eq!(log.text("format").as_deref(), Some("json"));
//! assert_eq!(log.text("level").as_deref(), Some("info"));
//! file.close(log);
//! file.finish().unwrap();
//! ```

mod activity;
pub mod client;
pub mod clock;
pub mod command;
pub mod connections;
pub mod hop;
pub mod instances;
pub mod locks;
pub mod logs;
pub mod metrics;
pub mod objects;
pub mod platform;
pub mod responder;
pub mod response;
pub mod server;
pub mod service_list;
pub mod settings;
pub mod shared_settings;
pub mod signals;
pub mod table;
