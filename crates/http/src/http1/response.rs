//! Incremental reader of complete responses, and writers of requests and responses.

use std::time::Duration;

use crate::http;
use crate::http::Header;
use crate::http::HttpAnswer;
use crate::http::HttpRequest;
use crate::http1::HttpError;
use crate::http1::HttpLimits;
use crate::http1::MAX_HEADERS;
use crate::http1::Result;
use crate::http1::body;
use crate::http1::body::BodyReader;
use crate::http1::body::Framing;
use crate::http1::request::connection_options;
use crate::http1::request::convert_headers;

const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;
const SWITCHING_PROTOCOLS: u16 = 101;
/// Interim responses that are skipped before a final one. Servers send one or two; more keep a reader
/// busy without an end.
const MAX_INTERIM: usize = 16;

/// Reader of the response to one request.
#[derive(Debug)]
pub struct ResponseReader {
    limits: HttpLimits,
    is_head: bool,
    /// Whether a response without framing headers is read until its connection ends.
    allow_unframed: bool,
    /// Size of the interim responses read so far.
    interim_bytes: usize,
    /// Number of the interim responses read so far.
    interim_count: usize,
    current: Option<PartialResponse>,
}

#[derive(Debug)]
struct PartialResponse {
    status: u16,
    headers: Vec<Header>,
    keep_alive: bool,
    /// Idle timeout that the server announced in `keep-alive`.
    idle_timeout: Option<Duration>,
    body: BodyReader,
}

/// Complete response and the state of its connection.
#[derive(Debug)]
pub struct ReadResponse {
    /// Answer without hop-by-hop headers.
    pub answer: HttpAnswer,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
    /// Time after which the server closes an idle connection, if it announced one.
    pub idle_timeout: Option<Duration>,
}

impl ResponseReader {
    /// Creates a reader for the response to a request with the given method.
    #[must_use]
    pub fn new(method: &str, limits: HttpLimits) -> Self {
        Self {
            limits,
            is_head: method == "HEAD",
            allow_unframed: false,
            interim_bytes: 0,
            interim_count: 0,
            current: None,
        }
    }

    /// Accepts a response without framing headers, which ends with its connection; the owner of the
    /// connection must then call [`ResponseReader::finish_at_end`].
    #[must_use]
    pub fn allow_unframed(mut self) -> Self {
        self.allow_unframed = true;
        self
    }

    /// Returns whether the head of the final response has been read.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.current.is_some()
    }

    /// Returns the size of the buffer for the body.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.current
            .as_ref()
            .map_or(0, |partial| partial.body.held_bytes())
    }

    /// Returns the response that ends with its connection. Must only be called after an orderly
    /// close: after a reset the body may be incomplete.
    #[must_use]
    pub fn finish_at_end(&mut self) -> Option<ReadResponse> {
        let mut partial = self.current.take()?;
        partial.body.finish_at_end().then(|| finish(partial))
    }

    /// Consumes input; returns the number of bytes used, and the response once it is complete.
    ///
    /// # Errors
    /// Any [`HttpError`]. A response without framing is an error unless
    /// [`ResponseReader::allow_unframed`] was called: when its connection ends, a complete body
    /// cannot be distinguished from a truncated one.
    pub fn push(&mut self, input: &[u8]) -> Result<(usize, Option<ReadResponse>)> {
        let mut used_bytes = 0;
        while self.current.is_none() {
            let Some((partial, head_bytes)) = self.parse_head(&input[used_bytes..])? else {
                return Ok((used_bytes, None));
            };
            used_bytes += head_bytes;
            // Interim responses are skipped; the final response follows.
            if partial.is_none() {
                self.interim_bytes += head_bytes;
                self.interim_count += 1;
            }
            if self.interim_count > MAX_INTERIM {
                return Err(HttpError::Malformed("too many interim responses"));
            }
            if self.interim_bytes > self.limits.max_head_bytes {
                return Err(HttpError::HeadTooLarge);
            }
            self.current = partial;
        }
        let Some(mut partial) = self.current.take() else {
            return Ok((used_bytes, None));
        };
        used_bytes += partial.body.push(&input[used_bytes..])?;
        if partial.body.is_done() {
            return Ok((used_bytes, Some(finish(partial))));
        }
        self.current = Some(partial);
        Ok((used_bytes, None))
    }

    fn parse_head(&self, input: &[u8]) -> Result<Option<(Option<PartialResponse>, usize)>> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut fields);
        let head_bytes = match parsed.parse(input) {
            Ok(httparse::Status::Complete(bytes)) if bytes > self.limits.max_head_bytes => {
                return Err(HttpError::HeadTooLarge);
            }
            Ok(httparse::Status::Complete(bytes)) => bytes,
            Ok(httparse::Status::Partial) if input.len() > self.limits.max_head_bytes => {
                return Err(HttpError::HeadTooLarge);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::Malformed("the response head is not valid")),
        };
        let status = parsed.code.unwrap_or_default();
        if status == SWITCHING_PROTOCOLS {
            return Err(HttpError::Malformed("the target switched protocols"));
        }
        if !http::is_status(status) {
            return Err(HttpError::Malformed("the status is not valid"));
        }
        if !http::is_final_status(status) {
            return Ok(Some((None, head_bytes)));
        }
        let headers = convert_headers(parsed.headers)?;
        let connection = connection_options(&headers).to_ascii_lowercase();
        let keep_alive = if parsed.version == Some(1) {
            !connection.contains("close")
        } else {
            connection.contains("keep-alive")
        };
        let framing = self.framing(status, &headers)?;
        let keep_alive = keep_alive && framing != Framing::CloseDelimited;
        let body = BodyReader::new(framing, self.limits.max_body_bytes)?;
        let idle_timeout = idle_timeout(&headers);
        Ok(Some((
            Some(PartialResponse {
                status,
                headers,
                keep_alive,
                idle_timeout,
                body,
            }),
            head_bytes,
        )))
    }

    fn framing(&self, status: u16, headers: &[Header]) -> Result<Framing> {
        // Checked also without a body, since a length is passed on to the caller.
        let framing = body::framing(headers)?;
        if self.is_head || status == NO_CONTENT || status == NOT_MODIFIED {
            return Ok(Framing::Absent);
        }
        match framing {
            Framing::Absent if self.allow_unframed => Ok(Framing::CloseDelimited),
            Framing::Absent => Err(HttpError::Malformed("the response has no length")),
            framing => Ok(framing),
        }
    }
}

