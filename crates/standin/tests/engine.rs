//! The engine: answers, adapters, orders and faults.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;

use dahliastile_standin::caller::{self, Answer, Request};
use dahliastile_standin::engine::{Engine, Events, Fault, Report, Server, Settings, Violation};
use dahliastile_standin::{Host, engine};
use serde_json::{Value, json};

const MODEL: &str = "lock-7@3";
const OTHER: &str = "berth-2@1";

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start(settings: Settings) -> Server {
    Host::start(loopback(), Engine::new(settings)).expect("a free port")
}

fn loaded(settings: Settings) -> Server {
    let server = start(settings);
    assert_eq!(load(&server, MODEL, 1).0, 200);
    assert_eq!(load(&server, OTHER, 1).0, 200);
    server
}

fn post(server: &Server, path: &str, body: &Value) -> Result<(i32, Value), minreq::Error> {
    let url = format!("http://{}{path}", server.address());
    let answer = minreq::post(url).with_body(body.to_string()).send()?;
    Ok((
        answer.status_code,
        serde_json::from_slice(answer.as_bytes()).unwrap_or_default(),
    ))
}

fn get<T: serde::de::DeserializeOwned>(server: &Server, path: &str) -> T {
    let answer = minreq::get(format!("http://{}{path}", server.address()))
        .send()
        .expect("answer");
    serde_json::from_slice(answer.as_bytes()).expect("JSON")
}

fn load(server: &Server, model: &str, fence: u64) -> (i32, Value) {
    let body = json!({"lora_name": model, "lora_path": "/", "fence": fence});
    post(server, "/v1/load_lora_adapter", &body).expect("answer")
}

fn unload(server: &Server, model: &str, fence: u64) -> (i32, Value) {
    let body = json!({"lora_name": model, "fence": fence});
    post(server, "/v1/unload_lora_adapter", &body).expect("answer")
}

fn code(answer: &(i32, Value)) -> (i32, &str) {
    (
        answer.0,
        answer.1["error"]["code"].as_str().unwrap_or_default(),
    )
}

fn request(server: &Server, tokens: u64) -> Request {
    Request::completion(server.address(), MODEL, "from Waal to Volkerak", tokens)
}

/// Waits for a condition on the engine's record; fails the test when it never comes.
fn await_record(server: &Server, condition: impl Fn(&engine::Record) -> bool) {
    for _ in 0..10_000 {
        if condition(&server.service().history()) {
            return;
        }
        std::thread::yield_now();
        std::thread::park_timeout(Duration::from_millis(1));
    }
    panic!("the condition never came: {:?}", server.service().history());
}

fn refused(answer: &Answer) -> (u16, Option<&str>, Option<&str>) {
    let error = answer.error.as_ref().map(|body| &body["error"]);
    let text = |name: &str| error.and_then(|error| error[name].as_str());
    (answer.status, text("code"), text("ran"))
}

#[test]
fn completion_streamed() {
    let server = loaded(Settings::default());
    let request = request(&server, 20);
    let answer = request.send().expect("answer");
    assert_eq!(answer.verify(&request), Ok(()));
    assert_eq!(answer.texts.len(), 20);
    assert_eq!(answer.served_model.as_deref(), Some(MODEL));
}

#[test]
fn completion_whole() {
    let server = loaded(Settings::default());
    let request = request(&server, 20).whole();
    assert_eq!(request.send().expect("answer").verify(&request), Ok(()));
}

#[test]
fn chat_both_forms() {
    let server = loaded(Settings::default());
    let streamed = Request::chat(server.address(), OTHER, "facings of bay 4", 5);
    assert_eq!(streamed.send().expect("answer").verify(&streamed), Ok(()));
    let whole = streamed.whole();
    assert_eq!(whole.send().expect("answer").verify(&whole), Ok(()));
}

#[test]
fn completion_resumed() {
    let server = loaded(Settings::default());
    let request = request(&server, 12).field("resume_from", json!(9));
    let answer = request.send().expect("answer");
    assert_eq!(answer.verify(&request), Ok(()));
    assert_eq!(answer.texts.len(), 3);
}

#[test]
fn completion_fully_resumed() {
    let server = loaded(Settings::default());
    let request = request(&server, 12).field("resume_from", json!(12));
    let answer = request.send().expect("answer");
    assert_eq!(answer.verify(&request), Ok(()));
    assert!(answer.texts.is_empty());
}

