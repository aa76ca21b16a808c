//! `topazmount-lab scale`: measures, fits and prints.

use crate::scale::control::{change_cost, fetch_cost, ledger_cost};
use crate::scale::fit::{Fit, fit};
use crate::scale::hollow;
use crate::scale::node::{configure_time, node_memory, request_time, token_time, view_memory};
use crate::scale::page::{TARGET, rows};
use serde_json::json;

/// Everything that the page is worked out from.
pub struct Measured {
    /// Microseconds of a node for a request, over replicas.
    pub request_us: Fit,
    /// Nanoseconds of a node for a token.
    pub token_ns: f64,
    /// Bytes of a node over replicas.
    pub node_memory_replicas: Fit,
    /// Bytes of a node over tenants.
    pub node_memory_tenants: Fit,
    /// Bytes of a node over remembered blocks.
    pub view_memory: Fit,
    /// Milliseconds to put a configuration in force, over its bytes.
    pub configure_ms: Fit,
    /// Bytes of the configuration at the target size.
    pub target_bytes: f64,
    /// Microseconds a second of all members, over nodes that fetch.
    pub fetch_us: Fit,
    /// Bytes of a fetch and its answer.
    pub fetch_bytes: f64,
    /// Milliseconds of all members for a change, over bytes of configuration.
    pub change_ms: Fit,
    /// Bytes between members for a change.
    pub change_peer_bytes: f64,
    /// Bytes of one change for a node.
    pub delta_bytes: f64,
    /// Bytes of a full configuration at the target size.
    pub full_bytes: f64,
    /// Microseconds of all members for an at-most-once call.
    pub ledger_us: f64,
    /// Bytes for each key of the ledger.
    pub ledger_key_bytes: f64,
    /// Share of a core that a hollow node used for control.
    pub hollow_control_share: f64,
    /// Seconds until a change was in force everywhere.
    pub in_force_s: f64,
}

impl Measured {
    /// The same line and value everywhere: for the form of the page, not its figures.
    pub fn uniform(line: Fit, value: f64) -> Measured {
        Measured {
            request_us: line,
            token_ns: value,
            node_memory_replicas: line,
            node_memory_tenants: line,
            view_memory: line,
            configure_ms: line,
            target_bytes: value,
            fetch_us: line,
            fetch_bytes: value,
            change_ms: line,
            change_peer_bytes: value,
            delta_bytes: value,
            full_bytes: value,
            ledger_us: value,
            ledger_key_bytes: value,
            hollow_control_share: value,
            in_force_s: value,
        }
    }
}

const REPLICAS: [usize; 5] = [100, 400, 800, 1_600, 3_400];
const TENANTS: [usize; 5] = [100, 500, 1_000, 2_500, 5_200];
const NODES: [usize; 5] = [50, 100, 200, 400, 650];
const PROMPTS: [u64; 5] = [200, 500, 1_000, 2_000, 4_000];

struct Printer {
    as_json: bool,
}

impl Printer {
    fn series(&self, role: &str, measure: &str, axis: &str, points: &[(f64, f64)]) -> Fit {
        let line = fit(points);
        if self.as_json {
            let row = json!({
                "role": role, "measure": measure, "axis": axis, "points": points,
                "base": line.base, "slope": line.slope, "slope_error": line.slope_error,
            });
            println!("{row}");
            return line;
        }
        println!("{role}: {measure} over {axis}");
        points.iter().for_each(|(size, value)| println!("  {size:>10.0} {value:>14.3}"));
        println!("  slope {:.6} ± {:.6}, base {:.3}", line.slope, line.slope_error, line.base);
        line
    }

    fn single(&self, role: &str, measure: &str, value: f64) -> f64 {
        if self.as_json {
            println!("{}", json!({ "role": role, "measure": measure, "value": value }));
        } else {
            println!("{role}: {measure}: {value:.3}");
        }
        value
    }
}

fn over<T: Copy>(sizes: &[T], size: fn(T) -> f64, of: impl Fn(T) -> f64) -> Vec<(f64, f64)> {
    sizes.iter().map(|at| (size(*at), of(*at))).collect()
}

