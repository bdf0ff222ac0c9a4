//! Tests of the choice of a waiting request that makes room for another caller's.

use hemlockfall_sidecar::fair_queue::WaitingRequest;
use hemlockfall_sidecar::fair_queue::request_to_displace;
use quickcheck::quickcheck;

fn waiting(id: u64, in_progress: usize, priority: u8) -> WaitingRequest {
    WaitingRequest {
        id,
        in_progress,
        priority,
    }
}

/// Load: two connections with 16 and 12 requests in progress fill the queue, beside a caller with one.
/// Guards against a queue whose places stay with callers that pipeline.
#[test]
fn the_connection_with_the_most_requests_makes_room() {
    let queue = [
        waiting(1, 16, 1),
        waiting(2, 12, 1),
        waiting(3, 16, 1),
        waiting(4, 12, 1),
        waiting(5, 1, 1),
    ];

    let displaced = request_to_displace(queue.into_iter(), waiting(6, 1, 1));

    assert_eq!(displaced, Some(3));
}

/// Load: a queue full of single requests, of callers with two requests in progress, and of more urgent
/// ones. Guards against a new request that takes the place of one with the same claim, or of a more
/// urgent one.
#[test]
fn requests_with_the_same_claim_are_kept() {
    let queue = [waiting(1, 1, 1), waiting(2, 2, 1), waiting(3, 16, 0)];

    let by_single = request_to_displace(queue.into_iter(), waiting(4, 1, 1));
    let by_urgent = request_to_displace(queue.into_iter(), waiting(4, 1, 0));

    assert_eq!(by_single, None);
    assert_eq!(by_urgent, Some(3));
}

quickcheck! {
    /// Load: connections with any number of requests fill a queue one request at a time. Guards against
    /// connections that displace each other without end, and against a share of the queue that is
    /// larger than that of others by more than one although these want more.
    fn the_places_end_up_in_equal_shares(wanted: Vec<u8>, places: u8) -> bool {
        let places = usize::from(places % 32) + 1;
        let mut left: Vec<usize> = wanted.iter().map(|count| usize::from(*count % 24)).collect();
        let mut queue: Vec<(u64, usize)> = Vec::new();
        let held = |queue: &[(u64, usize)], id| queue.iter().filter(|(_, of)| *of == id).count();
        let mut number = 0;
        let mut refused = 0;
        let mut next = 0;
        while refused < left.len() {
            let id = next % left.len();
            next += 1;
            number += 1;
            if left[id] == 0 {
                refused += 1;
                continue;
            }
            if queue.len() >= places {
                let entries = queue.iter().map(|(work, of)| waiting(*work, held(&queue, *of), 1));
                let new = waiting(number, held(&queue, id) + 1, 1);
                let Some(displaced) = request_to_displace(entries, new) else {
                    refused += 1;
                    continue;
                };
                queue.retain(|(work, _)| *work != displaced);
            }
            refused = 0;
            left[id] -= 1;
            queue.push((number, id));
        }
        let most = (0..left.len()).map(|id| held(&queue, id)).max().unwrap_or(0);
        (0..left.len()).all(|id| left[id] == 0 || held(&queue, id) + 2 >= most)
    }
}
