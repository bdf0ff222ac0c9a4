//! Registration of the request family: settings, result codes, metrics.

use hemlockfall_core::kernel::CodeSpec;
use hemlockfall_core::kernel::MetricKind;
use hemlockfall_core::kernel::MetricSpec;
use hemlockfall_core::kernel::Plugin;
use hemlockfall_core::kernel::Program;
use hemlockfall_core::kernel::SettingKind;
use hemlockfall_core::kernel::SettingSpec;

use crate::outcome::Reason;

inventory::submit! {
    Plugin {
        family: "request",
        section: "request",
        program: Program::Node,
        settings: &[
            integer("subset_size", 1, 1024, "8", "targets per service version and level that one node uses"),
            integer("nearer_usable_permille", 0, 1000, "300", "share of usable nearer targets below which farther ones are used"),
            integer("cold_start_ms", 0, 600_000, "10000", "time over which the weight of a new target rises from 10% to 100%"),
            integer("ejection_failures", 1, 1000, "5", "failures in a row that eject a target"),
            integer("ejection_min_attempts", 1, 100_000, "20", "attempts in 10 s from which the failure rate counts"),
            integer("ejection_rate_permille", 1, 1000, "500", "failure rate above which a target is ejected"),
            integer("ejection_first_ms", 1, 600_000, "5000", "first ejection time; doubles with each further ejection"),
            integer("ejection_max_ms", 1, 3_600_000, "60000", "longest ejection time"),
            integer("max_retries", 0, 10, "2", "retries of one request"),
            integer("backoff_ms", 1, 10_000, "5", "first backoff before a retry"),
            integer("fence_timeout_ms", 1, 60_000, "1000", "time to wait for the answer to a fence"),
            integer("key_life_ms", 1000, 3_600_000, "900000", "life of a key record; the same on all nodes"),
            integer("key_max_records", 1, 10_000_000, "100000", "key records kept by one node"),
            integer("key_max_bytes", 1024, 1_073_741_824, "16777216", "bytes of key records kept by one node"),
            integer("key_answer_max_bytes", 0, 8_388_608, "65536", "largest answer kept in a key record"),
            integer("key_view_lag_ms", 0, 600_000, "10000", "time for which nodes may disagree about the members of a service; a value below the time that membership needs can run an order twice"),
            integer("key_claim_timeout_ms", 1, 60_000, "500", "time that a runner waits for acknowledgements of key nodes"),
            integer("fingerprint_refusal_ms", 1, 3_600_000, "60000", "time for which a fingerprint is refused"),
            integer("seen_max_attempts", 16, 10_000_000, "65536", "attempt ids that a target's node remembers"),
            integer("seen_life_ms", 1000, 3_600_000, "600000", "time for which a target's node remembers an attempt id"),
            integer("link_silence_ms", 10, 60_000, "300", "silence of a link with a call outstanding before a ping, then before suspicion"),
        ],
        codes: &[
            code(Reason::NoService, "the catalogue has no service of this name"),
            code(Reason::NoRoute, "the service has no route for this path"),
            code(Reason::BadKey, "the idempotency key is empty or longer than 255 bytes; it has not run"),
            code(Reason::DeadlinePassed, "the deadline passed before the request could start; it has not run"),
            code(Reason::Cancelled, "the caller cancelled before the request started"),
            code(Reason::IncompleteAnswer, "the answer arrived incomplete; the outcome is unknown"),
            code(Reason::NoTarget, "no target of the version is usable; it has not run"),
            code(Reason::Draining, "the target is leaving; it has not run"),
            code(Reason::QueueFull, "slots and queue are full; it has not run, resend after retry-after"),
            code(Reason::FingerprintRefused, "this request made targets vanish and is refused for a while; it has not run"),
            code(Reason::NotSent, "no link to the target could take the request; it has not run"),
            code(Reason::Fenced, "the attempt was fenced before it started; it has not run"),
            code(Reason::EarlierLife, "the target's node restarted before the request arrived; it has not run"),
            code(Reason::TargetShed, "the target shed the request; it has not run"),
            code(Reason::NoWitness, "too few key nodes acknowledged the key; it has not run"),
            code(Reason::LinkLost, "the link was lost with the request in flight; the outcome is unknown"),
            code(Reason::TargetLost, "the target vanished while it ran the request; the outcome is unknown"),
            code(Reason::TimedOut, "the time was up before the answer arrived; the outcome is unknown"),
            code(Reason::StaleAttempt, "the attempt is too old to tell whether it was seen; the outcome is unknown"),
            code(Reason::KeyPending, "the key is known, its result is not; the outcome is unknown"),
            code(Reason::KeyCannotKnow, "the key nodes cannot vouch that the key is new; the outcome is unknown and it is not run again"),
            code(Reason::KeyAnswerNotKept, "the request ran earlier under this key; its answer is not kept"),
        ],
        metrics: &[
            metric("hemlockfall_request_total", MetricKind::Counter, "requests of callers, by service and outcome"),
            metric("hemlockfall_request_attempts_total", MetricKind::Counter, "attempts sent to targets, by service"),
            metric("hemlockfall_request_retries_total", MetricKind::Counter, "attempts that are retries, by service"),
            metric("hemlockfall_request_refused_total", MetricKind::Counter, "refused requests, by result code"),
            metric("hemlockfall_request_ejections_total", MetricKind::Counter, "ejections of targets; check the named target when it rises"),
            metric("hemlockfall_request_queue_length", MetricKind::Gauge, "attempts that wait for a slot"),
            metric("hemlockfall_request_key_records", MetricKind::Gauge, "key records held"),
            metric("hemlockfall_request_duration_ms", MetricKind::Histogram, "time from a request to its answer"),
        ],
    }
}

const fn integer(
    key: &'static str,
    min: i64,
    max: i64,
    default: &'static str,
    help: &'static str,
) -> SettingSpec {
    SettingSpec {
        key,
        kind: SettingKind::Integer { min, max },
        default: Some(default),
        help,
    }
}

const fn code(reason: Reason, help: &'static str) -> CodeSpec {
    CodeSpec {
        code: reason.code(),
        help,
    }
}

const fn metric(name: &'static str, kind: MetricKind, help: &'static str) -> MetricSpec {
    MetricSpec { name, kind, help }
}
