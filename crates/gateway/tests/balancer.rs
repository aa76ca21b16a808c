//! Which replica a request goes to.

mod common;

use common::{choice_request, engine, instance, prompt};
use std::time::Duration;
use topazmount_control::{Availability, InstanceStatus, LoadedModel};
use topazmount_gateway::{
    AttemptEnd, Balancer, Choice, ChoiceRequest, NextStep, Prompt, PromptEvent, RequestPlan,
};
use topazmount_routing::PolicyTable;
use topazmount_types::{ErrorKind, Start, Time};

const NOW: Time = Time::from_secs(1_000);

fn status(id: &str, availability: Availability, version: u32) -> InstanceStatus {
    let models = vec![LoadedModel { model: "model".to_owned(), version }];
    InstanceStatus {
        id: id.to_owned(),
        availability,
        models,
        start: Start::UNSAID,
        correction: (0, 0),
    }
}

fn pool(count: usize, seed: u64) -> Balancer {
    let mut balancer = Balancer::new("north", seed);
    for number in 0..count {
        let id = format!("replica-{number}");
        balancer.upsert(instance(&id, "pool", "north"));
        balancer.set_status(&status(&id, Availability::Available, 1));
    }
    balancer
}

fn choose_for(balancer: &mut Balancer, prompt: &Prompt, exclude: &[String]) -> Option<Choice> {
    let engine = engine();
    let request = ChoiceRequest { tried: exclude, ..choice_request(prompt, Some(&engine)) };
    balancer.choose(&request, NOW, &mut PolicyTable::default())
}

#[test]
fn nodes_agree_on_the_home_of_a_prompt() {
    for subject in 0..50 {
        let prompt = prompt(&[(1, 2_500), (100 + subject, 3_800), (1_000 + subject, 900)]);
        let chosen: Vec<String> = (0..5)
            .map(|seed| choose_for(&mut pool(12, seed), &prompt, &[]).unwrap().instance.id)
            .collect();
        assert!(chosen.iter().all(|id| *id == chosen[0]), "{chosen:?}");
    }
}

#[test]
fn prompts_that_share_their_first_part_meet_at_few_replicas() {
    let mut balancer = pool(12, 1);
    let homes: std::collections::BTreeSet<String> = (0..200)
        .map(|subject| {
            let prompt = prompt(&[(1, 2_500), (100 + subject, 3_800), (1_000 + subject, 900)]);
            choose_for(&mut balancer, &prompt, &[]).unwrap().instance.id
        })
        .collect();
    assert!(homes.len() <= 6, "{homes:?}");
}

#[test]
fn a_request_that_leaves_its_home_names_a_source_with_the_same_weights() {
    let mut balancer = pool(12, 1);
    let prompt = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let home = choose_for(&mut balancer, &prompt, &[]).unwrap().instance.id;
    let other = choose_for(&mut balancer, &prompt, std::slice::from_ref(&home)).unwrap();
    assert!(other.source.is_some());
    // All others have newer weights: what the home holds is of no use to them.
    for number in 0..12 {
        let id = format!("replica-{number}");
        if id != other.instance.id {
            balancer.set_status(&status(&id, Availability::Available, 2));
        }
    }
    let exclude: Vec<String> = (0..12)
        .map(|number| format!("replica-{number}"))
        .filter(|id| *id != other.instance.id)
        .collect();
    let alone = choose_for(&mut balancer, &prompt, &exclude).unwrap();
    assert_eq!((alone.version, alone.source), (Some(1), None));
}

#[test]
fn barred_replicas_are_never_chosen_and_paused_ones_last() {
    let mut balancer = pool(2, 1);
    let prompt = prompt(&[(1, 100), (2, 100)]);
    balancer.set_status(&status("replica-0", Availability::Paused, 1));
    for _ in 0..20 {
        assert_eq!(choose_for(&mut balancer, &prompt, &[]).unwrap().instance.id, "replica-1");
    }
    balancer.set_status(&status("replica-1", Availability::Excluded, 1));
    assert_eq!(choose_for(&mut balancer, &prompt, &[]).unwrap().instance.id, "replica-0");
    let waiting = choose_for(&mut balancer, &prompt, &[]).unwrap();
    assert!(!balancer.is_excluded(&waiting));
    balancer.set_status(&status("replica-0", Availability::Excluded, 1));
    assert!(choose_for(&mut balancer, &prompt, &[]).is_none());
    // What waits there is taken back.
    assert!(balancer.is_excluded(&waiting));
    balancer.set_status(&status("replica-0", Availability::Available, 2));
    assert!(!balancer.is_excluded(&waiting));
}

