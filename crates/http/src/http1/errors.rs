//! Errors of HTTP message parsing.

use std::fmt;

use hemlockfall_core::errors::ResultCode;

/// Result type of HTTP parsing.
pub type Result<T> = std::result::Result<T, HttpError>;

/// Violation of the protocol or of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The syntax is wrong.
    Malformed(&'static str),
    /// The framing of the body has more than one interpretation.
    AmbiguousFraming,
    /// The start line and headers exceed their limit.
    HeadTooLarge,
    /// The body exceeds its limit.
    BodyTooLarge,
    /// The message did not arrive in time.
    Timeout,
    /// The transfer coding is not `chunked`.
    UnknownCoding,
    /// The expectation is not `100-continue`.
    UnknownExpectation,
    /// The HTTP version is neither 1.0 nor 1.1.
    UnknownVersion,
}

impl HttpError {
    /// Returns the HTTP status of the answer to the caller.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed(_) | Self::AmbiguousFraming => 400,
            Self::Timeout => 408,
            Self::BodyTooLarge => 413,
            Self::UnknownExpectation => 417,
            Self::HeadTooLarge => 431,
            Self::UnknownCoding => 501,
            Self::UnknownVersion => 505,
        }
    }

    /// Returns the result code.
    #[must_use]
    pub fn code(self) -> ResultCode {
        match self {
            Self::Malformed(_) | Self::UnknownCoding | Self::UnknownVersion => ResultCode(3901),
            Self::AmbiguousFraming => ResultCode(3902),
            Self::HeadTooLarge => ResultCode(3903),
            Self::BodyTooLarge => ResultCode(3904),
            Self::Timeout => ResultCode(3905),
            Self::UnknownExpectation => ResultCode(3906),
        }
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Malformed(what) => what,
            Self::AmbiguousFraming => "the framing of the body is ambiguous",
            Self::HeadTooLarge => "the start line and headers are too large",
            Self::BodyTooLarge => "the body is too large",
            Self::Timeout => "the message did not arrive in time",
            Self::UnknownCoding => "the transfer coding is not supported",
            Self::UnknownExpectation => "the expectation is not supported",
            Self::UnknownVersion => "the HTTP version is not supported",
        };
        write!(formatter, "{}: {text}", self.code())
    }
}

impl std::error::Error for HttpError {}
