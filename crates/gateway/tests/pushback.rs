//! Pushback of replicas is honored for as long as they asked, for the incarnation that asked, in
//! every choice.

mod common;

use common::{choice_request, engine, instance, prompt};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_admission::{Pushback, PushbackChange, PushbackRecords, PushbackSettings};
use topazmount_control::{FleetView, RemovedInstance};
use topazmount_gateway::{Balancer, Choice, ChoiceRequest, GatewaySettings, GatewayState};
use topazmount_routing::PolicyTable;
use topazmount_types::{Instance, Start, Time};

const NOW: Time = Time::from_secs(1_000);
const FIRST: Start = Start(900_000);
/// Restarts half a second after the pushback, which is received at 1,000,000 ms.
const NEXT: Start = Start(1_000_500);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn backoff(time: Duration) -> Pushback {
    Pushback { backoff: Some(time), ..Pushback::default() }
}

const LEAVING: Pushback = Pushback {
    backoff: None,
    is_leaving: true,
    limit: None,
    max_rejections: None,
    invalid_field: None,
};

fn started(id: &str, start: Start) -> Instance {
    Instance { start, ..instance(id, "pool", "north") }
}

fn choose(balancer: &mut Balancer, tried: &[String], now: Time) -> Option<Choice> {
    let prompt = prompt(&[(1, 500), (100, 400)]);
    let engine = engine();
    let request = ChoiceRequest { tried, ..choice_request(&prompt, Some(&engine)) };
    balancer.choose(&request, now, &mut PolicyTable::default())
}

/// Two replicas, of which the first was chosen and pushed back in its response.
fn after_pushback(pushback: Pushback) -> (Balancer, Choice) {
    let mut balancer = Balancer::new("north", 1);
    balancer.upsert(started("i-0", FIRST));
    balancer.upsert(started("i-1", FIRST));
    let other = [started("i-1", FIRST).incarnation_name()];
    let choice = choose(&mut balancer, &other, NOW).unwrap();
    assert!(balancer.may_send(&choice, NOW));
    balancer.record_pushback(&choice, pushback, NOW);
    (balancer, choice)
}

/// Whether the first replica is chosen in any of a hundred choices.
fn is_chosen(balancer: &mut Balancer, now: Time) -> bool {
    (0..100).filter_map(|_| choose(balancer, &[], now)).any(|choice| choice.instance.id == "i-0")
}

#[rstest]
// Backoff times received at these milliseconds; whether the replica is in backoff at the later
// moment.
#[case::for_its_time(&[(0, Some(2_000))], 1_999, true)]
#[case::no_longer(&[(0, Some(2_000))], 2_000, false)]
#[case::a_shorter_time_later(&[(0, Some(2_000)), (100, Some(200))], 1_900, true)]
#[case::a_longer_time_later(&[(0, Some(500)), (100, Some(2_000))], 2_099, true)]
#[case::no_time_later(&[(0, Some(2_000)), (100, None)], 1_900, true)]
#[case::again_after_its_end(&[(0, Some(500)), (700, Some(500))], 1_100, true)]
#[case::no_backoff(&[(0, None)], 0, false)]
#[case::zero(&[(0, Some(0))], 0, false)]
#[case::enormous(&[(0, Some(u64::MAX))], 59_999, true)]
#[case::enormous_ends(&[(0, Some(u64::MAX))], 60_000, false)]
fn a_backoff_lasts_until_its_latest_end(
    #[case] pushback: &[(u64, Option<u64>)],
    #[case] at: u64,
    #[case] is_in_backoff: bool,
) {
    let mut pushbacks = PushbackRecords::default();
    for (after, backoff) in pushback {
        let pushback = Pushback { backoff: backoff.map(millis), ..Pushback::default() };
        pushbacks.record("i-0", pushback, NOW + millis(*after));
    }
    assert_eq!(pushbacks.is_available("i-0", NOW + millis(at)), !is_in_backoff);
    assert!(pushbacks.is_available("i-1", NOW + millis(at)), "another replica did not push back");
}

