//! What is believed of a replica ends with its incarnation, in whichever order word of it arrives.

mod common;

use common::{choice_request, engine, instance, prompt};
use std::time::Duration;
use topazmount_control::{Availability, FleetView, InstanceStatus, LoadedModel, RemovedInstance};
use topazmount_gateway::{
    Balancer, Choice, ChoiceRequest, GatewaySettings, GatewayState, LoadUpdate, Prompt,
    PromptEvent, ReplicaChange,
};
use topazmount_routing::PolicyTable;
use topazmount_types::{Instance, RequestDigest, Start, Time, incarnation_name};

const NOW: Time = Time::from_secs(1_000);
const FIRST: Start = Start(5_000);
const NEXT: Start = Start(6_000);
const REQUEST: RequestDigest = RequestDigest(7);
const RUN: Duration = Duration::from_millis(140);

fn started(id: &str, start: Start) -> Instance {
    Instance { start, ..instance(id, "pool", "north") }
}

fn loaded(version: u32) -> Vec<LoadedModel> {
    vec![LoadedModel { model: "model".to_owned(), version }]
}

fn status(id: &str, start: Start, version: u32) -> InstanceStatus {
    let (availability, correction) = (Availability::Available, (0, 0));
    InstanceStatus { id: id.to_owned(), availability, models: loaded(version), start, correction }
}

fn choose(balancer: &mut Balancer, prompt: &Prompt, exclude: &[String]) -> Option<Choice> {
    let engine = engine();
    let request = ChoiceRequest { tried: exclude, ..choice_request(prompt, Some(&engine)) };
    balancer.choose(&request, NOW, &mut PolicyTable::default())
}

fn long_prompt() -> Prompt {
    prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)])
}

/// What is left of a request at the first incarnation of `i-0`.
struct Old {
    prompt: Prompt,
    choice: Choice,
    news: LoadUpdate,
}

impl Old {
    fn news(&self, event: PromptEvent) -> LoadUpdate {
        LoadUpdate { event, in_flight: 30, pending_prefill: 90_000, ..self.news.clone() }
    }
}

/// Two replicas that hold version 2; a request was sent to the first one, which then started again. Its status is known.
fn replaced() -> (Balancer, Old) {
    let mut balancer = Balancer::new("north", 1);
    for id in ["i-0", "i-1"] {
        balancer.upsert(started(id, FIRST));
        balancer.set_status(&status(id, FIRST, 2));
    }
    let prompt = long_prompt();
    let exclude = [incarnation_name("i-1", FIRST)];
    let choice = choose(&mut balancer, &prompt, &exclude).unwrap();
    balancer.on_sent(&choice, &choice_request(&prompt, None), NOW);
    let news =
        balancer.load_update(&choice, &choice_request(&prompt, None), PromptEvent::Sent).unwrap();
    let change = balancer.upsert(started("i-0", NEXT));
    assert!(matches!(change, Some(ReplicaChange::Replaced { start: NEXT, .. })), "{change:?}");
    balancer.set_status(&status("i-0", NEXT, 2));
    (balancer, Old { prompt, choice, news })
}

/// Late word of an earlier incarnation leaves the next one as it is: no load, no memory, no failure, its own weights, open.
fn counts_nothing(late: impl Fn(&mut Balancer, &Old)) {
    let (mut balancer, old) = replaced();
    late(&mut balancer, &old);
    assert_eq!(balancer.load("i-0"), Some((0, 0)));
    let exclude = [incarnation_name("i-1", FIRST)];
    let choice = choose(&mut balancer, &old.prompt, &exclude).expect("it is open");
    assert_eq!(choice.instance.start, NEXT);
    assert_eq!((choice.version, choice.known_tokens), (Some(2), 0));
    assert_eq!((choice.slot_utilization, choice.has_empty_queue), (0.0, true));
    // One that failed lately is passed over for the other.
    let is_chosen = |subject: u64| {
        let prompt = prompt(&[(5_000 + subject, 500), (6_000 + subject, 100)]);
        choose(&mut balancer, &prompt, &[]).unwrap().instance.id == "i-0"
    };
    assert!((0..40).any(is_chosen), "it is passed over");
}

