//! Callers that send requests all the time and keep their connections until the node is gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller::CallerRequest;
use hemlockfall_standins::caller::Connection;
use hemlockfall_standins::caller::Outcome;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::soak::ledger::Ledger;

/// Host of the mesh.
pub const HOST: &str = "mesh.example";
/// Time between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(25);
const DEADLINE: Duration = Duration::from_millis(1500);
/// A connection that ends this soon after the request crossed it counts as not read.
const CROSSING: Duration = Duration::from_millis(200);
/// Time without unplanned disruption after which a lost request is a broken promise.
const CALM: Duration = Duration::from_secs(3);

/// `Calm` tells when the last unplanned disruption ended, in milliseconds of the run.
#[derive(Debug)]
pub struct Calm {
    started: Instant,
    disturbed_until_ms: AtomicU64,
}

impl Default for Calm {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            disturbed_until_ms: AtomicU64::new(0),
        }
    }
}

impl Calm {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// `disturb` marks a disruption that lasts for a time from now.
    pub fn disturb(&self, lasts: Duration) {
        let until = self.now_ms() + u64::try_from(lasts.as_millis()).unwrap_or(u64::MAX);
        self.disturbed_until_ms.fetch_max(until, Ordering::SeqCst);
    }

    /// `is_calm` tells whether there was no disruption for a while.
    #[must_use]
    pub fn is_calm(&self) -> bool {
        let calm_ms = u64::try_from(CALM.as_millis()).unwrap_or(u64::MAX);
        self.now_ms() > self.disturbed_until_ms.load(Ordering::SeqCst) + calm_ms
    }
}

/// `CallerParts` are what a caller works with.
#[derive(Clone, Debug)]
pub struct CallerParts {
    /// Caller address of its node.
    pub node: SocketAddr,
    /// Seed of its choices.
    pub seed: u64,
    /// Where it writes down what it was told.
    pub ledger: Arc<Ledger>,
    /// Whether disruptions excuse a lost request.
    pub calm: Arc<Calm>,
    /// Set when it has to stop.
    pub stop: Arc<AtomicBool>,
}

/// `start` sends requests in the background.
#[must_use]
pub fn start(parts: CallerParts) -> JoinHandle<()> {
    thread::spawn(move || call_until_stopped(&parts))
}

fn call_until_stopped(parts: &CallerParts) {
    let mut random = SmallRng::seed_from_u64(parts.seed);
    let mut kept: Option<Connection> = None;
    while !parts.stop.load(Ordering::SeqCst) {
        thread::sleep(PAUSE.mul_f64(random.random_range(0.3..1.7)));
        let sent = request(&mut random);
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => match Connection::open(parts.node) {
                Ok(connection) => connection,
                Err(_) => continue,
            },
        };
        let was_kept = connection.is_reused();
        let was_calm = parts.calm.is_calm();
        let (ended, keep) = connection.send(&sent);
        note(
            parts,
            &sent,
            &ended,
            was_kept,
            was_calm && parts.calm.is_calm(),
        );
        if keep && random.random_bool(0.8) {
            kept = Some(connection);
        }
    }
}

fn request(random: &mut SmallRng) -> CallerRequest {
    let id = format!("{:016x}", random.random::<u64>());
    let (path, body) = match random.random_range(0..3) {
        0 => (
            format!("/orders/{}", random.random_range(0..50)),
            b"order".to_vec(),
        ),
        1 => (format!("/stock/{}", random.random_range(0..50)), Vec::new()),
        _ => (format!("/feed/{}", random.random_range(0..50)), Vec::new()),
    };
    CallerRequest {
        id,
        host: HOST.to_owned(),
        path,
        body,
        deadline: DEADLINE,
    }
}

fn note(parts: &CallerParts, sent: &CallerRequest, ended: &Outcome, was_kept: bool, is_calm: bool) {
    let ledger = &parts.ledger;
    ledger.ended(matches!(ended, Outcome::Served));
    match ended {
        Outcome::Wrong(what) => ledger.broken(format!("WHOLE: {} got {what}", sent.id)),
        Outcome::NotRun => ledger.told_not_run(&sent.id),
        Outcome::NoRoute => {
            ledger.broken(format!("CONFIG: {} has no route {}", sent.id, sent.path));
        }
        Outcome::Cut { after } if is_calm && (!was_kept || *after > CROSSING) => {
            let ms = after.as_millis();
            ledger.broken(format!("LOST: {} was cut off after {ms} ms", sent.id));
        }
        Outcome::Served
        | Outcome::Failed(_)
        | Outcome::Cut { .. }
        | Outcome::NotSent
        | Outcome::TimedOut => {}
    }
}
