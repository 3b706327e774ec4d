//! Engine memory is freed when callers or entries disappear.

use std::time;

use rhubarb_e2e::stack;

/// Covers the detection of an unresponsive entry, the grace period for its reconnection, and the
/// cancel.
const FREE_TIMEOUT: time::Duration = time::Duration::from_secs(7);

async fn check_freed_after(fault: impl AsyncFnOnce(&mut stack::Stack)) {
    let plan = stack::Plan { relays: true, ..stack::Plan::default() };
    let mut stack = stack::Stack::start(plan).await.unwrap();
    let mut stream = stack.caller(0).stream("long answer", 100_000).await.unwrap();
    stream.next().await.unwrap();
    assert!(stack.requests_in_memory().await > 0);
    fault(&mut stack).await;
    stack
        .wait_within(FREE_TIMEOUT, "engine memory is free", async || {
            stack.requests_in_memory().await == 0
        })
        .await;
    let slots_free = async || {
        let first = stack.status(stack.agents["decode-1"].http).await["held"].clone();
        let second = stack.status(stack.agents["decode-2"].http).await["held"].clone();
        first == 0 && second == 0
    };
    stack.wait_within(FREE_TIMEOUT, "the agents' slots are free", slots_free).await;
    let reply = stack.caller(1).complete("after the fault", 8).await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.body);
    drop(stream);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed() {
    check_freed_after(async |stack| stack.entries[0].kill()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn freed_after_freeze() {
    check_freed_after(async |stack| stack.entries[0].freeze()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_blackholed() {
    check_freed_after(async |stack| {
        for relay in stack.relays.values() {
            relay.blackhole();
        }
        stack.entries[0].kill();
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_restarted() {
    check_freed_after(async |stack| {
        stack.entries[0].kill();
        for server in ["decode-1", "decode-2"] {
            stack.agents.get_mut(server).unwrap().kill();
            stack.start_agent(server).await.unwrap();
        }
        stack.wait_agents().await;
    })
    .await;
}

// Runs of an earlier agent are cancelled however long the engine fails.
#[tokio::test(flavor = "multi_thread")]
async fn engine_fails_long() {
    const FAILURE: time::Duration = time::Duration::from_secs(14);
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    for server in ["decode-1", "decode-2"] {
        stack.switch(&format!("{server}-closes"), "down").await.unwrap();
    }
    let mut stream = stack.caller(0).stream("long answer", 100_000).await.unwrap();
    stream.next().await.unwrap();
    stack.entries[0].kill();
    for server in ["decode-1", "decode-2"] {
        stack.agents.get_mut(server).unwrap().kill();
        stack.switch(server, "failing").await.unwrap();
        stack.start_agent(server).await.unwrap();
    }
    tokio::time::sleep(FAILURE).await;
    assert!(stack.requests_in_memory().await > 0, "memory was freed without a close or a cancel");
    for server in ["decode-1", "decode-2"] {
        stack.switch(server, "up").await.unwrap();
    }
    let is_free = async || stack.requests_in_memory().await == 0;
    stack.wait_within(FREE_TIMEOUT, "engine memory is free", is_free).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_early() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    // Each caller disconnects 4 ms later than the previous one, to cancel at every stage.
    for millis in (0..60).step_by(4) {
        let caller = stack.caller(0);
        let call = tokio::spawn(async move { caller.complete("long answer", 10_000).await });
        tokio::time::sleep(time::Duration::from_millis(millis)).await;
        call.abort();
    }
    stack
        .wait_within(FREE_TIMEOUT, "engine memory is free", async || {
            stack.requests_in_memory().await == 0
        })
        .await;
    let is_idle = async || stack.status(stack.entries[0].http).await["open"] == 0;
    stack.wait_within(FREE_TIMEOUT, "the entry has no open requests", is_idle).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_lost() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    for server in ["decode-1", "decode-2"] {
        stack.switch(&format!("{server}-closes"), "down").await.unwrap();
    }
    let mut stream = stack.caller(0).stream("long answer", 100_000).await.unwrap();
    stream.next().await.unwrap();
    for server in ["decode-1", "decode-2"] {
        stack.switch(server, "failing").await.unwrap();
    }
    drop(stream);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    assert!(stack.requests_in_memory().await > 0, "memory was freed without a close or a cancel");
    for server in ["decode-1", "decode-2"] {
        stack.switch(server, "up").await.unwrap();
    }
    stack
        .wait_within(FREE_TIMEOUT, "engine memory is free", async || {
            stack.requests_in_memory().await == 0
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_call_cancelled() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let caller = stack.caller(0);
    let call = tokio::spawn(async move {
        caller.call(hyper::Method::GET, "/yard-app/wait?60000", &[], "").await
    });
    let open_calls = async || {
        let mut open = 0;
        for server in ["yard-1", "yard-2", "yard-3"] {
            open += stack.status(stack.agents[server].http).await["open"].as_u64().unwrap_or(0);
        }
        open
    };
    stack.wait_until("the call runs", async || open_calls().await == 1).await;
    call.abort();
    stack.wait_within(FREE_TIMEOUT, "the call is dropped", async || open_calls().await == 0).await;
    for server in ["yard-1", "yard-2", "yard-3"] {
        let cancels = stack.runs(&format!("{server}-cancel")).await;
        assert_eq!(cancels, 0, "{server} is no engine and must receive no cancel");
    }
}
