//! A member tells what its messages cost, by kind.

use futures_lite::future::block_on;
use std::sync::Arc;
use std::time::Duration;
use topazmount::Executor;
use topazmount::control_client::ControlClient;
use topazmount::control_process::{ControlOptions, start};
use topazmount::message_meter::{MessageTotals, Way};
use topazmount_control::{FleetRequest, Request, SeenVersions, WatchRequest};
use topazmount_settings::{ControlSettings, Peer, SourceFiles};
use topazmount_wire::ClusterKey;

const ASKED: u64 = 5;

#[test]
fn what_a_watcher_asks_and_is_told_is_counted_by_kind() {
    let executor: Executor = Arc::new(async_executor::Executor::new());
    let running = executor.clone();
    std::thread::spawn(move || {
        async_io::block_on(running.run(futures_lite::future::pending::<()>()));
    });
    let folder = std::env::temp_dir().join(format!("topazmount-meter-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let settings = ControlSettings {
        name: address.to_string(),
        internal_address: address,
        data_folder: folder,
        declarations: "none".into(),
        cluster_key_file: "none".into(),
        initial_members: vec![Peer { name: address.to_string(), address }],
    };
    let key = ClusterKey::from_text("test");
    let options = ControlOptions {
        settings,
        form_group: true,
        source: SourceFiles::default(),
        key: key.clone(),
        rollout: Default::default(),
        heartbeat_interval: topazmount_control::DEFAULT_HEARTBEAT_INTERVAL,
        actions: None,
    };
    let member = block_on(start(&executor, options)).unwrap();
    let client = ControlClient::new(&executor, address, key);
    for _ in 0..ASKED {
        let watch = WatchRequest {
            gateway: None,
            seen: SeenVersions::default(),
            accepts_packed: false,
            wants_gateways: false,
            wait: Duration::ZERO,
            crashes: Default::default(),
            notices: Vec::new(),
        };
        let request = Request::Fleet(FleetRequest::Watch(watch));
        block_on(client.ask(request, Duration::from_secs(5))).unwrap();
    }
    let totals = member.local().meter().totals();
    let of = |way: Way, is: fn(&str) -> bool| -> Vec<MessageTotals> {
        totals
            .iter()
            .filter(|((other, kind), _)| *other == way && is(kind))
            .map(|(_, total)| *total)
            .collect()
    };
    let asked = of(Way::In, |kind| kind == "watch");
    let told = of(Way::Out, |kind| kind.starts_with("view_"));
    assert_eq!(asked.iter().map(|total| total.count).sum::<u64>(), ASKED, "{totals:?}");
    assert!(told.iter().map(|total| total.count).sum::<u64>() >= ASKED - 1, "{totals:?}");
    assert!(asked.iter().chain(&told).all(|total| total.bytes > 0), "{totals:?}");
    assert!(of(Way::Step, |_| true)[0].count >= ASKED, "{totals:?}");
}
