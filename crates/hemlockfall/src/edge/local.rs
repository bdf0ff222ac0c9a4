//! The HTTP edge towards the target on this VM, the metrics page and the health check
//! (`tiny_http`).

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use metrics_exporter_prometheus::PrometheusHandle;
use serde::de::DeserializeOwned;
use stakker::sync::Channel;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use crate::edge::message::LocalEvent;
use crate::node::health::Health;

const WORKERS: usize = 2;
const MAX_BODY_BYTES: u64 = 4096;

/// `start` binds the address and starts the workers.
///
/// # Errors
/// The reason why the address cannot be bound.
pub fn start(
    address: SocketAddr,
    events: &Channel<LocalEvent>,
    health: &Arc<Health>,
    metrics: &PrometheusHandle,
) -> Result<(), String> {
    let server = Arc::new(Server::http(address).map_err(|error| error.to_string())?);
    for _ in 0..WORKERS {
        let edge = LocalEdge {
            server: Arc::clone(&server),
            events: events.clone(),
            health: Arc::clone(health),
            metrics: metrics.clone(),
        };
        thread::spawn(move || edge.run());
    }
    Ok(())
}

struct LocalEdge {
    server: Arc<Server>,
    events: Channel<LocalEvent>,
    health: Arc<Health>,
    metrics: PrometheusHandle,
}

struct Answer {
    status: u16,
    text: String,
}

impl LocalEdge {
    fn run(&self) {
        while let Ok(mut request) = self.server.recv() {
            let answer = self.answer(&mut request);
            let response = Response::from_string(answer.text).with_status_code(answer.status);
            let _ = request.respond(response);
        }
    }

    fn answer(&self, request: &mut Request) -> Answer {
        match (request.method().clone(), request.url()) {
            (Method::Get, "/healthz") => self.health_answer(),
            (Method::Get, "/metrics") => Answer {
                status: 200,
                text: self.metrics.render(),
            },
            (Method::Post, "/v1/announce") => match body(request) {
                Ok(announcement) => self.pass(LocalEvent::Announce(announcement)),
                Err(answer) => answer,
            },
            (Method::Post, "/v1/leave") => self.pass(LocalEvent::Leave),
            // A target learns here that its node has restarted or has lost it, and announces
            // itself again.
            (Method::Post, "/v1/report") if !self.health.has_target() => Answer {
                status: 409,
                text: "HF-3409: no target is announced\n".to_owned(),
            },
            (Method::Post, "/v1/report") => match body(request) {
                Ok(report) => self.pass(LocalEvent::Report(report)),
                Err(answer) => answer,
            },
            (method, url) => Answer {
                status: 404,
                text: format!("HF-3404: no such resource: {method} {url}\n"),
            },
        }
    }

    fn health_answer(&self) -> Answer {
        let status = if self.health.is_serving() { 200 } else { 503 };
        Answer {
            status,
            text: self.health.describe(),
        }
    }

    fn pass(&self, event: LocalEvent) -> Answer {
        if self.events.send(event) {
            Answer {
                status: 202,
                text: String::new(),
            }
        } else {
            Answer {
                status: 503,
                text: "HF-3503: the node stops\n".to_owned(),
            }
        }
    }
}

fn body<T: DeserializeOwned>(request: &mut Request) -> Result<T, Answer> {
    let mut text = String::new();
    let invalid = |reason: String| Answer {
        status: 400,
        text: format!("HF-3400: {reason}\n"),
    };
    request
        .as_reader()
        .take(MAX_BODY_BYTES)
        .read_to_string(&mut text)
        .map_err(|error| invalid(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| invalid(error.to_string()))
}
