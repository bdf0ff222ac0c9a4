//! Explanation as text for operators.

use std::fmt;

use hemlockfall_core::ids::RegionName;

use crate::explain::AccountState;
use crate::explain::Admission;
use crate::explain::CandidateState;
use crate::explain::Decision;
use crate::explain::Exclusions;
use crate::explain::Explanation;
use crate::explain::RouteState;
use crate::explain::VersionChoice;

/// Width of the names of the lines.
const NAME_WIDTH: usize = 16;

/// Writes a line; characters that would change the terminal's state are escaped.
fn line(out: &mut fmt::Formatter<'_>, name: &str, value: impl fmt::Display) -> fmt::Result {
    let value = value.to_string();
    let is_plain = value.chars().all(|character| !character.is_control());
    if is_plain {
        writeln!(out, "{name:<NAME_WIDTH$}{value}")
    } else {
        writeln!(out, "{name:<NAME_WIDTH$}{}", value.escape_debug())
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let request = &self.request;
        line(out, "decision", decision_text(&self.decision, &self.node))?;
        let asked = format!("{} {} at {}", request.method, request.path, request.host);
        line(out, "request", asked)?;
        match &self.config {
            Some(config) => {
                let newer = if config.is_behind {
                    ", a newer one is announced"
                } else {
                    ""
                };
                let text = format!(
                    "version {}, in force for {} ms{newer}",
                    config.version, config.age_ms
                );
                line(out, "configuration", text)?;
            }
            None => return line(out, "configuration", "none"),
        }
        match &self.route {
            Some(route) => line(out, "route", route_text(route))?,
            None => return line(out, "route", "none matches"),
        }
        if let Some(account) = &self.account {
            line(out, "account", account_text(account))?;
        }
        let (Some(priority), Some(service)) = (self.priority, &self.service) else {
            return Ok(());
        };
        line(out, "priority", priority)?;
        let allowed_regions = self.allowed_regions.as_deref();
        let regions = allowed_regions.map_or_else(|| "all".to_owned(), names);
        line(out, "regions", regions)?;
        line(out, "service", service)?;
        if let Some(rule) = &self.version_rule {
            line(out, "versions", version_text(rule))?;
        }
        if let Some(retries_left) = self.retries_left {
            line(out, "retries left", retries_left)?;
        }
        if let Some(admission) = &self.own_admission {
            line(out, "own target", admission_text(admission))?;
        }
        line(out, "no candidates", exclusions_text(&self.excluded))?;
        line(out, "candidates", self.candidates.len())?;
        for candidate in &self.candidates {
            line(out, "", candidate_text(candidate))?;
        }
        Ok(())
    }
}

fn decision_text(decision: &Decision, node: &str) -> String {
    match decision {
        Decision::Own => format!("goes to the target of {node}, where it arrives"),
        Decision::Sent { node: other } => format!("is sent by {node} to {other}"),
        Decision::Deferred => format!("waits until {node}, which has just started, can place it"),
        Decision::Refused { status, code } => format!("is refused with {status}, {code}"),
    }
}

fn route_text(route: &RouteState) -> String {
    let services: Vec<String> = route
        .services
        .iter()
        .map(|entry| format!("{} (weight {})", entry.service, entry.weight))
        .collect();
    let regions = if route.allowed_regions.is_empty() {
        "all".to_owned()
    } else {
        names(&route.allowed_regions)
    };
    format!(
        "{}: priority {}, regions {regions}, timeout {} ms, in time within {} ms, {} attempts, {}, \
         {}, to {}",
        route.name,
        route.priority,
        route.timeout_ms,
        route.target_latency_ms,
        route.max_attempts,
        if route.is_idempotent {
            "idempotent"
        } else {
            "not idempotent"
        },
        if route.is_public {
            "public"
        } else {
            "not public"
        },
        services.join(", ")
    )
}

fn account_text(account: &AccountState) -> String {
    match account {
        AccountState::NotNeeded => "not needed, the configuration has no accounts".to_owned(),
        AccountState::Public => "none, the route is public".to_owned(),
        AccountState::KeyNeeded => "none, and the route needs a key".to_owned(),
        AccountState::NoKey => "has no key".to_owned(),
        AccountState::Known {
            name,
            priority,
            allowed_regions,
            quota,
        } => {
            let priority =
                priority.map_or_else(|| "of the route".to_owned(), |value| value.to_string());
            let regions = if allowed_regions.is_empty() {
                "all".to_owned()
            } else {
                names(allowed_regions)
            };
            let quota = quota.map_or_else(
                || "none".to_owned(),
                |quota| {
                    format!(
                        "{}.{:03} per s, burst {}",
                        quota.milli_per_s / 1000,
                        quota.milli_per_s % 1000,
                        quota.burst
                    )
                },
            );
            format!("{name}: priority {priority}, regions {regions}, quota {quota}")
        }
    }
}

fn version_text(rule: &VersionChoice) -> String {
    match rule {
        VersionChoice::Any => "any".to_owned(),
        VersionChoice::Only(version) => format!("only {version}"),
        VersionChoice::Canary(version) => format!("only {version}, as a canary request"),
        VersionChoice::Avoid(version) => format!("any but {version}"),
    }
}

fn admission_text(admission: &Admission) -> String {
    match admission {
        Admission::Run => "would run it at once".to_owned(),
        Admission::Wait { displaced } => {
            format!("would queue it and refuse {displaced} others for it")
        }
        Admission::Reject {
            reason,
            retry_after_ms,
        } => format!("would refuse it ({reason}), a slot is expected in {retry_after_ms} ms"),
    }
}

fn exclusions_text(excluded: &Exclusions) -> String {
    let counts = [
        ("evacuated", excluded.evacuated),
        ("region not allowed", excluded.region),
        ("not ready", excluded.not_ready),
        ("other version", excluded.version),
        ("would have refused", excluded.tried),
        ("no link", excluded.no_link),
        ("link stalled", excluded.stalled_link),
    ];
    let texts: Vec<String> = counts
        .iter()
        .filter(|(_, count)| *count > 0)
        .map(|(reason, count)| format!("{count} {reason}"))
        .collect();
    if texts.is_empty() {
        return "none".to_owned();
    }
    texts.join(", ")
}

fn candidate_text(candidate: &CandidateState) -> String {
    let full = if candidate.is_reported_full {
        ", reported full"
    } else {
        ""
    };
    format!(
        "{} ({}, {}): expected loss {:.3}, running {} + queued {} of {} slots, {} outstanding, \
         report {} ms old, run {} ms, wait {:.0} ms (rate limit {:.0} ms), round trip {:.0} ms{full}",
        candidate.node,
        candidate.distance,
        candidate.data_centre,
        candidate.expected_loss,
        candidate.running,
        candidate.queued,
        candidate.slots,
        candidate.outstanding,
        candidate.report_age_ms,
        candidate.route_run_ms,
        candidate.expected_wait_ms,
        candidate.rate_limit_wait_ms,
        candidate.round_trip_ms,
    )
}

fn names(regions: &[RegionName]) -> String {
    if regions.is_empty() {
        return "none".to_owned();
    }
    let names: Vec<&str> = regions.iter().map(RegionName::as_str).collect();
    names.join(", ")
}
