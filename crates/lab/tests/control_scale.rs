//! The model of the control plane at size.

use rstest::rstest;
use std::time::Duration;
use topazmount_lab::cli::ControlScaleFlags;
use topazmount_lab::control_scale::{Size, measure};

fn flags() -> ControlScaleFlags {
    ControlScaleFlags { gateways: 20, replicas: 60, members: 5, heartbeat_ms: 1_200, json: true }
}

/// Guards against a model in which the real cores of a small fleet don't recover.
#[test]
fn a_small_fleet_serves_again_after_each_disturbance() {
    let size = Size::from_flags(&flags()).expect("a size in range");
    let (phases, summary) = measure(size);
    for phase in &phases {
        assert!(phase.all_served_after_ms.is_some_and(|time| time < 5_000), "{phase}");
        assert_eq!(phase.crashed_replicas_listed, 0, "{phase}");
    }
    assert_eq!((summary.members_lost, summary.sound_replicas_dropped), (0, 0), "{summary}");
    assert!(summary.busiest_member_peak_mb > 0.0 && summary.gateway_peak_mb > 0.0);
}

/// Scripts read these names.
#[test]
fn the_summary_has_the_fixed_names() {
    let size = Size { gateways: 2, replicas: 4, members: 3, heartbeat: Duration::from_secs(1) };
    let (_, summary) = measure(size);
    let json = serde_json::to_value(&summary).expect("a summary is plain data");
    for name in [
        "busiest_member_peak_mb",
        "busiest_member_cpu_percent",
        "busiest_member_kb_per_s",
        "gateway_peak_mb",
        "gateway_kb_per_s",
        "all_served_after_ms",
    ] {
        assert!(json.get(name).is_some(), "{name}");
    }
}

#[rstest]
#[case::no_gateways(ControlScaleFlags { gateways: 0, ..flags() }, "--gateways")]
#[case::too_many_replicas(ControlScaleFlags { replicas: 100_001, ..flags() }, "--replicas")]
#[case::no_members(ControlScaleFlags { members: 0, ..flags() }, "--members")]
#[case::short_interval(ControlScaleFlags { heartbeat_ms: 1, ..flags() }, "--heartbeat-ms")]
fn a_size_out_of_range_is_refused_with_its_flag(
    #[case] flags: ControlScaleFlags,
    #[case] flag: &str,
) {
    let error = Size::from_flags(&flags).expect_err("the size is out of range");
    assert!(error.to_string().starts_with(flag), "{error}");
}
