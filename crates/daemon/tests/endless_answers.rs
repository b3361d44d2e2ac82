//! A server in trouble that sends bytes without end, as fast as they are read, in place of answers: it may take little memory
//! and processor time of a VM, and other servers' requests are served as before.

#[path = "platform/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use dahliastile_standin::fleet::{Fault, Flood};
use fleet::{Fleet, request_with, until};

/// The memory of a VM that such a server may take, in bytes.
const MEMORY: usize = 4 << 20;
/// The share of a core that it may take, in percent.
const PROCESSOR_PERCENT: u32 = 10;
/// The share of requests that are served, in percent.
const SERVED_PERCENT: usize = 95;
/// Requests of a round.
const REQUESTS: usize = 40;
/// The pause between two of them.
const PAUSE: Duration = Duration::from_millis(50);

/// Headers of requests to servers that flood, which wait no longer than others take.
const SOON: &str = "Deadline-Ms: 500\r\nConnection: close\r\n";

/// A route, and the adapter that is asked for; `#` stands for the number of the request.
type Target = (&'static str, Option<&'static str>);

/// Requests of plain services, which no flood of an engine may concern.
const PLAIN: Target = ("/query/x", None);
/// Streams that may go on at another engine.
const STREAMS: Target = ("/berth/x", Some("base/a1"));
/// Streams each of which needs an order to an engine first.
const COLD_STREAMS: Target = ("/berth/x", Some("base/c#"));

/// How a round of requests went.
struct Round {
    /// The number of requests served.
    served: usize,
    /// The processor time that the VM used.
    processor: Duration,
    /// How long the round took.
    elapsed: Duration,
}

/// Sends requests to `target` and, where it is another, to `flooded` meanwhile.
fn play(fleet: &Fleet, name: &str, flooded: Target, target: Target) -> Round {
    let vm = &fleet.vms[0];
    let (began, processor) = (Instant::now(), vm.processor_time());
    let mut served = 0;
    std::thread::scope(|scope| {
        for number in 0..REQUESTS {
            if flooded != target {
                let (path, model) = flooded;
                let id = format!("{name}flooded{number}");
                let model = model.map(|model| model.replace('#', &number.to_string()));
                let text = request_with(&id, path, model.as_deref(), SOON);
                scope.spawn(move || vm.raw(&text));
            }
            let id = format!("{name}other{number}");
            let answer = vm.ask(&id, target.0, target.1);
            served += usize::from(answer.status == 200 && answer.whole);
            std::thread::sleep(PAUSE);
        }
    });
    Round {
        served,
        processor: vm.processor_time().saturating_sub(processor),
        elapsed: began.elapsed(),
    }
}

/// Plays a round for each kind of flood, which `set` begins and ends, and checks what it costs beyond a round without one. In
/// that one, a VM that has just started also takes the memory that it needs.
fn check_floods(
    fleet: &Fleet,
    flooded: Target,
    target: Target,
    most_memory: usize,
    set: impl Fn(Option<Flood>),
) {
    let calm = play(fleet, "calm", flooded, target).processor;
    for flood in Flood::ALL {
        let memory = fleet.vms[0].peak_memory();
        set(Some(flood));
        let round = play(fleet, &format!("{flood:?}"), flooded, target);
        set(None);
        let memory = fleet.vms[0].peak_memory().saturating_sub(memory);
        let processor = round.processor.saturating_sub(calm);
        let text = format!(
            "{flood:?}: {} of {REQUESTS} served, {memory} bytes, {processor:?} of {:?}",
            round.served, round.elapsed
        );
        println!("{text}");
        assert!(round.served * 100 >= REQUESTS * SERVED_PERCENT, "{text}");
        assert!(memory <= most_memory, "{text}");
        assert!(
            processor * 100 <= round.elapsed * PROCESSOR_PERCENT,
            "{text}"
        );
    }
}

/// Plays floods of a server.
fn check_all(fleet: &Fleet, flooded: Target, target: Target, set: impl Fn(Option<Flood>)) {
    check_floods(fleet, flooded, target, MEMORY, set);
    check_counted(fleet);
}

/// Checks that a VM gave up answers for their bytes.
fn check_counted(fleet: &Fleet) {
    let figures = fleet.vms[0].figures();
    let name = "dahliastile_oversized_answers_total{";
    assert!(
        figures.lines().any(|line| line.starts_with(name)),
        "{figures}"
    );
}

/// Guards against a plain server that takes the memory or the event loop of a VM by bytes without end in a head or a body.
#[test]
fn plain_endlessanswer() {
    let fleet = Fleet::start_ready(1);
    check_all(&fleet, PLAIN, PLAIN, |flood| {
        fleet.plain[0].set_fault(flood.map_or(Fault::None, Fault::Floods));
    });
}

/// A fleet whose engines have served a stream.
fn fleet_with_streams() -> Fleet {
    let fleet = Fleet::start_ready(1);
    until("the adapter is loaded", || {
        fleet.vms[0].ask("warm", STREAMS.0, STREAMS.1).status == 200
    });
    fleet
}

/// Guards against an engine that does so by a stream whose event, chunk or head has no end.
#[test]
fn stream_endlessanswer() {
    let fleet = fleet_with_streams();
    check_all(&fleet, STREAMS, PLAIN, |flood| {
        fleet.engines[0].set_fault(flood.map_or(Fault::None, Fault::Floods));
    });
}

/// Guards against an engine that does so by its answers to orders and to questions for its report.
#[test]
fn calls_endlessanswer() {
    let fleet = fleet_with_streams();
    check_all(&fleet, COLD_STREAMS, PLAIN, |flood| {
        fleet.engines[0].set_call_flood(flood);
    });
}

/// Guards against a key-value service that does so in place of its answers: its VMs serve on by what they know.
#[test]
fn store_endlessanswer() {
    let fleet = fleet_with_streams();
    check_floods(&fleet, STREAMS, PLAIN, STORE_MEMORY, |flood| {
        fleet.store.set_flood(flood);
    });
}

/// Guards against the same where VMs start.
#[test]
fn store_endlessanswerstoavmthatstarts() {
    let mut fleet = fleet_with_streams();
    for flood in Flood::ALL {
        fleet.store.set_flood(Some(flood));
        fleet.vms.clear();
        let vm = fleet.start(1, None);
        fleet.vms.push(vm);
        std::thread::sleep(STORE_FLOOD);
        let (memory, processor) = (fleet.vms[0].peak_memory(), fleet.vms[0].processor_time());
        fleet.store.set_flood(None);
        until("a VM is ready", || fleet.vms[0].ready());
        let text = format!("{flood:?}: {memory} bytes, {processor:?} of {STORE_FLOOD:?}");
        println!("{text}");
        assert!(memory <= STARTED_MEMORY + STORE_MEMORY, "{text}");
        assert!(processor * 100 <= STORE_FLOOD * PROCESSOR_PERCENT, "{text}");
    }
}

/// The memory of a VM that a key-value service may take, in bytes: what control may take altogether.
const STORE_MEMORY: usize = 32 << 20;
/// The memory of a VM that has just started.
const STARTED_MEMORY: usize = 24 << 20;
/// How long it floods a VM that starts.
const STORE_FLOOD: Duration = Duration::from_secs(4);
