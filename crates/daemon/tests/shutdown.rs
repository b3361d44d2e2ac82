//! Daemons that are told to stop while a caller reads its answer slowly.

mod support;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use serde_json::json;
use support::Site;

/// Bytes of the answer: more than the system's buffers take, and than the caller reads while the daemon may go on.
const LENGTH: usize = 64 << 20;

/// Bytes that the caller reads at a time.
const PIECE: usize = 64 << 10;

/// The pause after each piece of a caller that needs a minute for the answer.
const SLOW: Duration = Duration::from_millis(60);

/// The pause of one that needs ten seconds, which is longer than a caller may leave its answer unread.
const SLOWISH: Duration = Duration::from_millis(10);

/// Settings under which the answer is small enough, and a caller of that pace not gone.
const SETTINGS: [&str; 2] = ["limits.answer_bytes=100000000", "limits.slow_ms=3000"];

/// A server that answers one request with [`LENGTH`] bytes.
fn server() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut caller, _) = listener.accept().unwrap();
        let _ = caller.read(&mut vec![0; PIECE]).unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n");
        caller.write_all(head.as_bytes()).unwrap();
        caller.write_all(&vec![b'7'; LENGTH]).unwrap();
    });
    address
}

/// Reads at the caller's pace until the connection ends; says how many bytes came.
fn read_slowly(mut caller: TcpStream, pause: Duration) -> usize {
    let mut piece = vec![0; PIECE];
    let mut total = 0;
    loop {
        match caller.read(&mut piece) {
            Ok(0) | Err(_) => return total,
            Ok(count) => total += count,
        }
        thread::sleep(pause);
    }
}

/// Bytes that a slow caller gets from a daemon that is told to stop while it answers, and perhaps a second time.
fn bytes_of_a_slow_answer(more: &[&str], pause: Duration, again: bool) -> usize {
    let site = Site::start();
    let daemon = site.daemon(&[&SETTINGS, more].concat());
    site.configure(&daemon);
    let change = json!([{ "put_server": {
        "name": "berths-1", "service": "berths", "zone": "botlek", "address": server(),
    } }]);
    let edit = json!({ "edit": { "id": "large", "author": "test", "base": 1, "changes": change } });
    let answer = support::post_operator(daemon.addresses().operators, &edit);
    assert_eq!(answer.status, 200, "{}", answer.text());
    let mut caller = support::connect(daemon.addresses().callers);
    let request = support::request("POST", "/services/berths/list", &[&support::bearer()], "{}");
    caller.write_all(&request).unwrap();
    caller.read_exact(&mut [0]).unwrap();
    let stopper = daemon.stopper();
    stopper.stop(false);
    let reading = thread::spawn(move || read_slowly(caller, pause));
    let waiting = thread::spawn(move || daemon.wait());
    if again {
        stopper.stop(true);
    }
    waiting.join().unwrap().unwrap();
    reading.join().unwrap()
}

/// Guards against a daemon that a slow caller keeps from ending after a second signal, until whoever waits for it kills it.
#[test]
fn shutdown_now_bounds_slow_callers() {
    assert!(bytes_of_a_slow_answer(&[], SLOW, true) < LENGTH);
}

/// Guards against a drain that outlasts `drain_ms` for as long as a caller reads its answer slowly.
#[test]
fn drain_bounds_slow_callers() {
    assert!(bytes_of_a_slow_answer(&["tuning.drain_ms=1000"], SLOW, false) < LENGTH);
}

/// Guards against answers that are cut short though the drain has time for their slow callers.
#[test]
fn drain_waits_for_slow_callers() {
    assert!(bytes_of_a_slow_answer(&[], SLOWISH, false) > LENGTH);
}
