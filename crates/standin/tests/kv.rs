//! The key-value service: revisions, transactions, leases, watches and faults.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use dahliastile_standin::caller;
use dahliastile_standin::kv::{Fault, Kv, Server, Settings};
use dahliastile_standin::{Fault as Common, Host, Outage};
use serde_json::{Value, json};

fn start() -> Server {
    start_with(Settings::default())
}

fn start_with(settings: Settings) -> Server {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    Host::start(listen, Kv::new(settings)).expect("a free port")
}

fn encoded(text: &str) -> String {
    STANDARD.encode(text)
}

fn call(server: &Server, path: &str, body: &Value) -> Result<(i32, Value), minreq::Error> {
    let url = format!("http://{}{path}", server.address());
    let answer = minreq::post(url)
        .with_body(body.to_string())
        .with_timeout(20)
        .send()?;
    caller::answered(&answer.reason_phrase)?;
    Ok((
        answer.status_code,
        serde_json::from_slice(answer.as_bytes()).unwrap_or_default(),
    ))
}

fn ok(server: &Server, path: &str, body: &Value) -> Value {
    let (status, answer) = call(server, path, body).expect("answer");
    assert_eq!(status, 200, "{answer}");
    answer
}

fn put(server: &Server, key: &str, value: &str) -> Value {
    ok(
        server,
        "/v3/kv/put",
        &json!({"key": encoded(key), "value": encoded(value)}),
    )
}

fn get(server: &Server, key: &str) -> Value {
    ok(server, "/v3/kv/range", &json!({"key": encoded(key)}))["kvs"][0].clone()
}

fn create(key: &str, value: &str) -> Value {
    let compare = json!({"target": "CREATE", "key": encoded(key), "create_revision": "0"});
    let put = json!({"request_put": {"key": encoded(key), "value": encoded(value)}});
    let read = json!({"request_range": {"key": encoded(key)}});
    json!({"compare": [compare], "success": [put], "failure": [read]})
}

/// A watch's lines, read byte by byte as they come.
struct Watch(Box<dyn Iterator<Item = Value>>);

impl Watch {
    fn start(server: &Server, body: &Value) -> Self {
        let url = format!("http://{}/v3/watch", server.address());
        let body = json!({ "create_request": body }).to_string();
        let response = minreq::post(url)
            .with_body(body)
            .with_timeout(20)
            .send_lazy();
        // One byte at a time, since a buffered read waits until its buffer is full.
        let lines = BufReader::with_capacity(1, response.expect("answer")).lines();
        let values = lines
            .map_while(Result::ok)
            .filter_map(|line| serde_json::from_str(&line).ok());
        let mut watch = Self(Box::new(values.map(|value: Value| value["result"].clone())));
        assert_eq!(watch.next()["created"], true);
        watch
    }

    fn next(&mut self) -> Value {
        self.0.next().expect("one more line")
    }

    fn ended(&mut self) -> bool {
        self.0.next().is_none()
    }
}

#[test]
fn put_revisions() {
    let server = start();
    assert_eq!(put(&server, "a", "1")["header"]["revision"], "2");
    put(&server, "a", "2");
    let item = get(&server, "a");
    assert_eq!(item["create_revision"], "2");
    assert_eq!(item["mod_revision"], "3");
    assert_eq!(item["version"], "2");
    assert_eq!(item["value"], encoded("2"));
}

#[test]
fn range_prefix_limit_past() {
    let server = start();
    for key in ["a/1", "a/2", "a/3", "b/1"] {
        put(&server, key, "x");
    }
    let prefix = json!({"key": encoded("a/"), "range_end": encoded("a0"), "limit": "2"});
    let answer = ok(&server, "/v3/kv/range", &prefix);
    assert_eq!(answer["kvs"].as_array().map(Vec::len), Some(2));
    assert_eq!(
        (&answer["count"], &answer["more"]),
        (&json!("3"), &json!(true))
    );
    let past = json!({"key": encoded("a/"), "range_end": encoded("a0"), "revision": 3});
    assert_eq!(ok(&server, "/v3/kv/range", &past)["count"], "2");
    server.fault(Fault::Compact);
    let (status, error) = call(&server, "/v3/kv/range", &past).expect("answer");
    assert_eq!((status, &error["code"]), (400, &json!(11)));
}

