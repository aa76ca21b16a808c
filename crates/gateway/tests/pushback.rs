//! What replicas ask of a gateway is kept: for as long as they asked, by the incarnation that asked, against every choice.

mod common;

use common::{choice_request, engine, instance, prompt};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_admission::{Heard, Pushback, PushbackSettings, Pushbacks};
use topazmount_control::{FleetView, RemovedInstance};
use topazmount_gateway::{Balancer, Choice, ChoiceRequest, GatewaySettings, GatewayState};
use topazmount_routing::PolicyTable;
use topazmount_types::{Instance, Start, Time};

const NOW: Time = Time::from_secs(1_000);
const FIRST: Start = Start(900_000);
/// Starts again half a second after what was asked, which was at the moment of 1,000,000 ms.
const NEXT: Start = Start(1_000_500);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn rest(time: Duration) -> Pushback {
    Pushback { rest: Some(time), ..Pushback::default() }
}

const LEAVING: Pushback = Pushback { rest: None, is_leaving: true, limit: None, unreadable: None };

fn started(id: &str, start: Start) -> Instance {
    Instance { start, ..instance(id, "pool", "north") }
}

fn choose(balancer: &mut Balancer, exclude: &[String], now: Time) -> Option<Choice> {
    let prompt = prompt(&[(1, 500), (100, 400)]);
    let engine = engine();
    let request = ChoiceRequest { tried: exclude, ..choice_request(&prompt, Some(&engine)) };
    balancer.choose(&request, now, &mut PolicyTable::default())
}

/// Two replicas; the first was chosen, and asks something with its answer.
fn asked(said: Pushback) -> (Balancer, Choice) {
    let mut balancer = Balancer::new("north", 1);
    balancer.upsert(started("i-0", FIRST));
    balancer.upsert(started("i-1", FIRST));
    let other = [started("i-1", FIRST).incarnation_name()];
    let choice = choose(&mut balancer, &other, NOW).unwrap();
    assert!(balancer.may_send(&choice, NOW));
    balancer.record_pushback(&choice, said, NOW);
    (balancer, choice)
}

/// Whether the first replica is ever chosen, of a hundred choices.
fn is_chosen(balancer: &mut Balancer, now: Time) -> bool {
    (0..100).filter_map(|_| choose(balancer, &[], now)).any(|one| one.instance.id == "i-0")
}

#[rstest]
// Said one after the other at these milliseconds; rests at the later moment?
#[case::for_its_time(&[(0, Some(2_000))], 1_999, true)]
#[case::and_no_longer(&[(0, Some(2_000))], 2_000, false)]
#[case::a_shorter_time_later(&[(0, Some(2_000)), (100, Some(200))], 1_900, true)]
#[case::a_longer_time_later(&[(0, Some(500)), (100, Some(2_000))], 2_099, true)]
#[case::no_time_later(&[(0, Some(2_000)), (100, None)], 1_900, true)]
#[case::again_after_its_end(&[(0, Some(500)), (700, Some(500))], 1_100, true)]
#[case::none_at_all(&[(0, None)], 0, false)]
#[case::zero(&[(0, Some(0))], 0, false)]
#[case::enormous(&[(0, Some(u64::MAX))], 59_999, true)]
#[case::enormous_ends(&[(0, Some(u64::MAX))], 60_000, false)]
fn a_rest_lasts_as_long_as_the_latest_end_that_was_named(
    #[case] said: &[(u64, Option<u64>)],
    #[case] at: u64,
    #[case] rests: bool,
) {
    let mut pushbacks = Pushbacks::default();
    for (after, rest) in said {
        let said = Pushback { rest: rest.map(millis), ..Pushback::default() };
        pushbacks.hear("i-0", said, NOW + millis(*after));
    }
    assert_eq!(pushbacks.may_call("i-0", NOW + millis(at)), !rests);
    assert!(pushbacks.may_call("i-1", NOW + millis(at)), "another one did not ask");
}

