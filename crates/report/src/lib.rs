//! Merges usage records into a report of what each caller got from each service.
//!
//! ```
//! use rhubarb_core::usage;
//! use rhubarb_report::merge;
//!
//! let record = usage::Record { entry: "entry-1".into(), last: true, ..Default::default() };
//! let mut report = merge::Report::new(0, 1_000);
//! assert!(report.add(record.clone()));
//! assert!(!report.add(record), "a record counts once");
//! ```

pub mod dates;
pub mod merge;
pub mod render;
