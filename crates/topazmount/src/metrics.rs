//! `/metrics` in Prometheus' text format.

use prometheus::{Encoder, Gauge, GaugeVec, Opts, Registry, TextEncoder};
use topazmount_node::Node;

const PREFIX: &str = "topazmount";

/// Renders a node's counters.
pub fn render(node: &Node) -> String {
    let registry = Registry::new();
    let counters = node.counters();
    for (name, value) in counters.rows() {
        add(&registry, name, "Count since the process started.", value as f64);
    }
    let (waiting, open) = node.open_requests();
    add(&registry, "waiting_requests", "Requests in the queue.", waiting as f64);
    add(&registry, "open_requests", "Requests not answered yet.", open as f64);
    add(&registry, "revision", "Configuration in force.", node.in_force().revision.0 as f64);
    add(
        &registry,
        "cache_view_blocks",
        "Blocks remembered.",
        node.engines().cached_blocks() as f64,
    );
    let retries = node.retries();
    add(&registry, "retries", "Retries made.", retries.retries as f64);
    add(&registry, "retries_denied", "Retries that the budget refused.", retries.denied as f64);
    add_refusals(&registry, node);
    add_policies(&registry, node);
    let mut text = Vec::new();
    // Encoding into memory fails only on a malformed registry.
    let _ = TextEncoder::new().encode(&registry.gather(), &mut text);
    String::from_utf8_lossy(&text).into_owned()
}

fn add(registry: &Registry, name: &str, help: &str, value: f64) {
    let gauge = Gauge::with_opts(Opts::new(format!("{PREFIX}_{name}"), help));
    if let Ok(gauge) = gauge {
        gauge.set(value);
        let _ = registry.register(Box::new(gauge));
    }
}

fn add_vector(registry: &Registry, name: &str, help: &str, label: &str, rows: &[(&str, f64)]) {
    let vector = GaugeVec::new(Opts::new(format!("{PREFIX}_{name}"), help), &[label]);
    if let Ok(vector) = vector {
        for (value_of_label, value) in rows {
            vector.with_label_values(&[value_of_label]).set(*value);
        }
        let _ = registry.register(Box::new(vector));
    }
}

fn add_refusals(registry: &Registry, node: &Node) {
    let refused = &node.counters().refused;
    let rows: Vec<(&str, f64)> =
        refused.iter().map(|(kind, count)| (kind.name(), *count as f64)).collect();
    add_vector(registry, "refused", "Refused requests by kind.", "kind", &rows);
}

fn add_policies(registry: &Registry, node: &Node) {
    let reports: Vec<_> = node.policies().report().collect();
    let column = |value: fn(&topazmount_routing::PolicyCounters) -> f64| -> Vec<(&str, f64)> {
        reports.iter().map(|(name, counters)| (*name, value(counters))).collect()
    };
    let add = |name, help, rows: Vec<(&str, f64)>| {
        add_vector(registry, name, help, "policy", &rows);
    };
    add("policy_decided", "Requests decided.", column(|c| c.decided as f64));
    add("policy_refused", "Requests refused.", column(|c| c.refused as f64));
    add(
        "policy_failures",
        "Decisions cut off.",
        column(|c| c.failures.values().sum::<u64>() as f64),
    );
    add("policy_shadowed", "Decisions as a shadow.", column(|c| c.shadowed as f64));
    add("policy_agreed", "Shadow decisions that agreed.", column(|c| c.agreed as f64));
    add("policy_prompt_tokens", "Prompt tokens.", column(|c| c.prompt_tokens as f64));
    add("policy_cached_tokens", "Cached prompt tokens.", column(|c| c.cached_tokens as f64));
    add("policy_first_tokens", "First tokens.", column(|c| c.first_tokens as f64));
    add("policy_first_token_ms_sum", "Sum of waits.", column(|c| c.first_token_ms_sum));
    add(
        "policy_first_token_ms_squares",
        "Sum of squared waits.",
        column(|c| c.first_token_ms_squares),
    );
}
