//! One running entry VM: its listeners, the thread that owns the node, and its orderly end.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use dahliastile_core::event::{Event, Listed};
use dahliastile_core::id::Incarnation;
use dahliastile_core::log::Code;
use dahliastile_core::settings as core;
use dahliastile_intake::{Capacity, Size};
use dahliastile_outside::{Cancel, vms};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::driver::{Driver, Mailbox, Parts, Shared};
use crate::error::{Error, Result};
use crate::http::{
    Admission, Callers, DESCRIPTORS, Ids, Intake, Limits, Operators, REQUEST_COPIES, Server,
};
use crate::logs::Journal;
use crate::peers::Peers;
use crate::settings::Settings;
use dahliastile_shell::Figures;

/// Operators' connections at a time.
const OPERATOR_CONNECTIONS: usize = 64;

/// Operators' calls in progress at a time.
const OPERATOR_CALLS: usize = 16;

/// The largest body of an operator's command; a whole configuration fits.
const OPERATOR_BODY: usize = 64 * 1024 * 1024;

/// Time for a read of the list of VMs.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Where a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other entry VMs.
    pub peers: SocketAddr,
}

/// A handle with which a daemon is told to stop from any thread.
#[derive(Clone)]
pub struct Stopper {
    /// Whether it has been told to.
    draining: Arc<AtomicBool>,
    /// The way to the node.
    mailbox: Mailbox,
    /// Wakes the thread that waits for the end.
    stop: flume::Sender<()>,
    /// The way to the thread that bounds the writing of answers.
    limit: flume::Sender<Limit>,
}

/// What the thread that bounds the writing of answers is told.
enum Limit {
    /// Requests in progress are cut.
    Cut,
    /// Every answer is written.
    Over,
}

/// How long answers may be written.
#[derive(Clone, Copy)]
struct Patience {
    /// From the beginning of the drain until requests are cut.
    drain: Duration,
    /// From then on.
    cut: Duration,
}

impl Stopper {
    /// Tells the daemon to stop: it takes no more requests and finishes those in progress. With `now`, it cuts them
    /// with an explicit error instead.
    pub fn stop(&self, now: bool) {
        self.draining.store(true, Ordering::SeqCst);
        self.mailbox.event(Event::Shutdown { now });
        if now {
            // A daemon that has ended needs no bound.
            let _ = self.limit.send(Limit::Cut);
        }
        // The thread has been woken already where the channel is full.
        let _ = self.stop.try_send(());
    }
}

/// Wakes the thread that waits for the end, also when the node's thread panics.
struct Ended(flume::Sender<()>);

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.0.try_send(());
    }
}

