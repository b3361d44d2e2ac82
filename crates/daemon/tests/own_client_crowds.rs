//! Crowds of clients that don't behave, at the own interface of an entry VM that runs as a process: it lives and stays within
//! the memory and the descriptors of its machine, and ordinary callers are served. One test runs at a time.

mod crowd;
#[path = "processes/process.rs"]
#[allow(dead_code, reason = "each test program uses its own part")]
mod process;
mod support;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crowd::{BODY, Crowd, Door, Kind, Watch, alone, eventually};
use dahliastile_standin::plain;
use process::Process;
use serde_json::Value;
use support::{Reply, Site, bearer, get, parse, post_operator, request};

/// The longest wait for an ordinary request to be served.
const PATIENCE: Duration = Duration::from_mins(1);
/// The size of an answer that nobody reads, in bytes.
const ANSWER: usize = 900_000;
/// What the machine has, and what clients may send.
const LIMITS: &str = "limits: { body_bytes: 1048576, header_bytes: 16384, answer_bytes: 1048576, \
     memory_mb: 80, descriptors: 600 }\n";

/// An entry VM on a machine with little memory and few descriptors, among stand-ins.
struct Stage {
    site: Site,
    vm: Process,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

impl Stage {
    fn start() -> Self {
        static LAST: AtomicU64 = AtomicU64::new(0);
        let number = LAST.fetch_add(1, Ordering::Relaxed);
        let site = Site::start();
        let text = site
            .text()
            .replace("level: 'off'", "format: json, level: info")
            + LIMITS;
        let name = format!("crowd-{}-{number}.yaml", std::process::id());
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&path, text).expect("the settings are written");
        let program = env!("CARGO_BIN_EXE_dahliastiled");
        let mut vm = Process::start_logging(Command::new(program).arg("--settings").arg(&path));
        let line = vm.line(|line| line.contains("callers="));
        let _ = fs::remove_file(&path);
        let line: Value = serde_json::from_str(&line).expect("a line in JSON");
        let words = line["detail"].as_str().expect("a text").to_owned();
        let address = |name: &str| -> SocketAddr {
            let mut pairs = words.split(' ').filter_map(|word| word.split_once('='));
            let (_, value) = pairs.find(|(key, _)| *key == name).expect("an address");
            value.parse().expect("an address")
        };
        let (callers, operators) = (address("callers"), address("operators"));
        let peers = address("peers");
        let answer = post_operator(operators, &site.first_edit());
        assert_eq!(answer.status, 200, "{}", answer.text());
        eventually("the VM is ready", PATIENCE, || {
            get(operators, "/readyz").status == 200
        });
        Self {
            site,
            vm,
            callers,
            operators,
            peers,
        }
    }

    /// Requests of callers to the plain service.
    fn callers(&self) -> Door {
        let head = format!(
            "POST /services/berths/book HTTP/1.1\r\nHost: test\r\n{}\r\n",
            bearer()
        );
        Door {
            address: self.callers,
            head,
        }
    }

    /// An ordinary request; none where its connection was refused.
    fn ordinary(&self) -> Option<Reply> {
        let bytes = request(
            "POST",
            "/services/berths/book",
            &[&bearer()],
            "{\"quay\":7}",
        );
        exchange(self.callers, &bytes)
    }

    /// Has a crowd come and go, and checks what the process took, and that it serves.
    fn check(&mut self, kind: Kind, door: &Door) {
        let watch = Watch::begin(self.vm.id());
        let crowd = Crowd::come(kind, door);
        println!("{kind:?}: statuses {:?}", crowd.statuses);
        crowd.leave();
        eventually("an ordinary request is served", PATIENCE, || {
            self.ordinary().is_some_and(|reply| reply.status == 200)
        });
        watch.end().expect("the process runs").check();
    }
}

/// Sends bytes and reads what comes; none where no answer came.
fn exchange(address: SocketAddr, bytes: &[u8]) -> Option<Reply> {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(bytes).ok()?;
    let mut answer = Vec::new();
    // What came before an error counts.
    let _ = stream.read_to_end(&mut answer);
    answer
        .windows(4)
        .any(|bytes| bytes == b"\r\n\r\n")
        .then(|| parse(&answer))
}

/// Checks a crowd of a kind at the callers' listener.
fn check_callers(kind: Kind) {
    let _alone = alone();
    let mut stage = Stage::start();
    let door = stage.callers();
    stage.check(kind, &door);
}

/// Checks a crowd of a kind at the operators' listener, whose clients don't know the operators' token.
fn check_operators(kind: Kind) {
    let _alone = alone();
    let mut stage = Stage::start();
    let door = Door {
        address: stage.operators,
        head: "POST /operator HTTP/1.1\r\nHost: test\r\n".to_owned(),
    };
    stage.check(kind, &door);
    eventually("an operator is answered", PATIENCE, || {
        let token = format!("Authorization: Bearer {}", support::OPERATOR);
        let bytes = request("POST", "/operator", &[&token], "\"status\"");
        exchange(stage.operators, &bytes).is_some_and(|reply| reply.status == 200)
    });
}

