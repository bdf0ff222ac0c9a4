//! Snapshots: one validated revision of the configuration that never changes.

use hemlockfall_core::catalogue::Configuration;
use hemlockfall_core::catalogue::validate;
use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::Revision;

use crate::errors::Error;
use crate::errors::Result;

/// `Snapshot` is a validated configuration with its digest. It is only built through checking
/// constructors, so a value of this type is always whole and valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    configuration: Configuration,
    digest: Digest,
}

impl Snapshot {
    /// `new` validates a configuration and computes its digest.
    ///
    /// # Errors
    /// [`Error::Invalid`] when the configuration breaks a rule.
    pub fn new(configuration: Configuration) -> Result<Self> {
        validate::check(&configuration).map_err(Error::invalid)?;
        let digest = configuration.digest().map_err(Error::invalid)?;
        Ok(Self {
            configuration,
            digest,
        })
    }

    /// `with_digest` validates a configuration that must have the given digest.
    ///
    /// # Errors
    /// [`Error::DigestMismatch`] and [`Error::Invalid`].
    pub fn with_digest(configuration: Configuration, digest: Digest) -> Result<Self> {
        let revision = configuration.revision;
        let snapshot = Self::new(configuration)?;
        if snapshot.digest != digest {
            return Err(Error::DigestMismatch { revision });
        }
        Ok(snapshot)
    }

    /// `empty` returns revision 0, which has no entries.
    #[must_use]
    pub fn empty() -> Self {
        let configuration = Configuration::default();
        let digest = configuration.digest().unwrap_or_default();
        Self {
            configuration,
            digest,
        }
    }

    /// `configuration` returns the content.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// `revision` returns the revision of the content.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.configuration.revision
    }

    /// `digest` returns the digest of the content.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.digest
    }
}
