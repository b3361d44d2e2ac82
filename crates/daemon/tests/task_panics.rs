//! Tasks of the event loop that panic. Guards against whoever waits for such a task and is never told: a configuration that no
//! longer comes, adapters that are no longer loaded, callers without an answer.

#[path = "platform/fleet.rs"]
mod fleet;

use std::io::Write as _;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dahliastile_core::id::Server;
use dahliastile_gateway::effect::{Attempt, KvOperation, Order, Refusal};
use dahliastile_gateway::event::{CallerRequest, KvAnswer, OrderOutcome, Report, UnmatchedAnswer};
use dahliastile_gateway::request::notice::Notice;
use dahliastile_gateway::settings::Tuning;
use dahliastile_platform::Speaker;
use dahliastile_shell::{Claim, Client, Dialect, Echo, EventLoop, Heard, Rejection, Reply};
use fleet::{Answer, Fleet, PATIENCE, config, ran, read, request_with, settings_text, until};
use http::{HeaderMap, HeaderValue, Request, Response, request, response};

/// For how long a place panics.
const FAULT_TIME: Duration = Duration::from_secs(1);

/// How long after that all is as before.
const RECOVERY: Duration = Duration::from_secs(2);

/// Calls of a dialect, by the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Call,
    Request,
    Echo,
    Unmatched,
    Claim,
    Reply,
    Notice,
    Answer,
    Readiness,
    Reload,
    Store,
    Order,
    /// Together with orders, after which the scheduler asks for reports.
    Report,
}

impl Place {
    const ALL: [Self; 13] = [
        Self::Call,
        Self::Request,
        Self::Echo,
        Self::Unmatched,
        Self::Claim,
        Self::Reply,
        Self::Notice,
        Self::Answer,
        Self::Readiness,
        Self::Reload,
        Self::Store,
        Self::Order,
        Self::Report,
    ];
}

/// What panics now, and what panicked.
#[derive(Default)]
struct State {
    place: Mutex<Option<Place>>,
    panics: AtomicUsize,
    reloads: AtomicUsize,
}

/// A dialect that panics at one place.
#[derive(Clone)]
struct Faulty {
    speaker: Speaker,
    state: Arc<State>,
}

impl State {
    fn set(&self, place: Option<Place>) {
        *self.place.lock().expect("no panic holds it") = place;
    }

    fn pass(&self, place: Place) {
        let faulty = *self.place.lock().expect("no panic holds it");
        if faulty == Some(place) {
            self.panics.fetch_add(1, Ordering::Relaxed);
        }
        let with_reports = (Some(Place::Report), Place::Order);
        assert!(
            faulty != Some(place) && (faulty, place) != with_reports,
            "made to panic at {place:?}"
        );
    }
}

impl Dialect for Faulty {
    fn call(&self, head: &request::Parts, body: &[u8]) -> Result<CallerRequest, Rejection> {
        self.state.pass(Place::Call);
        self.speaker.call(head, body)
    }

    fn rejected(&self, rejection: Rejection) -> Response<Bytes> {
        self.speaker.rejected(rejection)
    }

    fn refused(&self, refusal: Refusal) -> Response<Bytes> {
        self.speaker.refused(refusal)
    }

    fn request(
        &self,
        head: &request::Parts,
        body: Bytes,
        send: &Attempt,
        after: Option<&HeaderValue>,
    ) -> Request<Bytes> {
        self.state.pass(Place::Request);
        self.speaker.request(head, body, send, after)
    }

    fn echo(&self, asked: &HeaderMap) -> Option<Echo> {
        self.state.pass(Place::Echo);
        self.speaker.echo(asked)
    }

    fn unmatched(&self, asked: &HeaderMap, answer: &response::Parts) -> Option<UnmatchedAnswer> {
        self.state.pass(Place::Unmatched);
        self.speaker.unmatched(asked, answer)
    }

    fn claim(&self, answer: &response::Parts) -> Option<Claim> {
        self.state.pass(Place::Claim);
        self.speaker.claim(answer)
    }

    fn reply(&self, answer: &response::Parts) -> Reply {
        self.state.pass(Place::Reply);
        self.speaker.reply(answer)
    }

