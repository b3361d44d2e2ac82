//! Client accounts, at entry VMs as processes: whose requests servers are told of, and that keys stay with the VM.

#[path = "platform/fleet.rs"]
mod fleet;

use std::io::Write;
use std::net::TcpStream;
use std::path::{Path, PathBuf};

use dahliastile_standin::fleet::Replica;
use fleet::{Answer, Fleet, config, read, request_with, until};
use serde_json::{Value, json};

/// Keys of two accounts.
const NORTH: &str = "northkey1234567890ab";
const SOUTH: &str = "southkey1234567890ab";

/// A configuration with two accounts: one without a limit, and one that may use so many tokens a second.
fn accounts(version: u64, north: &[&str], south: u64) -> Value {
    let mut config = config(version);
    config["tenants"] = json!([
        {"name": "north", "apiKeys": north, "priority": 1, "unit": "tokens", "plainTokens": 200},
        {"name": "south", "apiKeys": [SOUTH], "unit": "tokens", "plainTokens": 200, "ratePerS": south, "burst": south},
    ]);
    config
}

/// A fleet that knows both accounts.
fn start(vms: u8) -> Fleet {
    start_logging(vms, None)
}

/// The same, with its logs in a folder.
fn start_logging(vms: u8, logs: Option<PathBuf>) -> Fleet {
    let mut fleet = Fleet::servers();
    fleet.logs = logs;
    fleet.store.put("op/config", &accounts(1, &[NORTH], 1));
    for number in 1..=vms {
        let vm = fleet.start(number, None);
        fleet.vms.push(vm);
    }
    for vm in &fleet.vms {
        until("a VM is ready", || vm.ready());
    }
    fleet
}

fn asked(id: &str, headers: &str) -> String {
    request_with(
        id,
        "/post/x",
        None,
        &format!("Deadline-Ms: 5000\r\n{headers}"),
    )
}

fn ask(fleet: &Fleet, id: &str, headers: &str) -> Answer {
    fleet.vms[0].raw(&asked(id, &format!("{headers}Connection: close\r\n")))
}

/// A header of what the server that ran a request was sent.
fn sent(fleet: &Fleet, id: &str, name: &str) -> Option<String> {
    let runs = fleet.plain.iter().flat_map(Replica::runs);
    let mut runs = runs.filter(|run| run.asked.headers.get("request-id").is_some_and(|i| i == id));
    runs.next()?.asked.headers.get(name).cloned()
}

/// All that the VMs have written to a folder.
fn logs(folder: &Path) -> String {
    let files = std::fs::read_dir(folder).expect("the folder");
    let texts = files.map(|file| std::fs::read_to_string(file.expect("a file").path()));
    texts.map(|text| text.expect("text")).collect()
}

