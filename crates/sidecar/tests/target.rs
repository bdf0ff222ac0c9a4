//! Heartbeats and deregistrations of the target beside a node.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::at;
use common::heartbeat;
use hemlockfall_sidecar::model::TargetKey;
use hemlockfall_sidecar::model::TargetState::Draining;
use hemlockfall_sidecar::model::TargetState::Ready;
use hemlockfall_sidecar::target::HeartbeatOutcome;
use hemlockfall_sidecar::target::OwnTarget;
use hemlockfall_sidecar::target::is_foreign;
use quickcheck::quickcheck;

/// Guards against a late or repeated heartbeat that replaces a newer one.
#[test]
fn older_heartbeats_are_stale() {
    let mut target = OwnTarget::default();
    target.apply_heartbeat(heartbeat("a", 100, 5, Ready), at(0));

    let repeated = target.apply_heartbeat(heartbeat("a", 100, 5, Ready), at(1));
    let late = target.apply_heartbeat(heartbeat("a", 100, 4, Draining), at(2));
    let earlier_incarnation = target.apply_heartbeat(heartbeat("a", 90, 9, Ready), at(3));
    let earlier_target = target.apply_heartbeat(heartbeat("b", 80, 9, Ready), at(4));

    let stale = HeartbeatOutcome::Stale;
    assert_eq!(
        [repeated, late, earlier_incarnation, earlier_target],
        [stale; 4]
    );
    assert!(target.is_admitting());
}

/// Guards against new requests to a target that has begun to drain, also when a later heartbeat of
/// the same process reports it as ready.
#[test]
fn a_draining_target_never_becomes_ready_again_in_the_same_incarnation() {
    let mut target = OwnTarget::default();
    target.apply_heartbeat(heartbeat("a", 100, 1, Ready), at(0));

    let draining = target.apply_heartbeat(heartbeat("a", 100, 2, Draining), at(1));
    target.apply_heartbeat(heartbeat("a", 100, 3, Ready), at(2));

    assert_eq!(draining, HeartbeatOutcome::Draining);
    assert!(!target.is_admitting());
}

/// Guards against a restarted node that acknowledges the deregistration of a target from which it
/// has received no heartbeat, does not record it, and then accepts a late heartbeat of that target
/// (kmgw trouble-3, seed 242755065612).
#[test]
fn a_deregistration_before_the_first_heartbeat_is_kept() {
    let mut target = OwnTarget::default();

    target.deregister("a", None, 5_000);
    let late = target.apply_heartbeat(heartbeat("a", 100, 23, Ready), at(1));

    assert_eq!(late, HeartbeatOutcome::Stale);
    assert!(!target.is_admitting());
}

/// Guards against a restarted target that is refused because its earlier process was deregistered.
#[test]
fn a_target_that_starts_again_under_its_id_is_new() {
    let mut target = OwnTarget::default();
    target.apply_heartbeat(heartbeat("a", 100, 7, Ready), at(0));
    target.deregister("a", None, 5_000);

    let outcome = target.apply_heartbeat(heartbeat("a", 6_000, 1, Ready), at(1));

    assert_eq!(outcome, HeartbeatOutcome::Changed);
    assert!(target.is_admitting());
}

/// Guards against a target that stays in service at this process of the node although an earlier
/// process acknowledged its deregistration, as other nodes report.
#[test]
fn a_deregistration_from_others_applies_to_the_current_target() {
    let mut target = OwnTarget::default();
    target.apply_heartbeat(heartbeat("a", 100, 7, Ready), at(0));

    target.add_deregistered(TargetKey {
        instance: "a".into(),
        started_unix_ms: 100,
    });

    assert!(!target.is_admitting());
}

/// Guards against a node that takes the writer of a heartbeat for its target, although the settings
/// name another service or address.
#[test]
fn a_heartbeat_of_another_service_or_address_is_foreign() {
    let known = heartbeat("a", 100, 1, Ready);
    let (service, address) = (known.service.clone(), known.address);
    let elsewhere = SocketAddr::new(address.ip(), address.port() + 1);

    assert!(!is_foreign(&known, &service, address));
    assert!(is_foreign(&known, "another-service", address));
    assert!(is_foreign(&known, &service, elsewhere));
}

/// Guards against a target that counts as responsive although its heartbeats have stopped.
#[test]
fn a_target_without_heartbeats_is_unresponsive() {
    let mut target = OwnTarget::default();
    target.apply_heartbeat(heartbeat("a", 100, 1, Ready), at(0));
    let period = Duration::from_secs(1);

    assert!(!target.is_unresponsive(period, at(3_900)));
    assert!(target.is_unresponsive(period, at(4_100)));
}

quickcheck! {
    /// Guards against an order of heartbeats after which a deregistered incarnation gets requests.
    fn no_order_of_heartbeats_revives_a_deregistered_incarnation(events: Vec<(u8, u8, bool)>) -> bool {
        let mut target = OwnTarget::default();
        target.deregister("a", Some(50), 0);
        for (started_unix_ms, sequence, is_draining) in events {
            let started_unix_ms = u64::from(started_unix_ms % 51);
            let state = if is_draining { Draining } else { Ready };
            target.apply_heartbeat(heartbeat("a", started_unix_ms, sequence.into(), state), at(0));
        }
        !target.is_admitting()
    }
}

/// Guards against a target that is taken out of service by a late answer of its earlier process, and
/// against one that returns to service by a later heartbeat of the process that leaves.
#[test]
fn an_announcement_binds_the_process_that_made_it() {
    let mut target = OwnTarget::default();
    target.apply_heartbeat(heartbeat("i-1", 10, 1, Ready), at(1_000));
    target.apply_heartbeat(heartbeat("i-1", 20, 1, Ready), at(5_000));

    assert!(!target.announce_leaving(at(4_900)));
    assert!(target.is_admitting());

    assert!(target.announce_leaving(at(5_100)));
    target.apply_heartbeat(heartbeat("i-1", 20, 2, Ready), at(6_000));
    assert!(!target.is_admitting());
    assert!(!target.announce_leaving(at(6_100)), "announced before");

    target.apply_heartbeat(heartbeat("i-1", 30, 1, Ready), at(9_000));
    assert!(target.is_admitting());
}
