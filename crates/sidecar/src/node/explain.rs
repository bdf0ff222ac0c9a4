//! Explanations on the metrics address: collects what a request would meet at each step, by the
//! functions that a real request goes through, and changes nothing.

use hemlockfall_http::http::Header;
use hemlockfall_http::http::HttpAnswer;
use hemlockfall_http::http::HttpRequest;
use serde::Serialize;

use crate::admission::AdmissionDecision;
use crate::admission::AdmissionRequest;
use crate::admission::RejectReason;
use crate::admission::UplinkDemand;
use crate::admission::WorkId;
use crate::attempts;
use crate::attempts::AttemptContext;
use crate::attempts::NextStep;
use crate::attempts::Outcome;
use crate::balance;
use crate::balance::Candidate;
use crate::balance::Demand;
use crate::explain::AccountState;
use crate::explain::Admission;
use crate::explain::CandidateState;
use crate::explain::ConfigState;
use crate::explain::Decision;
use crate::explain::Exclusions;
use crate::explain::Explanation;
use crate::explain::Query;
use crate::explain::QueryError;
use crate::explain::Result;
use crate::explain::RouteState;
use crate::explain::VersionChoice;
use crate::exposure::CanaryUse;
use crate::fingerprint;
use crate::model::Idempotency;
use crate::model::Route;
use crate::node::Node;
use crate::node::caller_accounts::CODE_NO_ACCOUNT;
use crate::node::caller_accounts::CallerIdentity;
use crate::node::callers::CODE_NO_MEMORY;
use crate::node::callers::own_answer;
use crate::node::calls::CODE_NO_ROUTE;
use crate::node::calls::CODE_NO_TARGET;
use crate::node::calls::CODE_SUSPECTED;
use crate::node::calls::Entry;
use crate::node::deferred::CODE_NO_CONFIG;
use crate::node::mesh::VersionRule;
use crate::node::ms;
use crate::node::peers::OWN_NODE;
use crate::node::placement::PlacementRequest;
use crate::order::RequestTimes;
use crate::regions::AllowedRegions;

const JSON_TYPE: &str = "application/json";
/// Id of the explained request in the copy of the admission queue, where no real request has it.
const EXPLAINED_WORK: WorkId = WorkId::MAX;

impl Node {
    pub(super) fn handle_explain(&mut self, caller: u64, token: u64, request: &HttpRequest) {
        let answer = if request.method == "GET" {
            match Query::parse(&request.target).and_then(|query| self.explain(query)) {
                Ok(explanation) => json_answer(200, &explanation),
                Err(error) => json_answer(400, &error),
            }
        } else {
            json_answer(405, &QueryError::invalid("only GET is answered"))
        };
        self.answer_caller(caller, token, answer);
    }

    fn explain(&self, query: Query) -> Result<Explanation> {
        let request = self.request_of(&query);
        let config = self.mesh.config().map(|config| ConfigState {
            version: config.version,
            age_ms: ms(self.mesh.config_age(self.now)),
            is_behind: self.mesh.is_behind(),
        });
        let mut explanation = Explanation {
            node: self.settings.name.clone(),
            request: query,
            config,
            route: None,
            account: None,
            priority: None,
            allowed_regions: None,
            service: None,
            version_rule: None,
            candidates: Vec::new(),
            excluded: Exclusions::default(),
            own_admission: None,
            retries_left: None,
            decision: Decision::Deferred,
        };
        explanation.decision = self.explain_entry(&request, &mut explanation)?;
        Ok(explanation)
    }

    /// Returns the request that a query describes, without a body.
    fn request_of(&self, query: &Query) -> HttpRequest {
        let mut headers = vec![Header::new("host", query.host.as_str())];
        if let Some(timeout_ms) = query.timeout_ms {
            let value = timeout_ms.to_string();
            headers.push(Header::new(self.header_names.deadline_ms, value));
        }
        HttpRequest {
            method: query.method.as_str().into(),
            target: query.path.as_str().into(),
            headers,
            body: Vec::new(),
        }
    }

