//! Graceful stops of VMs: each request that a VM has taken gets an answer or a refusal before the VM's process ends.

mod support;

use dahliastile_core::id::Server;
use dahliastile_core::time::Span;
use dahliastile_gateway::effect::RefusalReason;
use dahliastile_gateway::event::CallerRequest;
use dahliastile_gateway::settings::Tuning;
use rand::Rng;
use support::engine::SlowPeriod;
use support::series::{FaultSeries, VMS, seeds};
use support::setup::{adapter_request, inference_spec, mixed_request, name, request};
use support::world::End;
use support::{Answer, World};

/// Longer than any stop.
const PAST_THE_STOP: Span = Span::from_secs(9);
/// When the requests of these tests come after the stop: connections are still accepted.
const AFTER_STOP: Span = Span::from_millis(1_600);

/// Returns a request whose caller waits for 15 s.
fn patient_request(id: &str, adapter: &str, output: u32) -> CallerRequest {
    let work = inference_spec(adapter, 600, output);
    request(id, "/brief/x", 15_000, Some(work))
}

/// Returns a fleet of two VMs whose only engine runs streams of 20 s on an adapter in each of its five slots.
fn world_without_slots() -> World {
    let mut world = World::new(2, 1, 1);
    world.run(Span::from_secs(2));
    for slot in 0..5 {
        let id = format!("long{slot}");
        world.send_request(0, patient_request(&id, &format!("a{slot}"), 2_200));
        world.run(Span::from_millis(300));
    }
    world
}

/// Asserts that each request that a stopped VM had taken was answered.
fn check_answered(world: &World) {
    assert!(!world.ends.is_empty(), "no VM has ended after a stop");
    let unanswered = world.unanswered_at_stops();
    assert!(unanswered.is_empty(), "unanswered: {unanswered:?}");
    world.check_invariants();
}

/// Returns whether a request was refused as not run, with a time to come back.
fn is_refused_as_not_run(world: &World, number: u64) -> bool {
    matches!(
        world.answer(number),
        Some(Answer::Refused(reason, Some(_)))
            if !matches!(reason, RefusalReason::Failed | RefusalReason::TimedOut)
    )
}

/// Guards against the end of a process while requests wait for a placement: the scheduler has no slot for their adapter,
/// and their own deadlines are later than the end of the process.
#[test]
fn stop_waitingforaplacement() {
    let mut world = world_without_slots();
    let before = world.send_request(1, patient_request("before", "a77", 15));
    world.run(Span::from_millis(100));
    world.stop_and_restart(1);
    world.run(AFTER_STOP);
    let after = world.send_request(1, patient_request("after", "a78", 15));
    world.run(PAST_THE_STOP);
    check_answered(&world);
    for number in [before, after] {
        assert!(
            is_refused_as_not_run(&world, number),
            "{:?}",
            world.answer(number)
        );
    }
}

/// Guards against the end of a process while requests wait for a scheduler: none is there, and the key-value service, by
/// which VMs take the leadership, is away.
#[test]
fn stop_withoutascheduler() {
    let mut world = World::new(3, 2, 1);
    world.run(Span::from_secs(2));
    let holder = world.holder().expect("a scheduler");
    let vm = (holder + 1) % 3;
    world.store_up = false;
    world.wake_watchers();
    world.kill(holder, true);
    world.run(Span::from_millis(500));
    let before = world.send_request(vm, patient_request("before", "a77", 15));
    world.stop_and_restart(vm);
    world.run(AFTER_STOP);
    let after = world.send_request(vm, patient_request("after", "a78", 15));
    world.run(PAST_THE_STOP);
    check_answered(&world);
    for number in [before, after] {
        assert!(
            is_refused_as_not_run(&world, number),
            "{:?}",
            world.answer(number)
        );
    }
}

