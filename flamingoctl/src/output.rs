//! Writes the results of commands to standard output.

use std::{
    fmt::Display,
    io::{
        ErrorKind,
        Write, //
    },
    process::exit, //
};

/// Prints one line to standard output. If the reader has closed the pipe, as `head` does, the
/// process exits with 0 instead of panicking; on any other write error it exits with 1.
pub(crate) fn line(text: impl Display) {
    if let Some(code) = write_line(std::io::stdout().lock(), text) {
        exit(code);
    }
}

/// Writes one line. Returns the exit code of the process if the write fails.
fn write_line(mut out: impl Write, text: impl Display) -> Option<i32> {
    let error = writeln!(out, "{text}").err()?;
    Some(i32::from(error.kind() != ErrorKind::BrokenPipe))
}

#[cfg(test)]
mod tests {
    use std::io;

    use super::*;

    struct Failing(ErrorKind);

    impl Write for Failing {
        fn write(&mut self, _: &[u8]) -> io::Result<usize> {
            Err(self.0.into())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn closed_pipe_exits_with_success_and_full_disk_with_failure() {
        assert_eq!(write_line(Failing(ErrorKind::BrokenPipe), "x"), Some(0));
        assert_eq!(write_line(Failing(ErrorKind::StorageFull), "x"), Some(1));
        assert_eq!(write_line(Vec::new(), "x"), None);
    }
}
