//! Loads on one target, played in both orders of its queue.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use common::at;
use hemlockfall_sidecar::admission::AdmissionDecision;
use hemlockfall_sidecar::admission::AdmissionQueue;
use hemlockfall_sidecar::admission::AdmissionRequest;
use hemlockfall_sidecar::admission::UplinkDemand;
use hemlockfall_sidecar::clock::Time;
use hemlockfall_sidecar::order::Order;
use hemlockfall_sidecar::order::RequestTimes;
use hemlockfall_sidecar::order::Standing;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEED: u64 = 20_261_206;
const SLOTS: usize = 8;
/// Time that a refused caller takes to connect again.
const RECONNECT: Duration = Duration::from_millis(5);

/// Requests of one kind.
#[derive(Clone, Copy)]
struct Kind {
    route: &'static str,
    account: Option<&'static str>,
    priority: u8,
    run_ms: u64,
    target_latency_ms: u64,
    timeout_ms: u64,
}

const BOOKING: Kind = Kind {
    route: "booking",
    account: None,
    priority: 0,
    run_ms: 40,
    target_latency_ms: 120,
    timeout_ms: 600,
};
const REPORT: Kind = Kind {
    route: "report",
    account: None,
    priority: 2,
    run_ms: 400,
    target_latency_ms: 1_200,
    timeout_ms: 3_000,
};
const LOOKUP: Kind = Kind {
    route: "lookup",
    account: None,
    priority: 1,
    run_ms: 100,
    target_latency_ms: 250,
    timeout_ms: 800,
};

#[derive(Clone, Copy)]
struct Request {
    kind: Kind,
    group: usize,
    first_at: Time,
    run: Duration,
    refusals: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: u32,
    in_time: u32,
    late: u32,
    refused_again: u32,
}

impl Tally {
    fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.sent)
    }

    fn in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End,
    Submit,
}

/// Returns requests of a kind at a rate, at random times within a period.
fn arrivals(
    kind: Kind,
    group: usize,
    per_s: u32,
    period_s: std::ops::Range<u32>,
    random: &mut SmallRng,
) -> Vec<Request> {
    let count = per_s * (period_s.end - period_s.start);
    (0..count)
        .map(|_| Request {
            kind,
            group,
            first_at: at(random
                .random_range(u64::from(period_s.start) * 1000..u64::from(period_s.end) * 1000)),
            run: Duration::from_millis(kind.run_ms).mul_f64(random.random_range(0.5..1.5)),
            refusals: 0,
        })
        .collect()
}

/// Plays requests at one target and returns the tallies of their groups.
struct Play {
    queue: AdmissionQueue,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Time, Event, usize)>>,
    tallies: Vec<Tally>,
}

impl Play {
    fn run(order: Order, requests: Vec<Request>, groups: usize) -> Vec<Tally> {
        let mut queue = AdmissionQueue::default();
        queue.set_slots(SLOTS);
        queue.set_order(order);
        let events = requests
            .iter()
            .enumerate()
            .map(|(index, request)| Reverse((request.first_at, Event::Submit, index)))
            .collect();
        let mut play = Self {
            queue,
            requests,
            events,
            tallies: vec![Tally::default(); groups],
        };
        for request in &play.requests {
            play.tallies[request.group].sent += 1;
        }
        while let Some(Reverse((now, event, index))) = play.events.pop() {
            match event {
                Event::Submit => play.submit(index, now),
                Event::End => play.end(index, now),
            }
        }
        play.tallies
    }

    fn submit(&mut self, index: usize, now: Time) {
        let request = self.requests[index];
        let target_latency = Duration::from_millis(request.kind.target_latency_ms);
        let times = RequestTimes {
            submitted_at: now,
            due: request.first_at + target_latency,
            deadline: request.first_at + Duration::from_millis(request.kind.timeout_ms),
            target_latency,
        };
        let standing = Standing {
            account: request.kind.account.map(Into::into),
            has_spent_work: times.has_come_back() || times.is_nested(),
        };
        let admission = AdmissionRequest {
            id: u64::try_from(index).expect("an index"),
            route: request.kind.route.into(),
            priority: request.kind.priority,
            due: times.due,
            deadline: times.deadline,
            target_latency,
            uplink: UplinkDemand::default(),
        };
        let decision = self.queue.admit_with(admission, standing, now);
        match decision {
            AdmissionDecision::Run => self.start(index, now),
            AdmissionDecision::Wait { displaced } => {
                self.refuse_all(&displaced, now);
                self.dispatch(now);
            }
            AdmissionDecision::Reject {
                retry_after,
                displaced,
                ..
            } => {
                self.refuse(index, retry_after, now);
                self.refuse_all(&displaced, now);
                self.dispatch(now);
            }
        }
    }

    fn start(&mut self, index: usize, now: Time) {
        let end = now + self.requests[index].run;
        self.events.push(Reverse((end, Event::End, index)));
    }

    fn end(&mut self, index: usize, now: Time) {
        let request = self.requests[index];
        let latency = now.saturating_sub(request.first_at);
        let tally = &mut self.tallies[request.group];
        if latency <= Duration::from_millis(request.kind.target_latency_ms) {
            tally.in_time += 1;
        } else if latency <= Duration::from_millis(request.kind.timeout_ms) {
            tally.late += 1;
        }
        self.queue.ended(u64::try_from(index).expect("an index"));
        self.queue
            .finished(&request.kind.route.into(), request.run, true);
        self.dispatch(now);
    }

