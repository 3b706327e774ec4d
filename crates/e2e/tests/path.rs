//! Model requests through entries, agents and engines as separate processes.

use hyper::Method;

use rhubarb_e2e::stack;
use rhubarb_fakes::tokens;

#[tokio::test(flavor = "multi_thread")]
async fn buffered_completion() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let reply = stack.caller(0).complete("grade lot 7", 12).await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(reply.text(), tokens::answer("grade lot 7", 12));
    let usage = &reply.json()["usage"];
    assert_eq!(usage["prompt_tokens"], u64::from(tokens::prompt_tokens("grade lot 7")));
    assert_eq!(usage["completion_tokens"], u64::from(tokens::length("grade lot 7", 12)));
}

#[tokio::test(flavor = "multi_thread")]
async fn streamed_completion() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let mut stream = stack.caller(1).stream("long summary", 40).await.unwrap();
    assert_eq!(stream.read_to_end().await.unwrap(), tokens::answer("long summary", 40));
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_completion() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let body = r#"{"model":"clip-models","max_tokens":9,
        "messages":[{"role":"user","content":"hello"}]}"#;
    let caller = stack.caller(0);
    let reply = caller.call(Method::POST, "/v1/chat/completions", &[], body).await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.body);
    let text = reply.json()["choices"][0]["message"]["content"].clone();
    assert_eq!(text, tokens::answer("user: hello\n", 9));
}

// Prompts that can no longer meet their latency target are rejected, so the result of a burst
// against the example targets would depend on the speed of the machine.
fn relaxed_targets() -> stack::Plan {
    let list = stack::service_list("10m", "60s");
    let list = list.replace("first_token = 460ms", "first_token = 30s");
    stack::Plan { list: list.replace("max_wait = 2s", "max_wait = 30s"), ..stack::Plan::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_callers() {
    let stack = stack::Stack::start(relaxed_targets()).await.unwrap();
    let calls = (0..60).map(|number| {
        let caller = stack.caller(number % 2);
        tokio::spawn(async move {
            let prompt = format!("lot {number}");
            let reply = caller.complete(&prompt, 16).await.unwrap();
            assert_eq!(reply.text(), tokens::answer(&prompt, 16), "{}", reply.body);
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.unwrap();
    }
    stack.wait_until("engine memory is free", async || stack.requests_in_memory().await == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_frees_memory() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let mut stream = stack.caller(0).stream("long answer", 100_000).await.unwrap();
    stream.next().await.unwrap();
    assert!(stack.requests_in_memory().await > 0);
    drop(stream);
    let timeout = std::time::Duration::from_secs(3);
    stack
        .wait_within(timeout, "engine memory is free", async || {
            stack.requests_in_memory().await == 0
        })
        .await;
}
