//! Command line without a node: usage errors, files and unreachable nodes.

use std::os::unix::ffi::OsStrExt;

use crate::assert_failure;
use crate::closed_address;
use crate::file;
use crate::hemlockfall;

const SETTINGS: &str = "[store]\naddress = \"127.0.0.1:1\"\nregion = \"ch-west\"\n[node]\n\
    name = \"n\"\nregion = \"r\"\ndata_centre = \"d\"\ncaller_address = \"127.0.0.1:2\"\n\
    peer_address = \"127.0.0.1:3\"\noperator_address = \"127.0.0.1:4\"\n\
    local_address = \"127.0.0.1:5\"\n";

const CATALOGUE: &str = "[[service]]\nname = \"jobdesk\"\nowner = \"office\"\nversion = \"v1\"\n\
    [[service.route]]\nname = \"all\"\npath_prefix = \"/\"\ndepends_on = [\"filmstore\"]\n";

/// Guards against invalid command lines that panic, exit with a wrong status or print no result
/// code.
#[test]
fn bad_command_lines_are_usage_errors() {
    let cases: [&[&str]; 14] = [
        &[],
        &["frobnicate"],
        &["--frobnicate"],
        &["node"],
        &["node", "--settings"],
        &["catalogue"],
        &["catalogue", "apply"],
        &["catalogue", "get"],
        &["catalogue", "history", "a", "--limit", "-1"],
        &["move", "abort", "order-desk"],
        &["move", "finish", "order-desk"],
        &["status", "--node", "localhost"],
        &["report", "--format", "pdf"],
        &["check", "a", "b"],
    ];
    for arguments in cases {
        let output = hemlockfall(arguments);

        assert_failure(&arguments.join(" "), &output, 2, "HF-7001");
    }
}

/// Guards against a panic on arguments that are not valid UTF-8.
#[test]
fn argument_that_is_no_text_is_a_usage_error() {
    let argument = std::ffi::OsStr::from_bytes(&[0xff, 0xfe]);

    let output = std::process::Command::new(env!("CARGO_BIN_EXE_hemlockfall"))
        .arg(argument)
        .output()
        .expect("the binary runs");

    assert_failure("bytes", &output, 2, "HF-7001");
}

/// Guards against invalid files that are accepted, cause a panic, or are reported without a result
/// code.
#[test]
fn bad_files_are_refused_with_their_numbers() {
    let two_mistakes = SETTINGS.replace("name = \"n\"", "name = 7\nnonsense = true");
    let no_owner = CATALOGUE.replace("office", " ");
    let twice = format!("{CATALOGUE}{CATALOGUE}");
    let past = CATALOGUE.replace(
        "[[service.route]]",
        "move = { deadline_unix_ms = 5 }\n[[service.route]]",
    );
    let circle = format!(
        "{CATALOGUE}{}",
        CATALOGUE
            .replace("filmstore", "jobdesk")
            .replacen("jobdesk", "filmstore", 1)
    );
    let cases: [(&str, &[u8], &str, &str); 11] = [
        ("empty.toml", b"", "HF-1002", "node.name"),
        ("text.toml", b"no toml", "HF-1001", "text.toml"),
        ("bytes.toml", &[0xff, 0x00, 0xfe], "HF-1001", "UTF-8"),
        (
            "mistakes.toml",
            two_mistakes.as_bytes(),
            "HF-1002",
            "2 mistake(s)",
        ),
        ("section.toml", b"[nonsense]", "HF-1002", "unknown section"),
        (
            "broken-catalogue.toml",
            b"[[service]]\nname = ",
            "HF-2001",
            "line 2",
        ),
        (
            "field-catalogue.toml",
            b"[[service]]\nnick = \"a\"",
            "HF-2001",
            "nick",
        ),
        (
            "owner-catalogue.toml",
            no_owner.as_bytes(),
            "HF-2002",
            "the owner is missing",
        ),
        (
            "twice-catalogue.toml",
            twice.as_bytes(),
            "HF-2002",
            "more than once",
        ),
        (
            "past-catalogue.toml",
            past.as_bytes(),
            "HF-2002",
            "in the past",
        ),
        (
            "circle-catalogue.toml",
            circle.as_bytes(),
            "HF-2002",
            "circle",
        ),
    ];
    for (name, content, code, hint) in cases {
        let path = file(name, content);

        let output = hemlockfall(&["check", &path]);

        assert_failure(name, &output, 1, code);
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(errors.contains(hint), "case {name}: {errors}");
    }
    let missing = hemlockfall(&["check", "/nonexistent/file.toml"]);
    assert_failure("missing", &missing, 1, "HF-1001");
    let missing = hemlockfall(&["catalogue", "apply", "/nonexistent/file.toml"]);
    assert_failure("missing catalogue", &missing, 1, "HF-2001");
    let bad_settings = hemlockfall(&["node", "--settings", "/nonexistent/file.toml"]);
    assert_failure("missing settings", &bad_settings, 1, "HF-1001");
}

