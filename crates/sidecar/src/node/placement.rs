//! Choice of the node that gets a request, from what this node knows. [`Node::place`] changes no state,
//! so that it also serves to explain where a request would go.

use std::time::Duration;

use hemlockfall_core::ids::DataCentreName;
use hemlockfall_core::ids::RegionName;
use hemlockfall_core::ids::ServiceName;
use rand::rngs::SmallRng;

use crate::balance;
use crate::balance::Candidate;
use crate::balance::Demand;
use crate::balance::Distance;
use crate::clock::Time;
use crate::explain::Exclusion;
use crate::exposure::CanaryUse;
use crate::model::LoadReport;
use crate::model::Route;
use crate::model::TargetRecord;
use crate::node::Node;
use crate::node::calls::is_allowed;
use crate::node::mesh::VersionRule;
use crate::node::peers::OWN_NODE;
use crate::node::peers::Peer;
use crate::regions::AllowedRegions;
use crate::store_watch::Rank;
use crate::store_watch::rank_of;

/// Time for which additional links are kept for a service that had no free target.
const FULL_SERVICE_RETENTION: Duration = Duration::from_secs(10);

/// Properties of a request that determine the node that gets it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementRequest<'a> {
    pub(super) route: &'a Route,
    pub(super) service: &'a ServiceName,
    pub(super) priority: u8,
    pub(super) allowed_regions: &'a AllowedRegions,
    pub(super) version: &'a VersionRule,
    pub(super) canary_use: CanaryUse,
    pub(super) due: Time,
    pub(super) deadline: Time,
    /// Nodes that refused or failed the request.
    pub(super) tried: &'a [u64],
}

/// Candidates for a request, and the node that gets it if one can answer in time.
#[derive(Debug)]
pub(super) struct Placement {
    pub(super) candidates: Vec<Candidate>,
    pub(super) node: Option<u64>,
}

/// Whether a node may get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Eligibility {
    Candidate,
    Excluded(Exclusion),
    /// Its target, if any, runs another service.
    OtherService,
}

impl Node {
    /// Returns the best node that has not been tried yet.
    pub(super) fn place(&self, request: &PlacementRequest<'_>, random: &mut SmallRng) -> Placement {
        let now = self.now;
        let candidates = self.candidates(request);
        let demand = self.demand(request);
        let choice = match request.canary_use {
            CanaryUse::LoadTest(test) if matches!(request.version, VersionRule::Only(_)) => {
                let order = |node| self.load_test_rank(node, test);
                balance::choose_first(&candidates, &demand, now, order)
            }
            _ => balance::choose(&candidates, &demand, now, random),
        };
        let node = choice.or_else(|| self.full_node_to_ask(request, &candidates));
        Placement { candidates, node }
    }

    /// Returns the time and the answer size of a request.
    pub(super) fn demand(&self, request: &PlacementRequest<'_>) -> Demand {
        let answer_by = if request.due > self.now {
            request.due
        } else {
            request.deadline
        };
        Demand {
            time_left: answer_by.saturating_sub(self.now),
            answer_kib: self.answer_sizes.kib(&request.route.name),
            mean_kib: self.answer_sizes.overall_kib(),
        }
    }

    /// Returns the nodes whose target may run a request.
    fn candidates(&self, request: &PlacementRequest<'_>) -> Vec<Candidate> {
        let matching = self.candidates_for(request);
        if matching.is_empty() && self.mesh.allows_other_versions(request.service) {
            return self.candidates_for(&PlacementRequest {
                version: &VersionRule::Any,
                ..*request
            });
        }
        matching
    }

