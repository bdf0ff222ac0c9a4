//! Stand-ins and helpers of the review's scripts: the platform's store, upstreams, clients, a TCP
//! proxy, and the processes of the nodes. Uses the standard library only; `build.sh` compiles it.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const OUTBOUND: u16 = 8141;
pub const INBOUND: u16 = 8145;
pub const READY: u16 = 8140;
pub const CONTROL: u16 = 8146;
pub const APP: u16 = 8147;
/// Host of all routes of the scripts.
pub const HOST: &str = "a.example";

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(ms(millis));
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// Stops the script without a verdict.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(2);
}

// ---------------------------------------------------------------------------------------------
// Record of what was sent, answered and run.

pub struct Record {
    started: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = fs::File::create(path).unwrap_or_else(|error| cannot_run(&error.to_string()));
        Arc::new(Self {
            started: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} s  {}\n", self.started.elapsed().as_secs_f64(), text.as_ref());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

// ---------------------------------------------------------------------------------------------
// JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn write(&self) -> String {
        match self {
            Json::Null => "null".into(),
            Json::Bool(value) => value.to_string(),
            Json::Number(text) => text.clone(),
            Json::Text(text) => quote(text),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::write).collect();
                format!("[{}]", items.join(","))
            }
            Json::Table(table) => {
                let items: Vec<String> = table
                    .iter()
                    .map(|(key, value)| format!("{}:{}", quote(key), value.write()))
                    .collect();
                format!("{{{}}}", items.join(","))
            }
        }
    }
}

fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.eat(b']').is_some() {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b']')?;
                        return Some(Json::List(items));
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut table = BTreeMap::new();
                if self.eat(b'}').is_some() {
                    return Some(Json::Table(table));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.eat(b':')?;
                    table.insert(key, self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b'}')?;
                        return Some(Json::Table(table));
                    }
                }
            }
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte))
                {
                    self.at += 1;
                }
                (self.at > start).then(|| {
                    Json::Number(String::from_utf8_lossy(&self.bytes[start..self.at]).into_owned())
                })
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let code = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            out.extend_from_slice(code.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads one message with a length; `Ok(None)` when the connection ended before its first byte.
pub fn read_message(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0; 16 * 1024];
    let head_end = loop {
        if let Some(at) = input.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut chunk)? {
            0 if input.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => input.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&input[..head_end - 4]).into_owned();
    let mut lines = head.split("\r\n");
    let mut message = Message {
        start: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let length: usize = message
        .header("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    while input.len() < head_end + length {
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => input.extend_from_slice(&chunk[..count]),
        }
    }
    message.body = input[head_end..head_end + length].to_vec();
    input.drain(..head_end + length);
    Ok(Some(message))
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} S\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline: {deadline_ms}\r\n"
    );
    if method != "GET" {
        out.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Server with a thread for each connection.
pub struct Server {
    stop: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start<H>(address: SocketAddr, handler: H) -> Self
    where
        H: Fn(TcpStream) + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)
            .unwrap_or_else(|error| cannot_run(&format!("{address}: {error}")));
        let _ = listener.set_nonblocking(true);
        let stop = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (stopped, streams, handler) = (Arc::clone(&stop), Arc::clone(&open), Arc::new(handler));
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            lock(&streams).push(copy);
                        }
                        let handler = Arc::clone(&handler);
                        thread::spawn(move || handler(stream));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
        Self { stop, open }
    }

    /// Closes the listener and all connections, as the end of the server's process does.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
        sleep_ms(5);
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<(u64, String, Json)>,
}

pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    pub record: Arc<Record>,
    /// Set while the store answers nothing; calls of that time stay unanswered.
    is_silent: AtomicBool,
    /// Calls of each waiting watch on the configuration: (start, port of the caller).
    pub watches: Mutex<Vec<(Instant, SocketAddr)>>,
}

