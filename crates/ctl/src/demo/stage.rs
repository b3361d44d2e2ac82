//! The stand-ins and the entry VMs, all threads of this process, and the configuration that names them.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use dahliastile_core::config::Document;
use dahliastile_daemon::{Addresses, Daemon, Settings};
use dahliastile_standin::engine::{self, Engine, Source};
use dahliastile_standin::kv::{self, Kv};
use dahliastile_standin::plain::Plain;
use dahliastile_standin::vms::{self, State, Vms};
use dahliastile_standin::weights::{self, Weights};
use dahliastile_standin::{Host, Service};
use serde_json::{Value, json};

use crate::error::{Error, Result};

/// The operators' token of the demonstration.
pub(super) const OPERATOR_TOKEN: &str = "demo-operator";
/// The availability zones.
pub(super) const ZONES: [&str; 2] = ["maasvlakte", "botlek"];
/// The VMs and the positions of their zones.
const VMS: [(&str, usize); 3] = [("vm-1", 0), ("vm-2", 0), ("vm-3", 1)];
/// Adapters of each model service; an engine holds [`SLOTS`] of them.
pub(super) const ADAPTERS: usize = 30;
/// Adapters that an engine holds.
const SLOTS: usize = 6;
/// The room in an engine's batch.
const BATCH: usize = 8;
/// How long one load takes: three a second, scaled down.
const LOAD: Duration = Duration::from_millis(80);
/// The work of a plain service's call.
const WORK: Duration = Duration::from_millis(5);
/// How long a VM that shuts down may take at most.
pub(super) const DRAIN: Duration = Duration::from_secs(10);
/// How far the list of VMs lags behind.
const LIST_LAG: Duration = Duration::from_millis(500);

/// A model deployment, scaled down.
pub(super) struct Deployment {
    /// The service's name, also the first part of its adapters' names.
    pub(super) service: &'static str,
    /// Its tenant.
    pub(super) tenant: &'static str,
    /// The class of its callers.
    pub(super) class: &'static str,
    /// The length of an engine step.
    step: Duration,
    /// How long the base model takes to load, a hundredth of the real time.
    base_load: Duration,
    /// Whether its engines check fencing numbers.
    fenced: bool,
    /// The weights of load stalls and of batch efficiency.
    weights: (f64, f64),
}

/// Both deployments.
pub(super) const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        service: "passage",
        tenant: "kolenvaart",
        class: "interactive",
        step: Duration::from_millis(9),
        base_load: Duration::from_millis(700),
        fenced: true,
        weights: (4.0, 1.0),
    },
    Deployment {
        service: "planogram",
        tenant: "rak-nusantara",
        class: "wave",
        step: Duration::from_millis(8),
        base_load: Duration::from_millis(350),
        fenced: false,
        weights: (1.0, 4.0),
    },
];

/// The plain service whose calls must not be repeated.
pub(super) const GUARDED: &str = "booking";

/// A plain service: its name, its tenant, and whether its calls must not be repeated.
pub(super) const PLAIN: [(&str, &str, bool); 2] = [
    (GUARDED, "kolenvaart", true),
    ("store", "rak-nusantara", false),
];

/// A running stand-in and the server name that the configuration gives it.
pub(super) struct Named<S: Service> {
    /// The server's name.
    pub(super) name: String,
    /// Its service.
    pub(super) service: &'static str,
    /// Its zone.
    zone: &'static str,
    /// The stand-in.
    pub(super) host: Host<S>,
}

/// An entry VM.
pub(super) struct Vm {
    /// Where it listens.
    pub(super) addresses: Addresses,
    /// The daemon, until it is shut down.
    pub(super) daemon: Option<Daemon>,
}

/// Everything that runs.
pub(super) struct Stage {
    /// The entry VMs; declared first, so that they end before what they call.
    pub(super) vms: Vec<Vm>,
    /// The key-value service.
    pub(super) kv: kv::Server,
    /// The list of VMs.
    list: vms::Server,
    /// The weight stores, one for each deployment.
    _stores: Vec<weights::Server>,
    /// The engines.
    pub(super) engines: Vec<Named<Engine>>,
    /// The plain servers.
    pub(super) plain: Vec<Named<Plain>>,
}

