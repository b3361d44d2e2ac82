//! Servers that start again under the id that they had, and entries of the key-value service that other programs wrote.
//!
//! The load is that of a quiet night: a request every 40 ms over twelve adapters in turn, at four engines.

mod support;

use std::sync::Arc;

use dahliastile_core::id::Server;
use dahliastile_core::time::Span;
use dahliastile_gateway::cluster::snapshot::{Backend, EntryKey, EntryValue};
use support::World;
use support::setup::{ENGINES, adapter_request, name};

/// The pause between two requests.
const PAUSE: Span = Span::from_millis(40);

fn warm() -> World {
    let mut world = World::new(3, 4, 1);
    world.run(Span::from_secs(2));
    world.send_light_load(Span::from_secs(2));
    world
}

/// Arrivals at servers of these requests beyond the first of each.
fn again(world: &World, numbers: &[u64]) -> u32 {
    let arrivals = numbers.iter().map(|number| world.requests[number].arrivals);
    arrivals.map(|arrivals| arrivals.saturating_sub(1)).sum()
}

fn lines(world: &World, code: &str) -> usize {
    world
        .log_lines
        .iter()
        .filter(|line| line.contains(code))
        .count()
}

/// The engine holds nothing any more. Where its new start is not told apart, each of its three adapters is refused to the
/// first request or two that ask for it, until a report is read.
#[test]
fn engine_restartedholdsnothing() {
    for start in [2, 0] {
        // Clocks step: a later start may bear a lower number.
        let mut world = warm();
        world.restart_server("e1", start);
        world.run(Span::from_millis(20));
        let numbers = world.send_light_load(Span::from_secs(3));
        world.run(Span::from_secs(5));
        assert_eq!(world.count_served(&numbers), numbers.len());
        assert_eq!(again(&world, &numbers), 0, "start {start}");
        assert_eq!(lines(&world, "ServerRestarted"), 3);
        world.check_invariants();
    }
}

/// An order that gets no answer is carried out up to 12 s later, by a start that knows nothing of it: no engine ever loads
/// beyond its places, and the scheduler learns what it holds.
#[test]
fn engine_restartedmeetslateorders() {
    let mut world = warm();
    world.delayed_order_share = 0.5;
    let mut numbers = Vec::new();
    for start in 2..14 {
        let engine = format!("e{}", start % 4);
        world.restart_server(&engine, start);
        numbers.extend(world.send_light_load(Span::from_secs(1)));
    }
    world.delayed_order_share = 0.0;
    numbers.extend(world.send_light_load(Span::from_secs(14)));
    world.run(Span::from_secs(5));
    let (all, good) = (numbers.len(), world.count_served(&numbers));
    assert!(good * 10 >= all * 9, "{good} of {all}");
    world.check_invariants();
}

/// The last write of the earlier start is carried out after the first one of the later: the engine's report tells which of
/// them it is, and what it holds stays in use.
#[test]
fn entry_ofanearlierstartcomeslate() {
    let mut world = warm();
    let (_, earlier) = world.servers[&name::<Server>("e1")].clone();
    world.restart_server("e1", 2);
    world.send_light_load(Span::from_secs(2));
    world.write_entry(EntryKey::Server(name("e1")), EntryValue::Server(earlier));
    let numbers = world.send_light_load(Span::from_secs(3));
    world.run(Span::from_secs(5));
    assert_eq!(world.count_served(&numbers), numbers.len());
    assert_eq!(again(&world, &numbers), 0);
    world.check_invariants();
}

/// What runs at an engine when it starts again is not counted there any more, though nobody hears of its end.
#[test]
fn engine_restartedhasallitsroom() {
    let mut world = World::new(1, 1, 1);
    world.run(Span::from_secs(2));
    let long = |at: usize| {
        support::setup::request(
            &format!("l{at}"),
            "/brief/x",
            15_000,
            Some(support::setup::work(&format!("a{at}"), 600, 1_200)),
        )
    };
    world.send_requests(5, PAUSE, long);
    world.run(Span::from_secs(1));
    world.restart_server("e0", 2);
    world.run(Span::from_millis(400));
    let number = world.send_request(0, adapter_request("r", "a9"));
    world.run(Span::from_secs(2));
    assert!(world.time_to_first_chunk(number).is_some());
    world.check_invariants();
}

