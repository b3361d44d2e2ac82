//! The clients of plain services and of the VM list against scripted servers.

mod support;

use dahliastile_body::Framing;
use dahliastile_outside::plain::{Call, Client};
use dahliastile_outside::{Cancel, Error, Size, vms};
use support::{AMPLE, CHUNKED, Nobody, Script, Server, answer, chunk, closes};

const LIMIT: Size = Size(20_000);

fn call(method: &str, path: &str) -> Call {
    Call {
        method: method.into(),
        path: path.into(),
        ..Call::default()
    }
}

fn forward(script: Script, call: &Call) -> Result<(u16, Vec<u8>, Framing), Error> {
    let server = Server::start(vec![script]);
    let answer =
        Client::new(server.endpoint, LIMIT).forward(call, AMPLE, &Cancel::new(), &mut ())?;
    Ok((answer.status, answer.body, answer.framing))
}

#[test]
fn forward_request() {
    let pair = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    let headers = vec![
        pair("X-A", "1"),
        pair("x-a", "2"),
        pair("Host", "elsewhere"),
        pair("Connection", "keep-alive, X-Hop"),
        pair("x-hop", "3"),
        pair("Transfer-Encoding", "chunked"),
        pair("content-length", "99"),
    ];
    let call = Call {
        headers,
        body: Some(b"body".to_vec()),
        ..call("PROPFIND", "/p?q=1")
    };
    let server = Server::start(vec![closes(answer("207 Multi", "ok"))]);
    let client = Client::new(server.endpoint, LIMIT);
    let answer = client
        .forward(&call, AMPLE, &Cancel::new(), &mut ())
        .unwrap();
    assert_eq!((answer.status, answer.body), (207, b"ok".to_vec()));
    assert!(answer.headers.is_empty());
    let endpoint = server.endpoint;
    let request = server.join().remove(0);
    let (head, body) = request.split_once("\r\n\r\n").unwrap();
    // The names of fields are the same in upper and lower case.
    let mut lines: Vec<_> = head.lines().skip(1).map(str::to_ascii_lowercase).collect();
    lines.sort_unstable();
    assert!(head.starts_with("PROPFIND /p?q=1 HTTP/1.1\r\n"));
    assert_eq!(
        lines,
        [
            "content-length: 4",
            &format!("host: {endpoint}"),
            "x-a: 1, 2"
        ]
    );
    assert_eq!(body, "body");
}

#[test]
fn forward_malformed() {
    let header = |name: &str, value: &str| Call {
        headers: vec![(name.into(), value.into())],
        ..call("GET", "/")
    };
    let calls = [
        call("GET /x", "/"),
        call("", "/"),
        call("GET", "x"),
        call("GET", "/a b"),
        call("GET", "/a\r\nX: y"),
        call("GET", "/a#b"),
        header("a b", "c"),
        header("a", "b\r\nc: d"),
    ];
    let nobody = Nobody::new();
    let client = Client::new(nobody.endpoint, LIMIT);
    for call in calls {
        let result = client.forward(&call, AMPLE, &Cancel::new(), &mut ());
        assert!(matches!(result, Err(Error::Unsent(_))), "{call:?}");
    }
}

#[test]
fn forward_endings() {
    let whole = answer("200 OK", "abc");
    let result = forward(closes(whole.clone()), &call("GET", "/"));
    assert_eq!(result, Ok((200, b"abc".to_vec(), Framing::Length)));
    let result = forward(
        closes(format!("{CHUNKED}{}0\r\n\r\n", chunk("abc"))),
        &call("GET", "/"),
    );
    assert_eq!(result, Ok((200, b"abc".to_vec(), Framing::Chunked)));
    let result = forward(closes("HTTP/1.1 200 OK\r\n\r\nabc"), &call("GET", "/"));
    assert_eq!(result, Ok((200, b"abc".to_vec(), Framing::Connection)));
    let result = forward(
        closes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"),
        &call("HEAD", "/"),
    );
    assert_eq!(result, Ok((200, vec![], Framing::Length)));
}

#[test]
fn forward_broken() {
    let whole = answer("200 OK", "abc");
    let cases = [
        whole[..whole.len() - 1].to_vec(),
        format!("{CHUNKED}5\r\nabc").into_bytes(),
        format!("{CHUNKED}zz\r\nabc").into_bytes(),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n".to_vec(),
        answer("200 OK", &"x".repeat(LIMIT.0 + 1)),
        format!("HTTP/1.1 200 OK\r\nX: {}\r\n\r\n", "x".repeat(64 * 1024)).into_bytes(),
    ];
    for case in cases {
        let result = forward(closes(case), &call("GET", "/"));
        assert!(matches!(result, Err(Error::Broken(_))), "{result:?}");
    }
}

