//! Runs the agent of one backend server.

use rhubarb_agent::settings;
use rhubarb_node::{command, logs};

fn main() -> anyhow::Result<()> {
    let options = command::read_options("Gate beside one backend server");
    let settings = settings::load(&options.settings)?;
    logs::start(settings.log);
    command::run(&options, rhubarb_agent::run(settings))
}
