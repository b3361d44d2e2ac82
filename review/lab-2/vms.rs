//! Entry VMs as processes, with the command of the deploy file, and the desired state of a small deployment.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Channel;
use crate::store::Store;

pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    file: PathBuf,
    ready: SocketAddr,
    child: Child,
}

/// All VMs of a case. Dropping it ends them.
pub struct Fleet {
    pub vms: Vec<Vm>,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            let _ = vm.child.kill();
            let _ = vm.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn spawn(file: &Path) -> Result<Child, String> {
    let child = Command::new("target/release/dahliastiled")
        .args(["--platform", "DAHLIASTILE_SETTINGS"])
        .env_clear()
        .env("DAHLIASTILE_SETTINGS", file)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    child.map_err(|error| format!("target/release/dahliastiled: {error}"))
}

fn free_ports(ip: IpAddr, count: usize) -> Result<Vec<u16>, String> {
    let listeners: Result<Vec<_>, _> = (0..count).map(|_| TcpListener::bind((ip, 0))).collect();
    let listeners = listeners.map_err(|error| error.to_string())?;
    let ports = listeners
        .iter()
        .map(|listener| listener.local_addr().map(|a| a.port()));
    ports
        .collect::<Result<_, _>>()
        .map_err(|error| error.to_string())
}

impl Fleet {
    /// Starts VMs at addresses of their own, all in one zone or each in a zone of its own, and waits until they are ready.
    pub fn start(count: u8, store: &Store, is_zoned: bool) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut fleet = Self {
            vms: Vec::new(),
            folder,
        };
        for number in 1..=count {
            let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 77, number));
            let ports = free_ports(ip, 4)?;
            let at = |port: u16| SocketAddr::new(ip, port);
            let zone = if is_zoned {
                format!("z{number}")
            } else {
                "z".to_owned()
            };
            let name = if is_zoned {
                format!("front-{zone}-1")
            } else {
                format!("front-z-{number}")
            };
            let settings = format!(
                r#"nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "r"
portRange = [{relay}, {relay}]
seeds = []
bootstrap = true
heartbeatMs = 1200
[zones]
{zone} = "r"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
budgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 52
requireFencing = true
leaseMs = 3000
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#,
                relay = ports[3],
                front = at(ports[0]),
                ready = at(ports[1]),
                control = at(ports[2]),
                store = store.address,
            );
            let file = fleet.folder.join(format!("{number}.toml"));
            fs::write(&file, settings).map_err(|error| error.to_string())?;
            let child = spawn(&file)?;
            let (front, ready) = (at(ports[0]), at(ports[1]));
            fleet.vms.push(Vm {
                name,
                front,
                file,
                ready,
                child,
            });
        }
        let end = Instant::now() + Duration::from_secs(20);
        while !fleet.vms.iter().all(Vm::is_ready) {
            if Instant::now() > end {
                return Err("the VMs did not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(fleet)
    }

    /// Starts those again that have ended, and returns their names, each with how it ended.
    pub fn restart_ended(&mut self) -> Result<Vec<(String, String)>, String> {
        let mut ended = Vec::new();
        for vm in &mut self.vms {
            if let Ok(Some(status)) = vm.child.try_wait() {
                ended.push((vm.name.clone(), status.to_string()));
                vm.child = spawn(&vm.file)?;
            }
        }
        Ok(ended)
    }

    /// Whether all processes still run.
    pub fn is_alive(&mut self) -> bool {
        self.vms
            .iter_mut()
            .all(|vm| matches!(vm.child.try_wait(), Ok(None)))
    }
}

impl Vm {
    fn is_ready(&self) -> bool {
        let ask = || {
            let mut channel = Channel::connect(self.ready, Duration::from_secs(1)).ok()?;
            channel
                .write(b"GET /dahliastile/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                .ok()?;
            Some(channel.read().ok()??.status() == 200)
        };
        ask().unwrap_or(false)
    }
}

/// The desired state: one plain service with an unsafe and a safe route.
pub const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-post","host":"ficu95.example","prefix":"/lohu930/","kind":"unsafe","timeoutMs":2000,"targetLatencyMs":300,"priority":1,"service":"desk","maxAttempts":1},
{"name":"r-get","host":"ficu95.example","prefix":"/pufi791/","kind":"safe","timeoutMs":2000,"targetLatencyMs":300,"priority":1,"service":"desk","maxAttempts":2}],
"services":[{"name":"desk","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
