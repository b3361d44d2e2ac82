//! Three entry VMs in two availability zones among stand-ins, each a process of its own.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};

use dahliastile_standin::caller::{Answer, Request};
use dahliastile_standin::engine::Record;
use serde_json::{Value, json};

use crate::process::{Process, until};
use crate::support::{self, OPERATOR, Reply, TOKEN};

/// Fleets at a time: the tests share the machine with each other.
const FLEETS: u64 = 3;

/// Short times, so that leases lapse and VMs count as gone within a test's patience.
const TUNING: &str = "tick_ms: 10, lease_ttl_ms: 2000, lease_renew_ms: 400, lease_guard_ms: 400, \
     ask_max_ms: 200, poll_ms: 50, heartbeat_ms: 100, suspect_ms: 600, gone_ms: 1500, \
     platform_timeout_ms: 500, platform_backoff_ms: 50, platform_backoff_max_ms: 200, \
     load_backoff_ms: 50, load_backoff_max_ms: 500";

/// The VMs and their zones.
const VMS: [(&str, &str); 3] = [("vm-1", "botlek"), ("vm-2", "botlek"), ("vm-3", "maas")];

/// The adapters of the service whose engine checks fencing numbers; one more than it has slots.
pub(crate) const FENCED: [&str; 4] = ["lock@1", "lock@2", "gate@1", "gate@2"];

/// The adapters of the service whose engine does not.
pub(crate) const UNFENCED: [&str; 4] = ["ebb@1", "ebb@2", "flood@1", "flood@2"];

/// Slots of each engine.
const SLOTS: &str = "3";

/// The number of fleets that run.
static RUNNING: (Mutex<u64>, Condvar) = (Mutex::new(0), Condvar::new());

/// One of the places for fleets.
struct Permit;

impl Permit {
    fn take() -> Self {
        let running = RUNNING.0.lock().unwrap_or_else(PoisonError::into_inner);
        let full = |running: &mut u64| *running >= FLEETS;
        let running = RUNNING.1.wait_while(running, full);
        *running.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.0.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        RUNNING.1.notify_one();
    }
}

/// A stand-in.
pub(crate) struct Standin {
    pub(crate) process: Process,
    pub(crate) address: SocketAddr,
    control: SocketAddr,
}

impl Standin {
    /// Starts a stand-in by the arguments of its program.
    pub(crate) fn start(arguments: &[&str]) -> Self {
        let daemon = Path::new(env!("CARGO_BIN_EXE_dahliastiled"));
        let program = daemon.with_file_name("examples").join("standin");
        assert!(
            program.exists(),
            "cargo test --workspace builds {}",
            program.display()
        );
        let mut process = Process::start(Command::new(program).args(arguments));
        let line: Value = serde_json::from_str(&process.line(|_| true)).unwrap();
        let address = |name: &str| line[name].as_str().unwrap().parse().unwrap();
        Self {
            address: address("address"),
            control: address("control"),
            process,
        }
    }

    /// An engine, with more arguments.
    pub(crate) fn engine(weights: SocketAddr, more: &[&str]) -> Self {
        let weights = weights.to_string();
        let mut arguments = vec!["engine", "--slots", SLOTS, "--weights", &weights];
        arguments.extend(more);
        Self::start(&arguments)
    }

    /// Sets a fault; it is in force on return.
    pub(crate) fn fault(&self, fault: &Value) {
        let request = minreq::post(format!("http://{}/fault", self.control));
        let answer = request.with_body(fault.to_string()).send().unwrap();
        assert_eq!(answer.status_code, 200, "{fault}");
    }

    /// Sets how connections are treated: `none`, `silent` or `refused`.
    pub(crate) fn outage(&self, outage: &str) {
        self.fault(&json!({ "outage": outage }));
    }

    /// What happened so far.
    pub(crate) fn record(&self) -> Value {
        let request = minreq::get(format!("http://{}/record", self.control));
        let answer = request.send().unwrap();
        serde_json::from_slice(answer.as_bytes()).unwrap()
    }

    /// What happened so far on an engine.
    pub(crate) fn runs(&self) -> Record {
        serde_json::from_value(self.record()).unwrap()
    }
}

/// An entry VM.
pub(crate) struct Vm {
    pub(crate) process: Process,
    pub(crate) name: &'static str,
    zone: &'static str,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    peers: SocketAddr,
}

