//! LOST: a request that a stopping node starts in its last seconds is cut off by the node's own end.

#[path = "../kit.rs"]
mod kit;

use kit::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bound `graceS`: the platform sends SIGKILL this long after SIGTERM.
const GRACE_MS: u64 = 6000;
/// Requests that were sent up to this long after the SIGTERM are excused if their upstream is at
/// work in the last sixth of `graceS`.
const EXCUSED_MS: u128 = 3000;
const CLIENTS: u64 = 6;
const RUN_MS: u64 = 2300;
/// A client sends its next request this long after the one before it.
const NEXT_AFTER_MS: u64 = 1150;
const REQUESTS: usize = 6;
/// SIGTERM follows the first requests after this time.
const STOP_AFTER_MS: u64 = 1300;

struct Seen {
    sent: Instant,
    status: Option<u16>,
    ended: Option<Instant>,
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder"));
    let bed = Testbed::new(Path::new(&case));
    let record = Arc::clone(&bed.record);
    let store_address = address(&bed.ip(200), 8142);
    let store = Store::start(store_address, Arc::clone(&record));
    let routes = [Route {
        name: "batches",
        prefix: "/batch/",
        kind: "idempotent",
        service: "cardinfo",
        timeout_s: 6.0,
        target_latency_s: 4.0,
        max_attempts: 2,
    }];
    store.operator_put("config", "main", &config(7, &routes));
    let machines = [("shop", "west-a"), ("cardinfo", "west-b"), ("cardinfo", "west-b")];
    let nodes: Vec<Node> = machines
        .iter()
        .enumerate()
        .map(|(machine, (service, zone))| bed.start_node(machine, service, zone, store_address))
        .collect();
    let runs: Runs = Arc::default();
    let mut upstreams = Vec::new();
    for (machine, (service, zone)) in machines.iter().enumerate().skip(1) {
        let options = UpstreamOptions {
            id: format!("i-{machine}"),
            service: (*service).into(),
            version: "v1".into(),
            zone: (*zone).into(),
            ip: bed.ip(machine),
            slots: 12,
        };
        let treat = |_: &Message| Treatment::Run(ms(RUN_MS));
        upstreams.push(Upstream::start(options, Arc::clone(&runs), Arc::clone(&record), treat));
    }
    bed.await_ready(&nodes);

    let seen: Arc<Mutex<BTreeMap<String, Seen>>> = Arc::default();
    let to = nodes[0].outbound();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (seen, record) = (Arc::clone(&seen), Arc::clone(&record));
            thread::spawn(move || run_client(client, to, &seen, &record))
        })
        .collect();
    sleep_ms(STOP_AFTER_MS);
    let stopped = Instant::now();
    if bed.has_trouble {
        record.say("SIGTERM to the node of the clients; no other disruption");
        nodes[0].signal(SIGTERM);
        let mut ended = None;
        while stopped.elapsed() < ms(GRACE_MS) {
            if let Some(status) = nodes[0].end() {
                ended = Some(status);
                break;
            }
            sleep_ms(5);
        }
        record.say(format!(
            "the node ended {:.3} s after SIGTERM: {ended:?}",
            stopped.elapsed().as_secs_f64()
        ));
        nodes[0].signal(SIGKILL);
    }
    for client in clients {
        let _ = client.join();
    }

    let runs = runs.lock().unwrap();
    let (mut answered, mut lost) = (0, 0);
    for (id, seen) in seen.lock().unwrap().iter() {
        answered += usize::from(seen.status.is_some());
        let run = runs.iter().find(|run| run.id == *id);
        let (None, Some(run), true) = (seen.status, run, bed.has_trouble) else {
            continue;
        };
        let sent_ms = seen.sent.saturating_duration_since(stopped).as_millis();
        let ended = seen.ended.unwrap_or(seen.sent);
        let ended_ms = ended.saturating_duration_since(stopped).as_millis();
        let is_excused = sent_ms <= EXCUSED_MS;
        lost += usize::from(!is_excused);
        record.say(format!(
            "{}: {id} was sent {sent_ms} ms after SIGTERM, passed on to {}, and its connection ended without an answer after {ended_ms} ms",
            if is_excused { "excused" } else { "LOST" },
            run.upstream,
        ));
    }
    record.say(format!("answered {answered}, lost {lost}"));
    if answered == 0 {
        cannot_run("no request was answered");
    }
    bed.finish(nodes, lost > 0);
}

/// Sends requests on one connection, each before the one before it is answered.
fn run_client(client: u64, to: std::net::SocketAddr, seen: &Mutex<BTreeMap<String, Seen>>, record: &Record) {
    let Ok(mut stream) = TcpStream::connect(to) else { return };
    let Ok(mut reader) = stream.try_clone() else { return };
    let id_of = move |number: usize| format!("batch-{client}-{number}");
    thread::scope(|scope| {
        let closed = Arc::new(Mutex::new(false));
        let is_closed = Arc::clone(&closed);
        scope.spawn(move || {
            for number in 0..REQUESTS {
                if *is_closed.lock().unwrap() {
                    return;
                }
                let id = id_of(number);
                let sent = Seen { sent: Instant::now(), status: None, ended: None };
                seen.lock().unwrap().insert(id.clone(), sent);
                record.line(format!("client: sends {id}"));
                if stream.write_all(&request("GET", "/batch/2f", &id, 6000, b"")).is_err() {
                    return;
                }
                thread::sleep(Duration::from_millis(NEXT_AFTER_MS));
            }
        });
        let _ = reader.set_read_timeout(Some(ms(8000)));
        let mut input = Vec::new();
        for number in 0..REQUESTS {
            let answer = read_message(&mut reader, &mut input);
            let mut seen = seen.lock().unwrap();
            let now = Instant::now();
            match answer {
                Ok(Some(answer)) => {
                    record.line(format!("client: {} is answered {}", id_of(number), answer.status()));
                    if let Some(seen) = seen.get_mut(&id_of(number)) {
                        (seen.status, seen.ended) = (Some(answer.status()), Some(now));
                    }
                    if !answer.closes() {
                        continue;
                    }
                    // What was sent behind this answer counts as not read.
                    for later in number + 1..REQUESTS {
                        seen.remove(&id_of(later));
                    }
                }
                _ => {
                    record.line(format!("client: the connection of {} ends", id_of(number)));
                    for later in number..REQUESTS {
                        if let Some(seen) = seen.get_mut(&id_of(later)) {
                            seen.ended = Some(now);
                        }
                    }
                }
            }
            drop(seen);
            *closed.lock().unwrap() = true;
            break;
        }
    });
}
