//! The UDP socket for control messages between nodes, on the `stakker` thread.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use stakker::CX;
use stakker::Fwd;
use stakker::after;
use stakker::fwd;
use stakker::fwd_to;
use stakker_mio::MioPoll;
use stakker_mio::Ready;
use stakker_mio::UdpServerQueue;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::UdpSocket;

use crate::edge::emulation::Emulation;

/// Largest datagram sent; it fits the usual Ethernet MTU.
pub const DATAGRAM_LIMIT_BYTES: usize = 1200;

const RECEIVE_BUFFER_BYTES: usize = 2048;
const SOCKET_PRIORITY: u32 = 1;

/// One datagram received from a peer.
#[derive(Debug)]
pub struct Received {
    /// Sender's peer address.
    pub from: SocketAddr,
    /// Content.
    pub content: Vec<u8>,
}

/// Actor that owns the UDP socket.
pub struct Datagrams {
    queue: UdpServerQueue,
    emulation: Option<Emulation>,
    received: Fwd<Received>,
}

impl Datagrams {
    /// Binds the socket and starts receiving.
    pub fn init(
        cx: CX![],
        address: SocketAddr,
        emulation: Option<Emulation>,
        received: Fwd<Received>,
    ) -> Option<Self> {
        match Self::open(cx, address) {
            Ok(queue) => {
                let mut datagrams = Self {
                    queue,
                    emulation,
                    received,
                };
                datagrams.receive_all();
                Some(datagrams)
            }
            Err(error) => {
                spdlog::error!("UDP socket cannot be opened", kv: { address = address.to_string(), error = error.to_string() });
                cx.fail(error);
                None
            }
        }
    }

    fn open(cx: CX![], address: SocketAddr) -> io::Result<UdpServerQueue> {
        let socket = UdpSocket::bind(address)?;
        let poll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], ready() as (Ready));
        let source = poll.add(socket, Interest::READABLE, SOCKET_PRIORITY, ready)?;
        let mut queue = UdpServerQueue::new();
        queue.init(source);
        Ok(queue)
    }

    fn ready(&mut self, _: CX![], _: Ready) {
        self.receive_all();
    }

    fn receive_all(&mut self) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        loop {
            match self.queue.read_to_vec(&mut buffer) {
                Ok(Some((from, content))) => fwd!([self.received], Received { from, content }),
                Ok(None) => return,
                // After a send to an unreachable peer the kernel reports the error on the next
                // read; the socket stays usable.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(error) => {
                    spdlog::warn!("UDP receive failed", kv: { error = error.to_string() });
                    return;
                }
            }
        }
    }

    /// Sends one datagram; the protocols above tolerate losses.
    pub fn send(&mut self, cx: CX![], to: SocketAddr, content: Vec<u8>) {
        let now = cx.now();
        match &mut self.emulation {
            None => self.transmit(cx, to, content),
            Some(emulation) => {
                let delay = emulation.delay(to, content.len(), now);
                after!(delay, [cx], transmit(to, content));
            }
        }
    }

    fn transmit(&mut self, _: CX![], to: SocketAddr, content: Vec<u8>) {
        self.queue.push(to, content);
        if let Err(error) = self.queue.flush() {
            spdlog::debug!("UDP send failed", kv: { to = to.to_string(), error = error.to_string() });
        }
    }
}
