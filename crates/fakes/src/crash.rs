//! Crashes of a fake backend server: all connections break, and its port refuses new ones until it
//! has started again.

use std::{future, net, sync, time};

use hyper::{Request, Response, body};
use tokio::{net as tokio_net, sync as tokio_sync, task};

use rhubarb_node::{locks, response, server};

/// Requests crashes of one server; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trigger {
    requested: sync::Arc<tokio_sync::Notify>,
    // Time for which it is down the next time, if it is another one than usual.
    down_time: sync::Arc<sync::Mutex<Option<time::Duration>>>,
}

/// Time from a crash to the next start, unless another one is set.
pub const DOWN_TIME: time::Duration = time::Duration::from_millis(1_000);
/// Interval between attempts to bind the port again.
const BIND_INTERVAL: time::Duration = time::Duration::from_millis(20);

impl Trigger {
    /// Crashes the server now.
    pub(crate) fn crash(&self) {
        self.requested.notify_one();
    }

    /// Crashes the server now; it starts again after `length`.
    pub(crate) fn crash_for(&self, length: time::Duration) {
        *locks::lock(&self.down_time) = Some(length);
        self.crash();
    }

    fn take_down_time(&self) -> time::Duration {
        locks::lock(&self.down_time).take().unwrap_or(DOWN_TIME)
    }
}

/// Serves on `listener`. Each crash closes it and all connections; after its down time the server
/// listens at the same address again, and `restarted` is called.
pub(crate) async fn serve<H, F>(
    mut listener: tokio_net::TcpListener,
    trigger: Trigger,
    handler: H,
    restarted: impl Fn(),
) where
    H: Fn(Request<body::Incoming>) -> F + Clone + Send + Sync + 'static,
    F: future::Future<Output = Response<response::Body>> + Send + 'static,
{
    let Ok(address) = listener.local_addr() else { return };
    loop {
        serve_once(&listener, &trigger, &handler).await;
        drop(listener);
        tokio::time::sleep(trigger.take_down_time()).await;
        listener = bind_again(address).await;
        restarted();
    }
}

// Serves until the next crash.
async fn serve_once<H, F>(listener: &tokio_net::TcpListener, trigger: &Trigger, handler: &H)
where
    H: Fn(Request<body::Incoming>) -> F + Clone + Send + Sync + 'static,
    F: future::Future<Output = Response<response::Body>> + Send + 'static,
{
    let (_sender, shutdown) = tokio_sync::watch::channel(false);
    // Aborts the connections when dropped.
    let mut connections = task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let (handler, shutdown) = (handler.clone(), shutdown.clone());
                connections.spawn(async move {
                    let limits = server::Limits::default();
                    let _ = server::serve_connection(stream, limits, shutdown, handler).await;
                });
            }
            Some(_) = connections.join_next() => {}
            () = trigger.requested.notified() => return,
        }
    }
}

async fn bind_again(address: net::SocketAddr) -> tokio_net::TcpListener {
    loop {
        if let Ok(listener) = server::bind(address).await {
            return listener;
        }
        tokio::time::sleep(BIND_INTERVAL).await;
    }
}
