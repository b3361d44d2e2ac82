//! Processes that a test starts, signals and ends by their own ids.

use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, Stdio};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Bounds every wait; none is expected to come near it.
pub(crate) const AMPLE: Duration = Duration::from_mins(1);

/// A condition is looked at again after this time where no process has said anything.
const LOOK: Duration = Duration::from_millis(20);

/// The lines that all processes wrote so far, to wake those who wait for news.
static NEWS: (Mutex<u64>, Condvar) = (Mutex::new(0), Condvar::new());

fn news() -> MutexGuard<'static, u64> {
    NEWS.0.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until a condition holds: looks again after each line of any process, and now and then.
pub(crate) fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let begun = Instant::now();
    loop {
        let seen = *news();
        if condition() {
            return;
        }
        assert!(begun.elapsed() < AMPLE, "it never came about that {what}");
        let quiet = |lines: &mut u64| *lines == seen;
        drop(NEWS.1.wait_timeout_while(news(), LOOK, quiet));
    }
}

/// A running process; it is killed by its own id when it is dropped.
pub(crate) struct Process {
    child: Child,
    lines: flume::Receiver<String>,
    seen: Vec<String>,
}

impl Process {
    /// Starts a process and reads its standard output.
    pub(crate) fn start(command: &mut Command) -> Self {
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = child.stdout.take().unwrap();
        Self::read(child, output)
    }

    /// Starts a process and reads its standard error stream, where daemons log.
    pub(crate) fn start_logging(command: &mut Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let log = child.stderr.take().unwrap();
        Self::read(child, log)
    }

    /// Reads on a thread that ends with the stream, so that the process never waits for a reader.
    fn read(child: Child, stream: impl Read + Send + 'static) -> Self {
        let (sender, lines) = flume::unbounded();
        thread::spawn(move || {
            for line in BufReader::new(stream).lines().map_while(Result::ok) {
                // A test that has ended reads no more.
                let _ = sender.send(line);
                *news() += 1;
                NEWS.1.notify_all();
            }
        });
        Self {
            child,
            lines,
            seen: Vec::new(),
        }
    }

    /// The process's own id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a line.
    pub(crate) fn line(&mut self, wanted: impl Fn(&str) -> bool) -> String {
        loop {
            let line = self.lines.recv_timeout(AMPLE).expect("a line in time");
            self.seen.push(line.clone());
            if wanted(&line) {
                return line;
            }
        }
    }

    /// The first line that was read.
    pub(crate) fn first(&self) -> &str {
        &self.seen[0]
    }

    /// Waits for a line that has a word.
    pub(crate) fn wrote(&mut self, word: &str) {
        // It may have been read already, on the way to another line.
        if !self.seen.iter().any(|line| line.contains(word)) {
            self.line(|line| line.contains(word));
        }
    }

    /// The number of files and sockets that the process has open.
    pub(crate) fn open_files(&self) -> usize {
        let files = fs::read_dir(format!("/proc/{}/fd", self.id()));
        files.unwrap().count()
    }

    /// Sends a signal, such as `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let (signal, id) = (format!("-{name}"), self.id().to_string());
        let status = Command::new("kill").args([signal, id]).status().unwrap();
        assert!(status.success(), "kill -{name}");
    }

    /// Kills the process and waits until it has ended.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until the process has ended by itself; its exit code and all its lines.
    pub(crate) fn end(&mut self) -> (Option<i32>, String) {
        loop {
            match self.lines.recv_timeout(AMPLE) {
                Ok(line) => self.seen.push(line),
                Err(flume::RecvTimeoutError::Disconnected) => break,
                Err(flume::RecvTimeoutError::Timeout) => panic!("{} goes on", self.id()),
            }
        }
        // The end of the stream is the end of the process, which is now only reaped.
        let status = self.child.wait().unwrap();
        (status.code(), self.seen.join("\n"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended already is only reaped.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            self.seen.extend(self.lines.drain());
            eprintln!("process {}:\n{}\n", self.id(), self.seen.join("\n"));
        }
    }
}