#[test]
fn only_what_is_new_is_told() {
    let mut pushbacks = Pushbacks::default();
    let rested = |rest, adds| Some(Heard { rests_for: Some(rest), adds, leaves: false });
    assert_eq!(pushbacks.hear("i-0", rest(millis(900)), NOW), rested(millis(900), millis(900)));
    assert_eq!(pushbacks.hear("i-0", rest(millis(800)), NOW + millis(50)), None);
    let longer = pushbacks.hear("i-0", rest(millis(900)), NOW + millis(50));
    assert_eq!(longer, rested(millis(900), millis(50)));
    assert_eq!(pushbacks.counts(NOW + millis(50)), (1, 0));
    let left = Some(Heard { rests_for: None, adds: Duration::ZERO, leaves: true });
    assert_eq!(pushbacks.hear("i-0", LEAVING, NOW + millis(60)), left);
    assert_eq!(pushbacks.hear("i-0", LEAVING, NOW + millis(70)), None);
    assert_eq!(pushbacks.hear("i-0", Pushback::default(), NOW + millis(80)), None);
    assert_eq!(pushbacks.counts(NOW + millis(80)), (0, 1));
}

#[test]
fn a_resting_replica_is_no_candidate_and_is_one_again_afterwards() {
    let (mut balancer, choice) = asked(rest(millis(2_000)));
    let last = NOW + millis(1_999);
    assert!(!is_chosen(&mut balancer, last));
    assert!(!balancer.may_send(&choice, last), "one that was chosen before is not sent either");
    assert!(is_chosen(&mut balancer, NOW + millis(2_000)));
}

#[test]
fn a_success_of_an_earlier_request_ends_no_rest() {
    let (mut balancer, choice) = asked(rest(millis(2_000)));
    balancer.on_success(&choice, NOW + millis(10));
    assert!(!is_chosen(&mut balancer, NOW + millis(20)));
}

#[test]
fn where_all_rest_the_first_one_that_comes_back_is_named() {
    let (mut balancer, _) = asked(rest(millis(2_000)));
    let other = choose(&mut balancer, &[], NOW).unwrap();
    balancer.record_pushback(&other, rest(millis(700)), NOW + millis(100));
    let now = NOW + millis(200);
    assert_eq!(choose(&mut balancer, &[], now), None);
    let prompt = prompt(&[(1, 500)]);
    let request = choice_request(&prompt, None);
    assert_eq!(balancer.time_until_available(&request, now), Some(millis(600)));
    assert_eq!(
        balancer.time_until_available(&request, NOW + millis(800)),
        None,
        "one may be asked again"
    );
}

#[rstest]
// What the control group's list says after a replica has asked; whether it may be sent the choice, and be chosen.
#[case::it_is_ready(|b: &mut Balancer| { b.upsert(started("i-0", FIRST)); }, false, false)]
#[case::it_was_gone_for_a_moment(
    |b: &mut Balancer| { b.remove("i-0"); b.upsert(started("i-0", FIRST)); }, false, false)]
#[case::it_started_again(|b: &mut Balancer| { b.upsert(started("i-0", NEXT)); }, false, true)]
fn what_was_asked_and_what_was_chosen_end_with_the_incarnation(
    #[case] change: fn(&mut Balancer),
    #[case] may_send: bool,
    #[case] may_choose: bool,
    #[values(rest(millis(2_000)), LEAVING)] said: Pushback,
) {
    let (mut balancer, choice) = asked(said);
    change(&mut balancer);
    let now = NOW + millis(1_000);
    assert_eq!(balancer.may_send(&choice, now), may_send);
    assert_eq!(is_chosen(&mut balancer, now), may_choose);
}

