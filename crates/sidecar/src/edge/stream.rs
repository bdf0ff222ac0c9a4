//! A non-blocking TCP connection with an output buffer.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use stakker::Fwd;
use stakker_mio::MioPoll;
use stakker_mio::MioSource;
use stakker_mio::Ready;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;

/// `Result` is the result type of this module.
pub type Result<T> = io::Result<T>;

const POLL_PRIORITY: u32 = 1;
/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;
/// Time after which unacknowledged bytes end a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Output that may wait; beyond it the peer counts as stalled.
const MAX_PENDING_BYTES: usize = 64 * 1024 * 1024;

/// `Reading` is the state of a connection after reading what has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// More may arrive.
    Open,
    /// The peer has ended the connection in order.
    Ended,
    /// The connection was reset or failed.
    Failed,
}

/// `Stream` is a connection.
pub struct Stream {
    source: MioSource<TcpStream>,
    output: Vec<u8>,
    written: usize,
    is_connected: bool,
}

impl Stream {
    /// `accepted` takes over an accepted connection.
    ///
    /// # Errors
    /// The connection cannot be registered.
    pub fn accepted(poll: &MioPoll, stream: TcpStream, ready: Fwd<Ready>) -> Result<Self> {
        Self::register(poll, stream, ready, true)
    }

    /// `connect` begins to connect; output waits until the connection is made.
    ///
    /// # Errors
    /// The connection cannot be begun.
    pub fn connect(poll: &MioPoll, address: SocketAddr, ready: Fwd<Ready>) -> Result<Self> {
        Self::register(poll, TcpStream::connect(address)?, ready, false)
    }

    fn register(
        poll: &MioPoll,
        stream: TcpStream,
        ready: Fwd<Ready>,
        is_connected: bool,
    ) -> Result<Self> {
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = poll.add(stream, interest, POLL_PRIORITY, ready)?;
        Ok(Self {
            source,
            output: Vec::new(),
            written: 0,
            is_connected,
        })
    }

    /// `is_connected` tells whether the connection is made.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// `has_output` tells whether output waits.
    #[must_use]
    pub fn has_output(&self) -> bool {
        self.written < self.output.len()
    }

    /// `writable` completes the connecting and writes waiting output.
    ///
    /// # Errors
    /// The connection was refused or has failed.
    pub fn writable(&mut self) -> Result<()> {
        if !self.is_connected {
            if let Some(error) = self.source.take_error()? {
                return Err(error);
            }
            match self.source.peer_addr() {
                Ok(_) => self.is_connected = true,
                Err(error) if error.kind() == io::ErrorKind::NotConnected => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        self.flush()
    }

    /// `read` appends what has arrived.
    pub fn read(&mut self, input: &mut Vec<u8>) -> Reading {
        if !self.is_connected {
            return Reading::Open;
        }
        let mut chunk = [0; READ_BYTES];
        loop {
            match self.source.read(&mut chunk) {
                Ok(0) => return Reading::Ended,
                Ok(count) => input.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Reading::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Reading::Failed,
            }
        }
    }

    /// `send` adds output and writes what the connection takes.
    ///
    /// # Errors
    /// The connection has failed, or its peer does not read.
    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        if self.output.len() - self.written + bytes.len() > MAX_PENDING_BYTES {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.output.extend_from_slice(bytes);
        if self.is_connected {
            return self.flush();
        }
        Ok(())
    }

    /// `finish` closes the sending side.
    ///
    /// # Errors
    /// The connection has failed.
    pub fn finish(&mut self) -> Result<()> {
        self.source.shutdown(std::net::Shutdown::Write)
    }

    fn flush(&mut self) -> Result<()> {
        while self.written < self.output.len() {
            match self.source.write(&self.output[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.output.clear();
        self.output.shrink_to(READ_BYTES);
        self.written = 0;
        Ok(())
    }
}
