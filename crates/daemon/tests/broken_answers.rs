//! Answers that their servers break off, and answers that end with their connection: a caller is told that an answer is
//! whole only where its server said so.

#[path = "platform/fleet.rs"]
mod fleet;

use std::io::Write as _;
use std::time::{Duration, Instant};

use dahliastile_body::Framing;
use dahliastile_standin::fleet::Fault;
use fleet::{Answer, Fleet, ran, read_until, request, request_with, until};

/// The paths of the routes, with the adapter that is asked for.
const PATHS: [(&str, Option<&str>); 4] = [
    ("/plan/x", Some("base/a1")),
    ("/berth/x", Some("base/a1")),
    ("/query/x", None),
    ("/post/x", None),
];

/// A fleet of one VM whose servers frame their answers so.
fn fleet(framing: Framing) -> Fleet {
    let fleet = Fleet::start_ready(1);
    until("the adapter is loaded", || {
        fleet.vms[0].ask("warm", "/plan/x", Some("base/a1")).status == 200
    });
    for server in fleet.engines.iter().chain(&fleet.plain) {
        server.set_framing(framing);
    }
    fleet
}

fn set_fault(fleet: &Fleet, fault: Fault) {
    for server in fleet.engines.iter().chain(&fleet.plain) {
        server.set_fault(fault);
    }
}

fn events(count: u64, line_end: &str) -> String {
    let event = |n| format!("id: {n}{line_end}data: token {n}{line_end}{line_end}");
    (1..=count).map(event).collect()
}

/// The body of a whole answer to a request for a path.
fn body(answer: &Answer, path: &str) -> String {
    let text = answer.text.to_ascii_lowercase();
    let seal = text.split("server-seal: seal-").nth(1);
    let server = seal.and_then(|rest| rest.split("\r\n").next());
    match path {
        "/plan/x" | "/berth/x" => events(5, "\n"),
        _ => format!("answer of {}", server.unwrap_or_default()),
    }
}

/// Guards against a broken answer that its caller gets with a length or a last chunk, and against a reset that becomes an
/// end of the connection.
#[test]
fn answer_brokenoffisnotcomplete() {
    for framing in [Framing::Length, Framing::Chunked, Framing::Connection] {
        let fleet = fleet(framing);
        for fault in [Fault::CutsAnswer, Fault::ResetsAnswer] {
            set_fault(&fleet, fault);
            for (path, model) in PATHS {
                let id = format!("{framing}{fault:?}{path}");
                let answer = fleet.vms[0].ask(&id, path, model);
                let case = format!("{id}: {}", answer.text);
                // Without a length or chunks, and without a reset, a plain answer may be whole as far as anybody knows.
                let unknown =
                    framing == Framing::Connection && fault == Fault::CutsAnswer && model.is_none();
                let claims = answer.status == 200
                    && (answer.whole || answer.framing == Framing::Connection && !answer.reset);
                if path == "/berth/x" {
                    // It goes on at the other server, which breaks it off as well.
                    assert!(answer.body().starts_with(&events(3, "\n")), "{case}");
                }
                assert!(!claims || unknown && !answer.whole, "{case}");
            }
        }
    }
}

/// Guards against a stream that is not resumed although it ended within an event.
#[test]
fn stream_brokenoffgoeson() {
    let fleet = fleet(Framing::Connection);
    for broken in 0..2 {
        set_fault(&fleet, Fault::None);
        fleet.engines[broken].set_fault(Fault::CutsAnswer);
        for number in 0..4 {
            let id = format!("{broken}{number}");
            let answer = fleet.vms[0].ask(&id, "/berth/x", Some("base/a1"));
            assert_eq!(answer.body(), events(5, "\n"), "{id}: {}", answer.text);
        }
    }
}

/// Guards against a whole answer that gets a length or a last chunk although its server sent none, and against one that is
/// kept from its caller for that.
#[test]
fn answer_endingwithitsconnectionisservedwithoutaclaim() {
    let fleet = fleet(Framing::Connection);
    for (path, model) in PATHS {
        let answer = fleet.vms[0].ask(&format!("w{path}"), path, model);
        let case = format!("{path}: {}", answer.text);
        assert_eq!(answer.status, 200, "{case}");
        assert_eq!(answer.body(), body(&answer, path), "{case}");
        assert_eq!(answer.framing, Framing::Connection, "{case}");
        assert!(!answer.reset, "{case}");
    }
}

