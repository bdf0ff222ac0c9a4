//! Fixtures shared by the tests of this crate.

use std::sync::Arc;
use std::time::Instant;

use hemlockfall_core::catalogue::Configuration;
use hemlockfall_core::catalogue::Limits;
use hemlockfall_core::catalogue::Route;
use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::endpoint::TargetInfo;
use hemlockfall_request::balance::Place;
use hemlockfall_request::clock::Now;
use hemlockfall_request::options::Options;
use hemlockfall_request::router::Router;

pub const START_UNIX_MS: u64 = 1_800_000_000_000;

pub fn start() -> Now {
    Now {
        at: Instant::now(),
        unix_ms: START_UNIX_MS,
    }
}

pub fn route(name: &str, path_prefix: &str, repeatable: bool) -> Route {
    Route {
        name: name.into(),
        path_prefix: path_prefix.into(),
        repeatable,
        timeout_ms: 2_000,
        version: None,
        depends_on: Vec::new(),
    }
}

pub fn entry(service: &str) -> ServiceEntry {
    ServiceEntry {
        service: service.into(),
        owner: "tests".into(),
        class: hemlockfall_core::catalogue::Class::Normal,
        active_version: "v1".into(),
        versions: vec!["v1".into(), "v2".into()],
        rejected_versions: Vec::new(),
        routes: vec![
            route("orders", "/orders", false),
            route("root", "/", true),
            route("stock", "/stock", true),
        ],
        limits: Limits::default(),
        move_state: None,
        changed_revision: 1,
    }
}

pub fn configuration(entries: Vec<ServiceEntry>) -> Arc<Configuration> {
    Arc::new(Configuration {
        revision: 1,
        entries,
    })
}

pub fn record(node: &str, service: &str, region: &str, data_centre: &str) -> EndpointRecord {
    EndpointRecord {
        node: node.into(),
        peer_address: ([127, 0, 0, 1], 7_000).into(),
        region: region.into(),
        data_centre: data_centre.into(),
        incarnation: 1,
        sequence: 1,
        state: EndpointState::Ready,
        target: Some(TargetInfo {
            service: service.into(),
            version: "v1".into(),
            slots: 2,
            ready_unix_ms: START_UNIX_MS - 3_600_000,
        }),
        revision: 1,
    }
}

pub fn router(node: &str, seed: u64) -> Router {
    let place = Place {
        node: node.into(),
        region: "east".into(),
        data_centre: "east-1".into(),
    };
    let mut router = Router::new(place, Options::default(), seed);
    router.set_configuration(configuration(vec![entry("desk")]));
    router
}

pub fn router_with(node: &str, seed: u64, targets: usize, now: Now) -> Router {
    let mut router = router(node, seed);
    for index in 0..targets {
        let name = format!("n{index}");
        router.set_endpoint(&record(&name, "desk", "east", "east-1"), now);
    }
    router
}
