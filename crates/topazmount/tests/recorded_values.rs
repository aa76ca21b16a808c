//! Encodings of the plain values of messages, compared with recorded bytes: another build must be
//! able to read them. Covers the serialized types of types, admission, routing and settings.

use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;
use std::fmt::{Debug, Write};
use std::time::Duration;
use topazmount_admission::{Pushback, RequestLimit};
use topazmount_routing::{LoadReport, PolicyCounters, ReplicaStatus};
use topazmount_settings::{FileDelta, SourceFiles};
use topazmount_types::{
    ActionCall, ActionKey, AttemptId, ChatRequest, Digest, Endpoint, ErrorKind, Incarnation,
    Instance, ModelId, NodeId, Priority, Refusal, ReplicaId, RequestDigest, RequestId, Revision,
    RunState, Start, TenantId, Time, Usage, WeightsVersion, ZoneId,
};

const RECORDED: &str = include_str!("recorded_values/encodings.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = |position| u8::from_str_radix(&text[position..position + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(digits).collect()
}

/// Encoded samples, one line each: name, encoding with field names, encoding without them, JSON.
#[derive(Default)]
struct Encodings(Vec<String>);

impl Encodings {
    /// Encodes a sample, and decodes the recorded encodings of the same name.
    fn add<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, value: &T) {
        let named = rmp_serde::to_vec_named(value).unwrap();
        let positional = rmp_serde::to_vec(value).unwrap();
        let json = serde_json::to_string(value).unwrap();
        self.0.push(format!("{name}\t{}\t{}\t{json}", hex(&named), hex(&positional)));
        for line in RECORDED.lines().filter(|line| line.split('\t').next() == Some(name)) {
            let recorded: Vec<&str> = line.split('\t').skip(1).collect();
            for packed in &recorded[..2] {
                let decoded: T = rmp_serde::from_slice(&unhex(packed)).unwrap();
                assert_eq!(decoded, *value, "{name}");
            }
            assert_eq!(serde_json::from_str::<T>(recorded[2]).unwrap(), *value, "{name}");
        }
    }
}

fn instance(start: Start) -> Instance {
    Instance {
        id: "i-1".to_owned(),
        service: "chat".to_owned(),
        address: "10.0.0.1:8000".to_owned(),
        zone: "north".to_owned(),
        slots: 4,
        is_draining: true,
        changed_at: 12,
        start,
        software: String::new(),
    }
}

fn add_requests(encodings: &mut Encodings) {
    let chat = ChatRequest {
        endpoint: Endpoint::Text,
        tenant: TenantId(1),
        model: ModelId(2),
        weights: WeightsVersion(3),
        priority: Priority::Batch,
        stream: true,
        prompt_tokens: 4,
        max_tokens: 5,
        blocks: [6, 7].into(),
        session: 8,
        body: "{}".into(),
        deadline: Duration::from_millis(9_010),
    };
    encodings.add("chat_request", &chat);
    let call = ActionCall {
        tenant: TenantId(1),
        key: Digest(2),
        key_text: "key".into(),
        service: "service".into(),
        operation: "operation".into(),
        body: "{}".into(),
        deadline: Duration::from_millis(9_010),
    };
    encodings.add("action_call", &call);
    encodings.add("endpoints", &vec![Endpoint::Chat, Endpoint::Text]);
    encodings.add("priorities", &Priority::ALL.to_vec());
    let usage = Usage { prompt_tokens: 1, cached_tokens: 2, completion_tokens: 3 };
    encodings.add("usage", &usage);
}

#[test]
fn encodings_match_the_recorded_bytes() {
    let mut encodings = Encodings::default();
    encodings.add("tenant", &TenantId(1));
    encodings.add("model", &ModelId(2));
    encodings.add("replica", &ReplicaId(u64::MAX));
    encodings.add("zone", &ZoneId(4));
    encodings.add("node", &NodeId(5));
    encodings.add("incarnation", &Incarnation(6));
    encodings.add("weights", &WeightsVersion(7));
    encodings.add("revision", &Revision(8));
    encodings.add("request", &RequestId(9));
    encodings.add("attempt", &AttemptId(10));
    encodings.add("digest", &Digest(0x0123_4567_89ab_cdef_0123_4567_89ab_cdef));
    encodings.add("request_digest", &RequestDigest(11));
    encodings.add("action_key", &ActionKey { tenant: TenantId(1), key: Digest(2) });
    encodings.add("time", &Time(1_234_567));
    encodings.add("start", &Start(1_700_000_000_000));
    encodings.add("instance", &instance(Start(1_700_000_000_000)));
    encodings.add("instance_of_unknown_start", &instance(Start(0)));
    encodings.add("run_states", &vec![RunState::NotRun, RunState::Ran, RunState::Unknown]);
    // Kinds that the first recorded builds don't know.
    let later = [ErrorKind::UnknownStream, ErrorKind::SoftwareGone];
    let newest = [ErrorKind::SuspectedOfCrashes];
    let is_first = |kind: &&ErrorKind| !later.contains(kind) && !newest.contains(kind);
    let known = ErrorKind::ALL.iter().filter(is_first);
    encodings.add("error_kinds", &known.copied().collect::<Vec<ErrorKind>>());
    encodings.add("error_kinds_of_streams", &later.to_vec());
    encodings.add("error_kinds_of_trials", &newest.to_vec());
    let refusal = Refusal {
        kind: ErrorKind::Overloaded,
        message: "too much work".to_owned(),
        run: RunState::NotRun,
        retry_after: Some(Duration::from_millis(2_500)),
    };
    encodings.add("refusal", &refusal);
    add_requests(&mut encodings);
    let pushback = |rest, is_leaving| Pushback { backoff: rest, is_leaving, ..Pushback::default() };
    encodings.add("pushback", &pushback(Some(Duration::from_millis(1_500)), true));
    encodings.add("no_pushback", &pushback(None, false));
    encodings.add("request_limit", &RequestLimit::per_second(2.5));
    encodings.add("load", &LoadReport { running: 1, waiting: 2, waiting_tokens: 3 });
    encodings.add("evidence", &vec![ReplicaStatus::Live, ReplicaStatus::Leaving]);
    let counters = PolicyCounters {
        decided: 1,
        refused: 2,
        failures: BTreeMap::from([("failed".to_owned(), 3)]),
        shadowed: 4,
        agreed: 5,
        prompt_tokens: 6,
        cached_tokens: 7,
        first_token_ms_sum: 8.5,
        first_token_ms_squares: 9.5,
        first_tokens: 10,
    };
    encodings.add("policy_counters", &counters);
    let files = BTreeMap::from([("deployment.toml".to_owned(), "name = 1".to_owned())]);
    encodings.add("source_files", &SourceFiles(files));
    let delta = |middle| FileDelta {
        name: "deployment.toml".to_owned(),
        prefix_bytes: 1,
        suffix_bytes: 2,
        replacement: middle,
    };
    encodings.add("file_deltas", &vec![delta(Some("x".to_owned())), delta(None)]);
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(encodings.0, recorded);
}
