//! Callers in closed loops: some with a connection for each request, some that keep theirs as long as it lives, some that
//! leave before their answer.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::request_with;

/// Callers at a time.
const CALLERS: u64 = 8;
/// What callers say that they wait.
const DEADLINE_MS: u64 = 4_000;
/// How long they do wait: longer than a VM that keeps its word needs.
const PATIENCE: Duration = Duration::from_secs(8);
/// The pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(25);
/// How long one that leaves has waited.
const LEAVES: Duration = Duration::from_millis(30);
/// Callers of the account that floods, and the pause between two requests of one.
const FLOOD_CALLERS: u64 = 12;
const FLOOD_PAUSE: Duration = Duration::from_millis(10);
/// Callers that leave their streams after some events and resume them, after how many events, and how long they are away, in
/// milliseconds.
const RESUMING_CALLERS: u64 = 3;
pub(crate) const RESUMED_AFTER: u64 = 2;
const AWAY: std::ops::Range<u64> = 0..400;
/// The position of the account that floods.
const FLOODS: usize = 2;
/// Adapters that are asked for: more than the engines hold.
const ADAPTERS: u64 = 6;

/// The accounts of callers, each with its key.
pub(crate) const ACCOUNTS: [(&str, &[&str]); 3] = [
    ("north", &["soaknorthkey1"]),
    ("south", &["soaksouthkey2"]),
    ("west", &["soakwestkey3"]),
];

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Non-idempotent, to a plain service.
    Post,
    /// Idempotent, to a plain service.
    Query,
    /// A stream that can't be resumed.
    Plan,
    /// A stream that can.
    Berth,
}

impl Kind {
    /// All of them.
    pub(crate) const ALL: [Self; 4] = [Self::Post, Self::Query, Self::Plan, Self::Berth];

    /// The path of its route.
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Post => "/post/x",
            Self::Query => "/query/x",
            Self::Plan => "/plan/x",
            Self::Berth => "/berth/x",
        }
    }

    /// Whether it names an adapter.
    pub(crate) fn streams(self) -> bool {
        matches!(self, Self::Plan | Self::Berth)
    }

    /// How often it may run.
    pub(crate) fn runs(self) -> usize {
        match self {
            Self::Post | Self::Plan => 1,
            Self::Query | Self::Berth => 2,
        }
    }
}

/// What came back, and whether its end was seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    /// The status, 0 where none came.
    pub(crate) status: u16,
    /// The id of the server that answered.
    pub(crate) seal: String,
    /// The body, without its framing.
    pub(crate) body: String,
    /// Whether it came whole, as its length or its last chunk says.
    pub(crate) whole: bool,
    /// Whether it has neither and came up to the end of its connection.
    pub(crate) unproven: bool,
}

/// A request and how it ended.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    /// Its id.
    pub(crate) id: String,
    /// Its kind.
    pub(crate) kind: Kind,
    /// The account whose key it bears.
    pub(crate) account: &'static str,
    /// The position of its VM.
    pub(crate) vm: usize,
    /// The model that it names.
    pub(crate) model: Option<String>,
    /// When it was sent.
    pub(crate) sent: Instant,
    /// When its last byte was sent; none where there was no connection.
    pub(crate) written: Option<Instant>,
    /// When it ended.
    pub(crate) ended: Instant,
    /// The answer.
    pub(crate) answer: Answer,
    /// Whether its caller left.
    pub(crate) left: bool,
}

/// A stream that its caller left after some events and resumed at another VM.
#[derive(Clone, Debug)]
#[allow(dead_code)] // All of it is printed where the stream is broken.
pub(crate) struct Resumed {
    /// The id of the request that brought its first event.
    pub(crate) id: String,
    /// What came of it first, up to its last whole event.
    pub(crate) begun: String,
    /// The answer to the request that resumed it.
    pub(crate) again: Answer,
    /// When that was sent.
    pub(crate) sent: Instant,
    /// The positions of both VMs.
    pub(crate) vms: (usize, usize),
}

/// All callers of a round.
#[derive(Clone)]
pub(crate) struct Callers {
    vms: Arc<Vec<SocketAddr>>,
    ids: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
    flood: Arc<AtomicBool>,
    asked: Arc<Mutex<Vec<Asked>>>,
    resumed: Arc<Mutex<Vec<Resumed>>>,
}

impl Callers {
    /// Callers of VMs at these addresses.
    pub(crate) fn new(vms: Vec<SocketAddr>) -> Self {
        Self {
            vms: Arc::new(vms),
            ids: Arc::default(),
            over: Arc::default(),
            flood: Arc::default(),
            asked: Arc::default(),
            resumed: Arc::default(),
        }
    }

