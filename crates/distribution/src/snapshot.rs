//! Snapshots: immutable, validated revisions of the configuration.

use hemlockfall_core::catalogue::Configuration;
use hemlockfall_core::catalogue::validate;
use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::Revision;

use crate::errors::Error;
use crate::errors::Result;

/// Validated configuration with its digest. All constructors validate, so that a value of this type
/// is always complete and valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    configuration: Configuration,
    digest: Digest,
}

impl Snapshot {
    /// Validates a configuration and computes its digest.
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

    /// Validates a configuration that must have the given digest.
    ///
    /// # Errors
    /// [`Error::Invalid`] when the configuration breaks a rule, [`Error::DigestMismatch`] when its
    /// digest differs.
    pub fn with_digest(configuration: Configuration, digest: Digest) -> Result<Self> {
        let revision = configuration.revision;
        let snapshot = Self::new(configuration)?;
        if snapshot.digest != digest {
            return Err(Error::DigestMismatch { revision });
        }
        Ok(snapshot)
    }

    /// Returns revision 0, which has no entries.
    #[must_use]
    pub fn empty() -> Self {
        let configuration = Configuration::default();
        let digest = configuration.digest().unwrap_or_default();
        Self {
            configuration,
            digest,
        }
    }

    /// Returns the configuration.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the revision of the configuration.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.configuration.revision
    }

    /// Returns the digest of the configuration.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.digest
    }
}
