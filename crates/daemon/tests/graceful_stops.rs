//! Entry VMs as processes that are told to end while requests wait, servers are silent, streams run and callers read slowly.

#[path = "platform/fleet.rs"]
mod fleet;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use dahliastile_body::Framing;
use dahliastile_standin::fleet::{Capacity, Fault};
use fleet::{
    Answer, Fleet, RECEIVE_BUFFER, parse, ran, read, read_until, request, request_with,
    settings_text, until,
};

/// The grace of VMs that are to end with requests open, in seconds: less than the time of a route.
const GRACE: u64 = 5;
/// How often a slow caller reads a part, and the pause after each: longer together than a VM still accepts connections after
/// it was told to end, and shorter than its usual grace.
const SLOW_READS: usize = 40;
const SLOW_PAUSE: Duration = Duration::from_millis(100);
/// The size of a large answer, and that of each event of a large stream, in bytes: more than the system holds.
const LARGE: usize = 900_000;
const LARGE_EVENT: usize = 100_000;

/// A time after a VM was told to end at which it still takes connections in: it does for 2.5 s.
const BEFORE_LEAVE: Duration = Duration::from_millis(2_200);
/// By when a VM without requests has ended: 2.5 s, half a second for the first request of a new connection, or a second for a head
/// that is being sent, and as much for a busy machine. The end of its grace would be after 7.7 s.
const IDLE_END: Duration = Duration::from_millis(4_500);

/// A fleet that is ready, whose VMs have a short grace.
fn fleet(vms: u8) -> Fleet {
    fleet_with(vms, GRACE)
}

/// The same with a grace in seconds.
fn fleet_with(vms: u8, grace: u64) -> Fleet {
    let mut fleet = Fleet::servers();
    for number in 1..=vms {
        let usual = settings_text(
            number,
            fleet.address(number, 0).ip(),
            fleet.address(250, 8142),
        );
        let settings = usual.replace("graceS = 8", &format!("graceS = {grace}"));
        let vm = fleet.start(number, Some(&settings));
        fleet.vms.push(vm);
    }
    fleet.store.put("op/config", &fleet::config(1));
    for vm in &fleet.vms {
        until("a VM is ready", || vm.ready());
    }
    until("an engine service has a scheduler", || {
        fleet.holder().is_some()
    });
    fleet
}

/// Waits until a VM has ended as it should.
fn check_ended(fleet: &mut Fleet, vm: usize) {
    until("it has ended", || !fleet.vms[vm].runs());
    assert_eq!(fleet.vms[vm].ended(), Some(0));
}

/// Guards against a process that ends while requests wait for a placement: they were not run, and their callers are told so.
#[test]
fn terminate_waitingforaplacement() {
    let mut fleet = fleet(3);
    let holder = fleet.holder().expect("a holder");
    let vm = (holder + 1) % 3;
    // Without the key-value service no other VM becomes the scheduler.
    fleet.store.set_down(true);
    fleet.vms[holder].signal("-KILL");
    until("it has ended", || !fleet.vms[holder].runs());
    let open = |id| fleet.vms[vm].open(&request(id, "/plan/x", Some("base/a7")));
    let before = open("before").expect("a connection");
    fleet.vms[vm].signal("-TERM");
    until("it says that it is leaving", || !fleet.vms[vm].ready());
    let after = open("after").expect("a connection");
    for (id, stream) in [("before", before), ("after", after)] {
        let answer = read(stream);
        assert_eq!(
            (answer.status, answer.whole),
            (503, true),
            "{id}: {}",
            answer.text
        );
        let text = answer.text.to_lowercase();
        assert!(text.contains("retry-after: "), "{id}: {text}");
        assert_eq!(ran(&fleet.engines, id), 0, "{id}");
    }
    check_ended(&mut fleet, vm);
}

