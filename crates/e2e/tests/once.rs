//! Each idempotency key runs at most once, through process kills, faults and restarts.

use std::time;

use rhubarb_e2e::{relay, stack};

const RETRY_WINDOW: &str = "12s";
const WINDOW_DURATION: time::Duration = time::Duration::from_secs(12);

fn short_window() -> stack::Plan {
    let list = stack::service_list(RETRY_WINDOW, "10s");
    stack::Plan { list, relays: true, ..stack::Plan::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_killed() {
    let mut stack = stack::Stack::start(short_window()).await.unwrap();
    let lost = stack.key_owned_by("yard-1", "lost");
    let caller = stack.caller(0);
    assert_eq!(caller.confirm(&lost).await.unwrap().status, 200);
    stack.agents.get_mut("yard-1").unwrap().kill();
    stack.start_agent("yard-1").await.unwrap();
    stack.wait_agents().await;
    let killed = time::Instant::now();

    // Keys of the killed agent are rejected at once, with an unknown outcome and a retry time.
    let is_uncertain = async || {
        let reply = stack.caller(1).confirm(&lost).await.unwrap();
        reply.reason() == "key-uncertain"
    };
    stack.wait_until("the restarted agent rejects its keys", is_uncertain).await;
    let reply = stack.caller(1).confirm(&lost).await.unwrap();
    assert_eq!((reply.status, reply.outcome()), (503, Some("unknown")), "{}", reply.body);
    assert!(reply.header("retry-after").is_some());
    assert!(reply.elapsed < time::Duration::from_secs(1), "rejected after {:?}", reply.elapsed);

    // Keys of other servers still run.
    for server in ["yard-2", "yard-3"] {
        let key = stack.key_owned_by(server, "other");
        let reply = stack.caller(0).confirm(&key).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    assert_eq!(stack.runs(&lost).await, 1);

    // New keys run again when the retry window ends.
    let fresh = stack.key_owned_by("yard-1", "fresh");
    let runs_again = async || stack.caller(0).confirm(&fresh).await.unwrap().status == 200;
    stack.wait_within(WINDOW_DURATION * 2, "new keys run again", runs_again).await;
    assert!(killed.elapsed() > WINDOW_DURATION / 2);
    assert_eq!(stack.runs(&fresh).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_agent_latency() {
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let key = stack.key_owned_by("yard-1", "dead");
    stack.agents.get_mut("yard-1").unwrap().kill();
    for _ in 0..5 {
        let reply = stack.caller(0).confirm(&key).await.unwrap();
        assert_eq!(reply.outcome(), Some("unknown"), "{}", reply.body);
        assert!(reply.elapsed < time::Duration::from_millis(500), "after {:?}", reply.elapsed);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_while_running() {
    let mut stack = stack::Stack::start(short_window()).await.unwrap();
    let key = stack.key_owned_by("yard-2", "running");
    let caller = stack.caller(0);
    let sent = key.clone();
    let call = tokio::spawn(async move { caller.confirm_slowly(&sent, 2000).await.unwrap() });
    stack.wait_until("the key runs", async || stack.runs(&key).await == 1).await;
    stack.agents.get_mut("yard-2").unwrap().kill();
    let reply = call.await.unwrap();
    assert_eq!((reply.status, reply.outcome()), (502, Some("unknown")), "{}", reply.body);
    stack.start_agent("yard-2").await.unwrap();
    stack.wait_agents().await;
    for entry in [0, 1] {
        let reply = stack.caller(entry).confirm(&key).await.unwrap();
        assert_ne!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.outcome(), Some("unknown"), "{}", reply.body);
    }
    assert_eq!(stack.runs(&key).await, 1);
}

// The drain of the agent ends at its limit while the key runs.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_while_running() {
    let plan = stack::Plan { drain: "500ms".to_string(), ..short_window() };
    let mut stack = stack::Stack::start(plan).await.unwrap();
    let key = stack.key_owned_by("yard-2", "running");
    let caller = stack.caller(0);
    let sent = key.clone();
    let call = tokio::spawn(async move { caller.confirm_slowly(&sent, 4000).await.unwrap() });
    stack.wait_until("the key runs", async || stack.runs(&key).await == 1).await;
    stack.stop_agent("yard-2").await;
    let reply = call.await.unwrap();
    assert_eq!((reply.status, reply.outcome()), (502, Some("unknown")), "{}", reply.body);
    stack.start_agent("yard-2").await.unwrap();
    stack.wait_agents().await;
    stack.wait_usable().await;
    for entry in [0, 1] {
        // Until it reads the instance list again, an entry knows only the address before the restart.
        let call = async || stack.caller(entry).confirm(&key).await.unwrap();
        let finds_agent = async || call().await.reason() != "no-server";
        stack.wait_until("the entry finds the restarted agent", finds_agent).await;
        let reply = call().await;
        assert_eq!((reply.status, reply.outcome()), (503, Some("unknown")), "{}", reply.body);
        assert_eq!(reply.reason(), "key-uncertain", "{}", reply.body);
    }
    assert_eq!(stack.runs(&key).await, 1);
    // The records were handed over, so other keys run at once.
    let other = stack.key_owned_by("yard-2", "other");
    let reply = stack.caller(0).confirm(&other).await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_closed() {
    let stack = stack::Stack::start(short_window()).await.unwrap();
    let key = stack.key_owned_by("yard-3", "cut");
    let caller = stack.caller(0);
    let sent = key.clone();
    let call = tokio::spawn(async move { caller.confirm_slowly(&sent, 1500).await.unwrap() });
    stack.wait_until("the key runs", async || stack.runs(&key).await == 1).await;
    stack.relays["yard-3"].disconnect();
    let reply = call.await.unwrap();
    assert_eq!(reply.status, 200, "the run is resumed: {}", reply.body);
    assert_eq!(stack.runs(&key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_frozen() {
    let stack = stack::Stack::start(short_window()).await.unwrap();
    let key = stack.key_owned_by("yard-1", "frozen");
    stack.caller(0).confirm(&stack.key_owned_by("yard-1", "warm")).await.unwrap();
    stack.agents["yard-1"].freeze();
    let reply = stack.caller(0).confirm(&key).await.unwrap();
    assert_eq!(reply.outcome(), Some("unknown"), "{}", reply.body);
    let retried = stack.caller(1).confirm(&key).await.unwrap();
    assert_eq!(retried.outcome(), Some("unknown"), "{}", retried.body);
    stack.agents["yard-1"].thaw();
    let answered = async || stack.caller(1).confirm(&key).await.unwrap().status == 200;
    stack.wait_until("the key is answered", answered).await;
    assert_eq!(stack.runs(&key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn delayed_order() {
    let stack = stack::Stack::start(short_window()).await.unwrap();
    stack.caller(0).confirm(&stack.key_owned_by("yard-1", "warm")).await.unwrap();
    // The relay buffers the order until the entry has given up, and then delivers it.
    let key = stack.key_owned_by("yard-1", "delayed");
    stack.relays["yard-1"].set_modes(relay::Mode::Buffer, relay::Mode::Forward);
    let reply = stack.caller(0).confirm(&key).await.unwrap();
    assert_ne!(reply.status, 200);
    let reported_not_run = reply.outcome() == Some("not-run");
    stack.relays["yard-1"].set_modes(relay::Mode::Forward, relay::Mode::Forward);
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let runs = stack.runs(&key).await;
    assert!(runs <= 1);
    assert!(!(reported_not_run && runs > 0), "ran although reported as not run");
    let answered = async || stack.caller(1).confirm(&key).await.unwrap().status == 200;
    stack.wait_until("the key is answered", answered).await;
    assert_eq!(stack.runs(&key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_completion() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let key = [("idempotency-key", "certificate-9")];
    let (first, second) = (stack.caller(0), stack.caller(1));
    let (first, second) = tokio::join!(
        first.complete_with("long justification", 60, &key),
        second.complete_with("long justification", 60, &key),
    );
    let (first, second) = (first.unwrap(), second.unwrap());
    let (complete, other) = if first.status == 200 { (first, second) } else { (second, first) };
    assert_eq!(complete.status, 200, "{}", complete.body);
    assert_eq!((other.status, other.reason().as_str()), (409, "key-running"));
    let repeated = stack.caller(1).complete_with("long justification", 60, &key).await.unwrap();
    assert_eq!(repeated.text(), complete.text());
    assert_eq!(repeated.json()["usage"], complete.json()["usage"]);
    assert_eq!(stack.runs("certificate-9").await, 1);
    let is_free = async || stack.requests_in_memory().await == 0;
    stack.wait_until("engine memory is free", is_free).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn response_store_full() {
    let plan = stack::Plan { answer_bytes: 300, ..stack::Plan::default() };
    let stack = stack::Stack::start(plan).await.unwrap();
    let first = stack.key_owned_by("yard-1", "first");
    let mut keys = (0..9).map(|number| stack.key_owned_by("yard-1", &format!("more-{number}")));
    assert_eq!(stack.caller(0).confirm(&first).await.unwrap().status, 200);
    let rejected = loop {
        let key = keys.next().expect("the response store fills up");
        let reply = stack.caller(0).confirm(&key).await.unwrap();
        if reply.status != 200 {
            break (key, reply);
        }
    };
    let (key, reply) = rejected;
    assert_eq!((reply.reason().as_str(), reply.outcome()), ("records-full", Some("not-run")));
    assert_eq!(stack.runs(&key).await, 0);
    assert_eq!(
        stack.caller(1).confirm(&first).await.unwrap().status,
        200,
        "the stored response is still returned"
    );
    let other = stack.caller(0).call(hyper::Method::GET, "/yard-app/x", &[], "").await.unwrap();
    assert_eq!(other.status, 200, "calls without a key still run");
}

#[tokio::test(flavor = "multi_thread")]
async fn table_down() {
    let stack = stack::Stack::start(short_window()).await.unwrap();
    stack.switch("table", "down").await.unwrap();
    for number in 0..20 {
        let key = format!("outage-{number}");
        let first = stack.caller(0).confirm(&key).await.unwrap();
        let second = stack.caller(1).confirm(&key).await.unwrap();
        assert_eq!((first.status, second.status), (200, 200), "{} {}", first.body, second.body);
        assert_eq!(stack.runs(&key).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_during_outage() {
    let mut stack = stack::Stack::start(short_window()).await.unwrap();
    let lost = stack.key_owned_by("yard-1", "lost");
    stack.caller(0).confirm(&lost).await.unwrap();
    stack.switch("table", "down").await.unwrap();
    stack.agents.get_mut("yard-1").unwrap().kill();
    stack.start_agent("yard-1").await.unwrap();
    let has_list = async || stack.status(stack.agents["yard-1"].http).await["loaded"] == true;
    stack.wait_until("the agent receives the list from its peers", has_list).await;
    let is_rejected =
        async || stack.caller(1).confirm(&lost).await.unwrap().reason() == "key-uncertain";
    stack.wait_until("its keys are rejected", is_rejected).await;
    for server in ["yard-2", "yard-3"] {
        let key = stack.key_owned_by(server, "other");
        assert_eq!(stack.caller(0).confirm(&key).await.unwrap().status, 200);
    }
    assert_eq!(stack.runs(&lost).await, 1);

    // New keys run again after the window, while the table is still down.
    let fresh = stack.key_owned_by("yard-1", "fresh");
    let runs_again = async || stack.caller(0).confirm(&fresh).await.unwrap().status == 200;
    stack.wait_within(WINDOW_DURATION * 2, "new keys run during the outage", runs_again).await;

    // The next process does not rely on the table, which has no record of the previous process.
    stack.agents.get_mut("yard-1").unwrap().kill();
    stack.switch("table", "up").await.unwrap();
    stack.start_agent("yard-1").await.unwrap();
    stack.wait_agents().await;
    let is_rejected = async || {
        let reply = stack.caller(1).confirm(&fresh).await.unwrap();
        assert_ne!(reply.status, 200, "it may have run: {}", reply.body);
        reply.reason() == "key-uncertain"
    };
    stack.wait_until("the next process rejects the key", is_rejected).await;
    assert_eq!(stack.runs(&fresh).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_restart() {
    let mut stack = stack::Stack::start(short_window()).await.unwrap();
    let key = stack.key_owned_by("yard-1", "kept");
    let first = stack.caller(0).confirm(&key).await.unwrap();
    stack.stop_agent("yard-1").await;
    stack.start_agent("yard-1").await.unwrap();
    stack.wait_agents().await;
    let is_same = async || {
        let reply = stack.caller(1).confirm(&key).await.unwrap();
        reply.status == 200 && reply.body == first.body
    };
    stack.wait_until("the next process returns the same response", is_same).await;
    let fresh = stack.key_owned_by("yard-1", "fresh");
    let runs = async || stack.caller(0).confirm(&fresh).await.unwrap().status == 200;
    stack.wait_within(WINDOW_DURATION / 2, "new keys run without a wait", runs).await;
    assert_eq!(stack.runs(&key).await, 1);
}
