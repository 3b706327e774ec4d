//! Formats a report as text, CSV or JSON.

use std::{collections, fmt::Write, time};

use serde_json::json;

use rhubarb_core::usage;

use crate::{dates, merge};

const COLUMNS: [&str; 14] = [
    "service",
    "caller",
    "answered",
    "good",
    "not_run",
    "unknown",
    "cancelled",
    "tokens",
    "useful",
    "prefill",
    "wasted",
    "first_p50_ms",
    "first_p95_ms",
    "between_p95_ms",
];

fn row_cells(service: &str, caller: &str, totals: &usage::Totals) -> [String; 14] {
    let outcome = |name: &str| totals.outcomes.get(name).copied().unwrap_or(0).to_string();
    let wasted: u64 = totals.wasted_tokens.values().sum();
    [
        service.to_string(),
        caller.to_string(),
        outcome("answered"),
        totals.good.to_string(),
        outcome("not-run"),
        outcome("unknown"),
        outcome("cancelled"),
        totals.output_tokens.to_string(),
        totals.useful_tokens.to_string(),
        totals.prefill_tokens.to_string(),
        wasted.to_string(),
        format_millis(totals.first.quantile(0.5)),
        format_millis(totals.first.quantile(0.95)),
        format_millis(totals.between.quantile(0.95)),
    ]
}

fn format_millis(time: Option<time::Duration>) -> String {
    time.map_or("-".to_string(), |time| format!("{:.1}", time.as_secs_f64() * 1000.0))
}

/// Formats a report as a table for people, followed by the counts of each reason and the
/// gaps.
pub fn text(report: &merge::Report, now_ms: u64) -> String {
    let mut rows: Vec<[String; 14]> = vec![COLUMNS.map(str::to_string)];
    rows.extend(report.rows().map(|(service, caller, totals)| row_cells(service, caller, totals)));
    let (from, to) = (dates::format_time(report.from_ms), dates::format_time(report.to_ms));
    let mut text = format!("usage from {from} to {to}, {} records\n", report.record_count());
    for row in &rows {
        for (column, cell) in row.iter().enumerate() {
            let width = rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
            let _ = write!(text, "{cell:<width$}  ");
        }
        text.truncate(text.trim_end().len());
        text.push('\n');
    }
    for (service, caller, totals) in report.rows() {
        write_reasons(&mut text, service, caller, "refused", &totals.refusals);
        write_reasons(&mut text, service, caller, "retried", &totals.retries);
        write_reasons(&mut text, service, caller, "wasted", &totals.wasted_tokens);
    }
    for gap in report.gaps(now_ms) {
        text.push_str(&gap_line(&gap));
    }
    text
}

fn write_reasons(
    text: &mut String,
    service: &str,
    caller: &str,
    label: &str,
    reasons: &collections::BTreeMap<String, u64>,
) {
    for (reason, count) in reasons {
        let _ = writeln!(text, "{label} {service} {caller} {reason} {count}");
    }
}

fn gap_line(gap: &merge::Gap) -> String {
    let end = gap.to_ms.map_or("an unknown time".to_string(), dates::format_time);
    let from = dates::format_time(gap.from_ms);
    let process = &gap.process;
    format!("gap {} {:016x} from {from} to {end}\n", process.entry, process.incarnation)
}

/// Formats a report as comma-separated values; gaps are comment lines at the end.
pub fn csv(report: &merge::Report, now_ms: u64) -> String {
    let mut text = COLUMNS.join(",");
    text.push('\n');
    for (service, caller, totals) in report.rows() {
        text.push_str(&row_cells(service, caller, totals).join(","));
        text.push('\n');
    }
    for gap in report.gaps(now_ms) {
        let _ = write!(text, "# {}", gap_line(&gap));
    }
    text
}

/// Formats a report as JSON.
pub fn json(report: &merge::Report, now_ms: u64) -> serde_json::Value {
    let rows: Vec<_> = report
        .rows()
        .map(|(service, caller, totals)| {
            json!({
                "service": service,
                "caller": caller,
                "totals": totals,
                "first_p50_ms": format_millis(totals.first.quantile(0.5)),
                "first_p95_ms": format_millis(totals.first.quantile(0.95)),
                "between_p95_ms": format_millis(totals.between.quantile(0.95)),
            })
        })
        .collect();
    let gaps: Vec<_> = report
        .gaps(now_ms)
        .iter()
        .map(|gap| {
            json!({
                "entry": gap.process.entry,
                "incarnation": format!("{:016x}", gap.process.incarnation),
                "from_ms": gap.from_ms,
                "to_ms": gap.to_ms,
            })
        })
        .collect();
    json!({
        "from_ms": report.from_ms,
        "to_ms": report.to_ms,
        "records": report.record_count(),
        "rows": rows,
        "gaps": gaps,
    })
}
