//! A loopback proxy that delays, silences, cuts one way or resets connections.

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
/// Time to wait for bytes before the mode is looked at again.
const READ_TIMEOUT: Duration = Duration::from_millis(50);

/// `Mode` is what the proxy does with the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It passes them on.
    #[default]
    Pass,
    /// It passes them on after a delay.
    Delay(Duration),
    /// It drops what the connecting side sends.
    CutForward,
    /// It drops what the other side sends.
    CutBack,
    /// It drops both.
    Silence,
}

/// `Proxy` stands between a connecting side and one address.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    to: SocketAddr,
    mode: Mutex<Mode>,
    /// Both sides of the connections; the threads that copy own them.
    open: Mutex<Vec<Weak<TcpStream>>>,
    is_ended: AtomicBool,
}

impl Proxy {
    /// `start` listens on an address and connects to another.
    ///
    /// # Errors
    /// [`Error::Resource`] when the address cannot be bound.
    pub fn start(address: SocketAddr, to: SocketAddr) -> Result<Self> {
        let listener = bind(address)
            .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
            .map_err(|error| Error::resource(address.to_string(), error))?;
        let shared = Arc::new(Shared {
            to,
            mode: Mutex::default(),
            open: Mutex::default(),
            is_ended: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            while !accepting.is_ended.load(Ordering::SeqCst) {
                if let Some(stream) = accept(&listener) {
                    accepting.connect(stream);
                }
            }
        });
        Ok(Self { address, shared })
    }

    /// `address` is where the proxy listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// `set_mode` changes what happens to the bytes from now on.
    pub fn set_mode(&self, mode: Mode) {
        *self
            .shared
            .mode
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// `reset` ends all open connections; new ones can be made.
    pub fn reset(&self) {
        let mut open = self
            .shared
            .open
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for stream in open.drain(..).filter_map(|stream| stream.upgrade()) {
            // A connection that has ended needs no reset.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.is_ended.store(true, Ordering::SeqCst);
        self.reset();
    }
}

impl Shared {
    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connect(self: &Arc<Self>, near: TcpStream) {
        // A refused connection is passed on as one that ends at once.
        let far = match TcpStream::connect(self.to) {
            Ok(far) => far,
            Err(error) => {
                if error.kind() != std::io::ErrorKind::ConnectionRefused {
                    eprintln!("proxy cannot connect to {}: {error}", self.to);
                }
                return;
            }
        };
        if near.set_nonblocking(false).is_err() {
            return;
        }
        let (near, far) = (Arc::new(near), Arc::new(far));
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|stream| stream.strong_count() > 0);
        for stream in [&near, &far] {
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
            open.push(Arc::downgrade(stream));
        }
        drop(open);
        self.copy(Arc::clone(&near), Arc::clone(&far), Mode::CutForward);
        self.copy(far, near, Mode::CutBack);
    }

    /// Copies one direction in the background; `cut` is the mode that drops it.
    fn copy(self: &Arc<Self>, from: Arc<TcpStream>, to: Arc<TcpStream>, cut: Mode) {
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
                if mode == cut || mode == Mode::Silence {
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
