//! Registration of the operator interface: its limits and the result codes of the command line.

use hemlockfall_core::kernel::CodeSpec;
use hemlockfall_core::kernel::Plugin;
use hemlockfall_core::kernel::Program;
use hemlockfall_core::kernel::SettingKind;
use hemlockfall_core::kernel::SettingSpec;

use crate::operator::errors;

inventory::submit! {
    Plugin {
        family: "operator",
        section: "operator",
        program: Program::Node,
        settings: &[
            SettingSpec {
                key: "call_timeout_ms",
                kind: SettingKind::Integer { min: 100, max: 600_000 },
                default: Some("10000"),
                help: "time for one operator call; above `store.total_timeout_ms`, or changes end as unknown early",
            },
            SettingSpec {
                key: "queue_length",
                kind: SettingKind::Integer { min: 1, max: 1_000 },
                default: Some("16"),
                help: "operator calls that wait for the worker; more are refused",
            },
            SettingSpec {
                key: "max_connections",
                kind: SettingKind::Integer { min: 1, max: 1_000 },
                default: Some("16"),
                help: "connections of operators at once",
            },
        ],
        codes: &[
            CodeSpec { code: errors::USAGE, help: "the command line is not valid; run the command with `--help`" },
            CodeSpec { code: errors::PARAMETERS_INVALID, help: "the parameters of the call are not valid and nothing was changed; use a command line of the node's version" },
            CodeSpec { code: errors::NODE_UNREACHABLE, help: "no connection to the node and nothing was changed; check `--node` against the node's `operator_address`, or use another node" },
            CodeSpec { code: errors::NODE_UNRESPONSIVE, help: "the node did not answer in time; repeat, or use another node" },
            CodeSpec { code: errors::NODE_BUSY, help: "too many operator calls wait on the node and nothing was changed; repeat, or use another node" },
            CodeSpec { code: errors::NODE_STOPPING, help: "the node stops; use another node" },
            CodeSpec { code: errors::ANSWER_MALFORMED, help: "the answer cannot be understood; check that `--node` is an operator address and that both versions are the same" },
            CodeSpec { code: errors::OUTPUT_FAILED, help: "the output cannot be written; check the path and the free space" },
            CodeSpec { code: errors::LISTEN_FAILED, help: "the operator address cannot be listened on; check `node.operator_address` and whether another process uses the port" },
            CodeSpec { code: errors::NODE_FAILED, help: "the node ended with a failure; the reason is in the message and in the log" },
        ],
        metrics: &[],
    }
}