/// A replica that is passed over before a load still holds what it read.
#[test]
fn a_paused_replica_gives_what_it_holds() {
    let mut balancer = pool(12, 1);
    let prompt = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let home = choose_for(&mut balancer, &prompt, &[]).unwrap();
    balancer.on_sent(&home, &request(&prompt), NOW);
    balancer.on_first_token(&home, &request(&prompt), Duration::from_millis(190), NOW);
    balancer.set_status(&status(&home.instance.id, Availability::Paused, 1));
    let other = choose_for(&mut balancer, &prompt, &[]).unwrap();
    assert_ne!(other.instance.id, home.instance.id);
    assert_eq!(other.source, Some(home.instance.address));
}

#[test]
fn prompts_that_nobody_holds_begin_on_the_newest_weights() {
    for subject in 0..50 {
        let mut balancer = pool(12, subject);
        balancer.set_status(&status("replica-7", Availability::Available, 2));
        let prompt = prompt(&[(subject, 100), (1_000 + subject, 10)]);
        assert_eq!(choose_for(&mut balancer, &prompt, &[]).unwrap().version, Some(2));
    }
}

/// A replica whose weights are newer than was believed takes the request again, and nobody else.
#[test]
fn a_request_that_named_older_weights_goes_to_the_same_replica_again() {
    let mut balancer = pool(12, 1);
    let prompt = prompt(&[(1, 100), (2, 100)]);
    let first = choose_for(&mut balancer, &prompt, &[]).unwrap();
    let mut plan = RequestPlan::new(false, 1);
    plan.begin(first.instance.id.clone());
    let next = plan.end(AttemptEnd::VersionMismatch);
    assert_eq!(next, NextStep::Retry { fallback: ErrorKind::NoReplica, needs_budget: true });
    assert!(plan.tried().is_empty());
    balancer.forget_version(&first, "model");
    let again = ChoiceRequest { pinned_to: plan.pinned_to(), ..request(&prompt) };
    let again = balancer.choose(&again, NOW, &mut PolicyTable::default()).unwrap();
    assert_eq!((&again.instance.id, again.version), (&first.instance.id, None));
    assert_ne!(choose_for(&mut balancer, &prompt, &[]).unwrap().instance.id, first.instance.id);
    plan.begin(again.instance.id);
    assert_eq!(plan.end(AttemptEnd::NotRun), NextStep::Respond(ErrorKind::NoReplica));
}

#[test]
fn a_replica_of_unknown_weights_waits_for_its_status() {
    let mut balancer = pool(1, 1);
    balancer.upsert(instance("back-again", "pool", "north"));
    for subject in 0..50 {
        let prompt = prompt(&[(subject, 1_000), (1_000 + subject, 10)]);
        assert_eq!(choose_for(&mut balancer, &prompt, &[]).unwrap().instance.id, "replica-0");
    }
}

#[test]
fn a_replica_that_failed_is_passed_over_for_a_while() {
    let mut balancer = pool(2, 1);
    let prompt = prompt(&[(1, 100), (2, 100)]);
    let choice = choose_for(&mut balancer, &prompt, &[]).unwrap();
    let home = choice.instance.id.clone();
    balancer.on_failure(&choice, NOW);
    assert_ne!(choose_for(&mut balancer, &prompt, &[]).unwrap().instance.id, home);
    balancer.on_success(&choice, NOW + Duration::from_millis(1));
    assert_eq!(choose_for(&mut balancer, &prompt, &[]).unwrap().instance.id, home);
}

/// Whether a waiting request could go elsewhere is a question: it must not count as a decision.
#[test]
fn a_question_whether_there_is_a_choice_counts_nothing() {
    let mut balancer = pool(2, 1);
    let prompt = prompt(&[(1, 100), (2, 100)]);
    let mut policies = PolicyTable::default();
    assert!(balancer.has_available_replica(&request(&prompt), NOW));
    balancer.choose(&request(&prompt), NOW, &mut policies).unwrap();
    assert!(balancer.has_available_replica(&request(&prompt), NOW));
    let decided: u64 = policies.report().map(|(_, counters)| counters.decided).sum();
    assert_eq!(decided, 1);
    balancer.set_status(&status("replica-0", Availability::Excluded, 1));
    balancer.set_status(&status("replica-1", Availability::Excluded, 1));
    assert!(!balancer.has_available_replica(&request(&prompt), NOW));
}

#[test]
fn draining_and_removed_replicas_get_nothing() {
    let mut balancer = pool(2, 1);
    let prompt = prompt(&[(1, 100), (2, 100)]);
    let draining =
        topazmount_types::Instance { is_draining: true, ..instance("replica-0", "pool", "north") };
    balancer.upsert(draining);
    balancer.remove("replica-1");
    assert!(choose_for(&mut balancer, &prompt, &[]).is_none());
}

fn request(prompt: &Prompt) -> ChoiceRequest<'_> {
    choice_request(prompt, None)
}

