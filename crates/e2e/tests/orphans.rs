//! Engine memory comes back when callers or entries are gone.

use std::time;

use rhubarb_e2e::stack;

/// Silence of an entry until it is noticed, grace for its return, and the cancel.
const FREED_WITHIN: time::Duration = time::Duration::from_secs(7);

async fn stream_and(fault: impl AsyncFnOnce(&mut stack::Stack)) {
    let plan = stack::Plan { relays: true, ..stack::Plan::default() };
    let mut stack = stack::Stack::start(plan).await.unwrap();
    let mut stream = stack.caller(0).stream("long answer", 100_000).await.unwrap();
    stream.next().await.unwrap();
    assert!(stack.requests_in_memory().await > 0);
    fault(&mut stack).await;
    stack
        .wait_within(FREED_WITHIN, "engine memory is free", async || {
            stack.requests_in_memory().await == 0
        })
        .await;
    let rooms_free = async || {
        let one = stack.status(stack.agents["decode-1"].http).await["held"].clone();
        let two = stack.status(stack.agents["decode-2"].http).await["held"].clone();
        one == 0 && two == 0
    };
    stack.wait_within(FREED_WITHIN, "the agents' rooms are free", rooms_free).await;
    let reply = stack.caller(1).complete("after the fault", 8).await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.body);
    drop(stream);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed() {
    stream_and(async |stack| stack.entries[0].kill()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_frozen() {
    stream_and(async |stack| stack.entries[0].freeze()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_silent() {
    stream_and(async |stack| {
        for relay in stack.relays.values() {
            relay.blackhole();
        }
        stack.entries[0].kill();
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_restarted() {
    stream_and(async |stack| {
        stack.entries[0].kill();
        for server in ["decode-1", "decode-2"] {
            stack.agents.get_mut(server).unwrap().kill();
            stack.start_agent(server).await.unwrap();
        }
        stack.wait_agents().await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gone_early() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    // Cancelled at every stage: each next caller waits a little longer before it goes.
    for millis in (0..60).step_by(4) {
        let caller = stack.caller(0);
        let call = tokio::spawn(async move { caller.complete("long answer", 10_000).await });
        tokio::time::sleep(time::Duration::from_millis(millis)).await;
        call.abort();
    }
    stack
        .wait_within(FREED_WITHIN, "engine memory is free", async || {
            stack.requests_in_memory().await == 0
        })
        .await;
    let open = async || stack.status(stack.entries[0].http).await["open"] == 0;
    stack.wait_within(FREED_WITHIN, "the entry has no open requests", open).await;
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
    assert!(
        stack.requests_in_memory().await > 0,
        "the engine noticed neither the close nor a cancel"
    );
    for server in ["decode-1", "decode-2"] {
        stack.switch(server, "up").await.unwrap();
    }
    stack
        .wait_within(FREED_WITHIN, "engine memory is free", async || {
            stack.requests_in_memory().await == 0
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_call_left() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let caller = stack.caller(0);
    let call = tokio::spawn(async move {
        caller.call(hyper::Method::GET, "/yard-app/wait?60000", &[], "").await
    });
    let open = async || {
        let mut open = 0;
        for server in ["yard-1", "yard-2", "yard-3"] {
            open += stack.status(stack.agents[server].http).await["open"].as_u64().unwrap_or(0);
        }
        open
    };
    stack.wait_until("the call runs", async || open().await == 1).await;
    call.abort();
    stack.wait_within(FREED_WITHIN, "the call is dropped", async || open().await == 0).await;
    for server in ["yard-1", "yard-2", "yard-3"] {
        let orders = stack.runs(&format!("{server}-cancel")).await;
        assert_eq!(orders, 0, "{server} is no engine and takes no orders");
    }
}
