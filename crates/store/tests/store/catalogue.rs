//! Tests of catalogue commits and leases with faults of the store.

use std::time::Duration;

use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::catalogue::edit::Author;
use hemlockfall_core::catalogue::edit::Edit;
use hemlockfall_core::catalogue::file::CatalogueFile;
use hemlockfall_core::catalogue::validate;
use hemlockfall_core::codec;
use hemlockfall_store::Error;
use hemlockfall_store::catalogue;
use hemlockfall_store::catalogue::Settled;
use hemlockfall_store::errors::Effect;
use hemlockfall_store::history;
use hemlockfall_store::lease::Lease;
use uuid::Uuid;

use crate::support::FakeStore;
use crate::support::Fault;

const LEASE: &str = "moves/lease/order-desk";
const LEASE_TIME: Duration = Duration::from_secs(10);

fn author(operation: u128) -> Author {
    Author {
        operation_id: Uuid::from_u128(operation),
        who: "tests".into(),
        at_unix_ms: 1_000_000,
    }
}

fn edit(service: &str, seen: Option<u64>) -> Edit {
    let seen = seen.map_or(String::new(), |revision| {
        format!("seen_revision = {revision}\n")
    });
    let text = format!(
        "[[service]]\nname = \"{service}\"\nowner = \"delivery\"\nversion = \"v1\"\n{seen}\
         [[service.route]]\nname = \"all\"\npath_prefix = \"/\"\n"
    );
    let mut file = CatalogueFile::parse("test.toml", &text).expect("the fixture is valid");
    Edit::Apply(Box::new(file.service.remove(0)))
}

fn catalogue_with(services: &[&str]) -> Vec<u8> {
    let mut stored = StoredCatalogue::default();
    for (index, service) in services.iter().enumerate() {
        let author = author(1_000 + index as u128);
        stored = edit(service, None)
            .apply(&stored, &author)
            .expect("accepted");
    }
    codec::encode(&stored).expect("encodes")
}

/// Guards against a commit that is lost, applied twice or reported with the wrong outcome after a
/// single fault of the store.
#[test]
fn commits_survive_single_faults() {
    let cases = [
        ("no fault", Fault::None, 1),
        ("unavailable", Fault::Status(503), 1),
        ("throttled", Fault::Status(429), 1),
        ("server error", Fault::Status(500), 1),
        ("answer lost after the write", Fault::LoseAnswer, 1),
        ("request lost", Fault::DropRequest, 1),
        ("slow answer", Fault::Slow(700), 1),
        (
            "another entry written first",
            Fault::Overtaken(catalogue_with(&["filmstore"])),
            2,
        ),
    ];
    for (name, fault, expected_revision) in cases {
        let store = FakeStore::start();
        store.fail_writes(&[fault]);

        let result = catalogue::commit(&store.client(), &edit("order-desk", Some(0)), &author(1));

        let committed = result.unwrap_or_else(|error| panic!("case {name}: {error}"));
        assert_eq!(committed.revision, expected_revision, "case {name}");
        let (_, body) = store.object(catalogue::KEY).expect("written");
        let stored = catalogue::decode(&body).expect("valid");
        assert_eq!(
            stored.configuration.revision, expected_revision,
            "case {name}"
        );
        assert_eq!(stored, committed.catalogue.stored, "case {name}");
    }
}

/// Guards against overwriting a change of the same entry by another writer.
#[test]
fn change_of_the_same_entry_is_a_conflict() {
    let store = FakeStore::start();
    store.fail_writes(&[Fault::Overtaken(catalogue_with(&["order-desk"]))]);

    let result = catalogue::commit(&store.client(), &edit("order-desk", Some(0)), &author(1));

    let error = result.expect_err("the entry exists");
    assert_eq!(error.effect(), Effect::Conflict);
    assert_eq!(error.code(), hemlockfall_core::errors::CATALOGUE_CONFLICT);
}

/// Guards against a judge's decision that overrides a change of the entry made between the judge's
/// read and its write.
#[test]
fn decision_on_a_changed_entry_is_refused() {
    let rows = [(&["order-desk"], false), (&["filmstore"], true)];
    for (overtaken_by, accepted) in rows {
        let store = FakeStore::start();
        store.fail_writes(&[Fault::Overtaken(catalogue_with(overtaken_by))]);
        let edit = edit("order-desk", None);

        let result = catalogue::commit_seen(&store.client(), &edit, &author(1), Some(0));

        assert_eq!(result.is_ok(), accepted, "{overtaken_by:?}: {result:?}");
        if let Err(error) = result {
            assert_eq!(error.effect(), Effect::Conflict);
        }
    }
}

/// Guards against malformed data that is treated as an empty catalogue and overwritten.
#[test]
fn garbage_in_place_of_a_catalogue_is_refused() {
    for garbage in [&b"garbage"[..], &[0, 255, 255], &[], &[1, 1, 2]] {
        let store = FakeStore::start();
        store.set(catalogue::KEY, garbage);

        let result = catalogue::commit(&store.client(), &edit("order-desk", None), &author(1));

        assert!(matches!(result, Err(Error::Malformed { .. })), "{result:?}");
        assert_eq!(store.writes(), 0);
    }
}

