//! Single HTTP requests of the store protocol and the classification of their failures.

use std::io;
use std::time::Duration;

use ureq::Agent;
use ureq::Body;
use ureq::Timeout;
use ureq::http::Response;
use ureq::http::StatusCode;

use crate::client::VALUE_LIMIT_BYTES;
use crate::errors::Error;
use crate::errors::Result;
use crate::options::Options;

/// Allowance above the value limit for the body of a response, so that a body slightly over the
/// limit is still read.
const BODY_ALLOWANCE_BYTES: u64 = 64 * 1024;
/// Maximum wait accepted from a `retry-after` header, in seconds.
const MAX_RETRY_AFTER_S: u64 = 600;

pub(crate) const VERSION_HEADER: &str = "object-version";
pub(crate) const CONDITION_HEADER: &str = "if-version";

/// Creates the HTTP client.
///
/// Redirects and the environment's proxy settings are ignored, because the store is addressed
/// directly.
pub(crate) fn agent(options: &Options) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .timeout_connect(Some(options.connect_timeout()))
        .build()
        .new_agent()
}

/// Request to the store.
pub(crate) enum StoreRequest<'a> {
    Get,
    Put { if_version: u64, body: &'a [u8] },
    Delete { if_version: u64 },
}

impl StoreRequest<'_> {
    fn is_write(&self) -> bool {
        match self {
            Self::Get => false,
            Self::Put { .. } | Self::Delete { .. } => true,
        }
    }

    /// Sends the request and returns the complete response.
    pub(crate) fn run(&self, agent: &Agent, url: &str, timeout: Duration) -> Result<StoreResponse> {
        let response = self.send(agent, url, timeout).and_then(StoreResponse::read);
        response.map_err(|error| classify(&error, self.is_write()))
    }

    fn send(
        &self,
        agent: &Agent,
        url: &str,
        timeout: Duration,
    ) -> std::result::Result<Response<Body>, ureq::Error> {
        let timeout = Some(timeout);
        match self {
            Self::Get => agent
                .get(url)
                .config()
                .timeout_global(timeout)
                .build()
                .call(),
            Self::Put { if_version, body } => agent
                .put(url)
                .header(CONDITION_HEADER, if_version.to_string())
                .config()
                .timeout_global(timeout)
                .build()
                .send(*body),
            Self::Delete { if_version } => agent
                .delete(url)
                .header(CONDITION_HEADER, if_version.to_string())
                .config()
                .timeout_global(timeout)
                .build()
                .call(),
        }
    }
}

/// Complete response of the store.
pub(crate) struct StoreResponse {
    pub(crate) status: StatusCode,
    pub(crate) version: Option<u64>,
    pub(crate) body: Vec<u8>,
    retry_after: Option<Duration>,
}

impl StoreResponse {
    fn read(mut response: Response<Body>) -> std::result::Result<Self, ureq::Error> {
        let number = |name: &str| {
            let header = response.headers().get(name)?;
            header.to_str().ok()?.trim().parse::<u64>().ok()
        };
        let version = number(VERSION_HEADER);
        let retry_after =
            number("retry-after").map(|wait_s| Duration::from_secs(wait_s.min(MAX_RETRY_AFTER_S)));
        let status = response.status();
        let limit_bytes = VALUE_LIMIT_BYTES as u64 + BODY_ALLOWANCE_BYTES;
        let body = response
            .body_mut()
            .with_config()
            .limit(limit_bytes)
            .read_to_vec()?;
        Ok(Self {
            status,
            version,
            body,
            retry_after,
        })
    }

    /// Returns the error for a status that is not a success.
    pub(crate) fn error(&self, key: &str, is_write: bool) -> Error {
        match self.status {
            StatusCode::PRECONDITION_FAILED => Error::Conflict {
                key: key.to_owned(),
                current_version: self.version,
            },
            StatusCode::PAYLOAD_TOO_LARGE => Error::TooLarge {
                key: key.to_owned(),
                size_bytes: 0,
            },
            StatusCode::TOO_MANY_REQUESTS => Error::Throttled {
                retry_after: self.retry_after,
            },
            StatusCode::SERVICE_UNAVAILABLE => Error::Unavailable {
                retry_after: self.retry_after,
            },
            // Other server errors do not show whether they occurred before or after the write.
            status if status.is_server_error() && is_write => {
                Error::outcome_unknown(format!("status {status}"))
            }
            status if status.is_server_error() => Error::unreachable(format!("status {status}")),
            status => Error::malformed(format!("status {status} for `{key}`")),
        }
    }
}

/// Maps an error of the HTTP client. A failed write certainly had no effect only if the request
/// was not sent.
fn classify(error: &ureq::Error, is_write: bool) -> Error {
    let reason = error.to_string();
    match error {
        ureq::Error::BodyExceedsLimit(_) if !is_write => Error::malformed(reason),
        _ if !is_write || is_unsent(error) => Error::unreachable(reason),
        _ => Error::outcome_unknown(reason),
    }
}

fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        ureq::Error::Io(error) => matches!(
            error.kind(),
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::AddrNotAvailable
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
        ),
        _ => false,
    }
}