/// Guards against a process that ends while servers have requests and send nothing: these may have run, and their callers
/// are told so.
#[test]
fn terminate_atsilentservers() {
    let mut fleet = fleet(1);
    let warm = fleet.vms[0].ask("warm", "/plan/x", Some("base/a1"));
    assert_eq!(warm.status, 200, "{}", warm.text);
    for server in fleet.engines.iter().chain(&fleet.plain) {
        server.set_fault(Fault::Silent);
    }
    let routes = [
        ("post", None),
        ("query", None),
        ("plan", Some("base/a1")),
        ("berth", Some("base/a1")),
    ];
    let runs = |id: &str| ran(&fleet.engines, id) + ran(&fleet.plain, id);
    let open = |route: &str, model| {
        let text = request(route, &format!("/{route}/x"), model);
        fleet.vms[0].open(&text).expect("a connection")
    };
    let streams = routes.map(|(route, model)| (route, open(route, model)));
    for (route, _) in routes {
        until("a server has it", || runs(route) > 0);
    }
    fleet.vms[0].signal("-TERM");
    for (route, stream) in streams {
        let answer = read(stream);
        assert!(
            matches!(answer.status, 502 | 504) && answer.whole,
            "{route}: {}",
            answer.text
        );
    }
    check_ended(&mut fleet, 0);
}

/// Guards against streams that look whole because their process ended in the middle of them, with and without chunks.
#[test]
fn terminate_breaksstreamsoffvisibly() {
    let mut fleet = fleet(1);
    for (number, framing) in [Framing::Chunked, Framing::Connection]
        .into_iter()
        .enumerate()
    {
        fleet.engines[number].set_framing(framing);
        fleet.engines[number].set_pace(Duration::from_secs(2));
    }
    let mut streams = Vec::new();
    for path in ["/plan/x", "/berth/x"] {
        for adapter in 0..4 {
            let id = format!("{path}{adapter}");
            let text = request(&id, path, Some(&format!("base/a{adapter}")));
            streams.push(fleet.vms[0].open(&text).expect("a connection"));
        }
    }
    let begun = streams
        .iter_mut()
        .map(|stream| read_until(stream, "token 1"));
    let in_chunks: Vec<bool> = begun.map(|text| text.contains("chunked")).collect();
    assert!(in_chunks.contains(&true) && in_chunks.contains(&false));
    fleet.vms[0].signal("-TERM");
    for (stream, in_chunks) in streams.into_iter().zip(in_chunks) {
        let answer = read(stream);
        let has_end = answer.text.contains("token 5") || answer.text.ends_with("0\r\n\r\n");
        // Without chunks only a reset shows that more was to come.
        assert!(!has_end && (in_chunks || answer.reset), "{}", answer.text);
    }
    check_ended(&mut fleet, 0);
}

/// Reads a part of an answer and pauses.
fn read_part(stream: &mut TcpStream, bytes: &mut Vec<u8>) {
    let mut part = [0; RECEIVE_BUFFER / 2];
    let count = stream.read(&mut part).expect("the answer goes on");
    bytes.extend_from_slice(&part[..count]);
    std::thread::sleep(SLOW_PAUSE);
}

/// Reads an answer that its server has completed slowly until a VM without requests in progress would have ended, then the rest.
fn read_slowly(fleet: &mut Fleet, text: &str) -> Answer {
    let mut stream = fleet.vms[0].open_slowly(text);
    let mut bytes = Vec::new();
    // It reads all the while: the system breaks a connection whose other side takes nothing for 2.5 s, which may pass on a busy
    // machine until the server is done.
    until("the server has completed it", || {
        read_part(&mut stream, &mut bytes);
        let figures = fleet.vms[0].figures();
        figures.contains("dahliastile_answered_total{")
    });
    fleet.vms[0].signal("-TERM");
    for _ in 0..SLOW_READS {
        read_part(&mut stream, &mut bytes);
    }
    let reset = stream.read_to_end(&mut bytes).is_err();
    check_ended(fleet, 0);
    parse(&bytes, reset)
}

