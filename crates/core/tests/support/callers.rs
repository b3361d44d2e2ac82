//! The callers: what they ask, what they get, and the checks of it against what ran.

use dahliastile_core::error::{Answer, Ran};
use dahliastile_core::event::{Call, Event, Head, Target};
use dahliastile_core::id::Request;

use super::{Fleet, Micros, Origin};

/// How an ask ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a whole answer.
    Finished,
    /// With a final answer that says why there is no whole one.
    Refused(Answer),
    /// With the stored answer of an earlier run.
    Replayed(Head, Vec<u8>),
    /// The VM's end of the connection broke.
    Lost,
    /// The caller went away.
    Left,
}

/// One run that a backend server took in.
#[derive(Clone, Debug)]
pub struct Run {
    /// The server.
    pub server: String,
    /// What ran: an adapter, or a plain service.
    pub ran: String,
    /// When it was taken in.
    pub at: Micros,
    /// The tokens that it made.
    pub tokens: u32,
    /// Whether it ran to its end.
    pub whole: bool,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The VM that it went to.
    pub origin: Origin,
    /// Its number there.
    pub request: Request,
    /// What it asked for.
    pub call: Call,
    /// When it was sent.
    pub at: Micros,
    /// When the answer began.
    pub begun: Option<Micros>,
    /// When it ended.
    pub ended: Option<Micros>,
    /// The bytes that the caller got.
    pub data: Vec<u8>,
    /// How it ended.
    pub ending: Option<Ending>,
    /// What backend servers ran for it.
    pub runs: Vec<Run>,
}

