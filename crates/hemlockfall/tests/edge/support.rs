//! Fixtures of the edge tests: one `stakker` loop per process, since the library allows no more,
//! with any number of edges on it.

use std::cell::RefCell;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::OnceLock;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall::edge::caller_server::CallerOptions;
use hemlockfall::edge::caller_server::CallerServer;
use hemlockfall::edge::http::Header;
use hemlockfall::edge::http::HttpAnswer;
use hemlockfall::edge::http::HttpRequest;
use hemlockfall::edge::message::CallerEvent;
use hemlockfall::edge::options::EdgeOptions;
use hemlockfall::edge::target_client::TargetClient;
use hemlockfall::edge::target_client::TargetEvent;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;
use stakker::ActorOwn;
use stakker::CX;
use stakker::Stakker;
use stakker::actor;
use stakker::actor_new;
use stakker::call;
use stakker::fwd_to;
use stakker::ret_nop;
use stakker_mio::MioPoll;
use stakker_mio::mio::Events;
use stakker_mio::mio::Poll;

const TESTS: u64 = 300;
const POLL: Duration = Duration::from_millis(2);
/// Time limit of every wait in these tests.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Checks a property with a fixed seed, so that a failure can be reproduced.
pub fn check<T: Testable>(seed: u64, property: T) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(TESTS)
        .quickcheck(property);
}

type Work = Box<dyn FnOnce(&mut Stakker) + Send>;

static LOOP: OnceLock<Sender<Work>> = OnceLock::new();

thread_local! {
    static CLIENTS: RefCell<Vec<ActorOwn<TargetClient>>> = const { RefCell::new(Vec::new()) };
    static EDGES: RefCell<Vec<ActorOwn<Echo>>> = const { RefCell::new(Vec::new()) };
}

/// Runs work on the thread of the loop and returns its result.
pub fn on_loop<T: Send + 'static>(work: impl FnOnce(&mut Stakker) -> T + Send + 'static) -> T {
    let (sender, receiver) = mpsc::channel();
    let work: Work = Box::new(move |stakker| {
        sender.send(work(stakker)).expect("the test waits");
    });
    let queue = LOOP.get_or_init(|| {
        let (queue, work_items) = mpsc::channel();
        thread::spawn(move || run(&work_items));
        queue
    });
    queue.send(work).expect("the loop runs");
    receiver.recv_timeout(TIMEOUT).expect("the loop runs")
}

fn run(work_items: &Receiver<Work>) {
    let poll = Poll::new().expect("a poll");
    let mut stakker = Stakker::new(Instant::now());
    let poll = MioPoll::new(&mut stakker, poll, Events::with_capacity(64), 0).expect("a poll");
    loop {
        while let Ok(work) = work_items.try_recv() {
            work(&mut stakker);
        }
        stakker.run(Instant::now(), false);
        poll.poll(POLL).expect("the poll works");
    }
}

/// Answers requests according to their path and reports the events of the edge.
struct Echo {
    server: ActorOwn<CallerServer>,
    seen: Sender<String>,
}

impl Echo {
    #[expect(clippy::unnecessary_wraps, reason = "stakker demands an option")]
    fn init(_: CX![], server: ActorOwn<CallerServer>, seen: Sender<String>) -> Option<Self> {
        Some(Self { server, seen })
    }

    fn stop_accepting(&mut self, _: CX![]) {
        call!([self.server], stop_accepting());
    }

    fn event(&mut self, _: CX![], event: CallerEvent) {
        let (id, request) = match event {
            CallerEvent::Request { id, request } => (id, request),
            CallerEvent::Disconnected { .. } => {
                let _ = self.seen.send("gone".to_owned());
                return;
            }
        };
        let _ = self
            .seen
            .send(format!("{} {}", request.method, request.target));
        let (status, body) = match request.target.as_str() {
            "/wait" => return,
            "/204" => (204, b"not sent".to_vec()),
            "/304" => (304, b"not sent".to_vec()),
            "/big" => (200, vec![b'x'; 4 * 1024 * 1024]),
            _ => (200, describe(&request).into_bytes()),
        };
        call!(
            [self.server],
            answer(id, HttpAnswer::new(status, Vec::new(), body))
        );
    }
}

fn describe(request: &HttpRequest) -> String {
    let headers: Vec<String> = request
        .headers
        .iter()
        .map(|header| format!("{}={}", header.name, header.value))
        .collect();
    let body = String::from_utf8_lossy(&request.body);
    format!(
        "<{} {} [{}] {body}>",
        request.method,
        request.target,
        headers.join(" ")
    )
}

