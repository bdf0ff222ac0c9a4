//! HTTP server for callers, event-driven on the `stakker` thread.
//!
//! A connection serves one request at a time. A caller that closes its connection while its
//! request is in progress is reported as disconnected, so that the request can be cancelled.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_http::listening;
use stakker::CX;
use stakker::Fwd;
use stakker::after;
use stakker::fwd;
use stakker::fwd_to;
use stakker_mio::MioPoll;
use stakker_mio::MioSource;
use stakker_mio::Ready;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpListener;
use stakker_mio::mio::net::TcpStream;

use crate::edge::caller_server::connection::Connection;
use crate::edge::caller_server::connection::Progress;
use crate::edge::http::HttpAnswer;
use crate::edge::http1::HttpLimits;
use crate::edge::message::CallerEvent;
use crate::edge::message::CallerId;
use crate::edge::options::EdgeOptions;

mod connection;

const SOCKET_PRIORITY: u32 = 2;
const TICK: Duration = Duration::from_millis(250);
/// Delay before accepting is retried after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time between refusing new connections and closing the listener; connections that were being
/// established are accepted in between.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Time between closing the listener and closing idle connections in a graceful shutdown, so that
/// a request that is being received is still read. It ends before the shutdown checks for requests
/// in progress.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(250);

/// Address and limits of the server for callers.
#[derive(Clone, Copy, Debug)]
pub struct CallerOptions {
    /// Address for callers.
    pub address: SocketAddr,
    /// Largest number of open connections.
    pub max_connections: usize,
    /// Limits of one request.
    pub limits: HttpLimits,
    /// Time limit for receiving a complete request.
    pub read_timeout: Duration,
    /// Time after which a connection is closed that is idle or whose answer is not being read.
    pub idle_timeout: Duration,
}

impl CallerOptions {
    /// Creates the options for an address with the limits of the settings.
    #[must_use]
    pub fn new(address: SocketAddr, options: &EdgeOptions) -> Self {
        Self {
            address,
            max_connections: options.max_caller_connections,
            limits: options.http_limits(),
            read_timeout: options.read_timeout(),
            idle_timeout: options.idle_timeout(),
        }
    }
}

/// Actor that owns the listener and the callers' connections.
pub struct CallerServer {
    options: CallerOptions,
    /// `None` once the listener is closed in a shutdown.
    listener: Option<MioSource<TcpListener>>,
    /// Whether the server is shutting down, so that each connection ends with its next answer.
    is_stopping: bool,
    /// Sorted by id.
    open: Vec<Connection>,
    next_connection: u64,
    next_caller: CallerId,
    events: Fwd<CallerEvent>,
}

impl CallerServer {
    /// Binds the listener.
    pub fn init(cx: CX![], options: CallerOptions, events: Fwd<CallerEvent>) -> Option<Self> {
        match Self::listen(cx, options.address) {
            Ok(listener) => {
                after!(TICK, [cx], tick());
                let (next_connection, next_caller) = (1, 1);
                let open = Vec::new();
                Some(Self {
                    options,
                    listener: Some(listener),
                    is_stopping: false,
                    open,
                    next_connection,
                    next_caller,
                    events,
                })
            }
            Err(error) => {
                spdlog::error!("caller address cannot be bound", kv: {
                    address = options.address.to_string(), error = error.to_string(),
                });
                cx.fail(error);
                None
            }
        }
    }

