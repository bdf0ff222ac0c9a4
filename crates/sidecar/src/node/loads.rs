//! Reports of the target's load to the nodes of the data centre.
//!
//! Answers carry the load of their target, but in a large data centre a node seldom gets an answer
//! from any one target. Traffic inside a data centre is free.

use crate::edge::frame::Frame;
use crate::edge::frame::LoadFrame;
use crate::model::LoadReport;
use crate::node::Node;

/// Change in the number of requests at the target that makes a new report due.
const MIN_LOAD_CHANGE: u16 = 1;
/// Interval of the full reports, which include the times of routes, in ticks.
const FULL_REPORT_TICKS: u64 = 10;

/// Load of the last report to the nodes of the data centre.
#[derive(Debug, Default)]
pub(crate) struct ReportedLoad {
    requests: u16,
}

impl Node {
    /// Reports the load to the nodes of the data centre if it has changed or a full report is due.
    pub(super) fn report_load(&mut self) {
        if !self.is_target_open() {
            return;
        }
        let load = self.load();
        let requests = load.running.saturating_add(load.queued);
        let is_due = self.ticks.is_multiple_of(FULL_REPORT_TICKS);
        if !is_due && requests.abs_diff(self.reported_load.requests) < MIN_LOAD_CHANGE {
            return;
        }
        self.reported_load.requests = requests;
        let routes = if is_due {
            self.route_times()
        } else {
            Vec::new()
        };
        let frame = Frame::Load(LoadFrame { load, routes });
        for link in self.links_in_data_centre() {
            self.send_frame(link, &frame);
        }
    }

    pub(super) fn handle_load(&mut self, link: u64, frame: LoadFrame) {
        let Some(peer) = self.links.get(link).and_then(|link| link.peer) else {
            return;
        };
        self.record_load(peer, None, frame.load);
        for (route, route_run_ms, route_send_ms) in frame.routes {
            let load = LoadReport {
                route_run_ms,
                route_send_ms,
                ..frame.load
            };
            self.record_load(peer, Some(route), load);
        }
    }
}
