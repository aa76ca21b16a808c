//! What a run of the model found.

use super::Size;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Messages of one kind at one member.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Traffic {
    /// Messages.
    pub count: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Processor time, in milliseconds.
    pub busy_ms: f64,
}

/// One phase of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Phase {
    /// What happened at its beginning.
    pub name: &'static str,
    /// Time from its beginning until all gateways that run could serve, in milliseconds; `None` if
    /// some could not at its end.
    pub all_served_after_ms: Option<u64>,
    /// The same for the whole list of replicas.
    pub all_complete_after_ms: Option<u64>,
    /// Processor time of the busiest member, in percent of its share.
    pub busiest_member_cpu_percent: f64,
    /// Largest memory of a member, in MB.
    pub busiest_member_peak_mb: f64,
    /// Bytes in and out of the busiest member, in KB per second.
    pub busiest_member_kb_per_s: f64,
    /// Bytes in and out of a gateway, in KB per second.
    pub gateway_kb_per_s: f64,
    /// Members that passed their memory.
    pub members_lost: u32,
    /// Changes of leader.
    pub leader_changes: u32,
    /// Replicas that left the list although they are sound.
    pub sound_replicas_dropped: u64,
    /// Crashed replicas that are still listed at the end.
    pub crashed_replicas_listed: u64,
    /// Calls of replicas that no member answered in time.
    pub failed_heartbeats: u64,
    /// Requests of gateways that no member answered in time.
    pub failed_watches: u64,
    /// Messages of the member with the most processor time, by kind.
    pub busiest_member: BTreeMap<&'static str, Traffic>,
}

/// The largest figures of all phases.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Gateways.
    pub gateways: usize,
    /// Replicas.
    pub replicas: usize,
    /// Largest memory of a member, in MB.
    pub busiest_member_peak_mb: f64,
    /// Processor time of the busiest member, in percent of its share.
    pub busiest_member_cpu_percent: f64,
    /// Bytes in and out of the busiest member, in KB per second.
    pub busiest_member_kb_per_s: f64,
    /// Largest memory of a gateway, in MB.
    pub gateway_peak_mb: f64,
    /// Bytes in and out of a gateway, in KB per second.
    pub gateway_kb_per_s: f64,
    /// Longest time until all gateways could serve, in milliseconds; `None` if they could not.
    pub all_served_after_ms: Option<u64>,
    /// Members that passed their memory.
    pub members_lost: u32,
    /// Sound replicas that left the list.
    pub sound_replicas_dropped: u64,
}

impl Summary {
    /// Sums up the phases; the gateway's memory is set by the caller.
    pub fn new(size: Size, phases: &[Phase], gateway_peak_mb: f64) -> Self {
        let max = |figure: fn(&Phase) -> f64| phases.iter().map(figure).fold(0.0, f64::max);
        let served: Option<Vec<u64>> =
            phases.iter().map(|phase| phase.all_served_after_ms).collect();
        Summary {
            gateways: size.gateways,
            replicas: size.replicas,
            busiest_member_peak_mb: max(|phase| phase.busiest_member_peak_mb),
            busiest_member_cpu_percent: max(|phase| phase.busiest_member_cpu_percent),
            busiest_member_kb_per_s: max(|phase| phase.busiest_member_kb_per_s),
            gateway_peak_mb,
            gateway_kb_per_s: max(|phase| phase.gateway_kb_per_s),
            all_served_after_ms: served.and_then(|times| times.into_iter().max()),
            members_lost: phases.iter().map(|phase| phase.members_lost).sum(),
            sound_replicas_dropped: phases.iter().map(|phase| phase.sound_replicas_dropped).sum(),
        }
    }
}

fn shown(time: Option<u64>) -> String {
    time.map_or("never".to_owned(), |time| format!("{time} ms"))
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: all served after {}, whole list after {}; busiest member {:.1}% processor, \
             {:.0} MB, {:.0} KB/s; gateway {:.1} KB/s; {} members lost, {} changes of leader, \
             {} sound replicas dropped, {} crashed ones listed, {} heartbeats and {} watches failed",
            self.name,
            shown(self.all_served_after_ms),
            shown(self.all_complete_after_ms),
            self.busiest_member_cpu_percent,
            self.busiest_member_peak_mb,
            self.busiest_member_kb_per_s,
            self.gateway_kb_per_s,
            self.members_lost,
            self.leader_changes,
            self.sound_replicas_dropped,
            self.crashed_replicas_listed,
            self.failed_heartbeats,
            self.failed_watches,
        )?;
        for (kind, traffic) in &self.busiest_member {
            writeln!(
                f,
                "  {kind}: {} messages, {} KB, {:.0} ms",
                traffic.count,
                traffic.bytes / 1_000,
                traffic.busy_ms
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} gateways, {} replicas: busiest member {:.0} MB, {:.1}% processor, {:.0} KB/s; \
             gateway {:.1} MB, {:.1} KB/s; all served after {}; {} members lost, \
             {} sound replicas dropped",
            self.gateways,
            self.replicas,
            self.busiest_member_peak_mb,
            self.busiest_member_cpu_percent,
            self.busiest_member_kb_per_s,
            self.gateway_peak_mb,
            self.gateway_kb_per_s,
            shown(self.all_served_after_ms),
            self.members_lost,
            self.sound_replicas_dropped,
        )
    }
}
