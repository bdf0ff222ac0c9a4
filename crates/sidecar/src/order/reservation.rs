//! Slots that less urgent requests leave free while more urgent ones are turned away.

use std::time::Duration;

use crate::clock::Time;
use crate::order::Decaying;

/// Time over which demand and refusals are averaged.
const PERIOD: Duration = Duration::from_secs(2);
/// Share of refused requests from which on the whole need is reserved. A more urgent priority that is
/// served less often than another one by more than this share costs callers extra.
const TURNED_AWAY_SHARE: f64 = 0.05;
/// Inverse of the part of the slots that less urgent requests can always use.
const OPEN_PART: usize = 4;

#[derive(Clone, Copy, Debug, Default)]
struct Need {
    arrived: Decaying,
    turned_away: Decaying,
    /// Expected run times, in seconds.
    work_s: Decaying,
    /// The same of requests on which no work has been spent.
    first_work_s: Decaying,
}

impl Need {
    /// Returns the slots that the requests have recently needed, in so far as they were turned away.
    fn slots(&self, now: Time) -> f64 {
        let arrived = self.arrived.value(PERIOD, now);
        let turned_away = self.turned_away.value(PERIOD, now);
        if arrived <= 0.0 {
            return 0.0;
        }
        let pressure = (turned_away / (arrived * TURNED_AWAY_SHARE)).min(1.0);
        pressure * self.work_s.value(PERIOD, now) / PERIOD.as_secs_f64()
    }
}

/// Runs at the target, seen from one priority.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotUse {
    /// Slots of the target.
    pub slots: usize,
    /// Runs of more urgent requests.
    pub more_urgent: usize,
    /// Runs of requests of this priority and of less urgent ones.
    pub others: usize,
}

/// Recent demand and refusals by priority.
#[derive(Clone, Debug, Default)]
pub struct Reservation {
    /// Sorted by priority.
    needs: Vec<(u8, Need)>,
}

impl Reservation {
    /// Records a request with its expected run time.
    pub fn arrived(&mut self, priority: u8, run: Duration, now: Time) {
        let need = self.need(priority);
        need.arrived.add(1.0, PERIOD, now);
        need.work_s.add(run.as_secs_f64(), PERIOD, now);
    }

    /// Records that the request is the caller's first one.
    pub fn arrived_first(&mut self, priority: u8, run: Duration, now: Time) {
        let need = self.need(priority);
        need.first_work_s.add(run.as_secs_f64(), PERIOD, now);
    }

    /// Returns the slots that the first requests of a priority and of more urgent ones need.
    #[must_use]
    pub fn slots_of_first(&self, priority: u8, now: Time) -> f64 {
        self.needs
            .iter()
            .take_while(|(other, _)| *other <= priority)
            .map(|(_, need)| need.first_work_s.value(PERIOD, now) / PERIOD.as_secs_f64())
            .sum()
    }

    /// Records a request that was refused for lack of room.
    pub fn turned_away(&mut self, priority: u8, now: Time) {
        self.need(priority).turned_away.add(1.0, PERIOD, now);
    }

    /// Returns the number of slots that requests of a priority leave free now.
    #[must_use]
    pub fn left_free(&self, priority: u8, slot_use: SlotUse, now: Time) -> usize {
        let open = (slot_use.slots / OPEN_PART).max(1);
        if slot_use.others < open {
            return 0;
        }
        let needed: f64 = self
            .needs
            .iter()
            .take_while(|(other, _)| *other < priority)
            .map(|(_, need)| need.slots(now))
            .sum();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the number is not negative and bounded by the slots below"
        )]
        let needed = needed.round() as usize;
        needed
            .min(slot_use.slots.saturating_sub(open))
            .saturating_sub(slot_use.more_urgent)
    }

    fn need(&mut self, priority: u8) -> &mut Need {
        let index = match self
            .needs
            .binary_search_by_key(&priority, |(other, _)| *other)
        {
            Ok(index) => index,
            Err(index) => {
                self.needs.insert(index, (priority, Need::default()));
                index
            }
        };
        &mut self.needs[index].1
    }
}
