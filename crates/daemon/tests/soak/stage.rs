//! A round's fleet: entry VMs as processes, stand-ins of the platform, and a proxy on each way between them.

use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use dahliastile_standin::fleet::Replica;

use crate::callers::{ACCOUNTS, Callers};
use crate::fleet::{Fleet, settings_text, until};
use crate::limits;
use crate::proxy::Proxy;

/// The first host number of the proxies of servers, and of those between a VM and the key-value service.
const SERVER_WAYS: u8 = 100;
const STORE_WAYS: u8 = 150;
/// The grace of VMs, in seconds: requests that come before a VM refuses connections have more time than that, so that they are
/// open when its process ends.
const GRACE_S: u64 = 5;
/// How long a VM may take to end after a signal: the grace of its settings, and some for a busy machine.
const GRACE: Duration = Duration::from_secs(20);
/// The pause between two looks whether a VM has ended.
const LOOK: Duration = Duration::from_millis(20);
/// The pause between two looks whether a process takes signals.
const SIGNAL_LOOK: Duration = Duration::from_millis(1);

/// The pause before each event of a stream at an engine of nominal speed.
const PACE: Duration = Duration::from_millis(5);
/// The builds of the engines' software.
pub(crate) const BUILDS: [&str; 3] = ["v1", "v2", "v3"];
/// The speeds of the engines.
pub(crate) const SPEEDS: [f64; 2] = [0.7, 1.7];

/// When something was disturbed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disturbance {
    /// The VM, or none where servers or the key-value service were.
    pub(crate) vm: Option<usize>,
    /// Its begin.
    pub(crate) from: Instant,
    /// Its end.
    pub(crate) to: Instant,
}

/// What VMs are told by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Told {
    /// The VM.
    pub(crate) vm: usize,
    /// When it was told to end.
    pub(crate) at: Instant,
    /// When it was seen to have ended.
    pub(crate) gone: Option<Instant>,
}

/// A round's fleet.
pub(crate) struct Stage {
    /// The stand-ins and the VMs.
    pub(crate) fleet: Fleet,
    /// The ways from all VMs to each server, engines first.
    pub(crate) server_ways: Vec<Proxy>,
    /// The ways from each VM to the key-value service.
    pub(crate) store_ways: Vec<Proxy>,
    /// The version of the configuration.
    pub(crate) version: u64,
    /// What was disturbed, and when.
    pub(crate) disturbances: Vec<Disturbance>,
    /// Graceful ends.
    pub(crate) told: Vec<Told>,
    /// When operator and servers write again what the key-value service has forgotten.
    pub(crate) write_again_at: Vec<Instant>,
    /// What was seen to be wrong while the round ran.
    pub(crate) faults: Vec<String>,
    /// The state that each server has said of itself, engines first.
    states: Vec<&'static str>,
    /// Engines that were replaced.
    releases: u32,
    settings: Vec<String>,
}

impl Stage {
    /// Starts a fleet of so many VMs, whose output goes to a directory.
    pub(crate) fn start(vms: u8, logs: &Path) -> Self {
        std::fs::create_dir_all(logs).expect("the directory for logs can be made");
        let mut fleet = Fleet::servers();
        fleet.logs = Some(PathBuf::from(logs));
        let mut stage = Self {
            server_ways: Vec::new(),
            store_ways: Vec::new(),
            version: 1,
            disturbances: Vec::new(),
            told: Vec::new(),
            write_again_at: Vec::new(),
            faults: Vec::new(),
            states: Vec::new(),
            releases: 0,
            settings: Vec::new(),
            fleet,
        };
        let targets = [10, 11, 20, 21];
        for (way, host) in (SERVER_WAYS..).zip(targets) {
            let (from, to) = (
                stage.fleet.address(way, 8080),
                stage.fleet.address(host, 8080),
            );
            stage.server_ways.push(Proxy::start(from, to));
        }
        for (engine, speed) in stage.fleet.engines.iter().zip(SPEEDS) {
            engine.set_build(BUILDS[0]);
            engine.set_pace(PACE);
            engine.set_speed(speed);
        }
        stage.states = vec!["ready"; targets.len()];
        stage.write_again();
        for number in 1..=vms {
            let way = stage.fleet.address(STORE_WAYS + number, 8142);
            let store = stage.fleet.address(250, 8142);
            stage.store_ways.push(Proxy::start(way, store));
            let ip = stage.fleet.address(number, 0).ip();
            let text = settings_text(number, ip, way);
            let text = text.replace("graceS = 8", &format!("graceS = {GRACE_S}"));
            stage.settings.push(limits::settings(&text));
            let vm = stage
                .fleet
                .start(number, stage.settings.last().map(String::as_str));
            stage.fleet.vms.push(vm);
        }
        stage.settle();
        stage
    }

    /// Callers of its VMs.
    pub(crate) fn callers(&self) -> Callers {
        let number = |at: usize| u8::try_from(at + 1).expect("few VMs");
        let address = |at| self.fleet.address(number(at), 8149);
        Callers::new((0..self.store_ways.len()).map(address).collect())
    }