impl Store {
    pub fn start(address: SocketAddr, record: Arc<Record>) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(StoreState { revision: 10, ..StoreState::default() }),
            changed: Condvar::new(),
            record,
            is_silent: AtomicBool::new(false),
            watches: Mutex::default(),
        });
        let served = Arc::clone(&store);
        // The store runs as long as the script.
        std::mem::forget(Server::start(address, move |mut stream| {
            let mut input = Vec::new();
            while let Ok(Some(call)) = read_message(&mut stream, &mut input) {
                sleep_ms(4);
                if served.is_silent() {
                    served.stay_silent(&stream);
                    return;
                }
                let (status, body) = served.answer(&call, &stream);
                if served.is_silent() {
                    served.stay_silent(&stream);
                    return;
                }
                let headers = [("Content-Type", "application/json")];
                let answer = response(status, &headers, body.write().as_bytes());
                if stream.write_all(&answer).is_err() {
                    return;
                }
            }
        }));
        store
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    fn is_silent(&self) -> bool {
        self.is_silent.load(Ordering::SeqCst)
    }

    /// Leaves a connection open without an answer until its peer closes it.
    fn stay_silent(&self, stream: &TcpStream) {
        if let Ok(mut copy) = stream.try_clone() {
            while matches!(copy.read(&mut [0; 4096]), Ok(1..)) {}
        }
    }

    fn json(name: &str, object: &Object) -> Json {
        Json::parse(&format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":{},\"finalizers\":[],\
             \"deletionPending\":false}},\"spec\":{},\"status\":{}}}",
            quote(name),
            object.revision,
            object.created,
            object.spec.write(),
            object.status.write()
        ))
        .unwrap_or(Json::Null)
    }

    fn answer(&self, call: &Message, stream: &TcpStream) -> (u16, Json) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let parameter = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let body = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
        match (call.method(), parts.as_slice()) {
            ("GET", ["objects", kind]) => match parameter("watch") {
                Some(revision) => {
                    if *kind == "config" {
                        if let Ok(peer) = stream.peer_addr() {
                            lock(&self.watches).push((Instant::now(), peer));
                        }
                    }
                    let wait = parameter("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    (200, self.watch(kind, revision.parse().unwrap_or(0), ms(wait)))
                }
                None => (200, self.list(kind, parameter("after"))),
            },
            ("GET", ["objects", kind, name]) => {
                let state = lock(&self.state);
                match state.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some(object) => (200, Self::json(name, object)),
                    None => (404, Json::Null),
                }
            }
            ("POST", ["objects", kind]) => {
                let name = body.get("metadata").get("name").text().unwrap_or_default().to_owned();
                self.write(kind, &name, &body, true, |object| {
                    object.spec = body.get("spec").clone();
                })
            }
            ("PUT", ["objects", kind, name]) => self.write(kind, name, &body, false, |object| {
                object.spec = body.get("spec").clone();
            }),
            ("PUT", ["objects", kind, name, "status"]) => {
                self.record.line(format!("store: PUT {path} {}", body.write()));
                self.write(kind, name, &body, false, |object| {
                    object.status = body.get("status").clone();
                })
            }
            _ => (400, Json::Null),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Json {
        let state = lock(&self.state);
        let items: Vec<Json> = state
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && after.is_none_or(|after| name.as_str() > after))
            .map(|((_, name), object)| Self::json(name, object))
            .collect();
        Json::parse(&format!(
            "{{\"items\":{},\"hasMore\":false,\"storeRevision\":{}}}",
            Json::List(items).write(),
            state.revision
        ))
        .unwrap_or(Json::Null)
    }

    fn watch(&self, kind: &str, revision: u64, wait: Duration) -> Json {
        let end = Instant::now() + wait;
        let mut state = lock(&self.state);
        loop {
            let events: Vec<Json> = state
                .history
                .iter()
                .filter(|(at, of, _)| *at > revision && of == kind)
                .map(|(_, _, object)| {
                    Json::Table(BTreeMap::from([
                        ("object".to_owned(), object.clone()),
                        ("deleted".to_owned(), Json::Bool(false)),
                    ]))
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":{},\"storeRevision\":{}}}",
                    Json::List(events).write(),
                    state.revision
                );
                return Json::parse(&text).unwrap_or(Json::Null);
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .map_or_else(|poisoned| poisoned.into_inner().0, |(state, _)| state);
        }
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        body: &Json,
        is_new: bool,
        change: impl FnOnce(&mut Object),
    ) -> (u16, Json) {
        let mut state = lock(&self.state);
        let key = (kind.to_owned(), name.to_owned());
        let found = state.objects.get(&key).cloned();
        let expected = body.get("metadata").get("revision").number();
        let mut object = match (found, is_new) {
            (Some(object), true) => return (409, Self::json(name, &object)),
            (None, false) => return (404, Json::Null),
            (Some(object), false) if expected.is_some_and(|at| at != object.revision) => {
                return (409, Self::json(name, &object));
            }
            (Some(object), false) => object,
            (None, true) => Object {
                revision: 0,
                created: state.revision + 1,
                spec: Json::Null,
                status: Json::Null,
            },
        };
        let before = (object.spec.clone(), object.status.clone());
        change(&mut object);
        if object.revision > 0 && before == (object.spec.clone(), object.status.clone()) {
            return (200, Self::json(name, &object));
        }
        state.revision += 1;
        object.revision = state.revision;
        let json = Self::json(name, &object);
        state.objects.insert(key, object.clone());
        let revision = state.revision;
        state.history.push((revision, kind.to_owned(), json.clone()));
        self.changed.notify_all();
        (200, json)
    }

    /// Writes an object as the operator does.
    pub fn operator_put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).unwrap_or_else(|| cannot_run("a body is not JSON"));
        let body = Json::Table(BTreeMap::from([("spec".to_owned(), spec.clone())]));
        let (status, _) = self.write(kind, name, &body, false, |object| object.spec = spec.clone());
        if status == 404 {
            self.write(kind, name, &body, true, |object| object.spec = spec);
        }
        self.record.line(format!("operator: {kind}/{name} is written and acknowledged"));
    }
}

