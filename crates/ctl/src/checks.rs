//! Offline checks of a service list.

use rhubarb_core::{list, parse};

/// Parses and checks `text`; messages name it `file`.
///
/// # Errors
/// Returns one line per mistake, with its file, line and remedy.
pub fn check_text(file: &str, text: &str) -> Result<list::ServiceList, String> {
    parse::parse_list(text).map_err(|mistakes| {
        let lines: Vec<_> = mistakes.iter().map(|mistake| format!("{file}: {mistake}")).collect();
        lines.join("\n")
    })
}
