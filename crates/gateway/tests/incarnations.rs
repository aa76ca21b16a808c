//! The state of a replica ends with its incarnation, in whichever order events arrive.

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

fn choose(balancer: &mut Balancer, prompt: &Prompt, tried: &[String]) -> Option<Choice> {
    let engine = engine();
    let request = ChoiceRequest { tried, ..choice_request(prompt, Some(&engine)) };
    balancer.choose(&request, NOW, &mut PolicyTable::default())
}

fn long_prompt() -> Prompt {
    prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)])
}

/// A request at the first incarnation of `i-0`.
struct EarlierRequest {
    prompt: Prompt,
    choice: Choice,
    update: LoadUpdate,
}

impl EarlierRequest {
    fn update(&self, event: PromptEvent) -> LoadUpdate {
        LoadUpdate { event, in_flight: 30, pending_prefill: 90_000, ..self.update.clone() }
    }
}

/// Two replicas with version 2. A request was sent to the first one, which then restarted and
/// reported its status.
fn restarted_replica() -> (Balancer, EarlierRequest) {
    let mut balancer = Balancer::new("north", 1);
    for id in ["i-0", "i-1"] {
        balancer.upsert(started(id, FIRST));
        balancer.set_status(&status(id, FIRST, 2));
    }
    let prompt = long_prompt();
    let tried = [incarnation_name("i-1", FIRST)];
    let choice = choose(&mut balancer, &prompt, &tried).unwrap();
    balancer.on_sent(&choice, &choice_request(&prompt, None), NOW);
    let update =
        balancer.load_update(&choice, &choice_request(&prompt, None), PromptEvent::Sent).unwrap();
    let change = balancer.upsert(started("i-0", NEXT));
    assert!(matches!(change, Some(ReplicaChange::Replaced { start: NEXT, .. })), "{change:?}");
    balancer.set_status(&status("i-0", NEXT, 2));
    (balancer, EarlierRequest { prompt, choice, update })
}

/// Checks that a late event of an earlier incarnation does not change the load, cache, failures,
/// version or availability of the current one.
fn has_no_effect(late_event: impl Fn(&mut Balancer, &EarlierRequest)) {
    let (mut balancer, earlier) = restarted_replica();
    late_event(&mut balancer, &earlier);
    assert_eq!(balancer.load("i-0"), Some((0, 0)));
    let tried = [incarnation_name("i-1", FIRST)];
    let choice = choose(&mut balancer, &earlier.prompt, &tried).expect("it is available");
    assert_eq!(choice.instance.start, NEXT);
    assert_eq!((choice.version, choice.known_tokens), (Some(2), 0));
    assert_eq!((choice.slot_utilization, choice.has_empty_queue), (0.0, true));
    // A replica that failed lately would be avoided.
    let is_chosen = |number: u64| {
        let prompt = prompt(&[(5_000 + number, 500), (6_000 + number, 100)]);
        choose(&mut balancer, &prompt, &[]).unwrap().instance.id == "i-0"
    };
    assert!((0..40).any(is_chosen), "it is avoided");
}

cases! { has_no_effect:
    no_late_event => |_, _| {};
    a_late_end => |balancer, earlier| balancer.on_ended(&earlier.choice, false);
    a_late_end_after_a_request_of_the_next => |balancer, earlier| {
        let tried = [incarnation_name("i-1", FIRST)];
        let next = choose(balancer, &earlier.prompt, &tried).unwrap();
        balancer.on_sent(&next, &choice_request(&earlier.prompt, None), NOW);
        balancer.on_ended(&earlier.choice, true);
        assert_eq!(balancer.load("i-0").unwrap().0, 1, "the next incarnation's request still counts");
        balancer.on_ended(&next, false);
        balancer.upsert(started("i-0", Start(7_000)));
        balancer.upsert(started("i-0", NEXT));
        balancer.set_status(&status("i-0", NEXT, 2));
    };
    a_late_first_token => |balancer, earlier| {
        let request = choice_request(&earlier.prompt, None);
        balancer.on_first_token(&earlier.choice, &request, Duration::from_millis(400), NOW);
    };
    a_late_send => |balancer, earlier| {
        balancer.on_sent(&earlier.choice, &choice_request(&earlier.prompt, None), NOW);
    };
    a_late_failure => |balancer, earlier| balancer.on_failure(&earlier.choice, NOW);
    a_late_report_that_its_address_was_reused => |balancer, earlier| {
        balancer.on_address_reused(&earlier.choice, NOW);
    };
    a_late_update_of_another_gateway_about_a_request => |balancer, earlier| {
        balancer.apply_load_update(&earlier.update(PromptEvent::Sent), NOW);
    };
    a_late_update_of_another_gateway_about_a_first_token => |balancer, earlier| {
        balancer.apply_load_update(&earlier.update(PromptEvent::Prefilled), NOW);
    };
    a_late_update_of_another_gateway_about_a_failure => |balancer, earlier| {
        balancer.apply_load_update(&earlier.update(PromptEvent::Failed), NOW);
    };
    a_late_newer_version => |balancer, earlier| balancer.record_version(&earlier.choice, "model", 9);
    a_late_refusal => |balancer, earlier| {
        balancer.on_version_refused(&earlier.choice, "model", Some(1), NOW);
    };
    a_late_refusal_without_a_version => |balancer, earlier| {
        balancer.on_version_refused(&earlier.choice, "model", None, NOW);
    };
    a_late_drop_of_the_version => |balancer, earlier| balancer.forget_version(&earlier.choice, "model");
    a_late_status => |balancer, _| {
        balancer.set_status(&status("i-0", FIRST, 9));
    };
    a_late_status_that_excludes => |balancer, _| {
        let availability = Availability::Excluded;
        balancer.set_status(&InstanceStatus { availability, ..status("i-0", FIRST, 2) });
    };
    a_late_status_with_a_correction => |balancer, _| {
        balancer.set_status(&InstanceStatus { correction: (9, 9), ..status("i-0", FIRST, 1) });
    };
    the_same_start_reported_again => |balancer, _| {
        assert_eq!(balancer.upsert(started("i-0", NEXT)), None);
    };
    a_removal_and_the_same_start_again => |balancer, earlier| {
        balancer.remove("i-0");
        assert_eq!(balancer.load("i-0"), None);
        balancer.on_ended(&earlier.choice, false);
        balancer.upsert(started("i-0", NEXT));
        balancer.set_status(&status("i-0", NEXT, 2));
    };
}

