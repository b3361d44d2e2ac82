//! The engine client against scripted servers: what each ending is classified as.

mod support;

use dahliastile_outside::engine::{Client, Event, Limit, Route, Work};
use dahliastile_outside::{Cancel, Endpoint, Error, Fence, Size};
use serde_json::{Map, Value, json};
use std::ops::ControlFlow;
use std::time::{Duration, Instant};
use support::{AMPLE, CHUNKED, End, Nobody, Script, Server, answer, chunk, closes};

const LIMIT: Limit = Limit {
    event: Size(1024),
    whole: Size(4096),
};
const FIRST: &str = "data: {\"model\":\"lock@3\",\"n\":1}\n\n";
const SECOND: &str = "data: {\"model\":\"lock@3\",\"n\":2}\n\n";
const DONE: &str = "data: [DONE]\n\n";

fn client(endpoint: Endpoint) -> Client {
    Client::new(endpoint, AMPLE, LIMIT)
}

fn work(stream: bool) -> Work {
    let body = json!({ "prompt": "p", "model": "other@1", "resume_from": 7 });
    Work {
        route: Route::Completions,
        body: body.as_object().cloned().unwrap_or_else(Map::new),
        model: "lock@3".into(),
        request_id: "r-1".into(),
        priority: 4,
        resume_from: 0,
        stream,
        timeout: AMPLE,
        start_by: None,
    }
}

fn run(endpoint: Endpoint, work: &Work) -> (Vec<Event>, Result<(), Error>) {
    let mut events = Vec::new();
    let result = client(endpoint).complete(work, &Cancel::new(), &mut (), |event| {
        events.push(event);
        ControlFlow::Continue(())
    });
    (events, result)
}

fn play(script: Script, stream: bool) -> (Vec<Event>, Result<(), Error>) {
    run(Server::start(vec![script]).endpoint, &work(stream))
}

fn chunk_event(n: u32) -> Event {
    let data = format!("{{\"model\":\"lock@3\",\"n\":{n}}}");
    Event::Chunk {
        model: Some("lock@3".into()),
        data,
    }
}

fn stream_of(parts: &[&str]) -> String {
    let chunks: String = parts.iter().map(|part| chunk(part)).collect();
    format!("{CHUNKED}{chunks}")
}

#[test]
fn complete_stream() {
    let head = "HTTP/1.1 200 OK\r\nX-Served-Model: lock@3\r\nTransfer-Encoding: chunked\r\n\r\n";
    let text = format!(
        "{head}{}{}{}0\r\n\r\n",
        chunk(FIRST),
        chunk(SECOND),
        chunk(DONE)
    );
    let server = Server::start(vec![closes(text)]);
    let (events, result) = run(server.endpoint, &work(true));
    assert_eq!(result, Ok(()));
    let head = Event::Head {
        model: Some("lock@3".into()),
    };
    assert_eq!(events, [head, chunk_event(1), chunk_event(2)]);
    let request = server.join().remove(0);
    let (head, body) = request.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("POST /v1/completions HTTP/1.1\r\n"));
    let expected = json!({ "prompt": "p", "model": "lock@3", "request_id": "r-1", "priority": 4,
        "stream": true });
    assert_eq!(serde_json::from_str::<Value>(body).unwrap(), expected);
}

#[test]
fn complete_split_bytes() {
    let text = stream_of(&[FIRST, SECOND, DONE]);
    let pieces = text.bytes().map(|byte| vec![byte]).collect();
    let (events, result) = play(
        Script {
            pieces,
            end: End::Hold,
        },
        true,
    );
    assert_eq!(result, Ok(()));
    assert_eq!(events[1..], [chunk_event(1), chunk_event(2)]);
}