/// Guards against valid files that are refused.
#[test]
fn valid_files_pass() {
    let settings = file("valid-settings.toml", SETTINGS.as_bytes());
    let catalogue = file("valid-catalogue.toml", CATALOGUE.as_bytes());

    let settings = hemlockfall(&["check", &settings]);
    let catalogue = hemlockfall(&["check", &catalogue]);

    assert_eq!(settings.status.code(), Some(0), "{settings:?}");
    let text = String::from_utf8_lossy(&catalogue.stdout);
    assert!(
        text.contains("checked on apply: filmstore"),
        "{catalogue:?}"
    );
}

/// Guards against reporting an unreachable node as an unknown outcome or without a result code.
#[test]
fn unreachable_node_changes_nothing() {
    let node = closed_address().to_string();
    let catalogue = file("unreachable-catalogue.toml", CATALOGUE.as_bytes());
    let cases: [&[&str]; 8] = [
        &["status"],
        &["report"],
        &["catalogue", "list"],
        &["catalogue", "get", "jobdesk"],
        &["catalogue", "history", "jobdesk"],
        &["catalogue", "remove", "jobdesk"],
        &["catalogue", "apply", &catalogue],
        &["move", "abort", "jobdesk", "--reason", "test"],
    ];
    for case in cases {
        let mut arguments = case.to_vec();
        arguments.extend(["--node", &node]);

        let output = hemlockfall(&arguments);

        assert_failure(&case.join(" "), &output, 1, "HF-7003");
    }
}

/// Guards against commands without help or version.
#[test]
fn help_and_version_are_everywhere() {
    let cases: [&[&str]; 12] = [
        &[],
        &["node"],
        &["catalogue"],
        &["catalogue", "apply"],
        &["catalogue", "remove"],
        &["move"],
        &["move", "pause"],
        &["status"],
        &["report"],
        &["check"],
        &["errors"],
        &["settings"],
    ];
    for case in cases {
        let with = |option| hemlockfall(&[case, &[option]].concat());

        let help = with("--help");
        let version = with("--version");

        let text = String::from_utf8_lossy(&help.stdout).into_owned();
        assert_eq!(help.status.code(), Some(0), "{case:?}");
        let name = [&["hemlockfall"], case].concat().join(" ");
        assert!(
            text.starts_with(&format!("Usage: {name} ")),
            "{case:?}: {text}"
        );
        assert_eq!(version.status.code(), Some(0), "{case:?}");
        assert!(version.stdout.starts_with(b"hemlockfall "), "{case:?}");
    }
}

/// Guards against a panic when the reader of the output closes the pipe.
#[test]
fn closed_output_is_no_panic() {
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_hemlockfall"))
        .arg("errors")
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the binary runs");
    drop(child.stdout.take());

    let output = child.wait_with_output().expect("ends");

    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    assert_eq!(output.status.code(), Some(0));
}
