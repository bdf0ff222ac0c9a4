//! Binary encoding of messages and stored values: `postcard`, compressed with `lz4` when large.
//!
//! The first byte states whether the rest is compressed. Decoding enforces a limit on the
//! decompressed size before it allocates, so a forged length cannot exhaust memory.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::Error;
use crate::errors::Result;
use crate::ids::Digest;

const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;
const LENGTH_BYTES: usize = 4;
/// Maximum compression ratio: a byte of an `lz4` block represents at most 255 bytes of content. A
/// message that declares a larger size is rejected before memory is allocated for it.
const MAX_LZ4_RATIO: usize = 255;

/// Minimum size of a message that is compressed.
pub const COMPRESSION_THRESHOLD_BYTES: usize = 512;

/// Encodes a value; compresses encodings of at least [`COMPRESSION_THRESHOLD_BYTES`] if that makes
/// them smaller.
///
/// # Errors
/// [`Error::Malformed`] when the value cannot be represented.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let plain = postcard::to_stdvec(value).map_err(|error| Error::malformed(error.to_string()))?;
    if plain.len() >= COMPRESSION_THRESHOLD_BYTES {
        let compressed = lz4_flex::block::compress_prepend_size(&plain);
        if compressed.len() < plain.len() {
            return Ok(tagged(COMPRESSED, &compressed));
        }
    }
    Ok(tagged(PLAIN, &plain))
}

/// Decodes a value whose uncompressed encoding has at most `limit_bytes`.
///
/// # Errors
/// [`Error::Malformed`] for an invalid encoding, [`Error::TooLarge`] above the limit.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], limit_bytes: usize) -> Result<T> {
    let Some((tag, body)) = bytes.split_first() else {
        return Err(Error::malformed("empty message"));
    };
    match *tag {
        PLAIN => {
            check_size(body.len(), limit_bytes)?;
            decode_plain(body)
        }
        COMPRESSED => {
            let plain = decompress(body, limit_bytes)?;
            decode_plain(&plain)
        }
        other => Err(Error::malformed(format!("unknown encoding {other}"))),
    }
}

/// Returns the digest of a byte string.
#[must_use]
pub fn digest(bytes: &[u8]) -> Digest {
    let hash = blake3::hash(bytes);
    let mut digest = Digest::default();
    for (byte, hashed) in digest.iter_mut().zip(hash.as_bytes()) {
        *byte = *hashed;
    }
    digest
}

/// Returns the digest of a value's canonical encoding.
///
/// # Errors
/// [`Error::Malformed`] when the value cannot be represented.
pub fn digest_of<T: Serialize>(value: &T) -> Result<Digest> {
    let plain = postcard::to_stdvec(value).map_err(|error| Error::malformed(error.to_string()))?;
    Ok(digest(&plain))
}

fn tagged(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(body.len() + 1);
    bytes.push(tag);
    bytes.extend_from_slice(body);
    bytes
}

fn decompress(body: &[u8], limit_bytes: usize) -> Result<Vec<u8>> {
    let Some(length) = body.first_chunk::<LENGTH_BYTES>() else {
        return Err(Error::malformed(
            "compressed message ends within its length prefix",
        ));
    };
    let size_bytes = u32::from_le_bytes(*length) as usize;
    check_size(size_bytes, limit_bytes)?;
    let compressed_bytes = body.len() - LENGTH_BYTES;
    if size_bytes > compressed_bytes.saturating_mul(MAX_LZ4_RATIO) {
        return Err(Error::malformed(
            "declared size of a compressed message exceeds the LZ4 ratio",
        ));
    }
    lz4_flex::block::decompress(&body[LENGTH_BYTES..], size_bytes)
        .map_err(|error| Error::malformed(error.to_string()))
}

fn decode_plain<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(Error::malformed(format!(
            "{} trailing bytes after the message",
            rest.len()
        ))),
        Err(error) => Err(Error::malformed(error.to_string())),
    }
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