impl Stage {
    /// Starts all of it.
    pub(super) fn start(log: bool) -> Result<Self> {
        let kv = host(Kv::new(kv::Settings::default()))?;
        let list = host(Vms::new(Vec::new(), Duration::ZERO))?;
        let mut stores = Vec::new();
        let mut engines = Vec::new();
        for deployment in &DEPLOYMENTS {
            let store = host(Weights::new(LOAD))?;
            for zone in ZONES {
                let settings = engine_settings(deployment, store.address());
                engines.push(named(deployment.service, zone, Engine::new(settings))?);
            }
            stores.push(store);
        }
        let mut plain = Vec::new();
        for (service, _, _) in PLAIN {
            for zone in ZONES {
                plain.push(named(service, zone, Plain::new(WORK))?);
            }
        }
        let mut vms = Vec::new();
        for (name, zone) in VMS {
            let text = settings(name, ZONES[zone], kv.address(), list.address(), log);
            let settings = Settings::parse(&text, &[]).map_err(|faults| {
                let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                Error::Demo(format!("settings of {name}: {}", faults.join("; ")))
            })?;
            let daemon = Daemon::start(&settings).map_err(failed)?;
            vms.push(Vm {
                addresses: daemon.addresses(),
                daemon: Some(daemon),
            });
        }
        let stage = Self {
            vms,
            kv,
            list,
            _stores: stores,
            engines,
            plain,
        };
        stage.list.service().set(stage.listed());
        stage.list.fault(vms::Fault::LagMs(millis(LIST_LAG)));
        Ok(stage)
    }

    /// The operators' listeners, for `--server`.
    pub(super) fn operators(&self) -> String {
        let running = self.vms.iter().filter(|vm| vm.daemon.is_some());
        let addresses: Vec<String> = running
            .map(|vm| vm.addresses.operators.to_string())
            .collect();
        addresses.join(",")
    }

    /// Tells the list of VMs that one has ended.
    pub(super) fn unlist(&self) {
        self.list.service().set(self.listed());
    }

    /// Shuts the VMs that are left down, gracefully and at the same time.
    pub(super) fn close(&mut self) -> Result<()> {
        let daemons: Vec<Daemon> = self
            .vms
            .iter_mut()
            .filter_map(|vm| vm.daemon.take())
            .collect();
        for daemon in &daemons {
            daemon.stopper().stop(false);
        }
        daemons
            .into_iter()
            .try_for_each(|daemon| daemon.wait().map_err(failed))
    }

    /// The configuration.
    pub(super) fn document(&self) -> Result<Document> {
        let caller = |(name, tenant, class): (&str, &str, &str)| {
            let hash = blake3::hash(token(name).as_bytes()).to_hex();
            json!({"name": name, "tenant": tenant, "class": class, "token_hash": hash.as_str()})
        };
        let models = DEPLOYMENTS.iter().map(|deployment| {
            let (stall, batch) = deployment.weights;
            json!({
                "name": deployment.service, "kind": "model", "fenced": deployment.fenced,
                "stall_weight": stall, "batch_weight": batch,
                "store": format!("{}-store", deployment.service), "load_ms": millis(LOAD),
                "base_load_ms": millis(deployment.base_load),
            })
        });
        let plain = PLAIN.iter().map(|(name, _, non_idempotent)| {
            json!({"name": name, "kind": "plain", "non_idempotent": non_idempotent})
        });
        let engines = self.engines.iter().map(|engine| {
            let mut row = server(engine);
            row["domain"] = json!(format!("{}-{}", engine.service, engine.zone));
            row
        });
        let adapters = DEPLOYMENTS.iter().flat_map(|deployment| {
            let names = (0..ADAPTERS).map(|number| adapter(deployment.service, number));
            let special = SPECIAL.map(|name| format!("{}-{name}", deployment.service));
            let row =
                |name| json!({"name": name, "service": deployment.service, "versions": ["1"]});
            names.chain(special).map(row).collect::<Vec<_>>()
        });
        let document = json!({
            "callers": CALLERS.map(caller),
            "services": models.chain(plain).collect::<Vec<_>>(),
            "servers": engines.chain(self.plain.iter().map(server)).collect::<Vec<_>>(),
            "adapters": adapters.collect::<Vec<_>>(),
            "rules": [],
        });
        serde_json::from_value(document).map_err(failed)
    }

