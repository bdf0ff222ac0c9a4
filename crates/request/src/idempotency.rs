//! Idempotency keys: the key of a non-idempotent request is claimed at a majority of its keepers,
//! the nodes that hold replicas of its record, before the request is dispatched, so that no second
//! attempt can be dispatched.
//!
//! The runner, the node whose target runs the request, sends `Claim` to the keepers (itself
//! included) and dispatches the request once a majority has granted the claim. Then it sends
//! `Finished` with the answer, or `Release` when the attempt is known not to have run. Two
//! majorities of three keepers intersect, so of two claimants at most one runs.

use std::collections::HashMap;
use std::time::Instant;

use hemlockfall_core::ids::NodeName;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Now;
use crate::clock::millis;
use crate::key_records::ClaimVerdict;
use crate::key_records::KeyRecords;
use crate::key_records::KeyState;
use crate::key_records::RecordedAnswer;
use crate::key_records::bounded;
use crate::options::Options;
use crate::outcome::Reason;
use crate::placement::Key;
use crate::placement::majority;
use crate::seen::AttemptId;
use crate::seen::Mark;
use crate::seen::SeenAttempts;

/// Message between the runner and the keepers of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyMessage {
    /// A runner asks a keeper to record a key for an attempt.
    Claim {
        /// The key.
        key: Key,
        /// The attempt that wants to run.
        claimant: AttemptId,
        /// Earlier attempts of the same request that are known not to have run. Their claims are
        /// void.
        voided: Vec<AttemptId>,
    },
    /// A keeper answers a claim.
    ClaimAnswer {
        /// The attempt.
        claimant: AttemptId,
        /// The keeper's verdict.
        verdict: ClaimVerdict,
    },
    /// The attempt ran, with this answer.
    Finished {
        /// The key.
        key: Key,
        /// The attempt that ran.
        claimant: AttemptId,
        /// Its answer.
        answer: RecordedAnswer,
    },
    /// The attempt is known not to have run and will never run.
    Release {
        /// The key.
        key: Key,
        /// The attempt.
        claimant: AttemptId,
    },
}

/// Claim of the key of a call that arrived at its runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The key.
    pub key: Key,
    /// The attempt.
    pub claimant: AttemptId,
    /// Keepers of the key in the runner's view.
    pub keepers: Vec<NodeName>,
    /// Earlier attempts of the same request that are known not to have run. Their claims are void.
    pub voided: Vec<AttemptId>,
    /// Whether the entry node generated the key for this request, so that nobody can have used it
    /// before.
    pub is_generated: bool,
    /// Time by which the answer is needed.
    pub deadline: Instant,
}

/// Decision at the end of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// Request a slot for the attempt from admission; then call [`KeyStore::finished`] or
    /// [`KeyStore::released`].
    Run,
    /// Answer with the recorded answer; the attempt does not run.
    Recorded(RecordedAnswer),
    /// Answer with this reason; the attempt does not run.
    Refused(Reason),
}

/// Action that the node performs for the key store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAction {
    /// Send a message to a peer.
    Send {
        /// Node to send to.
        to: NodeName,
        /// Message.
        message: KeyMessage,
    },
    /// Continue the call of an attempt.
    Decide {
        /// The attempt.
        claimant: AttemptId,
        /// Decision on the attempt.
        decision: KeyDecision,
    },
}

#[derive(Clone, Debug)]
struct PendingClaim {
    key: Key,
    keepers: Vec<NodeName>,
    answered: Vec<NodeName>,
    granted: usize,
    is_already_claimed: bool,
    is_generated: bool,
    until: Instant,
}

#[derive(Clone, Debug)]
struct GrantedClaim {
    key: Key,
    keepers: Vec<NodeName>,
}

/// Key handling of one node, as runner and as keeper.
#[derive(Clone, Debug)]
pub struct KeyStore {
    node: NodeName,
    options: Options,
    records: KeyRecords,
    pending_claims: HashMap<AttemptId, PendingClaim>,
    granted_claims: HashMap<AttemptId, GrantedClaim>,
    seen_attempts: SeenAttempts,
}

impl KeyStore {
    /// Creates the key store of a node without records.
    #[must_use]
    pub fn new(node: NodeName, options: Options, now: Now) -> Self {
        Self {
            node,
            records: KeyRecords::new(now, &options),
            pending_claims: HashMap::new(),
            granted_claims: HashMap::new(),
            seen_attempts: SeenAttempts::new(&options),
            options,
        }
    }

