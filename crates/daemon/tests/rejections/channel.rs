//! A caller's connection that is kept between requests.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

use crate::fleet::Vm;

/// An answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    /// The status, 0 where there was none.
    pub(crate) status: u16,
    /// The lines of the head, with names and values as they came.
    headers: Vec<(String, String)>,
    /// Whether the body came to the end that its head announces.
    pub(crate) is_whole: bool,
}

impl Answer {
    /// The value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(have, _)| have.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Whether the connection can be used again.
    fn keeps(&self) -> bool {
        let closes = self.header("connection");
        self.is_whole && closes.is_none_or(|value| !value.eq_ignore_ascii_case("close"))
    }
}

/// A connection that is opened when it is needed.
pub(crate) struct Channel<'a> {
    vm: &'a Vm,
    stream: Option<BufReader<TcpStream>>,
}

impl<'a> Channel<'a> {
    /// One to a VM.
    pub(crate) fn new(vm: &'a Vm) -> Self {
        Self { vm, stream: None }
    }

    /// Has the next request go out on a new connection.
    pub(crate) fn close(&mut self) {
        self.stream = None;
    }

    /// Sends a request and reads its answer.
    pub(crate) fn ask(&mut self, request: &str) -> Answer {
        let stream = match self.stream.take() {
            Some(mut kept) => {
                // What can't be written shows as an answer without a status.
                let _ = kept.get_mut().write_all(request.as_bytes());
                Some(kept)
            }
            None => self.vm.open(request).map(BufReader::new),
        };
        let Some(mut stream) = stream else {
            return Answer::default();
        };
        let answer = read(&mut stream).unwrap_or_default();
        if answer.keeps() {
            self.stream = Some(stream);
        }
        answer
    }
}

/// Reads an answer; none where there was no whole head.
fn read(stream: &mut BufReader<TcpStream>) -> Option<Answer> {
    let first = line(stream)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut headers = Vec::new();
    loop {
        let line = line(stream)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut answer = Answer {
        status,
        headers,
        is_whole: false,
    };
    answer.is_whole = body(stream, &answer).is_some();
    Some(answer)
}

/// Reads the body of an answer; none where its end did not come.
fn body(stream: &mut BufReader<TcpStream>, answer: &Answer) -> Option<()> {
    if let Some(length) = answer.header("content-length") {
        return take(stream, length.parse().ok()?);
    }
    answer.header("transfer-encoding")?;
    loop {
        let size = usize::from_str_radix(&line(stream)?, 16).ok()?;
        take(stream, size)?;
        line(stream)?;
        if size == 0 {
            return Some(());
        }
    }
}

fn take(stream: &mut BufReader<TcpStream>, length: usize) -> Option<()> {
    stream.read_exact(&mut vec![0; length]).ok()
}

fn line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|read| *read > 0)?;
    line.truncate(line.trim_end().len());
    Some(line)
}
