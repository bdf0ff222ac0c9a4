//! JSON-RPC methods: names, parameters and their conversion to requests.

use std::time::SystemTime;

use hemlockfall_core::catalogue::edit::Author;
use hemlockfall_core::catalogue::file::ServiceFile;
use hemlockfall_core::ids::MoveId;
use hemlockfall_core::ids::OperationId;
use hemlockfall_core::ids::Revision;
use hemlockfall_core::units;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::operator::request::MoveCommand;
use crate::operator::request::OperatorRequest;
use crate::operator::request::ReportFormat;

pub(crate) const APPLY: &str = "catalogue_apply";
pub(crate) const REMOVE: &str = "catalogue_remove";
pub(crate) const GET: &str = "catalogue_get";
pub(crate) const LIST: &str = "catalogue_list";
pub(crate) const HISTORY: &str = "catalogue_history";
pub(crate) const MOVE: &str = "move_change";
pub(crate) const STATUS: &str = "status";
pub(crate) const REPORT: &str = "report";

/// Largest number of changes in one answer. Keeps the answer well below the size limit.
const MAX_HISTORY: usize = 1_000;

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ApplyParams {
    pub(crate) service: Box<ServiceFile>,
    pub(crate) who: SmolStr,
    pub(crate) operation_id: OperationId,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RemoveParams {
    pub(crate) service: SmolStr,
    #[serde(default)]
    pub(crate) seen_revision: Option<Revision>,
    pub(crate) who: SmolStr,
    pub(crate) operation_id: OperationId,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct GetParams {
    pub(crate) service: SmolStr,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct HistoryParams {
    pub(crate) service: SmolStr,
    pub(crate) limit: usize,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MoveParams {
    pub(crate) service: SmolStr,
    #[serde(default)]
    pub(crate) move_id: Option<MoveId>,
    pub(crate) action: MoveCommand,
    pub(crate) reason: SmolStr,
    pub(crate) who: SmolStr,
    pub(crate) operation_id: OperationId,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ReportParams {
    #[serde(default)]
    pub(crate) format: ReportFormat,
}

fn author(who: SmolStr, operation_id: OperationId) -> Author {
    Author {
        operation_id,
        who,
        at_unix_ms: units::unix_ms(SystemTime::now()),
    }
}

impl From<ApplyParams> for OperatorRequest {
    fn from(params: ApplyParams) -> Self {
        Self::Apply {
            service: params.service,
            author: author(params.who, params.operation_id),
        }
    }
}

impl From<RemoveParams> for OperatorRequest {
    fn from(params: RemoveParams) -> Self {
        Self::Remove {
            service: params.service,
            seen_revision: params.seen_revision,
            author: author(params.who, params.operation_id),
        }
    }
}

impl From<GetParams> for OperatorRequest {
    fn from(params: GetParams) -> Self {
        Self::Get {
            service: params.service,
        }
    }
}

impl From<HistoryParams> for OperatorRequest {
    fn from(params: HistoryParams) -> Self {
        Self::History {
            service: params.service,
            limit: params.limit.min(MAX_HISTORY),
        }
    }
}

impl From<MoveParams> for OperatorRequest {
    fn from(params: MoveParams) -> Self {
        Self::Move {
            service: params.service,
            move_id: params.move_id,
            action: params.action,
            reason: params.reason,
            author: author(params.who, params.operation_id),
        }
    }
}

impl From<ReportParams> for OperatorRequest {
    fn from(params: ReportParams) -> Self {
        Self::Report {
            format: params.format,
        }
    }
}