    /// Claims the key of a call that arrived. A duplicate call frame is ignored.
    pub fn begin(&mut self, request: ClaimRequest, now: Now) -> Vec<KeyAction> {
        let claimant = request.claimant;
        if self.seen_attempts.get(claimant).is_some() {
            return Vec::new();
        }
        if self.seen_attempts.is_stale(claimant) {
            return vec![refuse(claimant, Reason::StaleAttempt)];
        }
        self.seen_attempts.set(claimant, Mark::Started, now);
        if request.keepers.is_empty() {
            return vec![refuse(claimant, Reason::NoTarget)];
        }
        let timeout_at = now.at + millis(self.options.key_claim_timeout_ms);
        let claim = PendingClaim {
            key: request.key.clone(),
            keepers: request.keepers,
            answered: Vec::new(),
            granted: 0,
            is_already_claimed: false,
            is_generated: request.is_generated,
            until: timeout_at.min(request.deadline),
        };
        let mut actions = self.send_to_keepers(&claim.keepers, || KeyMessage::Claim {
            key: request.key.clone(),
            claimant,
            voided: request.voided.clone(),
        });
        let is_keeper = claim.keepers.contains(&self.node);
        self.pending_claims.insert(claimant, claim);
        self.claim_locally(
            &request.key,
            claimant,
            &request.voided,
            is_keeper,
            now,
            &mut actions,
        );
        actions
    }

    /// Handles a peer's message.
    pub fn receive(&mut self, from: &NodeName, message: KeyMessage, now: Now) -> Vec<KeyAction> {
        let mut actions = Vec::new();
        match message {
            KeyMessage::Claim {
                key,
                claimant,
                voided,
            } => {
                let verdict = self
                    .records
                    .claim(&key, claimant, &voided, now, &self.options);
                actions.push(KeyAction::Send {
                    to: from.clone(),
                    message: KeyMessage::ClaimAnswer { claimant, verdict },
                });
            }
            KeyMessage::ClaimAnswer { claimant, verdict } => {
                self.count_verdict(claimant, from, verdict, now, &mut actions);
            }
            KeyMessage::Finished {
                key,
                claimant,
                answer,
            } => {
                self.records
                    .finish(&key, claimant, answer, now, &self.options);
            }
            KeyMessage::Release { key, claimant } => self.records.release(&key, claimant),
        }
        actions
    }

    /// Records the answer of an attempt that ran.
    pub fn finished(
        &mut self,
        claimant: AttemptId,
        answer: RecordedAnswer,
        now: Now,
    ) -> Vec<KeyAction> {
        let Some(granted_claim) = self.granted_claims.remove(&claimant) else {
            return Vec::new();
        };
        let answer = bounded(answer, &self.options);
        let actions = self.send_to_keepers(&granted_claim.keepers, || KeyMessage::Finished {
            key: granted_claim.key.clone(),
            claimant,
            answer: answer.clone(),
        });
        self.records
            .finish(&granted_claim.key, claimant, answer, now, &self.options);
        actions
    }

    /// Removes the records of an attempt that is known not to have run and will never run: it was
    /// refused, fenced or cancelled before it started, or shed by the target.
    pub fn released(&mut self, claimant: AttemptId) -> Vec<KeyAction> {
        if let Some(granted_claim) = self.granted_claims.remove(&claimant) {
            return self.release(&granted_claim.key, &granted_claim.keepers, claimant);
        }
        let Some(claim) = self.pending_claims.remove(&claimant) else {
            return Vec::new();
        };
        self.release(&claim.key, &claim.keepers, claimant)
    }

    /// Ends an attempt whose outcome is unknown; its records stay as they are.
    pub fn lost(&mut self, claimant: AttemptId) {
        self.granted_claims.remove(&claimant);
    }

    /// Discards expired key records and refuses the claims whose time limit has passed.
    pub fn tick(&mut self, now: Now) -> Vec<KeyAction> {
        self.records.expire(now, &self.options);
        let mut due: Vec<AttemptId> = self
            .pending_claims
            .iter()
            .filter(|(_, claim)| claim.until <= now.at)
            .map(|(claimant, _)| *claimant)
            .collect();
        due.sort_unstable();
        let mut actions = Vec::new();
        for claimant in due {
            self.fail_claim(claimant, &mut actions);
        }
        actions
    }

