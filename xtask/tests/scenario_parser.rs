//! Scenario language: accepted lines, refused lines and the files of the repository.

use std::path::Path;
use std::time::Duration;

use xtask::caller::KeyMode;
use xtask::harness::StoreLimits;
use xtask::harness::target::TargetSpec;
use xtask::scenario::command;
use xtask::scenario::model::BytesContent;
use xtask::scenario::model::BytesStep;
use xtask::scenario::model::Counted;
use xtask::scenario::model::Edit;
use xtask::scenario::model::EditOutcome;
use xtask::scenario::model::Expectation;
use xtask::scenario::model::Lifecycle;
use xtask::scenario::model::Line;
use xtask::scenario::model::MetricBound;
use xtask::scenario::model::Port;
use xtask::scenario::model::Scope;
use xtask::scenario::model::SendOptions;
use xtask::scenario::model::SendStep;
use xtask::scenario::model::Step;
use xtask::scenario::parser;
use xtask::store::fault::FaultChange as StoreFault;
use xtask::store::fault::OutageMode;
use xtask::target::fault::FaultChange as TargetFault;

fn edit(file: &str, through: Option<&str>) -> Edit {
    Edit {
        file: file.to_owned(),
        through: through.map(str::to_owned),
    }
}

fn send_step(options: SendOptions) -> Step {
    Step::Send(SendStep {
        count: 200,
        service: "order-desk".to_owned(),
        path: "/orders".to_owned(),
        through: vec!["n1".to_owned(), "n2".to_owned()],
        key: KeyMode::Unique,
        options,
    })
}

fn target(slots: u16, service_time_ms: u64, marker: Option<&str>) -> Step {
    let mut spec = TargetSpec::new("t1", Some("n1"), "order-desk", "v1");
    spec.slots = slots;
    spec.service_time_ms = service_time_ms;
    spec.crash_marker = marker.map(str::to_owned);
    Step::StartTarget(spec)
}

fn wait_answers(keyed: bool, through: &[&str]) -> Step {
    Step::WaitAnswers {
        keyed,
        service: "s".to_owned(),
        path: "/".to_owned(),
        through: through.iter().map(|name| (*name).to_owned()).collect(),
        within: SECOND,
    }
}

fn bytes(port: Port, content: BytesContent) -> Step {
    Step::Bytes(BytesStep {
        node: "n1".to_owned(),
        port,
        content,
    })
}

const SECOND: Duration = Duration::from_secs(1);

fn start_apply_and_send() -> Vec<(&'static str, Step)> {
    let all_options = SendOptions {
        body: Some("two # hammocks".to_owned()),
        rate_per_s: Some(50),
        concurrency: Some(4),
        timeout: Some(Duration::from_millis(250)),
        resends: Some(2),
        resend_pause: Some(SECOND),
        background: true,
    };
    vec![
        ("start store", Step::StartStore(StoreLimits::default())),
        (
            "start store writes 10 per s reads 20 per s",
            Step::StartStore(StoreLimits {
                writes_per_s: 10,
                reads_per_s: 20,
            }),
        ),
        (
            "start node n1 region ch-west data-centre ch-west-1",
            Step::StartNode {
                name: "n1".to_owned(),
                region: "ch-west".to_owned(),
                data_centre: "ch-west-1".to_owned(),
            },
        ),
        (
            "start target t1 at n1 service order-desk version v1",
            target(12, 5, None),
        ),
        (
            "start target t1 at n1 service order-desk version v1 slots 4 service-time 20 ms crash-marker \"x y\"",
            target(4, 20, Some("x y")),
        ),
        (
            "apply catalogue \"a.toml\"",
            Step::Apply {
                edit: edit("a.toml", None),
                outcome: EditOutcome::Accepted,
            },
        ),
        (
            "apply catalogue \"a.toml\" through n1 expect refused",
            Step::Apply {
                edit: edit("a.toml", Some("n1")),
                outcome: EditOutcome::Refused(None),
            },
        ),
        (
            "apply catalogue \"a.toml\" expect refused with \"no such\"",
            Step::Apply {
                edit: edit("a.toml", None),
                outcome: EditOutcome::Refused(Some("no such".to_owned())),
            },
        ),
        (
            "apply catalogue \"a.toml\" expect unknown",
            Step::Apply {
                edit: edit("a.toml", None),
                outcome: EditOutcome::Unknown,
            },
        ),
        (
            "settings request \"key_view_lag_ms = 200\"",
            Step::Setting {
                section: "request".to_owned(),
                line: "key_view_lag_ms = 200".to_owned(),
            },
        ),
        (
            "race catalogue \"a\" through n1 with \"b\" through n2",
            Step::Race(edit("a", Some("n1")), edit("b", Some("n2"))),
        ),
        (
            "send 200 requests to order-desk path /orders through n1,n2 key unique",
            send_step(SendOptions::default()),
        ),
        (
            "send 200 requests to order-desk path /orders through n1,n2 key unique in background resend 2 every 1 s timeout 250 ms concurrency 4 rate 50 per s body \"two # hammocks\"",
            send_step(all_options),
        ),
    ]
}