/// Caller edge with small limits.
pub struct CallerEdge {
    pub address: SocketAddr,
    pub seen: Receiver<String>,
    index: usize,
}

pub fn caller_edge(change: impl FnOnce(&mut CallerOptions)) -> CallerEdge {
    let address = free_address();
    let mut options = CallerOptions::new(address, &EdgeOptions::default());
    options.limits.max_head_bytes = 2048;
    options.limits.max_body_bytes = 1000;
    change(&mut options);
    let (sender, seen) = mpsc::channel();
    let index = on_loop(move |stakker| {
        let echo = actor_new!(stakker, Echo, ret_nop!());
        let events = fwd_to!([echo], event() as (CallerEvent));
        let server = actor!(stakker, CallerServer::init(options, events), ret_nop!());
        call!([echo], Echo::init(server, sender));
        EDGES.with_borrow_mut(|edges| {
            edges.push(echo);
            edges.len() - 1
        })
    });
    CallerEdge {
        address,
        seen,
        index,
    }
}

impl CallerEdge {
    pub fn connect(&self) -> TcpStream {
        connect(self.address)
    }

    /// Stops accepting right after some work, before the edge has processed the effects of the
    /// work.
    pub fn stop_after<T: Send + 'static>(&self, work: impl FnOnce() -> T + Send + 'static) -> T {
        let index = self.index;
        on_loop(move |stakker| {
            let done = work();
            EDGES.with_borrow(|edges| {
                let echo = edges[index].clone();
                call!([echo, stakker], stop_accepting());
            });
            done
        })
    }

    /// Waits for the next event.
    pub fn next(&self) -> String {
        self.seen.recv_timeout(TIMEOUT).expect("an event")
    }
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let start = Instant::now();
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => {
                stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
                return stream;
            }
            Err(error) if start.elapsed() > TIMEOUT => panic!("{address}: {error}"),
            Err(_) => thread::sleep(POLL),
        }
    }
}

/// Sends input and returns all output up to the end of the connection.
pub fn exchange(address: SocketAddr, input: &[u8]) -> String {
    let mut stream = connect(address);
    // The edge may answer and close before it has read all input.
    let _ = stream.write_all(input);
    read_to_end(&mut stream)
}

pub fn read_to_end(stream: &mut TcpStream) -> String {
    let mut output = Vec::new();
    stream
        .read_to_end(&mut output)
        .expect("the connection ends");
    String::from_utf8(output).expect("the output is text")
}

/// Reads until a text has arrived.
pub fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut output = String::new();
    let mut byte = [0];
    while !output.ends_with(text) {
        stream.read_exact(&mut byte).expect("more output");
        output.push(char::from(byte[0]));
    }
    output
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Largest number of connections of a target client.
pub const MAX_CONNECTIONS: u64 = 4;

/// Starts a target client and returns its index and the receiver of its results.
pub fn target_client(
    limits: hemlockfall::edge::http1::HttpLimits,
) -> (usize, Receiver<TargetEvent>) {
    let (sender, results) = mpsc::channel();
    let max_connections = usize::try_from(MAX_CONNECTIONS).expect("a small number");
    let index = on_loop(move |stakker| {
        let events = stakker::fwd_do!(move |event: TargetEvent| drop(sender.send(event)));
        let client = actor!(
            stakker,
            TargetClient::init(limits, max_connections, events),
            ret_nop!()
        );
        CLIENTS.with_borrow_mut(|clients| {
            clients.push(client);
            clients.len() - 1
        })
    });
    (index, results)
}

/// Sends a request through a target client.
pub fn run_on_target(
    client: usize,
    id: u64,
    address: SocketAddr,
    method: &str,
    time_left: Duration,
) {
    let request = HttpRequest {
        method: method.into(),
        target: "/orders".into(),
        headers: vec![Header::new("host", "order-desk")],
        body: Vec::new(),
    };
    on_loop(move |stakker| {
        let run = Box::new(hemlockfall::edge::message::TargetRun {
            id,
            address,
            request: Box::new(request),
            time_left,
            max_body_bytes: 1000,
            awaits_late_answer: true,
        });
        CLIENTS.with_borrow(|clients| {
            let client = clients[client].clone();
            call!([client, stakker], run(run));
        });
    });
}
