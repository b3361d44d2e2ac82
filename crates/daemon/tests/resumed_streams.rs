//! Streams that go on while engines of two builds of their software serve, with entry VMs as processes and stand-ins of all
//! else. Events name the build that made them, so that a caller sees of which builds its stream is.

#[path = "platform/fleet.rs"]
mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use dahliastile_standin::fleet::Fault;

use fleet::{Fleet, Vm, read_until, request_with, until};

/// The pause before each event of a stream.
const PACE: Duration = Duration::from_millis(60);
/// How long callers wait until a stream counts as silent.
const SILENCE: Duration = Duration::from_secs(4);
/// Streams of a test.
const STREAMS: usize = 12;
/// Events of a whole stream.
const EVENTS: usize = 5;

/// A stream that a caller has left.
struct Left {
    id: String,
    text: String,
    vm: usize,
}

/// A fleet with two engines of each of two builds.
fn fleet(vms: u8) -> Fleet {
    let mut fleet = Fleet::start_ready(vms);
    for (engine, build) in ["v1", "v2"].into_iter().enumerate() {
        fleet.engines[engine].set_build(build);
        fleet.list_engine(engine, "ready");
    }
    for build in ["v2", "v1"] {
        fleet.add_engine(build);
    }
    for engine in &fleet.engines {
        engine.set_pace(PACE);
    }
    // Each adapter is somewhere before streams count.
    for number in 0..STREAMS {
        let vm = &fleet.vms[number % fleet.vms.len()];
        until("an adapter is served", || {
            let id = format!("warm{number}");
            vm.ask(&id, "/berth/x", Some(&model(number))).status == 200
        });
    }
    fleet
}

/// The adapter of a stream.
fn model(number: usize) -> String {
    format!("base/a{}", number % 4)
}

/// The builds that events name.
fn builds(text: &str) -> BTreeSet<&str> {
    text.lines()
        .filter_map(|line| line.strip_prefix("build: "))
        .collect()
}

/// Has callers read two events of streams and leave.
fn begin(fleet: &Fleet) -> Vec<Left> {
    let begun = (0..STREAMS).filter_map(|number| {
        let (id, vm) = (format!("first{number}"), number % fleet.vms.len());
        let headers = "Deadline-Ms: 10000\r\n";
        let text = request_with(&id, "/berth/x", Some(&model(number)), headers);
        let mut stream = fleet.vms[vm].open(&text)?;
        let text = read_until(&mut stream, "token 2");
        Some(Left { id, text, vm })
    });
    begun.collect()
}

/// Has callers resume their streams at VMs. Each is whole and of one build.
fn check_resumed(fleet: &Fleet, streams: &[Left], vm: impl Fn(&Left) -> usize) {
    let mut mixed = Vec::new();
    let mut whole = 0;
    for (number, left) in streams.iter().enumerate() {
        let headers = format!(
            "Deadline-Ms: 8000\r\nConnection: close\r\nLast-Event-Id: 2\r\nResumes: {}\r\n",
            left.id
        );
        let id = format!("again{number}");
        let request = request_with(&id, "/berth/x", Some(&model(number)), &headers);
        let at: &Vm = &fleet.vms[vm(left)];
        let answer = at.raw(&request);
        let stream = format!("{}{}", left.text, answer.body());
        if builds(&stream).len() > 1 {
            mixed.push(stream.clone());
        }
        let goes_on = answer.status == 200 && answer.whole;
        whole += usize::from(goes_on && stream.matches("token").count() >= EVENTS);
    }
    assert!(
        mixed.is_empty(),
        "{} of two builds: {mixed:#?}",
        mixed.len()
    );
    assert!(
        whole * 100 >= streams.len() * 95,
        "{whole} of {} went on",
        streams.len()
    );
}

/// Replaces the engines: others of both builds come, and those that began the streams leave.
fn change_engines(fleet: &mut Fleet) {
    for build in ["v2", "v1", "v1", "v2"] {
        let number = fleet.add_engine(build);
        fleet.engines[number].set_pace(PACE);
    }
    for engine in 0..4 {
        fleet.list_engine(engine, "draining");
    }
    std::thread::sleep(Duration::from_millis(1_500));
}

/// Guards against a VM that continues a stream at another build within one answer.
#[test]
fn stream_withinanswer() {
    let fleet = fleet(1);
    for engine in &fleet.engines {
        engine.set_fault(Fault::CutsStream);
    }
    let mut mixed = Vec::new();
    let mut continued = 0;
    for number in 0..STREAMS {
        let answer = fleet.vms[0].ask(&format!("cut{number}"), "/berth/x", Some(&model(number)));
        continued += usize::from(answer.text.contains("token 3"));
        if builds(&answer.text).len() > 1 {
            mixed.push(answer.text);
        }
    }
    assert!(
        mixed.is_empty(),
        "{} of two builds: {mixed:#?}",
        mixed.len()
    );
    assert!(continued * 2 >= STREAMS, "{continued} went on");
}

/// Guards against a VM that takes a stream that another VM began for a new request.
#[test]
fn stream_atanothervm() {
    let mut fleet = fleet(3);
    let streams = begin(&fleet);
    change_engines(&mut fleet);
    check_resumed(&fleet, &streams, |left| (left.vm + 1) % 3);
}

/// Guards against a build that is forgotten with the VM that began the stream.
#[test]
fn stream_aftervmkilled() {
    let mut fleet = fleet(3);
    let streams = begin(&fleet);
    change_engines(&mut fleet);
    fleet.vms[0].signal("-KILL");
    until("a VM is gone", || fleet.vms[0].ended().is_some());
    check_resumed(&fleet, &streams, |left| if left.vm == 1 { 2 } else { 1 });
}

/// Kills all VMs at once, and starts them again.
fn restart_all(fleet: &mut Fleet) {
    for vm in &fleet.vms {
        vm.signal("-KILL");
    }
    fleet.vms.clear();
    for number in 1..=3 {
        let vm = fleet.start(number, None);
        fleet.vms.push(vm);
    }
    for vm in &fleet.vms {
        until("a VM is ready", || vm.ready());
    }
    std::thread::sleep(SILENCE);
}

/// Guards against builds that are forgotten with all VMs.
#[test]
fn stream_afterallvmskilled() {
    let mut fleet = fleet(3);
    let streams = begin(&fleet);
    change_engines(&mut fleet);
    restart_all(&mut fleet);
    check_resumed(&fleet, &streams, |left| (left.vm + 1) % 3);
}

/// Guards against the same among entries of other programs, where pages of the list end at any of them.
#[test]
fn stream_afterallvmskilledamongoddentries() {
    let mut fleet = fleet(3);
    let streams = begin(&fleet);
    change_engines(&mut fleet);
    fleet.store.set_page_items(1);
    for name in [
        "dahliastile/build/x&y",
        "dahliastile/stream/a b/1",
        "servers/e1#x",
    ] {
        fleet.store.put_bytes(name, b"odd");
    }
    restart_all(&mut fleet);
    check_resumed(&fleet, &streams, |left| (left.vm + 1) % 3);
}
