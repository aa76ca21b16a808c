//! What a gateway records of the contents of stores, and what it has saved there.

mod common;

use common::{choice_request, engine, instance, prompt};
use std::time::Duration;
use topazmount_control::{Availability, InstanceStatus, LoadedModel};
use topazmount_gateway::{
    Balancer, Choice, ChoiceRequest, EngineParameters, Prompt, StoreChange, StoreEvents, StoreKey,
    StoreParameters, Stores, cache_salt,
};
use topazmount_routing::PolicyTable;
use topazmount_types::{Start, Time};

const NOW: Time = Time::from_secs(1_000);
const STORE: &str = "10.0.9.9:1";

fn parameters(address: &str) -> StoreParameters {
    StoreParameters { address: address.to_owned(), link_mbps: 200_000.0 }
}

fn sample_prompt(number: u64) -> Prompt {
    prompt(&[(1, 2_500), (100 + number, 3_800), (1_000 + number, 900)])
}

/// A page of events for a store that holds these tokens of each part.
fn page(epoch: u64, held_tokens: &[(u64, u32)]) -> StoreEvents {
    let change = |(part, tokens): &(u64, u32)| StoreChange {
        salt: cache_salt(1, None),
        part: *part,
        tokens: *tokens,
    };
    let changes = held_tokens.iter().map(change).collect();
    StoreEvents { epoch, start: Start::UNKNOWN, next: 5, has_gap: false, changes }
}

fn stores(events: StoreEvents) -> (Stores, StoreKey) {
    let mut stores = Stores::default();
    stores.set([parameters(STORE)].into_iter());
    let key = key_for(&stores, STORE).unwrap();
    stores.apply(key, events);
    (stores, key)
}

fn key_for(stores: &Stores, address: &str) -> Option<StoreKey> {
    stores.keys().find(|(_, sample)| *sample == address).map(|(key, _)| key)
}

fn depth(stores: &Stores, salt: &str) -> Option<usize> {
    stores.find(&sample_prompt(0), None, salt).map(|stored| stored.parts)
}

cases! { check_depth:
    both_parts => &[(1, 2_500), (100, 3_800)], 2;
    complete_blocks_only => &[(1, 2_496), (100, 3_792)], 2;
    the_first_part => &[(1, 2_500)], 1;
    a_part_cut_short => &[(1, 2_500), (100, 128)], 1;
    a_part_without_the_previous_one => &[(100, 3_800)], 0;
    an_evicted_part => &[(1, 2_500), (1, 0)], 0;
}

/// Only complete leading parts count, and only under their own salt.
fn check_depth(held_tokens: &[(u64, u32)], parts: usize) {
    let (stores, _) = stores(page(7, held_tokens));
    assert_eq!(depth(&stores, &cache_salt(1, None)), Some(parts));
    assert_eq!(depth(&stores, &cache_salt(2, None)), Some(0), "other weights");
    assert_eq!(depth(&stores, &cache_salt(1, Some("tenant"))), Some(0), "isolated tenant");
}

cases! { check_empty_after:
    a_restart => page(8, &[]);
    another_incarnation_of_the_same_epoch => StoreEvents { start: Start(2), ..page(7, &[]) };
    a_gap => StoreEvents { has_gap: true, ..page(7, &[]) };
}

/// A store that may have lost parts counts as empty.
fn check_empty_after(events: StoreEvents) {
    let (mut stores, key) = stores(page(7, &[(1, 2_500), (100, 3_800)]));
    assert!(stores.apply(key, events));
    assert_eq!(depth(&stores, &cache_salt(1, None)), Some(0));
}

#[test]
fn an_unreachable_store_is_not_used() {
    let (mut stores, key) = stores(page(7, &[(1, 2_500), (100, 3_800)]));
    assert!(stores.on_unreachable(key));
    assert!(!stores.on_unreachable(key), "it was unreachable before");
    let salt = cache_salt(1, None);
    assert_eq!(depth(&stores, &salt), None);
    assert_eq!(stores.select_for_save(&sample_prompt(1), None, &salt, NOW), None);
    assert!(!stores.apply(key, page(7, &[])));
    assert_eq!(depth(&stores, &salt), Some(2), "it was unreachable, but did not restart");
}

