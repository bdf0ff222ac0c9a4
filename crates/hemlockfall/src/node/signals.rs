//! Signals: SIGTERM and SIGINT start a planned stop.

use std::thread;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use stakker::sync::Channel;

/// `StopRequested` is the message that starts a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct StopRequested;

/// `watch` sends a message for each signal that asks for a stop.
///
/// # Errors
/// The reason why the handlers cannot be installed.
pub fn watch(stop: Channel<StopRequested>) -> Result<(), String> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|error| error.to_string())?;
    thread::spawn(move || {
        for _ in signals.forever() {
            stop.send(StopRequested);
        }
    });
    Ok(())
}
