//! The command `node`.

use hemlockfall_core::settings::Settings;

use crate::cli::arguments::NodeOptions;
use crate::cli::failure::Result;
use crate::operator::errors;
use crate::operator::errors::OperatorError;

pub(crate) fn run(options: &NodeOptions) -> Result<()> {
    let settings = Settings::load(&options.settings)?;
    run_node(&settings).map_err(|reason| OperatorError::failed(errors::NODE_FAILED, reason).into())
}

/// Runs the node until it is told to stop.
fn run_node(_settings: &Settings) -> std::result::Result<(), String> {
    Err("this build has no node runtime".to_owned())
}
