//! Targets grouped by service, with the pools of each version.

use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::endpoint::EndpointRecord;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::ids::VersionName;

use super::Router;
use super::TargetEntry;
use crate::balance::Load;
use crate::balance::Pool;
use crate::balance::PoolMember;
use crate::budget::RetryBudget;
use crate::clock::Now;
use crate::placement::KeyMembers;

/// Targets and retry budget of one service.
#[derive(Clone, Debug)]
pub(super) struct ServiceTargets {
    pub(super) service: ServiceName,
    pub(super) members: Vec<usize>,
    pub(super) budget: RetryBudget,
    pub(super) key_members: KeyMembers,
    /// Sorted by version.
    pools: Vec<(VersionName, Pool)>,
    is_stale: bool,
}

impl ServiceTargets {
    fn new(service: ServiceName, now: Instant) -> Self {
        Self {
            service,
            members: Vec::new(),
            budget: RetryBudget::new(now),
            key_members: KeyMembers::default(),
            pools: Vec::new(),
            is_stale: true,
        }
    }

    /// Returns the pool of a version.
    pub(super) fn pool(&self, version: &str) -> Option<&Pool> {
        let position = self
            .pools
            .binary_search_by(|(name, _)| name.as_str().cmp(version))
            .ok()?;
        self.pools.get(position).map(|(_, pool)| pool)
    }
}

impl Router {
    pub(super) fn new_target_entry(&self, record: &EndpointRecord, now: Now) -> TargetEntry {
        TargetEntry {
            record: record.clone(),
            level: self.place.level(record),
            load: new_load(record, now),
            is_suspected: false,
        }
    }

    /// Applies a new record of an existing target. A change of the revision alone, the most
    /// frequent one, does not rebuild the pools.
    pub(super) fn update_target(&mut self, index: usize, record: &EndpointRecord, now: Now) {
        let before = &self.targets[index].record;
        let is_same_target =
            before.incarnation == record.incarnation && before.target == record.target;
        let is_same_place = before.region == record.region
            && before.data_centre == record.data_centre
            && before.peer_address == record.peer_address;
        if is_same_target && is_same_place && before.state == record.state {
            self.targets[index].record = record.clone();
            return;
        }
        self.leave_service(index, record, now);
        let level = self.place.level(record);
        let entry = &mut self.targets[index];
        entry.record = record.clone();
        entry.level = level;
        if !is_same_target {
            entry.load = new_load(record, now);
            entry.is_suspected = false;
        }
        self.join_service(index, now);
    }

    pub(super) fn join_service(&mut self, index: usize, now: Now) {
        let record = &self.targets[index].record;
        let Some(target) = &record.target else {
            return;
        };
        let service = target.service.clone();
        let position = match self.service_position(&service) {
            Ok(position) => position,
            Err(position) => {
                self.services
                    .insert(position, ServiceTargets::new(service, now.at));
                position
            }
        };
        let group = &mut self.services[position];
        group
            .key_members
            .update(&self.targets[index].record, true, now.unix_ms);
        if !group.members.contains(&index) {
            group.members.push(index);
        }
        group.is_stale = true;
    }

    /// Removes a node from its service when its new record names another one.
    fn leave_service(&mut self, index: usize, record: &EndpointRecord, now: Now) {
        let before = &self.targets[index].record;
        let Some(old) = before.target.as_ref().map(|target| target.service.clone()) else {
            return;
        };
        let stays = record
            .target
            .as_ref()
            .is_some_and(|target| target.service == old);
        let Ok(position) = self.service_position(&old) else {
            return;
        };
        let group = &mut self.services[position];
        group.is_stale = true;
        if !stays {
            group.members.retain(|member| *member != index);
            group.key_members.update(record, false, now.unix_ms);
        }
    }

    /// Rebuilds the pools of a service after a change of its targets.
    pub(super) fn refresh(&mut self, position: usize, now: Now) {
        if !self.services[position].is_stale {
            return;
        }
        self.restore_excess(position, now);
        let group = &self.services[position];
        let mut versions: Vec<&VersionName> = group
            .members
            .iter()
            .filter_map(|index| self.targets[*index].record.target.as_ref())
            .map(|target| &target.version)
            .collect();
        versions.sort_unstable();
        versions.dedup();
        let pools = versions
            .into_iter()
            .map(|version| (version.clone(), self.build_pool(&group.members, version)))
            .collect();
        let group = &mut self.services[position];
        group.pools = pools;
        group.is_stale = false;
    }

    /// Returns whether one more ejection leaves at least half of the service's targets
    /// and half of the target's subset in use.
    pub(super) fn may_eject(&self, index: usize, now: Now) -> bool {
        let Some(target) = &self.targets[index].record.target else {
            return false;
        };
        let Ok(position) = self.service_position(&target.service) else {
            return false;
        };
        let group = &self.services[position];
        let ready = self.count_ready(&group.members);
        if (self.count_ejected(&group.members, now) + 1) * 2 > ready {
            return false;
        }
        let level = self.targets[index].level;
        group.pool(&target.version).is_none_or(|pool| {
            let subset = &pool.subsets[level];
            (self.count_ejected(subset, now) + 1) * 2 <= subset.len()
        })
    }

    fn build_pool(&self, indices: &[usize], version: &str) -> Pool {
        let members: Vec<PoolMember<'_>> = indices
            .iter()
            .map(|index| (*index, &self.targets[*index]))
            .filter(|(_, entry)| {
                let target = entry.record.target.as_ref();
                target.is_some_and(|target| target.version == version)
            })
            .filter(|(_, entry)| {
                entry.record.state != hemlockfall_core::endpoint::EndpointState::Left
            })
            .map(|(index, entry)| PoolMember {
                index,
                node: &entry.record.node,
                level: entry.level,
                is_ready: entry.record.accepts_requests(),
            })
            .collect();
        Pool::new(&self.place, &members, &self.options)
    }

    /// Ends ejections early when more than half of the remaining ready targets are ejected, which
    /// happens after other targets left.
    fn restore_excess(&mut self, position: usize, now: Now) {
        let members = self.services[position].members.clone();
        let ready = self.count_ready(&members);
        let mut excess = self.count_ejected(&members, now).saturating_sub(ready / 2);
        for index in members {
            let entry = &mut self.targets[index];
            if excess == 0 {
                return;
            }
            if entry.record.accepts_requests() && entry.load.health.is_ejected(now.at) {
                entry.load.health.restore(now.at);
                excess -= 1;
            }
        }
    }

    fn count_ready(&self, indices: &[usize]) -> usize {
        indices
            .iter()
            .filter(|index| self.targets[**index].record.accepts_requests())
            .count()
    }
}

/// Creates the load record of a new target. Its cold start counts from its own announcement.
fn new_load(record: &EndpointRecord, now: Now) -> Load {
    let ready_unix_ms = record
        .target
        .as_ref()
        .map_or(now.unix_ms, |target| target.ready_unix_ms);
    let age = Duration::from_millis(now.unix_ms.saturating_sub(ready_unix_ms));
    Load::new(now.at.checked_sub(age).unwrap_or(now.at), now.at)
}
