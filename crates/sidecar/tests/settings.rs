//! Parsing of damaged settings files.

use std::time::Duration;

use hemlockfall_sidecar::settings::SidecarSettings;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SEED: u64 = 20_261_204;
const CASES: u64 = 3_000;
/// Longest duration that a setting may give.
const MAX_DURATION: Duration = Duration::from_hours(1);

const LINES: [&str; 21] = [
    "[sidecar]",
    "name = \"n1\"",
    "service = \"desk\"",
    "data_centre = \"a\"",
    "region = \"west\"",
    "caller_address = \"127.0.0.1:7100\"",
    "peer_address = \"127.0.0.1:7102\"",
    "ready_address = \"127.0.0.1:7103\"",
    "control_address = \"127.0.0.1:7104\"",
    "metrics_address = \"127.0.0.1:7105\"",
    "target_address = \"127.0.0.1:7106\"",
    "store_address = \"127.0.0.1:7000\"",
    "seeds = [\"127.0.0.1:7110\"]",
    "heartbeat_s = 0.5",
    "grace_s = 6",
    "retry_ratio = 0.2",
    "retry_window_s = 10",
    "retry_allowance = 64",
    "trial_allowance = 50",
    "is_first_start = true",
    "link_mbps = 100",
];

/// Replacements for the value of a line.
const VALUES: [&str; 19] = [
    "nan",
    "inf",
    "-inf",
    "-1",
    "-0.0",
    "0",
    "1e308",
    "1e-308",
    "3600.0001",
    "-0.0004",
    "9223372036854775807",
    "\"\"",
    "\"127.0.0.1\"",
    "\"[::1]:0\"",
    "[]",
    "{}",
    "true",
    "1.5",
    "\"\\u0000\"",
];

/// Computes every value derived from the settings and checks its bounds.
fn derived_values_are_bounded(settings: &SidecarSettings) -> bool {
    let budget = settings.budget();
    settings.heartbeat() <= MAX_DURATION
        && settings.grace() <= MAX_DURATION
        && budget.window <= MAX_DURATION
        && budget.ratio_permille <= 10_000
        && settings.uplink_bytes_per_s() <= 125_000_000_000
        && !settings.advertised().ip().is_multicast()
}

/// Returns the settings file with values replaced, lines removed and duplicated, and the end cut
/// off, as given by the choices.
fn damaged(choices: &[(u8, u8)], cut: usize) -> String {
    let mut lines: Vec<String> = LINES.iter().map(|line| (*line).to_owned()).collect();
    for (line, change) in choices {
        let line = usize::from(*line) % lines.len();
        let change = usize::from(*change);
        match change % 21 {
            19 => {
                lines.remove(line);
            }
            20 => lines.push(lines[line].clone()),
            value => {
                let key = lines[line].split(" = ").next().unwrap_or_default();
                lines[line] = format!("{key} = {}", VALUES[value]);
            }
        }
    }
    let text = lines.join("\n");
    let end = text.len() - cut % (text.len() / 4).max(1) * usize::from(cut.is_multiple_of(3));
    text[..text.floor_char_boundary(end)].to_owned()
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]
fn is_refused_or_bounded(choices: Vec<(u8, u8)>, cut: usize) -> bool {
    let choices = &choices[..choices.len().min(3)];
    match SidecarSettings::parse("vm.toml", &damaged(choices, cut)) {
        Ok(settings) => derived_values_are_bounded(&settings),
        Err(error) => error.to_string().contains("vm.toml"),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]
fn is_refused(text: String) -> bool {
    SidecarSettings::parse("vm.toml", &text).is_err()
        && SidecarSettings::parse("vm.toml", &format!("[sidecar]\n{text}")).is_err()
}

/// Guards against a node that panics, or that adopts a duration out of bounds, when its settings
/// file is damaged while it runs: the file may be read again at any moment. Errors must name the
/// file.
#[test]
fn damaged_settings_are_refused_or_bounded() {
    assert!(SidecarSettings::parse("vm.toml", &damaged(&[], 1)).is_ok());
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(CASES)
        .quickcheck(is_refused_or_bounded as fn(Vec<(u8, u8)>, usize) -> bool);
}

/// Guards against arbitrary text that is accepted as settings or causes a panic.
#[test]
fn texts_that_are_no_settings_are_refused() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(CASES)
        .quickcheck(is_refused as fn(String) -> bool);
}
