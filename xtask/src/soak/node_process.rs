//! Process of a node of the testbed: its addresses, its settings file and its start.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use hemlockfall_standins::target::ConnectionBehaviour;

use crate::errors::Error;
use crate::errors::Result;
use crate::harness::ports;
use crate::harness::process::Process;
use crate::soak::testbed::VmOptions;

/// Addresses of the node, its target and the proxies around them.
pub(super) struct Addresses {
    pub(super) callers: SocketAddr,
    pub(super) peers: SocketAddr,
    pub(super) advertised: SocketAddr,
    pub(super) ready: SocketAddr,
    pub(super) control: SocketAddr,
    pub(super) metrics: SocketAddr,
    pub(super) target: SocketAddr,
    pub(super) announced: SocketAddr,
    pub(super) store: SocketAddr,
}

impl Addresses {
    pub(super) fn choose() -> Result<Self> {
        Ok(Self {
            callers: ports::free_address()?,
            peers: ports::free_address()?,
            advertised: ports::free_address()?,
            ready: ports::free_address()?,
            control: ports::free_address()?,
            metrics: ports::free_address()?,
            target: ports::free_address()?,
            announced: ports::free_address()?,
            store: ports::free_address()?,
        })
    }

    /// Returns the address that the target announces. With `ConnectionBehaviour::End`, an answer and
    /// the end of its connection have to arrive together. The proxy would forward them separately,
    /// so the node connects to the target directly.
    pub(super) fn announced(&self, options: &VmOptions) -> SocketAddr {
        if options.connection_behaviour == ConnectionBehaviour::End {
            self.target
        } else {
            self.announced
        }
    }
}

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

fn write_settings(options: &VmOptions, addresses: &Addresses) -> Result<PathBuf> {
    let (name, service) = (&options.name, options.service);
    let text = format!(
        "[sidecar]\nname = \"{name}\"\nservice = \"{service}\"\ndata_centre = \"a\"\n\
         region = \"west\"\ncaller_address = \"{}\"\npeer_address = \"{}\"\n\
         advertised_address = \"{}\"\nready_address = \"{}\"\ncontrol_address = \"{}\"\n\
         metrics_address = \"{}\"\ntarget_address = \"{}\"\nstore_address = \"{}\"\n\
         heartbeat_s = 0.5\nis_first_start = {}\nlog_lines_per_s = 2000\n\
         memory_mb = {}\n",
        addresses.callers,
        addresses.peers,
        addresses.advertised,
        addresses.ready,
        addresses.control,
        addresses.metrics,
        addresses.announced(options),
        addresses.store,
        options.is_first_start,
        options.memory_mb,
    );
    let path = options.directory.join(format!("{name}.toml"));
    std::fs::write(&path, text)
        .map_err(|error| Error::resource(path.display().to_string(), error))?;
    Ok(path)
}