#[test]
fn completion_refused() {
    let server = start(Settings::default());
    let answer = request(&server, 1).send().expect("answer");
    assert_eq!(refused(&answer), (404, Some("not_loaded"), Some("no")));
    let no_version = request(&server, 1).field("model", json!("lock-7"));
    let answer = no_version.send().expect("answer");
    assert_eq!(refused(&answer), (400, Some("bad_request"), Some("no")));
    server.fault(Fault::RefuseWork(true));
    let answer = request(&server, 1).send().expect("answer");
    assert_eq!(refused(&answer), (503, Some("overloaded"), Some("no")));
    assert!(server.service().history().runs.is_empty());
}

#[test]
fn start_cold() {
    let base_load = Duration::from_hours(1);
    let server = start(Settings {
        base_load,
        ..Settings::default()
    });
    let answer = request(&server, 1).send().expect("answer");
    assert_eq!(refused(&answer), (503, Some("not_ready"), Some("no")));
    assert_eq!(code(&load(&server, MODEL, 1)), (503, "not_ready"));
    assert!(!get::<Report>(&server, "/load").ready);
}

#[test]
fn load_slots_full() {
    let server = loaded(Settings {
        slots: 2,
        ..Settings::default()
    });
    assert_eq!(code(&load(&server, "berth-9@1", 1)), (409, "no_slot"));
    assert_eq!(load(&server, MODEL, 1).0, 200);
    assert_eq!(unload(&server, MODEL, 1).0, 200);
    assert_eq!(code(&unload(&server, MODEL, 1)), (404, "not_loaded"));
    assert_eq!(load(&server, "berth-9@1", 1).0, 200);
}

#[test]
fn fence_checked() {
    let server = loaded(Settings::default());
    assert_eq!(
        post(&server, "/v1/fence", &json!({"fence": 9}))
            .expect("answer")
            .0,
        200
    );
    assert_eq!(code(&unload(&server, MODEL, 8)), (409, "stale_fence"));
    assert_eq!(unload(&server, MODEL, 9).0, 200);
    let role = json!({"role": "prefill", "fence": 8});
    assert_eq!(
        code(&post(&server, "/v1/role", &role).expect("answer")),
        (409, "stale_fence")
    );
    assert_eq!(get::<Report>(&server, "/load").fence, 9);
}

#[test]
fn fence_ignored() {
    let server = loaded(Settings {
        fencing: false,
        ..Settings::default()
    });
    assert_eq!(
        post(&server, "/v1/fence", &json!({"fence": 9}))
            .expect("answer")
            .0,
        200
    );
    assert_eq!(unload(&server, MODEL, 1).0, 200);
}

#[test]
fn unload_in_flight() {
    for refuse_in_use in [true, false] {
        let server = loaded(Settings {
            refuse_in_use,
            ..Settings::default()
        });
        let request = request(&server, 1_000_000);
        let mut answer = None;
        let streamed = request.send_while(|_| {
            answer = Some(unload(&server, MODEL, 1));
            ControlFlow::Break(())
        });
        assert_eq!(streamed.expect("answer").status, 200);
        let violations = server.service().history().violations;
        match (answer.expect("an unload").0, violations.as_slice()) {
            (409, []) if refuse_in_use => {}
            (200, [Violation::UnloadInFlight { in_flight: 1, .. }, ..]) if !refuse_in_use => {}
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn caller_gone() {
    let server = loaded(Settings::default());
    let request = request(&server, 1_000_000).field("request_id", json!("r1"));
    let answer = request
        .send_while(|_| ControlFlow::Break(()))
        .expect("answer");
    assert_eq!(answer.verify(&request), Err(caller::Fault::Unfinished));
    await_record(&server, |record| {
        record.runs_of("r1").all(|run| run.interrupted)
    });
}

#[test]
fn abort_running() {
    let server = loaded(Settings::default());
    let request = request(&server, 1_000_000).field("request_id", json!("r1"));
    let mut aborted = false;
    let answer = request.send_while(|_| {
        if !aborted {
            let body = json!({"request_id": "r1"});
            assert_eq!(
                post(&server, "/v1/abort", &body).expect("answer").1["aborted"],
                1
            );
            aborted = true;
        }
        ControlFlow::Continue(())
    });
    assert_eq!(
        answer.expect("answer").finish_reason.as_deref(),
        Some("abort")
    );
}

#[test]
fn restart_forgets() {
    let server = loaded(Settings::default());
    let before = get::<Report>(&server, "/load");
    let request = request(&server, 1_000_000);
    let answer = request.send_while(|texts| {
        if texts.len() == 1 {
            server.fault(Fault::Restart);
        }
        ControlFlow::Continue(())
    });
    assert_eq!(
        answer.expect("answer").verify(&request),
        Err(caller::Fault::Unfinished)
    );
    let after = get::<Report>(&server, "/load");
    assert_ne!(before.boot, after.boot);
    assert_eq!((before.adapters.len(), after.adapters.len()), (2, 0));
}
