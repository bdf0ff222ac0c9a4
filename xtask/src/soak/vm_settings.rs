//! Addresses and settings of a VM in a testbed.

use std::net::SocketAddr;
use std::path::PathBuf;

use hemlockfall_standins::target::ConnectionBehaviour;

use crate::errors::Error;
use crate::errors::Result;
use crate::harness::ports;
use crate::soak::testbed::VmOptions;

/// Data centre of a VM, and settings that its platform names.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Data centre.
    pub data_centre: &'static str,
    /// Region.
    pub region: &'static str,
    /// Further lines of the settings.
    bounds: &'static str,
}

/// Settings of a platform with evacuations and cold rates.
const PLACEMENT_BOUNDS: &str = "evacuate_s = 5\ncold_overshoot = 1.5\ncold_allowance = 8\n";
/// Only site of a testbed in one region, and sites of one in two regions.
const ONE_SITE: Site = Site {
    data_centre: "a",
    region: "west",
    bounds: "",
};
const TWO_SITES: [Site; 2] = [
    Site {
        bounds: PLACEMENT_BOUNDS,
        ..ONE_SITE
    },
    Site {
        data_centre: "b",
        region: "east",
        bounds: PLACEMENT_BOUNDS,
    },
];

impl Site {
    /// Returns the site of a group of VMs.
    pub(super) fn of(group: usize, has_two_regions: bool) -> Self {
        if has_two_regions {
            TWO_SITES[group % TWO_SITES.len()]
        } else {
            ONE_SITE
        }
    }
}

/// Addresses of the VM on loopback.
pub(super) struct Addresses {
    pub(super) callers: SocketAddr,
    pub(super) peers: SocketAddr,
    pub(super) advertised: SocketAddr,
    pub(super) ready: SocketAddr,
    pub(super) control: SocketAddr,
    pub(super) metrics: SocketAddr,
    pub(super) target: SocketAddr,
    pub(super) announced: SocketAddr,
    pub(super) store: SocketAddr,
}

impl Addresses {
    pub(super) fn choose() -> Result<Self> {
        Ok(Self {
            callers: ports::free_address()?,
            peers: ports::free_address()?,
            advertised: ports::free_address()?,
            ready: ports::free_address()?,
            control: ports::free_address()?,
            metrics: ports::free_address()?,
            target: ports::free_address()?,
            announced: ports::free_address()?,
            store: ports::free_address()?,
        })
    }

    /// Returns the address that the target announces. With `ConnectionBehaviour::End`, an answer and
    /// the end of its connection have to arrive together. The proxy would forward them separately,
    /// so the node connects to the target directly.
    pub(super) fn announced(&self, options: &VmOptions) -> SocketAddr {
        if options.connection_behaviour == ConnectionBehaviour::End {
            self.target
        } else {
            self.announced
        }
    }
}

pub(super) fn write_settings(options: &VmOptions, addresses: &Addresses) -> Result<PathBuf> {
    let (name, service) = (&options.name, options.service);
    let Site {
        data_centre,
        region,
        bounds,
    } = options.site;
    let text = format!(
        "[sidecar]\nname = \"{name}\"\nservice = \"{service}\"\ndata_centre = \"{data_centre}\"\n\
         region = \"{region}\"\ncaller_address = \"{}\"\npeer_address = \"{}\"\n\
         advertised_address = \"{}\"\nready_address = \"{}\"\ncontrol_address = \"{}\"\n\
         metrics_address = \"{}\"\ntarget_address = \"{}\"\nstore_address = \"{}\"\n\
         heartbeat_s = 0.5\nis_first_start = {}\nlog_lines_per_s = 2000\n\
         memory_mb = {}\n{bounds}",
        addresses.callers,
        addresses.peers,
        addresses.advertised,
        addresses.ready,
        addresses.control,
        addresses.metrics,
        addresses.announced(options),
        addresses.store,
        options.is_first_start,
        options.memory_mb,
    );
    let path = options.directory.join(format!("{name}.toml"));
    std::fs::write(&path, text)
        .map_err(|error| Error::resource(path.display().to_string(), error))?;
    Ok(path)
}
