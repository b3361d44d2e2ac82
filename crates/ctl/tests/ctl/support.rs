//! A scripted operators' listener and short ways to run commands.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use dahliastile_core::config::{Document, Rule};
use dahliastile_core::id::Edition;
use dahliastile_core::operator::{Command, Reply};
use dahliastile_ctl::{Args, Error, Output, run};

/// What the listener does with one call.
pub(crate) enum Answer {
    /// Replies.
    Reply(Box<Reply>),
    /// Answers with this status and text.
    Text(u16, &'static str),
    /// Drops the connection without an answer.
    Nothing,
}

/// A listener that answers each call by the next line of its script and keeps what it was asked.
pub(crate) struct Listener {
    address: String,
    asked: Arc<Mutex<Vec<Command>>>,
    thread: Option<JoinHandle<()>>,
}

impl Listener {
    pub(crate) fn start(script: Vec<Answer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound").to_string();
        let asked = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&asked);
        let thread = thread::spawn(move || {
            for answer in script {
                let (stream, _) = listener.accept().expect("a connection");
                let Some(body) = body(&stream) else { return };
                let command = serde_json::from_slice(&body).expect("a command");
                kept.lock().expect("no panic").push(command);
                respond(&stream, &answer);
            }
        });
        Self {
            address,
            asked,
            thread: Some(thread),
        }
    }

    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    pub(crate) fn asked(&self) -> Vec<Command> {
        self.asked.lock().expect("no panic").clone()
    }

    /// Runs a command against this listener.
    pub(crate) fn run(&self, words: &[&str]) -> Result<Output, Error> {
        let server = self.address.clone();
        run_with(words, &move |name| match name {
            "DAHLIACTL_SERVER" => Some(server.clone()),
            "USER" => Some("ada".to_owned()),
            _ => None,
        })
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if let Some(thread) = self.thread.take() {
            // A connection without a request ends a script that was not played to its end.
            drop(TcpStream::connect(&self.address));
            let _ = thread.join();
        }
    }
}

/// The body of a request, or none where the client sent nothing.
fn body(stream: &TcpStream) -> Option<Vec<u8>> {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line).expect("a readable head") {
            0 => return None,
            _ if line.trim().is_empty() => break,
            _ => {}
        }
        let line = line.to_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the whole body");
    Some(body)
}

fn respond(mut stream: &TcpStream, answer: &Answer) {
    let (status, text) = match answer {
        Answer::Reply(reply) => (200, serde_json::to_string(reply).expect("plain data")),
        Answer::Text(status, text) => (*status, (*text).to_owned()),
        Answer::Nothing => return,
    };
    let length = text.len();
    let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n");
    stream
        .write_all((head + &text).as_bytes())
        .expect("the client listens");
}

pub(crate) fn run_with(
    words: &[&str],
    env: &dyn Fn(&str) -> Option<String>,
) -> Result<Output, Error> {
    let words: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    run(&Args::read(&words)?, env)
}

/// A file that goes away with its value.
pub(crate) struct File(PathBuf);

impl File {
    pub(crate) fn new(text: &str) -> Self {
        static LAST: AtomicU64 = AtomicU64::new(0);
        let number = LAST.fetch_add(1, Ordering::Relaxed);
        let name = format!("dahliactl-{}-{number}.yaml", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("the directory for temporary files is there");
        Self(path)
    }

    pub(crate) fn path(&self) -> &str {
        self.0.to_str().expect("a plain name")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A rule that prefers a zone.
pub(crate) fn rule(name: &str, zone: &str) -> Rule {
    let text = format!(r#"{{"name":"{name}","then":{{"prefer_zone":"{zone}"}}}}"#);
    serde_json::from_str(&text).expect("a rule")
}

pub(crate) fn rules(names: &[&str]) -> Vec<Rule> {
    names.iter().map(|name| rule(name, "z")).collect()
}

pub(crate) fn names(rules: &[Rule]) -> Vec<&str> {
    rules.iter().map(|rule| rule.name.as_str()).collect()
}

pub(crate) fn show(edition: u64, rules: Vec<Rule>) -> Answer {
    reply(Reply::Show {
        edition: Edition(edition),
        document: Box::new(Document {
            rules,
            ..Document::default()
        }),
    })
}

pub(crate) fn accepted(edition: u64) -> Answer {
    reply(Reply::Accepted {
        edition: Edition(edition),
        warnings: Vec::new(),
    })
}

pub(crate) fn reply(reply: Reply) -> Answer {
    Answer::Reply(Box::new(reply))
}
