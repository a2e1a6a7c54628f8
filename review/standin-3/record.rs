//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    os::fd::AsFd,
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// Writes lines with the time since the start of the case.
pub struct Log {
    started: Instant,
    file: Mutex<File>,
}

impl Log {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Returns a record that goes to the standard output, from where another process takes it.
    pub fn to_output() -> std::io::Result<Self> {
        let output = std::io::stdout().as_fd().try_clone_to_owned()?;
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::from(output)),
        })
    }

    /// Returns the time since the start of the case, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let line = format!("{:9.3} {text}\n", now_ms as f64 / 1_000.0);
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
