//! Tests of the detection of requests that callers retry.

mod common;

use std::time::Duration;

use common::at;
use hemlockfall_sidecar::caller_retries::CallerRetries;
use hemlockfall_sidecar::fingerprint::Fingerprint;

const STOCK: Fingerprint = 7;
const OTHER: Fingerprint = 8;

/// Load: half of many requests were refused, and their callers retry within the same deadline.
/// Guards against serving the retries like new requests: their answers are late and take slots from
/// requests that could be answered in time.
#[test]
fn a_retry_counts_from_the_first_request() {
    let mut caller_retries = CallerRetries::default();
    for number in 0..100 {
        caller_retries.record_unserved(
            STOCK,
            at(800 + number * 60),
            at(number * 60),
            at(number * 60),
        );
    }

    let first_requests: Vec<Option<Duration>> = (0..100)
        .map(|number| caller_retries.first_requested_at(STOCK, at(803 + number * 60)))
        .collect();

    let expected: Vec<Option<Duration>> = (0..100).map(|number| Some(at(number * 60))).collect();
    assert_eq!(first_requests, expected);
}

/// Guards against treating the equal request of another caller as a retry; its deadline differs.
#[test]
fn the_same_request_of_another_caller_is_no_retry() {
    let mut caller_retries = CallerRetries::default();
    caller_retries.record_unserved(STOCK, at(800), at(0), at(10));

    let first_requests = [
        caller_retries.first_requested_at(STOCK, at(900)),
        caller_retries.first_requested_at(STOCK, at(700)),
        caller_retries.first_requested_at(OTHER, at(800)),
    ];

    assert_eq!(first_requests, [None; 3]);
}

/// Guards against counting one refusal for two callers.
#[test]
fn a_refusal_counts_for_one_retry() {
    let mut caller_retries = CallerRetries::default();
    caller_retries.record_unserved(STOCK, at(800), at(0), at(10));

    let first_requests =
        [at(805), at(805)].map(|until| caller_retries.first_requested_at(STOCK, until));

    assert_eq!(first_requests, [Some(at(0)), None]);
}

/// Guards against memory use that grows without bound during many refusals.
#[test]
fn many_refusals_evict_the_oldest() {
    let mut caller_retries = CallerRetries::default();
    for number in 0..50_000 {
        let now = at(number);
        caller_retries.record_unserved(number % 1000, at(number + 5_000), now, now);
    }

    let latest = caller_retries.first_requested_at(999, at(49_999 + 5_000));
    let oldest = caller_retries.first_requested_at(0, at(5_000));

    assert_eq!((latest, oldest), (Some(at(49_999)), None));
}

/// Load: callers state deadlines in a year, and their requests are refused; others with usual deadlines are
/// refused as well. Guards against records that are kept beyond the limit.
#[test]
fn deadlines_far_ahead_leave_the_records_bounded() {
    let mut caller_retries = CallerRetries::default();
    let year_ms = 365 * 24 * 3600 * 1000;

    for number in 0..20_000 {
        let far = at(year_ms);
        let deadline = if number % 2 == 0 {
            far
        } else {
            at(800 + number)
        };
        caller_retries.record_unserved(number, deadline, at(number), at(number));
    }

    assert!(caller_retries.len() <= 4096, "{}", caller_retries.len());
}

/// Load: 3,000 equal requests are refused. Guards against a retry that is not recognized among them.
#[test]
fn a_retry_is_found_among_many_equal_requests() {
    let mut caller_retries = CallerRetries::default();
    for number in 0..3_000 {
        caller_retries.record_unserved(STOCK, at(10_000 + number * 60), at(number), at(number));
    }

    let first_requested_at = caller_retries.first_requested_at(STOCK, at(10_000 + 1_500 * 60 + 3));

    assert_eq!(first_requested_at, Some(at(1_500)));
}
