//! A backend server: a model replica that holds adapters, or a plain service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use dahliastile_body::Framing;
use serde_json::{Value, json};

use super::http::{Asked, Finish, Late, Reply, serve};
use super::slots::{Slots, Taken};

/// When each of them first started, a Unix time in milliseconds.
const BORN: u64 = 1_790_000_000_000;
/// The time a load of an adapter takes.
const LOAD: Duration = Duration::from_millis(50);
/// Events of a stream, and the pause before each.
const EVENTS: u64 = 5;

/// The slots that its entry names where its capacity has no limit.
const SLOTS: usize = 8;

/// The body of an answer with an odd head: an event of a stream, for model replicas.
const ODD_BODY: &str = "id: 1\ndata: odd\n\n";

/// The header that bears the id of a request.
const REQUEST_ID: &str = "Request-Id";
/// The header that says that a request has not run.
const NOT_RUN: &str = "Not-Executed";

/// What a replica does with the next requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It serves them.
    #[default]
    None,
    /// It runs them and closes the connection without an answer.
    LosesAnswer,
    /// It closes the connection after the second event of a stream.
    CutsStream,
    /// It closes the connection within an answer: after half of it, or within the third event of a stream.
    CutsAnswer,
    /// It resets the connection there.
    ResetsAnswer,
    /// It answers with another request's id.
    AnswersAnother,
    /// It takes no more work.
    Full,
    /// It says that another server is meant.
    Misdirected,
    /// It runs them and sends bytes without end.
    Floods(Flood),
    /// It runs them and fails.
    Fails,
    /// It runs them and answers with a status that tells of no run, but does not say that it has not run them.
    FailsAs(u16),
    /// It runs them, answers with this status and says that it has not run them.
    DeniesRun(u16),
    /// It runs them and answers with this in the place of a status line.
    StatusLine(&'static str),
    /// It runs them and adds this line to the heads of its answers.
    HeadLine(&'static str),
    /// It runs them, sends this part of an answer and closes the connection; `{id}` and `{seal}` stand for those of the answer.
    HeadStops(&'static str),
    /// It sends the head of a stream and no event.
    Stalls,
    /// It takes them and sends nothing.
    Silent,
}

/// What bytes without end are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// Interim answers.
    Interim,
    /// One line of a head.
    HeaderLine,
    /// Lines of a head.
    HeaderLines,
    /// Bytes that are no HTTP.
    Junk,
    /// A body whose length is never reached.
    Length,
    /// Chunks of a body.
    Chunks,
    /// A body that would end with its connection.
    Unframed,
    /// The size of one chunk.
    ChunkSize,
    /// An event of a stream, in chunks.
    Event,
}

impl Flood {
    /// All of them.
    pub const ALL: [Self; 9] = [
        Self::Interim,
        Self::HeaderLine,
        Self::HeaderLines,
        Self::Junk,
        Self::Length,
        Self::Chunks,
        Self::Unframed,
        Self::ChunkSize,
        Self::Event,
    ];

    /// What comes first, where an answer has these headers, and what comes again and again.
    pub(super) fn reply(self, headers: &[(String, String)]) -> Reply {
        let mut head = "HTTP/1.1 200 OK\r\n".to_owned();
        for (name, value) in headers {
            head.extend([name, ": ", value, "\r\n"]);
        }
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let (first, again) = match self {
            Self::Interim => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
            Self::HeaderLine => (format!("{head}X-Long: "), "x"),
            Self::HeaderLines => (head, "X-Line: x\r\n"),
            Self::Junk => (String::new(), "\u{7f}junk"),
            Self::Length => (format!("{head}Content-Length: 1000000000000\r\n\r\n"), "x"),
            Self::Chunks => (chunked, "4\r\nxxxx\r\n"),
            Self::Unframed => (format!("{head}Connection: close\r\n\r\n"), "x"),
            Self::ChunkSize => (chunked, "0"),
            Self::Event => (chunked + "6\r\ndata: \r\n", "4\r\nxxxx\r\n"),
        };
        Reply::Endless(first.into_bytes(), again.as_bytes().to_vec())
    }
}

/// Which answers a replica sends once more, late: when the next request of their connection has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    /// None.
    #[default]
    None,
    /// Rejections of requests.
    Rejections,
    /// Rejections of requests, the second time without an id.
    RejectionsWithoutId,
    /// All but streams.
    All,
}

