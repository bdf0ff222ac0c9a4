//! Incremental reader of complete requests.

use smol_str::SmolStr;

use crate::http;
use crate::http::Header;
use crate::http::HttpRequest;
use crate::http1::HttpError;
use crate::http1::HttpLimits;
use crate::http1::MAX_HEADERS;
use crate::http1::Result;
use crate::http1::body;
use crate::http1::body::BodyReader;
use crate::http1::body::Framing;

const CONTINUE: &str = "100-continue";
const SCHEME: &str = "http://";

/// Reader of the consecutive requests of one connection.
#[derive(Debug)]
pub struct RequestReader {
    limits: HttpLimits,
    current: Option<PartialRequest>,
}

#[derive(Debug)]
struct PartialRequest {
    head: RequestHead,
    body: BodyReader,
}

/// Request without its body.
#[derive(Clone, Debug)]
struct RequestHead {
    method: SmolStr,
    target: SmolStr,
    headers: Vec<Header>,
    keep_alive: bool,
    expects_continue: bool,
}

/// Complete request and whether its connection persists.
#[derive(Debug)]
pub struct ReadRequest {
    /// Request without hop-by-hop headers.
    pub request: HttpRequest,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
}

/// Result of one call to [`RequestReader::push`].
#[derive(Debug)]
pub struct RequestStep {
    /// Bytes consumed.
    pub used_bytes: usize,
    /// The request, once it is complete.
    pub request: Option<ReadRequest>,
    /// Whether `100 Continue` must be sent now.
    pub send_continue: bool,
}

impl RequestReader {
    /// Creates a reader.
    #[must_use]
    pub fn new(limits: HttpLimits) -> Self {
        Self {
            limits,
            current: None,
        }
    }

    /// Sets the limits of the requests that begin after this call.
    pub fn set_limits(&mut self, limits: HttpLimits) {
        self.limits = limits;
    }

    /// Returns whether no request is partially read; a request counts from the end of its head
    /// until its body is complete.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.current.is_none()
    }

    /// Returns the size of the buffer for the body.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.current
            .as_ref()
            .map_or(0, |partial| partial.body.held_bytes())
    }

    /// Consumes input up to the end of at most one request.
    ///
    /// # Errors
    /// Any [`HttpError`]; the connection must be closed after the error has been sent to the
    /// caller.
    pub fn push(&mut self, input: &[u8]) -> Result<RequestStep> {
        let mut used_bytes = 0;
        let mut send_continue = false;
        if self.current.is_none() {
            let Some((head, head_bytes)) = parse_head(input, self.limits)? else {
                return Ok(RequestStep {
                    used_bytes,
                    request: None,
                    send_continue,
                });
            };
            used_bytes = head_bytes;
            let framing = body::framing(&head.headers)?;
            let body = BodyReader::new(framing, self.limits.max_body_bytes)?;
            send_continue = head.expects_continue
                && !matches!(framing, Framing::Absent | Framing::Length(0))
                && input.len() == head_bytes;
            self.current = Some(PartialRequest { head, body });
        }
        let Some(mut partial) = self.current.take() else {
            return Ok(RequestStep {
                used_bytes,
                request: None,
                send_continue,
            });
        };
        used_bytes += partial.body.push(&input[used_bytes..])?;
        let request = if partial.body.is_done() {
            Some(finish(partial))
        } else {
            self.current = Some(partial);
            None
        };
        Ok(RequestStep {
            used_bytes,
            request,
            send_continue,
        })
    }
}

