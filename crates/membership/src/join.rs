//! Joining: contacts, backoff, and admission of others.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::ids::DataCentreName;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

/// `BACKOFF_MIN_MS` is the first wait of a joining node.
pub const BACKOFF_MIN_MS: u32 = 200;
/// `BACKOFF_MAX_MS` is the longest wait of a joining node.
pub const BACKOFF_MAX_MS: u32 = 5_000;

/// Contact addresses kept.
const MAX_KNOWN: usize = 256;
/// A node whose contacts are all silent for this long starts alone; it keeps probing them.
const ALONE_AFTER: Duration = Duration::from_secs(10);
/// A joining node reads the contact objects at this interval.
const READ_INTERVAL: Duration = Duration::from_secs(5);
const ADMISSION_WINDOW: Duration = Duration::from_secs(1);

/// `Contacts` is the content of one contact object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contacts {
    /// Data centre of the object.
    pub data_centre: DataCentreName,
    /// Addresses.
    pub addresses: Vec<SocketAddr>,
}

/// `JoinStep` is what a joining node does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinStep {
    /// Nothing now.
    Wait,
    /// Read the contact objects.
    ReadContacts,
    /// Ask a contact.
    Ask(SocketAddr),
    /// Go on without others.
    StartAlone,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Joining,
    /// The other contacts are joining too and wait for this node.
    First,
    Joined,
}

/// `Joiner` leads a starting node into the group.
pub struct Joiner {
    own: SocketAddr,
    phase: Phase,
    known: Vec<SocketAddr>,
    is_contact: bool,
    store_answered: bool,
    first_ask: Option<Instant>,
    next_ask: Instant,
    next_read: Instant,
    backoff_ms: u32,
}

impl Joiner {
    /// `new` starts with the contacts from the settings.
    #[must_use]
    pub fn new(own: SocketAddr, contacts: &[SocketAddr], now: Instant) -> Self {
        let mut joiner = Self {
            own,
            phase: Phase::Joining,
            known: Vec::new(),
            is_contact: false,
            store_answered: false,
            first_ask: None,
            next_ask: now,
            next_read: now,
            backoff_ms: BACKOFF_MIN_MS,
        };
        joiner.add(contacts);
        joiner
    }

    /// `is_joined` tells whether the node has joined.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.phase == Phase::Joined
    }

    /// `joined` ends joining.
    pub fn joined(&mut self) {
        self.phase = Phase::Joined;
    }

    /// `known` returns the contacts.
    #[must_use]
    pub fn known(&self) -> &[SocketAddr] {
        &self.known
    }

    /// `add` adds contacts.
    pub fn add(&mut self, contacts: &[SocketAddr]) {
        self.is_contact |= contacts.contains(&self.own);
        for contact in contacts {
            let is_new = *contact != self.own && !self.known.contains(contact);
            if is_new && self.known.len() < MAX_KNOWN {
                self.known.push(*contact);
            }
        }
    }

    /// `store_answered` notes that the contact objects were read.
    pub fn store_answered(&mut self) {
        self.store_answered = true;
    }

    /// `refused` puts the next try off by at least the time that the contact asked for.
    pub fn refused(&mut self, retry_ms: u32, rng: &mut StdRng, now: Instant) {
        // A refusal shows that the contact lives, so starting alone would split the group.
        self.first_ask = Some(now);
        self.wait(retry_ms, rng, now);
    }

    /// `refused_by_joiner` handles the refusal of a contact that is joining itself. Contacts
    /// that start together would put each other off for ever, so the one with the lowest
    /// address starts alone, and the others join it.
    pub fn refused_by_joiner(
        &mut self,
        from: SocketAddr,
        retry_ms: u32,
        rng: &mut StdRng,
        now: Instant,
    ) {
        let is_lowest = self.known.iter().all(|contact| self.own < *contact);
        let is_first = self.is_contact && is_lowest && self.own < from;
        if is_first && self.phase == Phase::Joining {
            self.phase = Phase::First;
        }
        self.wait(retry_ms, rng, now);
    }

    fn wait(&mut self, retry_ms: u32, rng: &mut StdRng, now: Instant) {
        let retry_ms = retry_ms.clamp(BACKOFF_MIN_MS, BACKOFF_MAX_MS);
        let wait_ms = rng.random_range(retry_ms..=retry_ms.max(self.backoff_ms));
        self.next_ask = now + Duration::from_millis(u64::from(wait_ms));
        self.backoff_ms = (self.backoff_ms * 2).min(BACKOFF_MAX_MS);
    }

    /// `step` returns the next step of joining.
    pub fn step(&mut self, rng: &mut StdRng, now: Instant) -> JoinStep {
        if self.is_joined() {
            return JoinStep::Wait;
        }
        if now >= self.next_read {
            self.next_read = now + READ_INTERVAL;
            return JoinStep::ReadContacts;
        }
        let is_silent = self.first_ask.is_some_and(|at| now >= at + ALONE_AFTER);
        let is_free = self.known.is_empty() || self.phase == Phase::First;
        if self.store_answered && (is_free || is_silent) {
            self.phase = Phase::Joined;
            return JoinStep::StartAlone;
        }
        if now < self.next_ask {
            return JoinStep::Wait;
        }
        let Some(contact) = self.known.choose(rng).copied() else {
            return JoinStep::Wait;
        };
        self.first_ask.get_or_insert(now);
        let wait_ms = rng.random_range(BACKOFF_MIN_MS..=self.backoff_ms.max(BACKOFF_MIN_MS));
        self.next_ask = now + Duration::from_millis(u64::from(wait_ms + BACKOFF_MIN_MS));
        self.backoff_ms = (self.backoff_ms * 2).min(BACKOFF_MAX_MS);
        JoinStep::Ask(contact)
    }
}

/// `Admission` bounds the joins that a node serves.
pub struct Admission {
    per_window: u32,
    window_start: Instant,
    admitted: u32,
}

impl Admission {
    /// `new` admits a number of joins per second.
    #[must_use]
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_window: per_second,
            window_start: now,
            admitted: 0,
        }
    }

    /// `admit` tells whether one more join is admitted now.
    pub fn admit(&mut self, now: Instant) -> bool {
        if now >= self.window_start + ADMISSION_WINDOW {
            self.window_start = now;
            self.admitted = 0;
        }
        let is_admitted = self.admitted < self.per_window;
        self.admitted += u32::from(is_admitted);
        is_admitted
    }
}
