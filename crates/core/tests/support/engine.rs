//! Fake model engines and weight stores: slots, batches with a step time, loads, reports that lag, and faults.

use std::collections::{BTreeMap, VecDeque};

use dahliastile_core::effect::{Action, Command, Work};
use dahliastile_core::event::{Cached, Event, Failure, Head, Ordered, Reason, Report, Resident};
use dahliastile_core::id::{self, Attempt, Boot, Order};
use dahliastile_core::time::Span;

use super::callers::token;
use super::net::{End, SILENCE};
use super::{Fleet, MS, Micros, Origin, SEC};

/// Tokens of a prompt that one step takes in.
const PREFILL: u32 = 512;
/// Tokens of a block of the prefix cache.
const BLOCK: u32 = 64;

/// Takes one from a count; says whether there was one.
pub fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count -= u32::from(some);
    some
}

/// What goes wrong at an engine. Counts are of the next times.
#[derive(Debug, Default)]
pub struct Faults {
    /// Loads that fail.
    pub fail_loads: u32,
    /// Loads that take effect though they are answered as failed.
    pub lie_loads: u32,
    /// Orders that take effect though their answers are lost.
    pub lose_answers: u32,
    /// Orders that are lost on the way.
    pub lose_orders: u32,
    /// Runs on another resident adapter than asked.
    pub wrong_adapter: u32,
    /// Runs whose stream breaks after a few tokens.
    pub break_streams: u32,
    /// Runs whose connection breaks before the first byte of the answer.
    pub break_first: u32,
    /// Requests refused as not run.
    pub refuse: u32,
    /// Requests answered with an error that does not say whether they ran; they did.
    pub reject: u32,
    /// Runs that go on for a few pieces after they were cancelled.
    pub after_cancel: u32,
    /// Runs whose last piece and end come twice.
    pub twice: u32,
    /// Pieces that are sent as another run's on the engine.
    pub cross: u32,
    /// Runs that make no tokens until the caller gives up.
    pub hang: u32,
    /// Load reports that are not answered.
    pub mute: u32,
}

/// A weight store: one load at a time.
#[derive(Debug, Default)]
pub struct Store {
    /// When it is free.
    pub free: Micros,
    /// Loads so far.
    pub loads: u64,
}

#[derive(Clone, Debug)]
struct Running {
    origin: Origin,
    attempt: Attempt,
    ask: usize,
    run: usize,
    adapter: String,
    digest: u64,
    priority: i32,
    prefill: u32,
    next: u32,
    end: u32,
    begun: bool,
    breaks_at: Option<u32>,
    hangs: bool,
    twice: bool,
    lingers: u32,
    cancelled: bool,
    text: Vec<u8>,
    tokens: u32,
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Its name.
    pub name: id::Server,
    /// Its address.
    pub address: String,
    /// Its availability zone.
    pub zone: id::Zone,
    /// The weight store.
    pub store: String,
    /// Adapters that it holds at most.
    pub slots: usize,
    /// Sequences in a batch.
    pub batch: usize,
    /// Sequences that may wait.
    pub max_waiting: usize,
    /// Time of a step.
    pub step: Micros,
    /// Time of one load at full speed.
    pub load: Micros,
    /// Time to load the base model.
    pub base_load: Micros,
    /// Whether it checks fencing numbers.
    pub fenced: bool,
    /// Tokens in one piece of an answer.
    pub piece: u32,
    /// How old the figures of a report may be.
    pub lag: Micros,
    /// Prefix blocks that it keeps.
    pub cache_blocks: usize,
    /// What goes wrong.
    pub faults: Faults,
    /// Its present start.
    pub boot: u64,
    /// Whether it is up.
    pub up: bool,
    /// When its base model is loaded.
    pub ready_at: Micros,
    /// The highest fencing number seen.
    pub fence: u64,
    /// What is resident.
    pub residents: Vec<id::Adapter>,
    /// Loads done.
    pub loads: u64,
    /// Unloads done.
    pub unloads: u64,
    /// Steps that had anything to do.
    pub steps: u64,
    /// The sum of the batches of those steps.
    pub stepped: u64,
    loading: Vec<id::Adapter>,
    running: Vec<Running>,
    waiting: VecDeque<Running>,
    stepping: bool,
    report: Option<(Micros, Report)>,
    cache: VecDeque<u64>,
    cache_log: Vec<Cached>,
    cache_seen: BTreeMap<Origin, usize>,
}