#[test]
fn a_late_answer_of_an_earlier_incarnation_asks_nothing_of_the_next() {
    let (mut balancer, choice) = asked(Pushback::default());
    balancer.upsert(started("i-0", NEXT));
    assert_eq!(balancer.record_pushback(&choice, LEAVING, NOW), None);
    assert!(is_chosen(&mut balancer, NOW));
}

/// A replica starts again, and answers requests that were meant for the incarnation before it; its start is told later.
#[rstest]
// When the next incarnation starts, in milliseconds from the answer on; whether it is left alone for what was asked.
#[case::before(-400, rest(millis(2_000)), true)]
#[case::before_it_leaves(-400, LEAVING, true)]
#[case::at_about_that_time(200, rest(millis(2_000)), true)]
#[case::at_about_that_time_it_leaves(200, LEAVING, false)]
#[case::after(300, rest(millis(2_000)), false)]
#[case::after_it_left(300, LEAVING, false)]
fn what_an_incarnation_asks_before_its_start_is_told_is_its_own(
    #[case] starts_after: i64,
    #[case] said: Pushback,
    #[case] is_left_alone: bool,
) {
    let start = Start(1_000_000u64.checked_add_signed(starts_after).unwrap());
    let (mut balancer, _) = asked(said);
    balancer.upsert(started("i-0", start));
    assert_eq!(is_chosen(&mut balancer, NOW + millis(700)), !is_left_alone);
}

/// A process whose clock is seconds ahead takes the last words of a replica that left for those of the next incarnation.
#[test]
fn a_leave_that_was_taken_for_the_next_incarnation_s_does_not_keep_it_away_for_long() {
    let (mut balancer, _) = asked(LEAVING);
    balancer.upsert(started("i-0", Start(999_000)));
    assert!(!is_chosen(&mut balancer, NOW + millis(9_900)));
    assert!(is_chosen(&mut balancer, NOW + millis(10_000)));
}

/// The answer to a request that was sent before the next incarnation was known comes after that.
#[rstest]
#[case::of_the_next(-400, true)]
#[case::of_the_one_before(400, false)]
fn what_comes_after_the_next_start_is_the_next_incarnation_s(
    #[case] starts_after: i64,
    #[case] is_left_alone: bool,
    #[values(rest(millis(2_000)), LEAVING)] said: Pushback,
) {
    let (mut balancer, choice) = asked(Pushback::default());
    let start = Start(1_000_000u64.checked_add_signed(starts_after).unwrap());
    balancer.upsert(started("i-0", start));
    balancer.record_pushback(&choice, said, NOW);
    assert_eq!(is_chosen(&mut balancer, NOW + millis(700)), !is_left_alone);
}

#[test]
fn a_replica_that_leaves_is_left_alone_also_where_it_is_the_last() {
    let (mut balancer, choice) = asked(LEAVING);
    assert!(balancer.is_leaving(&choice, NOW));
    balancer.remove("i-1");
    assert_eq!(choose(&mut balancer, &[], NOW + Duration::from_secs(100)), None);
    let longest = PushbackSettings::default().longest_leave;
    assert!(choose(&mut balancer, &[], NOW + longest).is_some(), "but not for ever");
}

#[test]
fn a_gateway_that_learns_of_the_next_incarnation_uses_it() {
    let mut knowledge = GatewayState::new("north", GatewaySettings::default(), 1);
    let view = |revision, instances, removed| FleetView {
        revision,
        instances,
        removed,
        ..FleetView::default()
    };
    knowledge.apply(&view(1, vec![started("i-0", FIRST)], Vec::new()), None, NOW);
    let choice = choose(knowledge.balancer(), &[], NOW).unwrap();
    knowledge.balancer().record_pushback(&choice, LEAVING, NOW);
    assert_eq!(choose(knowledge.balancer(), &[], NOW), None);
    let removed = RemovedInstance { id: "i-0".to_owned(), start: FIRST, was_announced: false };
    knowledge.apply(&view(2, Vec::new(), vec![removed]), None, NOW);
    knowledge.apply(&view(3, vec![started("i-0", NEXT)], Vec::new()), None, NOW);
    assert!(choose(knowledge.balancer(), &[], NOW).is_some());
}

