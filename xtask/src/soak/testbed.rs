//! Testbed of one run: node processes, targets, store and callers on loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller as wire;
use hemlockfall_standins::caller::CallerRequest;
use hemlockfall_standins::caller::Connection;
use hemlockfall_standins::caller::Outcome;
use hemlockfall_standins::store::Store;
use hemlockfall_standins::store::StoreFault;
use hemlockfall_standins::target::ConnectionBehaviour;
use hemlockfall_standins::target::RunObserver;
use hemlockfall_standins::target::Target;
use hemlockfall_standins::target::TargetOptions;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;

use crate::errors::Error;
use crate::errors::Result;
use crate::harness::ports;
use crate::harness::process::Process;
use crate::harness::process::Signal;
use crate::harness::programs::Programs;
use crate::soak::accounts;
use crate::soak::accounts::AccountCaller;
use crate::soak::accounts::KeyUses;
use crate::soak::batches;
use crate::soak::caller;
use crate::soak::caller::CallerContext;
use crate::soak::caller::Disruptions;
use crate::soak::caller::HOST;
use crate::soak::disturbances::Disturbances;
use crate::soak::ledger::Ledger;
use crate::soak::node_process::start_node;
use crate::soak::proxy::Mode;
use crate::soak::proxy::Proxy;
use crate::soak::vm_settings::Addresses;
use crate::soak::vm_settings::Site;

/// Services of the mesh, assigned to the targets in turn.
pub const SERVICES: [&str; 2] = ["desk", "feed"];
/// Memory that the settings state for a VM, in MB; the smallest of the users' deployments.
pub const MEMORY_MB: u64 = 160;
/// Timeout of the route for requests that last for most of a stop, in seconds.
const BATCH_TIMEOUT_S: u64 = 8;
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time within which a newly started mesh must serve all requests.
const START_TIMEOUT: Duration = Duration::from_secs(12);
/// Time after the last fault within which the mesh must serve again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Time during which the served share of the recovered mesh is measured.
const RECOVERED_WINDOW: Duration = Duration::from_secs(2);
/// Smallest served share of the recovered mesh, in percent.
const RECOVERED_PERCENT: u32 = 90;
/// Time within which a configuration must be in force at an undisturbed node.
pub const CONFIG_APPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Size and behaviour of a testbed.
#[derive(Clone, Debug)]
pub struct TestbedOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of nodes, with one target each.
    pub nodes: usize,
    /// Callers at each node that send requests continuously.
    pub callers_per_node: u64,
    /// Time of a run at a target.
    pub run_time: Duration,
    /// Requests that a target runs at once.
    pub slots: u32,
    /// What targets do with connections after an answer.
    pub connection_behaviour: ConnectionBehaviour,
    /// Limit of the node's open file descriptors; `None` for the limit of this process.
    pub descriptors: Option<u32>,
    /// Whether each two VMs are in another region, and the platform has evacuations and cold rates.
    pub has_two_regions: bool,
    /// Whether callers have client accounts.
    pub has_accounts: bool,
    /// Memory of the VM that the node's settings state, in MB.
    pub memory_mb: u64,
    /// Where settings and logs go.
    pub directory: PathBuf,
}

/// Options of one VM.
#[derive(Clone, Debug)]
pub struct VmOptions {
    /// Name of the node.
    pub name: String,
    /// Service of the target.
    pub service: &'static str,
    /// Data centre and region, and settings of the platform.
    pub site: Site,
    /// Whether the VM starts for the first time.
    pub is_first_start: bool,
    /// Time of a run at the target.
    pub run_time: Duration,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// What the target does with connections after an answer.
    pub connection_behaviour: ConnectionBehaviour,
    /// Limit of the node's open file descriptors; `None` for the limit of this process.
    pub descriptors: Option<u32>,
    /// Memory of the VM that the node's settings state, in MB.
    pub memory_mb: u64,
    /// Where settings and logs go.
    pub directory: PathBuf,
}