impl Engine {
    /// An engine with small figures and its base model loaded.
    pub fn new(name: &str, zone: &str, slots: usize, batch: usize) -> Self {
        Self {
            name: name.parse().unwrap(),
            address: format!("{name}:8000"),
            zone: zone.parse().unwrap(),
            store: "store".to_owned(),
            slots,
            batch,
            max_waiting: 10_000,
            step: 9 * MS,
            load: 333 * MS,
            base_load: 70 * SEC,
            fenced: false,
            piece: 1,
            lag: 100 * MS,
            cache_blocks: 4_096,
            faults: Faults::default(),
            boot: 1,
            up: true,
            ready_at: 0,
            fence: 0,
            residents: Vec::new(),
            loads: 0,
            unloads: 0,
            steps: 0,
            stepped: 0,
            loading: Vec::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            stepping: false,
            report: None,
            cache: VecDeque::new(),
            cache_log: Vec::new(),
            cache_seen: BTreeMap::new(),
        }
    }

    /// Requests on an adapter that run or wait.
    pub fn in_flight(&self, adapter: &str) -> usize {
        let runs = self.running.iter().chain(&self.waiting);
        runs.filter(|run| run.adapter == adapter).count()
    }

    /// Sequences that run and that wait.
    pub fn busy(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Whether an adapter is resident.
    pub fn holds(&self, adapter: &str) -> bool {
        self.residents.iter().any(|name| name.as_str() == adapter)
    }

    /// The mean share of the batch in use, over steps that had anything to do.
    pub fn fill(&self) -> f64 {
        self.stepped as f64 / (self.steps.max(1) * self.batch as u64) as f64
    }

    fn snapshot(&self, now: Micros) -> Report {
        let residents = self.residents.iter().map(|adapter| Resident {
            adapter: adapter.clone(),
            in_flight: self.in_flight(adapter.as_str()) as u32,
        });
        Report {
            boot: Boot(self.boot),
            ready: now >= self.ready_at,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            batch: self.batch as u32,
            step: Span(self.step),
            slots: self.slots as u32,
            age: Span::ZERO,
            residents: residents.collect(),
        }
    }

    fn refuse(&mut self, now: Micros, work: &Work) -> Option<Reason> {
        let adapter = work.adapter.as_ref().map_or("", |name| name.as_str());
        match () {
            () if now < self.ready_at => Some(Reason::NotReady),
            () if take(&mut self.faults.refuse) => Some(Reason::Overloaded),
            () if !self.holds(adapter) => Some(Reason::NotLoaded),
            () if self.waiting.len() >= self.max_waiting => Some(Reason::Overloaded),
            () => None,
        }
    }

    /// Counts cached blocks of a prompt and keeps them all.
    fn prefill(&mut self, prefix: &[u64], tokens: u32) -> u32 {
        let cached = prefix.iter().take_while(|block| self.cache.contains(block));
        let cached = u32::try_from(cached.count()).unwrap() * BLOCK;
        for block in prefix {
            let known = self.cache.iter().position(|kept| kept == block);
            match known {
                Some(at) => drop(self.cache.remove(at)),
                None => self.log_cache(*block, true),
            }
            self.cache.push_back(*block);
        }
        while self.cache.len() > self.cache_blocks {
            let gone = self.cache.pop_front().unwrap();
            self.log_cache(gone, false);
        }
        tokens.saturating_sub(cached).div_ceil(PREFILL)
    }

    fn log_cache(&mut self, prefix: u64, stored: bool) {
        let seq = self.cache_log.len() as u64;
        self.cache_log.push(Cached {
            seq,
            prefix,
            stored,
        });
    }

    fn fill_batch(&mut self) {
        self.waiting
            .make_contiguous()
            .sort_by_key(|run| run.priority);
        while self.running.len() < self.batch {
            let Some(run) = self.waiting.pop_front() else {
                return;
            };
            self.running.push(run);
        }
    }

    /// The effects of an order on this engine, or why it is refused.
    fn check(&mut self, now: Micros, command: &Command) -> Result<(), Reason> {
        match &command.action {
            _ if self.fenced && command.fence.0 < self.fence => return Err(Reason::StaleFence),
            Action::Load(_) if now < self.ready_at => return Err(Reason::NotReady),
            Action::Load(adapter) if self.loading.contains(adapter) => return Err(Reason::Loading),
            Action::Load(adapter) if self.residents.contains(adapter) => {}
            Action::Load(_) if self.residents.len() + self.loading.len() >= self.slots => {
                return Err(Reason::NoSlot);
            }
            _ => {}
        }
        self.fence = self.fence.max(command.fence.0);
        Ok(())
    }
}

impl Fleet {
    /// Adds an engine.
    pub fn add_engine(&mut self, engine: Engine) -> usize {
        self.stores.entry(engine.store.clone()).or_default();
        let at = self.engines.len();
        self.servers.insert(engine.address.clone(), at);
        self.engines.push(engine);
        self.refresh(at);
        at
    }

