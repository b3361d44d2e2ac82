//! HTTP/1.1 over TCP, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// A request or an answer.
pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    /// The header lines, names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let line = self.headers.iter().find(|(other, _)| other == name);
        line.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first
            .get(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    }
}

/// One side of a connection.
pub struct Channel {
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn connect(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(patience))?;
        Self::new(stream)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads a message with a length or without a body; none at an orderly end before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let first = line.split_whitespace().map(str::to_owned).collect();
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut message = Message {
            first,
            headers,
            body: Vec::new(),
        };
        let length = message
            .header("content-length")
            .and_then(|value| value.parse().ok());
        message.body = vec![0; length.unwrap_or(0)];
        self.reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }
}

/// The bytes of an answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    [text.as_bytes(), body].concat()
}

/// Serves each connection to a free port of an address in a thread of its own.
pub fn serve<F>(ip: IpAddr, serve_one: F) -> io::Result<SocketAddr>
where
    F: Fn(Channel) -> io::Result<()> + Send + Clone + 'static,
{
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve_one = serve_one.clone();
            thread::spawn(move || Channel::new(stream).and_then(serve_one));
        }
    });
    Ok(address)
}