/// One step of a random series at three replicas.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// Chooses, and sends a moment later.
    Send(u64),
    /// The oldest request under way at a replica is answered.
    Answer(usize, Option<u64>),
    /// A replica starts again under its identifier.
    Restart(usize),
    /// A replica is gone from the list, and comes back to it.
    Flicker(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u64..600).prop_map(Step::Wait),
        6 => (0u64..80).prop_map(Step::Send),
        4 => (0usize..3, prop::option::of(0u64..4_000)).prop_map(|(at, rest)| Step::Answer(at, rest)),
        1 => (0usize..3).prop_map(Step::Restart),
        1 => (0usize..3).prop_map(Step::Flicker),
    ]
}

/// The replicas of a series, seen from outside.
#[derive(Default)]
struct World {
    now: Time,
    starts: [u64; 3],
    under_way: [Vec<Choice>; 3],
    /// Until when each incarnation rests, by the latest end that it named.
    rests: BTreeMap<(usize, u64), Time>,
}

impl World {
    fn rests(&self, at: usize) -> bool {
        self.rests.get(&(at, self.starts[at])).is_some_and(|until| self.now < *until)
    }

    fn step(&mut self, balancer: &mut Balancer, step: &Step) {
        match *step {
            Step::Wait(time) => self.now = self.now + millis(time),
            Step::Send(pause) => {
                let choice = choose(balancer, &[], self.now);
                let is_one_free = (0..3).any(|at| !self.rests(at));
                assert_eq!(
                    choice.is_some(),
                    is_one_free,
                    "refused where one is free, or the reverse"
                );
                self.now = self.now + millis(pause);
                if let Some(choice) = choice.filter(|choice| balancer.may_send(choice, self.now)) {
                    let at: usize = choice.instance.id[2..].parse().unwrap();
                    assert!(!self.rests(at), "sent to a replica that rests");
                    self.under_way[at].push(choice);
                }
            }
            Step::Answer(at, rest_ms) => {
                if self.under_way[at].is_empty() {
                    return;
                }
                let choice = self.under_way[at].remove(0);
                let said = Pushback { rest: rest_ms.map(millis), ..Pushback::default() };
                balancer.record_pushback(&choice, said, self.now);
                if rest_ms.is_none() {
                    balancer.on_success(&choice, self.now);
                }
                let until = self.rests.entry((at, choice.instance.start.0)).or_default();
                *until = (*until).max(self.now + millis(rest_ms.unwrap_or(0)));
            }
            Step::Restart(at) => {
                // Its connections break, and what it said before lies further back than clocks may be apart.
                self.under_way[at].clear();
                self.now = self.now + millis(300);
                self.starts[at] = self.now.as_micros() / 1_000;
                balancer.upsert(started(&format!("i-{at}"), Start(self.starts[at])));
                self.now = self.now + millis(1);
            }
            Step::Flicker(at) => {
                balancer.remove(&format!("i-{at}"));
                balancer.upsert(started(&format!("i-{at}"), Start(self.starts[at])));
            }
        }
    }
}

proptest! {
    /// Whatever comes in whichever order: nothing goes to a replica that rests, one whose rest is over is used again, and
    /// no request is refused while one is free.
    #[test]
    fn random_series_keep_to_what_was_asked(
        seed: u64,
        steps in prop::collection::vec(any_step(), 1..120),
    ) {
        let mut balancer = Balancer::new("north", seed);
        let mut world = World { now: NOW, starts: [1; 3], ..World::default() };
        for at in 0..3 {
            balancer.upsert(started(&format!("i-{at}"), Start(1)));
        }
        for step in &steps {
            world.step(&mut balancer, step);
        }
    }
}
