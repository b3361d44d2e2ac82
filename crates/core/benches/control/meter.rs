//! What is measured during a phase.

use std::collections::BTreeMap;

use dahliastile_core::event::Event;
use dahliastile_core::peer::Message;

use crate::fleet::Micros;

/// A number of things and their bytes, or their processor time in nanoseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sum {
    /// How many.
    pub count: u64,
    /// Bytes or nanoseconds.
    pub total: u64,
}

impl Sum {
    fn add(&mut self, amount: u64) {
        self.count += 1;
        self.total += amount;
    }
}

/// The figures of one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Vm {
    /// Messages and bytes sent to peers.
    pub sent: Sum,
    /// Bytes received from peers.
    pub received: u64,
    /// Steps for control events and their processor time.
    pub control: Sum,
}

/// The figures of a phase.
#[derive(Default)]
pub struct Meter {
    /// By VM.
    pub vms: Vec<Vm>,
    /// Processor time by kind of event.
    pub events: BTreeMap<&'static str, Sum>,
    /// Bytes by kind of message.
    pub messages: BTreeMap<&'static str, Sum>,
    /// Load reports fetched and their bytes as JSON.
    pub polls: Sum,
    /// Reads of the platform's list.
    pub lists: u64,
    /// Their bytes.
    pub list_bytes: u64,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that ended whole.
    pub finished: u64,
    /// Adapters loaded.
    pub loads: u64,
    /// When editions were accepted.
    accepted: BTreeMap<u64, Micros>,
    /// VM, when it started, its edition before and after, and when it came in force.
    forced: Vec<(usize, Micros, u64, u64, Micros)>,
}

impl Meter {
    /// No figures yet.
    pub fn new(vms: usize) -> Self {
        Self {
            vms: vec![Vm::default(); vms],
            ..Self::default()
        }
    }

    pub(crate) fn step(&mut self, vm: usize, kind: &'static str, control: bool, nanos: u64) {
        self.events.entry(kind).or_default().add(nanos);
        if control {
            self.vms[vm].control.add(nanos);
        }
    }

    pub(crate) fn sent(&mut self, vm: usize, kind: &'static str, bytes: usize) {
        self.messages.entry(kind).or_default().add(bytes as u64);
        self.vms[vm].sent.add(bytes as u64);
    }

    pub(crate) fn polled(&mut self, bytes: usize) {
        self.polls.add(bytes as u64);
    }

    pub(crate) fn accepted(&mut self, edition: u64, now: Micros) {
        self.accepted.insert(edition, now);
    }

    pub(crate) fn in_force(&mut self, vm: usize, start: Micros, old: u64, new: u64, now: Micros) {
        self.forced.push((vm, start, old, new, now));
    }

    /// For each edition accepted before `until`: the time until the last VM that was up had it, in order. VMs that
    /// started later are left out.
    pub fn delays(&self, until: Micros) -> Vec<Micros> {
        let early = self.accepted.iter().filter(|row| *row.1 <= until);
        let delay = |(edition, accepted): (&u64, &Micros)| {
            let had = self
                .forced
                .iter()
                .filter(|row| row.1 <= *accepted && row.2 < *edition && row.3 >= *edition);
            had.map(|row| row.4.saturating_sub(*accepted)).max()
        };
        let mut delays: Vec<Micros> = early.filter_map(delay).collect();
        delays.sort_unstable();
        delays
    }
}

/// The name under which an event is counted.
pub fn event_kind(event: &Event) -> &'static str {
    match event {
        Event::Tick => "tick",
        Event::Arrived { .. } | Event::Gone { .. } => "request",
        Event::Begun { .. } => "begun",
        Event::Chunk { .. } => "chunk",
        Event::Ended { .. } | Event::Failed { .. } => "end",
        Event::Report { .. } => "report",
        Event::Cache { .. } => "cache",
        Event::Ordered { .. } => "ordered",
        Event::Platform { .. } | Event::Watch { .. } => "platform",
        Event::List { .. } => "list",
        Event::Peer { message, .. } => message_kind(message),
        Event::PeerDown { .. } => "peer_down",
        Event::Operator { .. } => "operator",
        Event::Shutdown { .. } => "shutdown",
    }
}

/// Whether such an event is control, not the request path.
pub fn is_control(kind: &str) -> bool {
    !matches!(kind, "request" | "begun" | "chunk" | "end")
}

/// The name under which a message is counted.
pub fn message_kind(message: &Message) -> &'static str {
    match message {
        Message::Heartbeat(_) => "heartbeat",
        Message::Ask(_) => "ask",
        Message::Update(_) => "update",
        Message::NotHolder(_) => "not_holder",
        Message::Claim(_) => "claim",
        Message::Verdict(_) => "verdict",
        Message::Fetch(_) => "fetch",
        Message::Piece(_) => "piece",
    }
}
