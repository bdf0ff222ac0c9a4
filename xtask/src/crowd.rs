//! Callers that stay outside the limits of the mesh, a crowd of them on a few threads.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::soak::caller::HOST;

/// Time between two turns of the callers of a crowd.
const TURN: Duration = Duration::from_millis(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest number of bytes that a caller sends without reading an answer. It bounds what the crowd
/// itself leaves in the kernel.
const MAX_SENT_BYTES: usize = 1024 * 1024;
/// Turns between two steps of callers that send or read slowly.
const TRICKLE_TURNS: u32 = 20;
const READ_BYTES: usize = 64 * 1024;
/// Bytes that [`Behaviour::ReadSlowly`] reads every [`TRICKLE_TURNS`].
const SLOW_READ_BYTES: usize = 256;
const STATUS_LINE: &[u8] = b"HTTP/1.1 ";
const REFUSED: &[u8] = b"HTTP/1.1 503";
/// Size of a body that fits the limit of the testbed's configuration.
const UPLOAD_BYTES: usize = 1_000_000;
/// Size of a head that fits that limit.
const HEAD_BYTES: usize = 8192;
/// Path of an answer of 3 MB.
pub const LARGE_PATH: &str = "/stock/large/3000000";

/// What each caller of a crowd does on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Sends its input again and again and reads no answer.
    SendOn,
    /// Sends its input once and keeps the connection open.
    SendOnce,
    /// Sends one byte of its input at a time.
    Trickle,
    /// Sends its input once and reads a little of the answer at a time; ends the connection when it is
    /// refused.
    ReadSlowly,
    /// Sends its input, closes the connection at once and opens the next one.
    Leave,
    /// Sends its input again and again and reads the answers.
    Read,
}

/// Callers that behave in the same way, each on a connection of its own.
#[derive(Clone, Debug)]
pub struct Crowd {
    /// Address that they connect to.
    pub node: SocketAddr,
    /// Number of callers.
    pub callers: usize,
    /// What each of them does.
    pub behaviour: Behaviour,
    /// Bytes that each caller sends.
    pub input: Vec<u8>,
    /// Whether callers whose connections were closed come back.
    pub returns: bool,
}

/// Crowd that goes on until it is dropped.
#[derive(Debug)]
pub struct RunningCrowd {
    stop: Arc<AtomicBool>,
    /// Answers that the callers have read, at least.
    answers: Arc<AtomicU64>,
    players: Vec<JoinHandle<()>>,
}

struct Caller {
    stream: Option<TcpStream>,
    sent: usize,
    has_ended: bool,
}

/// Returns a request without a body.
#[must_use]
pub fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: crowd\r\n\r\n").into_bytes()
}

/// Returns an upload that lacks its last byte.
#[must_use]
pub fn unfinished_upload() -> Vec<u8> {
    let mut input = format!(
        "POST /stock/1 HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: upload\r\n\
         content-length: {UPLOAD_BYTES}\r\n\r\n"
    )
    .into_bytes();
    input.resize(input.len() + UPLOAD_BYTES - 1, b'u');
    input
}

/// Returns a request head that does not end.
#[must_use]
pub fn unfinished_head() -> Vec<u8> {
    let head = format!("GET /stock/1 HTTP/1.1\r\nhost: {HOST}\r\nx-long: ");
    let mut input = head.into_bytes();
    input.resize(HEAD_BYTES, b'a');
    input
}

impl Crowd {
    /// Starts the callers; `threads` threads share them.
    #[must_use]
    pub fn start(self, threads: usize) -> RunningCrowd {
        let stop: Arc<AtomicBool> = Arc::default();
        let answers: Arc<AtomicU64> = Arc::default();
        let players = (0..threads)
            .map(|number| {
                let mut crowd = self.clone();
                crowd.callers =
                    self.callers / threads + usize::from(number < self.callers % threads);
                let (stop, answers) = (Arc::clone(&stop), Arc::clone(&answers));
                thread::spawn(move || crowd.play(&stop, &answers))
            })
            .collect();
        RunningCrowd {
            stop,
            answers,
            players,
        }
    }