cases! { counts_nothing:
    nothing_late => |_, _| {};
    a_late_end => |balancer, old| balancer.on_ended(&old.choice, false);
    a_late_end_after_a_request_of_the_next => |balancer, old| {
        let exclude = [incarnation_name("i-1", FIRST)];
        let next = choose(balancer, &old.prompt, &exclude).unwrap();
        balancer.on_sent(&next, &choice_request(&old.prompt, None), NOW);
        balancer.on_ended(&old.choice, true);
        assert_eq!(balancer.load("i-0").unwrap().0, 1, "the next one's request runs on");
        balancer.on_ended(&next, false);
        balancer.upsert(started("i-0", Start(7_000)));
        balancer.upsert(started("i-0", NEXT));
        balancer.set_status(&status("i-0", NEXT, 2));
    };
    a_late_first_token => |balancer, old| {
        let request = choice_request(&old.prompt, None);
        balancer.on_first_token(&old.choice, &request, Duration::from_millis(400), NOW);
    };
    a_late_send => |balancer, old| {
        balancer.on_sent(&old.choice, &choice_request(&old.prompt, None), NOW);
    };
    a_late_failure => |balancer, old| balancer.on_failure(&old.choice, NOW);
    late_word_that_its_address_is_another_ones => |balancer, old| {
        balancer.on_address_reused(&old.choice, NOW);
    };
    late_word_of_another_gateway_of_a_send => |balancer, old| {
        balancer.apply_load_update(&old.news(PromptEvent::Sent), NOW);
    };
    late_word_of_another_gateway_of_a_first_token => |balancer, old| {
        balancer.apply_load_update(&old.news(PromptEvent::Prefilled), NOW);
    };
    late_word_of_another_gateway_of_a_failure => |balancer, old| {
        balancer.apply_load_update(&old.news(PromptEvent::Failed), NOW);
    };
    a_late_newer_version => |balancer, old| balancer.record_version(&old.choice, "model", 9);
    a_late_refusal => |balancer, old| {
        balancer.on_version_refused(&old.choice, "model", Some(1), NOW);
    };
    a_late_refusal_without_a_version => |balancer, old| {
        balancer.on_version_refused(&old.choice, "model", None, NOW);
    };
    a_late_loss_of_weights => |balancer, old| balancer.forget_version(&old.choice, "model");
    a_late_status => |balancer, _| {
        balancer.set_status(&status("i-0", FIRST, 9));
    };
    a_late_status_that_bars => |balancer, _| {
        let availability = Availability::Excluded;
        balancer.set_status(&InstanceStatus { availability, ..status("i-0", FIRST, 2) });
    };
    a_late_status_with_a_correction => |balancer, _| {
        balancer.set_status(&InstanceStatus { correction: (9, 9), ..status("i-0", FIRST, 1) });
    };
    the_next_one_told_again => |balancer, _| {
        assert_eq!(balancer.upsert(started("i-0", NEXT)), None);
    };
    a_removal_and_the_same_again => |balancer, old| {
        balancer.remove("i-0");
        assert_eq!(balancer.load("i-0"), None);
        balancer.on_ended(&old.choice, false);
        balancer.upsert(started("i-0", NEXT));
        balancer.set_status(&status("i-0", NEXT, 2));
    };
}

/// What the next incarnation failed stays so, whatever comes late of the one before.
#[test]
fn a_late_success_of_an_earlier_incarnation_clears_no_failure_of_the_next() {
    let (mut balancer, old) = replaced();
    let next = choose(&mut balancer, &old.prompt, &[incarnation_name("i-1", FIRST)]).unwrap();
    balancer.on_failure(&next, NOW);
    balancer.on_success(&old.choice, NOW);
    for _ in 0..20 {
        assert_eq!(choose(&mut balancer, &old.prompt, &[]).unwrap().instance.id, "i-1");
    }
    assert!(!balancer.has_responded_since(&old.choice, Time::ZERO));
}

