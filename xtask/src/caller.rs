//! Stand-in for callers: sends requests through nodes and records every outcome.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use gumdrop::Options;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use ureq::Agent;
use uuid::Uuid;

use crate::errors::Error;
use crate::errors::Result;
use crate::http;
use crate::http::Reply;
use crate::target::Echo;
use crate::target::request_digest;

/// How requests of a kind are identified, and how often they may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyMode {
    /// A key per request; must run at most once.
    Unique,
    /// No key, but must run at most once.
    Once,
    /// No key; may run more than once.
    None,
}

impl FromStr for KeyMode {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "unique" => Ok(Self::Unique),
            "once" => Ok(Self::Once),
            "none" => Ok(Self::None),
            other => Err(format!("key mode `{other}`, allowed: unique, once, none")),
        }
    }
}

/// Kind of requests, written `SERVICE:PATH:unique|once|none`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestKind {
    /// Service, first label of `Host`.
    pub service: String,
    /// Path.
    pub path: String,
    /// How requests are identified.
    pub key: KeyMode,
}

impl FromStr for RequestKind {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        let mut parts = text.split(':');
        let (Some(service), Some(path), Some(key), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(format!("`{text}` is not SERVICE:PATH:unique|once|none"));
        };
        Ok(Self {
            service: service.to_owned(),
            path: path.to_owned(),
            key: key.parse()?,
        })
    }
}

/// Options of the caller stand-in.
#[derive(Clone, Debug, Options)]
pub struct CallerOptions {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Caller addresses of the nodes, used in turn.
    #[options(no_short, meta = "IP:PORT", help = "node address; may be repeated")]
    pub through: Vec<SocketAddr>,
    /// Kinds of requests, used in turn.
    #[options(
        no_short,
        meta = "SERVICE:PATH:KEY",
        help = "kind of requests; may be repeated"
    )]
    pub kind: Vec<RequestKind>,
    /// Number of requests.
    #[options(default = "1", meta = "N", help = "number of requests")]
    pub count: usize,
    /// Requests in flight at once.
    #[options(
        no_short,
        default = "8",
        meta = "N",
        help = "requests in flight at once"
    )]
    pub concurrency: usize,
    /// Requests begun per second; 0 means no limit.
    #[options(
        default = "0",
        meta = "N",
        help = "requests begun per second, 0 for no limit"
    )]
    pub rate_per_s: u64,
    /// Prefix of the request ids.
    #[options(
        no_short,
        default = "r",
        meta = "TEXT",
        help = "prefix of the request ids"
    )]
    pub prefix: String,
    /// Timeout of one send, in milliseconds.
    #[options(default = "5000", meta = "MS", help = "time for one send")]
    pub timeout_ms: u64,
    /// Maximum number of resends of a request while its outcome is not `ran`; they carry the same
    /// key, if any.
    #[options(
        no_short,
        default = "0",
        meta = "N",
        help = "repeated sends with the same key"
    )]
    pub resends: usize,
    /// Pause before every resend, in milliseconds.
    #[options(
        no_short,
        default = "0",
        meta = "MS",
        help = "pause before a repeated send"
    )]
    pub resend_pause_ms: u64,
    /// Text at the start of every body.
    #[options(
        default = "body",
        meta = "TEXT",
        help = "text at the start of every body"
    )]
    pub body: String,
    /// Seed of the keys.
    #[options(
        default = "1",
        meta = "N",
        help = "seed of the random part of the keys"
    )]
    pub seed: u64,
}

/// Outcome of one send as the caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran.
    Ran,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Record of one send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendRecord {
    /// Header `x-request-id`; every send has its own.
    pub request_id: String,
    /// Header `idempotency-key`.
    pub key: Option<String>,
    /// Whether the request must run at most once.
    pub once: bool,
    /// Status, 0 without an answer.
    pub status: u16,
    /// Outcome.
    pub outcome: Outcome,
    /// Header `hemlockfall-code`.
    pub code: Option<String>,
    /// Whether the answer is complete and the answer to this request.
    pub whole: bool,
    /// Whether the answer is marked as a target's but is not whole.
    pub wrong: bool,
    /// Version of the target that answered.
    pub version: Option<String>,
    /// Time until the answer or the failure, in microseconds.
    pub latency_us: u64,
    /// Error when there was no answer.
    pub failure: Option<String>,
}

/// JSON line that the caller prints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerReport {
    /// All sends; those of one request are consecutive.
    pub sends: Vec<SendRecord>,
}

struct SendPlan {
    options: CallerOptions,
    agent: Agent,
    started: Instant,
    next: AtomicUsize,
    keys: Mutex<StdRng>,
}

/// Sends all requests and prints the report as one JSON line.
///
/// # Errors
/// [`Error::Resource`] when options are missing or a thread cannot be started.
pub fn run(options: CallerOptions) -> Result<()> {
    let report = send_all(options)?;
    let line = serde_json::to_string(&report).map_err(|error| Error::resource("report", error))?;
    println!("{line}");
    Ok(())
}

/// Sends all requests and returns the report.
///
/// # Errors
/// [`Error::Resource`] when options are missing or a thread cannot be started.
pub fn send_all(options: CallerOptions) -> Result<CallerReport> {
    if options.through.is_empty() || options.kind.is_empty() {
        return Err(Error::resource(
            "caller",
            "--through and --kind are required",
        ));
    }
    let workers = options.concurrency.clamp(1, options.count.max(1));
    let plan = Arc::new(SendPlan {
        agent: http::agent(Duration::from_millis(options.timeout_ms)),
        started: Instant::now(),
        next: AtomicUsize::new(0),
        keys: Mutex::new(StdRng::seed_from_u64(options.seed)),
        options,
    });
    let threads: Vec<_> = (0..workers)
        .map(|_| {
            let plan = Arc::clone(&plan);
            std::thread::spawn(move || run_worker(&plan))
        })
        .collect();
    let mut requests = Vec::new();
    for thread in threads {
        let done = thread
            .join()
            .map_err(|_| Error::resource("caller thread", "it panicked"))?;
        requests.extend(done);
    }
    requests.sort_by_key(|(index, _)| *index);
    Ok(CallerReport {
        sends: requests.into_iter().flat_map(|(_, sends)| sends).collect(),
    })
}

