//! The users' platform in small: a key-value service, two engines, two plain servers, and entry VMs as processes.
#![allow(dead_code)] // Two test programs use it, each a part of it.

use std::fmt::Write as _;
use std::io::{ErrorKind, Read, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use dahliastile_body::Framing;
use dahliastile_standin::fleet::{Replica, Store};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

/// The longest wait for a condition.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);
/// The pause between two looks.
const LOOK: Duration = Duration::from_millis(10);
/// The segment size and the receive buffer of a caller that reads slowly, in bytes. With the segments of the loopback
/// interface the system would hold megabytes of an answer.
const SEGMENT: u32 = 536;
pub(crate) const RECEIVE_BUFFER: usize = 4_096;
/// The VMs whose addresses come before those of servers; the next ones have addresses after them.
const FIRST_VMS: u8 = 9;
/// The first address after those of servers.
const NEXT_VMS: u8 = 30;
/// The variable that names the settings file.
const VARIABLE: &str = "DAHLIASTILE_SETTINGS";

/// Numbers of fleets in this process, so that each has addresses of its own.
static FLEETS: AtomicU8 = AtomicU8::new(1);

/// An answer as its bytes came.
pub(crate) struct Answer {
    /// The status, 0 where there was none.
    pub(crate) status: u16,
    /// All of it.
    pub(crate) text: String,
    /// Whether its body is whole, as its length or its last chunk says.
    pub(crate) whole: bool,
    /// How its head says where its body ends.
    pub(crate) framing: Framing,
    /// Whether its connection was reset, or gave nothing more for too long.
    pub(crate) reset: bool,
}

impl Answer {
    /// No answer.
    fn none() -> Self {
        Self {
            status: 0,
            text: String::new(),
            whole: false,
            framing: Framing::Connection,
            reset: false,
        }
    }

    /// The body as it came, without the sizes of its chunks.
    pub(crate) fn body(&self) -> String {
        let (_, body) = self.text.split_once("\r\n\r\n").unwrap_or_default();
        if self.framing != Framing::Chunked {
            return body.to_owned();
        }
        let mut rest = body;
        let mut whole = String::new();
        while let Some((size, after)) = rest.split_once("\r\n") {
            let size = usize::from_str_radix(size, 16)
                .unwrap_or(0)
                .min(after.len());
            whole.push_str(&after[..size]);
            rest = after[size..].trim_start_matches("\r\n");
        }
        whole
    }
}

/// An entry VM.
pub(crate) struct Vm {
    process: Child,
    ip: IpAddr,
    settings: PathBuf,
}

impl Drop for Vm {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// All of it.
pub(crate) struct Fleet {
    /// The key-value service.
    pub(crate) store: Store,
    /// The engines.
    pub(crate) engines: Vec<Replica>,
    /// The plain servers.
    pub(crate) plain: Vec<Replica>,
    /// The entry VMs.
    pub(crate) vms: Vec<Vm>,
    /// Where the output of VMs goes, a file each; none where it is not kept.
    pub(crate) logs: Option<PathBuf>,
    net: (u8, u8),
}

impl Fleet {
    /// A fleet of so many VMs whose operator has written nothing yet.
    pub(crate) fn bare(vms: u8) -> Self {
        let mut fleet = Self::servers();
        for number in 0..vms {
            let vm = fleet.start(number + 1, None);
            fleet.vms.push(vm);
        }
        fleet
    }

    /// A key-value service and servers, and no VM yet.
    pub(crate) fn servers() -> Self {
        let process = u8::try_from(std::process::id() % 200).expect("below 200") + 20;
        // Another test process may have the same number; who has the store's address has all of the fleet's.
        let (net, store) = loop {
            let net = (process, FLEETS.fetch_add(1, Ordering::Relaxed));
            assert!(net.1 < u8::MAX, "no address is free");
            match Store::start(SocketAddr::new(ip(net, 250), 8142)) {
                Err(error) if error.kind() == ErrorKind::AddrInUse => {}
                store => break (net, store.expect("the store listens")),
            }
        };
        let at = |host: u8, port: u16| SocketAddr::new(ip(net, host), port);
        let start = |host: u8, id: &str, model| {
            Replica::start(id, at(host, 8080), model, 2).expect("a replica listens")
        };
        let engines = vec![start(10, "e0", Some("base")), start(11, "e1", Some("base"))];
        let plain = vec![start(20, "p0", None), start(21, "p1", None)];
        for (number, engine) in (0..).zip(&engines) {
            store.put(
                &format!("servers/e{number}"),
                &engine.entry("drafts", at(10 + number, 8080), "north", "ready"),
            );
        }
        for (number, server) in (0..).zip(&plain) {
            store.put(
                &format!("servers/p{number}"),
                &server.entry("desk", at(20 + number, 8080), "north", "ready"),
            );
        }
        Self {
            store,
            engines,
            plain,
            vms: Vec::new(),
            logs: None,
            net,
        }
    }

    /// Adds an engine with a build of its software.
    pub(crate) fn add_engine(&mut self, build: &str) -> usize {
        let number = self.engines.len();
        let host = 10 + u8::try_from(number).expect("few engines");
        assert!(host < 20, "hosts from 20 on are plain servers");
        let address = self.address(host, 8080);
        let id = format!("e{number}");
        let engine = Replica::start(&id, address, Some("base"), 2).expect("a replica listens");
        engine.set_build(build);
        self.engines.push(engine);
        self.list_engine(number, "ready");
        number
    }

    /// Adds a plain server.
    pub(crate) fn add_plain(&mut self) -> usize {
        let number = self.plain.len();
        let address = self.plain_address(u8::try_from(number).expect("few servers"));
        assert!(number < 10, "hosts from 30 on are VMs");
        let server = Replica::start(&format!("p{number}"), address, None, 2);
        self.plain.push(server.expect("a replica listens"));
        self.list_plain(number);
        number
    }

    /// Writes the entry of a plain server.
    pub(crate) fn list_plain(&self, number: usize) {
        let address = self.plain_address(u8::try_from(number).expect("few servers"));
        let entry = self.plain[number].entry("desk", address, "north", "ready");
        self.store.put(&format!("servers/p{number}"), &entry);
    }

    /// Writes the entry of an engine.
    pub(crate) fn list_engine(&self, number: usize, state: &str) {
        let host = 10 + u8::try_from(number).expect("few engines");
        let entry = self.engines[number].entry("drafts", self.address(host, 8080), "north", state);
        self.store.put(&format!("servers/e{number}"), &entry);
    }

    /// An address of this fleet.
    pub(crate) fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(ip(self.net, host), port)
    }

    /// A fleet that is ready.
    pub(crate) fn start_ready(vms: u8) -> Self {
        let fleet = Self::bare(vms);
        fleet.store.put("op/config", &config(1));
        for vm in &fleet.vms {
            until("a VM is ready", || vm.ready());
        }
        until("an engine service has a scheduler", || {
            fleet.holder().is_some()
        });
        fleet
    }

    /// The VM that schedules the engines.
    pub(crate) fn holder(&self) -> Option<usize> {
        let held = self.store.get("dahliastile/holder/drafts")?;
        held["vm"]
            .as_str()?
            .strip_prefix("vm")?
            .parse::<usize>()
            .ok()
            .map(|n| n - 1)
    }

    /// Where a plain server listens.
    pub(crate) fn plain_address(&self, number: u8) -> SocketAddr {
        SocketAddr::new(ip(self.net, 20 + number), 8080)
    }

    /// Starts a VM, with other settings than the usual ones where some are given.
    pub(crate) fn start(&self, number: u8, settings: Option<&str>) -> Vm {
        let ip = ip(self.net, vm_host(number));
        let usual = settings_text(number, ip, SocketAddr::new(self::ip(self.net, 250), 8142));
        let file = std::env::temp_dir().join(format!(
            "dahliastile-{}-{}-{number}.toml",
            self.net.0, self.net.1
        ));
        std::fs::write(&file, settings.unwrap_or(&usual)).expect("the settings are written");
        self.start_from(number, file)
    }

    /// Starts a VM that reads its settings from a file, which may be a pipe.
    pub(crate) fn start_from(&self, number: u8, settings: PathBuf) -> Vm {
        let process = Command::new(env!("CARGO_BIN_EXE_dahliastiled"))
            .args(["--platform", VARIABLE])
            .env(VARIABLE, &settings)
            .stdout(self.output(number))
            .stderr(self.output(number))
            .spawn()
            .expect("the daemon starts");
        Vm {
            process,
            ip: ip(self.net, vm_host(number)),
            settings,
        }
    }
}

impl Fleet {
    /// Where a VM's output goes: what its earlier starts wrote stays.
    fn output(&self, number: u8) -> Stdio {
        let Some(logs) = &self.logs else {
            return Stdio::null();
        };
        let path = logs.join(format!("vm{number}.log"));
        let file = std::fs::File::options()
            .create(true)
            .append(true)
            .open(path);
        file.expect("the log can be written").into()
    }
}

impl Vm {
    /// Whether it says that it is ready.
    pub(crate) fn ready(&self) -> bool {
        self.get(8141, "/dahliastile/readiness").status == 200
    }

    /// Its figures.
    pub(crate) fn figures(&self) -> String {
        self.get(9464, "/metrics").text
    }

    /// Sends a request of a caller and reads its answer.
    pub(crate) fn ask(&self, id: &str, path: &str, model: Option<&str>) -> Answer {
        self.raw(&request(id, path, model))
    }

    /// Sends bytes and reads the answer.
    pub(crate) fn raw(&self, bytes: &str) -> Answer {
        match self.open(bytes) {
            Some(stream) => read(stream),
            None => Answer::none(),
        }
    }

    /// Sends bytes on a new connection.
    pub(crate) fn open(&self, bytes: &str) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(SocketAddr::new(self.ip, 8149)).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        stream.write_all(bytes.as_bytes()).ok()?;
        Some(stream)
    }

    /// Sends bytes on a new connection whose other side lets the system hold little of the answer.
    pub(crate) fn open_slowly(&self, bytes: &str) -> TcpStream {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_tcp_mss(SEGMENT).expect("a segment size");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER)
            .expect("a buffer size");
        let address = SocketAddr::new(self.ip, 8149);
        socket.connect(&address.into()).expect("it listens");
        let mut stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        stream.write_all(bytes.as_bytes()).expect("it reads");
        stream
    }

    /// The id of its process.
    pub(crate) fn id(&self) -> u32 {
        self.process.id()
    }

    /// The most memory that it has used so far, in bytes.
    pub(crate) fn peak_memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        kilobytes
            .and_then(|text| text.parse::<usize>().ok())
            .expect("a number")
            * 1_024
    }

    /// The processor time that it has used so far.
    pub(crate) fn processor_time(&self) -> Duration {
        let path = format!("/proc/{}/schedstat", self.process.id());
        let text = std::fs::read_to_string(path).expect("the process runs");
        let nanoseconds = text.split_whitespace().next();
        let nanoseconds = nanoseconds.and_then(|text| text.parse().ok());
        Duration::from_nanos(nanoseconds.expect("a number"))
    }

    /// Whether its process takes the signals to end and to read its settings again. Until its program is loaded, any signal
    /// ends it, whatever the program does.
    pub(crate) fn takes_signals(&self) -> bool {
        // Bit n - 1 of the mask stands for signal n.
        const HANGUP_AND_TERMINATE: u64 = 1 | 1 << 14;
        let path = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let mask = status
            .lines()
            .find_map(|line| line.strip_prefix("SigCgt:"))
            .and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        mask.is_some_and(|mask| mask & HANGUP_AND_TERMINATE == HANGUP_AND_TERMINATE)
    }

    /// Sends it a signal by name.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.process.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "{name} is sent");
    }

    /// Its exit code, once it has ended.
    pub(crate) fn ended(&mut self) -> Option<i32> {
        let status = self.process.try_wait().expect("it can be waited for");
        status.map(|status| status.code().unwrap_or(-1))
    }

    /// Whether its process runs.
    pub(crate) fn runs(&mut self) -> bool {
        self.ended().is_none()
    }

    fn get(&self, port: u16, path: &str) -> Answer {
        let Ok(mut stream) = TcpStream::connect(SocketAddr::new(self.ip, port)) else {
            return Answer::none();
        };
        let head = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        // A write that fails shows as an answer without a status.
        let _ = stream.write_all(head.as_bytes());
        read(stream)
    }
}

