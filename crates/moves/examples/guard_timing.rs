//! Measures the time that a move (rollout) adds to each request: the guard's choice of the
//! version, the look-up of the version's side and the handling of the attempt's result. Every
//! service has an active move.
//!
//! `cargo run --release -p hemlockfall-moves --example guard_timing`

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::catalogue::edit::Author;
use hemlockfall_core::catalogue::edit::Edit;
use hemlockfall_core::catalogue::file::CatalogueFile;
use hemlockfall_core::errors::Result;
use hemlockfall_moves::guard::AttemptResult;
use hemlockfall_moves::guard::Outcome;
use hemlockfall_moves::guard::Side;
use hemlockfall_moves::node_moves::Input;
use hemlockfall_moves::node_moves::NodeMoves;
use hemlockfall_moves::options::Options;
use uuid::Uuid;

const SERVICES: usize = 310;
const REQUESTS: u32 = 1_000_000;
const START_UNIX_MS: u64 = 1_800_000_000_000;

fn main() -> Result<()> {
    let mut node_moves = NodeMoves::new("node-1".into(), "east".into(), Options::default());
    node_moves.handle(Input::Entries(entries()?), START_UNIX_MS);
    let names: Vec<String> = (0..SERVICES).map(name).collect();
    let at = |number: u32| START_UNIX_MS + u64::from(number / 1_000);
    let service = |number: u32| names[number as usize % SERVICES].as_str();
    measure("permission of the guard", |number| {
        black_box(node_moves.permit(service(number), "orders", true, at(number)));
    });
    measure("side of the version", |number| {
        black_box(node_moves.side(service(number), "orders", "v2"));
    });
    measure("side without a move", |_| {
        black_box(node_moves.side("filmstore", "orders", "v1"));
    });
    measure("result of an attempt", |number| {
        let result = AttemptResult {
            service: service(number).into(),
            route: "orders".into(),
            side: if number.is_multiple_of(2) {
                Side::Old
            } else {
                Side::New
            },
            outcome: Outcome::Succeeded,
            latency_ms: number % 20,
            cold: false,
        };
        black_box(node_moves.handle(Input::Attempt(result), at(number)));
    });
    Ok(())
}

fn measure(what: &str, mut step: impl FnMut(u32)) {
    let mut slowest = Duration::ZERO;
    for number in 0..REQUESTS / 10 {
        let before = Instant::now();
        step(number);
        slowest = slowest.max(before.elapsed());
    }
    let started = Instant::now();
    for number in 0..REQUESTS {
        step(number);
    }
    let mean = started.elapsed() / REQUESTS;
    println!("{what}: {mean:?} mean, {slowest:?} longest");
}

fn name(index: usize) -> String {
    format!("service-{index:03}")
}

fn entries() -> Result<Vec<ServiceEntry>> {
    let mut catalogue = StoredCatalogue::default();
    for index in 0..SERVICES {
        for version in ["v1", "v2"] {
            let text = format!(
                "[[service]]\nname = \"{}\"\nowner = \"delivery\"\nversion = \"{version}\"\n\
                 [[service.route]]\nname = \"orders\"\npath_prefix = \"/orders\"\n\
                 [[service.route]]\nname = \"stock\"\npath_prefix = \"/stock\"\n",
                name(index)
            );
            let author = Author {
                operation_id: Uuid::from_u128(catalogue.configuration.revision.into()),
                who: "timing".into(),
                at_unix_ms: START_UNIX_MS,
            };
            for file in CatalogueFile::parse("timing", &text)?.service {
                catalogue = Edit::Apply(Box::new(file)).apply(&catalogue, &author)?;
            }
        }
    }
    Ok(catalogue.configuration.entries)
}
