//! The program `dahliastiled` itself: its options, its exit codes and its signals.

mod pipe;
mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::process::{Child, Command, Output, Stdio};

use pipe::Pipe;
use support::Site;

fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dahliastiled"));
    command.args(arguments);
    command
}

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let Output {
        status,
        stdout,
        stderr,
    } = program(arguments).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (status.code(), text(stdout), text(stderr))
}

/// A settings file that is removed in the end.
struct File(std::path::PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}.yaml", std::process::id()));
        std::fs::File::create(&path)
            .unwrap()
            .write_all(text.as_bytes())
            .unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn options_informative() {
    let (code, out, _) = run(&["--help"]);
    assert_eq!(code, Some(0));
    assert!(out.contains("--print-settings"), "{out}");
    let (code, out, _) = run(&["--version"]);
    assert_eq!((code, out.as_str()), (Some(0), "dahliastiled 0.1.0\n"));
    let (code, out, _) = run(&["--print-settings"]);
    assert_eq!(code, Some(0));
    assert!(
        out.contains("  # Time between two ticks. (1 to 1000 ms)\n  tick_ms: 20\n"),
        "{out}"
    );
}

#[test]
fn options_wrong() {
    for arguments in [&["--nonsense"][..], &[], &["--settings", "/no/such/file"]] {
        let (code, _, error) = run(arguments);
        assert_eq!(code, Some(2), "{arguments:?}");
        assert!(!error.is_empty(), "{arguments:?}");
    }
}

#[test]
fn check_prints_every_fault() {
    let file = File::new("faults", "vm: ''\nzone: 7\ncolour: red\n");
    let (code, _, error) = run(&["--check", file.path()]);
    assert_eq!(code, Some(2));
    let line = |text: &str| format!("{}: {text}\n", file.path());
    assert!(
        error.contains(&line("line 1, column 5: `vm`: a name can't be empty")),
        "{error}"
    );
    assert!(
        error.contains(&line("line 3, column 1: there is no setting `colour`")),
        "{error}"
    );
    assert_eq!(error.lines().count(), 7, "{error}");
}

#[test]
fn check_finds_nothing() {
    let file = File::new("good", &Site::start().text());
    assert_eq!(run(&["--check", file.path()]).0, Some(0));
}

/// An address that is taken is no fault of the settings.
#[test]
fn start_fails() {
    let site = Site::start();
    let file = File::new("taken", &site.text());
    let taken = format!("listen.callers={}", site.kv.address());
    let (code, _, error) = run(&["--settings", file.path(), "--set", &taken]);
    assert_eq!(code, Some(1));
    assert!(error.contains("can't listen on"), "{error}");
}

/// Sends a signal to a child by its own id.
fn signal(child: &Child, name: &str) {
    let id = child.id().to_string();
    let status = Command::new("kill").args([name, &id]).status().unwrap();
    assert!(status.success());
}

#[test]
fn signal_ends_in_order() {
    let site = Site::start();
    let file = File::new("run", &site.text());
    let arguments = [
        "--settings",
        file.path(),
        "--set",
        "log.level=info",
        "--set",
        "log.format=json",
    ];
    let mut child = program(&arguments).stderr(Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut line = String::new();
    log.read_line(&mut line).unwrap();
    signal(&child, "-TERM");
    let status = child.wait().unwrap();
    assert_eq!(status.code(), Some(0));
    log.read_to_string(&mut line).unwrap();
    let events: Vec<serde_json::Value> = line
        .lines()
        .map(|line| serde_json::from_str(line).unwrap_or_else(|error| panic!("{error}: {line}")))
        .collect();
    let names: Vec<&str> = events.iter().filter_map(|e| e["name"].as_str()).collect();
    assert_eq!(names.first(), Some(&"started"), "{line}");
    assert!(names.contains(&"draining"), "{line}");
    assert_eq!(names.last(), Some(&"stopped"), "{line}");
    assert_eq!(events[0]["event"], 100);
    assert_eq!(events[0]["vm"], "entry-1");
}

/// Guards against a daemon that is ended by the signal itself, instead of with 0, where it comes before the settings are read.
#[test]
fn signal_early_ends_in_order() {
    let site = Site::start();
    let pipe = Pipe::new("early-own");
    let arguments = ["--settings", pipe.path().to_str().unwrap()];
    let mut child = program(&arguments).spawn().unwrap();
    let reader = pipe.reader();
    signal(&child, "-TERM");
    pipe.release(reader, &site.text());
    let status = child.wait().unwrap();
    assert_eq!(status.code(), Some(0), "{status}");
}
