//! Engines that answer at once, and the requests that run on them.

use std::collections::BTreeMap;

use dahliastile_core::effect::{Action, Command};
use dahliastile_core::event::{
    Call, Event, Failure, Head, Ordered, Reason, Report, Resident, Target,
};
use dahliastile_core::id::{Attempt, Boot, Request};
use dahliastile_core::time::Span;

use crate::fleet::{Fleet, Later, MS, Micros, NEAR, Origin, number};
use crate::size::LOAD_MS;

/// From a request's sending to its first token, and to its end at 33 ms a token.
const FIRST: Micros = 300 * MS;
const WHOLE: Micros = 9_600 * MS;
const TOKENS: u32 = 290;
/// Adapters that an engine holds, and sequences in its batch.
const SLOTS: usize = 16;
const BATCH: u32 = 256;

/// One engine.
#[derive(Default)]
pub struct Engine {
    /// What is resident, with the requests in flight.
    pub residents: BTreeMap<String, u32>,
}

impl Fleet {
    pub(crate) fn report(&mut self, vm: usize, server: usize) {
        let zone = self.size.zone(server);
        let gone = self.lost && zone == self.size.zones - 1;
        let engine = &self.engines[server];
        let running = engine.residents.values().sum();
        let resident = |(adapter, in_flight): (&String, &u32)| Resident {
            adapter: adapter.parse().unwrap(),
            in_flight: *in_flight,
        };
        let make = || Report {
            boot: Boot(1),
            ready: true,
            running,
            waiting: 0,
            batch: BATCH,
            step: Span(33 * MS),
            slots: SLOTS as u32,
            age: Span(NEAR),
            residents: engine.residents.iter().map(resident).collect(),
        };
        let bytes = serde_json::to_vec(&make()).map_or(0, |text| text.len());
        self.meter.polled(bytes);
        let hears = !gone && self.apart(zone) == self.apart(self.size.zone(vm));
        let report = hears.then(make);
        let event = move || Event::Report {
            server: format!("server-{server}").parse().unwrap(),
            report,
        };
        self.step(vm, event);
    }

    pub(crate) fn order(&mut self, origin: Origin, command: &Command) {
        let engine = &mut self.engines[number(command.server.as_str())];
        let full = engine.residents.len() >= SLOTS;
        let (outcome, takes) = match &command.action {
            Action::Fence => (Ordered::Done, 0),
            Action::Load(_) if full => (Ordered::Refused(Reason::NoSlot), 0),
            Action::Load(adapter) => {
                engine.residents.entry(adapter.to_string()).or_default();
                self.meter.loads += 1;
                (Ordered::Done, LOAD_MS * MS)
            }
            Action::Unload(adapter) if engine.residents.get(adapter.as_str()) > Some(&0) => {
                (Ordered::Refused(Reason::InUse), 0)
            }
            Action::Unload(adapter) => {
                engine.residents.remove(adapter.as_str());
                (Ordered::Done, 0)
            }
        };
        let order = command.order;
        let event = Event::Ordered { order, outcome };
        self.after(origin, 2 * NEAR + takes, Later::Event(event));
    }

    pub(crate) fn submit(
        &mut self,
        origin: Origin,
        engine: usize,
        attempt: Attempt,
        adapter: String,
    ) {
        let Some(count) = self.engines[engine].residents.get_mut(&adapter) else {
            let failure = Failure::NotRun(Reason::NotLoaded);
            let event = Event::Failed { attempt, failure };
            return self.after(origin, 2 * NEAR, Later::Event(event));
        };
        *count += 1;
        let head = Head {
            status: 200,
            content_type: String::new(),
            model: Some(adapter.clone()),
        };
        let begun = Event::Begun { attempt, head };
        self.after(origin, FIRST, Later::Event(begun));
        self.after(origin, WHOLE, Later::Done(engine, attempt, adapter));
    }

    pub(crate) fn done(&mut self, origin: Origin, engine: usize, attempt: Attempt, adapter: &str) {
        if let Some(count) = self.engines[engine].residents.get_mut(adapter) {
            *count = count.saturating_sub(1);
        }
        let chunk = Event::Chunk {
            attempt,
            model: Some(adapter.to_owned()),
            tokens: TOKENS,
            data: Vec::new(),
        };
        self.handle(origin, Later::Event(chunk));
        self.handle(origin, Later::Event(Event::Ended { attempt }));
    }

    /// A caller's request for an adapter arrives at a VM.
    pub fn arrive(&mut self, vm: usize, adapter: usize) {
        self.last += 1;
        let request = Request(self.last);
        let call = Call {
            caller: "caller".parse().unwrap(),
            target: Target::Model(format!("adapter-{adapter}@1")),
            zone: None,
            headers: Vec::new(),
            key: None,
            digest: self.last,
            non_idempotent: false,
            timeout: None,
            stream: true,
            prefix: Vec::new(),
            prompt_tokens: 100,
            max_tokens: TOKENS,
        };
        let call = Box::new(call);
        self.meter.arrived += 1;
        self.step(vm, || Event::Arrived { request, call });
    }
}