/// VM: a node, its target and the proxies around them.
pub struct Vm {
    /// Name of the node.
    pub name: String,
    /// The node.
    pub node: Process,
    /// Caller address of the node.
    pub callers: SocketAddr,
    /// Address of the node's metrics page.
    pub metrics: SocketAddr,
    options: VmOptions,
    addresses: Addresses,
    program: PathBuf,
    /// Service of the target.
    pub service: &'static str,
    /// Version of the target.
    pub version: String,
    /// The target, unless it has crashed or was removed.
    pub target: Option<Target>,
    /// Proxy between the node and the store.
    pub store_proxy: Proxy,
    /// Proxy between the node and its target.
    pub target_proxy: Proxy,
    /// Proxy between other nodes and this one.
    pub link_proxy: Proxy,
    /// Number of restarts of the node, counted before each.
    pub node_starts: Arc<AtomicU32>,
    target_starts: u32,
    fails_permille: u32,
    /// Highest version of the configuration that was observed in force at this node process.
    pub observed_version: u64,
    /// Time since which no fault affects the node; may lie in the future.
    pub undisturbed_since: Instant,
}

/// Processes and stand-ins of one run.
pub struct Testbed {
    /// Source of the run's random choices.
    pub random: SmallRng,
    /// Source of the choices of faults that were added later, so that a seed keeps the earlier ones.
    pub later_random: SmallRng,
    /// The same for the faults of [`crate::soak::drill`].
    pub drill_random: SmallRng,
    /// The store.
    pub store: Store,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// Observations and violations.
    pub ledger: Arc<Ledger>,
    /// Unplanned disruptions.
    pub disruptions: Arc<Disruptions>,
    /// Newest version of the configuration and when it was written.
    pub config: (u64, Instant),
    /// Rollout of a bad version: service, version and deadline.
    pub rollout: Option<(&'static str, String, Instant)>,
    /// Whether the key that can be revoked has been.
    pub is_key_revoked: bool,
    /// Times at which nodes could not be expected to be connected to the store.
    pub disturbances: Disturbances,
    options: TestbedOptions,
    programs: Programs,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Testbed {
    /// Starts the store, the VMs and the callers.
    ///
    /// # Errors
    /// A process or a stand-in cannot be started.
    pub fn start(options: &TestbedOptions) -> Result<Self> {
        let store_address = ports::free_address()?;
        let store = Store::start(store_address).map_err(|error| Error::resource("store", error))?;
        let ledger: Arc<Ledger> = Arc::default();
        let disruptions: Arc<Disruptions> = Arc::default();
        let stop: Arc<AtomicBool> = Arc::default();
        let mut testbed = Self {
            random: SmallRng::seed_from_u64(options.seed),
            later_random: SmallRng::seed_from_u64(options.seed + 1_000_000),
            drill_random: SmallRng::seed_from_u64(options.seed + 2_000_000),
            store,
            vms: Vec::new(),
            ledger,
            disruptions,
            config: (0, Instant::now()),
            rollout: None,
            is_key_revoked: false,
            disturbances: Disturbances::default(),
            options: options.clone(),
            programs: Programs::locate()?,
            stop,
            callers: Vec::new(),
        };
        if options.has_accounts {
            testbed.ledger.keep_runs();
        }
        testbed.write_config();
        for index in 0..options.nodes {
            testbed.add_vm(&format!("n{index}"), SERVICES[index % SERVICES.len()], true)?;
        }
        for (index, vm) in testbed.vms.iter().enumerate() {
            for number in 0..options.callers_per_node {
                let index = u64::try_from(index).unwrap_or(0);
                let seed = options.seed * 1000 + index * options.callers_per_node + number;
                let mut context = testbed.caller_context(vm, seed);
                context.account = options.has_accounts.then_some(accounts::ORDINARY);
                testbed.callers.push(caller::start(context));
            }
        }
        Ok(testbed)
    }

    /// Starts callers that send batches, one at each of the first nodes.
    pub fn start_batch_callers(&mut self, count: usize) {
        for (vm, number) in self.vms.iter().take(count).zip(900..) {
            let context = self.caller_context(vm, self.options.seed * 1000 + number);
            self.callers.push(batches::start(context));
        }
    }

    /// Starts callers at each node that send requests of several accounts, and returns their record.
    pub fn start_account_callers(&mut self) -> Arc<KeyUses> {
        let uses: Arc<KeyUses> = Arc::default();
        for (index, vm) in self.vms.iter().enumerate() {
            let context = self.caller_context(vm, self.options.seed * 1000 + 800);
            let starts = Arc::clone(&vm.node_starts);
            let caller = AccountCaller {
                vm: index,
                starts,
                context,
                uses: Arc::clone(&uses),
            };
            self.callers.push(caller.start());
        }
        uses
    }

    fn caller_context(&self, vm: &Vm, seed: u64) -> CallerContext {
        CallerContext {
            node: vm.callers,
            seed,
            ledger: Arc::clone(&self.ledger),
            disruptions: Arc::clone(&self.disruptions),
            account: None,
            stop: Arc::clone(&self.stop),
        }
    }

    /// Starts a VM and adds it.
    ///
    /// # Errors
    /// A process or a stand-in cannot be started.
    pub fn add_vm(
        &mut self,
        name: &str,
        service: &'static str,
        is_first_start: bool,
    ) -> Result<()> {
        let options = VmOptions {
            name: name.to_owned(),
            service,
            site: Site::of(
                self.vms.len() / SERVICES.len(),
                self.options.has_two_regions,
            ),
            is_first_start,
            run_time: self.options.run_time,
            slots: self.options.slots,
            connection_behaviour: self.options.connection_behaviour,
            descriptors: self.options.descriptors,
            memory_mb: self.options.memory_mb,
            directory: self.options.directory.clone(),
        };
        let store = self.store.address();
        let vm = Vm::start(options, &self.programs, store, &self.ledger)?;
        self.vms.push(vm);
        Ok(())
    }

    /// Writes the next configuration; each version adds a route that shows whether it is in force.
    pub fn write_config(&mut self) {
        let version = self.config.0 + 2;
        let mut routes: Vec<Value> = vec![
            wire::route("orders", HOST, "/orders/", "desk", false),
            wire::route("stock", HOST, "/stock/", "desk", true),
            wire::route("feed", HOST, "/feed/", "feed", true),
            wire::route("batch", HOST, "/batch/", "desk", true),
        ];
        routes[3]["timeoutS"] = BATCH_TIMEOUT_S.into();
        for probed in (2..=version).step_by(2) {
            let prefix = format!("/probe-{probed}/");
            routes.push(wire::route(
                &format!("p{probed}"),
                HOST,
                &prefix,
                "feed",
                true,
            ));
        }
        let mut config = wire::config(version, &routes, &SERVICES);
        if self.options.has_accounts {
            accounts::add_to_config(&mut config, self.is_key_revoked);
        }
        self.store.put("config", "main", config);
        self.config = (version, Instant::now());
    }

    /// Requests the route of a configuration version and returns whether that version or a later
    /// one is in force at a node; `None` when the answer does not show this.
    #[must_use]
    pub fn probe(&self, vm: usize, version: u64) -> Option<bool> {
        let sent = CallerRequest {
            id: format!("probe-{version}-{vm}-{:?}", Instant::now()),
            host: HOST.to_owned(),
            path: format!("/probe-{version}/x"),
            body: Vec::new(),
            deadline: Duration::from_millis(700),
        };
        let mut connection = Connection::open(self.vms[vm].callers).ok()?;
        match connection.send(&sent).0 {
            Outcome::NoRoute => Some(false),
            Outcome::Served | Outcome::Failed(_) => Some(true),
            _ => None,
        }
    }

    /// Checks that no node returns to an earlier configuration, and that undisturbed nodes apply
    /// the newest one in time.
    pub fn check_config(&mut self) {
        let (version, written) = self.config;
        for index in 0..self.vms.len() {
            let observed = self.vms[index].observed_version;
            if observed > 0 && self.probe(index, observed) == Some(false) {
                let name = &self.vms[index].name;
                self.ledger
                    .report(format!("CONFIG: {name} went back from version {observed}"));
            }
            let is_due = written.elapsed() > CONFIG_APPLY_TIMEOUT
                && self.disruptions.is_undisturbed()
                && self.vms[index].undisturbed_since.elapsed() > Duration::from_secs(4);
            match self.probe(index, version) {
                Some(true) => self.vms[index].observed_version = version,
                Some(false) if is_due => {
                    let name = &self.vms[index].name;
                    let ms = written.elapsed().as_millis();
                    self.ledger.report(format!(
                        "CONFIG: {name} lacks version {version} after {ms} ms"
                    ));
                }
                _ => {}
            }
        }
    }

    /// Waits until the newly started mesh serves all requests.
    pub fn wait_until_served(&mut self) {
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            std::thread::sleep(Duration::from_millis(500));
            let (ended, served) = self.ledger.take_counts();
            if ended > 0 && served == ended {
                return;
            }
        }
        self.ledger
            .report("START: the mesh did not serve all requests in time".to_owned());
    }

    /// Ends all faults and restarts the nodes and targets that do not run.
    ///
    /// # Errors
    /// A process cannot be started.
    pub fn heal(&mut self) -> Result<()> {
        self.store.set_fault(StoreFault::None);
        for vm in &mut self.vms {
            vm.set_proxies(Mode::Forward);
            vm.node.signal(Signal::Continue)?;
            if vm.node.exited().is_some() {
                vm.restart_node()?;
            }
            if vm.target.is_none() {
                vm.start_target(&self.ledger)?;
            }
        }
        self.disruptions.mark(Duration::ZERO);
        Ok(())
    }

    /// Checks that the mesh serves again after [`Testbed::heal`], and that the rollout of a bad
    /// version was rolled back by its deadline.
    pub fn check_recovery(&mut self) {
        std::thread::sleep(RECOVERY_TIME);
        self.ledger.take_counts();
        std::thread::sleep(RECOVERED_WINDOW);
        let (ended, served) = self.ledger.take_counts();
        if ended == 0 || served * 100 < ended * RECOVERED_PERCENT {
            self.ledger
                .report(format!("RECOVERY: {served} of {ended} requests are served"));
        }
        self.check_config();
        let Some((service, version, due)) = &self.rollout else {
            return;
        };
        let status = self.store.status("rollouts", service);
        if Instant::now() > *due && status["state"] != "rolled_back" {
            let state = &status["state"];
            self.ledger.report(format!(
                "ROLL-OUT: {service} {version} is {state} at its deadline"
            ));
        }
    }

    /// Stops all processes and returns the violations.
    #[must_use]
    pub fn finish(mut self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        for caller in self.callers.drain(..) {
            // What a caller has recorded counts also when it panicked later.
            let _ = caller.join();
        }
        self.vms.clear();
        self.ledger.finish()
    }
}

impl Vm {
    /// Returns the data centre of the VM.
    #[must_use]
    pub fn data_centre(&self) -> &'static str {
        self.options.site.data_centre
    }

