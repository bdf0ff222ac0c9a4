//! Lookup of client accounts by the keys that callers present.
//!
//! A directory is built once for each configuration and shares it, so that an account costs one entry
//! for each of its keys besides the configuration itself.

use std::rc::Rc;

use hemlockfall_core::ids::RegionName;

use crate::model::AccountName;
use crate::model::ClientAccount;
use crate::model::KeyDigest;
use crate::model::MeshConfig;
use crate::model::Quota;

/// Client accounts of one configuration by the digests of their keys.
#[derive(Debug)]
pub struct Directory {
    config: Rc<MeshConfig>,
    /// Digest of each key and index of the account that holds it, sorted.
    entries: Vec<(KeyDigest, u32)>,
}

/// Account of a request, as far as the request needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerAccount {
    /// Digest of the key that the request was sent with.
    pub key: KeyDigest,
    /// Name.
    pub name: AccountName,
    /// Priority that replaces that of the route.
    pub priority: Option<u8>,
    /// Limit on the account's requests, if there is one.
    pub quota: Option<Quota>,
    /// Regions in which the request may be served, sorted; empty if all regions may serve it.
    pub allowed_regions: Vec<RegionName>,
}

impl Directory {
    /// Builds the directory of a configuration; `None` if its requests need no key.
    #[must_use]
    pub fn new(config: &Rc<MeshConfig>) -> Option<Self> {
        let accounts = config.accounts.as_deref()?;
        let mut entries = Vec::with_capacity(accounts.iter().map(|a| a.keys.len()).sum());
        for (index, account) in (0..).zip(accounts) {
            entries.extend(account.keys.iter().map(|key| (*key, index)));
        }
        entries.sort_unstable();
        Some(Self {
            config: Rc::clone(config),
            entries,
        })
    }

    /// Returns the account that holds a key.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&ClientAccount> {
        let index = self
            .entries
            .binary_search_by(|(digest, _)| digest.cmp(key))
            .ok()?;
        let account = usize::try_from(self.entries[index].1).ok()?;
        self.config.accounts.as_deref()?.get(account)
    }

    /// Returns what a request with a key needs to know of its account.
    #[must_use]
    pub fn caller_account(&self, key: KeyDigest) -> Option<CallerAccount> {
        let account = self.find(&key)?;
        Some(CallerAccount {
            key,
            name: account.name.clone(),
            priority: account.priority,
            quota: account.quota,
            allowed_regions: account.allowed_regions.clone(),
        })
    }

    /// Returns the account with a name.
    #[must_use]
    pub fn find_named(&self, name: &str) -> Option<&ClientAccount> {
        let accounts = self.config.accounts.as_deref()?;
        let index = accounts
            .binary_search_by(|account| account.name.as_str().cmp(name))
            .ok()?;
        accounts.get(index)
    }

    /// Returns the memory of the entries in bytes.
    #[must_use]
    pub fn entry_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<(KeyDigest, u32)>()
    }
}
