//! Quotas of client accounts: this node as a spender and as a holder of shared allowances.

use std::time::Duration;

use hemlockfall_allowance::AllowanceKey;
use hemlockfall_allowance::NodeName;
use hemlockfall_allowance::holder::Holder;
use hemlockfall_allowance::limits::Bound;
use hemlockfall_allowance::limits::Limit;
use hemlockfall_allowance::messages::Ask;
use hemlockfall_allowance::messages::Grant;
use hemlockfall_allowance::slots::SUPPORT_TIME;
use hemlockfall_allowance::slots::SlotSet;
use hemlockfall_allowance::spender::Source;
use hemlockfall_allowance::spender::Spender;
use hemlockfall_allowance::spender::Take;
use serde_json::json;

use crate::clock::Time;
use crate::edge::frame::Frame;
use crate::model::ClientAccount;
use crate::node::Node;
use crate::node::Timer;
use crate::node::callers::own_answer;
use crate::node::peers::SEED_PREFIX;
use crate::node::store;

const CODE_OVER_QUOTA: &str = "HF-3715";
/// Time beyond the round trip that a request waits for the holder's reply. A VM with a tenth of a core
/// may not run for most of 100 ms, and a request that got no reply is asked for again after 200 ms;
/// a refusal below the quota costs the caller more than the wait.
const REPLY_MARGIN: Duration = Duration::from_millis(250);
/// Ticks after the start from which on a connected node knows the others, if the store's list of
/// nodes cannot be read: the members have been compared with those of other nodes by then.
const MEMBERS_KNOWN_TICKS: u64 = 30;
/// Ticks between two removals of unused allowances.
const FORGET_TICKS: u64 = 50;
/// Messages to this node's own holder that are handled in one event. A reply may ask for a
/// registration, which takes one more.
const MAX_OWN_EXCHANGES: usize = 3;

/// Time after which a node that seems to be lost is replaced as a holder. Its successor gets no
/// authority before the support for it has ended, which takes longer, and a node that was paused
/// briefly keeps its slots.
const LOSS_DELAY: Duration = Duration::from_millis(750);
/// Longest time between the starts of the nodes of a mesh that starts for the first time.
const FIRST_START_SPREAD_MS: u64 = 5_000;

/// Request that waits for a token.
#[derive(Debug)]
struct WaitingCall {
    call: u64,
    key: AllowanceKey,
}

/// Shared allowances at this node; without quotas it holds none.
#[derive(Debug)]
pub(crate) struct Allowances {
    started_at: Time,
    active: Option<Active>,
}

#[derive(Debug)]
struct Active {
    spender: Spender,
    holder: Holder,
    /// In the order in which the requests arrived.
    waiting: Vec<WaitingCall>,
    live: Vec<NodeName>,
    /// Nodes that seem to be lost, and since when.
    lost: Vec<(NodeName, Time)>,
    members: Vec<NodeName>,
    is_complete: bool,
    held: SlotSet,
    /// Whether messages may have to be sent after the current event.
    is_due: bool,
}

impl Allowances {
    pub(super) fn new(now: Time) -> Self {
        Self {
            started_at: now,
            active: None,
        }
    }
}

impl Active {
    /// Adds the nodes that were live until a moment ago to those that are live, unless they are in a
    /// graceful shutdown.
    fn keep_briefly_lost(
        &mut self,
        mut live: Vec<NodeName>,
        running: &[NodeName],
        now: Time,
    ) -> Vec<NodeName> {
        self.lost
            .retain(|(name, _)| !live.contains(name) && running.contains(name));
        for name in &self.live {
            let is_lost = !live.contains(name) && running.contains(name);
            if is_lost && !self.lost.iter().any(|(known, _)| known == name) {
                self.lost.push((name.clone(), now));
            }
        }
        let kept = self
            .lost
            .iter()
            .filter(|(_, since)| now.saturating_sub(*since) < LOSS_DELAY);
        live.extend(kept.map(|(name, _)| name.clone()));
        live.sort_unstable();
        live
    }
}

impl Node {
    /// Applies the quotas of a new configuration.
    pub(super) fn update_allowance_limits(&mut self) {
        let window = self.settings.quota_window();
        let accounts = self
            .mesh
            .config()
            .and_then(|config| config.accounts.as_ref());
        let limits: Vec<(AllowanceKey, Limit)> = accounts
            .into_iter()
            .flatten()
            .filter_map(limit_of)
            .collect();
        if self.allowances.active.is_none() && (window.is_zero() || limits.is_empty()) {
            return;
        }
        let now = self.now;
        let started_at = self.allowances.started_at;
        let settings = &self.settings;
        let incarnation = self.incarnation;
        let has_earlier_nodes = self.has_earlier_nodes();
        let active = self.allowances.active.get_or_insert_with(|| {
            let bound = Bound {
                window,
                overshoot_permille: permille(settings.quota_overshoot),
                allowance: settings.quota_allowance.into(),
            };
            let is_first = settings.is_first_start;
            Active {
                spender: Spender::new(incarnation, bound, is_first, started_at),
                holder: Holder::new(incarnation, bound, is_first, started_at),
                waiting: Vec::new(),
                live: Vec::new(),
                lost: Vec::new(),
                members: Vec::new(),
                is_complete: false,
                held: 0,
                is_due: true,
            }
        });
        if has_earlier_nodes {
            active.spender.not_first_start(started_at + SUPPORT_TIME);
            active.holder.not_first_start();
        }
        active.spender.set_limits(&limits);
        active.holder.set_limits(&limits, now);
        active.is_due = true;
        self.overlay_is_due = true;
    }

