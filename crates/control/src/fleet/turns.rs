//! Which replicas are paused and may load next, as a plan for each service has it.

use super::events::RolloutEvent;
use super::pace::{self, LoadTimes, RolloutPlan, Work};
use super::rollout::{Replica, Rollout};
use super::target::{Phase, Target};
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_types::{Instance, InstanceId, Time};

/// Least time between two reports of the plan of one service.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Failures since its last load after which a replica is not planned with any more, so that it widens nothing; it is tried on, after all others.
const HOPELESS_FAILURES: u32 = 1;

/// A registered replica that doesn't leave, and what is known of it.
type Known<'a> = (&'a Instance, &'a Replica);

/// A replica on older weights that no order is on its way to.
struct Lacking {
    /// Whether it failed lately and comes after all others.
    yields: bool,
    /// How often it failed since it last loaded.
    failures: u32,
    deadline: Time,
    id: InstanceId,
    model: String,
    version: u32,
}

/// Plans of services, and what their loads took.
#[derive(Clone, Debug, Default)]
pub(super) struct Pace {
    pub(super) times: BTreeMap<String, LoadTimes>,
    plans: BTreeMap<String, RolloutPlan>,
    /// What was reported of each last, and when.
    reported: BTreeMap<String, (RolloutEvent, Time)>,
    pub(super) events: Vec<RolloutEvent>,
}

impl Rollout {
    /// Has gateways pass over those that load next, and gives turns to those that were passed over long enough.
    pub(super) fn take_turns(
        &mut self,
        now: Time,
        orders_from: Time,
        instances: &BTreeMap<InstanceId, Instance>,
        weights: &BTreeMap<String, u32>,
    ) {
        let mut services: BTreeMap<&str, Vec<&Instance>> = BTreeMap::new();
        for instance in instances.values().filter(|one| !one.is_draining) {
            services.entry(&instance.service).or_default().push(instance);
        }
        self.pace.plans.retain(|service, _| services.contains_key(service.as_str()));
        self.pace.reported.retain(|service, _| services.contains_key(service.as_str()));
        for (service, instances) in services {
            let lacking = self.lacking_of(now, &instances, weights);
            let plan = self.plan(now, orders_from, service, &instances, &lacking);
            if now + plan.pause >= orders_from {
                self.pause_next(now, &instances, lacking, plan);
            }
            if now >= orders_from {
                self.give_turns(now, &instances, plan);
            }
        }
    }

