//! Leases: exclusive ownership for a limited time, fenced by a term.
//!
//! The term increases with each acquisition and never decreases. A released lease keeps its
//! object, with an expiry in the past, because after a deletion the terms would start at 1 again.

use std::time::Duration;

use hemlockfall_core::units;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use uuid::Uuid;

use crate::client::Client;
use crate::client::Object;
use crate::client::Written;
use crate::errors::Error;
use crate::errors::Result;

/// Value of a lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Name of the holder.
    pub holder: SmolStr,
    /// Fencing term, which increases with each acquisition.
    pub term: u64,
    /// When the lease expires, in unix milliseconds; 0 after a release.
    pub expires_unix_ms: u64,
    /// Identifies the write, so that its outcome can be read back if the response was lost.
    pub operation_id: Uuid,
}

/// Lease acquired by this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    key: String,
    version: u64,
    record: LeaseRecord,
}

impl Lease {
    /// Returns the fencing term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.record.term
    }

    /// Returns when the lease expires, in unix milliseconds.
    #[must_use]
    pub fn expires_unix_ms(&self) -> u64 {
        self.record.expires_unix_ms
    }

    /// Returns whether the holder may still act on the lease.
    #[must_use]
    pub fn is_valid(&self, now_unix_ms: u64) -> bool {
        now_unix_ms < self.record.expires_unix_ms
    }

    /// Acquires a lease that nobody holds, that has expired, or that an earlier incarnation of the
    /// same holder acquired.
    ///
    /// # Errors
    /// [`Error::LeaseHeld`], [`Error::OutcomeUnknown`], and failures without an effect.
    pub fn acquire(
        client: &Client,
        key: &str,
        holder: &str,
        duration: Duration,
        now_unix_ms: u64,
    ) -> Result<Self> {
        let object = client.get(key)?;
        let (version, term) = match &object {
            None => (0, 0),
            Some(object) => {
                let record = decode(key, object)?;
                let skew_ms = client.options().lease_clock_skew_ms;
                check_free(&record, holder, skew_ms, now_unix_ms)?;
                (object.version, record.term)
            }
        };
        let record = LeaseRecord {
            holder: holder.into(),
            term: term + 1,
            expires_unix_ms: now_unix_ms.saturating_add(units::duration_ms(duration)),
            operation_id: Uuid::new_v4(),
        };
        match write(client, key, version, &record)? {
            Written::Done(version) | Written::Found(Object { version, .. }) => Ok(Self {
                key: key.to_owned(),
                version,
                record,
            }),
            Written::Superseded(object) => Err(held_by_other(key, object.as_ref())),
        }
    }

    /// Extends the lease. After an error the lease is unchanged; if the outcome is unknown,
    /// [`Self::is_valid`] still uses the old expiry.
    ///
    /// # Errors
    /// [`Error::LeaseLost`] if another holder has written the lease since.
    pub fn renew(&mut self, client: &Client, duration: Duration, now_unix_ms: u64) -> Result<()> {
        let expires_unix_ms = now_unix_ms.saturating_add(units::duration_ms(duration));
        self.rewrite(client, expires_unix_ms)
    }

    /// Releases the lease, so that another holder does not have to wait for its expiry.
    ///
    /// # Errors
    /// [`Error::LeaseLost`] if another holder has written the lease since.
    pub fn release(mut self, client: &Client) -> Result<()> {
        self.rewrite(client, 0)
    }

    fn rewrite(&mut self, client: &Client, expires_unix_ms: u64) -> Result<()> {
        let record = LeaseRecord {
            expires_unix_ms,
            operation_id: Uuid::new_v4(),
            ..self.record.clone()
        };
        match write(client, &self.key, self.version, &record)? {
            Written::Done(version) | Written::Found(Object { version, .. }) => {
                self.version = version;
                self.record = record;
                Ok(())
            }
            Written::Superseded(object) => {
                self.adopt_earlier_renewal(object.as_ref())?;
                self.retry_rewrite(client, record)
            }
        }
    }

    /// Adopts the stored object if it is an earlier renewal of this lease. A renewal with an
    /// unknown outcome may have taken effect: then the object has this holder and term, but a new
    /// version.
    fn adopt_earlier_renewal(&mut self, object: Option<&Object>) -> Result<()> {
        let lost = || Error::LeaseLost {
            key: self.key.clone(),
        };
        let object = object.ok_or_else(lost)?;
        let record = decode(&self.key, object)?;
        if record.holder != self.record.holder || record.term != self.record.term {
            return Err(lost());
        }
        self.version = object.version;
        self.record = record;
        Ok(())
    }

    fn retry_rewrite(&mut self, client: &Client, record: LeaseRecord) -> Result<()> {
        match write(client, &self.key, self.version, &record)? {
            Written::Done(version) | Written::Found(Object { version, .. }) => {
                self.version = version;
                self.record = record;
                Ok(())
            }
            Written::Superseded(_) => Err(Error::LeaseLost {
                key: self.key.clone(),
            }),
        }
    }
}

fn write(client: &Client, key: &str, if_version: u64, record: &LeaseRecord) -> Result<Written> {
    let body = serde_json::to_vec(record).map_err(|error| Error::malformed(error.to_string()))?;
    let is_own = |object: &Object| {
        decode(key, object).map(|found| found.operation_id == record.operation_id)
    };
    let mut backoff = client.backoff();
    client.put_settled(key, if_version, &body, is_own, &mut backoff)
}

fn check_free(record: &LeaseRecord, holder: &str, skew_ms: u64, now_unix_ms: u64) -> Result<()> {
    let is_released = record.expires_unix_ms == 0;
    let is_expired = now_unix_ms > record.expires_unix_ms.saturating_add(skew_ms);
    if is_released || is_expired || record.holder == holder {
        return Ok(());
    }
    Err(held(record))
}

fn held(record: &LeaseRecord) -> Error {
    Error::LeaseHeld {
        holder: record.holder.to_string(),
        expires_unix_ms: record.expires_unix_ms,
    }
}

fn held_by_other(key: &str, object: Option<&Object>) -> Error {
    let record = object.map(|object| decode(key, object));
    match record {
        Some(Ok(record)) => held(&record),
        Some(Err(error)) => error,
        None => Error::Conflict {
            key: key.to_owned(),
            current_version: None,
        },
    }
}

fn decode(key: &str, object: &Object) -> Result<LeaseRecord> {
    serde_json::from_slice(&object.body)
        .map_err(|error| Error::malformed(format!("lease `{key}`: {error}")))
}
