//! Dissemination and anti-entropy: pushes, advertisements, requests and replies.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::catalogue::Configuration;
use hemlockfall_core::ids::Digest;
use hemlockfall_core::ids::Revision;
use rand::seq::IndexedRandom;

use crate::action::Action;
use crate::delta::Delta;
use crate::errors::Error;
use crate::message::Message;
use crate::node::Distribution;
use crate::node::FULL_SNAPSHOTS;
use crate::node::refuse;
use crate::options::millis;
use crate::snapshot::Snapshot;

/// Time for which a request for a revision counts as pending. Meanwhile no second one is sent,
/// because several members advertise a revision at about the same time.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of peers whose revisions are recorded.
const MAX_HOLDERS: usize = 64;

impl Distribution {
    /// Returns the number of peers that, as far as this node was told, hold a revision or a newer
    /// one.
    #[must_use]
    pub fn holders_of(&self, revision: Revision) -> usize {
        self.holders
            .iter()
            .filter(|(_, held)| *held >= revision)
            .count()
    }

    pub(crate) fn handle_advertise(
        &mut self,
        from: SocketAddr,
        revision: Revision,
        digest: Digest,
        now: Instant,
    ) -> Vec<Action> {
        self.record_holder(from, revision);
        let held = self.newest.revision();
        if revision > held {
            return self.request(from, revision, false, now);
        }
        if revision < held {
            return vec![self.offer(from, revision, digest)];
        }
        if digest != self.newest.digest() {
            return self.diverged(from);
        }
        Vec::new()
    }

    pub(crate) fn handle_push(
        &mut self,
        from: SocketAddr,
        deltas: &[Delta],
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut applied = Vec::new();
        for delta in deltas {
            if delta.revision <= self.newest.revision() {
                continue;
            }
            match delta.apply(&self.newest) {
                Ok(snapshot) => {
                    self.replace_newest(snapshot, delta.clone());
                    applied.push(delta.clone());
                }
                Err(error) => {
                    actions.extend(self.repair(from, delta.revision, &error, now));
                    break;
                }
            }
        }
        self.record_holder(from, deltas.last().map_or(0, |delta| delta.revision));
        if actions.is_empty() {
            actions.push(self.advertise(from));
        }
        if !applied.is_empty() {
            actions.extend(self.disseminate(applied, Some(from)));
            actions.extend(self.advance(now));
        }
        actions
    }

    /// Requests the missing changes after a delta for another base, and the whole configuration
    /// after a delta with wrong content.
    fn repair(
        &mut self,
        from: SocketAddr,
        revision: Revision,
        error: &Error,
        now: Instant,
    ) -> Vec<Action> {
        match error {
            Error::BaseMismatch { .. } => self.request(from, revision, false, now),
            Error::DigestMismatch { .. } | Error::Invalid(_) => {
                let mut actions = refuse(&from.to_string(), error);
                actions.extend(self.request(from, revision, true, now));
                actions
            }
        }
    }

    pub(crate) fn handle_snapshot_request(
        &mut self,
        from: SocketAddr,
        revision: Revision,
        digest: Digest,
        full: bool,
    ) -> Vec<Action> {
        if self.newest.revision() <= revision {
            return Vec::new();
        }
        if !full && let Some(deltas) = self.history.since(revision, digest) {
            return vec![send(from, Message::Push { deltas })];
        }
        let message = Message::SnapshotReply {
            configuration: self.newest.configuration().clone(),
            digest: self.newest.digest(),
        };
        vec![
            Action::Count {
                metric: FULL_SNAPSHOTS,
            },
            Action::SendBulk { to: from, message },
        ]
    }

    pub(crate) fn handle_snapshot_reply(
        &mut self,
        from: SocketAddr,
        configuration: Configuration,
        digest: Digest,
        now: Instant,
    ) -> Vec<Action> {
        if configuration.revision <= self.newest.revision() {
            return Vec::new();
        }
        match Snapshot::with_digest(configuration, digest) {
            Err(error) => refuse(&from.to_string(), &error),
            Ok(snapshot) => {
                let delta = Delta::between(&self.newest, &snapshot);
                self.record_holder(from, snapshot.revision());
                self.replace_newest(snapshot, delta.clone());
                let mut actions = vec![self.advertise(from)];
                actions.extend(self.disseminate(vec![delta], Some(from)));
                actions.extend(self.advance(now));
                actions
            }
        }
    }

