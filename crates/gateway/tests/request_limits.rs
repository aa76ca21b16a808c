//! Request limits of replicas over all gateways together: a replica's limit is kept through
//! partitions, freezes, restarts and replacements of gateways, and is used when there is demand.

mod common;
mod quota_simulation;

use proptest::prelude::*;
use quota_simulation::{Event, Simulation, address, any_event};
use rand::Rng;
use rstest::rstest;
use std::collections::VecDeque;
use std::time::Duration;
use topazmount_admission::{LimitChange, RequestLimit, RequestLimits};
use topazmount_gateway::{GrantResponse, Granter, LimitUpdate};
use topazmount_types::{Start, Time};

const REPLICA: u64 = 0x7265_706c;
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first response with a limit, or a changed one, until the limit must be kept.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time from a response with a limit until requests of the gateway that received it count.
const UPDATE_TIME: Duration = Duration::from_millis(500);
const EXCESS: f64 = 1.5;
const SLACK: f64 = 5.0;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A replica that reports a limit in each response, and the gateways that send to it.
struct LimitedReplica {
    simulation: Simulation,
    limit: RequestLimit,
    /// When each running gateway first received a response.
    informed_at: Vec<Option<Time>>,
    /// Requests in transit: when they arrive, from which gateway, and when they were sent.
    in_transit: VecDeque<(Time, usize, Time)>,
    /// Arrivals from gateways that know the limit.
    arrivals: Vec<Time>,
    has_demand: bool,
    /// Maximum number of requests of a gateway in a step.
    max_requests_per_step: usize,
}

impl LimitedReplica {
    fn new(gateways: usize, per_second: f64, seed: u64) -> Self {
        LimitedReplica {
            simulation: Simulation::new(gateways, seed),
            limit: RequestLimit::per_second(per_second),
            informed_at: vec![None; gateways],
            in_transit: VecDeque::new(),
            arrivals: Vec::new(),
            has_demand: true,
            max_requests_per_step: 3,
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Pass(time) => self.advance(millis(time)),
            Event::Kill(number) => {
                let number = number % self.informed_at.len();
                self.informed_at[number] = None;
                self.in_transit.retain(|(_, from, _)| *from != number);
                self.simulation.apply(event);
            }
            event => self.simulation.apply(event),
        }
    }

    fn advance(&mut self, time: Duration) {
        let end = self.simulation.now + time;
        while self.simulation.now < end {
            self.simulation.advance(millis(50), |_| {});
            self.respond();
            for number in 0..self.informed_at.len() {
                self.send(number);
            }
        }
    }

    /// Responds to the requests that have arrived.
    fn respond(&mut self) {
        let now = self.simulation.now;
        while self.in_transit.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((at, from, _)) = self.in_transit.pop_front() else { break };
            if self.informed_at[from].is_some_and(|informed| informed + UPDATE_TIME <= at) {
                self.arrivals.push(at);
            }
            let update =
                LimitUpdate { replica: REPLICA, limit: Some(self.limit), age: Duration::ZERO };
            let Some(gateway) = self.simulation.gateways[from].as_mut() else { continue };
            gateway.state.apply_limit_update(&update, now);
            self.informed_at[from] = self.informed_at[from].or(Some(now));
        }
    }

    /// A gateway sends as much as it may.
    fn send(&mut self, number: usize) {
        for _ in 0..self.max_requests_per_step {
            let is_up =
                self.simulation.gateways[number].as_ref().is_some_and(|gateway| !gateway.is_frozen);
            if !is_up || !self.has_demand || !self.is_granted(number) {
                return;
            }
            let now = self.simulation.now;
            let delay = millis(self.simulation.rng.random_range(1..300));
            let at = self.in_transit.back().map_or(now + delay, |(at, ..)| (now + delay).max(*at));
            self.in_transit.push_back((at, number, now));
        }
    }

    fn is_granted(&mut self, number: usize) -> bool {
        let now = self.simulation.now;
        let Some(requester) = self.simulation.gateways[number].as_mut() else { return false };
        // A gateway that does not know of a limit sends without grants.
        if self.informed_at[number].is_none() {
            return self.simulation.rng.random_bool(0.1);
        }
        let request =
            LimitUpdate { replica: REPLICA, limit: Some(self.limit), age: Duration::ZERO };
        let granter = match requester.state.send_granter(REPLICA, now) {
            None => return false,
            Some(Granter::Local) => {
                return requester.state.grant_send(&request, now) == GrantResponse::Granted;
            }
            Some(Granter::Remote(granter)) => granter,
        };
        let Some(other) = (0..self.informed_at.len()).find(|gateway| address(*gateway) == granter)
        else {
            return false;
        };
        let is_partitioned = self.simulation.partitioned.contains(&(number, other));
        let granter_gateway = self.simulation.gateways[other].as_mut();
        let granter_gateway =
            granter_gateway.filter(|gateway| !gateway.is_frozen && !is_partitioned);
        let response = granter_gateway.map(|gateway| gateway.state.grant_send(&request, now));
        if response.is_none()
            && let Some(requester) = self.simulation.gateways[number].as_mut()
        {
            requester.state.on_send_granter_timeout(granter, now);
        }
        response == Some(GrantResponse::Granted)
    }

    fn max_in_window(&self, from: Time) -> usize {
        let later: Vec<Time> = self.arrivals.iter().copied().filter(|at| *at >= from).collect();
        let count_in_window = |window_start: &Time| {
            later.iter().filter(|at| **at >= *window_start && **at < *window_start + WINDOW).count()
        };
        later.iter().map(count_in_window).max().unwrap_or(0)
    }

    fn max_allowed(&self) -> f64 {
        EXCESS * self.limit.rate() * WINDOW.as_secs_f64() + SLACK
    }
}

