//! Priority among the requests of one account that asks for several times its limit.
//!
//! The load is that of an account on the heaviest day measured: urgent requests at half of its limit, and less urgent ones
//! at three times its limit, at VMs chosen at random.

mod support;

use std::sync::Arc;

use dahliastile_core::time::Span;
use dahliastile_gateway::config::{Config, Route, RouteIndex};
use dahliastile_gateway::event::CallerRequest;
use dahliastile_gateway::feature::{DisabledFeatures, Feature};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::accounts::{
    account, allowed_in_window, config, peak_window_tokens, request, served_and_sent, tuning,
};
use support::{Answer, World, setup};

/// The number of VMs.
const VMS: usize = 70;
/// The interval at which callers send requests.
const STEP: Span = Span::from_millis(5);

/// Makes requests to the route `/post/` more urgent than all others.
fn with_urgent_route(config: Config) -> Config {
    let urgent = |route: &Arc<Route>| {
        let priority = if route.prefix == "/post/" { 0 } else { 2 };
        Arc::new(Route {
            priority,
            ..(**route).clone()
        })
    };
    Config {
        routes: config.routes.iter().map(urgent).collect(),
        ..config
    }
}

/// Runs a fleet whose only account has a limit of `rate` tokens per second, with urgent and other requests at these
/// multiples of the limit. Returns the percentage of refused requests, of urgent and of other ones.
fn refused(rate: u32, multiples: (f64, f64), without: DisabledFeatures) -> (f64, f64) {
    let mut world = World::without_features(VMS, 0, 4, tuning(), without);
    let limit = u64::from(rate);
    world.configure(with_urgent_route(config(
        2,
        vec![account("a", &["urgent", "other"], limit)],
    )));
    world.run(Span::from_secs(10));
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut sent = 0;
    let mut begin = world.now;
    let end = begin + Span::from_secs(24);
    while world.now < end {
        for (key, path, multiple) in [
            ("urgent", "/post/x", multiples.0),
            ("other", "/query/x", multiples.1),
        ] {
            let expected = f64::from(rate) * multiple * STEP.as_secs_f64() / 2_400.0;
            if rng.random_bool(expected.min(1.0)) {
                sent += 1;
                let request = CallerRequest {
                    path: path.to_owned(),
                    ..request(&format!("{key}-{sent}"), key)
                };
                world.send_request(rng.random_range(0..VMS), request);
            }
        }
        world.run(STEP);
    }
    world.run(Span::from_secs(1));
    assert!(peak_window_tokens(&world, "a") <= allowed_in_window(limit));
    // The account is at its limit after the first window.
    begin += Span::from_secs(8);
    let counts = served_and_sent(&world, begin, end);
    let percent = |key: &str| {
        let (served, sent) = counts[key];
        let number = |count: usize| f64::from(u32::try_from(count).expect("few"));
        100.0 * number(sent - served) / number(sent)
    };
    let refusals = world.requests.values().filter(|r| r.ended.is_some());
    let all_answered = refusals.clone().count() == world.requests.len();
    assert!(all_answered, "each request has an answer");
    let late = refusals
        .filter_map(|r| {
            r.ended
                .as_ref()
                .map(|(at, answer)| (at.since(r.at), answer))
        })
        .filter(|(took, answer)| {
            matches!(answer, Answer::Refused(..)) && *took > Span::from_millis(50)
        });
    assert_eq!(late.count(), 0, "refusals take at most 50 ms");
    (percent("urgent"), percent("other"))
}

/// Guards against urgent requests being refused while less urgent ones of the same account are served, for accounts of
/// which few and of which all VMs hold a share.
#[test]
fn priority_urgentisrefusedlast() {
    for rate in [40_000, 150_000] {
        let with = refused(rate, (0.5, 3.0), DisabledFeatures::default());
        let off = [Feature::QuotaPriority].into_iter().collect();
        let without = refused(rate, (0.5, 3.0), off);
        eprintln!("rate {rate}: refused with {with:?}, without {without:?} percent");
        assert!(with.0 < 2.0, "{} % of the urgent requests refused", with.0);
        assert!(without.0 > 30.0, "the load is not short of tokens");
    }
}

/// Guards against tokens kept for urgent requests while the account is within its limit.
#[test]
fn priority_calmloadisserved() {
    let (urgent, other) = refused(40_000, (0.2, 0.3), DisabledFeatures::default());
    assert!(urgent < 0.5 && other < 0.5, "{urgent} % and {other} %");
}

/// Guards against requests to one service that are refused to keep tokens for urgent requests to another: a flood of
/// urgent prompts used to refuse plain requests of a tenth of their cost.
#[test]
fn priority_countswithinaservice() {
    let index = RouteIndex::new(&setup::config(1));
    let level = |service: &str, priority| {
        let service = service.parse().expect("a name");
        index.levels_below_first(&service, priority)
    };
    assert_eq!((level(setup::ENGINES, 0), level(setup::ENGINES, 1)), (0, 1));
    assert_eq!((level(setup::PLAIN, 2), level(setup::PLAIN, 3)), (0, 1));
}