/// A success of the previous incarnation must not clear a failure of the current one.
#[test]
fn a_late_success_of_an_earlier_incarnation_clears_no_failure_of_the_next() {
    let (mut balancer, earlier) = restarted_replica();
    let next = choose(&mut balancer, &earlier.prompt, &[incarnation_name("i-1", FIRST)]).unwrap();
    balancer.on_failure(&next, NOW);
    balancer.on_success(&earlier.choice, NOW);
    for _ in 0..20 {
        assert_eq!(choose(&mut balancer, &earlier.prompt, &[]).unwrap().instance.id, "i-1");
    }
    assert!(!balancer.has_responded_since(&earlier.choice, Time::ZERO));
}

/// A request at the previous incarnation does not depend on the weights of the current one.
#[test]
fn an_exclusion_of_the_next_incarnation_does_not_affect_the_previous_one() {
    let (mut balancer, earlier) = restarted_replica();
    let next = choose(&mut balancer, &earlier.prompt, &[incarnation_name("i-1", FIRST)]).unwrap();
    let availability = Availability::Excluded;
    balancer.set_status(&InstanceStatus { availability, ..status("i-0", NEXT, 2) });
    assert!(balancer.is_excluded(&next) && !balancer.is_excluded(&earlier.choice));
    assert!(balancer.has_ended(&earlier.choice) && !balancer.has_ended(&next));
}

/// The control group's list decides which incarnation is current, not the replica's clock.
#[test]
fn an_incarnation_with_an_earlier_start_replaces_a_later_one() {
    let mut balancer = Balancer::new("north", 1);
    balancer.upsert(started("i-0", NEXT));
    balancer.set_status(&status("i-0", NEXT, 2));
    assert!(balancer.upsert(started("i-0", FIRST)).is_some());
    balancer.set_status(&status("i-0", NEXT, 2));
    assert_eq!(choose(&mut balancer, &long_prompt(), &[]).unwrap().version, None);
}

/// A replica with unspecified start is identified by its name alone.
#[test]
fn replicas_with_unspecified_start_keep_their_state() {
    let mut balancer = Balancer::new("north", 1);
    balancer.upsert(started("i-0", Start::UNKNOWN));
    balancer.set_status(&status("i-0", Start::UNKNOWN, 2));
    let choice = choose(&mut balancer, &long_prompt(), &[]).unwrap();
    balancer.on_sent(&choice, &choice_request(&long_prompt(), None), NOW);
    assert_eq!(balancer.upsert(started("i-0", Start::UNKNOWN)), None);
    assert_eq!(balancer.load("i-0").unwrap().0, 1);
    assert_eq!(choice.instance.incarnation_name(), "i-0");
}

/// A prompt that an ended incarnation was reading does not count as being read there, so the next
/// replica that reads it is recorded.
#[test]
fn prompts_follow_the_replica_that_reads_their_parts_after_an_incarnation_ended() {
    let (mut balancer, earlier) = restarted_replica();
    let other = choose(&mut balancer, &earlier.prompt, &[incarnation_name("i-0", NEXT)]).unwrap();
    balancer.on_sent(&other, &choice_request(&earlier.prompt, None), NOW);
    let similar = choose(&mut balancer, &earlier.prompt, &[incarnation_name("i-0", NEXT)]).unwrap();
    assert_eq!(similar.known_tokens, 6_300);
}

