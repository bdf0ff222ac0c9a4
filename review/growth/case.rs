//! Measurement: a process that answers requests grows until it exceeds its memory and is killed.

#[path = "../kit-2.rs"]
mod kit;

use std::collections::HashSet;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use kit::Folder;
use kit::Machine;
use kit::Options;
use kit::Reader;
use kit::Record;
use kit::Route;
use kit::Sidecar;
use kit::Store;
use kit::Upstream;
use kit::Verdict;

/// `memoryMb` of the smallest machines in the pages.
const MEMORY_MB: u64 = 160;
/// Time for which requests are sent.
const SENDING: Duration = Duration::from_secs(102);
/// Connections of clients that come in numbers, and the requests that each sends at once.
const CROWD: usize = 8;
const PIPELINED: usize = 16;
/// Kept connections with one request after another that an upstream works on.
const KEPT: usize = 8;
const WORK: Duration = Duration::from_millis(300);
/// Unanswered requests up to which the rule LOST holds.
const ALLOWED: usize = 3;

/// Requests of the kept connections that were sent and have no answer.
type Unanswered = Arc<Mutex<HashSet<String>>>;

fn main() {
    let path = std::env::args().nth(1).expect("the path of the record");
    let record = Record::new(&path);
    // With TROUBLE=0 everything is done but the disruption.
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.say(format!("trouble: {has_trouble}"));
    std::process::exit(kit::run_case(&record, |record| play(record, has_trouble)));
}

fn play(record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Verdict> {
    let folder = Folder::new("hemlockfall-review")?;
    let store = Store::new();
    let route = |name, prefix, service| Route {
        name,
        prefix,
        kind: "idempotent",
        service,
        timeout_s: 2.0,
    };
    // No upstream of `feed` runs: each request for it is refused.
    let routes = [
        route("stock", "/stock/", "desk"),
        route("price", "/price/", "feed"),
    ];
    store.put(
        "config",
        "main",
        &kit::config(1, &routes, &["desk", "feed"]),
    );
    let machine = Machine::new();
    let door = store.open_door()?;
    let options = Options {
        name: "sidecar-zone-a-1",
        service: "desk",
        memory_mb: MEMORY_MB,
        is_first_start: true,
        more: "",
    };
    let mut sidecar = Sidecar::start(&folder.0, machine, door.address, &options)?;
    let upstream = Upstream::start("i-1", "desk", machine.app, machine.control, WORK, true)?;
    if !kit::wait_until(Duration::from_secs(10), || sidecar.is_ready()) {
        return Ok(Verdict::CouldNotRun("the machine isn't ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(1));

    let stop = Arc::new(AtomicBool::new(false));
    let refused = Arc::new(AtomicU64::new(0));
    let unanswered: Unanswered = Arc::default();
    let mut clients = Vec::new();
    for client in 0..KEPT {
        let (record, stop) = (Arc::clone(record), Arc::clone(&stop));
        let unanswered = Arc::clone(&unanswered);
        clients.push(thread::spawn(move || {
            let _ = keep_asking(client, machine.outbound, &stop, &unanswered, &record);
        }));
    }
    if has_trouble {
        for client in 0..CROWD {
            let (stop, refused) = (Arc::clone(&stop), Arc::clone(&refused));
            clients.push(thread::spawn(move || {
                crowd(client, machine.outbound, &stop, &refused)
            }));
        }
    }
    let is_examined = std::env::var("METRICS").as_deref() == Ok("1");
    let began = Instant::now();
    let mut reported = began;
    let mut is_killed = false;
    while began.elapsed() < SENDING && !is_killed {
        thread::sleep(Duration::from_millis(100));
        let (kib, _) = sidecar.memory_kib();
        if !sidecar.is_running() {
            return Ok(Verdict::Broken("the process has ended".to_owned()));
        }
        is_killed = kib > MEMORY_MB * 1024;
        if is_killed || reported.elapsed() >= Duration::from_secs(5) {
            reported = Instant::now();
            let count = refused.load(Ordering::Relaxed);
            record.say(format!(
                "{kib} KiB resident; {count} requests of the crowd were refused"
            ));
            if is_examined {
                let bytes = kit::request("GET", "/metrics", &[("Host", "metrics")], b"");
                let _ = kit::call(machine.metrics, &bytes, Duration::from_secs(5));
            }
        }
    }
    if is_killed {
        record.say(format!(
            "over {MEMORY_MB} MiB: the platform kills the process"
        ));
        sidecar.kill();
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let run: HashSet<String> = upstream
        .runs
        .lock()
        .unwrap()
        .iter()
        .map(|run| run.request_id.clone())
        .collect();
    let lost: Vec<String> = unanswered
        .lock()
        .unwrap()
        .iter()
        .filter(|id| run.contains(*id))
        .cloned()
        .collect();
    for id in &run {
        record.add(format!("run: {id}"));
    }
    record.say(format!(
        "passed on to the upstream and never answered: {}",
        lost.join(" ")
    ));
    Ok(if lost.len() > ALLOWED {
        Verdict::Broken(format!(
            "{} requests were passed on and have no answer",
            lost.len()
        ))
    } else if has_trouble && !is_examined && !is_killed {
        Verdict::CouldNotRun("too few requests were sent in the time to reach the limit".to_owned())
    } else {
        Verdict::Held
    })
}

/// Sends one request after another on a kept connection.
fn keep_asking(
    client: usize,
    address: SocketAddr,
    stop: &AtomicBool,
    unanswered: &Unanswered,
    record: &Record,
) -> std::io::Result<()> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut output = stream.try_clone()?;
    let mut reader = Reader::new(stream);
    while !stop.load(Ordering::Relaxed) {
        let id = record.next_id();
        let headers = [
            ("Host", kit::HOST),
            ("X-Request-Id", id.as_str()),
            ("X-Request-Deadline", "2000"),
        ];
        unanswered.lock().unwrap().insert(id.clone());
        output.write_all(&kit::request("GET", "/stock/1", &headers, b""))?;
        let answer = reader.message()?;
        unanswered.lock().unwrap().remove(&id);
        record.add(format!(
            "kept connection {client}: {id} -> {}",
            answer.status()
        ));
        if answer.closes() {
            break;
        }
    }
    Ok(())
}

/// Sends requests that are refused, as fast as they are answered.
fn crowd(client: usize, address: SocketAddr, stop: &AtomicBool, refused: &AtomicU64) {
    let mut number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(address) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let Ok(mut output) = stream.try_clone() else {
            continue;
        };
        let mut reader = Reader::new(stream);
        while !stop.load(Ordering::Relaxed) {
            let mut bytes = Vec::new();
            for _ in 0..PIPELINED {
                number += 1;
                let id = format!("c{client}-{number}");
                let headers = [
                    ("Host", kit::HOST),
                    ("X-Request-Id", id.as_str()),
                    ("X-Request-Deadline", "100"),
                ];
                bytes.extend(kit::request("GET", "/price/1", &headers, b""));
            }
            if output.write_all(&bytes).is_err() {
                break;
            }
            let answers = (0..PIPELINED).map_while(|_| reader.message().ok()).count();
            refused.fetch_add(u64::try_from(answers).unwrap_or(0), Ordering::Relaxed);
            if answers < PIPELINED {
                break;
            }
        }
    }
}
