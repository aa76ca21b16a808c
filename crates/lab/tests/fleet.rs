//! Failures of real processes: kill, freeze, drain, lost disk.

mod common;

use common::{
    TestFleet, api_key, bearer, block_on, chat_body, content_with_long_answer, expected_answer,
};
use http_types::Method;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};
use topazmount_lab::client::{self, PlainAnswer, StreamedAnswer};
use topazmount_lab::fleet::wait_for_port;

/// Tokens of long answers.
const LONG: u32 = 100;
/// Time after which a test gives up; it asserts nothing about speed.
const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(100);

fn call(address: SocketAddr, key: &str) -> Option<PlainAnswer> {
    let headers = [("authorization", bearer()), ("idempotency-key", key.to_owned())];
    let headers = headers.each_ref().map(|(name, value)| (*name, value.as_str()));
    let path = "/v1/actions/orders/place";
    let body = json!({ "order": key });
    block_on(client::call(address, Method::Post, path, &headers, Some(&body))).ok()
}

/// Sends a call until it has its result, from either node.
fn call_until_done(running: &TestFleet, key: &str) -> PlainAnswer {
    let started = Instant::now();
    let zones = ["east", "west"];
    for try_number in 0.. {
        let answer = call(running.node(zones[try_number % 2]), key);
        if let Some(answer) = answer.filter(|answer| answer.status == 200) {
            return answer;
        }
        assert!(started.elapsed() < PATIENCE, "{key} never had a result");
        std::thread::sleep(POLL);
    }
    unreachable!("the loop has no end")
}

fn runs(running: &TestFleet) -> Value {
    let application = running.fleet.addresses.replicas["orders-1"];
    block_on(client::call(application, Method::Get, "/runs", &[], None)).unwrap().body
}

fn busy_engine(running: &TestFleet) -> String {
    let engines = (1..=3).map(|number| format!("engine-{number}"));
    let is_busy = |name: &String| {
        let address = running.fleet.addresses.replicas[name];
        let load = block_on(client::call(address, Method::Get, "/load", &[], None)).unwrap();
        load.body["running"].as_u64() > Some(0)
    };
    engines.into_iter().find(is_busy).expect("an engine is at work")
}

/// A long stream in the middle of which something is done.
fn stream_while(
    node: SocketAddr,
    content: &str,
    mut at_tenth: impl FnMut(),
) -> eyre::Result<StreamedAnswer> {
    let mut is_done = false;
    block_on(client::chat_with(node, &api_key(), &chat_body(content, LONG), |answer| {
        if answer.chunks >= 10 && !std::mem::replace(&mut is_done, true) {
            at_tenth();
        }
        true
    }))
}

fn status(running: &TestFleet) -> Vec<Value> {
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_topazmount-lab"));
    let program = topazmount_lab::fleet::sibling_program(program).unwrap();
    let mut command = Command::new(program);
    command.args(["status", "--json", "--key-file"]).arg(running.fleet.key_file());
    for address in running.fleet.control.values() {
        command.args(["--control", &address.to_string()]);
    }
    let output = command.output().unwrap().stdout;
    let lines = String::from_utf8(output).unwrap();
    lines.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

fn leader(running: &TestFleet) -> Option<String> {
    let rows = status(running);
    let row = rows.into_iter().find(|row| row["leader"] == true)?;
    row["control"].as_str().map(str::to_owned)
}

fn until<T>(what: &str, mut find: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(found) = find() {
            return found;
        }
        assert!(started.elapsed() < PATIENCE, "never came about: {what}");
        std::thread::sleep(POLL);
    }
}

#[test]
fn an_answer_goes_on_when_its_engine_is_killed() {
    let mut running = TestFleet::start("engine_killed");
    let content = content_with_long_answer("engine", LONG);
    let node = running.node("east");
    let mut killed = None;
    let answer = stream_while(node, &content, || {
        let name = busy_engine(&running);
        running.fleet.kill(&name).unwrap();
        killed = Some(name);
    })
    .unwrap();
    assert!(killed.is_some());
    assert!(answer.is_done, "{answer:?}");
    assert_eq!(answer.text, expected_answer(&content, LONG));
}

#[test]
fn an_answer_goes_on_when_its_engine_freezes() {
    let running = TestFleet::start("engine_frozen");
    let content = content_with_long_answer("frozen", LONG);
    let mut frozen = None;
    let answer = stream_while(running.node("east"), &content, || {
        let name = busy_engine(&running);
        running.fleet.signal(&name, Signal::STOP).unwrap();
        frozen = Some(name);
    })
    .unwrap();
    running.fleet.signal(&frozen.unwrap(), Signal::CONT).unwrap();
    assert!(answer.is_done, "{answer:?}");
    assert_eq!(answer.text, expected_answer(&content, LONG));
}

#[test]
fn a_caller_that_goes_away_frees_the_engine() {
    let running = TestFleet::start("caller_gone");
    let content = content_with_long_answer("gone", LONG);
    let node = running.node("east");
    let body = chat_body(&content, LONG);
    let answer = block_on(client::chat_with(node, &api_key(), &body, |answer| answer.chunks < 3));
    assert!(answer.unwrap().chunks < LONG);
    until("all engines are idle", || {
        let is_idle = |number: u32| {
            let address = running.fleet.addresses.replicas[&format!("engine-{number}")];
            let load = block_on(client::call(address, Method::Get, "/load", &[], None)).ok()?;
            (load.body["running"] == 0).then_some(())
        };
        (1..=3).map(is_idle).collect::<Option<Vec<()>>>()
    });
}

