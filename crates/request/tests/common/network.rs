//! In-memory network of entry nodes and targets' nodes, for one request and its resends.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hemlockfall_core::endpoint::EndpointState;
use hemlockfall_core::ids::NodeName;
use hemlockfall_request::admission::Admission;
use hemlockfall_request::admission::AdmissionAction;
use hemlockfall_request::admission::AdmissionDecision;
use hemlockfall_request::admission::AdmissionRequest;
use hemlockfall_request::admission::FenceAnswer;
use hemlockfall_request::call::Answer;
use hemlockfall_request::call::Attempt;
use hemlockfall_request::call::Call;
use hemlockfall_request::call::CallAction;
use hemlockfall_request::call::CallRequest;
use hemlockfall_request::call::LinkFailure;
use hemlockfall_request::clock::Now;
use hemlockfall_request::clock::millis;
use hemlockfall_request::idempotency::ClaimRequest;
use hemlockfall_request::idempotency::KeyAction;
use hemlockfall_request::idempotency::KeyDecision;
use hemlockfall_request::idempotency::KeyMessage;
use hemlockfall_request::idempotency::KeyStore;
use hemlockfall_request::key_records::RecordedAnswer;
use hemlockfall_request::options::Options;
use hemlockfall_request::outcome::AttemptResult;
use hemlockfall_request::outcome::Outcome;
use hemlockfall_request::router::Router;
use hemlockfall_request::seen::AttemptId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::common;

const TARGETS: usize = 5;
const JOINING_NODE: &str = "n5";
const STEPS: usize = 300;

/// Faults of the network and its nodes. Probabilities are in percent, per frame or step.
#[derive(Clone, Copy)]
pub struct Faults {
    loss: u32,
    duplication: u32,
    link_loss: u32,
    deaths: bool,
    restarts: bool,
    joins: bool,
}

impl Faults {
    pub const NONE: Self = Self {
        loss: 0,
        duplication: 0,
        link_loss: 0,
        deaths: false,
        restarts: false,
        joins: false,
    };
    pub const LOSSY: Self = Self {
        loss: 8,
        duplication: 15,
        link_loss: 3,
        ..Self::NONE
    };
    pub const DEATH: Self = Self {
        deaths: true,
        ..Self::LOSSY
    };
    pub const CHANGE: Self = Self {
        restarts: true,
        joins: true,
        ..Self::DEATH
    };
}

#[derive(Clone)]
enum Frame {
    /// An attempt, with the keepers that the entry node names.
    Call(Box<Attempt>, Vec<NodeName>),
    Result(AttemptId, AttemptResult),
    Fence(AttemptId, u64),
    FenceAnswer(AttemptId, FenceAnswer),
    Cancel(AttemptId),
    Key(KeyMessage),
    Ended(AttemptId),
}

struct TargetNode {
    admission: Admission,
    keys: KeyStore,
    router: Router,
    entries: BTreeMap<AttemptId, (NodeName, AdmissionRequest)>,
}

pub struct Network {
    now: Now,
    random: SmallRng,
    faults: Faults,
    key: String,
    routers: Vec<Router>,
    targets: BTreeMap<NodeName, TargetNode>,
    calls: Vec<(usize, Call)>,
    attempts: BTreeMap<AttemptId, usize>,
    answers: Vec<Answer>,
    frames: Vec<(NodeName, NodeName, Frame)>,
    ran: BTreeSet<AttemptId>,
    reported_not_run: BTreeSet<usize>,
    run_count: usize,
    fence_count: usize,
    victim: NodeName,
}

