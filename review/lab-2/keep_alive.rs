//! A release of a plain service. The new servers keep idle channels for ever and state that as the largest number of seconds.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Channel};
use crate::store::Store;
use crate::vms::{CONFIG, Fleet};

/// Servers of the service, as many as that of the deployment named in the claim.
const SERVERS: usize = 4;
/// How many of them are replaced.
const REPLACED: usize = 1;
/// Clients, each with one channel at a time.
const CLIENTS: usize = 12;
/// How long each client sends before the release begins, and in all.
const BEFORE: Duration = Duration::from_secs(4);
const WHOLE: Duration = Duration::from_secs(14);
/// The time between two replacements.
const GAP: Duration = Duration::from_secs(2);
/// The time for which a server that leaves still serves.
const DRAIN: Duration = Duration::from_millis(3_500);
/// The rule: more than three times.
const ALLOWED: usize = 3;

/// Which server ran each request.
type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

struct Server {
    id: String,
    address: SocketAddr,
}

impl Server {
    /// Starts a server and registers it.
    fn start(number: usize, keep: &'static str, runs: &Runs, store: &Store) -> io::Result<Self> {
        let id = format!("i-{number:08x}");
        let (runs, own) = (runs.clone(), id.clone());
        let ip = IpAddr::V4(Ipv4Addr::new(
            127,
            0,
            78,
            u8::try_from(number).unwrap_or(255),
        ));
        let address = http::serve(ip, move |channel| serve(channel, &own, keep, &runs))?;
        let server = Self { id, address };
        server.report("ready", store);
        Ok(server)
    }

    fn report(&self, state: &str, store: &Store) {
        let value = format!(
            r#"{{"service":"desk","address":"{}","zone":"z","version":"v1","slots":6,"state":"{state}","coldRemainingMs":0,"seq":0}}"#,
            self.address
        );
        store.put(&format!("servers/{}", self.id), &value);
    }
}

fn serve(mut channel: Channel, own: &str, keep: &str, runs: &Runs) -> io::Result<()> {
    while let Some(request) = channel.read()? {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request
            .header("expect-instance")
            .is_some_and(|wanted| wanted != own)
        {
            channel.write(&http::answer(
                421,
                &[("Request-Id", &id), ("Not-Executed", "1")],
                b"",
            ))?;
            continue;
        }
        runs.lock()
            .unwrap()
            .entry(id.clone())
            .or_default()
            .push(own.to_owned());
        thread::sleep(Duration::from_millis(20));
        let timeout = format!("timeout={keep}");
        let headers = [
            ("Request-Id", id.as_str()),
            ("Server-Seal", "3e1b.07"),
            ("Keep-Alive", &timeout),
        ];
        channel.write(&http::answer(200, &headers, &[b'x'; 800]))?;
    }
    Ok(())
}

/// What became of one request.
struct Sent {
    at: Duration,
    id: String,
    /// The number of requests before it on its channel.
    before: usize,
    /// The status of the whole answer; none where the channel ended without one.
    status: Option<u16>,
}

fn client(
    number: usize,
    front: SocketAddr,
    begun: Instant,
    end: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
) {
    let mut kept: Option<(Channel, usize)> = None;
    for count in 0.. {
        if end.load(Ordering::Relaxed) {
            return;
        }
        let opened = kept
            .take()
            .or_else(|| Some((Channel::connect(front, Duration::from_secs(5)).ok()?, 0)));
        let Some((mut channel, before)) = opened else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let id = format!("{number:04x}{count:012x}");
        let at = begun.elapsed();
        let request = format!(
            "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\nContent-Length: 5\r\n\r\nhello"
        );
        let answer = channel
            .write(request.as_bytes())
            .and_then(|()| channel.read());
        let status = answer.ok().flatten().map(|answer| answer.status());
        sent.lock().unwrap().push(Sent {
            at,
            id,
            before,
            status,
        });
        if status.is_some() {
            kept = Some((channel, before + 1));
        }
        thread::sleep(Duration::from_millis(60));
    }
}

pub fn run(trouble: bool, record: &str) -> Result<bool, String> {
    let text = |error: io::Error| error.to_string();
    // The same release with servers that state another timeout, for comparison.
    let keep: &'static str = match std::env::var("KEEP") {
        Ok(keep) => keep.leak(),
        Err(_) => "9223372036854775807",
    };
    let store = Store::start(IpAddr::V4(Ipv4Addr::new(127, 0, 77, 200))).map_err(text)?;
    store.put("op/config", CONFIG);
    let runs = Runs::default();
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        servers.push(Server::start(number, "5", &runs, &store).map_err(text)?);
    }
    let mut fleet = Fleet::start(2, &store, false)?;
    let (begun, end) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let front = fleet.vms[number % fleet.vms.len()].front;
        let (end, sent) = (end.clone(), sent.clone());
        clients.push(thread::spawn(move || {
            client(number, front, begun, &end, &sent)
        }));
    }
    thread::sleep(BEFORE);
    if trouble {
        for (number, old) in servers.iter().take(REPLACED).enumerate() {
            // The new one starts first; the old one serves on for a while, then its entry goes.
            Server::start(SERVERS + 1 + number, keep, &runs, &store).map_err(text)?;
            thread::sleep(Duration::from_millis(500));
            old.report("draining", &store);
            let (store, key) = (store.clone(), format!("servers/{}", old.id));
            thread::spawn(move || {
                thread::sleep(DRAIN);
                store.remove(&key);
            });
            thread::sleep(GAP);
        }
    }
    thread::sleep(WHOLE.saturating_sub(begun.elapsed()));
    end.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let alive = fleet.is_alive();
    drop(fleet);
    let (sent, runs) = (sent.lock().unwrap(), runs.lock().unwrap());
    let mut lines = format!("trouble={trouble} keep={keep} vms_alive={alive}\n");
    let (mut lost, mut unanswered) = (0, 0);
    for request in sent.iter() {
        let ran = runs.get(&request.id).map_or(&[][..], Vec::as_slice);
        let is_lost = request.status.is_none() && !ran.is_empty();
        unanswered += usize::from(is_lost);
        lost += usize::from(is_lost && request.before > 0);
        let status = request
            .status
            .map_or("closed without an answer".to_owned(), |status| {
                status.to_string()
            });
        let _ = writeln!(
            lines,
            "{:8.3} s  POST {} (number {} of its channel): {status}; ran at {ran:?}",
            request.at.as_secs_f64(),
            request.id,
            request.before + 1
        );
    }
    let ok = sent
        .iter()
        .filter(|request| request.status == Some(200))
        .count();
    let summary = format!(
        "{} requests, {ok} answered 200; {unanswered} ran and had no answer, {lost} of them on channels that had brought answers before; {ALLOWED} are allowed\n",
        sent.len()
    );
    print!("{summary}");
    fs::write(record, lines + &summary).map_err(|error| error.to_string())?;
    if ok < CLIENTS {
        return Err("too few requests were answered for a judgement".to_owned());
    }
    Ok(lost <= ALLOWED)
}
