//! Limits that replicas name, over all gateways together: what reaches a replica keeps its limit whoever is cut off, frozen,
//! restarted or replaced, and what it allows is used.

mod common;
mod quota_world;

use proptest::prelude::*;
use quota_world::{Event, World, address, any_event};
use rand::Rng;
use rstest::rstest;
use std::collections::VecDeque;
use std::time::Duration;
use topazmount_admission::{LimitChange, RequestLimit, RequestLimits};
use topazmount_gateway::{GrantResponse, Granter, LimitUpdate};
use topazmount_types::{Start, Time};

const REPLICA: u64 = 0x7265_706c;
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first answer that names a limit, or another one, until the limit must be kept.
const CONTACT: Duration = Duration::from_secs(3);
/// Time from an answer that names a limit until requests of the gateway that passed it on count.
const TOLD: Duration = Duration::from_millis(500);
const EXCESS: f64 = 1.5;
const SLACK: f64 = 5.0;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A replica that names a limit in each answer, before the gateways of a world.
struct Limited {
    world: World,
    limit: RequestLimit,
    /// When each gateway first passed on an answer, in its present life.
    told_at: Vec<Option<Time>>,
    /// Requests on their way: when they arrive, from which gateway, and when they were sent.
    under_way: VecDeque<(Time, usize, Time)>,
    /// Arrivals from gateways that had been told.
    arrivals: Vec<Time>,
    wanted: bool,
    /// Most tries of a gateway in a step.
    tries: usize,
}

impl Limited {
    fn new(gateways: usize, per_second: f64, seed: u64) -> Self {
        Limited {
            world: World::new(gateways, seed),
            limit: RequestLimit::per_second(per_second),
            told_at: vec![None; gateways],
            under_way: VecDeque::new(),
            arrivals: Vec::new(),
            wanted: true,
            tries: 3,
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Pass(time) => self.pass(millis(time)),
            Event::Kill(number) => {
                let number = number % self.told_at.len();
                self.told_at[number] = None;
                self.under_way.retain(|(_, from, _)| *from != number);
                self.world.take(event);
            }
            event => self.world.take(event),
        }
    }

    fn pass(&mut self, time: Duration) {
        let end = self.world.now + time;
        while self.world.now < end {
            self.world.pass(millis(50), |_| {});
            self.answer();
            for number in 0..self.told_at.len() {
                self.send(number);
            }
        }
    }

    /// Requests that arrived are answered.
    fn answer(&mut self) {
        let now = self.world.now;
        while self.under_way.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((at, from, _)) = self.under_way.pop_front() else { break };
            if self.told_at[from].is_some_and(|told| told + TOLD <= at) {
                self.arrivals.push(at);
            }
            let news =
                LimitUpdate { replica: REPLICA, limit: Some(self.limit), age: Duration::ZERO };
            let Some(gateway) = self.world.gateways[from].as_mut() else { continue };
            gateway.knowledge.apply_limit_update(&news, now);
            self.told_at[from] = self.told_at[from].or(Some(now));
        }
    }

    /// A gateway sends as much as it may.
    fn send(&mut self, number: usize) {
        for _ in 0..self.tries {
            let is_up = self.world.gateways[number].as_ref().is_some_and(|one| !one.is_frozen);
            if !is_up || !self.wanted || !self.is_granted(number) {
                return;
            }
            let now = self.world.now;
            let delay = millis(self.world.rng.random_range(1..300));
            let at = self.under_way.back().map_or(now + delay, |(at, ..)| (now + delay).max(*at));
            self.under_way.push_back((at, number, now));
        }
    }

    fn is_granted(&mut self, number: usize) -> bool {
        let now = self.world.now;
        let Some(asker) = self.world.gateways[number].as_mut() else { return false };
        // One that has heard nothing of a limit sends as it likes.
        if self.told_at[number].is_none() {
            return self.world.rng.random_bool(0.1);
        }
        let asked = LimitUpdate { replica: REPLICA, limit: Some(self.limit), age: Duration::ZERO };
        let granter = match asker.knowledge.send_granter(REPLICA, now) {
            None => return false,
            Some(Granter::Local) => {
                return asker.knowledge.grant_send(&asked, now) == GrantResponse::Granted;
            }
            Some(Granter::Remote(granter)) => granter,
        };
        let Some(other) = (0..self.told_at.len()).find(|one| address(*one) == granter) else {
            return false;
        };
        let is_parted = self.world.parted.contains(&(number, other));
        let answerer = self.world.gateways[other].as_mut();
        let answerer = answerer.filter(|one| !one.is_frozen && !is_parted);
        let answer = answerer.map(|one| one.knowledge.grant_send(&asked, now));
        if answer.is_none()
            && let Some(asker) = self.world.gateways[number].as_mut()
        {
            asker.knowledge.on_send_granter_timeout(granter, now);
        }
        answer == Some(GrantResponse::Granted)
    }

    fn most_in_window(&self, from: Time) -> usize {
        let later: Vec<Time> = self.arrivals.iter().copied().filter(|at| *at >= from).collect();
        let within = |begin: &Time| {
            later.iter().filter(|at| **at >= *begin && **at < *begin + WINDOW).count()
        };
        later.iter().map(within).max().unwrap_or(0)
    }

    fn allowed(&self) -> f64 {
        EXCESS * self.limit.rate() * WINDOW.as_secs_f64() + SLACK
    }
}

