//! An accepted service list takes effect in every process within seconds and is never reverted.

use std::time;

use rhubarb_e2e::stack;

const APPLY_TIMEOUT: time::Duration = time::Duration::from_secs(6);

fn edited_list(number: u32) -> String {
    stack::service_list("10m", "60s").replace("rate = 2000", &format!("rate = {}", 2000 + number))
}

async fn wait_applied(stack: &stack::Stack, version: u64) {
    let all = stack.entries.iter().chain(stack.agents.values());
    for address in all.map(|process| process.http) {
        let is_applied = async || stack.status(address).await["version"] == version;
        stack.wait_within(APPLY_TIMEOUT, "the version is in force", is_applied).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn applied_everywhere() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    for version in 1..4 {
        stack.apply(&edited_list(version), u64::from(version)).unwrap();
        wait_applied(&stack, u64::from(version) + 1).await;
    }
    assert!(stack.ctl(&["show"]).unwrap().contains("rate = 2003"));
}

#[tokio::test(flavor = "multi_thread")]
async fn conflicting_apply() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.apply(&edited_list(1), 1).unwrap();
    let conflict = stack.apply(&edited_list(2), 1).unwrap_err().to_string();
    assert!(conflict.contains("exit 3"), "{conflict}");
    assert!(conflict.contains("version 2 is in force, not 1"), "{conflict}");
    wait_applied(&stack, 2).await;
    assert!(stack.ctl(&["show"]).unwrap().contains("rate = 2001"));
}

#[tokio::test(flavor = "multi_thread")]
async fn table_responses_lost() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.switch("table", "lost").await.unwrap();
    let unknown = stack.apply(&edited_list(1), 1).unwrap_err().to_string();
    assert!(unknown.contains("exit 4"), "{unknown}");
    stack.switch("table", "up").await.unwrap();
    let retried = stack.apply(&edited_list(1), 1);
    assert!(retried.is_ok() || retried.unwrap_err().to_string().contains("exit 3"));
    wait_applied(&stack, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn write_response_lost() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.switch("table", "lost-writes").await.unwrap();
    let printed = stack.apply(&edited_list(1), 1).unwrap();
    assert!(
        printed.contains("version 2 is accepted"),
        "the outcome is read back from the table: {printed}"
    );
    wait_applied(&stack, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn table_down() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.switch("table", "down").await.unwrap();
    let failed = stack.apply(&edited_list(1), 1).unwrap_err().to_string();
    assert!(failed.contains("exit 4"), "{failed}");
    assert_eq!(stack.caller(0).complete("in the outage", 4).await.unwrap().status, 200);
    stack.switch("table", "up").await.unwrap();
    stack.apply(&edited_list(1), 1).unwrap();
    wait_applied(&stack, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn start_during_outage() {
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    for target in ["table", "instances"] {
        stack.switch(target, "down").await.unwrap();
    }
    stack.start_entry().await.unwrap();
    let serves = async || {
        let reply = stack.caller(2).complete("from a new entry", 4).await.unwrap();
        reply.status == 200
    };
    stack.wait_within(APPLY_TIMEOUT, "a new entry receives the list from an agent", serves).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_catch_up() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.entries[1].freeze();
    stack.agents["yard-1"].freeze();
    for version in 1..4 {
        stack.apply(&edited_list(version), u64::from(version)).unwrap();
    }
    stack.entries[1].thaw();
    stack.agents["yard-1"].thaw();
    wait_applied(&stack, 4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_list_rejected() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let rejected = stack.apply("[service x]\nkind = plain\n", 1).unwrap_err().to_string();
    assert!(rejected.contains("exit 1"), "{rejected}");
    assert!(rejected.contains("line 1: [service x] names no server"), "{rejected}");
}