    /// Follows the request to the choice of its service, in the order of `begin_call`.
    fn explain_entry(&self, request: &HttpRequest, to: &mut Explanation) -> Result<Decision> {
        if to.config.is_none() {
            return Ok(if self.can_defer(request, self.now) {
                Decision::Deferred
            } else {
                Decision::refused(503, CODE_NO_CONFIG)
            });
        }
        let host = to.request.host.as_str();
        let Some(route) = self.mesh.router.select(host, request.path()) else {
            return Ok(Decision::refused(404, CODE_NO_ROUTE));
        };
        to.route = Some(route_state(&route));
        let identity = self.named_identity(to.request.account.as_deref(), &route)?;
        to.account = Some(account_state(&identity, to.request.account.is_some()));
        if identity == CallerIdentity::Refused {
            return Ok(Decision::refused(401, CODE_NO_ACCOUNT));
        }
        let priority = identity.priority(&route);
        let allowed_regions = identity.allowed_regions(&route);
        to.priority = Some(priority);
        to.allowed_regions = match &allowed_regions {
            AllowedRegions::All => None,
            AllowedRegions::Only(regions) => Some(regions.clone()),
        };
        let caller_timeout = to.request.timeout().unwrap_or(route.timeout);
        let deadline = self.now + caller_timeout.min(route.timeout);
        match self.entry(&route, &allowed_regions, request, self.now, deadline) {
            Entry::Begin if !self.has_memory_for(&route.name, request.body.len()) => {
                return Ok(Decision::refused(503, CODE_NO_MEMORY));
            }
            Entry::Begin => {}
            Entry::Defer => return Ok(Decision::Deferred),
            Entry::Refuse { code } => return Ok(Decision::refused(503, code)),
        }
        let Some(service) = self.mesh.router.next_service(&route) else {
            return Ok(Decision::refused(503, CODE_NO_TARGET));
        };
        to.service = Some(service.clone());
        let nodes = self.node_count();
        to.retries_left = Some(
            self.budget
                .retries_left(&service, priority, self.now, nodes),
        );
        let fingerprint = fingerprint::fingerprint(&service, &self.settings.service, request);
        if self.suspects.is_refused(fingerprint, self.now) {
            return Ok(Decision::refused(503, CODE_SUSPECTED));
        }
        let (version, canary_use, _) = self.mesh.next_version_rule(
            &service,
            route.idempotency == Idempotency::Idempotent,
            self.settings.trial_allowance,
            nodes,
            self.now,
        );
        let placed = PlacementRequest {
            route: &route,
            service: &service,
            priority,
            allowed_regions: &allowed_regions,
            version: &version,
            canary_use,
            due: self.now + route.target_latency,
            deadline,
            tried: &[],
        };
        let account = identity.account().map(|account| account.name.as_str());
        Ok(self.explain_placement(placed, account, to))
    }

    /// Follows the request to a node, past a refusal by this node's target.
    fn explain_placement(
        &self,
        placed: PlacementRequest<'_>,
        account: Option<&str>,
        to: &mut Explanation,
    ) -> Decision {
        if self.is_interrupting() {
            return Decision::refused(503, CODE_NO_TARGET);
        }
        let mut random = self.random.clone();
        let mut placement = self.place(&placed, &mut random);
        to.version_rule = Some(version_choice(placed.version, placed.canary_use));
        to.excluded = Exclusions::count(&self.exclusions(&placed));
        to.candidates = self.candidate_states(&placement.candidates, &self.demand(&placed));
        if placement.node.is_none()
            && let Some(version) = self
                .mesh
                .rule_without_canary(placed.service, placed.version)
        {
            let placed = PlacementRequest {
                version: &version,
                canary_use: CanaryUse::None,
                ..placed
            };
            return self.explain_placement(placed, account, to);
        }
        let is_own = |candidate: &Candidate| candidate.node == OWN_NODE;
        if placement.candidates.iter().any(is_own) {
            let decision = self.own_admission(&placed, account);
            to.own_admission = Some(admission_state(&decision));
            if let AdmissionDecision::Reject { reason, .. } = decision
                && placement.node == Some(OWN_NODE)
            {
                let context = AttemptContext {
                    idempotency: placed.route.idempotency,
                    target_attempts: 0,
                    max_attempts: placed.route.max_attempts,
                    refusals: 1,
                    may_have_run: false,
                    time_left: placed.deadline.saturating_sub(self.now),
                };
                let outcome = Outcome::NotRun(reason.into());
                if attempts::next_step(outcome, context) != NextStep::TryElsewhere {
                    return Decision::refused(503, CODE_NO_TARGET);
                }
                let placed = PlacementRequest {
                    tried: &[OWN_NODE],
                    ..placed
                };
                placement = self.place(&placed, &mut random);
            }
        }
        match placement.node {
            None => Decision::refused(503, CODE_NO_TARGET),
            Some(OWN_NODE) => Decision::Own,
            Some(node) => Decision::Sent {
                node: self.name_and_data_centre(node).0.clone(),
            },
        }
    }

