//! Registration of the settings and result codes of the store client.

use hemlockfall_core::kernel::CodeSpec;
use hemlockfall_core::kernel::Plugin;
use hemlockfall_core::kernel::Program;
use hemlockfall_core::kernel::SettingKind;
use hemlockfall_core::kernel::SettingSpec;

use crate::errors;

/// Upper bound of all time settings. A longer wait would hide an outage from operators.
const MAX_TIMEOUT_MS: i64 = 600_000;

const fn time(
    key: &'static str,
    min: i64,
    default: &'static str,
    help: &'static str,
) -> SettingSpec {
    SettingSpec {
        key,
        kind: SettingKind::Integer {
            min,
            max: MAX_TIMEOUT_MS,
        },
        default: Some(default),
        help,
    }
}

inventory::submit! {
    Plugin {
        family: "store",
        section: "store",
        program: Program::Node,
        settings: &[
            SettingSpec {
                key: "address",
                kind: SettingKind::Address,
                default: None,
                help: "address of the platform's store",
            },
            SettingSpec {
                key: "region",
                kind: SettingKind::Text,
                default: None,
                help: "region of the platform's store",
            },
            time("connect_timeout_ms", 1, "500", "time to open a connection to the store"),
            time("request_timeout_ms", 1, "2000", "time for one request to the store"),
            time("watch_wait_ms", 100, "20000", "time that a watch waits for a change"),
            time("total_timeout_ms", 1, "5000", "time for one operation with all its retries"),
            time("backoff_first_ms", 1, "20", "first wait between retries, before jitter"),
            time("backoff_max_ms", 1, "2000", "longest wait between retries, before jitter"),
            time("lease_clock_skew_ms", 0, "500", "time after its expiry during which a lease is not taken over; at least the clock difference between VMs"),
        ],
        codes: &[
            CodeSpec { code: errors::STORE_UNREACHABLE, help: "the store did not answer and nothing was written; check the store and `store.address`, then repeat" },
            CodeSpec { code: errors::STORE_MALFORMED, help: "the store sent data that cannot be understood; nothing was changed; check which program answers at `store.address` and the object named" },
            CodeSpec { code: errors::STORE_KEY_INVALID, help: "an object key holds characters that are not allowed; use letters, digits, `-`, `_`, `.`" },
            CodeSpec { code: errors::STORE_CONFLICT, help: "another writer changed the object first and nothing was written; repeat" },
            CodeSpec { code: errors::STORE_TOO_LARGE, help: "the value exceeds the store's limit of 1 MB and was not written; remove entries that are not needed" },
            CodeSpec { code: errors::STORE_LEASE_HELD, help: "another holder has the lease; it passes on when it expires" },
            CodeSpec { code: errors::STORE_LEASE_LOST, help: "the lease passed to another holder; the holder of the higher term continues" },
            CodeSpec { code: errors::STORE_THROTTLED, help: "the store refused the request because of its rate and nothing was written; repeat later" },
            CodeSpec { code: errors::STORE_UNAVAILABLE, help: "the store is down and nothing was written; repeat when it is back" },
            CodeSpec { code: errors::STORE_OUTCOME_UNKNOWN, help: "it is unknown whether the change took effect; do not repeat it blindly, look for the operation id in `hemlockfall catalogue history ENTRY` first" },
        ],
        metrics: &[],
    }
}
