//! Messages that could be read in two ways are refused; all others are read alike by everybody.

use rstest::rstest;
use std::io::Write;
use topazmount::http1::{
    BodyError, BodyReader, Framing, HeadError, RequestHead, ResponseHead, Status, Wire,
    request_framing, response_framing,
};
use topazmount_types::ErrorKind;

fn request(fields: &str) -> Result<Framing, HeadError> {
    let text = format!("POST /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n");
    let (head, length) = RequestHead::parse(text.as_bytes())?.expect("a whole head");
    assert_eq!(length, text.len());
    request_framing(&head)
}

#[rstest]
#[case("", Ok(Framing::Length(0)))]
#[case("Content-Length: 12\r\n", Ok(Framing::Length(12)))]
#[case("Transfer-Encoding: chunked\r\n", Ok(Framing::Chunked))]
#[case("transfer-encoding: Chunked\r\n", Ok(Framing::Chunked))]
#[case("Content-Length: 3\r\nContent-Length: 4\r\n", Err(HeadError::Framing))]
#[case("Content-Length: 3\r\nContent-Length: 3\r\n", Err(HeadError::Framing))]
#[case("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", Err(HeadError::Framing))]
#[case("Transfer-Encoding: gzip, chunked\r\n", Err(HeadError::Framing))]
#[case("Transfer-Encoding: xchunked\r\n", Err(HeadError::Framing))]
#[case("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", Err(HeadError::Framing))]
#[case("Content-Length: -1\r\n", Err(HeadError::Framing))]
#[case("Content-Length: +1\r\n", Err(HeadError::Framing))]
#[case("Content-Length: 0x10\r\n", Err(HeadError::Framing))]
#[case("Content-Length: 99999999999999999999\r\n", Err(HeadError::Framing))]
#[case("Content-Length:\r\n", Err(HeadError::Framing))]
#[case("Content-Length : 3\r\n", Err(HeadError::Malformed))]
#[case("X: a\r\n b\r\n", Err(HeadError::Malformed))]
#[case("X: a\nY: b\r\n", Err(HeadError::Malformed))]
#[case("Host: other\r\n", Err(HeadError::Malformed))]
#[case("X\0: a\r\n", Err(HeadError::Malformed))]
fn framing_of_requests(#[case] fields: &str, #[case] expected: Result<Framing, HeadError>) {
    assert_eq!(request(fields), expected);
}

#[rstest]
#[case("GET / HTTP/1.1\r\n\r\n")]
#[case("GET /\r\n\r\n")]
#[case("GET / HTTP/2.0\r\nHost: h\r\n\r\n")]
#[case("G\x01T / HTTP/1.1\r\nHost: h\r\n\r\n")]
#[case("\x16\x03\x01\x02garbage\r\n\r\n")]
fn heads_that_are_none(#[case] text: &str) {
    assert_eq!(RequestHead::parse(text.as_bytes()).unwrap_err(), HeadError::Malformed);
}

#[rstest]
#[case::status_000("HTTP/1.1 000 X\r\n\r\n")]
#[case::status_001("HTTP/1.1 001 X\r\n\r\n")]
#[case::status_099("HTTP/1.1 099 X\r\n\r\n")]
#[case::status_600("HTTP/1.1 600 X\r\n\r\n")]
#[case::status_999("HTTP/1.1 999 X\r\n\r\n")]
#[case::status_of_two_digits("HTTP/1.1 20 X\r\n\r\n")]
#[case::status_of_four_digits("HTTP/1.1 2000 X\r\n\r\n")]
#[case::status_with_a_sign("HTTP/1.1 +20 X\r\n\r\n")]
#[case::other_version("HTTP/2.0 200 X\r\n\r\n")]
#[case::blank_before_the_colon("HTTP/1.1 200 X\r\nA : b\r\n\r\n")]
#[case::blank_in_a_name("HTTP/1.1 200 X\r\nA B: b\r\n\r\n")]
#[case::control_byte_in_a_name("HTTP/1.1 200 X\r\nA\x01: b\r\n\r\n")]
#[case::nul_in_a_value("HTTP/1.1 200 X\r\nA: b\0\r\n\r\n")]
#[case::folded_field("HTTP/1.1 200 X\r\nA: b\r\n c\r\n\r\n")]
#[case::bare_line_feeds("HTTP/1.1 200 X\nA: b\n\n")]
#[case::bare_line_feed_after_the_status("HTTP/1.1 200 X\nA: b\r\n\r\n")]
#[case::line_feed_in_a_value("HTTP/1.1 200 X\r\nA: b\nContent-Length: 0\r\n\r\n")]
#[case::bare_line_feed_at_the_end("HTTP/1.1 200 X\r\nA: b\r\n\n")]
fn heads_of_responses_that_are_none(#[case] text: &str) {
    assert_eq!(ResponseHead::parse(text.as_bytes()).unwrap_err(), HeadError::Malformed);
}

/// The statuses of a process's own answers are such that a reader accepts.
#[test]
fn every_error_kind_has_a_valid_status() {
    for kind in ErrorKind::ALL {
        assert!(Status::new(kind.status()).is_some(), "{kind:?}: {}", kind.status());
    }
}

#[test]
fn a_head_that_is_not_whole_waits_for_more() {
    let text = b"GET /a?x=1 HTTP/1.1\r\nHost: h:80\r\n\r\n";
    for length in 0..text.len() {
        assert_eq!(RequestHead::parse(&text[..length]), Ok(None), "{length} bytes");
    }
    let (head, _) = RequestHead::parse(text).unwrap().unwrap();
    assert_eq!((head.host(), head.path(), head.query("x")), (Some("h"), "/a", Some("1")));
}

