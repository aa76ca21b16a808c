//! Checks whether replicas whose connections broke while they served requests have ended.
//!
//! An ended replica's machine refuses connections, but a listening process may outlive the serving one
//! for a moment, so the check is repeated. If the next incarnation listens before a check, the control
//! group reports it.

use super::gateway::SharedState;
use super::tunnel::TunnelError;
use crate::Executor;
use crate::http1::{connect, is_refusal};
use async_channel::Receiver;
use async_io::Timer;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use topazmount_types::{Instance, Time};

/// Time for a machine to refuse a connection to an ended process. A lost machine, a network partition or
/// a busy process does not refuse.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Delays before the checks that follow the first one, which is made right after the break.
const RECHECK_DELAYS: [Duration; 4] = [
    Duration::from_millis(30),
    Duration::from_millis(100),
    Duration::from_millis(400),
    Duration::from_millis(1_200),
];
/// Replicas watched at a time; for others only the control group's reports count.
const MAX_WATCHED: usize = 32;
/// Replicas queued to be watched.
pub(super) const MAX_PENDING: usize = 256;

/// Names of incarnations.
type Watched = Arc<Mutex<HashSet<String>>>;

/// Watches the received replicas, forever.
pub(super) async fn run(
    executor: Executor,
    shared: Arc<SharedState>,
    broken_connections: Receiver<Instance>,
) {
    let watched = Watched::default();
    while let Ok(instance) = broken_connections.recv().await {
        {
            let mut names = watched.lock().unwrap();
            if names.len() >= MAX_WATCHED || !names.insert(instance.incarnation_name()) {
                continue;
            }
        }
        let (shared, watched) = (shared.clone(), watched.clone());
        let watching = async move {
            watch(&shared, &instance).await;
            watched.lock().unwrap().remove(&instance.incarnation_name());
        };
        executor.spawn(watching).detach();
    }
}

/// Checks a suspected replica until it has ended or is no longer suspected.
async fn watch(shared: &SharedState, instance: &Instance) {
    let name = instance.incarnation_name();
    let broke_at = shared.clock.now();
    for delay in RECHECK_DELAYS {
        Timer::after(delay).await;
        if !shared.gateway_state.lock().crashes().is_suspected(&name) {
            return;
        }
        if check_ended(shared, instance, broke_at).await {
            return;
        }
    }
}

/// Checks once whether a replica has ended, after a connection broke at `broke_at`; if so, the requests
/// that broke off there count as crashes.
pub(super) async fn check_ended(shared: &SharedState, instance: &Instance, broke_at: Time) -> bool {
    if check_process(shared, instance, broke_at).await != ReplicaProcess::Ended {
        return false;
    }
    let now = shared.clock.now();
    let name = instance.incarnation_name();
    let requests = {
        let mut gateway_state = shared.gateway_state.lock();
        gateway_state.crashes().record_replica_end(&instance.address, &name, now);
        gateway_state.crashes().on_replica_ended(&name, now)
    };
    if requests > 0 {
        report_crash(shared, &instance.id, requests, "refused");
    }
    true
}

/// Whether the process of a replica runs, as far as a new connection tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplicaProcess {
    /// It accepts connections.
    Running,
    /// Its machine refuses connections.
    Ended,
    /// Neither this gateway nor another one that was asked can tell.
    Unknown,
}

/// Tries a new connection to a replica. A partition may refuse it, too, so another gateway is asked
/// unless this one has reached a replica since `broke_at`.
pub(super) async fn check_process(
    shared: &SharedState,
    instance: &Instance,
    broke_at: Time,
) -> ReplicaProcess {
    let Ok(address) = instance.address.parse() else { return ReplicaProcess::Unknown };
    if !shared.uses_tunnels() {
        match connect(address, shared.local_ip, CONNECT_TIMEOUT).await {
            Ok(_) => return ReplicaProcess::Running,
            Err(error) if !is_refusal(&error) => return ReplicaProcess::Unknown,
            Err(_) if shared.links.lock().have_worked_since(broke_at) => {
                return ReplicaProcess::Ended;
            }
            Err(_) => {}
        }
    }
    match shared.open_tunnel(instance, CONNECT_TIMEOUT).await {
        Ok(_) => ReplicaProcess::Running,
        Err(TunnelError::ReplicaRefused | TunnelError::OnlyGateway) => ReplicaProcess::Ended,
        Err(TunnelError::ReplicaUnreachable | TunnelError::NoCarrier) => ReplicaProcess::Unknown,
    }
}

/// Reports a crash that happened while requests were served to the control group, the log and the
/// metrics.
pub(super) fn report_crash(shared: &SharedState, instance: &str, requests: usize, evidence: &str) {
    shared.metrics.count_event("crash_seen");
    shared.request_report();
    shared.event_log.info(|| {
        format!("gateway: event=crash_seen instance={instance} requests={requests} by={evidence}")
    });
}