/// Guards against a process that ends before its caller has read an answer that the server has completed.
#[test]
fn terminate_callerreadsalargeanswer() {
    let mut fleet = Fleet::start_ready(1);
    fleet
        .plain
        .iter()
        .for_each(|server| server.set_padding(LARGE));
    let answer = read_slowly(&mut fleet, &request("large", "/post/x", None));
    assert_eq!((answer.status, answer.whole), (200, true));
    assert!(answer.body().len() > LARGE, "{}", answer.body().len());
}

/// Guards against the same with a stream, whose last events wait in the VM for its caller.
#[test]
fn terminate_callerreadsalargestream() {
    let mut fleet = Fleet::start_ready(1);
    fleet
        .engines
        .iter()
        .for_each(|engine| engine.set_padding(LARGE_EVENT));
    let text = request("large", "/plan/x", Some("base/a1"));
    let answer = read_slowly(&mut fleet, &text);
    assert_eq!((answer.status, answer.whole), (200, true));
    assert!(answer.text.contains("token 5"));
}

/// Guards against a process that waits past its grace for a caller that reads slowly, and an answer cut by its end that looks
/// whole.
#[test]
fn terminate_callerreadstooslowly() {
    let mut fleet = fleet(1);
    fleet
        .plain
        .iter()
        .for_each(|server| server.set_padding(LARGE));
    let text = request("large", "/post/x", None);
    let mut stream = fleet.vms[0].open_slowly(&text);
    until("the server has it", || ran(&fleet.plain, "large") == 1);
    fleet.vms[0].signal("-TERM");
    let mut bytes = Vec::new();
    until("it has ended", || {
        read_part(&mut stream, &mut bytes);
        !fleet.vms[0].runs()
    });
    check_ended(&mut fleet, 0);
    let reset = stream.read_to_end(&mut bytes).is_err();
    let answer = parse(&bytes, reset);
    assert_eq!((answer.status, answer.whole), (200, false));
}

/// Guards against a VM without requests that waits for the end of its grace, as connections of callers are open on which
/// nothing is asked: kept ones, and one on which nothing has come.
#[test]
fn terminate_connectionsidle() {
    let mut fleet = Fleet::start_ready(1);
    let mut streams: Vec<TcpStream> = (0..8)
        .map(|number| {
            let headers = "Deadline-Ms: 10000\r\n";
            let text = request_with(&format!("kept{number}"), "/post/x", None, headers);
            let mut stream = fleet.vms[0].open(&text).expect("a connection");
            read_until(&mut stream, "\r\n\r\n");
            stream
        })
        .collect();
    fleet.vms[0].signal("-TERM");
    let told = Instant::now();
    std::thread::sleep(BEFORE_LEAVE);
    streams.extend(fleet.vms[0].open(""));
    check_ended(&mut fleet, 0);
    assert!(told.elapsed() < IDLE_END, "{:?}", told.elapsed());
    assert_eq!(streams.len(), 9);
}

/// Guards against the same with a head that its caller does not finish: it has its usual time.
#[test]
fn terminate_headunfinished() {
    let mut fleet = Fleet::start_ready(1);
    fleet.vms[0].signal("-TERM");
    let told = Instant::now();
    std::thread::sleep(BEFORE_LEAVE);
    let head = "POST /post/x HTTP/1.1\r\nHost: host.exa";
    let stream = fleet.vms[0].open(head).expect("a connection");
    check_ended(&mut fleet, 0);
    assert!(told.elapsed() < IDLE_END, "{:?}", told.elapsed());
    drop(stream);
}

/// Guards against a VM whose grace is shorter than the time in which it usually takes connections in: it takes them until it is
/// killed, and cuts what is on them off.
#[test]
fn terminate_shortgrace() {
    let grace = Duration::from_secs(2);
    let mut fleet = fleet_with(1, grace.as_secs());
    fleet.vms[0].signal("-TERM");
    let told = Instant::now();
    check_ended(&mut fleet, 0);
    assert!(told.elapsed() < grace, "{:?}", told.elapsed());
}

