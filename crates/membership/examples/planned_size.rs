//! Prints the size of messages and the time of computations for a table of a given number of nodes.
//!
//! `cargo run --release -p hemlockfall-membership --example planned_size -- 9000`

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::endpoint::TargetInfo;
use hemlockfall_membership::message::Message;
use hemlockfall_membership::roles;
use hemlockfall_membership::table::BUCKETS;
use hemlockfall_membership::table::Table;

const DEFAULT_NODES: usize = 9_000;
const SERVICES: usize = 310;
const PLACES: [(&str, &str); 7] = [
    ("region-a", "a1"),
    ("region-b", "b1"),
    ("region-c", "c1"),
    ("region-a", "a2"),
    ("region-b", "b2"),
    ("region-c", "c2"),
    ("region-a", "a3"),
];
const DEPARTED: Duration = Duration::from_mins(10);
const FIRST_PORT: usize = 10_000;

fn record(index: usize) -> EndpointRecord {
    let (region, data_centre) = PLACES[index % PLACES.len()];
    let host = u8::try_from(index / 50_000).unwrap_or(0);
    let port = u16::try_from(FIRST_PORT + index % 50_000).unwrap_or(u16::MAX);
    EndpointRecord {
        node: format!("node-{index:05}").into(),
        peer_address: SocketAddr::from(([10, 0, 0, host], port)),
        region: region.into(),
        data_centre: data_centre.into(),
        incarnation: 1_790_000_000_000 + u64::try_from(index).unwrap_or(0) * 7_919,
        sequence: 2,
        state: EndpointState::Ready,
        target: Some(TargetInfo {
            service: format!("service-{:03}", index % SERVICES).into(),
            version: "v1".into(),
            slots: 12,
            ready_unix_ms: 1_790_000_000_000 + u64::try_from(index).unwrap_or(0) * 6_841,
        }),
        revision: 300,
    }
}

fn encoded_bytes(message: &Message) -> usize {
    message.encode().map_or(0, |bytes| bytes.len())
}

fn timed(what: &str, run: impl FnOnce()) {
    let begun = Instant::now();
    run();
    println!("{what}: {:?}", begun.elapsed());
}

fn main() {
    let argument = std::env::args().nth(1);
    let count = argument
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_NODES);
    let records: Vec<EndpointRecord> = (0..count).map(record).collect();
    let now = Instant::now();
    let mut table = Table::new(DEPARTED);
    timed("merge of the whole table", || {
        for record in &records[1..] {
            table.merge(record, now);
        }
    });
    let relay = (0..count).find(|index| {
        let others = records.iter().filter(|other| **other != records[*index]);
        index % 7 == 0 && roles::compute(&records[*index], others, "region-a").is_relay
    });
    let relay = &records[relay.unwrap_or(0)];
    let others = || records.iter().filter(|other| other.node != relay.node);
    timed("roles of a relay", || {
        let _ = roles::compute(relay, others(), "region-a");
    });
    timed("digests of the table", || {
        let _ = table.digests_with(&records[0]);
    });
    let joined = Message::Joined {
        records: records.clone(),
    };
    timed("encoding of the whole table", || {
        println!("whole table: {} bytes", encoded_bytes(&joined));
    });
    let bucket = table.records_in_buckets(1);
    println!("records of one bucket: {}", bucket.len());
    let reply = Message::BucketsReply {
        buckets: 1,
        records: bucket,
    };
    println!("one bucket: {} bytes", encoded_bytes(&reply));
    let digests = Message::Buckets {
        digests: table.digests_with(&records[0]),
    };
    println!("{BUCKETS} digests: {} bytes", encoded_bytes(&digests));
    let one = Message::BucketsReply {
        buckets: 0,
        records: records[..1].to_vec(),
    };
    println!("one record: {} bytes", encoded_bytes(&one));
}
