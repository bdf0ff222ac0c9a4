//! Tests of the store protocol: operations and faults on single objects.

use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_store::Error;
use hemlockfall_store::Options;
use hemlockfall_store::backoff::Backoff;
use hemlockfall_store::client::VALUE_LIMIT_BYTES;
use hemlockfall_store::client::Watched;
use hemlockfall_store::errors;
use hemlockfall_store::errors::Effect;

use crate::support;
use crate::support::FakeStore;
use crate::support::Fault;

const KEY: &str = "test/object";

/// Guards against writes that ignore the expected version, and against normal responses that the
/// client misinterprets.
#[test]
fn operations_follow_the_protocol() {
    let store = FakeStore::start();
    let client = store.client();

    let absent = client.get(KEY);
    let created = client.put(KEY, 0, b"one");
    let created_again = client.put(KEY, 0, b"two");
    let read = client.get(KEY).expect("readable").expect("exists");
    let unchanged = client.watch(KEY, 1);
    let changed = client.watch(KEY, 0);
    let listed = client.list("test/").expect("listing");
    let deleted = client.delete(KEY, 1);
    let missing = client.watch(KEY, 0);

    assert_eq!(absent, Ok(None));
    assert_eq!(created, Ok(1));
    let conflict = created_again.expect_err("the object exists");
    assert_eq!(conflict.effect(), Effect::Conflict);
    assert_eq!((read.version, read.body.as_slice()), (1, &b"one"[..]));
    assert_eq!(unchanged, Ok(Watched::Unchanged));
    assert!(matches!(changed, Ok(Watched::Changed(object)) if object.version == 1));
    assert_eq!((listed[0].key.as_str(), listed[0].version), (KEY, 1));
    assert_eq!(deleted, Ok(()));
    assert_eq!(missing, Ok(Watched::Missing));
}

/// Guards against a failed write that is reported with the wrong effect. If an unknown outcome is
/// reported as "did not take effect", an operator repeats a change that is already in force.
#[test]
fn failed_writes_keep_their_effects_apart() {
    let always = |fault: Fault| vec![fault; 400];
    let cases = [
        ("503 once", vec![Fault::Status(503)], None, true),
        ("429 once", vec![Fault::Status(429)], None, true),
        (
            "503",
            always(Fault::Status(503)),
            Some((Effect::None, errors::STORE_UNAVAILABLE)),
            false,
        ),
        (
            "429",
            always(Fault::Status(429)),
            Some((Effect::None, errors::STORE_THROTTLED)),
            false,
        ),
        (
            "413",
            always(Fault::Status(413)),
            Some((Effect::None, errors::STORE_TOO_LARGE)),
            false,
        ),
        (
            "404",
            always(Fault::Status(404)),
            Some((Effect::None, errors::STORE_MALFORMED)),
            false,
        ),
        (
            "500",
            always(Fault::Status(500)),
            Some((Effect::Unknown, errors::STORE_OUTCOME_UNKNOWN)),
            false,
        ),
        (
            "lost answer",
            vec![Fault::LoseAnswer],
            Some((Effect::Unknown, errors::STORE_OUTCOME_UNKNOWN)),
            true,
        ),
        (
            "lost request",
            vec![Fault::DropRequest],
            Some((Effect::Unknown, errors::STORE_OUTCOME_UNKNOWN)),
            false,
        ),
        (
            "slow",
            vec![Fault::Slow(700)],
            Some((Effect::Unknown, errors::STORE_OUTCOME_UNKNOWN)),
            true,
        ),
        (
            "412",
            vec![Fault::Overtaken(b"x".to_vec())],
            Some((Effect::Conflict, errors::STORE_CONFLICT)),
            true,
        ),
    ];
    for (name, faults, expected, exists) in cases {
        let store = FakeStore::start();
        store.fail_writes(&faults);

        let result = store.client().put(KEY, 0, b"value");

        let failure = result.err().map(|error| (error.effect(), error.code()));
        assert_eq!(failure, expected, "case {name}");
        assert_eq!(store.object(KEY).is_some(), exists, "case {name}");
    }
}

/// Guards against a refused connection that is reported as an unknown outcome, and against retries
/// beyond the total timeout.
#[test]
fn refused_connection_has_no_effect_and_ends_in_time() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let started = Instant::now();

    let result = support::client(address).put(KEY, 0, b"value");

    let error = result.expect_err("nobody listens");
    assert_eq!(error.effect(), Effect::None);
    assert_eq!(error.code(), errors::STORE_UNREACHABLE);
    assert!(started.elapsed() < Duration::from_secs(3));
}

/// Guards against sending a value above the size limit, and against keys that change the path or
/// query of the request.
#[test]
fn oversized_values_and_bad_keys_are_not_sent() {
    let store = FakeStore::start();
    let client = store.client();
    let value = vec![0_u8; VALUE_LIMIT_BYTES + 1];

    let oversized = client.put(KEY, 0, &value);
    let bad_keys: Vec<_> = ["", "a?b", "../a", "a b", "a%2f"]
        .into_iter()
        .map(|key| client.put(key, 0, b""))
        .collect();

    assert!(
        matches!(oversized, Err(Error::TooLarge { size_bytes, .. }) if size_bytes == value.len())
    );
    for result in bad_keys {
        assert!(
            matches!(result, Err(Error::KeyInvalid { .. })),
            "{result:?}"
        );
    }
    assert_eq!(store.writes(), 0);
}

/// Guards against registered defaults that the range checks refuse or that differ from the defaults
/// in `Options`.
#[test]
fn defaults_pass_their_checks_and_equal_the_options() {
    let text = "[store]\naddress = \"127.0.0.1:1\"\nregion = \"ch-west\"\n[node]\nname = \"n\"\n\
        region = \"r\"\ndata_centre = \"d\"\ncaller_address = \"127.0.0.1:2\"\n\
        peer_address = \"127.0.0.1:3\"\noperator_address = \"127.0.0.1:4\"\n\
        local_address = \"127.0.0.1:5\"\n";

    let settings = hemlockfall_core::settings::Settings::parse("test", text).expect("valid");
    let options: hemlockfall_store::Options = settings.section("store").expect("section");

    let expected = hemlockfall_store::Options {
        address: options.address,
        region: "ch-west".into(),
        ..hemlockfall_store::Options::default()
    };
    assert_eq!(options, expected);
}

/// Guards against a last attempt that has no time to be answered: its timeout would hide why the
/// attempts before it failed, and would leave open whether a write took effect.
#[test]
fn every_attempt_has_time_for_an_answer() {
    let options = Options {
        request_timeout_ms: 300,
        backoff_first_ms: 5,
        backoff_max_ms: 50,
        ..Options::default()
    };
    let start = Instant::now();
    let deadline = start + Duration::from_millis(1_500);
    for seed in 0..100 {
        let mut backoff = Backoff::new(&options, seed, deadline);
        let mut now = start;

        while let Some(wait) = backoff.next_wait(now, None) {
            now += wait;

            assert!(deadline - now >= Duration::from_millis(90), "seed {seed}");
        }
    }
}