/// What one node's requests wait for is known to the others, who send theirs elsewhere and have
/// the memory moved there.
#[test]
fn nodes_that_tell_each_other_share_the_work() {
    let mut nodes = [pool(12, 1), pool(12, 2)];
    let prompt = prompt(&[(1, 2_500), (100, 3_800), (1_000, 9_000)]);
    let first = choose_for(&mut nodes[0], &prompt, &[]).unwrap();
    nodes[0].on_sent(&first, &request(&prompt), NOW);
    nodes[0].on_first_token(&first, &request(&prompt), Duration::from_millis(400), NOW);
    let read = nodes[0].load_update(&first, &request(&prompt), PromptEvent::Prefilled).unwrap();
    nodes[1].apply_load_update(&read, NOW);
    let second = choose_for(&mut nodes[1], &prompt, &[]).unwrap();
    assert_eq!(second.instance.id, first.instance.id, "it holds the prompt and is idle");
    // The first node sends much more there.
    for _ in 0..5 {
        nodes[0].on_sent(&first, &request(&prompt), NOW);
    }
    let busy = nodes[0].load_update(&first, &request(&prompt), PromptEvent::Sent).unwrap();
    nodes[1].apply_load_update(&busy, NOW);
    let other = choose_for(&mut nodes[1], &prompt, &[]).unwrap();
    assert_ne!(other.instance.id, first.instance.id, "others wait there");
    assert!(other.source.is_some(), "what the first replica holds is moved");
    let later = NOW + Duration::from_secs(4);
    let back = nodes[1].choose(&request(&prompt), later, &mut PolicyTable::default()).unwrap();
    assert_eq!(back.instance.id, first.instance.id, "old word on load counts nothing");
}

#[test]
fn a_prompt_that_is_being_read_draws_its_like_to_the_same_replica() {
    let mut balancer = pool(12, 1);
    let one = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let first = choose_for(&mut balancer, &one, &[]).unwrap();
    balancer.on_sent(&first, &request(&one), NOW);
    let like = prompt(&[(1, 2_500), (100, 3_800), (1_001, 900)]);
    assert_eq!(choose_for(&mut balancer, &like, &[]).unwrap().instance.id, first.instance.id);
}

#[test]
fn word_of_unknown_replicas_and_of_other_weights_counts_nothing() {
    let mut balancer = pool(2, 1);
    let one = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let choice = choose_for(&mut balancer, &one, &[]).unwrap();
    let mut news = balancer.load_update(&choice, &request(&one), PromptEvent::Prefilled).unwrap();
    news.version = 9;
    balancer.apply_load_update(&news, NOW);
    let exclude = std::slice::from_ref(&choice.instance.id);
    let other = choose_for(&mut balancer, &one, exclude).unwrap();
    assert!(other.expected_prefill > 2_500, "old memory is not counted on: {other:?}");
    news.replica = 77;
    balancer.apply_load_update(&news, NOW);
}

/// Time to a first token beside reading, in milliseconds.
const FIXED_MS: f64 = 20.0;

/// Serves a prompt at its choice, by an engine of this rate.
fn serve(balancer: &mut Balancer, prompt: &Prompt, tokens_per_ms: f64, at: Time) -> Choice {
    let choice = choose_for(balancer, prompt, &[]).unwrap();
    balancer.on_sent(&choice, &request(prompt), at);
    let waited = FIXED_MS + f64::from(choice.expected_prefill) / tokens_per_ms;
    let waited = Duration::from_secs_f64(waited / 1_000.0);
    balancer.on_first_token(&choice, &request(prompt), waited, at);
    balancer.on_ended(&choice, true);
    choice
}

/// Where a prompt goes whose subject one replica has just read, while another prompt waits there:
/// engines that read fast are worth the wait, engines that read slowly are not.
fn goes_where(tokens_per_ms: f64, waiting_tokens: u32, stays: bool) {
    let mut balancer = pool(6, 1);
    let before = Time::from_secs(900);
    for number in 0..200 {
        let fresh =
            prompt(&[(5_000 + number, 2_000), (6_000 + number, 1_500), (7_000 + number, 500)]);
        let short = prompt(&[(8_000 + number, 100), (9_000 + number, 200)]);
        serve(&mut balancer, &fresh, tokens_per_ms, before);
        serve(&mut balancer, &short, tokens_per_ms, before);
    }
    let subject = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let home = serve(&mut balancer, &subject, tokens_per_ms, NOW);
    let waiting = prompt(&[(1, 2_500), (100, 3_800), (1_001, waiting_tokens)]);
    let there = choose_for(&mut balancer, &waiting, &[]).unwrap();
    assert_eq!(there.instance.id, home.instance.id, "nothing waits yet");
    balancer.on_sent(&there, &request(&waiting), NOW);
    let next = prompt(&[(1, 2_500), (100, 3_800), (1_002, 900)]);
    let choice = choose_for(&mut balancer, &next, &[]).unwrap();
    let rate = balancer.prefill_rate("pool");
    assert_eq!(choice.instance.id == home.instance.id, stays, "{choice:?} at a rate of {rate}");
}

cases! { goes_where:
    an_engine_four_times_faster_is_waited_for => 160.0, 6_000, true;
    an_engine_four_times_slower_is_not => 10.0, 2_000, false;
}
