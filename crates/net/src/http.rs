//! Requests and answers of HTTP/1.1, read from and written to bytes; no sockets here.
//!
//! Heads and chunks are decoded by `monoio-http`. Its decoders take more than is safe where another program reads the
//! same bytes, so these checks come first: no bare line feeds, one length at most, no length beside chunks, no other
//! transfer coding, no chunk without a size.
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode, Version};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{ChunkedBodyDecoder, RequestHeadDecoder, ResponseHeadDecoder};

/// Bounds of what is read.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub head_bytes: usize,
    pub body_bytes: usize,
}

/// Why bytes aren't a message that may be worked on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadMessage {
    /// Not HTTP/1.1, or read in two ways: send one plain message.
    Malformed,
    /// The head is too large: send fewer or shorter headers.
    HeadTooLarge,
    /// The body is too large: send less at once.
    BodyTooLarge,
}

impl BadMessage {
    /// The answer that tells a client.
    pub fn status(self) -> StatusCode {
        match self {
            BadMessage::Malformed => StatusCode::BAD_REQUEST,
            BadMessage::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            BadMessage::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

/// A whole request.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: Method,
    /// Path with query, as it was sent.
    pub target: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The connection may carry another request after this one.
    pub keep_alive: bool,
}

impl Request {
    /// The text of a header, or "" where it is missing or no text.
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub keep_alive: bool,
}

impl Response {
    /// The text of a header, or "".
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// How the end of a body is told.
enum Framing {
    Length(usize),
    Chunks {
        decoder: ChunkedBodyDecoder,
        at_size: bool,
    },
    /// The body of an answer that ends with its connection.
    UntilClose,
}

enum Head {
    Request(monoio_http::common::request::RequestHead),
    Response(monoio_http::common::response::ResponseHead),
}

/// Which kind of message is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Request,
    Response,
}

/// Reads one message after the other from bytes as they come in.
pub struct Reader {
    kind: Kind,
    bounds: Bounds,
    head: Option<(Head, Framing)>,
    body: BytesMut,
}

/// A message that was read.
pub enum Message {
    Request(Request),
    Response(Response),
}

impl Reader {
    pub fn new(kind: Kind, bounds: Bounds) -> Reader {
        Reader { kind, bounds, head: None, body: BytesMut::new() }
    }

    /// Whether a message has begun: its head was read.
    pub fn in_body(&self) -> bool {
        self.head.is_some()
    }

    /// The sender waits for word before it sends the body.
    pub fn expects_continue(&self) -> bool {
        match &self.head {
            Some((Head::Request(head), _)) => {
                header(&head.headers, "expect").eq_ignore_ascii_case("100-continue")
            }
            _ => false,
        }
    }

    /// Takes the next message out of the bytes, if it is whole.
    pub fn next(&mut self, bytes: &mut BytesMut) -> Result<Option<Message>, BadMessage> {
        if self.head.is_none() && !self.read_head(bytes)? {
            return Ok(None);
        }
        if !self.read_body(bytes)? {
            return Ok(None);
        }
        Ok(self.finish())
    }

    /// The connection has ended: a body that ends with it is whole now.
    pub fn end(&mut self) -> Option<Message> {
        match self.head {
            Some((_, Framing::UntilClose)) => self.finish(),
            _ => None,
        }
    }

    fn finish(&mut self) -> Option<Message> {
        let (head, framing) = self.head.take()?;
        let body = std::mem::take(&mut self.body).freeze();
        let until_close = matches!(framing, Framing::UntilClose);
        Some(match head {
            Head::Request(head) => Message::Request(Request {
                keep_alive: keep_alive(head.version, &head.headers),
                target: head.uri.path_and_query().map_or("/", |target| target.as_str()).to_string(),
                method: head.method,
                headers: head.headers,
                body,
            }),
            Head::Response(head) => Message::Response(Response {
                keep_alive: !until_close && keep_alive(head.version, &head.headers),
                status: head.status,
                headers: head.headers,
                body,
            }),
        })
    }

    fn read_head(&mut self, bytes: &mut BytesMut) -> Result<bool, BadMessage> {
        let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
            return match bytes.len() > self.bounds.head_bytes {
                true => Err(BadMessage::HeadTooLarge),
                false => Ok(false),
            };
        };
        if end > self.bounds.head_bytes {
            return Err(BadMessage::HeadTooLarge);
        }
        check_lines(&bytes[..end + 4])?;
        let head = match self.kind {
            Kind::Request => Head::Request(decoded(RequestHeadDecoder.decode(bytes))?),
            Kind::Response => Head::Response(decoded(ResponseHeadDecoder.decode(bytes))?),
        };
        let framing = self.framing(&head)?;
        self.head = Some((head, framing));
        Ok(true)
    }

    fn framing(&self, head: &Head) -> Result<Framing, BadMessage> {
        let headers = match head {
            Head::Request(head) => &head.headers,
            Head::Response(head) => &head.headers,
        };
        let length = content_length(headers)?;
        let mut codings = headers.get_all(http::header::TRANSFER_ENCODING).iter();
        let framing = match (length, codings.next(), codings.next()) {
            (_, Some(_), Some(_)) | (Some(_), Some(_), _) => return Err(BadMessage::Malformed),
            (None, Some(coding), None) => match coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                true => Framing::Chunks { decoder: ChunkedBodyDecoder::default(), at_size: true },
                false => return Err(BadMessage::Malformed),
            },
            (Some(length), None, _) => Framing::Length(length),
            (None, None, _) => match head {
                Head::Request(_) => Framing::Length(0),
                Head::Response(head) if bodiless(head.status) => Framing::Length(0),
                Head::Response(_) => Framing::UntilClose,
            },
        };
        match framing {
            Framing::Length(length) if length > self.bounds.body_bytes => Err(BadMessage::BodyTooLarge),
            framing => Ok(framing),
        }
    }

