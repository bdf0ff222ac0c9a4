//! Stand-in for a target: announces itself to its node, runs requests in slots, sheds load,
//! drains on SIGTERM and shows switchable faults.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gumdrop::Options;
use hemlockfall_core::codec;
use serde::Deserialize;
use serde::Serialize;
use tiny_http::Method;
use tiny_http::Request;

use crate::errors::Error;
use crate::errors::Result;
use crate::http;

pub mod announce;
pub mod fault;
pub mod state;

use fault::FaultChange;
use state::Admission;
use state::Run;
use state::RunEnd;
use state::State;

const CANCEL_PATH: &str = "/hemlockfall/cancel/";
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const CRASH_STATUS: i32 = 70;

/// Options of the target stand-in.
#[derive(Clone, Debug, Options)]
pub struct TargetOptions {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Name in answers and run records.
    #[options(
        default = "target",
        meta = "NAME",
        help = "name in answers and run records"
    )]
    pub name: String,
    /// Address to listen on.
    #[options(required, meta = "IP:PORT", help = "address to listen on")]
    pub listen: Option<SocketAddr>,
    /// Local address of the node; without it the target does not announce itself.
    #[options(meta = "IP:PORT", help = "local address of the node on this VM")]
    pub node: Option<SocketAddr>,
    /// Service.
    #[options(required, meta = "NAME", help = "service that the target runs")]
    pub service: String,
    /// Version.
    #[options(required, meta = "NAME", help = "version that the target runs")]
    pub version: String,
    /// Requests run at once.
    #[options(default = "12", meta = "N", help = "requests run at once")]
    pub slots: u16,
    /// Connections announced.
    #[options(
        default = "130",
        meta = "N",
        help = "connections announced to the node"
    )]
    pub connections: u16,
    /// Time that a request takes, in milliseconds.
    #[options(default = "5", meta = "MS", help = "time that a request takes")]
    pub service_time_ms: u64,
    /// Length of the cold start, in milliseconds.
    #[options(default = "0", meta = "MS", help = "length of the cold start")]
    pub cold_ms: u64,
    /// Factor on the service time during the cold start.
    #[options(
        default = "4",
        meta = "N",
        help = "factor on the service time while cold"
    )]
    pub cold_factor: u64,
    /// Size of the padding in an answer, in bytes.
    #[options(default = "0", meta = "BYTES", help = "padding in an answer")]
    pub padding_bytes: usize,
    /// Text in a request body that makes the process exit.
    #[options(
        meta = "TEXT",
        help = "a request whose body contains this ends the process"
    )]
    pub crash_marker: Option<String>,
    /// File to which every run is appended before it starts.
    #[options(meta = "FILE", help = "file to which every run is appended")]
    pub runs_file: Option<PathBuf>,
    /// Time by which reports lag, in milliseconds.
    #[options(
        default = "0",
        meta = "MS",
        help = "time by which reports to the node lag"
    )]
    pub report_lag_ms: u64,
    /// Report "healthy, no load" regardless of the state.
    #[options(no_short, help = "report healthy and idle whatever the state")]
    pub report_lies: bool,
}

/// Body of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Name of the target.
    pub target: String,
    /// Version of the target.
    pub version: String,
    /// Digest of the request, see [`request_digest`].
    pub digest: String,
    /// Padding of the size in the options.
    pub padding: String,
}

