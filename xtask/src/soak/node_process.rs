//! Process of a node of the testbed.

use std::ffi::OsString;
use std::path::Path;

use crate::errors::Result;
use crate::harness::process::Process;
use crate::soak::testbed::VmOptions;
use crate::soak::vm_settings::Addresses;
use crate::soak::vm_settings::write_settings;

/// Starts a node with its settings and its limit of descriptors.
pub(super) fn start_node(
    options: &VmOptions,
    addresses: &Addresses,
    program: &Path,
) -> Result<Process> {
    let settings = write_settings(options, addresses)?;
    let arguments = vec!["sidecar".into(), "--settings".into(), settings.into()];
    let directory = &options.directory;
    let Some(limit) = options.descriptors else {
        return Process::start(&options.name, program, arguments, directory);
    };
    // The shell lowers its own limit of descriptors and replaces itself by the node.
    let script = format!("ulimit -n {limit} && exec \"$0\" \"$@\"");
    let mut command: Vec<OsString> = vec!["-c".into(), script.into(), program.into()];
    command.extend(arguments);
    Process::start(&options.name, Path::new("/bin/sh"), command, directory)
}
