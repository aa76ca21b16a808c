//! Table of kept connections: what may be kept, and what may be sent on it.

use rstest::rstest;
use std::time::Duration;
use topazmount_gateway::{ConnectionReuse, ConnectionSettings, IdleConnection, ResponseEnd};
use topazmount_types::Time;

const GOOD: ResponseEnd =
    ResponseEnd { is_request_sent: true, is_framed: true, closes: false, has_extra_bytes: false };
const NOW: Time = Time::ZERO;

fn idle(millis: u64, announced_s: Option<u64>) -> IdleConnection {
    IdleConnection {
        idle: Duration::from_millis(millis),
        announced_timeout: announced_s.map(Duration::from_secs),
    }
}

/// A test for each way in which an answer leaves its connection.
macro_rules! kept_after {
    ($($name:ident: $end:expr => $is_kept:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(ConnectionReuse::default().may_pool($end), $is_kept);
        }
    )*};
}

kept_after! {
    a_whole_answer_leaves_a_good_connection: GOOD => true;
    a_body_that_is_still_due_does_not: ResponseEnd { is_request_sent: false, ..GOOD } => false;
    an_answer_without_a_length_does_not: ResponseEnd { is_framed: false, ..GOOD } => false;
    a_replica_that_drains_does_not: ResponseEnd { closes: true, ..GOOD } => false;
    bytes_after_the_answer_do_not: ResponseEnd { has_extra_bytes: true, ..GOOD } => false;
}

#[rstest]
#[case("in use a moment ago, at most once", idle(200, None), false, true)]
#[case("at rest for long, at most once", idle(1_500, None), false, false)]
#[case("at rest for long, repeatable", idle(1_500, None), true, true)]
#[case("at rest for too long", idle(9_000, None), true, false)]
#[case("well before the announced end", idle(1_000, Some(2)), true, true)]
#[case("near the announced end", idle(1_500, Some(2)), true, false)]
#[case("an announced end of nothing", idle(0, Some(0)), true, false)]
fn a_request_may_be_sent(
    #[case] name: &str,
    #[case] connection: IdleConnection,
    #[case] is_repeatable: bool,
    #[case] expected: bool,
) {
    let connections = ConnectionReuse::default();
    assert_eq!(connections.may_reuse("pool", connection, is_repeatable, NOW), expected, "{name}");
}

#[test]
fn what_replicas_forget_early_is_learned_for_their_service_and_unlearned() {
    let mut connections = ConnectionReuse::default();
    connections.on_stale_connection("pool", Duration::from_secs(3), NOW);
    assert!(!connections.may_reuse("pool", idle(2_000, None), true, NOW), "forgotten at three");
    assert!(connections.may_reuse("pool", idle(1_000, None), true, NOW), "well below it");
    assert!(connections.may_reuse("other", idle(2_000, None), true, NOW), "another service");
    let later = NOW + Duration::from_secs(20);
    assert!(connections.may_reuse("pool", idle(2_000, None), true, later), "not for ever");
}

#[test]
fn a_second_forgetting_at_a_shorter_time_is_believed_too() {
    let mut connections = ConnectionReuse::default();
    connections.on_stale_connection("pool", Duration::from_secs(6), NOW);
    connections.on_stale_connection("pool", Duration::from_secs(2), NOW);
    assert!(!connections.may_reuse("pool", idle(1_100, None), true, NOW));
}

#[test]
fn nothing_is_kept_where_settings_say_so() {
    let mut connections = ConnectionReuse::default();
    connections
        .set_settings(ConnectionSettings { is_enabled: false, ..ConnectionSettings::default() });
    assert!(!connections.may_pool(GOOD));
    assert!(!connections.may_reuse("pool", idle(0, None), true, NOW));
}