/// Returns the digest of a request id and body, in hexadecimal digits.
#[must_use]
pub fn request_digest(request_id: &str, body: &[u8]) -> String {
    let mut bytes = Vec::with_capacity(request_id.len() + body.len() + 1);
    bytes.extend_from_slice(request_id.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(body);
    let digest = u128::from_be_bytes(codec::digest(&bytes));
    format!("{digest:032x}")
}

/// Serves the stand-in until SIGTERM.
///
/// # Errors
/// [`Error::Resource`] when the address or the file of runs cannot be used.
pub fn run(options: TargetOptions) -> Result<()> {
    let Some(address) = options.listen else {
        return Err(Error::resource("target", "--listen is missing"));
    };
    let state = Arc::new(State::new(options)?);
    announce::start(&state, address)?;
    http::serve(address, move |request| handle(&state, request))
}

fn handle(state: &State, request: Request) {
    let url = request.url().to_owned();
    let (path, _) = http::split_url(&url);
    if path.starts_with("/control/") {
        return control(state, request, path);
    }
    if let Some(attempt) = path.strip_prefix(CANCEL_PATH) {
        let running = *request.method() == Method::Post && state.cancel(attempt);
        let status = if running { 200 } else { 404 };
        return http::answer(request, status, &[], Vec::new());
    }
    run_request(state, request, path);
}

fn control(state: &State, mut request: Request, path: &str) {
    match (request.method(), path) {
        (Method::Get, "/control/runs") => http::answer_json(request, &state.runs()),
        (Method::Get, "/control/state") => http::answer_json(request, &state.summary()),
        (Method::Post, "/control/leave") => {
            announce::deregister(state);
            http::answer(request, 200, &[], Vec::new());
        }
        (Method::Post, "/control/fault") => {
            let body = http::read_body(&mut request, MAX_BODY_BYTES).unwrap_or_default();
            match serde_json::from_slice::<FaultChange>(&body) {
                Ok(change) => {
                    state.replace_fault(change);
                    http::answer(request, 200, &[], Vec::new());
                }
                Err(error) => http::answer(request, 400, &[], error.to_string().into_bytes()),
            }
        }
        _ => http::answer(request, 404, &[], Vec::new()),
    }
}

fn run_request(state: &State, mut request: Request, path: &str) {
    let Some(body) = http::read_body(&mut request, MAX_BODY_BYTES) else {
        return http::answer(request, 400, &[], b"incomplete or too large body".to_vec());
    };
    let run = Run {
        target: state.options().name.clone(),
        version: state.options().version.clone(),
        request_id: http::request_header(&request, "x-request-id").unwrap_or_default(),
        idempotency_key: http::request_header(&request, "idempotency-key"),
        attempt: http::request_header(&request, "hemlockfall-attempt"),
        path: path.to_owned(),
        at_unix_ms: hemlockfall_core::units::unix_ms(std::time::SystemTime::now()),
    };
    let deadline = http::request_header(&request, "hemlockfall-deadline-ms")
        .and_then(|text| text.parse().ok())
        .map(|left_ms| Instant::now() + Duration::from_millis(left_ms));
    let Admission::Started { slot, plan } = state.admit(&run) else {
        let headers = [("hemlockfall-not-run", "true"), ("retry-after", "1")];
        return http::answer(request, 503, &headers, Vec::new());
    };
    if has_crash_marker(state.options(), &body) {
        std::process::exit(CRASH_STATUS);
    }
    let ended = state.wait(slot, plan.duration, deadline);
    let echo = Echo {
        target: run.target,
        version: run.version,
        digest: request_digest(&run.request_id, &body),
        padding: "x".repeat(state.options().padding_bytes),
    };
    let body = serde_json::to_vec(&echo).unwrap_or_default();
    if plan.crashes {
        crash_in_answer(request, &body);
    }
    let status = match ended {
        RunEnd::Finished if plan.fails => 500,
        RunEnd::Finished => 200,
        RunEnd::Cancelled => 499,
        RunEnd::DeadlinePassed => 504,
    };
    state.free(slot);
    http::answer(
        request,
        status,
        &[("content-type", "application/json")],
        body,
    );
    state.finish(slot);
}

/// Sends the head and half of the body, and exits the process.
fn crash_in_answer(request: Request, body: &[u8]) -> ! {
    let mut writer = request.into_writer();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    let _ = writer.write_all(head.as_bytes());
    let _ = writer.write_all(&body[..body.len() / 2]);
    let _ = writer.flush();
    std::process::exit(CRASH_STATUS)
}

fn has_crash_marker(options: &TargetOptions, body: &[u8]) -> bool {
    let Some(marker) = &options.crash_marker else {
        return false;
    };
    !marker.is_empty()
        && body
            .windows(marker.len())
            .any(|window| window == marker.as_bytes())
}
