//! The HTTP edge towards callers (`tiny_http`).
//!
//! Each worker takes one request at a time and waits for its answer, so the number of workers
//! bounds the requests in progress.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;
use std::thread;

use stakker::sync::Channel;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use crate::edge::http;
use crate::edge::http::Header;
use crate::edge::http::HttpAnswer;
use crate::edge::http::HttpRequest;
use crate::edge::message::CallerEvent;
use crate::edge::message::CallerId;

/// `CallerOptions` bound what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct CallerOptions {
    /// Address for callers.
    pub address: SocketAddr,
    /// Requests in progress.
    pub workers: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
}

/// `Callers` hands answers to the waiting workers.
#[derive(Clone)]
pub struct Callers {
    waiting: Arc<Mutex<Vec<Waiting>>>,
}

struct Waiting {
    id: CallerId,
    answer: SyncSender<HttpAnswer>,
}

impl Callers {
    /// `start` binds the address and starts the workers.
    ///
    /// # Errors
    /// The reason why the address cannot be bound.
    pub fn start(options: CallerOptions, events: &Channel<CallerEvent>) -> Result<Self, String> {
        let server = Server::http(options.address).map_err(|error| error.to_string())?;
        let server = Arc::new(server);
        let callers = Self {
            waiting: Arc::new(Mutex::new(Vec::new())),
        };
        let next_id = Arc::new(AtomicU64::new(1));
        for _ in 0..options.workers {
            let worker = Worker {
                server: Arc::clone(&server),
                callers: callers.clone(),
                next_id: Arc::clone(&next_id),
                events: events.clone(),
                max_body_bytes: options.max_body_bytes,
            };
            thread::spawn(move || worker.run());
        }
        Ok(callers)
    }

    /// `answer` gives a waiting caller its answer; ids without a waiting caller are ignored.
    pub fn answer(&self, id: CallerId, answer: HttpAnswer) {
        if let Some(waiting) = self.take(id) {
            // The worker has stopped waiting when its caller is gone.
            let _ = waiting.answer.send(answer);
        }
    }

    fn take(&self, id: CallerId) -> Option<Waiting> {
        let mut waiting = self.waiting.lock().ok()?;
        let index = waiting.iter().position(|entry| entry.id == id)?;
        Some(waiting.swap_remove(index))
    }

    fn wait(&self, id: CallerId, answer: SyncSender<HttpAnswer>) {
        if let Ok(mut waiting) = self.waiting.lock() {
            waiting.push(Waiting { id, answer });
        }
    }
}

struct Worker {
    server: Arc<Server>,
    callers: Callers,
    next_id: Arc<AtomicU64>,
    events: Channel<CallerEvent>,
    max_body_bytes: usize,
}

impl Worker {
    fn run(&self) {
        while let Ok(request) = self.server.recv() {
            self.serve(request);
        }
    }

    fn serve(&self, mut request: Request) {
        let read = match read_request(&mut request, self.max_body_bytes) {
            Ok(read) => read,
            Err(refusal) => {
                let text = format!("{} {}\n", refusal.code, refusal.reason);
                let response = Response::from_string(text).with_status_code(refusal.status);
                let _ = request.respond(response);
                return;
            }
        };
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::sync_channel(1);
        self.callers.wait(id, sender);
        self.events.send(CallerEvent::Request {
            id,
            request: Box::new(read),
        });
        if let Ok(answer) = receiver.recv() {
            respond(request, answer);
        }
    }
}

struct Refusal {
    status: u16,
    code: &'static str,
    reason: &'static str,
}

fn read_request(request: &mut Request, max_body_bytes: usize) -> Result<HttpRequest, Refusal> {
    check_framing(request)?;
    let too_large = Refusal {
        status: 413,
        code: "HF-3413",
        reason: "body too large",
    };
    let incomplete = Refusal {
        status: 400,
        code: "HF-3400",
        reason: "body incomplete",
    };
    let declared = request.body_length();
    if declared.is_some_and(|length| length > max_body_bytes) {
        return Err(too_large);
    }
    let mut body = Vec::new();
    let limit = max_body_bytes as u64 + 1;
    if request
        .as_reader()
        .take(limit)
        .read_to_end(&mut body)
        .is_err()
    {
        return Err(incomplete);
    }
    if body.len() > max_body_bytes {
        return Err(too_large);
    }
    if declared.is_some_and(|length| length != body.len()) {
        return Err(incomplete);
    }
    Ok(HttpRequest {
        method: request.method().to_string().into(),
        target: request.url().into(),
        headers: forwarded_headers(request),
        body,
    })
}

fn check_framing(request: &Request) -> Result<(), Refusal> {
    let values = |name: &'static str| {
        request
            .headers()
            .iter()
            .filter(move |header| header.field.equiv(name))
    };
    let lengths: Vec<&str> = values("content-length")
        .map(|header| header.value.as_str())
        .collect();
    let coded = values("transfer-encoding").next().is_some();
    let numeric = lengths
        .iter()
        .all(|length| length.bytes().all(|byte| byte.is_ascii_digit()));
    if lengths.len() > 1 || !numeric || (coded && !lengths.is_empty()) {
        return Err(Refusal {
            status: 400,
            code: "HF-3400",
            reason: "ambiguous framing",
        });
    }
    Ok(())
}

fn forwarded_headers(request: &Request) -> Vec<Header> {
    let options: Vec<&str> = request
        .headers()
        .iter()
        .filter(|header| header.field.equiv("connection"))
        .map(|header| header.value.as_str())
        .collect();
    let connection = options.join(",");
    request
        .headers()
        .iter()
        .map(|header| Header::new(header.field.as_str().as_str(), header.value.as_str()))
        .filter(|header| http::is_forwarded(&header.name, &connection))
        .collect()
}

fn respond(request: Request, answer: HttpAnswer) {
    let headers: Vec<tiny_http::Header> = answer
        .headers
        .iter()
        .filter(|header| !header.name.eq_ignore_ascii_case("content-length"))
        .filter_map(|h| tiny_http::Header::from_bytes(h.name.as_bytes(), h.value.as_bytes()).ok())
        .collect();
    let length = answer.body.len();
    let response = Response::new(
        answer.status.into(),
        headers,
        std::io::Cursor::new(answer.body),
        Some(length),
        None,
    )
    .with_chunked_threshold(usize::MAX);
    let _ = request.respond(response);
}
