//! Faults of a run at fixed times, beside those chosen at random: a target that limits its rate, and
//! a store that comes back from an older copy.

use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::store::StoreCopy;
use rand::RngExt;

use crate::soak::testbed::Testbed;

/// Limit that the target names, in requests per second.
const LIMIT_PER_S: usize = 20;
/// Time after the first naming from which on a limit binds, and the window over which requests count.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that a window allows: one and a half times the limit in 4 s, and 5 more.
const ALLOWED: usize = LIMIT_PER_S * 6 + 5;
/// Requests of its own callers that a restarted node may send before it has learned of the limit.
const ALLOWED_BY_RESTART: usize = 8;

/// Faults at fixed times of a run.
#[derive(Debug)]
pub struct Drill {
    vm: usize,
    instance: String,
    named_at: Instant,
    /// Id of the process of the node beside the target, and how often it was restarted.
    process: u32,
    restarts: usize,
    copy: Option<(Instant, StoreCopy)>,
    copy_at: Instant,
    restore_at: Instant,
}

impl Drill {
    /// Begins with a limit of one target, and plans the return of the store within `time`.
    pub fn begin(testbed: &mut Testbed, time: Duration) -> Self {
        let vm = testbed.drill_random.random_range(0..testbed.vms.len());
        let share = testbed.drill_random.random_range(0.2..0.5);
        let now = Instant::now();
        let limit = LIMIT_PER_S.to_string();
        let instance = testbed.vms[vm].target.as_ref().map(|target| {
            target.set_rate_limit(Some(&limit));
            target.instance().to_owned()
        });
        Self {
            vm,
            instance: instance.unwrap_or_default(),
            named_at: now,
            process: testbed.vms[vm].node.id(),
            restarts: 0,
            copy: None,
            copy_at: now + time.mul_f64(share),
            restore_at: now + time.mul_f64(share + 0.3),
        }
    }

    /// Takes the copy of the store and restores it, each at its time. Deregistrations in between are
    /// lost with the store if all nodes are killed right after.
    pub fn step(&mut self, testbed: &mut Testbed) {
        let now = Instant::now();
        let process = testbed.vms[self.vm].node.id();
        if std::mem::replace(&mut self.process, process) != process {
            self.restarts += 1;
        }
        if self.copy.is_none() && now >= self.copy_at && now < self.restore_at {
            self.copy = Some((now, testbed.store.copy()));
        }
        if now >= self.restore_at
            && let Some((copied_at, copy)) = self.copy.take()
        {
            testbed.store.restore_with_rewrites(copy);
            testbed.ledger.forget_deregistrations_since(copied_at);
            testbed.disruptions.mark(Duration::ZERO);
            testbed.disturbances.note(None);
        }
    }

    /// Withdraws the limit, and checks it if its target has neither left nor crashed.
    pub fn end(self, testbed: &Testbed) {
        let vm = &testbed.vms[self.vm];
        let Some(target) = &vm.target else {
            return;
        };
        target.set_rate_limit(None);
        if target.instance() != self.instance {
            return;
        }
        let requests = target.busiest_window(self.named_at + STABILITY_WINDOW, WINDOW);
        let allowed = ALLOWED + ALLOWED_BY_RESTART * self.restarts;
        if requests > allowed {
            let instance = &self.instance;
            testbed.ledger.report(format!(
                "LIMIT: {instance} got {requests} requests in {WINDOW:?}, allowed {allowed}"
            ));
        }
    }
}
