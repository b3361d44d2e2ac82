//! Whose request it is, by the key that it bears.

mod support;

use std::sync::Arc;

use dahliastile_core::time::Span;
use dahliastile_gateway::account::Account;
use dahliastile_gateway::account::key::{AccountKey, MAX_KEY_BYTES};
use dahliastile_gateway::config::{Config, Route};
use dahliastile_gateway::effect::RefusalReason;
use dahliastile_gateway::event::CallerRequest;
use quickcheck::{Gen, QuickCheck};
use support::accounts::{account, config, key, request, tuning};
use support::setup::{self, name};
use support::{Answer, World};

/// The longest time until a configuration is in force.
const IN_FORCE: Span = Span::from_secs(2);

/// A fleet that knows two accounts without limits.
fn warm() -> World {
    let mut world = World::with_tuning(6, 2, 4, tuning());
    world.configure(config(2, accounts()));
    world.run(Span::from_secs(4));
    world
}

fn accounts() -> Vec<Arc<Account>> {
    vec![
        account("north", &["key-n1", "key-n2"], 0),
        account("south", &["key-s1"], 0),
    ]
}

/// How a call at a VM came out.
fn outcome(world: &mut World, vm: usize, call: CallerRequest) -> Answer {
    let number = world.send_request(vm, call);
    world.run(Span::from_millis(500));
    let answer = world.answer(number).cloned();
    answer.expect("an answer")
}

fn served(answer: &Answer) -> bool {
    matches!(answer, Answer::Served(_))
}

/// Servers are told the account of the key, whichever of its keys it is.
#[test]
fn account_ofeachkey() {
    let mut world = warm();
    for (text, account) in [
        ("key-n1", "north"),
        ("key-n2", "north"),
        ("key-s1", "south"),
    ] {
        let number = world.send_request(0, request("r", text));
        world.run(Span::from_millis(500));
        let told = &world.requests[&number].accounts;
        assert_eq!(told, &vec![Some(name(account))], "{text}");
    }
}

/// A request without a key, or with one that no account holds, is refused for good by a VM that hears of the key-value service.
#[test]
fn key_unknownisrefused() {
    let mut world = warm();
    let without = CallerRequest {
        key: None,
        ..request("r", "any")
    };
    for asked in [without, request("r", "key-x")] {
        let answer = outcome(&mut world, 1, asked);
        assert_eq!(answer, Answer::Refused(RefusalReason::UnknownKey, None));
    }
}

/// A VM that has heard nothing for a while can't know whether a newer configuration holds the key.
#[test]
fn key_unknowntoalatevmisnotrefusedforgood() {
    let mut world = warm();
    world.vms[3].store_reachable = false;
    world.vms[3].peers_reachable = false;
    world.run(Span::from_secs(3));
    let mut now = accounts();
    now.push(account("west", &["key-w1"], 0));
    world.configure(config(3, now));
    world.run(IN_FORCE);
    let late = outcome(&mut world, 3, request("r", "key-w1"));
    assert!(
        matches!(
            late,
            Answer::Refused(RefusalReason::UnconfirmedKey, Some(_))
        ),
        "{late:?}"
    );
    assert!(served(&outcome(&mut world, 1, request("r", "key-w1"))));
    // What it knows it goes on with.
    assert!(served(&outcome(&mut world, 3, request("r", "key-n1"))));
}

/// Public routes need no key.
#[test]
fn route_publicneedsnokey() {
    let mut world = warm();
    let mut open = config(3, accounts());
    open.routes = open.routes.iter().map(|route| public(route)).collect();
    world.configure(open);
    world.run(IN_FORCE);
    let number = world.send_request(
        0,
        CallerRequest {
            key: None,
            ..request("r", "any")
        },
    );
    world.run(Span::from_millis(500));
    assert!(matches!(world.answer(number), Some(Answer::Served(_))));
    assert_eq!(world.requests[&number].accounts, vec![None]);
}

fn public(route: &Route) -> Arc<Route> {
    Arc::new(Route {
        public: true,
        ..route.clone()
    })
}

/// Without accounts in the configuration no key is needed.
#[test]
fn accounts_noneconfigured() {
    let mut world = World::with_tuning(3, 2, 4, tuning());
    world.run(Span::from_secs(4));
    assert!(served(&outcome(
        &mut world,
        0,
        CallerRequest {
            key: None,
            ..request("r", "any")
        }
    )));
}

