//! Settings of one node and observation of its state.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use hemlockfall_core::ids::Revision;

use crate::errors::Result;
use crate::harness::ports;
use crate::http;

/// Gauge on the node's metrics page with the revision in force.
pub const REVISION_METRIC: &str = "hemlockfall_revision";

const OBSERVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Name, location and addresses of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSpec {
    /// Name.
    pub name: String,
    /// Region.
    pub region: String,
    /// Data centre.
    pub data_centre: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for the target.
    pub local_address: SocketAddr,
}

impl NodeSpec {
    /// Chooses free addresses for a node.
    ///
    /// # Errors
    /// [`crate::errors::Error::Resource`] when there is no free port.
    pub fn new(name: &str, region: &str, data_centre: &str) -> Result<Self> {
        Ok(Self {
            name: name.to_owned(),
            region: region.to_owned(),
            data_centre: data_centre.to_owned(),
            caller_address: ports::free_address()?,
            peer_address: ports::free_address()?,
            operator_address: ports::free_address()?,
            local_address: ports::free_address()?,
        })
    }

    /// Returns the text of the settings file; `extra` is appended unchanged.
    #[must_use]
    pub fn settings(&self, store: SocketAddr, store_region: &str, extra: &str) -> String {
        let mut text = String::from("[node]\n");
        let keys = [
            ("name", self.name.clone()),
            ("region", self.region.clone()),
            ("data_centre", self.data_centre.clone()),
            ("caller_address", self.caller_address.to_string()),
            ("peer_address", self.peer_address.to_string()),
            ("operator_address", self.operator_address.to_string()),
            ("local_address", self.local_address.to_string()),
        ];
        for (key, value) in keys {
            let _ = writeln!(text, "{key} = \"{value}\"");
        }
        let _ = write!(
            text,
            "\n[store]\naddress = \"{store}\"\nregion = \"{store_region}\"\n\n{extra}"
        );
        text
    }

    /// Returns whether the node answers on its local address.
    #[must_use]
    pub fn answers(&self) -> bool {
        let url = format!("http://{}/healthz", self.local_address);
        http::exchange(&http::agent(OBSERVE_TIMEOUT), "GET", &url, &[], b"").is_ok()
    }

    /// Reads one unlabelled metric; `None` when the node does not answer or has no such metric.
    #[must_use]
    pub fn metric(&self, name: &str) -> Option<f64> {
        let url = format!("http://{}/metrics", self.local_address);
        let agent = http::agent(OBSERVE_TIMEOUT);
        let reply = http::exchange(&agent, "GET", &url, &[], b"").ok()?;
        find_metric(&reply.text(), name)
    }

    /// Reads a metric summed over its labels; `None` when the node does not answer.
    #[must_use]
    pub fn metric_sum(&self, name: &str) -> Option<f64> {
        let url = format!("http://{}/metrics", self.local_address);
        let agent = http::agent(OBSERVE_TIMEOUT);
        let reply = http::exchange(&agent, "GET", &url, &[], b"").ok()?;
        Some(sum_metric(&reply.text(), name))
    }

    /// Reads the revision that a serving node serves; `None` when it does
    /// not serve or does not answer.
    #[must_use]
    pub fn served_revision(&self) -> Option<Revision> {
        let url = format!("http://{}/healthz", self.local_address);
        let agent = http::agent(OBSERVE_TIMEOUT);
        let reply = http::exchange(&agent, "GET", &url, &[], b"").ok()?;
        if reply.status != 200 {
            return None;
        }
        let page: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
        page.get("revision")?.as_u64()
    }

    /// Reads the revision in force.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        let value = self.metric(REVISION_METRIC)?;
        format!("{value:.0}").parse().ok()
    }
}

/// Finds an unlabelled metric on a metrics page in the text format.
#[must_use]
pub fn find_metric(page: &str, name: &str) -> Option<f64> {
    page.lines()
        .filter_map(|line| line.split_once(' '))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.trim().parse().ok())
}

/// Sums a metric over its labels on a metrics page in the text format.
#[must_use]
pub fn sum_metric(page: &str, name: &str) -> f64 {
    page.lines()
        .filter_map(|line| line.strip_prefix(name))
        .filter(|rest| rest.starts_with(' ') || rest.starts_with('{'))
        .filter_map(|rest| rest.rsplit_once(' '))
        .filter_map(|(_, value)| value.parse::<f64>().ok())
        .sum()
}
