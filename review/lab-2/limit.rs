//! The servers of a plain service, one in each zone, name a very large limit of requests a second.

use std::collections::{BTreeMap, HashSet};
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

/// One server in each of three zones. Which VM counts the requests to a server follows from their names.
const SERVERS: [&str; 3] = ["i-da6b48b2", "i-d7effd9e", "i-68983db1"];
const CLIENTS: usize = 9;
/// The servers name their limit for this time, then for as long not, and so on.
const PHASE: Duration = Duration::from_secs(3);
const WHOLE: Duration = Duration::from_secs(39);
/// The delay after which the platform starts a process again that has ended.
const RESTART: Duration = Duration::from_millis(500);
/// The rule: on two machines at least, processes end by themselves three times.
const MACHINES: usize = 2;
const ENDS: usize = 3;

/// The limit that the servers name, from some time on.
#[derive(Clone)]
struct Limit {
    is_named: Arc<AtomicBool>,
    text: &'static str,
}

/// The requests that ran.
type Runs = Arc<Mutex<HashSet<String>>>;

fn serve(mut channel: Channel, own: &str, limit: &Limit, runs: &Runs) -> io::Result<()> {
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
        runs.lock().unwrap().insert(id.clone());
        thread::sleep(Duration::from_millis(60));
        let mut headers = vec![
            ("Request-Id", id.as_str()),
            ("Server-Seal", "3e1b.07"),
            ("Keep-Alive", "timeout=5"),
        ];
        if limit.is_named.load(Ordering::Relaxed) {
            headers.push(("Server-Limit", limit.text));
        }
        channel.write(&http::answer(200, &headers, &[b'x'; 800]))?;
    }
    Ok(())
}

struct Sent {
    at: Duration,
    id: String,
    status: Option<u16>,
}

fn client(number: usize, front: SocketAddr, begun: Instant, sent: &Mutex<Vec<Sent>>) {
    let mut kept: Option<Channel> = None;
    for count in 0.. {
        let at = begun.elapsed();
        if at > WHOLE {
            return;
        }
        let Some(mut channel) = kept
            .take()
            .or_else(|| Channel::connect(front, Duration::from_secs(5)).ok())
        else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let id = format!("{number:04x}{count:012x}");
        let request = format!(
            "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\nContent-Length: 5\r\n\r\nhello"
        );
        let answer = channel
            .write(request.as_bytes())
            .and_then(|()| channel.read());
        let status = answer.ok().flatten().map(|answer| answer.status());
        sent.lock().unwrap().push(Sent { at, id, status });
        kept = status.map(|_| channel);
        thread::sleep(Duration::from_millis(100));
    }
}

pub fn run(trouble: bool, record: &str) -> Result<bool, String> {
    let text = |error: io::Error| error.to_string();
    // Another limit, for comparison.
    let limit = Limit {
        is_named: Arc::default(),
        text: std::env::var("LIMIT").map_or("2000000", |limit| limit.leak()),
    };
    let store = Store::start(IpAddr::V4(Ipv4Addr::new(127, 0, 77, 200))).map_err(text)?;
    store.put("op/config", CONFIG);
    let runs = Runs::default();
    for (number, id) in (1..).zip(SERVERS) {
        let (limit, runs) = (limit.clone(), runs.clone());
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 78, number));
        let address =
            http::serve(ip, move |channel| serve(channel, id, &limit, &runs)).map_err(text)?;
        let value = format!(
            r#"{{"service":"desk","address":"{address}","zone":"z{number}","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"seq":0}}"#
        );
        store.put(&format!("servers/{id}"), &value);
    }
    let mut fleet = Fleet::start(3, &store, true)?;
    let begun = Instant::now();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (front, sent) = (fleet.vms[number % fleet.vms.len()].front, sent.clone());
        clients.push(thread::spawn(move || client(number, front, begun, &sent)));
    }
    let mut lines = format!("trouble={trouble} limit={}\n", limit.text);
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    while begun.elapsed() < WHOLE {
        thread::sleep(RESTART);
        let is_phase = begun.elapsed().as_secs() / PHASE.as_secs() % 2 == 1;
        limit.is_named.store(trouble && is_phase, Ordering::Relaxed);
        for (vm, how) in fleet.restart_ended()? {
            let _ = writeln!(
                lines,
                "{:8.3} s  the process of {vm} has ended: {how}",
                begun.elapsed().as_secs_f64()
            );
            *ends.entry(vm).or_default() += 1;
        }
    }
    for client in clients {
        let _ = client.join();
    }
    drop(fleet);
    let (sent, runs) = (sent.lock().unwrap(), runs.lock().unwrap());
    for Sent { at, id, status } in sent.iter() {
        let status = status.map_or("closed without an answer".to_owned(), |status| {
            status.to_string()
        });
        let ran = if runs.contains(id) { "ran" } else { "not run" };
        let _ = writeln!(
            lines,
            "{:8.3} s  POST {id}: {status}; {ran}",
            at.as_secs_f64()
        );
    }
    let ok = sent
        .iter()
        .filter(|request| request.status == Some(200))
        .count();
    let lost = sent
        .iter()
        .filter(|request| request.status.is_none() && runs.contains(&request.id))
        .count();
    let summary = format!(
        "{} requests, {ok} answered 200, {lost} ran and had no answer; ends of processes by themselves: {ends:?}\n",
        sent.len()
    );
    print!("{summary}");
    fs::write(record, lines + &summary).map_err(|error| error.to_string())?;
    if ok < CLIENTS {
        return Err("too few requests were answered for a judgement".to_owned());
    }
    Ok(ends.values().filter(|count| **count >= ENDS).count() < MACHINES)
}