    /// Requests a newer revision from a peer, unless a request is pending.
    pub(crate) fn request(
        &mut self,
        from: SocketAddr,
        revision: Revision,
        full: bool,
        now: Instant,
    ) -> Vec<Action> {
        let is_pending = self.requested.is_some_and(|(requested, requested_at)| {
            requested >= revision && now.duration_since(requested_at) < REQUEST_TIMEOUT
        });
        if is_pending && !full {
            return Vec::new();
        }
        self.requested = Some((revision, now));
        let message = Message::SnapshotRequest {
            revision: self.newest.revision(),
            digest: self.newest.digest(),
            full,
        };
        vec![Action::Send { to: from, message }]
    }

    /// Pushes new deltas to some members and, on a relay, to relays of other data centres and
    /// regions.
    ///
    /// Revisions originate in the store's region, so that only nodes of that region, or a node that
    /// read the store itself, push to other regions; advertisements between relays cover the rest.
    pub(crate) fn disseminate(
        &mut self,
        deltas: Vec<Delta>,
        from: Option<SocketAddr>,
    ) -> Vec<Action> {
        let push_count = usize::from(self.options.push_count);
        let mut targets: Vec<SocketAddr> = self
            .peers
            .members
            .sample(&mut self.rng, push_count)
            .copied()
            .collect();
        targets.extend(&self.peers.data_centre_relays);
        if self.peers.in_store_region || from.is_none() {
            targets.extend(&self.peers.region_partners);
        }
        targets.retain(|target| Some(*target) != from);
        targets.sort_unstable();
        targets.dedup();
        let push = Message::Push { deltas };
        // Deltas too large for a datagram are only advertised; members that lack them request them.
        if push.fits_datagram() {
            let to_push = |to| Action::Send {
                to,
                message: push.clone(),
            };
            targets.into_iter().map(to_push).collect()
        } else {
            targets.into_iter().map(|to| self.advertise(to)).collect()
        }
    }

    /// Sends the advertisements that are due.
    pub(crate) fn send_due_advertisements(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.next_exchange {
            self.next_exchange = now + millis(self.options.exchange_interval_ms);
            let member = self.peers.members.choose(&mut self.rng).copied();
            actions.extend(member.map(|to| self.advertise(to)));
        }
        if now >= self.next_relay_exchange {
            self.next_relay_exchange = now + millis(self.options.relay_interval_ms);
            let relay = self.peers.data_centre_relays.choose(&mut self.rng).copied();
            actions.extend(relay.map(|to| self.advertise(to)));
            // Every relay of the other regions gets an advertisement: a region that receives no
            // message from the store's region reads the store itself.
            actions.extend(
                self.peers
                    .region_relays
                    .iter()
                    .map(|to| self.advertise(*to)),
            );
        }
        actions
    }

    fn advertise(&self, to: SocketAddr) -> Action {
        let message = Message::Advertise {
            revision: self.newest.revision(),
            digest: self.newest.digest(),
        };
        Action::Send { to, message }
    }

    /// Sends an outdated peer the missing deltas, or an advertisement if they are too large or no
    /// longer in the history.
    fn offer(&self, to: SocketAddr, revision: Revision, digest: Digest) -> Action {
        if let Some(deltas) = self.history.since(revision, digest) {
            let message = Message::Push { deltas };
            if message.fits_datagram() {
                return Action::Send { to, message };
            }
        }
        self.advertise(to)
    }

    fn record_holder(&mut self, address: SocketAddr, revision: Revision) {
        match self.holders.binary_search_by_key(&address, |(a, _)| *a) {
            Ok(index) => {
                let held = &mut self.holders[index].1;
                *held = revision.max(*held);
            }
            Err(index) => {
                if self.holders.len() >= MAX_HOLDERS {
                    let newest = self.newest.revision();
                    self.holders.retain(|(_, held)| *held >= newest);
                }
                if self.holders.len() < MAX_HOLDERS {
                    let index = index.min(self.holders.len());
                    self.holders.insert(index, (address, revision));
                    self.holders.sort_unstable();
                }
            }
        }
    }
}

fn send(to: SocketAddr, message: Message) -> Action {
    if message.fits_datagram() {
        Action::Send { to, message }
    } else {
        Action::SendBulk { to, message }
    }
}
