//! Planned stops cut nothing off, and leaving instances get no new work.

use std::time;

use hyper::Method;

use rhubarb_e2e::stack;
use rhubarb_fakes::tokens;

const FEW_SECONDS: time::Duration = time::Duration::from_secs(5);
const LONG: u32 = 700;
/// Time between two calls, so that the caller keeps to its rate.
const PACE: time::Duration = time::Duration::from_millis(10);

async fn all_go_elsewhere(stack: &stack::Stack, server: &str) {
    let open = async || {
        let reply = stack.caller(0).call(Method::GET, "/yard-app/status", &[], "").await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        reply.json()["server"] != server
    };
    let start = time::Instant::now();
    let mut elsewhere = 0;
    while elsewhere < 30 {
        elsewhere = if open().await { elsewhere + 1 } else { 0 };
        tokio::time::sleep(PACE).await;
        assert!(start.elapsed() < FEW_SECONDS, "{server} still gets work");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_agent() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.ctl(&["drain", "yard-1"]).unwrap();
    all_go_elsewhere(&stack, "yard-1").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_without_platform() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    for target in ["table", "instances", "objects"] {
        stack.switch(target, "down").await.unwrap();
    }
    let url = format!("http://{}", stack.agents["yard-2"].http);
    assert!(stack.ctl(&["drain", "yard-2"]).unwrap_err().to_string().contains("exit 4"));
    stack.ctl(&["drain", "--at", &url, "yard-2"]).unwrap();
    all_go_elsewhere(&stack, "yard-2").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_says_leaving() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.mark_leaving("yard-3").await.unwrap();
    all_go_elsewhere(&stack, "yard-3").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stranger_drains_nothing() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    for address in [stack.agents["yard-1"].http, stack.entries[0].http] {
        let stranger = rhubarb_e2e::caller::Caller::new(address, "demo-caller-key");
        let reply = stranger.call(Method::POST, "/drain", &[], "").await.unwrap();
        assert_eq!(reply.status, 401);
        assert_eq!(stack.status(address).await["leaving"], false);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn long_stream_ends() {
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let mut stream = stack.caller(0).stream("long summary", LONG).await.unwrap();
    stream.next().await.unwrap();
    let all: Vec<_> = stack.agents.keys().cloned().collect();
    for server in &all {
        stack.agents[server].terminate();
    }
    stack.entries[0].terminate();
    let rest = stream.read_to_end().await.unwrap();
    assert_eq!(tokens::token("long summary", 0) + &rest, tokens::answer("long summary", LONG));
    for server in &all {
        let code = stack.wait_agent_exit(server).await;
        assert_eq!(code, 0, "{server}");
    }
    assert_eq!(stack.wait_entry_exit(0).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn confirm_ends() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let key = stack.key_owned_by("yard-1", "slow");
    let caller = stack.caller(0);
    let sent = key.clone();
    let call = tokio::spawn(async move { caller.confirm_slowly(&sent, 2000).await.unwrap() });
    stack.wait_until("the key runs", async || stack.runs(&key).await == 1).await;
    stack.agents["yard-1"].terminate();
    stack.entries[0].terminate();
    let reply = call.await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(stack.runs(&key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn queued_ends() {
    let list = stack::service_list("10m", "60s").replace("rooms = 64", "rooms = 1");
    let plan = stack::Plan { list, ..stack::Plan::default() };
    let mut stack = stack::Stack::start(plan).await.unwrap();
    let (slow, queued) =
        (stack.key_owned_by("yard-1", "slow"), stack.key_owned_by("yard-1", "queued"));
    let call = |key: &str, millis: u64| {
        let (caller, key) = (stack.caller(0), key.to_string());
        tokio::spawn(async move { caller.confirm_slowly(&key, millis).await.unwrap() })
    };
    let first = call(&slow, 1500);
    stack.wait_until("the slow key runs", async || stack.runs(&slow).await == 1).await;
    let second = call(&queued, 0);
    let http = stack.agents["yard-1"].http;
    let waits = async || stack.status(http).await["waiting"] == 1;
    stack.wait_until("the other key waits", waits).await;
    // The agent stops, and then the entry too.
    stack.agents["yard-1"].terminate();
    stack.entries[0].terminate();
    for reply in [first.await.unwrap(), second.await.unwrap()] {
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    assert_eq!(stack.runs(&queued).await, 1);
    assert_eq!(stack.wait_agent_exit("yard-1").await, 0);
    assert_eq!(stack.wait_entry_exit(0).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_leaves() {
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let mut stream = stack.caller(0).stream("long summary", LONG).await.unwrap();
    stream.next().await.unwrap();
    stack.entries[0].terminate();
    let refused = async || {
        let reply = stack.caller(0).complete("new work", 4).await.unwrap();
        reply.status == 503 && reply.reason() == "leaving" && reply.outcome() == Some("not-run")
    };
    stack.wait_within(FEW_SECONDS, "new work is refused", refused).await;
    stream.read_to_end().await.unwrap();
    assert_eq!(stack.wait_entry_exit(0).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn restarts_in_turn() {
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let caller = stack.caller(0);
    let calls = tokio::spawn(async move {
        for number in 0..500 {
            let reply = caller.call(Method::GET, "/yard-app/status", &[], "").await.unwrap();
            assert_eq!(reply.status, 200, "call {number}: {}", reply.body);
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    });
    for server in ["yard-1", "yard-2", "yard-3"] {
        stack.stop_agent(server).await;
        stack.start_agent(server).await.unwrap();
        stack.wait_agents().await;
        stack.wait_usable().await;
    }
    if let Err(err) = calls.await {
        panic!("{err}\n{}", stack.logs());
    }
}
