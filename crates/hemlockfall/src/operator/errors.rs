//! Result codes and the error type of the operator interface and the command line.

use std::fmt;

use hemlockfall_core::errors::ResultCode;
use hemlockfall_core::ids::OperationId;
use hemlockfall_core::kernel;
use hemlockfall_store::errors::Effect;
use serde::Deserialize;
use serde::Serialize;

/// Result type of the operator interface.
pub type Result<T> = std::result::Result<T, OperatorError>;

/// The command line is not valid.
pub const USAGE: ResultCode = ResultCode(7001);
/// The parameters of a JSON-RPC call are not valid.
pub const PARAMETERS_INVALID: ResultCode = ResultCode(7002);
/// No connection to the node could be opened.
pub const NODE_UNREACHABLE: ResultCode = ResultCode(7003);
/// The node did not answer in time.
pub const NODE_UNRESPONSIVE: ResultCode = ResultCode(7004);
/// Too many operator requests are queued on the node.
pub const NODE_BUSY: ResultCode = ResultCode(7005);
/// The node is shutting down and accepts no operator requests.
pub const NODE_STOPPING: ResultCode = ResultCode(7006);
/// The node's answer cannot be decoded.
pub const ANSWER_MALFORMED: ResultCode = ResultCode(7007);
/// The output cannot be written.
pub const OUTPUT_FAILED: ResultCode = ResultCode(7008);
/// The node cannot listen on the operator address.
pub const LISTEN_FAILED: ResultCode = ResultCode(7009);
/// The node ended with a failure.
pub const NODE_FAILED: ResultCode = ResultCode(7010);

/// Effect of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Nothing was changed.
    Failed,
    /// Nothing was changed, because the entry had been changed since the operator read it.
    Conflict,
    /// The change may have taken effect.
    Unknown,
}

/// Failure with a result code; it is the data of a JSON-RPC error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorError {
    /// Result code.
    pub code: ResultCode,
    /// Description of the failure.
    pub message: String,
    /// Effect of the call.
    pub outcome: Outcome,
    /// Identifier of the change whose outcome is unknown.
    pub operation_id: Option<OperationId>,
}

impl OperatorError {
    /// Creates an error for a call that changed nothing.
    #[must_use]
    pub fn failed(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            outcome: Outcome::Failed,
            operation_id: None,
        }
    }

    /// Creates an error for a change that may have taken effect.
    #[must_use]
    pub fn unknown(code: ResultCode, message: impl Into<String>, id: OperationId) -> Self {
        Self {
            code,
            message: message.into(),
            outcome: Outcome::Unknown,
            operation_id: Some(id),
        }
    }

    /// Creates an error for a call that was not answered. A call without an operation id only
    /// reads, so it changed nothing.
    #[must_use]
    pub fn unanswered(
        code: ResultCode,
        message: impl Into<String>,
        operation_id: Option<OperationId>,
    ) -> Self {
        match operation_id {
            Some(id) => Self::unknown(code, message, id),
            None => Self::failed(code, message),
        }
    }

    /// Returns advice for the operator on how to proceed.
    #[must_use]
    pub fn next_step(&self) -> String {
        match (self.outcome, self.operation_id) {
            (Outcome::Unknown, Some(id)) => format!(
                "do not repeat the change yet; look for operation {id} in `hemlockfall status` \
                 or `hemlockfall catalogue history ENTRY`"
            ),
            _ => help(self.code).to_owned(),
        }
    }
}

fn help(code: ResultCode) -> &'static str {
    let specs = kernel::codes();
    let found = specs.iter().find(|spec| spec.code == code);
    found.map_or("see `hemlockfall errors`", |spec| spec.help)
}

/// Removes the result code with which messages of the other crates begin; it is printed separately
/// here.
fn without_code(code: ResultCode, message: &str) -> String {
    let prefix = format!("{code}: ");
    message.strip_prefix(&prefix).unwrap_or(message).to_owned()
}

impl From<hemlockfall_core::errors::Error> for OperatorError {
    fn from(error: hemlockfall_core::errors::Error) -> Self {
        let outcome = match &error {
            hemlockfall_core::errors::Error::Conflict { .. } => Outcome::Conflict,
            _ => Outcome::Failed,
        };
        Self {
            code: error.code(),
            message: without_code(error.code(), &error.to_string()),
            outcome,
            operation_id: None,
        }
    }
}

impl From<hemlockfall_store::Error> for OperatorError {
    fn from(error: hemlockfall_store::Error) -> Self {
        let outcome = match error.effect() {
            Effect::None => Outcome::Failed,
            Effect::Conflict => Outcome::Conflict,
            Effect::Unknown => Outcome::Unknown,
        };
        let operation_id = match &error {
            hemlockfall_store::Error::CommitUnknown { pending, .. } => Some(pending.operation_id),
            _ => None,
        };
        Self {
            code: error.code(),
            message: without_code(error.code(), &error.to_string()),
            outcome,
            operation_id,
        }
    }
}

impl fmt::Display for OperatorError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.code, self.message)
    }
}

impl std::error::Error for OperatorError {}
