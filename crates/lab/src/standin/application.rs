//! Stand-in application: runs calls and counts the runs of each key, the judge of at-most-once.

use crate::standin::http::{json_answer, serve};
use eyre::Result;
use http_types::{Method, Request, Response};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use topazmount::Executor;

/// Runs per idempotency key, shared by the replicas of one application.
pub type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

/// Starts one replica. It takes `work` for each call.
///
/// # Errors
/// When the address can't be bound.
pub async fn start(
    executor: &Executor,
    address: SocketAddr,
    runs: Runs,
    work: Duration,
) -> Result<SocketAddr> {
    serve(executor, address, move |request| answer(request, runs.clone(), work)).await
}

async fn answer(mut request: Request, runs: Runs, work: Duration) -> Response {
    let path = request.url().path().to_owned();
    if request.method() == Method::Get && path == "/runs" {
        let text = json!(*runs.lock().unwrap()).to_string();
        return json_answer(200, text);
    }
    let Some(key) = request.header("idempotency-key").map(|key| key.as_str().to_owned()) else {
        return json_answer(400, "{\"error\":\"no idempotency key\"}".to_owned());
    };
    let body = request.body_string().await.unwrap_or_default();
    let run = {
        let mut runs = runs.lock().unwrap();
        let run = runs.entry(key.clone()).or_default();
        *run += 1;
        *run
    };
    async_io::Timer::after(work).await;
    json_answer(
        200,
        json!({ "key": key, "run": run, "bytes": body.len(), "done": path }).to_string(),
    )
}
