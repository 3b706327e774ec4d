//! Runs the fakes of a deployment, or one backend server of the users' platform, in one process.

use std::{net, sync, time};

use bpaf::Parser;

use rhubarb_fakes::{raw, routes};
use rhubarb_node::{server, signals};

/// Time before each event of a server that answers with events.
const INTERVAL: time::Duration = time::Duration::from_millis(20);

struct Options {
    listen: net::SocketAddr,
    lag_ms: u64,
    weight_ms: u64,
    events: Option<u64>,
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
    let events = bpaf::long("events")
        .help("Be a server that answers with this number of events, without a length")
        .argument::<u64>("COUNT")
        .optional();
    bpaf::construct!(Options { listen, lag_ms, weight_ms, events })
        .to_options()
        .descr("Stand-ins for the platform and the backend servers")
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let options = options().run();
    let mut stopped = signals::Stop::catch()?;
    if let Some(count) = options.events {
        let server =
            raw::Raw::start_at(options.listen, raw::Answer::Events { count, interval: INTERVAL });
        println!("listening http={}", server.await?.address);
        stopped.received().await;
        return Ok(());
    }
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
        () = serve => {}
        () = stopped.received() => {}
    }
    Ok(())
}
