//! Framing of links. Every message is split into fragments, so that a large message does not
//! block the small ones queued behind it.
//!
//! A fragment is a header of nine bytes (length of the content, stream number, flag of the last
//! fragment) followed by its content.

use hemlockfall_core::errors::Error;
use hemlockfall_core::errors::Result;
use hemlockfall_core::units::KIB;
use hemlockfall_core::units::MIB;

/// Largest content of one fragment.
pub const FRAGMENT_BYTES: usize = 64 * KIB;
/// Largest message; the largest allowed body fits with its headers.
pub const MESSAGE_LIMIT_BYTES: usize = 16 * MIB;
/// Size of a fragment's header.
pub const HEADER_BYTES: usize = 9;

/// Largest number of unfinished messages of a peer on one link.
const MAX_OPEN_STREAMS: usize = 256;
/// Largest total size of a peer's unfinished messages on one link. A sender interleaves the
/// messages of its queue, which holds 32 MiB by default.
pub const OPEN_LIMIT_BYTES: usize = 64 * MIB;
/// Flag of the last fragment of a message.
const LAST_FLAG: u8 = 1;

/// Appends one fragment to an output buffer.
pub fn write_fragment(out: &mut Vec<u8>, stream: u32, content: &[u8], last: bool) {
    // Content is at most FRAGMENT_BYTES long, which fits in 32 bits.
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&stream.to_le_bytes());
    out.push(u8::from(last) * LAST_FLAG);
    out.extend_from_slice(content);
}

/// Reassembles messages from their fragments.
#[derive(Debug, Default)]
pub struct Assembler {
    /// Sorted by stream.
    open: Vec<OpenStream>,
    open_bytes: usize,
}

#[derive(Debug)]
struct OpenStream {
    stream: u32,
    content: Vec<u8>,
}

/// Result of one parsing step.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed {
    /// More bytes are needed.
    Incomplete,
    /// A fragment was consumed; its message is not complete yet.
    Fragment {
        /// Bytes consumed.
        used_bytes: usize,
    },
    /// A fragment completed a message.
    Message {
        /// Bytes consumed.
        used_bytes: usize,
        /// The message.
        content: Vec<u8>,
    },
}

impl Assembler {
    /// Consumes at most one fragment from the start of the input.
    ///
    /// # Errors
    /// [`Error::TooLarge`] and [`Error::Malformed`]; the link must then be closed.
    pub fn parse(&mut self, input: &[u8]) -> Result<Parsed> {
        let Some((header, rest)) = input.split_first_chunk::<HEADER_BYTES>() else {
            return Ok(Parsed::Incomplete);
        };
        let [l0, l1, l2, l3, s0, s1, s2, s3, flags] = *header;
        let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
        let stream = u32::from_le_bytes([s0, s1, s2, s3]);
        if length > FRAGMENT_BYTES {
            return Err(Error::TooLarge {
                size_bytes: length,
                limit_bytes: FRAGMENT_BYTES,
            });
        }
        let Some(content) = rest.get(..length) else {
            return Ok(Parsed::Incomplete);
        };
        if flags & !LAST_FLAG != 0 {
            return Err(Error::malformed("unknown flags of a fragment"));
        }
        self.add(stream, content, flags == LAST_FLAG, HEADER_BYTES + length)
    }

    /// Returns the total size of the unfinished messages.
    #[must_use]
    pub fn open_bytes(&self) -> usize {
        self.open_bytes
    }

    fn add(
        &mut self,
        stream: u32,
        content: &[u8],
        last: bool,
        used_bytes: usize,
    ) -> Result<Parsed> {
        let found = self.open.binary_search_by_key(&stream, |open| open.stream);
        if last {
            let mut message = found.map_or_else(|_| Vec::new(), |i| self.open.remove(i).content);
            self.open_bytes -= message.len();
            append(&mut message, content)?;
            return Ok(Parsed::Message {
                used_bytes,
                content: message,
            });
        }
        check_size(self.open_bytes + content.len(), OPEN_LIMIT_BYTES)?;
        match found {
            Ok(index) => append(&mut self.open[index].content, content)?,
            Err(_) if self.open.len() >= MAX_OPEN_STREAMS => {
                return Err(Error::malformed("too many unfinished messages"));
            }
            Err(index) => {
                self.open.insert(
                    index,
                    OpenStream {
                        stream,
                        content: content.to_vec(),
                    },
                );
            }
        }
        self.open_bytes += content.len();
        Ok(Parsed::Fragment { used_bytes })
    }
}

fn append(message: &mut Vec<u8>, content: &[u8]) -> Result<()> {
    check_size(message.len() + content.len(), MESSAGE_LIMIT_BYTES)?;
    message.extend_from_slice(content);
    Ok(())
}

fn check_size(size_bytes: usize, limit_bytes: usize) -> Result<()> {
    if size_bytes > limit_bytes {
        return Err(Error::TooLarge {
            size_bytes,
            limit_bytes,
        });
    }
    Ok(())
}
