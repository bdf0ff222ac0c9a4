//! `bench accounts`: measures the lookup of a presented key and the memory per account of a directory
//! of client accounts, and the size of the change that a revoked key makes.

use std::hint::black_box;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use gumdrop::Options;
use hemlockfall_sidecar::accounts::Directory;
use hemlockfall_sidecar::model::CallerLimits;
use hemlockfall_sidecar::model::ClientAccount;
use hemlockfall_sidecar::model::KeyDigest;
use hemlockfall_sidecar::model::MeshConfig;
use hemlockfall_sidecar::model::Quota;
use serde::Serialize;

const SIZES: [u32; 3] = [100, 10_000, 100_000];
const LOOKUPS: u32 = 1_000_000;
/// Keys that are looked up, so that making them is not measured.
const PRESENTED_KEYS: u32 = 4096;

/// Options of `bench accounts`.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
}

/// Figures of one number of accounts with one key each.
#[derive(Debug, Serialize)]
struct Figures {
    accounts: u32,
    /// Time of a lookup, with the digest of the key.
    lookup_ns: u64,
    /// Time of the digest alone.
    digest_ns: u64,
    /// Time to build the directory of a configuration.
    build_us: u64,
    /// Time to make the change of one revoked key, and to apply it.
    change_us: u64,
    /// Memory of the accounts in the configuration and the directory.
    bytes_per_account: usize,
    /// Memory of the directory alone.
    directory_bytes_per_account: usize,
    /// Size of the accounts on a link, before compression.
    link_bytes_per_account: usize,
}

/// Runs the bench and prints its figures as one JSON object on the last line.
///
/// # Errors
/// A message with the reason why a measurement failed.
pub fn run(_arguments: &Arguments) -> Result<(), String> {
    let figures = SIZES
        .into_iter()
        .map(measure)
        .collect::<Result<Vec<Figures>, String>>()?;
    let line = serde_json::to_string(&figures).map_err(|error| error.to_string())?;
    println!(
        "{{\"machine\":\"{}\",\"sizes\":{line}}}",
        std::env::consts::ARCH
    );
    Ok(())
}

fn key(number: u32) -> String {
    format!(
        "ak_live_{number:08x}{:016x}",
        u64::from(number) * 0x9e37_79b9
    )
}

/// Returns a configuration with accounts, of which one may have lost its key.
fn config(version: u64, accounts: u32, revoked: Option<u32>) -> Rc<MeshConfig> {
    let account = |number: u32| ClientAccount {
        name: format!("account-{number:06}").into(),
        keys: (revoked != Some(number))
            .then(|| KeyDigest::of(&key(number)))
            .into_iter()
            .collect(),
        priority: Some(1),
        quota: Some(Quota {
            milli_per_s: 5000,
            burst: 5,
        }),
        allowed_regions: Vec::new(),
    };
    Rc::new(MeshConfig {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 1_048_576,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        accounts: Some((0..accounts).map(account).collect()),
    })
}

fn measure(accounts: u32) -> Result<Figures, String> {
    let before = config(1, accounts, None);
    let started = Instant::now();
    let directory = Directory::new(&before).ok_or("the configuration has accounts")?;
    let build = started.elapsed();
    // Steps of a prime number visit the accounts in an order without locality.
    let presented: Vec<String> = (0..PRESENTED_KEYS)
        .map(|index| key(index.wrapping_mul(7919) % accounts))
        .collect();
    let lookup_ns = time_per_key(&presented, |key| {
        black_box(directory.caller_account(KeyDigest::of(key)));
    });
    let digest_ns = time_per_key(&presented, |key| {
        black_box(KeyDigest::of(key));
    });
    let after = config(2, accounts, Some(accounts / 2));
    let started = Instant::now();
    let applied = before.apply(after.delta_from(&before));
    let change = started.elapsed();
    if applied.as_ref() != Some(&*after) {
        return Err("the change leads to another configuration".to_owned());
    }
    let list = before.accounts.as_deref().unwrap_or_default();
    let count = list.len().max(1);
    let held: usize = list.iter().map(held_bytes).sum();
    let on_link = postcard::to_stdvec(list).map_err(|error| error.to_string())?;
    Ok(Figures {
        accounts,
        lookup_ns,
        digest_ns,
        build_us: whole_us(build),
        change_us: whole_us(change),
        bytes_per_account: (held + directory.entry_bytes()) / count,
        directory_bytes_per_account: directory.entry_bytes() / count,
        link_bytes_per_account: on_link.len() / count,
    })
}

/// Returns the memory of an account, without what the allocator adds. Names of up to 23 bytes lie in
/// the structure.
fn held_bytes(account: &ClientAccount) -> usize {
    size_of::<ClientAccount>() + account.keys.capacity() * size_of::<KeyDigest>()
}

fn time_per_key(keys: &[String], look_up: impl Fn(&str)) -> u64 {
    let started = Instant::now();
    for key in keys.iter().cycle().take(LOOKUPS as usize) {
        look_up(black_box(key));
    }
    let ns = started.elapsed().as_nanos() / u128::from(LOOKUPS);
    u64::try_from(ns).unwrap_or(u64::MAX)
}

fn whole_us(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
