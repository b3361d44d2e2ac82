//! Crowds of clients that don't behave, and what a process takes while they are there.

#![allow(dead_code, reason = "each test program uses its own part")]

use std::collections::HashSet;
use std::fmt::Write as _;
use std::fs;
use std::io::{Read, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

/// The largest body inside the limits, in bytes.
pub(crate) const BODY: usize = 1 << 20;
/// The largest head inside the limits, in bytes.
pub(crate) const HEAD: usize = 16_384;
/// Clients of a crowd that sends bodies.
pub(crate) const BODIES: usize = 160;
/// Clients of a crowd that only takes connections.
pub(crate) const CONNECTIONS: usize = 480;
/// The memory of the machine, in megabytes.
pub(crate) const MEMORY_MB: usize = 80;
/// The descriptors of the process, of which some are for files.
pub(crate) const DESCRIPTORS: usize = 600;
pub(crate) const FILE_DESCRIPTORS: usize = 200;
/// One client in so many sends its request to its end.
const WHOLE_EVERY: usize = 8;
/// The size of a piece, of a large chunk and of a very small one, in bytes.
const PIECE: usize = 16 * 1024;
const LARGE_CHUNK: usize = 64 * 1024;
const SMALL_CHUNK: usize = 1;
/// The pause between two pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(2);
/// How far over the limit a body is that is too large.
const OVERSIZE: usize = 16;
/// What one write may take before its client sends no more.
const GIVE_UP: Duration = Duration::from_secs(3);
/// How long a client waits for an answer that it reads.
const ANSWER: Duration = Duration::from_secs(10);
/// How long a crowd stays when each of its clients has sent what it sends, so that the process takes in what it can.
const STAND: Duration = Duration::from_secs(2);
/// The pause between two looks at a process.
const LOOK: Duration = Duration::from_millis(5);
/// The segment size and the receive buffer of a client that does not read, in bytes, so that the system holds little.
const SEGMENT: u32 = 536;
const RECEIVE_BUFFER: usize = 4_096;

/// What the clients of a crowd send. All but one in eight stop just short of the end and stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Bodies at the limit, at once.
    Whole,
    /// Bodies at the limit, piece by piece.
    Pieces,
    /// Bodies at the limit in large chunks.
    LargeChunks,
    /// Bodies in chunks of one byte.
    SmallChunks,
    /// Bodies far over the limit, whose length is announced.
    Announced,
    /// Bodies far over the limit, in chunks.
    Unannounced,
    /// Heads at the limit.
    Heads,
    /// Heads at a limit that is as large as that of bodies.
    LargeHeads,
    /// Nothing.
    Silence,
    /// Whole small requests, whose answers they don't read.
    Unread,
}

impl Kind {
    /// The number of clients.
    pub(crate) fn clients(self) -> usize {
        match self {
            Self::Heads | Self::Silence => CONNECTIONS,
            _ => BODIES,
        }
    }
}

/// Tests run one at a time.
pub(crate) fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Where a crowd goes.
#[derive(Clone, Debug)]
pub(crate) struct Door {
    /// The address.
    pub(crate) address: SocketAddr,
    /// The start of each request's head, up to the headers of the body; `#` stands for the number of the client.
    pub(crate) head: String,
}

/// The clients of a crowd that are still connected.
pub(crate) struct Crowd {
    streams: Vec<TcpStream>,
    /// Numbers of clients that sent all and read an answer, and its status.
    pub(crate) statuses: Vec<(usize, u16)>,
}

impl Crowd {
    /// Has the clients of a crowd come all at once, and returns when each has sent what it sends.
    pub(crate) fn come(kind: Kind, door: &Door) -> Self {
        let clients: Vec<_> = (0..kind.clients())
            .map(|number| {
                let door = door.clone();
                thread::spawn(move || client(kind, &door, number))
            })
            .collect();
        let mut crowd = Self {
            streams: Vec::new(),
            statuses: Vec::new(),
        };
        for (number, client) in clients.into_iter().enumerate() {
            let (stream, status) = client.join().expect("clients don't panic");
            crowd.streams.extend(stream);
            crowd.statuses.extend(status.map(|status| (number, status)));
        }
        thread::sleep(STAND);
        crowd
    }

