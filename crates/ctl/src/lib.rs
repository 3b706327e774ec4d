//! Operator command: checks, applies and shows the service list, and drains instances.
//!
//! ```
//! use rhubarb_ctl::checks;
//!
//! let found = checks::check_text("list.ini", "[service board]\nkind = plain\n").unwrap_err();
//! assert_eq!(found.lines().count(), 1);
//! assert!(found.starts_with("list.ini: line 1: "));
//! ```

pub mod checks;
pub mod commands;
pub mod settings;
pub mod store_commands;
