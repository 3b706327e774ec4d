//! Backend servers and platform services that answer a request twice, the second time when the next
//! request has arrived on the same connection.

use std::{env, fs};

use hyper::Method;

use rhubarb_e2e::{process, stack};
use rhubarb_fakes::{stutter, tokens};
use rhubarb_node::{objects, table};

const CALLS: usize = 30;
const TOKENS: u32 = 12;

async fn start() -> stack::Stack {
    let plan = stack::Plan { stutters: true, ..stack::Plan::default() };
    let stack = stack::Stack::start(plan).await.unwrap();
    stack.stutter.set_repeats(true);
    stack
}

async fn start_fakes() -> (process::Process, stutter::Stutter) {
    let log = env::temp_dir().join(format!("rhubarb-fakes-{:08x}.log", rand::random::<u32>()));
    let fakes = process::Process::start("rhubarb-fakes", &[], &log).unwrap();
    let _ = fs::remove_file(log);
    let stutter = stutter::Stutter::start(fakes.http).await.unwrap();
    stutter.set_repeats(true);
    (fakes, stutter)
}

// Guards against the late second answer of a plain server being taken for that of the next request.
#[tokio::test(flavor = "multi_thread")]
async fn plain_answers() {
    let stack = start().await;
    for number in 0..CALLS {
        let path = format!("/lots/{number}");
        let target = format!("/yard-app{path}");
        let reply = stack.caller(number % 2).call(Method::GET, &target, &[], "").await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.json()["path"], path);
    }
}

// Guards against the late second answer of an engine being taken for that of the next request.
#[tokio::test(flavor = "multi_thread")]
async fn engine_answers() {
    let stack = start().await;
    for number in 0..CALLS {
        let prompt = format!("grade lot {number}");
        let reply = stack.caller(0).complete(&prompt, TOKENS).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.text(), tokens::answer(&prompt, TOKENS), "{prompt}");
    }
    for agent in stack.agents.values() {
        let metrics = stack.metrics(agent.http).await;
        let refused: Vec<_> = metrics
            .lines()
            .filter(|line| line.contains("refused_total{") && !line.ends_with(" 0"))
            .collect();
        assert!(refused.is_empty(), "{refused:?}");
    }
}

// Guards against the late second answer of the table being taken for that of a write: a conflict
// counted as committed, as two agents with one fencing number.
#[tokio::test(flavor = "multi_thread")]
async fn table_conflict() {
    let (_fakes, stutter) = start_fakes().await;
    let table = table::Table::new(&format!("http://{}/table", stutter.address));
    let first = table.write("slot/yard-1", 0, "first", "a").await.unwrap();
    assert_eq!(first, table::WriteOutcome::Committed(1));
    for _ in 0..CALLS {
        assert!(table.read("slot/yard-1").await.unwrap().is_some());
        let outcome = table.write("slot/yard-1", 0, "second", "b").await.unwrap();
        let table::WriteOutcome::Conflict(Some(row)) = outcome else { panic!("{outcome:?}") };
        assert_eq!((row.version, row.value.as_str()), (1, "a"));
        assert_eq!(table.read("slot/yard-2").await.unwrap(), None);
    }
}

// Guards against the late second answer of the object store being taken for another object or for
// that of a write: usage records counted twice or lost.
#[tokio::test(flavor = "multi_thread")]
async fn objects_own() {
    let (_fakes, stutter) = start_fakes().await;
    let objects = objects::Objects::new(&format!("http://{}/objects", stutter.address));
    for number in 0..CALLS {
        objects.put(&format!("usage/{number}"), number.to_string()).await.unwrap();
    }
    for number in 0..CALLS {
        let content = objects.get(&format!("usage/{number}")).await.unwrap();
        assert_eq!(content, Some(number.to_string()));
    }
    assert_eq!(objects.names("usage/").await.unwrap().len(), CALLS);
}

// Guards against late second answers to an operator's first list: whether it took effect was
// reported as unknown.
#[tokio::test(flavor = "multi_thread")]
async fn first_list() {
    let plan = stack::Plan { stutters: true, ..stack::Plan::default() };
    let stack = stack::Stack::start_without_list(plan).await.unwrap();
    stack.stutter.set_repeats(true);
    let applied = stack.apply(&stack::service_list("10m", "60s"), 0).unwrap();
    assert!(applied.contains("version 1"), "{applied}");
}