/// The server is told the account of the key and never the key, whatever account the caller names.
#[test]
fn key_staysattheentryvm() {
    let folder = std::env::temp_dir().join(format!("dahliastile-accounts-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let fleet = start_logging(2, Some(folder.clone()));
    let headers = format!("X-Api-Key: {NORTH}\r\nTenant: south\r\n");
    assert_eq!(ask(&fleet, "n", &headers).status, 200);
    assert_eq!(sent(&fleet, "n", "tenant").as_deref(), Some("north"));
    assert_eq!(sent(&fleet, "n", "x-api-key"), None);
    until("the log tells of it", || {
        logs(&folder).contains("account=north")
    });
    let told = logs(&folder) + &fleet.vms[0].figures();
    assert!(!told.contains(NORTH) && !told.contains(SOUTH), "{told}");
    std::fs::remove_dir_all(&folder).expect("it can be removed");
}

/// Whoever bears no key of an account, or more than one, is refused, and the connection is closed.
#[test]
fn key_badisrefused() {
    let fleet = start(1);
    let long = "k".repeat(300);
    let cases = [
        ("missing", String::new()),
        ("unknown", "X-Api-Key: nobody\r\n".to_owned()),
        ("empty", "X-Api-Key: \r\n".to_owned()),
        (
            "doubled",
            format!("X-Api-Key: {NORTH}\r\nX-Api-Key: {NORTH}\r\n"),
        ),
        ("listed", format!("X-Api-Key: {NORTH},{SOUTH}\r\n")),
        ("malformed", "X-Api-Key: a b\r\n".to_owned()),
        ("oversized", format!("X-Api-Key: {long}\r\n")),
        ("elsewhere", format!("Authorization: Bearer {NORTH}\r\n")),
    ];
    for (what, headers) in cases {
        let answer = fleet.vms[0].raw(&asked(what, &headers));
        assert_eq!(answer.status, 401, "{what}: {}", answer.text);
        assert!(!answer.text.contains(NORTH), "{what}");
        assert_eq!(sent(&fleet, what, "request-id"), None, "{what}");
    }
}

/// Requests that follow each other on one connection each count for their own key.
#[test]
fn requests_onaconnectionkeeptheirkeys() {
    let mut fleet = start(1);
    fleet
        .store
        .put("op/config", &accounts(2, &[NORTH], 1_000_000));
    until("the limit is in force", || {
        ask(&fleet, "limit", &format!("X-Api-Key: {SOUTH}\r\n")).status == 200
    });
    let first = asked("p1", &format!("X-Api-Key: {NORTH}\r\n"));
    let second = asked("p2", &format!("X-Api-Key: {SOUTH}\r\n"));
    let third = asked("p3", "Connection: close\r\n");
    let answers = fleet.vms[0].raw(&(first + &second + &third));
    assert_eq!(
        answers.text.matches("200 OK").count(),
        2,
        "{}",
        answers.text
    );
    assert_eq!(sent(&fleet, "p1", "tenant").as_deref(), Some("north"));
    assert_eq!(sent(&fleet, "p2", "tenant").as_deref(), Some("south"));
    assert_eq!(sent(&fleet, "p3", "request-id"), None);
    assert!(fleet.vms[0].runs());
}

/// A connection is kept until its key goes, and is closed after the answer that says so.
#[test]
fn connection_endswithitskey() {
    let fleet = start(2);
    let kept = asked("k1", &format!("X-Api-Key: {NORTH}\r\n"));
    let mut stream: TcpStream = fleet.vms[0].open(&kept).expect("a connection");
    until("it has run", || sent(&fleet, "k1", "tenant").is_some());
    fleet.store.put("op/config", &accounts(2, &[], 1));
    let headers = format!("X-Api-Key: {NORTH}\r\n");
    until("the key is gone", || {
        ask(&fleet, "other", &headers).status == 401
    });
    let again = asked("k2", &headers);
    stream.write_all(again.as_bytes()).expect("it is open");
    let answer = read(stream);
    assert!(answer.text.contains(" 401 "), "{}", answer.text);
    assert_eq!(sent(&fleet, "k2", "request-id"), None);
}

/// What is beyond the limit is refused as not run, with a time to come back; other accounts are served on.
#[test]
fn limit_refusesitsaccountonly() {
    let fleet = start(2);
    let answer = ask(&fleet, "s", &format!("X-Api-Key: {SOUTH}\r\n"));
    assert_eq!(answer.status, 429, "{}", answer.text);
    assert!(answer.text.to_lowercase().contains("retry-after: "));
    assert_eq!(sent(&fleet, "s", "request-id"), None);
    assert_eq!(
        ask(&fleet, "n", &format!("X-Api-Key: {NORTH}\r\n")).status,
        200
    );
    let figures = fleet.vms[0].figures();
    let refused = figures.lines().find(|line| {
        line.starts_with("dahliastile_account_tokens_total") && line.contains("refused")
    });
    assert!(
        refused.is_some_and(|line| line.contains("south") && line.ends_with(" 200")),
        "{figures}"
    );
}
