//! Where adapters are loaded, under the loads that decide a heavy day.

mod support;

use dahliastile_core::time::Span;
use dahliastile_gateway::event::Call;
use support::World;
use support::setup::{call, work};

fn loads(world: &World) -> u32 {
    world.servers.values().map(|(engine, _)| engine.loads).sum()
}

/// A request for the busiest adapter: 2,400 tokens.
fn busy(at: usize) -> Call {
    let work = work("a1", 2_400, 20);
    call(&format!("r{at}"), "/plan/x", 5_000, Some(work))
}

/// How many of those that were refused were held for long first.
fn late(refused: &[Span]) -> usize {
    let held = refused.iter();
    held.filter(|held| **held > Span::from_millis(250)).count()
}

/// One adapter asked for far beyond one engine's prompt speed, as the busiest one at both deployments: it is copied, but
/// an engine that holds it is not ordered to load it again.
#[test]
fn hot_iscopiedonceperengine() {
    let mut world = World::new(3, 4, 1);
    world.run(Span::from_secs(2));
    // 25 requests a second of 2,400 tokens are three engines' work at 20 tokens a millisecond.
    let numbers = world.ask_all(150, Span::from_millis(40), busy);
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
    assert_eq!(world.served_of(&numbers), numbers.len());
    world.check();
}

/// Rare adapters asked for at once, twice as many a second as can be loaded (32): who can't be served in time is refused
/// at once with a time to come back, and the others are served about as many as the loads allow.
#[test]
fn rare_beyondtheloadsisrefusedatonce() {
    let mut world = World::new(3, 12, 1);
    world.run(Span::from_secs(2));
    let rare = |at| {
        let work = work(&format!("a{at}"), 800, 20);
        call(&format!("r{at}"), "/brief/x", 15_000, Some(work))
    };
    let numbers = world.ask_all(320, Span::from_millis(15), rare);
    world.run(Span::from_secs(16));
    let good = world.served_of(&numbers);
    let refused = world.refused_of(&numbers);
    let late = late(&refused);
    assert_eq!(good + refused.len(), numbers.len());
    assert!(
        late * 20 <= refused.len(),
        "{late} of {} refused late",
        refused.len()
    );
    // 4.8 s of loads at 32 a second.
    assert!(good >= 120, "{good} served");
    world.check();
}

/// The same with one busy adapter at five engines' work on four engines: its queue is told apart from a short burst.
#[test]
fn hot_beyondtheenginesisrefusedatonce() {
    let mut world = World::new(3, 4, 1);
    world.run(Span::from_secs(2));
    let numbers = world.ask_all(240, Span::from_millis(24), busy);
    world.run(Span::from_secs(6));
    let good = world.served_of(&numbers);
    let refused = world.refused_of(&numbers);
    let late = late(&refused);
    assert_eq!(good + refused.len(), numbers.len());
    assert!(
        late * 10 <= refused.len(),
        "{late} of {} refused late",
        refused.len()
    );
    assert!(good * 10 >= numbers.len() * 7, "{good} served");
    world.check();
}