impl Vm {
    fn start((name, zone): (&'static str, &'static str), kv: SocketAddr, vms: SocketAddr) -> Self {
        let hash = blake3::hash(OPERATOR.as_bytes());
        let text = format!(
            "vm: {name}\nzone: {zone}\n\
             listen: {{ callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0' }}\n\
             platform: {{ endpoints: ['{kv}'], vms: '{vms}', list_ms: 100 }}\n\
             operators: {{ token_hash: {hash} }}\n\
             peers: {{ secret: a secret of the whole fleet }}\n\
             log: {{ format: json, level: debug }}\n\
             tuning: {{ {TUNING} }}\n"
        );
        let process = daemon(&text);
        let line: Value = serde_json::from_str(process.first()).unwrap();
        let words = line["detail"].as_str().unwrap().to_owned();
        let address = |name: &str| {
            let mut pairs = words.split(' ').filter_map(|word| word.split_once('='));
            let (_, value) = pairs.find(|(key, _)| *key == name).unwrap();
            value.parse().unwrap()
        };
        Self {
            process,
            name,
            zone,
            callers: address("callers"),
            operators: address("operators"),
            peers: address("peers"),
        }
    }

    /// A streamed completion.
    pub(crate) fn completion(&self, model: &str, prompt: &str, tokens: u64) -> Request {
        authorized(Request::completion(self.callers, model, prompt, tokens))
    }

    /// A streamed chat.
    pub(crate) fn chat(&self, model: &str, content: &str, tokens: u64) -> Request {
        authorized(Request::chat(self.callers, model, content, tokens))
    }

    /// Books a berth, which must not be done twice.
    pub(crate) fn book(&self, key: &str) -> Reply {
        support::raw(self.callers, &booking(key))
    }

    /// Whether the VM takes callers.
    pub(crate) fn ready(&self) -> bool {
        support::get(self.operators, "/readyz").status == 200
    }

    /// The state of the fleet as this VM sees it.
    pub(crate) fn status(&self) -> Value {
        let reply = support::post_operator(self.operators, &json!("status"));
        reply.json()["status"].take()
    }

    /// The holder of a domain as this VM sees it.
    pub(crate) fn holder(&self, domain: &str) -> Option<String> {
        let status = self.status();
        let domains = status["domains"].as_array().unwrap();
        let found = domains.iter().find(|found| found["domain"] == domain)?;
        found["holder"].as_str().map(str::to_owned)
    }

    /// Waits until the VM serves, sees all others and knows who holds the domains.
    pub(crate) fn settle(&self) {
        until("a VM is ready", || self.ready());
        until("a VM sees all others", || {
            let status = self.status();
            let seen = status["vms"].as_array().unwrap();
            seen.iter().filter(|vm| vm["state"] == "live").count() == VMS.len()
        });
        until("the domains are held", || {
            ["plans", "tides"]
                .iter()
                .all(|domain| self.holder(domain).is_some())
        });
    }

    /// Makes an edit and says which edition it made.
    pub(crate) fn edit(&self, id: &str, base: u64, changes: &Value) -> u64 {
        let edit = json!({ "id": id, "author": "test", "base": base, "changes": changes });
        let reply = support::post_operator(self.operators, &json!({ "edit": edit }));
        assert_eq!(reply.status, 200, "{}", reply.text());
        reply.json()["accepted"]["edition"].as_u64().unwrap()
    }
}

/// A request with the token of the caller.
pub(crate) fn authorized(request: Request) -> Request {
    request.header("Authorization", &format!("Bearer {TOKEN}"))
}

/// The bytes of a booking.
pub(crate) fn booking(key: &str) -> Vec<u8> {
    let headers = [support::bearer(), format!("Idempotency-Key: {key}")];
    let headers = headers.each_ref().map(String::as_str);
    support::request("POST", "/services/berths/book", &headers, "{\"quay\": 7}")
}