    fn play(&self, stop: &AtomicBool, answers: &AtomicU64) {
        let mut callers: Vec<Caller> = (0..self.callers)
            .map(|_| Caller {
                stream: None,
                sent: 0,
                has_ended: false,
            })
            .collect();
        let mut turn = 0_u32;
        while !stop.load(Ordering::SeqCst) {
            turn = turn.wrapping_add(1);
            for caller in &mut callers {
                let read = self.take_turn(caller, turn);
                answers.fetch_add(read, Ordering::SeqCst);
                if stop.load(Ordering::SeqCst) {
                    return;
                }
            }
            if self.behaviour != Behaviour::Leave {
                thread::sleep(TURN);
            }
        }
    }

    /// Plays one turn of a caller and returns the number of answers that it has read.
    fn take_turn(&self, caller: &mut Caller, turn: u32) -> u64 {
        let mut answers = 0;
        if caller.stream.is_none() && (!caller.has_ended || self.returns) {
            caller.stream = connect(self.node);
            caller.sent = 0;
        }
        let Some(stream) = &mut caller.stream else {
            return answers;
        };
        let alive = match self.behaviour {
            Behaviour::SendOn if caller.sent > MAX_SENT_BYTES => Ok(()),
            Behaviour::SendOn => send_on(stream, &self.input, &mut caller.sent, MAX_SENT_BYTES),
            Behaviour::SendOnce => send_on(stream, &self.input, &mut caller.sent, self.input.len()),
            Behaviour::Trickle if !turn.is_multiple_of(TRICKLE_TURNS) => Ok(()),
            Behaviour::Trickle => {
                let next = (caller.sent + 1).min(self.input.len());
                send_on(stream, &self.input[..next], &mut caller.sent, next).and_then(|()| {
                    // Shows whether the node has closed the connection.
                    read_all(stream, &mut answers)
                })
            }
            Behaviour::ReadSlowly => {
                let sent = send_on(stream, &self.input, &mut caller.sent, self.input.len());
                sent.and_then(|()| {
                    if !turn.is_multiple_of(TRICKLE_TURNS) {
                        return Ok(());
                    }
                    let mut block = [0; SLOW_READ_BYTES];
                    read_block(stream, &mut block)?;
                    if block.starts_with(REFUSED) {
                        return Err(ErrorKind::ConnectionRefused.into());
                    }
                    Ok(())
                })
            }
            Behaviour::Leave => {
                let _ = send_on(stream, &self.input, &mut caller.sent, self.input.len());
                Err(ErrorKind::ConnectionAborted.into())
            }
            Behaviour::Read => read_all(stream, &mut answers)
                .and_then(|()| send_on(stream, &self.input, &mut caller.sent, usize::MAX)),
        };
        if alive.is_err() {
            caller.stream = None;
            caller.has_ended = self.behaviour != Behaviour::Leave;
        }
        answers
    }
}

impl RunningCrowd {
    /// Returns the number of answers that the callers have read, at least.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.answers.load(Ordering::SeqCst)
    }
}

fn connect(node: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&node, CONNECT_TIMEOUT).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}

/// Sends on from byte `sent` of the repeated input, until `limit` bytes were sent in all or the
/// connection takes no more.
fn send_on(
    stream: &mut TcpStream,
    input: &[u8],
    sent: &mut usize,
    limit: usize,
) -> std::io::Result<()> {
    while *sent < limit {
        match stream.write(&input[*sent % input.len()..]) {
            Ok(count) => *sent += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads what has arrived and counts the answers in it, but those whose status line is split.
fn read_all(stream: &mut TcpStream, answers: &mut u64) -> std::io::Result<()> {
    let mut block = vec![0; READ_BYTES];
    loop {
        let count = read_block(stream, &mut block)?;
        if count == 0 {
            return Ok(());
        }
        let lines = block[..count].split(|byte| *byte == b'\n');
        *answers += lines.filter(|line| line.starts_with(STATUS_LINE)).count() as u64;
    }
}

/// Reads what has arrived, up to the size of a block; returns 0 if nothing has.
fn read_block(stream: &mut TcpStream, block: &mut [u8]) -> std::io::Result<usize> {
    match stream.read(block) {
        Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(0),
        read => read,
    }
}

impl Drop for RunningCrowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for player in self.players.drain(..) {
            // A player that panicked has closed its connections as well.
            let _ = player.join();
        }
    }
}
