//! Choice of free ports while the harness starts processes.

use std::ffi::OsString;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use xtask::harness::ports;
use xtask::harness::process::Process;

const PORTS: usize = 400;
const STARTERS: usize = 3;

/// Load: processes are started continuously. Guards against a port that was found free but is in
/// use, because a process that is being started holds a copy of the listener that tried the port:
/// nodes exited at their start, and their mesh served nothing.
#[test]
fn free_ports_stay_free_while_processes_are_started() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("ports");
    std::fs::create_dir_all(&directory).expect("the directory can be made");
    let is_done = AtomicBool::new(false);
    let mut refused = Vec::new();

    std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_done.load(Ordering::SeqCst) {
                    let arguments: Vec<OsString> = Vec::new();
                    Process::start("true", Path::new("/bin/true"), arguments, &directory)
                        .expect("the process starts");
                }
            });
        }
        for _ in 0..PORTS {
            let address = ports::free_address().expect("a port is free");
            if let Err(error) = TcpListener::bind(address) {
                refused.push(format!("{address}: {error}"));
            }
        }
        is_done.store(true, Ordering::SeqCst);
    });

    assert!(refused.is_empty(), "{refused:#?}");
}
