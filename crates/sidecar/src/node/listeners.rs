//! Listeners and the connections that are accepted at them.

use std::io;
use std::net::SocketAddr;

use hemlockfall_http::listening;
use serde_json::json;
use stakker::Fwd;
use stakker_mio::MioPoll;
use stakker_mio::MioSource;
use stakker_mio::Ready;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpListener;
use stakker_mio::mio::net::TcpStream;

use crate::connection_limits::PortLimits;
use crate::edge::stream::Stream;
use crate::node::Node;
use crate::node::Port;
use crate::node::Socket;

const LISTENER_PRIORITY: u32 = 1;
/// Connections that are accepted at once. Without a bound, callers that connect all the time would
/// keep the node from closing the connections of those that have left.
const MAX_ACCEPTED_AT_ONCE: usize = 32;

/// Connections that wait at a listener after some were accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiting {
    /// None, or a further event announces them.
    None,
    /// There may be more. They are to be accepted a moment later.
    Some,
    /// They found no descriptor, or there are too many connections.
    NoRoom,
}

/// Listener of a port.
pub(crate) struct Listener {
    port: Port,
    source: MioSource<TcpListener>,
    /// Whether connections were left to be accepted a moment later.
    is_deferred: bool,
}

impl Listener {
    /// Listens at an address and registers the listener with the poll loop.
    pub(super) fn open(
        poll: &MioPoll,
        port: Port,
        address: SocketAddr,
        limits: PortLimits,
        ready: Fwd<Ready>,
    ) -> io::Result<Self> {
        let source = poll.add(
            listen(address, limits)?,
            Interest::READABLE,
            LISTENER_PRIORITY,
            ready,
        )?;
        Ok(Self {
            port,
            source,
            is_deferred: false,
        })
    }
}

/// Opens a listener with `SO_REUSEADDR`, so that a restarted process can bind the address at once.
fn listen(address: SocketAddr, limits: PortLimits) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    // Accepted connections take this size over.
    socket.set_recv_buffer_size(limits.receive_bytes)?;
    socket.bind(&address.into())?;
    socket.listen(i32::try_from(limits.backlog).unwrap_or(i32::MAX))?;
    Ok(TcpListener::from_std(socket.into()))
}

impl Node {
    /// Accepts connections that wait at a listener, unless that is deferred.
    pub(super) fn accept(&mut self, port: Port) {
        if self.listener(port).is_some_and(|open| open.is_deferred) {
            return;
        }
        if self.accept_some(port) == Waiting::Some {
            if let Some(open) = self.listener(port) {
                open.is_deferred = true;
            }
            self.read_later(Socket::Listener(port));
        }
    }

    /// Accepts the connections that were deferred.
    pub(super) fn resume_accepting(&mut self, port: Port) {
        if let Some(open) = self.listener(port) {
            open.is_deferred = false;
        }
        self.accept(port);
    }

    fn listener(&mut self, port: Port) -> Option<&mut Listener> {
        self.listeners.iter_mut().find(|open| open.port == port)
    }

    fn accept_some(&mut self, port: Port) -> Waiting {
        for _ in 0..MAX_ACCEPTED_AT_ONCE {
            if !self.has_room_at(port) {
                self.accept_is_due = true;
                return Waiting::NoRoom;
            }
            let Some(listener) = self.listener(port) else {
                return Waiting::None;
            };
            match listener.source.accept() {
                Ok((stream, _)) => self.accepted(port, stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Waiting::None,
                Err(error) => {
                    if !std::mem::replace(&mut self.accept_is_due, true) {
                        let reason = error.to_string();
                        self.log_event(
                            "accept_failed",
                            json!({ "port": format!("{port:?}"), "reason": reason }),
                        );
                    }
                    return Waiting::NoRoom;
                }
            }
        }
        Waiting::Some
    }

    /// Accepts connections that were left when accepting failed, mostly for lack of file
    /// descriptors: no further event announces them.
    pub(super) fn accept_pending(&mut self) {
        if !std::mem::take(&mut self.accept_is_due) {
            return;
        }
        let ports: Vec<Port> = self.listeners.iter().map(|open| open.port).collect();
        for port in ports {
            self.accept(port);
        }
    }

    fn accepted(&mut self, port: Port, stream: TcpStream) {
        if port == Port::Peers {
            self.link_accepted(stream);
            return;
        }
        let ready = self.ready_fwd(Socket::Caller(self.callers.next_id()));
        let stream = match Stream::accepted(&self.poll, stream, ready) {
            Ok(stream) => stream,
            Err(error) => {
                self.log_event("accept_failed", json!({ "reason": error.to_string() }));
                return;
            }
        };
        self.add_caller(port, stream);
    }

    /// Makes the kernel refuse new connections, before the listener is closed.
    pub(super) fn refuse_connections(&mut self, port: Port) {
        if let Some(open) = self.listener(port)
            && let Err(error) = listening::refuse_new_connections(&*open.source)
        {
            self.log_event("filter_refused", json!({ "reason": error.to_string() }));
        }
    }

    /// Closes a listener. Connections that the kernel has already established are accepted first,
    /// since their requests would otherwise be lost with the listener.
    pub(super) fn close_listener(&mut self, port: Port) {
        while self.accept_some(port) == Waiting::Some {}
        self.listeners.retain(|open| open.port != port);
    }
}