fn finish(partial: PartialResponse) -> ReadResponse {
    let connection = connection_options(&partial.headers);
    let mut headers = partial.headers;
    headers.retain(|header| http::is_forwarded(&header.name, &connection));
    let answer = HttpAnswer::new(partial.status, headers, partial.body.into_body());
    ReadResponse {
        answer,
        keep_alive: partial.keep_alive,
        idle_timeout: partial.idle_timeout,
    }
}

/// Returns the `timeout` parameter of the `keep-alive` header, which is given in whole seconds.
fn idle_timeout(headers: &[Header]) -> Option<Duration> {
    let field = headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case("keep-alive"))?;
    let seconds = field
        .value
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Appends a request in HTTP/1.1 form.
pub fn write_request(out: &mut Vec<u8>, request: &HttpRequest, extra: &[Header]) {
    let start = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    out.extend_from_slice(start.as_bytes());
    write_headers(out, &request.headers);
    write_headers(out, extra);
    let needs_length =
        !request.body.is_empty() || !matches!(request.method.as_str(), "GET" | "HEAD");
    if needs_length {
        out.extend_from_slice(format!("content-length: {}\r\n", request.body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&request.body);
}

/// Appends a response in HTTP/1.1 form.
pub fn write_response(out: &mut Vec<u8>, answer: &HttpAnswer, is_head: bool, keep_alive: bool) {
    if write_response_head(out, answer, is_head, keep_alive) {
        out.extend_from_slice(&answer.body);
    }
}

/// Appends the head of a response in HTTP/1.1 form, and returns whether the body follows.
pub fn write_response_head(
    out: &mut Vec<u8>,
    answer: &HttpAnswer,
    is_head: bool,
    keep_alive: bool,
) -> bool {
    let reason = reason_phrase(answer.status);
    out.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", answer.status).as_bytes());
    let has_no_body = is_head || matches!(answer.status, NO_CONTENT | NOT_MODIFIED);
    for header in &answer.headers {
        // A response to HEAD keeps the target's length; all other lengths are computed here.
        if is_head || !header.name.eq_ignore_ascii_case("content-length") {
            write_header(out, header);
        }
    }
    if !has_no_body {
        out.extend_from_slice(format!("content-length: {}\r\n", answer.body.len()).as_bytes());
    }
    if !keep_alive {
        out.extend_from_slice(b"connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    !has_no_body
}

fn write_headers(out: &mut Vec<u8>, headers: &[Header]) {
    for header in headers {
        write_header(out, header);
    }
}

fn write_header(out: &mut Vec<u8>, header: &Header) {
    out.extend_from_slice(header.name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(header.value.as_bytes());
    out.extend_from_slice(b"\r\n");
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        417 => "Expectation Failed",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "",
    }
}