fn any_limit() -> impl Strategy<Value = f64> {
    prop_oneof![3 => 0.2f64..3.0, 2 => 3.0f64..10.0, 1 => 10.0f64..50.0]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn a_replica_gets_no_more_than_its_limit_whatever_happens_to_gateways(
        seed in any::<u64>(),
        gateways in 1usize..24,
        per_second in any_limit(),
        events in prop::collection::vec(any_event(), 10..40),
    ) {
        let mut play = Limited::new(gateways, per_second, seed);
        play.take(Event::Pass(8_000));
        let from = play.world.now;
        events.into_iter().for_each(|event| play.take(event));
        play.take(Event::Heal);
        play.take(Event::Elect);
        play.take(Event::Pass(6_000));
        let most = play.most_in_window(from);
        prop_assert!(most as f64 <= play.allowed(), "{most} of {}", play.allowed());
    }

    /// A lower limit must be kept once it has been told for a while.
    #[test]
    fn a_limit_that_falls_is_kept(
        seed in any::<u64>(),
        gateways in 1usize..12,
        before in 5.0f64..50.0,
        after in 0.2f64..5.0,
    ) {
        let mut play = Limited::new(gateways, before, seed);
        play.pass(Duration::from_secs(10));
        play.limit = RequestLimit::per_second(after);
        let from = play.world.now + CONTACT;
        play.pass(Duration::from_secs(12));
        let most = play.most_in_window(from);
        prop_assert!(most as f64 <= play.allowed(), "{most} of {}", play.allowed());
    }
}

/// Where all gateways ask for more, 0.8 of a limit or more is used, and never more than it.
#[rstest]
fn what_a_limit_allows_is_used(
    #[values(1, 7, 24, 300)] gateways: usize,
    #[values(0.2, 1.0, 5.0, 50.0)] per_second: f64,
) {
    let mut play = Limited::new(gateways, per_second, 5);
    play.tries = 1;
    play.pass(Duration::from_secs(10));
    let from = play.world.now;
    play.pass(Duration::from_secs(40));
    let used = play.arrivals.iter().filter(|at| **at >= from).count() as f64;
    let allowed = per_second * 40.0;
    let demand = (gateways as f64 * 20.0 * 40.0).min(allowed);
    assert!(used >= 0.8 * demand && used <= allowed + SLACK, "{used} of {allowed}");
    let most = play.most_in_window(from);
    assert!(most as f64 <= play.allowed(), "{most} of {}", play.allowed());
}

/// Gateways that hear of a limit together must not each tell all others.
#[test]
fn a_changed_limit_is_told_to_all_by_its_granter() {
    let mut world = World::new(12, 3);
    world.pass(Duration::from_secs(9), |_| {});
    let now = world.now;
    let news = LimitUpdate { replica: REPLICA, limit: limit(1.0), age: Duration::ZERO };
    let mut told = Vec::new();
    for number in 0..12 {
        let knowledge = &mut world.gateways[number].as_mut().unwrap().knowledge;
        let to = knowledge.limit_update_recipients(REPLICA, now);
        let is_granter = knowledge.send_granter(REPLICA, now) == Some(Granter::Local);
        assert_eq!(to.len(), if is_granter { 11 } else { 1 });
        told.extend(to.into_iter().filter(|_| !is_granter));
    }
    told.dedup();
    let granter = (0..12).find(|number| address(*number) == told[0]).unwrap();
    assert_eq!(told.len(), 1, "one grants");
    let knowledge = &mut world.gateways[granter].as_mut().unwrap().knowledge;
    assert_eq!(knowledge.apply_limit_update(&news, now).len(), 11);
    assert!(knowledge.apply_limit_update(&news, now).is_empty(), "it is no news any more");
}

