//! Tests of servers that restart under the same id, and of entries of the key-value service that other programs
//! wrote.
//!
//! The load is light: a request every 40 ms, over twelve adapters in turn, at four engines.

mod support;

use std::sync::Arc;

use dahliastile_core::id::Server;
use dahliastile_core::time::Span;
use dahliastile_gateway::cluster::snapshot::{Backend, EntryKey, EntryValue};
use support::World;
use support::setup::{ENGINES, adapter_request, name};

/// The pause between two requests.
const PAUSE: Span = Span::from_millis(40);

/// Returns a world of three VMs and four engines after two seconds of light load.
fn warm_world() -> World {
    let mut world = World::new(3, 4, 1);
    world.run(Span::from_secs(2));
    world.send_light_load(Span::from_secs(2));
    world
}

/// Returns how often these requests arrived at servers beyond each request's first arrival.
fn repeated_arrivals(world: &World, numbers: &[u64]) -> u32 {
    let arrivals = numbers.iter().map(|number| world.requests[number].arrivals);
    arrivals.map(|arrivals| arrivals.saturating_sub(1)).sum()
}

fn count_log_lines(world: &World, code: &str) -> usize {
    world
        .log_lines
        .iter()
        .filter(|line| line.contains(code))
        .count()
}

/// A restarted engine has no resident adapters. If its start can't be distinguished from the earlier one, each
/// of its three adapters is refused to the first one or two requests that ask for it, until a report is read.
#[test]
fn engine_restartedholdsnothing() {
    for start in [2, 0] {
        // Clocks step: a later start may have a lower number.
        let mut world = warm_world();
        world.restart_server("e1", start);
        // A VM that has just been told of a change pauses for 200 ms before it watches again.
        world.run(Span::from_millis(250));
        let numbers = world.send_light_load(Span::from_secs(3));
        world.run(Span::from_secs(5));
        assert_eq!(world.count_served(&numbers), numbers.len());
        assert_eq!(repeated_arrivals(&world, &numbers), 0, "start {start}");
        assert_eq!(count_log_lines(&world, "ServerRestarted"), 3);
        world.check_invariants();
    }
}

/// An order without an answer is performed up to 12 s later, by a start of the server that knows nothing of it.
/// No engine ever loads more adapters than it has adapter slots, and the scheduler learns which ones are
/// resident.
#[test]
fn engine_restartedmeetslateorders() {
    let mut world = warm_world();
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
    let (all, served) = (numbers.len(), world.count_served(&numbers));
    assert!(served * 10 >= all * 9, "{served} of {all}");
    world.check_invariants();
}

/// The last write of the earlier start is performed after the first one of the later start. The engine's report
/// distinguishes the starts, and its resident adapters stay in use.
#[test]
fn entry_ofanearlierstartcomeslate() {
    let mut world = warm_world();
    let (_, earlier) = world.servers[&name::<Server>("e1")].clone();
    world.restart_server("e1", 2);
    world.send_light_load(Span::from_secs(2));
    world.write_entry(EntryKey::Server(name("e1")), EntryValue::Server(earlier));
    let numbers = world.send_light_load(Span::from_secs(3));
    world.run(Span::from_secs(5));
    assert_eq!(world.count_served(&numbers), numbers.len());
    assert_eq!(repeated_arrivals(&world, &numbers), 0);
    world.check_invariants();
}

/// The scheduler stops counting requests that ran at an engine when it restarted, though their ends are never
/// reported.
#[test]
fn engine_restartedhasallitsroom() {
    let mut world = World::new(1, 1, 1);
    world.run(Span::from_secs(2));
    let long = |at: usize| {
        support::setup::request(
            &format!("l{at}"),
            "/brief/x",
            15_000,
            Some(support::setup::inference_spec(
                &format!("a{at}"),
                600,
                1_200,
            )),
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

/// An unreadable entry describes no server, and the other entries stay valid. However many unreadable entries
/// there are, they are logged in one line a second.
#[test]
fn entry_unreadablenamesnoserver() {
    let mut world = warm_world();
    world
        .servers
        .get_mut(&name::<Server>("e1"))
        .expect("an engine")
        .0
        .up = false;
    for at in 0..200 {
        let unreadable = if at == 0 {
            "e1".to_owned()
        } else {
            format!("x{at}")
        };
        world.write_entry(EntryKey::Server(name(&unreadable)), EntryValue::Unreadable);
    }
    world.run(Span::from_millis(200));
    let numbers = world.send_light_load(Span::from_secs(2));
    world.run(Span::from_secs(5));
    assert_eq!(world.count_served(&numbers), numbers.len());
    assert_eq!(repeated_arrivals(&world, &numbers), 0);
    assert!(
        count_log_lines(&world, "EntryUnreadable") <= 9,
        "{}",
        count_log_lines(&world, "EntryUnreadable")
    );
    world.restart_server("e1", 2);
    let back = world.send_light_load(Span::from_secs(1));
    world.run(Span::from_secs(5));
    assert_eq!(world.count_served(&back), back.len());
    world.check_invariants();
}

/// Where servers report their starts, an entry without a start was written by another program.
#[test]
fn entry_withoutstartnamesnoserver() {
    let mut world = warm_world();
    let (_, served) = world.servers[&name::<Server>("p0")].clone();
    let without_start = Backend {
        address: support::setup::address(9, 9),
        start: None,
        ..(*served).clone()
    };
    world.write_entry(
        EntryKey::Server(name("p9")),
        EntryValue::Server(Arc::new(without_start)),
    );
    world.run(Span::from_millis(200));
    let post = |at| support::setup::request(&format!("p{at}"), "/post/x", 2_000, None);
    let numbers = world.send_requests(40, PAUSE, post);
    world.run(Span::from_secs(3));
    assert_eq!(world.count_served(&numbers), 40);
    assert_eq!(repeated_arrivals(&world, &numbers), 0);
    world.check_invariants();
}

/// An unreadable entry of a leadership counts as absent, and the operator's last readable entries stay in
/// force.
#[test]
fn entry_unreadablefreestheleadership() {
    let mut world = warm_world();
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

/// One adapter gets a new version every 300 ms, as when it is retrained repeatedly, while it is requested every
/// 40 ms and also for long answers. No request starts on a version older than the newest one published when the
/// request was sent, all requests are served, and five seconds after the last publication only the last version
/// is in use.
#[test]
fn versions_inquicksuccession() {
    let mut world = warm_world();
    let mut numbers = Vec::new();
    for version in 2..22 {
        world.publish_version("a5", version);
        let call = |at: usize| match at {
            0 => support::setup::request(
                &format!("l{version}"),
                "/brief/x",
                15_000,
                Some(support::setup::inference_spec("a5", 600, 200)),
            ),
            _ => adapter_request(&format!("v{version}-{at}"), "a5"),
        };
        numbers.extend(world.send_requests(7, PAUSE, call));
    }
    world.run(Span::from_secs(5));
    let last = world.send_requests(10, PAUSE, |at| adapter_request(&format!("z{at}"), "a5"));
    world.run(Span::from_secs(9));
    let (all, served) = (numbers.len(), world.count_served(&numbers));
    assert!(served * 100 >= all * 95, "{served} of {all}");
    assert_eq!(world.count_served(&last), last.len());
    let ran = last
        .iter()
        .flat_map(|number| &world.requests[number].versions);
    assert!(ran.clone().count() > 0 && ran.clone().all(|(_, ran)| *ran == 21));
    world.check_invariants();
}
