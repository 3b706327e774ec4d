//! Stand-ins and drivers of the cases 6 to 10. Needs the standard library only.

mod bodies;
mod client;
mod crowd;
mod engine;
mod entry;
mod http;
mod json;
mod loss;
mod server;
mod store;
mod streams;
mod takeups;
mod upgrade;

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let folder = args.next().unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match case.as_str() {
        "bodies" => bodies::run(folder.as_ref(), has_trouble),
        "crowd" => crowd::run(folder.as_ref(), has_trouble),
        "loss" => loss::run(folder.as_ref(), has_trouble),
        "upgrade" => upgrade::run(folder.as_ref(), has_trouble),
        "takeups" => takeups::run(folder.as_ref(), has_trouble),
        _ => {
            eprintln!("usage: stand-2 CASE FOLDER; cases: bodies, crowd, loss, takeups, upgrade");
            2
        }
    };
    std::process::exit(code);
}
