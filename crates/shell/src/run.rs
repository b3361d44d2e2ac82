//! The process: what it listens on, how it starts and how it stops.

use std::net::SocketAddr;
use std::rc::Rc;

use dahliastile_core::log::{Code, Record};
use dahliastile_core::time::Span;
use dahliastile_gateway::Gateway;
use dahliastile_gateway::event::{Event, Task};
use dahliastile_gateway::settings::Settings;
use dahliastile_intake::{Capacity, Machine};
use eyre::Context;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::callers::{self, Port};
use crate::clock::{Clock, duration};
use crate::dialect::Dialect;
use crate::driver::{Driver, Lateness, Shedding};
use crate::figures::Figures;
use crate::hub::Hub;
use crate::intake::{self, Intake};
use crate::journal::Journal;
use crate::peers::{self, Peers};
use crate::probe;
use crate::task;

/// How often a stopping process looks whether anything is still in progress.
const LOOK: Span = Span::from_millis(50);

/// How often the values of histograms are summed up: at a hundred requests a second some thousands are kept till then.
const SUM_UP: Span = Span::from_secs(10);

/// What the process listens on.
#[derive(Clone, Debug)]
pub struct Options {
    /// For callers.
    pub callers: SocketAddr,
    /// For the platform's question whether it is ready.
    pub readiness: SocketAddr,
    /// For other VMs.
    pub peers: SocketAddr,
    /// For attempts that other VMs ask this one to carry; none if it carries none.
    pub relays: Option<SocketAddr>,
    /// For whoever reads the figures.
    pub figures: SocketAddr,
    /// What the machine gives to the process.
    pub machine: Machine,
}

/// The event loop of an entry VM, and the signals that the process is sent.
///
/// From its making on, signals no longer end the process; those that come before [`Self::run`] are obeyed there. So it is
/// made before anything else.
pub struct EventLoop {
    /// Runs the tasks.
    runtime: Runtime,
    /// Says that the process is to end.
    terminate: Signal,
    /// Says that the settings are to be read again.
    hangup: Signal,
}

impl EventLoop {
    /// Makes it.
    ///
    /// # Errors
    /// Where the system lacks what it needs.
    pub fn new() -> eyre::Result<Self> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("can't start the event loop")?;
        // Signals are read by the event loop that is entered.
        let entered = runtime.enter();
        let terminate = signal(SignalKind::terminate()).wrap_err("can't listen for signals")?;
        let hangup = signal(SignalKind::hangup()).wrap_err("can't listen for signals")?;
        drop(entered);
        Ok(Self {
            runtime,
            terminate,
            hangup,
        })
    }

    /// Runs an entry VM until it is told to stop.
    ///
    /// # Errors
    /// Where it can't listen or can't log.
    pub fn run<D: Dialect>(
        self,
        settings: Settings,
        options: &Options,
        dialect: D,
    ) -> eyre::Result<()> {
        let Self {
            runtime,
            terminate,
            hangup,
        } = self;
        let serve = serve(settings, options, dialect, (terminate, hangup));
        LocalSet::new().block_on(&runtime, serve)
    }
}

