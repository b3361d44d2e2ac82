//! Where adapters are loaded, under the loads that decide a heavy day.

mod support;

use dahliastile_core::time::Span;
use support::setup::{call, work};
use support::{Answer, World};

fn loads(world: &World) -> u32 {
    world.servers.values().map(|(engine, _)| engine.loads).sum()
}

fn served(world: &World, numbers: &[u64]) -> usize {
    let served = |n: &&u64| matches!(world.answer(**n), Some(Answer::Served(_)));
    numbers.iter().filter(served).count()
}

/// One adapter asked for far beyond one engine's prompt speed, as the busiest one at both deployments: it is copied, but
/// an engine that holds it is not ordered to load it again.
#[test]
fn hot_iscopiedonceperengine() {
    let mut world = World::new(3, 4, 1);
    world.run(Span::from_secs(2));
    let mut numbers = Vec::new();
    for at in 0..150 {
        // 25 requests a second of 2,400 tokens are three engines' work at 20 tokens a millisecond.
        let draft = call(
            &format!("r{at}"),
            "/plan/x",
            5_000,
            Some(work("a1", 2_400, 20)),
        );
        numbers.push(world.ask(at % 3, draft));
        world.run(Span::from_millis(40));
    }
    world.run(Span::from_secs(5));
    let ordered = world
        .lines
        .iter()
        .filter(|line| line.contains("LoadOrdered"))
        .count();
    assert!(
        loads(&world) <= 4 && ordered <= 4,
        "{} loads, {ordered} ordered",
        loads(&world)
    );
    assert!(loads(&world) >= 3, "{} loads", loads(&world));
    assert_eq!(served(&world, &numbers), numbers.len());
    world.check();
}
