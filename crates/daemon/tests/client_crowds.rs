//! Crowds of clients that don't behave, at an entry VM on the platform: its process lives and stays within the memory and the
//! descriptors of its machine, and ordinary callers are served. One test runs at a time.

mod crowd;
#[path = "platform/fleet.rs"]
mod fleet;

use std::time::Duration;

use crowd::{BODY, Crowd, DESCRIPTORS, Door, HEAD, Kind, MEMORY_MB, Watch, alone, eventually};
use fleet::{Answer, Fleet, config, ran, read, request_with, settings_text, until};

/// The longest wait for an ordinary request to be served.
const PATIENCE: Duration = Duration::from_secs(30);
/// The size of an answer that nobody reads, and that of each event of a stream, in bytes.
const ANSWER: usize = 900_000;
const EVENT: usize = 100_000;
/// How long a head may take, in milliseconds.
const HEAD_TIME_MS: u64 = 3_000;
/// The port that VMs have for attempts of each other.
const RELAYS: u16 = 7380;

/// A VM on a machine with little memory and few descriptors.
fn small_machine() -> Fleet {
    small_machine_with(HEAD)
}

/// The same, with a limit on heads.
fn small_machine_with(head: usize) -> Fleet {
    let mut fleet = Fleet::servers();
    let mut operators = config(1);
    operators["limits"]["maxBodyBytes"] = BODY.into();
    operators["limits"]["maxHeaderBytes"] = head.into();
    operators["limits"]["headerTimeoutMs"] = HEAD_TIME_MS.into();
    fleet.store.put("op/config", &operators);
    let ip = fleet.address(1, 0).ip();
    let limits = format!("[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {DESCRIPTORS}\n");
    let text = settings_text(1, ip, fleet.address(250, 8142)).replace("[limits]\n", &limits);
    let vm = fleet.start(1, Some(&text));
    fleet.vms.push(vm);
    until("the VM is ready", || fleet.vms[0].ready());
    until("the engines have a scheduler", || fleet.holder().is_some());
    fleet
}

/// Requests of callers to a path.
fn callers(fleet: &Fleet, path: &str) -> Door {
    let head = format!("POST {path} HTTP/1.1\r\nHost: host.example\r\nRequest-Id: crowd-#\r\n");
    let model = if path.starts_with("/plan") {
        "Model: base/a1\r\nToken-Count: 100,20\r\n"
    } else {
        ""
    };
    Door {
        address: fleet.address(1, 8149),
        head: head + model,
    }
}

/// Requests at the port for other VMs.
fn relays(fleet: &Fleet) -> Door {
    let mut door = callers(fleet, "/query/x");
    door.address = fleet.address(1, RELAYS);
    door.head.push_str("Dahliastile-Relay-Server: p0\r\n");
    door
}

/// An ordinary request.
fn ordinary(fleet: &Fleet, id: &str) -> Answer {
    let headers = "Deadline-Ms: 5000\r\nConnection: close\r\n";
    fleet.vms[0].raw(&request_with(id, "/query/x", None, headers))
}

/// Has a crowd come and go, and checks what the process took, and that it serves.
fn check(fleet: &mut Fleet, kind: Kind, door: &Door) {
    let watch = Watch::begin(fleet.vms[0].id());
    let crowd = Crowd::come(kind, door);
    println!("{kind:?}: statuses {:?}", crowd.statuses);
    assert!(fleet.vms[0].runs(), "the process has ended");
    crowd.leave();
    eventually("an ordinary request is served", PATIENCE, || {
        ordinary(fleet, "after").status == 200
    });
    assert!(fleet.vms[0].runs(), "the process has ended");
    watch.end().expect("the process runs").check();
}

/// Checks a crowd of a kind at the callers' port.
fn check_callers(kind: Kind) {
    let _alone = alone();
    let mut fleet = small_machine();
    let door = callers(&fleet, "/query/x");
    check(&mut fleet, kind, &door);
}

/// Checks a crowd of a kind at the port for other VMs.
fn check_relays(kind: Kind) {
    let _alone = alone();
    let mut fleet = small_machine();
    let door = relays(&fleet);
    check(&mut fleet, kind, &door);
}