/// A caller's request that closes its connection afterwards.
pub(crate) fn request(id: &str, path: &str, model: Option<&str>) -> String {
    request_with(
        id,
        path,
        model,
        "Deadline-Ms: 10000\r\nConnection: close\r\n",
    )
}

/// A caller's request with further headers.
pub(crate) fn request_with(id: &str, path: &str, model: Option<&str>, headers: &str) -> String {
    let mut text =
        format!("POST {path} HTTP/1.1\r\nHost: host.example\r\nRequest-Id: {id}\r\n{headers}");
    if let Some(model) = model {
        write!(text, "Model: {model}\r\nToken-Count: 100,20\r\n").expect("a string takes all");
    }
    text + "Content-Length: 2\r\n\r\nhi"
}

/// How often replicas ran a request.
pub(crate) fn ran(replicas: &[Replica], id: &str) -> usize {
    let runs = replicas.iter().flat_map(Replica::runs);
    runs.filter(|run| {
        run.asked
            .headers
            .get("request-id")
            .is_some_and(|have| have == id)
    })
    .count()
}

/// Reads an answer up to the piece that brings a text, and returns what has come.
pub(crate) fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut seen = String::new();
    let mut buffer = [0; 1_024];
    while !seen.contains(text) {
        let count = stream.read(&mut buffer).expect("a piece comes");
        assert!(count > 0, "{seen}");
        seen.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    seen
}