#[test]
fn txn_compare_and_swap() {
    let server = start();
    assert_eq!(
        ok(&server, "/v3/kv/txn", &create("a", "1"))["succeeded"],
        true
    );
    let second = ok(&server, "/v3/kv/txn", &create("a", "2"));
    assert_eq!(second["succeeded"], Value::Null);
    let found = &second["responses"][0]["response_range"]["kvs"][0]["value"];
    assert_eq!(found, &json!(encoded("1")));
}

#[test]
fn txn_targets() {
    let server = start();
    put(&server, "a", "1");
    put(&server, "a", "2");
    let key = encoded("a");
    let holds = |mut compare: Value| {
        compare["key"] = json!(key);
        ok(&server, "/v3/kv/txn", &json!({"compare": [compare]}))["succeeded"] == true
    };
    assert!(holds(json!({"target": "VERSION", "version": "2"})));
    assert!(holds(json!({"target": "CREATE", "create_revision": "2"})));
    assert!(holds(
        json!({"target": "MOD", "result": "GREATER", "mod_revision": "2"})
    ));
    assert!(holds(json!({"target": "VALUE", "value": encoded("2")})));
    assert!(holds(
        json!({"target": "VALUE", "result": "NOT_EQUAL", "value": encoded("1")})
    ));
    assert!(!holds(
        json!({"target": "MOD", "result": "LESS", "mod_revision": "3"})
    ));
}

#[test]
fn txn_duplicate_key_has_no_effect() {
    let server = start();
    let put = json!({"request_put": {"key": encoded("a"), "value": encoded("1")}});
    let body = json!({"success": [put, put]});
    assert_eq!(call(&server, "/v3/kv/txn", &body).expect("answer").0, 400);
    assert!(server.service().item(b"a").is_none());
}

#[test]
fn lease_expired_deletes() {
    let server = start();
    let lease = ok(&server, "/v3/lease/grant", &json!({"TTL": "60", "ID": "7"}))["ID"].clone();
    let mut watch = Watch::start(&server, &json!({"key": encoded("a")}));
    let attached = json!({"key": encoded("a"), "value": encoded("1"), "lease": lease});
    ok(&server, "/v3/kv/put", &attached);
    assert_eq!(watch.next()["events"][0]["kv"]["lease"], lease);
    server.fault(Fault::ExpireLease(7));
    assert_eq!(watch.next()["events"][0]["type"], "DELETE");
    let alive = ok(&server, "/v3/lease/keepalive", &json!({"ID": lease}));
    assert_eq!(alive["result"]["TTL"], Value::Null);
    assert_eq!(
        call(&server, "/v3/kv/put", &attached).expect("answer").0,
        404
    );
}

#[test]
fn lease_runs_out() {
    let server = start_with(Settings {
        second: Duration::from_millis(20),
    });
    let lease = ok(&server, "/v3/lease/grant", &json!({"TTL": "1"}))["ID"].clone();
    let attached = json!({"key": encoded("a"), "value": encoded("1"), "lease": lease});
    // Writes do not renew the lease, so that they are refused in the end.
    while call(&server, "/v3/kv/put", &attached).expect("answer").0 != 404 {}
    assert!(server.service().item(b"a").is_none());
}

#[test]
fn lease_kept_and_revoked() {
    let server = start();
    let lease = ok(&server, "/v3/lease/grant", &json!({"TTL": "60", "ID": "7"}))["ID"].clone();
    ok(
        &server,
        "/v3/kv/put",
        &json!({"key": encoded("a"), "lease": lease}),
    );
    let alive = ok(&server, "/v3/lease/keepalive", &json!({"ID": lease}));
    assert_eq!(alive["result"]["TTL"], "60");
    server.fault(Fault::ExpireLease(7));
    assert!(server.service().item(b"a").is_none());
    let revoked = call(&server, "/v3/lease/revoke", &json!({"ID": lease})).expect("answer");
    assert_eq!(revoked.0, 404);
}

