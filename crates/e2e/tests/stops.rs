//! Planned stops let running requests complete, and leaving instances receive no new ones.

use std::time;

use hyper::Method;

use rhubarb_e2e::stack;
use rhubarb_fakes::tokens;

const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(5);
const STREAM_TOKENS: u32 = 700;
/// Interval between calls, which keeps the caller below its rate limit.
const CALL_INTERVAL: time::Duration = time::Duration::from_millis(10);

async fn wait_drained(stack: &stack::Stack, server: &str) {
    let served_elsewhere = async || {
        let reply = stack.caller(0).call(Method::GET, "/yard-app/status", &[], "").await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        reply.json()["server"] != server
    };
    let start = time::Instant::now();
    let mut consecutive = 0;
    while consecutive < 30 {
        consecutive = if served_elsewhere().await { consecutive + 1 } else { 0 };
        tokio::time::sleep(CALL_INTERVAL).await;
        assert!(start.elapsed() < DRAIN_TIMEOUT, "{server} still receives requests");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_agent() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.ctl(&["drain", "yard-1"]).unwrap();
    wait_drained(&stack, "yard-1").await;
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
    wait_drained(&stack, "yard-2").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_in_list() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.mark_leaving("yard-3").await.unwrap();
    wait_drained(&stack, "yard-3").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unauthorized_drain() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    for address in [stack.agents["yard-1"].http, stack.entries[0].http] {
        let unauthorized = rhubarb_e2e::caller::Caller::new(address, "demo-caller-key");
        let reply = unauthorized.call(Method::POST, "/drain", &[], "").await.unwrap();
        assert_eq!(reply.status, 401);
        assert_eq!(stack.status(address).await["leaving"], false);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn long_stream_completes() {
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let mut stream = stack.caller(0).stream("long summary", STREAM_TOKENS).await.unwrap();
    stream.next().await.unwrap();
    let all: Vec<_> = stack.agents.keys().cloned().collect();
    for server in &all {
        stack.agents[server].terminate();
    }
    stack.entries[0].terminate();
    let rest = stream.read_to_end().await.unwrap();
    assert_eq!(
        tokens::token("long summary", 0) + &rest,
        tokens::answer("long summary", STREAM_TOKENS)
    );
    for server in &all {
        let code = stack.wait_agent_exit(server).await;
        assert_eq!(code, 0, "{server}");
    }
    assert_eq!(stack.wait_entry_exit(0).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn running_key_completes() {
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
async fn queued_key_completes() {
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
    let is_waiting = async || stack.status(http).await["waiting"] == 1;
    stack.wait_until("the other key waits", is_waiting).await;
    // The agent starts its shutdown first, then the entry.
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
async fn entry_drains() {
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let mut stream = stack.caller(0).stream("long summary", STREAM_TOKENS).await.unwrap();
    stream.next().await.unwrap();
    stack.entries[0].terminate();
    let is_rejected = async || {
        let reply = stack.caller(0).complete("new work", 4).await.unwrap();
        reply.status == 503 && reply.reason() == "leaving" && reply.outcome() == Some("not-run")
    };
    stack.wait_within(DRAIN_TIMEOUT, "new requests are rejected", is_rejected).await;
    stream.read_to_end().await.unwrap();
    assert_eq!(stack.wait_entry_exit(0).await, 0);
}

// Guards against requests that an entry takes although they may last longer than its drain, and whose
// connections it closed without an answer at its end (issue 50, LOST).
#[tokio::test(flavor = "multi_thread")]
async fn drain_limit_answered() {
    let plan = stack::Plan { entry_drain: "2s".to_string(), ..stack::Plan::default() };
    let mut stack = stack::Stack::start(plan).await.unwrap();
    let keys: Vec<_> = (0..2).map(|number| format!("late-{number}")).collect();
    let mut calls = Vec::new();
    for key in &keys {
        let (caller, sent) = (stack.caller(0), key.clone());
        calls.push(tokio::spawn(async move { caller.confirm_slowly(&sent, 8_000).await }));
        stack.wait_until("the key runs", async || stack.runs(key).await == 1).await;
        // The second one comes after the signal, in the notice period.
        stack.entries[0].terminate();
    }
    for (key, call) in keys.iter().zip(calls) {
        let reply = call.await.unwrap();
        let reply = reply.unwrap_or_else(|err| panic!("{key}: {err}\n{}", stack.logs()));
        assert_eq!((reply.status, reply.outcome()), (504, Some("unknown")), "{}", reply.body);
    }
    assert_eq!(stack.wait_entry_exit(0).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart() {
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
