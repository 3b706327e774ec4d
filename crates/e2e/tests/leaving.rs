//! Each way in which an entry or an agent learns that a server leaves, what could undo it, and the
//! steps that send to the server afterwards.

use std::time;

use hyper::Method;

use rhubarb_e2e::stack;
use rhubarb_fakes::tokens;

const CALLS: usize = 30;
const TOKENS: u32 = 8;
/// Time between calls, which keeps the caller below its rate limit.
const CALL_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Time within which a leaving server gets its last new request.
const NOTICE_LIMIT: time::Duration = time::Duration::from_secs(5);
/// Time after which a link is probed before use.
const LINK_IDLE: time::Duration = time::Duration::from_millis(2200);

async fn start() -> stack::Stack {
    let plan = stack::Plan { entries: 1, relays: true, ..stack::Plan::default() };
    let stack = stack::Stack::start(plan).await.unwrap();
    stack.wait_usable().await;
    stack
}

// Sends plain calls for a while and returns how many reached the backend server.
async fn calls_at(stack: &stack::Stack, server: &str, length: time::Duration) -> u64 {
    let counter = format!("{server}-status");
    let before = stack.runs(&counter).await;
    let start = time::Instant::now();
    while start.elapsed() < length {
        let reply = stack.caller(0).call(Method::GET, "/yard-app/status", &[], "").await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    stack.runs(&counter).await - before
}

// Runs that an agent refused because it leaves.
async fn refusals(stack: &stack::Stack, server: &str) -> u64 {
    let metrics = stack.metrics(stack.agents[server].http).await;
    let mut lines = metrics.lines();
    let line = lines.find_map(|line| {
        line.strip_prefix("rhubarb_agent_refused_total{reason=\"leaving\"} ")?.parse().ok()
    });
    line.unwrap_or(0)
}

// Guards against a load report that undoes what the platform's list says: the entry sent requests
// to a server that it knew to be leaving.
#[tokio::test(flavor = "multi_thread")]
async fn report_keeps_listed() {
    let stack = start().await;
    stack.mark_leaving("yard-1").await.unwrap();
    calls_at(&stack, "yard-1", NOTICE_LIMIT).await;
    assert_eq!(refusals(&stack, "yard-1").await, 0);
}

// Guards against a pong that undoes what the platform's list says, while the agent does not know it:
// the server got requests for as long as no datagram reached its agent.
#[tokio::test(flavor = "multi_thread")]
async fn pong_keeps_listed() {
    let stack = start().await;
    stack.relays["yard-1"].lose_datagrams();
    stack.mark_leaving("yard-1").await.unwrap();
    tokio::time::sleep(NOTICE_LIMIT).await;
    let key = stack.key_owned_by("yard-1", "pong");
    stack.caller(0).confirm(&key).await.unwrap();
    assert_eq!(calls_at(&stack, "yard-1", time::Duration::from_secs(1)).await, 0);
}

// Guards against new keys run by a leaving owner whose agent got no datagram.
#[tokio::test(flavor = "multi_thread")]
async fn owner_told() {
    let stack = start().await;
    let known = stack.key_owned_by("yard-1", "known");
    let first = stack.caller(0).confirm(&known).await.unwrap();
    assert_eq!(first.status, 200, "{}", first.body);
    stack.relays["yard-1"].lose_datagrams();
    stack.mark_leaving("yard-1").await.unwrap();
    tokio::time::sleep(NOTICE_LIMIT).await;
    let key = stack.key_owned_by("yard-1", "new");
    let reply = stack.caller(0).confirm(&key).await.unwrap();
    assert_eq!((reply.status, reply.reason().as_str()), (503, "leaving"), "{}", reply.body);
    assert_eq!(reply.outcome(), Some("not-run"));
    assert_eq!(stack.runs(&key).await, 0);
    let again = stack.caller(0).confirm(&known).await.unwrap();
    assert_eq!((again.status, again.body), (200, first.body));
}

// Guards against a decode server charged with the refusal of a prefill server: the next completions
// found no server.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_attributed() {
    let stack = start().await;
    for server in ["decode-1", "prefill-1"] {
        stack.relays[server].lose_datagrams();
        stack.ctl(&["drain", server]).unwrap();
    }
    for number in 0..CALLS {
        let reply = stack.caller(0).complete(&format!("lot {number}"), TOKENS).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
}

// Guards against a request sent to a server whose agent said that it leaves after it was chosen,
// while the link to it was probed.
#[tokio::test(flavor = "multi_thread")]
async fn checked_before_send() {
    let stack = start().await;
    let leaving = ["yard-1", "decode-1", "prefill-1"];
    for server in leaving {
        stack.relays[server].lose_datagrams();
    }
    tokio::time::sleep(LINK_IDLE).await;
    for server in leaving {
        stack.ctl(&["drain", server]).unwrap();
    }
    for number in 0..CALLS {
        let reply = stack.caller(0).call(Method::GET, "/yard-app/x", &[], "").await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        let reply = stack.caller(0).complete(&format!("lot {number}"), TOKENS).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    for server in leaving {
        assert_eq!(refusals(&stack, server).await, 0, "{server}");
    }
}

// Sends a completion whose prompt waits, and drains the decode server once it holds a slot for it;
// returns that server.
async fn drain_reserved(
    stack: &stack::Stack,
) -> (String, tokio::task::JoinHandle<rhubarb_e2e::caller::Reply>) {
    for server in ["prefill-1", "prefill-2"] {
        stack.switch(server, "frozen").await.unwrap();
    }
    let caller = stack.caller(0);
    let call = tokio::spawn(async move { caller.complete("reserved lot", TOKENS).await.unwrap() });
    let holds = async |server: &str| stack.status(stack.agents[server].http).await["held"] == 1;
    let is_reserved = async || holds("decode-1").await || holds("decode-2").await;
    stack.wait_until("a slot is reserved", is_reserved).await;
    let server = if holds("decode-1").await { "decode-1" } else { "decode-2" };
    stack.ctl(&["drain", server]).unwrap();
    (server.to_string(), call)
}

async fn release_prompts(stack: &stack::Stack) {
    for server in ["prefill-1", "prefill-2"] {
        stack.switch(server, "up").await.unwrap();
    }
}

// Work that a server accepted before it left is not dropped.
#[tokio::test(flavor = "multi_thread")]
async fn reserved_slot_used() {
    let stack = start().await;
    let (server, call) = drain_reserved(&stack).await;
    release_prompts(&stack).await;
    let reply = call.await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(reply.text(), tokens::answer("reserved lot", TOKENS));
    assert_eq!(runs_of(&stack, &server).await, 1);
}

// A slot that was reserved before a server left is not used after the notice.
#[tokio::test(flavor = "multi_thread")]
async fn reserved_slot_expires() {
    let stack = start().await;
    let (server, call) = drain_reserved(&stack).await;
    tokio::time::sleep(NOTICE_LIMIT).await;
    release_prompts(&stack).await;
    call.await.unwrap();
    assert_eq!(runs_of(&stack, &server).await, 0);
}

// Runs that an agent handed to its server.
async fn runs_of(stack: &stack::Stack, server: &str) -> u64 {
    let metrics = stack.metrics(stack.agents[server].http).await;
    let mut lines = metrics.lines();
    let runs = lines.find_map(|line| line.strip_prefix("rhubarb_agent_runs_total ")?.parse().ok());
    runs.unwrap_or_else(|| panic!("no count of runs in {metrics}"))
}