/// One running entry VM.
pub struct Daemon {
    /// Where it listens.
    addresses: Addresses,
    /// Tells it to stop.
    stopper: Stopper,
    /// Says that it is told to stop, or that the node has stopped by itself.
    stopping: flume::Receiver<()>,
    /// What the bound of the writing of answers is to follow.
    limits: flume::Receiver<Limit>,
    /// How long answers may be written.
    patience: Patience,
    /// Callers' listener.
    callers: Server,
    /// Operators' listener.
    operators: Server,
    /// The thread that owns the node.
    driver: JoinHandle<()>,
    /// Ends the housekeeping: what it calls, and its pauses.
    housekeeping: (Cancel, flume::Sender<Infallible>),
    /// The thread that does it.
    housekeeper: JoinHandle<()>,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    /// An address that can't be listened on, or a thread that can't be started.
    pub fn start(settings: &Settings) -> Result<Self> {
        let journal = Journal::new(settings.log, settings.vm.clone())?;
        let figures = Figures::new(settings.vm.as_str())?;
        let handle = figures.handle();
        let (mailbox, inputs) = Mailbox::new();
        let shared = Shared::default();
        let draining = Arc::new(AtomicBool::new(false));
        let incarnation = incarnation();
        let peers = Peers::start(
            settings.vm.clone(),
            incarnation,
            settings.listen.peers,
            settings.secret.clone(),
            mailbox.clone(),
        )?;
        let own = own_settings(settings, incarnation, peers.address());
        let Listeners {
            callers,
            operators,
            intake,
        } = Listeners::start(settings, &own, (&shared, &draining), &handle, &mailbox)?;
        let addresses = Addresses {
            callers: callers.address(),
            operators: operators.address(),
            peers: peers.address(),
        };
        journal.event(
            Code::Started,
            format!(
                "version={} incarnation={:x} callers={} operators={} peers={}",
                env!("CARGO_PKG_VERSION"),
                own.incarnation.0,
                addresses.callers,
                addresses.operators,
                addresses.peers,
            ),
        );
        let parts = Parts {
            settings: own,
            inputs,
            mailbox: mailbox.clone(),
            shared,
            journal: journal.clone(),
            figures,
            peers,
            endpoints: settings.platform.endpoints.clone(),
            attempts: settings.limits.attempts,
            answer_bytes: settings.limits.answer_bytes,
            slow: settings.limits.slow,
            intake,
        };
        let (stop, stopping) = flume::bounded(1);
        let (limit, limits) = flume::unbounded();
        let ended = stop.clone();
        let driver = thread::Builder::new()
            .name("node".to_owned())
            .spawn(move || {
                let _ended = Ended(ended);
                Driver::new(parts).run();
            })?;
        let housekeeping = Cancel::new();
        let (housekeeping_end, ended) = flume::bounded(0);
        let tokens = (housekeeping.clone(), ended);
        let housekeeper = housekeeper(settings, handle, mailbox.clone(), journal, tokens)?;
        Ok(Self {
            addresses,
            stopper: Stopper {
                draining,
                mailbox,
                stop,
                limit,
            },
            stopping,
            limits,
            patience: Patience {
                drain: Duration::from_millis(settings.tuning.drain_ms),
                cut: settings.limits.slow,
            },
            callers,
            operators,
            driver,
            housekeeping: (housekeeping, housekeeping_end),
            housekeeper,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// A handle with which to stop it.
    #[must_use]
    pub fn stopper(&self) -> Stopper {
        self.stopper.clone()
    }

    /// Waits until it has been told to stop, the node has finished, and every answer is written or its time is over.
    ///
    /// # Errors
    /// [`Error::Panicked`] where the node did not stop by itself.
    pub fn wait(self) -> Result<()> {
        // Disconnected or not, the end has come.
        let _ = self.stopping.recv();
        let cut = self.callers.cutter();
        let (limits, patience) = (self.limits, self.patience);
        let limiter = thread::Builder::new()
            .name("limit".to_owned())
            .spawn(move || bound(&limits, patience, cut));
        self.callers.close();
        let driver = self.driver.join();
        self.callers.finish();
        let _ = self.stopper.limit.send(Limit::Over);
        // Where the thread could not be started, answers were written without a bound; a panic has already ended it.
        let _ = limiter.map(JoinHandle::join);
        self.operators.finish();
        let (cancel, pauses) = self.housekeeping;
        cancel.cancel();
        drop(pauses);
        let housekeeper = self.housekeeper.join();
        driver.and(housekeeper).map_err(|_| Error::Panicked)
    }

    /// Stops it and waits for its end.
    ///
    /// # Errors
    /// As [`Daemon::wait`].
    pub fn shutdown(self, now: bool) -> Result<()> {
        self.stopper.stop(now);
        self.wait()
    }
}

/// Cuts connections on which answers are still written when requests were cut some time ago: a caller that goes on reading, if
/// slowly, would keep the daemon from ending.
fn bound(limits: &flume::Receiver<Limit>, patience: Patience, cut: impl FnOnce()) {
    if let Ok(Limit::Over) = limits.recv_timeout(patience.drain) {
        return;
    }
    let end = Instant::now() + patience.cut;
    while let Ok(limit) = limits.recv_deadline(end) {
        match limit {
            Limit::Cut => {}
            Limit::Over => return,
        }
    }
    cut();
}

/// The listeners of callers and operators, and what both make the process hold.
struct Listeners {
    callers: Server,
    operators: Server,
    intake: Arc<Intake>,
}

impl Listeners {
    fn start(
        settings: &Settings,
        own: &core::Settings,
        (shared, draining): (&Shared, &Arc<AtomicBool>),
        figures: &PrometheusHandle,
        mailbox: &Mailbox,
    ) -> Result<Self> {
        let capacity = Capacity::of(settings.limits.machine, DESCRIPTORS)?;
        let intake = Intake::new(capacity);
        let ids = Ids::new(&own.vm, own.incarnation);
        let callers = Server::start(
            settings.listen.callers,
            callers_limits(settings),
            settings.limits.requests,
            mailbox.clone(),
            (Arc::clone(&intake), Admission::Callers(shared.clone())),
            Callers::new(ids, shared.clone(), Arc::clone(draining), mailbox.clone()),
        )?;
        let operators = Server::start(
            settings.listen.operators,
            operators_limits(settings, capacity),
            OPERATOR_CALLS,
            mailbox.clone(),
            (
                Arc::clone(&intake),
                Admission::Operators(settings.operators),
            ),
            Operators::new(
                settings.operators,
                shared.clone(),
                Arc::clone(draining),
                figures.clone(),
                mailbox.clone(),
            ),
        )?;
        Ok(Self {
            callers,
            operators,
            intake,
        })
    }
}

/// The number of this start, higher than that of any earlier start as long as the wall clock is not set back by
/// more than the pause between them.
fn incarnation() -> Incarnation {
    const RANDOM_BITS: u32 = 20;
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    let clock = u64::try_from(millis).unwrap_or(u64::MAX) << RANDOM_BITS;
    let random: u64 = rand::random();
    Incarnation(clock | random >> (u64::BITS - RANDOM_BITS))
}

fn own_settings(
    settings: &Settings,
    incarnation: Incarnation,
    peers: SocketAddr,
) -> core::Settings {
    let advertise = settings.advertise.clone();
    core::Settings {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        address: advertise.unwrap_or_else(|| peers.to_string()),
        incarnation,
        seed: rand::random(),
        prefix: settings.platform.prefix.clone(),
        tuning: settings.tuning.clone(),
    }
}

fn callers_limits(settings: &Settings) -> Limits {
    let limits = &settings.limits;
    Limits {
        header_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
        connections: limits.connections,
        idle: limits.idle,
        slow: limits.slow,
    }
}

fn operators_limits(settings: &Settings, capacity: Capacity) -> Limits {
    let largest = capacity.largest(Size::ZERO);
    Limits {
        body_bytes: OPERATOR_BODY.min(largest.0 / REQUEST_COPIES),
        connections: OPERATOR_CONNECTIONS,
        ..callers_limits(settings)
    }
}

/// Reads the list of entry VMs, and folds the figures' raw values away so that they take no more room.
fn housekeeper(
    settings: &Settings,
    figures: PrometheusHandle,
    mailbox: Mailbox,
    journal: Journal,
    (cancel, ended): (Cancel, flume::Receiver<Infallible>),
) -> Result<JoinHandle<()>> {
    let client = vms::Client::new(settings.platform.vms, LIST_TIMEOUT);
    let pause = settings.platform.list;
    let thread = thread::Builder::new()
        .name("housekeeping".to_owned())
        .spawn(move || {
            let mut turns = 1;
            let mut known_unreadable = 0;
            while !cancel.is_cancelled() {
                if let Ok(list) = client.list(&cancel) {
                    let rows = list.vms.len() + list.unreadable;
                    let vms: Vec<Listed> = list.vms.into_iter().filter_map(listed).collect();
                    let unreadable = rows - vms.len();
                    if unreadable > std::mem::replace(&mut known_unreadable, unreadable) {
                        let detail = format!("subject=vms rows={rows} unreadable={unreadable}");
                        journal.event(Code::EntryUnreadable, detail);
                    }
                    turns = turns_of(&vms);
                    mailbox.event(Event::List { vms });
                }
                figures.run_upkeep();
                // Nothing is ever sent: the wait ends early when the other side is dropped.
                let _ = ended.recv_timeout(pause.saturating_mul(turns));
            }
        })?;
    Ok(thread)
}

/// In how many times the pause a VM reads the list once, so that the fleet's reads and a VM's bytes do not grow with it.
fn turns_of(vms: &[Listed]) -> u32 {
    /// VMs that may each read the list at the full rate.
    const READERS: usize = 20;
    u32::try_from(vms.len().div_ceil(READERS))
        .unwrap_or(u32::MAX)
        .max(1)
}

/// A VM as the core knows it; one with a name that is none is left out.
fn listed(vm: vms::Vm) -> Option<Listed> {
    Some(Listed {
        vm: vm.name.parse().ok()?,
        address: vm.address,
        zone: vm.zone.parse().ok()?,
        leaving: vm.state == vms::State::Leaving,
    })
}
