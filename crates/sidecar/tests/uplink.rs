//! Large answers and small messages on a slow uplink.

mod common;

use std::time::Duration;

use common::at;
use hemlockfall_sidecar::admission::AdmissionDecision;
use hemlockfall_sidecar::admission::AdmissionQueue;
use hemlockfall_sidecar::admission::AdmissionRequest;
use hemlockfall_sidecar::admission::RejectReason;
use hemlockfall_sidecar::admission::UplinkDemand;
use hemlockfall_sidecar::balance;
use hemlockfall_sidecar::balance::Candidate;
use hemlockfall_sidecar::balance::Demand;
use hemlockfall_sidecar::balance::Distance;
use hemlockfall_sidecar::clock::Time;
use hemlockfall_sidecar::model::LoadReport;
use hemlockfall_sidecar::model::RateLimitReport;
use hemlockfall_sidecar::uplink::Uplink;
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Rate of a slow uplink: 10 Mbit/s.
const SLOW_UPLINK_BYTES_PER_S: u64 = 1_250_000;
const DOWNLOAD_BYTES: usize = 90_000;
/// Longest time that a small message may wait for a chunk.
const MAX_SMALL_WAIT: Duration = Duration::from_millis(10);
const LOCAL_NODE: u64 = 1;
const REMOTE_NODE: u64 = 2;

/// Sends all chunks as the uplink becomes free; returns the answer, size and sending time of each.
fn send_all_chunks(uplink: &mut Uplink, start: Time) -> Vec<(u64, usize, Time)> {
    let mut sent = Vec::new();
    let mut now = start;
    while let Some(next) = uplink.next_at() {
        now = now.max(next);
        while let Some(chunk) = uplink.next_chunk(now) {
            uplink.record_sent(chunk.bytes, now);
            sent.push((chunk.transfer, chunk.bytes, now));
        }
    }
    sent
}

fn admission_request(id: u64, uplink: UplinkDemand) -> AdmissionRequest {
    AdmissionRequest {
        id,
        route: "download".into(),
        priority: 2,
        due: at(1_000),
        deadline: at(6_000),
        target_latency: Duration::from_secs(1),
        uplink,
    }
}

fn candidate(node: u64, distance: Distance, uplink_busy_ms: u16) -> Candidate {
    Candidate {
        node,
        distance,
        load: LoadReport {
            running: 2,
            queued: 0,
            slots: 6,
            run_ms: 180,
            route_run_ms: 180,
            failed_permille: 0,
            uplink_busy_ms,
            route_send_ms: 78,
            rate_limit_wait_ms: 0,
            rate_limit: RateLimitReport::Unknown,
        },
        load_at: at(1_000),
        outstanding: 0,
        slots: 6,
    }
}

/// Guards against requests with 600 ms left, and configurations, that wait behind complete bodies:
/// here downloads of 90 kB on an uplink of 10 Mbit/s.
#[test]
fn small_messages_wait_behind_one_chunk_at_most() {
    let mut uplink = Uplink::new(SLOW_UPLINK_BYTES_PER_S);
    for id in 0..8 {
        uplink.begin(id, DOWNLOAD_BYTES, at(1_000));
    }

    let sent = send_all_chunks(&mut uplink, at(100));

    let longest = sent
        .iter()
        .map(|(_, bytes, _)| uplink.time_for(*bytes))
        .max()
        .expect("chunks were sent");
    assert!(longest <= MAX_SMALL_WAIT, "{longest:?}");
}

/// Guards against an answer that is not sent completely, and against an uplink that is left idle
/// while chunks are waiting.
#[test]
fn answers_are_sent_complete_and_earliest_due_first() {
    let mut uplink = Uplink::new(SLOW_UPLINK_BYTES_PER_S);
    uplink.begin(1, DOWNLOAD_BYTES, at(900));
    uplink.begin(2, DOWNLOAD_BYTES, at(500));
    let needed = uplink.time_for(2 * DOWNLOAD_BYTES);

    let sent = send_all_chunks(&mut uplink, at(100));

    let bytes_of = |id| -> usize {
        sent.iter()
            .filter(|(transfer, ..)| *transfer == id)
            .map(|(_, bytes, _)| bytes)
            .sum()
    };
    assert_eq!((bytes_of(1), bytes_of(2)), (DOWNLOAD_BYTES, DOWNLOAD_BYTES));
    assert_eq!(sent.first().map(|(transfer, ..)| *transfer), Some(2));
    let (.., last) = sent.last().expect("chunks were sent");
    assert!(*last <= at(100) + needed, "{last:?}");
}

