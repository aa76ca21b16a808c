//! What a gateway believes that stores of prompt parts hold, and what it has saved there.

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

fn subject(number: u64) -> Prompt {
    prompt(&[(1, 2_500), (100 + number, 3_800), (1_000 + number, 900)])
}

/// A page by which a store tells that it holds so many tokens of each part.
fn page(epoch: u64, held: &[(u64, u32)]) -> StoreEvents {
    let change = |(part, tokens): &(u64, u32)| StoreChange {
        salt: cache_salt(1, None),
        part: *part,
        tokens: *tokens,
    };
    let changes = held.iter().map(change).collect();
    StoreEvents { epoch, start: Start::UNSAID, next: 5, has_gap: false, changes }
}

fn stores(events: StoreEvents) -> (Stores, StoreKey) {
    let mut stores = Stores::default();
    stores.set([parameters(STORE)].into_iter());
    let key = key_of(&stores, STORE).unwrap();
    stores.apply(key, events);
    (stores, key)
}

fn key_of(stores: &Stores, address: &str) -> Option<StoreKey> {
    stores.keys().find(|(_, one)| *one == address).map(|(key, _)| key)
}

fn depth(stores: &Stores, salt: &str) -> Option<usize> {
    stores.find(&subject(0), None, salt).map(|stored| stored.parts)
}

cases! { holds:
    both_parts => &[(1, 2_500), (100, 3_800)], 2;
    whole_blocks_only => &[(1, 2_496), (100, 3_792)], 2;
    the_first_part => &[(1, 2_500)], 1;
    a_part_cut_short => &[(1, 2_500), (100, 128)], 1;
    a_part_without_the_one_before => &[(100, 3_800)], 0;
    a_part_dropped_again => &[(1, 2_500), (1, 0)], 0;
}

/// What a store tells counts as far as it is whole, and only under its own salt.
fn holds(held: &[(u64, u32)], parts: usize) {
    let (stores, _) = stores(page(7, held));
    assert_eq!(depth(&stores, &cache_salt(1, None)), Some(parts));
    assert_eq!(depth(&stores, &cache_salt(2, None)), Some(0), "other weights");
    assert_eq!(depth(&stores, &cache_salt(1, Some("tenant"))), Some(0), "behind a wall");
}

cases! { is_empty_after:
    a_restart => page(8, &[]);
    another_incarnation_of_the_same_epoch => StoreEvents { start: Start(2), ..page(7, &[]) };
    a_gap => StoreEvents { has_gap: true, ..page(7, &[]) };
}

/// A store that may have lost something counts as empty.
fn is_empty_after(events: StoreEvents) {
    let (mut stores, key) = stores(page(7, &[(1, 2_500), (100, 3_800)]));
    assert!(stores.apply(key, events));
    assert_eq!(depth(&stores, &cache_salt(1, None)), Some(0));
}

#[test]
fn a_store_that_does_not_answer_gives_and_takes_nothing() {
    let (mut stores, key) = stores(page(7, &[(1, 2_500), (100, 3_800)]));
    assert!(stores.on_unreachable(key));
    assert!(!stores.on_unreachable(key), "it was known");
    let salt = cache_salt(1, None);
    assert_eq!(depth(&stores, &salt), None);
    assert_eq!(stores.select_for_save(&subject(1), None, &salt, NOW), None);
    assert!(!stores.apply(key, page(7, &[])));
    assert_eq!(depth(&stores, &salt), Some(2), "it was away, and not restarted");
}

#[test]
fn saves_are_few_and_never_of_what_is_there() {
    let (mut stores, _) = stores(page(7, &[(1, 2_500), (100, 3_800)]));
    let salt = cache_salt(1, None);
    let mut save =
        |number: u64, at: Time| stores.select_for_save(&subject(number), None, &salt, at).is_some();
    assert!(!save(0, NOW), "it is there");
    assert!(save(1, NOW));
    assert!(save(2, NOW), "each subject for itself");
    let later = NOW + Duration::from_secs(1);
    assert!(!save(1, later), "it is under way");
    assert!(!save(2, later), "this one too");
    assert!(save(1, NOW + Duration::from_secs(5)), "it never came");
    let short = prompt(&[(1, 500), (2, 400), (3, 10_000)]);
    assert_eq!(stores.select_for_save(&short, None, &salt, NOW + Duration::from_secs(9)), None);
}

/// However often subjects are asked for, each is sent once while it is on its way, and never once the
/// store tells that it holds it: what a gateway saves is bounded by what the store lacks.
#[test]
fn saves_are_bounded_by_what_the_store_lacks() {
    const SUBJECTS: u64 = 60;
    let (mut stores, key) = stores(page(7, &[]));
    let salt = cache_salt(1, None);
    let mut saves_until = |until_ms: u64, from_ms: u64| {
        let steps = (from_ms..until_ms).step_by(10);
        let asked = steps.flat_map(|ms| (0..SUBJECTS).map(move |number| (ms, number)));
        let saved = asked.filter(|(ms, number)| {
            let at = NOW + Duration::from_millis(*ms);
            stores.select_for_save(&subject(*number), None, &salt, at).is_some()
        });
        saved.count() as u64
    };
    assert_eq!(saves_until(2_900, 0), SUBJECTS, "once each");
    assert_eq!(saves_until(5_900, 2_900), SUBJECTS, "again: none of them came");
    let held: Vec<(u64, u32)> =
        (0..SUBJECTS).map(|number| (100 + number, 3_800)).chain([(1, 2_500)]).collect();
    stores.apply(key, page(7, &held));
    let late = NOW + Duration::from_secs(60);
    let is_saved = |number| stores.select_for_save(&subject(number), None, &salt, late).is_some();
    assert!(!(0..SUBJECTS).any(is_saved), "nothing that it holds");
}