/// Route of a configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_s: f64,
    pub target_latency_s: f64,
    pub max_attempts: u32,
}

pub fn config(version: u32, routes: &[Route]) -> String {
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{}\",\"type\":\"{}\",\
                 \"timeoutS\":{},\"targetLatencyS\":{},\"priority\":1,\"service\":\"{}\",\
                 \"maxAttempts\":{}}}",
                route.name,
                route.prefix,
                route.kind,
                route.timeout_s,
                route.target_latency_s,
                route.service,
                route.max_attempts
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthCheck\":\"/health\",\"maxConnections\":110,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutS\":3,\
         \"idleTimeoutS\":10}}}}",
        routes.join(","),
        services.join(",")
    )
}

// ---------------------------------------------------------------------------------------------
// Upstreams

/// How an upstream treats a request that it has read.
pub enum Treatment {
    /// Runs it for this time and answers it.
    Run(Duration),
    /// Turns it away without running it.
    Shed,
    /// Runs it, and sends the answer twice, the second copy after a delay.
    RunAndRepeat(Duration, Duration),
    /// Turns it away, and sends a second copy of that answer after a delay.
    ShedAndRepeat(Duration),
}

pub struct UpstreamOptions {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub ip: String,
    pub slots: u32,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub upstream: String,
    pub at: Instant,
    pub path: String,
}

pub struct Upstream {
    pub options: UpstreamOptions,
    pub server: Server,
    born: u64,
    sequence: AtomicU64,
    pub silent: AtomicBool,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

pub fn signature(id: &str, upstream: &str) -> String {
    format!("{upstream}.{id}.sig")
}

impl Upstream {
    /// Starts an upstream that sends its heartbeats to the node on its machine.
    pub fn start<T>(options: UpstreamOptions, runs: Runs, record: Arc<Record>, treat: T) -> Arc<Self>
    where
        T: Fn(&Message) -> Treatment + Send + Sync + 'static,
    {
        let address = address(&options.ip, APP);
        let (id, service) = (options.id.clone(), options.service.clone());
        let running = Arc::new(AtomicUsize::new(0));
        let limit = (options.slots * 5) as usize;
        let server = Server::start(address, move |stream| {
            serve_upstream(stream, &id, &service, limit, &running, &runs, &record, &treat);
        });
        let upstream = Arc::new(Self {
            options,
            server,
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            silent: AtomicBool::new(false),
        });
        let beating = Arc::clone(&upstream);
        thread::spawn(move || {
            while !beating.silent.load(Ordering::SeqCst) {
                let is_acknowledged = beating.beat("ready");
                sleep_ms(if is_acknowledged { 1500 } else { 100 });
            }
        });
        upstream
    }

