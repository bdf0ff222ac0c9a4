//! Registration of the request family.

use std::collections::BTreeSet;

use hemlockfall_core::kernel;
use hemlockfall_core::kernel::Plugin;
use hemlockfall_request::options::Options;
use hemlockfall_request::outcome::Outcome;
use hemlockfall_request::outcome::Reason;

fn plugin() -> &'static Plugin {
    kernel::plugins()
        .into_iter()
        .find(|plugin| plugin.family == "request")
        .expect("the family is registered")
}

/// Guards against registered defaults that differ from those of the options.
#[test]
fn registered_defaults_equal_the_options() {
    let lines: Vec<String> = plugin()
        .settings
        .iter()
        .map(|spec| format!("{} = {}", spec.key, spec.default.unwrap_or_default()))
        .collect();

    let options: Options = toml::from_str(&lines.join("\n")).expect("every key exists");

    assert_eq!(options, Options::default());
}

/// Guards against reasons without a registered code, and codes used twice or out of range.
#[test]
fn every_reason_has_its_own_registered_code() {
    let registered: BTreeSet<_> = plugin().codes.iter().map(|spec| spec.code).collect();

    let used: BTreeSet<_> = Reason::ALL.iter().map(|reason| reason.code()).collect();

    assert_eq!(used.len(), Reason::ALL.len());
    assert_eq!(used, registered);
    assert!(used.iter().all(|code| (3_000..4_000).contains(&code.0)));
}

/// Guards against a `retry-after` for a request that may have run, unless its key protects it, and
/// against statuses of other classes than client and gateway errors.
#[test]
fn statuses_fit_outcomes() {
    for reason in Reason::ALL {
        let status = reason.http_status();

        let is_client_error = (400..500).contains(&status);
        let is_gateway_error = (502..=504).contains(&status);
        assert!(is_client_error || is_gateway_error, "{reason}");
        if reason.outcome() == Outcome::Unknown && reason != Reason::KeyPending {
            assert_eq!(reason.retry_after_ms(), None, "{reason}");
        }
    }
}
