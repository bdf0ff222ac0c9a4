//! The HTTP edge towards the local target (`ureq`).

use std::io::Read;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;

use stakker::sync::Channel;
use ureq::Agent;

use crate::edge::http;
use crate::edge::http::Header;
use crate::edge::http::HttpAnswer;
use crate::edge::message::TargetResult;
use crate::edge::message::TargetRun;

/// `TargetEvent` is the result of one run.
#[derive(Debug)]
pub struct TargetEvent {
    /// The run.
    pub id: u64,
    /// What became of it.
    pub result: TargetResult,
}

/// `Targets` runs requests on the local target, each on one of a fixed number of threads.
pub struct Targets {
    runs: SyncSender<TargetRun>,
}

impl Targets {
    /// `start` starts the worker threads.
    #[must_use]
    pub fn start(workers: usize, events: &Channel<TargetEvent>) -> Self {
        let (runs, receiver) = mpsc::sync_channel(workers * 2);
        let receiver = Arc::new(Mutex::new(receiver));
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_idle_connections_per_host(workers)
            .build();
        let agent: Agent = config.into();
        for _ in 0..workers {
            let (receiver, events, agent) = (Arc::clone(&receiver), events.clone(), agent.clone());
            thread::spawn(move || work(&receiver, &agent, &events));
        }
        Self { runs }
    }

    /// `run` starts a run.
    ///
    /// # Errors
    /// The run itself when all threads are busy; it was surely not sent.
    pub fn run(&self, run: TargetRun) -> Result<(), Box<TargetRun>> {
        self.runs.try_send(run).map_err(|error| match error {
            mpsc::TrySendError::Full(run) | mpsc::TrySendError::Disconnected(run) => Box::new(run),
        })
    }
}

fn work(receiver: &Mutex<Receiver<TargetRun>>, agent: &Agent, events: &Channel<TargetEvent>) {
    loop {
        let next = receiver.lock().map(|receiver| receiver.recv());
        let Ok(Ok(run)) = next else {
            return;
        };
        let id = run.id;
        let result = execute(agent, run);
        if !events.send(TargetEvent { id, result }) {
            return;
        }
    }
}

fn execute(agent: &Agent, run: TargetRun) -> TargetResult {
    let uri = format!("http://{}{}", run.address, run.request.target);
    let mut request = ureq::http::Request::builder()
        .method(run.request.method.as_str())
        .uri(uri);
    for header in &run.request.headers {
        request = request.header(header.name.as_str(), header.value.as_str());
    }
    let Ok(request) = request.body(run.request.body) else {
        return TargetResult::NotSent {
            reason: "the request is not valid HTTP".to_owned(),
        };
    };
    let request = agent
        .configure_request(request)
        .timeout_global(Some(run.time_left))
        .allow_non_standard_methods(true)
        .build();
    match agent.run(request) {
        Ok(answer) => read_answer(answer, run.max_body_bytes),
        Err(ureq::Error::Timeout(_)) => TargetResult::TimedOut,
        Err(error) => failure(&error),
    }
}

fn failure(error: &ureq::Error) -> TargetResult {
    let reason = error.to_string();
    let refused = matches!(error, ureq::Error::ConnectionFailed)
        || matches!(error, ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused);
    if refused {
        TargetResult::NotSent { reason }
    } else {
        TargetResult::Broken { reason }
    }
}

fn read_answer(answer: ureq::http::Response<ureq::Body>, max_body_bytes: usize) -> TargetResult {
    let (parts, body) = answer.into_parts();
    let mut bytes = Vec::new();
    let limit = max_body_bytes as u64 + 1;
    if let Err(error) = body.into_reader().take(limit).read_to_end(&mut bytes) {
        return TargetResult::Broken {
            reason: error.to_string(),
        };
    }
    if bytes.len() > max_body_bytes {
        return TargetResult::Broken {
            reason: "the answer's body is too large".to_owned(),
        };
    }
    let connection: String = parts
        .headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .fold(String::new(), |all, value| all + value + ",");
    let headers = parts
        .headers
        .iter()
        .filter_map(|(name, value)| Some(Header::new(name.as_str(), value.to_str().ok()?)))
        .filter(|header| http::is_forwarded(&header.name, &connection))
        .collect();
    TargetResult::Answer(Box::new(HttpAnswer::new(
        parts.status.as_u16(),
        headers,
        bytes,
    )))
}
