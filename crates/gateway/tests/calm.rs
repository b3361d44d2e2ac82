//! A fleet without trouble.

mod support;

use dahliastile_core::time::Span;
use dahliastile_gateway::effect::Reason;
use support::setup::{call, work};
use support::{Answer, World};

fn ready() -> World {
    let mut world = World::new(3, 4, 2);
    world.run(Span::from_secs(2));
    world
}

#[test]
fn plain_isserved() {
    let mut world = ready();
    let number = world.ask(0, call("a", "/query/x", 4_000, None));
    world.run(Span::from_secs(1));
    assert!(matches!(world.answer(number), Some(Answer::Served(_))));
    world.check();
}

#[test]
fn draft_coldisloadedandserved() {
    let mut world = ready();
    let number = world.ask(1, call("a", "/plan/x", 5_000, Some(work("a1", 2_000, 20))));
    world.run(Span::from_secs(2));
    let first = world.first_piece(number).expect("served");
    assert!(first < Span::from_millis(500), "{first}");
    world.check();
}

#[test]
fn draft_warmneedsnoload() {
    let mut world = ready();
    for at in 0..10 {
        world.ask(
            at % 3,
            call("a", "/plan/x", 5_000, Some(work("a1", 1_000, 20))),
        );
        world.run(Span::from_millis(600));
    }
    let loads: u32 = world.servers.values().map(|(e, _)| e.loads).sum();
    assert_eq!((world.served(), loads), (10, 1));
    world.check();
}

#[test]
fn route_unknownisrefused() {
    let mut world = ready();
    let number = world.ask(0, call("a", "/none/x", 4_000, None));
    world.run(Span::from_millis(1));
    assert_eq!(
        world.answer(number),
        Some(&Answer::Refused(Reason::NoRoute, None))
    );
}

#[test]
fn config_unknownisrefusedwithtime() {
    let mut world = World::new(1, 1, 1);
    let number = world.ask(0, call("a", "/query/x", 4_000, None));
    assert!(matches!(
        world.answer(number),
        Some(Answer::Refused(Reason::NoConfig, Some(_)))
    ));
}

#[test]
fn places_neverexceeded() {
    let mut world = ready();
    for at in 0..200_u32 {
        let adapter = format!("a{}", at * 7 % 61);
        world.ask(
            at as usize % 3,
            call("a", "/plan/x", 5_000, Some(work(&adapter, 800, 20))),
        );
        world.run(Span::from_millis(60));
    }
    world.run(Span::from_secs(6));
    assert!(world.served() >= 190, "{} served", world.served());
    world.check();
}
