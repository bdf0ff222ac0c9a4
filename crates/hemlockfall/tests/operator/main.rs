//! Tests of the command line, the JSON-RPC interface and the pages for operators.

mod command_line;
mod json_rpc;
mod node_side;
mod pages;

#[expect(dead_code, reason = "shared with the tests of the store client")]
#[path = "../../../store/tests/store/support.rs"]
mod support;

use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;

/// Runs the built binary.
fn hemlockfall(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hemlockfall"))
        .args(arguments)
        .output()
        .expect("the binary runs")
}

/// Returns an address on which nothing listens.
fn closed_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Writes a file for a test and returns its path; the name must be unique among the tests.
fn file(name: &str, content: &[u8]) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).expect("writable");
    path.display().to_string()
}

/// Asserts the exit status and the result code, and that a next step and no panic is printed.
fn assert_failure(name: &str, output: &Output, status: i32, code: &str) {
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(status), "case {name}: {errors}");
    assert!(
        errors.starts_with(&format!("error {code}: ")),
        "case {name}: {errors}"
    );
    assert_eq!(
        errors.matches("error HF-").count(),
        1,
        "case {name}: {errors}"
    );
    assert!(errors.contains("\nnext: "), "case {name}: {errors}");
    assert!(!errors.contains("panicked"), "case {name}: {errors}");
}