#[test]
fn only_changes_are_reported() {
    let mut pushbacks = PushbackRecords::default();
    let backoff_change = |backoff, adds| {
        Some(PushbackChange { backoff: Some(backoff), added: adds, is_leaving: false })
    };
    assert_eq!(
        pushbacks.record("i-0", backoff(millis(900)), NOW),
        backoff_change(millis(900), millis(900))
    );
    assert_eq!(pushbacks.record("i-0", backoff(millis(800)), NOW + millis(50)), None);
    let longer = pushbacks.record("i-0", backoff(millis(900)), NOW + millis(50));
    assert_eq!(longer, backoff_change(millis(900), millis(50)));
    assert_eq!(pushbacks.counts(NOW + millis(50)), (1, 0));
    let leave_change =
        Some(PushbackChange { backoff: None, added: Duration::ZERO, is_leaving: true });
    assert_eq!(pushbacks.record("i-0", LEAVING, NOW + millis(60)), leave_change);
    assert_eq!(pushbacks.record("i-0", LEAVING, NOW + millis(70)), None);
    assert_eq!(pushbacks.record("i-0", Pushback::default(), NOW + millis(80)), None);
    assert_eq!(pushbacks.counts(NOW + millis(80)), (0, 1));
}

#[test]
fn a_replica_in_backoff_is_not_chosen_until_its_end() {
    let (mut balancer, choice) = after_pushback(backoff(millis(2_000)));
    let last = NOW + millis(1_999);
    assert!(!is_chosen(&mut balancer, last));
    assert!(!balancer.may_send(&choice, last), "an earlier choice may not be sent either");
    assert!(is_chosen(&mut balancer, NOW + millis(2_000)));
}

#[test]
fn a_success_of_an_earlier_request_ends_no_backoff() {
    let (mut balancer, choice) = after_pushback(backoff(millis(2_000)));
    balancer.on_success(&choice, NOW + millis(10));
    assert!(!is_chosen(&mut balancer, NOW + millis(20)));
}

#[test]
fn if_all_replicas_are_in_backoff_the_first_end_is_returned() {
    let (mut balancer, _) = after_pushback(backoff(millis(2_000)));
    let other = choose(&mut balancer, &[], NOW).unwrap();
    balancer.record_pushback(&other, backoff(millis(700)), NOW + millis(100));
    let now = NOW + millis(200);
    assert_eq!(choose(&mut balancer, &[], now), None);
    let prompt = prompt(&[(1, 500)]);
    let request = choice_request(&prompt, None);
    assert_eq!(balancer.time_until_available(&request, now), Some(millis(600)));
    assert_eq!(
        balancer.time_until_available(&request, NOW + millis(800)),
        None,
        "a replica is available again"
    );
}

#[rstest]
// Update from the control group after the pushback; whether a request may still be sent to the
// earlier choice, and whether the replica may be chosen.
#[case::it_is_reported_again(|b: &mut Balancer| { b.upsert(started("i-0", FIRST)); }, false, false)]
#[case::it_was_removed_and_added(
    |b: &mut Balancer| { b.remove("i-0"); b.upsert(started("i-0", FIRST)); }, false, false)]
#[case::it_restarted(|b: &mut Balancer| { b.upsert(started("i-0", NEXT)); }, false, true)]
fn pushback_and_choices_end_with_the_incarnation(
    #[case] change: fn(&mut Balancer),
    #[case] may_send: bool,
    #[case] may_choose: bool,
    #[values(backoff(millis(2_000)), LEAVING)] pushback: Pushback,
) {
    let (mut balancer, choice) = after_pushback(pushback);
    change(&mut balancer);
    let now = NOW + millis(1_000);
    assert_eq!(balancer.may_send(&choice, now), may_send);
    assert_eq!(is_chosen(&mut balancer, now), may_choose);
}