/// Guards against an end of the connection that a caller of HTTP/1.0, who gets no chunks, takes for the end of the answer.
#[test]
fn answer_brokenoffisresetforhttp10() {
    let fleet = fleet(Framing::Chunked);
    let ask = |id: &str| {
        let request = request(id, "/plan/x", Some("base/a1"));
        fleet.vms[0].raw(&request.replace("HTTP/1.1", "HTTP/1.0"))
    };
    let whole = ask("whole");
    assert_eq!((whole.status, whole.reset), (200, false), "{}", whole.text);
    assert_eq!(whole.body(), events(5, "\n"));
    set_fault(&fleet, Fault::CutsAnswer);
    let broken = ask("broken");
    assert!(broken.reset, "{}", broken.text);
}

/// Guards against events that are held back to the end of their stream since their lines don't end with LF alone.
#[test]
fn events_passedonwhateverendstheirlines() {
    const PACE: Duration = Duration::from_millis(300);
    let fleet = fleet(Framing::Chunked);
    for line_end in ["\n", "\r\n", "\r"] {
        for engine in &fleet.engines {
            engine.set_line_end(line_end);
            engine.set_pace(PACE);
        }
        let request = request("lines", "/plan/x", Some("base/a1"));
        let mut stream = fleet.vms[0].open(&request).expect("a connection");
        let sent = Instant::now();
        read_until(&mut stream, "token 1");
        // The whole stream takes five times the pace.
        assert!(
            sent.elapsed() < 4 * PACE,
            "{line_end:?}: {:?}",
            sent.elapsed()
        );
        let answer = fleet::read(stream);
        assert!(
            answer.text.ends_with("0\r\n\r\n"),
            "{line_end:?}: {}",
            answer.text
        );
    }
}

/// Lines of a head whose fields are none: their names hold blanks, control bytes or other characters that names don't have,
/// or their values hold control bytes.
const HEAD_LINES: [&str; 16] = [
    "X Odd: 1",
    "X-Odd : 1",
    "Content-Length : 3",
    "Content-Length\t: 3",
    "X\tOdd: 1",
    "X\u{1}Odd: 1",
    "X\u{7f}Odd: 1",
    "X\u{0}Odd: 1",
    "X-Odd\u{b}: 1",
    "X\rOdd: 1",
    "(X): 1",
    "\u{c4}: 1",
    ": 1",
    "no field",
    " X-Odd: 1",
    "X-Odd: a\u{1}b",
];