fn waits_and_bytes() -> Vec<(&'static str, Step)> {
    vec![
        (
            "wait for 50 runs within 1 s",
            Step::WaitRuns {
                count: 50,
                within: SECOND,
            },
        ),
        (
            "wait for sends within 1s",
            Step::WaitSends { within: SECOND },
        ),
        (
            "wait for answers from s path / through n1 within 1 s",
            wait_answers(false, &["n1"]),
        ),
        (
            "wait for keyed answers from s path / through n1,n2 within 1 s",
            wait_answers(true, &["n1", "n2"]),
        ),
        ("pause 1 s", Step::Pause(SECOND)),
        ("leave t1", Step::Deregister("t1".to_owned())),
        (
            "bytes to n1 port peer-udp random 9 messages",
            bytes(Port::PeerUdp, BytesContent::Random(9)),
        ),
        (
            "bytes to n1 port operator text \"{\"",
            bytes(Port::Operator, BytesContent::Text("{".to_owned())),
        ),
    ]
}

fn lifecycle_and_faults() -> Vec<(&'static str, Step)> {
    vec![
        ("kill t1", Step::Lifecycle(Lifecycle::Kill("t1".to_owned()))),
        (
            "kill vm n1",
            Step::Lifecycle(Lifecycle::KillVm("n1".to_owned())),
        ),
        ("stop t1", Step::Lifecycle(Lifecycle::Stop("t1".to_owned()))),
        (
            "restart all nodes",
            Step::Lifecycle(Lifecycle::RestartAllNodes),
        ),
        (
            "restart n1",
            Step::Lifecycle(Lifecycle::Restart("n1".to_owned())),
        ),
        (
            "freeze n2 for 1 s",
            Step::Freeze {
                name: "n2".to_owned(),
                time: SECOND,
            },
        ),
        (
            "store down for 1 s",
            Step::Store(StoreFault {
                down: Some(OutageMode::Refuse),
                for_ms: Some(1000),
                ..StoreFault::default()
            }),
        ),
        (
            "store slow 30 ms for 1 s",
            Step::Store(StoreFault {
                slow_ms: Some(30),
                for_ms: Some(1000),
                ..StoreFault::default()
            }),
        ),
        (
            "store loses answer of next 1 write",
            Step::Store(StoreFault {
                lose_write_answers: Some(1),
                ..StoreFault::default()
            }),
        ),
        (
            "store loses answer of next 1 write then closed for 1 s",
            Step::Store(StoreFault {
                lose_write_answers: Some(1),
                close_after_lost_ms: Some(1000),
                ..StoreFault::default()
            }),
        ),
        (
            "store cuts watches",
            Step::Store(StoreFault {
                cut_watches: true,
                ..StoreFault::default()
            }),
        ),
        (
            "target t1 fails 500 permille path /film above 2 after 1 s",
            Step::Target {
                name: "t1".to_owned(),
                fault: TargetFault {
                    fail_permille: 500,
                    path_prefix: Some("/film".to_owned()),
                    above_running: Some(2),
                    after_ms: 1000,
                    ..TargetFault::default()
                },
            },
        ),
        (
            "target t1 dies in answers path /film",
            Step::Target {
                name: "t1".to_owned(),
                fault: TargetFault {
                    dies_in_answer: true,
                    path_prefix: Some("/film".to_owned()),
                    ..TargetFault::default()
                },
            },
        ),
        (
            "target t1 slow 40 ms",
            Step::Target {
                name: "t1".to_owned(),
                fault: TargetFault {
                    slow_ms: 40,
                    ..TargetFault::default()
                },
            },
        ),
    ]
}

