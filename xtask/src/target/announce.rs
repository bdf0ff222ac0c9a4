//! Announcement, reports and deregistration of the target stand-in at its node.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::errors::Error;
use crate::errors::Result;
use crate::http;
use crate::target::state::State;

const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
const DRAIN_BOUND: Duration = Duration::from_secs(30);

/// Body of `POST /v1/announce`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service.
    pub service: String,
    /// Version.
    pub version: String,
    /// Address of the target.
    pub address: SocketAddr,
    /// Requests run at once.
    pub slots: u16,
    /// Connections accepted at once.
    pub connections: u16,
}

/// Body of `POST /v1/report`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether the target considers itself healthy.
    pub healthy: bool,
    /// Slots in use, in percent.
    pub load_percent: u16,
}

/// Announces the target in the background and drains it on SIGTERM.
///
/// # Errors
/// [`Error::Resource`] when the signal handler cannot be installed.
pub fn start(state: &Arc<State>, address: SocketAddr) -> Result<()> {
    let mut signals =
        Signals::new([SIGTERM]).map_err(|error| Error::resource("SIGTERM handler", error))?;
    let draining = Arc::clone(state);
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            deregister(&draining);
            draining.drain(DRAIN_BOUND);
            std::process::exit(0);
        }
    });
    if let Some(node) = state.options().node {
        let state = Arc::clone(state);
        std::thread::spawn(move || announce_and_report(&state, node, address));
    }
    Ok(())
}

/// Deregisters the target at its node. The target itself goes on accepting requests, so that a
/// request sent after the deregistration shows as a run.
pub fn deregister(state: &State) {
    state.set_deregistering();
    if let Some(node) = state.options().node {
        let _ = http::post_json(node, "/v1/leave", &serde_json::json!({}));
    }
}

/// Repeats the announcement until the node accepts it, and then sends reports. A report that fails
/// means that the node was replaced, so the target announces itself again. After its deregistration
/// the target sends nothing more, since an announcement would revoke the deregistration.
fn announce_and_report(state: &State, node: SocketAddr, address: SocketAddr) {
    let announcement = Announcement {
        service: state.options().service.clone(),
        version: state.options().version.clone(),
        address,
        slots: state.options().slots,
        connections: state.options().connections,
    };
    let mut pending_reports = VecDeque::new();
    let mut accepted = false;
    while !state.is_deregistering() {
        let sent = if accepted {
            let report = next_report(state, &mut pending_reports);
            http::post_json(node, "/v1/report", &report)
        } else {
            http::post_json(node, "/v1/announce", &announcement)
        };
        accepted = sent.is_ok_and(|status| (200..300).contains(&status));
        state.set_accepted(accepted);
        std::thread::sleep(ANNOUNCE_INTERVAL);
    }
}

fn next_report(state: &State, pending_reports: &mut VecDeque<(Instant, Report)>) -> Report {
    let options = state.options();
    let idle = Report {
        healthy: true,
        load_percent: 0,
    };
    if options.report_lies {
        return idle;
    }
    let load = state.summary().running * 100 / usize::from(options.slots.max(1));
    let now = Instant::now();
    pending_reports.push_back((
        now,
        Report {
            healthy: true,
            load_percent: u16::try_from(load).unwrap_or(u16::MAX),
        },
    ));
    let lag = Duration::from_millis(options.report_lag_ms);
    let mut report = idle;
    while let Some((at, delayed)) = pending_reports.front().copied() {
        if now.saturating_duration_since(at) < lag {
            break;
        }
        report = delayed;
        pending_reports.pop_front();
    }
    report
}