/// Checks that callers get nothing of answers with these faults.
fn check_noanswer(faults: impl Iterator<Item = Fault>) {
    let fleet = fleet(Framing::Length);
    let mut broken = Vec::new();
    for (number, fault) in faults.enumerate() {
        set_fault(&fleet, fault);
        for (path, model) in PATHS {
            let id = format!("odd{number}{path}");
            let headers = "Deadline-Ms: 1500\r\nConnection: close\r\n";
            let answer = fleet.vms[0].raw(&request_with(&id, path, model, headers));
            let text = answer.text.to_ascii_lowercase();
            let is_passed = text.contains("odd\n") || text.contains("server-seal");
            if is_passed || !matches!(answer.status, 502 | 504) {
                broken.push(format!("{fault:?} {path}: {text:?}"));
            }
            let runs = ran(&fleet.engines, &id) + ran(&fleet.plain, &id);
            assert!(runs > 0, "{fault:?} {path}: it reached no server: {text}");
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against an answer with a line in its head that is no field, which its caller gets with that line, or with a body that
/// is not the server's.
#[test]
fn answer_linethatisnofield() {
    check_noanswer(HEAD_LINES.into_iter().map(Fault::HeadLine));
}

/// Parts of answers, whose servers close the connection within the head.
const HEAD_PARTS: [&str; 14] = [
    "HTTP/1.1 200 OK",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {seal}",
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {seal}\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {seal}\r\nContent-Length: 1",
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {seal}\r\nContent-Length: 0\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {seal}\r\nContent-Length: 0\r\n\r",
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {seal}\r\nTransfer-Encoding: chunked\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {seal}\r\nConnection: close\r\n",
    "HTTP/1.1 200 OK\r\nConnection: close\r\nServer-Seal: {seal}\r\nRequest-Id: {id}\r\n",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {seal}\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n",
    "HTTP/1.0 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {seal}\r\n",
];

/// Guards against an answer that stops within its head, and that its caller gets as a success with an empty or short body, or
/// as a promise that the request has not run.
#[test]
fn answer_stoppedinitshead() {
    check_noanswer(HEAD_PARTS.into_iter().map(Fault::HeadStops));
}

/// First lines of what is no answer of a server.
const STATUS_LINES: [&str; 14] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.0 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 199 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 +20 OK",
    "HTTP/1.1 2OO OK",
    "HTTP/1.1  200 OK",
    "HTTP/9.9 200 OK",
    "200 OK",
];

/// Guards against an answer whose status is none, and that its caller gets as an answer.
#[test]
fn answer_statusofnoanswer() {
    check_noanswer(STATUS_LINES.into_iter().map(Fault::StatusLine));
}

/// Guards against bytes behind an answer that has no body, which its caller gets as one or takes for the next answer.
#[test]
fn answer_statuswithoutbody() {
    let fleet = fleet(Framing::Length);
    for (line, statuses) in [
        ("HTTP/1.1 204 No Content", [204, 204]),
        ("HTTP/1.1 304 Not Modified", [304, 304]),
        ("HTTP/1.1 205 Reset Content", [502, 504]),
    ] {
        set_fault(&fleet, Fault::StatusLine(line));
        for (path, model) in PATHS {
            let headers = "Deadline-Ms: 1500\r\n";
            let text = request_with(
                &format!("{line}{path}").replace(' ', ""),
                path,
                model,
                headers,
            );
            let mut stream = fleet.vms[0].open(&text).expect("a connection");
            let head = read_until(&mut stream, "\r\n\r\n").to_ascii_lowercase();
            let status = head
                .split(' ')
                .nth(1)
                .and_then(|word| word.parse::<u16>().ok());
            assert!(
                status.is_some_and(|status| statuses.contains(&status)),
                "{path}: {head}"
            );
            let claims_body = head.contains("chunked") || head.contains("content-length: 17");
            assert!(!claims_body && !head.contains("odd"), "{path}: {head}");
            if status != Some(502) {
                // The next answer of the connection is the next request's.
                set_fault(&fleet, Fault::None);
                let next = request("next", "/query/x", None);
                stream.write_all(next.as_bytes()).expect("it is kept");
                let next = fleet::read(stream);
                assert!(next.status == 200 && next.whole, "{path}: {}", next.text);
                set_fault(&fleet, Fault::StatusLine(line));
            }
        }
    }
}

/// Guards against a stream that begins anew at another server, within one answer, since the id of its last event can't be
/// named there as it is.
#[test]
fn stream_goesonafteranyid() {
    let fleet = fleet(Framing::Chunked);
    for (ids, least) in [("a b:", 5), ("\u{e4}\u{20ac}", 5), ("\u{1}", 2)] {
        for engine in &fleet.engines {
            engine.set_event_ids(ids);
        }
        for number in 0..4 {
            fleet.engines[0].set_fault(Fault::CutsStream);
            let answer = fleet.vms[0].ask(
                &format!("{}{number}", ids.len()),
                "/berth/x",
                Some("base/a1"),
            );
            let body = answer.body();
            let tokens: Vec<&str> = body
                .lines()
                .filter(|line| line.starts_with("data"))
                .collect();
            let expected: Vec<String> = (1..=5)
                .map(|number| format!("data: token {number}"))
                .collect();
            assert_eq!(tokens, expected[..tokens.len()], "{ids:?}: {}", answer.text);
            assert!(tokens.len() >= least, "{ids:?}: {}", answer.text);
        }
    }
}
