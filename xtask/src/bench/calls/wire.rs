//! Small blocking HTTP/1.1 client and reader with an overhead of a few microseconds, so that the
//! bench hardly distorts its measurements.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_BODY_BYTES: usize = 1 << 20;

/// HTTP request or answer.
#[derive(Debug)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Header lines as received.
    pub headers: Vec<String>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find_map(|line| {
            let (header_name, value) = line.split_once(':')?;
            header_name.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Returns the status of an answer, or 0 if the first line has none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; returns `None` at the end of the stream.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        first_line: first_line.trim_end().to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        message.headers.push(line.to_owned());
    }
    let length = message.header("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    if length > MAX_BODY_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes an answer with a single write; status 503 is marked as not run.
pub fn write_answer(stream: &mut TcpStream, status: u16, body: &[u8]) -> io::Result<()> {
    let not_run = if status == 503 {
        "hemlockfall-not-run: true\r\n"
    } else {
        ""
    };
    let mut bytes = format!(
        "HTTP/1.1 {status} Status\r\n{not_run}content-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Client that sends requests to one address over one persistent connection.
pub struct Client {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    /// Creates a client that connects at its first request.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Sends a request and reads its answer. After a failure, the next request opens a new
    /// connection.
    pub fn send(
        &mut self,
        host: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: Duration,
    ) -> io::Result<Message> {
        let mut bytes = format!(
            "POST /work HTTP/1.1\r\nhost: {host}\r\ncontent-length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            bytes.push_str(name);
            bytes.push_str(": ");
            bytes.push_str(value);
            bytes.push_str("\r\n");
        }
        bytes.push_str("\r\n");
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(body);
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect()?,
        };
        self.exchange(connection, &bytes, timeout)
    }

    fn connect(&self) -> io::Result<BufReader<TcpStream>> {
        let stream = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        Ok(BufReader::new(stream))
    }

    fn exchange(
        &mut self,
        mut connection: BufReader<TcpStream>,
        bytes: &[u8],
        timeout: Duration,
    ) -> io::Result<Message> {
        connection
            .get_ref()
            .set_read_timeout(Some(timeout.max(Duration::from_millis(1))))?;
        connection.get_mut().write_all(bytes)?;
        let message = read(&mut connection)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let closes = message.header("connection").is_some_and(|v| v == "close");
        if !closes {
            self.connection = Some(connection);
        }
        Ok(message)
    }
}

/// Sleeps until a point in time; returns at once if it has passed.
pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