    /// Has all clients leave.
    pub(crate) fn leave(self) {
        for stream in self.streams {
            // The process may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn open(kind: Kind, address: SocketAddr) -> Option<TcpStream> {
    if kind != Kind::Unread {
        return TcpStream::connect_timeout(&address, GIVE_UP).ok();
    }
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    socket.set_tcp_mss(SEGMENT).ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER).ok()?;
    socket.connect_timeout(&address.into(), GIVE_UP).ok()?;
    Some(socket.into())
}

/// Sends what a client sends. What can't be written any more is left out: the process may refuse its client.
fn client(kind: Kind, door: &Door, number: usize) -> (Option<TcpStream>, Option<u16>) {
    let Some(mut stream) = open(kind, door.address) else {
        return (None, None);
    };
    let _ = stream.set_write_timeout(Some(GIVE_UP));
    let _ = stream.set_read_timeout(Some(ANSWER));
    let is_whole = number.is_multiple_of(WHOLE_EVERY);
    let head = door.head.replace('#', &number.to_string());
    let sent = match kind {
        Kind::Silence => Ok(()),
        Kind::Unread => stream.write_all(format!("{head}Content-Length: 2\r\n\r\nhi").as_bytes()),
        Kind::Heads => stream.write_all(long_head(&head, HEAD, is_whole).as_bytes()),
        Kind::LargeHeads => stream.write_all(long_head(&head, BODY, is_whole).as_bytes()),
        Kind::Whole => send_length(&mut stream, &head, BODY, BODY, is_whole),
        Kind::Pieces => send_length(&mut stream, &head, BODY, PIECE, is_whole),
        Kind::Announced => send_length(&mut stream, &head, BODY * OVERSIZE, PIECE, is_whole),
        Kind::LargeChunks => send_chunks(&mut stream, &head, BODY, LARGE_CHUNK, is_whole),
        Kind::SmallChunks => send_chunks(&mut stream, &head, BODY / 8, SMALL_CHUNK, is_whole),
        Kind::Unannounced => {
            send_chunks(&mut stream, &head, BODY * OVERSIZE, LARGE_CHUNK, is_whole)
        }
    };
    let reads = is_whole && !matches!(kind, Kind::Silence | Kind::Unread);
    let status = (reads && sent.is_ok()).then(|| status(&mut stream));
    (Some(stream), status.flatten())
}

fn long_head(head: &str, size: usize, is_whole: bool) -> String {
    let mut text = head.to_owned();
    let line = size / 16;
    while text.len() + line < size {
        let _ = write!(text, "X-Filling: {}\r\n", "f".repeat(line - 64));
    }
    if is_whole {
        text.push_str("Content-Length: 2\r\n\r\nhi");
    }
    text
}

fn send_length(
    stream: &mut TcpStream,
    head: &str,
    length: usize,
    piece: usize,
    is_whole: bool,
) -> std::io::Result<()> {
    stream.write_all(format!("{head}Content-Length: {length}\r\n\r\n").as_bytes())?;
    let body = vec![b'b'; length - usize::from(!is_whole)];
    for piece in body.chunks(piece) {
        stream.write_all(piece)?;
        if piece.len() <= PIECE {
            thread::sleep(PIECE_PAUSE);
        }
    }
    Ok(())
}

fn send_chunks(
    stream: &mut TcpStream,
    head: &str,
    length: usize,
    chunk: usize,
    is_whole: bool,
) -> std::io::Result<()> {
    stream.write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
    let framed = format!("{chunk:x}\r\n{}\r\n", "c".repeat(chunk));
    let mut left = length / chunk;
    let at_once = (PIECE / framed.len()).max(1);
    while left > 0 {
        let now = left.min(at_once);
        stream.write_all(framed.repeat(now).as_bytes())?;
        left -= now;
    }
    if is_whole {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// The status of the answer that comes on a connection.
fn status(stream: &mut TcpStream) -> Option<u16> {
    let mut start = [0; 12];
    stream.read_exact(&mut start).ok()?;
    std::str::from_utf8(&start[9..]).ok()?.parse().ok()
}

/// What a process took at most.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peak {
    /// Memory that was resident, in bytes, as the system counts it.
    pub(crate) resident: usize,
    /// Bytes that came and were not read yet, over all its sockets.
    pub(crate) unread: usize,
    /// Open descriptors.
    pub(crate) descriptors: usize,
    /// Sockets among them.
    pub(crate) sockets: usize,
}

/// Looks at a process again and again.
pub(crate) struct Watch {
    process: u32,
    ends: Arc<AtomicBool>,
    unread: Arc<AtomicUsize>,
    descriptors: Arc<AtomicUsize>,
    sockets: Arc<AtomicUsize>,
    thread: thread::JoinHandle<()>,
}

impl Watch {
    /// Begins to look at a process.
    pub(crate) fn begin(process: u32) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let peaks: [Arc<AtomicUsize>; 3] = Default::default();
        let [unread, descriptors, sockets] = peaks.clone();
        let told = ends.clone();
        let thread = thread::spawn(move || {
            while !told.load(Ordering::SeqCst) {
                let (all, inodes) = descriptors_of(process);
                let now = [unread_bytes(&inodes), all, inodes.len()];
                for (peak, now) in peaks.iter().zip(now) {
                    peak.fetch_max(now, Ordering::SeqCst);
                }
                thread::sleep(LOOK);
            }
        });
        Self {
            process,
            ends,
            unread,
            descriptors,
            sockets,
            thread,
        }
    }

    /// Ends it; none where the process has ended.
    pub(crate) fn end(self) -> Option<Peak> {
        self.ends.store(true, Ordering::SeqCst);
        self.thread.join().expect("it does not panic");
        Some(Peak {
            resident: peak_memory(self.process)?,
            unread: self.unread.load(Ordering::SeqCst),
            descriptors: self.descriptors.load(Ordering::SeqCst),
            sockets: self.sockets.load(Ordering::SeqCst),
        })
    }
}

impl Peak {
    /// Holds the peak against what the machine has.
    pub(crate) fn check(&self) {
        let limit = MEMORY_MB * 1_000_000;
        println!("{self:?}");
        assert!(self.resident + self.unread <= limit, "memory: {self:?}");
        assert!(self.descriptors <= DESCRIPTORS, "descriptors: {self:?}");
        let sockets = DESCRIPTORS - FILE_DESCRIPTORS;
        assert!(self.sockets <= sockets, "sockets: {self:?}");
    }
}

fn peak_memory(process: u32) -> Option<usize> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    let kilobytes: usize = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1_024)
}

