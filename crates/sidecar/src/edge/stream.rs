//! Non-blocking TCP connection with an output buffer.

use std::collections::VecDeque;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::io::Errno;
use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;
use stakker::Fwd;
use stakker_mio::MioPoll;
use stakker_mio::MioSource;
use stakker_mio::Ready;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;

/// Result type of this module.
pub type Result<T> = io::Result<T>;

/// Priority of the connection's events in the poll loop.
const POLL_PRIORITY: u32 = 1;
/// Size of one read in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Largest input that is read at once. A peer that sends without a pause would otherwise keep the
/// process reading.
const MAX_INPUT_BYTES: usize = 128 * 1024;
/// Time after which a connection with unacknowledged bytes is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Largest unsent output; with more, the connection counts as stalled.
const MAX_PENDING_BYTES: usize = 64 * 1024 * 1024;

/// Size up to which output is copied behind other unsent output, so that small messages share a
/// piece and a write.
const MAX_SHARED_BYTES: usize = 16 * 1024;
/// Smallest written part of a piece whose memory is released before the rest is written.
const RELEASED_BYTES: usize = 256 * 1024;

/// State of a connection after the available input was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// More may arrive.
    Open,
    /// More has arrived. It is to be read a moment later, after [`Stream::resume`], so that a peer
    /// that sends without a pause leaves time for the others.
    More,
    /// The peer has closed its sending side.
    Ended,
    /// The connection was reset or failed.
    Failed,
}

/// Releases the memory of an input buffer that is empty after a large message.
pub fn release_empty(input: &mut Vec<u8>) {
    if input.is_empty() && input.capacity() > READ_BYTES {
        *input = Vec::new();
    }
}

impl Reading {
    /// Returns whether no more input can arrive.
    #[must_use]
    pub fn has_ended(self) -> bool {
        match self {
            Self::Open | Self::More => false,
            Self::Ended | Self::Failed => true,
        }
    }
}

/// TCP connection.
pub struct Stream {
    source: MioSource<TcpStream>,
    /// Unsent output in pieces, none of them empty.
    output: VecDeque<Vec<u8>>,
    /// Part of the first piece that has been written.
    written: usize,
    /// Unsent bytes.
    unsent_bytes: usize,
    /// Bytes written since the connection was opened.
    total_written_bytes: u64,
    /// Bytes read since the connection was opened.
    total_read_bytes: u64,
    is_connected: bool,
    /// Whether reading waits for [`Stream::resume`], as much input was read at once.
    is_paused: bool,
}

impl Stream {
    /// Wraps an accepted connection and registers it with the poll loop.
    ///
    /// # Errors
    /// The connection cannot be registered.
    pub fn accepted(poll: &MioPoll, stream: TcpStream, ready: Fwd<Ready>) -> Result<Self> {
        Self::register(poll, stream, ready, true)
    }

