//! Numbers that others send: the operator's configuration, servers' entries, answers and reports, callers, and other VMs.
//! Each takes its smallest and its largest values for a while, under load. Guards against arithmetic in which a number leaves
//! its range, against steps without end, and against a decision that outlives the number.
//!
//! Left out are numbers that only order, such as versions, revisions and fencing tokens: the highest one stays in force.

mod support;

use std::sync::Arc;

use dahliastile_core::id::{Incarnation, Server};
use dahliastile_core::time::Span;
use dahliastile_gateway::account::quota::window::loan::{
    LendAnswer, LendRequest, LoanAnswer, LoanRequest, Shortage,
};
use dahliastile_gateway::account::{Account, TokenLimit, TokenRate, Tokens, Unit};
use dahliastile_gateway::cluster::snapshot::{Backend, EntryKey, EntryValue};
use dahliastile_gateway::config::{Config, EngineSpec, Route, Target};
use dahliastile_gateway::event::{CallerRequest, Event, PromptPart, Report};
use dahliastile_gateway::feature::DisabledFeatures;
use dahliastile_gateway::message::{self, Message};
use dahliastile_gateway::request::notice::{Notice, NoticeField, Rate};
use dahliastile_gateway::settings::Tuning;
use support::setup::{adapter_request, mixed_request, name, request};
use support::{World, accounts};

/// Whole numbers; narrower types take what fits of them.
const NUMBERS: [u64; 11] = [
    0,
    1,
    2,
    1_000_001,
    u32::MAX as u64 - 1,
    u32::MAX as u64,
    1 << 40,
    i64::MAX as u64,
    i64::MAX as u64 + 1,
    u64::MAX - 1,
    u64::MAX,
];

/// Numbers with a fraction, as far as JSON has them.
const FRACTIONS: [f64; 9] = [
    -f64::MAX,
    -1.0,
    0.0,
    f64::MIN_POSITIVE,
    1e-9,
    0.5,
    1e18,
    1e300,
    f64::MAX,
];

/// How long a number is in force, and how long another one before the next.
const SPAN: Span = Span::from_millis(400);

/// How long after the last number all is as before.
const RECOVERY: Span = Span::from_secs(6);

/// What must be served after that.
const SERVED_PERCENT: usize = 97;