/// Guards against bodies inside the limits that together take more memory than the machine has.
#[test]
fn own_wholebodies() {
    check_callers(Kind::Whole);
}

/// The same where they come piece by piece.
#[test]
fn own_bodiesinpieces() {
    check_callers(Kind::Pieces);
}

/// The same where they come in chunks.
#[test]
fn own_largechunks() {
    check_callers(Kind::LargeChunks);
}

/// The same where a chunk costs many times its byte.
#[test]
fn own_smallchunks() {
    check_callers(Kind::SmallChunks);
}

/// Guards against bodies over the limit that are taken in although their heads announce their length.
#[test]
fn own_oversizedannounced() {
    check_callers(Kind::Announced);
}

/// The same where nothing announces it.
#[test]
fn own_oversizedunannounced() {
    check_callers(Kind::Unannounced);
}

/// Guards against heads without end that take all descriptors.
#[test]
fn own_unfinishedheads() {
    check_callers(Kind::Heads);
}

/// The same with connections on which nothing comes.
#[test]
fn own_silentconnections() {
    check_callers(Kind::Silence);
}

/// Guards against answers that are held for clients that don't read them.
#[test]
fn own_unreadanswers() {
    let _alone = alone();
    let mut stage = Stage::start();
    stage.site.plain.fault(plain::Fault::Padding(ANSWER));
    let door = stage.callers();
    stage.check(Kind::Unread, &door);
}

/// Guards against bodies at the operators' listener that hold its threads or its memory.
#[test]
fn operators_wholebodies() {
    check_operators(Kind::Whole);
}

/// Guards against connections at the operators' listener on which nothing comes.
#[test]
fn operators_silentconnections() {
    check_operators(Kind::Silence);
}

/// Guards against connections on which nothing comes, at the listener for other VMs, that take all descriptors.
#[test]
fn ownlinks_silentconnections() {
    let _alone = alone();
    let mut stage = Stage::start();
    let door = Door {
        address: stage.peers,
        head: String::new(),
    };
    stage.check(Kind::Silence, &door);
}

/// Guards against a body that costs many times its bytes when it is read as JSON.
#[test]
fn own_nestedjson() {
    let _alone = alone();
    let mut stage = Stage::start();
    let watch = Watch::begin(stage.vm.id());
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: test\r\n{}\r\n",
        bearer()
    );
    let items = "{\"\":0},".repeat(BODY / 8);
    let body = format!("{{\"model\":\"lock@3\",\"messages\":[{items}0]}}");
    let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    std::thread::scope(|scope| {
        for _ in 0..crowd::BODIES / 8 {
            scope.spawn(|| exchange(stage.callers, text.as_bytes()));
        }
    });
    eventually("an ordinary request is served", PATIENCE, || {
        stage.ordinary().is_some_and(|reply| reply.status == 200)
    });
    watch.end().expect("the process runs").check();
    stage.vm.kill();
}

/// Guards against small requests that are refused while a crowd holds all the memory, threads or connections.
#[test]
fn own_smallrequestwhilecrowdstands() {
    let _alone = alone();
    let stage = Stage::start();
    for kind in [Kind::Whole, Kind::Silence] {
        let crowd = Crowd::come(kind, &stage.callers());
        eventually("a small request is served", PATIENCE, || {
            stage.ordinary().is_some_and(|reply| reply.status == 200)
        });
        crowd.leave();
    }
}

/// Guards against a limit that a request meets which is alone and inside the limits of the settings.
#[test]
fn own_largestrequestincalm() {
    let _alone = alone();
    let stage = Stage::start();
    let body = "b".repeat(BODY);
    let bytes = request("POST", "/services/berths/book", &[&bearer()], &body);
    let reply = exchange(stage.callers, &bytes).expect("an answer");
    assert_eq!(reply.status, 200, "{}", reply.text());
}

/// Guards against operators who are turned away while answers that nobody reads take all the room.
#[test]
fn operator_whileanswersunread() {
    let _alone = alone();
    let stage = Stage::start();
    stage.site.plain.fault(plain::Fault::Padding(ANSWER));
    let crowd = Crowd::come(Kind::Unread, &stage.callers());
    let token = format!("Authorization: Bearer {}", support::OPERATOR);
    let bytes = request("GET", "/metrics", &[&token], "");
    let reply = exchange(stage.operators, &bytes);
    assert_eq!(reply.map(|reply| reply.status), Some(200));
    crowd.leave();
}
