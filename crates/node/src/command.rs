//! Command line of the processes that run until they are stopped.

use bpaf::Parser;

/// Options of a process.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the settings file.
    pub settings: String,
    /// Whether to check the settings and exit.
    pub check: bool,
}

/// Reads the command line; prints help or a mistake and exits where that is asked for.
pub fn read_options(description: &'static str) -> Options {
    let settings = bpaf::long("settings").help("Settings file").argument::<String>("FILE");
    let check = bpaf::long("check").help("Check the settings and exit").switch();
    bpaf::construct!(Options { settings, check })
        .to_options()
        .descr(description)
        .version(env!("CARGO_PKG_VERSION"))
        .run()
}

/// Runs a process to its end, or only says that its settings have no mistakes.
///
/// # Errors
/// Returns why the process ended.
pub fn run(
    options: &Options,
    process: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    if options.check {
        println!("{}: no mistakes", options.settings);
        return Ok(());
    }
    tokio::runtime::Runtime::new()?.block_on(process)
}
