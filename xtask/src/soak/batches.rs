//! Callers that send several requests ahead on one connection, also while its node stops.

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

use crate::soak::caller::CallerContext;
use crate::soak::caller::HOST;

/// Mean pause between two batches of one caller; each pause is 0.3 to 1.7 times as long.
const MEAN_PAUSE: Duration = Duration::from_millis(300);
/// Deadline of the requests; the timeout of their route is as long.
const DEADLINE: Duration = Duration::from_secs(8);
/// Run times of the requests of a batch, in milliseconds. The long ones delay the answers behind them,
/// and the longest one lasts for most of a stop.
const RUN_MS: [u64; 6] = [4_500, 2_300, 700, 15, 15, 60];
/// Longest pause between two requests of a batch that is sent slowly, in milliseconds.
const MAX_SEND_PAUSE_MS: u64 = 900;
/// Longest batch of requests that are answered by targets, and of requests without a route. The
/// node answers the latter itself, as many at once as it has read.
const MAX_ROUTED: usize = 8;
const MAX_UNROUTED: usize = 1500;

/// Requests of a batch, with the pause after each of them.
type Batch = Vec<(CallerRequest, Duration)>;

/// Starts a thread that sends batches until it is stopped.
#[must_use]
pub fn start(context: CallerContext) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut random = SmallRng::seed_from_u64(context.seed);
        while !context.stop.load(Ordering::SeqCst) {
            thread::sleep(MEAN_PAUSE.mul_f64(random.random_range(0.3..1.7)));
            let Ok(connection) = Connection::open(context.node) else {
                continue;
            };
            let batch = batch(&mut random);
            send_batch(&context, connection, &batch);
        }
    })
}

fn batch(random: &mut SmallRng) -> Batch {
    let is_routed = random.random_bool(0.8);
    let is_slow = is_routed && random.random_bool(0.6);
    let size = if is_routed {
        random.random_range(2..=MAX_ROUTED)
    } else {
        random.random_range(2..=MAX_UNROUTED)
    };
    (0..size)
        .map(|number| {
            let path = if is_routed || number == 0 {
                let run_ms = RUN_MS[random.random_range(0..RUN_MS.len())];
                format!("/batch/takes/{run_ms}")
            } else {
                "/unrouted/1".to_owned()
            };
            let pause_ms = if is_slow {
                random.random_range(0..MAX_SEND_PAUSE_MS)
            } else {
                0
            };
            let request = CallerRequest {
                id: format!("{:016x}", random.random::<u64>()),
                host: HOST.to_owned(),
                path,
                body: Vec::new(),
                deadline: DEADLINE,
            };
            (request, Duration::from_millis(pause_ms))
        })
        .collect()
}

/// Sends a batch and checks its answers. Requests behind an answer that closes the connection count
/// as not read, so they must not run.
fn send_batch(context: &CallerContext, mut connection: Connection, batch: &Batch) {
    let was_undisturbed = context.disruptions.is_undisturbed();
    let Ok(mut sender) = connection.try_clone() else {
        return;
    };
    let sent = batch.clone();
    let sending = thread::spawn(move || {
        for (request, pause) in sent {
            // The node may end the connection before it has read the whole batch.
            if sender.send_ahead(&request).is_err() {
                return;
            }
            thread::sleep(pause);
        }
    });
    let mut requests = batch.iter();
    for (request, _) in requests.by_ref() {
        let (outcome, is_open) = connection.receive(request, Instant::now());
        let is_undisturbed = was_undisturbed && context.disruptions.is_undisturbed();
        if !check_answer(context, request, &outcome, is_undisturbed) {
            break;
        }
        if !is_open {
            for (unread, _) in requests {
                context.ledger.record_not_run(&unread.id);
            }
            break;
        }
    }
    drop(connection);
    // A sender that panicked has sent less than the whole batch.
    let _ = sending.join();
}

/// Records the outcome of a request of a batch; returns whether it was answered.
fn check_answer(
    context: &CallerContext,
    sent: &CallerRequest,
    outcome: &Outcome,
    is_undisturbed: bool,
) -> bool {
    let ledger = &context.ledger;
    match outcome {
        Outcome::Served | Outcome::Failed(_) | Outcome::NoRoute => return true,
        Outcome::NotRun => {
            ledger.record_not_run(&sent.id);
            return true;
        }
        Outcome::Wrong(what) => ledger.report(format!("WHOLE: {} got {what}", sent.id)),
        Outcome::Cut { after } if is_undisturbed && ledger.runs_of(&sent.id) > 0 => {
            let ms = after.as_millis();
            ledger.report(format!(
                "LOST: {} of a batch had run and was cut off after {ms} ms",
                sent.id
            ));
        }
        Outcome::Cut { .. } | Outcome::NotSent | Outcome::TimedOut => {}
    }
    false
}
