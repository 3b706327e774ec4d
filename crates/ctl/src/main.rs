//! The `rhubarb-ctl` command line.

use std::{fs, net, process};

use bpaf::Parser;

use rhubarb_core::ids;
use rhubarb_ctl::{checks, commands, settings, store_commands};

use commands::{CommandError, Output};

#[derive(Clone, Debug)]
enum Command {
    Check { file: String },
    Apply { settings: String, expect: u64, file: String },
    Show { source: Source },
    Status { source: Source },
    Drain { settings: String, url: Option<String>, name: String },
    Digest { key: String },
}

// Where the service list or config in force is stored.
#[derive(Clone, Debug)]
enum Source {
    // On the platform that a settings file names.
    Settings(String),
    // In the store of the users' platform, at this address.
    Store(net::SocketAddr),
}

#[derive(Clone, Debug)]
struct Options {
    json: bool,
    command: Command,
}

fn settings_option() -> impl Parser<String> {
    bpaf::long("settings").help("Settings file").argument::<String>("FILE")
}

fn source() -> impl Parser<Source> {
    let settings = settings_option().map(Source::Settings);
    let store = bpaf::long("store")
        .help("Address of the users' platform's store, as an IP number and a port")
        .argument::<net::SocketAddr>("ADDRESS")
        .map(Source::Store);
    bpaf::construct!([settings, store])
}

fn list_file() -> impl Parser<String> {
    bpaf::positional::<String>("LIST").help("Service list")
}

// Whether the output is JSON.
fn json_format() -> impl Parser<bool> {
    bpaf::long("format")
        .help("Form of the output: text or json")
        .argument::<String>("FORM")
        .parse(|format| match format.as_str() {
            "text" => Ok(false),
            "json" => Ok(true),
            _ => Err("give text or json"),
        })
        .fallback(false)
}

fn command(
    name: &'static str,
    description: &'static str,
    command: impl Parser<Command> + 'static,
) -> impl Parser<Options> {
    let json = json_format();
    bpaf::construct!(Options { json, command }).to_options().descr(description).command(name)
}

fn check() -> impl Parser<Command> {
    let file = list_file();
    bpaf::construct!(Command::Check { file })
}

fn apply() -> impl Parser<Command> {
    let settings = settings_option();
    let expect = bpaf::long("expect")
        .help("Version that the list in force must have; 0 for none")
        .argument::<u64>("VERSION");
    let file = list_file();
    bpaf::construct!(Command::Apply { settings, expect, file })
}

fn show() -> impl Parser<Command> {
    let source = source();
    bpaf::construct!(Command::Show { source })
}

fn status() -> impl Parser<Command> {
    let source = source();
    bpaf::construct!(Command::Status { source })
}

fn drain() -> impl Parser<Command> {
    let settings = settings_option();
    let url = bpaf::long("at")
        .help("URL of the instance, for when the platform is away")
        .argument::<String>("URL")
        .optional();
    let name = bpaf::positional::<String>("INSTANCE").help("Name of the instance");
    bpaf::construct!(Command::Drain { settings, url, name })
}

fn digest() -> impl Parser<Command> {
    let key = bpaf::positional::<String>("KEY").help("Caller key");
    bpaf::construct!(Command::Digest { key })
}

fn options() -> bpaf::OptionParser<Options> {
    let check = command("check", "Check a service list", check());
    let apply = command("apply", "Put a service list in force", apply());
    let show = command("show", "Show the list in force", show());
    let status = command("status", "Show all instances", status());
    let drain = command("drain", "Let an instance take no new work", drain());
    let digest = command("digest", "Print a caller key's digest", digest());
    bpaf::construct!([check, apply, show, status, drain, digest])
        .to_options()
        .descr("Operates a rhubarbloom deployment")
        .footer("Exit codes: 0 done, 1 mistakes in the input, 3 another version, 4 no answer")
        .version(env!("CARGO_PKG_VERSION"))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let options = options().run();
    match run(options.command).await {
        Ok(output) if options.json => println!("{}", output.json),
        Ok(output) => println!("{}", output.text.trim_end()),
        Err(err) => {
            eprintln!("{err}");
            return process::ExitCode::from(err.code());
        }
    }
    process::ExitCode::SUCCESS
}

async fn run(command: Command) -> Result<Output, CommandError> {
    match command {
        Command::Check { file } => {
            let list =
                checks::check_text(&file, &read_file(&file)?).map_err(CommandError::Input)?;
            let (services, callers) = (list.services.len(), list.callers.len());
            let text = format!("{file}: no mistakes; {services} services, {callers} callers");
            let json = serde_json::json!({ "services": services, "callers": callers });
            Ok(Output { text, json })
        }
        Command::Digest { key } => {
            let digest = ids::key_digest(&key);
            Ok(Output { json: serde_json::json!({ "digest": digest }), text: digest })
        }
        Command::Apply { settings, expect, file } => {
            let text = read_file(&file)?;
            platform_commands(&settings)?.apply(&file, &text, expect).await
        }
        Command::Show { source: Source::Settings(path) } => platform_commands(&path)?.show().await,
        Command::Show { source: Source::Store(address) } => {
            store_commands::StoreCommands::new(address).show().await
        }
        Command::Status { source: Source::Settings(path) } => {
            platform_commands(&path)?.status().await
        }
        Command::Status { source: Source::Store(address) } => {
            store_commands::StoreCommands::new(address).status().await
        }
        Command::Drain { settings, url: Some(url), name } => {
            platform_commands(&settings)?.drain_at(&name, url.trim_end_matches('/')).await
        }
        Command::Drain { settings, url: None, name } => {
            platform_commands(&settings)?.drain(&name).await
        }
    }
}

// Commands for the platform in the settings file at `path`.
fn platform_commands(path: &str) -> Result<commands::Commands, CommandError> {
    let settings = settings::load(path).map_err(|err| CommandError::Input(err.to_string()))?;
    Ok(commands::Commands::new(settings))
}

fn read_file(file: &str) -> Result<String, CommandError> {
    fs::read_to_string(file).map_err(|err| {
        CommandError::Input(format!("{file} cannot be read: {err}; give the path of a list"))
    })
}
