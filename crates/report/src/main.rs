//! The `rhubarb-report` command line.

use std::{net, time};

use bpaf::Parser;

use rhubarb_core::usage;
use rhubarb_node::{client, clock, objects, settings, shared_settings};
use rhubarb_platform::store;
use rhubarb_report::{dates, merge, render};

/// Timeout of one call to the store.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
enum OutputFormat {
    Text,
    Csv,
    Json,
}

// Where the usage records are stored.
enum Source {
    // In the object store that a settings file names.
    Settings(String),
    // In the store of the users' platform, at this address.
    Store(net::SocketAddr),
}

struct Options {
    source: Source,
    // Times are in milliseconds since the Unix epoch.
    from: u64,
    to: u64,
    format: OutputFormat,
    remove_before: Option<u64>,
}

fn date(name: &'static str, help: &'static str) -> impl Parser<u64> {
    bpaf::long(name)
        .help(help)
        .argument::<String>("DATE")
        .parse(|text| dates::parse_date(&text).ok_or("give YYYY-MM-DD or milliseconds since 1970"))
}

fn options() -> bpaf::OptionParser<Options> {
    let settings = bpaf::long("settings")
        .help("Settings file")
        .argument::<String>("FILE")
        .map(Source::Settings);
    let store = bpaf::long("store")
        .help("Address of the users' platform's store, as an IP number and a port")
        .argument::<net::SocketAddr>("ADDRESS")
        .map(Source::Store);
    let source = bpaf::construct!([settings, store]);
    let from = date("from", "Start of the report");
    let to = date("to", "End of the report, which is not included");
    let format = bpaf::long("format")
        .help("Form of the output: text, csv or json")
        .argument::<String>("FORM")
        .parse(|format| match format.as_str() {
            "text" => Ok(OutputFormat::Text),
            "csv" => Ok(OutputFormat::Csv),
            "json" => Ok(OutputFormat::Json),
            _ => Err("give text, csv or json"),
        })
        .fallback(OutputFormat::Text);
    let remove_before =
        date("remove-before", "Removes records that ended before, after the report").optional();
    bpaf::construct!(Options { source, from, to, format, remove_before })
        .to_options()
        .descr("Shows what each caller got from each service")
        .version(env!("CARGO_PKG_VERSION"))
}

/// A record and the name of its object.
struct StoredRecord {
    name: String,
    record: usage::Record,
}

async fn remove_records(source: &Source, names: &[String]) -> anyhow::Result<()> {
    let Source::Store(address) = source else {
        anyhow::ensure!(
            names.is_empty(),
            "--remove-before needs --store; remove objects of another store by its own means"
        );
        return Ok(());
    };
    let store = store::Store::new(client::Client::single_use(), *address);
    for name in names {
        store.remove_object(name, REQUEST_TIMEOUT).await?;
    }
    if !names.is_empty() {
        eprintln!("removed {} records", names.len());
    }
    Ok(())
}

async fn read_objects(path: &str) -> anyhow::Result<Vec<StoredRecord>> {
    let mut file = settings::Settings::load(path)?;
    let platform = shared_settings::PlatformUrls::read(&mut file);
    // The settings file is that of rhubarb-ctl; its `[ctl]` section is read so that it is not
    // reported as unknown.
    drop(file.section("ctl"));
    file.finish()?;
    let objects = objects::Objects::new(&platform.objects);
    let mut records = Vec::new();
    for name in objects.names("usage/").await? {
        let Some(content) = objects.get(&name).await? else { continue };
        records.push(read_record(name, content.as_bytes())?);
    }
    Ok(records)
}

async fn read_store(address: net::SocketAddr) -> anyhow::Result<Vec<StoredRecord>> {
    let store = store::Store::new(client::Client::single_use(), address);
    let mut records = Vec::new();
    for name in store.list_objects(store::USAGE, REQUEST_TIMEOUT).await? {
        // A record that disappeared after the listing was removed on purpose.
        let Some(content) = store.get_object(&name, REQUEST_TIMEOUT).await? else { continue };
        records.push(read_record(name, &content)?);
    }
    Ok(records)
}

fn read_record(name: String, content: &[u8]) -> anyhow::Result<StoredRecord> {
    let record = serde_json::from_slice(content)
        .map_err(|err| anyhow::anyhow!("{name} is not a usage record: {err}; remove it"))?;
    Ok(StoredRecord { name, record })
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let options = options().run();
    anyhow::ensure!(options.from < options.to, "--from is not before --to; swap the dates");
    let mut report = merge::Report::new(options.from, options.to);
    let stored = match &options.source {
        Source::Settings(path) => read_objects(path).await?,
        Source::Store(address) => read_store(*address).await?,
    };
    let is_old =
        |record: &usage::Record| options.remove_before.is_some_and(|before| record.to_ms < before);
    let old = stored.iter().filter(|stored| is_old(&stored.record));
    let old: Vec<_> = old.map(|stored| stored.name.clone()).collect();
    for stored in stored {
        report.add(stored.record);
    }
    let now = clock::unix_ms();
    match options.format {
        OutputFormat::Text => print!("{}", render::text(&report, now)),
        OutputFormat::Csv => print!("{}", render::csv(&report, now)),
        OutputFormat::Json => println!("{}", render::json(&report, now)),
    }
    remove_records(&options.source, &old).await
}
