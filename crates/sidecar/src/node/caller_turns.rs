//! Begins the requests of callers' connections in turn.

use crate::node::Node;
use crate::node::READ_PAUSE;
use crate::node::Timer;
use crate::turns::Turns;

impl Node {
    /// Returns whether a further request of a connection may begin now; otherwise it waits for the
    /// connection's turn.
    pub(super) fn may_begin_request(&mut self, id: u64) -> bool {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(id) else {
            return false;
        };
        let may_begin = self.turns.may_begin(id, &mut caller.share, now);
        self.schedule_turn();
        may_begin
    }

    fn schedule_turn(&mut self) {
        if self.turns.has_waiting() && !std::mem::replace(&mut self.is_turn_scheduled, true) {
            self.set_timer(self.now + READ_PAUSE, Timer::Turn);
        }
    }

    /// Begins requests of the connections that wait, until the turn is used up.
    pub(super) fn take_turn(&mut self) {
        self.is_turn_scheduled = false;
        self.turns.start();
        while let Some(id) = self.turns.next_connection() {
            let Some(caller) = self.callers.get_mut(id) else {
                continue;
            };
            Turns::<u64>::resume(&mut caller.share);
            self.resume_caller(id);
            self.read_answered_callers();
        }
        self.schedule_turn();
    }
}
