//! Bounds what callers that read slowly or not at all hold of the process: unsent answers count
//! against one budget together with everything else.

use std::time::Duration;

use serde_json::json;

use crate::buffers;
use crate::buffers::UnsentOutput;
use crate::clock::Time;
use crate::log::LogCategory;
use crate::node::Node;
use crate::node::callers::Caller;
use crate::node::deferred::DeferredRequest;

/// Time over which the rate is measured at which a caller takes its answers.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Size from which a request or its expected answer counts as long.
const LONG_BYTES: usize = 64 * 1024;
/// Rate at which a caller takes its answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DrainRate {
    /// Start of the window, and what had been written by then.
    since: Time,
    written_bytes: u64,
    /// Rate in the window before.
    bytes_per_s: usize,
}

impl DrainRate {
    /// Begins a new window if the current one is over.
    fn update(&mut self, total_written_bytes: u64, now: Time) {
        if now.saturating_sub(self.since) < RATE_WINDOW {
            return;
        }
        self.bytes_per_s = self.recent(total_written_bytes);
        self.since = now;
        self.written_bytes = total_written_bytes;
    }

    fn recent(&self, total_written_bytes: u64) -> usize {
        usize::try_from(total_written_bytes - self.written_bytes).unwrap_or(usize::MAX)
    }

    /// Returns the higher one of the rates in the last window and in the current one.
    pub(super) fn bytes_per_s(&self, total_written_bytes: u64) -> usize {
        self.bytes_per_s.max(self.recent(total_written_bytes))
    }
}

impl Node {
    /// Returns the memory of all messages: read, in progress or unsent.
    fn held_memory(&self) -> usize {
        let callers = self.callers.iter();
        let targets = self.connections.iter();
        let links = self.links.iter();
        let transfers = self.transfers.iter();
        let calls = self.calls.iter().map(|(_, call)| call.held_bytes());
        let deferred = self.deferred.iter().map(DeferredRequest::held_bytes);
        let work_items = self.target.work_items.iter();
        let store = self.store.held_bytes();
        callers
            .map(|(_, caller)| caller.held_bytes() + caller.output_bytes())
            .chain(targets.map(|(_, open)| open.held_bytes() + open.output_bytes()))
            .chain(links.map(|(_, link)| link.held_bytes() + link.output_bytes()))
            .chain(transfers.map(|(_, outgoing)| outgoing.held_bytes()))
            .chain(calls)
            .chain(deferred)
            .chain(work_items.map(|(_, work)| work.held_bytes()))
            .chain(store.map(|(_, bytes)| bytes))
            .sum()
    }

    /// Returns the expected size of an answer of a route if it is long, otherwise 0.
    fn long_answer_bytes(&self, route: &str) -> usize {
        let kib = self.answer_sizes.kib(route).unwrap_or_default();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a mean of sizes of bodies in memory"
        )]
        let bytes = (kib * 1024.0) as usize;
        if bytes >= LONG_BYTES { bytes } else { 0 }
    }

    /// Returns what is held and the expected answers of the requests in progress.
    fn expected_memory(&self) -> usize {
        let calls = self.calls.iter().map(|(_, call)| &call.route.name);
        let work_items = self.target.work_items.iter();
        let expected_bytes: usize = calls
            .chain(
                work_items
                    .filter(|(_, work)| work.is_of_link())
                    .map(|(_, work)| &work.route),
            )
            .map(|route| self.long_answer_bytes(route))
            .sum();
        self.held_memory() + expected_bytes
    }

    /// Returns the memory that a request and its expected answer need if either is long, otherwise 0.
    fn long_work_bytes(&self, route: &str, body_bytes: usize) -> usize {
        let answer_bytes = self.long_answer_bytes(route);
        if answer_bytes == 0 && body_bytes < LONG_BYTES {
            return 0;
        }
        answer_bytes + body_bytes
    }

    /// Returns whether a request of a route may begin: long work may not while the memory is nearly
    /// used up by what is held and by the expected answers of the requests in progress.
    pub(super) fn has_memory_for(&self, route: &str, body_bytes: usize) -> bool {
        let more_bytes = self.long_work_bytes(route, body_bytes);
        let limits = self.buffer_limits();
        more_bytes == 0 || limits.allows_long_work(self.expected_memory(), more_bytes)
    }

    /// Returns the same for a request on a connection of a caller. For a single request, callers that
    /// hardly read are disconnected when there is no memory otherwise.
    pub(super) fn find_memory_for(&mut self, caller: u64, route: &str, body_bytes: usize) -> bool {
        let more_bytes = self.long_work_bytes(route, body_bytes);
        if more_bytes == 0 {
            return true;
        }
        let limits = self.buffer_limits();
        let held_bytes = self.expected_memory();
        if self.callers.get(caller).is_some_and(Caller::is_pipelining) {
            return limits.allows_pipelined_work(held_bytes, more_bytes);
        }
        if limits.allows_long_work(held_bytes, more_bytes) {
            return true;
        }
        let budget_bytes = limits.long_work_bytes();
        let outputs = self.unsent_outputs();
        let stalled =
            buffers::stalled_readers_to_close(outputs, held_bytes, more_bytes, budget_bytes);
        self.close_slow_readers(&stalled, held_bytes, budget_bytes);
        limits.allows_long_work(self.expected_memory(), more_bytes)
    }

    /// Returns whether a request may be deferred: a long one may not while the memory is nearly used
    /// up by what is held.
    pub(super) fn has_memory_to_defer(&self, body_bytes: usize) -> bool {
        let limits = self.buffer_limits();
        body_bytes < LONG_BYTES || limits.allows_long_work(self.held_memory(), body_bytes)
    }

    /// Measures how fast the callers take their answers.
    pub(super) fn measure_drain_rates(&mut self) {
        let now = self.now;
        for (_, caller) in self.callers.iter_mut() {
            let written_bytes = caller.total_written_bytes();
            caller.drain_rate.update(written_bytes, now);
        }
    }

    /// Closes the connections of the callers that read slowest if all that is held exceeds the budget.
    pub(super) fn check_held_memory(&mut self) {
        let budget_bytes = self.buffer_limits().held_bytes;
        let held_bytes = self.held_memory();
        if held_bytes <= budget_bytes {
            return;
        }
        let outputs = self.unsent_outputs();
        let slow = buffers::slow_readers_to_close(outputs, held_bytes, budget_bytes);
        self.close_slow_readers(&slow, held_bytes, budget_bytes);
    }

    fn unsent_outputs(&self) -> Vec<UnsentOutput<u64>> {
        let now = self.now;
        self.callers
            .iter()
            .map(|(id, caller)| UnsentOutput {
                connection: id,
                bytes: caller.output_bytes(),
                bytes_per_s: caller.drain_rate.bytes_per_s(caller.total_written_bytes()),
                age: caller.output_age(now),
            })
            .collect()
    }

    fn close_slow_readers(
        &mut self,
        slow: &[UnsentOutput<u64>],
        held_bytes: usize,
        budget_bytes: usize,
    ) {
        for output in slow {
            metrics::counter!("hemlockfall_sidecar_slow_readers_closed_total").increment(1);
            if self.log.admits(LogCategory::Failure, self.now) {
                self.log.write(
                    "slow_reader_closed",
                    json!({
                        "unsent_bytes": output.bytes, "bytes_per_s": output.bytes_per_s,
                        "held_bytes": held_bytes, "budget_bytes": budget_bytes,
                    }),
                );
            }
            self.close_caller(output.connection);
        }
    }
}