/// An entry that can't be read names no server, and the other entries hold; one line a second tells of them, however many
/// there are.
#[test]
fn entry_unreadablenamesnoserver() {
    let mut world = warm();
    world
        .servers
        .get_mut(&name::<Server>("e1"))
        .expect("an engine")
        .0
        .up = false;
    for at in 0..200 {
        let spoilt = if at == 0 {
            "e1".to_owned()
        } else {
            format!("x{at}")
        };
        world.write_entry(EntryKey::Server(name(&spoilt)), EntryValue::Unreadable);
    }
    world.run(Span::from_millis(200));
    let numbers = world.send_light_load(Span::from_secs(2));
    world.run(Span::from_secs(5));
    assert_eq!(world.count_served(&numbers), numbers.len());
    assert_eq!(again(&world, &numbers), 0);
    assert!(
        lines(&world, "EntryUnreadable") <= 9,
        "{}",
        lines(&world, "EntryUnreadable")
    );
    world.restart_server("e1", 2);
    let back = world.send_light_load(Span::from_secs(1));
    world.run(Span::from_secs(5));
    assert_eq!(world.count_served(&back), back.len());
    world.check_invariants();
}

/// Where servers tell their starts, an entry without one is another program's.
#[test]
fn entry_withoutstartnamesnoserver() {
    let mut world = warm();
    let (_, good) = world.servers[&name::<Server>("p0")].clone();
    let nowhere = Backend {
        address: support::setup::address(9, 9),
        start: None,
        ..(*good).clone()
    };
    world.write_entry(
        EntryKey::Server(name("p9")),
        EntryValue::Server(Arc::new(nowhere)),
    );
    world.run(Span::from_millis(200));
    let post = |at| support::setup::request(&format!("p{at}"), "/post/x", 2_000, None);
    let numbers = world.send_requests(40, PAUSE, post);
    world.run(Span::from_secs(3));
    assert_eq!(world.count_served(&numbers), 40);
    assert_eq!(again(&world, &numbers), 0);
    world.check_invariants();
}

/// A leadership's entry that can't be read is taken like a free one, and the operator's words stay in force.
#[test]
fn entry_unreadablefreestheseat() {
    let mut world = warm();
    world.publish_version("a1", 3);
    world.write_entry(EntryKey::Config, EntryValue::Unreadable);
    world.write_entry(
        EntryKey::Version("base".into(), "a1".into()),
        EntryValue::Unreadable,
    );
    world.write_entry(EntryKey::Holder(name(ENGINES)), EntryValue::Unreadable);
    world.run(Span::from_secs(3));
    assert!(world.holder().is_some());
    let numbers = world.send_light_load(Span::from_secs(2));
    world.run(Span::from_secs(5));
    assert_eq!(world.count_served(&numbers), numbers.len());
    world.check_invariants();
}

/// A version of one adapter every 300 ms, while it is asked for every 40 ms and by long answers too, as when an adapter is
/// retrained in a hurry: no request begins on a version older than the newest one named when it was sent, each is served, and
/// five seconds after the last name only the last is in use.
#[test]
fn versions_inquicksuccession() {
    let mut world = warm();
    let mut numbers = Vec::new();
    for version in 2..22 {
        world.publish_version("a5", version);
        let call = |at: usize| match at {
            0 => support::setup::request(
                &format!("l{version}"),
                "/brief/x",
                15_000,
                Some(support::setup::work("a5", 600, 200)),
            ),
            _ => adapter_request(&format!("v{version}-{at}"), "a5"),
        };
        numbers.extend(world.send_requests(7, PAUSE, call));
    }
    world.run(Span::from_secs(5));
    let last = world.send_requests(10, PAUSE, |at| adapter_request(&format!("z{at}"), "a5"));
    world.run(Span::from_secs(9));
    let (all, good) = (numbers.len(), world.count_served(&numbers));
    assert!(good * 100 >= all * 95, "{good} of {all}");
    assert_eq!(world.count_served(&last), last.len());
    let ran = last
        .iter()
        .flat_map(|number| &world.requests[number].versions);
    assert!(ran.clone().count() > 0 && ran.clone().all(|(_, ran)| *ran == 21));
    world.check_invariants();
}
