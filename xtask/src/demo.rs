//! `cargo xtask demo`: runs a small installation for less than a minute, with a killed VM and the
//! rollout of a new version, and checks the guarantees.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use gumdrop::Options;
use hemlockfall_core::units::duration_ms;
use serde::Serialize;

use crate::audit::Audit;
use crate::caller;
use crate::caller::CallerReport;
use crate::caller::KeyMode;
use crate::caller::RequestKind;
use crate::errors::Error;
use crate::errors::Result;
use crate::harness::Cluster;
use crate::harness::StoreLimits;
use crate::harness::calls;
use crate::harness::programs::Programs;
use crate::harness::target::TargetSpec;
use crate::harness::wait;

/// Time limit of the demo's steps; the demo must end within 60 s, and the remaining time is for
/// stopping its processes.
const TIME_LIMIT: Duration = Duration::from_secs(55);
/// Longest convergence time that the design page allows (invariant I10).
const CONVERGENCE_BOUND: Duration = Duration::from_secs(7);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(25);
const REQUESTS_PER_CALLER: usize = 1_200;
const RATE_PER_CALLER_PER_S: u64 = 80;
const RESENDS: usize = 2;
const KILLED_VM: &str = "vm-2";
const LOG_LINES: usize = 3;

/// Requests per route that must all be answered before the callers start.
const PROBES: usize = 20;
/// Node, region, data centre, service and slots of each VM: both deployments of the design page,
/// with fewer VMs, in one mesh of two regions.
const VMS: [(&str, &str, &str, &str, u16); 12] = [
    ("vm-1", "west", "west-1", "order-desk", 12),
    ("vm-2", "west", "west-1", "order-desk", 12),
    ("vm-3", "west", "west-1", "jobdesk", 6),
    ("vm-4", "west", "west-2", "order-desk", 12),
    ("vm-5", "west", "west-2", "catalogue-feed", 12),
    ("vm-6", "west", "west-2", "filmstore", 6),
    ("vm-7", "east", "east-1", "order-desk", 12),
    ("vm-8", "east", "east-1", "jobdesk", 6),
    ("vm-9", "east", "east-1", "catalogue-feed", 12),
    ("vm-10", "east", "east-2", "jobdesk", 6),
    ("vm-11", "east", "east-2", "filmstore", 6),
    ("vm-12", "east", "east-2", "catalogue-feed", 12),
];
const NEW_VMS: [(&str, &str, &str, &str, u16); 2] = [
    ("vm-13", "west", "west-2", "order-desk", 12),
    ("vm-14", "east", "east-2", "order-desk", 12),
];
/// Service, path, whether its requests are idempotent, and services that it calls.
type RouteEntry = (&'static str, &'static str, bool, &'static str);

const ROUTES: [RouteEntry; 4] = [
    ("catalogue-feed", "/prices", true, ""),
    ("order-desk", "/orders", false, "\"catalogue-feed\""),
    ("filmstore", "/film", true, ""),
    ("jobdesk", "/cuts", false, "\"filmstore\""),
];
/// Duration of the move (rollout) to the new version; it ends within the demo.
const MOVE_FINISH_IN_S: u32 = 15;

/// Options of the demo.
#[derive(Clone, Debug, Options)]
pub struct DemoOptions {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Seed of the callers' keys.
    #[options(default = "1", meta = "N", help = "seed of the callers' keys")]
    pub seed: u64,
}

/// Last line of the demo's output.
#[derive(Clone, Debug, Default, Serialize)]
struct DemoReport {
    #[serde(flatten)]
    audit: Audit,
    nodes: usize,
    converged_ms: Option<u64>,
    answers_by_new_version: usize,
    runs: usize,
    store_reads: u64,
    store_writes: u64,
    duration_ms: u64,
    error: Option<String>,
}

struct Demo {
    cluster: Cluster,
    started_at: Instant,
    report: DemoReport,
}

/// Runs the demo and prints the report as its last line.
///
/// # Errors
/// [`Error::Unmet`] when a guarantee was violated, any other error when a step failed.
pub fn run(options: &DemoOptions) -> Result<()> {
    let started_at = Instant::now();
    let mut demo = Demo {
        cluster: Cluster::new(Programs::locate()?, "")?,
        started_at,
        report: DemoReport::default(),
    };
    let result = demo
        .run_steps(options.seed)
        .and_then(|()| demo.check_report());
    if let Err(error) = &result {
        eprintln!("{}", demo.cluster.log_tails(LOG_LINES));
        demo.report.error = Some(error.to_string());
    }
    demo.report.duration_ms = duration_ms(started_at.elapsed());
    let line = serde_json::to_string(&demo.report)
        .map_err(|error| Error::resource("demo report", error))?;
    println!("{line}");
    result
}

impl Demo {
    fn run_steps(&mut self, seed: u64) -> Result<()> {
        self.print_step("starting the store, 12 nodes and their targets");
        self.cluster.start_store(StoreLimits::default())?;
        self.start_vms(&VMS, "v1")?;
        self.apply("v1")?;
        self.print_step(
            "waiting until every kind of request is answered; keys take 10 s after the start",
        );
        self.wait_answers()?;
        let callers = self.start_callers(seed)?;
        self.wait_runs(REQUESTS_PER_CALLER / 2)?;
        self.print_step(&format!("killing {KILLED_VM}, node and target"));
        self.cluster.kill_vm(KILLED_VM)?;
        self.wait_runs(REQUESTS_PER_CALLER)?;
        self.print_step("starting version v2 of order-desk on two new VMs");
        self.start_vms(&NEW_VMS, "v2")?;
        self.apply("v2")?;
        self.print_step("waiting for the callers");
        let mut reports = Vec::new();
        for name in &callers {
            let left = TIME_LIMIT.saturating_sub(self.started_at.elapsed());
            reports.push(self.cluster.finish_caller(name, left)?);
        }
        self.measure(&reports)
    }

    fn start_vms(&mut self, vms: &[(&str, &str, &str, &str, u16)], version: &str) -> Result<()> {
        for (node, region, data_centre, service, slots) in vms {
            self.cluster.start_node(node, region, data_centre)?;
            let name = format!("{node}-target");
            let mut target = TargetSpec::new(&name, Some(node), service, version);
            target.slots = *slots;
            self.cluster.start_target(target)?;
            self.report.nodes += 1;
        }
        Ok(())
    }

    /// Applies the entries one by one and measures the convergence time from each acceptance.
    fn apply(&mut self, order_desk_version: &str) -> Result<()> {
        for entry in entries(order_desk_version) {
            let service = entry.0;
            let file = self.write_catalogue(entry, order_desk_version)?;
            let before = self.cluster.node("vm-1")?.revision().unwrap_or(0);
            let applied = self.cluster.apply_catalogue(&file, "vm-1")?;
            if !applied.accepted {
                return Err(Error::process("catalogue apply", applied.output));
            }
            let accepted = Instant::now();
            self.wait_revision(order_desk_version, before + 1)?;
            let converged_ms = duration_ms(accepted.elapsed());
            self.print_step(&format!(
                "{service} {order_desk_version} in force on all nodes {converged_ms} ms after acceptance"
            ));
            self.report.converged_ms = self.report.converged_ms.max(Some(converged_ms));
        }
        Ok(())
    }

    fn wait_revision(&self, order_desk_version: &str, revision: u64) -> Result<()> {
        let nodes: Vec<_> = self
            .cluster
            .nodes()
            .iter()
            .filter(|node| order_desk_version == "v1" || node.name != KILLED_VM)
            .collect();
        wait::until("revision on all nodes", CONVERGENCE_BOUND, || {
            let behind = nodes.iter().filter(|node| node.revision() < Some(revision));
            let behind: Vec<&str> = behind.map(|node| node.name.as_str()).collect();
            behind.is_empty().then_some(()).ok_or(behind.join(", "))
        })
    }

    fn write_catalogue(&self, entry: RouteEntry, order_desk_version: &str) -> Result<PathBuf> {
        let name = format!("catalogue-{}-{order_desk_version}.toml", entry.0);
        let file = self.cluster.directory().join(name);
        std::fs::write(&file, catalogue(entry, order_desk_version))
            .map_err(|error| Error::resource(file.display().to_string(), error))?;
        Ok(file)
    }

    fn wait_answers(&self) -> Result<()> {
        let through = vec![self.cluster.node("vm-1")?.caller_address];
        // Nodes attest the state of keys only some time after their start, so the first requests
        // with a key after a cold start end as unknown.
        for (service, path, repeatable, _) in ROUTES {
            let kinds = vec![kind(service, path, repeatable)];
            let mut options = calls::options(through.clone(), kinds, PROBES);
            options.timeout_ms = 1_000;
            "probe".clone_into(&mut options.prefix);
            wait::until(&format!("answers from {service}"), ANSWER_TIMEOUT, || {
                let report =
                    caller::send_all(options.clone()).map_err(|error| error.to_string())?;
                let whole = report.sends.iter().all(|send| send.whole);
                whole.then_some(()).ok_or_else(|| format!("{report:?}"))
            })?;
        }
        Ok(())
    }

    fn start_callers(&mut self, seed: u64) -> Result<[String; 2]> {
        let through: Vec<_> = self
            .cluster
            .nodes()
            .iter()
            .map(|node| node.caller_address)
            .collect();
        let names = ["importers".to_owned(), "installers".to_owned()];
        for (index, name) in names.iter().enumerate() {
            let kinds = ROUTES[2 * index..2 * index + 2]
                .iter()
                .map(|(service, path, repeatable, _)| kind(service, path, *repeatable))
                .collect();
            let mut options = calls::options(through.clone(), kinds, REQUESTS_PER_CALLER);
            options.prefix.clone_from(name);
            options.rate_per_s = RATE_PER_CALLER_PER_S;
            options.resends = RESENDS;
            options.seed = seed.wrapping_add(index as u64);
            self.cluster.start_caller(name, &options)?;
        }
        self.print_step(&format!(
            "two callers send {} requests",
            2 * REQUESTS_PER_CALLER
        ));
        Ok(names)
    }

    fn wait_runs(&self, count: usize) -> Result<()> {
        let left = TIME_LIMIT.saturating_sub(self.started_at.elapsed());
        wait::until(&format!("{count} runs"), left, || {
            let runs = self.cluster.runs().map_err(|error| error.to_string())?;
            (runs.len() >= count)
                .then_some(())
                .ok_or_else(|| format!("{} runs", runs.len()))
        })
    }

    fn measure(&mut self, reports: &[CallerReport]) -> Result<()> {
        let runs = self.cluster.runs()?;
        let counters = self.cluster.counters()?;
        self.report.audit = Audit::of(reports, &runs);
        self.report.runs = runs.len();
        self.report.store_reads = counters.reads;
        self.report.store_writes = counters.writes;
        self.report.answers_by_new_version = reports
            .iter()
            .flat_map(|report| &report.sends)
            .filter(|send| send.version.as_deref() == Some("v2"))
            .count();
        Ok(())
    }

    fn check_report(&self) -> Result<()> {
        let audit = &self.report.audit;
        if !audit.is_clean() {
            return Err(Error::unmet(format!("a guarantee was broken: {audit:?}")));
        }
        if audit.answered_whole == 0 {
            return Err(Error::unmet("no request was answered"));
        }
        let bound_ms = duration_ms(CONVERGENCE_BOUND);
        if self
            .report
            .converged_ms
            .is_none_or(|converged_ms| converged_ms > bound_ms)
        {
            return Err(Error::unmet(format!("convergence within {bound_ms} ms")));
        }
        Ok(())
    }

    fn print_step(&self, text: &str) {
        println!("{:5.1} s  {text}", self.started_at.elapsed().as_secs_f32());
    }
}

fn kind(service: &str, path: &str, repeatable: bool) -> RequestKind {
    RequestKind {
        service: service.to_owned(),
        path: path.to_owned(),
        key: if repeatable {
            KeyMode::None
        } else {
            KeyMode::Unique
        },
    }
}

/// Returns the entries to apply: all of them for the first version, only that of `order-desk` for a
/// later one.
fn entries(version: &str) -> impl Iterator<Item = RouteEntry> {
    ROUTES
        .into_iter()
        .filter(move |(service, ..)| version == "v1" || *service == "order-desk")
}

fn catalogue((service, path, repeatable, depends_on): RouteEntry, version: &str) -> String {
    format!(
        "[[service]]\nname = \"{service}\"\nowner = \"demo\"\nversion = \"{version}\"\n\
         [service.move]\nfinish_in_s = {MOVE_FINISH_IN_S}\n\
         [[service.route]]\nname = \"main\"\npath_prefix = \"{path}\"\n\
         repeatable = {repeatable}\ndepends_on = [{depends_on}]\n"
    )
}