    /// All servers, engines first.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &Replica> {
        self.fleet.engines.iter().chain(&self.fleet.plain)
    }

    /// Writes a server's entry, with the address of the way to it.
    pub(crate) fn list(&mut self, server: usize, state: &'static str) {
        self.states[server] = state;
        let replica = self.servers().nth(server).expect("one of the servers");
        let engines = self.fleet.engines.len();
        let service = if server < engines { "drafts" } else { "desk" };
        let key = format!("servers/{}", replica.id());
        let way = SERVER_WAYS + u8::try_from(server).expect("few servers");
        let address = self.fleet.address(way, 8080);
        let entry = replica.entry(service, address, "north", state);
        self.fleet.store.put(&key, &entry);
    }

    /// Replaces an engine, which has said that it leaves, by one with another build of its software and another id.
    pub(crate) fn release(&mut self, engine: usize, build: &str) {
        self.releases += 1;
        let replica = &self.fleet.engines[engine];
        let old = format!("servers/{}", replica.id());
        replica.release(build, &format!("e{engine}.{}", self.releases));
        self.fleet.store.remove(&old);
        self.list(engine, "ready");
    }

    /// Cuts those VMs off from all servers, and no others.
    pub(crate) fn cut_off(&self, is_cut: impl Fn(usize) -> bool) {
        let vms = (0..self.store_ways.len()).filter(|vm| is_cut(*vm));
        let number = |vm| u8::try_from(vm + 1).expect("few VMs");
        let addresses: Vec<IpAddr> = vms
            .map(|vm| self.fleet.address(number(vm), 0).ip())
            .collect();
        for way in &self.server_ways {
            way.cut_off(&addresses);
        }
    }

    /// Writes what operator and servers have written last, as they do where the key-value service has forgotten it.
    pub(crate) fn write_again(&mut self) {
        let config = limits::config(self.version, &ACCOUNTS);
        self.fleet.store.put("op/config", &config);
        for server in 0..self.states.len() {
            self.list(server, self.states[server]);
        }
    }

    /// Writes again what is due by a time.
    pub(crate) fn write_again_if_due(&mut self, by: Instant) {
        let due = self.write_again_at.extract_if(.., |at| *at <= by).count();
        if due > 0 {
            self.write_again();
        }
    }

    /// Notes that something is disturbed from now on for a while.
    pub(crate) fn disturb(&mut self, vm: Option<usize>, lasts: Duration) {
        let from = Instant::now();
        let to = from + lasts;
        self.disturbances.push(Disturbance { vm, from, to });
    }

    /// Starts a VM again that has ended.
    pub(crate) fn restart(&mut self, vm: usize) {
        let number = u8::try_from(vm + 1).expect("few VMs");
        // The one that has ended takes its settings file with it, so it goes first.
        drop(self.fleet.vms.remove(vm));
        let started = self.fleet.start(number, Some(&self.settings[vm]));
        self.fleet.vms.insert(vm, started);
    }

    /// Has a VM end gracefully. It is to end with 0 within its grace.
    pub(crate) fn terminate(&mut self, vm: usize) {
        let at = Instant::now();
        self.told.push(Told { vm, at, gone: None });
        self.signal(vm, "-TERM");
    }

    /// Has a VM read its settings again.
    pub(crate) fn reload(&mut self, vm: usize) {
        self.signal(vm, "-HUP");
    }

    /// Sends a VM a signal as soon as its process takes signals; `early_signals` plays those that come before. One that has
    /// ended by itself is a fault.
    fn signal(&mut self, vm: usize, name: &str) {
        let process = &mut self.fleet.vms[vm];
        let by = Instant::now() + GRACE;
        while process.runs() && !process.takes_signals() && Instant::now() < by {
            thread::sleep(SIGNAL_LOOK);
        }
        match process.ended() {
            None => process.signal(name),
            Some(code) => {
                let fault = format!("vm{} ended by itself with {code}", vm + 1);
                self.faults.push(fault);
            }
        }
    }

    /// Whether a VM that was told to end has ended, or has not within its time, which is a fault.
    pub(crate) fn has_ended(&mut self, vm: usize) -> bool {
        let code = self.fleet.vms[vm].ended();
        let mut told = self.told.iter_mut().rev();
        let Some(told) = told.find(|told| told.vm == vm) else {
            return true;
        };
        match code {
            None if told.at.elapsed() < GRACE => return false,
            None => self.faults.push(format!("vm{} did not end", vm + 1)),
            Some(0) => {}
            Some(code) => self.faults.push(format!("vm{} ended with {code}", vm + 1)),
        }
        told.gone = Some(Instant::now());
        true
    }

    /// Waits until a VM that was told to end has ended.
    pub(crate) fn ended(&mut self, vm: usize) {
        while !self.has_ended(vm) {
            thread::sleep(LOOK);
        }
    }

    /// Waits until all VMs are ready and the engines have a scheduler.
    pub(crate) fn settle(&mut self) {
        for vm in &self.fleet.vms {
            until("a VM is ready", || vm.ready());
        }
        until("the engines have a scheduler", || {
            self.fleet.holder().is_some()
        });
    }
}