/// The number of descriptors of a process, and the inodes of those that are sockets.
fn descriptors_of(process: u32) -> (usize, HashSet<String>) {
    let Ok(entries) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return (0, HashSet::new());
    };
    let links: Vec<_> = entries.filter_map(Result::ok).collect();
    let inode = |entry: &fs::DirEntry| {
        let link = fs::read_link(entry.path()).ok()?;
        let inode = link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?;
        Some(inode.to_owned())
    };
    (links.len(), links.iter().filter_map(inode).collect())
}

/// Bytes that came and were not read yet, over TCP sockets with these inodes. Of a listening socket the system tells how many
/// connections wait in place of bytes.
fn unread_bytes(inodes: &HashSet<String>) -> usize {
    const LISTENS: &str = "0A";
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let (state, queues, inode) = (words.get(3)?, words.get(4)?, words.get(9)?);
        let (_, received) = queues.split_once(':')?;
        let counts = *state != LISTENS && inodes.contains(*inode);
        counts.then(|| usize::from_str_radix(received, 16).ok())?
    };
    table.lines().filter_map(unread).sum()
}

/// Waits until a condition holds.
pub(crate) fn eventually(what: &str, patience: Duration, mut condition: impl FnMut() -> bool) {
    let from = Instant::now();
    while !condition() {
        assert!(from.elapsed() < patience, "not in time: {what}");
        thread::sleep(LOOK);
    }
}