    fn read_body(&mut self, bytes: &mut BytesMut) -> Result<bool, BadMessage> {
        let Some((_, framing)) = &mut self.head else { return Ok(false) };
        match framing {
            Framing::Length(length) => {
                if bytes.len() < *length {
                    return Ok(false);
                }
                self.body = bytes.split_to(*length);
                Ok(true)
            }
            Framing::UntilClose => {
                self.body.extend_from_slice(&bytes.split());
                self.check_body_size().map(|()| false)
            }
            Framing::Chunks { decoder, at_size } => loop {
                if bytes.is_empty() {
                    return Ok(false);
                }
                if *at_size && !bytes[0].is_ascii_hexdigit() {
                    return Err(BadMessage::Malformed);
                }
                match decoder.decode(bytes).map_err(|_| BadMessage::Malformed)? {
                    Decoded::Some(None) => return Ok(true),
                    Decoded::Some(Some(chunk)) => {
                        *at_size = true;
                        self.body.extend_from_slice(&chunk);
                        if self.body.len() > self.bounds.body_bytes {
                            return Err(BadMessage::BodyTooLarge);
                        }
                    }
                    _ => {
                        // A size may have been read already; only then may the next byte be any.
                        *at_size = false;
                        return match bytes.len() > self.bounds.body_bytes + self.bounds.head_bytes {
                            true => Err(BadMessage::BodyTooLarge),
                            false => Ok(false),
                        };
                    }
                }
            },
        }
    }

    fn check_body_size(&self) -> Result<(), BadMessage> {
        match self.body.len() > self.bounds.body_bytes {
            true => Err(BadMessage::BodyTooLarge),
            false => Ok(()),
        }
    }
}

fn decoded<T, E>(result: Result<Decoded<T>, E>) -> Result<T, BadMessage> {
    match result {
        Ok(Decoded::Some(head)) => Ok(head),
        _ => Err(BadMessage::Malformed),
    }
}

fn check_lines(head: &[u8]) -> Result<(), BadMessage> {
    let bare = head.iter().enumerate().any(|(i, byte)| *byte == b'\n' && (i == 0 || head[i - 1] != b'\r'));
    let folded = head.windows(3).any(|w| w[0] == b'\r' && w[1] == b'\n' && (w[2] == b' ' || w[2] == b'\t'));
    match bare || folded || head.contains(&0) {
        true => Err(BadMessage::Malformed),
        false => Ok(()),
    }
}

fn content_length(headers: &HeaderMap) -> Result<Option<usize>, BadMessage> {
    let mut lengths = headers.get_all(http::header::CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else { return Ok(None) };
    let digits = length.as_bytes();
    if lengths.next().is_some() || digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(BadMessage::Malformed);
    }
    let length = length.to_str().ok().and_then(|text| text.parse().ok());
    length.map(Some).ok_or(BadMessage::Malformed)
}

fn bodiless(status: StatusCode) -> bool {
    status.is_informational() || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

fn keep_alive(version: Version, headers: &HeaderMap) -> bool {
    let connection = header(headers, "connection").to_ascii_lowercase();
    match version {
        Version::HTTP_11 => !connection.contains("close"),
        _ => connection.contains("keep-alive"),
    }
}

/// An answer of this program's own.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    /// An answer without a body.
    pub fn empty(status: u16) -> Answer {
        Answer { status, headers: Vec::new(), body: Vec::new() }
    }

    /// An answer with a body of JSON.
    pub fn json(status: u16, body: impl Into<Vec<u8>>) -> Answer {
        let headers = vec![("Content-Type", "application/json".to_string())];
        Answer { status, headers, body: body.into() }
    }

    /// An answer with a line of text.
    pub fn text(status: u16, body: &str) -> Answer {
        let headers = vec![("Content-Type", "text/plain".to_string())];
        Answer { status, headers, body: body.as_bytes().to_vec() }
    }

    /// The same with one more header.
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Answer {
        self.headers.push((name, value.into()));
        self
    }

    /// Writes the answer's bytes.
    pub fn encode(&self, close: bool, out: &mut Vec<u8>) {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let reason = status.canonical_reason().unwrap_or("Answer");
        out.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
        for (name, value) in &self.headers {
            push_header(out, name, value);
        }
        if close {
            push_header(out, "Connection", "close");
        }
        push_header(out, "Content-Length", &self.body.len().to_string());
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
    }
}

/// Appends one line of a head.
pub fn push_header(out: &mut Vec<u8>, name: &str, value: &str) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value.as_bytes());
    out.extend_from_slice(b"\r\n");
}

/// The bytes of a request with its body.
pub fn encode_request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(256 + body.len());
    out.extend_from_slice(format!("{method} {target} HTTP/1.1\r\n").as_bytes());
    for (name, value) in headers {
        push_header(&mut out, name, value);
    }
    if !body.is_empty() || method != "GET" {
        push_header(&mut out, "Content-Length", &body.len().to_string());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}
