//! Runs an entry on the users' platform.

use bpaf::Parser;
use rhubarb_node::logs;
use rhubarb_platform::settings;

fn main() -> anyhow::Result<()> {
    let check = bpaf::long("check").help("Check the settings and exit").switch();
    let check = check
        .to_options()
        .descr("Entry for callers on the users' platform; the environment names its settings")
        .version(env!("CARGO_PKG_VERSION"))
        .run();
    let settings = settings::load()?;
    if check {
        println!("no mistakes");
        return Ok(());
    }
    let (_guard, dropped) = logs::start_stdout(logs::Level::Info);
    // A single-threaded runtime: instances have one core.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(rhubarb_edge::run(settings, dropped))
}
