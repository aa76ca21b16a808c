//! Segments survive any division into reads, and their end is explicit.

use topazmount::http1::{LAST_SEGMENT, SegmentDecoder, segments};

fn decode(encoded: &[u8], read: usize) -> (Vec<u8>, SegmentDecoder) {
    let (mut decoder, mut decoded) = (SegmentDecoder::default(), Vec::new());
    for part in encoded.chunks(read) {
        decoder.decode(part, &mut decoded).unwrap();
    }
    (decoded, decoder)
}

#[test]
fn segments_are_decoded_in_reads_of_any_size() {
    let bytes: Vec<u8> = (0..150_000u32).map(|number| number as u8).collect();
    let encoded = [segments(b"head"), segments(&bytes), LAST_SEGMENT.to_vec()].concat();
    for read in [1, 2, 3, 7, 4_096, 65_536, encoded.len()] {
        let (decoded, decoder) = decode(&encoded, read);
        assert_eq!(decoded, [b"head", &bytes[..]].concat(), "reads of {read} bytes");
        assert!(decoder.is_ended());
    }
}

#[test]
fn a_stream_without_its_last_segment_has_not_ended() {
    let encoded = segments(b"body");
    for length in 0..=encoded.len() {
        let (_, decoder) = decode(&encoded[..length], 3);
        assert!(!decoder.is_ended(), "{length} bytes");
    }
}

#[test]
fn data_after_the_last_segment_is_an_error() {
    let (_, mut decoder) = decode(LAST_SEGMENT, 2);
    assert!(decoder.decode(b"x", &mut Vec::new()).is_err());
}
