//! Test fixture: a node process with all its addresses on loopback.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

/// Upper bound of every wait in these tests.
pub const BOUND: Duration = Duration::from_secs(10);
const FIRST_PORT: u32 = 20_000;
const POLL: Duration = Duration::from_millis(5);

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Held while ports are tried and until a node executes its program: up to then the started process
/// holds a copy of every listener, so that a port that another test has just tried is in use.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Running node process, which is killed on drop.
pub struct Node {
    pub peer: SocketAddr,
    pub operator: SocketAddr,
    pub local: SocketAddr,
    log: PathBuf,
    child: Child,
}

impl Node {
    /// Starts a node that logs to its own file.
    pub fn start(name: &str) -> Self {
        let log = directory().join(format!("{name}.log"));
        let _ = fs::remove_file(&log);
        let text = log.display().to_string();
        Self::start_with(name, &text, Stdio::inherit())
    }

    /// Starts a node with the given log file setting and standard error.
    pub fn start_with(name: &str, log: &str, standard_error: Stdio) -> Self {
        let spawn_lock = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let [caller, peer, operator, local, store] = free_addresses();
        let settings = format!(
            "[node]\nname = \"{name}\"\nregion = \"r\"\ndata_centre = \"d\"\n\
             caller_address = \"{caller}\"\npeer_address = \"{peer}\"\n\
             operator_address = \"{operator}\"\nlocal_address = \"{local}\"\n\
             [store]\naddress = \"{store}\"\nregion = \"r\"\n[log]\nfile = \"{log}\"\n"
        );
        let file = directory().join(format!("{name}.toml"));
        fs::write(&file, settings).expect("writable");
        let child = Command::new(env!("CARGO_BIN_EXE_hemlockfall"))
            .args(["node", "--settings"])
            .arg(&file)
            .stderr(standard_error)
            .spawn()
            .expect("the binary runs");
        drop(spawn_lock);
        let node = Self {
            peer,
            operator,
            local,
            log: PathBuf::from(log),
            child,
        };
        wait("it answers", || node.try_get("/healthz").is_some());
        // The actors bind the other addresses after the local one.
        wait("it takes links", || TcpStream::connect(peer).is_ok());
        node
    }

    pub fn child(&mut self) -> &mut Child {
        &mut self.child
    }

    fn try_get(&self, path: &str) -> Option<String> {
        let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
        exchange(self.local, &request)
    }

    /// Gets a page of the local address.
    pub fn get(&self, path: &str) -> String {
        self.try_get(path).expect("the node answers")
    }

    /// Returns the value of a metric, or 0 if it is not present yet.
    pub fn metric(&self, name: &str) -> f64 {
        let page = self.get("/metrics");
        let line = page.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|value| value.trim().parse().ok())
            .unwrap_or(0.0)
    }

    /// Posts a body to the local address.
    pub fn post(&self, path: &str, body: &str) -> String {
        let length = body.len();
        let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
        exchange(self.local, &(head + body)).expect("the node answers")
    }

    /// Returns the lines of the log, each of which must be one JSON object.
    pub fn log_lines(&self) -> Vec<Value> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        // The last line may be incomplete.
        let complete = text.rsplit_once('\n').map_or("", |(complete, _)| complete);
        complete.lines().map(parse_line).collect()
    }

    /// Waits for the first line with a payload and returns it.
    pub fn log_line(&self, payload: &str) -> Value {
        let mut found = None;
        wait(payload, || {
            let lines = self.log_lines();
            found = lines.into_iter().find(|line| line["payload"] == payload);
            found.is_some()
        });
        found.expect("it was found")
    }
}

/// Waits until a condition holds.
pub fn wait(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < BOUND, "not within the bound: {what}");
        thread::sleep(POLL);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn parse_line(line: &str) -> Value {
    let value: Value = serde_json::from_str(line).unwrap_or_else(|error| panic!("{error}: {line}"));
    assert!(value["level"].is_string(), "{line}");
    assert!(value["timestamp"].is_u64(), "{line}");
    assert!(value["payload"].is_string(), "{line}");
    value
}

pub fn directory() -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
}

/// Sends input and returns all output; `None` if the connection fails.
pub fn exchange(address: SocketAddr, input: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(BOUND)).ok()?;
    stream.write_all(input.as_bytes()).ok()?;
    let mut output = String::new();
    stream.read_to_string(&mut output).ok()?;
    Some(output)
}

/// Returns addresses with free ports below the ephemeral range. The system could assign a free
/// ephemeral port to a connection of another test before the node listens on it.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    [(); N].map(|()| {
        loop {
            let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
            let port = FIRST_PORT + (process::id() % 100) * 100 + number;
            let address = SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).expect("a port")));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    })
}
