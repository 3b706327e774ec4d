//! Runs the fakes of a deployment in one process.

use std::{net, sync, time};

use bpaf::Parser;

use rhubarb_fakes::routes;
use rhubarb_node::{server, signals};

struct Options {
    listen: net::SocketAddr,
    lag_ms: u64,
    weight_ms: u64,
}

fn options() -> bpaf::OptionParser<Options> {
    let listen = bpaf::long("listen")
        .help("Address to listen on")
        .argument::<net::SocketAddr>("IP:PORT")
        .fallback(([127, 0, 0, 1], 0).into());
    let lag_ms = bpaf::long("list-lag-ms")
        .help("Lag of the instance list in milliseconds")
        .argument::<u64>("MS")
        .fallback(200);
    let weight_ms = bpaf::long("weight-ms")
        .help("Time to fetch weights in milliseconds")
        .argument::<u64>("MS")
        .fallback(50);
    bpaf::construct!(Options { listen, lag_ms, weight_ms })
        .to_options()
        .descr("Stand-ins for the platform and the backend servers")
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let options = options().run();
    let listener = server::bind(options.listen).await?;
    let address = listener.local_addr()?;
    let delays = routes::Delays {
        list_lag: time::Duration::from_millis(options.lag_ms),
        fetch_time: time::Duration::from_millis(options.weight_ms),
    };
    let fakes = sync::Arc::new(routes::Fakes::new(address, delays));
    println!("listening http={address}");
    let serve = server::serve(listener, server::Limits::default(), move |request| {
        fakes.clone().handle(request)
    });
    tokio::select! {
        () = serve => Ok(()),
        stopped = signals::wait_for_stop() => stopped,
    }
}
