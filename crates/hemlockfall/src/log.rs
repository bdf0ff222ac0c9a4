//! Structured logs: one JSON object per line.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;
use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::FileSink;
use spdlog::sink::Sink;
use spdlog::sink::StdStreamSink;

/// Upper bound of the time until a line is in the file; warnings and errors are flushed at once.
const FLUSH_PERIOD: Duration = Duration::from_millis(500);
/// Value of the setting `file` that selects standard error.
const STANDARD_ERROR: &str = "-";

/// Settings section `log`.
#[derive(Clone, Debug, Deserialize)]
pub struct LogOptions {
    /// Path of the log file, or `-` for standard error.
    pub file: SmolStr,
    /// Lowest level that is written.
    pub level: SmolStr,
    /// Maximum number of lines about routing decisions per second; 0 for no limit.
    pub decisions_per_s: u32,
}

/// Installs the default logger.
///
/// # Errors
/// Returns the reason why the log file cannot be opened.
pub fn init(options: &LogOptions) -> Result<(), String> {
    let sink = open(options).map_err(|error| error.to_string())?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level(&options.level)))
        .flush_level_filter(LevelFilter::MoreSevereEqual(Level::Warn))
        .error_handler(count_error)
        .build()
        .map_err(|error| error.to_string())?;
    let logger = Arc::new(logger);
    logger.set_flush_period(Some(FLUSH_PERIOD));
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Counts a line that could not be written. The default handler of the library would write a text
/// line to standard error for each, which is not JSON and may fail for the same reason.
fn count_error(_: spdlog::Error) {
    metrics::counter!("hemlockfall_log_errors_total").increment(1);
}

fn open(options: &LogOptions) -> spdlog::Result<Arc<dyn Sink>> {
    let formatter = JsonFormatter::new();
    if options.file == STANDARD_ERROR {
        let sink = StdStreamSink::builder()
            .stderr()
            .formatter(formatter)
            .error_handler(count_error)
            .build()?;
        return Ok(Arc::new(sink));
    }
    let sink = FileSink::builder()
        .path(options.file.as_str())
        .formatter(formatter)
        .error_handler(count_error)
        .build()?;
    Ok(Arc::new(sink))
}

fn level(name: &str) -> Level {
    match name {
        "debug" => Level::Debug,
        "warn" => Level::Warn,
        "error" => Level::Error,
        _ => Level::Info,
    }
}
