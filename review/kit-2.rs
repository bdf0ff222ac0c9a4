//! Parts that the scripts of this review share: the platform's store, upstreams and clients as
//! stand-ins, and the system's own processes. Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// Program of the deploy file, relative to the repository's root.
const PROGRAM: &str = "target/release/hemlockfall";

/// Time after which a script ends in any case.
const LONGEST_RUN: Duration = Duration::from_secs(117);

/// Processes that were started and not waited for yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

// ---------------------------------------------------------------------------------------------
// Results and the record of a run

/// Result of a case, as the exit status of its script.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

/// Lines of what was sent, answered and run, with the time since the start.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
    path: PathBuf,
    ids: AtomicU64,
}

impl Record {
    pub fn new(path: &str) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            lines: Mutex::new(Vec::new()),
            path: path.into(),
            ids: AtomicU64::new(0),
        })
    }

    pub fn add(&self, line: impl Into<String>) {
        let line = line.into();
        self.lines
            .lock()
            .unwrap()
            .push((self.started.elapsed(), line));
    }

    pub fn say(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:8.3} {line}", self.started.elapsed().as_secs_f64());
        self.add(line);
    }

    /// Returns a request id that no other request has.
    pub fn next_id(&self) -> String {
        format!("q-{}", self.ids.fetch_add(1, Ordering::Relaxed) + 1)
    }

    fn write(&self) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:8.3} {line}", at.as_secs_f64());
        }
        if let Err(error) = std::fs::write(&self.path, text) {
            eprintln!("the record can't be written: {error}");
        }
    }
}

/// Runs a case, writes its record and returns the exit status of its script.
pub fn run_case(
    record: &Arc<Record>,
    case: impl FnOnce(&Arc<Record>) -> io::Result<Verdict>,
) -> i32 {
    let watched = Arc::clone(record);
    thread::spawn(move || {
        thread::sleep(LONGEST_RUN);
        for pid in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-9", &pid.to_string()]).status();
        }
        watched.say("the case couldn't run: it took too long");
        watched.write();
        std::process::exit(2);
    });
    let verdict = case(record).unwrap_or_else(|error| Verdict::CouldNotRun(error.to_string()));
    let status = match verdict {
        Verdict::Held => {
            record.say("the rule held");
            0
        }
        Verdict::Broken(what) => {
            record.say(format!("the rule was broken: {what}"));
            1
        }
        Verdict::CouldNotRun(why) => {
            record.say(format!("the case couldn't run: {why}"));
            2
        }
    };
    record.write();
    status
}

/// Ports that are tried: below those that the system gives to outgoing connections, one of which
/// could take a port before its process listens there.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 18_000;

/// Returns an address on loopback with a free port that was not returned before.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let offset = u64::from(std::process::id()) * 977;
    loop {
        let number = (offset + NEXT.fetch_add(1, Ordering::Relaxed)) % u64::from(PORTS);
        let port = FIRST_PORT + u16::try_from(number).unwrap_or(0);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or_default()
}

pub fn wait_until(limit: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if is_done() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1

#[derive(Clone, Debug)]
pub struct Message {
    /// Start line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|c| c.eq_ignore_ascii_case("close"))
    }
}

