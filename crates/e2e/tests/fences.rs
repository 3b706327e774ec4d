//! An agent that was replaced while suspended runs no request that its replacement may run too.

use std::time;

use hyper::Method;

use rhubarb_e2e::stack;

const RETRY_WINDOW: time::Duration = time::Duration::from_secs(12);

struct ReplacedAgent {
    stack: stack::Stack,
    key: String,
    fenced: bool,
}

/// Queues a key at an agent that has no free slot, freezes the agent, replaces it and thaws it.
async fn replace_agent(fenced: bool) -> ReplacedAgent {
    let list = stack::service_list("12s", "10s").replace("rooms = 64", "rooms = 1");
    let list = if fenced { list.replace("fenced = no", "fenced = yes") } else { list };
    let plan = stack::Plan { list, ..stack::Plan::default() };
    let mut stack = stack::Stack::start(plan).await.unwrap();
    let slow_key = stack.key_owned_by("yard-1", "slow");
    let key = stack.key_owned_by("yard-1", "waiting");
    let (first_caller, second_caller) = (stack.caller(0), stack.caller(0));
    let sent = slow_key.clone();
    let first = tokio::spawn(async move { first_caller.confirm_slowly(&sent, 1500).await });
    stack.wait_until("the slow key runs", async || stack.runs(&slow_key).await == 1).await;
    let sent = key.clone();
    let second = tokio::spawn(async move { second_caller.confirm(&sent).await });
    let http = stack.agents["yard-1"].http;
    let is_waiting = async || stack.status(http).await["waiting"] == 1;
    stack.wait_until("the other key waits", is_waiting).await;

    let old_agent = stack.agents.remove("yard-1").unwrap();
    old_agent.freeze();
    for reply in [first.await.unwrap().unwrap(), second.await.unwrap().unwrap()] {
        assert_eq!(reply.outcome(), Some("unknown"), "{}", reply.body);
    }
    stack.start_agent("yard-1").await.unwrap();
    stack.wait_agents().await;
    stack.wait_usable().await;
    // A call reaches the server through the new agent; a fenced server then knows the new number.
    let http = stack.agents["yard-1"].http;
    let has_run = async || {
        let reply = stack.caller(0).call(Method::GET, "/yard-app/x", &[], "").await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        !stack.metrics(http).await.contains("rhubarb_agent_runs_total 0")
    };
    stack.wait_until("the new agent forwards a call to its server", has_run).await;
    old_agent.thaw();
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    drop(old_agent);
    ReplacedAgent { stack, key, fenced }
}

impl ReplacedAgent {
    async fn check_runs(self) {
        let old_runs = self.stack.runs(&self.key).await;
        assert!(old_runs <= 1);
        assert!(!self.fenced || old_runs == 0, "the server must reject the old fencing number");
        // Retries within the window find the key uncertain and do not run it.
        let start = time::Instant::now();
        while start.elapsed() < RETRY_WINDOW / 3 {
            let reply = self.stack.caller(1).confirm(&self.key).await.unwrap();
            assert_eq!(reply.outcome(), Some("unknown"), "{}", reply.body);
            tokio::time::sleep(time::Duration::from_millis(200)).await;
        }
        assert_eq!(self.stack.runs(&self.key).await, old_runs);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_agent_fenced() {
    replace_agent(true).await.check_runs().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_agent_unfenced() {
    replace_agent(false).await.check_runs().await;
}