/// Guards against bodies inside the limits that together take more memory than the machine has.
#[test]
fn callers_wholebodies() {
    check_callers(Kind::Whole);
}

/// The same where they come piece by piece.
#[test]
fn callers_bodiesinpieces() {
    check_callers(Kind::Pieces);
}

/// The same where they come in chunks.
#[test]
fn callers_largechunks() {
    check_callers(Kind::LargeChunks);
}

/// The same where a chunk costs many times its byte.
#[test]
fn callers_smallchunks() {
    check_callers(Kind::SmallChunks);
}

/// Guards against bodies over the limit that are taken in although their heads announce their length.
#[test]
fn callers_oversizedannounced() {
    check_callers(Kind::Announced);
}

/// The same where nothing announces it.
#[test]
fn callers_oversizedunannounced() {
    check_callers(Kind::Unannounced);
}

/// Guards against heads without end that take all descriptors.
#[test]
fn callers_unfinishedheads() {
    check_callers(Kind::Heads);
}

/// Guards against large heads without end that together take more memory than the machine has.
#[test]
fn callers_largeheads() {
    let _alone = alone();
    let mut fleet = small_machine_with(BODY);
    let door = callers(&fleet, "/query/x");
    check(&mut fleet, Kind::LargeHeads, &door);
}

/// Guards against connections on which nothing comes that take all descriptors.
#[test]
fn callers_silentconnections() {
    check_callers(Kind::Silence);
}

/// Guards against answers that are held for clients that don't read them.
#[test]
fn callers_unreadanswers() {
    let _alone = alone();
    let mut fleet = small_machine();
    fleet.plain.iter().for_each(|p| p.set_padding(ANSWER));
    let door = callers(&fleet, "/query/x");
    check(&mut fleet, Kind::Unread, &door);
}

/// The same with streams.
#[test]
fn callers_unreadstreams() {
    let _alone = alone();
    let mut fleet = small_machine();
    fleet.engines.iter().for_each(|e| e.set_padding(EVENT));
    let door = callers(&fleet, "/plan/x");
    check(&mut fleet, Kind::Unread, &door);
}

/// Guards against what [`callers_wholebodies`] does, at the port for other VMs.
#[test]
fn relays_wholebodies() {
    check_relays(Kind::Whole);
}

/// The same where they come piece by piece.
#[test]
fn relays_bodiesinpieces() {
    check_relays(Kind::Pieces);
}

/// The same where they come in chunks.
#[test]
fn relays_largechunks() {
    check_relays(Kind::LargeChunks);
}

/// The same where a chunk costs many times its byte.
#[test]
fn relays_smallchunks() {
    check_relays(Kind::SmallChunks);
}

/// Guards against bodies over the limit at the port for other VMs.
#[test]
fn relays_oversizedannounced() {
    check_relays(Kind::Announced);
}

/// The same where nothing announces it.
#[test]
fn relays_oversizedunannounced() {
    check_relays(Kind::Unannounced);
}

/// Guards against heads without end that take all descriptors at the port for other VMs.
#[test]
fn relays_unfinishedheads() {
    check_relays(Kind::Heads);
}

/// The same with connections on which nothing comes.
#[test]
fn relays_silentconnections() {
    check_relays(Kind::Silence);
}

/// Guards against connections on which nothing comes, at the ports for the platform's questions, that take all descriptors.
#[test]
fn probes_silentconnections() {
    let _alone = alone();
    let mut fleet = small_machine();
    for port in [8141, 9464] {
        let door = Door {
            address: fleet.address(1, port),
            head: String::new(),
        };
        check(&mut fleet, Kind::Silence, &door);
    }
}

/// The same at the port for links of other VMs.
#[test]
fn links_silentconnections() {
    let _alone = alone();
    let mut fleet = small_machine();
    let door = Door {
        address: fleet.address(1, 8144),
        head: String::new(),
    };
    check(&mut fleet, Kind::Silence, &door);
}

