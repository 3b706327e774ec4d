//! The report agrees with what callers got, through lost answers, outages and kills.

use std::time;

use rhubarb_e2e::stack;

const FLUSHED: time::Duration = time::Duration::from_secs(10);

fn row<'a>(report: &'a serde_json::Value, service: &str) -> Option<&'a serde_json::Value> {
    report["rows"].as_array()?.iter().find(|row| row["service"] == service)
}

fn count(report: &serde_json::Value, service: &str, kind: &str, name: &str) -> u64 {
    row(report, service).and_then(|row| row["totals"][kind][name].as_u64()).unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn totals_agree() {
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let (mut tokens, mut prompts) = (0, 0);
    for number in 0..6 {
        let reply = stack.caller(number % 2).complete(&format!("lot {number}"), 12).await.unwrap();
        tokens += reply.json()["usage"]["completion_tokens"].as_u64().unwrap();
        prompts += reply.json()["usage"]["prompt_tokens"].as_u64().unwrap();
    }
    for number in 0..4 {
        stack.caller(0).confirm(&format!("lot-{number}")).await.unwrap();
    }
    // Answers of the store are lost for a while; each record counts once all the same.
    stack.switch("objects", "lost").await.unwrap();
    stack.caller(1).confirm("lot-4").await.unwrap();
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    stack.switch("objects", "down").await.unwrap();
    stack.caller(1).confirm("lot-5").await.unwrap();
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    stack.switch("objects", "up").await.unwrap();
    for entry in [0, 1] {
        stack.entries[entry].terminate();
    }
    for entry in [0, 1] {
        assert_eq!(stack.wait_entry_exit(entry).await, 0);
    }
    let report = stack.report().unwrap();
    assert_eq!(count(&report, "clip-models", "outcomes", "answered"), 6, "{report}");
    assert_eq!(count(&report, "yard-app", "outcomes", "answered"), 6, "{report}");
    let totals = &row(&report, "clip-models").unwrap()["totals"];
    assert_eq!(totals["output_tokens"], tokens);
    assert_eq!(totals["prefill_tokens"], prompts);
    assert_eq!(report["gaps"].as_array().unwrap().len(), 0, "{report}");
    assert_eq!(stack.report().unwrap()["rows"], report["rows"], "merged again");
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_shows_gap() {
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.caller(0).confirm("lot-1").await.unwrap();
    let counted = async || {
        stack.report().is_ok_and(|report| count(&report, "yard-app", "outcomes", "answered") == 1)
    };
    stack.wait_within(FLUSHED, "the record is stored", counted).await;
    stack.entries[0].kill();
    let gap = async || {
        let report = stack.report().unwrap();
        report["gaps"].as_array().unwrap().iter().any(|gap| gap["entry"] == "entry-1")
    };
    stack.wait_within(FLUSHED, "the gap is named", gap).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_counted() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let post = |path: &'static str| {
        let caller = stack.caller(0);
        async move { caller.call(hyper::Method::POST, path, &[], "{}").await.unwrap() }
    };
    post("/yard-app/confirm").await;
    let metrics = stack.metrics(stack.entries[0].http).await;
    assert!(metrics.contains("rhubarb_entry_refused_total{reason=\"key-missing\"} 1"), "{metrics}");
    let counted = async || {
        let report = stack.report().unwrap();
        count(&report, "yard-app", "refusals", "key-missing") == 1
    };
    stack.wait_within(FLUSHED, "the refusal is reported", counted).await;
}
