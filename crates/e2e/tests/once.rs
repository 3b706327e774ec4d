//! Idempotency keys run at most once through real processes.

use std::time;

use rhubarb_e2e::{relay, stack};

const WINDOW: &str = "12s";
const WINDOW_TIME: time::Duration = time::Duration::from_secs(12);

fn short_window() -> stack::Plan {
    let list = stack::service_list(WINDOW, "10s");
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

    // The dead agent's keys are refused at once, truthfully, with when to come back.
    let uncertain = async || {
        let reply = stack.caller(1).confirm(&lost).await.unwrap();
        reply.reason() == "key-uncertain"
    };
    stack.wait_until("the restarted agent refuses its keys", uncertain).await;
    let reply = stack.caller(1).confirm(&lost).await.unwrap();
    assert_eq!((reply.status, reply.outcome()), (503, Some("unknown")), "{}", reply.body);
    assert!(reply.header("retry-after").is_some());
    assert!(reply.taken < time::Duration::from_secs(1), "held for {:?}", reply.taken);

    // All others go on.
    for server in ["yard-2", "yard-3"] {
        let key = stack.key_owned_by(server, "other");
        let reply = stack.caller(0).confirm(&key).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    assert_eq!(stack.runs(&lost).await, 1);

    // New keys run again once the window is over.
    let fresh = stack.key_owned_by("yard-1", "fresh");
    let runs_again = async || stack.caller(0).confirm(&fresh).await.unwrap().status == 200;
    stack.wait_within(WINDOW_TIME * 2, "new keys run again", runs_again).await;
    assert!(killed.elapsed() > WINDOW_TIME / 2);
    assert_eq!(stack.runs(&fresh).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn dead_answered_soon() {
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let key = stack.key_owned_by("yard-1", "dead");
    stack.agents.get_mut("yard-1").unwrap().kill();
    for _ in 0..5 {
        let reply = stack.caller(0).confirm(&key).await.unwrap();
        assert_eq!(reply.outcome(), Some("unknown"), "{}", reply.body);
        assert!(reply.taken < time::Duration::from_millis(500), "after {:?}", reply.taken);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_running() {
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

#[tokio::test(flavor = "multi_thread")]
async fn link_cut() {
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
    let again = stack.caller(1).confirm(&key).await.unwrap();
    assert_eq!(again.outcome(), Some("unknown"), "{}", again.body);
    stack.agents["yard-1"].thaw();
    let answered = async || stack.caller(1).confirm(&key).await.unwrap().status == 200;
    stack.wait_until("the key is answered", answered).await;
    assert_eq!(stack.runs(&key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn order_delayed() {
    let stack = stack::Stack::start(short_window()).await.unwrap();
    stack.caller(0).confirm(&stack.key_owned_by("yard-1", "warm")).await.unwrap();
    // The order stays in the socket; the entry gives up, and it arrives afterwards.
    let key = stack.key_owned_by("yard-1", "delayed");
    stack.relays["yard-1"].set_modes(relay::Mode::Buffer, relay::Mode::Forward);
    let reply = stack.caller(0).confirm(&key).await.unwrap();
    assert_ne!(reply.status, 200);
    let said_not_run = reply.outcome() == Some("not-run");
    stack.relays["yard-1"].set_modes(relay::Mode::Forward, relay::Mode::Forward);
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let runs = stack.runs(&key).await;
    assert!(runs <= 1);
    assert!(!(said_not_run && runs > 0), "ran after «not run»");
    let answered = async || stack.caller(1).confirm(&key).await.unwrap().status == 200;
    stack.wait_until("the key is answered", answered).await;
    assert_eq!(stack.runs(&key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_completion() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let key = [("idempotency-key", "certificate-9")];
    let (one, two) = (stack.caller(0), stack.caller(1));
    let (one, two) = tokio::join!(
        one.complete_with("long justification", 60, &key),
        two.complete_with("long justification", 60, &key),
    );
    let (one, two) = (one.unwrap(), two.unwrap());
    let (whole, other) = if one.status == 200 { (one, two) } else { (two, one) };
    assert_eq!(whole.status, 200, "{}", whole.body);
    assert_eq!((other.status, other.reason().as_str()), (409, "key-running"));
    let again = stack.caller(1).complete_with("long justification", 60, &key).await.unwrap();
    assert_eq!(again.text(), whole.text());
    assert_eq!(again.json()["usage"], whole.json()["usage"]);
    assert_eq!(stack.runs("certificate-9").await, 1);
    let gone = async || stack.requests_in_memory().await == 0;
    stack.wait_until("engine memory is free", gone).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_full() {
    let plan = stack::Plan { answer_bytes: 300, ..stack::Plan::default() };
    let stack = stack::Stack::start(plan).await.unwrap();
    let first = stack.key_owned_by("yard-1", "first");
    let mut keys = (0..9).map(|number| stack.key_owned_by("yard-1", &format!("more-{number}")));
    assert_eq!(stack.caller(0).confirm(&first).await.unwrap().status, 200);
    let refused = loop {
        let key = keys.next().expect("the answers do not fit");
        let reply = stack.caller(0).confirm(&key).await.unwrap();
        if reply.status != 200 {
            break (key, reply);
        }
    };
    let (key, reply) = refused;
    assert_eq!((reply.reason().as_str(), reply.outcome()), ("records-full", Some("not-run")));
    assert_eq!(stack.runs(&key).await, 0);
    assert_eq!(stack.caller(1).confirm(&first).await.unwrap().status, 200, "still answered");
    let other = stack.caller(0).call(hyper::Method::GET, "/yard-app/x", &[], "").await.unwrap();
    assert_eq!(other.status, 200, "calls without a key go on");
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
async fn agent_replaced_outage() {
    let mut stack = stack::Stack::start(short_window()).await.unwrap();
    let lost = stack.key_owned_by("yard-1", "lost");
    stack.caller(0).confirm(&lost).await.unwrap();
    stack.switch("table", "down").await.unwrap();
    stack.agents.get_mut("yard-1").unwrap().kill();
    stack.start_agent("yard-1").await.unwrap();
    let back = async || stack.status(stack.agents["yard-1"].http).await["loaded"] == true;
    stack.wait_until("the agent learns the list from its peers", back).await;
    let refused =
        async || stack.caller(1).confirm(&lost).await.unwrap().reason() == "key-uncertain";
    stack.wait_until("its keys are refused", refused).await;
    for server in ["yard-2", "yard-3"] {
        let key = stack.key_owned_by(server, "other");
        assert_eq!(stack.caller(0).confirm(&key).await.unwrap().status, 200);
    }
    assert_eq!(stack.runs(&lost).await, 1);

    // New keys run again after the window, while the table is still down.
    let fresh = stack.key_owned_by("yard-1", "fresh");
    let runs_again = async || stack.caller(0).confirm(&fresh).await.unwrap().status == 200;
    stack.wait_within(WINDOW_TIME * 2, "new keys run in the outage", runs_again).await;

    // The next process does not trust the table, which knows nothing of the one before.
    stack.agents.get_mut("yard-1").unwrap().kill();
    stack.switch("table", "up").await.unwrap();
    stack.start_agent("yard-1").await.unwrap();
    stack.wait_agents().await;
    let refused = async || {
        let reply = stack.caller(1).confirm(&fresh).await.unwrap();
        assert_ne!(reply.status, 200, "it may have run: {}", reply.body);
        reply.reason() == "key-uncertain"
    };
    stack.wait_until("the next process refuses the key", refused).await;
    assert_eq!(stack.runs(&fresh).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn stopped_in_order() {
    let mut stack = stack::Stack::start(short_window()).await.unwrap();
    let key = stack.key_owned_by("yard-1", "kept");
    let first = stack.caller(0).confirm(&key).await.unwrap();
    stack.stop_agent("yard-1").await;
    stack.start_agent("yard-1").await.unwrap();
    stack.wait_agents().await;
    let same = async || {
        let reply = stack.caller(1).confirm(&key).await.unwrap();
        reply.status == 200 && reply.body == first.body
    };
    stack.wait_until("the next process gives the same answer", same).await;
    let fresh = stack.key_owned_by("yard-1", "fresh");
    let runs = async || stack.caller(0).confirm(&fresh).await.unwrap().status == 200;
    stack.wait_within(WINDOW_TIME / 2, "new keys run without a wait", runs).await;
    assert_eq!(stack.runs(&key).await, 1);
}
