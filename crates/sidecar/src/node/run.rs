//! Start of the node and its event loop.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use hemlockfall_core::kernel;
use hemlockfall_core::kernel::MetricKind;
use hemlockfall_core::units;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use stakker::Stakker;
use stakker::actor;
use stakker::ret_shutdown;
use stakker_mio::MioPoll;
use stakker_mio::mio::Events;
use stakker_mio::mio::Poll;

use crate::node::Node;
use crate::node::NodeParams;
use crate::platform::Platform;
use crate::settings::SidecarSettings;

/// Bound on the events that one poll returns.
const EVENTS_PER_POLL: usize = 256;
const MAX_WAIT: Duration = Duration::from_secs(1);
const WAKER_PRIORITY: u32 = 1;

/// Runs a node until a signal stops it.
///
/// # Errors
/// Returns the reason why the node could not start, or the error that ended it.
pub fn run(settings_file: &Path, platform: Box<dyn Platform>) -> Result<(), String> {
    let settings = SidecarSettings::load(settings_file).map_err(|error| error.to_string())?;
    let metrics = install_metrics()?;
    let poll = Poll::new().map_err(|error| error.to_string())?;
    let mut stakker = Stakker::new(Instant::now());
    let poll = MioPoll::new(
        &mut stakker,
        poll,
        Events::with_capacity(EVENTS_PER_POLL),
        WAKER_PRIORITY,
    )
    .map_err(|error| error.to_string())?;
    let params = NodeParams {
        settings,
        settings_file: settings_file.to_owned(),
        platform,
        metrics,
        incarnation: units::unix_ms(SystemTime::now()),
        seed: rand::random(),
    };
    let _node = actor!(
        &mut stakker,
        Node::init(params),
        ret_shutdown!(&mut stakker)
    );
    let mut idle_pending = stakker.run(Instant::now(), false);
    let mut io_pending = false;
    let mut activity;
    while stakker.not_shutdown() {
        let has_work = idle_pending || io_pending;
        let wait = stakker.next_wait_max(Instant::now(), MAX_WAIT, has_work);
        (activity, io_pending) = poll.poll(wait).map_err(|error| error.to_string())?;
        idle_pending = stakker.run(Instant::now(), !activity);
    }
    match stakker.shutdown_reason() {
        None | Some(stakker::StopCause::Stopped | stakker::StopCause::Dropped) => Ok(()),
        Some(cause) => Err(cause.to_string()),
    }
}

/// Installs the recorder of the metrics page and describes the metrics of the program.
fn install_metrics() -> Result<PrometheusHandle, String> {
    let handle = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| error.to_string())?;
    let plugins = kernel::plugins();
    let own = plugins
        .iter()
        .filter(|plugin| plugin.program == kernel::Program::Sidecar);
    for metric in own.flat_map(|plugin| plugin.metrics) {
        match metric.kind {
            MetricKind::Counter => metrics::describe_counter!(metric.name, metric.help),
            MetricKind::Gauge => metrics::describe_gauge!(metric.name, metric.help),
            MetricKind::Histogram => metrics::describe_histogram!(metric.name, metric.help),
        }
    }
    Ok(handle)
}