    /// Starts them.
    pub(crate) fn start(&self, seed: u64) -> Vec<JoinHandle<()>> {
        let start = |number: u64| {
            let callers = self.clone();
            let rng = ChaCha8Rng::seed_from_u64(seed * CALLERS + number);
            thread::spawn(move || callers.run(rng, number.is_multiple_of(2)))
        };
        let start_flood = |number: u64| {
            let callers = self.clone();
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(CALLERS + number);
            thread::spawn(move || callers.run_flood(rng))
        };
        let start_resuming = |number: u64| {
            let callers = self.clone();
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(CALLERS + FLOOD_CALLERS + number);
            thread::spawn(move || callers.run_resuming(rng))
        };
        let usual = (0..CALLERS).map(start);
        let floods = (0..FLOOD_CALLERS).map(start_flood);
        let resuming = (0..RESUMING_CALLERS).map(start_resuming);
        usual.chain(floods).chain(resuming).collect()
    }

    /// Begins or ends a flood of one account.
    pub(crate) fn flood(&self, flood: bool) {
        self.flood.store(flood, Ordering::Relaxed);
    }

    /// Has them end.
    pub(crate) fn close(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// All requests so far.
    pub(crate) fn asked(&self) -> Vec<Asked> {
        self.notes().clone()
    }

    /// All streams that were resumed so far.
    pub(crate) fn resumed(&self) -> Vec<Resumed> {
        let resumed = self.resumed.lock();
        resumed.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends one request on a new connection and waits for its answer.
    pub(crate) fn ask(&self, vm: usize, kind: Kind, adapter: u64) -> Asked {
        self.send(vm, kind, adapter, &mut None, false, None)
    }

    fn notes(&self) -> std::sync::MutexGuard<'_, Vec<Asked>> {
        // A caller that panicked ends the round by itself.
        self.asked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, mut rng: ChaCha8Rng, keeps: bool) {
        let mut vm = 0;
        let mut kept = None;
        while !self.over.load(Ordering::Relaxed) {
            if kept.is_none() {
                vm = rng.random_range(0..self.vms.len());
            }
            let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
            let leaves = rng.random_bool(0.05);
            let adapter = rng.random_range(0..ADAPTERS);
            self.send(vm, kind, adapter, &mut kept, leaves, None);
            if !keeps {
                kept = None;
            }
            thread::sleep(PAUSE);
        }
    }

    fn run_resuming(&self, mut rng: ChaCha8Rng) {
        while !self.over.load(Ordering::Relaxed) {
            let vms = self.vms.len();
            let at = (rng.random_range(0..vms), rng.random_range(0..vms));
            let adapter = rng.random_range(0..ADAPTERS);
            let pause = Duration::from_millis(rng.random_range(AWAY));
            if let Some(stream) = self.resume(at, adapter, pause) {
                let resumed = self.resumed.lock();
                resumed.unwrap_or_else(PoisonError::into_inner).push(stream);
            }
            thread::sleep(PAUSE);
        }
    }

    /// Reads the first events of a stream at one VM, leaves, and resumes it at the other. None where it brought too few.
    pub(crate) fn resume(
        &self,
        vms: (usize, usize),
        adapter: u64,
        pause: Duration,
    ) -> Option<Resumed> {
        let id = format!("r{}", self.ids.fetch_add(1, Ordering::Relaxed));
        let model = format!("base/a{adapter}");
        let headers = format!(
            "Deadline-Ms: {DEADLINE_MS}\r\nX-Api-Key: {}\r\n",
            ACCOUNTS[0].1[0]
        );
        let path = Kind::Berth.path();
        let text = request_with(&id, path, Some(&model), &headers);
        let mut stream = open(self.vms[vms.0])?;
        stream.get_mut().write_all(text.as_bytes()).ok()?;
        let begun = read_events(&mut stream)?;
        drop(stream);
        thread::sleep(pause);
        let again = format!("r{}", self.ids.fetch_add(1, Ordering::Relaxed));
        let headers = format!("{headers}Last-Event-Id: {RESUMED_AFTER}\r\nResumes: {id}\r\n");
        let text = request_with(&again, path, Some(&model), &headers);
        let sent = Instant::now();
        let mut answer = Answer::default();
        if let Some(mut stream) = open(self.vms[vms.1]) {
            // A connection that takes nothing shows as one without an answer.
            let _ = stream.get_mut().write_all(text.as_bytes());
            read(&mut stream, &mut answer);
        }
        Some(Resumed {
            id,
            begun,
            again: answer,
            sent,
            vms,
        })
    }

    fn run_flood(&self, mut rng: ChaCha8Rng) {
        while !self.over.load(Ordering::Relaxed) {
            if !self.flood.load(Ordering::Relaxed) {
                thread::sleep(PAUSE);
                continue;
            }
            let vm = rng.random_range(0..self.vms.len());
            let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
            let adapter = rng.random_range(0..ADAPTERS);
            self.send(vm, kind, adapter, &mut None, false, Some(FLOODS));
            thread::sleep(FLOOD_PAUSE);
        }
    }

    fn send(
        &self,
        vm: usize,
        kind: Kind,
        adapter: u64,
        kept: &mut Option<BufReader<TcpStream>>,
        leaves: bool,
        account: Option<usize>,
    ) -> Asked {
        let number = self.ids.fetch_add(1, Ordering::Relaxed);
        let id = format!("r{number}");
        // Requests that follow each other on a connection differ in their keys.
        let (account, keys) = ACCOUNTS[account.unwrap_or(usize::from(number.is_multiple_of(2)))];
        let model = kind.streams().then(|| format!("base/a{adapter}"));
        let sent = Instant::now();
        let connection = kept.take().or_else(|| open(self.vms[vm]));
        let mut answer = Answer::default();
        let mut written = None;
        if let Some(mut stream) = connection {
            let headers = format!("Deadline-Ms: {DEADLINE_MS}\r\nX-Api-Key: {}\r\n", keys[0]);
            let text = request_with(&id, kind.path(), model.as_deref(), &headers);
            // A connection that takes nothing shows as one without an answer.
            let _ = stream.get_mut().write_all(text.as_bytes());
            written = Some(Instant::now());
            if leaves {
                thread::sleep(LEAVES);
            } else if read(&mut stream, &mut answer).is_some_and(|stays| stays) {
                *kept = Some(stream);
            }
        }
        let asked = Asked {
            id,
            kind,
            account,
            vm,
            model,
            sent,
            written,
            ended: Instant::now(),
            answer,
            left: leaves,
        };
        self.notes().push(asked.clone());
        asked
    }
}

/// Reads a stream up to the end of the event after which its caller leaves; none where it ends before, or is none.
fn read_events(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let last = format!("data: token {RESUMED_AFTER}");
    let mut events = String::new();
    let mut is_last = false;
    loop {
        let mut line = String::new();
        stream
            .read_line(&mut line)
            .ok()
            .filter(|count| *count > 0)?;
        if line.starts_with("HTTP/1.1 ") && !line.contains(" 200 ") {
            return None;
        }
        is_last |= line.starts_with(&last);
        events.push_str(&line);
        if is_last && line == "\n" {
            return Some(events);
        }
    }
}

fn open(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    Some(BufReader::new(stream))
}

/// Reads one answer as far as it comes. Says whether the connection can be used again.
fn read(stream: &mut BufReader<TcpStream>, answer: &mut Answer) -> Option<bool> {
    let mut length = None;
    let mut in_chunks = false;
    let mut stays = true;
    let status = line(stream)?;
    answer.status = status.split(' ').nth(1)?.parse().ok()?;
    loop {
        let header = line(stream)?.to_ascii_lowercase();
        match header.split_once(": ") {
            None => break,
            Some(("server-seal", seal)) => seal
                .trim_start_matches("seal-")
                .clone_into(&mut answer.seal),
            Some(("connection", "close")) => stays = false,
            Some(("transfer-encoding", "chunked")) => in_chunks = true,
            Some(("content-length", text)) => length = text.parse().ok(),
            Some(_) => {}
        }
    }
    match length {
        Some(length) => body(stream, length, answer)?,
        None if in_chunks => chunks(stream, answer)?,
        None => {
            let mut bytes = Vec::new();
            let ended = stream.read_to_end(&mut bytes);
            answer.body.push_str(&String::from_utf8_lossy(&bytes));
            ended.ok()?;
            answer.unproven = true;
            return Some(false);
        }
    }
    answer.whole = true;
    Some(stays)
}

/// A line without its end; none where the connection ended before it did.
fn line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    stream.read_line(&mut line).ok()?;
    line.strip_suffix("\r\n").map(str::to_owned)
}

fn body(stream: &mut BufReader<TcpStream>, length: usize, answer: &mut Answer) -> Option<()> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).ok()?;
    answer.body.push_str(&String::from_utf8_lossy(&bytes));
    Some(())
}

fn chunks(stream: &mut BufReader<TcpStream>, answer: &mut Answer) -> Option<()> {
    loop {
        let length = usize::from_str_radix(&line(stream)?, 16).ok()?;
        body(stream, length, answer)?;
        line(stream)?;
        if length == 0 {
            return Some(());
        }
    }
}
