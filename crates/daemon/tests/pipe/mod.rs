//! A pipe in place of a settings file: a process that reads it stands still in the middle of its start.

use std::ffi::OsString;
use std::fs::File;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// The longest wait for the process.
const PATIENCE: Duration = Duration::from_secs(20);
/// The pause between two looks whether the process reads.
const LOOK: Duration = Duration::from_millis(5);
/// `O_NONBLOCK` of Linux: a pipe that nobody reads can't be opened for writing then.
const NONBLOCKING: i32 = 0o4000;

/// A pipe that is removed in the end.
pub(crate) struct Pipe(PathBuf);

impl Pipe {
    /// Makes a pipe whose name begins with this one.
    pub(crate) fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}.pipe", std::process::id()));
        // One may be left of a process that had the same number.
        let _ = std::fs::remove_file(&path);
        let made = Command::new("mkfifo").arg(&path).status();
        assert!(made.is_ok_and(|status| status.success()), "a pipe is made");
        Self(path)
    }

    /// Where it is.
    pub(crate) fn path(&self) -> &Path {
        &self.0
    }

    /// Waits until a process reads it.
    pub(crate) fn reader(&self) -> File {
        let from = Instant::now();
        loop {
            let mut options = File::options();
            match options.write(true).custom_flags(NONBLOCKING).open(&self.0) {
                Ok(pipe) => return pipe,
                Err(error) => assert!(from.elapsed() < PATIENCE, "nobody reads: {error}"),
            }
            thread::sleep(LOOK);
        }
    }

    /// Lets the process that reads the pipe have a text. Whoever reads the settings from now on reads the same text, from a
    /// file in its place.
    pub(crate) fn release(&self, mut reader: File, text: &str) {
        let mut name = OsString::from(&self.0);
        name.push(".file");
        std::fs::write(&name, text).expect("the file is written");
        std::fs::rename(&name, &self.0).expect("the file takes the place of the pipe");
        // The end of a process that reads it shows otherwise.
        let _ = reader.write_all(text.as_bytes());
    }
}

impl Drop for Pipe {
    fn drop(&mut self) {
        // A VM may have removed it.
        let _ = std::fs::remove_file(&self.0);
    }
}