/// A time after a VM was told to end when it takes no more connections in, and before half of its grace.
const AFTER_LEAVE: Duration = Duration::from_millis(3_200);

/// Guards against a request that comes late in the grace, as its body does on a connection that the VM has taken in before, and
/// that is passed on though its server may work on it beyond the end of the process: it is refused as not run when it is read.
#[test]
fn terminate_requestcompletedlate() {
    let mut fleet = Fleet::start_ready(2);
    let vm = 1 - fleet.holder().expect("a holder");
    for engine in &fleet.engines {
        engine.set_pace(Duration::from_secs(1));
    }
    for server in &fleet.plain {
        server.set_capacity(Capacity {
            slots: 8,
            queue: 8,
            work: LONG_WORK,
        });
    }
    let routes = [
        ("plan", Some("base/a1")),
        ("berth", Some("base/a1")),
        ("post", None),
    ];
    // From now on it is known that these requests take five seconds and more.
    let warm = routes.map(|(route, model)| {
        let text = request(&format!("warm-{route}"), &format!("/{route}/x"), model);
        fleet.vms[vm].open(&text).expect("a connection")
    });
    for stream in warm {
        let answer = read(stream);
        assert!(answer.status == 200 && answer.whole, "{}", answer.text);
    }
    fleet.vms[vm].signal("-TERM");
    let told = Instant::now();
    std::thread::sleep(BEFORE_LEAVE);
    let mut streams = routes.map(|(route, model)| {
        let text = request(route, &format!("/{route}/x"), model);
        let (begin, rest) = text.split_at(text.len() - 1);
        let stream = fleet.vms[vm].open(begin).expect("a connection");
        (route, stream, rest.to_owned())
    });
    std::thread::sleep(AFTER_LEAVE.saturating_sub(told.elapsed()));
    for (_, stream, rest) in &mut streams {
        stream.write_all(rest.as_bytes()).expect("it is read");
    }
    let mut broken = Vec::new();
    for (route, stream, _) in streams {
        let answer = read(stream);
        let runs = ran(&fleet.engines, route) + ran(&fleet.plain, route);
        let is_refused = answer.text.to_lowercase().contains("retry-after: ");
        if (answer.status, answer.whole, is_refused, runs) != (503, true, true, 0) {
            broken.push(format!("{route} ran {runs} times: {:?}", answer.text));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
    check_ended(&mut fleet, vm);
}

/// How long a server works on a request, less than its route allows, and a time after a VM was told to end from which on such a
/// request does not end before its process.
const LONG_WORK: Duration = Duration::from_secs(6);
const TOO_LATE: Duration = Duration::from_secs(2);

/// Guards against requests that come while a VM still takes connections in, and are passed on though it is known how long such
/// requests take, and that their process ends before: they are refused as not run when they are read, and others are served.
#[test]
fn terminate_requestthatcantend() {
    let mut fleet = Fleet::start_ready(2);
    for server in &fleet.plain {
        server.set_capacity(Capacity {
            slots: 8,
            queue: 8,
            work: LONG_WORK,
        });
    }
    let ask = |id: &str| {
        let headers = "Deadline-Ms: 10000\r\n";
        fleet.vms[0]
            .open(&request_with(id, "/post/x", None, headers))
            .expect("a connection")
    };
    let mut before = ask("before");
    read_until(&mut before, "answer of");
    fleet.vms[0].signal("-TERM");
    let early = ask("early");
    std::thread::sleep(TOO_LATE);
    let late = ask("late");
    let late = read(late);
    assert_eq!((late.status, late.whole), (503, true), "{}", late.text);
    assert!(
        late.text.to_lowercase().contains("retry-after: "),
        "{}",
        late.text
    );
    assert_eq!(ran(&fleet.plain, "late"), 0);
    let early = read(early);
    assert_eq!((early.status, early.whole), (200, true), "{}", early.text);
    check_ended(&mut fleet, 0);
}