/// What runs at an earlier incarnation is not taken for a request at the next one, whose weights may be too old.
#[test]
fn a_bar_on_the_next_incarnation_takes_back_nothing_from_the_one_before() {
    let (mut balancer, old) = replaced();
    let next = choose(&mut balancer, &old.prompt, &[incarnation_name("i-1", FIRST)]).unwrap();
    let availability = Availability::Excluded;
    balancer.set_status(&InstanceStatus { availability, ..status("i-0", NEXT, 2) });
    assert!(balancer.is_excluded(&next) && !balancer.is_excluded(&old.choice));
    assert!(balancer.has_ended(&old.choice) && !balancer.has_ended(&next));
}

/// The control group's list decides, not the replica's clock.
#[test]
fn an_incarnation_with_an_earlier_start_replaces_one_with_a_later() {
    let mut balancer = Balancer::new("north", 1);
    balancer.upsert(started("i-0", NEXT));
    balancer.set_status(&status("i-0", NEXT, 2));
    assert!(balancer.upsert(started("i-0", FIRST)).is_some());
    balancer.set_status(&status("i-0", NEXT, 2));
    assert_eq!(choose(&mut balancer, &long_prompt(), &[]).unwrap().version, None);
}

/// A replica that does not say when it started is known by its identifier alone, as before.
#[test]
fn replicas_without_a_start_keep_what_is_known_of_them() {
    let mut balancer = Balancer::new("north", 1);
    balancer.upsert(started("i-0", Start::UNSAID));
    balancer.set_status(&status("i-0", Start::UNSAID, 2));
    let choice = choose(&mut balancer, &long_prompt(), &[]).unwrap();
    balancer.on_sent(&choice, &choice_request(&long_prompt(), None), NOW);
    assert_eq!(balancer.upsert(started("i-0", Start::UNSAID)), None);
    assert_eq!(balancer.load("i-0").unwrap().0, 1);
    assert_eq!(choice.instance.incarnation_name(), "i-0");
}

/// What was sent to an incarnation that ended is not believed to come, so that who reads it next is noted for it at once.
#[test]
fn a_prompt_that_an_ended_incarnation_was_reading_draws_its_like_to_who_reads_it_now() {
    let (mut balancer, old) = replaced();
    let other = choose(&mut balancer, &old.prompt, &[incarnation_name("i-0", NEXT)]).unwrap();
    balancer.on_sent(&other, &choice_request(&old.prompt, None), NOW);
    let like = choose(&mut balancer, &old.prompt, &[incarnation_name("i-0", NEXT)]).unwrap();
    assert_eq!(like.known_tokens, 6_300);
}

/// A replica that was tried may be asked again as its next incarnation, which knows nothing of the request.
#[test]
fn an_incarnation_that_was_tried_excludes_not_the_next() {
    let (mut balancer, old) = replaced();
    let tried = [old.choice.instance.incarnation_name(), incarnation_name("i-1", FIRST)];
    assert_eq!(choose(&mut balancer, &old.prompt, &tried).unwrap().instance.start, NEXT);
    let held_to = &tried[0];
    let request = ChoiceRequest { pinned_to: Some(held_to), ..choice_request(&old.prompt, None) };
    assert_eq!(balancer.choose(&request, NOW, &mut PolicyTable::default()), None);
}

/// What the leader says of versions: a later correction takes the models back, all else only raises them.
fn version_after(statuses: &[(u32, (u64, u32))], expected: u32, took_back: usize) {
    let mut balancer = Balancer::new("north", 1);
    balancer.upsert(started("i-0", FIRST));
    let mut changes = 0;
    for (version, correction) in statuses {
        let told = status("i-0", FIRST, *version);
        changes += balancer.set_status(&InstanceStatus { correction: *correction, ..told }).len();
    }
    let choice = choose(&mut balancer, &long_prompt(), &[]).unwrap();
    assert_eq!((choice.version, changes), (Some(expected), took_back));
}

