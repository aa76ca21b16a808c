//! What tests with real processes share.

#![allow(dead_code)]

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use topazmount_lab::engine::{answer_length, answer_text};
use topazmount_lab::fleet::{Fleet, FleetOptions, sibling_program};
use topazmount_lab::local::lab_key;
use topazmount_types::Digest;

/// Model of the small deployment.
pub const MODEL: &str = "small-model";

/// A fleet in a folder that is removed when the test ends, unless it failed.
pub struct TestFleet {
    pub fleet: Fleet,
    folder: PathBuf,
}

impl TestFleet {
    /// Three control members, two nodes, three engines, one application.
    pub fn start(test: &str) -> TestFleet {
        // Two runs of the tests must not share a folder: the one that ends removes it.
        let name = format!("{test}-{}", std::process::id());
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&folder);
        let lab_program = PathBuf::from(env!("CARGO_BIN_EXE_topazmount-lab"));
        let options = FleetOptions {
            deployment: Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/small"),
            folder: folder.clone(),
            program: sibling_program(&lab_program).unwrap(),
            lab_program,
            control_members: 3,
            nodes_per_zone: 1,
        };
        TestFleet { fleet: Fleet::start(options).unwrap(), folder }
    }

    pub fn node(&self, zone: &str) -> SocketAddr {
        self.fleet.nodes[&format!("node-{zone}")]
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn block_on<T>(future: impl std::future::Future<Output = T>) -> T {
    async_io::block_on(future)
}

pub fn api_key() -> String {
    lab_key("alpha")
}

pub fn bearer() -> String {
    format!("Bearer {}", api_key())
}

/// A streamed chat request of one message.
pub fn chat_body(content: &str, max_tokens: u32) -> Value {
    json!({
        "model": MODEL, "stream": true, "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": content }],
    })
}

/// The answer that the stand-in engines give to it.
pub fn expected_answer(content: &str, max_tokens: u32) -> String {
    let prompt = Digest::of(format!("user\n{content}\n").as_bytes());
    answer_text(prompt, answer_length(prompt).min(max_tokens))
}

/// Content whose answer has at least `tokens` tokens.
pub fn content_with_long_answer(seed: &str, tokens: u32) -> String {
    let contents = (0..).map(|number| format!("{seed} {number}"));
    let is_long = |content: &String| {
        answer_length(Digest::of(format!("user\n{content}\n").as_bytes())) >= tokens
    };
    contents.into_iter().find(is_long).unwrap()
}
