//! Admission at the target's node: slots, queue, fences, cancellation and draining. A fence bars an
//! attempt whose link failed from starting, and tells whether it has started.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::catalogue::Class;
use hemlockfall_core::ids::Incarnation;
use hemlockfall_core::units::duration_ms;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Now;
use crate::options::Options;
use crate::outcome::Reason;
use crate::seen::AttemptId;
use crate::seen::Mark;
use crate::seen::SeenAttempts;

/// Divisor of the weight of a new run time in the moving average.
const RUN_TIME_WEIGHT: u32 = 8;
/// Minimum `retry-after`; a request that is resent sooner would only be refused again.
const MIN_RETRY_AFTER_MS: u32 = 10;

/// Attempt that arrives at the target's node and asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The attempt.
    pub attempt_id: AttemptId,
    /// Incarnation of the node that the entry node sent the attempt to.
    pub incarnation: Incarnation,
    /// Class of the service or caller.
    pub class: Class,
    /// Time by which the answer is needed.
    pub deadline: Instant,
}

/// Decision on an attempt that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Hand the request to the target now.
    Start,
    /// The attempt waits; a later action starts or refuses it. A displaced attempt must be refused.
    Queued {
        /// Attempt of a lower precedence that was removed from the queue.
        displaced: Option<AttemptId>,
    },
    /// The attempt is refused. If the outcome of the reason is `NotRun`, it never runs.
    Refused {
        /// Reason for the refusal.
        reason: Reason,
        /// Time after which a resend is worthwhile, in milliseconds: for an attempt that the queue
        /// could not hold or serve in time the estimated wait, else the default of the reason.
        retry_after_ms: Option<u32>,
    },
    /// The attempt waits or was started before; ignore the duplicate frame.
    Duplicate,
}

/// Action that is due after a slot became free or time passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Hand the request to the target.
    Start(AttemptId),
    /// Answer the entry node that the attempt has not run.
    Refuse {
        /// The attempt.
        attempt_id: AttemptId,
        /// Reason for the refusal.
        reason: Reason,
    },
}

/// Result of a fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceAnswer {
    /// The attempt had not started, and never will.
    NotStarted,
    /// The attempt had started, or has ended.
    Started,
    /// The node no longer remembers the attempt, or is another incarnation, so it cannot tell.
    CannotKnow,
}

/// Result of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The attempt will not start.
    NotStarted,
    /// The attempt runs: forward the cancellation to the target.
    Running,
    /// The attempt has ended or is no longer remembered.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    class: Class,
    deadline: Instant,
    sequence: u64,
}

/// Slots and queue of one local target.
#[derive(Clone, Debug)]
pub struct Admission {
    incarnation: Incarnation,
    slots: usize,
    running: HashMap<AttemptId, Instant>,
    queue: BTreeMap<Rank, AttemptId>,
    ranks: HashMap<AttemptId, Rank>,
    seen: SeenAttempts,
    sequence: u64,
    run_time: Duration,
    is_draining: bool,
}

impl Admission {
    /// Creates the admission of a target with a number of slots, in one incarnation of its node.
    #[must_use]
    pub fn new(incarnation: Incarnation, slots: u16, options: &Options) -> Self {
        Self {
            incarnation,
            slots: usize::from(slots),
            running: HashMap::new(),
            queue: BTreeMap::new(),
            ranks: HashMap::new(),
            seen: SeenAttempts::new(options),
            sequence: 0,
            run_time: Duration::ZERO,
            is_draining: false,
        }
    }

    /// Returns whether this is the admission of an incarnation of the node.
    #[must_use]
    pub fn is_for_incarnation(&self, incarnation: Incarnation) -> bool {
        self.incarnation == incarnation
    }

    /// Decides on an attempt that arrived.
    pub fn admit(&mut self, request: &AdmissionRequest, now: Now) -> AdmissionDecision {
        if let Some(refused) = self.screen(request.attempt_id, request.incarnation) {
            return refused;
        }
        if self.is_draining {
            return self.refuse(request.attempt_id, Reason::Draining, None, now);
        }
        if request.deadline <= now.at {
            return self.refuse(request.attempt_id, Reason::DeadlinePassed, None, now);
        }
        if self.running.len() < self.slots && self.queue.is_empty() {
            self.start(request.attempt_id, now);
            return AdmissionDecision::Start;
        }
        self.enqueue(request, now)
    }