    fn listed(&self) -> Vec<vms::Vm> {
        let running = self
            .vms
            .iter()
            .zip(VMS)
            .filter(|(vm, _)| vm.daemon.is_some());
        let row = |(vm, (name, zone)): (&Vm, (&str, usize))| vms::Vm {
            name: name.to_owned(),
            address: vm.addresses.peers,
            zone: ZONES[zone].to_owned(),
            state: State::Live,
        };
        running.map(row).collect()
    }
}

/// Adapters besides the numbered ones: one that a rule refuses, and one that stays cold until the outage.
const SPECIAL: [&str; 2] = ["drill", "cold"];

/// The callers: name, tenant and class.
const CALLERS: [(&str, &str, &str); 4] = [
    ("skipper", "kolenvaart", "interactive"),
    ("terminal", "kolenvaart", "planning"),
    ("merchandiser", "rak-nusantara", "wave"),
    ("manager", "rak-nusantara", "interactive"),
];

/// The bearer token of a caller.
pub(super) fn token(caller: &str) -> String {
    format!("demo-{caller}")
}

/// The name of a numbered adapter.
pub(super) fn adapter(service: &str, number: usize) -> String {
    format!("{service}-{number:02}")
}

/// A failure of the demonstration itself.
pub(super) fn failed(error: impl std::fmt::Display) -> Error {
    Error::Demo(error.to_string())
}

fn host<S: Service>(service: S) -> Result<Host<S>> {
    Host::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), service).map_err(failed)
}

fn named<S: Service>(service: &'static str, zone: &'static str, standin: S) -> Result<Named<S>> {
    Ok(Named {
        name: format!("{service}-{zone}"),
        service,
        zone,
        host: host(standin)?,
    })
}

fn server<S: Service>(server: &Named<S>) -> Value {
    json!({
        "name": server.name, "service": server.service, "zone": server.zone,
        "address": server.host.address().to_string(),
    })
}

fn engine_settings(deployment: &Deployment, store: SocketAddr) -> engine::Settings {
    engine::Settings {
        batch: BATCH,
        step: deployment.step,
        slots: SLOTS,
        base_load: deployment.base_load,
        source: Source::Store(store),
        fencing: deployment.fenced,
        refuse_in_use: false,
        report_lag: Duration::from_millis(50),
        ..engine::Settings::default()
    }
}

/// The settings of a VM, with times scaled down to those of the demonstration.
fn settings(name: &str, zone: &str, kv: SocketAddr, list: SocketAddr, log: bool) -> String {
    let hash = blake3::hash(OPERATOR_TOKEN.as_bytes()).to_hex();
    let drain = millis(DRAIN);
    let level = if log { "debug" } else { "off" };
    format!(
        "vm: {name}
zone: {zone}
listen: {{callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}}
platform: {{endpoints: ['{kv}'], vms: '{list}', list_ms: 200}}
operators: {{token_hash: {hash}}}
peers: {{secret: demo-secret-of-three-vms}}
log: {{level: {level}}}
tuning:
  lease_ttl_ms: 3000
  lease_renew_ms: 500
  lease_guard_ms: 500
  poll_ms: 100
  heartbeat_ms: 100
  suspect_ms: 1000
  gone_ms: 4000
  platform_timeout_ms: 500
  platform_backoff_ms: 50
  platform_backoff_max_ms: 300
  load_backoff_ms: 50
  load_backoff_max_ms: 500
  drain_ms: {drain}
"
    )
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
