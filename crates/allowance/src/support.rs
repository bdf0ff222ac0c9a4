//! Support of a node for the holders of slots.
//!
//! A holder grants from the bucket while more than half of the nodes support it. A node that
//! supported one holder supports no other one until that support has ended, so two nodes that both
//! take themselves for the holder never grant at the same time.

use crate::Incarnation;
use crate::NodeName;
use crate::Time;
use crate::messages::Grant;
use crate::slots;
use crate::slots::SLOTS;
use crate::slots::SUPPORT_TIME;
use crate::slots::Slot;
use crate::slots::SlotSet;

/// What a node knows of a holder from its latest reply.
#[derive(Clone, Debug)]
pub(crate) struct Contact {
    pub(crate) node: NodeName,
    pub(crate) incarnation: Incarnation,
    stamp_us: u64,
    received_at: Time,
}

/// Support that a holder may count until a time.
#[derive(Clone, Debug)]
struct Promise {
    node: NodeName,
    incarnation: Incarnation,
    stamp_us: u64,
    until: Time,
}

/// Support of this node for the holder of each slot.
#[derive(Debug)]
pub(crate) struct Support {
    /// Until when an earlier process of this node may have promised its support.
    silent_until: Time,
    /// Holder of each slot as this node sees it; empty if there is none.
    view: Vec<NodeName>,
    promises: Vec<Option<Promise>>,
    /// Sorted by node.
    contacts: Vec<Contact>,
}

impl Support {
    pub(crate) fn new(silent_until: Time) -> Self {
        Self {
            silent_until,
            view: Vec::new(),
            promises: vec![None; usize::from(SLOTS)],
            contacts: Vec::new(),
        }
    }

    pub(crate) fn be_silent_until(&mut self, until: Time) {
        self.silent_until = self.silent_until.max(until);
    }

    /// Replaces the holders. Returns whether any has changed.
    pub(crate) fn set_live(&mut self, live: &[NodeName]) -> bool {
        let view = slots::holders(live).unwrap_or_default();
        let has_changed = view != self.view;
        self.view = view;
        has_changed
    }

    /// Returns the holder of a slot.
    pub(crate) fn holder(&self, slot: Slot) -> Option<&NodeName> {
        self.view.get(usize::from(slot))
    }

    /// Returns all holders, sorted.
    pub(crate) fn holders(&self) -> Vec<NodeName> {
        let mut holders = self.view.clone();
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    /// Returns the slots of a holder.
    pub(crate) fn slots_of(&self, node: &NodeName) -> SlotSet {
        let mine = (0..SLOTS).filter(|slot| self.holder(*slot) == Some(node));
        mine.fold(0, |set, slot| set | slots::set_of(slot))
    }

    pub(crate) fn contact(&self, node: &NodeName) -> Option<&Contact> {
        let index = self.contact_index(node).ok()?;
        self.contacts.get(index)
    }

    /// Ends the promises to earlier processes of a node.
    pub(crate) fn node_restarted(&mut self, node: &NodeName, incarnation: Incarnation) {
        for promise in &mut self.promises {
            let is_void =
                |promise: &Promise| promise.node == *node && promise.incarnation < incarnation;
            if promise.as_ref().is_some_and(is_void) {
                *promise = None;
            }
        }
    }

    /// Records a reply. Returns whether it is the first one of its process.
    pub(crate) fn record(&mut self, from: &NodeName, grant: &Grant, now: Time) -> bool {
        self.node_restarted(from, grant.incarnation);
        for slot in slots::slots_in(grant.released) {
            let promise = &mut self.promises[usize::from(slot)];
            let is_ended = |promise: &Promise| {
                promise.node == *from
                    && promise.incarnation == grant.incarnation
                    && promise.stamp_us <= grant.stamp_us
            };
            if promise.as_ref().is_some_and(is_ended) {
                *promise = None;
            }
        }
        let contact = Contact {
            node: from.clone(),
            incarnation: grant.incarnation,
            stamp_us: grant.stamp_us,
            received_at: now,
        };
        match self.contact_index(from) {
            Ok(index) => {
                let known = &mut self.contacts[index];
                let is_first = known.incarnation < grant.incarnation;
                if (known.incarnation, known.stamp_us) < (grant.incarnation, grant.stamp_us) {
                    *known = contact;
                }
                is_first
            }
            Err(index) => {
                self.contacts.insert(index, contact);
                true
            }
        }
    }

    /// Promises support for a holder in the next message. Returns the slots and the echo.
    pub(crate) fn promise(
        &mut self,
        node: &NodeName,
        now: Time,
    ) -> (SlotSet, Option<(Incarnation, u64)>) {
        let Some(contact) = self.contact(node).cloned() else {
            return (0, None);
        };
        let echo = Some((contact.incarnation, contact.stamp_us));
        let until = contact.received_at + SUPPORT_TIME;
        if until <= now || now < self.silent_until {
            return (0, echo);
        }
        let mut supported = 0;
        for slot in slots::slots_in(self.slots_of(node)) {
            let promise = &mut self.promises[usize::from(slot)];
            let is_free = promise.as_ref().is_none_or(|promise| {
                promise.until <= now
                    || (promise.node == *node && promise.incarnation <= contact.incarnation)
            });
            if is_free {
                *promise = Some(Promise {
                    node: node.clone(),
                    incarnation: contact.incarnation,
                    stamp_us: contact.stamp_us,
                    until,
                });
                supported |= slots::set_of(slot);
            }
        }
        (supported, echo)
    }

    /// Returns whether this node supports a process as the holder of a slot.
    pub(crate) fn supports(
        &self,
        slot: Slot,
        node: &NodeName,
        incarnation: Incarnation,
        now: Time,
    ) -> bool {
        self.promises[usize::from(slot)]
            .as_ref()
            .is_some_and(|promise| {
                promise.node == *node && promise.incarnation == incarnation && now < promise.until
            })
    }

    fn contact_index(&self, node: &NodeName) -> Result<usize, usize> {
        self.contacts
            .binary_search_by(|contact| contact.node.cmp(node))
    }
}