#[test]
fn forward_refused() {
    let nobody = Nobody::new();
    let client = Client::new(nobody.endpoint, LIMIT);
    let result = client.forward(&call("POST", "/"), AMPLE, &Cancel::new(), &mut ());
    assert_eq!(result.unwrap_err(), Error::Refused);
}

#[test]
fn answer_failure() {
    let body = r#"{"error":{"code":"busy","ran":"no"}}"#;
    let server = Server::start(vec![closes(answer("503 Busy", body))]);
    let client = Client::new(server.endpoint, LIMIT);
    let answer = client
        .forward(&call("POST", "/"), AMPLE, &Cancel::new(), &mut ())
        .unwrap();
    assert!(answer.failure().is_some_and(|failure| failure.is_unsent()));
    assert!(server.join()[0].contains("Content-Length: 0"));
}

#[test]
fn list_vms() {
    let body =
        r#"{"vms":[{"name":"e1","address":"10.0.0.1:80","zone":"delft-zuid","state":"leaving"}]}"#;
    let cut = answer("200 OK", body)[..80].to_vec();
    let server = Server::start(vec![closes(answer("200 OK", body)), closes(cut)]);
    let client = vms::Client::new(server.endpoint, AMPLE);
    let list = client.list(&Cancel::new()).unwrap();
    assert_eq!(
        (list.vms[0].name.as_str(), list.vms[0].state),
        ("e1", vms::State::Leaving)
    );
    assert!(matches!(client.list(&Cancel::new()), Err(Error::Broken(_))));
}

/// Guards against an answer whose status is none.
#[test]
fn forward_statusofnoanswer() {
    for status in [
        "HTTP/1.1 000 OK",
        "HTTP/1.0 000 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 +200 OK",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 2OO OK",
        "HTTP/1.1  200 OK",
        "HTTP/9.9 200 OK",
        "200 OK",
        "junk 200 OK",
    ] {
        let answer = format!("{status}\r\nContent-Length: 3\r\n\r\nabc");
        let result = forward(closes(answer), &call("GET", "/"));
        assert!(result.is_err(), "{status}: {result:?}");
    }
}

/// Guards against an answer with a line in its head that is no field: it may hide where the body ends.
#[test]
fn forward_linethatisnofield() {
    let mut broken = Vec::new();
    for line in [
        "X Odd: 1",
        "X-Odd : 1",
        "Content-Length : 2",
        "Content-Length\t: 2",
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
    ] {
        for (before, after) in [(line, "Content-Length: 3"), ("Content-Length: 3", line)] {
            let answer = format!("HTTP/1.1 200 OK\r\n{before}\r\n{after}\r\n\r\nabc");
            let result = forward(closes(answer), &call("GET", "/"));
            if result.is_ok() {
                broken.push(format!("{before:?}, {after:?}: {result:?}"));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against a list of VMs that is lost for one odd row: the others hold.
#[test]
fn list_vmsamongoddrows() {
    let good = r#"{"name":"e1","address":"10.0.0.1:80","zone":"delft-zuid","state":"live"}"#;
    for odd in [
        "null",
        "7",
        "[]",
        "{}",
        r#""e2""#,
        r#"{"name":"e2"}"#,
        r#"{"name":2,"address":"a","zone":"z","state":"live"}"#,
        r#"{"name":"e2","address":"a","zone":"z","state":"gone"}"#,
        r#"{"name":"\ud800","address":"a","zone":"z","state":"live"}"#,
    ] {
        for rows in [format!("{good},{odd}"), format!("{odd},{good}")] {
            let body = format!(r#"{{"vms":[{rows}]}}"#);
            let server = Server::start(vec![closes(answer("200 OK", &body))]);
            let client = vms::Client::new(server.endpoint, AMPLE);
            let list = client.list(&Cancel::new()).expect(odd);
            let names: Vec<&str> = list.vms.iter().map(|vm| vm.name.as_str()).collect();
            assert_eq!((&*names, list.unreadable), (&["e1"][..], 1), "{odd}");
        }
    }
}