    fn known<'a>(&'a self, instances: &'a [&'a Instance]) -> impl Iterator<Item = Known<'a>> {
        instances.iter().filter_map(|one| Some((*one, self.replica_of(one)?)))
    }

    fn hung_after(&self, service: &str) -> Duration {
        let width = self.pace.plans.get(service).map_or(1, |plan| plan.concurrency);
        let first = self.settings.initial_load_time;
        match self.pace.times.get(service) {
            Some(times) => times.hung_after(width, first),
            None => LoadTimes::default().hung_after(width, first),
        }
    }

    /// Those that lack the newest weights and may be called, in the order in which they are to load.
    fn lacking_of(
        &self,
        now: Time,
        instances: &[&Instance],
        weights: &BTreeMap<String, u32>,
    ) -> Vec<Lacking> {
        let is_free =
            |one: &Replica| one.target.is_none() && !one.is_fenced && now >= one.rests_until;
        let may_call = |one: &Instance| self.pushbacks.is_available(&one.incarnation_name(), now);
        let free = self.known(instances);
        let free = free.filter(|(one, replica)| is_free(replica) && may_call(one));
        let lacking = free.filter_map(|(one, replica)| {
            let (model, version, named) = self.lacking(&replica.belief, weights)?;
            let yields = now < replica.yields_until;
            let deadline = named + self.settings.deadline;
            let failures = replica.failures;
            Some(Lacking { yields, failures, deadline, id: one.id.clone(), model, version })
        });
        let mut lacking: Vec<_> = lacking.collect();
        // Whoever failed lately comes after all others, else it would be the first again and again.
        lacking.sort_by(|a, b| (a.yields, a.deadline, &a.id).cmp(&(b.yields, b.deadline, &b.id)));
        lacking
    }

    /// Plans a service anew: what was left, or what loads take, may have changed.
    fn plan(
        &mut self,
        now: Time,
        orders_from: Time,
        service: &str,
        instances: &[&Instance],
        lacking: &[Lacking],
    ) -> RolloutPlan {
        let hung_after = self.hung_after(service);
        let times = self.pace.times.get(service).cloned().unwrap_or_default();
        let targets = self.known(instances).filter_map(|(_, replica)| replica.target.as_ref());
        let mut work = Work { orders_from, ..Work::default() };
        // They may serve as little as those that take a place.
        let mut doubtful = 0;
        for target in targets {
            match target.phase {
                Phase::Pausing { deadline, since } => {
                    work.paused.push(since);
                    work.waiting.push(deadline);
                }
                _ if target.takes_place(now, hung_after) => {
                    let age = now.since(target.granted_at);
                    work.running.push(age);
                    work.longest = work.longest.max(age);
                }
                // Until one has ended nobody knows whether it hangs or loads just take that long here.
                _ if !times.has_any() => {
                    doubtful += 1;
                    work.longest = work.longest.max(now.since(target.granted_at));
                }
                _ => work.hung += 1,
            }
        }
        work.paused.sort();
        // One that fails again and again may never load.
        let hopeful = lacking.iter().filter(|one| one.failures < HOPELESS_FAILURES);
        work.waiting.extend(hopeful.map(|one| one.deadline));
        work.waiting.sort();
        let most_away = self.settings.most_away(instances.len().saturating_sub(work.hung));
        work.usual = self.settings.usually_loading(instances.len());
        work.most_away = most_away.saturating_sub(doubtful);
        let plan = pace::plan(now, &work, &times, self.settings.initial_load_time);
        self.pace.plans.insert(service.to_owned(), plan);
        self.report(now, service, plan, work.waiting.len());
        plan
    }

    /// Reports a plan that differs, one by which replicas will be late, and that nothing is left.
    fn report(&mut self, now: Time, service: &str, plan: RolloutPlan, left: usize) {
        let is_news = match self.pace.reported.get(service) {
            None => left > 0,
            Some((last, at)) if left > 0 => {
                let is_late = |plan: &RolloutPlan| plan.late > 0;
                let differs = last.remaining == 0
                    || last.plan.concurrency != plan.concurrency
                    || is_late(&last.plan) != is_late(&plan);
                differs && now >= *at + REPORT_INTERVAL
            }
            Some((last, _)) => last.remaining > 0,
        };
        if is_news {
            let event = RolloutEvent { service: service.to_owned(), plan, remaining: left };
            self.pace.reported.insert(service.to_owned(), (event.clone(), now));
            self.pace.events.push(event);
        }
    }

    fn pause_next(
        &mut self,
        now: Time,
        instances: &[&Instance],
        lacking: Vec<Lacking>,
        plan: RolloutPlan,
    ) {
        let Some(service) = instances.first().map(|one| one.service.clone()) else { return };
        let hung_after = self.hung_after(&service);
        let is_under_way = |target: &Target| {
            matches!(target.phase, Phase::Pausing { .. }) || target.takes_place(now, hung_after)
        };
        let targets = self.known(instances).filter_map(|(_, replica)| replica.target.as_ref());
        let under_way = targets.filter(|target| is_under_way(target)).count();
        // One that failed lately has a place where nobody else needs it.
        let away = plan.away();
        for one in lacking.into_iter().take(away.saturating_sub(under_way)) {
            let phase = Phase::Pausing { since: now, deadline: one.deadline };
            let replica = self.replicas.entry(one.id).or_default();
            replica.target = Some(Target {
                phase,
                model: one.model,
                version: one.version,
                service: service.clone(),
                granted_at: now,
                width: 1,
            });
        }
    }

    /// Lets replicas that have been paused long enough go on to their order, those that wait longest first, as far as the
    /// plan's places allow.
    fn give_turns(&mut self, now: Time, instances: &[&Instance], plan: RolloutPlan) {
        let Some(first) = instances.first() else { return };
        let hung_after = self.hung_after(&first.service);
        let targets = self.known(instances);
        let targets = targets.filter_map(|(one, replica)| Some((one, replica.target.as_ref()?)));
        let mut taken = 0;
        let mut waiting: Vec<(Time, InstanceId)> = Vec::new();
        for (one, target) in targets {
            taken += usize::from(target.takes_place(now, hung_after));
            if let Phase::Pausing { since, .. } = target.phase
                && now >= since + plan.pause
            {
                waiting.push((since, one.id.clone()));
            }
        }
        waiting.sort();
        let free = plan.concurrency.max(1).saturating_sub(taken);
        let width = taken + waiting.len().min(free);
        for (_, id) in waiting.into_iter().take(free) {
            let target = self.replicas.get_mut(&id).and_then(|replica| replica.target.as_mut());
            let Some(target) = target else { continue };
            target.phase = Phase::Granted;
            target.granted_at = now;
            target.width = width;
        }
    }
}
