//! Large payloads come back as they were, and nothing else does.

use proptest::prelude::*;
use topazmount_wire::{MAX_FRAME, compress, decompress};

/// A list as control tells it: 3,000 replicas whose identifiers and addresses differ in a few letters.
fn list() -> Vec<u8> {
    let line = |number: u32| {
        let id = number.wrapping_mul(2_654_435_761);
        format!("i-{id:08x}.. pool 10.{}.64.{}:8128 erie-hall", number % 3, number / 12)
    };
    (0..3_000).flat_map(|number| line(number).into_bytes()).collect()
}

#[test]
fn a_list_takes_less_than_half_of_its_size() {
    let (list, packed) = (list(), compress(&list()));
    assert!(packed.len() * 2 < list.len(), "{} of {}", packed.len(), list.len());
    assert_eq!(decompress(&packed).unwrap(), list);
}

#[test]
fn what_is_no_packed_payload_is_refused() {
    for bytes in [vec![], vec![2, 0], vec![1, 0xff, 0xff, 0xff]] {
        assert!(decompress(&bytes).is_err(), "{bytes:?}");
    }
    let bomb = compress(&vec![0; 3 * MAX_FRAME]);
    assert!(bomb.len() < MAX_FRAME);
    assert!(decompress(&bomb).is_err(), "a small frame must not become a huge payload");
}

proptest! {
    #[test]
    fn any_payload_comes_back(payload in prop::collection::vec(any::<u8>(), 0..5_000)) {
        prop_assert_eq!(decompress(&compress(&payload)).unwrap(), payload);
    }
}