    fn dispatch(&mut self, now: Time) {
        let dispatch = self.queue.dispatch(now);
        self.refuse_all(&dispatch.expired, now);
        for id in dispatch.run {
            self.start(usize::try_from(id).expect("an index"), now);
        }
    }

    fn refuse_all(&mut self, ids: &[u64], now: Time) {
        let given_up = self.queue.take_given_up();
        for id in ids {
            let retry_after = given_up
                .iter()
                .find(|refused| refused.id == *id)
                .map_or(Duration::ZERO, |refused| refused.retry_after);
            self.refuse(usize::try_from(*id).expect("an index"), retry_after, now);
        }
    }

    /// The caller comes back once, as the callers of the platform do.
    fn refuse(&mut self, index: usize, retry_after: Duration, now: Time) {
        let request = &mut self.requests[index];
        request.refusals += 1;
        if request.refusals > 1 {
            self.tallies[request.group].refused_again += 1;
            return;
        }
        let wait = retry_after.max(Duration::from_millis(40)) + RECONNECT;
        self.events
            .push(Reverse((now + wait, Event::Submit, index)));
    }
}

fn play_both(requests: &[Request], groups: usize) -> (Vec<Tally>, Vec<Tally>) {
    let play = |order| Play::run(order, requests.to_vec(), groups);
    let (arrival, cost) = (play(Order::Arrival), play(Order::Cost));
    println!("arrival {arrival:#?}\ncost {cost:#?}");
    (arrival, cost)
}

/// Load: urgent short requests come in a burst while long, less urgent ones use most slots. Guards
/// against urgent requests that are refused more often than the less urgent ones beside them.
#[test]
fn urgent_requests_of_a_burst_are_served_beside_long_less_urgent_ones() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut requests = arrivals(REPORT, 1, 20, 0..16, &mut random);
    requests.extend(arrivals(BOOKING, 2, 20, 0..4, &mut random));
    requests.extend(arrivals(BOOKING, 0, 95, 4..12, &mut random));

    let (arrival, cost) = play_both(&requests, 3);

    assert!(cost[0].in_time() > arrival[0].in_time() + 0.02);
    assert!(cost[0].served() >= cost[1].served() - 0.05);
}

/// Load: one of six accounts sends eight times its usual load, more than the target can run. Guards
/// against an account that takes the slots of the others, and against one that is starved.
#[test]
fn an_account_that_sends_much_more_than_usual_does_not_take_the_others_slots() {
    let names = ["oak", "elm", "ash", "fir", "yew", "box"];
    let mut random = SmallRng::seed_from_u64(SEED);
    let kind = |account| Kind {
        account: Some(account),
        ..LOOKUP
    };
    let mut requests = Vec::new();
    for name in names {
        requests.extend(arrivals(kind(name), 2, 10, 0..20, &mut random));
    }
    for name in &names[1..] {
        requests.extend(arrivals(kind(name), 1, 10, 20..30, &mut random));
    }
    requests.extend(arrivals(kind(names[0]), 0, 80, 20..30, &mut random));

    let (arrival, cost) = play_both(&requests, 3);

    let served = |tallies: &[Tally]| {
        let sent = f64::from(tallies[0].sent + tallies[1].sent);
        f64::from(tallies[0].in_time + tallies[0].late + tallies[1].in_time + tallies[1].late)
            / sent
    };
    assert!(cost[1].in_time() > arrival[1].in_time() + 0.05);
    assert!(cost[0].served() > served(&cost) / 4.0);
}

/// Load: calls of running requests reach an overloaded target beside requests of callers. Guards
/// against nested calls that are refused, which fails runs that were paid for.
#[test]
fn nested_calls_are_served_during_overload() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let nested = Kind {
        route: "nested",
        timeout_ms: 260,
        ..LOOKUP
    };
    let mut requests = arrivals(LOOKUP, 1, 80, 0..15, &mut random);
    requests.extend(arrivals(nested, 0, 20, 0..15, &mut random));

    let (arrival, cost) = play_both(&requests, 2);

    assert!(cost[0].in_time() > arrival[0].in_time() + 0.05);
    assert!(cost[0].in_time() > 0.95);
}

/// Load: a target gets more than it can run, and each refused caller comes back once. Guards against
/// callers that all come back together and are refused again, which costs more than one refusal.
#[test]
fn refused_callers_are_seldom_refused_again() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let kind = Kind {
        target_latency_ms: 500,
        timeout_ms: 1_500,
        ..LOOKUP
    };
    let mut requests = arrivals(kind, 1, 60, 0..20, &mut random);
    for second in [4, 9, 14] {
        requests.extend(arrivals(kind, 0, 100, second..second + 1, &mut random));
    }

    let (arrival, cost) = play_both(&requests, 2);

    let again = |tallies: &[Tally]| tallies[0].refused_again + tallies[1].refused_again;
    let in_time = |tallies: &[Tally]| tallies[0].in_time + tallies[1].in_time;
    assert!(again(&cost) < again(&arrival));
    assert!(in_time(&cost) >= in_time(&arrival));
}