    /// Restarts an engine: what runs breaks, nothing is resident, the base model is loaded anew.
    pub fn restart_engine(&mut self, at: usize, down: Micros) {
        self.break_all(at, |_| true);
        let engine = &mut self.engines[at];
        engine.up = false;
        engine.boot += 1;
        engine.fence = 0;
        engine.residents.clear();
        engine.loading.clear();
        engine.cache.clear();
        engine.report = None;
        engine.ready_at = self.now + down + engine.base_load;
        self.after(down, move |fleet| fleet.engines[at].up = true);
    }

    /// The weight stores do nothing for a while.
    pub fn stall_stores(&mut self, span: Micros) {
        for store in self.stores.values_mut() {
            store.free = store.free.max(self.now) + span;
        }
    }

    pub(crate) fn send(&mut self, origin: Origin, work: Work) {
        let address = work.address.to_string();
        self.vms[origin.vm]
            .sent
            .insert(work.attempt, address.clone());
        let attempt = work.attempt;
        if self.net.is_cut(&End::Vm(origin.vm), &End::Server(address)) {
            let failure = Failure::Refused;
            return self.tell(origin, SILENCE, Event::Failed { attempt, failure });
        }
        let delay = self.delay_to(origin, &work.address);
        self.after(delay, move |fleet| {
            match fleet.servers.get(&*work.address) {
                Some(&at) => fleet.engine_takes(origin, at, work),
                None => fleet.plain_takes(origin, work),
            }
        });
    }

    pub(crate) fn cancel(&mut self, origin: Origin, attempt: Attempt) {
        let Some(address) = self.vms[origin.vm].sent.get(&attempt).cloned() else {
            return self.violate(format!("{attempt} is cancelled but was never sent"));
        };
        let delay = self.delay_to(origin, &address);
        self.after(delay, move |fleet| fleet.abort(origin, attempt, &address));
    }

    /// A backend server sees that a run is not wanted any more.
    pub(crate) fn abort(&mut self, origin: Origin, attempt: Attempt, address: &str) {
        let Some(&at) = self.servers.get(address) else {
            return;
        };
        let engine = &mut self.engines[at];
        let faults = &mut engine.faults;
        for run in engine.running.iter_mut().chain(&mut engine.waiting) {
            if run.origin == origin && run.attempt == attempt && !run.cancelled {
                run.cancelled = true;
                run.lingers = if take(&mut faults.after_cancel) { 3 } else { 0 };
            }
        }
        let over = |run: &Running| !(run.cancelled && run.lingers == 0);
        engine.running.retain(over);
        engine.waiting.retain(over);
    }

    pub(crate) fn poll(&mut self, origin: Origin, server: id::Server, address: &str) {
        let delay = self.delay_to(origin, address);
        let at = self.servers.get(address).copied();
        let cut = self.cut_from(origin, address);
        let up = at.is_some_and(|at| self.engines[at].up);
        let Some(at) = at.filter(|_| up && !cut) else {
            let wait = if cut { SILENCE } else { 2 * delay };
            let report = None;
            return self.tell(origin, wait, Event::Report { server, report });
        };
        self.after(delay, move |fleet| fleet.poll_answer(origin, at, delay));
    }

