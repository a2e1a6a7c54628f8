//! Log output as JSON, one object per line.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use derive_more::{
    Display,
    Error, //
};
use spdlog::{
    formatter::JsonFormatter,
    sink::{
        AsyncPoolSink,
        OverflowPolicy,
        StdStreamSink, //
    },
    Level,
    LevelFilter,
    Logger,
    ThreadPool, //
};

use crate::timeline::{
    Event,
    Timeline, //
};

/// The result of setting up logging.
pub type Result<T> = std::result::Result<T, LoggingError>;

/// Logging could not be set up.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("logs can't be set up ({reason}): check that standard error is open")]
pub struct LoggingError {
    /// Error message of the logging library.
    pub reason: String,
}

/// Installs the default logger, which writes JSON to standard error.
///
/// # Errors
///
/// Returns a [`LoggingError`] if standard error can't be used.
pub fn install(process: &str) -> Result<()> {
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(JsonFormatter::new())
        .build_arc()
        .map_err(logging_error)?;
    let logger = Logger::builder()
        .name(process)
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .flush_level_filter(LevelFilter::All)
        .sink(sink)
        .build_arc()
        .map_err(logging_error)?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Logs every event that is recorded on a time line from now on.
pub fn log_timeline(timeline: &Timeline) {
    timeline.set_listener(Arc::new(log_event));
}

fn log_event(event: &Event) {
    let fields: Vec<String> = event
        .fields
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    spdlog::info!("{} {}", event.kind, fields.join(" "), kv: {
        trace = &*event.trace,
        serial = event.serial,
    });
}

fn logging_error(error: spdlog::Error) -> LoggingError {
    LoggingError {
        reason: error.to_string(),
    }
}

/// Capacity of the queue to the writer thread, in lines; lines that do not fit are dropped and
/// counted.
const MAX_QUEUED_LINES: usize = 8_192;

/// Installs the default logger, which writes JSON to standard output.
///
/// A separate thread writes the lines. If it can't keep up, lines are dropped, so that logging
/// never blocks the calling thread.
///
/// # Errors
///
/// Returns a [`LoggingError`] if standard output or the writer thread can't be used.
pub fn install_on_stdout(process: &str) -> Result<()> {
    let output = StdStreamSink::builder()
        .stdout()
        .formatter(JsonFormatter::new())
        .build_arc()
        .map_err(logging_error)?;
    let capacity = std::num::NonZeroUsize::new(MAX_QUEUED_LINES);
    let pool = ThreadPool::builder()
        .capacity(capacity.unwrap_or(std::num::NonZeroUsize::MIN))
        .build_arc()
        .map_err(logging_error)?;
    let sink = AsyncPoolSink::builder()
        .sink(output)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()
        .map_err(logging_error)?;
    let logger = Logger::builder()
        .name(process)
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .flush_level_filter(LevelFilter::Off)
        .sink(sink)
        .build_arc()
        .map_err(logging_error)?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Flushes queued log lines.
pub fn flush() {
    spdlog::default_logger().flush();
}

/// Maximum lines of one kind per second; further lines are only counted. In normal operation an
/// instance writes about ten lines per second in total.
const MAX_LINES_PER_S: u32 = 100;

/// Length of the window in which lines are counted.
const WINDOW_MS: u64 = 1_000;

/// Rate limiter for log lines, by kind.
#[derive(Debug, Default)]
pub struct LineLimiter {
    kinds: HashMap<&'static str, Window>,
}

/// Counts of one kind of lines.
#[derive(Debug, Default)]
struct Window {
    started_ms: u64,
    /// Lines that were written since `started_ms`.
    lines: u32,
    /// Lines that were suppressed since the last one that was written.
    suppressed: u64,
}

impl LineLimiter {
    /// Returns `None` if a line must be suppressed; otherwise, how many lines of its kind were
    /// suppressed since the last one that was written.
    pub fn admit(&mut self, kind: &'static str, now_ms: u64) -> Option<u64> {
        let window = self.kinds.entry(kind).or_default();
        if now_ms.saturating_sub(window.started_ms) >= WINDOW_MS {
            window.started_ms = now_ms;
            window.lines = 0;
        }
        if window.lines >= MAX_LINES_PER_S {
            window.suppressed += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}

#[cfg(test)]
mod tests;
