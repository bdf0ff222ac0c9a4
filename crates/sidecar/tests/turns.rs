//! Tests of the order in which the requests of several connections begin.

use std::time::Duration;

use hemlockfall_sidecar::clock::Time;
use hemlockfall_sidecar::turns::EventShare;
use hemlockfall_sidecar::turns::Turns;
use quickcheck::quickcheck;

/// Connection with requests that have arrived.
struct Connection {
    requests: usize,
    share: EventShare,
}

fn connections(requests: &[usize]) -> Vec<Connection> {
    requests
        .iter()
        .map(|requests| Connection {
            requests: *requests,
            share: EventShare::default(),
        })
        .collect()
}

fn event(number: usize) -> Time {
    Duration::from_micros(1 + u64::try_from(number).unwrap_or(0))
}

/// Begins as many requests of a connection as may begin, each of which is refused at once.
fn begin(turns: &mut Turns<usize>, open: &mut [Connection], id: usize, at: Time) -> Vec<usize> {
    let connection = &mut open[id];
    let mut begun = Vec::new();
    while connection.requests > 0 && turns.may_begin(id, &mut connection.share, at) {
        connection.requests -= 1;
        begun.push(id);
    }
    begun
}

/// Plays an event for each connection, and turns until no connection waits; returns the connections
/// of the requests in the order in which they began, by event and turn.
fn play(requests: &[usize]) -> Vec<Vec<usize>> {
    let mut turns = Turns::default();
    let mut open = connections(requests);
    let mut steps: Vec<Vec<usize>> = (0..open.len())
        .map(|id| begin(&mut turns, &mut open, id, event(id)))
        .collect();
    while turns.has_waiting() {
        let at = event(steps.len());
        let mut step = Vec::new();
        turns.start();
        while let Some(id) = turns.next_connection() {
            Turns::<usize>::resume(&mut open[id].share);
            step.extend(begin(&mut turns, &mut open, id, at));
        }
        steps.push(step);
    }
    steps
}

/// Load: callers that send 10,000 requests at once, beside one that sends a single request after them.
/// Guards against a request that begins only after all those that came before it on other connections.
#[test]
fn a_single_request_begins_before_the_rest_of_a_flood() {
    let steps = play(&[10_000, 10_000, 10_000, 1]);

    let begun_before = steps.iter().flatten().position(|id| *id == 3);
    assert!(
        begun_before.is_some_and(|before| before < 50),
        "{begun_before:?}"
    );
}

quickcheck! {
    /// Guards against requests that never begin, against turns without an end, and against a
    /// connection that gets its second turn before another one that waits has its first.
    fn all_requests_begin_in_bounded_turns(requests: Vec<u8>) -> bool {
        let requests: Vec<usize> = requests.into_iter().map(|count| usize::from(count) * 4).collect();

        let steps = play(&requests);

        let begun = |id| steps.iter().flatten().filter(|begun| **begun == id).count();
        let all_begun = requests.iter().enumerate().all(|(id, count)| begun(id) == *count);
        all_begun && steps.iter().all(|step| step.len() < 64 + 16)
    }
}