impl Ask {
    /// The final answer of a refusal.
    pub fn refusal(&self) -> Option<&Answer> {
        match &self.ending {
            Some(Ending::Refused(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Whether the caller got its whole answer from its own run.
    pub fn finished(&self) -> bool {
        self.ending == Some(Ending::Finished)
    }

    /// What was asked for.
    pub fn target(&self) -> &str {
        match &self.call.target {
            Target::Model(text) | Target::Service(text) => text,
        }
    }

    /// The text of one token of the right answer.
    pub fn token(&self, index: u32) -> String {
        token(self.target(), self.call.digest, index)
    }

    fn expected(&self) -> Vec<u8> {
        let tokens = match self.call.target {
            Target::Model(_) => self.call.max_tokens,
            Target::Service(_) => 1,
        };
        (0..tokens)
            .flat_map(|i| self.token(i).into_bytes())
            .collect()
    }
}

/// A token as the fakes make it, so that it can be checked whose it is.
pub fn token(ran: &str, digest: u64, index: u32) -> String {
    format!("{ran}|{digest}|{index};")
}

impl Fleet {
    /// Sends a request to a VM. Returns its position in [`Fleet::asks`].
    pub fn ask(&mut self, vm: usize, call: Call) -> usize {
        let row = &mut self.vms[vm];
        row.last_request += 1;
        let (origin, request) = (row.origin(vm), Request(row.last_request));
        let up = row.node.is_some();
        let ask = self.asks.len();
        self.asks.push(Ask {
            origin,
            request,
            call: call.clone(),
            at: self.now,
            begun: None,
            ended: None,
            data: Vec::new(),
            ending: (!up).then_some(Ending::Lost),
            runs: Vec::new(),
        });
        self.requests.insert((origin, request), ask);
        let call = Box::new(call);
        self.step(vm, Event::Arrived { request, call });
        ask
    }

    /// The caller of an ask goes away.
    pub fn leave(&mut self, ask: usize) {
        let row = &mut self.asks[ask];
        if row.ending.is_some() {
            return;
        }
        row.ending = Some(Ending::Left);
        row.ended = Some(self.now);
        let (origin, request) = (row.origin, row.request);
        self.tell(origin, 0, Event::Gone { request });
    }

    /// Runs until an ask ended, for `limit` at most.
    pub fn finish(&mut self, ask: usize, limit: Micros) -> &Ask {
        self.run_while(|fleet| fleet.asks[ask].ending.is_none(), limit);
        &self.asks[ask]
    }

    /// Runs until all asks ended, for `limit` at most. Says whether they did.
    pub fn finish_all(&mut self, limit: Micros) -> bool {
        self.run_while(
            |fleet| fleet.asks.iter().any(|ask| ask.ending.is_none()),
            limit,
        )
    }

    /// Asks at a VM that have not ended.
    pub fn open_asks(&self, vm: usize) -> Vec<usize> {
        let open = |ask: &Ask| ask.origin == self.vms[vm].origin(vm) && ask.ending.is_none();
        let asks = self.asks.iter().enumerate();
        asks.filter(|(_, ask)| open(ask)).map(|(i, _)| i).collect()
    }

    pub(crate) fn ask_of(&self, origin: Origin, request: Request) -> Option<usize> {
        self.requests.get(&(origin, request)).copied()
    }

    pub(crate) fn caller_begin(&mut self, origin: Origin, request: Request, _head: Head) {
        let now = self.now;
        match self.ask_of(origin, request) {
            Some(ask) if self.asks[ask].ending == Some(Ending::Left) => {}
            Some(ask) if self.asks[ask].ending.is_some() => {
                self.violate(format!("ask {ask} is begun after its end"));
            }
            Some(ask) if self.asks[ask].begun.is_some() && self.asks[ask].call.stream => {
                self.violate(format!("ask {ask} is begun a second time"));
            }
            // An answer that is not streamed starts over: the caller has seen nothing of it yet.
            Some(ask) => {
                self.asks[ask].begun = Some(now);
                self.asks[ask].data.clear();
            }
            None => self.violate(format!("{request} was never asked")),
        }
    }

    pub(crate) fn caller_data(&mut self, origin: Origin, request: Request, data: &[u8]) {
        match self.ask_of(origin, request) {
            Some(ask) if self.asks[ask].ending == Some(Ending::Left) => {}
            Some(ask) if self.asks[ask].begun.is_none() || self.asks[ask].ending.is_some() => {
                self.violate(format!("ask {ask} gets bytes outside its answer"));
            }
            Some(ask) => self.asks[ask].data.extend_from_slice(data),
            None => self.violate(format!("{request} was never asked")),
        }
    }

    pub(crate) fn caller_end(&mut self, origin: Origin, request: Request, ending: Ending) {
        let Some(ask) = self.ask_of(origin, request) else {
            return self.violate(format!("{request} was never asked"));
        };
        match &self.asks[ask].ending {
            Some(Ending::Left) => return,
            Some(before) => {
                let text = format!("ask {ask} ends as {ending:?} after {before:?}");
                return self.violate(text);
            }
            None => {}
        }
        self.asks[ask].ending = Some(ending);
        self.asks[ask].ended = Some(self.now);
        self.check_ask(ask);
    }

    pub(crate) fn callers_lost(&mut self, origin: Origin) {
        let now = self.now;
        let open = |ask: &&mut Ask| ask.origin == origin && ask.ending.is_none();
        for ask in self.asks.iter_mut().filter(open) {
            ask.ending = Some(Ending::Lost);
            ask.ended = Some(now);
        }
    }

    /// A backend server takes a run in.
    pub(crate) fn run_begins(&mut self, ask: usize, server: &str, ran: &str) -> usize {
        self.asks[ask].runs.push(Run {
            server: server.to_owned(),
            ran: ran.to_owned(),
            at: self.now,
            tokens: 0,
            whole: false,
        });
        if let Some(key) = self.asks[ask].call.key.clone() {
            let key = (self.asks[ask].call.caller.to_string(), key);
            *self.key_runs.entry(key).or_default() += 1;
        }
        self.check_ask(ask);
        self.check_once(ask);
        self.asks[ask].runs.len() - 1
    }

    /// Checks an ask's ending and bytes against what ran.
    fn check_ask(&mut self, ask: usize) {
        let row = &self.asks[ask];
        let expected = row.expected();
        let wrong = match &row.ending {
            Some(Ending::Finished) if row.data != expected => "finished with other bytes",
            Some(Ending::Replayed(_, data)) if *data != expected => "replayed with other bytes",
            Some(Ending::Refused(answer)) if answer.ran == Ran::No && !row.runs.is_empty() => {
                "refused as not run, but it ran"
            }
            Some(Ending::Refused(answer)) if answer.ran == Ran::Yes && self.runs_of(ask) == 0 => {
                "refused as run, but it did not run"
            }
            Some(Ending::Refused(_) | Ending::Lost) if !expected.starts_with(&row.data) => {
                "broke off after bytes that are not its own"
            }
            _ => return,
        };
        let data = String::from_utf8_lossy(&row.data).into_owned();
        let text = format!(
            "ask {ask} ({}) {wrong}: {:?} {data}",
            row.target(),
            row.ending
        );
        self.violate(text);
    }

    /// Runs of an ask, or of its idempotency key where it has one.
    fn runs_of(&self, ask: usize) -> usize {
        let row = &self.asks[ask];
        match &row.call.key {
            Some(key) => {
                let key = (row.call.caller.to_string(), key.clone());
                self.key_runs.get(&key).copied().unwrap_or(0)
            }
            None => row.runs.len(),
        }
    }

    /// Checks that non-idempotent work ran once at most.
    fn check_once(&mut self, ask: usize) {
        let row = &self.asks[ask];
        if !row.call.non_idempotent {
            return;
        }
        let runs = self.runs_of(ask);
        if runs > 1 {
            self.violate(format!("ask {ask} is not idempotent and ran {runs} times"));
        }
    }
}