    fn poll_answer(&mut self, origin: Origin, at: usize, delay: Micros) {
        let now = self.now;
        let engine = &mut self.engines[at];
        let server = engine.name.clone();
        if !engine.up || take(&mut engine.faults.mute) {
            let report = None;
            return self.tell(origin, SILENCE, Event::Report { server, report });
        }
        let (made, mut report) = match &engine.report {
            Some(kept) => kept.clone(),
            None => (now, engine.snapshot(now)),
        };
        report.age = Span(now - made);
        let seen = engine.cache_seen.entry(origin).or_insert(0);
        let changes = engine.cache_log[*seen..].to_vec();
        *seen = engine.cache_log.len();
        if !changes.is_empty() {
            let server = server.clone();
            self.tell(origin, delay, Event::Cache { server, changes });
        }
        let report = Some(report);
        self.tell(origin, delay, Event::Report { server, report });
    }

    pub(crate) fn order(&mut self, origin: Origin, command: Command) {
        let delay = self.delay_to(origin, &command.address);
        let at = self.servers.get(&command.address).copied();
        let cut = self.cut_from(origin, &command.address);
        match at {
            Some(at) if !cut => self.after(delay, move |fleet| {
                fleet.engine_ordered(origin, at, command, delay);
            }),
            _ => self.ordered(origin, command.order, Ordered::NotSent, delay),
        }
    }

    fn engine_ordered(&mut self, origin: Origin, at: usize, command: Command, delay: Micros) {
        let (now, order, timeout) = (self.now, command.order, command.timeout.0);
        let engine = &mut self.engines[at];
        if !engine.up {
            return self.ordered(origin, order, Ordered::NotSent, delay);
        }
        if take(&mut engine.faults.lose_orders) {
            return self.ordered(origin, order, Ordered::Unknown, timeout);
        }
        let lost = take(&mut engine.faults.lose_answers);
        if let Err(reason) = engine.check(now, &command) {
            return self.order_done(
                origin,
                order,
                Ordered::Refused(reason),
                lost,
                timeout,
                delay,
            );
        }
        match command.action {
            Action::Load(adapter) if !engine.residents.contains(&adapter) => {
                self.load(origin, at, adapter, (order, lost, timeout, delay));
            }
            Action::Unload(adapter) => {
                self.unload(at, &adapter);
                self.order_done(origin, order, Ordered::Done, lost, timeout, delay);
            }
            Action::Load(_) | Action::Fence => {
                self.order_done(origin, order, Ordered::Done, lost, timeout, delay);
            }
        }
    }

    /// Loads an adapter when the store's turn has come. `reply` says how to answer.
    fn load(
        &mut self,
        origin: Origin,
        at: usize,
        adapter: id::Adapter,
        reply: (Order, bool, Micros, Micros),
    ) {
        let (order, lost, timeout, delay) = reply;
        let engine = &mut self.engines[at];
        let (boot, start) = (engine.boot, self.now);
        engine.loading.push(adapter.clone());
        let store = self.stores.get_mut(&engine.store).unwrap();
        store.free = store.free.max(start) + engine.load;
        store.loads += 1;
        let end = store.free;
        self.after(end - start, move |fleet| {
            let engine = &mut fleet.engines[at];
            if engine.boot != boot {
                return fleet.ordered(origin, order, Ordered::Unknown, delay);
            }
            engine.loading.retain(|other| *other != adapter);
            let fails = take(&mut engine.faults.fail_loads);
            let lies = !fails && take(&mut engine.faults.lie_loads);
            if !fails {
                engine.loads += 1;
                engine.residents.push(adapter);
            }
            let outcome = match fails || lies {
                true => Ordered::Refused(Reason::LoadFailed),
                false => Ordered::Done,
            };
            let left = timeout.saturating_sub(fleet.now - start);
            let lost = lost || left == 0;
            fleet.order_done(origin, order, outcome, lost, left, delay);
        });
    }

    fn unload(&mut self, at: usize, adapter: &id::Adapter) {
        let engine = &mut self.engines[at];
        if !engine.holds(adapter.as_str()) {
            return;
        }
        engine.residents.retain(|other| other != adapter);
        engine.unloads += 1;
        let used = engine.in_flight(adapter.as_str());
        if used > 0 {
            let name = engine.name.clone();
            self.violate(format!(
                "{adapter} is unloaded on {name} with {used} in flight"
            ));
            self.break_all(at, |run| run.adapter == adapter.as_str());
        }
    }

