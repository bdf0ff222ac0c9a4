//! Signal handling: each signal writes a byte to a socket pair that the event loop polls.

use std::io;
use std::io::Read;
use std::os::fd::OwnedFd;

use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::low_level::pipe;
use stakker::Fwd;
use stakker_mio::MioPoll;
use stakker_mio::MioSource;
use stakker_mio::Ready;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::UnixStream;

use crate::node::Node;

const PRIORITY: u32 = 1;

/// Read ends of the signals' socket pairs.
pub(crate) struct SignalPipe {
    stop: MioSource<UnixStream>,
    reload: MioSource<UnixStream>,
}

impl SignalPipe {
    pub(crate) fn open(poll: &MioPoll, ready: Fwd<Ready>) -> io::Result<Self> {
        Ok(Self {
            stop: watch(poll, &[SIGTERM, SIGINT], ready.clone())?,
            reload: watch(poll, &[SIGHUP], ready)?,
        })
    }
}

fn watch(poll: &MioPoll, signals: &[i32], ready: Fwd<Ready>) -> io::Result<MioSource<UnixStream>> {
    let (reader, writer) = UnixStream::pair()?;
    let writer = OwnedFd::from(writer);
    for signal in signals {
        pipe::register(*signal, writer.try_clone()?)?;
    }
    poll.add(reader, Interest::READABLE, PRIORITY, ready)
}

/// Empties a socket pair and returns whether it held anything.
fn drain(source: &mut MioSource<UnixStream>) -> bool {
    let mut bytes = [0; 16];
    let mut has_any = false;
    while matches!(source.read(&mut bytes), Ok(1..)) {
        has_any = true;
    }
    has_any
}

impl Node {
    pub(super) fn signals_ready(&mut self) {
        let Some(signals) = &mut self.signals else {
            return;
        };
        let (stop, reload) = (drain(&mut signals.stop), drain(&mut signals.reload));
        if reload {
            self.reload_settings("signal");
        }
        if stop {
            self.begin_stop();
        }
    }
}