/// Keys that are added, moved to another account and taken away count so on all VMs in time, also where a VM has only others to hear from.
#[test]
fn keys_changeeverywhere() {
    let mut world = warm();
    world.vms[2].store_reachable = false;
    world.vms[5].store_reachable = false;
    let moved = vec![
        account("north", &["key-n1"], 0),
        account("south", &["key-s2", "key-n2"], 0),
    ];
    world.configure(config(3, moved));
    world.run(IN_FORCE);
    for vm in 0..6 {
        let gone = outcome(&mut world, vm, request("r", "key-s1"));
        assert!(!served(&gone), "vm{vm}");
        assert!(
            served(&outcome(&mut world, vm, request("r", "key-s2"))),
            "vm{vm}"
        );
        let number = world.send_request(vm, request("r", "key-n2"));
        world.run(Span::from_millis(500));
        assert_eq!(
            world.requests[&number].accounts,
            vec![Some(name("south"))],
            "vm{vm}"
        );
    }
}

/// A key that was taken away stays so when a VM starts again and hears only of others, and when an older configuration comes late.
#[test]
fn key_takenawayneverreturns() {
    let mut world = warm();
    let old = config(2, accounts());
    world.configure(config(3, vec![account("north", &["key-n1"], 0)]));
    world.run(IN_FORCE);
    world.configure(old);
    for vm in 0..6 {
        world.kill(vm, false);
        world.run(Span::from_secs(1));
        if vm % 2 == 0 {
            world.vms[vm].store_reachable = false;
        }
    }
    world.run(Span::from_secs(3));
    world.configure(config(4, vec![account("north", &["key-n1"], 0)]));
    world.run(IN_FORCE);
    for vm in 0..6 {
        assert!(
            !served(&outcome(&mut world, vm, request("r", "key-s1"))),
            "vm{vm}"
        );
    }
}

/// The rank of the account goes before the one of the route.
#[test]
fn priority_ofaccountgoesfirst() {
    let mut world = warm();
    let first = Account {
        priority: Some(7),
        ..(*account("north", &["key-n1"], 0)).clone()
    };
    world.configure(config(3, vec![Arc::new(first)]));
    world.run(IN_FORCE);
    let draft = CallerRequest {
        key: Some(key("key-n1")),
        ..setup::adapter_request("r", "a1")
    };
    let number = world.send_request(0, draft);
    world.run(Span::from_secs(3));
    assert_eq!(world.requests[&number].priorities, vec![7]);
}

/// What can't be a key is none.
#[test]
fn key_malformedisnone() {
    for bytes in [
        &b""[..],
        b"a b",
        b"\xff",
        b"a\n",
        &[b'k'; MAX_KEY_BYTES + 1],
    ] {
        assert_eq!(AccountKey::of(bytes), None, "{bytes:?}");
    }
    assert!(AccountKey::of(&[b'k'; MAX_KEY_BYTES]).is_some());
}

/// No text of a key, of a configuration, of a request or of a log line holds the key's own text, whatever happens to the fleet.
#[test]
fn key_isneverprinted() {
    // Properties get their cases by value.
    #[allow(clippy::needless_pass_by_value)]
    fn prints(text: String, steps: Vec<u8>) -> bool {
        let secret: String = text.chars().filter(char::is_ascii_alphanumeric).collect();
        let secret = format!("secret{secret}");
        let mut world = World::with_tuning(3, 1, 2, tuning());
        let with = |version| config(version, vec![account("north", &[&secret], 9_000)]);
        for (at, step) in steps.iter().enumerate() {
            let version = 2 + at as u64;
            match step % 6 {
                0 => world.configure(with(version)),
                1 => world.configure(Config {
                    accounts: Some(Vec::new()),
                    ..with(version)
                }),
                2 => world.kill(usize::from(*step) % 3, false),
                3 => world.vms[usize::from(*step) % 3].store_reachable ^= true,
                _ => {
                    world.send_request(usize::from(*step) % 3, request("r", &secret));
                }
            }
            world.run(Span::from_millis(300));
        }
        let calls = format!("{:?} {:?}", world.requests, with(1));
        let bytes = postcard::to_stdvec(&with(1)).expect("bytes");
        let in_bytes = bytes.windows(secret.len()).any(|w| w == secret.as_bytes());
        !in_bytes
            && !calls.contains(&secret)
            && !world.log_lines.iter().any(|l| l.contains(&secret))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(24, 7))
        .tests(40)
        .quickcheck(prints as fn(String, Vec<u8>) -> bool);
}
