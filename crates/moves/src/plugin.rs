//! Registration of the settings, result codes and metrics of moves (rollouts).

use hemlockfall_core::kernel::CodeSpec;
use hemlockfall_core::kernel::MetricKind;
use hemlockfall_core::kernel::MetricSpec;
use hemlockfall_core::kernel::Plugin;
use hemlockfall_core::kernel::Program;
use hemlockfall_core::kernel::SettingKind;
use hemlockfall_core::kernel::SettingSpec;

use crate::errors;

inventory::submit! {
    Plugin {
        family: "moves",
        section: "moves",
        program: Program::Node,
        settings: &[
            SettingSpec {
                key: "weight_on_time",
                kind: SettingKind::Decimal { min_milli: 100, max_milli: 10_000 },
                default: Some("1.0"),
                help: "weight of good versions that complete in time; more evidence is needed to take a version back",
            },
            SettingSpec {
                key: "weight_taken_back",
                kind: SettingKind::Decimal { min_milli: 100, max_milli: 10_000 },
                default: Some("1.0"),
                help: "weight of bad versions that are taken back; less evidence is needed to take a version back",
            },
            SettingSpec {
                key: "guard_min_attempts",
                kind: SettingKind::Integer { min: 1, max: 1_000 },
                default: Some("8"),
                help: "attempts in 10 s from which a proxy's guard decides",
            },
            SettingSpec {
                key: "guard_cut_ms",
                kind: SettingKind::Integer { min: 1_000, max: 60_000 },
                default: Some("5000"),
                help: "time from a cut to the first trial request",
            },
            SettingSpec {
                key: "lease_duration_ms",
                kind: SettingKind::Integer { min: 2_000, max: 60_000 },
                default: Some("6000"),
                help: "validity of a move's lease after its last renewal",
            },
            SettingSpec {
                key: "lease_renew_ms",
                kind: SettingKind::Integer { min: 500, max: 20_000 },
                default: Some("2000"),
                help: "time between renewals of a move's lease; below a third of lease_duration_ms is safe",
            },
        ],
        codes: &[
            CodeSpec { code: errors::EVIDENCE_REFUSED, help: "an evidence message breaks a limit or contradicts itself; it was dropped" },
            CodeSpec { code: errors::REPORT_FAILED, help: "the report cannot be rendered; the reason is given" },
        ],
        metrics: &[
            MetricSpec {
                name: "hemlockfall_guard_cuts_total",
                kind: MetricKind::Counter,
                help: "cuts of a new version by the local guard; read the decision log for the route",
            },
            MetricSpec {
                name: "hemlockfall_move_verdicts_total",
                kind: MetricKind::Counter,
                help: "verdicts committed by the judge on this node",
            },
            MetricSpec {
                name: "hemlockfall_evidence_refused_total",
                kind: MetricKind::Counter,
                help: "evidence messages that were dropped; a steady rise points to a faulty peer",
            },
        ],
    }
}
