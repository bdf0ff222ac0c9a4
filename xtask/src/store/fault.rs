//! Faults of the store stand-in.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// How the store fails while it is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageMode {
    /// Answers 503.
    Refuse,
    /// Breaks the connection.
    Close,
}

/// Body of `/control/fault`; absent fields leave the faults unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// Takes the store down and cuts the waiting watches.
    pub down: Option<OutageMode>,
    /// Brings the store up again.
    pub up: bool,
    /// Delays every answer, in milliseconds; 0 ends the delay.
    pub slow_ms: Option<u64>,
    /// Ends `down` and `slow_ms` of this change after this time, in milliseconds.
    pub for_ms: Option<u64>,
    /// Number of next writes that take effect and whose answers are lost.
    pub lose_write_answers: Option<u32>,
    /// After a lost answer the store breaks every connection for this time, in milliseconds.
    pub close_after_lost_ms: Option<u64>,
    /// Breaks the connections of the watches that wait now.
    pub cut_watches: bool,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// How the store fails, when it is down.
    pub down: Option<OutageMode>,
    /// Delay of every answer, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes whose answers are lost.
    pub lose_write_answers: u32,
    /// Duration of the outage after a lost answer, in milliseconds.
    pub close_after_lost_ms: Option<u64>,
    ends_at: Option<Instant>,
}

impl Faults {
    /// Returns the faults in force at a time.
    #[must_use]
    pub fn at(mut self, now: Instant) -> Self {
        if self.ends_at.is_some_and(|ends_at| ends_at <= now) {
            self.down = None;
            self.slow_ms = 0;
            self.ends_at = None;
        }
        self
    }

    /// Applies a change.
    #[must_use]
    pub fn change(self, change: &FaultChange, now: Instant) -> Self {
        let mut faults = self.at(now);
        if change.up {
            faults.down = None;
            faults.ends_at = None;
        }
        if change.down.is_some() {
            faults.down = change.down;
        }
        faults.slow_ms = change.slow_ms.unwrap_or(faults.slow_ms);
        if change.down.is_some() || change.slow_ms.is_some() {
            faults.ends_at = change
                .for_ms
                .map(|for_ms| now + Duration::from_millis(for_ms));
        }
        faults.lose_write_answers = change
            .lose_write_answers
            .unwrap_or(faults.lose_write_answers);
        if change.lose_write_answers.is_some() {
            faults.close_after_lost_ms = change.close_after_lost_ms;
        }
        faults
    }

    /// Returns whether the answer of a write is to be lost. Counts the lost answer and begins the
    /// outage that was requested for it.
    pub fn consume_lost_answer(&mut self, now: Instant) -> bool {
        if self.lose_write_answers == 0 {
            return false;
        }
        self.lose_write_answers -= 1;
        if let Some(close_ms) = self.close_after_lost_ms {
            self.down = Some(OutageMode::Close);
            self.ends_at = Some(now + Duration::from_millis(close_ms));
        }
        true
    }
}
