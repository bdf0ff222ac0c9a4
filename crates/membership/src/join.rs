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
const MAX_CONTACT_ADDRESSES: usize = 256;
/// A node whose contacts are all silent for this long starts alone; it keeps probing them.
const START_ALONE_TIMEOUT: Duration = Duration::from_secs(10);
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
    RequestJoin(SocketAddr),
    /// Go on without others.
    StartAlone,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Joining,
    /// The other contacts are joining too and wait for this node.
    Bootstrapping,
    Joined,
}

/// `Joiner` leads a starting node into the group.
pub struct Joiner {
    own_address: SocketAddr,
    phase: Phase,
    contacts: Vec<SocketAddr>,
    is_contact: bool,
    contacts_were_read: bool,
    unanswered_since: Option<Instant>,
    next_request: Instant,
    next_read: Instant,
    backoff_ms: u32,
}

impl Joiner {
    /// `new` starts with the contacts from the settings.
    #[must_use]
    pub fn new(own_address: SocketAddr, contacts: &[SocketAddr], now: Instant) -> Self {
        let mut joiner = Self {
            own_address,
            phase: Phase::Joining,
            contacts: Vec::new(),
            is_contact: false,
            contacts_were_read: false,
            unanswered_since: None,
            next_request: now,
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
    pub fn set_joined(&mut self) {
        self.phase = Phase::Joined;
    }

    /// `contacts` returns the contacts.
    #[must_use]
    pub fn contacts(&self) -> &[SocketAddr] {
        &self.contacts
    }

    /// `add` adds contacts.
    pub fn add(&mut self, contacts: &[SocketAddr]) {
        self.is_contact |= contacts.contains(&self.own_address);
        for contact in contacts {
            let is_new = *contact != self.own_address && !self.contacts.contains(contact);
            if is_new && self.contacts.len() < MAX_CONTACT_ADDRESSES {
                self.contacts.push(*contact);
            }
        }
    }

    /// `record_contacts_read` notes that the contact objects were read.
    pub fn record_contacts_read(&mut self) {
        self.contacts_were_read = true;
    }

    /// `refused` puts the next try off by at least the time that the contact asked for.
    pub fn handle_refusal(&mut self, retry_ms: u32, rng: &mut StdRng, now: Instant) {
        // A refusal shows that the contact lives, so starting alone would split the group.
        self.unanswered_since = Some(now);
        self.back_off(retry_ms, rng, now);
    }

    /// `refused_by_joiner` handles the refusal of a contact that is joining itself. Contacts
    /// that start together would put each other off for ever, so the one with the lowest
    /// address starts alone, and the others join it.
    pub fn handle_refusal_by_joining_contact(
        &mut self,
        from: SocketAddr,
        retry_ms: u32,
        rng: &mut StdRng,
        now: Instant,
    ) {
        let is_lowest = self
            .contacts
            .iter()
            .all(|contact| self.own_address < *contact);
        let must_bootstrap = self.is_contact && is_lowest && self.own_address < from;
        if must_bootstrap && self.phase == Phase::Joining {
            self.phase = Phase::Bootstrapping;
        }
        self.back_off(retry_ms, rng, now);
    }

    fn back_off(&mut self, retry_ms: u32, rng: &mut StdRng, now: Instant) {
        let retry_ms = retry_ms.clamp(BACKOFF_MIN_MS, BACKOFF_MAX_MS);
        let wait_ms = rng.random_range(retry_ms..=retry_ms.max(self.backoff_ms));
        self.next_request = now + Duration::from_millis(u64::from(wait_ms));
        self.backoff_ms = (self.backoff_ms * 2).min(BACKOFF_MAX_MS);
    }

    /// `step` returns the next step of joining.
    pub fn next_step(&mut self, rng: &mut StdRng, now: Instant) -> JoinStep {
        if self.is_joined() {
            return JoinStep::Wait;
        }
        if now >= self.next_read {
            self.next_read = now + READ_INTERVAL;
            return JoinStep::ReadContacts;
        }
        let has_timed_out = self
            .unanswered_since
            .is_some_and(|at| now >= at + START_ALONE_TIMEOUT);
        let has_no_group_to_join = self.contacts.is_empty() || self.phase == Phase::Bootstrapping;
        if self.contacts_were_read && (has_no_group_to_join || has_timed_out) {
            self.phase = Phase::Joined;
            return JoinStep::StartAlone;
        }
        if now < self.next_request {
            return JoinStep::Wait;
        }
        let Some(contact) = self.contacts.choose(rng).copied() else {
            return JoinStep::Wait;
        };
        self.unanswered_since.get_or_insert(now);
        let wait_ms = rng.random_range(BACKOFF_MIN_MS..=self.backoff_ms.max(BACKOFF_MIN_MS));
        self.next_request = now + Duration::from_millis(u64::from(wait_ms + BACKOFF_MIN_MS));
        self.backoff_ms = (self.backoff_ms * 2).min(BACKOFF_MAX_MS);
        JoinStep::RequestJoin(contact)
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
