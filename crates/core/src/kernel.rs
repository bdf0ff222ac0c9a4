//! Plug-in registry. Each plug-in family registers a [`Plugin`]; the settings loader, the metrics
//! page and the table of result codes iterate over the registry.

use crate::errors::ResultCode;

/// Type and allowed range of a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingKind {
    /// Integer within an inclusive range.
    Integer {
        /// Lowest value.
        min: i64,
        /// Highest value.
        max: i64,
    },
    /// Decimal number within an inclusive range; the bounds are given in thousandths.
    Decimal {
        /// Lowest value, in thousandths.
        min_milli: i64,
        /// Highest value, in thousandths.
        max_milli: i64,
    },
    /// `true` or `false`.
    Boolean,
    /// Text that is not empty.
    Text,
    /// One of a fixed set of words.
    Choice(&'static [&'static str]),
    /// IP address and port.
    Address,
    /// List of IP addresses with ports.
    AddressList,
}

/// Description of a key of a settings section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingSpec {
    /// Key within the section; its suffix names the unit.
    pub key: &'static str,
    /// Type and range.
    pub kind: SettingKind,
    /// Default as written in TOML; `None` when the key is required.
    pub default: Option<&'static str>,
    /// Help text of the key.
    pub help: &'static str,
}

/// Description of a result code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CodeSpec {
    /// Result code.
    pub code: ResultCode,
    /// Meaning of the code, and what to do about it.
    pub help: &'static str,
}

/// Type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Only increases.
    Counter,
    /// Goes up and down.
    Gauge,
    /// Distribution of values.
    Histogram,
}

/// Description of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricSpec {
    /// Name on the metrics page.
    pub name: &'static str,
    /// Type of the metric.
    pub kind: MetricKind,
    /// What the metric counts; for alarms also what to do.
    pub help: &'static str,
}

/// Long-running program of hemlockfall; each reads its own settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// Node with its own catalogue and operator interface.
    Node,
    /// Node on a platform that holds the configuration.
    Sidecar,
}

/// Settings section, result codes and metrics of a plug-in family.
#[derive(Debug)]
pub struct Plugin {
    /// Name of the family.
    pub family: &'static str,
    /// Name of the family's settings section.
    pub section: &'static str,
    /// Program whose settings file contains the section.
    pub program: Program,
    /// Keys of the section.
    pub settings: &'static [SettingSpec],
    /// Result codes of the family.
    pub codes: &'static [CodeSpec],
    /// Metrics of the family.
    pub metrics: &'static [MetricSpec],
}

inventory::collect!(Plugin);

/// Returns all registered plug-ins, sorted by family.
#[must_use]
pub fn plugins() -> Vec<&'static Plugin> {
    let mut plugins: Vec<&'static Plugin> = inventory::iter::<Plugin>.into_iter().collect();
    plugins.sort_by_key(|plugin| plugin.family);
    plugins
}

/// Returns the result codes of all plug-ins, sorted by number.
#[must_use]
pub fn codes() -> Vec<CodeSpec> {
    let mut codes: Vec<CodeSpec> = plugins()
        .iter()
        .flat_map(|plugin| plugin.codes.iter().copied())
        .collect();
    codes.sort_by_key(|spec| spec.code);
    codes
}