/// Guards against requests that wait for a scheduler at VMs that all stop, so that none of them takes the leadership, while
/// engines are free and another VM could serve them: they are answered, or refused, without a long wait.
#[test]
fn stop_allvmsthatcouldschedule() {
    let mut world = World::new(3, 2, 1);
    world.run(Span::from_secs(2));
    let holder = world.holder().expect("a scheduler");
    let others = [(holder + 1) % 3, (holder + 2) % 3];
    world.kill(others[1], true);
    world.stop_and_restart(holder);
    world.stop_and_restart(others[0]);
    world.run(AFTER_STOP);
    let number = world.send_request(others[0], patient_request("cold", "a77", 15));
    world.run(PAST_THE_STOP);
    check_answered(&world);
    let (at, _) = world.requests[&number].ended.clone().expect("an answer");
    let waited = at.since(world.requests[&number].at);
    // The repetition of its question to a scheduler, which it does not wait for twice.
    assert!(waited <= Span::from_millis(1_100), "{waited}");
}

/// Guards against a request that is refused only when its VM ends, although it was clear long before that the VM can't
/// serve it: its caller then has no time left for another VM.
#[test]
fn stop_leavestimeforanothervm() {
    let mut world = world_without_slots();
    world.stop_and_restart(1);
    world.run(AFTER_STOP);
    let number = world.send_request(1, patient_request("after", "a78", 15));
    world.run(PAST_THE_STOP);
    let (at, answer) = world.requests[&number].ended.clone().expect("an answer");
    assert!(matches!(answer, Answer::Refused(..)), "{answer:?}");
    let grace = Tuning::default().grace;
    let waited = at.since(world.requests[&number].at);
    assert!(AFTER_STOP + waited <= Span(grace.0 / 2), "{waited}");
}

/// Guards against the end of a process while a server has a request and does not begin it: whether it has run is then not
/// known, and its caller is told that.
#[test]
fn stop_atasilentserver() {
    let mut world = World::new(2, 2, 1);
    world.run(Span::from_secs(2));
    world.stop_and_restart(1);
    world.run(AFTER_STOP);
    let now = world.now;
    for server in ["e0", "e1"] {
        let (engine, _) = world
            .servers
            .get_mut(&name::<Server>(server))
            .expect("an engine");
        engine.slow_period = Some(SlowPeriod {
            from: now,
            until: now + Span::from_secs(30),
            factor: None,
        });
    }
    let number = world.send_request(1, patient_request("silent", "a1", 15));
    world.run(PAST_THE_STOP);
    check_answered(&world);
    assert!(!world.requests[&number].runs.is_empty(), "it was not sent");
    let answer = world.answer(number);
    let may_have_run = matches!(
        answer,
        Some(Answer::Refused(
            RefusalReason::TimedOut | RefusalReason::Failed,
            None
        ))
    );
    assert!(may_have_run, "{answer:?}");
}

/// Guards against requests whose placement does not reach a VM that stops, as schedulers that have started since don't know
/// it, while the whole fleet is replaced, each VM 250 ms after the one before.
#[test]
fn stop_wholefleet() {
    let mut world = World::new(24, 12, 4);
    world.run(Span::from_secs(2));
    world.send_heavy_load(Span::from_secs(2));
    let leave = Tuning::default().leave;
    let mut stopped = vec![None; 24];
    let mut at_leaving = Vec::new();
    for tick in 0..800_usize {
        if tick % 25 == 0 && tick / 25 < 24 {
            let vm = tick / 25;
            world.stop_and_restart(vm);
            stopped[vm] = Some(world.now);
        }
        let accepts = |vm: usize| stopped[vm].is_none_or(|at| world.now.since(at) < leave);
        let vm = (0..24)
            .map(|step| (tick * 7 + step) % 24)
            .find(|vm| accepts(*vm));
        if let Some(vm) = vm {
            let is_leaving = stopped[vm].is_some();
            let number = world.send_request(vm, mixed_request(tick));
            at_leaving.extend(is_leaving.then_some(number));
        }
        world.run(Span::from_millis(10));
        for (vm, at) in stopped.iter_mut().enumerate() {
            let has_restarted = world
                .ends
                .iter()
                .any(|(ended, end)| *ended == vm && world.now > end.at + Span::from_secs(1));
            if has_restarted {
                *at = None;
            }
        }
    }
    world.run(PAST_THE_STOP);
    check_answered(&world);
    assert!(at_leaving.len() > 50, "{} at leaving VMs", at_leaving.len());
    world.check_served(&at_leaving, 95);
    let cut = world.cut_at_stops();
    assert!(cut.is_empty(), "streams were cut: {cut:?}");
}

