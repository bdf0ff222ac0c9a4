//! Command `sidecar`.

use hemlockfall_core::errors::ResultCode;
use hemlockfall_platform::Adapter;
use hemlockfall_sidecar::node;

use crate::cli::arguments::SidecarOptions;
use crate::cli::failure::Result;
use crate::operator::errors::OperatorError;

/// The node cannot start or has ended with an error.
const SIDECAR_FAILED: ResultCode = ResultCode(3707);

pub(crate) fn run(options: &SidecarOptions) -> Result<()> {
    let file = options
        .settings
        .clone()
        .unwrap_or_else(hemlockfall_platform::settings_file);
    node::run(&file, Box::new(Adapter))
        .map_err(|reason| OperatorError::failed(SIDECAR_FAILED, reason).into())
}
