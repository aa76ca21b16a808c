//! Settings of a fleet's processes are validated; each error names the invalid key.

use rstest::rstest;
use std::time::Duration;
use topazmount::fleet::FleetSettings;
use topazmount_routing::PolicyTable;

const VALID: &str = r#"
name = "edge-1"
zone = "north"
region = "here"
cluster_key = "secret"
peer_port = 7340
seeds = ["10.1.0.33:8783", "10.2.0.24:8783"]
[listen]
clients = "10.1.0.30:8782"
[bounds]
stop_s = 8
revocation_ms = 5000
lease_ms = 3000
spread_ms = 8000
retry_ratio = 0.2
retry_slack = 54
retry_window_s = 10
[[policy]]
name = "nearest"
file = "/nowhere.rhai"
share = 0.5
"#;

#[test]
fn valid_settings_are_parsed() {
    let settings = FleetSettings::parse(VALID).unwrap();
    assert_eq!(settings.stop_timeout(), Duration::from_secs(8));
    assert_eq!(settings.gateway_settings().max_revocation_delay, Some(Duration::from_secs(5)));
    let peers: Vec<String> =
        settings.seed_peer_addresses().iter().map(ToString::to_string).collect();
    assert_eq!(peers, ["10.1.0.33:7340", "10.2.0.24:7340"]);
    let without_limit = VALID.replace("revocation_ms = 5000", "revocation_ms = 0");
    assert_eq!(
        FleetSettings::parse(&without_limit).unwrap().gateway_settings().max_revocation_delay,
        None
    );
}

#[test]
fn control_and_gateways_use_the_same_pushback_limits() {
    let tables = "[pushback]\nlongest_rest_s = 5\n[rollout]\nfirst_load_ms = 700\n[[policy]]";
    let settings = FleetSettings::parse(&VALID.replace("[[policy]]", tables)).unwrap();
    assert_eq!(settings.rollout_settings().pushback.max_backoff, Duration::from_secs(5));
    assert_eq!(settings.rollout_settings().pushback, settings.gateway_settings().pushback);
    assert_eq!(settings.rollout_settings().initial_load_time, Duration::from_millis(700));
}

#[rstest]
#[case("name = \"edge-1\"", "name = \"\"", "name")]
#[case("cluster_key = \"secret\"", "cluster_key = \"\"", "cluster_key")]
#[case("cluster_key = \"secret\"", "", "cluster_key")]
#[case("seeds = [\"10.1.0.33:8783\", \"10.2.0.24:8783\"]", "seeds = []", "seeds")]
#[case("10.1.0.33:8783", "nowhere", "seeds")]
#[case("peer_port = 7340", "peer_port = 70000", "peer_port")]
#[case("stop_s = 8", "stop_s = -1", "stop_s")]
#[case("retry_ratio = 0.2", "retry_ratio = -0.2", "retry_ratio")]
#[case("retry_ratio = 0.2", "retry_ratio = nan", "retry_ratio")]
#[case("retry_slack = 54", "retry_slack = \"many\"", "retry_slack")]
#[case("stop_s = 8", "stop_s = 8\nquota_window_s = 0", "quota_window_s")]
#[case("stop_s = 8", "stop_s = 8\nquota_window_s = 1e300", "quota_window_s")]
#[case("stop_s = 8", "stop_s = 8\nquota_overrun = -0.1", "quota_overrun")]
#[case("stop_s = 8", "stop_s = 8\nquota_slack = nan", "quota_slack")]
#[case("[[policy]]", "[pushback]\nlongest_rest_s = -1\n[[policy]]", "pushback.longest_rest_s")]
#[case("[[policy]]", "[rollout]\nfirst_load_ms = 0\n[[policy]]", "rollout.first_load_ms")]
#[case("[[policy]]", "[rollout]\nleast_serving = 1.1\n[[policy]]", "rollout.least_serving")]
#[case("[[policy]]", "[rollout]\nusually_loading = -1\n[[policy]]", "rollout.usually_loading")]
#[case("[[policy]]", "[rollout]\nleast_serving = nan\n[[policy]]", "rollout.least_serving")]
#[case("zone = \"north\"", "zone = \"north\"\nzome = \"x\"", "zome")]
#[case("share = 0.5", "share = 1.5", "policy.share")]
#[case("name = \"nearest\"", "name = \"built-in\"", "policy.name")]
fn errors_name_the_invalid_key(
    #[case] original: &str,
    #[case] replacement: &str,
    #[case] key: &str,
) {
    assert!(VALID.contains(original), "{original}");
    let error = FleetSettings::parse(&VALID.replacen(original, replacement, 1)).unwrap_err();
    assert!(format!("{error:#}").contains(key), "{error:#}");
}

#[test]
fn errors_name_an_unreadable_policy_file() {
    let settings = FleetSettings::parse(VALID).unwrap();
    let error = settings.load_policies(&mut PolicyTable::default()).unwrap_err();
    assert!(format!("{error:#}").contains("/nowhere.rhai"), "{error:#}");
}
