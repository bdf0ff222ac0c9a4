//! Registration of the edges: their limits, the result codes of invalid HTTP requests and local
//! calls, and the node's metrics.

use hemlockfall_core::errors::ResultCode;
use hemlockfall_core::kernel::CodeSpec;
use hemlockfall_core::kernel::MetricKind;
use hemlockfall_core::kernel::MetricSpec;
use hemlockfall_core::kernel::Plugin;
use hemlockfall_core::kernel::Program;
use hemlockfall_core::kernel::SettingKind;
use hemlockfall_core::kernel::SettingSpec;

inventory::submit! {
    Plugin {
        family: "edge",
        section: "edge",
        program: Program::Node,
        settings: &[
            SettingSpec {
                key: "max_head_bytes",
                kind: SettingKind::Integer { min: 1_024, max: 1_048_576 },
                default: Some("32768"),
                help: "largest start line with headers",
            },
            SettingSpec {
                key: "max_body_bytes",
                kind: SettingKind::Integer { min: 1_024, max: 15_000_000 },
                default: Some("8388608"),
                help: "largest body of a request or answer",
            },
            SettingSpec {
                key: "max_caller_connections",
                kind: SettingKind::Integer { min: 1, max: 60_000 },
                default: Some("2000"),
                help: "connections of callers at once",
            },
            SettingSpec {
                key: "read_timeout_ms",
                kind: SettingKind::Integer { min: 100, max: 600_000 },
                default: Some("10000"),
                help: "time for a request to arrive whole",
            },
            SettingSpec {
                key: "idle_timeout_ms",
                kind: SettingKind::Integer { min: 100, max: 3_600_000 },
                default: Some("60000"),
                help: "time that a caller's connection or a link may be idle",
            },
            SettingSpec {
                key: "max_incoming_links",
                kind: SettingKind::Integer { min: 1, max: 60_000 },
                default: Some("4096"),
                help: "links that other nodes may open",
            },
            SettingSpec {
                key: "link_queue_bytes",
                kind: SettingKind::Integer { min: 65_536, max: 1_073_741_824 },
                default: Some("33554432"),
                help: "bytes that may wait on one link; beyond it attempts are refused as not run",
            },
            SettingSpec {
                key: "link_connect_timeout_ms",
                kind: SettingKind::Integer { min: 10, max: 60_000 },
                default: Some("1000"),
                help: "time for a link to become usable",
            },
        ],
        codes: &[
            CodeSpec { code: ResultCode(3400), help: "the body of a local call is not valid; the reason is given" },
            CodeSpec { code: ResultCode(3409), help: "the node knows no target; the target must announce itself again" },
            CodeSpec { code: ResultCode(3901), help: "the message is not valid HTTP/1.1; it has not run" },
            CodeSpec { code: ResultCode(3902), help: "the framing of the body is ambiguous; it has not run" },
            CodeSpec { code: ResultCode(3903), help: "the start line and headers exceed `edge.max_head_bytes`; it has not run" },
            CodeSpec { code: ResultCode(3904), help: "the body exceeds `edge.max_body_bytes`; it has not run" },
            CodeSpec { code: ResultCode(3905), help: "the request did not arrive within `edge.read_timeout_ms`; it has not run" },
            CodeSpec { code: ResultCode(3906), help: "only the expectation `100-continue` is supported; it has not run" },
        ],
        metrics: &[
            MetricSpec {
                name: "hemlockfall_revision",
                kind: MetricKind::Gauge,
                help: "revision in force; when it lags behind other nodes for more than 7 s, look at the node's log for refused revisions and at its links",
            },
            MetricSpec {
                name: "hemlockfall_requests_total",
                kind: MetricKind::Counter,
                help: "requests of callers",
            },
            MetricSpec {
                name: "hemlockfall_attempts_total",
                kind: MetricKind::Counter,
                help: "attempts sent to targets; far above the requests means that targets fail",
            },
            MetricSpec {
                name: "hemlockfall_answers_generated_total",
                kind: MetricKind::Counter,
                help: "answers that hemlockfall made itself; the log names the reason of each",
            },
            MetricSpec {
                name: "hemlockfall_refusals_total",
                kind: MetricKind::Counter,
                help: "attempts refused by the local target's admission; add targets when it grows",
            },
            MetricSpec {
                name: "hemlockfall_slots_in_use",
                kind: MetricKind::Gauge,
                help: "slots of the local target in use",
            },
            MetricSpec {
                name: "hemlockfall_queue_length",
                kind: MetricKind::Gauge,
                help: "attempts that wait for a slot of the local target",
            },
            MetricSpec {
                name: "hemlockfall_calls_in_flight",
                kind: MetricKind::Gauge,
                help: "requests of this node's callers in progress",
            },
            MetricSpec {
                name: "hemlockfall_targets_lost_total",
                kind: MetricKind::Counter,
                help: "times that the local target refused connections; look at the target's own log",
            },
            MetricSpec {
                name: "hemlockfall_control_sent_bytes_total",
                kind: MetricKind::Counter,
                help: "bytes of control messages sent to other nodes, with packet headers",
            },
            MetricSpec {
                name: "hemlockfall_control_sent_to_data_centres_bytes_total",
                kind: MetricKind::Counter,
                help: "of these, bytes sent to other data centres of the region",
            },
            MetricSpec {
                name: "hemlockfall_control_sent_to_regions_bytes_total",
                kind: MetricKind::Counter,
                help: "of these, bytes sent to other regions, over the link billed by volume",
            },
            MetricSpec {
                name: "hemlockfall_members",
                kind: MetricKind::Gauge,
                help: "live nodes that this node knows, with itself",
            },
            MetricSpec {
                name: "hemlockfall_malformed_messages_total",
                kind: MetricKind::Counter,
                help: "messages of peers that could not be decoded; look for another program on the peer port or mixed versions",
            },
            MetricSpec {
                name: "hemlockfall_log_errors_total",
                kind: MetricKind::Counter,
                help: "log lines that could not be written; look for a full disk or a closed standard error",
            },
            MetricSpec {
                name: "hemlockfall_decisions_not_logged_total",
                kind: MetricKind::Counter,
                help: "routing decisions left out of the log because of `log.decisions_per_s`",
            },
        ],
    }
}
