//! The key-value client against scripted servers: what is known of each call's effect.

mod support;

use dahliastile_outside::kv::{Change, Client, Compare, Notice, Outcome, Put, Read, Timeouts, Txn};
use dahliastile_outside::{Cancel, Endpoint, Error, Lease, Revision};
use serde_json::{Value, json};
use std::time::Duration;
use support::{AMPLE, CHUNKED, End, Listener, Nobody, Script, Server, answer, chunk, closes};

const TIMES: Timeouts = Timeouts {
    read: AMPLE,
    write: AMPLE,
    lease: AMPLE,
    watch: AMPLE,
};

fn client(endpoints: &[Endpoint]) -> Client {
    Client::new(endpoints.to_vec(), TIMES, Cancel::new())
}

fn serve(body: &str) -> Server {
    Server::start(vec![closes(answer("200 OK", body))])
}

fn body(request: &str) -> Value {
    serde_json::from_str(request.split_once("\r\n\r\n").unwrap().1).unwrap()
}

fn txn() -> Txn {
    Txn {
        compares: vec![
            Compare::Absent(b"a".into()),
            Compare::Changed(b"b".into(), Revision(7)),
            Compare::Created(b"c".into(), Revision(8)),
            Compare::Value(b"d".into(), b"v".into()),
        ],
        puts: vec![Put {
            key: b"a".into(),
            value: b"v".into(),
            lease: Some(Lease(5)),
        }],
        deletes: vec![b"b".into()],
        reads: vec![Read::Key(b"a".into())],
    }
}

