//! The engine: answers, adapters, orders and faults.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;

use dahliastile_standin::caller::{self, Answer, Request};
use dahliastile_standin::engine::{
    Engine, Events, Fault, Kind, Report, Server, Settings, Violation,
};
use dahliastile_standin::weights::{self, Weights};
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
    caller::answered(&answer.reason_phrase)?;
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
        let request = request(&server, 20_000);
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
    let request = request(&server, 20_000).field("request_id", json!("r1"));
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
    let request = request(&server, 20_000).field("request_id", json!("r1"));
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
    let request = request(&server, 20_000);
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

#[test]
fn load_faults() {
    let server = start(Settings::default());
    server.fault(Fault::FailLoads(1));
    assert_eq!(code(&load(&server, MODEL, 1)), (500, "load_failed"));
    assert!(server.service().now().adapters.is_empty());
    server.fault(Fault::FalseFailures(1));
    assert_eq!(code(&load(&server, MODEL, 1)), (500, "load_failed"));
    assert_eq!(server.service().now().adapters.len(), 1);
    server.fault(Fault::LoseLoadAnswers(1));
    let body = json!({"lora_name": OTHER, "lora_path": "/", "fence": 1});
    assert!(post(&server, "/v1/load_lora_adapter", &body).is_err());
    assert_eq!(server.service().now().adapters.len(), 2);
    let outcomes = server.service().history().orders;
    let outcomes: Vec<_> = outcomes
        .iter()
        .map(|order| order.outcome.as_str())
        .collect();
    assert_eq!(outcomes, ["load_failed", "load_failed", "unanswered"]);
}

#[test]
fn load_from_store() {
    let store = Host::start(loopback(), Weights::new(Duration::ZERO)).expect("a free port");
    let source = engine::Source::Store(store.address());
    let server = start(Settings {
        source,
        ..Settings::default()
    });
    assert_eq!(load(&server, MODEL, 1).0, 200);
    assert_eq!(store.service().served().len(), 1);
}

#[test]
fn answer_wrong_model() {
    let server = loaded(Settings::default());
    server.fault(Fault::WrongModel(1));
    let request = request(&server, 3);
    let answer = request.send().expect("answer");
    assert_eq!(answer.served_model.as_deref(), Some(OTHER));
    assert_eq!(
        answer.verify(&request),
        Err(caller::Fault::Model(OTHER.to_owned()))
    );
    assert_eq!(request.send().expect("answer").verify(&request), Ok(()));
}

#[test]
fn answer_broken() {
    let server = loaded(Settings::default());
    server.fault(Fault::BreakStreams { after: 2, count: 1 });
    let request = request(&server, 5).field("request_id", json!("r1"));
    let answer = request.send().expect("answer");
    assert_eq!((answer.texts.len(), answer.finished), (2, false));
    let rest = request.clone().field("resume_from", json!(2));
    assert_eq!(rest.send().expect("answer").verify(&rest), Ok(()));
    server.fault(Fault::ResetBeforeFirst(1));
    assert!(request.send().is_err());
    let record = server.service().history();
    let runs: Vec<_> = record
        .runs_of("r1")
        .map(|run| (run.tokens, run.interrupted))
        .collect();
    assert_eq!(runs, [(2, true), (3, false), (0, true)]);
}

#[test]
fn abort_with_extra_token() {
    let server = loaded(Settings {
        step: Duration::from_millis(50),
        ..Settings::default()
    });
    server.fault(Fault::ExtraAfterAbort(1));
    let request = request(&server, 1000).field("request_id", json!("r1"));
    let mut aborted = false;
    let answer = request.send_while(|_| {
        if !aborted {
            let body = json!({"request_id": "r1"});
            post(&server, "/v1/abort", &body).expect("answer");
            aborted = true;
        }
        ControlFlow::Continue(())
    });
    let answer = answer.expect("answer");
    let record = server.service().history();
    let made = record.runs_of("r1").map(|run| run.tokens).sum::<u64>();
    // The tokens of the batch, the one too many, and the empty text of the end.
    assert_eq!(answer.texts.len() as u64, made + 2);
}

#[test]
fn answers_crossed() {
    let server = loaded(Settings {
        step: Duration::from_millis(5),
        ..Settings::default()
    });
    server.fault(Fault::CrossAnswers(1));
    let requests =
        ["one", "two"].map(|prompt| Request::completion(server.address(), MODEL, prompt, 400));
    let both = requests
        .clone()
        .map(|request| std::thread::spawn(move || request.send()));
    let verdicts: Vec<_> = both
        .into_iter()
        .zip(&requests)
        .map(|(thread, request)| {
            thread
                .join()
                .expect("a thread")
                .expect("answer")
                .verify(request)
        })
        .collect();
    let crossed = |verdict: &Result<(), _>| matches!(verdict, Err(caller::Fault::Text { .. }));
    assert!(verdicts.iter().all(crossed), "{verdicts:.300?}");
}

