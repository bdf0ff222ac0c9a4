//! Registration of the core and log families: result codes, settings of the node and of logging.

use crate::errors;
use crate::kernel::CodeSpec;
use crate::kernel::Plugin;
use crate::kernel::Program;
use crate::kernel::SettingKind;
use crate::kernel::SettingSpec;

inventory::submit! {
    Plugin {
        family: "core",
        section: "node",
        program: Program::Node,
        settings: &[
            SettingSpec {
                key: "name",
                kind: SettingKind::Text,
                default: None,
                help: "unique name of the node",
            },
            SettingSpec {
                key: "region",
                kind: SettingKind::Text,
                default: None,
                help: "region of the VM",
            },
            SettingSpec {
                key: "data_centre",
                kind: SettingKind::Text,
                default: None,
                help: "data centre of the VM",
            },
            SettingSpec {
                key: "caller_address",
                kind: SettingKind::Address,
                default: None,
                help: "HTTP address for callers",
            },
            SettingSpec {
                key: "peer_address",
                kind: SettingKind::Address,
                default: None,
                help: "TCP and UDP address for other nodes",
            },
            SettingSpec {
                key: "operator_address",
                kind: SettingKind::Address,
                default: None,
                help: "JSON-RPC address for operators",
            },
            SettingSpec {
                key: "local_address",
                kind: SettingKind::Address,
                default: None,
                help: "HTTP address for the target on this VM, metrics and health",
            },
            SettingSpec {
                key: "stop_timeout_ms",
                kind: SettingKind::Integer { min: 0, max: 600_000 },
                default: Some("30000"),
                help: "time that a planned stop gives to requests in flight",
            },
        ],
        codes: &[
            CodeSpec { code: errors::SETTINGS_UNREADABLE, help: "the settings file cannot be read or is not TOML; correct the file" },
            CodeSpec { code: errors::SETTINGS_INVALID, help: "the settings hold unknown keys or values outside their range; every mistake is listed" },
            CodeSpec { code: errors::CATALOGUE_UNREADABLE, help: "the catalogue file cannot be read or is not valid TOML; the position is given" },
            CodeSpec { code: errors::CATALOGUE_INVALID, help: "the catalogue would break a rule; every violation names what is missing" },
            CodeSpec { code: errors::CATALOGUE_NOT_FOUND, help: "the catalogue has no entry of this name" },
            CodeSpec { code: errors::CATALOGUE_CONFLICT, help: "the entry changed since it was read; read it again, the changes are listed" },
            CodeSpec { code: errors::MESSAGE_MALFORMED, help: "a message could not be decoded; it was dropped" },
            CodeSpec { code: errors::MESSAGE_TOO_LARGE, help: "a message exceeds its size limit; it was dropped" },
            CodeSpec { code: errors::MOVE_REFUSED, help: "the state of the move does not allow the change" },
        ],
        metrics: &[],
    }
}

inventory::submit! {
    Plugin {
        family: "log",
        section: "log",
        program: Program::Node,
        settings: &[
            SettingSpec {
                key: "file",
                kind: SettingKind::Text,
                default: Some("\"-\""),
                help: "log file; `-` is standard error",
            },
            SettingSpec {
                key: "level",
                kind: SettingKind::Choice(&["debug", "info", "warn", "error"]),
                default: Some("\"info\""),
                help: "lowest level that is written",
            },
            SettingSpec {
                key: "decisions_per_s",
                kind: SettingKind::Integer { min: 0, max: 1_000_000 },
                default: Some("0"),
                help: "limit of routing decision lines per second; 0 writes every line",
            },
        ],
        codes: &[],
        metrics: &[],
    }
}
