//! An agent that was replaced while it did not move runs nothing that runs elsewhere too.

use std::time;

use hyper::Method;

use rhubarb_e2e::stack;

const WINDOW_TIME: time::Duration = time::Duration::from_secs(12);

struct Replaced {
    stack: stack::Stack,
    key: String,
    fenced: bool,
}

/// A key waits for room at an agent; the agent is frozen, replaced, and moves again.
async fn replace(fenced: bool) -> Replaced {
    let list = stack::service_list("12s", "10s").replace("rooms = 64", "rooms = 1");
    let list = if fenced { list.replace("fenced = no", "fenced = yes") } else { list };
    let plan = stack::Plan { list, ..stack::Plan::default() };
    let mut stack = stack::Stack::start(plan).await.unwrap();
    let slow = stack.key_owned_by("yard-1", "slow");
    let key = stack.key_owned_by("yard-1", "waiting");
    let (one, two) = (stack.caller(0), stack.caller(0));
    let sent = slow.clone();
    let first = tokio::spawn(async move { one.confirm_slowly(&sent, 1500).await });
    stack.wait_until("the slow key runs", async || stack.runs(&slow).await == 1).await;
    let sent = key.clone();
    let second = tokio::spawn(async move { two.confirm(&sent).await });
    let http = stack.agents["yard-1"].http;
    let waits = async || stack.status(http).await["waiting"] == 1;
    stack.wait_until("the other key waits", waits).await;

    let old = stack.agents.remove("yard-1").unwrap();
    old.freeze();
    for reply in [first.await.unwrap().unwrap(), second.await.unwrap().unwrap()] {
        assert_eq!(reply.outcome(), Some("unknown"), "{}", reply.body);
    }
    stack.start_agent("yard-1").await.unwrap();
    stack.wait_agents().await;
    stack.wait_usable().await;
    // A call reaches the server through the new agent, with its number where it is fenced.
    let http = stack.agents["yard-1"].http;
    let reached = async || {
        let reply = stack.caller(0).call(Method::GET, "/yard-app/x", &[], "").await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        !stack.metrics(http).await.contains("rhubarb_agent_runs_total 0")
    };
    stack.wait_until("the new agent hands a call to its server", reached).await;
    old.thaw();
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    drop(old);
    Replaced { stack, key, fenced }
}

impl Replaced {
    async fn check(self) {
        let ran_by_old = self.stack.runs(&self.key).await;
        assert!(ran_by_old <= 1);
        assert!(!self.fenced || ran_by_old == 0, "the old number must be refused");
        // Retries within the window find the key uncertain, and it does not run again.
        let start = time::Instant::now();
        while start.elapsed() < WINDOW_TIME / 3 {
            let reply = self.stack.caller(1).confirm(&self.key).await.unwrap();
            assert_eq!(reply.outcome(), Some("unknown"), "{}", reply.body);
            tokio::time::sleep(time::Duration::from_millis(200)).await;
        }
        assert_eq!(self.stack.runs(&self.key).await, ran_by_old);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn fenced_server() {
    replace(true).await.check().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unfenced_server() {
    replace(false).await.check().await;
}
