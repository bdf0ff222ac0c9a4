//! Processes of one run: the store stand-in and the nodes.

use std::fmt::Write;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

use hemlockfall_store::Client;

use crate::errors::Error;
use crate::errors::Result;
use crate::harness::node::NodeSpec;
use crate::harness::ports::free_address_in;
use crate::harness::process::Process;
use crate::harness::programs::Programs;
use crate::harness::wait;
use crate::http;
use crate::store::state::Counters;

/// Region of the store.
pub const STORE_REGION: &str = "region-a";

/// Pairs of region and data centre, assigned to the nodes in turn.
pub const LOCATIONS: [(&str, &str); 7] = [
    ("region-a", "a1"),
    ("region-b", "b1"),
    ("region-c", "c1"),
    ("region-a", "a2"),
    ("region-b", "b2"),
    ("region-c", "c2"),
    ("region-a", "a3"),
];
const DATA_CENTRE_DELAY_US: u32 = 1_500;
const REGION_DELAY_US: u32 = 12_000;
const REGION_KBIT_PER_S: u32 = 30_000;
/// Size of a run's port range per node: four ports in each of the two modes, and four in reserve.
const PORTS_PER_NODE: u16 = 12;
/// Minimum size of a run's port range.
const MIN_PORTS: u16 = 100;
const STORE_START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between the starts of two nodes, so that starting does not distort the figures.
const NODE_START_INTERVAL: Duration = Duration::from_millis(60);

/// Mode of distribution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The distribution of the product.
    Product,
    /// The baseline: every node watches the store.
    Baseline,
}

/// Setup of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Programs to start.
    pub programs: Programs,
    /// Number of nodes.
    pub nodes: usize,
    /// First port of the range that ports are taken from.
    pub first_port: u16,
    /// Reads that the store serves per second.
    pub store_reads_per_s: u32,
}

impl Setup {
    fn ports(&self) -> Range<u16> {
        let nodes = u16::try_from(self.nodes).unwrap_or(u16::MAX);
        let count = nodes.saturating_mul(PORTS_PER_NODE).max(MIN_PORTS);
        self.first_port..self.first_port.saturating_add(count)
    }
}

/// Set of running processes; dropping it kills them and removes its directory.
pub struct Fleet {
    directory: PathBuf,
    store_address: SocketAddr,
    /// The nodes, in the order of their processes.
    pub nodes: Vec<NodeSpec>,
    processes: Vec<Process>,
    _store: Process,
}

