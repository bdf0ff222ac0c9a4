//! Target with little jitter: a bounded number of requests run concurrently, the others wait in
//! order of arrival. Optionally, it calls the next service of a chain.
//!
//! A failing target sheds its requests as not run, and so does a target whose next service
//! failed. Shed requests cause the most retries: nodes forward other failures to the caller and
//! do not retry a request whose target closed the connection.

use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gumdrop::Options;

use crate::bench::calls::wire;
use crate::bench::calls::wire::Client;
use crate::bench::calls::wire::Message;
use crate::harness::process;
use crate::harness::wait;
use crate::http;
use crate::target::announce::Announcement;

const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(15);
const SHED_STATUS: u16 = 503;
const NEXT_TIMEOUT: Duration = Duration::from_secs(2);

/// Options of the bench's target.
#[derive(Clone, Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "address to listen on")]
    listen: Option<SocketAddr>,
    #[options(no_short, help = "local address of the node, for the announcement")]
    node: Option<SocketAddr>,
    #[options(no_short, help = "service")]
    service: String,
    #[options(no_short, default = "64", help = "requests run at once")]
    slots: u16,
    #[options(no_short, default = "0", help = "time of one request, in microseconds")]
    service_time_us: u64,
    #[options(no_short, help = "address through which the next service is called")]
    next_through: Option<SocketAddr>,
    #[options(no_short, help = "next service")]
    next_service: String,
}

struct State {
    arguments: Arguments,
    requests: AtomicU64,
    fails: AtomicBool,
    queue: Mutex<TicketQueue>,
    changed: Condvar,
}

/// Queue for the slots; requests start in the order of their tickets.
#[derive(Default)]
struct TicketQueue {
    next_ticket: u64,
    running: u64,
    started: u64,
}

/// Serves requests until the process ends.
pub fn run(arguments: &Arguments) -> Result<(), String> {
    process::exit_with_harness();
    let address = arguments.listen.ok_or("--listen is missing")?;
    let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
    let state = Arc::new(State {
        arguments: arguments.clone(),
        requests: AtomicU64::new(0),
        fails: AtomicBool::new(false),
        queue: Mutex::default(),
        changed: Condvar::new(),
    });
    if let Some(node) = arguments.node {
        let announcement = Announcement {
            service: arguments.service.clone(),
            version: "v1".to_owned(),
            address,
            slots: arguments.slots,
            connections: 130,
        };
        std::thread::spawn(move || announce(node, &announcement));
    }
    for stream in listener.incoming() {
        let stream = stream.map_err(|error| error.to_string())?;
        let state = Arc::clone(&state);
        std::thread::spawn(move || serve(&state, stream));
    }
    Ok(())
}

fn announce(node: SocketAddr, announcement: &Announcement) {
    let announced = wait::until("announcement", ANNOUNCE_TIMEOUT, || {
        let status = http::post_json(node, "/v1/announce", announcement);
        match status.map_err(|error| error.to_string())? {
            200..300 => Ok(()),
            status => Err(format!("status {status}")),
        }
    });
    if let Err(error) = announced {
        eprintln!("{error}");
    }
}

fn serve(state: &State, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    let mut next = state.arguments.next_through.map(Client::new);
    while let Ok(Some(message)) = wire::read(&mut reader) {
        let (status, body) = answer(state, &message, next.as_mut());
        if wire::write_answer(&mut writer, status, &body).is_err() {
            return;
        }
    }
}

fn answer(state: &State, message: &Message, next: Option<&mut Client>) -> (u16, Vec<u8>) {
    let path = message.first_line.split(' ').nth(1).unwrap_or_default();
    match path {
        "/control/fail" => {
            state.fails.store(true, Ordering::Relaxed);
            (200, Vec::new())
        }
        "/control/requests" => {
            let requests = state.requests.load(Ordering::Relaxed);
            (200, requests.to_string().into_bytes())
        }
        "/work" => work(state, message, next),
        _ => (404, Vec::new()),
    }
}

fn work(state: &State, message: &Message, next: Option<&mut Client>) -> (u16, Vec<u8>) {
    state.requests.fetch_add(1, Ordering::Relaxed);
    state.acquire_slot();
    if state.arguments.service_time_us > 0 {
        std::thread::sleep(Duration::from_micros(state.arguments.service_time_us));
    }
    let is_good = !state.fails.load(Ordering::Relaxed)
        && next.is_none_or(|next| call_next(&state.arguments.next_service, message, next));
    state.release_slot();
    let status = if is_good { 200 } else { SHED_STATUS };
    (status, message.body.clone())
}

fn call_next(service: &str, message: &Message, next: &mut Client) -> bool {
    let forwarded = ["hemlockfall-deadline-ms", "hemlockfall-retry"];
    let headers: Vec<(&str, &str)> = forwarded
        .iter()
        .filter_map(|name| Some((*name, message.header(name)?)))
        .collect();
    next.send(service, &headers, &message.body, NEXT_TIMEOUT)
        .is_ok_and(|answer| answer.status() == 200)
}

impl State {
    /// Waits until it is the request's turn and a slot is free.
    fn acquire_slot(&self) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let ticket = queue.next_ticket;
        queue.next_ticket += 1;
        let slots = u64::from(self.arguments.slots);
        while queue.started != ticket || queue.running >= slots {
            queue = self
                .changed
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner);
        }
        queue.started += 1;
        queue.running += 1;
        if queue.next_ticket > queue.started {
            self.changed.notify_all();
        }
    }

    fn release_slot(&self) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.running -= 1;
        if queue.next_ticket > queue.started {
            self.changed.notify_all();
        }
    }
}
