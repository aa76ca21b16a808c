//! What a control member logs of the group: who leads, who takes part, who asked to join whom and
//! what was said. Steps that are taken again and again are logged once until they change.

use crate::fleet::rate_limited_log::RateLimitedLog;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use topazmount_consensus::{Disk, MemberId, Term};
use topazmount_control::{
    BlockEvent, Member, MembershipEvent, RecordChange, RolloutEvent, WeightsEvent,
};
use topazmount_types::Time;

/// Time after which the same line about the same matter is written again.
const REPEAT_AFTER: Duration = Duration::from_secs(5);
/// Matters that are remembered; more than the members of any group and the changes under way.
const MOST_MATTERS: usize = 128;

/// Time from which a step of the member, or a wait of its process, is logged: a good part of an
/// election timeout.
const SLOW: Duration = Duration::from_millis(100);

/// Who leads, as this member believes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Leadership {
    term: Term,
    leader: Option<MemberId>,
    has_lease: bool,
}

/// Logs how late the tasks of this process run, when that is long: messages of the member wait for
/// these tasks.
pub(crate) async fn log_late_tasks() {
    loop {
        let began = Instant::now();
        async_io::Timer::after(SLOW).await;
        let late = began.elapsed().saturating_sub(SLOW);
        if late >= SLOW {
            log::warn!("control: event=late_tasks late_ms={}", late.as_millis());
        }
    }
}

/// The log of one member.
#[derive(Default)]
pub(crate) struct ControlLog {
    /// Leadership as it was logged last.
    leadership: Mutex<Leadership>,
    /// Newest line of each matter, and when it was written.
    lines: Mutex<HashMap<String, (String, Instant)>>,
    /// Lines about replicas' weights, of which thousands may come at once.
    weights_lines: RateLimitedLog,
    /// Lines about blocked requests and parts.
    block_lines: RateLimitedLog,
}

impl ControlLog {
    /// Logs what a member believes of who leads, when that changes.
    pub(crate) fn leadership<D: Disk>(&self, member: &Member<D>, now: Time) {
        let replica = member.replica();
        let current = Leadership {
            term: replica.term(),
            leader: replica.leader(),
            has_lease: replica.has_lease(now),
        };
        let mut logged = self.leadership.lock().unwrap();
        if current == *logged {
            return;
        }
        *logged = current;
        log::info!(
            "control: event=leadership term={} leader={} own={} lease={} applied={}",
            current.term,
            current.leader.map_or("none".to_owned(), |id| id.to_string()),
            replica.id(),
            current.has_lease,
            replica.applied()
        );
    }

    /// Logs a step of the member that took long.
    pub(crate) fn step(&self, took: Duration, inputs: usize, outputs: usize) {
        if took >= SLOW {
            let took_ms = took.as_millis();
            log::warn!(
                "control: event=slow_step took_ms={took_ms} inputs={inputs} outputs={outputs}"
            );
        }
    }

    /// Logs a step about the membership.
    pub(crate) fn membership(&self, event: &MembershipEvent) {
        match event {
            MembershipEvent::Changed { .. } | MembershipEvent::LevelRaised(_) => {
                log::info!("control: {event}");
            }
            MembershipEvent::JoinRequested { id, .. } => {
                self.line(format!("join {id}"), event.to_string());
            }
            MembershipEvent::JoinResponse { member, .. } => {
                self.line(format!("asked {member}"), event.to_string());
            }
            MembershipEvent::ChangeProposed { reason, .. } => {
                self.line(reason.name().to_owned(), event.to_string());
            }
        }
    }

    /// Logs what the leader made of a replica's word on its weights. A replica may say the same with each heartbeat.
    pub(crate) fn weights(&self, event: &WeightsEvent) {
        match event.change {
            RecordChange::Updated | RecordChange::Reverted => {
                self.weights_lines.info(|| format!("weights: {event}"));
            }
            RecordChange::Kept => {
                let matter = format!("{} {} {}", event.instance, event.start, event.reported);
                self.once(matter, || log::info!("weights: {event}"));
            }
        }
    }

    /// Logs how a service's replicas will load: a warning where some will be late.
    pub(crate) fn rollout(&self, event: &RolloutEvent) {
        match event.plan.late {
            0 => log::info!("weights: {event}"),
            _ => log::warn!("weights: {event}"),
        }
    }

    /// Logs that a request or prompt part was blocked or unblocked.
    pub(crate) fn block(&self, event: &BlockEvent) {
        self.block_lines.info(|| format!("crashes: {event}"));
    }

    /// Logs about a matter, unless that was done lately.
    fn once(&self, matter: String, log: impl FnOnce()) {
        let mut lines = self.lines.lock().unwrap();
        if lines.get(&matter).is_some_and(|(_, at)| at.elapsed() < REPEAT_AFTER) {
            return;
        }
        if lines.len() >= MOST_MATTERS {
            lines.clear();
        }
        log();
        lines.insert(matter, (String::new(), Instant::now()));
    }

    /// Logs a line, unless it is the newest one about its matter and still fresh.
    fn line(&self, matter: String, line: String) {
        let mut lines = self.lines.lock().unwrap();
        let is_same =
            |(known, at): &(String, Instant)| *known == line && at.elapsed() < REPEAT_AFTER;
        if lines.get(&matter).is_some_and(is_same) {
            return;
        }
        if lines.len() >= MOST_MATTERS {
            lines.clear();
        }
        log::info!("control: {line}");
        lines.insert(matter, (line, Instant::now()));
    }
}
