//! Stand-in for the platform's list of live and leaving machines. It lags: what is set shows only
//! after a while.

use crate::standin::http::{json_answer, serve};
use eyre::Result;
use http_types::{Method, Request, Response};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use topazmount::Executor;

#[derive(Clone, Debug)]
struct Row {
    state: String,
    epoch: u64,
    shown_from: Instant,
}

type Rows = Arc<Mutex<BTreeMap<String, Vec<Row>>>>;

/// Starts the list; a `PUT /machines/{name}` with `{"state": "leaving"}` shows after `lag`.
///
/// # Errors
/// When the address can't be bound.
pub async fn start(executor: &Executor, address: SocketAddr, lag: Duration) -> Result<SocketAddr> {
    let rows = Rows::default();
    serve(executor, address, move |request| answer(request, rows.clone(), lag)).await
}

async fn answer(mut request: Request, rows: Rows, lag: Duration) -> Response {
    let path = request.url().path().to_owned();
    match (request.method(), path.strip_prefix("/machines/")) {
        (Method::Get, None) => json_answer(200, shown(&rows).to_string()),
        (Method::Put, Some(name)) => {
            let body = request.body_string().await.unwrap_or_default();
            let value: Value = serde_json::from_str(&body).unwrap_or_default();
            let state = value["state"].as_str().unwrap_or("live").to_owned();
            let mut rows = rows.lock().unwrap();
            let history = rows.entry(name.to_owned()).or_default();
            let epoch = history.last().map_or(0, |row| row.epoch) + 1;
            history.push(Row { state, epoch, shown_from: Instant::now() + lag });
            json_answer(200, json!({ "epoch": epoch }).to_string())
        }
        _ => json_answer(404, "{}".to_owned()),
    }
}

fn shown(rows: &Rows) -> Value {
    let now = Instant::now();
    let rows = rows.lock().unwrap();
    let newest = rows.iter().filter_map(|(name, history)| {
        let row = history.iter().rev().find(|row| row.shown_from <= now)?;
        Some(json!({ "name": name, "state": row.state, "epoch": row.epoch }))
    });
    newest.collect()
}
