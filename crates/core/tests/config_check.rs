//! The checks of a whole configuration: each names the place and what is wrong there.

#[path = "edits/random.rs"]
mod random;

use dahliastile_core::config::{Document, Header, check, warnings};
use random::document;

/// Paths at which a document is refused after a change.
fn refused(change: impl FnOnce(&mut Document)) -> Vec<String> {
    let mut document = document();
    change(&mut document);
    let problems = check(&document);
    problems.into_iter().map(|problem| problem.path).collect()
}

/// Paths for which there are warnings after a change that leaves the document valid.
fn warned(change: impl FnOnce(&mut Document)) -> Vec<String> {
    let mut document = document();
    document.rules.clear();
    change(&mut document);
    assert_eq!(check(&document), []);
    let problems = warnings(&document);
    problems.into_iter().map(|problem| problem.path).collect()
}

#[test]
fn check_valid() {
    assert!(refused(|_| {}).is_empty());
    assert!(check(&Document::default()).is_empty());
}

#[test]
fn check_duplicates() {
    assert_eq!(
        refused(|d| d.callers.push(d.callers[1].clone())),
        ["callers[3].name", "callers[3].token_hash"]
    );
    assert_eq!(
        refused(|d| d.services.push(d.services[0].clone())),
        ["services[4].name"]
    );
    assert_eq!(
        refused(|d| d.servers.push(d.servers[0].clone())),
        ["servers[3].name"]
    );
    assert_eq!(
        refused(|d| d.adapters.push(d.adapters[0].clone())),
        ["adapters[3].name"]
    );
    assert_eq!(
        refused(|d| d.rules.push(d.rules[0].clone())),
        ["rules[3].name"]
    );
}

#[test]
fn check_callers() {
    assert_eq!(
        refused(|d| d.callers[1].token_hash = "secret".into()),
        ["callers[1].token_hash"]
    );
    assert_eq!(
        refused(|d| d.callers[1].token_hash = "G".repeat(64)),
        ["callers[1].token_hash"]
    );
    assert_eq!(refused(|d| d.callers[0].weight = 0), ["callers[0].weight"]);
    assert_eq!(
        refused(|d| d.callers[0].rate = Some(0)),
        ["callers[0].rate"]
    );
}

#[test]
fn check_services() {
    assert_eq!(
        refused(|d| d.services[0].store = None),
        ["services[0].store"]
    );
    assert_eq!(
        refused(|d| d.services[0].load_ms = 0),
        ["services[0].load_ms"]
    );
    assert_eq!(
        refused(|d| d.services[1].timeout_ms = 0),
        ["services[1].timeout_ms"]
    );
    assert_eq!(refused(|d| d.services[1].queue = 0), ["services[1].queue"]);
    assert_eq!(
        refused(|d| d.services[0].batch_weight = -1.0),
        ["services[0].batch_weight"]
    );
    assert_eq!(
        refused(|d| d.services[0].stall_weight = f64::NAN),
        ["services[0].stall_weight"]
    );
    let zero =
        |d: &mut Document| (d.services[2].stall_weight, d.services[2].batch_weight) = (0.0, 0.0);
    assert_eq!(refused(zero), ["services[2].stall_weight"]);
}

#[test]
fn check_servers() {
    assert_eq!(
        refused(|d| d.servers[0].address = "nowhere".into()),
        ["servers[0].address"]
    );
    assert_eq!(
        refused(|d| d.servers[0].address = ":80".into()),
        ["servers[0].address"]
    );
    assert_eq!(
        refused(|d| d.servers[0].service = "x".parse().unwrap()),
        ["servers[0].service"]
    );
    assert_eq!(
        refused(|d| d.servers[0].domain = None),
        ["servers[0].domain"]
    );
    let plain = |d: &mut Document| d.servers[0].service = "s1".parse().unwrap();
    assert_eq!(refused(plain), ["servers[0].domain"]);
    let shared = |d: &mut Document| d.servers[1].domain = Some("d0".parse().unwrap());
    assert_eq!(refused(shared), ["servers[1].domain"]);
}

