//! Statistics over all moves.

use hemlockfall_core::catalogue::MoveStatus;
use hemlockfall_moves::stats;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use super::scenario::Scenario;

/// Outcome of one move.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Final status.
    pub status: MoveStatus,
    /// Whether the decision took effect by the deadline, even if its record was written later.
    pub on_time: bool,
    /// Reason of the status in the catalogue.
    pub reason: String,
    /// Time from the start to the decision, in milliseconds.
    pub decided_ms: u64,
    /// Requests that the fault affected.
    pub faulty_requests: u64,
    /// Time from the first faulty answer to the last request that was sent to the new version on
    /// a route and in a region that the fault affects, in milliseconds; to the end of the
    /// simulation if the version was not rolled back. Requests of `Choice::Probe`, with which a
    /// guard tests a version that it has cut off, are excluded.
    pub fault_to_zero_ms: Option<u64>,
}

/// Totals over the outcomes of moves.
#[derive(Debug, Default)]
pub struct Figures {
    good: u64,
    good_on_time: u64,
    good_rolled_back: u64,
    bad: u64,
    bad_rolled_back: u64,
    faulty_requests: u64,
    fault_to_zero_ms: Vec<u64>,
}

impl Figures {
    /// Adds the outcome of one move.
    pub fn add(&mut self, scenario: &Scenario, outcome: &Outcome) {
        let rolled_back = u64::from(outcome.status == MoveStatus::TakenBack);
        if scenario.is_bad() {
            self.bad += 1;
            self.bad_rolled_back += rolled_back;
            self.faulty_requests += outcome.faulty_requests;
            self.fault_to_zero_ms.extend(outcome.fault_to_zero_ms);
        } else {
            let done = outcome.status == MoveStatus::Done;
            self.good += 1;
            self.good_on_time += u64::from(done && outcome.on_time);
            self.good_rolled_back += rolled_back;
        }
    }

    fn write(&self, prefix: &str, object: &mut Map<String, Value>) {
        let mut insert_figure = |name: &str, value: Value| {
            object.insert(format!("{prefix}{name}"), value);
        };
        insert_figure(
            "good_on_time_share",
            json!(ratio(self.good_on_time, self.good)),
        );
        insert_figure(
            "good_taken_back_share",
            json!(ratio(self.good_rolled_back, self.good)),
        );
        insert_figure(
            "bad_taken_back_share",
            json!(ratio(self.bad_rolled_back, self.bad)),
        );
        insert_figure(
            "faulty_requests_per_bad_move",
            json!(ratio(self.faulty_requests, self.bad)),
        );
        insert_figure("fault_to_zero_ms_p99", json!(p99(&self.fault_to_zero_ms)));
    }
}

/// Returns the statistics of the product and the baseline as a JSON object.
pub fn to_json(moves: u32, product: &Figures, baseline: &Figures) -> Value {
    let mut object = Map::new();
    object.insert("moves".to_owned(), json!(moves));
    product.write("", &mut object);
    object.insert("baseline_moves".to_owned(), json!(moves));
    baseline.write("baseline_", &mut object);
    Value::Object(object)
}

fn ratio(part: u64, whole: u64) -> f64 {
    let exact = stats::to_float(part) / stats::to_float(whole.max(1));
    (exact * 10_000.0).round() / 10_000.0
}

fn p99(values: &[u64]) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() * 99).div_ceil(100);
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}