    /// Returns when [`KeyStore::tick`] has a claim to end.
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        self.pending_claims.values().map(|claim| claim.until).min()
    }

    /// Records that the node became a member of its service again, after it had left the service
    /// without losing its records. Keys from the time between have other keepers.
    pub fn rejoined(&mut self, now: Now) {
        self.records.reset_complete_since(now, &self.options);
    }

    /// Returns whether this node has known the members of its service since before any use of the
    /// key.
    #[must_use]
    pub fn has_history(&self, key: &Key, now: Now) -> bool {
        self.records.has_history(key, now, &self.options)
    }

    /// Returns the records kept here.
    #[must_use]
    pub fn records(&self) -> &KeyRecords {
        &self.records
    }

    /// Claims the key in the runner's own records. A runner that is no keeper (its version differs
    /// from that of the keepers) has records only of what it ran itself, so its verdict can refuse
    /// a run but does not count towards the majority.
    fn claim_locally(
        &mut self,
        key: &Key,
        claimant: AttemptId,
        voided: &[AttemptId],
        is_keeper: bool,
        now: Now,
        actions: &mut Vec<KeyAction>,
    ) {
        let verdict = self
            .records
            .claim(key, claimant, voided, now, &self.options);
        if is_keeper {
            let node = self.node.clone();
            self.count_verdict(claimant, &node, verdict, now, actions);
            return;
        }
        match verdict {
            ClaimVerdict::AlreadyClaimed(KeyState::Finished(answer)) => {
                self.answer_from_record(claimant, answer, actions);
            }
            ClaimVerdict::AlreadyClaimed(KeyState::Started) => {
                if let Some(claim) = self.pending_claims.get_mut(&claimant) {
                    claim.is_already_claimed = true;
                }
            }
            ClaimVerdict::Granted | ClaimVerdict::CannotKnow => {}
        }
    }

    fn count_verdict(
        &mut self,
        claimant: AttemptId,
        from: &NodeName,
        verdict: ClaimVerdict,
        now: Now,
        actions: &mut Vec<KeyAction>,
    ) {
        let Some(claim) = self.pending_claims.get_mut(&claimant) else {
            return;
        };
        if !claim.keepers.contains(from) || claim.answered.contains(from) {
            return;
        }
        claim.answered.push(from.clone());
        match verdict {
            ClaimVerdict::AlreadyClaimed(KeyState::Finished(answer)) => {
                self.answer_from_record(claimant, answer, actions);
                return;
            }
            ClaimVerdict::AlreadyClaimed(KeyState::Started) => claim.is_already_claimed = true,
            ClaimVerdict::Granted => claim.granted += 1,
            ClaimVerdict::CannotKnow if claim.is_generated => claim.granted += 1,
            ClaimVerdict::CannotKnow => {}
        }
        let needed = majority(claim.keepers.len());
        if !claim.is_already_claimed && claim.granted >= needed && claim.until > now.at {
            self.grant(claimant, actions);
        } else if self.has_all_verdicts(claimant) {
            self.fail_claim(claimant, actions);
        }
    }

    /// Returns whether all keepers have answered a claim. A claim of a key that another attempt has
    /// started waits for the remaining verdicts, since one of them may hold the answer.
    fn has_all_verdicts(&self, claimant: AttemptId) -> bool {
        self.pending_claims
            .get(&claimant)
            .is_some_and(|claim| claim.answered.len() == claim.keepers.len())
    }

    fn grant(&mut self, claimant: AttemptId, actions: &mut Vec<KeyAction>) {
        let Some(claim) = self.pending_claims.remove(&claimant) else {
            return;
        };
        let granted_claim = GrantedClaim {
            key: claim.key,
            keepers: claim.keepers,
        };
        self.granted_claims.insert(claimant, granted_claim);
        actions.push(KeyAction::Decide {
            claimant,
            decision: KeyDecision::Run,
        });
    }

    fn answer_from_record(
        &mut self,
        claimant: AttemptId,
        answer: RecordedAnswer,
        actions: &mut Vec<KeyAction>,
    ) {
        let Some(claim) = self.pending_claims.remove(&claimant) else {
            return;
        };
        actions.extend(self.release(&claim.key, &claim.keepers, claimant));
        let decision = if answer.content.is_some() {
            KeyDecision::Recorded(answer)
        } else {
            KeyDecision::Refused(Reason::KeyAnswerNotKept)
        };
        actions.push(KeyAction::Decide { claimant, decision });
    }

    fn fail_claim(&mut self, claimant: AttemptId, actions: &mut Vec<KeyAction>) {
        let Some(claim) = self.pending_claims.remove(&claimant) else {
            return;
        };
        actions.extend(self.release(&claim.key, &claim.keepers, claimant));
        let reason = match (claim.is_already_claimed, claim.is_generated) {
            (true, _) => Reason::KeyPending,
            (false, true) => Reason::NoWitness,
            (false, false) => Reason::KeyCannotKnow,
        };
        actions.push(refuse(claimant, reason));
    }

    fn release(&mut self, key: &Key, keepers: &[NodeName], claimant: AttemptId) -> Vec<KeyAction> {
        self.records.release(key, claimant);
        self.send_to_keepers(keepers, || KeyMessage::Release {
            key: key.clone(),
            claimant,
        })
    }

    fn send_to_keepers<F: Fn() -> KeyMessage>(
        &self,
        keepers: &[NodeName],
        message: F,
    ) -> Vec<KeyAction> {
        keepers
            .iter()
            .filter(|keeper| **keeper != self.node)
            .map(|keeper| KeyAction::Send {
                to: keeper.clone(),
                message: message(),
            })
            .collect()
    }
}

fn refuse(claimant: AttemptId, reason: Reason) -> KeyAction {
    KeyAction::Decide {
        claimant,
        decision: KeyDecision::Refused(reason),
    }
}