#[test]
fn saves_are_not_repeated_and_skip_stored_prompts() {
    let (mut stores, _) = stores(page(7, &[(1, 2_500), (100, 3_800)]));
    let salt = cache_salt(1, None);
    let mut save = |number: u64, at: Time| {
        stores.select_for_save(&sample_prompt(number), None, &salt, at).is_some()
    };
    assert!(!save(0, NOW), "it is stored");
    assert!(save(1, NOW));
    assert!(save(2, NOW), "each prompt separately");
    let later = NOW + Duration::from_secs(1);
    assert!(!save(1, later), "the save is in progress");
    assert!(!save(2, later), "this save, too");
    assert!(save(1, NOW + Duration::from_secs(5)), "the save did not arrive");
    let short = prompt(&[(1, 500), (2, 400), (3, 10_000)]);
    assert_eq!(stores.select_for_save(&short, None, &salt, NOW + Duration::from_secs(9)), None);
}

/// However often prompts are requested, each is saved once while a save is in progress, and never
/// if the store reports that it holds it.
#[test]
fn saves_are_limited_to_missing_prompts() {
    const SUBJECTS: u64 = 60;
    let (mut stores, key) = stores(page(7, &[]));
    let salt = cache_salt(1, None);
    let mut saves_until = |until_ms: u64, from_ms: u64| {
        let steps = (from_ms..until_ms).step_by(10);
        let requests = steps.flat_map(|ms| (0..SUBJECTS).map(move |number| (ms, number)));
        let saved = requests.filter(|(ms, number)| {
            let at = NOW + Duration::from_millis(*ms);
            stores.select_for_save(&sample_prompt(*number), None, &salt, at).is_some()
        });
        saved.count() as u64
    };
    assert_eq!(saves_until(2_900, 0), SUBJECTS, "once each");
    assert_eq!(saves_until(5_900, 2_900), SUBJECTS, "again, as none of them arrived");
    let held_tokens: Vec<(u64, u32)> =
        (0..SUBJECTS).map(|number| (100 + number, 3_800)).chain([(1, 2_500)]).collect();
    stores.apply(key, page(7, &held_tokens));
    let late = NOW + Duration::from_secs(60);
    let is_saved =
        |number| stores.select_for_save(&sample_prompt(number), None, &salt, late).is_some();
    assert!(!(0..SUBJECTS).any(is_saved), "prompts that the store holds are not saved");
}

#[test]
fn stores_that_left_the_catalog_are_dropped() {
    let (mut stores, key) = stores(page(7, &[(1, 2_500)]));
    stores.set([parameters(STORE), parameters("10.0.9.8:1")].into_iter());
    assert_eq!(stores.position(key), Some(5), "the state is kept");
    stores.set([parameters("10.0.9.8:1")].into_iter());
    assert_eq!(stores.position(key), None);
    assert!(!stores.apply(key, page(7, &[(1, 2_500)])));
}

fn pool() -> Balancer {
    let mut balancer = Balancer::new("north", 1);
    for number in 0..4 {
        let id = format!("replica-{number}");
        balancer.upsert(instance(&id, "pool", "north"));
        let models = vec![LoadedModel { model: "model".to_owned(), version: 1 }];
        balancer.set_status(&InstanceStatus {
            id,
            availability: Availability::Available,
            models,
            start: Start::UNKNOWN,
            correction: (0, 0),
        });
    }
    balancer.stores().set([parameters(STORE)].into_iter());
    balancer
}

fn report_contents(balancer: &mut Balancer, held_tokens: &[(u64, u32)]) {
    let key = key_for(balancer.stores(), STORE).unwrap();
    balancer.stores().apply(key, page(7, held_tokens));
}

