//! Observation of nodes with little load on them: process statistics of the kernel and the
//! metrics page at both ends of a window, and the log after the run.

use std::time::Instant;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_membership::roles;
use serde_json::Value;

use crate::bench::distribute::fleet::Fleet;
use crate::bench::distribute::fleet::STORE_REGION;
use crate::harness::node;
use crate::harness::node::NodeSpec;
use crate::http;

/// Clock ticks per second in which the kernel reports processor time.
const TICKS_PER_S: f64 = 100.0;
const PAGE_BYTES: f64 = 4096.0;
/// Positions of user and system time in `/proc/ID/stat`, counted from the field after the name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

const SENT_METRIC: &str = "hemlockfall_control_sent_bytes_total";
const SENT_TO_REGIONS_METRIC: &str = "hemlockfall_control_sent_to_regions_bytes_total";

/// State of one node at a time.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time of the sample.
    pub at: Instant,
    /// Processor time used so far, in seconds.
    pub processor_s: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
    /// Control bytes sent so far.
    pub sent_bytes: f64,
    /// Part of these bytes that was sent to other regions.
    pub region_bytes: f64,
}

/// Role of a node; of several roles, the one with the highest load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// No other role.
    Member,
    /// Watches the store.
    Watcher,
    /// Relay of a data centre.
    Relay,
    /// Relay of a region.
    RegionRelay,
}

impl Role {
    /// Returns the name used in the figures.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Member => "member",
            Self::Watcher => "watcher",
            Self::Relay => "relay",
            Self::RegionRelay => "region_relay",
        }
    }
}

/// Takes a sample of every node.
#[must_use]
pub fn samples(fleet: &Fleet) -> Vec<Sample> {
    (0..fleet.nodes.len())
        .map(|index| sample(fleet, index))
        .collect()
}

fn sample(fleet: &Fleet, index: usize) -> Sample {
    let page = metrics_page(&fleet.nodes[index]);
    let find = |name| node::find_metric(&page, name).unwrap_or(0.0);
    let id = fleet.process_id(index);
    Sample {
        at: Instant::now(),
        processor_s: processor_s(id).unwrap_or(0.0),
        resident_bytes: resident_bytes(id).unwrap_or(0.0),
        sent_bytes: find(SENT_METRIC),
        region_bytes: find(SENT_TO_REGIONS_METRIC),
    }
}

fn metrics_page(node: &NodeSpec) -> String {
    let url = format!("http://{}/metrics", node.local_address);
    let agent = http::agent(std::time::Duration::from_secs(5));
    http::exchange(&agent, "GET", &url, &[], b"").map_or_else(|_| String::new(), |r| r.text())
}

fn processor_s(id: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The process name is in parentheses and may contain spaces.
    let (_, fields) = text.rsplit_once(") ")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let time = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some((time(USER_TIME_FIELD)? + time(SYSTEM_TIME_FIELD)?) / TICKS_PER_S)
}

fn resident_bytes(id: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
    let pages: f64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Returns the revision and the Unix milliseconds of each log line `configuration in force`.
#[must_use]
pub fn in_force(log: &str) -> Vec<(u64, u64)> {
    let parse = |line: &str| {
        let value: Value = serde_json::from_str(line).ok()?;
        let revision = value.get("kv")?.get("revision")?.as_u64()?;
        Some((revision, value.get("timestamp")?.as_u64()?))
    };
    log.lines()
        .filter(|line| line.contains("configuration in force"))
        .filter_map(parse)
        .collect()
}

/// Reads the number of members in the table of a node.
#[must_use]
pub fn members(node: &NodeSpec) -> usize {
    let count = node.metric("hemlockfall_members");
    count
        .and_then(|count| format!("{count:.0}").parse().ok())
        .unwrap_or(0)
}

/// Computes the roles of all nodes as the nodes themselves do.
#[must_use]
pub fn roles_of(nodes: &[NodeSpec]) -> Vec<Role> {
    let records: Vec<EndpointRecord> = nodes.iter().map(record).collect();
    let role = |own: &EndpointRecord| {
        let others = records.iter().filter(|record| record.node != own.node);
        let roles = roles::compute(own, others, STORE_REGION);
        if roles.peers.region_relay_rank.is_some() {
            Role::RegionRelay
        } else if roles.is_relay {
            Role::Relay
        } else if roles.peers.is_watcher {
            Role::Watcher
        } else {
            Role::Member
        }
    };
    records.iter().map(role).collect()
}

fn record(node: &NodeSpec) -> EndpointRecord {
    EndpointRecord {
        node: node.name.as_str().into(),
        peer_address: node.peer_address,
        region: node.region.as_str().into(),
        data_centre: node.data_centre.as_str().into(),
        incarnation: 1,
        sequence: 0,
        state: EndpointState::Starting,
        target: None,
        revision: 0,
    }
}
