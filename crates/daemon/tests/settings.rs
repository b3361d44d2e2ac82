//! Settings: every fault is reported at once, with its place.

use dahliastile_daemon::{Place, Settings, entries};
use quickcheck::{Gen, QuickCheck};

const HASH: &str = "af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262";

fn good() -> String {
    format!(
        "vm: entry-1\nzone: botlek\nplatform:\n  endpoints: ['10.0.0.1:2379']\n  vms: '10.0.0.9:80'\n\
         operators:\n  token_hash: {HASH}\npeers:\n  secret: a secret of the whole fleet\n"
    )
}

fn faults(text: &str) -> Vec<String> {
    match Settings::parse(text, &[]) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn parse_defaults() {
    let settings = Settings::parse(&good(), &[]).unwrap();
    assert_eq!(settings.vm.as_str(), "entry-1");
    assert_eq!(settings.platform.prefix, "/dahliastile");
    assert_eq!(settings.tuning.tick_ms, 20);
    assert_eq!(settings.limits.body_bytes, 1_048_576);
}

#[test]
fn parse_every_fault_at_once() {
    let text = "\
vm: ''
zone: 7
colour: red
platform:
  endpoints: ['10.0.0.1:2379', 'nowhere']
  vms: 10.0.0.9
  prefix: /a/
listen:
  callers: 127.0.0.1
operators:
  token_hash: beef
  token: x
peers:
  secret_file: /no/such/file
log:
  format: xml
tuning:
  tick_ms: 0
  queue: many
  queue: 5
  lease_ttl_ms: 1000
  lease_renew_ms: 2000
";
    let found = faults(text);
    let expected = [
        "line 1, column 5: `vm`: a name can't be empty",
        "line 2, column 7: `zone` is a name, not a whole number",
        "line 3, column 1: there is no setting `colour`",
        "line 5, column 32: `platform.endpoints` takes an IPv4 address and a port, not `nowhere`",
        "line 6, column 8: `platform.vms` takes an IPv4 address and a port, not `10.0.0.9`",
        "line 7, column 11: `platform.prefix` is not empty and does not end with a slash",
        "line 9, column 12: `listen.callers` is an IP address and a port, not `127.0.0.1`",
        "line 11, column 15: `operators.token_hash` is a BLAKE3 hash of 64 hexadecimal digits",
        "line 12, column 3: there is no setting `operators.token`",
        "line 14, column 16: `peers.secret_file`: can't read `/no/such/file`: No such file or directory (os error 2)",
        "line 16, column 11: `log.format` is one of text, json, not `xml`",
        "line 18, column 12: `tuning.tick_ms` is 1 to 1000 ms, not 0",
        "line 19, column 10: `tuning.queue` is a whole number, not a text",
        "line 20, column 3: `tuning.queue` is set twice",
        "line 21, column 17: `tuning.lease_guard_ms` (1500) must be below `tuning.lease_ttl_ms` (1000)",
        "line 22, column 19: `tuning.lease_renew_ms` (2000) must be below `tuning.lease_ttl_ms` (1000)",
    ];
    assert_eq!(found, expected);
}

#[test]
fn parse_missing() {
    let found = faults("zone: botlek\n");
    let expected = [
        "the file: `operators.token_hash` is required",
        "the file: `platform.endpoints` is required",
        "the file: `platform.vms` is required",
        "the file: `vm` is required",
        "the file: one of `peers.secret`, `peers.secret_file` and `peers.secret_env` is required",
    ];
    assert_eq!(found, expected);
}

#[test]
fn parse_not_yaml() {
    let error = Settings::parse("vm: [1, 2\nzone: }", &[]).unwrap_err();
    assert_eq!(error.len(), 1);
    assert!(
        matches!(error[0].place, Place::Position { line: 2, .. }),
        "{error:?}"
    );
}

#[test]
fn parse_wrong_shapes() {
    let text = good().replace(
        "peers:\n  secret: a secret of the whole fleet\n",
        "peers: 5\n",
    );
    let found = faults(&text);
    assert_eq!(
        found,
        [
            "the file: one of `peers.secret`, `peers.secret_file` and `peers.secret_env` is required",
            "line 8, column 8: `peers` is a mapping, not a whole number",
        ]
    );
    assert_eq!(
        faults("- vm\n"),
        [
            "the file: `operators.token_hash` is required",
            "the file: `platform.endpoints` is required",
            "the file: `platform.vms` is required",
            "the file: `vm` is required",
            "the file: `zone` is required",
            "the file: one of `peers.secret`, `peers.secret_file` and `peers.secret_env` is required",
            "line 1, column 1: the settings are a mapping, not a list",
        ]
    );
}

#[test]
fn parse_short_secret() {
    let text = good().replace("a secret of the whole fleet", "short");
    let found = faults(&text);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(
        found[0].starts_with("line 9, column 11: `peers.secret`: "),
        "{found:?}"
    );
}

#[test]
fn parse_two_secrets() {
    let text = good() + "  secret_env: HOME\n";
    let found = faults(&text);
    assert_eq!(
        found,
        ["line 10, column 15: the peers' secret is given more than once"]
    );
}

#[test]
fn set_wins_over_the_file() {
    let set = ["vm=entry-2", "tuning.tick_ms=5", "log.level=off"].map(str::to_owned);
    let settings = Settings::parse(&good(), &set).unwrap();
    assert_eq!(settings.vm.as_str(), "entry-2");
    assert_eq!(settings.tuning.tick_ms, 5);
    assert_eq!(settings.log.level, None);
}

#[test]
fn set_faults_name_the_assignment() {
    let set = ["vm", "colour=red", "tuning.tick_ms=x"].map(str::to_owned);
    let faults = Settings::parse(&good(), &set).unwrap_err();
    let found: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let expected = [
        "--set colour=red: there is no setting `colour`",
        "--set tuning.tick_ms=x: `tuning.tick_ms` is a whole number, not `x`",
        "--set vm: it is not of the form name=value",
    ];
    assert_eq!(found, expected);
}

#[test]
fn manual_names_every_setting() {
    let manual = Settings::manual();
    for entry in entries() {
        let key = entry.name.split('.').next_back().unwrap();
        assert!(manual.contains(&format!("{key}:")), "{}", entry.name);
        assert!(manual.contains(entry.doc), "{}", entry.name);
    }
}

/// The manual is a settings file once what is required is filled in.
#[test]
fn manual_parses() {
    let set = [
        "vm=entry-1",
        "zone=botlek",
        "platform.endpoints=10.0.0.1:2379",
        "platform.vms=10.0.0.9:80",
        &format!("operators.token_hash={HASH}"),
        "peers.secret=a secret of the whole fleet",
    ]
    .map(str::to_owned);
    let manual = Settings::manual();
    let lines = manual.lines().filter(|line| !line.ends_with("# required"));
    let filled = lines.collect::<Vec<_>>().join(
        "
",
    );
    let settings = Settings::parse(&filled, &set).unwrap();
    assert_eq!(
        settings.tuning,
        dahliastile_core::settings::Tuning::default()
    );
}

/// Whatever the text is, it is refused or read, and a fault in the file lies within it.
#[test]
fn parse_any_text() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands values over"
    )]
    fn property(words: Vec<(u8, String)>) -> bool {
        let keys = [
            "vm",
            "tuning",
            "  tick_ms",
            "peers",
            "- a",
            "  secret",
            "platform",
        ];
        let line = |(key, value): &(u8, String)| {
            format!("{}: {value}\n", keys[usize::from(*key) % keys.len()])
        };
        let text: String = words.iter().map(line).collect();
        let lines = text.lines().count() as u64 + 1;
        let within = |place: &Place| match place {
            Place::Position { line, column } => *line <= lines && *line > 0 && *column > 0,
            Place::File => true,
            Place::CommandLine(_) => false,
        };
        match Settings::parse(&text, &[]) {
            Ok(_) => false,
            Err(faults) => !faults.is_empty() && faults.iter().all(|f| within(&f.place)),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 7))
        .tests(300)
        .quickcheck(property as fn(Vec<(u8, String)>) -> bool);
}

#[test]
fn parse_machinetoosmall() {
    let limits = |text: &str| faults(&format!("{}limits: {{ {text} }}\n", good()));
    assert_eq!(
        limits("memory_mb: 128, descriptors: 1024"),
        Vec::<String>::new()
    );
    let cases = [
        ("memory_mb: 16", "16000000 bytes of memory are too few"),
        ("descriptors: 100", "100 descriptors are too few"),
        (
            "memory_mb: 128, body_bytes: 16777216",
            "`limits.body_bytes` (16777216) does not fit",
        ),
        (
            "memory_mb: 64",
            "`limits.answer_bytes` (16777216) does not fit",
        ),
    ];
    for (text, expected) in cases {
        let found = limits(text);
        assert!(
            found.iter().any(|fault| fault.contains(expected)),
            "{text}: {found:?}"
        );
    }
}