#[test]
fn late_pushback_of_an_earlier_incarnation_does_not_affect_the_next() {
    let (mut balancer, choice) = after_pushback(Pushback::default());
    balancer.upsert(started("i-0", NEXT));
    assert_eq!(balancer.record_pushback(&choice, LEAVING, NOW), None);
    assert!(is_chosen(&mut balancer, NOW));
}

/// A restarted replica may respond to requests for its previous incarnation before its new start is
/// known.
#[rstest]
// Start of the next incarnation, in milliseconds from the response on; whether it is left alone.
#[case::before(-400, backoff(millis(2_000)), true)]
#[case::before_it_leaves(-400, LEAVING, true)]
#[case::at_about_that_time(200, backoff(millis(2_000)), true)]
#[case::at_about_that_time_it_leaves(200, LEAVING, false)]
#[case::after(300, backoff(millis(2_000)), false)]
#[case::after_it_left(300, LEAVING, false)]
fn pushback_before_the_start_is_known_belongs_to_the_new_incarnation(
    #[case] starts_after: i64,
    #[case] pushback: Pushback,
    #[case] is_avoided: bool,
) {
    let start = Start(1_000_000u64.checked_add_signed(starts_after).unwrap());
    let (mut balancer, _) = after_pushback(pushback);
    balancer.upsert(started("i-0", start));
    assert_eq!(is_chosen(&mut balancer, NOW + millis(700)), !is_avoided);
}

/// A gateway with a clock that is seconds ahead attributes the last pushback of a replica to the
/// next incarnation.
#[test]
fn a_leave_attributed_to_the_next_incarnation_ends_soon() {
    let (mut balancer, _) = after_pushback(LEAVING);
    balancer.upsert(started("i-0", Start(999_000)));
    assert!(!is_chosen(&mut balancer, NOW + millis(9_900)));
    assert!(is_chosen(&mut balancer, NOW + millis(10_000)));
}

/// A response to an earlier request may arrive after the next incarnation is known.
#[rstest]
#[case::of_the_next(-400, true)]
#[case::of_the_previous(400, false)]
fn pushback_after_the_next_start_belongs_to_the_next_incarnation(
    #[case] starts_after: i64,
    #[case] is_avoided: bool,
    #[values(backoff(millis(2_000)), LEAVING)] pushback: Pushback,
) {
    let (mut balancer, choice) = after_pushback(Pushback::default());
    let start = Start(1_000_000u64.checked_add_signed(starts_after).unwrap());
    balancer.upsert(started("i-0", start));
    balancer.record_pushback(&choice, pushback, NOW);
    assert_eq!(is_chosen(&mut balancer, NOW + millis(700)), !is_avoided);
}

#[test]
fn a_leaving_replica_is_not_chosen_even_if_it_is_the_last() {
    let (mut balancer, choice) = after_pushback(LEAVING);
    assert!(balancer.is_leaving(&choice, NOW));
    balancer.remove("i-1");
    assert_eq!(choose(&mut balancer, &[], NOW + Duration::from_secs(100)), None);
    let longest = PushbackSettings::default().max_leaving;
    assert!(choose(&mut balancer, &[], NOW + longest).is_some(), "but not forever");
}

#[test]
fn the_next_incarnation_of_a_leaving_replica_is_used() {
    let mut state = GatewayState::new("north", GatewaySettings::default(), 1);
    let view = |revision, instances, removed| FleetView {
        revision,
        instances,
        removed,
        ..FleetView::default()
    };
    state.apply(&view(1, vec![started("i-0", FIRST)], Vec::new()), None, NOW);
    let choice = choose(state.balancer(), &[], NOW).unwrap();
    state.balancer().record_pushback(&choice, LEAVING, NOW);
    assert_eq!(choose(state.balancer(), &[], NOW), None);
    let removed = RemovedInstance { id: "i-0".to_owned(), start: FIRST, was_announced: false };
    state.apply(&view(2, Vec::new(), vec![removed]), None, NOW);
    state.apply(&view(3, vec![started("i-0", NEXT)], Vec::new()), None, NOW);
    assert!(choose(state.balancer(), &[], NOW).is_some());
}

