//! HTTP client for the local target, event-driven on the `stakker` thread.
//!
//! It distinguishes requests that were certainly not sent from those that may have run, closes a
//! connection on any irregularity, and never sends a request twice.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use stakker::CX;
use stakker::Fwd;
use stakker::after;
use stakker::fwd;
use stakker::fwd_to;
use stakker_mio::MioPoll;
use stakker_mio::Ready;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;

use crate::edge::http1::HttpLimits;
use crate::edge::message::TargetResult;
use crate::edge::message::TargetRun;
use crate::edge::target_client::connection::Connection;
use crate::edge::target_client::connection::Step;

mod connection;

const SOCKET_PRIORITY: u32 = 2;
const TICK: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed; below the usual keep-alive time-out of a target,
/// so that the target does not close it first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Result of one run.
#[derive(Debug)]
pub struct TargetEvent {
    /// Identifier of the run.
    pub id: u64,
    /// Its result.
    pub result: TargetResult,
}

/// Actor that owns the connections to the local target.
pub struct TargetClient {
    limits: HttpLimits,
    max_connections: usize,
    /// Sorted by id.
    open: Vec<Connection>,
    next_connection: u64,
    events: Fwd<TargetEvent>,
}

impl TargetClient {
    /// Starts without connections.
    pub fn init(
        cx: CX![],
        limits: HttpLimits,
        max_connections: usize,
        events: Fwd<TargetEvent>,
    ) -> Option<Self> {
        after!(TICK, [cx], tick());
        Some(Self {
            limits,
            max_connections,
            open: Vec::new(),
            next_connection: 1,
            events,
        })
    }

    /// Sets the number of connections that the target announced.
    pub fn set_max_connections(&mut self, _: CX![], max_connections: usize) {
        self.max_connections = max_connections;
    }

    /// Sends a request; the result is reported as a [`TargetEvent`]. If the run times out and awaits
    /// a late answer, a second event reports its end, unless the run is aborted.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "stakker passes arguments by value"
    )]
    pub fn run(&mut self, cx: CX![], run: Box<TargetRun>) {
        let run_id = run.id;
        after!(run.time_left, [cx], expire(run_id));
        let limits = HttpLimits {
            max_body_bytes: run.max_body_bytes,
            ..self.limits
        };
        let id = if let Some(connection) = self.idle_connection(run.address) {
            connection.start(&run, limits, cx.now());
            connection.id
        } else {
            match self.connect(cx, &run, limits) {
                Ok(id) => id,
                Err(result) => {
                    fwd!([self.events], TargetEvent { id: run_id, result });
                    return;
                }
            }
        };
        self.write(id);
    }

    /// Returns the most recently used idle connection, which is the least likely to have been
    /// closed, and drops those found closed by the target.
    fn idle_connection(&mut self, address: SocketAddr) -> Option<&mut Connection> {
        loop {
            let (index, _) = self
                .open
                .iter()
                .enumerate()
                .filter(|(_, connection)| connection.is_idle_for(address))
                .max_by_key(|(_, connection)| connection.last_used())?;
            if self.open[index].is_open() {
                return self.open.get_mut(index);
            }
            self.open.remove(index);
        }
    }

    fn connect(
        &mut self,
        cx: CX![],
        run: &TargetRun,
        limits: HttpLimits,
    ) -> Result<u64, TargetResult> {
        if self.open.len() >= self.max_connections {
            self.close_one_idle();
        }
        if self.open.len() >= self.max_connections {
            return Err(TargetResult::Busy);
        }
        self.open_connection(cx, run, limits)
            .map_err(|error| TargetResult::NotSent {
                reason: error.to_string(),
            })
    }

    fn open_connection(
        &mut self,
        cx: CX![],
        run: &TargetRun,
        limits: HttpLimits,
    ) -> io::Result<u64> {
        let id = self.next_connection;
        let stream = TcpStream::connect(run.address)?;
        let poll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], ready(id) as (Ready));
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = poll.add(stream, interest, SOCKET_PRIORITY, ready)?;
        self.next_connection += 1;
        let mut connection = Connection::new(id, source, run.address, cx.now());
        connection.start(run, limits, cx.now());
        self.open.push(connection);
        Ok(id)
    }

    fn close_one_idle(&mut self) {
        if let Some(index) = self.open.iter().position(Connection::is_idle) {
            self.open.remove(index);
        }
    }

    /// Abandons a run. Its connection is closed and no result is reported.
    pub fn abort(&mut self, _: CX![], run_id: u64) {
        self.open
            .retain(|connection| connection.run_id() != Some(run_id));
    }

    fn expire(&mut self, _: CX![], run_id: u64) {
        let Some(index) = self
            .open
            .iter()
            .position(|open| open.run_id() == Some(run_id))
        else {
            return;
        };
        let connection = &self.open[index];
        let result = connection.result_at_timeout();
        let is_kept = connection.awaits_late_answer() && matches!(result, TargetResult::TimedOut);
        // Whatever stalled this connection may also affect those opened before it; the next
        // requests open new ones.
        let (address, opened) = (connection.address, connection.opened);
        if !is_kept {
            self.open.remove(index);
        }
        self.open
            .retain(|open| !(open.is_idle_for(address) && open.opened <= opened));
        fwd!([self.events], TargetEvent { id: run_id, result });
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "stakker passes events by value"
    )]
    fn ready(&mut self, cx: CX![], id: u64, ready: Ready) {
        let now = cx.now();
        if ready.is_writable() {
            self.write(id);
        }
        let Ok(index) = self
            .open
            .binary_search_by_key(&id, |connection| connection.id)
        else {
            return;
        };
        let step = self.open[index].read(now);
        self.finish(index, step);
    }

    fn write(&mut self, id: u64) {
        let Ok(index) = self
            .open
            .binary_search_by_key(&id, |connection| connection.id)
        else {
            return;
        };
        let step = self.open[index].write();
        self.finish(index, step);
    }

    fn finish(&mut self, index: usize, step: Step) {
        match step {
            Step::Pending => {}
            Step::Done {
                run_id,
                result,
                reusable,
            } => {
                if !reusable {
                    self.open.remove(index);
                }
                fwd!([self.events], TargetEvent { id: run_id, result });
            }
            Step::Closed => {
                self.open.remove(index);
            }
        }
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now: Instant = cx.now();
        self.open.retain(|open| {
            !(open.is_idle() && now.duration_since(open.last_used()) >= IDLE_TIMEOUT)
        });
    }

    /// Closes the idle connections to the address of a target that no longer exists.
    pub fn close_idle(&mut self, _: CX![], address: SocketAddr) {
        self.open.retain(|open| !open.is_idle_for(address));
    }
}
