//! Weight store that hands out all weights at one limited rate.

use std::time;

use hyper::{Response, StatusCode};
use tokio::sync as lock;

use rhubarb_node::answer;

/// Weight store.
#[derive(Debug)]
pub struct Weights {
    fetch_time: time::Duration,
    turn: lock::Mutex<()>,
}

impl Weights {
    /// Makes a store in which one fetch at a time takes `fetch_time`.
    pub fn new(fetch_time: time::Duration) -> Weights {
        Weights { fetch_time, turn: lock::Mutex::new(()) }
    }

    /// Answers a fetch.
    pub async fn fetch(&self, name: &str) -> Response<answer::Body> {
        let _turn = self.turn.lock().await;
        tokio::time::sleep(self.fetch_time).await;
        answer::text(StatusCode::OK, format!("weights of {name}"))
    }
}
