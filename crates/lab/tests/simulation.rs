//! Failures on the virtual clock: each judge catches what is planted for it, and finds nothing in
//! the product, alone and in pairs of failures.

use rstest::rstest;
use std::path::Path;
use topazmount_lab::sim::{
    FaultKind, Invariant, Plant, Scenario, ScenarioSettings, run_scenario, run_seed, scenarios,
};
use topazmount_lab::{local, parallel};

fn settings(deployment: &str, plant: Option<Plant>) -> ScenarioSettings {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deployments").join(deployment);
    let (source, _) = local::read_deployment(&folder).unwrap();
    ScenarioSettings { source, plant, is_traced: false }
}

fn scenario(name: &str) -> Scenario {
    Scenario::parse(name).unwrap()
}

#[rstest]
#[case(Plant::CallDeliveredTwice, "calm", Invariant::AtMostOnce)]
#[case(Plant::CrossedText, "calm", Invariant::OwnAnswer)]
#[case(Plant::LostText, "calm", Invariant::WholeStreams)]
#[case(Plant::SilentEnd, "calm", Invariant::OneAnswer)]
#[case(Plant::FalseNotRun, "application-crash", Invariant::TrueNotRun)]
#[case(Plant::SharedHashes, "calm", Invariant::CacheTruth)]
#[case(Plant::ForgottenConfiguration, "node-crash", Invariant::ConfigurationForward)]
#[case(Plant::HiddenLeaving, "engine-leave", Invariant::NoWorkForLeaving)]
#[case(Plant::AbruptStop, "node-drain", Invariant::CleanStop)]
#[case(Plant::LostSyncs, "member-herd", Invariant::Durability)]
#[case(Plant::WithheldUpdates, "calm", Invariant::ConfigurationInForce)]
#[case(Plant::DoubledLease, "calm", Invariant::OneLeader)]
#[case(Plant::TwoWinners, "operator-race", Invariant::OneWinner)]
fn a_planted_violation_is_caught(
    #[case] plant: Plant,
    #[case] name: &str,
    #[case] expected: Invariant,
) {
    let planted = settings("lakeshore", Some(plant));
    // A refusal of something that ran is rare.
    let last = if plant == Plant::FalseNotRun { 300 } else { 24 };
    let seeds: Vec<u64> = (1..=last).collect();
    let caught = parallel::map(
        &seeds,
        |seed| run_seed(&scenario(name), &planted, *seed).1.checks.counts.contains_key(&expected),
        |_, _| {},
    );
    assert!(caught.contains(&true), "{plant:?} was not seen as {}", expected.as_str());
}

#[test]
fn a_seed_replays_exactly() {
    let settings = settings("van-damme", None);
    let name = scenario("node-crash+leader-freeze");
    let (first, _) = run_seed(&name, &settings, 7);
    let (again, _) = run_seed(&name, &settings, 7);
    assert_eq!(first, again);
    let (other, _) = run_seed(&name, &settings, 8);
    assert_ne!(first, other);
}

fn assert_no_violation(deployment: &str, runs: &[(Scenario, u64)]) {
    let settings = settings(deployment, None);
    let reports = parallel::map(
        runs,
        |(scenario, seed)| run_scenario(scenario, &settings, *seed..=*seed),
        |_, _| {},
    );
    for report in reports {
        assert_eq!(report.violations, 0, "{}: {:?}", report.scenario, report.details);
    }
}

#[rstest]
#[case("lakeshore")]
#[case("van-damme")]
fn every_fault_alone(#[case] deployment: &str) {
    let kinds = FaultKind::ALL.iter().map(|kind| Scenario { kinds: vec![*kind] });
    let runs: Vec<_> =
        kinds.flat_map(|kind| (1..=4).map(move |seed| (kind.clone(), seed))).collect();
    assert_no_violation(deployment, &runs);
}

#[rstest]
#[case("lakeshore", 11)]
#[case("van-damme", 12)]
fn every_pair_of_faults(#[case] deployment: &str, #[case] seed: u64) {
    let pairs = scenarios().into_iter().filter(|scenario| scenario.kinds.len() == 2);
    let runs: Vec<_> = pairs.map(|pair| (pair, seed)).collect();
    assert_no_violation(deployment, &runs);
}

/// Seeds that once broke an invariant; the commits that mended them tell the causes.
#[rstest]
#[case("follower-cut", 4)]
#[case("control-cut", 33)]
#[case("leader-cut", 8)]
#[case("node-drain", 15)]
#[case("member-herd", 8)]
#[case("node-freeze+node-drain", 2)]
#[case("leader-cut+lost-disk", 14)]
fn a_seed_that_failed_once(#[case] name: &str, #[case] seed: u64) {
    assert_no_violation("lakeshore", &[(scenario(name), seed)]);
}
