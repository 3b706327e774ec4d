//! Runs an entry.

use rhubarb_entry::settings;
use rhubarb_node::{command, logs};

fn main() -> anyhow::Result<()> {
    let options = command::read_options("HTTP entry for callers");
    let settings = settings::load(&options.settings)?;
    logs::start(settings.log);
    command::run(&options, rhubarb_entry::run(settings))
}
