//! `--phantoms`: nodes receive the records of many nodes that do not run, so that memory and
//! processor time are measured with a membership table of the planned size.
//!
//! As nothing answers the probes of these nodes, their records become failed one after the other.
//! The processor time is therefore an upper bound.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::thread;
use std::time::Duration;

use hemlockfall::wire::ControlMessage;
use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::endpoint::TargetInfo;
use hemlockfall_membership::message::Message;
use hemlockfall_membership::message::Updates;
use serde_json::Map;
use serde_json::Value;

use crate::bench::distribute::catalogue::SERVICES;
use crate::bench::distribute::figures::Usage;
use crate::bench::distribute::fleet::LOCATIONS;
use crate::bench::distribute::fleet::Mode;
use crate::bench::distribute::fleet::Setup;
use crate::bench::distribute::measure;
use crate::bench::distribute::observe;

const RECORDS_PER_DATAGRAM: usize = 12;
const DATAGRAM_INTERVAL: Duration = Duration::from_millis(2);
const SETTLE_TIME: Duration = Duration::from_secs(10);
const MEASUREMENT_TIME: Duration = Duration::from_secs(15);
/// Ports and hosts of loopback addresses on which nothing listens.
const FIRST_PORT: u16 = 2_000;
const PORTS: usize = 1_000;
const FIRST_HOST: u8 = 10;

/// Measures nodes whose tables hold `phantoms` more records.
///
/// # Errors
/// A message if processes cannot be started or do not become ready.
pub fn run(setup: &Setup, phantoms: usize) -> Result<Map<String, Value>, String> {
    let fleet = measure::start_fleet(setup, Mode::Product)?;
    let socket = UdpSocket::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let records: Vec<EndpointRecord> = (0..phantoms).map(record).collect();
    for chunk in records.chunks(RECORDS_PER_DATAGRAM) {
        let updates = Updates {
            records: chunk.to_vec(),
            items: Vec::new(),
        };
        let message = ControlMessage::Membership(Message::Records { updates });
        let content = message.encode().map_err(|error| error.to_string())?;
        for node in &fleet.nodes {
            socket
                .send_to(&content, node.peer_address)
                .map_err(|error| error.to_string())?;
        }
        thread::sleep(DATAGRAM_INTERVAL);
    }
    thread::sleep(SETTLE_TIME);
    let first = observe::samples(&fleet);
    thread::sleep(MEASUREMENT_TIME);
    let last = observe::samples(&fleet);
    let pairs = first.iter().zip(&last);
    let usages: Vec<Usage> = pairs.map(|(a, b)| Usage::between(a, b)).collect();
    let usage = Usage::mean(usages.iter());
    let members: Vec<usize> = fleet.nodes.iter().map(observe::members).collect();
    let mut figures = Map::new();
    let mut add = |key: &str, value: Value| {
        figures.insert(key.to_owned(), value);
    };
    add("nodes", setup.nodes.into());
    add("phantoms", phantoms.into());
    add("least_members_known", members.iter().min().copied().into());
    add("cpu_percent_per_node", usage.processor_percent.into());
    add("control_bytes_per_s_per_node", usage.bytes_per_s.into());
    add("rss_mb_per_node", usage.resident_mb.into());
    Ok(figures)
}

fn record(index: usize) -> EndpointRecord {
    let (region, data_centre) = LOCATIONS[index % LOCATIONS.len()];
    let host = FIRST_HOST.saturating_add(u8::try_from(index / PORTS).unwrap_or(u8::MAX));
    let port = FIRST_PORT.saturating_add(u16::try_from(index % PORTS).unwrap_or(0));
    let service = index % usize::try_from(SERVICES).unwrap_or(1);
    EndpointRecord {
        node: format!("phantom-{index:05}").into(),
        peer_address: SocketAddr::from(([127, 0, host, 1], port)),
        region: region.into(),
        data_centre: data_centre.into(),
        incarnation: 1_790_000_000_000,
        sequence: 2,
        state: EndpointState::Ready,
        target: Some(TargetInfo {
            service: format!("service-{service:03}").into(),
            version: "v1".into(),
            slots: 12,
            ready_unix_ms: 1_790_000_000_000,
        }),
        revision: 300,
    }
}