#[test]
fn check_adapters() {
    assert_eq!(
        refused(|d| d.adapters[1].versions.clear()),
        ["adapters[1].versions"]
    );
    assert_eq!(
        refused(|d| d.adapters[1].versions.push("0".into())),
        ["adapters[1].versions[1]"]
    );
    assert_eq!(
        refused(|d| d.adapters[1].name = "a b".into()),
        ["adapters[1].versions[0]"]
    );
    assert_eq!(
        refused(|d| d.adapters[1].versions[0].clear()),
        ["adapters[1].versions[0]"]
    );
    let plain = |d: &mut Document| d.adapters[1].service = "s1".parse().unwrap();
    assert_eq!(refused(plain), ["adapters[1].service"]);
    let none = |d: &mut Document| d.adapters[1].service = "x".parse().unwrap();
    assert_eq!(refused(none), ["adapters[1].service"]);
}

#[test]
fn check_rules() {
    let name = || "x".parse().unwrap();
    assert_eq!(
        refused(|d| d.rules[2].when.caller = "x".parse().ok()),
        ["rules[2].when.caller"]
    );
    assert_eq!(
        refused(|d| d.rules[2].when.service = "x".parse().ok()),
        ["rules[2].when.service"]
    );
    assert_eq!(
        refused(|d| d.rules[2].when.adapter = Some("x".into())),
        ["rules[2].when.adapter"]
    );
    assert_eq!(
        refused(|d| d.rules[2].then.pin.push(name())),
        ["rules[2].then.pin[0]"]
    );
    assert_eq!(
        refused(|d| d.rules[2].then.avoid.push(name())),
        ["rules[2].then.avoid[0]"]
    );
    assert_eq!(
        refused(|d| d.rules[2].then.rate = Some(0)),
        ["rules[2].then.rate"]
    );
    assert_eq!(
        refused(|d| d.rules[2].then.deadline_ms = Some(0)),
        ["rules[2].then.deadline_ms"]
    );
    assert_eq!(
        refused(|d| d.rules[2].then.refuse = Some(String::new())),
        ["rules[2].then.refuse"]
    );
    let header = |d: &mut Document| {
        let (name, value) = ("X-Drill".to_owned(), "1".to_owned());
        d.rules[2].when.header = Some(Header { name, value });
    };
    assert_eq!(refused(header), ["rules[2].when.header.name"]);
    let none_left = |d: &mut Document| {
        d.rules[2].then.pin.push("b0".parse().unwrap());
        d.rules[2].then.avoid.push("b0".parse().unwrap());
    };
    assert_eq!(refused(none_left), ["rules[2].then.avoid"]);
}

#[test]
fn check_removed_references() {
    assert_eq!(
        refused(|d| {
            d.services.remove(0);
        }),
        [
            "servers[0].service",
            "servers[2].service",
            "adapters[0].service",
            "adapters[1].service",
            "adapters[2].service"
        ]
    );
}

#[test]
fn warnings_never_match() {
    let rule = || document().rules[0].clone();
    let with = |change: &dyn Fn(&mut Document)| {
        warned(|d| {
            d.rules.push(rule());
            change(d);
        })
    };
    assert!(with(&|_| {}).is_empty());
    let caller = |d: &mut Document| {
        d.rules[0].when.caller = "c0".parse().ok();
        d.rules[0].when.tenant = "other".parse().ok();
    };
    assert_eq!(with(&caller), ["rules[0].when.tenant"]);
    let version = |d: &mut Document| {
        d.rules[0].when.adapter = Some("a0".into());
        d.rules[0].when.version = Some("9".into());
    };
    assert_eq!(with(&version), ["rules[0].when.version"]);
    let zone = |d: &mut Document| d.rules[0].then.prefer_zone = "moon".parse().ok();
    assert_eq!(with(&zone), ["rules[0].then.prefer_zone"]);
    let covered = |d: &mut Document| {
        let mut second = rule();
        second.name = "second".parse().unwrap();
        d.rules.push(second);
    };
    assert_eq!(with(&covered), ["rules"]);
}
