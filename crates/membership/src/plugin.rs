//! Registers the settings, result codes and metrics of membership.

use hemlockfall_core::kernel::CodeSpec;
use hemlockfall_core::kernel::MetricKind;
use hemlockfall_core::kernel::MetricSpec;
use hemlockfall_core::kernel::Plugin;
use hemlockfall_core::kernel::Program;
use hemlockfall_core::kernel::SettingKind;
use hemlockfall_core::kernel::SettingSpec;

use crate::errors;
use crate::node;

inventory::submit! {
    Plugin {
        family: "membership",
        section: "membership",
        program: Program::Node,
        settings: &[
            SettingSpec {
                key: "contacts",
                kind: SettingKind::AddressList,
                default: Some("[]"),
                help: "addresses to join through when the store has none",
            },
            SettingSpec {
                key: "store_region",
                kind: SettingKind::Text,
                default: Some("\"default\""),
                help: "region that the store is in; its nodes watch the catalogue",
            },
            SettingSpec {
                key: "probe_interval_ms",
                kind: SettingKind::Integer { min: 100, max: 60_000 },
                default: Some("1000"),
                help: "interval between probes",
            },
            SettingSpec {
                key: "probe_timeout_ms",
                kind: SettingKind::Integer { min: 50, max: 30_000 },
                default: Some("300"),
                help: "wait for a direct answer before others are asked to probe",
            },
            SettingSpec {
                key: "suspicion_ms",
                kind: SettingKind::Integer { min: 200, max: 60_000 },
                default: Some("2000"),
                help: "time from suspicion to failure",
            },
            SettingSpec {
                key: "compare_interval_ms",
                kind: SettingKind::Integer { min: 500, max: 300_000 },
                default: Some("5000"),
                help: "interval of the table comparison",
            },
            SettingSpec {
                key: "departed_s",
                kind: SettingKind::Integer { min: 60, max: 86_400 },
                default: Some("600"),
                help: "how long failed and left addresses are probed",
            },
            SettingSpec {
                key: "joins_per_s",
                kind: SettingKind::Integer { min: 1, max: 10_000 },
                default: Some("50"),
                help: "joins admitted per second; others are told to wait",
            },
            SettingSpec {
                key: "contacts_interval_s",
                kind: SettingKind::Integer { min: 1, max: 3_600 },
                default: Some("30"),
                help: "shortest time between two writes of the contact object",
            },
        ],
        codes: &[
            CodeSpec {
                code: errors::MESSAGE_REFUSED,
                help: "a membership message could not be encoded or decoded; it was dropped",
            },
            CodeSpec {
                code: errors::NAME_CONFLICT,
                help: "two nodes use the same name; give each node its own",
            },
        ],
        metrics: &[
            MetricSpec {
                name: node::FAILED_MEMBERS,
                kind: MetricKind::Counter,
                help: "members that this node found failed",
            },
            MetricSpec {
                name: node::REFUTED,
                kind: MetricKind::Counter,
                help: "false reports about this node that it refuted; check lost datagrams",
            },
            MetricSpec {
                name: node::JOINS_REFUSED,
                kind: MetricKind::Counter,
                help: "joins put off because of the admission rate",
            },
            MetricSpec {
                name: node::RECORDS_REFUSED,
                kind: MetricKind::Counter,
                help: "records with invalid content, or beyond the size limit of the table",
            },
        ],
    }
}
