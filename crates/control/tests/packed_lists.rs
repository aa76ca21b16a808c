//! Encoding of the lists about replicas that all gateways get.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde::Serialize;
use topazmount_control::{
    Availability, InstanceStatus, LoadedModel, Packed, RemovedInstance, ReplicaLists,
};
use topazmount_types::{Instance, Start};
use topazmount_wire::{decode_payload, encode_payload};

const ZONES: [&str; 5] = ["erie-hall", "huron-hall", "superior-hall", "michigan-hall", "ontario"];
/// Milliseconds within which the replicas of a fleet start.
const STARTS: u64 = 3_000;

/// Software versions that serve side by side.
const SOFTWARE: [&str; 3] = ["v1", "v1.1", "v1.2"];

/// A replica with random identifier and address, as a fleet has them.
fn instance(rng: &mut ChaCha8Rng, number: u64) -> Instance {
    let (net, host) = (rng.random_range(1..=5), rng.random_range(0..10_000));
    Instance {
        id: format!("i-{:010x}", rng.random_range(0..1u64 << 40)),
        service: "pool".to_owned(),
        address: format!("10.{net}.{}.{}:8207", host / 250, host % 250),
        zone: ZONES[rng.random_range(0..ZONES.len())].to_owned(),
        slots: 16,
        is_draining: false,
        changed_at: 5_000 + number,
        start: Start(1_787_511_837_000 + rng.random_range(0..STARTS)),
        software: SOFTWARE[rng.random_range(0..SOFTWARE.len())].to_owned(),
    }
}

fn status(instance: &Instance, version: u32) -> InstanceStatus {
    InstanceStatus {
        id: instance.id.clone(),
        availability: Availability::Available,
        models: vec![LoadedModel { model: "model".to_owned(), version }],
        start: instance.start,
        correction: (0, 0),
    }
}

/// Lists as they may come in any update, with values that are rare.
fn any_lists(seed: u64) -> ReplicaLists {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut lists = ReplicaLists::default();
    for number in 0..rng.random_range(0..60) {
        let mut known = instance(&mut rng, number);
        match rng.random_range(0..8) {
            0 => known.address = "replica.internal".to_owned(),
            1 => known.address = "[fd00::7]:8207".to_owned(),
            2 => known.start = Start::UNKNOWN,
            3 => known.changed_at = u64::MAX,
            4 => known.start = Start(u64::MAX),
            5 => (known.slots, known.is_draining) = (u32::MAX, true),
            _ => {}
        }
        let mut reported = status(&known, rng.random_range(0..4));
        match rng.random_range(0..8) {
            0 => reported.start = Start(7),
            1 => reported.models.clear(),
            2 => reported.availability = Availability::Excluded,
            3 => reported.correction = (u64::MAX, 3),
            4 => reported.id = "another".to_owned(),
            _ => {}
        }
        if rng.random_bool(0.8) {
            lists.instances.push(known.clone());
        }
        if rng.random_bool(0.8) {
            let position = rng.random_range(0..=lists.statuses.len());
            lists.statuses.insert(position, reported);
        }
        if rng.random_bool(0.2) {
            let (id, start) = (known.id, known.start);
            lists.removed.push(RemovedInstance { id, was_announced: rng.random(), start });
        }
    }
    lists
}

#[test]
fn lists_are_decoded_as_they_were_encoded() {
    for seed in 0..200 {
        let lists = any_lists(seed);
        assert_eq!(Packed::new(&lists).unpack().unwrap(), lists, "seed {seed}");
    }
}

/// What is not known beforehand of a replica is 40 bits of identifier, 16 of address, 12 of its
/// start and 3 of its zone: 9 bytes. The lists that 1,000 gateways get may take twice that.
#[test]
fn a_replica_and_its_status_take_few_bytes() {
    const REPLICAS: u64 = 2_000;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let instances: Vec<Instance> = (0..REPLICAS).map(|number| instance(&mut rng, number)).collect();
    let statuses = instances.iter().map(|known| status(known, 1)).collect();
    let packed = Packed::new(&ReplicaLists { instances, statuses, removed: Vec::new() });
    let bytes = packed.len() as f64 / REPLICAS as f64;
    assert!(bytes <= 18.0, "{bytes:.1} bytes for a replica");
}

/// Columns of replicas as another build might send them.
#[derive(Serialize)]
struct Columns {
    instances: Instances,
    removed: Vec<RemovedInstance>,
    statuses: Statuses,
}

#[derive(Serialize)]
struct Table<T> {
    values: Vec<T>,
    rows: Vec<u32>,
}

/// A column with this value in its only row.
fn one<T>(value: T) -> Table<T> {
    Table { values: vec![value], rows: vec![0] }
}

#[derive(Serialize)]
struct Instances {
    id: Vec<&'static str>,
    service: Table<&'static str>,
    host: Vec<&'static str>,
    port: Table<&'static str>,
    zone: Table<&'static str>,
    slots: Table<u32>,
    is_draining: Table<bool>,
    changed_at: Vec<i64>,
    start: Vec<i64>,
}

#[derive(Serialize)]
struct Statuses {
    instance: Vec<i64>,
    id: Vec<&'static str>,
    start: Vec<i64>,
    availability: Table<Availability>,
    models: Table<Vec<LoadedModel>>,
    correction: Table<(u64, u32)>,
}

fn one_instance() -> Instances {
    Instances {
        id: vec!["i-1"],
        service: one("pool"),
        host: vec!["10.0.0.1"],
        port: one(":80"),
        zone: one("north"),
        slots: one(16),
        is_draining: one(false),
        changed_at: vec![4],
        start: vec![9],
    }
}

fn one_status() -> Statuses {
    Statuses {
        instance: vec![1],
        id: Vec::new(),
        start: Vec::new(),
        availability: one(Availability::Paused),
        models: one(Vec::new()),
        correction: one((2, 3)),
    }
}

fn decoded(instances: Instances, statuses: Statuses) -> Result<ReplicaLists, String> {
    let sent = Packed::new(&Columns { instances, removed: Vec::new(), statuses });
    let payload = encode_payload(&sent).unwrap();
    let received: Packed<ReplicaLists> = decode_payload(&payload).unwrap();
    received.unpack().map_err(|error| error.to_string())
}

#[test]
fn valid_columns_are_decoded() {
    let lists = decoded(one_instance(), one_status()).unwrap();
    assert_eq!(lists.instances[0].address, "10.0.0.1:80");
    assert_eq!((lists.statuses[0].id.as_str(), lists.statuses[0].start), ("i-1", Start(9)));
}

#[rstest]
#[case::short_table(Instances { slots: Table { values: vec![], rows: vec![0] }, ..one_instance() }, one_status())]
#[case::short_rows(Instances { slots: Table { values: vec![16], rows: vec![] }, ..one_instance() }, one_status())]
#[case::short_hosts(Instances { host: vec![], ..one_instance() }, one_status())]
#[case::short_starts(Instances { start: vec![], ..one_instance() }, one_status())]
#[case::unknown_row(one_instance(), Statuses { instance: vec![2], ..one_status() })]
#[case::missing_identifier(one_instance(), Statuses { instance: vec![0], ..one_status() })]
#[case::negative_row(one_instance(), Statuses { instance: vec![-1], ..one_status() })]
fn invalid_columns_are_an_error(#[case] instances: Instances, #[case] statuses: Statuses) {
    let error = decoded(instances, statuses).unwrap_err();
    assert!(error.contains("no valid value in row 0"), "{error}");
}
