//! Options and command-line arguments of the caller stand-in.

use std::ffi::OsString;
use std::net::SocketAddr;

use crate::caller::CallerOptions;
use crate::caller::KeyMode;
use crate::caller::RequestKind;

/// Creates the options of a caller, with the defaults of the command line.
#[must_use]
pub fn options(through: Vec<SocketAddr>, kind: Vec<RequestKind>, count: usize) -> CallerOptions {
    CallerOptions {
        help: false,
        through,
        kind,
        count,
        concurrency: 8,
        rate_per_s: 0,
        prefix: "r".to_owned(),
        timeout_ms: 5_000,
        resends: 0,
        resend_pause_ms: 0,
        body: "body".to_owned(),
        seed: 1,
    }
}

/// Returns the arguments of the `xtask` binary for a caller.
#[must_use]
pub fn arguments(options: &CallerOptions) -> Vec<OsString> {
    let mut texts = vec![
        "caller".to_owned(),
        format!("--count={}", options.count),
        format!("--concurrency={}", options.concurrency),
        format!("--rate-per-s={}", options.rate_per_s),
        format!("--prefix={}", options.prefix),
        format!("--timeout-ms={}", options.timeout_ms),
        format!("--resends={}", options.resends),
        format!("--resend-pause-ms={}", options.resend_pause_ms),
        format!("--body={}", options.body),
        format!("--seed={}", options.seed),
    ];
    let through = options.through.iter();
    texts.extend(through.map(|address| format!("--through={address}")));
    texts.extend(options.kind.iter().map(kind_argument));
    texts.into_iter().map(OsString::from).collect()
}

fn kind_argument(kind: &RequestKind) -> String {
    let key = match kind.key {
        KeyMode::Unique => "unique",
        KeyMode::Once => "once",
        KeyMode::None => "none",
    };
    format!("--kind={}:{}:{key}", kind.service, kind.path)
}
