//! `topazmount-lab load`: streamed chat requests at a steady rate.

use crate::cli::LoadFlags;
use crate::client;
use eyre::{Result, bail, eyre};
use hdrhistogram::Histogram;
use serde_json::json;
use std::time::{Duration, Instant};
use topazmount::Executor;

/// Exit status when a request was not answered in full.
const FAILED: u8 = 1;
/// Rates that one process can send.
const RATES: std::ops::RangeInclusive<f64> = 0.1..=5_000.0;

#[derive(Default)]
struct Counts {
    answered: u64,
    refused: u64,
    failed: u64,
}

/// Sends the load and prints what came back.
///
/// # Errors
/// When the rate is out of range.
pub async fn run(executor: &Executor, flags: &LoadFlags) -> Result<u8> {
    if !RATES.contains(&flags.rate) {
        bail!("rate {} is out of range; use {} to {}", flags.rate, RATES.start(), RATES.end());
    }
    let requests = (flags.rate * flags.seconds as f64).ceil() as u64;
    let started = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..requests {
        let due = started + Duration::from_secs_f64(number as f64 / flags.rate);
        async_io::Timer::at(due).await;
        let (flags, body) = (flags.clone(), body(flags, number));
        let sending = async move { client::chat(flags.target, &flags.api_key, &body).await };
        tasks.push(executor.spawn(sending));
    }
    let mut counts = Counts::default();
    let mut first_us = Histogram::<u64>::new(3).map_err(|error| eyre!("{error}"))?;
    for task in tasks {
        match task.await {
            Ok(answer) if answer.is_done => {
                counts.answered += 1;
                let first = answer.first_text.unwrap_or_default().as_micros() as u64;
                first_us.record(first.max(1)).map_err(|error| eyre!("{error}"))?;
            }
            Ok(answer) if answer.error.is_some() => counts.refused += 1,
            _ => counts.failed += 1,
        }
    }
    print(flags, &counts, &first_us);
    Ok(if counts.refused + counts.failed > 0 { FAILED } else { 0 })
}

fn body(flags: &LoadFlags, number: u64) -> serde_json::Value {
    let shared = "shared ".repeat(flags.prompt_bytes / 14);
    let own = format!("{number} ").repeat(flags.prompt_bytes / 2 / (1 + number.to_string().len()));
    json!({
        "model": flags.model, "stream": true, "max_tokens": flags.max_tokens,
        "messages": [{ "role": "user", "content": format!("{shared}{own}") }],
    })
}

fn print(flags: &LoadFlags, counts: &Counts, first_us: &Histogram<u64>) {
    let quantile = |share: f64| first_us.value_at_quantile(share) as f64 / 1_000.0;
    let (p50, p95, p99) = (quantile(0.5), quantile(0.95), quantile(0.99));
    if flags.json {
        let row = json!({
            "requests": counts.answered + counts.refused + counts.failed,
            "answered": counts.answered, "refused": counts.refused, "failed": counts.failed,
            "ttft_p50_ms": p50, "ttft_p95_ms": p95, "ttft_p99_ms": p99,
        });
        println!("{row}");
        return;
    }
    println!(
        "{} answered, {} refused, {} failed; first text p50 {p50:.2} ms, p95 {p95:.2} ms, \
         p99 {p99:.2} ms",
        counts.answered, counts.refused, counts.failed
    );
}