/// Guards against arbitrary bytes in the store that cause a panic or decode to an invalid
/// catalogue.
#[test]
fn arbitrary_bytes_never_panic() {
    fn decoded_is_valid(body: &[u8]) -> bool {
        let decoded = catalogue::decode(body);
        decoded.map_or(true, |stored| {
            validate::check(&stored.configuration).is_ok()
        })
    }
    let property = |body: Vec<u8>| decoded_is_valid(&body);

    quickcheck::quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Guards against a commit with a lost response that is reported as failed while the store cannot
/// be read, and against a settled outcome that differs from the state of the store.
#[test]
fn unsettled_commit_is_unknown_until_the_store_is_back() {
    for (fault, is_accepted) in [(Fault::LoseAnswer, true), (Fault::DropRequest, false)] {
        let store = FakeStore::start();
        store.set(catalogue::KEY, &catalogue_with(&["filmstore"]));
        let client = store.client();
        store.fail_writes(&[fault]);
        store.fail_reads_after_write(503);

        let result = catalogue::commit(&client, &edit("order-desk", None), &author(1));

        let Err(Error::CommitUnknown { pending, .. }) = result else {
            panic!("expected an unknown outcome, got {result:?}");
        };
        assert!(catalogue::settle(&client, &pending).is_err());
        store.fail_reads(None);
        let settled = catalogue::settle(&client, &pending).expect("readable");
        assert_eq!(
            matches!(settled, Settled::Accepted(_)),
            is_accepted,
            "{settled:?}"
        );
        store.set(catalogue::KEY, &catalogue_with(&["a", "b", "c"]));
        let settled = catalogue::settle(&client, &pending).expect("readable");
        assert_eq!(settled, Settled::NotApplied);
    }
}

/// Guards against change records that are dropped before they are archived.
#[test]
fn trimmed_change_records_stay_in_the_history() {
    let store = FakeStore::start();
    let client = store.client();
    let mut stored = StoredCatalogue::default();
    for operation in 1..=256 {
        stored = edit("order-desk", None)
            .apply(&stored, &author(operation))
            .expect("accepted");
    }
    store.set(catalogue::KEY, &codec::encode(&stored).expect("encodes"));
    // The response to the write of the archive is lost; its outcome has to be known before records
    // are trimmed.
    store.fail_writes(&[Fault::LoseAnswer]);

    for operation in 257..=260 {
        catalogue::commit(&client, &edit("order-desk", None), &author(operation))
            .expect("accepted");
    }

    let now = catalogue::read(&client).expect("readable").stored;
    let first = history::find_operation(&client, &now, Uuid::from_u128(1), 0).expect("readable");
    let all = history::of_service(&client, &now, "order-desk", 1_000).expect("readable");
    assert_eq!(now.changes[0].revision, 5);
    assert_eq!(first.map(|change| change.revision), Some(1));
    let revisions: Vec<u64> = all.iter().map(|change| change.revision).collect();
    assert_eq!(revisions, (1..=260).rev().collect::<Vec<u64>>());
}

/// Guards against two concurrent holders of a lease, and against a term that is used twice.
#[test]
fn lease_has_one_holder_and_rising_terms() {
    let store = FakeStore::start();
    let client = store.client();

    let mut first = Lease::acquire(&client, LEASE, "node-a", LEASE_TIME, 1_000).expect("free");
    let refused = Lease::acquire(&client, LEASE, "node-b", LEASE_TIME, 2_000);
    first.renew(&client, LEASE_TIME, 5_000).expect("held");
    let within_skew = Lease::acquire(&client, LEASE, "node-b", LEASE_TIME, 15_400);
    let second = Lease::acquire(&client, LEASE, "node-b", LEASE_TIME, 15_501).expect("expired");
    let late_renewal = first.renew(&client, LEASE_TIME, 15_502);
    let second_term = second.term();
    second.release(&client).expect("held");
    let third = Lease::acquire(&client, LEASE, "node-c", LEASE_TIME, 15_503).expect("released");

    assert!(
        matches!(refused, Err(Error::LeaseHeld { .. })),
        "{refused:?}"
    );
    assert!(
        matches!(within_skew, Err(Error::LeaseHeld { .. })),
        "{within_skew:?}"
    );
    assert!(
        matches!(late_renewal, Err(Error::LeaseLost { .. })),
        "{late_renewal:?}"
    );
    assert_eq!((first.term(), second_term, third.term()), (1, 2, 3));
    assert!(!first.is_valid(15_502));
}

/// Guards against a holder that does not recognize its own lease after the response to its write
/// was lost.
#[test]
fn lost_lease_answers_are_settled() {
    for fault in [
        Fault::LoseAnswer,
        Fault::DropRequest,
        Fault::Status(503),
        Fault::Slow(700),
    ] {
        let store = FakeStore::start();
        let client = store.client();
        store.fail_writes(std::slice::from_ref(&fault));

        let acquired = Lease::acquire(&client, LEASE, "node-a", LEASE_TIME, 1_000);
        store.fail_writes(std::slice::from_ref(&fault));
        let mut lease = acquired.unwrap_or_else(|error| panic!("{fault:?}: {error}"));
        let renewed = lease.renew(&client, LEASE_TIME, 2_000);

        assert_eq!(renewed, Ok(()), "{fault:?}");
        assert_eq!((lease.term(), lease.expires_unix_ms()), (1, 12_000));
    }
}
