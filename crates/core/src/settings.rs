//! Settings: a TOML file that is validated as a whole against the registered plug-ins.
//!
//! Every mistake is reported with its key, the value found and the allowed values; unknown keys
//! are mistakes.

use std::net::SocketAddr;
use std::path::Path;

use serde::de::DeserializeOwned;
use toml::Table;
use toml::Value;

use crate::errors::Error;
use crate::errors::Result;
use crate::errors::SettingMistake;
use crate::kernel;
use crate::kernel::Plugin;
use crate::kernel::Program;
use crate::kernel::SettingKind;
use crate::kernel::SettingSpec;

/// Validated settings file with all defaults filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    file: String,
    sections: Table,
}

impl Settings {
    /// Reads and validates the settings file of a node.
    ///
    /// # Errors
    /// [`Error::SettingsUnreadable`] or [`Error::SettingsInvalid`] with every mistake.
    pub fn load(path: &Path) -> Result<Self> {
        Self::load_for(Program::Node, path)
    }

    /// Reads and validates the settings file of a program.
    ///
    /// # Errors
    /// [`Error::SettingsUnreadable`] or [`Error::SettingsInvalid`] with every mistake.
    pub fn load_for(program: Program, path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| Error::SettingsUnreadable {
            file: file.clone(),
            reason: error.to_string(),
        })?;
        Self::parse_for(program, &file, &text)
    }

    /// Parses and validates the text of a node's settings file; `file` is only used in error
    /// messages.
    ///
    /// # Errors
    /// [`Error::SettingsUnreadable`] or [`Error::SettingsInvalid`] with every mistake.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        Self::parse_for(Program::Node, file, text)
    }

    /// Parses and validates the text of a program's settings file; `file` is only used in error
    /// messages.
    ///
    /// # Errors
    /// [`Error::SettingsUnreadable`] or [`Error::SettingsInvalid`] with every mistake.
    pub fn parse_for(program: Program, file: &str, text: &str) -> Result<Self> {
        let table: Table =
            text.parse()
                .map_err(|error: toml::de::Error| Error::SettingsUnreadable {
                    file: file.to_owned(),
                    reason: error.to_string(),
                })?;
        let mut mistakes = Vec::new();
        let mut plugins = kernel::plugins();
        plugins.retain(|plugin| plugin.program == program);
        check_section_names(&plugins, &table, &mut mistakes);
        let mut sections = Table::new();
        for plugin in plugins {
            let section = check_section(plugin, table.get(plugin.section), &mut mistakes);
            sections.insert(plugin.section.to_owned(), Value::Table(section));
        }
        if !mistakes.is_empty() {
            return Err(Error::SettingsInvalid {
                file: file.to_owned(),
                mistakes,
            });
        }
        Ok(Self {
            file: file.to_owned(),
            sections,
        })
    }

    /// Converts a section to the options struct of its family.
    ///
    /// # Errors
    /// [`Error::SettingsInvalid`] when the struct and the registered keys disagree.
    pub fn section<T: DeserializeOwned>(&self, name: &str) -> Result<T> {
        let table = self
            .sections
            .get(name)
            .cloned()
            .unwrap_or(Value::Table(Table::new()));
        table
            .try_into()
            .map_err(|error: toml::de::Error| Error::SettingsInvalid {
                file: self.file.clone(),
                mistakes: vec![SettingMistake {
                    key: name.to_owned(),
                    found: error.to_string(),
                    allowed: "the registered keys of this section".to_owned(),
                }],
            })
    }
}

fn check_section_names(plugins: &[&Plugin], table: &Table, mistakes: &mut Vec<SettingMistake>) {
    let section_names: Vec<&str> = plugins.iter().map(|plugin| plugin.section).collect();
    for (name, value) in table {
        if !section_names.contains(&name.as_str()) {
            mistakes.push(SettingMistake {
                key: name.clone(),
                found: "an unknown section".to_owned(),
                allowed: section_names.join(", "),
            });
        } else if !value.is_table() {
            mistakes.push(SettingMistake {
                key: name.clone(),
                found: value.to_string(),
                allowed: "a table".to_owned(),
            });
        }
    }
}

