//! The clients against the stand-ins of the key-value service and the engine.

use dahliastile_outside::engine::{Client, Event, Limit, Route, Work};
use dahliastile_outside::kv::{self, Change, Compare, Notice, Outcome, Put, Read, Timeouts, Txn};
use dahliastile_outside::{Cancel, Endpoint, Error, Fence, Revision};
use dahliastile_standin::engine::{self, Engine};
use dahliastile_standin::kv::{Fault, Kv, Settings};
use dahliastile_standin::{Fault as Trouble, Host, Outage, Service};
use serde_json::{Map, Value, json};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::ControlFlow;
use std::time::Duration;

const AMPLE: Duration = Duration::from_secs(30);
const TIMES: Timeouts = Timeouts {
    read: AMPLE,
    write: AMPLE,
    lease: AMPLE,
    watch: AMPLE,
};
const MODEL: &str = "lock@3";

fn start<S: Service>(service: S) -> (Host<S>, Endpoint) {
    let host = Host::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), service).unwrap();
    let endpoint = host.address().to_string().parse().unwrap();
    (host, endpoint)
}

fn start_kv() -> (Host<Kv>, kv::Client) {
    let (host, endpoint) = start(Kv::new(Settings::default()));
    (host, kv::Client::new(vec![endpoint], TIMES, Cancel::new()))
}

/// Writes a key when it is in the state that the compare asks for.
fn write(compare: Compare, value: &str) -> Txn {
    let put = Put {
        key: b"cfg/head".into(),
        value: value.into(),
        lease: None,
    };
    let reads = vec![Read::Key(b"cfg/head".into())];
    Txn {
        compares: vec![compare],
        puts: vec![put],
        deletes: vec![],
        reads,
    }
}

fn create(value: &str) -> Txn {
    write(Compare::Absent(b"cfg/head".into()), value)
}

#[test]
fn kv_compare_and_swap() {
    let (_host, client) = start_kv();
    let Outcome::Done(first) = client.txn(&create("1")) else {
        panic!("not created")
    };
    let Outcome::Conflict(found) = client.txn(&create("2")) else {
        panic!("created twice")
    };
    assert_eq!(found.reads[0].entries[0].value, b"1");
    let changed = found.reads[0].entries[0].changed;
    assert_eq!(changed, first.revision);
    let swap = write(Compare::Changed(b"cfg/head".into(), changed), "2");
    let Outcome::Done(second) = client.txn(&swap) else {
        panic!("not swapped")
    };
    assert!(second.revision > first.revision);
    assert_eq!(second.reads[0].entries[0].value, b"2");
    assert!(matches!(client.txn(&swap), Outcome::Conflict(_)));
    let Outcome::Done((_, Some(entry))) = client.get(b"cfg/head") else {
        panic!("not found")
    };
    assert_eq!(
        (entry.value, entry.changed),
        (b"2".to_vec(), second.revision)
    );
}

#[test]
fn kv_range_pages() {
    let (_host, client) = start_kv();
    let keys: [&[u8]; 5] = [b"a", b"p/1", b"p/2", b"p/3", b"q"];
    let puts = keys.map(|key| Put {
        key: key.into(),
        value: b"v".into(),
        lease: None,
    });
    let txn = Txn {
        puts: puts.into(),
        ..Txn::default()
    };
    assert!(matches!(client.txn(&txn), Outcome::Done(_)));
    let Outcome::Done(page) = client.range(b"p/", 2) else {
        panic!("not read")
    };
    assert_eq!((page.entries.len(), page.more), (2, true));
    let Outcome::Done(page) = client.range_after(b"p/", b"p/2", 2) else {
        panic!("not read")
    };
    assert_eq!(
        (page.entries[0].key.as_slice(), page.more),
        (b"p/3".as_slice(), false)
    );
    let Outcome::Done(all) = client.range(b"", 0) else {
        panic!("not read")
    };
    assert_eq!(all.entries.len(), keys.len());
}

#[test]
fn kv_lost_answer_and_dropped_write() {
    let (host, client) = start_kv();
    host.fault(Fault::DropWrites(1));
    assert!(matches!(client.txn(&create("1")), Outcome::Unknown(_)));
    assert!(matches!(client.get(b"cfg/head"), Outcome::Done((_, None))));
    host.fault(Fault::LoseAnswers(1));
    assert!(matches!(client.txn(&create("2")), Outcome::Unknown(_)));
    let Outcome::Done((_, Some(entry))) = client.get(b"cfg/head") else {
        panic!("not found")
    };
    assert_eq!(entry.value, b"2");
    assert_eq!(host.service().calls().writes, 2);
}

