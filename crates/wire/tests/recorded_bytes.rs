//! Greetings, frames, datagrams and compressed payloads, compared with recorded bytes: another
//! build must be able to read them.

use std::fmt::Write;
use topazmount_wire::{
    ClusterKey, HELLO_LENGTH, Hello, LENGTH_PREFIX, ProtocolVersion, Role, compress, decompress,
    encode_datagram, encode_payload, frame_length, open_datagram, seal_datagram, session_keys,
};

const RECORDED: &str = include_str!("recorded_bytes/encodings.txt");
/// A payload that is long enough to be compressed.
const LARGE: [u8; 2_000] = [7; 2_000];

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

fn recorded(name: &str) -> Vec<u8> {
    let line = RECORDED.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
    let text = line.unwrap_or_else(|| panic!("{name} is not recorded"));
    let digits = |position| u8::from_str_radix(&text[position..position + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(digits).collect()
}

fn key() -> ClusterKey {
    ClusterKey::from_text(" cluster key\n")
}

fn greetings(form: ProtocolVersion) -> (Hello, Hello) {
    (Hello::with_version(form, [1; 16]), Hello::with_version(form, [2; 16]))
}

/// Two frames of each direction.
fn frames(form: ProtocolVersion) -> Vec<Vec<u8>> {
    let (client, server) = greetings(form);
    let (mut to_server, _) = session_keys(&key(), Role::Client, &client, &server);
    let (mut to_client, _) = session_keys(&key(), Role::Server, &client, &server);
    [&mut to_server, &mut to_client]
        .into_iter()
        .flat_map(|sealer| [sealer.seal(b"first").unwrap(), sealer.seal(b"second").unwrap()])
        .collect()
}

#[test]
fn encodings_match_the_recorded_bytes() {
    let mut lines = Vec::new();
    let mut add = |name: &str, bytes: &[u8]| lines.push(format!("{name} {}", hex(bytes)));
    for (name, form) in [("unnamed", ProtocolVersion::Legacy), ("named", ProtocolVersion::Named)] {
        add(&format!("greeting_{name}"), &greetings(form).0.encode());
        for (number, frame) in frames(form).iter().enumerate() {
            add(&format!("frame_{name}_{number}"), frame);
        }
    }
    add("datagram", &seal_datagram(&key(), ProtocolVersion::LATEST, b"payload"));
    add("payload", &encode_payload(&(7u64, "text")).unwrap());
    add("payload_of_datagram", &encode_datagram(&(7u64, "text")).unwrap());
    add("plain", &compress(b"small"));
    add("deflated", &compress(&LARGE));
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(lines, recorded);
}

#[test]
fn recorded_bytes_are_read_back() {
    for (name, form) in [("unnamed", ProtocolVersion::Legacy), ("named", ProtocolVersion::Named)] {
        let greeting: [u8; HELLO_LENGTH] =
            recorded(&format!("greeting_{name}")).try_into().unwrap();
        assert_eq!(Hello::decode(&greeting).unwrap(), greetings(form).0);
        let (client, server) = greetings(form);
        let (_, at_server) = session_keys(&key(), Role::Server, &client, &server);
        let (_, at_client) = session_keys(&key(), Role::Client, &client, &server);
        for (first, mut opener) in [(0, at_server), (2, at_client)] {
            for (number, payload) in [(first, &b"first"[..]), (first + 1, &b"second"[..])] {
                let frame = recorded(&format!("frame_{name}_{number}"));
                let (prefix, body) = frame.split_first_chunk::<LENGTH_PREFIX>().unwrap();
                assert_eq!(frame_length(*prefix).unwrap(), body.len());
                assert_eq!(opener.open(body).unwrap(), payload);
            }
        }
    }
    let datagram = recorded("datagram");
    let (version, payload) = open_datagram(&key(), &datagram).unwrap();
    assert_eq!((version, payload), (ProtocolVersion::LATEST, &b"payload"[..]));
    assert_eq!(decompress(&recorded("plain")).unwrap(), b"small");
    assert_eq!(decompress(&recorded("deflated")).unwrap(), LARGE);
}
