//! One of four servers of a plain service is lost, while the list of servers also has entries of a service that the desired
//! state does not name, at addresses where nobody listens.

use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Channel};
use crate::store::Store;
use crate::vms::{CONFIG, Fleet};

const SERVERS: u8 = 4;
/// Entries of another writer.
const FOREIGN: u8 = 200;
/// Clients, each of which sends ten requests a second at most.
const CLIENTS: usize = 12;
/// When the server is lost, and the length of the whole.
const LOST_AT: Duration = Duration::from_secs(4);
const WHOLE: Duration = Duration::from_secs(40);
/// Three liveness report intervals, after which the entry of a silent server is removed.
const SILENCE: Duration = Duration::from_millis(3_600);
/// The rule: refused and failed requests are at most this part of those owed.
const ALLOWED: f64 = 0.6;

/// A server that can be killed.
struct Server {
    id: String,
    address: SocketAddr,
    is_dead: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    fn start(number: u8) -> io::Result<Self> {
        let id = format!("i-{number:08x}");
        let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 78, number), 0))?;
        let address = listener.local_addr()?;
        let is_dead = Arc::new(AtomicBool::new(false));
        let channels: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (own, dead, open) = (id.clone(), is_dead.clone(), channels.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if dead.load(Ordering::Relaxed) {
                    return;
                }
                open.lock().unwrap().extend(stream.try_clone());
                let own = own.clone();
                thread::spawn(move || {
                    Channel::new(stream).and_then(|channel| serve(channel, &own))
                });
            }
        });
        Ok(Self {
            id,
            address,
            is_dead,
            channels,
        })
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Ends it: nobody listens, and open channels are closed.
    fn kill(&self) {
        self.is_dead.store(true, Ordering::Relaxed);
        // Wakes the listener, which ends.
        drop(TcpStream::connect(self.address));
        for channel in self.channels.lock().unwrap().iter() {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut channel: Channel, own: &str) -> io::Result<()> {
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
        thread::sleep(Duration::from_millis(20));
        let headers = [
            ("Request-Id", id.as_str()),
            ("Server-Seal", "3e1b.07"),
            ("Keep-Alive", "timeout=5"),
        ];
        channel.write(&http::answer(200, &headers, &[b'x'; 800]))?;
    }
    Ok(())
}

/// An entry as replicas that report their starts write it.
fn entry(service: &str, address: SocketAddr) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"z","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"seq":0,"born":1767225600000}}"#
    )
}

type Sent = Mutex<Vec<(Duration, usize, String, Option<u16>)>>;

fn client(number: usize, front: SocketAddr, begun: Instant, sent: &Sent) {
    let mut kept: Option<Channel> = None;
    for count in 0.. {
        let at = begun.elapsed();
        if at > WHOLE {
            return;
        }
        let id = format!("{number:04x}{count:012x}");
        let line = if count % 2 == 0 {
            "POST /lohu930/2f"
        } else {
            "GET /pufi791/2f"
        };
        let request = format!(
            "{line} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
        );
        let opened = kept
            .take()
            .map_or_else(|| Channel::connect(front, Duration::from_secs(5)), Ok);
        let asked = opened.and_then(|mut channel| {
            channel.write(request.as_bytes())?;
            let answer = channel.read()?;
            Ok((channel, answer))
        });
        let (channel, status) = match asked {
            Ok((channel, Some(answer))) => (Some(channel), Some(answer.status())),
            _ => (None, None),
        };
        kept = channel;
        sent.lock().unwrap().push((at, number, id, status));
        thread::sleep(Duration::from_millis(100));
    }
}

pub fn run(trouble: bool, record: &str) -> Result<bool, String> {
    let text = |error: io::Error| error.to_string();
    // The same without the entries of another writer, for comparison.
    let foreign = std::env::var("FOREIGN")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(FOREIGN);
    let store = Store::start(IpAddr::V4(Ipv4Addr::new(127, 0, 77, 200))).map_err(text)?;
    store.put("op/config", CONFIG);
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let server = Server::start(number).map_err(text)?;
        store.put(&server.key(), &entry("desk", server.address));
        servers.push(server);
    }
    for number in 1..=foreign {
        let address = SocketAddr::from((Ipv4Addr::new(127, 0, 79, number), 1));
        store.put(
            &format!("servers/x-{number:08x}"),
            &entry("archive", address),
        );
    }
    let mut fleet = Fleet::start(3, &store, false)?;
    let begun = Instant::now();
    let sent: Arc<Sent> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (front, sent) = (fleet.vms[number % fleet.vms.len()].front, sent.clone());
        clients.push(thread::spawn(move || client(number, front, begun, &sent)));
    }
    thread::sleep(LOST_AT);
    if trouble {
        servers[0].kill();
        thread::sleep(SILENCE);
        store.remove(&servers[0].key());
    }
    for client in clients {
        let _ = client.join();
    }
    let alive = fleet.is_alive();
    drop(fleet);
    let mut sent = sent.lock().unwrap();
    sent.sort_by_key(|(at, ..)| *at);
    let mut lines = format!("trouble={trouble} foreign={foreign} vms_alive={alive}\n");
    for (at, number, id, status) in sent.iter() {
        let status = status.map_or("closed without an answer".to_owned(), |status| {
            status.to_string()
        });
        let _ = writeln!(
            lines,
            "{:8.3} s  client {number} {id}: {status}",
            at.as_secs_f64()
        );
    }
    let is_failed = |status: &Option<u16>| *status != Some(200);
    let failed = sent.iter().filter(|(.., status)| is_failed(status)).count();
    let part = failed as f64 / sent.len().max(1) as f64;
    let late = sent
        .iter()
        .filter(|(at, ..)| *at > LOST_AT + SILENCE + Duration::from_secs(3));
    let (late, late_failed) = late.fold((0, 0), |(all, bad), (.., status)| {
        (all + 1, bad + usize::from(is_failed(status)))
    });
    let summary = format!(
        "{} requests, {failed} refused or failed ({part:.2}; {ALLOWED} is allowed); of those sent 3 s after the entry was removed or later, {late_failed} of {late}\n",
        sent.len()
    );
    print!("{summary}");
    fs::write(record, lines + &summary).map_err(|error| error.to_string())?;
    let early = sent
        .iter()
        .filter(|(at, _, _, status)| *at < LOST_AT && is_failed(status))
        .count();
    if early > 0 {
        return Err("requests failed before the disruption".to_owned());
    }
    Ok(part <= ALLOWED)
}
