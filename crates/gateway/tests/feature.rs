//! Features: their names, and a fleet in which each is switched off.

mod support;

use dahliastile_core::time::Span;
use dahliastile_gateway::feature::{DisabledFeatures, Feature};
use dahliastile_gateway::settings::Tuning;
use support::World;
use support::setup::adapter_request;

/// A feature's name parses to the feature, and the error for another name lists the known ones.
#[test]
fn name_isreadback() {
    for (feature, name) in Feature::ALL {
        assert_eq!(feature.to_string(), name);
        assert_eq!(name.parse(), Ok(feature));
    }
    let error = "copy".parse::<Feature>().expect_err("no feature");
    assert!(error.to_string().contains("copies"), "{error}");
}

/// A set of disabled features prints their names.
#[test]
fn without_printsnames() {
    assert_eq!(DisabledFeatures::default().to_string(), "-");
    let without: DisabledFeatures = [Feature::LeaseVotes, Feature::ExtraReplicas]
        .into_iter()
        .collect();
    assert_eq!(without.to_string(), "copies,pledges");
    assert!(!without.uses(Feature::ExtraReplicas) && without.uses(Feature::Strength));
}

/// With each feature switched off, and with all of them off, the invariants hold and at least 70 % of a light load is
/// served during an outage of the key-value service, the crash of an engine, the crash of the scheduler's VM and a new
/// adapter version. Engines do not check fencing tokens.
#[test]
fn without_anyinvariantshold() {
    let each = Feature::ALL
        .iter()
        .map(|(feature, _)| [*feature].into_iter().collect());
    let all = Feature::ALL.iter().map(|(feature, _)| *feature).collect();
    for without in each.chain([all]) {
        let tuning = Tuning {
            fencing: false,
            ..Tuning::default()
        };
        let mut world = World::without_features(4, 4, 1, tuning, without);
        world.run(Span::from_secs(2));
        let mut numbers = Vec::new();
        for round in 0..6_u64 {
            match round {
                1 => world.publish_version("a5", 2),
                2 => world.crash_server("e1"),
                3 => world.kill(world.holder().expect("a holder"), false),
                4 => world.store_up = false,
                5 => world.store_up = true,
                _ => {}
            }
            world.wake_watchers();
            let request = |at: usize| {
                adapter_request(&format!("r{round}-{at}"), &format!("a{}", at * 5 % 12))
            };
            numbers.extend(world.send_requests(50, Span::from_millis(40), request));
        }
        world.run(Span::from_secs(6));
        let (served, all) = (world.count_served(&numbers), numbers.len());
        assert!(
            served * 10 >= all * 7,
            "{served} of {all} requests served without {without}"
        );
        world.check_invariants();
    }
}
