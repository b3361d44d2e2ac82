//! Several copies of an adapter at once: demand that moves to another adapter faster than one copy after the other
//! can follow.

mod support;

use dahliastile_core::time::Span;
use dahliastile_gateway::event::CallerRequest;
use dahliastile_gateway::feature::{DisabledFeatures, Feature};
use dahliastile_gateway::settings::Tuning;
use support::World;
use support::setup::{inference_spec, request};

/// Number of engines; together they read 240 prompt tokens per millisecond.
const ENGINES: usize = 12;

/// The objective of the requests: the time to the first chunk.
const OBJECTIVE: Span = Span::from_secs(1);

fn world(without: &[Feature]) -> World {
    let without: DisabledFeatures = without.iter().copied().collect();
    let mut world = World::without_features(4, ENGINES, 1, Tuning::default(), without);
    world.run(Span::from_secs(3));
    world
}

/// Returns a request of 2,400 prompt tokens for one adapter of the wave `wave`.
fn wave_request(wave: usize, at: usize) -> CallerRequest {
    let work = inference_spec(&format!("hot{wave}"), 2_400, 20);
    request(&format!("w{wave}-{at}"), "/plan/x", 5_000, Some(work))
}

/// Sends a request of another priority than the waves: several copies at once are for services with several priorities.
fn send_urgent(world: &mut World, id: &str) {
    let work = inference_spec("urgent", 400, 20);
    world.send_request(0, request(id, "/brief/x", 5_000, Some(work)));
}

/// Sends three waves of two seconds, each with 70 requests per second for an adapter that no engine holds. Returns
/// the number of requests whose first chunk came within the objective, and of all.
fn served_in_time(world: &mut World) -> (usize, usize) {
    let mut numbers = Vec::new();
    for wave in 0..3 {
        send_urgent(world, &format!("u{wave}"));
        let request = |at| wave_request(wave, at);
        numbers.extend(world.send_requests(140, Span(14_286), request));
    }
    world.run(Span::from_secs(6));
    let in_time = numbers
        .iter()
        .filter(|number| {
            world
                .time_to_first_chunk(**number)
                .is_some_and(|span| span <= OBJECTIVE)
        })
        .count();
    (in_time, numbers.len())
}

/// Guards against engines that fall behind for seconds after demand has moved to one adapter, while others are idle.
/// The adapter needs the prefill of eight engines. With one copy at a time the eighth is ready after more than two
/// seconds; with several at once nine of ten requests are in time.
#[test]
fn shift_iscopiedatonce() {
    let (in_time, all) = served_in_time(&mut world(&[]));
    let (without, _) = served_in_time(&mut world(&[Feature::ParallelCopies]));
    assert!(
        in_time * 10 >= all * 9,
        "{in_time} of {all} in time, {without} with one copy at a time"
    );
    assert!(
        without < in_time,
        "{in_time} in time, {without} with one copy at a time"
    );
}

/// Guards against copies that wait for an engine that is gone: half of the engines crash while the copies of a
/// wave are being loaded. The rest are copied to, no invariant is broken, and most requests are still answered.
#[test]
fn shift_outlastscrashes() {
    let mut world = world(&[]);
    send_urgent(&mut world, "u");
    let mut numbers = world.send_requests(20, Span(14_286), |at| wave_request(0, at));
    for engine in 0..ENGINES / 2 {
        world.crash_server(&format!("e{engine}"));
    }
    numbers.extend(world.send_requests(60, Span::from_millis(25), |at| wave_request(0, 20 + at)));
    world.run(Span::from_secs(8));
    let served = world.count_served(&numbers);
    assert!(
        served * 10 >= numbers.len() * 7,
        "{served} of {} served",
        numbers.len()
    );
    world.check_invariants();
}

/// Guards against copies that calm demand does not need: with requests that one engine reads without a queue, the
/// decisions are equal with the feature on and off.
#[test]
fn calm_decidesasbefore() {
    let log = |without: &[Feature]| {
        let mut world = world(without);
        send_urgent(&mut world, "u");
        let calm = |at: usize| {
            let work = inference_spec(&format!("a{}", at % 9), 800, 20);
            request(&format!("c{at}"), "/plan/x", 5_000, Some(work))
        };
        world.send_requests(200, Span::from_millis(40), calm);
        world.run(Span::from_secs(2));
        world.log_lines.clone()
    };
    assert_eq!(log(&[]), log(&[Feature::ParallelCopies]));
}

/// Guards against several copies at once where nothing calls for them: with one priority and engines of one speed, the
/// decisions under the waves are equal with the feature on and off.
#[test]
fn uncalled_decidesasbefore() {
    let log = |without: &[Feature]| {
        let mut world = world(without);
        world.send_requests(140, Span(14_286), |at| wave_request(0, at));
        world.run(Span::from_secs(3));
        world.log_lines.clone()
    };
    assert_eq!(log(&[]), log(&[Feature::ParallelCopies]));
}
