//! Measures the time of the decisions on one request: routing and choice of a target at the entry
//! node, and admission at the target's node.
//!
//! `cargo run --release -p hemlockfall-request --example timing`

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::catalogue::Class;
use hemlockfall_core::catalogue::Configuration;
use hemlockfall_core::catalogue::Limits;
use hemlockfall_core::catalogue::Route;
use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::endpoint::TargetInfo;
use hemlockfall_request::admission::Admission;
use hemlockfall_request::admission::AdmissionRequest;
use hemlockfall_request::balance::Place;
use hemlockfall_request::call::Attempt;
use hemlockfall_request::call::Call;
use hemlockfall_request::call::CallAction;
use hemlockfall_request::call::CallRequest;
use hemlockfall_request::clock::Now;
use hemlockfall_request::options::Options;
use hemlockfall_request::outcome::AttemptResult;
use hemlockfall_request::outcome::Reason;
use hemlockfall_request::router::Router;
use uuid::Uuid;

const SERVICES: usize = 310;
const TARGETS: usize = 9_000;
const REQUESTS: u32 = 300_000;

fn main() -> Result<(), Reason> {
    let now = Now {
        at: Instant::now(),
        unix_ms: 1_800_000_000_000,
    };
    let mut router = router(now);
    measure_calls("repeatable request", "/stock/7", &mut router, now)?;
    measure_calls("request with a key", "/orders/7", &mut router, now)?;
    measure_admission(now);
    Ok(())
}

fn measure_calls(name: &str, path: &str, router: &mut Router, now: Now) -> Result<(), Reason> {
    let hosts: Vec<String> = (0..SERVICES).map(service_name).collect();
    let mut slowest = Duration::ZERO;
    // The first pass builds the pools, which happens after a change and not per request.
    for host in &hosts {
        run_call(host, path, 0, router, now)?;
    }
    let started = Instant::now();
    for number in 0..REQUESTS {
        let host = &hosts[number as usize % SERVICES];
        let before = Instant::now();
        run_call(host, path, u128::from(number), router, now)?;
        slowest = slowest.max(before.elapsed());
    }
    let mean = started.elapsed() / REQUESTS;
    println!("{name}: start to answer {mean:?} mean, {slowest:?} longest");
    Ok(())
}

fn run_call(
    host: &str,
    path: &str,
    number: u128,
    router: &mut Router,
    now: Now,
) -> Result<(), Reason> {
    let request = CallRequest {
        request_id: Uuid::from_u128(number),
        host,
        path,
        timeout_ms: None,
        is_retry: false,
        key: None,
        fingerprint: None,
    };
    let (mut call, actions) = Call::start(&request, router, |_, _, _| 1_000, now)?;
    let attempt = actions
        .iter()
        .find_map(as_attempt)
        .ok_or(Reason::NoTarget)?;
    let result = AttemptResult::Answered { is_failure: false };
    black_box(call.attempt_ended(attempt.attempt_id, result, router, now));
    Ok(())
}

fn as_attempt(action: &CallAction) -> Option<&Attempt> {
    match action {
        CallAction::SendAttempt(attempt) => Some(attempt),
        CallAction::Fence { .. }
        | CallAction::Cancel { .. }
        | CallAction::AnswerCaller(_)
        | CallAction::Log(_) => None,
    }
}

fn measure_admission(now: Now) {
    let mut admission = Admission::new(1, 12, &Options::default());
    let started = Instant::now();
    for number in 0..REQUESTS {
        let request = AdmissionRequest {
            attempt_id: Uuid::from_u128(u128::from(number)),
            incarnation: 1,
            class: Class::Normal,
            deadline: now.at + Duration::from_secs(2),
        };
        black_box(admission.admit(&request, now));
        black_box(admission.finished(request.attempt_id, now));
    }
    println!(
        "admission: offer and end {:?} mean",
        started.elapsed() / REQUESTS
    );
}

fn router(now: Now) -> Router {
    let place = Place {
        node: "node-0".into(),
        region: "region-0".into(),
        data_centre: "centre-0".into(),
    };
    let mut router = Router::new(place, Options::default(), 1);
    let mut entries: Vec<ServiceEntry> = (0..SERVICES).map(entry).collect();
    entries.sort_by(|a, b| a.service.cmp(&b.service));
    router.set_configuration(Arc::new(Configuration {
        revision: 1,
        entries,
    }));
    let started = Instant::now();
    for index in 0..TARGETS {
        router.set_endpoint(&record(index), now);
    }
    println!("endpoint table of {TARGETS}: {:?}", started.elapsed());
    router
}

fn service_name(index: usize) -> String {
    format!("service-{index}")
}

fn entry(index: usize) -> ServiceEntry {
    let route = |name: &str, path_prefix: &str, repeatable: bool| Route {
        name: name.into(),
        path_prefix: path_prefix.into(),
        repeatable,
        timeout_ms: 2_000,
        version: None,
        depends_on: Vec::new(),
    };
    ServiceEntry {
        service: service_name(index).into(),
        owner: "timing".into(),
        class: Class::Normal,
        active_version: "v1".into(),
        versions: vec!["v1".into()],
        rejected_versions: Vec::new(),
        routes: vec![
            route("orders", "/orders", false),
            route("stock", "/stock", true),
        ],
        limits: Limits::default(),
        move_state: None,
        changed_revision: 1,
    }
}

fn record(index: usize) -> EndpointRecord {
    let centre = index / SERVICES % 7;
    EndpointRecord {
        node: format!("node-{index}").into(),
        peer_address: ([127, 0, 0, 1], 7_000).into(),
        region: format!("region-{}", centre % 3).into(),
        data_centre: format!("centre-{centre}").into(),
        incarnation: 1,
        sequence: 1,
        state: EndpointState::Ready,
        target: Some(TargetInfo {
            service: service_name(index % SERVICES).into(),
            version: "v1".into(),
            slots: 12,
            ready_unix_ms: 0,
        }),
        revision: 1,
    }
}
