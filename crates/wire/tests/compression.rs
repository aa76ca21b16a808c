//! Compressed payloads round-trip, and invalid ones are rejected.

use proptest::prelude::*;
use topazmount_wire::{MAX_FRAME, compress, decompress};

/// A list of 3,000 replicas with similar identifiers and addresses.
fn list() -> Vec<u8> {
    let line = |number: u32| {
        let id = number.wrapping_mul(2_654_435_761);
        format!("i-{id:08x}.. pool 10.{}.64.{}:8128 erie-hall", number % 3, number / 12)
    };
    (0..3_000).flat_map(|number| line(number).into_bytes()).collect()
}

#[test]
fn a_replica_list_is_compressed_to_less_than_half() {
    let (list, compressed) = (list(), compress(&list()));
    assert!(compressed.len() * 2 < list.len(), "{} of {}", compressed.len(), list.len());
    assert_eq!(decompress(&compressed).unwrap(), list);
}

#[test]
fn an_invalid_compressed_payload_is_rejected() {
    for bytes in [vec![], vec![2, 0], vec![1, 0xff, 0xff, 0xff]] {
        assert!(decompress(&bytes).is_err(), "{bytes:?}");
    }
    let bomb = compress(&vec![0; 3 * MAX_FRAME]);
    assert!(bomb.len() < MAX_FRAME);
    assert!(decompress(&bomb).is_err(), "the decompressed size must be bounded");
}

proptest! {
    #[test]
    fn any_payload_round_trips(payload in prop::collection::vec(any::<u8>(), 0..5_000)) {
        prop_assert_eq!(decompress(&compress(&payload)).unwrap(), payload);
    }
}