    /// Takes a token for a new request and starts it, lets it wait for the holder, or refuses it.
    pub(super) fn admit_by_quota(&mut self, id: u64) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let (account, deadline) = (call.account.clone(), call.deadline);
        let (Some(key), Some(active)) = (account, self.allowances.active.as_mut()) else {
            self.attempt(id);
            return;
        };
        let taken = active.spender.take(&key, self.now);
        active.is_due = true;
        if taken != Take::Wait {
            self.apply_take(id, taken);
            return;
        }
        let holder = active.spender.holder_of(&key).cloned();
        active.waiting.push(WaitingCall { call: id, key });
        let round_trip = holder
            .and_then(|name| self.peer_by_name(&name))
            .and_then(|peer| self.peers.get(peer))
            .map_or(Duration::ZERO, |peer| peer.distance.round_trip());
        let until = (self.now + round_trip + REPLY_MARGIN).min(deadline);
        self.set_timer(until, Timer::Allowance(id));
    }

    fn apply_take(&mut self, id: u64, taken: Take) {
        match taken {
            Take::Unlimited => self.attempt(id),
            Take::Spent(source) => {
                count(source_name(source));
                self.attempt(id);
            }
            Take::Refused { retry_after } => self.refuse_over_quota(id, retry_after),
            Take::Wait => {}
        }
    }

    fn refuse_over_quota(&mut self, id: u64, retry_after: Duration) {
        count("refused");
        let answer = own_answer(429, CODE_OVER_QUOTA, Some(retry_after));
        self.finish_call(id, answer, "over_quota");
    }

    /// Refuses a request that still waits for a token.
    pub(super) fn allowance_wait_ended(&mut self, id: u64) {
        let now = self.now;
        let Some(active) = self.allowances.active.as_mut() else {
            return;
        };
        let Some(index) = active.waiting.iter().position(|waiting| waiting.call == id) else {
            return;
        };
        let key = active.waiting.remove(index).key;
        let retry_after = active.spender.give_up(&key, now);
        if self.calls.get(id).is_some() {
            self.refuse_over_quota(id, retry_after);
        }
    }

    pub(super) fn handle_allowance_ask(&mut self, link: u64, ask: &Ask) {
        let Some(from) = self.node_at(link) else {
            return;
        };
        let now = self.now;
        let Some(active) = self.allowances.active.as_mut() else {
            return;
        };
        let grant = active.holder.handle(&from, ask, now);
        self.send_frame(link, &Frame::AllowanceGrant(Box::new(grant)));
    }

    pub(super) fn handle_allowance_grant(&mut self, link: u64, grant: Grant) {
        if let Some(from) = self.node_at(link) {
            self.apply_grant(&from, grant);
        }
    }

    /// Adds granted tokens and continues the requests that wait for them.
    fn apply_grant(&mut self, from: &NodeName, grant: Grant) {
        let now = self.now;
        let Some(active) = self.allowances.active.as_mut() else {
            return;
        };
        let keys = active.spender.handle(from, grant, now);
        active.is_due = true;
        let mut continued = Vec::new();
        let calls = &self.calls;
        active.waiting.retain(|waiting| {
            if calls.get(waiting.call).is_none() {
                active.spender.give_up(&waiting.key, now);
                return false;
            }
            if !keys.contains(&waiting.key) {
                return true;
            }
            match active.spender.retake(&waiting.key, now) {
                Take::Wait => true,
                taken => {
                    continued.push((waiting.call, taken));
                    false
                }
            }
        });
        for (call, taken) in continued {
            self.apply_take(call, taken);
        }
    }

    /// Sends the requests for tokens that the current event has made due, one message to each holder.
    pub(super) fn send_allowance_asks(&mut self) {
        for _ in 0..MAX_OWN_EXCHANGES {
            let now = self.now;
            let Some(active) = self.allowances.active.as_mut() else {
                return;
            };
            if !std::mem::take(&mut active.is_due) {
                return;
            }
            let asks = active.spender.poll(now);
            for (node, ask) in asks {
                if node == self.settings.name {
                    let Some(active) = self.allowances.active.as_mut() else {
                        return;
                    };
                    let grant = active.holder.handle(&node, &ask, now);
                    self.apply_grant(&node, grant);
                } else if let Some(link) = self.established_link(&node) {
                    self.send_frame(link, &Frame::AllowanceAsk(Box::new(ask)));
                }
            }
        }
    }

    /// Updates the views of the other nodes, and keeps up the support for the holders.
    pub(super) fn check_allowances(&mut self) {
        if self.allowances.active.is_none() {
            return;
        }
        let now = self.now;
        let (live, members) = self.allowance_views();
        let running = self.running_nodes();
        let is_complete =
            self.store.nodes_listed || (self.ticks >= MEMBERS_KNOWN_TICKS && self.has_links());
        let has_earlier_nodes = self.has_earlier_nodes();
        let started_at = self.allowances.started_at;
        let forgets = self.ticks.is_multiple_of(FORGET_TICKS);
        let own = self.settings.name.clone();
        let Some(active) = self.allowances.active.as_mut() else {
            return;
        };
        active.is_due = true;
        let live = active.keep_briefly_lost(live, &running, now);
        let has_changed =
            live != active.live || members != active.members || is_complete != active.is_complete;
        let mut has_moved = false;
        if has_changed {
            has_moved = active.spender.set_live(&live);
            let slots = if is_complete {
                active.spender.slots_of(&own)
            } else {
                0
            };
            active.holder.set_members(&members, slots, now);
            if has_earlier_nodes {
                active.spender.not_first_start(started_at + SUPPORT_TIME);
                active.holder.not_first_start();
            }
            active.live = live;
            active.members = members;
            active.is_complete = is_complete;
        }
        if forgets {
            active.spender.forget_idle(now);
            active.holder.forget_idle(now);
        }
        let held = active.holder.held(now);
        let before = std::mem::replace(&mut active.held, held);
        let holders = active.spender.holders();
        if has_moved {
            self.overlay_is_due = true;
            self.log_event("allowance_holders", json!({ "holders": holders }));
        }
        if held != before {
            let names = |slots: SlotSet| format!("{slots:012b}");
            self.log_event(
                "allowance_slots",
                json!({ "held": names(held), "before": names(before) }),
            );
        }
    }

    /// Returns whether another process was started long before this one, so that the mesh does not
    /// start for the first time, whatever the settings of a restarted node say.
    fn has_earlier_nodes(&self) -> bool {
        self.peers.iter().any(|(_, peer)| {
            let started = peer.record.incarnation;
            started > 0 && started + FIRST_START_SPREAD_MS < self.incarnation
        })
    }

    /// Returns the known nodes that are not in a graceful shutdown.
    fn running_nodes(&self) -> Vec<NodeName> {
        let others = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.record.is_stopping);
        others.map(|(_, peer)| peer.record.node.clone()).collect()
    }

    /// Returns the nodes that are taken to be live and those that are known, this one included.
    fn allowance_views(&self) -> (Vec<NodeName>, Vec<NodeName>) {
        let known = || {
            self.peers
                .iter()
                .filter(|(_, peer)| !peer.is_replaced && !peer.record.node.starts_with(SEED_PREFIX))
        };
        let name = self.settings.name.clone();
        let mut live: Vec<NodeName> = known()
            .filter(|(_, peer)| !peer.record.is_stopping && store::is_live(peer))
            .map(|(_, peer)| peer.record.node.clone())
            .collect();
        if !self.is_stopping() {
            live.push(name.clone());
        }
        let mut members: Vec<NodeName> =
            known().map(|(_, peer)| peer.record.node.clone()).collect();
        members.push(name);
        live.sort_unstable();
        members.sort_unstable();
        (live, members)
    }

    /// Returns the peers that hold shared allowances.
    pub(super) fn allowance_holder_peers(&self) -> Vec<u64> {
        let Some(active) = self.allowances.active.as_ref() else {
            return Vec::new();
        };
        let holders = active.spender.holders();
        holders
            .iter()
            .filter_map(|name| self.peer_by_name(name))
            .collect()
    }

    /// Ends the support for earlier processes of a peer.
    pub(super) fn note_restart(&mut self, peer: u64) {
        let (Some(active), Some(peer)) = (self.allowances.active.as_mut(), self.peers.get(peer))
        else {
            return;
        };
        let record = &peer.record;
        active
            .spender
            .node_restarted(&record.node, record.incarnation);
    }

    fn established_link(&self, node: &NodeName) -> Option<u64> {
        let peer = self.peers.get(self.peer_by_name(node)?)?;
        peer.link.filter(|_| peer.is_linked)
    }

    /// Returns the node at the other end of a link.
    fn node_at(&self, link: u64) -> Option<NodeName> {
        let peer = self.links.get(link)?.peer?;
        Some(self.peers.get(peer)?.record.node.clone())
    }
}

fn limit_of(account: &ClientAccount) -> Option<(AllowanceKey, Limit)> {
    let quota = account.quota?;
    let limit = Limit {
        milli_per_s: quota.milli_per_s,
        burst: quota.burst.into(),
    };
    Some((account.name.clone(), limit))
}

fn permille(part: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the setting is checked to lie between 0 and 10"
    )]
    let permille = (part * 1000.0) as u64;
    permille
}

fn source_name(source: Source) -> &'static str {
    match source {
        Source::Granted => "granted",
        Source::Share => "share",
        Source::Fallback => "fallback",
    }
}

fn count(result: &'static str) {
    metrics::counter!("hemlockfall_sidecar_quota_total", "result" => result).increment(1);
}