fn run_worker(plan: &SendPlan) -> Vec<(usize, Vec<SendRecord>)> {
    let mut done = Vec::new();
    loop {
        let index = plan.next.fetch_add(1, Ordering::Relaxed);
        if index >= plan.options.count {
            return done;
        }
        wait_until_due(plan, index);
        done.push((index, send_request(plan, index)));
    }
}

fn wait_until_due(plan: &SendPlan, index: usize) {
    if plan.options.rate_per_s == 0 {
        return;
    }
    let due_us = index as u64 * 1_000_000 / plan.options.rate_per_s;
    let due = plan.started + Duration::from_micros(due_us);
    std::thread::sleep(due.saturating_duration_since(Instant::now()));
}

fn send_request(plan: &SendPlan, index: usize) -> Vec<SendRecord> {
    let options = &plan.options;
    let kind = &options.kind[index % options.kind.len()];
    let key = (kind.key == KeyMode::Unique).then(|| new_key(plan));
    let body = format!("{} {}-{index}", options.body, options.prefix);
    let mut sends: Vec<SendRecord> = Vec::new();
    for send in 0..=options.resends {
        if send > 0 {
            std::thread::sleep(Duration::from_millis(options.resend_pause_ms));
        }
        let request_id = format!("{}-{index}.{send}", options.prefix);
        let through = options.through[(index + send) % options.through.len()];
        let mut earlier: Vec<&str> = sends.iter().map(|send| send.request_id.as_str()).collect();
        earlier.push(&request_id);
        let record = send_once(plan, kind, through, key.as_deref(), &earlier, &body);
        let ran = record.outcome == Outcome::Ran;
        sends.push(record);
        if ran {
            break;
        }
    }
    sends
}

fn new_key(plan: &SendPlan) -> String {
    let mut random = [0; 10];
    let mut keys = plan.keys.lock().unwrap_or_else(PoisonError::into_inner);
    keys.fill_bytes(&mut random);
    let now_unix_ms = hemlockfall_core::units::unix_ms(std::time::SystemTime::now());
    uuid::Builder::from_unix_timestamp_millis(now_unix_ms, &random)
        .into_uuid()
        .as_hyphenated()
        .to_string()
}

/// Sends a request once and evaluates the answer. The recorded answer to an earlier send with the
/// same key is right as well, so the digest may be that of any id in `request_ids`.
fn send_once(
    plan: &SendPlan,
    kind: &RequestKind,
    through: SocketAddr,
    key: Option<&str>,
    request_ids: &[&str],
    body: &str,
) -> SendRecord {
    let request_id = request_ids.last().copied().unwrap_or_default();
    let url = format!("http://{through}{}", kind.path);
    let host = format!("{}.mesh", kind.service);
    let mut headers = vec![("host", host.as_str()), ("x-request-id", request_id)];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let started_at = Instant::now();
    let reply = http::exchange(&plan.agent, "POST", &url, &headers, body.as_bytes());
    let latency = started_at.elapsed();
    let mut record = SendRecord {
        request_id: request_id.to_owned(),
        key: key.map(str::to_owned),
        once: kind.key != KeyMode::None,
        status: 0,
        outcome: Outcome::Unknown,
        code: None,
        whole: false,
        wrong: false,
        version: None,
        latency_us: u64::try_from(latency.as_micros()).unwrap_or(u64::MAX),
        failure: None,
    };
    match reply {
        Ok(reply) => evaluate_reply(&mut record, &reply, request_ids, body.as_bytes()),
        Err(error) => record.failure = Some(error.to_string()),
    }
    record
}

fn evaluate_reply(record: &mut SendRecord, reply: &Reply, request_ids: &[&str], body: &[u8]) {
    record.status = reply.status;
    record.code = reply.header("hemlockfall-code").map(str::to_owned);
    let is_shed = reply.header("hemlockfall-not-run") == Some("true");
    record.outcome = match reply.header("hemlockfall-outcome") {
        Some("ran") => Outcome::Ran,
        Some("not-run") => Outcome::NotRun,
        None if is_shed => Outcome::NotRun,
        None if record.code.is_none() && reply.status < 500 => Outcome::Ran,
        Some(_) | None => Outcome::Unknown,
    };
    if record.code.is_some() || is_shed {
        return;
    }
    let echo = serde_json::from_slice::<Echo>(&reply.body).ok();
    record.whole = echo.as_ref().is_some_and(|echo| {
        request_ids
            .iter()
            .any(|id| echo.digest == request_digest(id, body))
    });
    record.wrong = !record.whole;
    record.version = echo.map(|echo| echo.version);
}

/// Reads the JSON line that a caller printed.
///
/// # Errors
/// [`Error::Resource`] when the output is no report.
pub fn parse_report(output: &str) -> Result<CallerReport> {
    let line = output.lines().last().unwrap_or_default();
    serde_json::from_str(line).map_err(|error| Error::resource("output of caller", error))
}

/// Returns whether a key is a UUID of version 7.
#[must_use]
pub fn is_uuid_v7(key: &str) -> bool {
    Uuid::parse_str(key).is_ok_and(|uuid| uuid.get_version_num() == 7)
}
