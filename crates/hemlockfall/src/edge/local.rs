//! HTTP edge for the target on this VM, the metrics page and the health check.
//!
//! Each connection carries one request and has its own thread, so that a slow client does not
//! delay others. `tiny_http` is not used: it has no time limit on a request, and it can queue a
//! connection behind an idle one indefinitely.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use metrics_exporter_prometheus::PrometheusHandle;
use serde::de::DeserializeOwned;
use stakker::sync::Channel;

use crate::edge::http::Header;
use crate::edge::http::HttpAnswer;
use crate::edge::http::HttpRequest;
use crate::edge::http1::HttpError;
use crate::edge::http1::HttpLimits;
use crate::edge::http1::request::RequestReader;
use crate::edge::http1::response;
use crate::edge::message::LocalEvent;
use crate::node::health::Health;

const MAX_CONNECTIONS: usize = 32;
const LIMITS: HttpLimits = HttpLimits {
    max_head_bytes: 8192,
    max_body_bytes: 4096,
};
/// Time limit for receiving a complete request.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to wait for the client to close its side after the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay after a failed accept; without it, accepting would fail in a busy loop when the file
/// descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
const READ_BYTES: usize = 4096;
const STACK_BYTES: usize = 256 * 1024;

/// Binds the address and starts serving it.
///
/// # Errors
/// The reason why the address cannot be bound.
pub fn start(
    address: SocketAddr,
    events: &Channel<LocalEvent>,
    health: &Arc<Health>,
    metrics: &PrometheusHandle,
) -> Result<(), String> {
    let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
    let edge = Arc::new(LocalEdge {
        events: events.clone(),
        health: Arc::clone(health),
        metrics: metrics.clone(),
    });
    thread::Builder::new()
        .name("local".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || accept(&listener, &edge))
        .map_err(|error| error.to_string())?;
    Ok(())
}

struct LocalEdge {
    events: Channel<LocalEvent>,
    health: Arc<Health>,
    metrics: PrometheusHandle,
}

struct Answer {
    status: u16,
    text: String,
}

impl Answer {
    fn new(status: u16, text: impl Into<String>) -> Self {
        let text = text.into();
        Self { status, text }
    }
}

fn accept(listener: &TcpListener, edge: &Arc<LocalEdge>) {
    loop {
        match listener.accept() {
            // Each connection's thread holds a reference to the edge, besides this thread.
            Ok(_) if Arc::strong_count(edge) > MAX_CONNECTIONS => {
                spdlog::warn!("local connection refused: too many", kv: { limit = MAX_CONNECTIONS });
            }
            Ok((stream, _)) => serve(stream, edge),
            Err(error) => {
                spdlog::warn!("accepting a local connection failed", kv: {
                    error = error.to_string(),
                });
                thread::sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
}

fn serve(stream: TcpStream, edge: &Arc<LocalEdge>) {
    let edge = Arc::clone(edge);
    let started = thread::Builder::new()
        .name("local-request".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            // A client that has disconnected needs no answer.
            let _ = edge.exchange(stream);
        });
    if let Err(error) = started {
        spdlog::warn!("local connection cannot be served", kv: { error = error.to_string() });
    }
}

impl LocalEdge {
    fn exchange(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let (answer, is_head) = match read_request(&mut stream)? {
            Ok(request) => (self.answer(&request), request.method == "HEAD"),
            Err(error) => (Answer::new(error.status(), format!("{error}\n")), false),
        };
        let headers = vec![Header::new("content-type", "text/plain; charset=utf-8")];
        let answer = HttpAnswer::new(answer.status, headers, answer.text.into_bytes());
        let mut out = Vec::new();
        response::write_response(&mut out, &answer, is_head, false);
        stream.write_all(&out)?;
        stream.shutdown(Shutdown::Write)?;
        linger(&mut stream)
    }

    fn answer(&self, request: &HttpRequest) -> Answer {
        match (request.method.as_str(), request.path()) {
            ("GET" | "HEAD", "/healthz") => self.health_answer(),
            ("GET" | "HEAD", "/metrics") => Answer::new(200, self.metrics.render()),
            ("POST", "/v1/announce") => match parse_body(request) {
                Ok(announcement) => self.forward(LocalEvent::Announce(announcement)),
                Err(answer) => answer,
            },
            ("POST", "/v1/leave") => self.forward(LocalEvent::Leave),
            // Tells a target whose node has restarted or has lost track of it to announce itself
            // again.
            ("POST", "/v1/report") if !self.health.has_target() => {
                Answer::new(409, "HF-3409: no target is announced\n")
            }
            ("POST", "/v1/report") => match parse_body(request) {
                Ok(report) => self.forward(LocalEvent::Report(report)),
                Err(answer) => answer,
            },
            (method, path) => {
                let text = format!("HF-3404: no such resource: {method} {path}\n");
                Answer::new(404, text)
            }
        }
    }

    fn health_answer(&self) -> Answer {
        let status = if self.health.is_serving() { 200 } else { 503 };
        Answer::new(status, self.health.describe())
    }

    fn forward(&self, event: LocalEvent) -> Answer {
        if self.events.send(event) {
            Answer::new(202, "")
        } else {
            Answer::new(503, "HF-3503: the node stops\n")
        }
    }
}

/// Reads one request; the inner error is reported to the client.
fn read_request(stream: &mut TcpStream) -> io::Result<Result<HttpRequest, HttpError>> {
    let deadline = Instant::now() + READ_TIMEOUT;
    let mut reader = RequestReader::new(LIMITS);
    let mut input = Vec::new();
    loop {
        let Some(read_bytes) = read_some(stream, &mut input, deadline)? else {
            return Ok(Err(HttpError::Timeout));
        };
        if read_bytes == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match reader.push(&input) {
            Err(error) => return Ok(Err(error)),
            Ok(step) => {
                input.drain(..step.used_bytes);
                if step.send_continue {
                    stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
                }
                if let Some(read) = step.request {
                    return Ok(Ok(read.request));
                }
            }
        }
    }
}

/// Appends the next available input; `None` if the deadline passes first.
fn read_some(
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
    deadline: Instant,
) -> io::Result<Option<usize>> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Ok(None);
    }
    stream.set_read_timeout(Some(remaining))?;
    let mut chunk = [0; READ_BYTES];
    match stream.read(&mut chunk) {
        Ok(read_bytes) => {
            input.extend_from_slice(&chunk[..read_bytes]);
            Ok(Some(read_bytes))
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(error) if error.kind() == io::ErrorKind::TimedOut => Ok(None),
        Err(error) => Err(error),
    }
}

/// Waits until the client closes its side. Closing with unread input would reset the connection,
/// and the client could lose the answer.
fn linger(stream: &mut TcpStream) -> io::Result<()> {
    let deadline = Instant::now() + LINGER_TIMEOUT;
    let mut input = Vec::new();
    while let Some(read_bytes) = read_some(stream, &mut input, deadline)? {
        if read_bytes == 0 {
            break;
        }
        input.clear();
    }
    Ok(())
}

fn parse_body<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, Answer> {
    serde_json::from_slice(&request.body)
        .map_err(|error| Answer::new(400, format!("HF-3400: {error}\n")))
}
