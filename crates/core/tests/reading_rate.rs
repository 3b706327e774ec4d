//! Rate at which the engines of a service read prompts: measured, and when it leaves the constant.

use std::time;

use rhubarb_core::{engines, fleet, ids, reading, speeds, stages};

const MILLI: time::Duration = time::Duration::from_millis(1);
const TOKENS: u32 = 3_000;

fn engines(count: usize) -> engines::Engines {
    let mut engines = engines::Engines::default();
    for number in 0..count {
        let instance = fleet::Instance {
            service: "models".into(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "hall-a".into(),
            slots: 32,
            stage: Some(fleet::Stage::Prefill),
            leaving: false,
            software: "v1".into(),
            started_ms: None,
        };
        engines.set(&format!("e-{number}"), &instance, 32, 30_000);
    }
    engines
}

/// Tells `engines` of prompts that each of `count` engines read; the time of the n-th is a multiple
/// of the one at `tokens_per_ms`.
fn tell(
    engines: &mut engines::Engines,
    count: usize,
    tokens_per_ms: f64,
    multiple: impl Fn(usize) -> f64,
) {
    for number in 0..40 * count {
        let nanos = 1e6 / tokens_per_ms * multiple(number);
        engines.merge_speed(speeds::Sample {
            server: ids::server_tag(&format!("e-{}", number % count)),
            work: speeds::Work::Prompt,
            nanos: nanos as u32,
        });
    }
}

/// Guards against use, backlogs and waits that are wrong by 1.7 where engines read 55 tokens in a
/// millisecond (issue 37).
#[test]
fn faster_service() {
    let mut engines = engines(8);
    tell(&mut engines, 8, 55.5, |number| 0.94 + 0.04 * (number % 4) as f64);
    let time = engines.reading().prefill_time(TOKENS);
    assert!((60 * MILLI..68 * MILLI).contains(&time), "{time:?}");
    let at_decode = engines.reading().decode_prefill_time(TOKENS);
    assert!((160 * MILLI..184 * MILLI).contains(&at_decode), "{at_decode:?}");
    let now = time::Instant::now();
    assert_eq!(engines.shortest_prefill(TOKENS, None, |_| 0, now), Some(time));
    let costs = stages::Costs { prefill: 0.1, decode: 0.5 };
    let scaled = engines.reading().apply(costs);
    assert!((0.059..0.068).contains(&scaled.prefill), "{scaled:?}");
    assert_eq!(scaled.decode, costs.decode);
}

/// The first samples change nothing, and neither does one engine that knows no more than them.
#[test]
fn few_samples() {
    let mut engines = engines(4);
    for _ in 0..31 {
        engines.record_prompt_time("e-0", TOKENS, 50 * MILLI, 100 * MILLI);
    }
    assert_eq!(engines.reading(), reading::Rate::default());
    engines.record_prompt_time("e-0", TOKENS, 50 * MILLI, 100 * MILLI);
    assert_ne!(engines.reading(), reading::Rate::default());
}

/// Where engines read 33 tokens in a millisecond, queues that are not known, pauses, noise of
/// neighbours and some engines of another speed leave the constant.
#[test]
fn constant_kept() {
    let cases: [fn(usize) -> f64; 5] = [
        |number| 0.92 + 0.02 * (number % 8) as f64,
        // A third had another prompt before them.
        |number| if number % 3 == 0 { 2.0 } else { 1.05 },
        // Of seven, one was slowed by a neighbour.
        |number| if number % 7 == 0 { 2.5 } else { 1.0 },
        // A quarter of the engines take twice the time.
        |number| if number % 4 == 0 { 1.0 / 0.55 } else { 1.0 / 1.2 },
        |number| if number % 10 == 0 { 50.0 } else { 1.0 },
    ];
    for (case, multiple) in cases.into_iter().enumerate() {
        let mut engines = engines(8);
        tell(&mut engines, 8, 33.0, multiple);
        assert_eq!(engines.reading(), reading::Rate::default(), "case {case}");
        let costs = stages::Costs { prefill: 0.101_123, decode: 0.5 };
        assert_eq!(engines.reading().apply(costs), costs);
    }
}

/// What is taken over is bounded, whatever is measured or told.
#[test]
fn bounded() {
    for (tokens_per_ms, least, most) in [(100_000.0, 30, 33), (0.5, 350, 375)] {
        let mut engines = engines(2);
        tell(&mut engines, 2, tokens_per_ms, |_| 1.0);
        let time = engines.reading().prefill_time(TOKENS);
        assert!((least * MILLI..most * MILLI).contains(&time), "{time:?}");
    }
}

/// An estimate near the limit moves the rate little by little: stages do not go to and fro by it.
#[test]
fn no_jump() {
    let rate = |difference: f64| {
        let log = (1e6 / 33.0_f64).ln() + difference;
        reading::Rate::measured(log, 1_000).prefill_time(TOKENS).as_secs_f64()
    };
    let steps = (-150..150).map(|step| f64::from(step) / 100.0);
    for difference in steps {
        let ratio = rate(difference + 0.01) / rate(difference);
        assert!((1.0..1.04).contains(&ratio), "{difference}: {ratio}");
    }
}

/// Backlogs that were too long with the constant give clean samples, and those that follow from a
/// wrong rate correct it: an idle engine's prompts count, whatever the rate was before.
#[test]
fn no_feedback() {
    let mut engines = engines(1);
    tell(&mut engines, 1, 120.0, |_| 1.0);
    let fast = engines.reading().prefill_time(TOKENS);
    let mut now = time::Instant::now();
    for _ in 0..400 {
        let expected = engines.shortest_prefill(TOKENS, None, |_| 0, now).unwrap();
        engines.record_prefill("e-0", TOKENS, now);
        engines.record_prompt_time("e-0", TOKENS, 100 * MILLI, expected);
        now += 150 * MILLI;
    }
    assert!(engines.reading().prefill_time(TOKENS) > 3 * fast / 2);
    assert_eq!(engines.reading(), reading::Rate::default());
}

/// Short prompts, of which the fixed part hides the rate, are no samples.
#[test]
fn short_prompts() {
    let mut engines = engines(1);
    for _ in 0..200 {
        engines.record_prompt_time("e-0", 200, 30 * MILLI, 16 * MILLI);
    }
    assert_eq!(engines.reading(), reading::Rate::default());
    assert_eq!(engines.take_speeds(12), []);
}
