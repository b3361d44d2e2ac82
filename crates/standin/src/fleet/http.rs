//! A small HTTP/1.1 server that can also misbehave: a fake must be able to lose an answer or stop in the middle.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as it came.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// The method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The fields of the query.
    pub query: BTreeMap<String, String>,
    /// The headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

/// What is answered.
pub(crate) enum Reply {
    /// A status, headers and a whole body.
    Whole(u16, Vec<(String, String)>, Vec<u8>),
    /// A stream: headers, then pieces with a pause before each; and whether its end is sent.
    Stream(Vec<(String, String)>, Vec<(Duration, String)>, bool),
    /// The head of a stream with these headers and no event. Calls the function when the other side closes the
    /// connection.
    Stalled(Vec<(String, String)>, Box<dyn FnOnce() + Send>),
    /// Nothing: the connection is closed.
    Nothing,
}

/// Serves every connection to an address on a thread of its own until the process ends.
pub(crate) fn serve<F>(address: SocketAddr, handler: F) -> std::io::Result<()>
where
    F: Fn(&Asked) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || converse(&stream, handler.as_ref()));
        }
    });
    Ok(())
}

/// Answers requests on one connection until it ends. An error ends it, which the other side sees.
fn converse<F: Fn(&Asked) -> Reply>(stream: &TcpStream, handler: &F) {
    let mut reader = BufReader::new(stream);
    while let Some(asked) = read(&mut reader) {
        if answer(stream, handler(&asked)).is_none() {
            return;
        }
    }
}

fn read(reader: &mut BufReader<&TcpStream>) -> Option<Asked> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    let mut asked = Asked {
        method,
        path: path.to_owned(),
        query: fields
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
        ..Asked::default()
    };
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        asked
            .headers
            .insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = asked
        .headers
        .get("content-length")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    asked.body = vec![0; length];
    reader.read_exact(&mut asked.body).ok()?;
    Some(asked)
}

/// Writes an answer; none where the connection is over.
fn answer(mut stream: &TcpStream, reply: Reply) -> Option<()> {
    match reply {
        Reply::Nothing => None,
        Reply::Whole(status, headers, body) => {
            let mut head = format!(
                "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
                body.len()
            );
            append(&mut head, &headers);
            stream.write_all(head.as_bytes()).ok()?;
            stream.write_all(&body).ok()
        }
        Reply::Stalled(headers, closed) => {
            stream.write_all(stream_head(&headers).as_bytes()).ok()?;
            // The caller sends nothing more, so that a read returns when the connection ends, with or without an error.
            let _ = stream.read(&mut [0]);
            closed();
            None
        }
        Reply::Stream(headers, pieces, ended) => {
            stream.write_all(stream_head(&headers).as_bytes()).ok()?;
            for (pause, piece) in pieces {
                thread::sleep(pause);
                let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
                stream.write_all(chunk.as_bytes()).ok()?;
            }
            ended.then(|| stream.write_all(b"0\r\n\r\n").ok())?
        }
    }
}

/// Returns the head of a stream.
fn stream_head(headers: &[(String, String)]) -> String {
    let mut head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n"
            .to_owned();
    append(&mut head, headers);
    head
}

fn append(head: &mut String, headers: &[(String, String)]) {
    for (name, value) in headers {
        for part in [name, ": ", value, "\r\n"] {
            head.push_str(part);
        }
    }
    head.push_str("\r\n");
}
