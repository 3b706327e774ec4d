//! The usage report agrees with the responses that callers received, through lost store responses,
//! outages and kills.

use std::time;

use rhubarb_e2e::stack;

const REPORT_TIMEOUT: time::Duration = time::Duration::from_secs(10);

fn row<'a>(report: &'a serde_json::Value, service: &str) -> Option<&'a serde_json::Value> {
    report["rows"].as_array()?.iter().find(|row| row["service"] == service)
}

fn count(report: &serde_json::Value, service: &str, kind: &str, name: &str) -> u64 {
    row(report, service).and_then(|row| row["totals"][kind][name].as_u64()).unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn totals_agree() {
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let (mut output_tokens, mut prompt_tokens) = (0, 0);
    for number in 0..6 {
        let reply = stack.caller(number % 2).complete(&format!("lot {number}"), 12).await.unwrap();
        output_tokens += reply.json()["usage"]["completion_tokens"].as_u64().unwrap();
        prompt_tokens += reply.json()["usage"]["prompt_tokens"].as_u64().unwrap();
    }
    for number in 0..4 {
        stack.caller(0).confirm(&format!("lot-{number}")).await.unwrap();
    }
    // The store loses its responses and then goes down; each record still counts exactly once.
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
    assert_eq!(totals["output_tokens"], output_tokens);
    assert_eq!(totals["prefill_tokens"], prompt_tokens);
    assert_eq!(report["gaps"].as_array().unwrap().len(), 0, "{report}");
    assert_eq!(stack.report().unwrap()["rows"], report["rows"], "a second report is the same");
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_entry_gap() {
    let mut stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    stack.caller(0).confirm("lot-1").await.unwrap();
    let is_counted = async || {
        stack.report().is_ok_and(|report| count(&report, "yard-app", "outcomes", "answered") == 1)
    };
    stack.wait_within(REPORT_TIMEOUT, "the record is stored", is_counted).await;
    stack.entries[0].kill();
    let has_gap = async || {
        let report = stack.report().unwrap();
        report["gaps"].as_array().unwrap().iter().any(|gap| gap["entry"] == "entry-1")
    };
    stack.wait_within(REPORT_TIMEOUT, "the gap is reported", has_gap).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rejections_counted() {
    let stack = stack::Stack::start(stack::Plan::default()).await.unwrap();
    let post = |path: &'static str| {
        let caller = stack.caller(0);
        async move { caller.call(hyper::Method::POST, path, &[], "{}").await.unwrap() }
    };
    post("/yard-app/confirm").await;
    let metrics = stack.metrics(stack.entries[0].http).await;
    assert!(metrics.contains("rhubarb_entry_refused_total{reason=\"key-missing\"} 1"), "{metrics}");
    let is_counted = async || {
        let report = stack.report().unwrap();
        count(&report, "yard-app", "refusals", "key-missing") == 1
    };
    stack.wait_within(REPORT_TIMEOUT, "the rejection is reported", is_counted).await;
}
