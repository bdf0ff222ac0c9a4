//! Comparison of the committed pages and the settings with the plug-in registry.

use std::fmt::Write;

use hemlockfall::cli::pages;
use hemlockfall_core::kernel;
use hemlockfall_core::kernel::Program;
use hemlockfall_core::settings::Settings;

use crate::file;
use crate::hemlockfall;

fn page(name: &str) -> String {
    let path = format!("{}/../../docs/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the page is committed")
}

fn between(page: &str, name: &str) -> String {
    let begin = format!("<!-- {name}: begin -->\n");
    let end = format!("<!-- {name}: end -->");
    let (_, rest) = page.split_once(&begin).expect("the table begins");
    let (table, _) = rest.split_once(&end).expect("the table ends");
    table.to_owned()
}

/// Guards against pages that no longer describe the product. `hemlockfall errors --format
/// markdown` and `hemlockfall settings --format markdown` print the current tables.
#[test]
fn committed_pages_equal_the_registry() {
    let errors = page("errors.md");
    let operations = page("OPERATIONS.md");

    let settings_table = between(&operations, "settings");
    let metrics_table = between(&operations, "metrics");

    assert_eq!(errors, pages::errors_markdown());
    assert_eq!(settings_table, pages::settings_markdown());
    assert_eq!(metrics_table, pages::metrics_markdown());
}

/// Guards against a plug-in whose registration the linker dropped, and against output that differs
/// from the committed page.
#[test]
fn binary_prints_the_committed_pages() {
    let errors = hemlockfall(&["errors", "--format", "markdown"]);
    let settings = hemlockfall(&["settings", "--format", "markdown"]);

    assert_eq!(String::from_utf8_lossy(&errors.stdout), page("errors.md"));
    let table = between(&page("OPERATIONS.md"), "settings");
    assert!(String::from_utf8_lossy(&settings.stdout).starts_with(&table));
}

/// Guards against documented examples that the product refuses.
#[test]
fn documented_examples_are_valid() {
    let operations = page("OPERATIONS.md");
    let blocks = operations.split("```toml\n").skip(1);
    let examples: Vec<&str> = blocks.filter_map(|rest| rest.split("```").next()).collect();

    let outputs: Vec<_> = examples
        .iter()
        .enumerate()
        .map(|(index, text)| {
            let path = file(&format!("example-{index}.toml"), text.as_bytes());
            hemlockfall(&["check", &path])
        })
        .collect();

    assert_eq!(outputs.len(), 3);
    for output in outputs {
        assert_eq!(output.status.code(), Some(0), "{output:?}");
    }
}

/// Guards against two plug-ins that use the same result code, section or metric.
#[test]
fn registry_has_no_duplicates() {
    let codes: Vec<u16> = kernel::codes().iter().map(|spec| spec.code.0).collect();
    let plugins = kernel::plugins();
    let mut sections: Vec<&str> = plugins.iter().map(|plugin| plugin.section).collect();
    let metrics = plugins.iter().flat_map(|plugin| plugin.metrics);
    let mut metrics: Vec<&str> = metrics.map(|spec| spec.name).collect();

    sections.sort_unstable();
    metrics.sort_unstable();

    assert!(codes.is_sorted_by(|a, b| a < b), "{codes:?}");
    assert!(sections.is_sorted_by(|a, b| a < b), "{sections:?}");
    assert!(metrics.is_sorted_by(|a, b| a < b), "{metrics:?}");
}

/// Guards against a registered default that its own range check refuses, and against a required key
/// of a type for which this test has no example.
#[test]
fn every_default_passes_its_own_check() {
    for program in [Program::Node, Program::Sidecar] {
        let text = settings_with_defaults(program);

        let checked = Settings::parse_for(program, "defaults", &text);

        assert!(
            checked.is_ok(),
            "{}",
            checked.err().map_or(String::new(), |e| e.to_string())
        );
    }
}

/// Returns a settings file of a program with every key.
fn settings_with_defaults(program: Program) -> String {
    let mut text = String::new();
    let mut plugins = kernel::plugins();
    plugins.retain(|plugin| plugin.program == program);
    for plugin in plugins {
        writeln!(text, "[{}]", plugin.section).expect("writes to text");
        for spec in plugin.settings {
            let example = match spec.kind {
                kernel::SettingKind::Address => "\"127.0.0.1:1\"",
                _ => "\"example\"",
            };
            let value = spec.default.unwrap_or(example);
            writeln!(text, "{} = {value}", spec.key).expect("writes to text");
        }
    }
    text
}