/// Reader of the messages of a connection. Bodies have a length.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 64 * 1024];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    }

    pub fn message(&mut self) -> io::Result<Message> {
        let head_end = loop {
            let found = self
                .buffer
                .windows(4)
                .position(|window| window == b"\r\n\r\n");
            match found {
                Some(at) => break at,
                None => self.fill()?,
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            start,
            headers,
            body: Vec::new(),
        };
        let length = message.header("content-length").unwrap_or("0");
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        while self.buffer.len() < length {
            self.fill()?;
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(message)
    }
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        let _ = write!(text, "Content-Length: {}\r\n", body.len());
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and returns the answer.
pub fn call(address: SocketAddr, bytes: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(bytes)?;
    Reader::new(stream).message()
}

// ---------------------------------------------------------------------------------------------
// JSON, as far as the store and the heartbeats need it

/// Returns the text of a member of a JSON object.
pub fn member<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let mut at = skip_space(object, 0);
    if object.as_bytes().get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(object, at);
        if object.as_bytes().get(at) != Some(&b'"') {
            return None;
        }
        let key_end = value_end(object, at)?;
        let key = &object[at + 1..key_end - 1];
        at = skip_space(object, key_end);
        if object.as_bytes().get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(object, at + 1);
        let end = value_end(object, at)?;
        if key == name {
            return Some(&object[at..end]);
        }
        at = skip_space(object, end);
        if object.as_bytes().get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

fn skip_space(text: &str, mut at: usize) -> usize {
    while text.as_bytes().get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn value_end(text: &str, start: usize) -> Option<usize> {
    let bytes = text.as_bytes();
    let mut depth = 0;
    let mut is_text = false;
    let mut at = start;
    while at < bytes.len() {
        let byte = bytes[at];
        if is_text {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    is_text = false;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => is_text = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' => {
                    if depth == 0 {
                        return Some(at);
                    }
                    depth -= 1;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                b',' | b':' if depth == 0 => return Some(at),
                b' ' | b'\r' | b'\n' | b'\t' if depth == 0 => return Some(at),
                _ => {}
            }
        }
        at += 1;
    }
    (depth == 0 && !is_text).then_some(at)
}

pub fn unquoted(text: &str) -> &str {
    text.trim_matches('"')
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
    status: String,
}

struct Change {
    revision: u64,
    kind: String,
    name: String,
}

struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
    /// Connections that were open at this time receive nothing further.
    silent_since: Option<Instant>,
}

/// Address at which the store serves one machine, so that it can tell the machines apart.
pub struct Door {
    pub address: SocketAddr,
    is_silent: AtomicBool,
    watches: AtomicU64,
}

impl Door {
    /// Lets the store accept what this machine sends and answer nothing, or ends that.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Returns how many watches the machine has begun.
    pub fn watches(&self) -> u64 {
        self.watches.load(Ordering::SeqCst)
    }
}

/// Stand-in of the platform's store, as PROTOCOL.md describes it.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(StoreState {
                revision: 100,
                objects: BTreeMap::new(),
                changes: Vec::new(),
                silent_since: None,
            }),
            changed: Condvar::new(),
        })
    }

    /// Opens an address for one machine.
    pub fn open_door(self: &Arc<Self>) -> io::Result<Arc<Door>> {
        let listener = TcpListener::bind(free_address())?;
        let door = Arc::new(Door {
            address: listener.local_addr()?,
            is_silent: AtomicBool::new(false),
            watches: AtomicU64::new(0),
        });
        let (store, served) = (Arc::clone(self), Arc::clone(&door));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, door) = (Arc::clone(&store), Arc::clone(&served));
                thread::spawn(move || store.serve(stream, &door));
            }
        });
        Ok(door)
    }

    /// Writes an object as the operator does; returning from this call is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        state.write(kind, name, |object| object.spec = spec.to_owned());
        self.changed.notify_all();
        Instant::now()
    }

    /// Lets the open connections go silent for good. New connections work.
    pub fn silence_open_connections(&self) -> Instant {
        let now = Instant::now();
        self.state.lock().unwrap().silent_since = Some(now);
        self.changed.notify_all();
        now
    }

    pub fn status_of(&self, kind: &str, name: &str) -> String {
        let state = self.state.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
        object
            .map(|object| object.status.clone())
            .unwrap_or_default()
    }

    pub fn count(&self, kind: &str) -> usize {
        let state = self.state.lock().unwrap();
        state.objects.keys().filter(|(of, _)| of == kind).count()
    }

    fn serve(&self, stream: TcpStream, door: &Door) {
        let opened = Instant::now();
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(message) = reader.message() {
            if message.target().contains("watch=") {
                door.watches.fetch_add(1, Ordering::SeqCst);
            }
            if self.is_silent(opened, door) {
                break;
            }
            let answer = self.answer(&message, opened);
            if self.is_silent(opened, door) {
                break;
            }
            if output.write_all(&answer).is_err() {
                return;
            }
        }
        // A silent connection stays open until its other end closes it.
        while reader.message().is_ok() {}
    }

    fn is_silent(&self, opened: Instant, door: &Door) -> bool {
        let state = self.state.lock().unwrap();
        let has_gone_silent = state.silent_since.is_some_and(|since| opened <= since);
        has_gone_silent || door.is_silent.load(Ordering::SeqCst)
    }

    fn answer(&self, message: &Message, opened: Instant) -> Vec<u8> {
        let (path, query) = message
            .target()
            .split_once('?')
            .unwrap_or((message.target(), ""));
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let body = String::from_utf8_lossy(&message.body).into_owned();
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
                .next()
        };
        match (message.method(), parts.as_slice()) {
            ("GET", ["objects", kind]) => match parameter("watch") {
                Some(from) => {
                    let wait = parameter("waitMs").and_then(|ms| ms.parse().ok());
                    let wait = Duration::from_millis(wait.unwrap_or(0).min(30_000));
                    self.watch(kind, from.parse().unwrap_or(0), wait, opened)
                }
                None => json_response(200, &self.list(kind)),
            },
            ("GET", ["objects", kind, name]) => {
                let state = self.state.lock().unwrap();
                match state.text(kind, name) {
                    Some(text) => json_response(200, &text),
                    None => json_response(404, "{}"),
                }
            }
            ("POST", ["objects", kind]) => {
                let name = member(&body, "metadata").and_then(|m| member(m, "name"));
                let name = unquoted(name.unwrap_or_default()).to_owned();
                let spec = member(&body, "spec").unwrap_or("null").to_owned();
                let mut state = self.state.lock().unwrap();
                if let Some(text) = state.text(kind, &name) {
                    return json_response(409, &text);
                }
                state.write(kind, &name, |object| object.spec = spec);
                self.changed.notify_all();
                json_response(200, &state.text(kind, &name).unwrap_or_default())
            }
            ("PUT", ["objects", kind, name, rest @ ..]) => {
                let mut state = self.state.lock().unwrap();
                let Some(text) = state.text(kind, name) else {
                    return json_response(404, "{}");
                };
                let wanted = member(&body, "metadata").and_then(|m| member(m, "revision"));
                let current = state.objects[&((*kind).to_owned(), (*name).to_owned())].revision;
                if wanted.is_some_and(|wanted| wanted != current.to_string()) {
                    return json_response(409, &text);
                }
                let is_status = rest == ["status"];
                let field = if is_status { "status" } else { "spec" };
                let value = member(&body, field).unwrap_or("null").to_owned();
                let object = &state.objects[&((*kind).to_owned(), (*name).to_owned())];
                let before = if is_status {
                    &object.status
                } else {
                    &object.spec
                };
                if *before != value {
                    state.write(kind, name, |object| {
                        if is_status {
                            object.status = value;
                        } else {
                            object.spec = value;
                        }
                    });
                    self.changed.notify_all();
                }
                json_response(200, &state.text(kind, name).unwrap_or_default())
            }
            _ => json_response(404, "{}"),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.lock().unwrap();
        let names = state.objects.keys().filter(|(of, _)| of == kind);
        let items: Vec<String> = names
            .filter_map(|(_, name)| state.text(kind, name))
            .collect();
        format!(
            r#"{{"items":[{}],"hasMore":false,"storeRevision":{}}}"#,
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration, opened: Instant) -> Vec<u8> {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if state.silent_since.is_some_and(|since| opened <= since) {
                return Vec::new();
            }
            let mut names: Vec<&str> = state
                .changes
                .iter()
                .filter(|change| change.kind == kind && change.revision > from)
                .map(|change| change.name.as_str())
                .collect();
            names.dedup();
            let left = end.saturating_duration_since(Instant::now());
            if !names.is_empty() || left.is_zero() {
                let events: Vec<String> = names
                    .iter()
                    .filter_map(|name| state.text(kind, name))
                    .map(|text| format!(r#"{{"object":{text},"deleted":false}}"#))
                    .collect();
                let text = format!(
                    r#"{{"events":[{}],"storeRevision":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return json_response(200, &text);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl StoreState {
    fn write(&mut self, kind: &str, name: &str, change: impl FnOnce(&mut Object)) {
        self.revision += 1;
        let revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        let object = self.objects.entry(key).or_insert_with(|| Object {
            revision,
            spec: "null".to_owned(),
            status: "null".to_owned(),
        });
        object.revision = revision;
        change(object);
        self.changes.push(Change {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
        });
    }

    fn text(&self, kind: &str, name: &str) -> Option<String> {
        let object = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(format!(
            r#"{{"metadata":{{"name":"{name}","revision":{},"created":1,"finalizers":[],"deletionPending":false}},"spec":{},"status":{}}}"#,
            object.revision, object.spec, object.status
        ))
    }
}

fn json_response(status: u16, body: &str) -> Vec<u8> {
    response(
        status,
        &[("Content-Type", "application/json")],
        body.as_bytes(),
    )
}

// ---------------------------------------------------------------------------------------------
// Upstreams

/// A request that an upstream has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub request_id: String,
    pub path: String,
    pub instance: String,
    pub service: String,
}

/// Stand-in of an application upstream.
pub struct Upstream {
    pub address: SocketAddr,
    pub id: String,
    pub service: String,
    pub runs: Mutex<Vec<Run>>,
    keeps_runs: bool,
    work: Duration,
    is_stopped: AtomicBool,
    sequence: AtomicU64,
}

impl Upstream {
    /// Starts an upstream, which reports to a control address until it is dropped.
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        control: SocketAddr,
        work: Duration,
        keeps_runs: bool,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let upstream = Arc::new(Self {
            address,
            id: id.to_owned(),
            service: service.to_owned(),
            runs: Mutex::new(Vec::new()),
            keeps_runs,
            work,
            is_stopped: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
        });
        let server = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        let reporter = Arc::clone(&upstream);
        let born = unix_ms();
        thread::spawn(move || {
            while !reporter.is_stopped.load(Ordering::Relaxed) {
                reporter.report(control, born);
                thread::sleep(Duration::from_millis(500));
            }
        });
        Ok(upstream)
    }

    fn report(&self, control: SocketAddr, born: u64) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"zone-a","version":"v1","slots":12,"state":"ready","coldRemainingS":0,"sequence":{sequence},"born":{born}}}"#,
            self.service, self.address
        );
        let path = format!("/instances/{}", self.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let bytes = request("PUT", &path, &headers, body.as_bytes());
        let _ = call(control, &bytes, Duration::from_secs(1));
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(message) = reader.message() {
            let id = message
                .header("x-request-id")
                .unwrap_or_default()
                .to_owned();
            let expected = message.header("x-expected-instance");
            let bytes = if expected.is_some_and(|expected| expected != self.id) {
                response(421, &[("X-Instance-Id", &self.id)], b"")
            } else {
                if self.keeps_runs {
                    self.runs.lock().unwrap().push(Run {
                        at: Instant::now(),
                        request_id: id.clone(),
                        path: message.target().to_owned(),
                        instance: self.id.clone(),
                        service: self.service.clone(),
                    });
                }
                thread::sleep(self.work);
                let body = format!("{} {} {}", self.service, self.id, message.body.len());
                let headers = [
                    ("X-Request-Id", id.as_str()),
                    ("X-Response-Signature", "s1"),
                ];
                response(200, &headers, body.as_bytes())
            };
            if output.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The system's processes

/// Addresses of a machine.
#[derive(Clone, Copy)]
pub struct Machine {
    pub outbound: SocketAddr,
    pub inbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
    pub app: SocketAddr,
}

impl Machine {
    pub fn new() -> Self {
        Self {
            outbound: free_address(),
            inbound: free_address(),
            ready: free_address(),
            control: free_address(),
            metrics: free_address(),
            app: free_address(),
        }
    }
}

/// Settings that differ between machines or cases.
pub struct Options<'a> {
    pub name: &'a str,
    pub service: &'a str,
    pub memory_mb: u64,
    pub is_first_start: bool,
    /// Further lines of the settings.
    pub more: &'a str,
}

/// Notes a started process for `run.sh`, which ends it if the script itself is ended.
fn note_pid(pid: u32) {
    let Some(path) = std::env::var_os("PIDS") else {
        return;
    };
    let file = std::fs::OpenOptions::new().append(true).open(path);
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{pid}");
    }
}

/// A running sidecar, which ends with this value.
pub struct Sidecar {
    child: Child,
    pub name: String,
    pub machine: Machine,
}

impl Sidecar {
    /// Starts the command of the deploy file, with the settings that its template gives.
    pub fn start(
        directory: &str,
        machine: Machine,
        store: SocketAddr,
        options: &Options,
    ) -> io::Result<Self> {
        let settings = format!(
            "[sidecar]\nname = \"{}\"\nservice = \"{}\"\ndata_centre = \"zone-a\"\n\
             region = \"region-a\"\ncaller_address = \"{}\"\npeer_address = \"{}\"\n\
             ready_address = \"{}\"\ncontrol_address = \"{}\"\nmetrics_address = \"{}\"\n\
             target_address = \"{}\"\nstore_address = \"{store}\"\nseeds = []\n\
             heartbeat_s = 0.5\ngrace_s = 6\nretry_ratio = 0.2\nretry_window_s = 10\n\
             retry_allowance = 56\nlink_mbps = 1000.0\nmemory_mb = {}\ntrial_allowance = 50\n\
             is_first_start = {}\n{}",
            options.name,
            options.service,
            machine.outbound,
            machine.inbound,
            machine.ready,
            machine.control,
            machine.metrics,
            machine.app,
            options.memory_mb,
            options.is_first_start,
            options.more,
        );
        let path = format!("{directory}/{}.toml", options.name);
        std::fs::write(&path, settings)?;
        let log = std::fs::File::create(format!("{directory}/{}.log", options.name))?;
        let child = Command::new(PROGRAM)
            .arg("sidecar")
            .env_clear()
            .env("HEMLOCKFALL_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        note_pid(child.id());
        Ok(Self {
            child,
            name: options.name.to_owned(),
            machine,
        })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process, as the platform does when it exceeds its memory.
    pub fn kill(&mut self) {
        let pid = self.pid();
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|started| *started != pid);
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn is_ready(&self) -> bool {
        let bytes = request("GET", "/ready", &[("Host", "ready")], b"");
        call(self.machine.ready, &bytes, Duration::from_millis(500))
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the resident memory of the process in KiB: now, and at its peak.
    pub fn memory_kib(&self) -> (u64, u64) {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let text = text.unwrap_or_default();
        let field = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name));
            let number = line.and_then(|line| line.split_whitespace().nth(1));
            number.and_then(|number| number.parse().ok()).unwrap_or(0)
        };
        (field("VmRSS:"), field("VmHWM:"))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Temporary folder, which is removed with this value.
pub struct Folder(pub String);

impl Folder {
    pub fn new(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path.to_string_lossy().into_owned()))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_FOLDER").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_s: f64,
}

/// Host of all routes.
pub const HOST: &str = "shop.example";

/// Returns a configuration, written as PROTOCOL.md and `fleetbench wire` show it.
pub fn config(version: u32, routes: &[Route], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                r#"{{"name":"{}","host":"{HOST}","pathPrefix":"{}","type":"{}","timeoutS":{},"targetLatencyS":0.8,"priority":1,"service":"{}","maxAttempts":2}}"#,
                route.name, route.prefix, route.kind, route.timeout_s, route.service
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","healthCheck":"/health","maxConnections":110,"protocol":"h1","tls":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":"r{version}","routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}}}"#,
        routes.join(","),
        services.join(",")
    )
}