    fn notice(&self, answer: &response::Parts) -> Notice {
        self.state.pass(Place::Notice);
        self.speaker.notice(answer)
    }

    fn answer(&self, answer: &response::Parts) -> response::Builder {
        self.state.pass(Place::Answer);
        self.speaker.answer(answer)
    }

    fn readiness_path(&self) -> &'static str {
        self.state.pass(Place::Readiness);
        self.speaker.readiness_path()
    }

    fn reload(&self) -> Result<Tuning, String> {
        self.state.pass(Place::Reload);
        self.state.reloads.fetch_add(1, Ordering::Relaxed);
        self.speaker.reload()
    }

    fn store(&self, client: Client, op: KvOperation) -> impl Future<Output = KvAnswer> + 'static {
        let state = self.state.clone();
        let answer = self.speaker.store(client, op);
        async move {
            let answer = answer.await;
            state.pass(Place::Store);
            answer
        }
    }

    fn order(
        &self,
        client: Client,
        server: Server,
        address: SocketAddr,
        order: Order,
    ) -> impl Future<Output = Heard<OrderOutcome>> + 'static {
        let state = self.state.clone();
        let answer = self.speaker.order(client, server, address, order);
        async move {
            let answer = answer.await;
            state.pass(Place::Order);
            answer
        }
    }

    fn report(
        &self,
        client: Client,
        server: Server,
        address: SocketAddr,
    ) -> impl Future<Output = Heard<Option<Report>>> + 'static {
        let state = self.state.clone();
        let answer = self.speaker.report(client, server, address);
        async move {
            let answer = answer.await;
            state.pass(Place::Report);
            answer
        }
    }
}

/// A fleet of one VM, which runs on a thread of this process.
struct Lab {
    fleet: Fleet,
    vm: IpAddr,
    state: Arc<State>,
    settings: PathBuf,
    adapters: usize,
}