#[test]
fn batch_shares_steps() {
    let server = loaded(Settings {
        batch: 2,
        ..Settings::default()
    });
    let requests = ["one", "two", "three", "four"]
        .map(|prompt| Request::completion(server.address(), MODEL, prompt, 50));
    let all = requests.map(|request| {
        std::thread::spawn(move || request.send().expect("answer").verify(&request))
    });
    for thread in all {
        assert_eq!(thread.join().expect("a thread"), Ok(()));
    }
    let record = server.service().history();
    assert_eq!(record.filled, 200);
    assert!(record.steps >= 100);
    assert!(
        record
            .runs
            .iter()
            .all(|run| !run.interrupted && run.tokens == 50)
    );
}

#[test]
fn queue_by_priority() {
    let server = loaded(Settings {
        batch: 1,
        ..Settings::default()
    });
    let busy = request(&server, 1_000_000).field("request_id", json!("busy"));
    let address = server.address();
    let mut waiting = Vec::new();
    let answer = busy.send_while(|_| {
        for (id, priority) in [("late", 5), ("soon", 1)] {
            let request = Request::completion(address, MODEL, id, 1)
                .field("request_id", json!(id))
                .field("priority", json!(priority));
            waiting.push(std::thread::spawn(move || request.send()));
            while server.service().now().waiting < waiting.len() {
                std::thread::yield_now();
            }
        }
        ControlFlow::Break(())
    });
    assert!(answer.is_ok());
    for thread in waiting {
        assert_eq!(
            thread.join().expect("a thread").expect("answer").status,
            200
        );
    }
    let record = server.service().history();
    let order: Vec<_> = record
        .runs
        .iter()
        .map(|run| run.request_id.as_str())
        .collect();
    assert_eq!(order, ["busy", "soon", "late"]);
}

#[test]
fn cache_events_gappy() {
    let server = loaded(Settings {
        cache: 1,
        cache_gap: 2,
        ..Settings::default()
    });
    for prompt in ["one", "two", "three"] {
        let request = Request::completion(server.address(), MODEL, prompt, 1);
        assert_eq!(request.send().expect("answer").verify(&request), Ok(()));
    }
    let events: Events = get(&server, "/cache_events?from=1");
    let seen: Vec<_> = events
        .events
        .iter()
        .map(|event| (event.seq, event.kind))
        .collect();
    assert_eq!(
        (events.next, seen),
        (5, vec![(2, Kind::Removed), (4, Kind::Removed)])
    );
    assert_eq!(
        events.events[0].prefix,
        engine::prefix(&json!({"prompt": "one"}))
    );
}

#[test]
fn cache_events_late() {
    let cache_lag = Duration::from_hours(1);
    let server = loaded(Settings {
        cache_lag,
        ..Settings::default()
    });
    assert!(request(&server, 1).send().is_ok());
    assert!(
        get::<Events>(&server, "/cache_events?from=0")
            .events
            .is_empty()
    );
}

#[test]
fn report_lags() {
    let report_lag = Duration::from_hours(1);
    let server = loaded(Settings {
        report_lag,
        ..Settings::default()
    });
    assert!(get::<Report>(&server, "/load").adapters.is_empty());
    assert_eq!(server.service().now().adapters.len(), 2);
}

#[test]
fn load_while_serving() {
    let store = Host::start(loopback(), Weights::new(Duration::ZERO)).expect("a free port");
    let source = engine::Source::Store(store.address());
    let server = start(Settings {
        source,
        ..Settings::default()
    });
    assert_eq!(load(&server, MODEL, 1).0, 200);
    store.fault(weights::Fault::Stall(true));
    let url = format!("http://{}/v1/load_lora_adapter", server.address());
    let body = json!({"lora_name": OTHER, "lora_path": "/", "fence": 1}).to_string();
    let loading = std::thread::spawn(move || minreq::post(url).with_body(body).send());
    while store.service().queued() == 0 {
        std::thread::yield_now();
    }
    assert_eq!(code(&load(&server, OTHER, 1)), (409, "loading"));
    let request = request(&server, 5);
    assert_eq!(request.send().expect("answer").verify(&request), Ok(()));
    store.fault(weights::Fault::Stall(false));
    assert_eq!(
        loading
            .join()
            .expect("a thread")
            .expect("answer")
            .status_code,
        200
    );
}