    /// Returns the region of the VM.
    #[must_use]
    pub fn region(&self) -> &'static str {
        self.options.site.region
    }

    /// Returns the address on which the node accepts links of other nodes.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.addresses.peers
    }

    /// Returns the address on which the node accepts heartbeats.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.addresses.control
    }

    /// Returns the address of the node's readiness check.
    #[must_use]
    pub fn ready(&self) -> SocketAddr {
        self.addresses.ready
    }

    /// Returns the address that the target announces.
    #[must_use]
    pub fn announced(&self) -> SocketAddr {
        self.addresses.announced(&self.options)
    }

    fn start(
        options: VmOptions,
        programs: &Programs,
        store: SocketAddr,
        ledger: &Arc<Ledger>,
    ) -> Result<Self> {
        let addresses = Addresses::choose()?;
        let store_proxy = Proxy::start(addresses.store, store)?;
        let target_proxy = Proxy::start(addresses.announced, addresses.target)?;
        let link_proxy = Proxy::start(addresses.advertised, addresses.peers)?;
        let node = start_node(&options, &addresses, &programs.hemlockfall)?;
        let mut vm = Self {
            name: options.name.clone(),
            node,
            callers: addresses.callers,
            metrics: addresses.metrics,
            service: options.service,
            options,
            addresses,
            program: programs.hemlockfall.clone(),
            version: "v1".to_owned(),
            target: None,
            store_proxy,
            target_proxy,
            link_proxy,
            node_starts: Arc::default(),
            target_starts: 0,
            fails_permille: 0,
            observed_version: 0,
            undisturbed_since: Instant::now(),
        };
        vm.start_target(ledger)?;
        Ok(vm)
    }

    /// Starts a node with another name at the addresses of the current node, which must have ended.
    /// This happens when a new VM gets the address of a removed one.
    ///
    /// # Errors
    /// [`Error::Process`] when it cannot be started.
    pub fn replace_node(&mut self, name: &str) -> Result<()> {
        name.clone_into(&mut self.options.name);
        name.clone_into(&mut self.name);
        self.observed_version = 0;
        self.undisturbed_since = Instant::now();
        self.node = start_node(&self.options, &self.addresses, &self.program)?;
        Ok(())
    }

    /// Starts the next incarnation of the target.
    ///
    /// # Errors
    /// [`Error::Resource`] when the address cannot be bound.
    pub fn start_target(&mut self, ledger: &Arc<Ledger>) -> Result<()> {
        self.target_starts += 1;
        let options = TargetOptions {
            instance: format!("i-{}-{}", self.name, self.target_starts),
            service: self.service.to_owned(),
            version: self.version.clone(),
            address: self.addresses.target,
            announced: self.addresses.announced(&self.options),
            control: self.addresses.control,
            heartbeat: HEARTBEAT,
            run_time: self.options.run_time,
            slots: self.options.slots,
            fails_permille: self.fails_permille,
            connection_behaviour: self.options.connection_behaviour,
        };
        let ledger = Arc::clone(ledger);
        let observer: RunObserver = Arc::new(move |run| ledger.record_run(&run));
        let target = Target::start(options, observer)
            .map_err(|error| Error::resource(self.addresses.target.to_string(), error))?;
        self.target = Some(target);
        Ok(())
    }

    /// Replaces the target by one of a version that fails most requests.
    ///
    /// # Errors
    /// [`Error::Resource`] when the address cannot be bound.
    pub fn start_bad_version(&mut self, version: &str, ledger: &Arc<Ledger>) -> Result<()> {
        self.target = None;
        version.clone_into(&mut self.version);
        self.fails_permille = 600;
        self.start_target(ledger)
    }

    /// Kills the node and starts it again, without any state of the old process.
    ///
    /// # Errors
    /// [`Error::Process`] when it cannot be started.
    pub fn restart_node(&mut self) -> Result<()> {
        self.observed_version = 0;
        self.undisturbed_since = Instant::now();
        self.node_starts.fetch_add(1, Ordering::SeqCst);
        self.node.restart()
    }

    /// Ends the target abruptly and starts it again under the id that it had.
    ///
    /// # Errors
    /// The address is in use.
    pub fn restart_target(&mut self, ledger: &Arc<Ledger>) -> Result<()> {
        self.target = None;
        self.target_starts -= 1;
        self.start_target(ledger)
    }

    /// Changes the mode of all proxies around the node.
    pub fn set_proxies(&self, mode: Mode) {
        for proxy in [&self.store_proxy, &self.target_proxy, &self.link_proxy] {
            proxy.set_mode(mode);
        }
    }
}