fn check_section(
    plugin: &Plugin,
    value: Option<&Value>,
    mistakes: &mut Vec<SettingMistake>,
) -> Table {
    let empty = Table::new();
    let table = value.and_then(Value::as_table).unwrap_or(&empty);
    for key in table.keys() {
        if !plugin.settings.iter().any(|spec| spec.key == key) {
            mistakes.push(unknown_key(plugin, key));
        }
    }
    let mut checked = Table::new();
    for spec in plugin.settings {
        match table.get(spec.key) {
            Some(value) => {
                check_value(plugin.section, spec, value, mistakes);
                checked.insert(spec.key.to_owned(), value.clone());
            }
            None => insert_default(plugin.section, spec, &mut checked, mistakes),
        }
    }
    checked
}

fn unknown_key(plugin: &Plugin, key: &str) -> SettingMistake {
    let keys: Vec<&str> = plugin.settings.iter().map(|spec| spec.key).collect();
    SettingMistake {
        key: format!("{}.{key}", plugin.section),
        found: "an unknown key".to_owned(),
        allowed: keys.join(", "),
    }
}

fn insert_default(
    section: &str,
    spec: &SettingSpec,
    checked: &mut Table,
    mistakes: &mut Vec<SettingMistake>,
) {
    let Some(default) = spec.default else {
        mistakes.push(SettingMistake {
            key: format!("{section}.{}", spec.key),
            found: "nothing".to_owned(),
            allowed: allowed(spec.kind),
        });
        return;
    };
    // Defaults are literals in the registering crate, whose tests parse each of them.
    if let Ok(parsed) = format!("value = {default}").parse::<Table>()
        && let Some(value) = parsed.get("value")
    {
        checked.insert(spec.key.to_owned(), value.clone());
    }
}

fn check_value(
    section: &str,
    spec: &SettingSpec,
    value: &Value,
    mistakes: &mut Vec<SettingMistake>,
) {
    if !matches_kind(spec.kind, value) {
        mistakes.push(SettingMistake {
            key: format!("{section}.{}", spec.key),
            found: value.to_string(),
            allowed: allowed(spec.kind),
        });
    }
}

fn matches_kind(kind: SettingKind, value: &Value) -> bool {
    match kind {
        SettingKind::Integer { min, max } => value
            .as_integer()
            .is_some_and(|number| (min..=max).contains(&number)),
        SettingKind::Decimal {
            min_milli,
            max_milli,
        } => as_number(value)
            .is_some_and(|number| milli(min_milli) <= number && number <= milli(max_milli)),
        SettingKind::Boolean => value.is_bool(),
        SettingKind::Text => value.as_str().is_some_and(|text| !text.trim().is_empty()),
        SettingKind::Choice(words) => value.as_str().is_some_and(|text| words.contains(&text)),
        SettingKind::Address => is_address(value),
        SettingKind::AddressList => value
            .as_array()
            .is_some_and(|items| items.iter().all(is_address)),
    }
}

/// Returns the value of a decimal or whole number, not rounded to thousandths: a value just below
/// zero would then pass the check of the bounds and cause a panic where it is converted to a
/// duration.
fn as_number(value: &Value) -> Option<f64> {
    #[expect(
        clippy::cast_precision_loss,
        reason = "numbers that large are beyond all bounds"
    )]
    let to_float = |number: i64| number as f64;
    value
        .as_float()
        .or_else(|| value.as_integer().map(to_float))
}

fn milli(number_milli: i64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "bounds are small numbers")]
    let number = number_milli as f64 / 1000.0;
    number
}

fn is_address(value: &Value) -> bool {
    value
        .as_str()
        .is_some_and(|text| text.parse::<SocketAddr>().is_ok())
}

/// Returns a description of the allowed values of a kind of setting.
#[must_use]
pub fn allowed(kind: SettingKind) -> String {
    match kind {
        SettingKind::Integer { min, max } => format!("a whole number from {min} to {max}"),
        SettingKind::Decimal {
            min_milli,
            max_milli,
        } => {
            format!(
                "a number from {} to {}",
                format_milli(min_milli),
                format_milli(max_milli)
            )
        }
        SettingKind::Boolean => "true or false".to_owned(),
        SettingKind::Text => "a text that is not empty".to_owned(),
        SettingKind::Choice(words) => format!("one of {}", words.join(", ")),
        SettingKind::Address => "an IP address with a port, such as \"127.0.0.1:7001\"".to_owned(),
        SettingKind::AddressList => "a list of IP addresses with ports".to_owned(),
    }
}

fn format_milli(number_milli: i64) -> String {
    format!("{}.{:03}", number_milli / 1000, number_milli % 1000)
}
