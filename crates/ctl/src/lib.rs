//! Operator command: checks, applies and shows the service list, shows the status of a deployment,
//! and drains instances.
//!
//! ```
//! use rhubarb_ctl::checks;
//!
//! let mistakes = checks::check_text("list.ini", "[service board]\nkind = plain\n").unwrap_err();
//! assert_eq!(mistakes.lines().count(), 1);
//! assert!(mistakes.starts_with("list.ini: line 1: "));
//! ```

pub mod checks;
pub mod commands;
pub mod settings;
pub mod store_commands;
