//! Signal handlers: SIGTERM and SIGINT start a graceful shutdown.

use std::thread;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use stakker::sync::Channel;

/// Message that starts a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct StopRequested;

/// Installs the signal handlers; each signal sends a message.
///
/// # Errors
/// Returns the reason why the handlers cannot be installed.
pub fn watch(stop: Channel<StopRequested>) -> Result<(), String> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|error| error.to_string())?;
    thread::spawn(move || {
        for _ in signals.forever() {
            stop.send(StopRequested);
        }
    });
    Ok(())
}
