//! Report on moves (rollouts), built from stored objects.

use std::time::SystemTime;

use hemlockfall_core::units;
use hemlockfall_moves::record::MoveResult;
use hemlockfall_moves::report::Report;
use hemlockfall_store::Client;
use hemlockfall_store::catalogue;

use crate::operator::errors;
use crate::operator::errors::OperatorError;
use crate::operator::errors::Result;
use crate::operator::request::ReportFormat;

const RESULTS_PREFIX: &str = "moves/result/";

/// Reads the catalogue and the decision records from the store and renders the report.
///
/// # Errors
/// Returns failures of the store and of rendering.
pub fn render(client: &Client, format: ReportFormat) -> Result<String> {
    let stored = catalogue::read(client)?.stored;
    let results = read_results(client)?;
    let now_unix_ms = units::unix_ms(SystemTime::now());
    let report = Report::build(&stored, &results, now_unix_ms);
    let failed = |error: hemlockfall_moves::errors::Error| {
        OperatorError::failed(errors::NODE_FAILED, error.to_string())
    };
    match format {
        ReportFormat::Table => Ok(report.to_table()),
        ReportFormat::Json => report.to_json().map_err(failed),
        ReportFormat::Html => report.to_html().map_err(failed),
    }
}

/// Reads the decision records. A record that cannot be decoded is skipped; the report then shows
/// its move from the catalogue entry.
fn read_results(client: &Client) -> Result<Vec<MoveResult>> {
    let mut results = Vec::new();
    for listed in client.list(RESULTS_PREFIX)? {
        let Some(object) = client.get(&listed.key)? else {
            continue;
        };
        match serde_json::from_slice(&object.body) {
            Ok(result) => results.push(result),
            Err(error) => {
                spdlog::error!("a decision record cannot be read", kv: {
                    key = listed.key, error = error.to_string(),
                });
            }
        }
    }
    Ok(results)
}
