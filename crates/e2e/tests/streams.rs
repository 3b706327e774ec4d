//! Responses are complete although connections, agents and engines fail meanwhile.

use std::time;

use rhubarb_e2e::stack;
use rhubarb_fakes::tokens;

const TOKENS: u32 = 150;
/// A stream whose agent was killed resumes on another server within the target latency of a first
/// token.
const RESUME_TIMEOUT: time::Duration = time::Duration::from_millis(460);
const FREE_TIMEOUT: time::Duration = time::Duration::from_secs(8);

fn with_relays() -> stack::Plan {
    stack::Plan { relays: true, ..stack::Plan::default() }
}

/// Decode server that holds a slot.
async fn decoding_server(stack: &stack::Stack) -> String {
    for _ in 0..200 {
        for name in ["decode-1", "decode-2"] {
            if stack.status(stack.agents[name].http).await["held"] == 1 {
                return name.to_string();
            }
        }
    }
    panic!("no decode server holds a slot");
}

/// Waits until engine memory is free, and checks that a new request completes.
async fn check_freed(stack: &stack::Stack) {
    stack
        .wait_within(FREE_TIMEOUT, "engine memory is free", async || {
            stack.requests_in_memory().await == 0
        })
        .await;
    let reply = stack.caller(0).complete("after the fault", 8).await.unwrap();
    assert_eq!(reply.text(), tokens::answer("after the fault", 8), "{}", reply.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_closed() {
    let stack = stack::Stack::start(with_relays()).await.unwrap();
    let mut stream = stack.caller(0).stream("long summary", TOKENS).await.unwrap();
    let first = stream.next().await.unwrap().unwrap();
    for relay in stack.relays.values() {
        relay.disconnect();
    }
    let rest = stream.read_to_end().await.unwrap();
    assert!(first.contains(&tokens::token("long summary", 0)));
    assert_eq!(tokens::token("long summary", 0) + &rest, tokens::answer("long summary", TOKENS));
    check_freed(&stack).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_blackholed() {
    let stack = stack::Stack::start(with_relays()).await.unwrap();
    let mut stream = stack.caller(0).stream("long summary", TOKENS).await.unwrap();
    stream.next().await.unwrap();
    for relay in stack.relays.values() {
        relay.blackhole();
    }
    let rest = stream.read_to_end().await.unwrap();
    assert_eq!(tokens::token("long summary", 0) + &rest, tokens::answer("long summary", TOKENS));
    check_freed(&stack).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_blackholed() {
    let stack = stack::Stack::start(with_relays()).await.unwrap();
    stack.caller(0).complete("first", 8).await.unwrap();
    for relay in stack.relays.values() {
        relay.blackhole();
    }
    let reply = stack.caller(0).complete("second", 8).await.unwrap();
    assert_eq!(reply.text(), tokens::answer("second", 8), "{}", reply.body);
    check_freed(&stack).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn decode_agent_killed() {
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let mut stream = stack.caller(0).stream("long summary", TOKENS).await.unwrap();
    stream.next().await.unwrap();
    let server = decoding_server(&stack).await;
    stack.agents.get_mut(&server).unwrap().kill();
    let mut longest = time::Duration::ZERO;
    let mut text = tokens::token("long summary", 0);
    loop {
        let start = time::Instant::now();
        let event = stream.next().await.unwrap().unwrap();
        longest = longest.max(start.elapsed());
        if event == "[DONE]" {
            break;
        }
        let event: serde_json::Value = serde_json::from_str(&event).unwrap();
        text.push_str(event["choices"][0]["text"].as_str().unwrap());
    }
    assert_eq!(text, tokens::answer("long summary", TOKENS));
    assert!(longest < RESUME_TIMEOUT, "the stream stalled for {longest:?}");
    check_freed(&stack).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn decode_agent_frozen() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let mut stream = stack.caller(0).stream("long summary", TOKENS).await.unwrap();
    stream.next().await.unwrap();
    let server = decoding_server(&stack).await;
    stack.agents[&server].freeze();
    let rest = stream.read_to_end().await.unwrap();
    assert_eq!(tokens::token("long summary", 0) + &rest, tokens::answer("long summary", TOKENS));
    stack.agents[&server].thaw();
    check_freed(&stack).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_frozen() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let mut stream = stack.caller(0).stream("long summary", TOKENS).await.unwrap();
    stream.next().await.unwrap();
    let server = decoding_server(&stack).await;
    stack.switch(&server, "frozen").await.unwrap();
    let rest = stream.read_to_end().await.unwrap();
    assert_eq!(tokens::token("long summary", 0) + &rest, tokens::answer("long summary", TOKENS));
    stack.switch(&server, "up").await.unwrap();
    check_freed(&stack).await;
}

// Guards against an engine's error in its stream that makes the answer shorter and looks complete
// (issue 41).
#[tokio::test(flavor = "multi_thread")]
async fn engine_error() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let mut stream = stack.caller(0).stream("long summary", TOKENS).await.unwrap();
    stream.next().await.unwrap();
    let server = decoding_server(&stack).await;
    stack.switch(&server, "erring").await.unwrap();
    let rest = stream.read_to_end().await.unwrap();
    assert_eq!(tokens::token("long summary", 0) + &rest, tokens::answer("long summary", TOKENS));
    stack.switch(&server, "up").await.unwrap();
    check_freed(&stack).await;
}

// Guards against tokens that reach the caller twice from an engine that starts a resumed stream over
// (issue 41).
#[tokio::test(flavor = "multi_thread")]
async fn engine_starts_over() {
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    for server in ["decode-1", "decode-2"] {
        stack.switch(server, "starts-over").await.unwrap();
    }
    let mut stream = stack.caller(0).stream("long summary", TOKENS).await.unwrap();
    stream.next().await.unwrap();
    let server = decoding_server(&stack).await;
    stack.agents.get_mut(&server).unwrap().kill();
    let rest = stream.read_to_end().await.unwrap();
    assert_eq!(tokens::token("long summary", 0) + &rest, tokens::answer("long summary", TOKENS));
}

#[tokio::test(flavor = "multi_thread")]
async fn prefill_failing() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.switch("prefill-1", "failing").await.unwrap();
    for number in 0..6 {
        let prompt = format!("lot {number}");
        let reply = stack.caller(0).complete(&prompt, 8).await.unwrap();
        assert_eq!(reply.text(), tokens::answer(&prompt, 8), "{}", reply.body);
    }
    check_freed(&stack).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn combined_faults() {
    let mut stack = stack::Stack::start(with_relays()).await.unwrap();
    let mut stream = stack.caller(0).stream("long summary", TOKENS).await.unwrap();
    stream.next().await.unwrap();
    for relay in stack.relays.values() {
        relay.disconnect();
    }
    for relay in stack.relays.values() {
        relay.blackhole();
    }
    let server = decoding_server(&stack).await;
    stack.agents.get_mut(&server).unwrap().kill();
    let rest = stream.read_to_end().await.unwrap();
    assert_eq!(tokens::token("long summary", 0) + &rest, tokens::answer("long summary", TOKENS));
    check_freed(&stack).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_frozen() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let caller = stack.caller(0);
    let call = tokio::spawn(async move {
        caller.call(hyper::Method::POST, "/yard-app/wait?300", &[], "{}").await.unwrap()
    });
    let is_running = async || {
        let agents = stack.agents.values();
        for agent in agents {
            if stack.status(agent.http).await["open"] == 1 {
                return true;
            }
        }
        false
    };
    stack.wait_until("the call runs", is_running).await;
    stack.entries[0].freeze();
    // Longer than an agent stores the response to a call without a key.
    tokio::time::sleep(time::Duration::from_secs(7)).await;
    stack.entries[0].thaw();
    let reply = call.await.unwrap();
    let observed = (reply.status, reply.outcome());
    assert!(
        observed == (200, None) || observed.1 == Some("unknown"),
        "{observed:?} {}",
        reply.body
    );
}
