//! The account of a request, found by its API key.

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

/// The time within which a new configuration is in force on all VMs.
const IN_FORCE: Span = Span::from_secs(2);

/// Creates a fleet that has run for 4 s and knows two accounts without limits.
fn fleet_with_accounts() -> World {
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

/// Sends a request to a VM and returns its answer.
fn send_and_wait(world: &mut World, vm: usize, request: CallerRequest) -> Answer {
    let number = world.send_request(vm, request);
    world.run(Span::from_millis(500));
    let answer = world.answer(number).cloned();
    answer.expect("an answer")
}

fn served(answer: &Answer) -> bool {
    matches!(answer, Answer::Served(_))
}

/// A server is told the account of a request, whichever of the account's keys the request has.
#[test]
fn account_ofeachkey() {
    let mut world = fleet_with_accounts();
    for (text, account) in [
        ("key-n1", "north"),
        ("key-n2", "north"),
        ("key-s1", "south"),
    ] {
        let number = world.send_request(0, request("r", text));
        world.run(Span::from_millis(500));
        let accounts = &world.requests[&number].accounts;
        assert_eq!(accounts, &vec![Some(name(account))], "{text}");
    }
}

/// A request without a key, or with one that no account holds, is refused without a retry time by a VM with a current
/// configuration.
#[test]
fn key_unknownisrefused() {
    let mut world = fleet_with_accounts();
    let without = CallerRequest {
        key: None,
        ..request("r", "any")
    };
    for request in [without, request("r", "key-x")] {
        let answer = send_and_wait(&mut world, 1, request);
        assert_eq!(answer, Answer::Refused(RefusalReason::UnknownKey, None));
    }
}

/// A VM without news of the key-value service can't know whether a newer configuration has the key. It refuses a
/// request with an unknown key with a retry time, and still serves those with known keys.
#[test]
fn key_unknowntoastalevmmayretry() {
    let mut world = fleet_with_accounts();
    world.vms[3].store_reachable = false;
    world.vms[3].peers_reachable = false;
    world.run(Span::from_secs(3));
    let mut with_west = accounts();
    with_west.push(account("west", &["key-w1"], 0));
    world.configure(config(3, with_west));
    world.run(IN_FORCE);
    let stale = send_and_wait(&mut world, 3, request("r", "key-w1"));
    assert!(
        matches!(
            stale,
            Answer::Refused(RefusalReason::UnconfirmedKey, Some(_))
        ),
        "{stale:?}"
    );
    assert!(served(&send_and_wait(
        &mut world,
        1,
        request("r", "key-w1")
    )));
    // A key that the stale VM knows is still served.
    assert!(served(&send_and_wait(
        &mut world,
        3,
        request("r", "key-n1")
    )));
}

/// Requests of a public route need no key.
#[test]
fn route_publicneedsnokey() {
    let mut world = fleet_with_accounts();
    let mut public = config(3, accounts());
    public.routes = public
        .routes
        .iter()
        .map(|route| make_public(route))
        .collect();
    world.configure(public);
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

fn make_public(route: &Route) -> Arc<Route> {
    Arc::new(Route {
        public: true,
        ..route.clone()
    })
}

/// Requests need no key if the configuration has no accounts.
#[test]
fn accounts_noneconfigured() {
    let mut world = World::with_tuning(3, 2, 4, tuning());
    world.run(Span::from_secs(4));
    assert!(served(&send_and_wait(
        &mut world,
        0,
        CallerRequest {
            key: None,
            ..request("r", "any")
        }
    )));
}

/// Added, moved and removed keys take effect on all VMs within [`IN_FORCE`], also on a VM that can't reach the
/// key-value service and learns of them from other VMs only.
#[test]
fn keys_changeeverywhere() {
    let mut world = fleet_with_accounts();
    world.vms[2].store_reachable = false;
    world.vms[5].store_reachable = false;
    let moved = vec![
        account("north", &["key-n1"], 0),
        account("south", &["key-s2", "key-n2"], 0),
    ];
    world.configure(config(3, moved));
    world.run(IN_FORCE);
    for vm in 0..6 {
        let removed = send_and_wait(&mut world, vm, request("r", "key-s1"));
        assert!(!served(&removed), "vm{vm}");
        assert!(
            served(&send_and_wait(&mut world, vm, request("r", "key-s2"))),
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

/// A removed key stays removed when VMs restart and learn the configuration from other VMs only, and when an older
/// configuration arrives late.
#[test]
fn key_removedneverreturns() {
    let mut world = fleet_with_accounts();
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
            !served(&send_and_wait(&mut world, vm, request("r", "key-s1"))),
            "vm{vm}"
        );
    }
}

/// The priority of an account overrides that of the route.
#[test]
fn priority_ofaccountoverridesroute() {
    let mut world = fleet_with_accounts();
    let with_priority = Account {
        priority: Some(7),
        ..(*account("north", &["key-n1"], 0)).clone()
    };
    world.configure(config(3, vec![Arc::new(with_priority)]));
    world.run(IN_FORCE);
    let to_engine = CallerRequest {
        key: Some(key("key-n1")),
        ..setup::adapter_request("r", "a1")
    };
    let number = world.send_request(0, to_engine);
    world.run(Span::from_secs(3));
    assert_eq!(world.requests[&number].priorities, vec![7]);
}

/// A malformed key is rejected: an empty one, one with a space or a byte that is not printable ASCII, and one that
/// is too long.
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

/// The text of a key never appears in the printed or encoded form of a key, configuration or request, nor in a log
/// line, under random changes of the configuration, restarts and outages.
#[test]
fn key_isneverprinted() {
    // quickcheck passes the cases of a property by value.
    #[allow(clippy::needless_pass_by_value)]
    fn hides_key(text: String, steps: Vec<u8>) -> bool {
        let secret: String = text.chars().filter(char::is_ascii_alphanumeric).collect();
        let secret = format!("secret{secret}");
        let mut world = World::with_tuning(3, 1, 2, tuning());
        let with_secret = |version| config(version, vec![account("north", &[&secret], 9_000)]);
        for (at, step) in steps.iter().enumerate() {
            let version = 2 + at as u64;
            match step % 6 {
                0 => world.configure(with_secret(version)),
                1 => world.configure(Config {
                    accounts: Some(Vec::new()),
                    ..with_secret(version)
                }),
                2 => world.kill(usize::from(*step) % 3, false),
                3 => world.vms[usize::from(*step) % 3].store_reachable ^= true,
                _ => {
                    world.send_request(usize::from(*step) % 3, request("r", &secret));
                }
            }
            world.run(Span::from_millis(300));
        }
        let printed = format!("{:?} {:?}", world.requests, with_secret(1));
        let bytes = postcard::to_stdvec(&with_secret(1)).expect("bytes");
        let in_bytes = bytes.windows(secret.len()).any(|w| w == secret.as_bytes());
        !in_bytes
            && !printed.contains(&secret)
            && !world.log_lines.iter().any(|l| l.contains(&secret))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(24, 7))
        .tests(40)
        .quickcheck(hides_key as fn(String, Vec<u8>) -> bool);
}
