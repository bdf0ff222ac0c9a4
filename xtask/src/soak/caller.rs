//! Callers that send requests continuously and reuse their connections until the node ends them.

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

use crate::soak::accounts::Account;
use crate::soak::ledger::Ledger;

/// `Host` header of every request to the mesh.
pub const HOST: &str = "mesh.example";
/// Mean pause between two requests of one caller; each pause is 0.3 to 1.7 times as long.
const MEAN_PAUSE: Duration = Duration::from_millis(25);
const DEADLINE: Duration = Duration::from_millis(1500);
/// The node may close a reused connection while a request is on its way. A reused connection that
/// ends within this time after the request was sent is taken for that case, not for a lost request.
const STALE_CONNECTION_WINDOW: Duration = Duration::from_millis(200);
/// Time after the last unplanned disruption from which on a lost request is a violation.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// End of the latest unplanned disruption, in milliseconds since the start of the run.
#[derive(Debug)]
pub struct Disruptions {
    started: Instant,
    disrupted_until_ms: AtomicU64,
}

impl Default for Disruptions {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            disrupted_until_ms: AtomicU64::new(0),
        }
    }
}

impl Disruptions {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Records a disruption that begins now and lasts for `duration`.
    pub fn mark(&self, duration: Duration) {
        let ends_at_ms = self.now_ms() + u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        self.disrupted_until_ms
            .fetch_max(ends_at_ms, Ordering::SeqCst);
    }

    /// Returns whether the last disruption ended at least `SETTLE_TIME` ago.
    #[must_use]
    pub fn is_undisturbed(&self) -> bool {
        let settle_ms = u64::try_from(SETTLE_TIME.as_millis()).unwrap_or(u64::MAX);
        self.now_ms() > self.disrupted_until_ms.load(Ordering::SeqCst) + settle_ms
    }
}

/// Inputs of one caller.
#[derive(Clone, Debug)]
pub struct CallerContext {
    /// Caller address of its node.
    pub node: SocketAddr,
    /// Seed of the caller's random choices.
    pub seed: u64,
    /// Record of the outcomes.
    pub ledger: Arc<Ledger>,
    /// Disruptions; while one is in effect, lost requests are not violations.
    pub disruptions: Arc<Disruptions>,
    /// Account whose key the requests carry.
    pub account: Option<Account>,
    /// Set when the caller has to stop.
    pub stop: Arc<AtomicBool>,
}

/// Starts a thread that sends requests until it is stopped.
#[must_use]
pub fn start(context: CallerContext) -> JoinHandle<()> {
    thread::spawn(move || call_until_stopped(&context))
}

fn call_until_stopped(context: &CallerContext) {
    let mut random = SmallRng::seed_from_u64(context.seed);
    let mut idle: Option<Connection> = None;
    while !context.stop.load(Ordering::SeqCst) {
        thread::sleep(MEAN_PAUSE.mul_f64(random.random_range(0.3..1.7)));
        let mut sent = request(&mut random);
        if let Some(account) = context.account {
            sent.id = account.request_id(&sent.id);
        }
        let mut connection = match idle.take() {
            Some(connection) => connection,
            None => match Connection::open(context.node) {
                Ok(connection) => connection,
                Err(_) => continue,
            },
        };
        if let Some(account) = context.account {
            account.sign(&mut connection);
        }
        let is_reused = connection.is_reused();
        let was_undisturbed = context.disruptions.is_undisturbed();
        let (ended, can_reuse) = connection.send(&sent);
        record_outcome(
            context,
            &sent,
            &ended,
            is_reused,
            was_undisturbed && context.disruptions.is_undisturbed(),
        );
        if can_reuse && random.random_bool(0.8) {
            idle = Some(connection);
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

fn record_outcome(
    context: &CallerContext,
    sent: &CallerRequest,
    ended: &Outcome,
    is_reused: bool,
    is_undisturbed: bool,
) {
    let ledger = &context.ledger;
    ledger.record_end(matches!(ended, Outcome::Served));
    match ended {
        Outcome::Wrong(what) => ledger.report(format!("WHOLE: {} got {what}", sent.id)),
        Outcome::NotRun => ledger.record_not_run(&sent.id),
        Outcome::NoRoute => {
            ledger.report(format!("CONFIG: {} has no route {}", sent.id, sent.path));
        }
        Outcome::Cut { after }
            if is_undisturbed && (!is_reused || *after > STALE_CONNECTION_WINDOW) =>
        {
            let ms = after.as_millis();
            ledger.report(format!("LOST: {} was cut off after {ms} ms", sent.id));
        }
        Outcome::Served
        | Outcome::Failed(_)
        | Outcome::Cut { .. }
        | Outcome::NotSent
        | Outcome::TimedOut => {}
    }
}
