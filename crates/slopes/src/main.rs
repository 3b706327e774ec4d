//! Measures what one unit of each kind of work costs, for docs/CAPACITY.md.
//!
//! Run it as `cargo run --release -p rhubarb-slopes`; each time is the median of several runs.

mod control;
mod data;
mod lists;
mod meter;
mod routes;

use bpaf::Parser;

fn options() -> bpaf::OptionParser<u32> {
    bpaf::long("runs")
        .help("Runs of which the median is printed")
        .argument::<u32>("COUNT")
        .fallback(7)
        .to_options()
        .descr("Measures the slopes behind docs/CAPACITY.md")
}

fn main() {
    let mut meter = meter::Meter::new(options().run());
    // Memory is measured first, while the allocator has no freed pages to reuse.
    data::measure_memory(&mut meter);
    lists::measure_memory(&mut meter);
    control::measure(&mut meter);
    data::measure(&mut meter);
    lists::measure(&mut meter);
    routes::measure(&mut meter);
    print!("{}", meter.table());
}