    /// Starts to connect, with a receive buffer of some size; output is buffered until the connection
    /// is established.
    ///
    /// # Errors
    /// The connection attempt cannot be started.
    pub fn connect(
        poll: &MioPoll,
        address: SocketAddr,
        receive_bytes: usize,
        ready: Fwd<Ready>,
    ) -> Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        // Set before the connection is established: a peer that has seen a larger window waits for
        // half of it before it sends on.
        socket.set_recv_buffer_size(receive_bytes)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(error) if error.raw_os_error() == Some(Errno::INPROGRESS.raw_os_error()) => {}
            Err(error) => return Err(error),
        }
        Self::register(poll, TcpStream::from_std(socket.into()), ready, false)
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
            output: VecDeque::new(),
            written: 0,
            unsent_bytes: 0,
            total_written_bytes: 0,
            total_read_bytes: 0,
            is_connected,
            is_paused: false,
        })
    }

    /// Returns whether the connection is established.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Returns whether buffered output is still to be written.
    #[must_use]
    pub fn has_output(&self) -> bool {
        self.unsent_bytes > 0
    }

    /// Returns the size of the unsent output.
    #[must_use]
    pub fn unsent_bytes(&self) -> usize {
        self.unsent_bytes
    }

    /// Returns the memory of the output, which includes written parts that are not released yet.
    #[must_use]
    pub fn output_bytes(&self) -> usize {
        self.output.iter().map(Vec::capacity).sum()
    }

    /// Returns the number of bytes written since the connection was opened.
    #[must_use]
    pub fn total_written_bytes(&self) -> u64 {
        self.total_written_bytes
    }

    /// Returns the number of bytes read since the connection was opened.
    #[must_use]
    pub fn total_read_bytes(&self) -> u64 {
        self.total_read_bytes
    }

    /// Handles a writable socket: completes the connection attempt and writes buffered output.
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

    /// Reads the available input, at most `MAX_INPUT_BYTES`, and appends it to a buffer.
    pub fn read(&mut self, input: &mut Vec<u8>) -> Reading {
        if !self.is_connected || self.is_paused {
            return Reading::Open;
        }
        let mut chunk = [0; READ_BYTES];
        let full_at = input.len() + MAX_INPUT_BYTES;
        while input.len() < full_at {
            match self.source.read(&mut chunk) {
                Ok(0) => return Reading::Ended,
                Ok(count) => {
                    self.total_read_bytes += u64::try_from(count).unwrap_or(u64::MAX);
                    input.extend_from_slice(&chunk[..count]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Reading::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Reading::Failed,
            }
        }
        self.is_paused = true;
        Reading::More
    }

    /// Returns whether input waits to be read, among it perhaps the end of the connection.
    #[must_use]
    pub fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Allows reading again after [`Reading::More`].
    pub fn resume(&mut self) {
        self.is_paused = false;
    }

    /// Buffers output and writes as much of it as the connection accepts.
    ///
    /// # Errors
    /// The connection has failed, or more than `MAX_PENDING_BYTES` would be unsent, as the peer
    /// does not read.
    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.reserve(bytes.len())?;
        match self.output.back_mut() {
            Some(last) if last.len() + bytes.len() <= MAX_SHARED_BYTES => {
                last.extend_from_slice(bytes);
            }
            _ if bytes.is_empty() => {}
            _ => self.output.push_back(bytes.to_vec()),
        }
        self.flush_if_connected()
    }

    /// Does the same without a copy of the bytes.
    ///
    /// # Errors
    /// As for [`Stream::send`].
    pub fn send_vec(&mut self, bytes: Vec<u8>) -> Result<()> {
        self.reserve(bytes.len())?;
        if !bytes.is_empty() {
            self.output.push_back(bytes);
        }
        self.flush_if_connected()
    }

    /// Counts output that is about to be added.
    fn reserve(&mut self, bytes: usize) -> Result<()> {
        // A single message of the largest size is accepted behind a small rest of another one.
        let is_stalled =
            self.unsent_bytes + bytes > MAX_PENDING_BYTES && self.unsent_bytes > MAX_SHARED_BYTES;
        if is_stalled {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.unsent_bytes += bytes;
        Ok(())
    }

    fn flush_if_connected(&mut self) -> Result<()> {
        if self.is_connected {
            return self.flush();
        }
        Ok(())
    }

    /// Closes the sending side.
    ///
    /// # Errors
    /// The connection has failed.
    pub fn finish(&mut self) -> Result<()> {
        self.source.shutdown(std::net::Shutdown::Write)
    }

    fn flush(&mut self) -> Result<()> {
        while let Some(first) = self.output.front() {
            match self.source.write(&first[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.written(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Counts written bytes and releases the memory of pieces that have been written. Of a large piece
    /// half is released at a time, so that moving the rest costs no more than writing it.
    fn written(&mut self, count: usize) {
        self.written += count;
        self.unsent_bytes -= count;
        self.total_written_bytes += u64::try_from(count).unwrap_or(u64::MAX);
        let Some(first) = self.output.front_mut() else {
            return;
        };
        if self.written == first.len() {
            self.output.pop_front();
            self.written = 0;
        } else if self.written >= RELEASED_BYTES && self.written * 2 >= first.len() {
            first.drain(..self.written);
            first.shrink_to_fit();
            self.written = 0;
        }
    }
}