fn choose(balancer: &mut Balancer, prompt: &Prompt, now: Time) -> Choice {
    let engine = engine();
    let request = request(prompt, &engine);
    balancer.choose(&request, now, &mut PolicyTable::default()).unwrap()
}

fn request<'a>(prompt: &'a Prompt, engine: &'a EngineParameters) -> ChoiceRequest<'a> {
    choice_request(prompt, Some(engine))
}

/// Lets the home of a prompt read it, and the store report that it holds it. Returns the home.
fn prefill_and_store(balancer: &mut Balancer, sample: &Prompt) -> Choice {
    let engine = engine();
    let home = choose(balancer, sample, NOW);
    balancer.on_sent(&home, &request(sample, &engine), NOW);
    balancer.on_first_token(&home, &request(sample, &engine), Duration::from_millis(190), NOW);
    report_contents(balancer, &[(1, 2_500), (100, 3_800)]);
    home
}

cases! { check_source:
    a_replica_that_just_read_it => Duration::from_secs(1), false;
    a_store_if_the_replica_read_it_a_while_ago => Duration::from_secs(5), true;
}

/// A store is preferred to a replica that read the prompt a while ago, but not to one that just
/// read it.
fn check_source(age: Duration, from_store: bool) {
    let (mut balancer, engine) = (pool(), engine());
    let sample = sample_prompt(0);
    let home = prefill_and_store(&mut balancer, &sample);
    let tried = std::slice::from_ref(&home.instance.id);
    let elsewhere = ChoiceRequest { tried, ..request(&sample, &engine) };
    let other = balancer.choose(&elsewhere, NOW + age, &mut PolicyTable::default()).unwrap();
    let expected = if from_store { STORE } else { home.instance.address.as_str() };
    assert_eq!(other.source.as_deref(), Some(expected));
}

/// If it loads new weights during the run, parts would be saved under the salt of the old version.
#[test]
fn a_replica_with_older_weights_saves_nothing() {
    let (mut balancer, engine) = (pool(), engine());
    report_contents(&mut balancer, &[]);
    let sample = sample_prompt(0);
    let old = choose(&mut balancer, &sample, NOW);
    let models = vec![LoadedModel { model: "model".to_owned(), version: 2 }];
    let loaded = (0..4).map(|number| format!("replica-{number}"));
    let loaded = loaded.into_iter().find(|id| *id != old.instance.id).unwrap();
    balancer.set_status(&InstanceStatus {
        id: loaded,
        availability: Availability::Paused,
        models,
        start: Start::UNKNOWN,
        correction: (0, 0),
    });
    assert_eq!(balancer.select_store(&old, &request(&sample, &engine), None, NOW), None);
    let mut newest = old;
    newest.version = Some(2);
    let saved = balancer.select_store(&newest, &request(&sample, &engine), None, NOW);
    assert_eq!(saved.as_deref(), Some(STORE));
}

#[test]
fn a_replica_with_an_old_cache_record_uses_the_store() {
    let mut balancer = pool();
    let sample = sample_prompt(0);
    let home = prefill_and_store(&mut balancer, &sample);
    let again = choose(&mut balancer, &sample, NOW + Duration::from_secs(6));
    assert_eq!(again.instance.id, home.instance.id);
    assert_eq!(again.source.as_deref(), Some(STORE));
}

#[test]
fn the_age_of_reliable_cache_records_is_configurable() {
    let (mut balancer, engine) = (pool(), engine());
    balancer.set_reliable_cache_age(Duration::from_secs(10));
    let sample = sample_prompt(0);
    let home = prefill_and_store(&mut balancer, &sample);
    let tried = std::slice::from_ref(&home.instance.id);
    let elsewhere = ChoiceRequest { tried, ..request(&sample, &engine) };
    let later = NOW + Duration::from_secs(5);
    let other = balancer.choose(&elsewhere, later, &mut PolicyTable::default()).unwrap();
    assert_eq!(other.source.as_deref(), Some(home.instance.address.as_str()));
}