/// How a replica sends the copy of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyForm {
    /// How many copies are sent, one right after the other.
    pub count: usize,
    /// The pause between the halves of what is sent; none where all of it is sent at once.
    pub pause: Option<Duration>,
    /// The text behind which each copy is broken off, so that the next answer follows within its head; none where all of a copy
    /// is sent, as it is where a copy lacks the text.
    pub ends_behind: Option<&'static str>,
}

impl CopyForm {
    /// The bytes of all copies of an answer.
    fn bytes(self, whole: &[u8]) -> Vec<u8> {
        let text = self.ends_behind.unwrap_or_default().as_bytes();
        let is_text = |at: &usize| whole[*at..].starts_with(text);
        let end = match text {
            [] => None,
            text => (0..whole.len()).find(is_text).map(|at| at + text.len()),
        };
        whole[..end.unwrap_or(whole.len())].repeat(self.count)
    }
}

impl Default for CopyForm {
    fn default() -> Self {
        Self {
            count: 1,
            pause: None,
            ends_behind: None,
        }
    }
}

/// The work that a replica takes at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Requests that run at a time.
    pub slots: usize,
    /// Requests that wait for a slot.
    pub queue: usize,
    /// How long a request runs.
    pub work: Duration,
}

/// Faults that meet some of the requests.
struct Shares {
    /// The faults with their shares of all requests.
    faults: Vec<(Fault, f64)>,
    /// The state of the generator that draws them.
    random: u64,
}

impl Shares {
    /// The fault of the next request, where one is drawn.
    fn draw(&mut self) -> Option<Fault> {
        // SplitMix64.
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let high = u32::try_from((mixed ^ (mixed >> 31)) >> 32).unwrap_or_default();
        let mut left = f64::from(high) / f64::from(u32::MAX);
        for (fault, share) in &self.faults {
            if left < *share {
                return Some(*fault);
            }
            left -= share;
        }
        None
    }
}

/// A request that was run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request as it came.
    pub asked: Asked,
    /// The event after which it went on, 0 where it began.
    pub after: u64,
    /// When it began.
    pub at: Instant,
    /// The id that the server had.
    pub server: String,
    /// The status that it was answered with, 0 where there was no answer.
    pub status: u16,
}

struct State {
    id: String,
    adapters: BTreeMap<String, Instant>,
    orders: u64,
    fence: u64,
    fault: Fault,
    shares: Option<Shares>,
    repeat: Repeat,
    copy_form: CopyForm,
    rejects_loading: bool,
    rejections: Vec<Asked>,
    asked_for_others: usize,
    echoes_calls: bool,
    call_flood: Option<Flood>,
    runs: Vec<Run>,
    cancelled: Vec<(String, Instant)>,
    framing: Framing,
    line_end: &'static str,
    event_ids: &'static str,
    pace: Duration,
    speed: f64,
    overfull: usize,
    padding: usize,
    build: Option<String>,
    born: u64,
    extra_headers: Vec<(String, String)>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            id: String::new(),
            adapters: BTreeMap::new(),
            orders: 0,
            fence: 0,
            fault: Fault::None,
            shares: None,
            repeat: Repeat::None,
            copy_form: CopyForm::default(),
            rejects_loading: false,
            rejections: Vec::new(),
            asked_for_others: 0,
            echoes_calls: true,
            call_flood: None,
            runs: Vec::new(),
            cancelled: Vec::new(),
            framing: Framing::Length,
            line_end: "\n",
            event_ids: "",
            pace: Duration::ZERO,
            speed: 1.0,
            overfull: 0,
            padding: 0,
            build: None,
            born: BORN,
            extra_headers: Vec::new(),
        }
    }
}

/// A backend server. Clones are the same one.
#[derive(Clone)]
pub struct Replica {
    /// The base model, or none for a plain service.
    model: Option<String>,
    places: usize,
    state: Arc<Mutex<State>>,
    slots: Slots,
    copies_made: Arc<AtomicUsize>,
    copies_met: Arc<AtomicUsize>,
}