/// Guards against a VM that takes requests after its stop without the time to serve them: a stream that begins is not broken off by the end
/// of the process.
#[test]
fn stop_beginsnostreamthatitcuts() {
    let mut world = World::new(2, 2, 1);
    world.run(Span::from_secs(2));
    world.send_light_load(Span::from_secs(2));
    world.stop_and_restart(1);
    let mut numbers = Vec::new();
    for at in 0..25 {
        numbers.push(world.send_request(1, adapter_request(&format!("s{at}"), "a5")));
        world.run(Span::from_millis(100));
    }
    world.run(PAST_THE_STOP);
    check_answered(&world);
    world.check_served(&numbers, 95);
    let cut = world.cut_at_stops();
    assert!(cut.is_empty(), "streams were cut: {cut:?}");
}

/// Has an engine that sends nothing from now on for a time.
fn silence(world: &mut World, engine: &Server, span: Span) {
    let (from, until) = (world.now, world.now + span);
    let (engine, _) = world.servers.get_mut(engine).expect("an engine");
    engine.slow_period = Some(SlowPeriod {
        from,
        until,
        factor: None,
    });
}

/// Returns a fleet of two VMs and six engines, the VM that does not schedule, which was told to stop a time ago, and a stream
/// there that keeps its process from ending before its time.
fn world_that_stops(ago: Span) -> (World, usize) {
    let mut world = World::new(2, 6, 1);
    world.run(Span::from_secs(2));
    let vm = 1 - world.holder().expect("a scheduler");
    world.send_request(vm, patient_request("long", "a9", 1_100));
    world.run(Span::from_secs(1));
    world.stop_and_restart(vm);
    world.run(ago);
    (world, vm)
}

/// Returns a request that may run on two servers, and the answer of which can be continued at another one.
fn repeatable_request(id: &str, output: u32) -> CallerRequest {
    let work = inference_spec("a1", 600, output);
    request(id, "/berth/x", 8_000, Some(work))
}

/// Half of the time that a process has to stop: from then on a VM that stops refuses what has not run.
fn half_of_the_grace() -> Span {
    Span(Tuning::default().grace.0 / 2)
}

/// Guards against a stream that is broken off at a VM that stops, when its server fails after half of the grace: another
/// engine goes on with it, as there is time left, and refusing it would not send it to another VM.
#[test]
fn stop_streamgoesonelsewhere() {
    let (mut world, vm) = world_that_stops(half_of_the_grace() - Span::from_millis(1_700));
    let number = world.send_request(vm, repeatable_request("stream", 200));
    world.run(Span::from_millis(1_800));
    assert!(matches!(world.answer(number), Some(Answer::Served(_))));
    let (_, server) = world.requests[&number].runs[0].clone();
    world.reset_connections(&server);
    world.run(PAST_THE_STOP);
    assert_eq!(world.requests[&number].runs.len(), 2);
    check_answered(&world);
    world.check_served(&[number], 100);
}

/// Guards against a request that is refused as failed at a VM that stops, although it may run twice, another engine is free
/// and there is time left: its server failed it after half of the grace.
#[test]
fn stop_failedrequestrunsagain() {
    let (mut world, vm) = world_that_stops(half_of_the_grace() - Span::from_millis(500));
    let warm = world.send_request(vm, repeatable_request("warm", 15));
    world.run(Span::from_millis(400));
    let (_, server) = world.requests[&warm].runs[0].clone();
    silence(&mut world, &server, Span::from_secs(1));
    let number = world.send_request(vm, repeatable_request("failed", 15));
    world.run(Span::from_millis(200));
    assert!(world.answer(number).is_none(), "it was answered");
    assert_eq!(world.requests[&number].runs.len(), 1);
    world.reset_connections(&server);
    world.run(PAST_THE_STOP);
    check_answered(&world);
    world.check_served(&[number], 100);
}

