//! Audit: combinations of outcomes and runs that count as violated guarantees.

use xtask::audit::Audit;
use xtask::caller::CallerReport;
use xtask::caller::Outcome;
use xtask::caller::SendRecord;
use xtask::target::state::Run;

fn send(id: &str, key: Option<&str>, once: bool, outcome: Outcome) -> SendRecord {
    SendRecord {
        request_id: id.to_owned(),
        key: key.map(str::to_owned),
        once,
        status: 200,
        outcome,
        code: None,
        whole: outcome == Outcome::Ran,
        wrong: false,
        version: None,
        latency_us: 0,
        failure: None,
    }
}

fn run(id: &str) -> Run {
    Run {
        target: "t1".to_owned(),
        version: "v1".to_owned(),
        request_id: id.to_owned(),
        idempotency_key: None,
        attempt: None,
        path: "/".to_owned(),
        at_unix_ms: 0,
    }
}

/// Guards against an audit that misses a violated guarantee or reports one that held. Each row:
/// key, at most once, outcomes of the sends, ids that ran, double runs, false not-run.
#[test]
fn guarantees_are_judged_by_runs() {
    use Outcome::NotRun;
    use Outcome::Ran;
    use Outcome::Unknown;

    struct Row(
        Option<&'static str>,
        bool,
        &'static [Outcome],
        &'static [&'static str],
        usize,
        usize,
    );
    let key = Some("k");
    let rows = [
        Row(key, true, &[Ran], &["r-1.0"], 0, 0),
        Row(key, true, &[Ran], &["r-1.0", "r-1.0"], 1, 0),
        Row(key, true, &[Unknown, Ran], &["r-1.0"], 0, 0),
        Row(key, true, &[Unknown, Ran], &["r-1.0", "r-1.1"], 1, 0),
        Row(key, true, &[NotRun, Ran], &["r-1.1"], 0, 0),
        Row(key, true, &[NotRun], &["r-1.0"], 0, 1),
        Row(key, true, &[Unknown, NotRun], &["r-1.0"], 0, 1),
        Row(key, true, &[Unknown], &["r-10.0"], 0, 0),
        Row(None, true, &[Ran], &["r-1.0", "r-1.0"], 1, 0),
        Row(None, true, &[Unknown, Ran], &["r-1.0", "r-1.1"], 0, 0),
        Row(None, false, &[Ran], &["r-1.0", "r-1.0"], 0, 0),
        Row(None, false, &[NotRun], &["r-1.0"], 0, 1),
        Row(None, false, &[Unknown, NotRun], &["r-1.0"], 0, 0),
        Row(None, false, &[Unknown, NotRun], &["r-1.1"], 0, 1),
    ];

    for (number, Row(key, once, outcomes, ran, double_runs, false_not_run)) in
        rows.into_iter().enumerate()
    {
        let sends = outcomes.iter().enumerate();
        let sends = sends.map(|(n, outcome)| send(&format!("r-1.{n}"), key, once, *outcome));
        let report = CallerReport {
            sends: sends.collect(),
        };
        let runs: Vec<Run> = ran.iter().map(|id| run(id)).collect();

        let audit = Audit::of(&[report], &runs);

        assert_eq!(audit.requests, 1, "row {number}");
        assert_eq!(audit.double_runs, double_runs, "row {number}");
        assert_eq!(audit.told_not_run_but_ran, false_not_run, "row {number}");
        assert_eq!(
            audit.is_clean(),
            double_runs + false_not_run == 0,
            "row {number}"
        );
    }
}

/// Guards against an audit that fails on a record truncated by a kill, or ignores a damaged one.
#[test]
fn cut_off_record_is_ignored_and_a_damaged_one_is_not() {
    let directory = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let whole = serde_json::to_string(&run("r-1.0")).expect("a line");
    let cut = directory.join("cut.runs");
    let damaged = directory.join("damaged.runs");
    std::fs::write(&cut, format!("{whole}\n{{\"target\"")).expect("a writable file");
    std::fs::write(&damaged, format!("{{\"target\"\n{whole}\n")).expect("a writable file");

    let from_cut = xtask::audit::read_runs(&cut);
    let from_damaged = xtask::audit::read_runs(&damaged);

    assert_eq!(from_cut, Ok(vec![run("r-1.0")]));
    assert!(from_damaged.is_err());
}
