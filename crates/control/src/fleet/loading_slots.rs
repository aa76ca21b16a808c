//! Schedules which replicas are paused and load next, according to the plan of each service.

use super::events::RolloutEvent;
use super::plan::{self, LoadTimes, RolloutPlan, Workload};
use super::rollout::{ReplicaRecord, Rollout};
use super::target::{LoadTarget, Phase};
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_types::{Instance, InstanceId, Time};

/// Minimum time between two reports of a service's plan.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Replicas with this many failures since their last load are left out of planning; they are still
/// tried, after all others.
const MAX_PLANNED_FAILURES: u32 = 1;

/// A registered replica that is not draining, with its record.
type KnownReplica<'a> = (&'a Instance, &'a ReplicaRecord);

/// An outdated replica without a load in progress.
struct OutdatedReplica {
    /// Whether it failed recently and comes after all others.
    is_low_priority: bool,
    /// Failures since its last successful load.
    failures: u32,
    deadline: Time,
    id: InstanceId,
    model: String,
    version: u32,
}

/// Plans and load times of services.
#[derive(Clone, Debug, Default)]
pub(super) struct Planner {
    pub(super) times: BTreeMap<String, LoadTimes>,
    plans: BTreeMap<String, RolloutPlan>,
    /// The last reported plan of each service, and when it was reported.
    reported: BTreeMap<String, (RolloutEvent, Time)>,
    pub(super) events: Vec<RolloutEvent>,
}

impl Rollout {
    /// Pauses the replicas that load next, and grants slots to those that were paused long enough.
    pub(super) fn schedule_loads(
        &mut self,
        now: Time,
        orders_from: Time,
        instances: &BTreeMap<InstanceId, Instance>,
        weights: &BTreeMap<String, u32>,
    ) {
        let mut services: BTreeMap<&str, Vec<&Instance>> = BTreeMap::new();
        for instance in instances.values().filter(|instance| !instance.is_draining) {
            services.entry(&instance.service).or_default().push(instance);
        }
        self.planner.plans.retain(|service, _| services.contains_key(service.as_str()));
        self.planner.reported.retain(|service, _| services.contains_key(service.as_str()));
        for (service, instances) in services {
            let outdated = self.outdated_replicas(now, &instances, weights);
            let plan = self.plan(now, orders_from, service, &instances, &outdated);
            if now + plan.pause >= orders_from {
                self.pause_next(now, &instances, outdated, plan);
            }
            if now >= orders_from {
                self.grant_slots(now, &instances, plan);
            }
        }
    }