#[test]
fn stores_that_a_catalog_no_longer_names_are_forgotten() {
    let (mut stores, key) = stores(page(7, &[(1, 2_500)]));
    stores.set([parameters(STORE), parameters("10.0.9.8:1")].into_iter());
    assert_eq!(stores.position(key), Some(5), "what was known stays");
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
            start: Start::UNSAID,
            correction: (0, 0),
        });
    }
    balancer.stores().set([parameters(STORE)].into_iter());
    balancer
}

fn tell(balancer: &mut Balancer, held: &[(u64, u32)]) {
    let key = key_of(balancer.stores(), STORE).unwrap();
    balancer.stores().apply(key, page(7, held));
}

fn choose(balancer: &mut Balancer, prompt: &Prompt, now: Time) -> Choice {
    let engine = engine();
    let request = request(prompt, &engine);
    balancer.choose(&request, now, &mut PolicyTable::default()).unwrap()
}

fn request<'a>(prompt: &'a Prompt, engine: &'a EngineParameters) -> ChoiceRequest<'a> {
    choice_request(prompt, Some(engine))
}

/// The choice of a subject that its home has read and the store tells that it holds.
fn read_and_stored(balancer: &mut Balancer, one: &Prompt) -> Choice {
    let engine = engine();
    let home = choose(balancer, one, NOW);
    balancer.on_sent(&home, &request(one, &engine), NOW);
    balancer.on_first_token(&home, &request(one, &engine), Duration::from_millis(190), NOW);
    tell(balancer, &[(1, 2_500), (100, 3_800)]);
    home
}

cases! { is_source:
    a_replica_that_just_read_it => Duration::from_secs(1), false;
    the_store_of_what_was_read_a_while_ago => Duration::from_secs(5), true;
}

/// Replicas forget within seconds: a store that tells that it holds a prompt is a better source than
/// a replica that read it a while ago, and no better one than a replica that just read it.
fn is_source(age: Duration, from_store: bool) {
    let (mut balancer, engine) = (pool(), engine());
    let one = subject(0);
    let home = read_and_stored(&mut balancer, &one);
    let exclude = std::slice::from_ref(&home.instance.id);
    let elsewhere = ChoiceRequest { tried: exclude, ..request(&one, &engine) };
    let other = balancer.choose(&elsewhere, NOW + age, &mut PolicyTable::default()).unwrap();
    let expected = if from_store { STORE } else { home.instance.address.as_str() };
    assert_eq!(other.source.as_deref(), Some(expected));
}

/// A run that outlasts the load of new weights would leave parts made with these under the salt of
/// the old ones.
#[test]
fn a_replica_that_is_about_to_load_saves_nothing() {
    let (mut balancer, engine) = (pool(), engine());
    tell(&mut balancer, &[]);
    let one = subject(0);
    let old = choose(&mut balancer, &one, NOW);
    let models = vec![LoadedModel { model: "model".to_owned(), version: 2 }];
    let loaded = (0..4).map(|number| format!("replica-{number}"));
    let loaded = loaded.into_iter().find(|id| *id != old.instance.id).unwrap();
    balancer.set_status(&InstanceStatus {
        id: loaded,
        availability: Availability::Paused,
        models,
        start: Start::UNSAID,
        correction: (0, 0),
    });
    assert_eq!(balancer.select_store(&old, &request(&one, &engine), None, NOW), None);
    let mut newest = old;
    newest.version = Some(2);
    let saved = balancer.select_store(&newest, &request(&one, &engine), None, NOW);
    assert_eq!(saved.as_deref(), Some(STORE));
}

#[test]
fn a_replica_that_held_the_prompt_falls_back_on_the_store() {
    let mut balancer = pool();
    let one = subject(0);
    let home = read_and_stored(&mut balancer, &one);
    let again = choose(&mut balancer, &one, NOW + Duration::from_secs(6));
    assert_eq!(again.instance.id, home.instance.id);
    assert_eq!(again.source.as_deref(), Some(STORE));
}

#[test]
fn settings_say_for_how_long_a_replica_surely_holds_what_it_read() {
    let (mut balancer, engine) = (pool(), engine());
    balancer.set_reliable_cache_age(Duration::from_secs(10));
    let one = subject(0);
    let home = read_and_stored(&mut balancer, &one);
    let exclude = std::slice::from_ref(&home.instance.id);
    let elsewhere = ChoiceRequest { tried: exclude, ..request(&one, &engine) };
    let later = NOW + Duration::from_secs(5);
    let other = balancer.choose(&elsewhere, later, &mut PolicyTable::default()).unwrap();
    assert_eq!(other.source.as_deref(), Some(home.instance.address.as_str()));
}
