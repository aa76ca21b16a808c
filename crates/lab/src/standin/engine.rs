//! Stand-in engine: the engine model behind the published HTTP protocol.

use crate::engine::{
    EngineCore, EngineEvent, EngineParameters, EngineRefusal, Job, JobId, answer_length, token_text,
};
use crate::standin::http::{ChannelBody, json_answer, serve, wait_until};
use async_channel::{Receiver, Sender};
use eyre::Result;
use http_types::{Body, Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use topazmount::Executor;
use topazmount::chat_api::{BYTES_PER_TOKEN, prompt_text};
use topazmount::clock::Clock;
use topazmount::engine_client::{INCARNATION_HEADER, LOAD_HEADER, STATE_HEADER, encode_load};
use topazmount_routing::block_hashes;
use topazmount_types::{Digest, Endpoint, ModelId, Priority, TenantId, WeightsVersion};

/// Pause between two comments that keep a waiting stream alive.
const KEEP_ALIVE: Duration = Duration::from_millis(100);

/// What a stand-in engine needs to know.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Where to listen.
    pub address: SocketAddr,
    /// Names of the models with their weights versions.
    pub models: Vec<(String, u32)>,
    /// Speed and sizes.
    pub parameters: EngineParameters,
    /// Added to each answer's start for callers named in the `via` header.
    pub delays: BTreeMap<String, Duration>,
}

struct Inner {
    core: EngineCore,
    streams: HashMap<JobId, Stream>,
    next_job: JobId,
}

struct Stream {
    endpoint: Endpoint,
    pieces: Sender<Vec<u8>>,
    prompt: Digest,
    prompt_tokens: u32,
    ends_early: bool,
}

/// A running stand-in.
pub struct EngineStandIn {
    inner: Mutex<Inner>,
    clock: Clock,
    incarnation: String,
    wake: Sender<()>,
    options: EngineOptions,
}

/// Starts a stand-in engine.
///
/// # Errors
/// When the address can't be bound.
pub async fn start(
    executor: &Executor,
    options: EngineOptions,
) -> Result<(SocketAddr, Arc<EngineStandIn>)> {
    let weights = options
        .models
        .iter()
        .map(|(name, weights)| (ModelId::from_name(name), WeightsVersion(*weights)));
    let core = EngineCore::new(options.parameters.clone(), weights.collect());
    let (wake, woken) = async_channel::bounded(1);
    let engine = Arc::new(EngineStandIn {
        inner: Mutex::new(Inner { core, streams: HashMap::new(), next_job: 0 }),
        clock: Clock::start(),
        incarnation: format!("{:016x}", rand::random::<u64>()),
        wake,
        options,
    });
    executor.spawn(engine.clone().drive(woken)).detach();
    let handler = engine.clone();
    let address = engine.options.address;
    let spawner = executor.clone();
    let address =
        serve(executor, address, move |request| handler.clone().answer(spawner.clone(), request))
            .await?;
    Ok((address, engine))
}

/// A request as the engine reads it from a body.
struct Parsed {
    job: Job,
    prompt: Digest,
    ends_early: bool,
}

impl EngineStandIn {
    /// Runs iterations.
    async fn drive(self: Arc<Self>, woken: Receiver<()>) {
        loop {
            let next = self.step();
            let deadline = next.and_then(|time| self.clock.instant(time));
            wait_until(deadline, &woken).await;
        }
    }

    fn step(&self) -> Option<topazmount_types::Time> {
        let mut events = Vec::new();
        let mut inner = self.inner.lock().unwrap();
        inner.core.advance(self.clock.now(), &mut events);
        for event in events {
            inner.write(event);
        }
        inner.core.next_wakeup()
    }

