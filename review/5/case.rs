//! DRAIN: an acknowledged deregistration is forgotten when all nodes are killed while the store is
//! down, and a late heartbeat brings the leaving upstream back into service.

#[path = "../kit.rs"]
mod kit;

use kit::*;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Bounds of the site.
const DRAIN_MS: u64 = 3000;
const STABILITY_MS: u64 = 4000;
/// `platform_down`, how `silent`, for 4.5 s.
const DOWN_MS: u64 = 4500;
/// After the store went silent: the upstream deregisters.
const LEAVE_AFTER_MS: u64 = 500;
/// After the acknowledgement: all processes of the system are killed, and start again later.
const KILL_AFTER_MS: u64 = 150;
const RESTART_AFTER_MS: u64 = 1000;
/// The heartbeat that was sent just before the deregistration arrives this much later.
const LATE_MS: u64 = 4000;
/// The upstream goes on serving for this long after the acknowledgement.
const SERVES_MS: u64 = 13_000;
const CLIENTS: usize = 4;
const ORDER_MS: u64 = 100;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder"));
    let bed = Testbed::new(Path::new(&case));
    let record = Arc::clone(&bed.record);
    let store_address = address(&bed.ip(200), 8142);
    let store = Store::start(store_address, Arc::clone(&record));
    let routes = [Route {
        name: "orders",
        prefix: "/orders/",
        kind: "non_idempotent",
        service: "order-desk",
        timeout_s: 4.0,
        target_latency_s: 0.8,
        max_attempts: 2,
    }];
    store.operator_put("config", "main", &config(7, &routes));
    let machines = [("shop", "west-a"), ("order-desk", "west-a"), ("order-desk", "west-b")];
    let start = |bootstrap: bool| -> Vec<Node> {
        machines
            .iter()
            .enumerate()
            .map(|(machine, (service, zone))| {
                bed.start_node_as(machine, service, zone, store_address, bootstrap)
            })
            .collect()
    };
    let mut nodes = start(true);
    let runs: Runs = Arc::default();
    let mut upstreams = Vec::new();
    for (machine, (service, zone)) in machines.iter().enumerate() {
        let options = UpstreamOptions {
            id: format!("i-{machine}"),
            service: (*service).into(),
            version: "v1".into(),
            zone: (*zone).into(),
            ip: bed.ip(machine),
            slots: 12,
        };
        let treat = |_: &Message| Treatment::Run(ms(ORDER_MS));
        upstreams.push(Upstream::start(options, Arc::clone(&runs), Arc::clone(&record), treat));
    }
    bed.await_ready(&nodes);

    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(Instant, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (is_over, record, answers) = (Arc::clone(&is_over), Arc::clone(&record), Arc::clone(&answers));
            let to = nodes[0].outbound();
            thread::spawn(move || {
                for number in 0_u64.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("order-{client}-{number}");
                    let sent = Instant::now();
                    let call = request("POST", "/orders/new", &id, 4000, b"one card");
                    let status = match send_once(to, &call, ms(5000)) {
                        Ended::Answer(answer) => answer.status(),
                        _ => 0,
                    };
                    record.line(format!("client: {id} is answered {status}"));
                    answers.lock().unwrap().push((sent, status));
                    sleep_ms(100);
                }
            })
        })
        .collect();
    sleep_ms(1500);

    let down = Instant::now();
    let at = |millis: u64| thread::sleep((down + ms(millis)).saturating_duration_since(Instant::now()));
    if bed.has_trouble {
        record.say("platform_down: the store is silent for 4.5 s");
        store.set_silent(true);
    }
    at(LEAVE_AFTER_MS);
    // The next heartbeat is under way when the upstream deregisters, and arrives seconds late.
    let leaving = Arc::clone(&upstreams[1]);
    leaving.silent.store(true, Ordering::SeqCst);
    let late = leaving.prepare_beat("ready");
    let status = leaving.deregister();
    let acknowledged = Instant::now();
    record.say(format!("i-1 sends DELETE and is answered {status}"));
    if status / 100 != 2 {
        if !bed.has_trouble {
            cannot_run("the deregistration was not acknowledged");
        }
        record.say("the deregistration was not acknowledged, so that nothing binds the nodes");
        bed.finish(nodes, false);
    }
    if bed.has_trouble {
        sleep_ms(KILL_AFTER_MS);
        record.say("herd_kill: the processes of all nodes are killed");
        for node in &nodes {
            node.signal(SIGKILL);
        }
        nodes.clear();
        sleep_ms(RESTART_AFTER_MS);
        nodes = start(false);
        record.line("all nodes are started again");
    }
    at(LEAVE_AFTER_MS + LATE_MS);
    let status = send_beat(&address(&bed.ip(1), CONTROL).to_string(), &late);
    record.say(format!("the late heartbeat of i-1 arrives and is answered {status}"));
    at(DOWN_MS.max(LEAVE_AFTER_MS + LATE_MS + 1));
    store.set_silent(false);
    let stable = Instant::now();
    record.line("the store answers again");
    thread::sleep((acknowledged + ms(SERVES_MS)).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    // Counted are requests that reach the upstream later than `drainS` after the acknowledgement and
    // at a time at which all machines have been in touch for as long as the bound asks.
    let in_touch = stable + ms(STABILITY_MS);
    let bound = acknowledged + ms(DRAIN_MS);
    let runs = runs.lock().unwrap();
    let late_runs: Vec<&Run> = runs
        .iter()
        .filter(|run| run.upstream == "i-1" && run.at > bound && run.at > in_touch + ms(500))
        .collect();
    let others = runs.iter().filter(|run| run.upstream == "i-2" && run.at > in_touch).count();
    for run in late_runs.iter().take(5) {
        record.say(format!(
            "DRAIN: {} reached i-1 {:.1} s after its deregistration was acknowledged",
            run.id,
            run.at.saturating_duration_since(acknowledged).as_secs_f64()
        ));
    }
    record.say(format!(
        "requests at the upstream that had left, from machines in touch, later than drainS: {}; at the other upstream in that time: {others}",
        late_runs.len()
    ));
    let served = answers.lock().unwrap().iter().filter(|(_, status)| *status == 200).count();
    if served == 0 {
        cannot_run("no order was served");
    }
    bed.finish(nodes, !late_runs.is_empty());
}

fn send_beat(control: &str, call: &str) -> u16 {
    let Ok(mut stream) = TcpStream::connect(control) else { return 0 };
    let _ = stream.flush();
    match send_on(&mut stream, call.as_bytes(), ms(1000)) {
        Ended::Answer(answer) => answer.status(),
        _ => 0,
    }
}
