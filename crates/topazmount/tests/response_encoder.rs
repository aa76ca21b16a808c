//! A response has one head, and nothing follows its end.

use topazmount::http1::{BodyDelivery, LAST_CHUNK, OutOfOrder, ResponseEncoder};

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";

fn started(delivery: BodyDelivery) -> ResponseEncoder {
    let mut encoder = ResponseEncoder::default();
    encoder.add_head(HEAD, delivery).expect("nothing was added before");
    encoder
}

#[test]
fn a_head_is_written_into_a_response_that_has_started() {
    for delivery in [BodyDelivery::Length(4), BodyDelivery::Chunked, BodyDelivery::UntilClose] {
        let mut encoder = started(delivery);
        encoder.add_body(b"well").expect("the body has begun");
        let before = encoder.pending().to_vec();
        assert_eq!(encoder.add_whole(HEAD), Err(OutOfOrder::SecondHead));
        assert_eq!(encoder.add_head(HEAD, delivery), Err(OutOfOrder::SecondHead));
        assert_eq!(encoder.pending(), before, "a rejected head leaves no bytes");
    }
}

#[test]
fn bytes_follow_the_end_of_a_response() {
    let mut whole = ResponseEncoder::default();
    whole.add_whole(HEAD).expect("nothing was added before");
    let mut in_parts = started(BodyDelivery::Chunked);
    in_parts.end().expect("the body has begun");
    for mut encoder in [whole, in_parts] {
        assert_eq!(encoder.add_whole(HEAD), Err(OutOfOrder::SecondHead));
        assert_eq!(encoder.add_body(b"more"), Err(OutOfOrder::BodyAfterEnd));
        assert_eq!(encoder.end(), Err(OutOfOrder::BodyAfterEnd));
    }
}

#[test]
fn a_body_comes_before_its_head() {
    let mut encoder = ResponseEncoder::default();
    assert_eq!(encoder.add_body(b"well"), Err(OutOfOrder::BodyBeforeHead));
    assert_eq!(encoder.end(), Err(OutOfOrder::BodyBeforeHead));
    assert!(!encoder.has_started() && encoder.pending().is_empty());
}

/// An empty chunk would be the last one.
#[test]
fn an_empty_part_ends_a_chunked_body() {
    let mut encoder = started(BodyDelivery::Chunked);
    encoder.add_body(b"").expect("the body has begun");
    assert_eq!(encoder.take(), HEAD);
    encoder.add_body(b"well").expect("the body has begun");
    encoder.end().expect("the body has not ended");
    assert_eq!(encoder.take(), [b"4\r\nwell\r\n", LAST_CHUNK].concat());
}