/// Guards against small requests that are refused while a crowd holds all the memory for bodies.
#[test]
fn smallrequest_whilecrowdstands() {
    let _alone = alone();
    let fleet = small_machine();
    for kind in [Kind::Whole, Kind::SmallChunks, Kind::Silence] {
        let crowd = Crowd::come(kind, &callers(&fleet, "/query/x"));
        eventually("a small request is served", PATIENCE, || {
            ordinary(&fleet, "small").status == 200
        });
        crowd.leave();
    }
}

/// Guards against a limit that a request meets which is alone and inside the limits of the pages.
#[test]
fn largestrequest_incalm() {
    let _alone = alone();
    let fleet = small_machine();
    for (number, framing) in ["length", "chunks"].into_iter().enumerate() {
        let head = format!(
            "POST /query/x HTTP/1.1\r\nHost: host.example\r\nRequest-Id: large{number}\r\nDeadline-Ms: 5000\r\nConnection: close\r\n"
        );
        let body = "b".repeat(BODY);
        let text = match framing {
            "length" => format!("{head}Content-Length: {BODY}\r\n\r\n{body}"),
            _ => format!("{head}Transfer-Encoding: chunked\r\n\r\n{BODY:x}\r\n{body}\r\n0\r\n\r\n"),
        };
        assert_eq!(fleet.vms[0].raw(&text).status, 200, "{framing}");
    }
}

/// Guards against a VM that starts on a machine that is too small for it, and ends later.
#[test]
fn start_machinetoosmall() {
    let _alone = alone();
    let fleet = Fleet::servers();
    let ip = fleet.address(1, 0).ip();
    let text = settings_text(1, ip, fleet.address(250, 8142));
    let text = text.replace("[limits]\n", "[limits]\nmemoryMb = 16\n");
    let mut vm = fleet.start(1, Some(&text));
    until("it has ended", || !vm.runs());
    assert_eq!(vm.ended(), Some(1));
}

/// Guards against small requests that find no room beside streams that nobody reads.
#[test]
fn smallrequest_whilestreamsunread() {
    let _alone = alone();
    let fleet = small_machine();
    fleet.engines.iter().for_each(|e| e.set_padding(EVENT));
    let crowd = Crowd::come(Kind::Unread, &callers(&fleet, "/plan/x"));
    eventually("a small request is served", PATIENCE, || {
        ordinary(&fleet, "small").status == 200
    });
    crowd.leave();
}

/// Guards against a refusal beside a crowd that promises that a request has not run, though it has or does so later.
#[test]
fn refusal_isnotrun() {
    let _alone = alone();
    let fleet = small_machine();
    let crowd = Crowd::come(Kind::Whole, &callers(&fleet, "/post/x"));
    let statuses = crowd.statuses.clone();
    crowd.leave();
    eventually("an ordinary request is served", PATIENCE, || {
        ordinary(&fleet, "after").status == 200
    });
    assert!(!statuses.is_empty());
    for (number, status) in statuses {
        let runs = ran(&fleet.plain, &format!("crowd-{number}"));
        assert!([200, 503].contains(&status), "{status}");
        assert_eq!(runs, usize::from(status == 200), "{number}: {status}");
    }
}

/// Guards against a request that stays for ever as its body comes no further.
#[test]
fn body_comesnofurther() {
    let _alone = alone();
    let fleet = small_machine();
    let mut operators = config(2);
    operators["limits"]["idleTimeoutMs"] = 1_000.into();
    fleet.store.put("op/config", &operators);
    let door = callers(&fleet, "/post/x");
    until("the body is given up", || {
        let text = format!("{}Content-Length: 10\r\n\r\nhalf", door.head);
        let stream = fleet.vms[0].open(&text).expect("it listens");
        let patience = Duration::from_secs(3);
        stream.set_read_timeout(Some(patience)).expect("a timeout");
        let answer = read(stream);
        answer.status == 408
            && answer
                .text
                .to_ascii_lowercase()
                .contains("connection: close")
    });
    assert_eq!(ran(&fleet.plain, "crowd-#"), 0);
}
