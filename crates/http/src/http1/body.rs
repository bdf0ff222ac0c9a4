//! Message bodies: reads bodies in all framings of RFC 9112 (section 6) into memory.

use crate::http::Header;
use crate::http1::HttpError;
use crate::http1::Result;

const MAX_CHUNK_LINE_BYTES: usize = 256;
const MAX_TRAILER_BYTES: usize = 8192;
/// Size of the chunk lines that a body may have beyond the size of its data. Chunks that are mostly
/// framing cost much time and carry little.
const FRAMING_ALLOWANCE_BYTES: usize = 64 * 1024;
/// Smallest step by which a body grows.
const MIN_GROWTH_BYTES: usize = 16 * 1024;
const CRLF: &[u8] = b"\r\n";

/// Framing of a body, which determines where the body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no framing header.
    Absent,
    /// `content-length`.
    Length(usize),
    /// `transfer-encoding: chunked`.
    Chunked,
    /// The body ends when its connection is closed; only responses may have such bodies.
    CloseDelimited,
}

/// Determines the framing of a message from its headers.
///
/// # Errors
/// [`HttpError::AmbiguousFraming`] when the headers allow more than one interpretation,
/// [`HttpError::UnknownCoding`] for transfer codings other than `chunked`, and
/// [`HttpError::BodyTooLarge`] when the declared length exceeds `usize`.
pub fn framing(headers: &[Header]) -> Result<Framing> {
    let values = |name: &'static str| {
        headers
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
    };
    let mut codings = values("transfer-encoding");
    let mut lengths = values("content-length");
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(Framing::Absent),
        (Some(coding), None) => {
            if codings.next().is_some() {
                return Err(HttpError::AmbiguousFraming);
            }
            if !coding.value.eq_ignore_ascii_case("chunked") {
                return Err(HttpError::UnknownCoding);
            }
            Ok(Framing::Chunked)
        }
        (None, Some(length)) => {
            if lengths.any(|other| other.value != length.value) {
                return Err(HttpError::AmbiguousFraming);
            }
            parse_length(&length.value).map(Framing::Length)
        }
        (Some(_), Some(_)) => Err(HttpError::AmbiguousFraming),
    }
}

fn parse_length(text: &str) -> Result<usize> {
    // `usize::from_str` accepts a leading `+`, which the grammar of HTTP does not allow.
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HttpError::AmbiguousFraming);
    }
    text.parse().map_err(|_| HttpError::BodyTooLarge)
}

/// Checks a complete chunk size line. The length limit is applied here too, so that it does not
/// depend on how the input is split. A bare LF within an extension is refused because some
/// recipients take it for the end of the line.
fn check_chunk_line(line: &[u8]) -> Result<()> {
    if line.len() > MAX_CHUNK_LINE_BYTES {
        return Err(HttpError::Malformed("a chunk size line is too long"));
    }
    let content = line.strip_suffix(CRLF).unwrap_or(line);
    if content.contains(&b'\n') {
        return Err(HttpError::Malformed("a chunk size is not valid"));
    }
    Ok(())
}

/// Appends to a body of which at least `wanted` bytes are missing. Its memory grows by doubling, but
/// not beyond what is missing.
pub fn append_to_body(body: &mut Vec<u8>, bytes: &[u8], wanted: usize) {
    if body.capacity() - body.len() < bytes.len() {
        let growth = wanted.min(body.len().max(MIN_GROWTH_BYTES));
        body.reserve_exact(growth.max(bytes.len()));
    }
    body.extend_from_slice(bytes);
}

/// Incremental reader of one body.
#[derive(Debug)]
pub struct BodyReader {
    stage: Stage,
    limit_bytes: usize,
    body: Vec<u8>,
    /// Size of the chunk lines read so far.
    framing_bytes: usize,
}

#[derive(Debug)]
enum Stage {
    Remaining { bytes: usize },
    ChunkSize,
    ChunkData { bytes: usize },
    ChunkEnd,
    Trailers { read_bytes: usize },
    CloseDelimited,
    Done,
}

impl BodyReader {
    /// Creates a reader for a body.
    ///
    /// # Errors
    /// [`HttpError::BodyTooLarge`] when the declared length exceeds the limit.
    pub fn new(framing: Framing, limit_bytes: usize) -> Result<Self> {
        let stage = match framing {
            Framing::Absent | Framing::Length(0) => Stage::Done,
            Framing::Length(bytes) if bytes > limit_bytes => return Err(HttpError::BodyTooLarge),
            Framing::Length(bytes) => Stage::Remaining { bytes },
            Framing::Chunked => Stage::ChunkSize,
            Framing::CloseDelimited => Stage::CloseDelimited,
        };
        Ok(Self {
            stage,
            limit_bytes,
            body: Vec::new(),
            framing_bytes: 0,
        })
    }

