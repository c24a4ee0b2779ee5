//! Requests and answers as they come in bytes: what is read, and what is turned away.
use bytes::BytesMut;
use net::http::{Answer, BadMessage, Bounds, Kind, Message, Reader, Request, Response};
use rstest::rstest;

const BOUNDS: Bounds = Bounds { head_bytes: 512, body_bytes: 64 };

fn request(bytes: &str) -> Result<Option<(Request, usize)>, BadMessage> {
    let mut input = BytesMut::from(bytes);
    match Reader::new(Kind::Request, BOUNDS).next(&mut input)? {
        Some(Message::Request(request)) => Ok(Some((request, input.len()))),
        _ => Ok(None),
    }
}

fn response(bytes: &str) -> Result<Option<(Response, usize)>, BadMessage> {
    let mut input = BytesMut::from(bytes);
    match Reader::new(Kind::Response, BOUNDS).next(&mut input)? {
        Some(Message::Response(response)) => Ok(Some((response, input.len()))),
        _ => Ok(None),
    }
}

#[test]
fn method_path_query_headers_and_body_are_read_as_they_were_sent() {
    let bytes =
        "PUT /a/%41?q=1&r=%20 HTTP/1.1\r\nHost: h\r\nX-Request-Id: 7\r\nContent-Length: 4\r\n\r\nbodyGET";
    let (request, rest) = request(bytes).unwrap().unwrap();
    assert_eq!((request.method.as_str(), request.target.as_str()), ("PUT", "/a/%41?q=1&r=%20"));
    assert_eq!((request.path(), request.header("x-request-id")), ("/a/%41", "7"));
    assert_eq!((&request.body[..], rest), (&b"body"[..], 3));
}

#[test]
fn a_body_of_the_greatest_size_in_single_byte_chunks_is_read() {
    let chunks: String = (0..64).map(|i| format!("1\r\n{}\r\n", (b'a' + i % 26) as char)).collect();
    let bytes = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n");
    let mut reader = Reader::new(Kind::Request, BOUNDS);
    let mut input = BytesMut::new();
    let mut read = None;
    for byte in bytes.bytes() {
        assert!(read.is_none());
        input.extend_from_slice(&[byte]);
        read = reader.next(&mut input).unwrap();
    }
    let Some(Message::Request(request)) = read else { panic!("not read") };
    assert_eq!(request.body.len(), 64);
}

#[rstest]
#[case::two_lengths("POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody")]
#[case::length_beside_chunks(
    "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::other_coding("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n")]
#[case::two_codings(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::signed_length("POST / HTTP/1.1\r\nContent-Length: +4\r\n\r\nbody")]
#[case::length_list("POST / HTTP/1.1\r\nContent-Length: 4, 4\r\n\r\nbody")]
#[case::bare_line_feed("POST / HTTP/1.1\nContent-Length: 0\n\nGET /x HTTP/1.1\r\n\r\n")]
#[case::folded_header("POST / HTTP/1.1\r\nX-A: 1\r\n  2\r\n\r\n")]
#[case::space_in_name("POST / HTTP/1.1\r\nContent-Length : 4\r\n\r\nbody")]
#[case::chunk_without_size("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n\r\n")]
#[case::chunk_size_is_text("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n")]
#[case::chunk_longer_than_told("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n")]
#[case::no_request("HELLO\r\n\r\n")]
fn what_may_be_read_in_two_ways_is_turned_away(#[case] bytes: &str) {
    assert_eq!(request(bytes).map(|r| r.is_some()), Err(BadMessage::Malformed));
}

#[rstest]
#[case::whole_head(format!("GET / HTTP/1.1\r\nX-A: {}\r\n\r\n", "a".repeat(600)), BadMessage::HeadTooLarge)]
#[case::endless_head("a".repeat(600), BadMessage::HeadTooLarge)]
#[case::told_body("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n".to_string(), BadMessage::BodyTooLarge)]
#[case::chunks(
    format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n{}\r\n", "a".repeat(65)),
    BadMessage::BodyTooLarge
)]
fn what_is_too_large_is_turned_away(#[case] bytes: String, #[case] told: BadMessage) {
    assert_eq!(request(&bytes).map(|r| r.is_some()), Err(told));
}

#[test]
fn an_answer_that_ends_early_is_none() {
    let whole = "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 4\r\n\r\nbody";
    for length in 0..whole.len() {
        assert!(response(&whole[..length]).unwrap().is_none(), "{length} bytes");
    }
    let (response, rest) = response(whole).unwrap().unwrap();
    assert_eq!((response.header("x-server-signature"), rest), ("s", 0));
}

#[test]
fn a_second_answer_stays_in_the_bytes_and_is_seen() {
    let twice = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let (_, rest) = response(twice).unwrap().unwrap();
    assert!(rest > 0);
}

#[test]
fn an_answer_of_this_program_is_read_as_it_was_meant() {
    let mut bytes = Vec::new();
    Answer::json(307, "{}").with("Location", "http://10.0.0.1:80/x").encode(true, &mut bytes);
    let (response, rest) = response(std::str::from_utf8(&bytes).unwrap()).unwrap().unwrap();
    assert_eq!((response.status.as_u16(), response.header("location")), (307, "http://10.0.0.1:80/x"));
    assert_eq!((&response.body[..], response.keep_alive, rest), (&b"{}"[..], false, 0));
}