/// Starts a daemon with the text of its settings, which is gone once the daemon says something.
pub(crate) fn daemon(text: &str) -> Process {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let number = LAST.fetch_add(1, Ordering::Relaxed);
    let name = format!("vm-{}-{number}.yaml", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    let program = env!("CARGO_BIN_EXE_dahliastiled");
    let mut process = Process::start_logging(Command::new(program).arg("--settings").arg(&path));
    process.line(|_| true);
    fs::remove_file(&path).unwrap();
    process
}

/// All processes of one test.
pub(crate) struct Fleet {
    pub(crate) vms: Vec<Vm>,
    pub(crate) kv: Standin,
    pub(crate) list: Standin,
    pub(crate) weights: Standin,
    pub(crate) fenced: Standin,
    pub(crate) unfenced: Standin,
    pub(crate) plain: Standin,
    _permit: Permit,
}

impl Fleet {
    /// Starts everything and waits until all VMs serve and both domains are held.
    pub(crate) fn start() -> Self {
        let permit = Permit::take();
        let (kv, list) = (Standin::start(&["kv"]), Standin::start(&["vms"]));
        let weights = Standin::start(&["weights", "--load-ms", "20"]);
        let fleet = Self {
            vms: VMS.map(|vm| Vm::start(vm, kv.address, list.address)).into(),
            fenced: Standin::engine(weights.address, &[]),
            unfenced: Standin::engine(weights.address, &["--no-fencing"]),
            plain: Standin::start(&["plain"]),
            kv,
            list,
            weights,
            _permit: permit,
        };
        fleet.list_vms();
        fleet.vms[0].edit("first", 0, &fleet.configuration());
        for vm in &fleet.vms {
            vm.settle();
        }
        fleet
    }

    /// Shows the running VMs in the platform's list.
    pub(crate) fn list_vms(&self) {
        let entry = |vm: &Vm| json!({ "name": vm.name, "address": vm.peers, "zone": vm.zone, "state": "live" });
        let list: Vec<Value> = self.vms.iter().map(entry).collect();
        self.list.fault(&json!({ "set": list }));
    }

    fn configuration(&self) -> Value {
        let hash = blake3::hash(TOKEN.as_bytes()).to_hex();
        let service = |name: &str, fenced: bool| {
            json!({ "put_service": {
                "name": name, "kind": "model", "fenced": fenced, "store": "weights", "load_ms": 20,
            } })
        };
        let adapter = |name: &str, service: &str| json!({ "put_adapter": { "name": name, "service": service, "versions": ["1", "2"] } });
        json!([
            { "put_caller": { "name": "skipper", "tenant": "barges", "token_hash": hash.as_str() } },
            service("plans", true),
            service("tides", false),
            { "put_service": { "name": "berths", "kind": "plain", "non_idempotent": true } },
            server("engine-1", "plans", self.fenced.address),
            server("engine-2", "tides", self.unfenced.address),
            { "put_server": {
                "name": "berths-1", "service": "berths", "zone": "maas", "address": self.plain.address,
            } },
            adapter("lock", "plans"),
            adapter("gate", "plans"),
            adapter("ebb", "tides"),
            adapter("flood", "tides"),
        ])
    }

    /// The place of the VM that holds a domain.
    pub(crate) fn holder(&self, domain: &str) -> usize {
        let holder = self.vms[0].holder(domain);
        let place = self
            .vms
            .iter()
            .position(|vm| Some(vm.name) == holder.as_deref());
        place.expect("a holder")
    }

    /// Starts a VM anew, under its name and on new ports, when the old process has ended.
    pub(crate) fn restart(&mut self, place: usize) {
        let old = &self.vms[place];
        let named = (old.name, old.zone);
        self.vms[place] = Vm::start(named, self.kv.address, self.list.address);
        self.list_vms();
    }

    /// How often a booking ran.
    pub(crate) fn booked(&self, key: &str) -> u64 {
        self.plain.record()["keys"][key].as_u64().unwrap_or(0)
    }

    /// Both engines saw nothing that must never happen.
    pub(crate) fn assert_harmless(&self) {
        for engine in [&self.fenced, &self.unfenced] {
            assert_eq!(engine.runs().violations, []);
        }
    }
}

/// The edit that adds an engine.
pub(crate) fn server(name: &str, service: &str, address: SocketAddr) -> Value {
    json!({ "put_server": {
        "name": name, "service": service, "zone": "botlek", "address": address, "domain": service,
    } })
}

/// The kind and `ran` of the error in an answer.
pub(crate) fn error(answer: &Answer) -> (String, String) {
    let error = &answer.error.as_ref().expect("an error")["error"];
    let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
    (text("kind"), text("ran"))
}