    pub fn beat(&self, state: &str) -> bool {
        let call = self.prepare_beat(state);
        self.call(&call) / 100 == 2
    }

    /// Sends `DELETE /instances/ID` and returns the status of the answer.
    pub fn deregister(&self) -> u16 {
        let call = format!(
            "DELETE /instances/{} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n",
            self.options.id
        );
        self.call(&call)
    }

    fn call(&self, call: &str) -> u16 {
        let control = address(&self.options.ip, CONTROL);
        let Ok(mut stream) = TcpStream::connect_timeout(&control, ms(1000)) else {
            return 0;
        };
        match send_on(&mut stream, call.as_bytes(), ms(1000)) {
            Ended::Answer(answer) => answer.status(),
            _ => 0,
        }
    }

    /// Writes the next heartbeat without sending it.
    pub fn prepare_beat(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let options = &self.options;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}:{APP}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"{state}\",\"coldRemainingS\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            options.service, options.ip, options.zone, options.version, options.slots, self.born
        );
        format!(
            "PUT /instances/{} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            options.id,
            body.len()
        )
    }

    /// Ends the upstream as a crash does.
    pub fn crash(&self) {
        self.silent.store(true, Ordering::SeqCst);
        self.server.stop();
    }
}

#[allow(clippy::too_many_arguments)]
fn serve_upstream(
    stream: TcpStream,
    id: &str,
    service: &str,
    limit: usize,
    running: &AtomicUsize,
    runs: &Mutex<Vec<Run>>,
    record: &Record,
    treat: &dyn Fn(&Message) -> Treatment,
) {
    let mut stream = stream;
    let mut input = Vec::new();
    while let Ok(Some(call)) = read_message(&mut stream, &mut input) {
        let request_id = call.header("X-Request-Id").unwrap_or_default().to_owned();
        if call.target() == "/health" {
            let answer = response(200, &[("X-Instance-Id", id)], b"");
            if stream.write_all(&answer).is_err() {
                return;
            }
            continue;
        }
        if call.header("X-Expected-Instance").is_some_and(|expected| expected != id) {
            record.line(format!("upstream {id}: 421 to {request_id}"));
            let answer = response(421, &[("X-Instance-Id", id)], b"");
            if stream.write_all(&answer).is_err() {
                return;
            }
            continue;
        }
        // The answer of the wire page to a request that is turned away; it names no request.
        let shed = response(503, &[("X-Not-Executed", "1")], b"");
        let treatment = if running.load(Ordering::SeqCst) >= limit {
            Treatment::Shed
        } else {
            treat(&call)
        };
        let (run_time, repeat_after) = match treatment {
            Treatment::Shed | Treatment::ShedAndRepeat(_) => {
                record.line(format!("upstream {id} ({service}): sheds {request_id}"));
                if stream.write_all(&shed).is_err() {
                    return;
                }
                if let Treatment::ShedAndRepeat(after) = treatment {
                    record.line(format!(
                        "upstream {id}: a second copy of the answer to {request_id} follows in {after:?}"
                    ));
                    repeat(&stream, shed, after);
                }
                continue;
            }
            Treatment::Run(time) => (time, None),
            Treatment::RunAndRepeat(time, after) => (time, Some(after)),
        };
        running.fetch_add(1, Ordering::SeqCst);
        record.line(format!("upstream {id} ({service}): runs {request_id} {}", call.target()));
        lock(runs).push(Run {
            id: request_id.clone(),
            upstream: id.to_owned(),
            at: Instant::now(),
            path: call.target().to_owned(),
        });
        thread::sleep(run_time);
        running.fetch_sub(1, Ordering::SeqCst);
        let signature = signature(&request_id, id);
        let headers = [
            ("X-Request-Id", request_id.as_str()),
            ("X-Response-Signature", signature.as_str()),
        ];
        let answer = response(200, &headers, format!("{request_id} at {service}").as_bytes());
        if stream.write_all(&answer).is_err() {
            return;
        }
        if let Some(after) = repeat_after {
            repeat(&stream, answer, after);
        }
    }
}

