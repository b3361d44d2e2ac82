//! Callers over real sockets: each bad input has its own named error, and the daemon goes on serving.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};

use dahliastile_daemon::Daemon;
use dahliastile_standin::plain::Fault;
use serde_json::json;
use support::{MODEL, Site, bearer, connect, get, raw, request, send, until};

const COMPLETIONS: &str = "/v1/completions";

struct Rig {
    site: Site,
    daemon: Daemon,
    callers: SocketAddr,
}

impl Rig {
    fn start(more: &[&str]) -> Self {
        let site = Site::start();
        let daemon = site.daemon(more);
        site.configure(&daemon);
        let callers = daemon.addresses().callers;
        Self {
            site,
            daemon,
            callers,
        }
    }

    /// The kind and `ran` of an answer to bytes that are no good.
    fn error(&self, bytes: &[u8]) -> (u16, String, String) {
        let reply = raw(self.callers, bytes);
        let (kind, ran) = reply.error();
        assert!(reply.json()["error"]["request_id"].is_string(), "{reply:?}");
        (reply.status, kind, ran)
    }

    /// Sends a call to the plain service, which shows that the daemon serves.
    fn serves(&self) {
        let reply = send(self.callers, "POST", "/services/berths/book?n=1", &[], "{}");
        assert_eq!(reply.status, 200, "{}", reply.text());
    }

    fn end(self) {
        self.daemon.shutdown(false).unwrap();
    }
}

fn not_run(status: u16, kind: &str) -> (u16, String, String) {
    (status, kind.to_owned(), "no".to_owned())
}

fn completion(body: &serde_json::Value) -> Vec<u8> {
    request("POST", COMPLETIONS, &[&bearer()], &body.to_string())
}

#[test]
fn heads_malformed() {
    let rig = Rig::start(&[]);
    let bad: &[&[u8]] = &[
        b"nonsense\r\n\r\n",
        b"GET /\r\n\r\n",
        b"GET  / HTTP/1.1\r\n\r\n",
        b"GET nowhere HTTP/1.1\r\n\r\n",
        b"GET refused HTTP/1.1\r\n\r\n",
        b"GET / HTTP/2.0\r\n\r\n",
        b"GET / HTTP/1.1\nHost: a\n\n",
        b"GET / HTTP/1.1\r\nno colon\r\n\r\n",
        b"GET / HTTP/1.1\r\nna me: a\r\n\r\n",
        b"GET / HTTP/1.1\r\nname: \x01\r\n\r\n",
        b"GET / HTTP/1.1\r\nname: \xc3\xa9\r\n\r\n",
        b"GET / HTTP/1.1\r\n folded: a\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nExpect: a miracle\r\n\r\n",
    ];
    for bytes in bad {
        let shown = String::from_utf8_lossy(bytes);
        assert_eq!(rig.error(bytes), not_run(400, "bad_request"), "{shown:?}");
    }
    rig.serves();
    rig.end();
}

#[test]
fn heads_too_large() {
    let rig = Rig::start(&["limits.header_bytes=1024"]);
    let long = format!("GET / HTTP/1.1\r\nname: {}\r\n\r\n", "a".repeat(2_000));
    let expected = not_run(431, "headers_too_large");
    assert_eq!(rig.error(long.as_bytes()), expected);
    let endless = vec![b'a'; 100_000];
    assert_eq!(rig.error(&endless), expected);
    rig.serves();
    rig.end();
}