impl Drop for Lab {
    fn drop(&mut self) {
        // What is left of it takes no room worth a failure.
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl Lab {
    fn start() -> Self {
        let fleet = Fleet::servers();
        fleet.store.put("op/config", &config(1));
        let vm = fleet.address(1, 0).ip();
        let path = std::env::temp_dir().join(format!("task-panics-{}.toml", std::process::id()));
        let store = fleet.store.address().expect("it listens");
        std::fs::write(&path, settings_text(1, vm, store)).expect("the settings are written");
        let state = Arc::<State>::default();
        let (shared, settings) = (state.clone(), path.clone());
        thread::spawn(move || {
            let event_loop = EventLoop::new().expect("an event loop");
            let path = path.to_str().expect("a path in UTF-8");
            let (settings, options, speaker) = dahliastile_platform::load(path).expect("settings");
            let faulty = Faulty {
                speaker,
                state: shared,
            };
            event_loop.run(settings, &options, faulty)
        });
        let mut lab = Self {
            fleet,
            vm,
            state,
            settings,
            adapters: 0,
        };
        until("the VM is ready", || lab.is_ready());
        until("all kinds are served", || lab.unserved("start").is_empty());
        lab
    }

    fn send(&self, port: u16, text: &str) -> Option<Answer> {
        let mut stream = TcpStream::connect(SocketAddr::new(self.vm, port)).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        stream.write_all(text.as_bytes()).ok()?;
        Some(read(stream))
    }

    fn is_ready(&self) -> bool {
        let get = "GET /dahliastile/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        self.send(8141, get)
            .is_some_and(|answer| answer.status == 200)
    }

    fn figures(&self) -> String {
        let get = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        self.send(9464, get).map_or(String::new(), |a| a.text)
    }

    /// Asks once for each kind, with an adapter that is not loaded, and returns the answers with their paths.
    fn ask_all(&mut self, case: &str) -> Vec<(String, Option<Answer>)> {
        self.adapters += 1;
        let adapter = format!("base/b{}", self.adapters);
        let paths = [
            ("/plan/x", Some(adapter.as_str())),
            ("/berth/x", Some(adapter.as_str())),
            ("/query/x", None),
            ("/post/x", None),
        ];
        let ask = |(path, model): (&str, Option<&str>)| {
            let id = format!("{case}-{}{}", self.adapters, path.replace('/', "-"));
            let head = "Deadline-Ms: 1500\r\nConnection: close\r\n";
            let answer = self.send(8149, &request_with(&id, path, model, head));
            let runs = ran(&self.fleet.engines, &id) + ran(&self.fleet.plain, &id);
            assert!(
                runs < 2 || path == "/query/x" || path == "/berth/x",
                "{id}: {runs} runs"
            );
            (id, answer)
        };
        paths.into_iter().map(ask).collect()
    }

    /// The requests, of one of each kind, that are not served.
    fn unserved(&mut self, case: &str) -> Vec<String> {
        let answers = self.ask_all(case).into_iter();
        let unserved = answers.filter(|(_, answer)| {
            answer
                .as_ref()
                .is_none_or(|answer| answer.status != 200 || !answer.whole)
        });
        let text = |(id, answer): (String, Option<Answer>)| {
            format!(
                "{id}: {}",
                answer.map_or(String::new(), |answer| answer.text)
            )
        };
        unserved.map(text).collect()
    }

    /// Panics at a place for a while, under requests of all kinds. Returns what is wrong: those that were left without an answer,
    /// or that the place was never come to.
    fn panic_at(&mut self, place: Place) -> Vec<String> {
        self.state.panics.store(0, Ordering::Relaxed);
        self.state.set(Some(place));
        let begun = Instant::now();
        let mut faults = Vec::new();
        while begun.elapsed() < FAULT_TIME {
            self.is_ready();
            if place == Place::Reload {
                hang_up();
            }
            let answers = self.ask_all(&format!("{place:?}")).into_iter();
            let lost = answers.filter(|(_, answer)| answer.as_ref().is_none_or(|a| a.status == 0));
            faults.extend(lost.map(|(id, _)| format!("{id}: no answer")));
        }
        self.state.set(None);
        if self.state.panics.load(Ordering::Relaxed) == 0 {
            faults.push(format!("{place:?}: nothing panicked"));
        }
        faults
    }
}

/// Has the process read its settings again.
fn hang_up() {
    let process = std::process::id().to_string();
    let sent = std::process::Command::new("kill")
        .args(["-HUP", &process])
        .status();
    assert!(sent.is_ok_and(|status| status.success()));
}

/// Each place panics for a second. All requests have an answer meanwhile, none that may not be repeated runs twice, and two
/// seconds later all is as before: requests of all kinds, loads of adapters, the configuration, readiness and settings.
#[test]
fn task_panicsateachplace() {
    let mut lab = Lab::start();
    let mut faults = Vec::new();
    for (version, place) in (2..).zip(Place::ALL) {
        faults.extend(lab.panic_at(place));
        let mut newer = config(version);
        let path = format!("/new{version}/");
        let mut route = newer["routes"][2].clone();
        route["name"] = format!("new{version}").into();
        route["prefix"] = path.as_str().into();
        newer["routes"].as_array_mut().expect("routes").push(route);
        lab.fleet.store.put("op/config", &newer);
        thread::sleep(RECOVERY);
        let head = "Deadline-Ms: 1500\r\nConnection: close\r\n";
        let id = format!("new-{place:?}");
        let answer = lab.send(8149, &request_with(&id, &path, None, head));
        if answer.is_none_or(|answer| answer.status != 200) {
            faults.push(format!(
                "{place:?}: the newer configuration is not in force"
            ));
        }
        let unserved = lab.unserved(&format!("after-{place:?}"));
        faults.extend(unserved);
        if !lab.is_ready() {
            faults.push(format!("{place:?}: the VM is not ready"));
        }
        let reloads = lab.state.reloads.load(Ordering::Relaxed);
        hang_up();
        let begun = Instant::now();
        while lab.state.reloads.load(Ordering::Relaxed) == reloads {
            if begun.elapsed() > RECOVERY {
                faults.push(format!("{place:?}: the settings are not read again"));
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
        if !lab.figures().contains("dahliastile_task_panics_total") {
            faults.push(format!("{place:?}: no panic is counted"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
