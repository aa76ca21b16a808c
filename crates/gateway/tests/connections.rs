//! Which connections are pooled, and which requests may reuse them.

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

/// Defines a test for each state in which a response leaves its connection.
macro_rules! pooled_after {
    ($($name:ident: $end:expr => $is_pooled:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(ConnectionReuse::default().may_pool($end), $is_pooled);
        }
    )*};
}

pooled_after! {
    a_complete_response_allows_reuse: GOOD => true;
    an_incomplete_request_does_not: ResponseEnd { is_request_sent: false, ..GOOD } => false;
    a_response_without_framing_does_not: ResponseEnd { is_framed: false, ..GOOD } => false;
    a_closing_replica_does_not: ResponseEnd { closes: true, ..GOOD } => false;
    extra_bytes_do_not: ResponseEnd { has_extra_bytes: true, ..GOOD } => false;
}

#[rstest]
#[case("just used, at most once", idle(0, None), false, false)]
#[case("recently used, at most once", idle(200, None), false, false)]
#[case("idle for long, at most once", idle(1_500, None), false, false)]
#[case("recently used, retryable", idle(200, None), true, true)]
#[case("idle for long, retryable", idle(1_500, None), true, true)]
#[case("idle for too long", idle(9_000, None), true, false)]
#[case("well before the announced timeout", idle(1_000, Some(2)), true, true)]
#[case("near the announced timeout", idle(1_500, Some(2)), true, false)]
#[case("an announced timeout of zero", idle(0, Some(0)), true, false)]
fn idle_connections_are_reused_within_their_limits(
    #[case] name: &str,
    #[case] connection: IdleConnection,
    #[case] is_retryable: bool,
    #[case] expected: bool,
) {
    let connections = ConnectionReuse::default();
    assert_eq!(connections.may_reuse("pool", connection, is_retryable, NOW), expected, "{name}");
}

#[test]
fn a_stale_connection_lowers_the_limit_of_its_service_for_a_while() {
    let mut connections = ConnectionReuse::default();
    connections.on_stale_connection("pool", Duration::from_secs(3), NOW);
    assert!(
        !connections.may_reuse("pool", idle(2_000, None), true, NOW),
        "over half of the stale idle time"
    );
    assert!(connections.may_reuse("pool", idle(1_000, None), true, NOW), "below half of it");
    assert!(
        connections.may_reuse("other", idle(2_000, None), true, NOW),
        "another service is not affected"
    );
    let later = NOW + Duration::from_secs(20);
    assert!(connections.may_reuse("pool", idle(2_000, None), true, later), "the limit recovers");
}

#[test]
fn a_second_stale_connection_lowers_the_limit_further() {
    let mut connections = ConnectionReuse::default();
    connections.on_stale_connection("pool", Duration::from_secs(6), NOW);
    connections.on_stale_connection("pool", Duration::from_secs(2), NOW);
    assert!(!connections.may_reuse("pool", idle(1_100, None), true, NOW));
}

#[test]
fn nothing_is_pooled_or_reused_when_disabled() {
    let mut connections = ConnectionReuse::default();
    connections
        .set_settings(ConnectionSettings { is_enabled: false, ..ConnectionSettings::default() });
    assert!(!connections.may_pool(GOOD));
    assert!(!connections.may_reuse("pool", idle(0, None), true, NOW));
}