    fn registered_records<'a>(
        &'a self,
        instances: &'a [&'a Instance],
    ) -> impl Iterator<Item = KnownReplica<'a>> {
        instances.iter().filter_map(|instance| Some((*instance, self.record_of(instance)?)))
    }

    fn hung_timeout(&self, service: &str) -> Duration {
        let concurrency = self.planner.plans.get(service).map_or(1, |plan| plan.concurrency);
        let first = self.settings.initial_load_time;
        match self.planner.times.get(service) {
            Some(times) => times.hung_timeout(concurrency, first),
            None => LoadTimes::default().hung_timeout(concurrency, first),
        }
    }

    /// Whether a load of the service has been observed.
    fn has_load_times(&self, service: &str) -> bool {
        self.planner.times.get(service).is_some_and(LoadTimes::has_any)
    }

    /// Outdated replicas that may be called, in loading order.
    fn outdated_replicas(
        &self,
        now: Time,
        instances: &[&Instance],
        weights: &BTreeMap<String, u32>,
    ) -> Vec<OutdatedReplica> {
        let is_free = |record: &ReplicaRecord| {
            record.target.is_none() && !record.is_fenced && now >= record.retry_at
        };
        let may_call =
            |instance: &Instance| self.pushbacks.is_available(&instance.incarnation_name(), now);
        let free = self.registered_records(instances);
        let free = free.filter(|(instance, replica)| is_free(replica) && may_call(instance));
        let outdated = free.filter_map(|(instance, replica)| {
            let (model, version, published_at) =
                self.outdated_model(&replica.weights_record, weights)?;
            let is_low_priority = now < replica.low_priority_until;
            let deadline = published_at + self.settings.deadline;
            let failures = replica.failures;
            Some(OutdatedReplica {
                is_low_priority,
                failures,
                deadline,
                id: instance.id.clone(),
                model,
                version,
            })
        });
        let mut outdated: Vec<_> = outdated.collect();
        // Replicas that failed recently come last; otherwise they would always be first.
        outdated.sort_by(|a, b| {
            (a.is_low_priority, a.deadline, &a.id).cmp(&(b.is_low_priority, b.deadline, &b.id))
        });
        outdated
    }

    /// Plans a service from the remaining work and the observed load times.
    fn plan(
        &mut self,
        now: Time,
        orders_from: Time,
        service: &str,
        instances: &[&Instance],
        outdated: &[OutdatedReplica],
    ) -> RolloutPlan {
        let hung_timeout = self.hung_timeout(service);
        let times = self.planner.times.get(service).cloned().unwrap_or_default();
        let targets =
            self.registered_records(instances).filter_map(|(_, replica)| replica.target.as_ref());
        let mut workload = Workload { orders_from, ..Workload::default() };
        // Slow loads that may be hung; they may be unable to serve, like those with a slot.
        let mut maybe_hung = 0;
        for target in targets {
            match target.phase {
                Phase::Pausing { deadline, since } => {
                    workload.paused.push(since);
                    workload.waiting.push(deadline);
                }
                _ if target.occupies_slot(now, hung_timeout) => {
                    let age = now.since(target.granted_at);
                    workload.running.push(age);
                    workload.longest = workload.longest.max(age);
                }
                // Hung and slow loads can't be told apart until one load has ended.
                _ if !times.has_any() => {
                    maybe_hung += 1;
                    workload.longest = workload.longest.max(now.since(target.granted_at));
                }
                _ => workload.hung += 1,
            }
        }
        workload.paused.sort();
        // A replica that failed may never load.
        let plannable = outdated.iter().filter(|replica| replica.failures < MAX_PLANNED_FAILURES);
        workload.waiting.extend(plannable.map(|replica| replica.deadline));
        workload.waiting.sort();
        let max_unavailable =
            self.settings.max_unavailable(instances.len().saturating_sub(workload.hung));
        workload.usual = self.settings.usual_concurrency(instances.len());
        workload.max_unavailable = max_unavailable.saturating_sub(maybe_hung);
        let plan = plan::make_plan(now, &workload, &times, self.settings.initial_load_time);
        self.planner.plans.insert(service.to_owned(), plan);
        self.report_plan(now, service, plan, workload.waiting.len());
        plan
    }

    /// Reports a changed plan, a plan that misses the deadline, and the end of the work.
    fn report_plan(&mut self, now: Time, service: &str, plan: RolloutPlan, remaining: usize) {
        let is_changed = match self.planner.reported.get(service) {
            None => remaining > 0,
            Some((last, at)) if remaining > 0 => {
                let is_late = |plan: &RolloutPlan| plan.late > 0;
                let differs = last.remaining == 0
                    || last.plan.concurrency != plan.concurrency
                    || is_late(&last.plan) != is_late(&plan);
                differs && now >= *at + REPORT_INTERVAL
            }
            Some((last, _)) => last.remaining > 0,
        };
        if is_changed {
            let event = RolloutEvent { service: service.to_owned(), plan, remaining };
            self.planner.reported.insert(service.to_owned(), (event.clone(), now));
            self.planner.events.push(event);
        }
    }

    fn pause_next(
        &mut self,
        now: Time,
        instances: &[&Instance],
        outdated: Vec<OutdatedReplica>,
        plan: RolloutPlan,
    ) {
        let Some(service) = instances.first().map(|instance| instance.service.clone()) else {
            return;
        };
        let hung_timeout = self.hung_timeout(&service);
        let is_under_way = |target: &LoadTarget| {
            matches!(target.phase, Phase::Pausing { .. }) || target.occupies_slot(now, hung_timeout)
        };
        let targets =
            self.registered_records(instances).filter_map(|(_, replica)| replica.target.as_ref());
        let under_way = targets.filter(|target| is_under_way(target)).count();
        // Replicas that failed recently get the slots that nobody else needs.
        let max_unavailable = plan.unavailable();
        for outdated in outdated.into_iter().take(max_unavailable.saturating_sub(under_way)) {
            let phase = Phase::Pausing { since: now, deadline: outdated.deadline };
            let replica = self.replicas.entry(outdated.id).or_default();
            replica.target = Some(LoadTarget {
                phase,
                model: outdated.model,
                version: outdated.version,
                service: service.clone(),
                granted_at: now,
                concurrency: 1,
            });
        }
    }

    /// Grants free slots to replicas that were paused long enough, longest wait first.
    fn grant_slots(&mut self, now: Time, instances: &[&Instance], plan: RolloutPlan) {
        let Some(first) = instances.first() else { return };
        let hung_timeout = self.hung_timeout(&first.service);
        let targets = self.registered_records(instances);
        let targets =
            targets.filter_map(|(instance, replica)| Some((instance, replica.target.as_ref()?)));
        let mut occupied = 0;
        let mut has_loads = false;
        let mut paused: Vec<(Time, InstanceId)> = Vec::new();
        for (instance, target) in targets {
            occupied += usize::from(target.occupies_slot(now, hung_timeout));
            match target.phase {
                Phase::Pausing { since, .. } => paused.push((since, instance.id.clone())),
                _ => has_loads = true,
            }
        }
        paused.sort();
        let is_paused_for =
            |pause: Duration| move |(since, _): &&(Time, InstanceId)| now >= *since + pause;
        let mut waiting: Vec<_> = paused.iter().filter(is_paused_for(plan.pause)).collect();
        // The first load shows how long loads take, so it begins early.
        if waiting.is_empty() && !has_loads && !self.has_load_times(&first.service) {
            waiting.extend(paused.iter().find(is_paused_for(plan::MIN_PAUSE)));
        }
        let free = plan.concurrency.max(1).saturating_sub(occupied);
        let concurrency = occupied + waiting.len().min(free);
        for (_, id) in waiting.into_iter().take(free) {
            let target = self.replicas.get_mut(id).and_then(|replica| replica.target.as_mut());
            let Some(target) = target else { continue };
            target.phase = Phase::Granted;
            target.granted_at = now;
            target.concurrency = concurrency;
        }
    }
}