#[test]
fn watch_from_the_past() {
    let server = start();
    put(&server, "a/1", "x");
    put(&server, "b/1", "x");
    put(&server, "a/2", "x");
    let body = json!({"key": encoded("a/"), "range_end": encoded("a0"), "start_revision": "2"});
    let mut watch = Watch::start(&server, &body);
    assert_eq!(watch.next()["header"]["revision"], "2");
    assert_eq!(watch.next()["header"]["revision"], "4");
    let delete = json!({"key": encoded("a/1")});
    assert_eq!(ok(&server, "/v3/kv/deleterange", &delete)["deleted"], "1");
    assert_eq!(watch.next()["events"][0]["type"], "DELETE");
    assert_eq!(server.service().calls().watching, 1);
}

#[test]
fn watch_compacted() {
    let server = start();
    put(&server, "a", "1");
    put(&server, "a", "2");
    server.fault(Fault::Compact);
    let mut watch = Watch::start(
        &server,
        &json!({"key": encoded("a"), "start_revision": "2"}),
    );
    let canceled = watch.next();
    assert_eq!(canceled["canceled"], true);
    assert_eq!(canceled["compact_revision"], "3");
    assert!(watch.ended());
}

#[test]
fn watch_cut() {
    let server = start();
    let mut watch = Watch::start(&server, &json!({"key": encoded("a")}));
    server.fault(Fault::CutWatches);
    assert!(watch.ended());
}

#[test]
fn write_faults() {
    let server = start();
    let calls = server.service().calls();
    assert_eq!((calls.reads, calls.writes), (0, 0));
    server.fault(Fault::LoseAnswers(1));
    assert!(call(&server, "/v3/kv/txn", &create("a", "1")).is_err());
    assert!(server.service().item(b"a").is_some());
    server.fault(Fault::DropWrites(1));
    assert!(call(&server, "/v3/kv/txn", &create("b", "1")).is_err());
    assert!(server.service().item(b"b").is_none());
    put(&server, "c", "1");
    get(&server, "c");
    let calls = server.service().calls();
    assert_eq!((calls.reads, calls.writes), (1, 3));
}

#[test]
fn write_late() {
    let server = start();
    let mut watch = Watch::start(&server, &json!({"key": encoded("a")}));
    server.fault(Fault::LateWrites {
        count: 1,
        delay_ms: 5,
    });
    assert!(call(&server, "/v3/kv/txn", &create("a", "1")).is_err());
    assert_eq!(watch.next()["events"][0]["kv"]["version"], "1");
}

#[test]
fn outage_refused() {
    let server = start();
    put(&server, "a", "1");
    server.disturb(Common::Outage(Outage::Refused));
    let refused = std::net::TcpStream::connect(server.address()).map_err(|error| error.kind());
    assert_eq!(refused.err(), Some(std::io::ErrorKind::ConnectionRefused));
    let control = format!("http://{}/fault", server.control());
    let over = json!({"outage": "none"}).to_string();
    assert_eq!(
        minreq::post(control)
            .with_body(over)
            .send()
            .expect("answer")
            .status_code,
        200
    );
    assert_eq!(get(&server, "a")["value"], encoded("1"));
}

#[test]
fn outage_silent() {
    let server = start();
    server.disturb(Common::Outage(Outage::Silent));
    let url = format!("http://{}/v3/kv/put", server.address());
    let body = json!({"key": encoded("a"), "value": encoded("1")}).to_string();
    let sent = std::thread::spawn(move || {
        minreq::post(url)
            .with_body(body)
            .with_timeout(20)
            .send()
            .map(|answer| answer.status_code)
    });
    let mut idle = std::net::TcpStream::connect(server.address()).expect("a connection");
    idle.set_read_timeout(Some(Duration::from_millis(20)))
        .expect("a timeout");
    assert!(idle.read(&mut [0]).is_err());
    assert!(server.service().item(b"a").is_none());
    server.disturb(Common::Outage(Outage::None));
    assert_eq!(sent.join().expect("a thread").expect("answer"), 200);
}

#[test]
fn body_malformed() {
    let server = start();
    let unknown = json!({"key": encoded("a"), "vlaue": ""});
    assert_eq!(
        call(&server, "/v3/kv/put", &unknown).expect("answer").0,
        400
    );
    assert_eq!(
        call(&server, "/v3/kv/put", &json!({"key": "%"}))
            .expect("answer")
            .0,
        400
    );
    assert_eq!(
        call(&server, "/v3/kv/put", &json!({})).expect("answer").0,
        400
    );
}