/// Guards against requests that are withdrawn from an engine that has stopped, and refused as failed as half of the grace is
/// near: other engines take them, and there is time left.
#[test]
fn stop_withdrawnrequestsareserved() {
    let (mut world, vm) = world_that_stops(half_of_the_grace() - Span::from_millis(1_500));
    let warm = |at| repeatable_request(&format!("warm{at}"), 8);
    let warm: Vec<u64> = (0..30)
        .map(|at| {
            let number = world.send_request(vm, warm(at));
            world.run(Span::from_millis(16));
            number
        })
        .collect();
    let (_, engine) = world.requests[&warm[0]].runs[0].clone();
    silence(&mut world, &engine, Span::from_secs(30));
    for at in 0..60 {
        world.send_request(vm, repeatable_request(&format!("w{at}"), 8));
        world.run(Span::from_millis(16));
    }
    world.run(PAST_THE_STOP);
    assert!(!world.cancelled.is_empty(), "none was withdrawn");
    check_answered(&world);
    let withdrawn: Vec<u64> = world
        .cancelled
        .iter()
        .map(|(_, number, _)| *number)
        .collect();
    world.check_served(&withdrawn, 100);
}

/// Steps of a random series: 30 s.
const STEPS: usize = 600;

/// Plays one random series of faults with graceful stops, and returns the number of stops that it checked.
fn play_series(seed: u64) -> usize {
    let mut series = FaultSeries::new(seed);
    let mut checked = 0;
    for step in 0..STEPS {
        let vm = series.rng.random_range(0..VMS);
        let stops = series.rng.random_bool(0.15);
        if stops && series.world.vms[vm].gateway.is_some() {
            series.world.stop_and_restart(vm);
        }
        let engine: Server = name(&format!("e{}", series.rng.random_range(0..16)));
        if series.rng.random_bool(0.02) {
            let now = series.world.now;
            let (engine, _) = series.world.servers.get_mut(&engine).expect("an engine");
            engine.slow_period = Some(SlowPeriod {
                from: now,
                until: now + Span::from_secs(10),
                factor: None,
            });
        }
        for number in 0..3 {
            let at = step * 3 + number;
            let vm = series.rng.random_range(0..VMS);
            let request = match at % 3 {
                0 => patient_request(&format!("p{at}"), &format!("a{}", at * 11 % 200), 300),
                _ => mixed_request(at),
            };
            series.world.send_request(vm, request);
        }
        series.step();
    }
    series.world.run(PAST_THE_STOP);
    let world = &series.world;
    // A VM that is frozen when it is told to stop begins to stop later, but has no more time.
    let undisturbed = |vm: usize, end: &End| {
        let seconds = 0..=end.at.since(end.stopped).0 / 1_000_000;
        let mut times = seconds.map(|second| end.stopped + Span::from_secs(second));
        times.all(|at| series.was_fault_free(vm, at)) && series.was_fault_free(vm, end.at)
    };
    checked += world
        .ends
        .iter()
        .filter(|(vm, end)| undisturbed(*vm, end))
        .count();
    let unanswered = world.unanswered_at_stops().into_iter();
    let unanswered: Vec<_> = unanswered
        .filter(|(number, end)| undisturbed(world.requests[number].vm, end))
        .collect();
    assert!(
        unanswered.is_empty(),
        "seed {seed}: unanswered: {unanswered:?}"
    );
    world.check_invariants();
    checked
}

/// Guards against requests that are left without an answer or a refusal by the end of a process in any phase, among other
/// faults: VMs that are killed, frozen and cut off, engines that fall silent, and a key-value service that is away.
#[test]
fn stop_amongfaults() {
    let checked: usize = (0..seeds(8)).map(play_series).sum();
    assert!(checked > 50, "only {checked} stops were undisturbed");
}
