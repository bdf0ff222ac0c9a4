//! Plug-in registry. Every family crate submits one [`Plugin`]; the settings loader, the
//! metrics page and the table of result codes walk the registry.

use crate::errors::ResultCode;

/// `SettingKind` is the type and the allowed range of a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingKind {
    /// Whole number within an inclusive range.
    Integer {
        /// Lowest value.
        min: i64,
        /// Highest value.
        max: i64,
    },
    /// Number with a fraction within an inclusive range, given in thousandths.
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
    /// One of a closed set of words.
    Choice(&'static [&'static str]),
    /// IP address and port.
    Address,
    /// List of IP addresses with ports.
    AddressList,
}

/// `SettingSpec` describes one key of a settings section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingSpec {
    /// Key inside the section; its suffix names the unit.
    pub key: &'static str,
    /// Type and range.
    pub kind: SettingKind,
    /// Default as written in TOML; `None` when the key is required.
    pub default: Option<&'static str>,
    /// What the key does.
    pub help: &'static str,
}

/// `CodeSpec` describes one result code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CodeSpec {
    /// The code.
    pub code: ResultCode,
    /// What it means and what to do.
    pub help: &'static str,
}

/// `MetricKind` is the type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Only increases.
    Counter,
    /// Goes up and down.
    Gauge,
    /// Distribution of values.
    Histogram,
}

/// `MetricSpec` describes one metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricSpec {
    /// Name on the metrics page.
    pub name: &'static str,
    /// Type.
    pub kind: MetricKind,
    /// What it counts; for alarms also what to do.
    pub help: &'static str,
}

/// `Program` is a long-running program of the product; each reads its own settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// The node with its own catalogue and operator interface.
    Node,
    /// The node on a platform that keeps the configuration.
    Sidecar,
}

/// `Plugin` is what a family adds to the product.
#[derive(Debug)]
pub struct Plugin {
    /// Name of the family.
    pub family: &'static str,
    /// Name of its settings section.
    pub section: &'static str,
    /// Program whose settings file has the section.
    pub program: Program,
    /// Keys of the section.
    pub settings: &'static [SettingSpec],
    /// Result codes of the family.
    pub codes: &'static [CodeSpec],
    /// Metrics of the family.
    pub metrics: &'static [MetricSpec],
}

inventory::collect!(Plugin);

/// `plugins` returns all registered plug-ins, sorted by family.
#[must_use]
pub fn plugins() -> Vec<&'static Plugin> {
    let mut plugins: Vec<&'static Plugin> = inventory::iter::<Plugin>.into_iter().collect();
    plugins.sort_by_key(|plugin| plugin.family);
    plugins
}

/// `codes` returns all result codes of all plug-ins, sorted by number.
#[must_use]
pub fn codes() -> Vec<CodeSpec> {
    let mut codes: Vec<CodeSpec> = plugins()
        .iter()
        .flat_map(|plugin| plugin.codes.iter().copied())
        .collect();
    codes.sort_by_key(|spec| spec.code);
    codes
}
