//! CONFIG: the store doesn't answer some machines while the configuration changes.

#[path = "../kit-2.rs"]
mod kit;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use kit::Door;
use kit::Folder;
use kit::Machine;
use kit::Options;
use kit::Record;
use kit::Route;
use kit::Sidecar;
use kit::Store;
use kit::Upstream;
use kit::Verdict;

/// Machines of the site, and how many of them the store doesn't answer: a share of 0.25 of the 0.33
/// that the site allows.
const MACHINES: usize = 12;
const UNANSWERED: usize = 3;
/// `configApplyS` of the small deployments.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Distance that the requests keep from the bound.
const MARGIN: Duration = Duration::from_millis(100);
/// Time during which requests are sent after it.
const CHECKED: Duration = Duration::from_secs(4);
/// Calm before the disruption: more than `stabilityWindowS`.
const CALM: Duration = Duration::from_secs(6);
/// Time between two changes of the configuration, as in a storm of them.
const CHANGE_GAP: Duration = Duration::from_millis(330);
const SERVICES: [&str; 2] = ["desk", "feed"];

fn routes(is_moved: bool) -> Vec<Route<'static>> {
    let route = |name, prefix, service| Route {
        name,
        prefix,
        kind: "idempotent",
        service,
        timeout_s: 2.0,
    };
    let moved = if is_moved { "feed" } else { "desk" };
    let mut routes = vec![
        route("stock", "/stock/", moved),
        route("price", "/price/", "feed"),
    ];
    if !is_moved {
        routes.push(route("old", "/old/", "desk"));
    }
    routes
}

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
    store.put("config", "main", &kit::config(1, &routes(false), &SERVICES));
    let mut machines: Vec<(Sidecar, Arc<Door>)> = Vec::new();
    let mut upstreams = Vec::new();
    for index in 0..MACHINES {
        let machine = Machine::new();
        let service = SERVICES[index % SERVICES.len()];
        let name = format!("sidecar-zone-a-{}", index + 1);
        let options = Options {
            name: &name,
            service,
            memory_mb: 260,
            is_first_start: true,
            more: "",
        };
        let door = store.open_door()?;
        let sidecar = Sidecar::start(&folder.0, machine, door.address, &options)?;
        machines.push((sidecar, door));
        let (id, work) = (format!("i-{index}"), Duration::from_millis(5));
        upstreams.push(Upstream::start(
            &id,
            service,
            machine.app,
            machine.control,
            work,
            true,
        )?);
    }
    let serves = |sidecar: &Sidecar| {
        sidecar.is_ready() && probe(sidecar, "/stock/up", record, "start").0 == 200
    };
    if !kit::wait_until(Duration::from_secs(20), || {
        machines.iter().all(|(s, _)| serves(s))
    }) {
        return Ok(Verdict::CouldNotRun("the machines don't serve".to_owned()));
    }
    std::thread::sleep(CALM);

    // Two changes of the configuration in quick succession. The store turns away the machines that
    // call it most between them.
    store.put("config", "main", &kit::config(2, &routes(false), &SERVICES));
    record.say("r2 acknowledged: nothing moves");
    std::thread::sleep(CHANGE_GAP);
    machines.sort_by_key(|(_, door)| std::cmp::Reverse(door.watches()));
    let (unanswered, others) = machines.split_at(UNANSWERED);
    let in_touch: Vec<String> = upstreams
        .iter()
        .filter(|upstream| {
            let beside =
                |(sidecar, _): &(Sidecar, Arc<Door>)| sidecar.machine.app == upstream.address;
            others.iter().any(beside)
        })
        .map(|upstream| format!("{} {}", upstream.service, upstream.id))
        .collect();
    for (sidecar, door) in unanswered {
        record.say(format!(
            "{} has begun {} watches",
            sidecar.name,
            door.watches()
        ));
        if has_trouble {
            door.set_silent(true);
            record.say(format!(
                "the store doesn't answer {} from now on",
                sidecar.name
            ));
        }
    }
    std::thread::sleep(CHANGE_GAP);
    let acknowledged = store.put("config", "main", &kit::config(4, &routes(true), &SERVICES));
    record.say("r4 acknowledged: /stock/ goes to feed instead of desk, /old/ is gone");
    let from = acknowledged + CONFIG_APPLY + MARGIN;
    std::thread::sleep(from.saturating_duration_since(Instant::now()));
    let (mut sent, mut old) = (0, 0);
    while acknowledged.elapsed() < CONFIG_APPLY + MARGIN + CHECKED {
        for (sidecar, _) in others {
            let after = acknowledged.elapsed().as_secs_f64();
            let note = format!("{after:.2} s after the acknowledgement");
            // Both were run by `desk`, which only r2 allows. Runs beside a machine that isn't in touch
            // don't count.
            for path in ["/stock/1", "/old/1"] {
                let (status, run_by) = probe(sidecar, path, record, &note);
                let is_in_touch = in_touch.contains(&run_by);
                old += u32::from(status == 200 && run_by.starts_with("desk ") && is_in_touch);
            }
            sent += 2;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    record.say(format!(
        "{old} of {sent} requests to the other {} machines were handled as only r2 allows",
        others.len()
    ));
    for upstream in &upstreams {
        for run in upstream.runs.lock().unwrap().iter() {
            record.add(format!(
                "run: {} {} by {} {}",
                run.request_id, run.path, run.service, run.instance
            ));
        }
    }
    Ok(if old > 0 {
        Verdict::Broken(format!(
            "{old} requests were handled by an older configuration"
        ))
    } else {
        Verdict::Held
    })
}

/// Sends a request to a machine; returns the status, and the service and the id of the upstream that
/// ran it.
fn probe(sidecar: &Sidecar, path: &str, record: &Record, note: &str) -> (u16, String) {
    let id = record.next_id();
    let headers = [
        ("Host", kit::HOST),
        ("X-Request-Id", id.as_str()),
        ("X-Request-Deadline", "1000"),
    ];
    let bytes = kit::request("GET", path, &headers, b"");
    let answer = kit::call(sidecar.machine.outbound, &bytes, Duration::from_secs(2));
    let (status, body) = answer.map_or((0, String::new()), |answer| {
        (
            answer.status(),
            String::from_utf8_lossy(&answer.body).into_owned(),
        )
    });
    let run_by: Vec<&str> = body.split(' ').take(2).collect();
    let run_by = run_by.join(" ");
    record.add(format!(
        "{id} {} {path} -> {status} {run_by} ({note})",
        sidecar.name
    ));
    (status, run_by)
}