fn expectations() -> Vec<(&'static str, Step)> {
    vec![
        (
            "expect revision 3 on all within 7 s",
            Step::Expect(Expectation::Revision {
                revision: 3,
                scope: Scope::All,
                within: Duration::from_secs(7),
            }),
        ),
        (
            "expect revision 3 on n1 within 7 s",
            Step::Expect(Expectation::Revision {
                revision: 3,
                scope: Scope::Node("n1".to_owned()),
                within: Duration::from_secs(7),
            }),
        ),
        (
            "expect no double runs",
            Step::Expect(Expectation::NoDoubleRuns),
        ),
        (
            "expect no wrong answers",
            Step::Expect(Expectation::NoWrongAnswers),
        ),
        (
            "expect no false not-run",
            Step::Expect(Expectation::NoFalseNotRun),
        ),
        (
            "expect at least 100 answered",
            Step::Expect(Expectation::AtLeastAnswered(100)),
        ),
        (
            "expect at most 3 unknown",
            Step::Expect(Expectation::AtMost(3, Counted::Unknown)),
        ),
        (
            "expect at most 2 ended targets",
            Step::Expect(Expectation::AtMost(2, Counted::EndedTargets)),
        ),
        (
            "expect at least 8 code HF-3506",
            Step::Expect(Expectation::AtLeastCode(8, "HF-3506".to_owned())),
        ),
    ]
}

fn observations() -> Vec<(&'static str, Step)> {
    let metric = |scope, bound| {
        Step::Expect(Expectation::Metric {
            name: "m_total".to_owned(),
            scope,
            bound,
        })
    };
    let node = || "n1".to_owned();
    vec![
        (
            "expect metric m_total on n1 at least 9 within 1 s",
            metric(Scope::Node(node()), MetricBound::AtLeast(9, SECOND)),
        ),
        (
            "expect metric m_total on all at most 9",
            metric(Scope::All, MetricBound::AtMost(9)),
        ),
        (
            "expect log \"target lost\" on n1 within 1 s",
            Step::Expect(Expectation::Log {
                text: "target lost".to_owned(),
                node: node(),
                within: SECOND,
            }),
        ),
        (
            "expect no log \"panicked\" on n1",
            Step::Expect(Expectation::NoLog {
                text: "panicked".to_owned(),
                node: node(),
            }),
        ),
        (
            "expect running all",
            Step::Expect(Expectation::Running(Scope::All)),
        ),
        (
            "expect no runs at t1 from 1 s after leave",
            Step::Expect(Expectation::NoRunsAfterLeave {
                target: "t1".to_owned(),
                after: SECOND,
            }),
        ),
        (
            "expect never below revision 2 on n1 for 1 s",
            Step::Expect(Expectation::NeverBelow {
                revision: 2,
                node: node(),
                time: SECOND,
            }),
        ),
    ]
}

/// Guards against a step that is parsed as another step or loses an option.
#[test]
fn good_lines_are_read() {
    let tables = [
        start_apply_and_send(),
        waits_and_bytes(),
        lifecycle_and_faults(),
        expectations(),
        observations(),
    ];

    for (text, step) in tables.into_iter().flatten() {
        let read = parser::parse_line(text);

        assert_eq!(read, Ok(Line::Step(step)), "{text}");
    }
}