const NOW: Time = Time::from_secs(1_000);

fn limit(per_second: f64) -> Option<RequestLimit> {
    Some(RequestLimit::per_second(per_second))
}

#[rstest]
// Answers: the limit in it, when its request was sent, and when it came, in milliseconds; the limit then.
#[case::named(&[(Some(2.0), 0, 100)], Some(2.0))]
#[case::none(&[(None, 0, 100)], None)]
#[case::ended_by_a_later_request(&[(Some(2.0), 0, 100), (None, 150, 200)], None)]
#[case::not_by_one_on_its_way(&[(Some(2.0), 50, 100), (None, 0, 200)], Some(2.0))]
#[case::lowered(&[(Some(2.0), 0, 100), (Some(1.0), 150, 200)], Some(1.0))]
#[case::lowered_by_one_on_its_way(&[(Some(2.0), 0, 100), (Some(1.0), 50, 200)], Some(1.0))]
#[case::raised(&[(Some(1.0), 0, 100), (Some(2.0), 150, 200)], Some(2.0))]
#[case::not_raised_by_one_on_its_way(&[(Some(1.0), 0, 100), (Some(2.0), 50, 200)], Some(1.0))]
#[case::named_again(&[(Some(1.0), 0, 100), (None, 150, 200), (Some(3.0), 250, 300)], Some(3.0))]
#[case::an_end_stays(&[(Some(1.0), 0, 100), (None, 150, 200), (Some(1.0), 120, 300)], None)]
fn answers_that_overtake_each_other_end_no_limit(
    #[case] answers: &[(Option<f64>, u64, u64)],
    #[case] last: Option<f64>,
) {
    let mut limits = RequestLimits::default();
    for (said, sent, came) in answers {
        let said = said.map(RequestLimit::per_second);
        limits.hear(REPLICA, said, NOW + millis(*sent), NOW + millis(*came));
    }
    assert_eq!(limits.limit(REPLICA), last.and_then(limit));
}

#[test]
fn only_changes_are_news() {
    let mut limits = RequestLimits::default();
    let named = |per_second| limit(per_second).map(LimitChange::Named);
    assert_eq!(limits.hear(REPLICA, limit(1.0), NOW, NOW + millis(1)), named(1.0));
    assert_eq!(limits.hear(REPLICA, limit(1.0), NOW + millis(2), NOW + millis(3)), None);
    assert_eq!(limits.hear(REPLICA, limit(2.0), NOW + millis(4), NOW + millis(5)), named(2.0));
    let ended = limits.hear(REPLICA, None, NOW + millis(6), NOW + millis(7));
    assert_eq!(ended, Some(LimitChange::Ended));
}

/// Word of other gateways may be older than what this one heard itself.
#[test]
fn older_word_of_others_changes_nothing() {
    let mut limits = RequestLimits::default();
    limits.hear(REPLICA, limit(1.0), NOW, NOW + millis(100));
    limits.told(REPLICA, limit(5.0), NOW + millis(50));
    assert_eq!(limits.limit(REPLICA), limit(1.0));
    limits.told(REPLICA, None, NOW + millis(150));
    assert_eq!(limits.limit(REPLICA), None);
}

#[rstest]
// When the next incarnation starts, in milliseconds from the answer on.
#[case::long_before(-5_000, true)]
#[case::at_about_that_time(200, true)]
#[case::after(300, false)]
fn a_limit_ends_with_its_incarnation(#[case] starts_after: i64, #[case] is_the_next_s: bool) {
    let mut limits = RequestLimits::default();
    limits.hear(REPLICA, limit(1.0), NOW, NOW);
    let start = Start(1_000_000u64.checked_add_signed(starts_after).unwrap());
    limits.replaced(REPLICA, REPLICA + 1, start);
    assert_eq!(limits.limit(REPLICA), None);
    assert_eq!(limits.limit(REPLICA + 1).is_some(), is_the_next_s);
}
