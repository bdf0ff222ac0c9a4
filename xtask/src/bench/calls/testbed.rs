//! Processes of one measurement: a store stand-in, nodes, targets and baseline proxies.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use crate::bench::calls::wire::Client;
use crate::errors::Error;
use crate::errors::Result;
use crate::harness::Cluster;
use crate::harness::StoreLimits;
use crate::harness::ports;
use crate::harness::process::Process;
use crate::harness::process::Signal;
use crate::harness::programs::Programs;
use crate::harness::wait;

const REGION: &str = "west";
const DATA_CENTRE: &str = "west-1";
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait for the cold start of 10 s, after which targets have their full weight, so that no
/// measurement falls into it.
const COLD_START: Duration = Duration::from_millis(10_500);

/// Options of a target of the bench.
#[derive(Clone, Debug, Default)]
pub struct TargetOptions {
    /// Node of the target; `None` for a target of the baseline.
    pub node: Option<String>,
    /// Service.
    pub service: String,
    /// Maximum number of requests run concurrently.
    pub slots: u16,
    /// Time that the target takes for a request.
    pub service_time: Duration,
    /// Address through which the next service of a chain is called, and its name.
    pub next: Option<(SocketAddr, String)>,
}

/// Set of running processes; dropping it ends them.
pub struct Testbed {
    programs: Programs,
    cluster: Cluster,
    stand_ins: Vec<Process>,
}

impl Testbed {
    /// Starts the store; `settings` is appended to the settings of every node.
    pub fn new(settings: &str) -> Result<Self> {
        let programs = Programs::locate()?;
        let mut cluster = Cluster::new(programs.clone(), settings)?;
        cluster.start_store(StoreLimits::default())?;
        Ok(Self {
            programs,
            cluster,
            stand_ins: Vec::new(),
        })
    }

    /// Starts a node and returns its address for callers.
    pub fn node(&mut self, name: &str) -> Result<SocketAddr> {
        self.cluster.start_node(name, REGION, DATA_CENTRE)?;
        Ok(self.cluster.node(name)?.caller_address)
    }

    /// Starts a target and returns its address.
    pub fn target(&mut self, name: &str, options: &TargetOptions) -> Result<SocketAddr> {
        let mut arguments = vec![
            format!("--service={}", options.service),
            format!("--slots={}", options.slots),
            format!("--service-time-us={}", options.service_time.as_micros()),
        ];
        if let Some(node) = &options.node {
            let local = self.cluster.node(node)?.local_address;
            arguments.push(format!("--node={local}"));
        }
        if let Some((address, service)) = &options.next {
            arguments.push(format!("--next-through={address}"));
            arguments.push(format!("--next-service={service}"));
        }
        self.stand_in(name, "echo", arguments)
    }

    /// Starts a baseline proxy and returns its address.
    pub fn proxy(&mut self, name: &str, upstreams: &[(String, SocketAddr)]) -> Result<SocketAddr> {
        let address = ports::free_address()?;
        self.proxy_at(name, address, upstreams)?;
        Ok(address)
    }

    /// Starts a baseline proxy at an address.
    pub fn proxy_at(
        &mut self,
        name: &str,
        address: SocketAddr,
        upstreams: &[(String, SocketAddr)],
    ) -> Result<()> {
        let arguments = upstreams
            .iter()
            .map(|(service, address)| format!("--upstream={service}={address}"))
            .collect();
        self.stand_in_at(name, "proxy", address, arguments)
    }

    fn stand_in(&mut self, name: &str, task: &str, arguments: Vec<String>) -> Result<SocketAddr> {
        let address = ports::free_address()?;
        self.stand_in_at(name, task, address, arguments)?;
        Ok(address)
    }

    fn stand_in_at(
        &mut self,
        name: &str,
        task: &str,
        address: SocketAddr,
        arguments: Vec<String>,
    ) -> Result<()> {
        let mut command_line = vec!["bench".to_owned(), task.to_owned()];
        command_line.push(format!("--listen={address}"));
        command_line.extend(arguments);
        let command_line = command_line.into_iter().map(Into::into).collect();
        let directory = self.cluster.directory();
        let process = Process::start(name, &self.programs.xtask, command_line, directory)?;
        self.stand_ins.push(process);
        Ok(())
    }

    /// Applies a catalogue with these services; all their requests are idempotent.
    pub fn apply(&self, node: &str, services: &[&str], timeout: Duration) -> Result<()> {
        let mut text = String::new();
        for service in services {
            let _ = write!(
                text,
                "[[service]]\nname = \"{service}\"\nowner = \"bench\"\nversion = \"v1\"\n\
                 [[service.route]]\nname = \"main\"\npath_prefix = \"/\"\n\
                 repeatable = true\ntimeout_ms = {}\n",
                timeout.as_millis()
            );
        }
        let file = self.cluster.directory().join("bench.toml");
        std::fs::write(&file, text)
            .map_err(|error| Error::resource(file.display().to_string(), error))?;
        let applied = self.cluster.apply_catalogue(&file, node)?;
        if applied.accepted {
            return Ok(());
        }
        Err(Error::process("catalogue apply", applied.output))
    }

    /// Sends a signal to a node or a stand-in.
    pub fn signal(&mut self, name: &str, signal: Signal) -> Result<()> {
        let stand_in = self
            .stand_ins
            .iter_mut()
            .find(|process| process.name() == name);
        match stand_in {
            Some(process) => process.signal(signal),
            None => self.cluster.signal(name, signal),
        }
    }
}

/// Waits until a request to a service through an address succeeds.
pub fn wait_ready(through: SocketAddr, service: &str) -> Result<()> {
    let mut client = Client::new(through);
    wait::until(
        &format!("answer from {service}"),
        READY_TIMEOUT,
        || match client.send(service, &[], b"", PROBE_TIMEOUT) {
            Ok(answer) if answer.status() == 200 => Ok(()),
            Ok(answer) => Err(String::from_utf8_lossy(&answer.body).into_owned()),
            Err(error) => Err(error.to_string()),
        },
    )
}

/// Waits until the cold start of every target is over.
pub fn wait_warm() {
    std::thread::sleep(COLD_START);
}

/// Requests a control path of a target of the bench and returns the text of the answer.
pub fn control(target: SocketAddr, path: &str) -> Result<String> {
    let url = format!("http://{target}{path}");
    let agent = crate::http::agent(PROBE_TIMEOUT);
    crate::http::exchange(&agent, "GET", &url, &[], b"").map(|reply| reply.text())
}