#[test]
fn calls_run_once_while_the_leader_is_frozen_and_thawed() {
    let running = TestFleet::start("leader_frozen");
    call_until_done(&running, "before");
    let leader = until("a leader", || leader(&running));
    running.fleet.signal(&leader, Signal::STOP).unwrap();
    for number in 0..5 {
        call_until_done(&running, &format!("during-{number}"));
    }
    running.fleet.signal(&leader, Signal::CONT).unwrap();
    call_until_done(&running, "after");
    let counts = runs(&running);
    let counts = counts.as_object().unwrap();
    assert_eq!(counts.len(), 7);
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
}

#[test]
fn a_killed_node_loses_no_call_and_starts_again() {
    let mut running = TestFleet::start("node_killed");
    call_until_done(&running, "first");
    let east = running.node("east");
    let content = content_with_long_answer("killed", LONG);
    let broken = stream_while(east, &content, || running.fleet.kill("node-east").unwrap());
    assert!(broken.is_ok_and(|answer| !answer.is_done), "no end mark after the node died");
    assert_eq!(call_until_done(&running, "first").body["run"], 1);
    running.fleet.start_node("node-east").unwrap();
    wait_for_port(east).unwrap();
    let answer = block_on(client::chat(east, &api_key(), &chat_body("hello", 5))).unwrap();
    assert_eq!(answer.text, expected_answer("hello", 5));
}

#[test]
fn a_drain_under_load_cuts_nothing() {
    let mut running = TestFleet::start("drain");
    let node = running.node("east");
    let streams: Vec<_> = (0..40)
        .map(|number| {
            let content = content_with_long_answer(&format!("drain {number}"), LONG);
            std::thread::spawn(move || {
                let answer = block_on(client::chat(node, &api_key(), &chat_body(&content, LONG)));
                (content, answer.unwrap())
            })
        })
        .collect();
    until("streams are open", || {
        let metrics = block_on(client::call(node, Method::Get, "/metrics", &[], None)).ok()?;
        let text = metrics.body.as_str()?.to_owned();
        let line = text.lines().find(|line| line.starts_with("topazmount_open_requests "))?;
        (line.split(' ').nth(1)?.parse::<f64>().ok()? >= 40.0).then_some(())
    });
    let status = running.fleet.stop("node-east", PATIENCE).unwrap();
    for stream in streams {
        let (content, answer) = stream.join().unwrap();
        assert!(answer.is_done, "{answer:?}");
        assert_eq!(answer.text, expected_answer(&content, LONG));
    }
    assert_eq!(status, 0);
}

#[test]
fn restarted_nodes_serve_without_control() {
    let mut running = TestFleet::start("herd");
    let kept = |name: &str| running.fleet.data_folder(name).join("configuration");
    let files = ["node-east", "node-west"].map(kept);
    until("nodes have kept the configuration", || {
        files.iter().all(|file| file.exists()).then_some(())
    });
    for name in ["control-1", "control-2", "control-3", "node-east", "node-west"] {
        running.fleet.kill(name).unwrap();
    }
    for name in ["node-east", "node-west"] {
        running.fleet.start_node(name).unwrap();
    }
    for zone in ["east", "west"] {
        wait_for_port(running.node(zone)).unwrap();
        let body = chat_body("hello", 5);
        let answer = block_on(client::chat(running.node(zone), &api_key(), &body)).unwrap();
        assert_eq!(answer.text, expected_answer("hello", 5));
    }
    // A call that must not run twice is refused, truthfully, while nothing can record it.
    let answer = call(running.node("east"), "unrecorded").unwrap();
    assert_eq!(answer.body["error"]["run"], "not_run", "{answer:?}");
    assert_eq!(runs(&running), json!({}));
}

#[test]
fn a_lost_disk_is_replaced_and_then_another() {
    let mut running = TestFleet::start("lost_disk");
    let mut done = vec!["first".to_owned()];
    call_until_done(&running, "first");
    for member in ["control-2", "control-3"] {
        running.fleet.kill(member).unwrap();
        std::fs::remove_dir_all(running.fleet.data_folder(member)).unwrap();
        running.fleet.start_control_member(member, false).unwrap();
        until("three voters again, all answering", || {
            let rows = status(&running);
            let is_whole = |row: &Value| row["voters"] == 3 && row["learners"] == 0;
            let have_all = rows.iter().filter(|row| row["control"].is_string()).count() == 3;
            (have_all && rows.iter().filter(|row| row["control"].is_string()).all(is_whole))
                .then_some(())
        });
        done.push(format!("after {member}"));
        call_until_done(&running, done.last().unwrap());
    }
    for key in &done {
        assert_eq!(call_until_done(&running, key).body["run"], 1);
    }
    let counts = runs(&running);
    assert!(counts.as_object().unwrap().values().all(|count| *count == 1), "{counts}");
}