fn any_limit() -> impl Strategy<Value = f64> {
    prop_oneof![3 => 0.2f64..3.0, 2 => 3.0f64..10.0, 1 => 10.0f64..50.0]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn a_replica_never_gets_more_than_its_limit(
        seed in any::<u64>(),
        gateways in 1usize..24,
        per_second in any_limit(),
        events in prop::collection::vec(any_event(), 10..40),
    ) {
        let mut replica = LimitedReplica::new(gateways, per_second, seed);
        replica.apply(Event::Pass(8_000));
        let from = replica.simulation.now;
        events.into_iter().for_each(|event| replica.apply(event));
        replica.apply(Event::Heal);
        replica.apply(Event::Elect);
        replica.apply(Event::Pass(6_000));
        let max_used = replica.max_in_window(from);
        prop_assert!(max_used as f64 <= replica.max_allowed(), "{max_used} of {}", replica.max_allowed());
    }

    /// A lowered limit must be kept after the contact time.
    #[test]
    fn a_lowered_limit_is_kept(
        seed in any::<u64>(),
        gateways in 1usize..12,
        before in 5.0f64..50.0,
        after in 0.2f64..5.0,
    ) {
        let mut replica = LimitedReplica::new(gateways, before, seed);
        replica.advance(Duration::from_secs(10));
        replica.limit = RequestLimit::per_second(after);
        let from = replica.simulation.now + CONTACT_TIME;
        replica.advance(Duration::from_secs(12));
        let max_used = replica.max_in_window(from);
        prop_assert!(max_used as f64 <= replica.max_allowed(), "{max_used} of {}", replica.max_allowed());
    }
}

/// When demand exceeds a limit, at least 0.8 of it is used, and never more than all of it.
#[rstest]
fn a_limit_is_used_when_there_is_demand(
    #[values(1, 7, 24, 300)] gateways: usize,
    #[values(0.2, 1.0, 5.0, 50.0)] per_second: f64,
) {
    let mut replica = LimitedReplica::new(gateways, per_second, 5);
    replica.max_requests_per_step = 1;
    replica.advance(Duration::from_secs(10));
    let from = replica.simulation.now;
    replica.advance(Duration::from_secs(40));
    let used = replica.arrivals.iter().filter(|at| **at >= from).count() as f64;
    let max_allowed = per_second * 40.0;
    let demand = (gateways as f64 * 20.0 * 40.0).min(max_allowed);
    assert!(used >= 0.8 * demand && used <= max_allowed + SLACK, "{used} of {max_allowed}");
    let max_used = replica.max_in_window(from);
    assert!(max_used as f64 <= replica.max_allowed(), "{max_used} of {}", replica.max_allowed());
}

/// Several gateways that learn of a changed limit at once must not all broadcast it.
#[test]
fn a_changed_limit_is_broadcast_by_its_granter() {
    let mut simulation = Simulation::new(12, 3);
    simulation.advance(Duration::from_secs(9), |_| {});
    let now = simulation.now;
    let update = LimitUpdate { replica: REPLICA, limit: limit(1.0), age: Duration::ZERO };
    let mut recipients = Vec::new();
    for number in 0..12 {
        let state = &mut simulation.gateways[number].as_mut().unwrap().state;
        let to = state.limit_update_recipients(REPLICA, now);
        let is_granter = state.send_granter(REPLICA, now) == Some(Granter::Local);
        assert_eq!(to.len(), if is_granter { 11 } else { 1 });
        recipients.extend(to.into_iter().filter(|_| !is_granter));
    }
    recipients.dedup();
    let granter = (0..12).find(|number| address(*number) == recipients[0]).unwrap();
    assert_eq!(recipients.len(), 1, "there is one granter");
    let state = &mut simulation.gateways[granter].as_mut().unwrap().state;
    assert_eq!(state.apply_limit_update(&update, now).len(), 11);
    assert!(state.apply_limit_update(&update, now).is_empty(), "the update is not new");
}