#[test]
fn bodies_too_large() {
    let rig = Rig::start(&["limits.body_bytes=1024"]);
    let expected = not_run(413, "body_too_large");
    let body = "a".repeat(2_000);
    assert_eq!(
        rig.error(&request("POST", COMPLETIONS, &[&bearer()], &body)),
        expected
    );
    // What is only announced is not waited for, and takes no memory.
    for length in [
        "99999999999999",
        "9223372036854775807",
        "99999999999999999999999",
    ] {
        let head = format!("POST {COMPLETIONS} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
        assert_eq!(rig.error(head.as_bytes()), expected, "{length}");
    }
    rig.serves();
    rig.end();
}

#[test]
fn tokens_missing_or_wrong() {
    let rig = Rig::start(&[]);
    let expected = not_run(401, "unauthorized");
    let paths = [
        "/v1/models",
        "/nowhere",
        "/services/berths/book",
        COMPLETIONS,
    ];
    for path in paths {
        assert_eq!(rig.error(&request("POST", path, &[], "{}")), expected);
        let wrong = ["Authorization: Bearer wrong"];
        assert_eq!(rig.error(&request("POST", path, &wrong, "{}")), expected);
        let scheme = ["Authorization: Basic skipper"];
        assert_eq!(rig.error(&request("POST", path, &scheme, "{}")), expected);
    }
    rig.serves();
    rig.end();
}

#[test]
fn completions_bad() {
    let rig = Rig::start(&[]);
    let cases = [
        (json!("text"), not_run(400, "bad_json")),
        (json!({ "prompt": "a" }), not_run(400, "bad_json")),
        (
            json!({ "model": 1, "prompt": "a" }),
            not_run(400, "bad_json"),
        ),
        (json!({ "model": MODEL }), not_run(400, "bad_json")),
        (
            json!({ "model": MODEL, "prompt": "a", "stream": "yes" }),
            not_run(400, "bad_json"),
        ),
        (
            json!({ "model": MODEL, "prompt": "a", "max_tokens": -1 }),
            not_run(400, "bad_json"),
        ),
        (
            json!({ "model": "lock", "prompt": "a" }),
            not_run(400, "missing_version"),
        ),
        (
            json!({ "model": "lock@4", "prompt": "a" }),
            not_run(404, "unknown_version"),
        ),
        (
            json!({ "model": "tug@1", "prompt": "a" }),
            not_run(404, "unknown_adapter"),
        ),
    ];
    for (body, expected) in cases {
        assert_eq!(rig.error(&completion(&body)), expected, "{body}");
    }
    let broken = request("POST", COMPLETIONS, &[&bearer()], "{\"model\":");
    assert_eq!(rig.error(&broken), not_run(400, "bad_json"));
    rig.serves();
    rig.end();
}

#[test]
fn headers_bad() {
    let rig = Rig::start(&[]);
    let long = format!("Idempotency-Key: {}", "k".repeat(300));
    let cases = [
        ("X-Timeout-Ms: 0", not_run(400, "deadline_past")),
        ("X-Timeout-Ms: soon", not_run(400, "deadline_past")),
        ("X-Timeout-Ms: -5", not_run(400, "deadline_past")),
        ("X-Non-Idempotent: maybe", not_run(400, "bad_request")),
        ("X-Zone: no zone", not_run(400, "bad_request")),
        ("Idempotency-Key:", not_run(400, "bad_request")),
        (long.as_str(), not_run(400, "bad_request")),
    ];
    for (header, expected) in cases {
        let bytes = request("POST", "/services/berths/book", &[&bearer(), header], "{}");
        assert_eq!(rig.error(&bytes), expected, "{header}");
    }
    rig.serves();
    rig.end();
}

#[test]
fn paths_unknown() {
    let rig = Rig::start(&[]);
    let cases = [
        ("GET", "/", not_run(404, "not_found")),
        ("GET", "/services/", not_run(404, "not_found")),
        ("GET", "/services/cranes/a", not_run(404, "not_found")),
        ("GET", "/services/plans/a", not_run(404, "not_found")),
        ("GET", COMPLETIONS, not_run(400, "bad_request")),
        ("DELETE", "/v1/models", not_run(400, "bad_request")),
    ];
    for (method, path, expected) in cases {
        let bytes = request(method, path, &[&bearer()], "");
        assert_eq!(rig.error(&bytes), expected, "{method} {path}");
    }
    rig.serves();
    rig.end();
}

#[test]
fn requests_before_the_configuration() {
    let site = Site::start();
    let daemon = site.daemon(&[]);
    let callers = daemon.addresses().callers;
    let reply = send(callers, "GET", "/v1/models", &[], "");
    assert_eq!(reply.error(), ("not_ready".to_owned(), "no".to_owned()));
    assert!(reply.head.contains("Retry-After: 1"), "{}", reply.head);
    assert_eq!(get(daemon.addresses().operators, "/readyz").status, 503);
    assert_eq!(get(daemon.addresses().operators, "/healthz").status, 200);
    daemon.shutdown(false).unwrap();
}

#[test]
fn models_listed() {
    let rig = Rig::start(&[]);
    let reply = send(rig.callers, "GET", "/v1/models", &[], "");
    assert_eq!(
        reply.json()["data"],
        json!([{ "id": MODEL, "object": "model" }])
    );
    rig.end();
}

#[test]
fn plain_calls_forwarded() {
    let rig = Rig::start(&[]);
    let headers = ["X-Request-Id: one"];
    let reply = send(
        rig.callers,
        "PUT",
        "/services/berths/a/b?c=d",
        &headers,
        "body",
    );
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert!(
        reply.head.contains("X-Request-Id: entry-1-"),
        "{}",
        reply.head
    );
    assert_eq!(rig.site.plain.service().history().request_ids["one"], 1);
    rig.end();
}

#[test]
fn plain_calls_refused_by_the_server() {
    let rig = Rig::start(&[]);
    rig.site.plain.fault(Fault::Refuse(100));
    let reply = send(rig.callers, "POST", "/services/berths/a", &[], "{}");
    assert_eq!(
        reply.error(),
        ("server_refused".to_owned(), "no".to_owned())
    );
    rig.end();
}

#[test]
fn plain_calls_broken() {
    let rig = Rig::start(&[]);
    rig.site.plain.fault(Fault::ResetAfterRun(1));
    let headers = ["X-Non-Idempotent: true", "X-Request-Id: one"];
    let reply = send(rig.callers, "POST", "/services/berths/a", &headers, "{}");
    assert_eq!(
        reply.error(),
        ("server_broke".to_owned(), "unknown".to_owned())
    );
    assert_eq!(rig.site.plain.service().history().request_ids["one"], 1);
    rig.end();
}

/// Several requests on one connection, sent without waiting, are answered in their order.
#[test]
fn connections_kept() {
    let rig = Rig::start(&[]);
    let mut stream = connect(rig.callers);
    let good = format!("GET /v1/models HTTP/1.1\r\n{}\r\n\r\n", bearer());
    let wrong = "GET /v1/models HTTP/1.1\r\n\r\n";
    stream
        .write_all(format!("{good}{wrong}{good}nonsense\r\n\r\n").as_bytes())
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let statuses: Vec<&str> = answer
        .match_indices("HTTP/1.1 ")
        .map(|(at, text)| &answer[at + text.len()..at + text.len() + 3])
        .collect();
    assert_eq!(statuses, ["200", "401", "200", "400"]);
    rig.end();
}

/// A caller that hangs up before its answer has come is noticed, and its work is given up.
#[test]
fn callers_gone() {
    let rig = Rig::start(&[]);
    rig.site.plain.fault(Fault::WorkMs(60_000));
    let mut stream = connect(rig.callers);
    let bytes = request("POST", "/services/berths/a", &[&bearer()], "{}");
    stream.write_all(&bytes).unwrap();
    let operators = rig.daemon.addresses().operators;
    // It is the first request of this start.
    let outcome = || {
        let explain = json!({ "explain": { "request": "1" } });
        let reply = support::post_operator(operators, &explain).json();
        reply["explain"]["outcome"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    };
    until(|| outcome().contains("Running"));
    stream.shutdown(Shutdown::Both).unwrap();
    until(|| outcome().starts_with("the caller went away"));
    rig.end();
}

#[test]
fn connections_over_the_limit() {
    let rig = Rig::start(&["limits.connections=2"]);
    let first = connect(rig.callers);
    let second = connect(rig.callers);
    // The first two are taken in before the third is looked at.
    let mut third = connect(rig.callers);
    let mut answer = Vec::new();
    third.read_to_end(&mut answer).unwrap();
    let reply = support::parse(&answer);
    assert_eq!(reply.status, 429);
    assert_eq!(reply.error(), ("queue_full".to_owned(), "no".to_owned()));
    drop((first, second));
    rig.end();
}

#[test]
fn operators_without_a_token() {
    let rig = Rig::start(&[]);
    let operators = rig.daemon.addresses().operators;
    for path in ["/metrics", "/operator", "/nowhere"] {
        let reply = raw(operators, &request("GET", path, &[&bearer()], ""));
        assert_eq!(reply.error().0, "unauthorized", "{path}");
    }
    assert_eq!(get(operators, "/nowhere").error().0, "not_found");
    let broken = support::post_operator(operators, &json!({ "no": "such" }));
    assert_eq!(broken.error().0, "bad_json");
    rig.end();
}

#[test]
fn metrics_rendered() {
    let rig = Rig::start(&[]);
    rig.serves();
    let page = get(rig.daemon.addresses().operators, "/metrics").text();
    let answered = "dahliastile_answered_total{vm=\"entry-1\",tenant=\"barges\",class=\"default\"";
    assert!(page.contains(answered), "{page}");
    assert!(
        page.contains("dahliastile_whole_answer_seconds_bucket"),
        "{page}"
    );
    rig.end();
}
