//! Report command.

use bpaf::Parser;

use rhubarb_core::usage;
use rhubarb_node::{client, clock, control, objects, settings};
use rhubarb_report::{dates, merge, render};

#[derive(Clone, Copy, Debug)]
enum Form {
    Text,
    Csv,
    Json,
}

struct Options {
    settings: String,
    from: u64,
    to: u64,
    form: Form,
}

fn date(name: &'static str, help: &'static str) -> impl Parser<u64> {
    bpaf::long(name)
        .help(help)
        .argument::<String>("DATE")
        .parse(|text| dates::scan_date(&text).ok_or("give YYYY-MM-DD or milliseconds since 1970"))
}

fn options() -> bpaf::OptionParser<Options> {
    let settings = bpaf::long("settings").help("Settings file").argument::<String>("FILE");
    let from = date("from", "Start of the report");
    let to = date("to", "End of the report, which is not included");
    let form = bpaf::long("format")
        .help("Form of the output: text, csv or json")
        .argument::<String>("FORM")
        .parse(|form| match form.as_str() {
            "text" => Ok(Form::Text),
            "csv" => Ok(Form::Csv),
            "json" => Ok(Form::Json),
            _ => Err("give text, csv or json"),
        })
        .fallback(Form::Text);
    bpaf::construct!(Options { settings, from, to, form })
        .to_options()
        .descr("Shows what each caller got from each service")
        .version(env!("CARGO_PKG_VERSION"))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let options = options().run();
    anyhow::ensure!(options.from < options.to, "--from is not before --to; swap the dates");
    let mut file = settings::Settings::load(&options.settings)?;
    let platform = control::Platform::read(&mut file);
    // The file is that of rhubarb-ctl, whose own section is of no use here.
    drop(file.section("ctl"));
    file.finish()?;
    let objects = objects::Objects::new(client::Client::new(), &platform.objects);
    let mut report = merge::Report::new(options.from, options.to);
    for name in objects.names("usage/").await? {
        let Some(content) = objects.get(&name).await? else { continue };
        let record: usage::Record = serde_json::from_str(&content)
            .map_err(|err| anyhow::anyhow!("{name} is not a usage record: {err}; remove it"))?;
        report.add(record);
    }
    let now = clock::unix_ms();
    match options.form {
        Form::Text => print!("{}", render::text(&report, now)),
        Form::Csv => print!("{}", render::csv(&report, now)),
        Form::Json => println!("{}", render::json(&report, now)),
    }
    Ok(())
}
