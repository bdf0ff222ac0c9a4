//! Registers the settings, result codes and metrics of distribution.

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
        family: "distribution",
        section: "distribution",
        program: Program::Node,
        settings: &[
            SettingSpec {
                key: "push_count",
                kind: SettingKind::Integer { min: 1, max: 32 },
                default: Some("4"),
                help: "members that a new revision is pushed to",
            },
            SettingSpec {
                key: "exchange_interval_ms",
                kind: SettingKind::Integer { min: 100, max: 60_000 },
                default: Some("1000"),
                help: "interval of the digest exchange within the data centre",
            },
            SettingSpec {
                key: "relay_interval_ms",
                kind: SettingKind::Integer { min: 100, max: 60_000 },
                default: Some("2000"),
                help: "interval of the digest exchange between relays",
            },
            SettingSpec {
                key: "witness_timeout_ms",
                kind: SettingKind::Integer { min: 100, max: 5_000 },
                default: Some("500"),
                help: "longest wait for witnesses before a revision is put in force",
            },
            SettingSpec {
                key: "witness_memory_s",
                kind: SettingKind::Integer { min: 60, max: 86_400 },
                default: Some("1800"),
                help: "how long a witness remembers a revision",
            },
            SettingSpec {
                key: "silent_region_ms",
                kind: SettingKind::Integer { min: 500, max: 60_000 },
                default: Some("3000"),
                help: "silence of the store's region after which a region reads the store",
            },
            SettingSpec {
                key: "floor_timeout_ms",
                kind: SettingKind::Integer { min: 500, max: 60_000 },
                default: Some("2000"),
                help: "time for the answers of all reachable members to a floor query",
            },
        ],
        codes: &[
            CodeSpec {
                code: errors::DELTA_BASE_MISMATCH,
                help: "a delta was made for another base; the missing revisions are requested",
            },
            CodeSpec {
                code: errors::DIGEST_MISMATCH,
                help: "content and digest of a revision disagree; the content was not applied",
            },
            CodeSpec {
                code: errors::SNAPSHOT_INVALID,
                help: "a snapshot or delta breaks a rule of the catalogue; it was not applied",
            },
        ],
        metrics: &[
            MetricSpec {
                name: node::WITNESS_MISSING,
                kind: MetricKind::Counter,
                help: "revisions put in force with fewer than 2 witnesses; check lost datagrams",
            },
            MetricSpec {
                name: node::REFUSED,
                kind: MetricKind::Counter,
                help: "deltas and snapshots that were not applied",
            },
            MetricSpec {
                name: node::FULL_SNAPSHOTS,
                kind: MetricKind::Counter,
                help: "whole snapshots sent because the deltas do not reach back far enough",
            },
            MetricSpec {
                name: node::DIVERGED,
                kind: MetricKind::Counter,
                help: "peers with other content for the same revision; check the store",
            },
        ],
    }
}
