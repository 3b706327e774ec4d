//! An accepted service list is in force everywhere within seconds, and never reverts.

use std::time;

use rhubarb_e2e::stack;

const IN_FORCE: time::Duration = time::Duration::from_secs(6);

fn edited(number: u32) -> String {
    stack::service_list("10m", "60s").replace("rate = 2000", &format!("rate = {}", 2000 + number))
}

async fn in_force(stack: &stack::Stack, version: u64) {
    let all = stack.entries.iter().chain(stack.agents.values());
    for address in all.map(|process| process.http) {
        let check = async || stack.status(address).await["version"] == version;
        stack.wait_within(IN_FORCE, "the version is in force", check).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn everywhere_soon() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    for version in 1..4 {
        stack.apply(&edited(version), u64::from(version)).unwrap();
        in_force(&stack, u64::from(version) + 1).await;
    }
    assert!(stack.ctl(&["show"]).unwrap().contains("rate = 2003"));
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_race() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.apply(&edited(1), 1).unwrap();
    let refused = stack.apply(&edited(2), 1).unwrap_err().to_string();
    assert!(refused.contains("exit 3"), "{refused}");
    assert!(refused.contains("version 2 is in force, not 1"), "{refused}");
    in_force(&stack, 2).await;
    assert!(stack.ctl(&["show"]).unwrap().contains("rate = 2001"));
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_lost() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.switch("table", "lost").await.unwrap();
    let unknown = stack.apply(&edited(1), 1).unwrap_err().to_string();
    assert!(unknown.contains("exit 4"), "{unknown}");
    stack.switch("table", "up").await.unwrap();
    let refused = stack.apply(&edited(1), 1);
    assert!(refused.is_ok() || refused.unwrap_err().to_string().contains("exit 3"));
    in_force(&stack, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_lost_once() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.switch("table", "lost-writes").await.unwrap();
    let printed = stack.apply(&edited(1), 1).unwrap();
    assert!(printed.contains("version 2 is accepted"), "settled by reading back: {printed}");
    in_force(&stack, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.switch("table", "down").await.unwrap();
    let away = stack.apply(&edited(1), 1).unwrap_err().to_string();
    assert!(away.contains("exit 4"), "{away}");
    assert_eq!(stack.caller(0).complete("in the outage", 4).await.unwrap().status, 200);
    stack.switch("table", "up").await.unwrap();
    stack.apply(&edited(1), 1).unwrap();
    in_force(&stack, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn started_in_outage() {
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    for target in ["table", "instances"] {
        stack.switch(target, "down").await.unwrap();
    }
    stack.start_entry().await.unwrap();
    let serves = async || {
        let reply = stack.caller(2).complete("from a new entry", 4).await.unwrap();
        reply.status == 200
    };
    stack.wait_within(IN_FORCE, "a new entry learns the list from an agent", serves).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_through_versions() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.entries[1].freeze();
    stack.agents["yard-1"].freeze();
    for version in 1..4 {
        stack.apply(&edited(version), u64::from(version)).unwrap();
    }
    stack.entries[1].thaw();
    stack.agents["yard-1"].thaw();
    in_force(&stack, 4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn mistakes_refused() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let refused = stack.apply("[service x]\nkind = plain\n", 1).unwrap_err().to_string();
    assert!(refused.contains("exit 1"), "{refused}");
    assert!(refused.contains("line 1: [service x] names no server"), "{refused}");
}
