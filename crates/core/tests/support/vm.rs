//! The entry VMs: starts, ticks, pauses, crashes and the platform's list of them.

use std::collections::{BTreeMap, VecDeque};

use dahliastile_core::Node;
use dahliastile_core::effect::Effect;
use dahliastile_core::event::{Event, Listed};
use dahliastile_core::id::{self, Attempt, Incarnation};
use dahliastile_core::settings::{Settings, Tuning};
use dahliastile_core::time::Instant;
use rand::Rng;

use super::{Fleet, MS, Micros, Origin};

/// Chooses an effect.
type When = Box<dyn Fn(&Effect) -> bool>;

/// One entry VM.
pub struct Vm {
    /// Its name.
    pub name: id::Vm,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its address.
    pub address: String,
    /// Its times and sizes.
    pub tuning: Tuning,
    /// Its node, while it is up.
    pub node: Option<Node>,
    /// Its present start, or the last one.
    pub incarnation: Incarnation,
    /// Its clock's reading at the start of the run.
    pub clock: u64,
    /// How much faster its clock runs, in millionths.
    pub drift: i64,
    /// Whether it is not run at present.
    pub paused: bool,
    /// Whether it was told to stop.
    pub leaving: bool,
    /// The request number that was given last.
    pub last_request: u64,
    /// Where each attempt was sent.
    pub(crate) sent: BTreeMap<Attempt, String>,
    /// Pauses the VM right before it carries out such an effect.
    pause_at: Option<When>,
    /// Effects that wait for the end of the pause.
    held: VecDeque<Effect>,
    /// Events that wait for the end of the pause.
    backlog: VecDeque<Event>,
}

impl Vm {
    pub(crate) fn origin(&self, vm: usize) -> Origin {
        Origin {
            vm,
            incarnation: self.incarnation,
        }
    }

    /// Whether it runs and was not told to stop.
    pub fn serves(&self) -> bool {
        self.node.is_some() && !self.leaving && !self.paused
    }
}

impl Fleet {
    /// Adds a VM and starts it. Its clock has an origin of its own.
    pub fn add_vm(&mut self, zone: &str, tuning: Tuning) -> usize {
        let vm = self.vms.len();
        let clock = self.rng.random_range(0..1_000_000_000_000);
        self.vms.push(Vm {
            name: format!("vm-{vm}").parse().unwrap(),
            zone: zone.parse().unwrap(),
            address: format!("vm-{vm}:7000"),
            tuning,
            node: None,
            incarnation: Incarnation(0),
            clock,
            drift: 0,
            paused: false,
            leaving: false,
            last_request: 0,
            sent: BTreeMap::new(),
            pause_at: None,
            held: VecDeque::new(),
            backlog: VecDeque::new(),
        });
        self.start(vm);
        vm
    }

    /// Starts a VM that is down, with a new incarnation and nothing kept.
    pub fn start(&mut self, vm: usize) {
        // Later starts have greater numbers, as where a number begins with the wall clock's time.
        let (time, low, seed) = (self.now + 1, self.rng.random::<u16>(), self.rng.random());
        let incarnation = Incarnation(time << 16 | u64::from(low));
        let row = &mut self.vms[vm];
        assert!(row.node.is_none(), "vm {vm} is up");
        row.incarnation = incarnation;
        row.leaving = false;
        row.node = Some(Node::new(Settings {
            vm: row.name.clone(),
            zone: row.zone.clone(),
            address: row.address.clone(),
            incarnation,
            seed,
            prefix: "dahliastile".to_owned(),
            tuning: row.tuning.clone(),
        }));
        let origin = row.origin(vm);
        self.publish();
        self.after(0, move |fleet| fleet.show_list(origin));
        let first = self.rng.random_range(0..self.vms[vm].tuning.tick_ms * MS);
        self.after(first, move |fleet| fleet.tick(origin));
    }

    /// Ends a VM at once. Its callers' connections break; backend servers notice a little later.
    pub fn crash(&mut self, vm: usize) {
        let origin = self.vms[vm].origin(vm);
        let row = &mut self.vms[vm];
        row.node = None;
        row.paused = false;
        row.incarnation = Incarnation(0);
        row.held.clear();
        row.backlog.clear();
        let sent = std::mem::take(&mut row.sent);
        self.callers_lost(origin);
        self.kv.drop_watches(origin);
        self.after(MS, move |fleet| {
            for (attempt, address) in sent {
                fleet.abort(origin, attempt, &address);
            }
        });
        self.publish();
    }