impl Replica {
    /// A replica with an id that listens at an address; a model replica where it has a base model.
    ///
    /// # Errors
    /// Where it can't listen.
    pub fn start(
        id: &str,
        address: SocketAddr,
        model: Option<&str>,
        places: usize,
    ) -> std::io::Result<Self> {
        let replica = Self {
            model: model.map(str::to_owned),
            places,
            state: Arc::default(),
            slots: Slots::default(),
            copies_made: Arc::default(),
            copies_met: Arc::default(),
        };
        id.clone_into(&mut replica.state().id);
        let served = replica.clone();
        serve(address, move |asked| served.answer(asked))?;
        Ok(replica)
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> String {
        self.state().id.clone()
    }

    /// The entry that it writes into the key-value service.
    #[must_use]
    pub fn entry(&self, service: &str, address: SocketAddr, zone: &str, state: &str) -> Value {
        let models: Vec<Value> = self
            .model
            .iter()
            .map(|m| json!({"name": m, "version": 1, "adapters": []}))
            .collect();
        json!({
            "service": service, "address": address.to_string(), "zone": zone,
            "slots": self.slots.capacity().map_or(SLOTS, |capacity| capacity.slots),
            "version": self.build().as_deref().unwrap_or("v1"),
            "state": state, "coldRemainingMs": 0, "stage": "both", "models": models, "seq": 0,
            "born": self.state().born,
        })
    }

    /// The build of its software, which its events name from then on. What two builds write does not fit together.
    pub fn set_build(&self, build: &str) {
        self.state().build = Some(build.to_owned());
    }

    /// The build of its software, where one was set.
    #[must_use]
    pub fn build(&self) -> Option<String> {
        self.state().build.clone()
    }

    /// It starts anew with a build of its software, under another id.
    pub fn release(&self, build: &str, id: &str) {
        self.restart();
        let mut state = self.state();
        state.build = Some(build.to_owned());
        state.born += 1;
        id.clone_into(&mut state.id);
    }

    /// What it does with the next requests.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Has faults meet shares of the requests, drawn from a seed; the others meet the fault that is set.
    pub fn set_fault_shares(&self, faults: &[(Fault, f64)], seed: u64) {
        self.state().shares = Some(Shares {
            faults: faults.to_vec(),
            random: seed,
        });
    }

    /// Limits the work that it takes at a time. What exceeds it is rejected.
    pub fn set_capacity(&self, capacity: Capacity) {
        self.slots.set(capacity);
    }

    /// Whether it says that it has not run the requests for an adapter that it loads, in place of that another server is
    /// meant.
    pub fn set_rejects_loading(&self, rejects: bool) {
        self.state().rejects_loading = rejects;
    }

    /// How it sends copies.
    pub fn set_copy_form(&self, form: CopyForm) {
        self.state().copy_form = form;
    }

    /// Copies of answers that wait for the next request of their connection, or have met it.
    #[must_use]
    pub fn copies_made(&self) -> usize {
        self.copies_made.load(Ordering::Relaxed)
    }

    /// Copies of answers that have met the next request of their connection.
    #[must_use]
    pub fn copies_met(&self) -> usize {
        self.copies_met.load(Ordering::Relaxed)
    }

    /// Requests that it has not run and said so.
    #[must_use]
    pub fn rejections(&self) -> Vec<Asked> {
        self.state().rejections.clone()
    }

    /// Which answers it sends once more, late.
    pub fn set_repeat(&self, repeat: Repeat) {
        self.state().repeat = repeat;
    }

    /// Whether its answers to orders, and to questions for its report, bear their ids.
    pub fn set_echoes_calls(&self, echoes: bool) {
        self.state().echoes_calls = echoes;
    }

    /// Has it answer orders, and questions for its report, with bytes without end.
    pub fn set_call_flood(&self, flood: Option<Flood>) {
        self.state().call_flood = flood;
    }

    /// Adds headers to all its answers: to requests, to orders and to questions for its report.
    pub fn set_extra_headers(&self, headers: &[(&str, &str)]) {
        self.state().extra_headers = super::http::owned(headers);
    }

    /// How its answers are framed; streams have no length and come in chunks instead.
    pub fn set_framing(&self, framing: Framing) {
        self.state().framing = framing;
    }

    /// With what the lines of its events end.
    pub fn set_line_end(&self, line_end: &'static str) {
        self.state().line_end = line_end;
    }

    /// What the ids of its events begin with.
    pub fn set_event_ids(&self, begin: &'static str) {
        self.state().event_ids = begin;
    }

    /// The pause before each event of a stream.
    pub fn set_pace(&self, pace: Duration) {
        self.state().pace = pace;
    }

    /// How many times as fast as the pace of its streams it is.
    ///
    /// # Panics
    /// Where the factor is not above 0.
    pub fn set_speed(&self, speed: f64) {
        assert!(speed > 0.0, "a speed of {speed}");
        self.state().speed = speed;
    }

    /// The number of bytes that are added to each answer of a plain service and, as a comment, to each event.
    pub fn set_padding(&self, padding: usize) {
        self.state().padding = padding;
    }

    /// The requests that it ran.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Returns the ids of requests whose connection was closed while the replica stalled or was silent, with the times.
    #[must_use]
    pub fn cancelled(&self) -> Vec<(String, Instant)> {
        self.state().cancelled.clone()
    }

    /// The number of requests and calls that it answered as meant for another server.
    #[must_use]
    pub fn asked_for_others(&self) -> usize {
        self.state().asked_for_others
    }

    /// Orders to load an adapter that would have been one too many.
    #[must_use]
    pub fn overfull(&self) -> usize {
        self.state().overfull
    }

    /// It starts anew and holds nothing.
    pub fn restart(&self) {
        let mut state = self.state();
        state.adapters.clear();
        state.orders = 0;
        state.fence = 0;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, asked: &Asked) -> Reply {
        let (repeat, form, echoes_calls, extra_headers) = {
            let state = self.state();
            let extra_headers = state.extra_headers.clone();
            (
                state.repeat,
                state.copy_form,
                state.echoes_calls,
                extra_headers,
            )
        };
        let is_call = asked.path.starts_with("/dahliastile/");
        let id = asked.headers.get("request-id");
        let echoed = id.filter(|_| echoes_calls || !is_call);
        let mut reply = self.reply(asked);
        if let (Reply::Whole(_, headers, _), Some(id)) = (&mut reply, echoed)
            && !headers.iter().any(|(name, _)| name == REQUEST_ID)
        {
            headers.push((REQUEST_ID.to_owned(), id.clone()));
        }
        reply.add_headers(&extra_headers);
        match copy(&reply, repeat, is_call) {
            Some(bytes) => {
                self.copies_made.fetch_add(1, Ordering::Relaxed);
                let late = Late {
                    bytes: form.bytes(&bytes),
                    pause: form.pause,
                    met: self.copies_met.clone(),
                };
                Reply::Followed(Box::new(reply), late)
            }
            None => reply,
        }
    }

    fn reply(&self, asked: &Asked) -> Reply {
        let expected = asked.headers.get("expect-instance");
        let id = self.id();
        let flood = self.state().call_flood;
        if let Some(flood) = flood.filter(|_| asked.path.starts_with("/dahliastile/")) {
            let echoed = asked.headers.get("request-id").cloned().unwrap_or_default();
            return flood.reply(&[(REQUEST_ID.to_owned(), echoed)]);
        }
        match asked.path.as_str() {
            _ if expected.is_some_and(|expected| *expected != id) => {
                self.state().asked_for_others += 1;
                Self::plainly(id, 421, Vec::new(), "")
            }
            "/dahliastile/report" => self.report(),
            "/dahliastile/order" => self.order(asked),
            _ => self.work(asked),
        }
    }

    fn report(&self) -> Reply {
        let state = self.state();
        let now = Instant::now();
        let names = |there: bool| {
            let some = state
                .adapters
                .iter()
                .filter(move |(_, ready)| (**ready <= now) == there);
            some.map(|(name, _)| format!("{name}@1"))
                .collect::<Vec<_>>()
        };
        let coming: Vec<String> = names(false)
            .iter()
            .map(|name| format!("{}/{name}", self.model.as_deref().unwrap_or("")))
            .collect();
        let models: Vec<Value> = self
            .model
            .iter()
            .map(|m| json!({"name": m, "version": 1, "adapters": names(true)}))
            .collect();
        let body = json!({"stage": "both", "models": models, "coming": coming, "busy": false, "seq": state.orders, "born": state.born});
        Reply::Whole(200, Vec::new(), body.to_string().into_bytes())
    }

    fn order(&self, asked: &Asked) -> Reply {
        let body: Value = serde_json::from_slice(&asked.body).unwrap_or_default();
        let mut state = self.state();
        let fence = body["fencingToken"].as_u64().unwrap_or(0);
        let adapter = body["adapter"].as_str().unwrap_or_default().to_owned();
        let status = match body["op"].as_str() {
            _ if fence < state.fence => 412,
            _ if body["expected"].as_u64() != Some(state.orders) => 409,
            Some("load") if state.adapters.len() >= self.places => {
                state.overfull += 1;
                400
            }
            Some("load") => {
                state.adapters.insert(adapter, Instant::now() + LOAD);
                202
            }
            _ => {
                state.adapters.remove(&adapter);
                200
            }
        };
        if status < 300 {
            state.orders += 1;
            state.fence = fence;
        }
        Self::plainly(state.id.clone(), status, Vec::new(), "")
    }

    fn work(&self, asked: &Asked) -> Reply {
        let drawn = self.state().shares.as_mut().and_then(Shares::draw);
        let fault = drawn.unwrap_or(self.state().fault);
        if let Some(rejection) = self.rejection(asked, fault) {
            return rejection;
        }
        let deadline = asked.headers.get("deadline-ms");
        let deadline = deadline.and_then(|text| text.parse().ok());
        let deadline = deadline.map(|left| Instant::now() + Duration::from_millis(left));
        match self.slots.take(deadline) {
            Some(taken) => self.run(asked, fault, &taken),
            None => self.full(asked),
        }
    }

    /// The answer to a request that is not run.
    fn rejection(&self, asked: &Asked, fault: Fault) -> Option<Reply> {
        let named = asked
            .headers
            .get("model")
            .and_then(|model| model.split_once('/'));
        let (ready, rejects_loading) = {
            let state = self.state();
            let ready = named.map(|(_, adapter)| state.adapters.get(adapter).copied());
            (ready, state.rejects_loading)
        };
        match (ready, fault) {
            (Some(None), _) | (_, Fault::Misdirected) => Some(self.misdirected(asked)),
            (Some(Some(ready)), _) if ready > Instant::now() && rejects_loading => {
                Some(self.full(asked))
            }
            (Some(Some(ready)), _) if ready > Instant::now() => Some(self.misdirected(asked)),
            (_, Fault::Full) => Some(self.full(asked)),
            _ => None,
        }
    }

    fn full(&self, asked: &Asked) -> Reply {
        let mut state = self.state();
        state.rejections.push(asked.clone());
        let not_run = vec![(NOT_RUN.to_owned(), "1".to_owned())];
        Self::plainly(state.id.clone(), 503, not_run, "")
    }

    fn misdirected(&self, asked: &Asked) -> Reply {
        let mut state = self.state();
        state.rejections.push(asked.clone());
        Self::plainly(state.id.clone(), 421, Vec::new(), "")
    }

    /// Runs a request in the slot that it has taken.
    fn run(&self, asked: &Asked, fault: Fault, taken: &Taken) -> Reply {
        let mut state = self.state();
        let after = asked
            .headers
            .get("last-event-id")
            .and_then(|id| id.strip_prefix(state.event_ids)?.parse().ok())
            .unwrap_or(0);
        let server = state.id.clone();
        state.runs.push(Run {
            asked: asked.clone(),
            after,
            at: Instant::now(),
            server,
            status: match fault {
                Fault::LosesAnswer | Fault::Silent => 0,
                Fault::Fails => 500,
                Fault::FailsAs(status) | Fault::DeniesRun(status) => status,
                _ => 200,
            },
        });
        let id = match fault {
            Fault::AnswersAnother => "another",
            _ => asked.headers.get("request-id").map_or("", String::as_str),
        };
        let mut headers = vec![("Server-Seal".to_owned(), format!("seal-{}", state.id))];
        // A request without an id has an answer without one.
        if !id.is_empty() {
            headers.insert(0, (REQUEST_ID.to_owned(), id.to_owned()));
        }
        if matches!(fault, Fault::DeniesRun(_)) {
            headers.push((NOT_RUN.to_owned(), "1".to_owned()));
        }
        let reply = match fault {
            Fault::LosesAnswer => Reply::Nothing,
            Fault::Stalls | Fault::Silent => {
                let (replica, id) = (self.clone(), id.to_owned());
                let closed = move || replica.state().cancelled.push((id, Instant::now()));
                let sent = (fault == Fault::Stalls).then_some(headers);
                Reply::Stalled(sent, Box::new(closed))
            }
            Fault::Floods(flood) => flood.reply(&headers),
            Fault::StatusLine(line) => Reply::Bytes(with_lines(line, None, &headers)),
            Fault::HeadLine(line) => {
                Reply::Bytes(with_lines("HTTP/1.1 200 OK", Some(line), &headers))
            }
            Fault::HeadStops(part) => {
                let part = part.replace("{id}", id);
                let seal = format!("seal-{}", state.id);
                Reply::Part(part.replace("{seal}", &seal).into_bytes())
            }
            Fault::Fails => Reply::Whole(500, headers, b"failed".to_vec()),
            Fault::FailsAs(status) | Fault::DeniesRun(status) if status != 200 => {
                Reply::Whole(status, headers, b"failed".to_vec())
            }
            fault if self.model.is_some() => stream(&state, headers, after, fault),
            fault => {
                let body = format!("answer of {}{}", state.id, "x".repeat(state.padding));
                let body = body.into_bytes();
                Reply::Framed(200, headers, body, state.framing, finish(fault))
            }
        };
        drop(state);
        taken.work();
        reply
    }

    fn plainly(id: String, status: u16, mut headers: Vec<(String, String)>, body: &str) -> Reply {
        headers.push(("Instance-Id".to_owned(), id));
        Reply::Whole(status, headers, body.as_bytes().to_vec())
    }
}

/// The bytes of an answer with this status line and, first of its fields, this line.
fn with_lines(status_line: &str, head_line: Option<&str>, headers: &[(String, String)]) -> Vec<u8> {
    let usual = Reply::bytes(200, headers, ODD_BODY.as_bytes());
    let rest = usual.iter().position(|byte| *byte == b'\n');
    let rest = &usual[rest.map_or(0, |end| end + 1)..];
    let head_line = head_line.map(|line| format!("{line}\r\n"));
    let lines = format!("{status_line}\r\n{}", head_line.unwrap_or_default());
    [lines.as_bytes(), rest].concat()
}

/// The bytes that are sent late after an answer; none where it is sent once.
fn copy(reply: &Reply, repeat: Repeat, is_call: bool) -> Option<Vec<u8>> {
    let (status, headers, body) = match reply {
        Reply::Whole(status, headers, body) => (*status, headers, body),
        Reply::Framed(status, headers, body, Framing::Length, Finish::Whole) => {
            (*status, headers, body)
        }
        _ => return None,
    };
    let is_rejection = !is_call && matches!(status, 421 | 503);
    let without_id = headers.iter().filter(|(name, _)| name != REQUEST_ID);
    let without_id: Vec<_> = without_id.cloned().collect();
    match repeat {
        Repeat::Rejections if is_rejection => Some(Reply::bytes(status, headers, body)),
        Repeat::RejectionsWithoutId if is_rejection => {
            Some(Reply::bytes(status, &without_id, body))
        }
        Repeat::All => Some(Reply::bytes(status, headers, body)),
        _ => None,
    }
}

/// How an answer ends where its server has a fault.
fn finish(fault: Fault) -> Finish {
    match fault {
        Fault::CutsStream | Fault::CutsAnswer => Finish::Closed,
        Fault::ResetsAnswer => Finish::Reset,
        _ => Finish::Whole,
    }
}

/// A stream of the events that come after a number of them.
fn stream(state: &State, headers: Vec<(String, String)>, after: u64, fault: Fault) -> Reply {
    let pace = state.pace.div_f64(state.speed);
    let line_end = state.line_end;
    let event = |number: u64| {
        let mut lines = vec![
            format!("id: {}{number}", state.event_ids),
            format!("data: token {number}"),
        ];
        lines.extend(state.build.as_ref().map(|build| format!("build: {build}")));
        lines.extend((state.padding > 0).then(|| format!(": {}", "x".repeat(state.padding))));
        lines.push(String::new());
        let lines = lines.into_iter().map(|line| line + line_end);
        lines.collect::<String>()
    };
    let last = match fault {
        Fault::CutsStream | Fault::CutsAnswer | Fault::ResetsAnswer => after + 2,
        _ => EVENTS,
    };
    let mut pieces: Vec<(Duration, String)> =
        (after + 1..=last).map(|n| (pace, event(n))).collect();
    if matches!(fault, Fault::CutsAnswer | Fault::ResetsAnswer) {
        let mut part = event(last + 1);
        part.truncate(part.len() / 2);
        pieces.push((pace, part));
    }
    let framing = match state.framing {
        Framing::Connection => Framing::Connection,
        Framing::Length | Framing::Chunked => Framing::Chunked,
    };
    Reply::Stream(headers, pieces, framing, finish(fault))
}