/// Reads an answer to its end.
pub(crate) fn read(mut stream: TcpStream) -> Answer {
    let mut bytes = Vec::new();
    // What came before an error counts.
    let reset = stream.read_to_end(&mut bytes).is_err();
    parse(&bytes, reset)
}

/// Takes the bytes of an answer apart, whose connection was reset or not.
pub(crate) fn parse(bytes: &[u8], reset: bool) -> Answer {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .unwrap_or(0);
    let (framing, whole) = match text.split_once("\r\n\r\n") {
        Some((head, body)) if head.to_ascii_lowercase().contains("chunked") => {
            (Framing::Chunked, body.ends_with("0\r\n\r\n"))
        }
        Some((head, body)) => match length(head) {
            Some(length) => (Framing::Length, length == body.len()),
            None => (Framing::Connection, false),
        },
        None => (Framing::Connection, false),
    };
    Answer {
        status,
        text,
        whole,
        framing,
        reset,
    }
}

fn length(head: &str) -> Option<usize> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut lengths = lines.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    lengths.next()?.1.trim().parse().ok()
}

/// Waits for a condition.
pub(crate) fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let from = Instant::now();
    while !condition() {
        assert!(from.elapsed() < PATIENCE, "not in time: {what}");
        std::thread::sleep(LOOK);
    }
}