    fn order_done(
        &mut self,
        origin: Origin,
        order: Order,
        outcome: Ordered,
        lost: bool,
        timeout: Micros,
        delay: Micros,
    ) {
        match lost {
            true => self.ordered(origin, order, Ordered::Unknown, timeout),
            false => self.ordered(origin, order, outcome, delay),
        }
    }

    fn ordered(&mut self, origin: Origin, order: Order, outcome: Ordered, delay: Micros) {
        self.tell(origin, delay, Event::Ordered { order, outcome });
    }

    fn engine_takes(&mut self, origin: Origin, at: usize, work: Work) {
        let (now, attempt) = (self.now, work.attempt);
        let delay = self.delay_to(origin, &work.address);
        let refused = match &mut self.engines[at] {
            engine if !engine.up => Some(Failure::Refused),
            engine => engine.refuse(now, &work).map(Failure::NotRun),
        };
        if let Some(failure) = refused {
            return self.tell(origin, delay, Event::Failed { attempt, failure });
        }
        let Some(ask) = self.ask_of(origin, work.request) else {
            return self.violate(format!("{} was sent but never asked", work.request));
        };
        let call = self.asks[ask].call.clone();
        let engine = &mut self.engines[at];
        let asked = work.adapter.expect("engines run adapters").to_string();
        let mut adapter = asked.clone();
        let other = engine.residents.iter().find(|name| name.as_str() != asked);
        if let Some(other) = other.filter(|_| take(&mut engine.faults.wrong_adapter)) {
            adapter = other.to_string();
        }
        let prefill = engine.prefill(&call.prefix, call.prompt_tokens);
        let faults = &mut engine.faults;
        let failure = match () {
            () if take(&mut faults.reject) => Some(Failure::Rejected { status: 500 }),
            () if take(&mut faults.break_first) => Some(Failure::Broken),
            () => None,
        };
        let run = Running {
            origin,
            attempt,
            ask,
            run: 0,
            adapter: adapter.clone(),
            digest: call.digest,
            priority: work.priority,
            prefill,
            next: work.resume_from,
            end: call.max_tokens,
            begun: false,
            breaks_at: take(&mut faults.break_streams).then_some(work.resume_from + 2),
            hangs: take(&mut faults.hang),
            twice: take(&mut faults.twice),
            lingers: 0,
            cancelled: false,
            text: Vec::new(),
            tokens: 0,
        };
        let name = engine.name.to_string();
        let number = self.run_begins(ask, &name, &adapter);
        if let Some(failure) = failure {
            return self.tell(origin, delay, Event::Failed { attempt, failure });
        }
        self.engines[at]
            .waiting
            .push_back(Running { run: number, ..run });
        self.start_steps(at);
    }

    fn start_steps(&mut self, at: usize) {
        let engine = &mut self.engines[at];
        if !engine.stepping {
            engine.stepping = true;
            let (step, boot) = (engine.step, engine.boot);
            self.after(step, move |fleet| fleet.step_engine(at, boot));
        }
    }

    fn step_engine(&mut self, at: usize, boot: u64) {
        let engine = &mut self.engines[at];
        engine.stepping = false;
        if engine.boot != boot {
            return self.start_steps(at);
        }
        engine.fill_batch();
        if engine.running.is_empty() {
            return;
        }
        engine.steps += 1;
        engine.stepped += engine.running.len() as u64;
        let runs = std::mem::take(&mut engine.running);
        let crossed: Vec<(Origin, Attempt)> = runs.iter().map(|r| (r.origin, r.attempt)).collect();
        for run in runs {
            if let Some(run) = self.step_run(at, run, &crossed) {
                self.engines[at].running.push(run);
            }
        }
        self.engines[at].fill_batch();
        self.start_steps(at);
    }

