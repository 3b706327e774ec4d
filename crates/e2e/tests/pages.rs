//! The pages for operators and callers list exactly the names that the code defines.

use std::collections;

use rhubarb_core::{outcome, parse};
use rhubarb_e2e::stack;

const OPERATE: &str = include_str!("../../../docs/OPERATE.md");
const CALLERS: &str = include_str!("../../../docs/CALLERS.md");

type Names = collections::BTreeSet<String>;

/// Names in the first column of the table below `heading`.
fn documented(page: &str, heading: &str) -> Names {
    let section = page.split(heading).nth(1).unwrap_or_else(|| panic!("no {heading}"));
    let table = section.lines().skip_while(|line| !line.starts_with("| `"));
    let rows = table.take_while(|line| line.starts_with("| `"));
    rows.filter_map(|row| row.split('`').nth(1)).map(str::to_string).collect()
}

/// Valid fields of `section`, as the error about an unknown field lists them.
fn valid_fields(message: &str, section: &str) -> Names {
    let line = message.lines().find(|line| line.contains(&format!("[{section}] has an unknown")));
    let line = line.unwrap_or_else(|| panic!("{section} in {message}"));
    let fields = line.split("use one of: ").nth(1).unwrap_or_default();
    fields.split(", ").map(str::to_string).collect()
}

#[test]
fn settings_fields() {
    let text = "[entry]\nzzz = 1\n[agent]\nzzz = 1\n[platform]\nzzz = 1\n[log]\nzzz = 1\n";
    let entry = rhubarb_entry::settings::parse("x", text).unwrap_err().to_string();
    let agent = rhubarb_agent::settings::parse("x", text).unwrap_err().to_string();
    for (section, message) in
        [("entry", &entry), ("agent", &agent), ("platform", &entry), ("log", &agent)]
    {
        let documented = documented(OPERATE, &format!("### `[{section}]`"));
        assert_eq!(documented, valid_fields(message, section), "[{section}]");
    }
}

#[test]
fn list_fields() {
    let model = parse::parse_list("[service m]\nkind = model\nzzz = 1\n").unwrap_err();
    let plain = parse::parse_list("[service p]\nkind = plain\nzzz = 1\n").unwrap_err();
    let caller = parse::parse_list("[caller c]\nzzz = 1\n").unwrap_err();
    let join = |mistakes: Vec<rhubarb_core::section::Mistake>| {
        mistakes.iter().map(|mistake| format!("{mistake}\n")).collect::<String>()
    };
    let mut service = valid_fields(&join(model), "service m");
    service.extend(valid_fields(&join(plain), "service p"));
    assert_eq!(documented(OPERATE, "### `[service NAME]`"), service);
    assert_eq!(documented(OPERATE, "### `[caller NAME]`"), valid_fields(&join(caller), "caller c"));
}

#[test]
fn reasons_documented() {
    let known: Names = outcome::REASONS.iter().map(|reason| reason.name().to_string()).collect();
    assert_eq!(documented(CALLERS, "## Reasons"), known);
    for reason in outcome::REASONS {
        let row = format!("| `{}` |", reason.name());
        let row = CALLERS.lines().find(|line| line.starts_with(&row)).unwrap();
        assert!(row.contains(reason.remedy()), "{row}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_documented() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let mut known = Names::new();
    for address in [stack.entries[0].http, stack.agents["yard-1"].http] {
        let metrics = stack.metrics(address).await;
        let helps = metrics.lines().filter_map(|line| line.strip_prefix("# HELP "));
        known.extend(helps.filter_map(|help| help.split(' ').next()).map(str::to_string));
    }
    assert_eq!(documented(OPERATE, "## Metrics"), known);
}

#[test]
fn examples_valid() {
    let entry = include_str!("../../../examples/entry.ini");
    let agent = include_str!("../../../examples/agent.ini");
    rhubarb_entry::settings::parse("entry.ini", entry).unwrap();
    rhubarb_agent::settings::parse("agent.ini", agent).unwrap();
    parse::parse_list(include_str!("../../../examples/list.ini")).unwrap();
}
