//! Request to explain, and its form in the target of an HTTP request.

use std::fmt;
use std::time::Duration;

use hemlockfall_core::errors::ResultCode;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;
use serde::Deserialize;
use serde::Serialize;

use crate::explain::EXPLAIN_PATH;
use crate::model::AccountName;

/// Result type of this module.
pub type Result<T> = std::result::Result<T, QueryError>;

/// The request to explain is not valid.
pub const CODE_QUERY_INVALID: ResultCode = ResultCode(3720);
/// No client account has the name.
pub const CODE_ACCOUNT_UNKNOWN: ResultCode = ResultCode(3721);

/// Characters that stay as they are in an encoded value.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Longest value of a parameter, in bytes.
const MAX_VALUE_BYTES: usize = 8 * 1024;

/// Request to explain. Keys are not accepted: an account is named.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Request method.
    pub method: String,
    /// Host, with or without a port.
    pub host: String,
    /// Path, with or without a query.
    pub path: String,
    /// Name of the client account.
    pub account: Option<AccountName>,
    /// Time for which the caller waits; the timeout of the route if `None`.
    pub timeout_ms: Option<u64>,
}

/// Failure to read or to answer a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryError {
    /// Result code.
    pub code: ResultCode,
    /// Description of the failure; never holds a value of an unknown parameter, which may be a key.
    pub message: String,
}

impl fmt::Display for QueryError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.code, self.message)
    }
}

impl std::error::Error for QueryError {}

impl QueryError {
    /// Creates an error for a query that is not valid.
    pub fn invalid(message: impl Into<String>) -> Self {
        Self {
            code: CODE_QUERY_INVALID,
            message: message.into(),
        }
    }

    /// Creates an error for an account that the configuration does not hold.
    pub fn account_unknown(message: impl Into<String>) -> Self {
        Self {
            code: CODE_ACCOUNT_UNKNOWN,
            message: message.into(),
        }
    }
}

impl Query {
    /// Reads the query of an HTTP request target.
    ///
    /// # Errors
    ///
    /// Returns [`CODE_QUERY_INVALID`] if a parameter is unknown, missing, repeated or not valid.
    pub fn parse(target: &str) -> Result<Self> {
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let (mut method, mut host, mut path) = (None, None, None);
        let (mut account, mut timeout_ms) = (None, None);
        for (index, parameter) in query.split('&').filter(|text| !text.is_empty()).enumerate() {
            let (name, value) = parameter.split_once('=').unwrap_or((parameter, ""));
            let slot = match decode(name)?.as_str() {
                "method" => &mut method,
                "host" => &mut host,
                "path" => &mut path,
                "account" => &mut account,
                "timeout_ms" => &mut timeout_ms,
                _ => {
                    let message = format!(
                        "parameter {} is not one of method, host, path, account, timeout_ms",
                        index + 1
                    );
                    return Err(QueryError::invalid(message));
                }
            };
            if slot.replace(decode(value)?).is_some() {
                return Err(QueryError::invalid(format!("`{name}` is given twice")));
            }
        }
        let timeout_ms = match timeout_ms {
            None => None,
            Some(text) => Some(text.parse().map_err(|_| {
                QueryError::invalid("`timeout_ms` is not a whole number of milliseconds")
            })?),
        };
        let query = Self {
            method: method.unwrap_or_else(|| "GET".to_owned()),
            host: host.ok_or_else(|| QueryError::invalid("`host` is missing"))?,
            path: path.ok_or_else(|| QueryError::invalid("`path` is missing"))?,
            account: account.map(Into::into),
            timeout_ms,
        };
        query.check()?;
        Ok(query)
    }

    /// Checks the values.
    ///
    /// # Errors
    ///
    /// Returns [`CODE_QUERY_INVALID`] if a value could not be that of an HTTP request.
    pub fn check(&self) -> Result<()> {
        let is_token =
            |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
        let is_graphic = |text: &str| text.bytes().all(|byte| byte.is_ascii_graphic());
        let account = self.account.as_deref();
        let lengths = [&self.method, &self.host, &self.path].map(String::len);
        let longest = lengths.into_iter().chain(account.map(str::len)).max();
        let problem = if longest > Some(MAX_VALUE_BYTES) {
            "a value is longer than 8192 bytes"
        } else if self.method.is_empty() || !self.method.bytes().all(is_token) {
            "`method` is not an HTTP method"
        } else if self.host.is_empty() || !is_graphic(&self.host) {
            "`host` is not a host name"
        } else if !self.path.starts_with('/') || !is_graphic(&self.path) {
            "`path` does not begin with a slash or has characters that must be percent-encoded in \
             a path"
        } else if account == Some("") {
            "`account` is empty"
        } else if self
            .timeout_ms
            .is_some_and(|ms| !(1..=MAX_TIMEOUT_MS).contains(&ms))
        {
            "`timeout_ms` is not between 1 and 3600000"
        } else {
            return Ok(());
        };
        Err(QueryError::invalid(problem))
    }

    /// Returns the target of the HTTP request that asks for the explanation.
    #[must_use]
    pub fn to_target(&self) -> String {
        let encode = |text: &str| utf8_percent_encode(text, ENCODED).to_string();
        let mut target = format!(
            "{EXPLAIN_PATH}?method={}&host={}&path={}",
            encode(&self.method),
            encode(&self.host),
            encode(&self.path),
        );
        if let Some(account) = &self.account {
            target = target + "&account=" + &encode(account);
        }
        if let Some(timeout_ms) = self.timeout_ms {
            target = target + "&timeout_ms=" + &timeout_ms.to_string();
        }
        target
    }

    /// Returns the time for which the caller waits, if it states one.
    #[must_use]
    pub fn timeout(&self) -> Option<Duration> {
        self.timeout_ms.map(Duration::from_millis)
    }
}

/// Decodes a percent-encoded name or value.
fn decode(text: &str) -> Result<String> {
    let is_encoded = text.split('%').skip(1).all(|part| {
        let digits = part.as_bytes().get(..2);
        digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
    });
    let decoded = percent_decode_str(text).decode_utf8();
    match decoded {
        Ok(decoded) if is_encoded => Ok(decoded.into_owned()),
        _ => Err(QueryError::invalid(
            "a parameter is not percent-encoded UTF-8",
        )),
    }
}