#[test]
fn kv_outage() {
    let (host, client) = start_kv();
    host.disturb(Trouble::Outage(Outage::Refused));
    assert_eq!(client.txn(&create("1")), Outcome::NotSent);
    assert_eq!(client.get(b"cfg/head"), Outcome::NotSent);
    host.disturb(Trouble::Outage(Outage::None));
    assert!(matches!(client.txn(&create("1")), Outcome::Done(_)));
}

#[test]
fn kv_silent_outage() {
    let (host, endpoint) = start(Kv::new(Settings::default()));
    let times = Timeouts {
        write: Duration::from_millis(50),
        ..TIMES
    };
    let client = kv::Client::new(vec![endpoint], times, Cancel::new());
    host.disturb(Trouble::Outage(Outage::Silent));
    assert_eq!(client.txn(&create("1")), Outcome::Unknown(Error::Timeout));
}

#[test]
fn kv_lease() {
    let (host, client) = start_kv();
    let Outcome::Done((lease, ttl)) = client.lease_grant(AMPLE) else {
        panic!("no lease")
    };
    assert_eq!(ttl, AMPLE);
    let put = Put {
        key: b"l".into(),
        value: b"v".into(),
        lease: Some(lease),
    };
    let txn = Txn {
        puts: vec![put],
        ..Txn::default()
    };
    assert!(matches!(client.txn(&txn), Outcome::Done(_)));
    assert_eq!(client.lease_keepalive(lease), Outcome::Done(AMPLE));
    host.fault(Fault::ExpireLease(lease.0));
    assert_eq!(client.lease_keepalive(lease), Outcome::Conflict(()));
    assert_eq!(client.lease_revoke(lease), Outcome::Conflict(()));
    assert!(matches!(client.get(b"l"), Outcome::Done((_, None))));
    let outcome = client.txn(&txn);
    assert!(matches!(
        outcome,
        Outcome::Unknown(Error::Rejected { status: 404, .. })
    ));
}

#[test]
fn kv_watch() {
    let (host, client) = start_kv();
    let mut watch = client.watch(b"cfg/", Revision(1)).unwrap();
    assert!(matches!(watch.next(), Some(Notice::Opened(_))));
    let Outcome::Done(reply) = client.txn(&create("1")) else {
        panic!("not created")
    };
    let Some(Notice::Changes(revision, changes)) = watch.next() else {
        panic!("no change")
    };
    assert_eq!(revision, reply.revision);
    assert!(matches!(&changes[..], [Change::Put(entry)] if entry.value == b"1"));
    let delete = Txn {
        deletes: vec![b"cfg/head".into()],
        ..Txn::default()
    };
    assert!(matches!(client.txn(&delete), Outcome::Done(_)));
    let Some(Notice::Changes(_, changes)) = watch.next() else {
        panic!("no change")
    };
    assert!(matches!(&changes[..], [Change::Delete { key, .. }] if key == b"cfg/head"));
    host.fault(Fault::CutWatches);
    assert!(matches!(watch.next(), Some(Notice::Broken(_))));
    assert_eq!(watch.next(), None);
    host.fault(Fault::Compact);
    let notices: Vec<_> = client.watch(b"cfg/", Revision(1)).unwrap().collect();
    assert!(
        matches!(notices.last(), Some(Notice::Compacted(_))),
        "{notices:?}"
    );
}

fn start_engine(settings: engine::Settings) -> (Host<Engine>, Client) {
    let (host, endpoint) = start(Engine::new(settings));
    let client = Client::new(endpoint, AMPLE, Limit::default());
    client
        .load(MODEL, "/weights", Fence(1), AMPLE, &Cancel::new())
        .unwrap();
    (host, client)
}

fn work(stream: bool) -> Work {
    let body = json!({ "prompt": "Volkerak", "max_tokens": 5 });
    Work {
        route: Route::Completions,
        body: body.as_object().cloned().unwrap_or_else(Map::new),
        model: MODEL.into(),
        request_id: "r-1".into(),
        priority: 0,
        resume_from: 0,
        stream,
        timeout: AMPLE,
        start_by: None,
    }
}

/// Runs work; gives the text, and fails on a model other than the one asked for.
fn run(client: &Client, work: &Work) -> (String, Result<(), Error>) {
    let mut text = String::new();
    let result = client.complete(work, &Cancel::new(), &mut (), |event| {
        let (model, data) = match event {
            Event::Head { model } => (model, "null".into()),
            Event::Chunk { model, data } => (model, data.into_bytes()),
            Event::Whole { model, body } => (model, body),
        };
        assert_eq!(model.as_deref(), Some(MODEL));
        let data: Value = serde_json::from_slice(&data).unwrap();
        text += data["choices"][0]["text"].as_str().unwrap_or_default();
        ControlFlow::Continue(())
    });
    (text, result)
}

