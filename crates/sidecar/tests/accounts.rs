//! Directory of client accounts, and changes of accounts between configurations.

mod common;

use std::rc::Rc;

use common::config;
use hemlockfall_sidecar::accounts::Directory;
use hemlockfall_sidecar::model::ClientAccount;
use hemlockfall_sidecar::model::KeyDigest;
use hemlockfall_sidecar::model::MeshConfig;
use quickcheck::quickcheck;

fn account(name: &str, keys: &[&str]) -> ClientAccount {
    let mut keys: Vec<KeyDigest> = keys.iter().map(|key| KeyDigest::of(key)).collect();
    keys.sort_unstable();
    ClientAccount {
        name: name.into(),
        keys,
        priority: None,
        quota: None,
        allowed_regions: Vec::new(),
    }
}

fn with_accounts(version: u64, accounts: Option<Vec<ClientAccount>>) -> Rc<MeshConfig> {
    let mut config = config(version, Vec::new());
    config.accounts = accounts.map(|mut accounts| {
        accounts.sort_by(|a, b| a.name.cmp(&b.name));
        accounts
    });
    Rc::new(config)
}

/// Guards against a key that is found at another account than the one that holds it, and against an
/// account that lacks its priority and regions.
#[test]
fn each_key_leads_to_its_account() {
    let mut large = account("large", &["l-1", "l-2"]);
    large.priority = Some(2);
    large.allowed_regions = vec!["west".into()];
    let accounts = vec![account("small", &["s-1"]), large, account("keyless", &[])];
    let directory = Directory::new(&with_accounts(3, Some(accounts))).expect("it has accounts");
    let name = |key| {
        let found = directory.caller_account(KeyDigest::of(key));
        found.map(|account| account.name)
    };

    let of_large = directory.caller_account(KeyDigest::of("l-2"));

    assert_eq!(name("l-1").as_deref(), Some("large"));
    assert_eq!(name("s-1").as_deref(), Some("small"));
    assert_eq!(name("s-2"), None);
    assert_eq!(name(""), None);
    let of_large = of_large.expect("the account holds the key");
    assert_eq!(of_large.priority, Some(2));
    assert_eq!(of_large.allowed_regions, ["west"]);
}

/// Guards against a configuration with an empty list of accounts that admits every request, and
/// against one without accounts that refuses them.
#[test]
fn only_a_configuration_without_accounts_needs_no_keys() {
    let without = Directory::new(&with_accounts(3, None));
    let empty = Directory::new(&with_accounts(3, Some(Vec::new())));

    assert!(without.is_none());
    assert!(empty.is_some_and(|empty| empty.find(&KeyDigest::of("")).is_none()));
}

/// Accounts from bytes: the name from a byte's lower bits, the key from all of it.
fn accounts_of(bytes: &[u8]) -> Option<Vec<ClientAccount>> {
    let mut accounts: Vec<ClientAccount> = bytes
        .iter()
        .map(|byte| account(&format!("a{}", byte % 32), &[&byte.to_string()]))
        .collect();
    accounts.sort_by(|a, b| a.name.cmp(&b.name));
    accounts.dedup_by(|a, b| a.name == b.name);
    (bytes.first() != Some(&0)).then_some(accounts)
}

quickcheck! {
    /// Guards against a node that keeps a revoked key, or lacks a new one, after a change that it
    /// received from another node, also one with unsorted lists.
    fn a_delta_leads_to_the_same_accounts(before: Vec<u8>, after: Vec<u8>) -> bool {
        let old = with_accounts(1, accounts_of(&before));
        let new = with_accounts(5, accounts_of(&after));
        let mut delta = new.delta_from(&old);
        if let Some(accounts) = &mut delta.accounts {
            accounts.changed.reverse();
            accounts.removed.reverse();
        }
        old.apply(delta) == Some((*new).clone())
    }
}

/// Guards against a change of one key in many accounts that is sent with all of them, or that takes a
/// time that grows with the square of their number.
#[test]
fn a_change_among_many_accounts_is_small() {
    let many = |removed: Option<usize>| -> Vec<ClientAccount> {
        (0..100_000)
            .filter(|index| Some(*index) != removed)
            .map(|index| account(&format!("a{index:06}"), &[&format!("k{index}")]))
            .collect()
    };
    let old = with_accounts(1, Some(many(None)));
    let new = with_accounts(2, Some(many(Some(77_777))));

    let delta = new.delta_from(&old);
    let accounts = delta.accounts.clone().expect("the later one has accounts");
    let applied = old.apply(delta);

    assert_eq!(accounts.removed, ["a077777"]);
    assert!(accounts.changed.is_empty());
    assert_eq!(applied, Some((*new).clone()));
}