#[test]
fn complete_events_before_stream_ends() {
    // The server holds the connection open after the first event, so the event has to come by itself.
    let text = stream_of(&[FIRST]).into_bytes();
    let server = Server::start(vec![Script {
        pieces: vec![text],
        end: End::Hold,
    }]);
    let cancel = Cancel::new();
    let mut seen = Vec::new();
    let result = client(server.endpoint).complete(&work(true), &cancel, &mut (), |event| {
        if let Event::Chunk { .. } = event {
            cancel.cancel();
        }
        seen.push(event);
        ControlFlow::Continue(())
    });
    assert_eq!(result, Err(Error::Cancelled));
    assert_eq!(seen[1..], [chunk_event(1)]);
}

#[test]
fn complete_sink_breaks() {
    let server = Server::start(vec![closes(stream_of(&[FIRST, SECOND, DONE]))]);
    let result = client(server.endpoint).complete(&work(true), &Cancel::new(), &mut (), |_| {
        ControlFlow::Break(())
    });
    assert_eq!(result, Err(Error::Cancelled));
}

#[test]
fn complete_no_end_event() {
    let cases = [
        format!("{}0\r\n\r\n", stream_of(&[FIRST])),
        stream_of(&[FIRST]),
        format!("{}40\r\ndata: ", stream_of(&[FIRST])),
        format!("HTTP/1.1 200 OK\r\n\r\n{FIRST}data: [DONE]"),
    ];
    for case in cases {
        let (events, result) = play(closes(case.clone()), true);
        assert_eq!(events[1..], [chunk_event(1)], "{case}");
        assert!(
            matches!(result, Err(Error::Broken(_))),
            "{case}: {result:?}"
        );
    }
}

#[test]
fn complete_overlong_line() {
    let line = format!("data: {}", "x".repeat(2 * LIMIT.event.0));
    let (events, result) = play(closes(stream_of(&[FIRST, &line])), true);
    assert_eq!(events[1..], [chunk_event(1)]);
    assert!(matches!(result, Err(Error::Broken(_))));
}

#[test]
fn complete_bad_event() {
    for event in [
        "data: {\"model\":\n\n",
        "data: {\"error\":{\"code\":\"x\"}}\n\n",
    ] {
        let (_, result) = play(closes(stream_of(&[event, DONE])), true);
        assert!(
            matches!(result, Err(Error::Broken(_))),
            "{event}: {result:?}"
        );
    }
}

#[test]
fn complete_whole() {
    let body = "{\"model\":\"lock@3\",\"choices\":[]}";
    let (events, result) = play(closes(answer("200 OK", body)), false);
    assert_eq!(result, Ok(()));
    assert_eq!(
        events[1],
        Event::Whole {
            model: Some("lock@3".into()),
            body: body.into()
        }
    );
}

#[test]
fn complete_whole_cut() {
    let cut = answer("200 OK", "{\"model\":\"lock@3\"}");
    let long = answer(
        "200 OK",
        &format!("{{\"model\":\"{}\"}}", "x".repeat(2 * LIMIT.whole.0)),
    );
    let chunked = stream_of(&["{\"model\":"]).into_bytes();
    for bytes in [cut[..cut.len() - 1].to_vec(), long, chunked] {
        let (events, result) = play(closes(bytes), false);
        assert_eq!(events.len(), 1);
        assert!(matches!(result, Err(Error::Broken(_))), "{result:?}");
    }
}

#[test]
fn complete_refused() {
    let nobody = Nobody::new();
    let (events, result) = run(nobody.endpoint, &work(true));
    assert_eq!((events, result), (vec![], Err(Error::Refused)));
}

