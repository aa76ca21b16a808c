//! What a node costs over replicas, tenants and remembered prefixes.

use crate::scale::declared::deployment;
use crate::scale::meter::{resident_bytes, seconds_of};
use std::sync::Arc;
use std::time::Duration;
use topazmount_node::{FinishReason, InForce, Node, NodeInput, NodeOutput, NodeSettingsCore};
use topazmount_routing::LoadReport;
use topazmount_settings::Declarations;
use topazmount_types::{
    AttemptId, ChatRequest, Digest, Endpoint, Incarnation, Priority, RequestId, Time, Usage,
};

/// Requests driven through a node for one point.
const REQUESTS: u64 = 4_000;
/// Blocks of each prompt.
const BLOCKS: usize = 20;
/// Tokens of each answer.
const TOKENS: u32 = 20;
/// Nodes built to measure the memory of one.
const COPIES: usize = 10;
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(23);

/// A node of a deployment.
pub fn node(configuration: &InForce, number: usize) -> Node {
    let settings = NodeSettingsCore {
        name: format!("node-{number}"),
        zone: "zone-0".to_owned(),
        incarnation: Incarnation(number as u64 + 1),
        control: vec![([10, 1, 0, 1], 7_000).into()],
        seed: number as u64,
        tenant_share: 1.0,
    };
    Node::new(settings, configuration.clone(), Time::ZERO)
}

/// Configuration of a generated deployment.
pub fn configuration(replicas: usize, models: usize, tenants: usize) -> InForce {
    InForce::seed(deployment(replicas, models, tenants)).expect("generated text is right")
}

/// A request of a tenant; numbers that differ in `prompt` differ from block 6 on.
pub fn chat(declarations: &Declarations, tenant: usize, prompt: u64) -> ChatRequest {
    let model = &declarations.models[prompt as usize % declarations.models.len()];
    let tenant = declarations.tenants[tenant % declarations.tenants.len()].id;
    let block = |depth: usize| {
        let own = if depth < 6 { 0 } else { prompt };
        Digest::of_parts(&[&tenant.0.to_le_bytes(), &own.to_le_bytes(), &[depth as u8]]).prefix()
    };
    ChatRequest {
        endpoint: Endpoint::Chat,
        tenant,
        model: model.id,
        weights: model.weights,
        priority: Priority::Normal,
        stream: true,
        prompt_tokens: BLOCKS as u32 * 1_000 + 300,
        max_tokens: TOKENS,
        blocks: (0..BLOCKS).map(block).collect(),
        session: prompt,
        body: Arc::from("{}"),
        deadline: Duration::from_secs(30),
    }
}

/// Takes one request through a node: dispatched, accepted, relayed, finished.
pub fn serve(node: &mut Node, now: Time, request: RequestId, chat: ChatRequest, tokens: u32) {
    let outputs = node.step(now, NodeInput::Chat(request, Box::new(chat)));
    let attempt = outputs.iter().find_map(|output| match output {
        NodeOutput::Dispatch(dispatch) => Some(dispatch.attempt),
        _ => None,
    });
    let Some(attempt) = attempt else { return };
    let load = Some(LoadReport { running: 10, waiting: 0, waiting_tokens: 2_000 });
    node.step(now, NodeInput::Accepted { attempt, incarnation: Incarnation(1), load });
    for position in 0..tokens {
        node.step(now, token(attempt, position));
    }
    let usage = Usage { prompt_tokens: 0, cached_tokens: 0, completion_tokens: tokens };
    let reason = FinishReason::Length;
    node.step(now, NodeInput::Finished { attempt, reason, usage, load });
}

fn token(attempt: AttemptId, position: u32) -> NodeInput {
    let cached_tokens = (position == 0).then_some(6_000);
    let text = " token".to_owned();
    NodeInput::Tokens { attempt, position, count: 1, text, cached_tokens }
}

/// Processor time of one request in microseconds, tokens left out, over replicas.
pub fn request_time(replicas: usize, models: usize) -> f64 {
    let configuration = configuration(replicas, models, 20);
    let mut node = node(&configuration, 0);
    let declarations = configuration.declarations.clone();
    let mut drive = |from: u64, requests: u64| {
        for number in from..from + requests {
            let now = Time::ZERO + PAUSE * number as u32;
            let chat = chat(&declarations, number as usize, number % 500);
            serve(&mut node, now, RequestId(number), chat, 1);
        }
    };
    drive(0, REQUESTS / 4);
    seconds_of(|| drive(REQUESTS / 4, REQUESTS)) * 1e6 / REQUESTS as f64
}

/// Processor time of relaying one token in nanoseconds.
pub fn token_time() -> f64 {
    let configuration = configuration(20, 1, 20);
    let mut node = node(&configuration, 0);
    let declarations = configuration.declarations.clone();
    let mut drive = |tokens: u32, from: u64| {
        seconds_of(|| {
            for number in from..from + 200 {
                let now = Time::ZERO + PAUSE * number as u32;
                let mut chat = chat(&declarations, 0, number);
                chat.max_tokens = tokens;
                serve(&mut node, now, RequestId(number), chat, tokens);
            }
        })
    };
    let (few, many) = (drive(1, 0), drive(1_001, 1_000));
    (many - few) * 1e9 / (200.0 * 1_000.0)
}

/// Memory of one node in bytes, with all tenants active and texts of its own.
pub fn node_memory(replicas: usize, tenants: usize) -> f64 {
    let source = deployment(replicas, 7, tenants);
    let before = resident_bytes();
    let nodes: Vec<Node> = (0..COPIES)
        .map(|number| {
            let configuration = InForce::seed(source.clone()).expect("generated text is right");
            let mut node = node(&configuration, number);
            for tenant in 0..tenants {
                let chat = chat(&configuration.declarations, tenant, 0);
                serve(&mut node, Time::ZERO, RequestId(tenant as u64), chat, 1);
            }
            node
        })
        .collect();
    let bytes = (resident_bytes() - before) / nodes.len() as f64;
    // Kept, so that the next measure does not use the same memory again.
    std::mem::forget(nodes);
    bytes
}

/// Memory of one node in bytes over remembered blocks.
pub fn view_memory(prompts: u64) -> (f64, f64) {
    let configuration = configuration(100, 1, 1);
    let before = resident_bytes();
    let mut blocks = 0;
    let nodes: Vec<Node> = (0..COPIES)
        .map(|number| {
            let mut node = node(&configuration, number);
            for prompt in 0..prompts {
                let now = Time::ZERO + PAUSE * prompt as u32;
                let chat = chat(&configuration.declarations, 0, prompt);
                serve(&mut node, now, RequestId(prompt), chat, 1);
            }
            blocks = node.engines().cached_blocks();
            node
        })
        .collect();
    let bytes = (resident_bytes() - before) / nodes.len() as f64;
    std::mem::forget(nodes);
    (blocks as f64, bytes)
}

/// Processor time of putting a configuration of this size in force, in milliseconds, and its bytes.
pub fn configure_time(replicas: usize, tenants: usize) -> (f64, f64) {
    let source = deployment(replicas, 7, tenants);
    let bytes = source.size() as f64;
    let seconds = seconds_of(|| {
        let configuration = InForce::seed(source.clone()).expect("generated text is right");
        drop(node(&configuration, 0));
    });
    (bytes, seconds * 1_000.0)
}