    fn candidates_for(&self, request: &PlacementRequest<'_>) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        if self.own_eligibility(request) == Eligibility::Candidate {
            let load = LoadReport {
                rate_limit_wait_ms: self.rate_limit_wait_ms(),
                ..self.target.admission.load_for(&request.route.name)
            };
            candidates.push(Candidate {
                node: OWN_NODE,
                distance: Distance::Own,
                load,
                load_at: self.now,
                outstanding: 0,
                slots: load.slots,
            });
        }
        for (id, peer) in self.peers.iter() {
            let Some(target) = &peer.record.target else {
                continue;
            };
            if self.peer_eligibility(request, id, peer) != Eligibility::Candidate {
                continue;
            }
            let times = peer.route_times(&request.route.name);
            let load = LoadReport {
                route_run_ms: times.run_ms,
                route_send_ms: times.send_ms,
                ..peer.load
            };
            candidates.push(Candidate {
                node: id,
                distance: peer.distance,
                load,
                load_at: peer.load_at,
                outstanding: peer.outstanding,
                slots: u16::try_from(target.slots).unwrap_or(u16::MAX),
            });
        }
        candidates
    }

    /// Returns why the nodes with targets of the service are no candidates for a request.
    pub(super) fn exclusions(&self, request: &PlacementRequest<'_>) -> Vec<Exclusion> {
        let peers = self.peers.iter();
        let of_peers = peers.map(|(id, peer)| self.peer_eligibility(request, id, peer));
        std::iter::once(self.own_eligibility(request))
            .chain(of_peers)
            .filter_map(|eligibility| match eligibility {
                Eligibility::Excluded(reason) => Some(reason),
                Eligibility::Candidate | Eligibility::OtherService => None,
            })
            .collect()
    }

    fn own_eligibility(&self, request: &PlacementRequest<'_>) -> Eligibility {
        let own = self.target.own.record(self.is_target_open());
        let Some(target) = own.filter(|target| target.service == *request.service) else {
            return Eligibility::OtherService;
        };
        let location = (&self.settings.data_centre, &self.settings.region);
        let exclusion = self.exclusion(request, OWN_NODE, &target, location);
        exclusion.map_or(Eligibility::Candidate, Eligibility::Excluded)
    }

    fn peer_eligibility(
        &self,
        request: &PlacementRequest<'_>,
        id: u64,
        peer: &Peer,
    ) -> Eligibility {
        let target = peer.record.target.as_ref();
        let Some(target) = target.filter(|target| target.service == *request.service) else {
            return Eligibility::OtherService;
        };
        let location = (&peer.record.data_centre, &peer.record.region);
        let exclusion = self.exclusion(request, id, target, location);
        exclusion
            .or_else(|| self.link_exclusion(peer))
            .map_or(Eligibility::Candidate, Eligibility::Excluded)
    }

    fn exclusion(
        &self,
        request: &PlacementRequest<'_>,
        id: u64,
        target: &TargetRecord,
        (data_centre, region): (&DataCentreName, &RegionName),
    ) -> Option<Exclusion> {
        if self.mesh.evacuations.contains(data_centre) {
            Some(Exclusion::Evacuated)
        } else if !request.allowed_regions.allows(region) {
            Some(Exclusion::Region)
        } else if !target.is_ready {
            Some(Exclusion::NotReady)
        } else if !is_allowed(request.version, &target.version) {
            Some(Exclusion::Version)
        } else if request.tried.contains(&id) {
            Some(Exclusion::Tried)
        } else {
            None
        }
    }

    fn link_exclusion(&self, peer: &Peer) -> Option<Exclusion> {
        let link = peer.link.and_then(|link| self.links.get(link));
        match link {
            Some(link) if peer.is_linked => link
                .is_stalled(self.now, peer.distance)
                .then_some(Exclusion::StalledLink),
            _ => Some(Exclusion::NoLink),
        }
    }

    /// Requests more links for a service, as no linked target can answer a call in time.
    pub(super) fn mark_service_full(&mut self, id: u64) {
        let Some(service) = self.calls.get(id).map(|call| call.service.clone()) else {
            return;
        };
        let until = self.now + FULL_SERVICE_RETENTION;
        match self
            .full_services
            .binary_search_by(|(name, _)| name.cmp(&service))
        {
            Ok(index) => self.full_services[index].1 = until,
            Err(index) => {
                self.full_services.insert(index, (service, until));
                self.overlay_is_due = true;
            }
        }
    }

    /// Sends a canary request to the other versions, as no target of the canary version can answer
    /// it in time. Returns whether the call was a canary request.
    pub(super) fn leave_canary(&mut self, id: u64) -> bool {
        let Some(call) = self.calls.get_mut(id) else {
            return false;
        };
        let Some(version) = self.mesh.rule_without_canary(&call.service, &call.version) else {
            return false;
        };
        call.version = version;
        true
    }

    /// Returns the rank of a node in the order in which the new targets of a rollout are tested
    /// under load. The order differs between tests, so that no single target decides the outcome.
    fn load_test_rank(&self, node: u64, test: u8) -> Rank {
        let name = match self.peers.get(node) {
            Some(peer) => &peer.record.node,
            None => &self.settings.name,
        };
        rank_of(&format!("{test} {name}"))
    }
}
