//! Operations on single objects.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use ureq::Agent;
use ureq::http::StatusCode;

use crate::backoff::Backoff;
use crate::errors::Effect;
use crate::errors::Error;
use crate::errors::Result;
use crate::options::Options;
use crate::wire;
use crate::wire::StoreRequest;
use crate::wire::StoreResponse;

/// Maximum size of a value in the store (1 MB).
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Stored value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version, at least 1.
    pub version: u64,
    /// Value.
    pub body: Vec<u8>,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched {
    /// The object has a later version.
    Changed(Object),
    /// The watch time passed without a change.
    Unchanged,
    /// The object does not exist.
    Missing,
}

/// Entry of a listing.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Listed {
    /// Key of the object.
    pub key: String,
    /// Version of the object.
    pub version: u64,
}

/// Result of a write after lost responses were settled by reading the object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// The write took effect; holds the new version.
    Done(u64),
    /// The response was lost, and reading the object shows that the write took effect. Holds the
    /// current object, which may contain later writes.
    Found(Object),
    /// Another write came first; holds the current object.
    Superseded(Option<Object>),
}

/// Client of the store. Clones share connections and may be used by several threads.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    options: Options,
    seed: Arc<AtomicU64>,
}

impl Client {
    /// Creates a client without opening a connection. `seed` is for the jitter of the retries.
    #[must_use]
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            agent: wire::agent(&options),
            options,
            seed: Arc::new(AtomicU64::new(seed)),
        }
    }

    /// Returns the options of the client.
    #[must_use]
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Creates the backoff of one operation, which is bounded by the total timeout.
    #[must_use]
    pub fn backoff(&self) -> Backoff {
        let seed = self.seed.fetch_add(1, Ordering::Relaxed);
        let deadline = Instant::now() + self.options.total_timeout();
        Backoff::new(&self.options, seed, deadline)
    }

    /// Reads an object, with retries while the store does not answer. `None` if the object does
    /// not exist.
    ///
    /// # Errors
    /// The last failure when the total timeout passes, [`Error::Malformed`] at once.
    pub fn get(&self, key: &str) -> Result<Option<Object>> {
        let mut backoff = self.backoff();
        self.get_within(key, &mut backoff)
    }

    pub(crate) fn get_within(&self, key: &str, backoff: &mut Backoff) -> Result<Option<Object>> {
        retry(backoff, |deadline| self.get_once(key, deadline))
    }

    fn get_once(&self, key: &str, deadline: Instant) -> Result<Option<Object>> {
        let url = self.object_url(key)?;
        let response = StoreRequest::Get.run(&self.agent, &url, self.time_left(deadline))?;
        match response.status {
            StatusCode::OK => object(key, response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(response.error(key, false)),
        }
    }

    /// Waits until the version of an object exceeds `after_version`, for at most the watch time of
    /// the options. It is not retried; callers loop and use [`Self::backoff`].
    ///
    /// # Errors
    /// [`Error::Unreachable`], [`Error::Throttled`], [`Error::Unavailable`] and
    /// [`Error::Malformed`].
    pub fn watch(&self, key: &str, after_version: u64) -> Result<Watched> {
        let wait_ms = self.options.watch_wait_ms;
        let url = format!(
            "{}?after={after_version}&wait_ms={wait_ms}",
            self.object_url(key)?
        );
        let timeout = self.options.request_timeout() + Duration::from_millis(wait_ms);
        let response = StoreRequest::Get.run(&self.agent, &url, timeout)?;
        match response.status {
            StatusCode::OK => object(key, response).map(Watched::Changed),
            StatusCode::NOT_MODIFIED => Ok(Watched::Unchanged),
            StatusCode::NOT_FOUND => Ok(Watched::Missing),
            _ => Err(response.error(key, false)),
        }
    }

    /// Returns the keys and versions of the objects whose keys have a prefix.
    ///
    /// # Errors
    /// The last failure when the total timeout passes, [`Error::Malformed`] at once.
    pub fn list(&self, prefix: &str) -> Result<Vec<Listed>> {
        check_key(prefix)?;
        let url = format!("http://{}/v1/list?prefix={prefix}", self.options.address);
        let mut backoff = self.backoff();
        retry(&mut backoff, |deadline| {
            let response = StoreRequest::Get.run(&self.agent, &url, self.time_left(deadline))?;
            match response.status {
                StatusCode::OK => serde_json::from_slice(&response.body)
                    .map_err(|error| Error::malformed(format!("listing: {error}"))),
                _ => Err(response.error(prefix, false)),
            }
        })
    }

    /// Writes an object if its version is `if_version` (0: it must not exist) and returns the new
    /// version. The write is retried only if it certainly had no effect.
    ///
    /// # Errors
    /// [`Error::Conflict`], [`Error::TooLarge`], [`Error::OutcomeUnknown`] if the response was
    /// lost, or the last failure when the total timeout passes.
    pub fn put(&self, key: &str, if_version: u64, body: &[u8]) -> Result<u64> {
        let mut backoff = self.backoff();
        retry(&mut backoff, |deadline| {
            self.put_once(key, if_version, body, deadline)
        })
    }

    fn put_once(&self, key: &str, if_version: u64, body: &[u8], deadline: Instant) -> Result<u64> {
        let too_large = || Error::TooLarge {
            key: key.to_owned(),
            size_bytes: body.len(),
        };
        if body.len() > VALUE_LIMIT_BYTES {
            return Err(too_large());
        }
        let url = self.object_url(key)?;
        let request = StoreRequest::Put { if_version, body };
        let response = request.run(&self.agent, &url, self.time_left(deadline))?;
        match (response.status, response.version) {
            (StatusCode::OK, Some(version)) => Ok(version),
            (StatusCode::OK, None) => Err(Error::outcome_unknown("the response has no version")),
            (StatusCode::PAYLOAD_TOO_LARGE, _) => Err(too_large()),
            _ => Err(response.error(key, true)),
        }
    }

    /// Deletes an object if its version is `if_version`. The deletion is retried only if it
    /// certainly had no effect.
    ///
    /// # Errors
    /// As [`Self::put`].
    pub fn delete(&self, key: &str, if_version: u64) -> Result<()> {
        let url = self.object_url(key)?;
        let mut backoff = self.backoff();
        retry(&mut backoff, |deadline| {
            let request = StoreRequest::Delete { if_version };
            let response = request.run(&self.agent, &url, self.time_left(deadline))?;
            match response.status {
                StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
                _ => Err(response.error(key, true)),
            }
        })
    }

    /// Writes like [`Self::put`]. If a response was lost, it reads the object, and `is_own` returns
    /// whether the object shows that the write took effect.
    ///
    /// While the object still has `if_version`, the first write may still arrive. A retry is safe
    /// because both have the same condition, so only one of them can succeed.
    ///
    /// # Errors
    /// [`Error::OutcomeUnknown`] if the object could not be read back in time.
    pub(crate) fn put_settled(
        &self,
        key: &str,
        if_version: u64,
        body: &[u8],
        is_own: impl Fn(&Object) -> Result<bool>,
        backoff: &mut Backoff,
    ) -> Result<Written> {
        let mut maybe_written = false;
        loop {
            let failure = match self.put_once(key, if_version, body, backoff.deadline()) {
                Ok(version) => return Ok(Written::Done(version)),
                Err(error) => error,
            };
            maybe_written |= failure.effect() == Effect::Unknown;
            if !may_retry(&failure) {
                return Err(outcome_unknown_if(maybe_written, failure));
            }
            if maybe_written || failure.effect() == Effect::Conflict {
                let read_back = self.read_back(key, if_version, &is_own, backoff);
                let settled =
                    read_back.map_err(|error| outcome_unknown_if(maybe_written, error))?;
                if let Some(written) = settled {
                    return Ok(written);
                }
            }
            let Some(wait) = backoff.next_wait(Instant::now(), failure.retry_after()) else {
                return Err(outcome_unknown_if(maybe_written, failure));
            };
            thread::sleep(wait);
        }
    }

    /// Reads an object after a failed write; `None` while it still has the version that the
    /// write is conditional on.
    fn read_back(
        &self,
        key: &str,
        if_version: u64,
        is_own: impl Fn(&Object) -> Result<bool>,
        backoff: &mut Backoff,
    ) -> Result<Option<Written>> {
        let object = self.get_within(key, backoff)?;
        match object {
            Some(object) if object.version == if_version => Ok(None),
            Some(object) if is_own(&object)? => Ok(Some(Written::Found(object))),
            None if if_version == 0 => Ok(None),
            other => Ok(Some(Written::Superseded(other))),
        }
    }

    fn object_url(&self, key: &str) -> Result<String> {
        check_key(key)?;
        Ok(format!("http://{}/v1/objects/{key}", self.options.address))
    }

    fn time_left(&self, deadline: Instant) -> Duration {
        // The HTTP client takes a timeout of zero as no timeout.
        const MIN_TIMEOUT: Duration = Duration::from_millis(1);
        let left = deadline.saturating_duration_since(Instant::now());
        left.min(self.options.request_timeout()).max(MIN_TIMEOUT)
    }
}

