//! The ledger with resends, conflicting claims and expiry.

use rstest::rstest;
use std::time::Duration;
use topazmount_control::{ActionResult, ClaimId, ClaimOutcome, Ledger, LookupOutcome};
use topazmount_types::{ActionKey, Digest, Incarnation, NodeId, TenantId, Time};

const NOW: Time = Time::from_secs(100);
const DEADLINE: Time = Time::from_secs(110);
const LATER: Time = Time::from_secs(120);
const RETENTION: Duration = Duration::from_secs(60);

fn key() -> ActionKey {
    ActionKey { tenant: TenantId(1), key: Digest::of(b"key") }
}

fn claim(node: u64) -> ClaimId {
    ClaimId { node: NodeId(node), incarnation: Incarnation(1), sequence: 1 }
}

fn digest() -> Digest {
    Digest::of(b"call")
}

fn result() -> ActionResult {
    ActionResult { status: 200, body: "done".to_owned() }
}

fn claimed() -> Ledger {
    let mut ledger = Ledger::default();
    let outcome = ledger.claim(NOW, key(), claim(1), digest(), DEADLINE);
    assert_eq!(outcome, ClaimOutcome::Granted);
    ledger
}

#[rstest]
#[case::the_same_claim_again(claim(1), digest(), NOW, ClaimOutcome::Granted)]
#[case::another_node(claim(2), digest(), NOW, ClaimOutcome::InProgress)]
#[case::another_node_after_the_deadline(claim(2), digest(), LATER, ClaimOutcome::Unknown)]
#[case::other_content(claim(2), Digest::of(b"other"), NOW, ClaimOutcome::KeyReused)]
fn a_held_key(
    #[case] by: ClaimId,
    #[case] content: Digest,
    #[case] at: Time,
    #[case] expected: ClaimOutcome,
) {
    assert_eq!(claimed().claim(at, key(), by, content, LATER), expected);
}

#[test]
fn an_expired_result_leaves_a_tombstone() {
    let mut ledger = claimed();
    assert!(ledger.finish(NOW, key(), claim(1), Some(result()), RETENTION));
    let again = ledger.claim(LATER, key(), claim(2), digest(), LATER);
    assert_eq!(again, ClaimOutcome::Finished(result()));
    let expired = NOW + RETENTION + Duration::from_secs(1);
    ledger.expire(expired);
    assert_eq!(ledger.claim(expired, key(), claim(2), digest(), LATER), ClaimOutcome::Expired);
    assert_eq!(ledger.lookup(expired, key()), LookupOutcome::Expired);
}

#[test]
fn only_the_holder_records_and_a_known_result_replaces_an_unknown_one() {
    let mut ledger = claimed();
    assert!(!ledger.finish(NOW, key(), claim(2), Some(result()), RETENTION));
    assert!(ledger.finish(NOW, key(), claim(1), None, RETENTION));
    assert_eq!(ledger.lookup(NOW, key()), LookupOutcome::Unknown);
    assert!(ledger.finish(NOW, key(), claim(1), Some(result()), RETENTION));
    assert!(ledger.finish(NOW, key(), claim(1), None, RETENTION));
    assert_eq!(ledger.lookup(NOW, key()), LookupOutcome::Finished(result()));
}

#[test]
fn a_released_key_is_free_but_delayed_copies_of_the_claim_are_refused() {
    let mut ledger = claimed();
    ledger.release(key(), claim(1), digest());
    assert_eq!(ledger.lookup(NOW, key()), LookupOutcome::Absent);
    let late = ledger.claim(NOW, key(), claim(1), digest(), DEADLINE);
    assert_eq!(late, ClaimOutcome::Released);
    assert_eq!(ledger.claim(NOW, key(), claim(2), digest(), DEADLINE), ClaimOutcome::Granted);
}

#[test]
fn a_release_that_arrives_before_its_claim_refuses_the_claim() {
    let mut ledger = Ledger::default();
    ledger.release(key(), claim(1), digest());
    let late = ledger.claim(NOW, key(), claim(1), digest(), DEADLINE);
    assert_eq!(late, ClaimOutcome::Released);
}

#[test]
fn tenants_do_not_share_keys() {
    let mut ledger = claimed();
    let other = ActionKey { tenant: TenantId(2), ..key() };
    assert_eq!(ledger.claim(NOW, other, claim(2), digest(), DEADLINE), ClaimOutcome::Granted);
}