    /// Ends a VM and starts it again after a while.
    pub fn restart(&mut self, vm: usize, down: Micros) {
        self.crash(vm);
        self.after(down, move |fleet| fleet.start(vm));
    }

    /// Stops running a VM: its clock goes on, its links stay.
    pub fn pause(&mut self, vm: usize) {
        self.vms[vm].paused = true;
    }

    /// Pauses a VM right before it carries out the first effect for which `when` holds.
    pub fn pause_at(&mut self, vm: usize, when: impl Fn(&Effect) -> bool + 'static) {
        self.vms[vm].pause_at = Some(Box::new(when));
    }

    /// Runs a paused VM again: what it was about to do first, then what came meanwhile.
    pub fn resume(&mut self, vm: usize) {
        self.vms[vm].paused = false;
        self.carry_out(vm);
        let backlog = std::mem::take(&mut self.vms[vm].backlog);
        for event in backlog {
            self.step(vm, event);
        }
    }

    /// Tells a VM to stop.
    pub fn shut_down(&mut self, vm: usize, now: bool) {
        self.vms[vm].leaving = true;
        self.publish();
        self.step(vm, Event::Shutdown { now });
    }

    /// Gives a VM an event now and carries out what it wants done.
    pub fn step(&mut self, vm: usize, event: Event) {
        let now = self.local(vm);
        let row = &mut self.vms[vm];
        let Some(node) = row.node.as_mut() else {
            return;
        };
        if row.paused {
            row.backlog.push_back(event);
            return;
        }
        let mut effects = Vec::new();
        node.step(now, event, &mut effects);
        if self.verify {
            let broken = node.verify();
            assert!(broken.is_empty(), "vm {vm} at {}us: {broken:#?}", self.now);
        }
        row.held.extend(effects);
        self.carry_out(vm);
    }

    /// The VM that holds a domain, as its lease key says.
    pub fn holder(&self, domain: &str) -> Option<usize> {
        let value = self.kv.value(&format!("dahliastile/lease/{domain}"))?;
        let text = String::from_utf8_lossy(value);
        let named = |vm: &Vm| text.contains(&format!("\"{}\"", vm.name));
        self.vms.iter().position(named)
    }

    /// A VM's own reading of the present time.
    pub fn local(&self, vm: usize) -> Instant {
        let row = &self.vms[vm];
        let drift = i128::from(self.now) * i128::from(row.drift) / 1_000_000;
        let time = i128::from(self.now) + drift + i128::from(row.clock);
        Instant(u64::try_from(time).unwrap())
    }

    pub(crate) fn stopped(&mut self, vm: usize) {
        let open = self.open_asks(vm);
        if !self.vms[vm].leaving || !open.is_empty() {
            self.violate(format!("vm {vm} stops with asks {open:?} open"));
        }
        self.crash(vm);
    }

    fn carry_out(&mut self, vm: usize) {
        while let Some(effect) = self.vms[vm].held.pop_front() {
            let row = &mut self.vms[vm];
            if row.pause_at.as_ref().is_some_and(|when| when(&effect)) {
                row.pause_at = None;
                row.paused = true;
                row.held.push_front(effect);
                return;
            }
            self.act(vm, effect);
        }
    }

    fn tick(&mut self, origin: Origin) {
        let row = &self.vms[origin.vm];
        if row.incarnation != origin.incarnation {
            return;
        }
        let (paused, every) = (row.paused, row.tuning.tick_ms * MS);
        if !paused {
            self.step(origin.vm, Event::Tick);
        }
        self.after(every, move |fleet| fleet.tick(origin));
    }

    fn show_list(&mut self, origin: Origin) {
        if self.vms[origin.vm].incarnation != origin.incarnation {
            return;
        }
        let vms = self.list.clone();
        self.step(origin.vm, Event::List { vms });
        self.after(self.list_every, move |fleet| fleet.show_list(origin));
    }

    /// Shows the present VMs in the platform's list after its lag.
    fn publish(&mut self) {
        let up = self.vms.iter().filter(|row| row.node.is_some());
        let list: Vec<Listed> = up
            .map(|row| Listed {
                vm: row.name.clone(),
                address: row.address.clone(),
                zone: row.zone.clone(),
                leaving: row.leaving,
            })
            .collect();
        let lag = if self.now == 0 { 0 } else { self.list_lag };
        self.after(lag, move |fleet| fleet.list = list);
    }
}