#[test]
fn get_found_and_absent() {
    let found = r#"{"header":{"revision":"12"},"kvs":[{"key":"YQ==","value":"dg==","create_revision":"3","mod_revision":"9","version":"2","lease":"5"}],"count":"1"}"#;
    let server = serve(found);
    let Outcome::Done((revision, Some(entry))) = client(&[server.endpoint]).get(b"a") else {
        panic!("not found");
    };
    assert_eq!(revision, Revision(12));
    assert_eq!((entry.key, entry.value), (b"a".to_vec(), b"v".to_vec()));
    assert_eq!((entry.created, entry.changed), (Revision(3), Revision(9)));
    assert_eq!(entry.lease, Some(Lease(5)));
    let request = server.join().remove(0);
    assert!(request.starts_with("POST /v3/kv/range HTTP/1.1\r\n"));
    assert_eq!(body(&request), json!({ "key": "YQ==" }));
    let server = serve(r#"{"header":{"revision":"12"}}"#);
    assert_eq!(
        client(&[server.endpoint]).get(b"a"),
        Outcome::Done((Revision(12), None))
    );
}

#[test]
fn get_not_proved_absent() {
    for text in ["{}", "", "{\"header\":", r#"{"header":{"revision":"x"}}"#] {
        let outcome = client(&[serve(text).endpoint]).get(b"a");
        assert!(
            matches!(outcome, Outcome::Unknown(Error::Broken(_))),
            "{text}: {outcome:?}"
        );
    }
}

#[test]
fn range_bounds() {
    let cases: [(&[u8], &str, &str); 4] = [
        (b"ab", "YWI=", "YWM="),
        (b"a\xff", "Yf8=", "Yg=="),
        (b"\xff", "/w==", "AA=="),
        (b"", "AA==", "AA=="),
    ];
    for (prefix, key, end) in cases {
        let server = serve(r#"{"header":{"revision":"1"},"more":true}"#);
        let Outcome::Done(range) = client(&[server.endpoint]).range(prefix, 3) else {
            panic!("no answer");
        };
        assert!(range.more);
        let expected = json!({ "key": key, "range_end": end, "limit": "3" });
        assert_eq!(body(&server.join()[0]), expected);
    }
}

#[test]
fn txn_done() {
    let text = r#"{"header":{"revision":"13"},"succeeded":true,"responses":[{"response_put":{}},{"response_delete_range":{}},{"response_range":{"kvs":[{"key":"YQ==","value":"dg==","mod_revision":"13"}]}}]}"#;
    let server = serve(text);
    let Outcome::Done(reply) = client(&[server.endpoint]).txn(&txn()) else {
        panic!("not done");
    };
    assert_eq!(reply.revision, Revision(13));
    assert_eq!(reply.reads[0].entries[0].value, b"v");
    assert_eq!(reply.reads[0].revision, Revision(13));
    let read = json!({ "request_range": { "key": "YQ==" } });
    let compare = |key, target, field: &str, operand| json!({ "key": key, "target": target, "result": "EQUAL", field: operand });
    let expected = json!({
        "compare": [
            compare("YQ==", "CREATE", "create_revision", "0"),
            compare("Yg==", "MOD", "mod_revision", "7"),
            compare("Yw==", "CREATE", "create_revision", "8"),
            compare("ZA==", "VALUE", "value", "dg=="),
        ],
        "success": [
            { "request_put": { "key": "YQ==", "value": "dg==", "lease": "5" } },
            { "request_delete_range": { "key": "Yg==" } },
            read,
        ],
        "failure": [read],
    });
    assert_eq!(body(&server.join()[0]), expected);
}

#[test]
fn txn_conflict() {
    let text = r#"{"header":{"revision":"13"},"responses":[{"response_range":{"kvs":[{"key":"YQ==","value":"dw==","mod_revision":"11"}]}}]}"#;
    let Outcome::Conflict(reply) = client(&[serve(text).endpoint]).txn(&txn()) else {
        panic!("no conflict");
    };
    assert_eq!(reply.reads[0].entries[0].value, b"w");
}

#[test]
fn txn_lost_answers() {
    let cut = answer("200 OK", r#"{"header":{"revision":"13"},"succeeded":true}"#);
    let cut = cut[..cut.len() - 3].to_vec();
    let scripts = [
        closes(""),
        Script {
            pieces: vec![],
            end: End::Reset,
        },
        closes(cut),
        closes(answer(
            "200 OK",
            r#"{"header":{"revision":"13"},"succeeded":true}"#,
        )),
        closes(answer(
            "503 Unavailable",
            r#"{"error":{"code":"x","ran":"no"}}"#,
        )),
    ];
    for script in scripts {
        // The second endpoint takes connections; the write must not be sent there as well.
        let (server, other) = (Server::start(vec![script]), Listener::new());
        let outcome = client(&[server.endpoint, other.endpoint]).txn(&txn());
        assert!(other.is_untouched());
        assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    }
}

#[test]
fn txn_timeout() {
    let server = Server::start(vec![Script {
        pieces: vec![],
        end: End::Hold,
    }]);
    let times = Timeouts {
        write: Duration::from_millis(100),
        ..TIMES
    };
    let client = Client::new(vec![server.endpoint], times, Cancel::new());
    assert_eq!(client.txn(&txn()), Outcome::Unknown(Error::Timeout));
}

#[test]
fn txn_refused() {
    let (first, second) = (Nobody::new(), Nobody::new());
    let outcome = client(&[first.endpoint, second.endpoint]).txn(&txn());
    assert_eq!(outcome, Outcome::NotSent);
    assert_eq!(client(&[]).txn(&txn()), Outcome::NotSent);
}

#[test]
fn txn_next_endpoint_after_refusal() {
    let server = serve(r#"{"header":{"revision":"2"},"succeeded":true}"#);
    let nobody = Nobody::new();
    let outcome = client(&[nobody.endpoint, server.endpoint]).txn(&Txn::default());
    assert!(matches!(outcome, Outcome::Done(_)), "{outcome:?}");
}

#[test]
fn get_next_endpoint_after_failure() {
    let broken = Server::start(vec![closes("")]);
    let server = serve(r#"{"header":{"revision":"2"}}"#);
    let outcome = client(&[broken.endpoint, server.endpoint]).get(b"a");
    assert_eq!(outcome, Outcome::Done((Revision(2), None)));
}

#[test]
fn lease_calls() {
    let bodies = [
        r#"{"header":{"revision":"2"},"ID":"77","TTL":"9"}"#,
        r#"{"result":{"header":{"revision":"2"},"ID":"77","TTL":"9"}}"#,
        r#"{"result":{"header":{"revision":"2"},"ID":"77"}}"#,
        "{}",
    ];
    let mut scripts: Vec<_> = bodies
        .iter()
        .map(|body| closes(answer("200 OK", body)))
        .collect();
    let gone = r#"{"error":"etcdserver: requested lease not found","code":5}"#;
    scripts.push(closes(answer("404 Not Found", gone)));
    let server = Server::start(scripts);
    let client = client(&[server.endpoint]);
    let nine = Duration::from_secs(9);
    assert_eq!(client.lease_grant(nine), Outcome::Done((Lease(77), nine)));
    assert_eq!(client.lease_keepalive(Lease(77)), Outcome::Done(nine));
    assert_eq!(client.lease_keepalive(Lease(77)), Outcome::Conflict(()));
    assert_eq!(client.lease_revoke(Lease(77)), Outcome::Done(()));
    assert_eq!(client.lease_revoke(Lease(77)), Outcome::Conflict(()));
}

#[test]
fn watch_changes_then_break() {
    let lines = [
        "{\"result\":{\"header\":{\"revision\":\"4\"},\"created\":true}}\n",
        "{\"result\":{\"header\":{\"revision\":\"6\"},\"events\":[{\"kv\":{\"key\":\"YQ==\",\"value\":\"dg==\",\"mod_revision\":\"5\"}},",
        "{\"type\":\"DELETE\",\"kv\":{\"key\":\"YQ==\",\"mod_revision\":\"6\"}}]}}\n",
    ];
    let chunks: String = lines.iter().map(|line| chunk(line)).collect();
    let server = Server::start(vec![closes(format!("{CHUNKED}{chunks}"))]);
    let notices: Vec<_> = client(&[server.endpoint])
        .watch(b"a", Revision(5))
        .unwrap()
        .collect();
    let [
        Notice::Opened(Revision(4)),
        Notice::Changes(Revision(6), changes),
        Notice::Broken(_),
    ] = &notices[..]
    else {
        panic!("{notices:?}");
    };
    assert!(matches!(&changes[0], Change::Put(entry) if entry.changed == Revision(5)));
    assert_eq!(
        changes[1],
        Change::Delete {
            key: b"a".into(),
            revision: Revision(6)
        }
    );
    let expected = json!({ "create_request":
        { "key": "YQ==", "range_end": "Yg==", "start_revision": "5" } });
    assert_eq!(body(&server.join()[0]), expected);
}

#[test]
fn watch_compacted() {
    let line = r#"{"result":{"header":{"revision":"9"},"canceled":true,"compact_revision":"7"}}"#;
    let server = Server::start(vec![closes(format!(
        "{CHUNKED}{}",
        chunk(&format!("{line}\n"))
    ))]);
    let notices: Vec<_> = client(&[server.endpoint])
        .watch(b"a", Revision(5))
        .unwrap()
        .collect();
    assert_eq!(notices, [Notice::Compacted(Revision(7))]);
}

#[test]
fn watch_cancelled() {
    let opened = "{\"result\":{\"header\":{\"revision\":\"4\"},\"created\":true}}\n";
    let pieces = vec![format!("{CHUNKED}{}", chunk(opened)).into_bytes()];
    let server = Server::start(vec![Script {
        pieces,
        end: End::Hold,
    }]);
    let cancel = Cancel::new();
    let client = Client::new(vec![server.endpoint], TIMES, cancel.clone());
    let mut watch = client.watch(b"a", Revision(5)).unwrap();
    assert_eq!(watch.next(), Some(Notice::Opened(Revision(4))));
    cancel.cancel();
    assert_eq!(watch.next(), Some(Notice::Broken(Error::Cancelled)));
    assert_eq!(watch.next(), None);
}

#[test]
fn lease_grant_rounds_up() {
    let cases = [
        (0, "1"),
        (1, "1"),
        (1_000, "1"),
        (1_001, "2"),
        (1_500, "2"),
        (3_000, "3"),
        (3_999, "4"),
    ];
    for (millis, expected) in cases {
        let server = serve(r#"{"ID":"7","TTL":"4"}"#);
        let outcome = client(&[server.endpoint]).lease_grant(Duration::from_millis(millis));
        assert!(
            matches!(outcome, Outcome::Done((Lease(7), _))),
            "{outcome:?}"
        );
        let expected = json!({ "TTL": expected, "ID": "0" });
        assert_eq!(body(&server.join()[0]), expected, "{millis} ms");
    }
}
