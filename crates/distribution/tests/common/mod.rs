//! Valid configurations and member lists for tests.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockfall_core::catalogue::Class;
use hemlockfall_core::catalogue::Configuration;
use hemlockfall_core::catalogue::Limits;
use hemlockfall_core::catalogue::ServiceEntry;
use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::peers::Peers;
use hemlockfall_distribution::reader::StoreResult;

pub const TICK: Duration = Duration::from_millis(100);

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + u16::try_from(index).expect("small")))
}

pub fn entry(service: &str, owner: &str) -> ServiceEntry {
    ServiceEntry {
        service: service.into(),
        owner: owner.into(),
        class: Class::Normal,
        active_version: "v1".into(),
        versions: vec!["v1".into()],
        rejected_versions: Vec::new(),
        routes: Vec::new(),
        limits: Limits::default(),
        move_state: None,
        changed_revision: 1,
    }
}

/// Returns a valid configuration whose content differs between revisions.
pub fn configuration(revision: u64) -> Configuration {
    let names = ["a", "b", "c", "d", "e", "f"];
    let kept = names.iter().enumerate().filter(|(index, _)| {
        let index = u64::try_from(*index).expect("small");
        index == 0 || !revision.is_multiple_of(index + 2)
    });
    Configuration {
        revision,
        entries: kept
            .map(|(_, name)| entry(name, &format!("team-{}", revision / 2)))
            .collect(),
    }
}

pub fn stored(revision: u64) -> StoreResult {
    StoreResult::Read(Box::new(StoredCatalogue {
        configuration: configuration(revision),
        changes: Vec::new(),
    }))
}

/// Returns the member lists of one data centre with `count` nodes; the first two watch the store.
pub fn one_data_centre(count: usize) -> Vec<Peers> {
    (0..count)
        .map(|index| {
            let others: Vec<_> = (0..count).filter(|i| *i != index).map(address).collect();
            let mut witnesses = others.clone();
            witnesses.rotate_left(index % others.len().max(1));
            Peers {
                members: others,
                witnesses,
                is_watcher: index < 2,
                in_store_region: true,
                ..Peers::default()
            }
        })
        .collect()
}
