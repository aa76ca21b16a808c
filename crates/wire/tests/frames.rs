//! Frames with wrong keys, replays, damage and random bytes.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use topazmount_wire::{
    ClusterKey, HELLO_LENGTH, Hello, LENGTH_PREFIX, Opener, Role, Sealer, decode_payload,
    encode_payload, frame_length, session_keys,
};

fn pair(left: &ClusterKey, right: &ClusterKey) -> (Sealer, Opener) {
    let (client, server) = (Hello::new([1; 16]), Hello::new([2; 16]));
    let (sealer, _) = session_keys(left, Role::Client, &client, &server);
    let (_, opener) = session_keys(right, Role::Server, &client, &server);
    (sealer, opener)
}

fn key(text: &str) -> ClusterKey {
    ClusterKey::from_text(text)
}

#[test]
fn a_frame_is_accepted_once() {
    let (mut sealer, mut opener) = pair(&key("k"), &key("k"));
    let first = sealer.seal(b"first").unwrap();
    let second = sealer.seal(b"second").unwrap();
    assert_eq!(opener.open(&first[LENGTH_PREFIX..]).unwrap(), b"first");
    assert!(opener.open(&first[LENGTH_PREFIX..]).is_err(), "a replay");
    let _ = second;
}

#[test]
fn a_frame_of_another_key_is_rejected() {
    let (mut sealer, mut opener) = pair(&key("k"), &key("other"));
    let frame = sealer.seal(b"payload").unwrap();
    assert!(opener.open(&frame[LENGTH_PREFIX..]).is_err());
}

#[test]
fn a_reflected_frame_is_rejected() {
    let (client, server) = (Hello::new([1; 16]), Hello::new([2; 16]));
    let (mut sealer, mut opener) = session_keys(&key("k"), Role::Client, &client, &server);
    let frame = sealer.seal(b"payload").unwrap();
    assert!(opener.open(&frame[LENGTH_PREFIX..]).is_err());
}

/// Runs the same cases each time.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn random_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let (_, mut opener) = pair(&key("k"), &key("k"));
        prop_assert!(opener.open(&bytes).is_err());
    }

    #[test]
    fn a_modified_frame_is_rejected(position in 0usize..20, change in 1u8..) {
        let (mut sealer, mut opener) = pair(&key("k"), &key("k"));
        let mut frame = sealer.seal(b"some payload").unwrap();
        let body = &mut frame[LENGTH_PREFIX..];
        let index = position % body.len();
        body[index] ^= change;
        prop_assert!(opener.open(body).is_err());
    }

    #[test]
    fn lengths_are_bounded(prefix in any::<[u8; LENGTH_PREFIX]>()) {
        if let Ok(length) = frame_length(prefix) {
            prop_assert!(length <= topazmount_wire::MAX_FRAME);
        }
    }

    #[test]
    fn decoding_a_random_handshake_does_not_panic(bytes in any::<[u8; 32]>()) {
        let mut hello = [0u8; HELLO_LENGTH];
        let count = bytes.len().min(HELLO_LENGTH);
        hello[..count].copy_from_slice(&bytes[..count]);
        let _ = Hello::decode(&hello);
    }

    #[test]
    fn payloads_round_trip(text in ".{0,60}", number in any::<u64>()) {
        let bytes = encode_payload(&(number, text.clone())).unwrap();
        prop_assert_eq!(decode_payload::<(u64, String)>(&bytes).unwrap(), (number, text));
    }

    #[test]
    fn decoding_a_random_payload_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..100)) {
        let _ = decode_payload::<(u64, String)>(&bytes);
    }
}

#[test]
fn datagrams_of_other_keys_and_modified_datagrams_are_rejected() {
    use topazmount_wire::{FrameError, ProtocolVersion, open_datagram, seal_datagram};
    let (key, other) = (ClusterKey::from_text("one"), ClusterKey::from_text("other"));
    let datagram = seal_datagram(&key, ProtocolVersion::LATEST, b"data");
    assert_eq!(open_datagram(&key, &datagram).unwrap(), (ProtocolVersion::LATEST, &b"data"[..]));
    assert_eq!(open_datagram(&other, &datagram), Err(FrameError::Authentication));
    for position in 0..datagram.len() {
        let mut altered = datagram.clone();
        altered[position] ^= 1;
        assert!(open_datagram(&key, &altered).is_err(), "byte {position}");
        assert!(open_datagram(&key, &datagram[..position]).is_err(), "{position} bytes");
    }
}

/// A message of an older version, and a newer one with additional fields at two levels.
mod versions {
    use serde::{Deserialize, Serialize};

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct Older {
        pub term: u64,
        pub names: Vec<OlderName>,
        pub kind: OlderKind,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct OlderName {
        pub name: String,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub enum OlderKind {
        Reported { at: u64 },
        Nothing,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct Newer {
        pub term: u64,
        #[serde(default)]
        pub added: u64,
        pub names: Vec<NewerName>,
        pub kind: NewerKind,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub struct NewerName {
        #[serde(default)]
        pub zone: String,
        pub name: String,
    }

    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    pub enum NewerKind {
        Reported {
            at: u64,
            #[serde(default)]
            until: u64,
        },
        Nothing,
    }
}

/// During an upgrade, each version must ignore unknown fields and use defaults for missing ones.
#[test]
fn unknown_and_missing_fields_are_accepted() {
    use versions::*;
    let newer = Newer {
        term: 7,
        added: 3,
        names: vec![NewerName { zone: "north".to_owned(), name: "one".to_owned() }],
        kind: NewerKind::Reported { at: 5, until: 9 },
    };
    let older = Older {
        term: 7,
        names: vec![OlderName { name: "one".to_owned() }],
        kind: OlderKind::Reported { at: 5 },
    };
    let read: Older = decode_payload(&encode_payload(&newer).unwrap()).unwrap();
    assert_eq!(read, older);
    let read: Newer = decode_payload(&encode_payload(&older).unwrap()).unwrap();
    assert_eq!((read.term, read.added), (7, 0));
    assert_eq!(read.kind, NewerKind::Reported { at: 5, until: 0 });
}