fn expected(work: &Work, from: usize) -> String {
    let mut body = Value::Object(work.body.clone());
    body["model"] = MODEL.into();
    engine::expected(&body).unwrap()[from..].concat()
}

#[test]
fn engine_whole_answers() {
    let (host, client) = start_engine(engine::Settings::default());
    for stream in [true, false] {
        let work = work(stream);
        assert_eq!(run(&client, &work), (expected(&work, 0), Ok(())));
        let work = Work {
            resume_from: 2,
            ..work
        };
        assert_eq!(run(&client, &work), (expected(&work, 2), Ok(())));
    }
    assert_eq!(host.service().history().runs_of("r-1").count(), 4);
}

#[test]
fn engine_broken_answers() {
    let (host, client) = start_engine(engine::Settings::default());
    for stream in [true, false] {
        host.fault(engine::Fault::BreakStreams { after: 2, count: 1 });
        let (text, result) = run(&client, &work(stream));
        assert!(expected(&work(stream), 0).starts_with(&text));
        let broke = |error| matches!(error, Error::Broken(_) | Error::ResetBefore(_));
        assert!(result.is_err_and(broke));
    }
    host.fault(engine::Fault::ResetBeforeFirst(1));
    let (_, result) = run(&client, &work(true));
    assert!(matches!(result, Err(Error::ResetBefore(_))), "{result:?}");
}

#[test]
fn engine_refusals() {
    let (host, client) = start_engine(engine::Settings::default());
    let other = Work {
        model: "other@1".into(),
        ..work(true)
    };
    let error = run(&client, &other).1.unwrap_err();
    assert_eq!(
        (error.is_unsent(), error.code()),
        (true, Some("not_loaded"))
    );
    host.fault(engine::Fault::RefuseWork(true));
    let error = run(&client, &work(true)).1.unwrap_err();
    assert_eq!(
        (error.is_unsent(), error.code()),
        (true, Some("overloaded"))
    );
    host.disturb(Trouble::Outage(Outage::Refused));
    assert_eq!(run(&client, &work(true)).1, Err(Error::Refused));
    assert_eq!(host.service().history().runs_of("r-1").count(), 0);
}

#[test]
fn engine_orders_and_reports() {
    let (host, client) = start_engine(engine::Settings::default());
    let cancel = Cancel::new();
    let report = client.report(&cancel).unwrap();
    assert_eq!((report.fence, report.adapters[0].name.as_str()), (1, MODEL));
    client.raise_fence(Fence(5), &cancel).unwrap();
    let stale = client.unload(MODEL, Fence(4), &cancel).unwrap_err();
    assert_eq!(
        (stale.is_unsent(), stale.code()),
        (true, Some("stale_fence"))
    );
    assert_eq!(run(&client, &work(true)).1, Ok(()));
    let page = client.cache_events(0, &cancel).unwrap();
    assert_eq!(page.events[0].model, MODEL);
    client.unload(MODEL, Fence(5), &cancel).unwrap();
    assert_eq!(client.report(&cancel).unwrap().adapters, []);
    host.fault(engine::Fault::FailLoads(1));
    let failed = client
        .load(MODEL, "/w", Fence(5), AMPLE, &cancel)
        .unwrap_err();
    assert_eq!(
        (failed.is_unsent(), failed.code()),
        (false, Some("load_failed"))
    );
    host.fault(engine::Fault::LoseLoadAnswers(1));
    let lost = client
        .load(MODEL, "/w", Fence(5), AMPLE, &cancel)
        .unwrap_err();
    assert!(matches!(lost, Error::ResetBefore(_)), "{lost:?}");
    assert_eq!(client.report(&cancel).unwrap().adapters[0].name, MODEL);
}

#[test]
fn engine_abort_ends_stream() {
    let (_host, client) = start_engine(engine::Settings::default());
    let mut work = work(true);
    work.body.insert("max_tokens".into(), 1_000_000.into());
    let mut aborted = false;
    let result = client.complete(&work, &Cancel::new(), &mut (), |event| {
        if let (Event::Chunk { .. }, false) = (event, aborted) {
            client.abort("r-1", &Cancel::new()).unwrap();
            aborted = true;
        }
        ControlFlow::Continue(())
    });
    assert!(aborted);
    // An aborted stream is over soon, whole or not; its length is the caller's to check.
    assert!(
        matches!(result, Ok(()) | Err(Error::Broken(_))),
        "{result:?}"
    );
}
