//! Command line with the server and the worker of a node, on a fake store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hemlockfall::operator;
use hemlockfall::operator::request::NodeStatus;
use hemlockfall::operator::server::Server;
use hemlockfall::operator::worker;
use hemlockfall::operator::worker::Hooks;
use hemlockfall_store::catalogue;

use crate::assert_failure;
use crate::file;
use crate::hemlockfall;
use crate::support::FakeStore;
use crate::support::Fault;

struct Node {
    server: Server,
    store: FakeStore,
    accepted: Arc<Mutex<Vec<u64>>>,
}

impl Node {
    fn start() -> Self {
        let options = operator::Options::default();
        let (sender, requests) = operator::channel(&options);
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(address, &options, sender, Arc::new(|| {})).expect("listens");
        let store = FakeStore::start();
        let client = store.client();
        let accepted = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&accepted);
        let hooks = Hooks {
            on_accepted: Box::new(move |stored| {
                log.lock().expect("log").push(stored.configuration.revision);
                2
            }),
            status: Box::new(NodeStatus::default),
            report: Box::new(|format| Ok(format!("{format:?}"))),
        };
        std::thread::spawn(move || worker::run(requests, client, hooks, &options));
        Self {
            server,
            store,
            accepted,
        }
    }

    fn run(&self, arguments: &[&str]) -> std::process::Output {
        let node = self.server.address().to_string();
        hemlockfall(&[arguments, &["--node", &node]].concat())
    }

    fn output(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments);
        assert_eq!(output.status.code(), Some(0), "{arguments:?}: {output:?}");
        String::from_utf8(output.stdout).expect("text")
    }
}

fn catalogue_file(name: &str, version: &str, extra: &str) -> String {
    let text = format!(
        "[[service]]\nname = \"jobdesk\"\nowner = \"office\"\nversion = \"{version}\"\n{extra}\
         [[service.route]]\nname = \"all\"\npath_prefix = \"/\"\ndepends_on = [\"filmstore\"]\n\
         [[service]]\nname = \"filmstore\"\nowner = \"store\"\nversion = \"v1\"\n\
         [[service.route]]\nname = \"all\"\npath_prefix = \"/\"\n"
    );
    file(name, text.as_bytes())
}

/// Guards against a command line and a node that are incompatible, and against accepted changes
/// that the node does not put in force.
#[test]
fn catalogue_and_moves_work_end_to_end() {
    let node = Node::start();
    let first = catalogue_file("end-to-end-1.toml", "v1", "");
    let second = catalogue_file("end-to-end-2.toml", "v2", "");
    let report = file("end-to-end-report.html", b"");

    let applied = node.output(&["catalogue", "apply", &first]);
    node.output(&["catalogue", "apply", &second]);
    let listed = node.output(&["catalogue", "list"]);
    let got = node.output(&["catalogue", "get", "jobdesk"]);
    node.output(&["move", "pause", "jobdesk", "--reason", "look"]);
    node.output(&["move", "resume", "jobdesk", "--reason", "fine"]);
    node.output(&["move", "abort", "jobdesk", "--reason", "late"]);
    let aborted_again = node.run(&["move", "abort", "jobdesk", "--reason", "late"]);
    let history = node.output(&["catalogue", "history", "jobdesk"]);
    node.output(&["report", "--format", "html", "--output", &report]);
    let status = node.output(&["status", "--format", "json"]);

    assert!(
        applied.contains("filmstore: accepted as revision 1"),
        "{applied}"
    );
    assert!(
        applied.contains("jobdesk: accepted as revision 2"),
        "{applied}"
    );
    assert!(listed.contains("v2 running"), "{listed}");
    assert!(got.contains("seen_revision = 4"), "{got}");
    assert_failure("second abort", &aborted_again, 1, "HF-6001");
    assert!(history.contains("TakenBack, late"), "{history}");
    assert_eq!(std::fs::read_to_string(&report).expect("written"), "Html");
    assert!(status.contains("\"operations\": []"), "{status}");
    assert_eq!(*node.accepted.lock().expect("log"), [1, 2, 3, 4, 5, 6, 7]);
}

/// Guards against overwriting the change of another operator, and against reporting a missing entry
/// without a result code.
#[test]
fn conflicts_and_missing_entries_have_their_exit_codes() {
    let node = Node::start();
    let first = catalogue_file("conflict-1.toml", "v1", "");
    let stale = catalogue_file("conflict-2.toml", "v1", "seen_revision = 1\n");
    node.output(&["catalogue", "apply", &first]);

    let conflict = node.run(&["catalogue", "apply", &stale]);
    let conflicting_removal = node.run(&["catalogue", "remove", "jobdesk", "--seen-revision", "1"]);
    let still_needed = node.run(&["catalogue", "remove", "filmstore"]);
    let missing = node.run(&["catalogue", "get", "nothing"]);
    let missing_history = node.run(&["catalogue", "history", "nothing"]);

    assert_failure("apply", &conflict, 4, "HF-2409");
    assert_failure("remove", &conflicting_removal, 4, "HF-2409");
    assert_failure("needed", &still_needed, 1, "HF-2002");
    assert_failure("get", &missing, 1, "HF-2404");
    assert_failure("history", &missing_history, 1, "HF-2404");
}

/// Guards against failures of the store that are reported with the wrong outcome.
#[test]
fn store_faults_have_their_exit_codes() {
    let down = Node::start();
    down.store.fail_reads(Some(503));
    let garbage = Node::start();
    garbage.store.set(catalogue::KEY, b"garbage");
    let change = ["catalogue", "remove", "jobdesk"];

    let down_output = down.run(&change);
    let status_while_down = down.run(&["status"]);
    let garbage_output = garbage.run(&change);

    assert_failure("down", &down_output, 1, "HF-4503");
    assert_eq!(status_while_down.status.code(), Some(0));
    assert_failure("garbage", &garbage_output, 1, "HF-4002");
}

/// Guards against reporting a lost answer as a failure, and against a node that never determines
/// the outcome of such a change.
#[test]
fn unknown_outcome_is_reported_and_settled_later() {
    let node = Node::start();
    let path = catalogue_file("unknown.toml", "v1", "");
    node.store.fail_writes(&[Fault::LoseAnswer]);
    node.store.fail_reads_after_write(503);

    let unknown = node.run(&["catalogue", "apply", &path]);

    assert_failure("unknown", &unknown, 3, "HF-4504");
    assert!(
        node.output(&["status"])
            .contains("on filmstore: not known yet")
    );
    node.store.fail_reads(None);
    let deadline = Instant::now() + Duration::from_secs(10);
    let settled = "on filmstore: accepted as revision 1";
    while !node.output(&["status"]).contains(settled) {
        assert!(Instant::now() < deadline, "not settled in time");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(*node.accepted.lock().expect("log"), [1]);
}