impl Fleet {
    /// Starts the store and writes the settings of the nodes, without starting the nodes.
    ///
    /// # Errors
    /// An error of a file or process, or [`Error::NotReached`] if the store does not answer.
    pub fn start(setup: &Setup, mode: Mode) -> Result<Self> {
        let (programs, count) = (&setup.programs, setup.nodes);
        let ports = setup.ports();
        let name = format!("hemlockfall-distribute-{}-{mode:?}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)
            .map_err(|error| Error::resource(directory.display().to_string(), error))?;
        let store_address = free_address_in(ports.clone())?;
        let arguments = [
            "store".to_owned(),
            format!("--listen={store_address}"),
            format!("--reads-per-s={}", setup.store_reads_per_s),
        ];
        let arguments = arguments.map(Into::into).to_vec();
        let store = Process::start("store", &programs.xtask, arguments, &directory)?;
        let mut nodes = Vec::new();
        for index in 0..count {
            let (region, data_centre) = LOCATIONS[index % LOCATIONS.len()];
            let mut node = NodeSpec::new(&format!("node-{index:03}"), region, data_centre)?;
            node.caller_address = free_address_in(ports.clone())?;
            node.peer_address = free_address_in(ports.clone())?;
            node.operator_address = free_address_in(ports.clone())?;
            node.local_address = free_address_in(ports.clone())?;
            nodes.push(node);
        }
        let fleet = Self {
            directory,
            store_address,
            nodes,
            processes: Vec::new(),
            _store: store,
        };
        wait::until("store answers", STORE_START_TIMEOUT, || {
            fleet.counters().map_err(|error| error.to_string())
        })?;
        for node in &fleet.nodes {
            fleet.write_settings(node, mode)?;
        }
        Ok(fleet)
    }

    /// Starts all nodes one after the other. The wait after the first one gives it time to write
    /// its contact object, through which the others find it.
    ///
    /// # Errors
    /// [`Error::Process`] if a node cannot be started.
    pub fn start_nodes(&mut self, programs: &Programs) -> Result<()> {
        for (index, node) in self.nodes.iter().enumerate() {
            let settings = self.directory.join(format!("{}.toml", node.name));
            let arguments = vec!["node".into(), "--settings".into(), settings.into()];
            let process = Process::start(
                &node.name,
                &programs.hemlockfall,
                arguments,
                &self.directory,
            )?;
            self.processes.push(process);
            std::thread::sleep(if index == 0 {
                NODE_START_INTERVAL * 50
            } else {
                NODE_START_INTERVAL
            });
        }
        Ok(())
    }

    /// Returns a client of the store.
    #[must_use]
    pub fn client(&self) -> Client {
        let options = hemlockfall_store::Options {
            address: self.store_address,
            region: STORE_REGION.into(),
            ..hemlockfall_store::Options::default()
        };
        Client::new(options, rand::random())
    }

    /// Reads the counters of the store.
    ///
    /// # Errors
    /// [`Error::Http`] if the store does not answer.
    pub fn counters(&self) -> Result<Counters> {
        http::get_json(self.store_address, "/control/counters")
    }

    /// Returns the address of the store.
    #[must_use]
    pub fn store_address(&self) -> SocketAddr {
        self.store_address
    }

    /// Returns the log of a node.
    #[must_use]
    pub fn log(&self, index: usize) -> String {
        let path = self
            .directory
            .join(format!("{}.err", self.nodes[index].name));
        let bytes = std::fs::read(path).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Checks that no node has exited.
    ///
    /// # Errors
    /// [`Error::Process`] with the last log lines of a node that has exited.
    pub fn check_running(&mut self) -> Result<()> {
        for process in &mut self.processes {
            if let Some(status) = process.exited() {
                let log = process.log_tail(3);
                return Err(Error::process(
                    process.name(),
                    format!("ended with {status}: {log}"),
                ));
            }
        }
        Ok(())
    }

    /// Returns the process id of a node.
    #[must_use]
    pub fn process_id(&self, index: usize) -> u32 {
        self.processes[index].id()
    }

    /// Kills nodes without a graceful shutdown.
    pub fn kill(&mut self, indices: &[usize]) {
        for index in indices {
            self.processes[*index].kill();
        }
    }

    /// Starts nodes again, without waiting in between.
    ///
    /// # Errors
    /// [`Error::Process`] if a node cannot be started.
    pub fn restart(&mut self, indices: &[usize]) -> Result<()> {
        indices
            .iter()
            .try_for_each(|index| self.processes[*index].restart())
    }

    fn write_settings(&self, node: &NodeSpec, mode: Mode) -> Result<()> {
        let data_centre_peers = self.peers(|other| other.data_centre == node.data_centre);
        let region_peers = self
            .peers(|other| other.region == node.region && other.data_centre != node.data_centre);
        let mut extra = String::from("[emulation]\nenabled = true\n");
        let _ = write!(
            extra,
            "data_centre_delay_us = {DATA_CENTRE_DELAY_US}\n\
             region_delay_us = {REGION_DELAY_US}\n\
             region_kbit_per_s = {REGION_KBIT_PER_S}\n\
             data_centre_peers = {data_centre_peers:?}\n\
             region_peers = {region_peers:?}\n\
             baseline = {}\n",
            mode == Mode::Baseline
        );
        let path = self.directory.join(format!("{}.toml", node.name));
        let text = node.settings(self.store_address, STORE_REGION, &extra);
        std::fs::write(&path, text)
            .map_err(|error| Error::resource(path.display().to_string(), error))
    }

    fn peers(&self, is_listed: impl Fn(&NodeSpec) -> bool) -> Vec<String> {
        let listed = self.nodes.iter().filter(|node| is_listed(node));
        listed.map(|node| node.peer_address.to_string()).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
