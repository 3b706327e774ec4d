//! Command line of the long-running processes.

use bpaf::Parser;

/// Command-line options of a process.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the settings file.
    pub settings: String,
    /// Whether to check the settings and exit.
    pub check: bool,
}

/// Parses the command line; prints help, the version or a usage error and exits where that applies.
pub fn read_options(description: &'static str) -> Options {
    let settings = bpaf::long("settings").help("Settings file").argument::<String>("FILE");
    let check = bpaf::long("check").help("Check the settings and exit").switch();
    bpaf::construct!(Options { settings, check })
        .to_options()
        .descr(description)
        .version(env!("CARGO_PKG_VERSION"))
        .run()
}

/// Runs a process until it ends; with `--check` only reports that the settings are valid.
///
/// # Errors
/// Returns the error that ended the process.
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