/// A step of a random series with three replicas.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// Chooses a replica, and sends a request after a delay.
    Send(u64),
    /// The oldest request in progress at a replica gets its response.
    Respond(usize, Option<u64>),
    /// A replica restarts under its identifier.
    Restart(usize),
    /// A replica is removed from the list and added again.
    Readd(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u64..600).prop_map(Step::Wait),
        6 => (0u64..80).prop_map(Step::Send),
        4 => (0usize..3, prop::option::of(0u64..4_000)).prop_map(|(at, ms)| Step::Respond(at, ms)),
        1 => (0usize..3).prop_map(Step::Restart),
        1 => (0usize..3).prop_map(Step::Readd),
    ]
}

/// Expected state of the replicas in a series.
#[derive(Default)]
struct Simulation {
    now: Time,
    starts: [u64; 3],
    in_progress: [Vec<Choice>; 3],
    /// End of the backoff of each incarnation.
    backoff_ends: BTreeMap<(usize, u64), Time>,
}

impl Simulation {
    fn is_in_backoff(&self, at: usize) -> bool {
        self.backoff_ends.get(&(at, self.starts[at])).is_some_and(|until| self.now < *until)
    }

    fn step(&mut self, balancer: &mut Balancer, step: &Step) {
        match *step {
            Step::Wait(time) => self.now = self.now + millis(time),
            Step::Send(pause) => {
                let choice = choose(balancer, &[], self.now);
                let is_any_available = (0..3).any(|at| !self.is_in_backoff(at));
                assert_eq!(
                    choice.is_some(),
                    is_any_available,
                    "refused although a replica is available, or the reverse"
                );
                self.now = self.now + millis(pause);
                if let Some(choice) = choice.filter(|choice| balancer.may_send(choice, self.now)) {
                    let at: usize = choice.instance.id[2..].parse().unwrap();
                    assert!(!self.is_in_backoff(at), "sent to a replica in backoff");
                    self.in_progress[at].push(choice);
                }
            }
            Step::Respond(at, backoff_ms) => {
                if self.in_progress[at].is_empty() {
                    return;
                }
                let choice = self.in_progress[at].remove(0);
                let pushback = Pushback { backoff: backoff_ms.map(millis), ..Pushback::default() };
                balancer.record_pushback(&choice, pushback, self.now);
                if backoff_ms.is_none() {
                    balancer.on_success(&choice, self.now);
                }
                let until = self.backoff_ends.entry((at, choice.instance.start.0)).or_default();
                *until = (*until).max(self.now + millis(backoff_ms.unwrap_or(0)));
            }
            Step::Restart(at) => {
                // Its connections break, and earlier pushback is older than clocks may differ.
                self.in_progress[at].clear();
                self.now = self.now + millis(300);
                self.starts[at] = self.now.as_micros() / 1_000;
                balancer.upsert(started(&format!("i-{at}"), Start(self.starts[at])));
                self.now = self.now + millis(1);
            }
            Step::Readd(at) => {
                balancer.remove(&format!("i-{at}"));
                balancer.upsert(started(&format!("i-{at}"), Start(self.starts[at])));
            }
        }
    }
}

proptest! {
    /// Whatever the order of events: no request is sent to a replica in backoff, replicas are used
    /// again afterwards, and no request is refused while a replica is available.
    #[test]
    fn random_series_honor_pushback(
        seed: u64,
        steps in prop::collection::vec(any_step(), 1..120),
    ) {
        let mut balancer = Balancer::new("north", seed);
        let mut simulation = Simulation { now: NOW, starts: [1; 3], ..Simulation::default() };
        for at in 0..3 {
            balancer.upsert(started(&format!("i-{at}"), Start(1)));
        }
        for step in &steps {
            simulation.step(&mut balancer, step);
        }
    }
}
