//! Figures of one run.

use serde_json::Map;
use serde_json::Value;

use crate::bench::distribute::observe::Role;
use crate::bench::distribute::observe::Sample;

const MEGABYTE: f64 = 1_048_576.0;

/// Average resource usage of nodes over a window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Control bytes sent per second.
    pub bytes_per_s: f64,
    /// Control bytes sent to other regions per second.
    pub region_bytes_per_s: f64,
    /// Processor time, in percent of one core.
    pub processor_percent: f64,
    /// Resident memory at the end of the window, in megabytes.
    pub resident_mb: f64,
}

impl Usage {
    /// Computes the usage of one node from its samples at both ends of a window.
    #[must_use]
    pub fn between(first: &Sample, last: &Sample) -> Self {
        let elapsed_s = last.at.duration_since(first.at).as_secs_f64().max(0.001);
        Self {
            bytes_per_s: (last.sent_bytes - first.sent_bytes) / elapsed_s,
            region_bytes_per_s: (last.region_bytes - first.region_bytes) / elapsed_s,
            processor_percent: (last.processor_s - first.processor_s) / elapsed_s * 100.0,
            resident_mb: last.resident_bytes / MEGABYTE,
        }
    }

    /// Returns the mean usage of several nodes.
    #[must_use]
    pub fn mean<'a>(usages: impl Iterator<Item = &'a Self>) -> Self {
        let mut sum = Self::default();
        let mut count = 0.0;
        for usage in usages {
            sum.bytes_per_s += usage.bytes_per_s;
            sum.region_bytes_per_s += usage.region_bytes_per_s;
            sum.processor_percent += usage.processor_percent;
            sum.resident_mb += usage.resident_mb;
            count += 1.0;
        }
        let count = f64::max(count, 1.0);
        Self {
            bytes_per_s: sum.bytes_per_s / count,
            region_bytes_per_s: sum.region_bytes_per_s / count,
            processor_percent: sum.processor_percent / count,
            resident_mb: sum.resident_mb / count,
        }
    }
}

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Time from each change until it was in force, for each pair of node and change, in
    /// milliseconds, sorted.
    pub convergence_ms: Vec<f64>,
    /// Pairs of node and change for which the change did not come into force.
    pub missing: usize,
    /// Bytes between regions per change.
    pub link_bytes_per_change: f64,
    /// Usage without changes.
    pub idle: Usage,
    /// Usage at the planned rate of changes.
    pub changing: Usage,
    /// Highest control bytes per second of one node at the planned rate of changes.
    pub max_bytes_per_s: f64,
    /// Usage per role at the planned rate of changes.
    pub roles: Vec<(Role, Usage)>,
    /// Store calls per second at the planned rate of changes, without those of the bench itself.
    pub store_calls_per_s: f64,
    /// Store calls per second without changes.
    pub idle_store_calls_per_s: f64,
}

impl Figures {
    /// Returns a percentile of the convergence time, or -1 without any convergence time.
    #[must_use]
    pub fn percentile(&self, percent: usize) -> f64 {
        let count = self.convergence_ms.len();
        let index = (count * percent).div_ceil(100).saturating_sub(1);
        self.convergence_ms.get(index).copied().unwrap_or(-1.0)
    }

    /// Adds the figures to a JSON object, with a prefix on their names.
    pub fn write(&self, prefix: &str, object: &mut Map<String, Value>) {
        let mut add = |name: &str, value: f64| {
            let rounded = (value * 1000.0).round() / 1000.0;
            object.insert(format!("{prefix}{name}"), rounded.into());
        };
        add("convergence_ms_p50", self.percentile(50));
        add("convergence_ms_p99", self.percentile(99));
        add("convergence_ms_max", self.percentile(100));
        add("link_bytes_per_change", self.link_bytes_per_change);
        add("control_bytes_per_s_per_node", self.changing.bytes_per_s);
        add("control_bytes_per_s_max_node", self.max_bytes_per_s);
        add("idle_control_bytes_per_s_per_node", self.idle.bytes_per_s);
        add("cpu_percent_per_node", self.changing.processor_percent);
        add("idle_cpu_percent_per_node", self.idle.processor_percent);
        add("rss_mb_per_node", self.changing.resident_mb);
        add("store_calls_per_s", self.store_calls_per_s);
        add("idle_store_calls_per_s", self.idle_store_calls_per_s);
        for (role, usage) in &self.roles {
            let role = role.name();
            add(&format!("{role}_bytes_per_s"), usage.bytes_per_s);
            add(
                &format!("{role}_region_bytes_per_s"),
                usage.region_bytes_per_s,
            );
            add(&format!("{role}_cpu_percent"), usage.processor_percent);
            add(&format!("{role}_rss_mb"), usage.resident_mb);
        }
        object.insert(format!("{prefix}missing"), self.missing.into());
    }
}
