//! Endpoint records for tests.

use std::net::SocketAddr;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::endpoint::TargetInfo;

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + u16::try_from(index).expect("small")))
}

pub fn target() -> TargetInfo {
    TargetInfo {
        service: "order-desk".into(),
        version: "v1".into(),
        slots: 12,
        ready_unix_ms: 1,
    }
}

pub fn record(index: usize, region: &str, data_centre: &str) -> EndpointRecord {
    EndpointRecord {
        node: format!("node-{index}").into(),
        peer_address: address(index),
        region: region.into(),
        data_centre: data_centre.into(),
        incarnation: 1_000,
        sequence: 0,
        state: EndpointState::Starting,
        target: None,
        revision: 0,
    }
}
