//! HTTP messages in the form that travels between nodes.

use hemlockfall_core::codec;
use hemlockfall_core::ids::Digest;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// `OUTCOME_HEADER` tells a caller whether its request ran.
pub const OUTCOME_HEADER: &str = "hemlockfall-outcome";
/// `CODE_HEADER` carries the result code of an answer that hemlockfall itself made.
pub const CODE_HEADER: &str = "hemlockfall-code";
/// `DEADLINE_HEADER` carries the time left for a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "hemlockfall-deadline-ms";
/// `ATTEMPT_HEADER` carries the attempt id.
pub const ATTEMPT_HEADER: &str = "hemlockfall-attempt";
/// `RETRY_HEADER` marks a request that belongs to a retry of a request further up.
pub const RETRY_HEADER: &str = "hemlockfall-retry";
/// `NOT_RUN_HEADER` marks a target's answer as "shed before running".
pub const NOT_RUN_HEADER: &str = "hemlockfall-not-run";
/// `IDEMPOTENCY_KEY_HEADER` carries the idempotency key of a request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Headers that concern one connection only (RFC 9110, section 7.6.1) and are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// `Header` is one header field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name as sent.
    pub name: SmolStr,
    /// Value as sent.
    pub value: SmolStr,
}

impl Header {
    /// `new` makes a header field.
    pub fn new(name: impl Into<SmolStr>, value: impl Into<SmolStr>) -> Self {
        Self {
            name: name.into(),
            value: value.into(),
        }
    }
}

/// `HttpRequest` is a whole request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpRequest {
    /// Method.
    pub method: SmolStr,
    /// Path with query.
    pub target: SmolStr,
    /// Header fields without the hop-by-hop ones.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
}

/// `HttpAnswer` is a whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpAnswer {
    /// Status code.
    pub status: u16,
    /// Header fields without the hop-by-hop ones.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
    /// Digest of the body, made where the answer was received whole.
    pub body_digest: Digest,
}

impl HttpRequest {
    /// `header` returns the value of the first header of a name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// `path` returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(self.target.as_str(), |(path, _)| path)
    }

    /// `service` returns the first label of the host, which names the service.
    #[must_use]
    pub fn service(&self) -> Option<&str> {
        let host = self.header("host")?;
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        name.split('.').next().filter(|label| !label.is_empty())
    }
}

impl HttpAnswer {
    /// `new` makes an answer and the digest of its body.
    #[must_use]
    pub fn new(status: u16, headers: Vec<Header>, body: Vec<u8>) -> Self {
        let body_digest = codec::digest(&body);
        Self {
            status,
            headers,
            body,
            body_digest,
        }
    }

    /// `is_body_intact` tells whether the body is the one that was received from the target.
    #[must_use]
    pub fn is_body_intact(&self) -> bool {
        codec::digest(&self.body) == self.body_digest
    }

    /// `header` returns the value of the first header of a name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// `set_header` replaces all headers of a name by one.
    pub fn set_header(&mut self, name: &str, value: impl Into<SmolStr>) {
        self.headers
            .retain(|header| !header.name.eq_ignore_ascii_case(name));
        self.headers.push(Header::new(name, value));
    }
}

/// `is_forwarded` tells whether a header field is passed on, given the names listed in the
/// message's `connection` field.
#[must_use]
pub fn is_forwarded(name: &str, connection: &str) -> bool {
    let listed = connection
        .split(',')
        .any(|option| option.trim().eq_ignore_ascii_case(name));
    !listed && !HOP_BY_HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name))
}

fn find<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let header = headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))?;
    Some(header.value.as_str())
}