async fn serve<D: Dialect>(
    settings: Settings,
    options: &Options,
    dialect: D,
    (mut terminate, hangup): (Signal, Signal),
) -> eyre::Result<()> {
    let capacity = Capacity::of(options.machine, intake::DESCRIPTORS)
        .wrap_err("can't serve on this machine")?;
    let bind = |address: SocketAddr| {
        let listener = intake::listen(address);
        let listener = listener.wrap_err_with(|| format!("can't listen on {address}"))?;
        eyre::Ok(Rc::new(listener))
    };
    let (front, ready, control) = (
        bind(options.callers)?,
        bind(options.readiness)?,
        bind(options.peers)?,
    );
    let source = options.relays.map(|address| address.ip());
    let (sender, mailbox) = flume::unbounded();
    let figures = Figures::new(settings.vm.as_str()).wrap_err("can't set the figures up")?;
    let figures = Rc::new(figures);
    let hub = Hub::new(
        dialect,
        figures.handle(),
        sender,
        source,
        Intake::new(capacity),
    );
    let (leave, leaving) = watch::channel(false);
    let (end, ending) = watch::channel(None);
    let (vm, start) = (settings.vm.clone(), settings.incarnation);
    let peers = Peers::new(vm, start, hub.clone(), figures.clone());
    if let Some(address) = options.relays {
        take_connections(bind(address)?, Port::Relays, &hub, leaving.clone());
    }
    take_connections(front, Port::Callers, &hub, leaving);
    for listener in [ready, bind(options.figures)?] {
        let asked = hub.clone();
        task::spawn_lasting(&hub, Task::Listener, move || {
            probe::listen(listener.clone(), asked.clone())
        });
    }
    let summed = hub.clone();
    task::spawn_lasting(&hub, Task::Figures, move || keep_figures(summed.clone()));
    let linked = peers.clone();
    task::spawn_lasting(&hub, Task::Listener, move || {
        peers::listen(control.clone(), linked.clone())
    });
    let clock = Clock::new();
    // What comes later would be refused.
    let leave_after = settings.tuning.leave_time();
    let mut journal = Journal::new(settings.vm.clone())?;
    let started = format!(
        "incarnation={} callers={} peers={} without={} memory={} descriptors={} client_memory={} client_connections={}",
        settings.incarnation.0,
        options.callers,
        options.peers,
        settings.without,
        options.machine.memory,
        options.machine.descriptors,
        capacity.memory,
        capacity.callers,
    );
    journal.write(clock.now(), &Record::new(Code::Started, started));
    task::spawn(&hub, Task::Reload, reload_settings(hangup, hub.clone()));
    let stopper = hub.clone();
    task::spawn(&hub, Task::Stop, async move {
        terminate.recv().await;
        stopper.post(Event::Stop);
        let stop = clock.now();
        tokio::time::sleep_until(clock.at(stop + leave_after)).await;
        // The receivers live as long as the process.
        let _ = leave.send(true);
        // By then the connections that the system has accepted are counted.
        tokio::time::sleep_until(clock.at(clock.now() + LOOK)).await;
        let has_time = || stopper.end_by.get().is_none_or(|end| clock.now() < end);
        while stopper.busy() && has_time() {
            tokio::time::sleep_until(clock.at(clock.now() + LOOK)).await;
        }
        let _ = end.send(Some(clock.now() + LOOK));
    });
    let mut driver = Driver {
        gateway: Gateway::new(settings),
        clock,
        hub,
        peers,
        journal,
        figures,
        mailbox,
        effects: Vec::new(),
        lateness: Lateness::default(),
        shedding: Shedding::default(),
    };
    driver.run(ending).await;
    let open = driver.gateway.open_requests();
    for record in driver.gateway.unanswered_requests() {
        driver.journal.write(clock.now(), &record);
    }
    driver.journal.write(
        clock.now(),
        &Record::new(Code::Stopped, format!("open={open}")),
    );
    driver.journal.flush();
    Ok(())
}

/// Starts the task that takes the connections of a port in.
fn take_connections<D: Dialect>(
    listener: Rc<TcpListener>,
    port: Port,
    hub: &Rc<Hub<D>>,
    leaving: watch::Receiver<bool>,
) {
    let served = hub.clone();
    task::spawn_lasting(hub, Task::Listener, move || {
        callers::listen(listener.clone(), port, served.clone(), leaving.clone())
    });
}

/// Reads the settings file again at each signal.
async fn reload_settings<D: Dialect>(mut hangup: Signal, hub: Rc<Hub<D>>) {
    while hangup.recv().await.is_some() {
        let reload = async { hub.dialect.reload().map(Box::new) };
        let outcome = task::catch(&hub, Task::Reload, reload).await;
        let outcome = outcome.unwrap_or_else(|| Err("it can't be read".to_owned()));
        hub.post(Event::SettingsReloaded(outcome));
    }
}

/// Sums up the values of histograms now and then, as the recorder keeps each until it is asked or told to.
async fn keep_figures<D>(hub: Rc<Hub<D>>) {
    loop {
        tokio::time::sleep(duration(SUM_UP)).await;
        hub.figures.run_upkeep();
    }
}
