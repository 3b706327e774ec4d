//! Checks a service list without the platform.

use rhubarb_core::{list, parse};

/// Checks `text`; `file` is named in messages.
///
/// # Errors
/// Returns one line for each mistake.
pub fn check_text(file: &str, text: &str) -> Result<list::ServiceList, String> {
    parse::parse_list(text).map_err(|mistakes| {
        let lines: Vec<_> = mistakes.iter().map(|mistake| format!("{file}: {mistake}")).collect();
        lines.join("\n")
    })
}
