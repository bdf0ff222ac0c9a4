//! Joining the group through contacts, with backoff, and admission of joining nodes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::ids::DataCentreName;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

/// Minimum wait of a joining node between two tries.
pub const BACKOFF_MIN_MS: u32 = 200;
/// Limit of the backoff of a joining node.
pub const BACKOFF_MAX_MS: u32 = 5_000;

/// Maximum number of contact addresses kept.
const MAX_CONTACT_ADDRESSES: usize = 256;
/// A node that gets no answer from any contact for this long starts alone; it keeps probing the
/// contacts.
const START_ALONE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a joining node reads the contact objects.
const READ_INTERVAL: Duration = Duration::from_secs(5);
const ADMISSION_WINDOW: Duration = Duration::from_secs(1);

/// Content of a contact object: addresses in a data centre through which nodes join.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contacts {
    /// Data centre of the object.
    pub data_centre: DataCentreName,
    /// Contact addresses.
    pub addresses: Vec<SocketAddr>,
}

/// Next step of a joining node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinStep {
    /// Nothing is due.
    Wait,
    /// Read the contact objects.
    ReadContacts,
    /// Send a join request to a contact.
    RequestJoin(SocketAddr),
    /// Continue as the first node of a group.
    StartAlone,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Joining,
    /// This node must start the group: the contacts are joining themselves, and this one has the
    /// lowest address.
    Bootstrapping,
    Joined,
}

/// State of a starting node until it has joined the group.
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
    /// Creates the state with the contacts from the settings.
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

    /// Returns whether the node has joined.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.phase == Phase::Joined
    }

    /// Records that a contact admitted the node.
    pub fn set_joined(&mut self) {
        self.phase = Phase::Joined;
    }

    /// Returns the contact addresses.
    #[must_use]
    pub fn contacts(&self) -> &[SocketAddr] {
        &self.contacts
    }

    /// Adds contact addresses.
    pub fn add(&mut self, contacts: &[SocketAddr]) {
        self.is_contact |= contacts.contains(&self.own_address);
        for contact in contacts {
            let is_new = *contact != self.own_address && !self.contacts.contains(contact);
            if is_new && self.contacts.len() < MAX_CONTACT_ADDRESSES {
                self.contacts.push(*contact);
            }
        }
    }

    /// Records that the contact objects were read.
    pub fn record_contacts_read(&mut self) {
        self.contacts_were_read = true;
    }

    /// Handles the refusal of a contact that has joined: the next try waits at least as long as the
    /// contact asked for.
    pub fn handle_refusal(&mut self, retry_ms: u32, rng: &mut StdRng, now: Instant) {
        // A refusal shows that the contact is live, so starting alone would split the group.
        self.unanswered_since = Some(now);
        self.back_off(retry_ms, rng, now);
    }

    /// Handles the refusal of a contact that is joining itself. Contacts that start at the same
    /// time would refuse each other for ever, so the one with the lowest address starts alone, and
    /// the others join it.
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

    /// Returns the next step of joining.
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

/// Rate limit of the joins that a node admits.
pub struct Admission {
    per_window: u32,
    window_start: Instant,
    admitted: u32,
}

impl Admission {
    /// Creates a limit of `per_second` joins.
    #[must_use]
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_window: per_second,
            window_start: now,
            admitted: 0,
        }
    }

    /// Returns whether another join is admitted now, and counts it.
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