const NOW: Time = Time::from_secs(1_000);

fn limit(per_second: f64) -> Option<RequestLimit> {
    Some(RequestLimit::per_second(per_second))
}

#[rstest]
// Responses: limit, time at which the request was sent and time at which the response arrived, in
// milliseconds; then the resulting limit.
#[case::reported(&[(Some(2.0), 0, 100)], Some(2.0))]
#[case::none(&[(None, 0, 100)], None)]
#[case::ended_by_a_later_request(&[(Some(2.0), 0, 100), (None, 150, 200)], None)]
#[case::not_ended_by_an_earlier_request(&[(Some(2.0), 50, 100), (None, 0, 200)], Some(2.0))]
#[case::lowered(&[(Some(2.0), 0, 100), (Some(1.0), 150, 200)], Some(1.0))]
#[case::lowered_by_an_earlier_request(&[(Some(2.0), 0, 100), (Some(1.0), 50, 200)], Some(1.0))]
#[case::raised(&[(Some(1.0), 0, 100), (Some(2.0), 150, 200)], Some(2.0))]
#[case::not_raised_by_an_earlier_request(&[(Some(1.0), 0, 100), (Some(2.0), 50, 200)], Some(1.0))]
#[case::reported_again(&[(Some(1.0), 0, 100), (None, 150, 200), (Some(3.0), 250, 300)], Some(3.0))]
#[case::an_ended_limit_stays_ended(&[(Some(1.0), 0, 100), (None, 150, 200), (Some(1.0), 120, 300)], None)]
fn reordered_responses_do_not_end_a_limit(
    #[case] responses: &[(Option<f64>, u64, u64)],
    #[case] last: Option<f64>,
) {
    let mut limits = RequestLimits::default();
    for (limit, sent, arrived) in responses {
        let limit = limit.map(RequestLimit::per_second);
        limits.record(REPLICA, limit, NOW + millis(*sent), NOW + millis(*arrived));
    }
    assert_eq!(limits.limit(REPLICA), last.and_then(limit));
}

#[test]
fn only_changes_are_reported() {
    let mut limits = RequestLimits::default();
    let reported = |per_second| limit(per_second).map(LimitChange::Set);
    assert_eq!(limits.record(REPLICA, limit(1.0), NOW, NOW + millis(1)), reported(1.0));
    assert_eq!(limits.record(REPLICA, limit(1.0), NOW + millis(2), NOW + millis(3)), None);
    assert_eq!(limits.record(REPLICA, limit(2.0), NOW + millis(4), NOW + millis(5)), reported(2.0));
    let ended = limits.record(REPLICA, None, NOW + millis(6), NOW + millis(7));
    assert_eq!(ended, Some(LimitChange::Removed));
}

/// An update from another gateway may be older than a response received directly.
#[test]
fn older_updates_of_other_gateways_are_ignored() {
    let mut limits = RequestLimits::default();
    limits.record(REPLICA, limit(1.0), NOW, NOW + millis(100));
    limits.record_update(REPLICA, limit(5.0), NOW + millis(50));
    assert_eq!(limits.limit(REPLICA), limit(1.0));
    limits.record_update(REPLICA, None, NOW + millis(150));
    assert_eq!(limits.limit(REPLICA), None);
}

#[rstest]
// Start of the next incarnation, in milliseconds from the response on.
#[case::long_before(-5_000, true)]
#[case::at_about_that_time(200, true)]
#[case::after(300, false)]
fn a_limit_ends_with_its_incarnation(#[case] starts_after: i64, #[case] carries_over: bool) {
    let mut limits = RequestLimits::default();
    limits.record(REPLICA, limit(1.0), NOW, NOW);
    let start = Start(1_000_000u64.checked_add_signed(starts_after).unwrap());
    limits.on_replaced(REPLICA, REPLICA + 1, start);
    assert_eq!(limits.limit(REPLICA), None);
    assert_eq!(limits.limit(REPLICA + 1).is_some(), carries_over);
}
