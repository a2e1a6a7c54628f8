//! Logs: one JSON object a line on standard error.

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

/// The result of setting logs up.
pub type Result<T> = std::result::Result<T, LoggingError>;

/// Why logs can't be written.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("logs can't be set up ({reason}): check that standard error is open")]
pub struct LoggingError {
    /// What the library said.
    pub reason: String,
}

/// Makes every log line of this process a JSON object on standard error.
///
/// # Errors
///
/// [`LoggingError`] when standard error can't be used.
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

/// Writes every event of a time line to the log as well.
pub fn mirror(timeline: &Timeline) {
    timeline.set_mirror(Arc::new(log_event));
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

/// Lines that wait for the writing thread at most; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 8_192;

/// Makes every log line of this process a JSON object on standard output.
///
/// A thread of its own writes them. Where that thread doesn't keep up, lines are dropped instead
/// of holding up whoever logs.
///
/// # Errors
///
/// [`LoggingError`] when standard output or the thread can't be used.
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

/// Writes out what waits.
pub fn flush() {
    spdlog::default_logger().flush();
}

/// Lines of one kind in a second before further ones are only counted: on a calm day an instance
/// writes about ten in all.
const MAX_LINES_PER_S: u32 = 100;

/// Length of the time over which lines are counted.
const WINDOW_MS: u64 = 1_000;

/// Bounds how many lines of each kind are written.
#[derive(Debug, Default)]
pub struct LineLimiter {
    kinds: HashMap<&'static str, Window>,
}

#[derive(Debug, Default)]
struct Window {
    started_ms: u64,
    lines: u32,
    suppressed: u64,
}

impl LineLimiter {
    /// Returns whether a line may be written, and how many of its kind were left out before it.
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