/// A new incarnation of a tried replica may be tried, as it does not know the request.
#[test]
fn a_tried_incarnation_does_not_exclude_the_next() {
    let (mut balancer, earlier) = restarted_replica();
    let tried = [earlier.choice.instance.incarnation_name(), incarnation_name("i-1", FIRST)];
    assert_eq!(choose(&mut balancer, &earlier.prompt, &tried).unwrap().instance.start, NEXT);
    let ended = &tried[0];
    let request = ChoiceRequest { pinned_to: Some(ended), ..choice_request(&earlier.prompt, None) };
    assert_eq!(balancer.choose(&request, NOW, &mut PolicyTable::default()), None);
}

/// Checks the version after a series of statuses: a later correction may lower it, anything else
/// only raises it.
fn check_version_after(statuses: &[(u32, (u64, u32))], expected: u32, downgrades: usize) {
    let mut balancer = Balancer::new("north", 1);
    balancer.upsert(started("i-0", FIRST));
    let mut changes = 0;
    for (version, correction) in statuses {
        let reported = status("i-0", FIRST, *version);
        changes +=
            balancer.set_status(&InstanceStatus { correction: *correction, ..reported }).len();
    }
    let choice = choose(&mut balancer, &long_prompt(), &[]).unwrap();
    assert_eq!((choice.version, changes), (Some(expected), downgrades));
}

cases! { check_version_after:
    without_a_correction_it_only_rises => &[(2, (0, 0)), (1, (0, 0))], 2, 0;
    a_correction_lowers_it => &[(2, (0, 0)), (1, (3, 1))], 1, 1;
    the_same_correction_again_only_raises => &[(2, (3, 1)), (1, (3, 1))], 2, 0;
    an_older_correction_only_raises => &[(2, (3, 2)), (1, (3, 1))], 2, 0;
    a_correction_of_a_later_term_counts => &[(2, (3, 2)), (1, (4, 0))], 1, 1;
    it_rises_again_after_a_correction => &[(2, (0, 0)), (1, (3, 1)), (2, (3, 1))], 2, 1;
}

fn view(revision: u64, instances: Vec<Instance>) -> FleetView {
    FleetView { revision, instances, ..FleetView::default() }
}

fn removed(start: Start, was_announced: bool) -> RemovedInstance {
    RemovedInstance { id: "i-0".to_owned(), was_announced, start }
}

/// Checks how many requests count as crashes of the first incarnation after a view, if one
/// connection broke there.
fn check_crashes_after(was_draining: bool, next: FleetView, expected: usize) {
    let mut state = GatewayState::new("north", GatewaySettings::default(), 1);
    let first = started("i-0", FIRST);
    state.apply(&view(1, vec![first.clone()]), None, NOW);
    if was_draining {
        let is_draining = true;
        state.apply(&view(2, vec![Instance { is_draining, ..first.clone() }]), None, NOW);
    }
    state.crashes().on_connection_broken(REQUEST, &first.incarnation_name(), RUN, NOW);
    state.crashes().on_connection_broken(
        RequestDigest(8),
        &incarnation_name("i-0", NEXT),
        RUN,
        NOW,
    );
    let crashed = state.confirm_crashes(&next, NOW);
    assert_eq!(crashed.iter().map(|(_, requests)| requests).sum::<usize>(), expected);
    state.apply(&next, None, NOW);
    assert!(!state.crashes().is_suspected(&first.incarnation_name()) || expected == 0);
}

cases! { check_crashes_after:
    the_next_incarnation_confirms_the_end => false, view(3, vec![started("i-0", NEXT)]), 1;
    not_of_a_draining_incarnation => true, view(3, vec![started("i-0", NEXT)]), 0;
    the_same_incarnation_confirms_nothing => false, view(3, vec![started("i-0", FIRST)]), 0;
    an_older_list_confirms_nothing => false, view(1, vec![started("i-0", NEXT)]), 0;
    an_unannounced_removal_confirms_it =>
        false, FleetView { removed: vec![removed(FIRST, false)], ..view(3, Vec::new()) }, 1;
    an_announced_removal_does_not =>
        false, FleetView { removed: vec![removed(FIRST, true)], ..view(3, Vec::new()) }, 0;
    an_announced_end_of_the_next_confirms_that_of_the_first =>
        false, FleetView { removed: vec![removed(NEXT, true)], ..view(3, Vec::new()) }, 1;
    both_incarnations_ended_unannounced =>
        false, FleetView { removed: vec![removed(NEXT, false)], ..view(3, Vec::new()) }, 2;
}

/// The gateway may notice a broken connection after the next incarnation was reported.
#[test]
fn a_late_noticed_break_counts_by_how_its_incarnation_ended() {
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
