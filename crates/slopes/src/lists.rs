//! Costs of the service list.

use rhubarb_core::{change, ids, revision};

use crate::meter;

/// Callers in the list.
const CALLERS: u32 = 14_000;
/// Servers in the list.
const SERVERS: u32 = 12_000;

pub(crate) fn measure(meter: &mut meter::Meter) {
    let (callers, servers) = (callers_text(), servers_text());
    meter.size("list text for a caller", callers.len() / CALLERS as usize);
    meter.size("list text for a server", servers.len() / SERVERS as usize);
    let board = "[service board]\nkind = plain\nservers = server-1\n\n";
    let many_callers = format!("{board}{callers}");
    meter.time("check a list of 14000 callers", 1, |_| {
        revision::next_content(None, &many_callers, 1).is_ok()
    });
    meter.time("check a list of 12000 servers", 1, |_| {
        revision::next_content(None, &servers, 1).is_ok()
    });
    measure_changes(meter);
    let row = full_row();
    meter.size("row of a list of 14000 callers and 12000 servers", row.len());
    meter.time("read that row", 1, |_| revision::read_row(1, &row).is_some());
}

fn measure_changes(meter: &mut meter::Meter) {
    let revision = revision::read_row(1, &full_row()).expect("the row is valid");
    let text = revision.text().replacen("rate = 100", "rate = 101", 1);
    let content = revision::next_content(Some(&revision), &text, 2).expect("no mistakes");
    let change = change::diff(&revision, &content).expect("no section moved");
    let bytes = serde_json::to_string(&change).expect("changes can be encoded").len();
    meter.size("change of one caller", bytes);
    let mut revision = revision;
    let mut version = 1;
    meter.time("take in a change of one caller", 50, |_| {
        version += 1;
        revision.apply(version, &change)
    });
}

pub(crate) fn measure_memory(meter: &mut meter::Meter) {
    let row = full_row();
    meter.memory("revision of 14000 callers and 12000 servers", 1, || revision::read_row(1, &row));
}

fn full_row() -> String {
    let text = format!("{}{}", servers_text(), callers_text());
    let content = revision::next_content(None, &text, 1).expect("the list has no mistakes");
    serde_json::to_string(&content).expect("contents can be encoded")
}

fn callers_text() -> String {
    let sections = (0..CALLERS).map(|number| {
        let digest = ids::key_digest(&number.to_string());
        format!("[caller caller-{number}]\nkeys = {digest}\nrate = 100\nconcurrent = 50\n\n")
    });
    sections.collect()
}

fn servers_text() -> String {
    let names: Vec<_> = (0..SERVERS).map(|number| format!("server-{number}")).collect();
    format!("[service board]\nkind = plain\nservers = {}\n\n", names.join(", "))
}
