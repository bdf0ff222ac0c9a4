//! Authority of a holder over its slots: the support of more than half of the nodes.

use std::time::Duration;

use crate::Incarnation;
use crate::NodeName;
use crate::Time;
use crate::messages::Ask;
use crate::slots;
use crate::slots::SHARE_TIME;
use crate::slots::SLOTS;
use crate::slots::SUPPORT_TIME;
use crate::slots::Slot;
use crate::slots::SlotSet;

/// Time after the first start of a mesh in which no shares of earlier holders can exist.
const FIRST_START_TIME: Duration = Duration::from_secs(10);
/// Divisor of the number of nodes that gives the additional support a holder needs in large
/// meshes. Two holders whose lists of nodes differ by an eighth still cannot both have enough.
const MARGIN_DIVISOR: usize = 16;

/// Node of the mesh as its support is known.
#[derive(Clone, Debug)]
struct Member {
    name: NodeName,
    incarnation: Incarnation,
    /// Until when the support for each slot counts.
    supported_until: [Time; SLOTS as usize],
    /// Slots of which the member's shares are known.
    registered: SlotSet,
}

#[derive(Clone, Copy, Debug, Default)]
struct SlotState {
    is_own: bool,
    /// Replies before this time bring no support.
    counts_from: Time,
    /// Since when there has been enough support without a gap.
    since: Option<Time>,
    until: Time,
    /// Since when no share of an unregistered node had to be withheld.
    free_since: Time,
    /// Whether nothing can have been granted before.
    is_first: bool,
}

/// Authority over a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Holding {
    pub(crate) since: Time,
    /// Since when no share of an unregistered node had to be withheld.
    pub(crate) free_since: Time,
    pub(crate) is_first: bool,
    /// Number of nodes whose shares are not known and may still be spent.
    pub(crate) unregistered: usize,
}

/// Result of recording the support of a message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Recorded {
    /// Whether the message is the first one of a later process of the node.
    pub(crate) is_restarted: bool,
    /// Slots for which the registration counts.
    pub(crate) registers: SlotSet,
    /// Slots of the holder for which the node is not registered.
    pub(crate) unregistered: SlotSet,
}

#[derive(Debug)]
pub(crate) struct Authority {
    incarnation: Incarnation,
    first_until: Time,
    /// Sorted by name.
    members: Vec<Member>,
    slots: [SlotState; SLOTS as usize],
}

impl Authority {
    pub(crate) fn new(incarnation: Incarnation, is_first_start: bool, now: Time) -> Self {
        Self {
            incarnation,
            first_until: if is_first_start {
                now + FIRST_START_TIME
            } else {
                Time::ZERO
            },
            members: Vec::new(),
            slots: [SlotState::default(); SLOTS as usize],
        }
    }

    pub(crate) fn not_first_start(&mut self) {
        self.first_until = Time::ZERO;
    }

    /// Replaces the known nodes and the slots that this node holds as it sees it.
    pub(crate) fn set_members(&mut self, names: &[NodeName], own: SlotSet, now: Time) {
        let mut members: Vec<Member> = names.iter().map(|name| self.member(name)).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members.dedup_by(|a, b| a.name == b.name);
        let has_changed = members.len() != self.members.len();
        self.members = members;
        for slot in 0..SLOTS {
            let is_own = own & slots::set_of(slot) != 0;
            let state = &mut self.slots[usize::from(slot)];
            if state.is_own != is_own {
                *state = SlotState {
                    is_own,
                    counts_from: now,
                    ..SlotState::default()
                };
                self.forget_registrations(slot);
            }
            if has_changed {
                let enough_until = self.enough_until(slot);
                let state = &mut self.slots[usize::from(slot)];
                state.until = state.until.min(enough_until);
            }
        }
    }

    pub(crate) fn member_count(&self) -> usize {
        self.members.len()
    }

    pub(crate) fn is_own(&self, slot: Slot) -> bool {
        self.slots[usize::from(slot)].is_own
    }

    /// Returns the slots that this node does not hold as it sees it.
    pub(crate) fn released(&self) -> SlotSet {
        let others = (0..SLOTS).filter(|slot| !self.is_own(*slot));
        others.fold(0, |set, slot| set | slots::set_of(slot))
    }

    pub(crate) fn is_registered(&self, node: &NodeName, slot: Slot) -> bool {
        self.index(node)
            .is_ok_and(|index| self.members[index].registered & slots::set_of(slot) != 0)
    }