impl Network {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let now = common::start();
        let later = now.plus(Duration::from_mins(1));
        let key = uuid::Builder::from_unix_timestamp_millis(later.unix_ms, &random.random())
            .into_uuid()
            .to_string();
        let mut network = Self {
            now,
            faults,
            key,
            routers: (0..2)
                .map(|entry| {
                    common::router_with(
                        &format!("e{entry}"),
                        seed.wrapping_add(entry),
                        TARGETS,
                        now,
                    )
                })
                .collect(),
            targets: BTreeMap::new(),
            calls: Vec::new(),
            attempts: BTreeMap::new(),
            answers: Vec::new(),
            frames: Vec::new(),
            ran: BTreeSet::new(),
            reported_not_run: BTreeSet::new(),
            run_count: 0,
            fence_count: 0,
            victim: NodeName::default(),
            random,
        };
        for index in 0..TARGETS {
            network.add_target(&format!("n{index}"), 1);
        }
        network.now = later;
        network.victim = network.random_keeper();
        network
    }

    pub fn run(&mut self) {
        self.send_request(0);
        let death_step = self.random.random_range(0..STEPS / 2);
        let join_step = self.random.random_range(0..STEPS / 2);
        for step in 0..STEPS {
            if self.calls.len() < 4 && self.random.random_range(0..40) == 0 {
                let entry = self.random.random_range(0..2);
                self.send_request(entry);
            }
            if self.faults.deaths && step == death_step {
                self.kill_victim();
            }
            if self.faults.joins && step == join_step {
                self.join(JOINING_NODE, self.now.unix_ms);
            }
            self.step();
        }
        self.settle();
    }

    pub fn runs(&self) -> usize {
        self.run_count
    }

    pub fn fences(&self) -> usize {
        self.fence_count
    }

    pub fn complete_answers(&self) -> usize {
        let is_complete = |answer: &&Answer| matches!(answer, Answer::Forward { .. });
        self.answers.iter().filter(is_complete).count()
    }

    pub fn unknown_answers(&self) -> usize {
        let is_unknown = |answer: &&Answer| {
            matches!(
                answer,
                Answer::Generated {
                    outcome: Outcome::Unknown,
                    ..
                }
            )
        };
        self.answers.iter().filter(is_unknown).count()
    }

    /// Checks that every call got one answer and is done. That no attempt of a call that was
    /// answered "not run" ever runs is checked as frames are delivered.
    pub fn assert_all_answered(&self) {
        assert_eq!(self.answers.len(), self.calls.len());
        assert!(self.calls.iter().all(|(_, call)| call.is_done()));
    }

    fn step(&mut self) {
        self.now = self
            .now
            .plus(Duration::from_millis(self.random.random_range(0..15)));
        self.tick();
        if self.faults.link_loss > 0 && self.percent(self.faults.link_loss) {
            let node = format!("n{}", self.random.random_range(0..TARGETS));
            self.lose_link(&node);
        }
        if self.frames.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.frames.len());
        let (from, to, frame) = self.frames.swap_remove(index);
        let is_local = matches!(frame, Frame::Ended(_));
        if !is_local && self.percent(self.faults.loss) {
            return;
        }
        if !is_local && self.percent(self.faults.duplication) {
            self.frames.push((from.clone(), to.clone(), frame.clone()));
        }
        self.deliver(&from, &to, frame);
    }

    /// Delivers the remaining frames and lets all timers expire.
    fn settle(&mut self) {
        for _ in 0..200 {
            self.faults.duplication = 0;
            for _ in 0..20 {
                self.step();
            }
            self.now = self.now.plus(Duration::from_millis(50));
            self.tick();
        }
        assert!(self.frames.is_empty(), "frames are left");
    }

    fn deliver(&mut self, from: &NodeName, to: &NodeName, frame: Frame) {
        match frame {
            Frame::Result(attempt_id, result) => self.on_result(attempt_id, result),
            Frame::FenceAnswer(attempt_id, answer) => {
                let Some(index) = self.attempts.get(&attempt_id).copied() else {
                    return;
                };
                let (entry, call) = &mut self.calls[index];
                let router = &mut self.routers[*entry];
                let actions = call.fence_answered(attempt_id, answer, router, self.now);
                self.perform(index, actions);
            }
            frame => self.deliver_to_target(from, to, frame),
        }
    }

    fn deliver_to_target(&mut self, from: &NodeName, to: &NodeName, frame: Frame) {
        let now = self.now;
        let Some(node) = self.targets.get_mut(to) else {
            return;
        };
        match frame {
            Frame::Call(attempt, keepers) => self.on_call(from, to, &attempt, keepers),
            Frame::Fence(attempt_id, incarnation) => {
                let answer = node.admission.fence(attempt_id, incarnation, now);
                if answer == FenceAnswer::NotStarted {
                    let actions = node.keys.released(attempt_id);
                    self.perform_keys(to, actions);
                }
                self.send(to, from, Frame::FenceAnswer(attempt_id, answer));
            }
            Frame::Cancel(attempt_id) => {
                node.admission.cancel(attempt_id, now);
            }
            Frame::Key(message) => {
                let actions = node.keys.receive(from, message, now);
                self.perform_keys(to, actions);
            }
            Frame::Ended(attempt_id) => self.on_ended(to, attempt_id),
            Frame::Result(..) | Frame::FenceAnswer(..) => {}
        }
    }

    /// Returns the keepers that an entry node, which knows all members from the start, names.
    fn entry_keepers(&self, attempt: &Attempt) -> Vec<NodeName> {
        let key = attempt.key.as_ref().expect("attempts have a key");
        if key.is_generated {
            return Vec::new();
        }
        self.routers[0].keepers(&key.key, false, true, self.now)
    }

    fn on_call(
        &mut self,
        from: &NodeName,
        to: &NodeName,
        attempt: &Attempt,
        entry_keepers: Vec<NodeName>,
    ) {
        let now = self.now;
        let Some(node) = self.targets.get_mut(to) else {
            return;
        };
        let attempt_id = attempt.attempt_id;
        match node.admission.screen(attempt_id, attempt.to.incarnation) {
            Some(AdmissionDecision::Refused { reason, .. }) => {
                let result = AttemptResult::refused(reason, None);
                self.send(to, from, Frame::Result(attempt_id, result));
                return;
            }
            Some(_) => return,
            None => {}
        }
        let deadline = now.at + millis(attempt.time_left_ms);
        let request = AdmissionRequest {
            attempt_id,
            incarnation: attempt.to.incarnation,
            class: attempt.class,
            deadline,
        };
        let wanted = attempt.key.clone().expect("attempts have a key");
        let has_history = node.keys.has_history(&wanted.key, now);
        let keepers = if has_history || entry_keepers.is_empty() {
            node.router
                .keepers(&wanted.key, wanted.is_generated, has_history, now)
        } else {
            entry_keepers
        };
        node.entries.insert(attempt_id, (from.clone(), request));
        let request = ClaimRequest {
            key: wanted.key,
            claimant: attempt_id,
            keepers,
            voided: wanted.voided,
            is_generated: wanted.is_generated,
            deadline,
        };
        let actions = node.keys.begin(request, now);
        self.perform_keys(to, actions);
    }

    fn perform_keys(&mut self, at: &NodeName, actions: Vec<KeyAction>) {
        for action in actions {
            match action {
                KeyAction::Send { to, message } => self.send(at, &to, Frame::Key(message)),
                KeyAction::Decide { claimant, decision } => self.decide(at, claimant, &decision),
            }
        }
    }

    fn decide(&mut self, at: &NodeName, attempt_id: AttemptId, decision: &KeyDecision) {
        let now = self.now;
        let Some(node) = self.targets.get_mut(at) else {
            return;
        };
        let Some((entry, request)) = node.entries.get(&attempt_id).cloned() else {
            return;
        };
        let result = match decision {
            KeyDecision::Recorded(_) => AttemptResult::Answered { is_failure: false },
            KeyDecision::Refused(reason) => AttemptResult::refused(*reason, None),
            KeyDecision::Run => match node.admission.admit(&request, now) {
                AdmissionDecision::Start => return self.begin_run(at, attempt_id),
                AdmissionDecision::Queued { .. } | AdmissionDecision::Duplicate => return,
                AdmissionDecision::Refused { reason, .. } => {
                    let actions = node.keys.released(attempt_id);
                    self.perform_keys(at, actions);
                    AttemptResult::refused(reason, None)
                }
            },
        };
        self.send(at, &entry, Frame::Result(attempt_id, result));
    }

    fn begin_run(&mut self, at: &NodeName, attempt_id: AttemptId) {
        self.run_count += 1;
        self.ran.insert(attempt_id);
        self.assert_not_reported(attempt_id);
        self.send(at, at, Frame::Ended(attempt_id));
    }

    fn on_ended(&mut self, at: &NodeName, attempt_id: AttemptId) {
        let now = self.now;
        let Some(node) = self.targets.get_mut(at) else {
            return;
        };
        let Some((entry, _)) = node.entries.get(&attempt_id).cloned() else {
            return;
        };
        let answer = RecordedAnswer {
            status: 200,
            content: Some(vec![1]),
        };
        let due = node.admission.finished(attempt_id, now);
        let actions = node.keys.finished(attempt_id, answer, now);
        let result = AttemptResult::Answered { is_failure: false };
        self.send(at, &entry, Frame::Result(attempt_id, result));
        self.perform_keys(at, actions);
        self.perform_admission(at, due);
    }

    fn perform_admission(&mut self, at: &NodeName, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Start(attempt_id) => self.begin_run(at, attempt_id),
                AdmissionAction::Refuse { attempt_id, reason } => {
                    let Some(node) = self.targets.get_mut(at) else {
                        continue;
                    };
                    let released = node.keys.released(attempt_id);
                    let entry = node.entries[&attempt_id].0.clone();
                    self.perform_keys(at, released);
                    let result = AttemptResult::refused(reason, None);
                    self.send(at, &entry, Frame::Result(attempt_id, result));
                }
            }
        }
    }

    fn on_result(&mut self, attempt_id: AttemptId, result: AttemptResult) {
        if matches!(result, AttemptResult::NotRun { .. }) {
            assert!(!self.ran.contains(&attempt_id), "a run was called not run");
        }
        let Some(index) = self.attempts.get(&attempt_id).copied() else {
            return;
        };
        let (entry, call) = &mut self.calls[index];
        let router = &mut self.routers[*entry];
        let actions = call.attempt_ended(attempt_id, result, router, self.now);
        self.perform(index, actions);
    }

    fn send_request(&mut self, entry: usize) {
        let request = CallRequest {
            request_id: uuid::Uuid::from_u128(self.random.random()),
            host: "desk",
            path: "/orders/1",
            timeout_ms: None,
            is_retry: false,
            key: Some(&self.key),
            fingerprint: None,
        };
        let router = &mut self.routers[entry];
        let (call, actions) =
            Call::start(&request, router, |_, _, _| 1_000, self.now).expect("the route exists");
        self.calls.push((entry, call));
        self.perform(self.calls.len() - 1, actions);
    }

    fn perform(&mut self, index: usize, actions: Vec<CallAction>) {
        let entry = NodeName::from(format!("e{}", self.calls[index].0));
        for action in actions {
            match action {
                CallAction::SendAttempt(attempt) => {
                    self.attempts.insert(attempt.attempt_id, index);
                    let to = attempt.to.node.clone();
                    let keepers = self.entry_keepers(&attempt);
                    self.send(&entry, &to, Frame::Call(attempt, keepers));
                }
                CallAction::Fence { to, attempt_id } => {
                    self.fence_count += 1;
                    let frame = Frame::Fence(attempt_id, to.incarnation);
                    self.send(&entry, &to.node, frame);
                }
                CallAction::Cancel { to, attempt_id } => {
                    self.send(&entry, &to.node, Frame::Cancel(attempt_id));
                }
                CallAction::AnswerCaller(answer) => self.on_answer(index, answer),
                CallAction::Log(_) => {}
            }
        }
    }

    fn on_answer(&mut self, index: usize, answer: Answer) {
        self.answers.push(answer);
        let is_not_run = matches!(
            answer,
            Answer::Generated {
                outcome: Outcome::NotRun,
                ..
            }
        );
        let ran = &self.ran;
        let has_run = self
            .attempts
            .iter()
            .any(|(attempt_id, call)| *call == index && ran.contains(attempt_id));
        assert!(
            !(is_not_run && has_run),
            "a request that ran was called not run"
        );
        if is_not_run {
            self.reported_not_run.insert(index);
        }
    }

    fn assert_not_reported(&self, attempt_id: AttemptId) {
        let call = self.attempts.get(&attempt_id);
        let is_reported = call.is_some_and(|index| self.reported_not_run.contains(index));
        assert!(!is_reported, "a request runs after it was called not run");
    }

    fn tick(&mut self) {
        let now = self.now;
        for index in 0..self.calls.len() {
            let (entry, call) = &mut self.calls[index];
            let actions = call.tick(&mut self.routers[*entry], now);
            self.perform(index, actions);
        }
        let names: Vec<NodeName> = self.targets.keys().cloned().collect();
        for name in names {
            let Some(node) = self.targets.get_mut(&name) else {
                continue;
            };
            let claims = node.keys.tick(now);
            let due = node.admission.advance(now);
            self.perform_keys(&name, claims);
            self.perform_admission(&name, due);
        }
    }

    fn lose_link(&mut self, node: &str) {
        let failure = if self.percent(50) {
            LinkFailure::Stalled
        } else {
            LinkFailure::Lost
        };
        for index in 0..self.calls.len() {
            let (entry, call) = &mut self.calls[index];
            let router = &mut self.routers[*entry];
            let actions = call.link_failed(node, failure, router, self.now);
            self.perform(index, actions);
        }
    }

    fn random_keeper(&mut self) -> NodeName {
        let key = hemlockfall_request::placement::Key::new("desk", self.key.as_str());
        let keepers = self.routers[0].keepers(&key, false, false, self.now);
        keepers[self.random.random_range(0..keepers.len())].clone()
    }

    fn kill_victim(&mut self) {
        let victim = self.victim.clone();
        self.targets.remove(&victim);
        self.lose_link(&victim);
        if self.faults.restarts && self.percent(50) {
            self.join(&victim, self.now.unix_ms);
            return;
        }
        let mut record = common::record(&victim, "desk", "east", "east-1");
        record.state = EndpointState::Failed;
        self.announce(&record);
    }

    fn join(&mut self, name: &str, incarnation: u64) {
        self.add_target(name, incarnation);
        let mut record = common::record(name, "desk", "east", "east-1");
        record.incarnation = incarnation;
        self.announce(&record);
    }

    /// Applies a record at a random part of the nodes, because membership reaches them one by one.
    fn announce(&mut self, record: &hemlockfall_core::endpoint::EndpointRecord) {
        let now = self.now;
        let random = &mut self.random;
        let targets = self.targets.values_mut().map(|node| &mut node.router);
        for router in targets.chain(self.routers.iter_mut()) {
            if random.random_range(0..100) < 70 {
                router.set_endpoint(record, now);
            }
        }
    }

    fn add_target(&mut self, name: &str, incarnation: u64) {
        let options = Options::default();
        let node = TargetNode {
            admission: Admission::new(incarnation, 2, &options),
            keys: KeyStore::new(name.into(), options, self.now),
            router: common::router_with(name, 1, TARGETS, self.now),
            entries: BTreeMap::new(),
        };
        self.targets.insert(name.into(), node);
    }

    fn send(&mut self, from: &NodeName, to: &NodeName, frame: Frame) {
        self.frames.push((from.clone(), to.clone(), frame));
    }

    fn percent(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }
}
