//! Return of the store from an older copy of its content.
//!
//! The store's answers state an era, which rises each time. What was written in the lost time is gone,
//! and its revisions are given out again. So the store watchers list the watched kinds again, and
//! each node writes its entry again, with the deregistrations that it has acknowledged. Only the
//! watchers call the store all the time; the others learn of the era from their heartbeats.

use std::cmp::Ordering;
use std::time::Duration;

use hemlockfall_http::http::HttpAnswer;
use rand::RngExt;
use serde_json::json;

use crate::model::StoreEra;
use crate::node::Node;
use crate::node::Timer;
use crate::node::store::Channel;
use crate::node::store::WATCH_CHANNELS;
use crate::platform::StoreCall;

/// Time for each node of the mesh over which the entries are written again, so that the nodes of a
/// large mesh stay below the store's rate limit.
const REWRITE_TIME_PER_NODE: Duration = Duration::from_millis(5);

impl Node {
    /// Compares the era of an answer with the latest known one, and returns whether the answer can
    /// be used. One of an earlier era cannot, nor one that continues what began in an earlier era.
    pub(super) fn is_of_current_era(
        &mut self,
        channel: Channel,
        call: &StoreCall,
        answer: &HttpAnswer,
    ) -> bool {
        let era = self.platform.store_era(answer);
        match self.store.era.map(|known| era.cmp(&known)) {
            None => self.store.era = Some(era),
            Some(Ordering::Equal) => {}
            Some(Ordering::Less) => {
                self.store.connection(channel).current = Some(call.clone());
                self.store_call_failed(channel, "the answer is of an earlier era of the store");
                return false;
            }
            Some(Ordering::Greater) => {
                self.begin_store_era(era, "store");
                let continues = matches!(
                    call,
                    StoreCall::Watch { .. } | StoreCall::List { after: Some(_), .. }
                );
                if continues {
                    self.drive_store();
                }
                return !continues;
            }
        }
        true
    }

    /// Learns the era of the store from the heartbeat of a store watcher.
    pub(super) fn handle_store_era(&mut self, era: Option<StoreEra>) {
        let Some(era) = era else {
            return;
        };
        match self.store.era {
            None => self.store.era = Some(era),
            Some(known) if era > known => {
                self.begin_store_era(era, "peer");
                self.drive_store();
            }
            Some(_) => {}
        }
    }

    /// Abandons the call in progress of a channel, so that the next one can begin.
    pub(super) fn abandon_watch(&mut self, channel: Channel) {
        let now = self.now;
        let connection = self.store.connection(channel);
        if connection.current.take().is_some() {
            connection.close();
            connection.not_before = now;
        }
    }

    fn begin_store_era(&mut self, era: StoreEra, source: &str) {
        let before = self.store.era.replace(era);
        self.log_event(
            "store_restored",
            json!({ "era": era, "before": before, "source": source }),
        );
        for channel in WATCH_CHANNELS {
            self.abandon_watch(channel);
            self.store.connection(channel).revision = None;
        }
        // Writes of outcomes name revisions of the earlier era; they are queued again.
        let queue = &mut self.store.queue;
        queue.retain(|call| !matches!(call, StoreCall::SetRolloutState { .. }));
        self.mesh.doubt_stored_outcomes();
        self.store.nodes_after = None;
        self.store.entry_revision = None;
        self.store.entry_is_due = true;
        let spread = REWRITE_TIME_PER_NODE
            .saturating_mul(u32::try_from(self.peers.len()).unwrap_or(u32::MAX));
        let not_before = self.now + spread.mul_f64(self.random.random_range(0.0..1.0));
        self.store.calls.not_before = self.store.calls.not_before.max(not_before);
        self.set_timer(not_before, Timer::Store);
    }
}