/// The same with client accounts, each with the keys that it holds, which count requests, any number of them.
pub(crate) fn config_with(version: u64, accounts: &[(&str, &[&str])]) -> Value {
    let mut config = config(version);
    let accounts = accounts.iter();
    let accounts = accounts.map(|(name, keys)| json!({"name": name, "apiKeys": keys}));
    config["tenants"] = accounts.collect();
    config
}

/// A configuration with a route of each kind.
pub(crate) fn config(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u64, resumable: bool| {
        json!({
            "name": name, "host": "host.example", "prefix": format!("/{name}/"), "kind": kind, "timeoutMs": 8000,
            "targetLatencyMs": 1000, "priority": 1, "service": service, "maxAttempts": attempts,
            "resumable": resumable, "gapAimMs": 400,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("plan", "streaming", "drafts", 1, false), route("berth", "streaming", "drafts", 2, true),
            route("post", "unsafe", "desk", 1, false), route("query", "safe", "desk", 2, false),
        ],
        "services": [
            {"name": "drafts", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false,
             "engine": {"slots": 8, "kvCapacity": 100_000, "weightsMb": 1000.0, "adapterSlots": 2, "loadsPerS": 3.0,
                        "models": [{"name": "base", "weightsMb": 900.0, "loadS": 0.1, "adapters": 100, "adapterMb": 1.0}]}},
            {"name": "desk", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 1000, "idleTimeoutMs": 15000},
    })
}

fn ip(net: (u8, u8), host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, host))
}

/// The last part of the address of a VM.
fn vm_host(number: u8) -> u8 {
    match number.checked_sub(FIRST_VMS + 1) {
        None => number,
        Some(further) => NEXT_VMS + further,
    }
}

/// The settings file as the platform writes it.
pub(crate) fn settings_text(number: u8, ip: IpAddr, store: SocketAddr) -> String {
    format!(
        "nodeName = \"vm{number}\"\nrole = \"entry\"\nip = \"{ip}\"\nzone = \"north\"\nseeds = []\nportRange = [7380,7395]\nunknownField = 1\n\
         [listen]\nfront = \"{ip}:8149\"\nready = \"{ip}:8141\"\ncontrol = \"{ip}:8144\"\n\
         [limits]\ncpuShare = 0.25\nlinkMbps = 1000.0\n\
         [bounds]\nbudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 52\ngraceS = 8\nrequireFencing = true\n\
         [platform]\naddress = \"{store}\"\nttlMinMs = 1000\n"
    )
}
