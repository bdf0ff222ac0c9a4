//! Result codes and the error type of the core crate.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Result type of the core crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Number that identifies a kind of failure to operators and programs.
///
/// 1xxx settings, 2xxx catalogue, 3xxx requests, 4xxx store, 5xxx peers, 6xxx moves, 7xxx
/// command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResultCode(pub u16);

impl fmt::Display for ResultCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "HF-{:04}", self.0)
    }
}

/// The settings file cannot be read or is not TOML.
pub const SETTINGS_UNREADABLE: ResultCode = ResultCode(1001);
/// The settings contain unknown keys or values outside their range.
pub const SETTINGS_INVALID: ResultCode = ResultCode(1002);
/// The catalogue file cannot be read or is not TOML.
pub const CATALOGUE_UNREADABLE: ResultCode = ResultCode(2001);
/// The catalogue or an edit violates a rule of the model.
pub const CATALOGUE_INVALID: ResultCode = ResultCode(2002);
/// The named entry does not exist.
pub const CATALOGUE_NOT_FOUND: ResultCode = ResultCode(2404);
/// The entry changed since the operator read it.
pub const CATALOGUE_CONFLICT: ResultCode = ResultCode(2409);
/// Bytes from a peer or the store could not be decoded.
pub const MESSAGE_MALFORMED: ResultCode = ResultCode(5001);
/// The message exceeds its size limit.
pub const MESSAGE_TOO_LARGE: ResultCode = ResultCode(5002);
/// The state of the move does not allow the requested change.
pub const MOVE_REFUSED: ResultCode = ResultCode(6001);

/// Mistake in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingMistake {
    /// Dotted key, such as `node.caller_address`.
    pub key: String,
    /// Value or key found in the file.
    pub found: String,
    /// Allowed values.
    pub allowed: String,
}

impl fmt::Display for SettingMistake {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: found {}, allowed: {}",
            self.key, self.found, self.allowed
        )
    }
}

/// Error of the core crate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A settings file cannot be read or parsed.
    SettingsUnreadable {
        /// File name.
        file: String,
        /// Reason given by the reader or parser.
        reason: String,
    },
    /// A settings file contains mistakes; all of them are listed.
    SettingsInvalid {
        /// File name.
        file: String,
        /// Every mistake in the file.
        mistakes: Vec<SettingMistake>,
    },
    /// A catalogue file cannot be read or parsed.
    CatalogueUnreadable {
        /// File name.
        file: String,
        /// Reason given by the reader or parser.
        reason: String,
    },
    /// A catalogue violates rules of the model; all violations are listed.
    CatalogueInvalid {
        /// Description of every violation, with the names involved.
        violations: Vec<String>,
    },
    /// An entry does not exist.
    EntryNotFound {
        /// Name of the service.
        service: String,
    },
    /// An entry changed since the operator read it.
    Conflict {
        /// Name of the service.
        service: String,
        /// Revision that the operator saw.
        seen_revision: u64,
        /// Revision of the last change of the entry.
        current_revision: u64,
        /// Summaries of the changes since.
        changes: Vec<String>,
    },
    /// A message cannot be decoded.
    Malformed {
        /// What was expected and what failed.
        reason: String,
    },
    /// A message exceeds its limit.
    TooLarge {
        /// Size found, in bytes.
        size_bytes: usize,
        /// Size allowed, in bytes.
        limit_bytes: usize,
    },
    /// The state of a move does not allow a change.
    MoveRefused {
        /// Name of the service.
        service: String,
        /// Reason for the refusal.
        reason: String,
    },
}

impl Error {
    /// Creates a catalogue error with one violation.
    #[must_use]
    pub fn invalid(violation: impl Into<String>) -> Self {
        Self::CatalogueInvalid {
            violations: vec![violation.into()],
        }
    }

    /// Creates a decoding error.
    #[must_use]
    pub fn malformed(reason: impl Into<String>) -> Self {
        Self::Malformed {
            reason: reason.into(),
        }
    }

    /// Creates an error for a change that a move's state does not allow.
    #[must_use]
    pub fn move_refused(service: impl Into<String>, reason: impl Into<String>) -> Self {
        Self::MoveRefused {
            service: service.into(),
            reason: reason.into(),
        }
    }

    /// Returns the result code of the error.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::SettingsUnreadable { .. } => SETTINGS_UNREADABLE,
            Self::SettingsInvalid { .. } => SETTINGS_INVALID,
            Self::CatalogueUnreadable { .. } => CATALOGUE_UNREADABLE,
            Self::CatalogueInvalid { .. } => CATALOGUE_INVALID,
            Self::EntryNotFound { .. } => CATALOGUE_NOT_FOUND,
            Self::Conflict { .. } => CATALOGUE_CONFLICT,
            Self::Malformed { .. } => MESSAGE_MALFORMED,
            Self::TooLarge { .. } => MESSAGE_TOO_LARGE,
            Self::MoveRefused { .. } => MOVE_REFUSED,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ", self.code())?;
        match self {
            Self::SettingsUnreadable { file, reason }
            | Self::CatalogueUnreadable { file, reason } => {
                write!(formatter, "{file}: {reason}")
            }
            Self::SettingsInvalid { file, mistakes } => {
                write!(formatter, "{file}: {} mistake(s)", mistakes.len())?;
                write_lines(formatter, mistakes)
            }
            Self::CatalogueInvalid { violations } => {
                write!(
                    formatter,
                    "catalogue refused, {} violation(s)",
                    violations.len()
                )?;
                write_lines(formatter, violations)
            }
            Self::EntryNotFound { service } => {
                write!(formatter, "the catalogue has no entry `{service}`")
            }
            Self::Conflict {
                service,
                seen_revision,
                current_revision,
                changes,
            } => {
                write!(
                    formatter,
                    "entry `{service}` changed: seen revision {seen_revision}, now {current_revision}"
                )?;
                write_lines(formatter, changes)
            }
            Self::Malformed { reason } => write!(formatter, "malformed message: {reason}"),
            Self::TooLarge {
                size_bytes,
                limit_bytes,
            } => {
                write!(
                    formatter,
                    "{size_bytes} bytes exceed the limit of {limit_bytes} bytes"
                )
            }
            Self::MoveRefused { service, reason } => {
                write!(formatter, "move of `{service}`: {reason}")
            }
        }
    }
}

impl std::error::Error for Error {}

fn write_lines<T: fmt::Display>(formatter: &mut fmt::Formatter<'_>, lines: &[T]) -> fmt::Result {
    for line in lines {
        write!(formatter, "\n  {line}")?;
    }
    Ok(())
}
