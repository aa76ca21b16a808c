//! Counters and histograms of a fleet's processes, in Prometheus' text format.

use super::dialect::HttpResponse;
use super::http_service::Service;
use crate::http1::RequestHead;
use crate::message_meter::MessageMeter;
use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use std::time::Duration;
use topazmount_routing::PolicyCounters;

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Upper bounds of latency buckets, in seconds.
const BUCKETS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/// What a process counts. All names begin with `topazmount_`.
pub struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    attempts: IntCounterVec,
    calls: IntCounterVec,
    events: IntCounterVec,
    latency: HistogramVec,
    state: IntGaugeVec,
    policies: GaugeVec,
    messages: IntCounterVec,
    message_bytes: IntCounterVec,
    message_busy: IntCounterVec,
    rests: IntCounterVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new_custom(Some("topazmount".to_owned()), None)
            .expect("the prefix is a valid name");
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let vector = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("names and labels are valid and differ");
            registry.register(Box::new(vector.clone())).expect("each is registered once");
            vector
        };
        let answers = counter("answers", "Answers to clients by reason.", &["reason"]);
        let attempts = counter("attempts", "Attempts at replicas by end.", &["end"]);
        let calls =
            counter("calls", "Calls to the control plane by kind and status.", &["call", "status"]);
        let events = counter("events", "Changes of what the process believes.", &["event"]);
        let by_kind = ["way", "kind"];
        let messages = counter("messages", "Messages between members and watchers.", &by_kind);
        let message_bytes = counter("message_bytes", "Their bytes.", &by_kind);
        let help = "Milliseconds for which replicas asked this process for rest.";
        let rests = counter("rest_ms", help, &["service"]);
        let help = "Microseconds for encoding, decoding and, of way step, the member's thread.";
        let message_busy = counter("message_busy_us", help, &by_kind);
        let options = HistogramOpts::new("seconds", "Time from reading a request, by what ended.")
            .buckets(BUCKETS.to_vec());
        let latency =
            HistogramVec::new(options, &["until"]).expect("names and labels are valid and differ");
        let state = IntGaugeVec::new(Opts::new("state", "What the process believes."), &["of"])
            .expect("names and labels are valid and differ");
        registry.register(Box::new(latency.clone())).expect("each is registered once");
        registry.register(Box::new(state.clone())).expect("each is registered once");
        let policies =
            GaugeVec::new(Opts::new("policy", "What each policy did."), &["policy", "figure"])
                .expect("names and labels are valid and differ");
        registry.register(Box::new(policies.clone())).expect("each is registered once");
        Metrics {
            registry,
            answers,
            attempts,
            calls,
            events,
            latency,
            state,
            policies,
            messages,
            message_bytes,
            message_busy,
            rests,
        }
    }
}

impl Metrics {
    /// Counts an answer to a client, given `after` the request was read.
    pub fn answer(&self, reason: &str, after: Duration) {
        self.answers.with_label_values(&[reason]).inc();
        self.latency.with_label_values(&["answer"]).observe(after.as_secs_f64());
    }

    /// Counts an attempt at a replica.
    pub fn attempt(&self, end: &str) {
        self.attempts.with_label_values(&[end]).inc();
    }

    /// Counts time for which a replica of a service asked for rest, beyond what was known.
    pub fn rest(&self, service: &str, time: Duration) {
        self.rests.with_label_values(&[service]).inc_by(time.as_millis() as u64);
    }

    /// Notes the first event of a stream, `after` the request was read.
    pub fn first_event(&self, after: Duration) {
        self.latency.with_label_values(&["first_event"]).observe(after.as_secs_f64());
    }

    /// Notes the longest pause between two events of a stream.
    pub fn longest_pause(&self, pause: Duration) {
        self.latency.with_label_values(&["longest_pause"]).observe(pause.as_secs_f64());
    }

    /// Counts a call to the control plane.
    pub fn call(&self, call: &str, status: u16, took: Duration) {
        self.calls.with_label_values(&[call, &status.to_string()]).inc();
        self.latency.with_label_values(&[call]).observe(took.as_secs_f64());
    }

    /// Counts a change of what the process believes.
    pub fn event(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// Sets what the process believes.
    pub fn set_state(&self, of: &str, value: i64) {
        self.state.with_label_values(&[of]).set(value);
    }

    /// Sets what a policy did. Tokens found kept are those that the gateway expected to be.
    pub fn set_policy(&self, name: &str, counters: &PolicyCounters) {
        let firsts = counters.first_tokens as f64;
        let mean = if firsts > 0.0 { counters.first_token_ms_sum / firsts } else { 0.0 };
        let figures = [
            ("decided", counters.decided as f64),
            ("refused", counters.refused as f64),
            ("shadowed", counters.shadowed as f64),
            ("agreed", counters.agreed as f64),
            ("failures", counters.failures.values().sum::<u64>() as f64),
            ("prompt_tokens", counters.prompt_tokens as f64),
            ("expected_kept_tokens", counters.cached_tokens as f64),
            ("first_token_ms_mean", mean),
        ];
        for (figure, value) in figures {
            self.policies.with_label_values(&[name, figure]).set(value);
        }
    }

    /// Takes over what a member's messages cost so far.
    pub fn set_messages(&self, meter: &MessageMeter) {
        for ((way, kind), totals) in meter.totals() {
            let busy = u64::try_from(totals.busy.as_micros()).unwrap_or(u64::MAX);
            let figures = [
                (&self.messages, totals.count),
                (&self.message_bytes, totals.bytes),
                (&self.message_busy, busy),
            ];
            for (counter, value) in figures {
                let counter = counter.with_label_values(&[way.name(), kind]);
                counter.inc_by(value.saturating_sub(counter.get()));
            }
        }
    }

    /// All figures as text.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        // Encoding into memory fails only on a malformed registry.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Answers `GET /metrics` with what a function gives.
pub(super) struct MetricsService<F>(pub(super) F);

impl<F, T> Service for MetricsService<F>
where
    F: Fn() -> T + Send + Sync + 'static,
    T: Future<Output = String> + Send,
{
    async fn answer(&self, head: RequestHead, _body: Vec<u8>) -> HttpResponse {
        let is_metrics = head.method == "GET" && head.path() == METRICS_PATH;
        HttpResponse {
            status: if is_metrics { 200 } else { 404 },
            content_type: Some("text/plain; version=0.0.4"),
            headers: Vec::new(),
            body: if is_metrics { (self.0)().await.into_bytes() } else { Vec::new() },
        }
    }
}