fn narrow(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn byte(number: u64) -> u8 {
    u8::try_from(number).unwrap_or(u8::MAX)
}

fn size(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

/// Asserts that nearly all of these requests were served.
fn check_served(world: &World, numbers: &[u64], case: &str) {
    let served = world.count_served(numbers);
    assert!(
        served * 100 >= numbers.len() * SERVED_PERCENT,
        "{case}: {served} of {} served",
        numbers.len()
    );
    world.check_invariants();
}

/// Asserts that a fleet serves as before.
fn check_recovered(world: &mut World, case: &str) {
    world.send_heavy_load(RECOVERY);
    let numbers = world.send_heavy_load(Span::from_secs(2));
    world.run(Span::from_secs(6));
    check_served(world, &numbers, case);
}

/// Changes an engine specification by a number, or by one with a fraction.
type ChangeEngine = fn(&mut EngineSpec, u64, f64);
/// Changes a route likewise.
type ChangeRoute = fn(&mut Route, u64, f64);

/// Puts numbers into the configuration, one after the other, and takes each out again.
fn play_configs(case: &str, change: impl Fn(&mut Config, usize)) {
    let mut world = World::under_load(3);
    let mut version = 1;
    for at in 0..NUMBERS.len() {
        for is_odd in [true, false] {
            version += 1;
            let mut config = support::setup::config(version);
            if is_odd {
                change(&mut config, at);
            }
            world.configure(config);
            world.send_heavy_load(SPAN);
        }
    }
    check_recovered(&mut world, case);
}

#[test]
fn numbers_ofengineconfigs() {
    let fields: [(&str, ChangeEngine); 9] = [
        ("batch", |spec, number, _| spec.batch = narrow(number)),
        ("tokens", |spec, number, _| spec.tokens = number),
        ("memory", |spec, _, fraction| spec.memory_mb = fraction),
        ("slots", |spec, number, _| spec.adapter_slots = size(number)),
        ("loads", |spec, _, fraction| spec.loads_per_s = fraction),
        ("size", |spec, _, fraction| {
            spec.models[0].size_mb = fraction;
        }),
        ("adapter", |spec, _, fraction| {
            spec.models[0].adapter_mb = fraction;
        }),
        ("load", |spec, number, _| spec.models[0].load = Span(number)),
        ("all", |spec, number, fraction| {
            (spec.batch, spec.tokens, spec.adapter_slots) = (narrow(number), number, size(number));
            (spec.memory_mb, spec.loads_per_s) = (fraction, fraction);
            spec.models[0].load = Span(number);
        }),
    ];
    for (field, change) in fields {
        play_configs(field, |config, at| {
            let service = Arc::make_mut(&mut config.services[0]);
            let spec = service.engine.as_mut().expect("a service with engines");
            change(spec, NUMBERS[at], FRACTIONS[at % FRACTIONS.len()]);
        });
    }
}

#[test]
fn numbers_ofrouteconfigs() {
    let fields: [(&str, ChangeRoute); 7] = [
        ("timeout", |route, number, _| route.timeout = Span(number)),
        ("objective", |route, number, _| {
            route.objective = Span(number);
        }),
        ("pause", |route, number, _| route.pause = Span(number)),
        ("caller timeout", |route, number, _| {
            route.caller_timeout = Span(number);
        }),
        ("priority", |route, number, _| route.priority = byte(number)),
        ("attempts", |route, number, _| {
            route.attempts = narrow(number);
        }),
        ("weight", |route, number, _| {
            let service = route.targets[0].service.clone();
            let weight = narrow(number);
            route.targets = vec![Target { service, weight }; 3];
        }),
    ];
    for (field, change) in fields {
        play_configs(field, |config, at| {
            for route in &mut config.routes {
                let fraction = FRACTIONS[at % FRACTIONS.len()];
                change(Arc::make_mut(route), NUMBERS[at], fraction);
            }
        });
    }
}

/// Puts numbers into the accounts of a fleet, and into what their callers send.
#[test]
fn numbers_ofaccounts() {
    for is_limited in [false, true] {
        let mut world = World::configured(
            &[25; 3],
            12,
            4,
            accounts::tuning(),
            DisabledFeatures::default(),
        );
        let account = |number: Option<u64>| {
            let usual = accounts::account("a", &["k"], if is_limited { 400_000 } else { 0 });
            let Some(number) = number else {
                return usual;
            };
            Arc::new(Account {
                unit: Unit::Tokens(Tokens::from(number)),
                limit: is_limited.then_some(TokenLimit {
                    rate: TokenRate::from(number),
                    burst: Tokens::from(number),
                }),
                ..Account::clone(&usual)
            })
        };
        let mut version = 1;
        for number in NUMBERS.into_iter().map(Some).chain([None]) {
            version += 1;
            world.configure(accounts::config(version, vec![account(number)]));
            for tokens in NUMBERS {
                world.send_requests(6, Span::from_millis(10), |at| CallerRequest {
                    tokens: Some(Tokens::from(tokens)),
                    ..accounts::request(&format!("{version}-{tokens}-{at}"), "k")
                });
            }
        }
        world.run(Span::from_secs(15));
        let numbers = world.send_requests(100, Span::from_millis(20), |at| {
            accounts::request(&format!("last{at}"), "k")
        });
        world.run(Span::from_secs(3));
        check_served(&world, &numbers, &format!("limited={is_limited}"));
    }
}

#[test]
fn numbers_ofentries() {
    let mut world = World::under_load(3);
    let servers: Vec<Server> = world.servers.keys().cloned().collect();
    for number in NUMBERS {
        for server in &servers {
            let backend = Backend::clone(&world.servers[server].1);
            let backend = Backend {
                slots: narrow(number),
                start: Some(Incarnation(number)),
                ..backend
            };
            let value = EntryValue::Server(Arc::new(backend));
            world.write_entry(EntryKey::Server(server.clone()), value);
        }
        world.send_heavy_load(SPAN);
        for server in &servers {
            world.rewrite_server_entry(server.as_str());
        }
        world.send_heavy_load(SPAN);
    }
    check_recovered(&mut world, "entries");
}

#[test]
fn numbers_ofnotices() {
    let mut world = World::under_load(3);
    let servers: Vec<Server> = world.servers.keys().cloned().collect();
    for number in NUMBERS {
        let notice = Notice {
            limit: NoticeField::Present(Rate::from(number)),
            brittle: NoticeField::Present(narrow(number)),
            ..Notice::default()
        };
        for notice in [notice, Notice::default()] {
            for vm in 0..3 {
                for server in &servers {
                    let event = Event::NoticeReceived(server.clone(), notice);
                    world.deliver_event(vm, event);
                }
            }
            world.send_heavy_load(SPAN);
        }
    }
    check_recovered(&mut world, "notices");
}

#[test]
fn numbers_ofreports() {
    let mut world = World::under_load(3);
    let engines: Vec<Server> = (0..12).map(|number| name(&format!("e{number}"))).collect();
    for number in NUMBERS {
        for engine in &engines {
            let mut report = support::setup::report(Vec::new());
            report.models[0].version = number;
            let report = Report {
                loading: vec![(report.models[0].model.clone(), "a1".into(), number)],
                orders: number,
                ..report
            };
            for vm in 0..3 {
                let event = Event::ReportReceived(engine.clone(), Some(report.clone()));
                world.deliver_event(vm, event);
            }
        }
        world.send_heavy_load(SPAN);
    }
    // The next orders bring the counts to their largest value.
    for engine in &engines {
        let (engine, _) = world.servers.get_mut(engine).expect("it exists");
        engine.accepted_orders = u64::MAX - 2;
    }
    world.send_requests(200, Span::from_millis(50), |at| {
        adapter_request(&format!("c{at}"), &format!("c{at}"))
    });
    check_recovered(&mut world, "reports");
}

#[test]
fn numbers_ofcallers() {
    let mut world = World::under_load(3);
    for number in NUMBERS {
        world.send_requests(20, Span::from_millis(20), |at| {
            let id = format!("{number}-{at}");
            let mut request = match at % 2 {
                0 => adapter_request(&id, &format!("a{at}")),
                _ => request(&id, "/query/x", 2_000, None),
            };
            request.caller_timeout = Some(Span(number));
            request.tokens = Some(Tokens::from(number));
            if let Some(work) = &mut request.work {
                work.prompt_tokens = narrow(number);
                work.max_output_tokens = narrow(number);
                let part = |id| PromptPart {
                    id,
                    tokens: narrow(number),
                };
                work.prompt_parts = (0..8).map(part).collect();
            }
            if at % 4 < 2 {
                request.caller_timeout = Some(Span::from_secs(5));
            }
            request
        });
        let numbers = world.send_requests(20, Span::from_millis(20), mixed_request);
        assert_eq!(numbers.len(), 20);
    }
    check_recovered(&mut world, "callers");
}

/// Changes the tuning by a number, or by one with a fraction.
type ChangeTuning = fn(&mut Tuning, u64, f64);

/// Numbers of the settings file, which a VM keeps for as long as it runs: its steps end, and so does the VM.
#[test]
fn numbers_ofsettings() {
    let fields: [(&str, ChangeTuning); 10] = [
        ("entry lease", |tuning, number, _| {
            tuning.entry_lease = tuning.entry_lease.max(Span(number));
        }),
        ("lease", |tuning, number, _| {
            tuning.lease = tuning.lease.max(Span(number));
        }),
        ("report interval", |tuning, number, _| {
            tuning.report_interval = Span(number);
        }),
        ("retry ratio", |tuning, _, fraction| {
            tuning.retry_ratio = fraction;
        }),
        ("retry extra", |tuning, _, fraction| {
            tuning.retry_extra = fraction;
        }),
        ("retry window", |tuning, number, _| {
            tuning.retry_window = Span(number);
        }),
        ("quota window", |tuning, number, fraction| {
            tuning.quota_window = Span(number);
            tuning.quota_overage = fraction;
        }),
        ("quota slack", |tuning, _, fraction| {
            tuning.quota_slack = fraction;
        }),
        ("drain", |tuning, number, _| tuning.drain = Span(number)),
        ("grace", |tuning, number, _| tuning.grace = Span(number)),
    ];
    // The settings file knows these as well.
    let fractions = FRACTIONS
        .into_iter()
        .chain([f64::NAN, f64::INFINITY, f64::NEG_INFINITY]);
    let numbers = NUMBERS.into_iter().chain([u64::MAX]);
    for (field, change) in fields {
        for (number, fraction) in numbers.clone().zip(fractions.clone()) {
            let mut tuning = accounts::tuning();
            change(&mut tuning, number, fraction);
            let mut world = World::with_tuning(3, 4, 2, tuning);
            world.configure(accounts::config(
                2,
                vec![accounts::account("a", &["k"], 100_000)],
            ));
            world.run(Span::from_secs(2));
            world.announce_leaving("p0");
            world.send_requests(60, Span::from_millis(10), |at| {
                accounts::request(&format!("s{at}"), "k")
            });
            world.crash_server("p1");
            world.send_requests(20, Span::from_millis(10), |at| {
                accounts::request(&format!("t{at}"), "k")
            });
            world.stop(0);
            world.run(Span::from_secs(3));
            assert!(
                world.vms[1].gateway.is_some(),
                "{field} {number} {fraction}"
            );
        }
    }
}

/// Messages of another VM that is one of this fleet, with a number.
fn messages(number: u64) -> Vec<Message> {
    let (span, tokens) = (Span(number), Tokens::from(number));
    let account = || name("a");
    let mut messages = vec![
        Message::LoanRequest(LoanRequest {
            account: account(),
            number,
            tokens,
            extra: tokens,
            priority: byte(number),
        }),
        Message::LoanAnswer(LoanAnswer {
            account: account(),
            number,
            answer: Ok((tokens, span)),
        }),
        Message::LoanAnswer(LoanAnswer {
            account: account(),
            number,
            answer: Err(Shortage {
                none_for: span,
                retry_after: span,
                reserved: false,
            }),
        }),
        Message::LendRequest(LendRequest {
            account: account(),
            number,
            tokens,
        }),
        Message::LendAnswer(LendAnswer {
            account: account(),
            number,
            tokens,
            left: tokens,
            growth: TokenRate::from(number),
        }),
        Message::SurplusTokens(number, vec![(account(), tokens); 2]),
        Message::PartsWatched(vec![(
            dahliastile_gateway::request::fingerprint::Fingerprint::of([b"x".as_slice()]),
            span,
        )]),
        Message::BuildHistory(std::iter::empty().collect(), span),
    ];
    for server in (0..4).map(|number| format!("p{number}")) {
        let server: Server = name(&server);
        messages.push(Message::ServerRateLimit(
            server.clone(),
            Some(Rate::from(number)),
        ));
        for request in 0..40 {
            let answer = Err(Span(number));
            messages.push(Message::SendPermitReply(request, server.clone(), answer));
        }
    }
    messages
}

/// Messages with numbers, of which those on servers' limits are withdrawn again.
#[test]
fn numbers_ofothervms() {
    let mut world = World::configured(
        &[25; 3],
        12,
        4,
        accounts::tuning(),
        DisabledFeatures::default(),
    );
    let account = accounts::account("a", &["k"], 100_000);
    let public = |route: &Arc<Route>| {
        let mut route = Route::clone(route);
        route.public = true;
        Arc::new(route)
    };
    let mut config = accounts::config(2, vec![account]);
    config.routes = config.routes.iter().map(public).collect();
    world.configure(config);
    world.send_heavy_load(Span::from_secs(4));
    let mut count = 0;
    for number in NUMBERS {
        for _ in 0..4 {
            for vm in 0..3 {
                let from: dahliastile_core::id::Vm = name(&format!("vm{}", (vm + 1) % 3));
                let sent = message::encode(&messages(number)).expect("they can be encoded");
                for message in message::decode(&sent).expect("they can be read") {
                    let event = Event::PeerMessage(from.clone(), message);
                    world.deliver_event(vm, event);
                }
            }
            world.send_heavy_load(SPAN);
            // Some must borrow.
            count += 1;
            world.send_requests(60, Span::from_millis(5), |at| {
                accounts::request(&format!("{count}-{at}"), "k")
            });
        }
        for vm in 0..3 {
            for server in (0..4).map(|number| format!("p{number}")) {
                let event = Event::PeerMessage(
                    name(&format!("vm{}", (vm + 1) % 3)),
                    Message::ServerRateLimit(name(&server), None),
                );
                world.deliver_event(vm, event);
            }
        }
        world.send_heavy_load(SPAN);
    }
    check_recovered(&mut world, "other VMs");
}
