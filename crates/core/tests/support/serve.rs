//! What engines do with requests: take them in, step their batches, answer, and break.

use dahliastile_core::effect::Work;
use dahliastile_core::event::{Event, Failure, Head};

use super::callers::token;
use super::engine::{Running, take};
use super::net::SILENCE;
use super::{Fleet, Origin};

impl Fleet {
    pub(crate) fn engine_takes(&mut self, origin: Origin, at: usize, work: Work) {
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
            crossed: false,
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

    pub(crate) fn start_steps(&mut self, at: usize) {
        let engine = &mut self.engines[at];
        if !engine.stepping {
            engine.stepping = true;
            let (step, boot) = (engine.step, engine.boot);
            self.after(step, move |fleet| fleet.step_engine(at, boot));
        }
    }

    pub(crate) fn step_engine(&mut self, at: usize, boot: u64) {
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
        engine.cross();
        let runs = std::mem::take(&mut engine.running);
        for run in runs {
            if let Some(run) = self.step_run(at, run) {
                self.engines[at].running.push(run);
            }
        }
        self.engines[at].fill_batch();
        self.start_steps(at);
    }

    /// One step of a run. Gives it back while it goes on.
    pub(crate) fn step_run(&mut self, at: usize, mut run: Running) -> Option<Running> {
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
            self.send_piece(at, &mut run);
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
                    self.send_piece(at, &mut run);
                    self.answer_vm(at, origin, Event::Ended { attempt });
                }
                None
            }
            (false, false) => Some(run),
        }
    }

    pub(crate) fn send_piece(&mut self, at: usize, run: &mut Running) {
        let (origin, attempt) = (run.origin, run.attempt);
        let event = Event::Chunk {
            attempt,
            model: Some(run.adapter.clone()),
            tokens: std::mem::take(&mut run.tokens),
            data: std::mem::take(&mut run.text),
        };
        self.answer_vm(at, origin, event);
    }

    pub(crate) fn answer_vm(&mut self, at: usize, origin: Origin, event: Event) {
        let address = self.engines[at].address.clone();
        let delay = self.delay_to(origin, &address);
        let (Event::Begun { attempt, .. }
        | Event::Chunk { attempt, .. }
        | Event::Ended { attempt }
        | Event::Failed { attempt, .. }) = event
        else {
            return self.tell(origin, delay, event);
        };
        match self.cut_from(origin, &address) {
            _ if self.holed.contains(&(origin, attempt)) => {}
            false => self.tell(origin, delay, event),
            true => {
                self.holed.insert((origin, attempt));
                let failure = Failure::Broken;
                self.tell(origin, SILENCE, Event::Failed { attempt, failure });
            }
        }
    }

    pub(crate) fn break_all(&mut self, at: usize, which: impl Fn(&Running) -> bool) {
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
}