    /// Answers an attempt that needs no new decision: one for another incarnation of the node, a
    /// duplicate, or one that was barred or may have been. A node screens a call frame before it
    /// claims the call's key.
    #[must_use]
    pub fn screen(
        &self,
        attempt_id: AttemptId,
        incarnation: Incarnation,
    ) -> Option<AdmissionDecision> {
        let refused = |reason: Reason| AdmissionDecision::Refused {
            reason,
            retry_after_ms: reason.retry_after_ms(),
        };
        if incarnation != self.incarnation {
            return Some(refused(Reason::EarlierLife));
        }
        match self.seen.get(attempt_id) {
            Some(Mark::Barred) => Some(refused(Reason::Fenced)),
            Some(Mark::Queued | Mark::Started) => Some(AdmissionDecision::Duplicate),
            None if self.seen.is_stale(attempt_id) => Some(refused(Reason::StaleAttempt)),
            None => None,
        }
    }

    /// Frees the slot of an attempt. Returns the actions that are due then.
    pub fn finished(&mut self, attempt_id: AttemptId, now: Now) -> Vec<AdmissionAction> {
        let Some(since) = self.running.remove(&attempt_id) else {
            return Vec::new();
        };
        let sample = now.at.saturating_duration_since(since);
        self.run_time = if self.run_time.is_zero() {
            sample
        } else {
            (self.run_time * (RUN_TIME_WEIGHT - 1) + sample) / RUN_TIME_WEIGHT
        };
        self.advance(now)
    }