#[test]
fn complete_error_answers() {
    let vouched = r#"{"error":{"code":"not_loaded","message":"m","ran":"no"}}"#;
    let (_, result) = play(closes(answer("404 Not Found", vouched)), true);
    let not_run = Error::NotRun {
        status: 404,
        code: "not_loaded".into(),
        message: "m".into(),
    };
    assert!(not_run.is_unsent());
    assert_eq!(result, Err(not_run));
    for (body, code) in [(r#"{"error":{"code":"x"}}"#, Some("x")), ("<html>", None)] {
        let (_, result) = play(closes(answer("500 Oops", body)), true);
        let error = result.unwrap_err();
        assert_eq!(error.code(), code);
        assert!(matches!(error, Error::Rejected { status: 500, .. }));
        assert!(!error.is_unsent());
    }
}

/// Guards against work that is sent again, or refused as not run, on an answer that says both "not run" and that it ran.
#[test]
fn complete_contradictory_refusal() {
    let vouched = r#"{"error":{"code":"overloaded","ran":"no"}}"#;
    let served = format!(
        "HTTP/1.1 503 Busy\r\nX-Served-Model: lock@3\r\nContent-Length: {}\r\n\r\n{vouched}",
        vouched.len()
    );
    let part = |field: &str| {
        let body = format!(r#"{{"error":{{"code":"overloaded","ran":"no"}},{field}}}"#);
        answer("503 Busy", &body)
    };
    let cases = [
        answer("307 Elsewhere", vouched),
        served.into_bytes(),
        part(r#""model":"lock@3""#),
        part(r#""model":"lock@3","model":"tide@1""#),
        part(r#""choices":[{"index":0,"text":"t"}]"#),
        part(r#""usage":{"completion_tokens":1}"#),
    ];
    for case in cases {
        let text = String::from_utf8_lossy(&case).into_owned();
        for stream in [false, true] {
            let error = play(closes(case.clone()), stream).1.unwrap_err();
            assert!(!error.is_unsent(), "{text}: {error:?}");
        }
    }
}

/// Guards against work that is refused as not run on words that prove nothing: cut, doubled, or not the protocol's own.
#[test]
fn complete_unproved_refusal() {
    let vouched = r#"{"error":{"code":"overloaded","ran":"no"}}"#;
    let cut = answer("503 Busy", vouched);
    let cases = [
        cut[..cut.len() - 1].to_vec(),
        format!("HTTP/1.1 503 Busy\r\n\r\n{}", &vouched[..vouched.len() - 1]).into_bytes(),
        answer("503 Busy", &format!("{vouched}{vouched}")),
        answer(
            "503 Busy",
            r#"{"error":{"code":"x","ran":"no","ran":"yes"}}"#,
        ),
        answer("503 Busy", r#"{"error":{"code":"x","ran":"No"}}"#),
        answer("503 Busy", r#"{"error":{"code":"x","ran":false}}"#),
        answer("503 Busy", r#"{"error":{"code":"x","ran":"unknown"}}"#),
        answer("503 Busy", r#"{"error":{"kind":"overloaded","ran":"no"}}"#),
        answer("200 OK", vouched),
        format!(
            "HTTP/1.1 100 Continue\r\n\r\n{}",
            String::from_utf8_lossy(&cut)
        )
        .into_bytes(),
    ];
    for case in cases {
        let text = String::from_utf8_lossy(&case).into_owned();
        for stream in [false, true] {
            let error = play(closes(case.clone()), stream).1.unwrap_err();
            assert!(!error.is_unsent(), "{text}: {error:?}");
        }
    }
}

#[test]
fn complete_redirect_not_followed() {
    let nobody = Nobody::new();
    let to = nobody.endpoint;
    let text = format!("HTTP/1.1 307 T\r\nLocation: http://{to}/\r\nContent-Length: 0\r\n\r\n");
    let (_, result) = play(closes(text), true);
    assert!(
        matches!(result, Err(Error::Rejected { status: 307, .. })),
        "{result:?}"
    );
}

#[test]
fn complete_reset_before_answer() {
    for (text, end) in [("", End::Reset), ("", End::Close)] {
        let (events, result) = play(
            Script {
                pieces: vec![text.into()],
                end,
            },
            true,
        );
        assert!(matches!(result, Err(Error::ResetBefore(_))), "{result:?}");
        assert_eq!(events, []);
    }
}

#[test]
fn complete_head_cut_or_malformed() {
    let cases = [
        "HTTP/1.1 20",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
    ];
    for case in cases {
        let (_, result) = play(closes(case), true);
        assert!(
            matches!(result, Err(Error::Broken(_))),
            "{case}: {result:?}"
        );
    }
}

#[test]
fn complete_timeout() {
    let texts = [String::new(), stream_of(&[FIRST])];
    for text in texts {
        let script = Script {
            pieces: vec![text.into()],
            end: End::Hold,
        };
        let server = Server::start(vec![script]);
        let work = Work {
            timeout: Duration::from_millis(200),
            ..work(true)
        };
        assert_eq!(run(server.endpoint, &work).1, Err(Error::Timeout));
    }
}

#[test]
fn complete_too_late_to_start() {
    let work = Work {
        start_by: Some(Instant::now()),
        ..work(true)
    };
    let nobody = Nobody::new();
    let (_, result) = run(nobody.endpoint, &work);
    assert!(matches!(result, Err(Error::Unsent(_))), "{result:?}");
}

#[test]
fn complete_cancelled_before_start() {
    let cancel = Cancel::new();
    cancel.cancel();
    let nobody = Nobody::new();
    let result = client(nobody.endpoint)
        .complete(&work(true), &cancel, &mut (), |_| ControlFlow::Continue(()));
    assert!(matches!(result, Err(Error::Unsent(_))), "{result:?}");
}

#[test]
fn order_bodies() {
    let server = Server::start((0..4).map(|_| closes(answer("200 OK", "{}"))).collect());
    let client = client(server.endpoint);
    let cancel = Cancel::new();
    client
        .load("lock@3", "/w", Fence(9), AMPLE, &cancel)
        .unwrap();
    client.unload("lock@3", Fence(9), &cancel).unwrap();
    client.raise_fence(Fence(10), &cancel).unwrap();
    client.abort("r-1", &cancel).unwrap();
    let requests = server.join();
    let bodies = requests
        .iter()
        .map(|request| request.split_once("\r\n\r\n").unwrap().1);
    let bodies: Vec<Value> = bodies
        .map(|body| serde_json::from_str(body).unwrap())
        .collect();
    let expected = [
        json!({ "lora_name": "lock@3", "lora_path": "/w", "fence": 9 }),
        json!({ "lora_name": "lock@3", "fence": 9 }),
        json!({ "fence": 10 }),
        json!({ "request_id": "r-1" }),
    ];
    assert_eq!(bodies, expected);
}

/// Guards against an order that counts as refused on an answer that is no error.
#[test]
fn order_redirected() {
    let vouched = r#"{"error":{"code":"overloaded","ran":"no"}}"#;
    let server = Server::start(vec![closes(answer("307 Elsewhere", vouched))]);
    let result = client(server.endpoint).load("lock@3", "/w", Fence(9), AMPLE, &Cancel::new());
    let error = result.unwrap_err();
    assert!(!error.is_unsent(), "{error:?}");
}

#[test]
fn report_and_cache_events() {
    let load = r#"{"boot":5,"ready":true,"slots":4,"adapters":[{"name":"a@1","in_flight":2}]}"#;
    let cache = r#"{"next":4,"events":[{"seq":3,"kind":"removed","prefix":18446744073709551615,"model":"a@1"}]}"#;
    let answers = [load, cache].map(|body| closes(answer("200 OK", body)));
    let server = Server::start(answers.into());
    let client = client(server.endpoint);
    let report = client.report(&Cancel::new()).unwrap();
    assert_eq!(
        (report.boot, report.ready, report.adapters[0].in_flight),
        (5, true, 2)
    );
    let page = client.cache_events(3, &Cancel::new()).unwrap();
    assert_eq!((page.next, page.events[0].prefix), (4, u64::MAX));
    assert!(server.join()[1].starts_with("GET /cache_events?from=3 HTTP/1.1\r\n"));
}