cases! { version_after:
    without_a_correction_it_only_rises => &[(2, (0, 0)), (1, (0, 0))], 2, 0;
    a_correction_takes_it_back => &[(2, (0, 0)), (1, (3, 1))], 1, 1;
    the_same_correction_told_again_only_raises => &[(2, (3, 1)), (1, (3, 1))], 2, 0;
    an_older_correction_only_raises => &[(2, (3, 2)), (1, (3, 1))], 2, 0;
    one_of_a_later_term_counts => &[(2, (3, 2)), (1, (4, 0))], 1, 1;
    it_rises_again_after_one => &[(2, (0, 0)), (1, (3, 1)), (2, (3, 1))], 2, 1;
}

fn view(revision: u64, instances: Vec<Instance>) -> FleetView {
    FleetView { revision, instances, ..FleetView::default() }
}

fn removed(start: Start, was_announced: bool) -> RemovedInstance {
    RemovedInstance { id: "i-0".to_owned(), was_announced, start }
}

/// Requests under which the first incarnation is known to have crashed after a view, where one broke off at it.
fn crashed_after(was_draining: bool, next: FleetView, expected: usize) {
    let mut knowledge = GatewayState::new("north", GatewaySettings::default(), 1);
    let first = started("i-0", FIRST);
    knowledge.apply(&view(1, vec![first.clone()]), None, NOW);
    if was_draining {
        let is_draining = true;
        knowledge.apply(&view(2, vec![Instance { is_draining, ..first.clone() }]), None, NOW);
    }
    knowledge.crashes().on_connection_broken(REQUEST, &first.incarnation_name(), RUN, NOW);
    knowledge.crashes().on_connection_broken(
        RequestDigest(8),
        &incarnation_name("i-0", NEXT),
        RUN,
        NOW,
    );
    let crashed = knowledge.confirm_crashes(&next, NOW);
    assert_eq!(crashed.iter().map(|(_, requests)| requests).sum::<usize>(), expected);
    knowledge.apply(&next, None, NOW);
    assert!(!knowledge.crashes().is_suspected(&first.incarnation_name()) || expected == 0);
}

cases! { crashed_after:
    the_next_incarnation_confirms_the_end => false, view(3, vec![started("i-0", NEXT)]), 1;
    not_of_one_that_was_leaving => true, view(3, vec![started("i-0", NEXT)]), 0;
    the_same_one_confirms_nothing => false, view(3, vec![started("i-0", FIRST)]), 0;
    a_list_that_lags_confirms_nothing => false, view(1, vec![started("i-0", NEXT)]), 0;
    a_removal_without_a_word_confirms_it =>
        false, FleetView { removed: vec![removed(FIRST, false)], ..view(3, Vec::new()) }, 1;
    an_announced_one_does_not =>
        false, FleetView { removed: vec![removed(FIRST, true)], ..view(3, Vec::new()) }, 0;
    an_announced_end_of_the_next_confirms_that_of_the_first =>
        false, FleetView { removed: vec![removed(NEXT, true)], ..view(3, Vec::new()) }, 1;
    both_ended_without_a_word =>
        false, FleetView { removed: vec![removed(NEXT, false)], ..view(3, Vec::new()) }, 2;
}

/// A connection may be seen to break after the next incarnation was told of.
#[test]
fn a_break_that_is_seen_late_is_judged_by_how_its_incarnation_ended() {
    for is_draining in [false, true] {
        let mut balancer = Balancer::new("north", 1);
        balancer.upsert(started("i-0", FIRST));
        let choice = choose(&mut balancer, &long_prompt(), &[]).unwrap();
        balancer.upsert(Instance { is_draining, ..started("i-0", FIRST) });
        assert_eq!(balancer.is_leaving(&choice, NOW), is_draining);
        balancer.upsert(started("i-0", NEXT));
        assert_eq!(balancer.is_leaving(&choice, NOW), is_draining);
        assert!(balancer.has_ended(&choice));
    }
}