    /// Returns what this node's admission would decide.
    fn own_admission(
        &self,
        placed: &PlacementRequest<'_>,
        account: Option<&str>,
    ) -> AdmissionDecision {
        let target_latency = placed.route.target_latency;
        let times = RequestTimes {
            submitted_at: self.now,
            due: placed.due,
            deadline: placed.deadline,
            target_latency,
        };
        let request = AdmissionRequest {
            id: EXPLAINED_WORK,
            route: placed.route.name.clone(),
            priority: placed.priority,
            due: placed.due,
            deadline: placed.deadline,
            target_latency,
            uplink: UplinkDemand::default(),
        };
        let standing = self.standing_of(account, false, times);
        self.target.admission.preview(request, standing, self.now)
    }

    fn candidate_states(&self, candidates: &[Candidate], demand: &Demand) -> Vec<CandidateState> {
        let now = self.now;
        balance::rank(candidates, demand, now)
            .into_iter()
            .map(|(expected_loss, candidate)| {
                let (node, data_centre) = self.name_and_data_centre(candidate.node);
                CandidateState {
                    node: node.clone(),
                    data_centre: data_centre.clone(),
                    distance: candidate.distance.name().to_owned(),
                    running: candidate.load.running,
                    queued: candidate.load.queued,
                    outstanding: candidate.outstanding,
                    slots: candidate.slots,
                    report_age_ms: ms(now.saturating_sub(candidate.load_at)),
                    route_run_ms: candidate.load.route_run_ms,
                    expected_wait_ms: candidate.expected_wait_ms(now),
                    rate_limit_wait_ms: candidate.rate_limit_wait_ms(now).max(0.0),
                    round_trip_ms: candidate.distance.round_trip().as_secs_f64() * 1000.0,
                    expected_loss,
                    is_reported_full: candidate.is_reported_full(demand.time_left, now),
                }
            })
            .collect()
    }

    /// Returns the identity of a request of the account with a name.
    fn named_identity(&self, name: Option<&str>, route: &Route) -> Result<CallerIdentity> {
        let Some(name) = name else {
            return Ok(self.identify_key(None, route));
        };
        let Some(directory) = self.mesh.accounts() else {
            let message = "the configuration holds no client accounts";
            return Err(QueryError::account_unknown(message));
        };
        let Some(account) = directory.find_named(name) else {
            let message = "no client account of the configuration has this name";
            return Err(QueryError::account_unknown(message));
        };
        Ok(self.identify_key(account.keys.first().copied(), route))
    }
}

fn json_answer<T: Serialize>(status: u16, body: &T) -> HttpAnswer {
    match serde_json::to_vec(body) {
        Ok(body) => {
            let headers = vec![Header::new("content-type", JSON_TYPE)];
            HttpAnswer::new(status, headers, body)
        }
        Err(_) => own_answer(500, "", None),
    }
}

fn route_state(route: &Route) -> RouteState {
    RouteState {
        name: route.name.clone(),
        priority: route.priority,
        allowed_regions: route.allowed_regions.clone(),
        timeout_ms: ms(route.timeout),
        target_latency_ms: ms(route.target_latency),
        max_attempts: route.max_attempts,
        is_idempotent: route.idempotency == Idempotency::Idempotent,
        is_public: route.is_public,
        services: route.services.clone(),
    }
}

fn account_state(identity: &CallerIdentity, is_named: bool) -> AccountState {
    match identity {
        CallerIdentity::NotNeeded => AccountState::NotNeeded,
        CallerIdentity::Refused | CallerIdentity::Anonymous if is_named => AccountState::NoKey,
        CallerIdentity::Refused => AccountState::KeyNeeded,
        CallerIdentity::Anonymous => AccountState::Public,
        CallerIdentity::Known(account) => AccountState::Known {
            name: account.name.clone(),
            priority: account.priority,
            allowed_regions: account.allowed_regions.clone(),
            quota: account.quota,
        },
    }
}

fn version_choice(rule: &VersionRule, canary_use: CanaryUse) -> VersionChoice {
    match rule {
        VersionRule::Any => VersionChoice::Any,
        VersionRule::Only(version) if canary_use == CanaryUse::None => {
            VersionChoice::Only(version.clone())
        }
        VersionRule::Only(version) => VersionChoice::Canary(version.clone()),
        VersionRule::Avoid(version) => VersionChoice::Avoid(version.clone()),
    }
}

fn admission_state(decision: &AdmissionDecision) -> Admission {
    match decision {
        AdmissionDecision::Run => Admission::Run,
        AdmissionDecision::Wait { displaced } => Admission::Wait {
            displaced: displaced.len(),
        },
        AdmissionDecision::Reject {
            reason,
            retry_after,
            ..
        } => Admission::Reject {
            reason: match reason {
                RejectReason::TooLate => "too_late",
                RejectReason::QueueFull => "queue_full",
                RejectReason::RateLimited => "rate_limited",
            }
            .to_owned(),
            retry_after_ms: ms(*retry_after),
        },
    }
}