fn parse_head(input: &[u8], limits: HttpLimits) -> Result<Option<(RequestHead, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut fields);
    let head_bytes = match parsed.parse(input) {
        Ok(httparse::Status::Complete(bytes)) => bytes,
        Ok(httparse::Status::Partial) if input.len() > limits.max_head_bytes => {
            return Err(HttpError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(httparse::Error::Version) => return Err(HttpError::UnknownVersion),
        Err(_) => return Err(HttpError::Malformed("the request head is not valid")),
    };
    if head_bytes > limits.max_head_bytes {
        return Err(HttpError::HeadTooLarge);
    }
    let is_1_1 = parsed.version == Some(1);
    let headers = convert_headers(parsed.headers)?;
    check_host(&headers, is_1_1)?;
    if !is_1_1 && has(&headers, "transfer-encoding") {
        return Err(HttpError::AmbiguousFraming);
    }
    let (target, headers) = origin_form(parsed.path.unwrap_or_default(), headers)?;
    let connection = connection_options(&headers);
    let has_option = |option: &str| {
        connection
            .split(',')
            .any(|listed| listed.trim().eq_ignore_ascii_case(option))
    };
    // An HTTP/1.0 caller may reuse the connection only if the answer has a `connection` field;
    // closing is always allowed (RFC 9112, section 9.3).
    let keep_alive = is_1_1 && !has_option("close");
    let expects_continue = expects_continue(&headers)? && is_1_1;
    let method = SmolStr::from(parsed.method.unwrap_or_default());
    Ok(Some((
        RequestHead {
            method,
            target,
            headers,
            keep_alive,
            expects_continue,
        },
        head_bytes,
    )))
}

/// Copies header fields; values must be UTF-8 text (RFC 9110, section 5.5).
pub(super) fn convert_headers(fields: &[httparse::Header<'_>]) -> Result<Vec<Header>> {
    fields
        .iter()
        .map(|field| {
            let value = std::str::from_utf8(field.value)
                .map_err(|_| HttpError::Malformed("a header value is not UTF-8"))?;
            // Only spaces and tabs may surround a value; other Unicode whitespace belongs to it.
            Ok(Header::new(field.name, value.trim_matches([' ', '\t'])))
        })
        .collect()
}

/// Returns the values of all `connection` fields, joined by commas.
pub(super) fn connection_options(headers: &[Header]) -> String {
    let values: Vec<&str> = headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case("connection"))
        .map(|header| header.value.as_str())
        .collect();
    values.join(",")
}

fn check_host(headers: &[Header], is_1_1: bool) -> Result<()> {
    let mut hosts = headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case("host"));
    match (hosts.next(), hosts.next()) {
        (Some(host), None) => check_authority(&host.value),
        (None, None) if !is_1_1 => Ok(()),
        _ => Err(HttpError::Malformed("exactly one host header is needed")),
    }
}

/// Refuses characters that cannot occur in a host with a port (RFC 9110, section 7.2). User
/// information is refused as well, since it can make a host look like another host.
fn check_authority(text: &str) -> Result<()> {
    let is_allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || b"-._~!$&'()*+;=%:[]".contains(&byte);
    if text.bytes().all(is_allowed) {
        return Ok(());
    }
    Err(HttpError::Malformed("the host is not valid"))
}

/// Converts a target in absolute form to a path and a `host` header (RFC 9112, section 3.2.2).
fn origin_form(target: &str, mut headers: Vec<Header>) -> Result<(SmolStr, Vec<Header>)> {
    if target.starts_with('/') || target == "*" {
        return Ok((target.into(), headers));
    }
    let rest = match target.split_at_checked(SCHEME.len()) {
        Some((scheme, rest)) if scheme.eq_ignore_ascii_case(SCHEME) => rest,
        _ => return Err(HttpError::Malformed("the request target is not a path")),
    };
    let path_start = rest.find(['/', '?']).unwrap_or(rest.len());
    let (authority, path) = rest.split_at(path_start);
    if authority.is_empty() {
        return Err(HttpError::Malformed("the request target has no host"));
    }
    check_authority(authority)?;
    headers.retain(|header| !header.name.eq_ignore_ascii_case("host"));
    headers.push(Header::new("host", authority));
    let path = if path.starts_with('/') {
        SmolStr::from(path)
    } else {
        SmolStr::from(format!("/{path}"))
    };
    Ok((path, headers))
}

fn expects_continue(headers: &[Header]) -> Result<bool> {
    let mut expectations = headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("expect"));
    match expectations.next() {
        None => Ok(false),
        Some(header) if header.value.eq_ignore_ascii_case(CONTINUE) => Ok(true),
        Some(_) => Err(HttpError::UnknownExpectation),
    }
}

fn has(headers: &[Header], name: &str) -> bool {
    headers
        .iter()
        .any(|header| header.name.eq_ignore_ascii_case(name))
}

fn finish(partial: PartialRequest) -> ReadRequest {
    let PartialRequest { head, body } = partial;
    let connection = connection_options(&head.headers);
    let mut headers = head.headers;
    headers.retain(|header| {
        http::is_forwarded(&header.name, &connection)
            && !header.name.eq_ignore_ascii_case("expect")
            && !header.name.eq_ignore_ascii_case("content-length")
    });
    let request = HttpRequest {
        method: head.method,
        target: head.target,
        headers,
        body: body.into_body(),
    };
    ReadRequest {
        request,
        keep_alive: head.keep_alive,
    }
}
