//! Scenario language: steps about moves (rollouts).

use std::time::Duration;

use xtask::scenario::model::Line;
use xtask::scenario::model::Step;
use xtask::scenario::moves::MoveStep;
use xtask::scenario::moves::MoveStepKind;
use xtask::scenario::parser;

const SECOND: Duration = Duration::from_secs(1);

fn good_lines() -> Vec<(&'static str, MoveStepKind)> {
    let version = || "v2".to_owned();
    vec![
        (
            "move order-desk aborts through n2",
            MoveStepKind::Abort {
                through: "n2".to_owned(),
            },
        ),
        ("move order-desk kills judge", MoveStepKind::KillJudge),
        (
            "move order-desk freezes judge for 1 s",
            MoveStepKind::FreezeJudge(SECOND),
        ),
        (
            "move order-desk has judge within 1 s",
            MoveStepKind::HasJudge { within: SECOND },
        ),
        (
            "move order-desk gave at most 40 runs to v2",
            MoveStepKind::RunsAtMost {
                count: 40,
                version: version(),
            },
        ),
        (
            "move order-desk sends at most 60 permille to v2 for 1 s",
            MoveStepKind::ShareAtMost {
                permille: 60,
                version: version(),
                time: SECOND,
            },
        ),
        (
            "move order-desk sends at least 60 permille to v2 for 1 s",
            MoveStepKind::ShareAtLeast {
                permille: 60,
                version: version(),
                time: SECOND,
            },
        ),
        (
            "move order-desk reports \"taken back\" through n1,n2 within 1 s",
            MoveStepKind::Reports {
                text: "taken back".to_owned(),
                through: vec!["n1".to_owned(), "n2".to_owned()],
                within: SECOND,
            },
        ),
    ]
}

/// Guards against a step about a move that is parsed as another step or loses an option.
#[test]
fn good_lines_are_read() {
    for (text, kind) in good_lines() {
        let read = parser::parse_line(text);

        let service = "order-desk".to_owned();
        let step = Step::Move(MoveStep { service, kind });
        assert_eq!(read, Ok(Line::Step(step)), "{text}");
    }
}

/// Guards against errors in a step about a move that are accepted or not explained.
#[test]
fn bad_lines_are_refused() {
    let rows = [
        ("move order-desk", "`kills judge`"),
        ("move order-desk kills everything", "`kills judge`"),
        ("move order-desk freezes judge for ever", "a time such as"),
        (
            "move order-desk gave at most few runs to v2",
            "a whole number",
        ),
    ];

    for (text, expected) in rows {
        let message = parser::parse_line(text).expect_err(text);

        assert!(message.contains(expected), "{text}: {message}");
    }
}