    /// Returns whether the body is complete.
    #[must_use]
    pub fn is_done(&self) -> bool {
        matches!(self.stage, Stage::Done)
    }

    /// Returns the size of the buffer for the body.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.body.capacity()
    }

    /// Completes a close-delimited body after its connection has ended. Returns false when a body
    /// of another framing is incomplete.
    pub fn finish_at_end(&mut self) -> bool {
        if matches!(self.stage, Stage::CloseDelimited) {
            self.stage = Stage::Done;
        }
        self.is_done()
    }

    /// Returns the bytes read.
    #[must_use]
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// Consumes input and returns the number of bytes used.
    ///
    /// # Errors
    /// [`HttpError::BodyTooLarge`] and [`HttpError::Malformed`].
    pub fn push(&mut self, input: &[u8]) -> Result<usize> {
        let mut used = 0;
        while !self.is_done() {
            let step = self.step(&input[used..])?;
            if step == 0 {
                break;
            }
            used += step;
        }
        Ok(used)
    }

    fn step(&mut self, input: &[u8]) -> Result<usize> {
        match self.stage {
            Stage::Done => Ok(0),
            Stage::CloseDelimited => self.append(input, input.len()),
            Stage::Remaining { bytes } => {
                let appended = self.append(input, bytes)?;
                let left = bytes - appended;
                self.stage = if left == 0 {
                    Stage::Done
                } else {
                    Stage::Remaining { bytes: left }
                };
                Ok(appended)
            }
            Stage::ChunkSize => self.read_chunk_size(input),
            Stage::ChunkData { bytes } => {
                let appended = self.append(input, bytes)?;
                let left = bytes - appended;
                self.stage = if left == 0 {
                    Stage::ChunkEnd
                } else {
                    Stage::ChunkData { bytes: left }
                };
                Ok(appended)
            }
            Stage::ChunkEnd => {
                if input.len() < CRLF.len() {
                    return Ok(0);
                }
                if !input.starts_with(CRLF) {
                    return Err(HttpError::Malformed("a chunk does not end where it should"));
                }
                self.stage = Stage::ChunkSize;
                Ok(CRLF.len())
            }
            Stage::Trailers { read_bytes } => self.skip_trailer(input, read_bytes),
        }
    }

    fn append(&mut self, input: &[u8], wanted: usize) -> Result<usize> {
        let appended = input.len().min(wanted);
        if self.body.len() + appended > self.limit_bytes {
            return Err(HttpError::BodyTooLarge);
        }
        append_to_body(&mut self.body, &input[..appended], wanted);
        Ok(appended)
    }

    fn read_chunk_size(&mut self, input: &[u8]) -> Result<usize> {
        // `parse_chunk_size` reads a line without digits as zero, which would end the body.
        if input.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(HttpError::Malformed("a chunk size is not valid"));
        }
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Partial) if input.len() >= MAX_CHUNK_LINE_BYTES => {
                Err(HttpError::Malformed("a chunk size line is too long"))
            }
            Ok(httparse::Status::Partial) => Ok(0),
            Ok(httparse::Status::Complete((used, size))) => {
                check_chunk_line(&input[..used])?;
                self.framing_bytes += used;
                if self.framing_bytes > self.body.len() + FRAMING_ALLOWANCE_BYTES {
                    return Err(HttpError::Malformed("the chunks are mostly framing"));
                }
                let size = usize::try_from(size).map_err(|_| HttpError::BodyTooLarge)?;
                if size > self.limit_bytes {
                    return Err(HttpError::BodyTooLarge);
                }
                self.stage = match size {
                    0 => Stage::Trailers { read_bytes: 0 },
                    bytes => Stage::ChunkData { bytes },
                };
                Ok(used)
            }
            Err(_) => Err(HttpError::Malformed("a chunk size is not valid")),
        }
    }

    /// Skips one trailer line; trailers are not forwarded.
    fn skip_trailer(&mut self, input: &[u8], read_bytes: usize) -> Result<usize> {
        let Some(end) = input.windows(CRLF.len()).position(|window| window == CRLF) else {
            if read_bytes + input.len() > MAX_TRAILER_BYTES {
                return Err(HttpError::HeadTooLarge);
            }
            return Ok(0);
        };
        let used = end + CRLF.len();
        if read_bytes + used > MAX_TRAILER_BYTES {
            return Err(HttpError::HeadTooLarge);
        }
        self.stage = if end == 0 {
            Stage::Done
        } else {
            Stage::Trailers {
                read_bytes: read_bytes + used,
            }
        };
        Ok(used)
    }
}