    /// One step of a run. Gives it back while it goes on.
    fn step_run(
        &mut self,
        at: usize,
        mut run: Running,
        others: &[(Origin, Attempt)],
    ) -> Option<Running> {
        if run.prefill > 0 || run.hangs {
            run.prefill = run.prefill.saturating_sub(1);
            return Some(run);
        }
        let (origin, attempt) = (run.origin, run.attempt);
        if !run.begun {
            run.begun = true;
            let head = Head {
                status: 200,
                content_type: "application/json".to_owned(),
                model: Some(run.adapter.clone()),
            };
            self.answer_vm(at, origin, Event::Begun { attempt, head });
        }
        if run.next < run.end {
            run.text
                .extend(token(&run.adapter, run.digest, run.next).into_bytes());
            run.next += 1;
            run.tokens += 1;
            self.asks[run.ask].runs[run.run].tokens += 1;
        }
        let breaks = run.breaks_at.is_some_and(|token| run.next >= token);
        let last = run.next >= run.end;
        if run.tokens >= self.engines[at].piece || last || breaks {
            self.send_piece(at, &mut run, others);
        }
        if run.cancelled {
            run.lingers = run.lingers.saturating_sub(1);
            return (run.lingers > 0 && !last).then_some(run);
        }
        match (breaks, last) {
            (true, _) => {
                let failure = Failure::Broken;
                self.answer_vm(at, origin, Event::Failed { attempt, failure });
                None
            }
            (false, true) => {
                self.asks[run.ask].runs[run.run].whole = true;
                self.answer_vm(at, origin, Event::Ended { attempt });
                if run.twice {
                    run.text = token(&run.adapter, run.digest, run.next - 1).into_bytes();
                    run.tokens = 1;
                    self.send_piece(at, &mut run, &[]);
                    self.answer_vm(at, origin, Event::Ended { attempt });
                }
                None
            }
            (false, false) => Some(run),
        }
    }

    fn send_piece(&mut self, at: usize, run: &mut Running, others: &[(Origin, Attempt)]) {
        let (mut origin, mut attempt) = (run.origin, run.attempt);
        let other = others.iter().find(|other| **other != (origin, attempt));
        if let Some(other) = other.filter(|_| take(&mut self.engines[at].faults.cross)) {
            (origin, attempt) = *other;
        }
        let event = Event::Chunk {
            attempt,
            model: Some(run.adapter.clone()),
            tokens: std::mem::take(&mut run.tokens),
            data: std::mem::take(&mut run.text),
        };
        self.answer_vm(at, origin, event);
    }

    fn answer_vm(&mut self, at: usize, origin: Origin, event: Event) {
        let address = self.engines[at].address.clone();
        let delay = self.delay_to(origin, &address);
        if !self.cut_from(origin, &address) {
            return self.tell(origin, delay, event);
        }
        if let Event::Begun { attempt, .. }
        | Event::Chunk { attempt, .. }
        | Event::Ended { attempt } = event
        {
            let failure = Failure::Broken;
            self.tell(origin, SILENCE, Event::Failed { attempt, failure });
        }
    }

    fn break_all(&mut self, at: usize, which: impl Fn(&Running) -> bool) {
        let engine = &mut self.engines[at];
        let running = std::mem::take(&mut engine.running).into_iter();
        let (mut broken, kept): (Vec<Running>, Vec<Running>) = running.partition(&which);
        engine.running = kept;
        let waiting = std::mem::take(&mut engine.waiting).into_iter();
        let (gone, left): (Vec<Running>, Vec<Running>) = waiting.partition(&which);
        engine.waiting = left.into();
        broken.extend(gone);
        for run in broken.into_iter().filter(|run| !run.cancelled) {
            let (attempt, failure) = (run.attempt, Failure::Broken);
            self.answer_vm(at, run.origin, Event::Failed { attempt, failure });
        }
    }

    /// Makes the figures of a report anew each [`Engine::lag`].
    fn refresh(&mut self, at: usize) {
        let now = self.now;
        let engine = &mut self.engines[at];
        engine.report = engine.up.then(|| (now, engine.snapshot(now)));
        let lag = engine.lag.max(MS);
        self.after(lag, move |fleet| fleet.refresh(at));
    }

    fn delay_to(&self, origin: Origin, address: &str) -> Micros {
        let zone = match self.servers.get(address) {
            Some(&at) => Some(&self.engines[at].zone),
            None => self.plain(address).map(|plain| &plain.zone),
        };
        zone.map_or(self.net.far, |zone| {
            self.net.delay(&self.vms[origin.vm].zone, zone)
        })
    }

    pub(crate) fn cut_from(&self, origin: Origin, address: &str) -> bool {
        self.net
            .is_cut(&End::Vm(origin.vm), &End::Server(address.to_owned()))
    }
}
