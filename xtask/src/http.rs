//! Helpers around `tiny_http` (stand-ins) and `ureq` (callers and control paths).

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;
use ureq::Agent;

use crate::errors::Error;
use crate::errors::Result;

const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait of a connection in the queue of the server's thread pool.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);
const MAX_REPLY_BYTES: u64 = 64 * 1024 * 1024;

/// Complete answer to an HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Header fields, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Finds a header field by its lower-case name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(field_name, _)| field_name == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the body as text, with replacement characters for invalid bytes.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Creates a client that returns answers of any status, also of 4xx and 5xx.
#[must_use]
pub fn agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(timeout))
        .max_idle_connections_per_host(64)
        .proxy(None)
        .build()
        .new_agent()
}

/// Sends one request and reads the complete answer.
///
/// # Errors
/// [`Error::Http`] when no complete answer arrives within the agent's timeout.
pub fn exchange(
    agent: &Agent,
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Reply> {
    let mut builder = ureq::http::Request::builder().method(method).uri(url);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let failed = |reason: String| Error::http(url, reason);
    let answer = if body.is_empty() && matches!(method, "GET" | "HEAD" | "DELETE") {
        let request = builder
            .body(())
            .map_err(|error| failed(error.to_string()))?;
        agent.run(request)
    } else {
        let request = builder
            .body(body)
            .map_err(|error| failed(error.to_string()))?;
        agent.run(request)
    };
    let mut answer = answer.map_err(|error| failed(error.to_string()))?;
    let headers = answer
        .headers()
        .iter()
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        })
        .collect();
    let status = answer.status().as_u16();
    let body = answer
        .body_mut()
        .with_config()
        .limit(MAX_REPLY_BYTES)
        .read_to_vec()
        .map_err(|error| failed(error.to_string()))?;
    Ok(Reply {
        status,
        headers,
        body,
    })
}

/// Reads a JSON value from a control path.
///
/// # Errors
/// [`Error::Http`] when the answer is not 200 or not the expected JSON.
pub fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T> {
    let url = format!("http://{address}{path}");
    let reply = exchange(&agent(CONTROL_TIMEOUT), "GET", &url, &[], b"")?;
    if reply.status != 200 {
        return Err(Error::http(url, format!("status {}", reply.status)));
    }
    serde_json::from_slice(&reply.body).map_err(|error| Error::http(url, error))
}

/// Posts a JSON value and returns the status of the answer.
///
/// # Errors
/// [`Error::Http`] when there is no answer.
pub fn post_json<T: Serialize>(address: SocketAddr, path: &str, value: &T) -> Result<u16> {
    let url = format!("http://{address}{path}");
    let body = serde_json::to_vec(value).map_err(|error| Error::http(url.as_str(), error))?;
    let headers = [("content-type", "application/json")];
    let reply = exchange(&agent(CONTROL_TIMEOUT), "POST", &url, &headers, &body)?;
    Ok(reply.status)
}

/// Calls `handle` for every request, on a thread of its own, until the process ends.
///
/// # Errors
/// [`Error::Resource`] when the address cannot be bound.
pub fn serve<F>(address: SocketAddr, handle: F) -> Result<()>
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let server =
        Server::http(address).map_err(|error| Error::resource(address.to_string(), error))?;
    std::thread::spawn(move || release_queued_connections(address));
    let handle = std::sync::Arc::new(handle);
    loop {
        let request = server
            .recv()
            .map_err(|error| Error::resource(address.to_string(), error))?;
        let handle = std::sync::Arc::clone(&handle);
        std::thread::Builder::new()
            .stack_size(128 * 1024)
            .spawn(move || handle(request))
            .map_err(|error| Error::resource("request thread", error))?;
    }
}

/// Opens a short connection at an interval, so that queued connections are served. `tiny_http` 0.12
/// assigns a connection to an idle thread that an earlier connection of the same burst may already
/// occupy. The connection is then queued until some thread finishes its own connection, which a
/// client with kept-alive connections can delay without limit. A short connection makes the pool
/// start or wake a thread, which takes the queued connection.
fn release_queued_connections(address: SocketAddr) {
    loop {
        std::thread::sleep(RELEASE_INTERVAL);
        drop(TcpStream::connect(address));
    }
}

/// Returns a header field of an incoming request.
#[must_use]
pub fn request_header(request: &Request, name: &'static str) -> Option<String> {
    request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name))
        .map(|header| header.value.as_str().to_owned())
}

/// Reads at most `limit_bytes` of a request's body; `None` when it is longer or
/// incomplete.
pub fn read_body(request: &mut Request, limit_bytes: usize) -> Option<Vec<u8>> {
    let declared_bytes = request.body_length();
    let mut body = Vec::new();
    let limit = u64::try_from(limit_bytes).unwrap_or(u64::MAX);
    request
        .as_reader()
        .take(limit.saturating_add(1))
        .read_to_end(&mut body)
        .ok()?;
    let complete = declared_bytes.is_none_or(|declared| declared == body.len());
    (body.len() <= limit_bytes && complete).then_some(body)
}

/// Sends an answer; an error because the caller has disconnected is ignored.
pub fn answer(request: Request, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
    let mut response = Response::from_data(body).with_status_code(status);
    for (name, value) in headers {
        if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            response.add_header(header);
        }
    }
    let _ = request.respond(response);
}

/// Sends a JSON answer with status 200.
pub fn answer_json<T: Serialize>(request: Request, value: &T) {
    match serde_json::to_vec(value) {
        Ok(body) => answer(request, 200, &[("content-type", "application/json")], body),
        Err(error) => answer(request, 500, &[], error.to_string().into_bytes()),
    }
}

/// Makes the exchange fail at once on the client's side.
///
/// `tiny_http` cannot close a connection by itself, so bytes that are no HTTP status line are sent;
/// the client reports an invalid answer and closes the connection.
pub fn abort_answer(request: Request) {
    let mut writer = request.into_writer();
    let _ = writer.write_all(b"\0\0\0\0 broken\r\n\r\n");
    let _ = writer.flush();
}

/// Separates path and query of a request's URL.
#[must_use]
pub fn split_url(url: &str) -> (&str, &str) {
    url.split_once('?').unwrap_or((url, ""))
}

/// Finds a parameter in a query.
#[must_use]
pub fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
