//! Logging to standard error.

use tracing::Level;

/// The environment variable that sets the log level.
const LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// The log level in the environment is unknown.
#[derive(Debug, thiserror::Error)]
#[error("LOG_LEVEL: \"{0}\" is not a log level; expected error, warn, info or debug")]
pub struct LogLevelError(String);

/// Reads the log level from the environment; `info` if it is not set.
pub fn level_from_environment() -> Result<Level, LogLevelError> {
    let level = std::env::var(LEVEL_VARIABLE).unwrap_or_default();
    match level.as_str() {
        "" | "info" => Ok(Level::INFO),
        "error" => Ok(Level::ERROR),
        "warn" => Ok(Level::WARN),
        "debug" => Ok(Level::DEBUG),
        _ => Err(LogLevelError(level)),
    }
}

/// Logs the events of this process to standard error.
pub fn init() -> Result<(), LogLevelError> {
    tracing_subscriber::fmt()
        .with_max_level(level_from_environment()?)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .init();
    Ok(())
}
