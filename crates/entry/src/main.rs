//! Runs an entry.

use bpaf::Parser;

use rhubarb_entry::settings;
use rhubarb_node::logs;

struct Options {
    settings: String,
    check: bool,
}

fn options() -> bpaf::OptionParser<Options> {
    let settings = bpaf::long("settings").help("Settings file").argument::<String>("FILE");
    let check = bpaf::long("check").help("Check the settings and exit").switch();
    bpaf::construct!(Options { settings, check })
        .to_options()
        .descr("HTTP entry for callers")
        .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> anyhow::Result<()> {
    let options = options().run();
    let settings = settings::load(&options.settings)?;
    if options.check {
        println!("{}: no mistakes", options.settings);
        return Ok(());
    }
    logs::start(settings.log);
    tokio::runtime::Runtime::new()?.block_on(rhubarb_entry::run(settings))
}
