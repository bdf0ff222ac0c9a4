//! The HTTP edge towards callers: an event-driven server on the `stakker` thread.
//!
//! A connection serves one request at a time. A caller that closes its connection while its
//! request is in progress is reported as gone, so that the request can be cancelled.

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
/// Time after which accepting is tried again when it failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time between the refusal of new connections and the close of the listener.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Time between the close of the listener and the close of idle connections in a planned stop, so that
/// a request which is under way is read. It ends before the stop looks for requests in progress.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(250);

/// `CallerOptions` bound what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct CallerOptions {
    /// Address for callers.
    pub address: SocketAddr,
    /// Open connections.
    pub max_connections: usize,
    /// Limits of one request.
    pub limits: HttpLimits,
    /// Time for a request to arrive whole.
    pub read_timeout: Duration,
    /// Time that a connection may be idle, or an answer may wait to be read.
    pub idle_timeout: Duration,
}

impl CallerOptions {
    /// `new` takes the limits from the settings.
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

/// `CallerServer` is the actor that owns the listener and the callers' connections.
pub struct CallerServer {
    options: CallerOptions,
    /// `None` once the node stops.
    listener: Option<MioSource<TcpListener>>,
    /// Whether each connection ends with its next answer.
    is_stopping: bool,
    /// Sorted by id.
    open: Vec<Connection>,
    next_connection: u64,
    next_caller: CallerId,
    events: Fwd<CallerEvent>,
}

impl CallerServer {
    /// `init` binds the listener.
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

    /// Accepts all connections that the kernel has made. No event tells again of those that are left
    /// when accepting fails, mostly for lack of descriptors, so it is repeated.
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

    /// `stop_accepting` closes the listener and ends each connection after its next answer.
    /// Connections that the kernel has made already are accepted first, and a request on an idle
    /// connection may be under way, so idle ones are closed a little later.
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

    /// A connection that was being made when new ones were refused stands by now.
    fn close_listener(&mut self, cx: CX![]) {
        self.accept_pending(cx);
        self.listener = None;
        after!(IDLE_CLOSE_DELAY, [cx], close_idle());
    }

    /// Closes the connections on which nothing has arrived.
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

    /// Reads what has arrived and reports at most one request. Reading goes on behind the
    /// request, since its caller's end may have arrived in the same event.
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

    /// `answer` sends the answer to a request; it is dropped when the caller is gone.
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