    /// Records the support in a message; `None` if the message must be ignored.
    pub(crate) fn record(&mut self, from: &NodeName, ask: &Ask, now: Time) -> Option<Recorded> {
        let index = self.index(from).ok()?;
        if ask.incarnation < self.members[index].incarnation {
            return None;
        }
        for slot in 0..SLOTS {
            self.check(slot, now);
        }
        let member = &mut self.members[index];
        let is_restarted = ask.incarnation > member.incarnation;
        member.incarnation = ask.incarnation;
        if is_restarted {
            member.registered = 0;
        }
        let stamp = match ask.echo {
            Some((incarnation, stamp_us)) if incarnation == self.incarnation => {
                Some(Duration::from_micros(stamp_us))
            }
            _ => None,
        };
        let mut registers = 0;
        let mut unregistered = 0;
        for slot in slots::slots_in(ask.supports) {
            let bit = slots::set_of(slot);
            let state = self.slots[usize::from(slot)];
            let Some(stamp) = stamp.filter(|stamp| state.is_own && *stamp >= state.counts_from)
            else {
                continue;
            };
            let supported_until = &mut member.supported_until[usize::from(slot)];
            if *supported_until <= now && state.since.is_none() {
                member.registered &= !bit;
            }
            let until = stamp + SUPPORT_TIME;
            if until <= now {
                continue;
            }
            *supported_until = until.max(*supported_until);
            registers |= ask.registers & bit;
            member.registered |= ask.registers & bit;
            unregistered |= bit & !member.registered;
        }
        Some(Recorded {
            is_restarted,
            registers,
            unregistered,
        })
    }

    /// Returns the authority over a slot, if there is enough support.
    pub(crate) fn check(&mut self, slot: Slot, now: Time) -> Option<Holding> {
        let index = usize::from(slot);
        if !self.slots[index].is_own {
            return None;
        }
        if self.slots[index].since.is_some() && self.slots[index].until <= now {
            self.slots[index].since = None;
        }
        let is_renewable = self.slots[index].until <= now + SUPPORT_TIME / 2;
        if is_renewable {
            self.slots[index].until = self.enough_until(slot);
        }
        if self.slots[index].until <= now {
            return None;
        }
        if self.slots[index].since.is_none() {
            self.forget_unsupported(slot, now);
            let state = &mut self.slots[index];
            state.since = Some(now);
            state.free_since = now;
            state.is_first = now < self.first_until;
        }
        let since = self.slots[index].since?;
        let may_have_shares = !self.slots[index].is_first && now < since + SHARE_TIME;
        let unregistered = if may_have_shares {
            let bit = slots::set_of(slot);
            let members = self.members.iter();
            members
                .filter(|member| member.registered & bit == 0)
                .count()
        } else {
            0
        };
        let state = &mut self.slots[index];
        if unregistered > 0 {
            state.free_since = now;
        }
        Some(Holding {
            since,
            free_since: state.free_since,
            is_first: state.is_first,
            unregistered,
        })
    }

    /// Returns until when enough nodes support this one as the holder of a slot.
    fn enough_until(&self, slot: Slot) -> Time {
        let mut times: Vec<Time> = self
            .members
            .iter()
            .map(|member| member.supported_until[usize::from(slot)])
            .collect();
        let needed = times.len() / 2 + 1 + times.len() / MARGIN_DIVISOR;
        if times.len() < needed {
            return Time::ZERO;
        }
        let place = times.len() - needed;
        *times.select_nth_unstable(place).1
    }

    fn forget_registrations(&mut self, slot: Slot) {
        for member in &mut self.members {
            member.registered &= !slots::set_of(slot);
            member.supported_until[usize::from(slot)] = Time::ZERO;
        }
    }

    /// Forgets the registrations of nodes that may have got shares from another holder since.
    fn forget_unsupported(&mut self, slot: Slot, now: Time) {
        for member in &mut self.members {
            if member.supported_until[usize::from(slot)] <= now {
                member.registered &= !slots::set_of(slot);
            }
        }
    }

    fn member(&self, name: &NodeName) -> Member {
        match self.index(name) {
            Ok(index) => self.members[index].clone(),
            Err(_) => Member {
                name: name.clone(),
                incarnation: 0,
                supported_until: [Time::ZERO; SLOTS as usize],
                registered: 0,
            },
        }
    }

    fn index(&self, name: &NodeName) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| member.name.cmp(name))
    }
}
