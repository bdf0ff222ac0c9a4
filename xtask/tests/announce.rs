//! Announcements and reports of the target stand-in, received by a fake node.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use tiny_http::Response;
use tiny_http::Server;
use xtask::harness::ports;
use xtask::harness::process::Process;
use xtask::harness::process::Signal;
use xtask::harness::programs::Programs;
use xtask::harness::target::TargetSpec;
use xtask::target::announce::Announcement;
use xtask::target::announce::Report;

const BOUND: Duration = Duration::from_secs(10);

/// Answers each call with the next status, then with 200, and forwards path and body of the calls.
fn fake_node(statuses: &'static [u16]) -> (SocketAddr, Receiver<(String, String)>) {
    let server = Server::http("127.0.0.1:0").expect("a free port");
    let address = server.server_addr().to_ip().expect("an IP address");
    let (calls, received) = mpsc::channel();
    std::thread::spawn(move || {
        let mut statuses = statuses.iter().copied().chain(std::iter::repeat(200));
        for mut request in server.incoming_requests() {
            let mut body = String::new();
            let _ = request.as_reader().read_to_string(&mut body);
            let call = (request.url().to_owned(), body);
            let status = statuses.next().unwrap_or(200);
            let _ = request.respond(Response::empty(status));
            if calls.send(call).is_err() {
                return;
            }
        }
    });
    (address, received)
}

fn start_target(name: &str, node: SocketAddr) -> (Process, SocketAddr) {
    start_changed_target(name, node, |_| ())
}

fn start_changed_target(
    name: &str,
    node: SocketAddr,
    change: impl FnOnce(&mut TargetSpec),
) -> (Process, SocketAddr) {
    let programs = Programs::beside_running_executable().expect("the test has a directory");
    let directory = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let mut spec = TargetSpec::new(name, None, "order-desk", "v1");
    spec.slots = 4;
    change(&mut spec);
    spec.address = Some(ports::free_address().expect("a free port"));
    let arguments = spec.arguments(Some(node), &directory);
    let target = Process::start(name, &programs.xtask, arguments, &directory);
    (
        target.expect("the target starts"),
        spec.address.expect("the address was set"),
    )
}

fn next(received: &Receiver<(String, String)>) -> (String, String) {
    received.recv_timeout(BOUND).expect("a call in time")
}

/// Guards against a target that stops announcing itself before its node has accepted it, that
/// reports before that, or that does not announce itself again to a replaced node.
#[test]
fn announcement_repeats_until_accepted_and_after_a_refused_report() {
    let (node, received) = fake_node(&[503, 503, 200, 200, 409, 200]);
    let (_target, address) = start_target("announcing", node);

    let calls: Vec<(String, String)> = (0..7).map(|_| next(&received)).collect();

    let paths: Vec<&str> = calls.iter().map(|(path, _)| path.as_str()).collect();
    let expected = [
        "announce", "announce", "announce", "report", "report", "announce", "report",
    ];
    assert_eq!(paths, expected.map(|name| format!("/v1/{name}")));
    let announcement: Announcement = serde_json::from_str(&calls[0].1).expect("an announcement");
    assert_eq!(announcement.service, "order-desk");
    assert_eq!(announcement.version, "v1");
    assert_eq!(announcement.address, address);
    assert_eq!((announcement.slots, announcement.connections), (4, 130));
    let report: Report = serde_json::from_str(&calls[3].1).expect("a report");
    assert_eq!((report.healthy, report.load_percent), (true, 0));
}

/// Guards against a target that shuts down gracefully without deregistering at its node.
#[test]
fn graceful_shutdown_deregisters_and_exits() {
    let (node, received) = fake_node(&[]);
    let (mut target, _) = start_target("leaving", node);
    next(&received);

    target.signal(Signal::Term).expect("the target runs");
    let status = target.wait_exit(BOUND).expect("the target ends");

    assert!(status.success());
    let paths: Vec<String> = received.try_iter().map(|(path, _)| path).collect();
    assert!(paths.contains(&"/v1/leave".to_owned()), "{paths:?}");
}

/// Guards against reports that ignore the options for delayed and for false reports: each row is
/// the name, the lag, whether reports are false, and whether the first reports show the load.
#[test]
fn reports_are_delayed_and_false_as_configured() {
    let rows = [
        ("truthful", 0, false, true),
        ("lagging", 60_000, false, false),
        ("lying", 0, true, false),
    ];

    for (name, lag_ms, lies, shows) in rows {
        let (node, received) = fake_node(&[]);
        let (_target, address) = start_changed_target(name, node, |spec| {
            spec.service_time_ms = 4_000;
            spec.report_lag_ms = lag_ms;
            spec.report_lies = lies;
        });
        next(&received);
        let request = std::thread::spawn(move || {
            let url = format!("http://{address}/orders");
            xtask::http::exchange(&xtask::http::agent(BOUND), "POST", &url, &[], b"x")
        });

        let loads: Vec<u16> = (0..4)
            .map(|_| next(&received))
            .filter(|(path, _)| path == "/v1/report")
            .map(|(_, body)| serde_json::from_str::<Report>(&body).expect("a report"))
            .map(|report| report.load_percent)
            .collect();

        assert!(request.join().expect("no panic").is_ok(), "{name}");
        assert_eq!(loads.contains(&25), shows, "{name}: {loads:?}");
    }
}