    async fn answer(self: Arc<Self>, executor: Executor, mut request: Request) -> Response {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Post, "/v1/chat/completions" | "/v1/completions") => {
                self.delay(&request).await;
                let endpoint = if path.contains("chat") { Endpoint::Chat } else { Endpoint::Text };
                let body = request.body_string().await.unwrap_or_default();
                self.complete(&executor, &body, endpoint)
            }
            (Method::Get, "/load") => json_answer(200, self.load_text()),
            (Method::Post, "/leave") => {
                self.inner.lock().unwrap().core.leave();
                json_answer(200, "{}".to_owned())
            }
            _ => json_answer(404, "{}".to_owned()),
        }
    }

    async fn delay(&self, request: &Request) {
        let via = request.header("via").map(|value| value.as_str().to_owned());
        let delay = via.and_then(|via| self.options.delays.get(&via).copied());
        if let Some(delay) = delay.filter(|delay| !delay.is_zero()) {
            async_io::Timer::after(delay).await;
        }
    }

    fn load_text(&self) -> String {
        let inner = self.inner.lock().unwrap();
        let load = inner.core.load();
        json!({
            "running": load.running, "waiting": load.waiting,
            "blocks": inner.core.cache().len(), "incarnation": self.incarnation,
        })
        .to_string()
    }

    fn complete(self: &Arc<Self>, executor: &Executor, body: &str, endpoint: Endpoint) -> Response {
        let Some(mut parsed) = self.parse(body, endpoint) else {
            return json_answer(400, "{\"error\":{\"message\":\"bad request\"}}".to_owned());
        };
        let (pieces, receiver) = async_channel::unbounded();
        let mut inner = self.inner.lock().unwrap();
        inner.next_job += 1;
        let id = inner.next_job;
        parsed.job.id = id;
        let prompt_tokens = parsed.job.prompt_tokens;
        let now = self.clock.now();
        if let Err(refusal) = inner.core.submit(now, parsed.job) {
            return self.refuse(refusal);
        }
        let (prompt, ends_early) = (parsed.prompt, parsed.ends_early);
        let stream = Stream { endpoint, pieces: pieces.clone(), prompt, prompt_tokens, ends_early };
        inner.streams.insert(id, stream);
        let load = inner.core.reported_load(now);
        drop(inner);
        let _ = self.wake.try_send(());
        executor.spawn(keep_alive(pieces)).detach();
        let guard = JobGuard { engine: self.clone(), id };
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(Body::from_reader(ChannelBody::new(receiver, guard), None));
        response.insert_header("content-type", "text/event-stream");
        response.insert_header(INCARNATION_HEADER, self.incarnation.as_str());
        response.insert_header(LOAD_HEADER, encode_load(load));
        response
    }

    fn refuse(&self, refusal: EngineRefusal) -> Response {
        let status = match refusal {
            EngineRefusal::Busy => 429,
            EngineRefusal::Leaving => 503,
            EngineRefusal::OtherWeights => 409,
        };
        let mut response = json_answer(status, "{}".to_owned());
        if refusal == EngineRefusal::Leaving {
            response.insert_header(STATE_HEADER, "leaving");
        }
        response
    }

    fn parse(&self, body: &str, endpoint: Endpoint) -> Option<Parsed> {
        let Value::Object(fields) = serde_json::from_str(body).ok()? else { return None };
        let text = prompt_text(&fields, endpoint).ok()?;
        let model = ModelId::from_name(fields.get("model")?.as_str()?);
        let weights = fields.get("weights_version").and_then(Value::as_u64).unwrap_or(1);
        let weights = WeightsVersion(weights as u32);
        let salt = fields.get("cache_salt").and_then(Value::as_str).unwrap_or_default();
        let block_bytes = self.options.parameters.block_tokens as usize * BYTES_PER_TOKEN;
        let tenant = TenantId::from_name(salt);
        let blocks = block_hashes(tenant, model, weights, text.as_bytes(), block_bytes);
        let prompt = Digest::of(text.as_bytes());
        let max_tokens = fields.get("max_tokens").and_then(Value::as_u64).unwrap_or(16) as u32;
        let resume = fields.get("resume").and_then(|resume| resume.get("position"));
        let priority = fields.get("priority").and_then(Value::as_u64).unwrap_or(1) as usize;
        let length = answer_length(prompt);
        let job = Job {
            id: 0,
            priority: *Priority::ALL.get(priority)?,
            model,
            weights,
            blocks: blocks.into(),
            prompt_tokens: text.len().div_ceil(BYTES_PER_TOKEN) as u32,
            resume_at: resume.and_then(Value::as_u64).unwrap_or(0) as u32,
            end_at: length.min(max_tokens),
        };
        Some(Parsed { job, prompt, ends_early: length <= max_tokens })
    }
}

/// Cancels a job whose reader went away.
struct JobGuard {
    engine: Arc<EngineStandIn>,
    id: JobId,
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        let mut inner = self.engine.inner.lock().unwrap();
        if inner.streams.remove(&self.id).is_some() {
            inner.core.cancel(self.id);
        }
    }
}

async fn keep_alive(pieces: Sender<Vec<u8>>) {
    loop {
        async_io::Timer::after(KEEP_ALIVE).await;
        if pieces.is_closed() || pieces.try_send(b": waiting\n\n".to_vec()).is_err() {
            return;
        }
    }
}

impl Inner {
    fn write(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::Token { job, position, cached_tokens } => {
                let Some(stream) = self.streams.get(&job) else { return };
                let piece = stream.token_piece(position, cached_tokens);
                let _ = stream.pieces.try_send(piece);
            }
            EngineEvent::Finished { job, .. } => {
                let Some(stream) = self.streams.remove(&job) else { return };
                let reason = if stream.ends_early { "stop" } else { "length" };
                let piece = json!({ "choices": [stream.choice("", Some(reason))] });
                let _ = stream.pieces.try_send(format!("data: {piece}\n\n").into_bytes());
                let _ = stream.pieces.try_send(b"data: [DONE]\n\n".to_vec());
                stream.pieces.close();
            }
        }
    }
}

impl Stream {
    fn choice(&self, text: &str, reason: Option<&str>) -> Value {
        match self.endpoint {
            Endpoint::Chat => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": reason })
            }
            Endpoint::Text => json!({ "index": 0, "text": text, "finish_reason": reason }),
        }
    }

    fn token_piece(&self, position: u32, cached_tokens: u32) -> Vec<u8> {
        let piece = json!({
            "position": position,
            "choices": [self.choice(&token_text(self.prompt, position), None)],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": position + 1,
                "prompt_tokens_details": { "cached_tokens": cached_tokens },
            },
        });
        format!("data: {piece}\n\n").into_bytes()
    }
}
