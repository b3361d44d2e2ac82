//! Stand-ins of the users' platform that end.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use dahliastile_standin::fleet::{Capacity, CopyForm, Crash, Fault, Repeat, Replica};

/// Servers that end. Where listeners were only dropped, 137 to 169 of them took a connection afterwards in three runs.
const SERVERS: u32 = 300;
/// Threads that start processes meanwhile.
const FORKS: u32 = 8;

/// Guards against a port that goes on taking connections after its server has ended, since a process that another thread
/// has just forked holds a copy of the listening socket.
#[test]
fn crash_portisclosedbesideforks() {
    let over = AtomicBool::new(false);
    let open = thread::scope(|scope| {
        let fork = || {
            while !over.load(Ordering::Relaxed) {
                let status = Command::new("true").stdout(Stdio::null()).status();
                assert!(status.is_ok_and(|status| status.success()));
            }
        };
        let forks: Vec<_> = (0..FORKS).map(|_| scope.spawn(fork)).collect();
        // The source of a connection is another address, so none connects to itself.
        let any = SocketAddr::from((Ipv4Addr::new(127, 0, 0, 2), 0));
        let takes = |_: &u32| {
            let server = Crash::start(any).expect("it listens");
            drop(TcpStream::connect(server.address()).expect("it takes a connection"));
            assert!(server.ended(Duration::from_secs(20)), "it has not ended");
            TcpStream::connect(server.address()).is_ok()
        };
        let open = (0..SERVERS).filter(takes).count();
        over.store(true, Ordering::Relaxed);
        for fork in forks {
            fork.join().expect("processes start");
        }
        open
    });
    assert_eq!(open, 0, "servers that had ended took a connection");
}

/// A plain server at an address of its own. No port of a closed listener is used, since a process that another thread has
/// just forked may hold a copy of it.
fn server() -> (Replica, SocketAddr) {
    let process = u8::try_from(std::process::id() % 200).expect("below 200") + 20;
    let hosts =
        (1..=u8::MAX).map(|host| SocketAddr::from((Ipv4Addr::new(127, process, 0, host), 8080)));
    let mut servers = hosts.filter_map(|address| {
        let server = Replica::start("p0", address, None, 0).ok()?;
        Some((server, address))
    });
    servers.next().expect("an address is free")
}

/// Sends a request and reads so many answers that have lengths.
fn exchange(stream: &mut TcpStream, id: &str, answers: usize) -> String {
    let request = format!("POST /x HTTP/1.1\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("it reads");
    let mut reader = BufReader::new(stream);
    let mut text = String::new();
    for _ in 0..answers {
        let mut length = 0;
        loop {
            let start = text.len();
            reader.read_line(&mut text).expect("an answer comes");
            let line = text[start..].trim_end();
            if line.is_empty() {
                break;
            }
            if let Some(value) = line.strip_prefix("Content-Length: ") {
                length = value.parse().expect("a number");
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).expect("its body comes");
        text.push_str(&String::from_utf8_lossy(&body));
    }
    text
}

/// Guards against plays of late copies that play none: a caller that reads answers in order gets the copy of a rejection,
/// as often and in as many parts as was set, before the answer to the request that met it, which runs.
#[test]
fn rejection_copycomesbeforethenextanswer() {
    for pause in [None, Some(Duration::from_millis(50))] {
        for (repeat, bears_id) in [
            (Repeat::Rejections, true),
            (Repeat::RejectionsWithoutId, false),
        ] {
            for count in [1, 2] {
                let (server, address) = server();
                server.set_repeat(repeat);
                server.set_copy_form(CopyForm { count, pause });
                let mut stream = TcpStream::connect(address).expect("it takes a connection");
                stream
                    .set_read_timeout(Some(Duration::from_secs(20)))
                    .expect("a timeout");
                server.set_fault(Fault::Full);
                let first = exchange(&mut stream, "first", 1);
                assert!(first.starts_with("HTTP/1.1 503"), "{first}");
                server.set_fault(Fault::None);
                let from = Instant::now();
                let rest = exchange(&mut stream, "second", count + 1);
                assert_eq!(rest.matches("HTTP/1.1 503").count(), count, "{rest}");
                assert_eq!(
                    rest.matches("Request-Id: first").count(),
                    count * usize::from(bears_id)
                );
                let last = rest.rsplit("HTTP/1.1 ").next().unwrap_or_default();
                assert!(last.starts_with("200"), "{rest}");
                assert!(pause.is_none_or(|pause| from.elapsed() >= pause));
                assert_eq!((server.runs().len(), server.rejections().len()), (1, 1));
                assert_eq!((server.copies_made(), server.copies_met()), (1, 1));
            }
        }
    }
}

/// Guards against plays of full servers whose servers take all.
#[test]
fn capacity_rejectswhatexceedsit() {
    let (server, address) = server();
    server.set_capacity(Capacity {
        slots: 1,
        queue: 1,
        work: Duration::from_millis(500),
    });
    let statuses = thread::scope(|scope| {
        let ask = || {
            let mut stream = TcpStream::connect(address).expect("it takes a connection");
            exchange(&mut stream, "one", 1)
        };
        let threads: Vec<_> = (0..3).map(|_| scope.spawn(ask)).collect();
        let answers = threads
            .into_iter()
            .map(|thread| thread.join().expect("it ends"));
        let mut statuses: Vec<_> = answers.map(|answer| answer[9..12].to_owned()).collect();
        statuses.sort_unstable();
        statuses
    });
    assert_eq!(statuses, ["200", "200", "503"]);
    assert_eq!((server.runs().len(), server.rejections().len()), (2, 1));
}