fn may_retry(failure: &Error) -> bool {
    matches!(failure.effect(), Effect::Unknown | Effect::Conflict) || failure.is_transient()
}

/// Returns the error of an operation: its outcome is unknown if a response was lost earlier.
fn outcome_unknown_if(maybe_written: bool, error: Error) -> Error {
    if maybe_written && error.effect() != Effect::Unknown {
        Error::outcome_unknown(error.to_string())
    } else {
        error
    }
}

fn object(key: &str, response: StoreResponse) -> Result<Object> {
    let Some(version) = response.version else {
        return Err(Error::malformed(format!("`{key}` has no version")));
    };
    Ok(Object {
        version,
        body: response.body,
    })
}

fn check_key(key: &str) -> Result<()> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    let has_dot_segment = key.split('/').any(|segment| matches!(segment, "." | ".."));
    if key.is_empty() || has_dot_segment || !key.chars().all(is_allowed) {
        return Err(Error::KeyInvalid {
            key: key.to_owned(),
        });
    }
    Ok(())
}

fn retry<T>(backoff: &mut Backoff, mut attempt: impl FnMut(Instant) -> Result<T>) -> Result<T> {
    loop {
        let failure = match attempt(backoff.deadline()) {
            Err(error) if error.is_transient() => error,
            result => return result,
        };
        match backoff.next_wait(Instant::now(), failure.retry_after()) {
            Some(wait) => thread::sleep(wait),
            None => return Err(failure),
        }
    }
}
