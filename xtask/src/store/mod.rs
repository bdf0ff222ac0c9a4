//! Stand-in for the platform's store: objects with versions, conditional updates, long-poll
//! watches, rate limits, counters and switchable faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gumdrop::Options;
use tiny_http::Method;
use tiny_http::Request;

use crate::errors::Result;
use crate::http;

pub mod fault;
pub mod state;

use fault::FaultChange;
use fault::OutageMode;
use state::CallKind;
use state::State;
use state::VersionConflict;
use state::WriteResult;

const OBJECTS_PATH: &str = "/v1/objects/";
const RETRY_AFTER_S: &str = "1";
const CONTROL_BODY_BYTES: usize = 64 * 1024;
const MAX_WAIT_MS: u64 = 60_000;

/// Options of the store stand-in.
#[derive(Clone, Debug, Options)]
pub struct StoreOptions {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Address to listen on.
    #[options(required, meta = "IP:PORT", help = "address to listen on")]
    pub listen: Option<SocketAddr>,
    /// Writes served per second.
    #[options(default = "300", meta = "N", help = "writes served per second")]
    pub writes_per_s: u32,
    /// Reads, lists and watches served per second.
    #[options(default = "2000", meta = "N", help = "reads served per second")]
    pub reads_per_s: u32,
}

/// Serves the stand-in until the process ends.
///
/// # Errors
/// [`crate::errors::Error::Resource`] when the address cannot be bound.
pub fn run(options: &StoreOptions) -> Result<()> {
    let Some(address) = options.listen else {
        return Err(crate::errors::Error::resource(
            "store",
            "--listen is missing",
        ));
    };
    let state = Arc::new(State::new(options.writes_per_s, options.reads_per_s));
    http::serve(address, move |request| handle(&state, request))
}

fn handle(state: &State, request: Request) {
    let url = request.url().to_owned();
    let (path, query) = http::split_url(&url);
    if path.starts_with("/control/") {
        return control(state, request, path);
    }
    let faults = state.faults(Instant::now());
    if faults.slow_ms > 0 {
        std::thread::sleep(Duration::from_millis(faults.slow_ms));
    }
    match faults.down {
        Some(OutageMode::Refuse) => return http::answer(request, 503, &[], Vec::new()),
        Some(OutageMode::Close) => return http::abort_answer(request),
        None => {}
    }
    let kind = match request.method() {
        Method::Put | Method::Delete => CallKind::Write,
        _ => CallKind::Read,
    };
    if !state.admit(kind, Instant::now()) {
        return http::answer(request, 429, &[("retry-after", RETRY_AFTER_S)], Vec::new());
    }
    if path == "/v1/list" && *request.method() == Method::Get {
        let prefix = http::query(query, "prefix").unwrap_or("");
        return http::answer_json(request, &state.list(prefix));
    }
    match path.strip_prefix(OBJECTS_PATH) {
        Some(key) if !key.is_empty() => object(state, request, key, query),
        _ => http::answer(request, 404, &[], Vec::new()),
    }
}

fn control(state: &State, mut request: Request, path: &str) {
    match (request.method(), path) {
        (Method::Get, "/control/counters") => {
            let counters = state.counters();
            http::answer_json(request, &counters);
        }
        (Method::Post, "/control/fault") => {
            let body = http::read_body(&mut request, CONTROL_BODY_BYTES).unwrap_or_default();
            match serde_json::from_slice::<FaultChange>(&body) {
                Ok(change) => {
                    state.apply_fault_change(&change, Instant::now());
                    http::answer(request, 200, &[], Vec::new());
                }
                Err(error) => http::answer(request, 400, &[], error.to_string().into_bytes()),
            }
        }
        _ => http::answer(request, 404, &[], Vec::new()),
    }
}

fn object(state: &State, request: Request, key: &str, query: &str) {
    match request.method() {
        Method::Get => get(state, request, key, query),
        Method::Put => put(state, request, key),
        Method::Delete => delete(state, request, key),
        _ => http::answer(request, 405, &[], Vec::new()),
    }
}

fn get(state: &State, request: Request, key: &str, query: &str) {
    let Some(after) = http::query(query, "after") else {
        return match state.read(key) {
            Some((version, body)) => answer_object(request, 200, version, body),
            None => http::answer(request, 404, &[], Vec::new()),
        };
    };
    let wait_ms = http::query(query, "wait_ms").unwrap_or("0");
    let (Ok(after), Ok(wait_ms)) = (after.parse::<u64>(), wait_ms.parse::<u64>()) else {
        return http::answer(request, 400, &[], b"after and wait_ms are numbers".to_vec());
    };
    let wait = Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
    match state.watch(key, after, wait) {
        state::WatchResult::Newer(version, body) => answer_object(request, 200, version, body),
        state::WatchResult::Unchanged => http::answer(request, 304, &[], Vec::new()),
        state::WatchResult::Cut => http::abort_answer(request),
    }
}

fn put(state: &State, mut request: Request, key: &str) {
    let Some(expected) = expected_version(&request) else {
        return http::answer(request, 400, &[], b"if-version is missing".to_vec());
    };
    let Some(body) = http::read_body(&mut request, state::MAX_OBJECT_BYTES) else {
        return http::answer(request, 413, &[], Vec::new());
    };
    let written = state.put(key, expected, body);
    answer_write(request, written);
}

fn delete(state: &State, request: Request, key: &str) {
    let Some(expected) = expected_version(&request) else {
        return http::answer(request, 400, &[], b"if-version is missing".to_vec());
    };
    let written = state.delete(key, expected);
    answer_write(request, written);
}

fn answer_write(request: Request, written: std::result::Result<WriteResult, VersionConflict>) {
    match written {
        Ok(WriteResult {
            is_answer_lost: true,
            ..
        }) => http::abort_answer(request),
        Ok(WriteResult { version, .. }) => answer_object(request, 200, version, Vec::new()),
        Err(VersionConflict { current_version }) => {
            answer_object(request, 412, current_version, Vec::new());
        }
    }
}

fn answer_object(request: Request, status: u16, version: u64, body: Vec<u8>) {
    let version = version.to_string();
    http::answer(
        request,
        status,
        &[("object-version", version.as_str())],
        body,
    );
}

fn expected_version(request: &Request) -> Option<u64> {
    http::request_header(request, "if-version")?.parse().ok()
}