    /// Refuses queued attempts whose deadline passed, and starts others while slots are free.
    pub fn advance(&mut self, now: Now) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.refuse_expired(now, &mut actions);
        while self.running.len() < self.slots {
            let Some((_, attempt_id)) = self.queue.pop_first() else {
                break;
            };
            self.ranks.remove(&attempt_id);
            self.start(attempt_id, now);
            actions.push(AdmissionAction::Start(attempt_id));
        }
        actions
    }

    /// Bars an attempt from starting. Returns whether it had started. An attempt that was not
    /// received yet gets a tombstone, so that its call frame is refused when it arrives later.
    pub fn fence(
        &mut self,
        attempt_id: AttemptId,
        incarnation: Incarnation,
        now: Now,
    ) -> FenceAnswer {
        if incarnation != self.incarnation {
            return FenceAnswer::CannotKnow;
        }
        match self.seen.get(attempt_id) {
            Some(Mark::Started) => FenceAnswer::Started,
            None if self.seen.is_stale(attempt_id) => FenceAnswer::CannotKnow,
            Some(Mark::Queued | Mark::Barred) | None => {
                self.bar(attempt_id, now);
                FenceAnswer::NotStarted
            }
        }
    }

    /// Removes a queued attempt from the queue, or bars one whose call has not arrived.
    pub fn cancel(&mut self, attempt_id: AttemptId, now: Now) -> Cancelled {
        if self.running.contains_key(&attempt_id) {
            return Cancelled::Running;
        }
        match self.seen.get(attempt_id) {
            Some(Mark::Started) => Cancelled::Ended,
            None if self.seen.is_stale(attempt_id) => Cancelled::Ended,
            Some(Mark::Queued | Mark::Barred) | None => {
                self.bar(attempt_id, now);
                Cancelled::NotStarted
            }
        }
    }

    /// Starts draining: new attempts are refused, queued and running ones finish.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Sets a new number of slots; running attempts are not cancelled.
    pub fn resize(&mut self, slots: u16) {
        self.slots = usize::from(slots);
    }

    /// Removes the attempts that ran on a lost target and refuses the queued ones. Returns the
    /// former, whose outcome is unknown, and the refusals.
    pub fn target_lost(&mut self, now: Now) -> (Vec<AttemptId>, Vec<AdmissionAction>) {
        let mut lost: Vec<AttemptId> = self.running.drain().map(|(id, _)| id).collect();
        lost.sort_unstable();
        let waiting: Vec<AttemptId> = self.queue.values().copied().collect();
        let reason = Reason::NoTarget;
        let refused = waiting
            .into_iter()
            .map(|attempt_id| {
                self.bar(attempt_id, now);
                AdmissionAction::Refuse { attempt_id, reason }
            })
            .collect();
        (lost, refused)
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting attempts.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether draining has finished.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.is_draining && self.running.is_empty() && self.queue.is_empty()
    }

    /// Returns when the next queued attempt's deadline passes.
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        self.queue.keys().map(|rank| rank.deadline).min()
    }

    fn enqueue(&mut self, request: &AdmissionRequest, now: Now) -> AdmissionDecision {
        self.sequence += 1;
        let rank = Rank {
            class: request.class,
            deadline: request.deadline,
            sequence: self.sequence,
        };
        let ahead = self.queue.range(..rank).count();
        let wait = self.estimated_wait(ahead);
        let is_full = self.queue.len() >= self.slots;
        if is_full && ahead >= self.queue.len() {
            let retry_after_ms = self.retry_after_ms();
            return self.refuse(
                request.attempt_id,
                Reason::QueueFull,
                Some(retry_after_ms),
                now,
            );
        }
        if now.at + wait >= request.deadline {
            let retry_after_ms = self.retry_after_ms();
            return self.refuse(
                request.attempt_id,
                Reason::DeadlinePassed,
                Some(retry_after_ms),
                now,
            );
        }
        let displaced = is_full
            .then(|| self.queue.last_key_value().map(|(_, id)| *id))
            .flatten();
        if let Some(displaced) = displaced {
            self.bar(displaced, now);
        }
        self.queue.insert(rank, request.attempt_id);
        self.ranks.insert(request.attempt_id, rank);
        self.seen.set(request.attempt_id, Mark::Queued, now);
        AdmissionDecision::Queued { displaced }
    }

    /// Returns the time until an attempt behind `ahead` others gets a slot, from the average run
    /// time.
    fn estimated_wait(&self, ahead: usize) -> Duration {
        let slots = u32::try_from(self.slots.max(1)).unwrap_or(u32::MAX);
        let place = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.run_time.saturating_mul(place) / slots
    }

    fn retry_after_ms(&self) -> u32 {
        let wait_ms = duration_ms(self.estimated_wait(self.queue.len()));
        u32::try_from(wait_ms)
            .unwrap_or(u32::MAX)
            .max(MIN_RETRY_AFTER_MS)
    }

    fn refuse_expired(&mut self, now: Now, actions: &mut Vec<AdmissionAction>) {
        let expired: Vec<AttemptId> = self
            .queue
            .iter()
            .filter(|(rank, _)| rank.deadline <= now.at)
            .map(|(_, attempt_id)| *attempt_id)
            .collect();
        for attempt_id in expired {
            self.bar(attempt_id, now);
            let reason = Reason::DeadlinePassed;
            actions.push(AdmissionAction::Refuse { attempt_id, reason });
        }
    }

    fn refuse(
        &mut self,
        attempt_id: AttemptId,
        reason: Reason,
        retry_after_ms: Option<u32>,
        now: Now,
    ) -> AdmissionDecision {
        self.bar(attempt_id, now);
        AdmissionDecision::Refused {
            reason,
            retry_after_ms: retry_after_ms.or(reason.retry_after_ms()),
        }
    }

    fn bar(&mut self, attempt_id: AttemptId, now: Now) {
        if let Some(rank) = self.ranks.remove(&attempt_id) {
            self.queue.remove(&rank);
        }
        self.seen.set(attempt_id, Mark::Barred, now);
    }

    fn start(&mut self, attempt_id: AttemptId, now: Now) {
        self.running.insert(attempt_id, now.at);
        self.seen.set(attempt_id, Mark::Started, now);
    }
}