fn repeat(stream: &TcpStream, answer: Vec<u8>, after: Duration) {
    if let Ok(mut copy) = stream.try_clone() {
        thread::spawn(move || {
            thread::sleep(after);
            let _ = copy.write_all(&answer);
        });
    }
}

// ---------------------------------------------------------------------------------------------
// Nodes

pub fn address(ip: &str, port: u16) -> SocketAddr {
    format!("{ip}:{port}")
        .parse()
        .unwrap_or_else(|_| cannot_run("an address is not valid"))
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: usize) -> i32;
}

/// `prctl` option: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub struct Node {
    pub name: String,
    pub ip: String,
    pub child: Mutex<Child>,
}

impl Node {
    pub fn signal(&self, signal: i32) {
        let pid = lock(&self.child).id() as i32;
        // SAFETY: `kill` has no preconditions; the process was started by this script and has not
        // been waited for.
        unsafe { kill(pid, signal) };
    }

    /// Returns how the process ended, if it has.
    pub fn end(&self) -> Option<String> {
        lock(&self.child).try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn outbound(&self) -> SocketAddr {
        address(&self.ip, OUTBOUND)
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&address(&self.ip, READY), ms(500)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let sent = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
        sent.is_ok()
            && matches!(read_message(&mut stream, &mut Vec::new()), Ok(Some(answer)) if answer.status() == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        let mut child = lock(&self.child);
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Loopback network of one run and the folder of its files.
pub struct Testbed {
    pub prefix: String,
    pub folder: PathBuf,
    pub record: Arc<Record>,
    pub has_trouble: bool,
    started: Instant,
}

/// "Traffic starts 10 s after the machines do." All nodes have been in touch for longer than
/// `stabilityWindowS` by then.
const TRAFFIC_STARTS_AFTER: Duration = Duration::from_secs(10);

impl Testbed {
    pub fn new(case: &Path) -> Self {
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let seed = u64::from(std::process::id()) ^ unix_ms();
        let prefix = format!("127.{}.{}", 64 + seed % 128, 1 + seed / 128 % 250);
        let folder = std::env::temp_dir().join(format!("hemlockfall-review-{seed}"));
        fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
        Self {
            prefix,
            folder,
            record: Record::create(&case.join("record.txt")),
            has_trouble,
            started: Instant::now(),
        }
    }

    /// Ends the script with its verdict; `nodes` are ended first.
    pub fn finish(&self, nodes: Vec<Node>, is_broken: bool) -> ! {
        drop(nodes);
        let _ = fs::remove_dir_all(&self.folder);
        std::process::exit(i32::from(is_broken))
    }

    pub fn ip(&self, machine: usize) -> String {
        format!("{}.{}", self.prefix, machine + 10)
    }

    /// Renders the template of the deploy file with the settings of a machine.
    fn settings(
        &self,
        machine: usize,
        service: &str,
        zone: &str,
        store: SocketAddr,
        bootstrap: bool,
    ) -> String {
        let template = fs::read_to_string("platform/settings.toml.in")
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        let ip = self.ip(machine);
        let region = zone.split('-').next().unwrap_or(zone);
        let own = |port: u16| format!("{ip}:{port}");
        let values: Vec<(&str, String, bool)> = vec![
            ("nodeName", format!("sidecar-{zone}-{machine}"), true),
            ("service", service.to_owned(), true),
            ("zone", zone.to_owned(), true),
            ("region", region.to_owned(), true),
            ("listenAddrs.outbound", own(OUTBOUND), true),
            ("listenAddrs.inbound", own(INBOUND), true),
            ("listenAddrs.ready", own(READY), true),
            ("listenAddrs.control", own(CONTROL), true),
            ("ip", ip.clone(), true),
            ("appAddr", own(APP), true),
            ("platform.address", store.to_string(), true),
            ("seedNodes", "[]".into(), false),
            ("heartbeatS", "1.5".into(), false),
            ("bounds.graceS", "6".into(), false),
            ("bounds.retryBudgetRatio", "0.2".into(), false),
            ("bounds.retryWindowS", "10".into(), false),
            ("bounds.budgetSlack", "56".into(), false),
            ("limits.linkMbps", "1000.0".into(), false),
            ("limits.memoryMb", "260".into(), false),
            ("bounds.exposureSlack", "50".into(), false),
            ("bootstrap", bootstrap.to_string(), false),
        ];
        let mut text = template;
        for (name, value, is_text) in &values {
            let json = if *is_text { quote(value) } else { value.clone() };
            text = text.replace(&format!("{{{{{name}|json}}}}"), &json);
            text = text.replace(&format!("{{{{{name}}}}}"), value);
            let (open, close) = (format!("{{{{#{name}}}}}\n"), format!("{{{{/{name}}}}}\n"));
            if let (Some(start), Some(end)) = (text.find(&open), text.find(&close)) {
                let inner = text[start + open.len()..end].replace("{{.}}", value);
                text.replace_range(start..end + close.len(), &inner);
            }
        }
        if text.contains("{{") {
            cannot_run("the template of the settings has a field that this script does not know");
        }
        text
    }

    /// Starts a node with the command of the deploy file.
    pub fn start_node(&self, machine: usize, service: &str, zone: &str, store: SocketAddr) -> Node {
        self.start_node_as(machine, service, zone, store, true)
    }

    /// Starts a node; `bootstrap` is true only when the whole system starts for the first time.
    pub fn start_node_as(
        &self,
        machine: usize,
        service: &str,
        zone: &str,
        store: SocketAddr,
        bootstrap: bool,
    ) -> Node {
        let path = self.folder.join(format!("node-{machine}.toml"));
        let settings = self.settings(machine, service, zone, store, bootstrap);
        let written = fs::write(&path, settings);
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("node-{machine}.log")));
        let (Ok(()), Ok(log)) = (written, log) else {
            cannot_run("the files of a node cannot be written");
        };
        let Ok(errors) = log.try_clone() else {
            cannot_run("the log of a node cannot be opened");
        };
        let mut command = Command::new("target/release/hemlockfall");
        // SAFETY: `prctl` may be called between fork and exec. A node does not outlive this script.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as usize);
                Ok(())
            });
        }
        let child = command
            .arg("sidecar")
            .env_clear()
            .env("HEMLOCKFALL_NODE_FILE", &path)
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("target/release/hemlockfall: {error}")));
        Node {
            name: format!("sidecar-{zone}-{machine}"),
            ip: self.ip(machine),
            child: Mutex::new(child),
        }
    }

    /// Waits until all nodes are ready.
    pub fn await_ready(&self, nodes: &[Node]) {
        let end = Instant::now() + Duration::from_secs(15);
        while !nodes.iter().all(Node::is_ready) {
            if Instant::now() > end {
                cannot_run("the nodes are not ready after 15 s");
            }
            sleep_ms(50);
        }
        let traffic_start = self.started + TRAFFIC_STARTS_AFTER;
        thread::sleep(traffic_start.saturating_duration_since(Instant::now()));
    }
}

/// Answer to a client, or how the connection ended.
#[derive(Debug)]
pub enum Ended {
    Answer(Message),
    Closed,
    TimedOut,
    NotConnected,
}

/// Sends a request on a new connection and waits for its answer.
pub fn send_once(to: SocketAddr, request: &[u8], wait: Duration) -> Ended {
    let Ok(mut stream) = TcpStream::connect_timeout(&to, ms(1000)) else {
        return Ended::NotConnected;
    };
    let _ = stream.set_nodelay(true);
    send_on(&mut stream, request, wait)
}

/// Sends a request on an open connection and waits for its answer.
pub fn send_on(stream: &mut TcpStream, request: &[u8], wait: Duration) -> Ended {
    let _ = stream.set_read_timeout(Some(wait));
    if stream.write_all(request).is_err() {
        return Ended::NotConnected;
    }
    match read_message(stream, &mut Vec::new()) {
        Ok(Some(answer)) => Ended::Answer(answer),
        Ok(None) => Ended::Closed,
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            Ended::TimedOut
        }
        Err(_) => Ended::Closed,
    }
}
