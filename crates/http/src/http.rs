//! HTTP messages as they are sent between nodes.

use hemlockfall_core::codec;
use hemlockfall_core::ids::Digest;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Header that tells a caller whether its request ran.
pub const OUTCOME_HEADER: &str = "hemlockfall-outcome";
/// Header with the result code of an answer that hemlockfall itself created.
pub const CODE_HEADER: &str = "hemlockfall-code";
/// Header with the time left for a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "hemlockfall-deadline-ms";
/// Header with the id of the attempt.
pub const ATTEMPT_HEADER: &str = "hemlockfall-attempt";
/// Header that marks a retry. Targets copy the header to the calls that they make for the request.
pub const RETRY_HEADER: &str = "hemlockfall-retry";
/// Header that marks a target's answer as shed before the request ran.
pub const NOT_RUN_HEADER: &str = "hemlockfall-not-run";
/// Header with the idempotency key of a request.
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

/// HTTP header field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Field name, in its original case.
    pub name: SmolStr,
    /// Field value.
    pub value: SmolStr,
}

impl Header {
    /// Returns whether the field can be written without being taken for something else: the name is
    /// a token of RFC 9110, and the value has no control characters but tabs.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let is_token =
            |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
        !self.name.is_empty()
            && self.name.bytes().all(is_token)
            && !self
                .value
                .bytes()
                .any(|byte| byte.is_ascii_control() && byte != b'\t')
    }

    /// Creates a header field.
    pub fn new(name: impl Into<SmolStr>, value: impl Into<SmolStr>) -> Self {
        Self {
            name: name.into(),
            value: value.into(),
        }
    }
}

/// Complete HTTP request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpRequest {
    /// Request method.
    pub method: SmolStr,
    /// Request target: path with query.
    pub target: SmolStr,
    /// Header fields without the hop-by-hop ones.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
}

/// Complete HTTP answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpAnswer {
    /// Status code.
    pub status: u16,
    /// Header fields without the hop-by-hop ones.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
    /// Digest of the body, computed where the answer was received.
    pub body_digest: Digest,
}

impl HttpRequest {
    /// Returns the value of the first header of a name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(self.target.as_str(), |(path, _)| path)
    }

    /// Returns the first label of the host, which names the service.
    #[must_use]
    pub fn service(&self) -> Option<&str> {
        let host = self.header("host")?;
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        name.split('.').next().filter(|label| !label.is_empty())
    }
}

impl HttpAnswer {
    /// Returns whether the answer can be passed on to a caller: its status is that of a final answer
    /// and its header fields are valid.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        is_final_status(self.status) && self.headers.iter().all(Header::is_valid)
    }

    /// Creates an answer with the digest of its body.
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

    /// Returns whether the body still matches the digest computed when the answer was received.
    #[must_use]
    pub fn is_body_intact(&self) -> bool {
        codec::digest(&self.body) == self.body_digest
    }

    /// Returns the value of the first header of a name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Sets a header and removes all other headers of that name.
    pub fn set_header(&mut self, name: &str, value: impl Into<SmolStr>) {
        self.headers
            .retain(|header| !header.name.eq_ignore_ascii_case(name));
        self.headers.push(Header::new(name, value));
    }
}

/// Returns whether a status lies in one of the five classes of RFC 9110.
#[must_use]
pub fn is_status(status: u16) -> bool {
    (100..=599).contains(&status)
}

/// Returns whether a status is that of a final answer, which ends a request.
#[must_use]
pub fn is_final_status(status: u16) -> bool {
    (200..=599).contains(&status)
}

/// Returns whether a header field is forwarded. Hop-by-hop fields and the fields named in the
/// message's `connection` field are not.
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