    fn listen(cx: CX![], address: SocketAddr) -> io::Result<MioSource<TcpListener>> {
        let listener = TcpListener::bind(address)?;
        let poll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], accept() as (Ready));
        poll.add(listener, Interest::READABLE, SOCKET_PRIORITY, ready)
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        self.accept_pending(cx);
    }

    /// Accepts all pending connections. The listener's readiness is reported only once, so a failed
    /// accept, mostly for lack of file descriptors, is retried after a delay.
    fn accept_pending(&mut self, cx: CX![]) {
        while let Some(listener) = &self.listener {
            match listener.accept() {
                Ok((stream, _)) => self.add_connection(cx, stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    spdlog::warn!("accepting a caller failed", kv: { error = error.to_string() });
                    after!(ACCEPT_RETRY_DELAY, [cx], accept_pending());
                    return;
                }
            }
        }
    }

    /// Refuses new connections, then closes the listener, and ends each connection after its next
    /// answer. Connections that the kernel has already established are accepted first, and idle
    /// connections are closed a little later because a request may be on its way.
    pub fn stop_accepting(&mut self, cx: CX![]) {
        if let Some(listener) = &self.listener
            && let Err(error) = listening::refuse_new_connections(&**listener)
        {
            spdlog::warn!("new connections cannot be refused", kv: { error = error.to_string() });
        }
        self.is_stopping = true;
        for connection in &mut self.open {
            connection.end_after_answer();
        }
        after!(LISTENER_CLOSE_DELAY, [cx], close_listener());
    }

    /// Closes the listener. A connection that was being established when new ones were refused is
    /// complete by now and is accepted first.
    fn close_listener(&mut self, cx: CX![]) {
        self.accept_pending(cx);
        self.listener = None;
        after!(IDLE_CLOSE_DELAY, [cx], close_idle());
    }

    /// Closes the connections on which no request has arrived.
    fn close_idle(&mut self, cx: CX![]) {
        let now = cx.now();
        let idle: Vec<u64> = self
            .open
            .iter()
            .filter(|connection| connection.is_idle())
            .map(|connection| connection.id)
            .collect();
        for id in idle {
            self.advance(id, now);
        }
        self.open.retain(|connection| !connection.is_idle());
    }

    fn add_connection(&mut self, cx: CX![], stream: TcpStream) {
        if self.open.len() >= self.options.max_connections {
            spdlog::warn!("caller refused: too many connections", kv: {
                limit = self.options.max_connections,
            });
            return;
        }
        let id = self.next_connection;
        let poll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], ready(id) as (Ready));
        let interest = Interest::READABLE | Interest::WRITABLE;
        match poll.add(stream, interest, SOCKET_PRIORITY, ready) {
            Ok(source) => {
                self.next_connection += 1;
                let mut connection = Connection::new(id, source, self.options.limits, cx.now());
                if self.is_stopping {
                    connection.end_after_answer();
                }
                self.open.push(connection);
            }
            Err(error) => {
                spdlog::warn!("caller cannot be served", kv: { error = error.to_string() });
            }
        }
    }

    fn connection_mut(&mut self, id: u64) -> Option<&mut Connection> {
        let index = self
            .open
            .binary_search_by_key(&id, |connection| connection.id)
            .ok()?;
        self.open.get_mut(index)
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "stakker passes events by value"
    )]
    fn ready(&mut self, cx: CX![], id: u64, ready: Ready) {
        let now = cx.now();
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        if ready.is_writable() && !connection.flush(now) {
            self.close(id);
            return;
        }
        self.advance(id, now);
    }

    /// Reads the available input and reports a request that is complete. Reading continues after
    /// the request, since the close by its caller may have arrived in the same event.
    fn advance(&mut self, id: u64, now: Instant) {
        loop {
            let caller = self.next_caller;
            let Some(connection) = self.connection_mut(id) else {
                return;
            };
            match connection.advance(caller, now) {
                Progress::Nothing => return,
                Progress::Request(request) => {
                    self.next_caller += 1;
                    let event = CallerEvent::Request {
                        id: caller,
                        request,
                    };
                    fwd!([self.events], event);
                }
                Progress::Closed => return self.close(id),
            }
        }
    }

    fn close(&mut self, id: u64) {
        let Ok(index) = self
            .open
            .binary_search_by_key(&id, |connection| connection.id)
        else {
            return;
        };
        let connection = self.open.remove(index);
        if let Some(caller) = connection.pending_caller() {
            fwd!([self.events], CallerEvent::Disconnected { id: caller });
        }
    }

    /// Sends the answer to a request; it is dropped if the caller has disconnected.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "stakker passes arguments by value"
    )]
    pub fn answer(&mut self, cx: CX![], caller: CallerId, answer: HttpAnswer) {
        let now = cx.now();
        let found = self
            .open
            .iter_mut()
            .find(|open| open.pending_caller() == Some(caller));
        let Some(connection) = found else {
            return;
        };
        let id = connection.id;
        if connection.answer(&answer, now) {
            // A pipelined request may already be in the buffer.
            self.advance(id, now);
        } else {
            self.close(id);
        }
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = cx.now();
        let options = self.options;
        let timed_out: Vec<u64> = self
            .open
            .iter_mut()
            .filter_map(|connection| {
                connection
                    .check_timeout(now, &options)
                    .then_some(connection.id)
            })
            .collect();
        for id in timed_out {
            self.close(id);
        }
    }
}
