//! Fake store over HTTP with faults that are set for each write.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use hemlockfall_store::Client;
use hemlockfall_store::Options;
use tiny_http::Header;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

/// Fault of one write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The response has this status, and the write does not take effect. Statuses 429 and 503 come
    /// with `retry-after: 0`.
    Status(u16),
    /// The write takes effect, and the connection closes without a response.
    LoseAnswer,
    /// The write does not take effect, and the connection closes without a response.
    DropRequest,
    /// The write takes effect, and the response is delayed by this time, in milliseconds.
    Slow(u64),
    /// Another writer stores this value first.
    Overtaken(Vec<u8>),
}

#[derive(Default)]
struct State {
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    faults: VecDeque<Fault>,
    read_status: Option<u16>,
    read_status_after_write: Option<u16>,
    writes: usize,
}

/// Fake store that listens on a free loopback port until the test process ends.
pub struct FakeStore {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl FakeStore {
    pub fn start() -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").expect("a free port"));
        let address = server.server_addr().to_ip().expect("an IP address");
        let state = Arc::new(Mutex::new(State::default()));
        for _ in 0..4 {
            let server = Arc::clone(&server);
            let state = Arc::clone(&state);
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    handle(&state, request);
                }
            });
        }
        Self { address, state }
    }

    /// Sets the faults of the next writes, in order.
    pub fn fail_writes(&self, faults: &[Fault]) {
        self.state.lock().expect("state").faults = faults.iter().cloned().collect();
    }

    /// Makes all reads fail with a status until it is set to `None`.
    pub fn fail_reads(&self, status: Option<u16>) {
        self.state.lock().expect("state").read_status = status;
    }

    /// Makes all reads fail with a status from the next write on.
    pub fn fail_reads_after_write(&self, status: u16) {
        self.state.lock().expect("state").read_status_after_write = Some(status);
    }

    pub fn set(&self, key: &str, body: &[u8]) {
        let mut state = self.state.lock().expect("state");
        let version = state.objects.get(key).map_or(0, |object| object.0) + 1;
        state
            .objects
            .insert(key.to_owned(), (version, body.to_vec()));
    }

    pub fn object(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        self.state.lock().expect("state").objects.get(key).cloned()
    }

    pub fn writes(&self) -> usize {
        self.state.lock().expect("state").writes
    }

    pub fn client(&self) -> Client {
        client(self.address)
    }
}

/// Creates a client with short timeouts, so that faults take effect quickly.
pub fn client(address: SocketAddr) -> Client {
    let options = Options {
        address,
        request_timeout_ms: 300,
        watch_wait_ms: 100,
        total_timeout_ms: 1_500,
        backoff_first_ms: 5,
        backoff_max_ms: 50,
        ..Options::default()
    };
    Client::new(options, 1)
}

fn handle(state: &Mutex<State>, mut request: Request) {
    let (path, query) = split(request.url());
    if path == "/v1/list" {
        let prefix = query.trim_start_matches("prefix=").to_owned();
        return list(state, request, &prefix);
    }
    let key = path.trim_start_matches("/v1/objects/").to_owned();
    match request.method() {
        Method::Get => read(state, request, &key, &query),
        Method::Put | Method::Delete => {
            let mut body = Vec::new();
            let _ = request.as_reader().read_to_end(&mut body);
            write(state, request, &key, &body);
        }
        _ => respond(request, 405, None, b""),
    }
}

fn split(url: &str) -> (String, String) {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    (path.to_owned(), query.to_owned())
}

fn list(state: &Mutex<State>, request: Request, prefix: &str) {
    let lines: Vec<String> = state
        .lock()
        .expect("state")
        .objects
        .iter()
        .filter(|(key, _)| key.starts_with(prefix))
        .map(|(key, object)| format!("{{\"key\":\"{key}\",\"version\":{}}}", object.0))
        .collect();
    respond(
        request,
        200,
        None,
        format!("[{}]", lines.join(",")).as_bytes(),
    );
}

fn read(state: &Mutex<State>, request: Request, key: &str, query: &str) {
    let (status, object) = {
        let state = state.lock().expect("state");
        (state.read_status, state.objects.get(key).cloned())
    };
    if let Some(status) = status {
        return respond(request, status, None, b"");
    }
    let after = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("after="))
        .and_then(|text| text.parse::<u64>().ok());
    match (object, after) {
        (None, _) => respond(request, 404, None, b""),
        (Some((version, _)), Some(after)) if version <= after => {
            respond(request, 304, Some(version), b"");
        }
        (Some((version, body)), _) => respond(request, 200, Some(version), &body),
    }
}

fn write(state: &Mutex<State>, request: Request, key: &str, body: &[u8]) {
    let is_delete = *request.method() == Method::Delete;
    let if_version = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("if-version"))
        .and_then(|header| header.value.as_str().parse::<u64>().ok())
        .expect("every write is conditional");
    let mut guard = state.lock().expect("state");
    guard.writes += 1;
    if let Some(status) = guard.read_status_after_write.take() {
        guard.read_status = Some(status);
    }
    let fault = guard.faults.pop_front().unwrap_or(Fault::None);
    match &fault {
        Fault::Status(status) => {
            drop(guard);
            return respond(request, *status, None, b"");
        }
        Fault::DropRequest => {
            drop(guard);
            return close(request);
        }
        Fault::Overtaken(value) => {
            let version = guard.objects.get(key).map_or(0, |object| object.0) + 1;
            guard
                .objects
                .insert(key.to_owned(), (version, value.clone()));
        }
        Fault::None | Fault::LoseAnswer | Fault::Slow(_) => {}
    }
    let current = guard.objects.get(key).map_or(0, |object| object.0);
    if current != if_version {
        drop(guard);
        return respond(request, 412, Some(current), b"");
    }
    if is_delete {
        guard.objects.remove(key);
    } else {
        guard
            .objects
            .insert(key.to_owned(), (current + 1, body.to_vec()));
    }
    drop(guard);
    match fault {
        Fault::LoseAnswer => close(request),
        Fault::Slow(time_ms) => {
            thread::sleep(Duration::from_millis(time_ms));
            respond(request, 200, Some(current + 1), b"");
        }
        _ => respond(request, 200, Some(current + 1), b""),
    }
}

/// Closes the connection without a response.
fn close(request: Request) {
    drop(request.into_writer());
}

fn respond(request: Request, status: u16, version: Option<u64>, body: &[u8]) {
    let mut response = Response::from_data(body).with_status_code(status);
    if let Some(version) = version {
        response.add_header(header("object-version", &version.to_string()));
    }
    if matches!(status, 429 | 503) {
        response.add_header(header("retry-after", "0"));
    }
    let _ = request.respond(response);
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("a valid header")
}
