//! Command `node`.

use hemlockfall_core::settings::Settings;

use crate::cli::arguments::NodeOptions;
use crate::cli::failure::Result;
use crate::node;
use crate::operator::errors;
use crate::operator::errors::OperatorError;

pub(crate) fn run(options: &NodeOptions) -> Result<()> {
    let settings = Settings::load(&options.settings)?;
    node::run(&settings).map_err(|reason| OperatorError::failed(errors::NODE_FAILED, reason).into())
}