/// Measures everything and prints slopes and the page's rows; hollow nodes and replicas as asked.
pub fn run(nodes: usize, replicas: usize, as_json: bool) {
    let printer = Printer { as_json };
    let measured = measure(&printer, nodes, replicas);
    for row in rows(&measured) {
        if as_json {
            let row = json!({
                "role": row.role, "figure": row.figure, "value": row.value, "unit": row.unit,
                "limit": row.limit, "mechanism": row.mechanism,
            });
            println!("{row}");
        } else {
            println!("{}", row.markdown());
        }
    }
}

fn measure(printer: &Printer, nodes: usize, replicas: usize) -> Measured {
    let size = |size: usize| size as f64;
    // Memory first: what was freed before would be used again and not be seen.
    let memory = over(&REPLICAS, size, |at| node_memory(at, 20));
    let tenants = over(&TENANTS, size, |at| node_memory(50, at));
    let views: Vec<(f64, f64)> = PROMPTS.iter().map(|at| view_memory(*at)).collect();
    let request = over(&REPLICAS, size, |at| request_time(at, TARGET.models as usize));
    let configure: Vec<(f64, f64)> =
        REPLICAS.iter().zip(TENANTS).map(|(at, tenants)| configure_time(*at, tenants)).collect();
    let fetch = over(&NODES, size, |at| fetch_cost(at).member_us);
    let changes: Vec<_> = REPLICAS[..4]
        .iter()
        .zip(TENANTS)
        .map(|(at, tenants)| change_cost(*at, tenants, 20))
        .collect();
    let change: Vec<(f64, f64)> =
        changes.iter().map(|cost| (cost.full_bytes, cost.member_ms)).collect();
    let ledger = ledger_cost(10_000);
    let run = hollow::run(nodes, replicas, 200);
    let last = changes.last();
    printer.single("control", "bytes on disk after 20 changes", last.map_or(0.0, |c| c.disk_bytes));
    printer.single("control", "bytes between members for a call", ledger.peer_bytes);
    print_hollow(printer, &run);
    let target_bytes = configure.last().map_or(0.0, |(bytes, _)| *bytes);
    Measured {
        request_us: printer.series("node", "µs of processor for a request", "replicas", &request),
        token_ns: printer.single("node", "ns of processor for a token", token_time()),
        node_memory_replicas: printer.series("node", "bytes", "replicas", &memory),
        node_memory_tenants: printer.series("node", "bytes", "tenants", &tenants),
        view_memory: printer.series("node", "bytes", "remembered blocks", &views),
        configure_ms: printer.series("node", "ms to configure", "bytes of text", &configure),
        target_bytes,
        fetch_us: printer.series("control", "µs of members a second", "nodes", &fetch),
        fetch_bytes: printer.single("node", "bytes of a fetch", fetch_cost(10).bytes),
        change_ms: printer.series(
            "control",
            "ms of members for a change",
            "bytes of text",
            &change,
        ),
        change_peer_bytes: printer.single(
            "control",
            "bytes between members for a change",
            last.map_or(0.0, |c| c.peer_bytes),
        ),
        delta_bytes: printer.single(
            "node",
            "bytes of a change",
            last.map_or(0.0, |c| c.delta_bytes),
        ),
        full_bytes: printer.single("node", "bytes of a full configuration", target_bytes),
        ledger_us: printer.single("control", "µs of members for a call", ledger.member_us),
        ledger_key_bytes: printer.single("control", "bytes of a key", ledger.key_bytes),
        hollow_control_share: run.node_control_share,
        in_force_s: run.in_force_after,
    }
}

fn print_hollow(printer: &Printer, run: &hollow::HollowRun) {
    let role = format!("hollow run of {} nodes and {} replicas", run.nodes, run.replicas);
    printer.single(&role, "requests served", run.requests as f64);
    printer.single(&role, "% of a core of a node for control", 100.0 * run.node_control_share);
    printer.single(&role, "% of a core of a node for requests", 100.0 * run.node_request_share);
    printer.single(&role, "% of a core of all members", 100.0 * run.member_share);
    printer.single(&role, "bytes a second between a node and control", run.node_bytes);
    printer.single(&role, "bytes of a node that shares its texts", run.node_memory);
    printer.single(&role, "seconds until a change was in force everywhere", run.in_force_after);
    printer.single(&role, "largest queue", run.largest_queue as f64);
}