/// Guards against a body that is still sent after its caller has disconnected.
#[test]
fn a_cancelled_answer_is_sent_no_further() {
    let mut uplink = Uplink::new(SLOW_UPLINK_BYTES_PER_S);
    uplink.begin(1, DOWNLOAD_BYTES, at(900));
    uplink.next_chunk(at(100)).expect("the uplink is free");

    uplink.cancel(1);

    assert_eq!(uplink.next_chunk(at(200)), None);
    assert_eq!(uplink.next_at(), None);
}

/// Guards against runs whose answers are late because the uplink is full: more downloads than a
/// slow uplink can send, at a target with free slots.
#[test]
fn a_full_link_rejects_downloads_before_they_run() {
    let uplink = Uplink::new(SLOW_UPLINK_BYTES_PER_S);
    let send = uplink.time_for(DOWNLOAD_BYTES);
    let mut queue = AdmissionQueue::default();
    queue.set_slots(6);
    let demand = |free_at| UplinkDemand { free_at, send };

    let early = queue.admit(admission_request(1, demand(at(400))), at(0));
    let late = queue.admit(admission_request(2, demand(at(800))), at(0));

    assert_eq!(early, AdmissionDecision::Run);
    assert!(
        matches!(
            late,
            AdmissionDecision::Reject {
                reason: RejectReason::TooLate,
                ..
            }
        ),
        "{late:?}"
    );
}

/// Guards against requests with small answers that are refused because of a full uplink, for which
/// they do not wait: requests of 60 ms beside downloads.
#[test]
fn small_answers_do_not_need_room_on_the_link() {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(6);

    let decision = queue.admit(admission_request(1, UplinkDemand::default()), at(0));

    assert_eq!(decision, AdmissionDecision::Run);
}

/// Guards against downloads that stay in the local data centre behind other bodies: one VM with a
/// slow uplink there, and idle ones in the next data centre.
#[test]
fn downloads_leave_a_data_centre_whose_link_is_full() {
    let candidates = [
        candidate(LOCAL_NODE, Distance::DataCentre, 980),
        candidate(REMOTE_NODE, Distance::Region, 0),
    ];
    let demand = Demand {
        time_left: Duration::from_secs(1),
        answer_kib: Some(88.0),
        mean_kib: Some(7.0),
    };

    let choice = balance::choose(
        &candidates,
        &demand,
        at(1_010),
        &mut SmallRng::seed_from_u64(1),
    );

    assert_eq!(choice, Some(REMOTE_NODE));
}

quickcheck! {
    /// Guards against chunks that are lost or sent twice when small messages are sent in between.
    fn every_byte_is_sent_once(sizes: Vec<u16>, small: Vec<u8>) -> bool {
        let mut uplink = Uplink::new(SLOW_UPLINK_BYTES_PER_S);
        let mut now = at(5);
        let mut sent = 0;
        for (id, bytes) in (0_u64..).zip(&sizes) {
            uplink.begin(id, usize::from(*bytes) + 1, at(id % 7));
        }
        let mut small = small.into_iter().cycle();
        while let Some(next) = uplink.next_at() {
            now = now.max(next);
            if let Some(chunk) = uplink.next_chunk(now) {
                sent += chunk.bytes;
                uplink.record_sent(chunk.bytes, now);
            }
            uplink.record_sent(small.next().unwrap_or_default().into(), now);
        }
        let expected: usize = sizes.iter().map(|bytes| usize::from(*bytes) + 1).sum();
        sent == expected
    }
}

/// Load: the link of the first answer is not drained. Guards against an answer on another link that
/// waits behind it, and against waking up for an answer that cannot be sent.
#[test]
fn a_link_that_is_not_drained_delays_no_other() {
    let mut uplink = Uplink::new(SLOW_UPLINK_BYTES_PER_S);
    uplink.begin(1, DOWNLOAD_BYTES, at(100));
    uplink.begin(2, DOWNLOAD_BYTES, at(200));

    let next = uplink.next_chunk_of(at(0), |id| id != 1);
    let none = uplink.next_at_of(|_| false);

    assert_eq!(next.map(|chunk| chunk.transfer), Some(2));
    assert_eq!(none, None);
}