#[rstest]
#[case("GET", 200, "", Framing::UntilClose)]
#[case("GET", 200, "Content-Length: 5\r\n", Framing::Length(5))]
#[case("HEAD", 200, "Content-Length: 5\r\n", Framing::Length(0))]
#[case("GET", 204, "", Framing::Length(0))]
#[case("GET", 304, "Content-Length: 5\r\n", Framing::Length(0))]
#[case("POST", 503, "Transfer-Encoding: chunked\r\n", Framing::Chunked)]
fn framing_of_answers(
    #[case] method: &str,
    #[case] status: u16,
    #[case] fields: &str,
    #[case] expected: Framing,
) {
    let text = format!("HTTP/1.1 {status} X\r\n{fields}\r\n");
    let (head, _) = ResponseHead::parse(text.as_bytes()).unwrap().unwrap();
    assert_eq!(response_framing(&head, method), Ok(expected));
}

/// Reads a chunked body that arrives in pieces of this many bytes, after which the connection ends.
fn read_chunks(bytes: &[u8], piece: usize) -> Result<String, BodyError> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut sender = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (receiver, _) = listener.accept().unwrap();
    let mut wire = Wire::new(receiver.try_into().unwrap());
    let bytes = bytes.to_vec();
    let sending = std::thread::spawn(move || {
        for piece in bytes.chunks(piece) {
            // The reader may have closed the connection.
            let _ = sender.write_all(piece);
        }
    });
    let mut reader = BodyReader::new(Framing::Chunked);
    let body = async_io::block_on(reader.read_all(&mut wire, 1_000));
    drop(wire);
    sending.join().unwrap();
    body.map(|body| String::from_utf8(body).unwrap())
}

#[rstest]
#[case::plain(b"4\r\nwell\r\n0\r\n\r\n")]
#[case::two_chunks(b"2\r\nwe\r\n2\r\nll\r\n0\r\n\r\n")]
#[case::leading_zeros(b"0004\r\nwell\r\n000\r\n\r\n")]
#[case::blanks_after_the_size(b"4 \t\r\nwell\r\n0\r\n\r\n")]
#[case::extension(b"4;a=\"b c\";d\r\nwell\r\n0;e\r\n\r\n")]
#[case::tab_in_an_extension(b"4;\ta=b\r\nwell\r\n0\r\n\r\n")]
#[case::high_byte_in_an_extension(b"4;a=\"\xe9\"\r\nwell\r\n0\r\n\r\n")]
#[case::trailer(b"4\r\nwell\r\n0\r\nX: a\r\n\r\n")]
fn chunked_bodies(#[case] bytes: &[u8], #[values(1, 1_000)] piece: usize) {
    assert_eq!(read_chunks(bytes, piece).as_deref(), Ok("well"));
}

#[rstest]
#[case::empty_size(b"\r\n\r\n")]
#[case::empty_size_before_chunks(b"\r\n4\r\nwell\r\n0\r\n\r\n")]
#[case::empty_size_after_a_chunk(b"4\r\nwell\r\n\r\n\r\n")]
#[case::blank_as_size(b" \r\n\r\n")]
#[case::blank_before_the_size(b" 4\r\nwell\r\n0\r\n\r\n")]
#[case::extension_without_size(b";a=b\r\n\r\n")]
#[case::control_byte_in_an_extension(b"4;a=\x01\r\nwell\r\n0\r\n\r\n")]
#[case::delete_in_an_extension(b"4;a=\x7f\r\nwell\r\n0\r\n\r\n")]
#[case::line_feed_in_an_extension(b"4;a=\nb\r\nwell\r\n0\r\n\r\n")]
#[case::control_byte_in_the_last_extension(b"4\r\nwell\r\n0;\0\r\n\r\n")]
#[case::bare_line_feed_after_the_size(b"4\nwell\r\n0\r\n\r\n")]
#[case::sign(b"+4\r\nwell\r\n0\r\n\r\n")]
#[case::prefix(b"0x4\r\nwell\r\n0\r\n\r\n")]
#[case::too_large(b"11111111111111111\r\nwell\r\n0\r\n\r\n")]
#[case::no_line_end_after_a_chunk(b"4\r\nwell0\r\n\r\n")]
fn chunked_bodies_that_break_the_grammar(#[case] bytes: &[u8], #[values(1, 1_000)] piece: usize) {
    assert_eq!(read_chunks(bytes, piece), Err(BodyError::Malformed));
}

#[test]
fn trailers_are_bounded_as_a_whole() {
    let trailers = "X: a\r\n".repeat(2_000);
    let bytes = format!("4\r\nwell\r\n0\r\n{trailers}\r\n");
    assert_eq!(read_chunks(bytes.as_bytes(), 1_000), Err(BodyError::Malformed));
}

/// 3,000 replicas keep a connection to one control member: what a read that waits holds counts 3,000 times, and several
/// times over where futures hold futures.
#[test]
fn a_connection_that_waits_for_bytes_holds_no_buffer() {
    const MOST: usize = 256;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut wire = Wire::new(stream.try_into().unwrap());
    let filling = size_of_val(&wire.fill());
    let going = size_of_val(&wire.gone());
    assert!(filling <= MOST && going <= MOST, "fill: {filling} bytes, gone: {going} bytes");
}
