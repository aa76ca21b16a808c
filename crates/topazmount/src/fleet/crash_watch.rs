//! Looks at replicas at which connections broke under requests, until it is known whether they have ended.
//!
//! A replica that has ended is told by its machine, which refuses connections; but the process that listens may outlive the
//! one that works by some moments. Where the next incarnation listens before a look, control tells of it.

use super::gateway::Shared;
use crate::Executor;
use crate::http1::is_refused;
use async_channel::Receiver;
use async_io::Timer;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use topazmount_types::Instance;

/// Time for a replica to refuse a connection. A process that has ended is refused for by its machine, which
/// takes the way there and back; one without power, behind a cut or at work says nothing in it.
pub(super) const REFUSAL_LIMIT: Duration = Duration::from_millis(100);
/// Pauses before the looks that follow the first one, which is right after the break. With the first look alone three of 74
/// crashes were seen where listeners outlived workers by up to 50 ms.
const PAUSES: [Duration; 4] = [
    Duration::from_millis(30),
    Duration::from_millis(100),
    Duration::from_millis(400),
    Duration::from_millis(1_200),
];
/// Replicas looked at at a time; at a loss of connections to all of them the others are left to control's word.
const MOST_WATCHED: usize = 32;
/// Replicas that wait to be looked at.
pub(super) const MOST_WAITING: usize = 256;

/// Names of incarnations.
type Watched = Arc<Mutex<HashSet<String>>>;

/// Looks at each replica that is named, for ever.
pub(super) async fn run(executor: Executor, shared: Arc<Shared>, broken: Receiver<Instance>) {
    let watched = Watched::default();
    while let Ok(instance) = broken.recv().await {
        {
            let mut all = watched.lock().unwrap();
            if all.len() >= MOST_WATCHED || !all.insert(instance.incarnation_name()) {
                continue;
            }
        }
        let (shared, watched) = (shared.clone(), watched.clone());
        let looking = async move {
            look(&shared, &instance).await;
            watched.lock().unwrap().remove(&instance.incarnation_name());
        };
        executor.spawn(looking).detach();
    }
}

async fn look(shared: &Shared, instance: &Instance) {
    let name = instance.incarnation_name();
    for pause in PAUSES {
        Timer::after(pause).await;
        if !shared.knowledge.lock().unwrap().crashes().is_suspected(&name) {
            return;
        }
        if is_ended(shared, instance).await {
            return;
        }
    }
}

/// Looks once; where the replica has ended, what broke off at it counts as crashes.
pub(super) async fn is_ended(shared: &Shared, instance: &Instance) -> bool {
    let Ok(address) = instance.address.parse() else { return false };
    if !is_refused(address, REFUSAL_LIMIT).await {
        return false;
    }
    let now = shared.clock.now();
    let name = instance.incarnation_name();
    let requests = shared.knowledge.lock().unwrap().crashes().on_replica_ended(&name, now);
    if requests > 0 {
        tell(shared, &instance.id, requests, "refused");
    }
    true
}

/// Tells control, and whoever reads the log, of a crash under requests.
pub(super) fn tell(shared: &Shared, instance: &str, requests: usize, by: &str) {
    shared.metrics.event("crash_seen");
    shared.report_at_once();
    shared.journal.line(|| {
        format!("gateway: event=crash_seen instance={instance} requests={requests} by={by}")
    });
}
