//! What a plain service's answer proves: a call is refused as not run, or sent again, only on the service's own word.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use dahliastile_daemon::Daemon;
use serde_json::json;
use support::{Site, get, post_operator, send, until};

/// The words with which a service vouches that it did not run a call.
const NOT_RUN: &str = r#"{"error":{"code":"overloaded","message":"m","ran":"no"}}"#;

/// A plain service that counts calls and answers each with the same bytes.
struct Service {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
}

impl Service {
    fn start(answer: Vec<u8>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&calls);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                read_call(&mut stream);
                counted.fetch_add(1, Ordering::SeqCst);
                // The daemon may have hung up.
                let _ = stream.write_all(&answer);
            }
        });
        Self { address, calls }
    }
}

/// Reads a call, whose body is `{}`.
fn read_call(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n{}") {
        stream.read_exact(&mut byte).unwrap();
        bytes.push(byte[0]);
    }
}

/// A daemon in front of a service.
fn daemon(site: &Site, service: &Service) -> Daemon {
    let daemon = site.daemon(&[]);
    let operators = daemon.addresses().operators;
    let mut edit = site.first_edit();
    edit["edit"]["changes"][4]["put_server"]["address"] = json!(service.address);
    let answer = post_operator(operators, &edit);
    assert_eq!(answer.status, 200, "{}", answer.text());
    until(|| get(operators, "/readyz").status == 200);
    daemon
}

fn answer(status: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// The status and `ran` that a caller gets for work that must not run twice, and how often the service was called.
fn outcome(bytes: Vec<u8>) -> (u16, String, usize) {
    let service = Service::start(bytes);
    let site = Site::start();
    let daemon = daemon(&site, &service);
    let once = ["X-Non-Idempotent: true"];
    let callers = daemon.addresses().callers;
    let reply = send(callers, "POST", "/services/berths/book", &once, "{}");
    let (_, ran) = reply.error();
    daemon.shutdown(false).unwrap();
    (reply.status, ran, service.calls.load(Ordering::SeqCst))
}

/// Guards against work that is called not run, or sent a second time, on an answer that proves nothing.
#[test]
fn unproved_issentonce() {
    let whole = answer("503 Busy", NOT_RUN);
    let cut = whole[..whole.len() - 1].to_vec();
    let interim = [b"HTTP/1.1 100 Continue\r\n\r\n".as_slice(), &whole].concat();
    let unframed = &NOT_RUN[..NOT_RUN.len() - 1];
    let cases = [
        Vec::new(),
        cut,
        interim,
        format!("HTTP/1.1 503 Busy\r\n\r\n{unframed}").into_bytes(),
        answer("502 Bad", ""),
        answer("503 Busy", ""),
        answer("504 Late", "<html>"),
        answer("503 Busy", r#"{"error":{"code":"overloaded"}}"#),
        answer("503 Busy", r#"{"error":{"kind":"overloaded","ran":"no"}}"#),
        answer("503 Busy", r#"{"error":{"code":"x","ran":"unknown"}}"#),
        answer("503 Busy", &format!("{NOT_RUN}{NOT_RUN}")),
    ];
    for case in cases {
        let text = String::from_utf8_lossy(&case).into_owned();
        assert_eq!(outcome(case), (502, "unknown".to_owned(), 1), "{text:?}");
    }
}

/// Guards against an answer of the service that becomes a refusal of this system because of words in its body.
#[test]
fn success_ispassedon() {
    for status in ["200 OK", "302 Elsewhere"] {
        let code = status[..3].parse().unwrap();
        let passed = (code, "no".to_owned(), 1);
        assert_eq!(outcome(answer(status, NOT_RUN)), passed, "{status}");
    }
}

/// Guards against a service's own word that is not taken: such calls may be tried again, and their callers are told.
#[test]
fn proved_isrefused() {
    for status in ["400 Bad", "429 Many", "503 Busy"] {
        let (code, ran, calls) = outcome(answer(status, NOT_RUN));
        assert_eq!((code, ran.as_str()), (503, "no"), "{status}");
        assert!(calls >= 1, "{status}");
    }
}
