//! Metrics of a fleet's processes, in Prometheus' text format.

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

/// Path at which metrics are served.
pub const METRICS_PATH: &str = "/metrics";
/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/// Metrics of a process. All names start with `topazmount_`.
pub struct Metrics {
    registry: Registry,
    responses: IntCounterVec,
    attempts: IntCounterVec,
    calls: IntCounterVec,
    events: IntCounterVec,
    latency: HistogramVec,
    gauges: IntGaugeVec,
    policies: GaugeVec,
    messages: IntCounterVec,
    message_bytes: IntCounterVec,
    message_busy_us: IntCounterVec,
    backoff_ms: IntCounterVec,
    denied_retries: IntCounterVec,
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
        let responses = counter("answers", "Answers to clients by reason.", &["reason"]);
        let attempts = counter("attempts", "Attempts at replicas by end.", &["end"]);
        let calls =
            counter("calls", "Calls to the control plane by kind and status.", &["call", "status"]);
        let events = counter("events", "Changes of what the process believes.", &["event"]);
        let by_kind = ["way", "kind"];
        let messages = counter("messages", "Messages between members and watchers.", &by_kind);
        let message_bytes = counter("message_bytes", "Their bytes.", &by_kind);
        let help = "Milliseconds for which replicas asked this process for rest.";
        let backoff_ms = counter("rest_ms", help, &["service"]);
        let help = "Retries that the budget of a service refused.";
        let denied_retries = counter("retries_denied", help, &["service"]);
        let help = "Microseconds for encoding, decoding and, of way step, the member's thread.";
        let message_busy_us = counter("message_busy_us", help, &by_kind);
        let options = HistogramOpts::new("seconds", "Time from reading a request, by what ended.")
            .buckets(LATENCY_BUCKETS_S.to_vec());
        let latency =
            HistogramVec::new(options, &["until"]).expect("names and labels are valid and differ");
        let gauges = IntGaugeVec::new(Opts::new("state", "What the process believes."), &["of"])
            .expect("names and labels are valid and differ");
        registry.register(Box::new(latency.clone())).expect("each is registered once");
        registry.register(Box::new(gauges.clone())).expect("each is registered once");
        let policies =
            GaugeVec::new(Opts::new("policy", "What each policy did."), &["policy", "figure"])
                .expect("names and labels are valid and differ");
        registry.register(Box::new(policies.clone())).expect("each is registered once");
        Metrics {
            registry,
            responses,
            attempts,
            calls,
            events,
            latency,
            gauges,
            policies,
            messages,
            message_bytes,
            message_busy_us,
            backoff_ms,
            denied_retries,
        }
    }
}

impl Metrics {
    /// Records a response to a client, sent `elapsed` after the request was read.
    pub fn record_response(&self, reason: &str, elapsed: Duration) {
        self.responses.with_label_values(&[reason]).inc();
        self.latency.with_label_values(&["answer"]).observe(elapsed.as_secs_f64());
    }

    /// Counts an attempt at a replica by its end.
    pub fn count_attempt(&self, end: &str) {
        self.attempts.with_label_values(&[end]).inc();
    }

    /// Adds backoff time that a replica of a service requested beyond what was already known.
    pub fn add_backoff(&self, service: &str, time: Duration) {
        self.backoff_ms.with_label_values(&[service]).inc_by(time.as_millis() as u64);
    }

    /// Counts a retry that the budget of a service refused.
    pub fn count_denied_retry(&self, service: &str) {
        self.denied_retries.with_label_values(&[service]).inc();
    }

    /// Records the first event of a stream, received `elapsed` after the request was read.
    pub fn record_first_event(&self, elapsed: Duration) {
        self.latency.with_label_values(&["first_event"]).observe(elapsed.as_secs_f64());
    }

    /// Records the longest gap between two events of a stream.
    pub fn record_longest_gap(&self, gap: Duration) {
        self.latency.with_label_values(&["longest_pause"]).observe(gap.as_secs_f64());
    }

    /// Records a call to the control plane.
    pub fn record_call(&self, call: &str, status: u16, elapsed: Duration) {
        self.calls.with_label_values(&[call, &status.to_string()]).inc();
        self.latency.with_label_values(&[call]).observe(elapsed.as_secs_f64());
    }

    /// Counts an event.
    pub fn count_event(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// Sets a gauge of the process's state.
    pub fn set_gauge(&self, name: &str, value: i64) {
        self.gauges.with_label_values(&[name]).set(value);
    }

    /// Sets the counters of a policy. Cached tokens are those that the gateway expected to be cached.
    pub fn set_policy_counters(&self, name: &str, counters: &PolicyCounters) {
        let first_tokens = counters.first_tokens as f64;
        let mean =
            if first_tokens > 0.0 { counters.first_token_ms_sum / first_tokens } else { 0.0 };
        let stats = [
            ("decided", counters.decided as f64),
            ("refused", counters.refused as f64),
            ("shadowed", counters.shadowed as f64),
            ("agreed", counters.agreed as f64),
            ("failures", counters.failures.values().sum::<u64>() as f64),
            ("prompt_tokens", counters.prompt_tokens as f64),
            ("expected_kept_tokens", counters.cached_tokens as f64),
            ("first_token_ms_mean", mean),
        ];
        for (stat, value) in stats {
            self.policies.with_label_values(&[name, stat]).set(value);
        }
    }

    /// Raises the message counters to a member's totals.
    pub fn set_message_totals(&self, meter: &MessageMeter) {
        for ((way, kind), totals) in meter.totals() {
            let busy_us = u64::try_from(totals.busy.as_micros()).unwrap_or(u64::MAX);
            let stats = [
                (&self.messages, totals.count),
                (&self.message_bytes, totals.bytes),
                (&self.message_busy_us, busy_us),
            ];
            for (counter, value) in stats {
                let counter = counter.with_label_values(&[way.name(), kind]);
                counter.inc_by(value.saturating_sub(counter.get()));
            }
        }
    }

    /// All metrics in Prometheus' text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        // Encoding into memory fails only on a malformed registry.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Serves `GET /metrics` with the text that a function returns.
pub(super) struct MetricsService<F>(pub(super) F);

impl<F, T> Service for MetricsService<F>
where
    F: Fn() -> T + Send + Sync + 'static,
    T: Future<Output = String> + Send,
{
    async fn handle(&self, head: RequestHead, _body: Vec<u8>) -> HttpResponse {
        let is_metrics = head.method == "GET" && head.path() == METRICS_PATH;
        HttpResponse {
            status: if is_metrics { 200 } else { 404 },
            content_type: Some("text/plain; version=0.0.4"),
            headers: Vec::new(),
            body: if is_metrics { (self.0)().await.into_bytes() } else { Vec::new() },
        }
    }
}