/// Line, part of the expected text, start of the found text.
const BAD_LINES: &[(&str, &str, &str)] = &[
    ("begin store", "a step (seed, long, start", "begin store"),
    ("start cloud", "`store`, `node` or `target`", "cloud"),
    (
        "start node n1 region ch-west",
        "`data-centre`",
        "the end of the line",
    ),
    (
        "start node n1 zone a data-centre b",
        "`region`",
        "zone a data-centre b",
    ),
    (
        "start store writes many per s",
        "a whole number",
        "many per s",
    ),
    (
        "start target t1 at n1 service s version v slots 70000",
        "a number of slots",
        "70000",
    ),
    (
        "start store slowly",
        "the end of the line or an option",
        "slowly",
    ),
    ("apply catalogue a.toml", "a text in quotes", "a.toml"),
    ("apply catalogue \"a.toml", "a text in quotes", "\"a.toml"),
    (
        "send few requests to s path / through n1 key none",
        "a whole number",
        "few requests",
    ),
    (
        "send 1 requests to s path / through n1 key always",
        "`unique`, `once` or `none`",
        "always",
    ),
    (
        "send 1 requests to s path / through n1 key none in front",
        "`background`",
        "front",
    ),
    ("freeze n2 for 2", "a time such as", "2"),
    ("freeze n2 for 2 hours", "a time such as", "2 hours"),
    ("wait for 5 runs", "`within`", "the end of the line"),
    (
        "store breaks",
        "`down`, `closed`, `slow`, `loses` or `cuts`",
        "breaks",
    ),
    (
        "target t1 fails 1001 permille",
        "a share from 0 to 1000 permille",
        "1001",
    ),
    (
        "expect no problems",
        "`double runs`, `wrong answers`, `false not-run`, `log` or `runs`",
        "problems",
    ),
    ("settings request key", "a text in quotes", "key"),
    (
        "apply catalogue \"a\" expect success",
        "`refused` or `unknown`",
        "success",
    ),
    (
        "bytes to n1 port door random 1 messages",
        "`caller`, `peer-tcp`",
        "door",
    ),
    ("bytes to n1 port local all", "`random` or `text`", "all"),
    (
        "expect metric m on n1 about 3",
        "`at least` or `at most`",
        "about",
    ),
    ("expect log \"x\" on n1", "`within`", "the end of the line"),
    (
        "expect no runs at t1 from 3 s",
        "`after leave`",
        "the end of the line",
    ),
    ("expect at least 3 lost", "`answered` or `code`", "lost"),
    (
        "expect revision 3 on all",
        "`within`",
        "the end of the line",
    ),
    (
        "expect no double runs today",
        "the end of the line or an option",
        "today",
    ),
    ("seed x", "a whole number", "x"),
];

/// Guards against messages that do not say where the error is and what was expected.
#[test]
fn bad_lines_are_refused_with_what_was_expected() {
    for (text, expected, found) in BAD_LINES.iter().copied() {
        let refused = parser::parse_line(text).expect_err(text);

        assert!(refused.contains(expected), "{text}: {refused}");
        assert!(
            refused.contains(&format!("found `{found}")),
            "{text}: {refused}"
        );
    }
}

/// Guards against a wrong line number behind comments and empty lines.
#[test]
fn errors_name_file_and_line() {
    let text = "# story\n\nseed 4\nlong\nstart store # comment\nstart cloud\n";

    let refused = parser::parse(Path::new("x.scenario"), text).expect_err("line 6 is wrong");

    let message = refused.to_string();
    assert!(
        message.starts_with("x.scenario:6: expected `store`, `node` or `target`"),
        "{message}"
    );
}

/// Guards against a seed or `long` mark that is dropped, and steps that lose their line number.
#[test]
fn seed_mark_and_lines_are_kept() {
    let text = "seed 4\nlong\n\nstart store\n";

    let scenario = parser::parse(Path::new("x.scenario"), text).expect("the text is right");

    assert_eq!((scenario.seed, scenario.long), (4, true));
    assert_eq!(scenario.steps.len(), 1);
    assert_eq!(scenario.steps[0].line, 4);
}

/// Guards against scenario files that no longer follow the language.
#[test]
fn files_of_the_repository_are_read() {
    let files = command::all_files().expect("the directory exists");

    let failures: Vec<String> = files
        .iter()
        .filter_map(|file| parser::read(file).err())
        .map(|error| error.to_string())
        .collect();

    assert!(files.len() >= 21, "{} files", files.len());
    assert!(failures.is_empty(), "{failures:#?}");
}
