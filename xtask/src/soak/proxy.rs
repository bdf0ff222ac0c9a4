//! Loopback proxy that delays bytes, drops them in one or both directions, or resets connections.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use hemlockfall_standins::server::accept;
use hemlockfall_standins::server::bind;

use crate::errors::Error;
use crate::errors::Result;

const CHUNK_BYTES: usize = 16 * 1024;
/// Longest wait for bytes in one read.
const READ_TIMEOUT: Duration = Duration::from_millis(50);

/// What the proxy does with the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Forwards all bytes.
    #[default]
    Forward,
    /// Forwards all bytes after a delay.
    Delay(Duration),
    /// Drops what the connecting side sends.
    DropToUpstream,
    /// Drops what the upstream side sends.
    DropToClient,
    /// Drops all bytes.
    DropAll,
}

/// Proxy between connecting clients and one upstream address.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    upstream: SocketAddr,
    mode: Mutex<Mode>,
    /// Streams of both sides of all connections; the copying threads own them.
    connections: Mutex<Vec<Weak<TcpStream>>>,
    is_stopped: AtomicBool,
}

impl Proxy {
    /// Listens on `address` and connects to `upstream`.
    ///
    /// # Errors
    /// [`Error::Resource`] when the address cannot be bound.
    pub fn start(address: SocketAddr, upstream: SocketAddr) -> Result<Self> {
        let listener = bind(address)
            .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
            .map_err(|error| Error::resource(address.to_string(), error))?;
        let shared = Arc::new(Shared {
            upstream,
            mode: Mutex::default(),
            connections: Mutex::default(),
            is_stopped: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            while !accepting.is_stopped.load(Ordering::SeqCst) {
                if let Some(stream) = accept(&listener) {
                    accepting.connect(stream);
                }
            }
        });
        Ok(Self { address, shared })
    }

    /// Returns the address on which the proxy listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of all current and later connections.
    pub fn set_mode(&self, mode: Mode) {
        *self
            .shared
            .mode
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// Closes all open connections; new ones can be made.
    pub fn reset(&self) {
        let mut connections = self
            .shared
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for stream in connections.drain(..).filter_map(|stream| stream.upgrade()) {
            // Shutting down a connection that has ended already fails, which is fine.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        self.reset();
    }
}

impl Shared {
    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connect(self: &Arc<Self>, client: TcpStream) {
        // When the upstream side refuses the connection, the client's is closed at once.
        let upstream = match TcpStream::connect(self.upstream) {
            Ok(upstream) => upstream,
            Err(error) => {
                if error.kind() != std::io::ErrorKind::ConnectionRefused {
                    eprintln!("proxy cannot connect to {}: {error}", self.upstream);
                }
                return;
            }
        };
        if client.set_nonblocking(false).is_err() {
            return;
        }
        let (client, upstream) = (Arc::new(client), Arc::new(upstream));
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.retain(|stream| stream.strong_count() > 0);
        for stream in [&client, &upstream] {
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
            connections.push(Arc::downgrade(stream));
        }
        drop(connections);
        self.copy(
            Arc::clone(&client),
            Arc::clone(&upstream),
            Mode::DropToUpstream,
        );
        self.copy(upstream, client, Mode::DropToClient);
    }

    /// Copies one direction in the background; `drop_mode` is the mode that drops its bytes.
    fn copy(self: &Arc<Self>, from: Arc<TcpStream>, to: Arc<TcpStream>, drop_mode: Mode) {
        let shared = Arc::clone(self);
        thread::spawn(move || {
            let mut chunk = vec![0; CHUNK_BYTES];
            loop {
                let count = match (&*from).read(&mut chunk) {
                    Ok(0) => break,
                    Ok(count) => count,
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
                    Err(_) => break,
                };
                let mode = shared.mode();
                if mode == drop_mode || mode == Mode::DropAll {
                    continue;
                }
                if let Mode::Delay(delay) = mode {
                    thread::sleep(delay);
                }
                if (&*to).write_all(&chunk[..count]).is_err() {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
        });
    }
}
