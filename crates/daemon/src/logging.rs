//! The log on standard error.

use tracing::Level;

/// The environment variable that says how much is logged.
const LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// The environment names no level that there is.
#[derive(Debug, thiserror::Error)]
#[error("LOG_LEVEL: \"{0}\" is none of error, warn, info, debug")]
pub struct LogLevelError(String);

/// The level that the environment asks for; `info` if it does not say.
pub fn level_from_environment() -> Result<Level, LogLevelError> {
    let text = std::env::var(LEVEL_VARIABLE).unwrap_or_default();
    match text.as_str() {
        "" | "info" => Ok(Level::INFO),
        "error" => Ok(Level::ERROR),
        "warn" => Ok(Level::WARN),
        "debug" => Ok(Level::DEBUG),
        _ => Err(LogLevelError(text)),
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
