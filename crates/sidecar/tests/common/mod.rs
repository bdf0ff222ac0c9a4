//! Fixtures shared by several test files.

#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::time::Duration;

use hemlockfall_http::http::HttpRequest;
use hemlockfall_sidecar::clock::Time;
use hemlockfall_sidecar::model::CallerLimits;
use hemlockfall_sidecar::model::Heartbeat;
use hemlockfall_sidecar::model::Idempotency;
use hemlockfall_sidecar::model::MeshConfig;
use hemlockfall_sidecar::model::Route;
use hemlockfall_sidecar::model::TargetState;
use hemlockfall_sidecar::model::WeightedService;

/// Returns the time that is a number of milliseconds after the VM started.
pub fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

pub fn route(name: &str, path_prefix: &str, services: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: "shop.example".into(),
        path_prefix: path_prefix.into(),
        idempotency: Idempotency::Idempotent,
        timeout: Duration::from_millis(800),
        target_latency: Duration::from_millis(300),
        max_attempts: 2,
        priority: 1,
        services: services
            .iter()
            .map(|(service, weight)| WeightedService {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
        allowed_regions: Vec::new(),
        is_public: false,
    }
}

pub fn config(version: u64, mut routes: Vec<Route>) -> MeshConfig {
    routes.sort_by(|a, b| a.name.cmp(&b.name));
    MeshConfig {
        version,
        routes,
        services: Vec::new(),
        limits: CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 1_048_576,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        accounts: None,
    }
}

pub fn heartbeat(
    instance: &str,
    started_unix_ms: u64,
    sequence: u64,
    state: TargetState,
) -> Heartbeat {
    Heartbeat {
        instance: instance.into(),
        started_unix_ms,
        sequence,
        service: "desk".into(),
        version: "v1".into(),
        address: "127.0.0.1:8080".parse().expect("the address is valid"),
        slots: 12,
        state,
        cold_remaining: Duration::ZERO,
    }
}

pub fn request(path: &str, body: &[u8]) -> HttpRequest {
    HttpRequest {
        method: "GET".into(),
        target: path.into(),
        headers: Vec::new(),
        body: body.to_vec(),
    }
}
