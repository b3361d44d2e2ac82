//! What leaves the process under a name or at a position: messages between VMs, which are encoded by position, and the texts
//! that logs, metrics and command lines show.
//!
//! VMs of two versions run side by side during an update, and operators' tools match log lines. Renaming a type, a field
//! or a variant must change neither, so the expected bytes and texts stand here as literals.

use std::collections::BTreeSet;

use dahliastile_core::id::{Server, Service, Vm};
use dahliastile_core::time::Span;
use dahliastile_gateway::cluster::revision::{Era, Revision};
use dahliastile_gateway::cluster::snapshot::{Change, EntryKey};
use dahliastile_gateway::effect::{KvOperation, Locality};
use dahliastile_gateway::event::{Execution, FailureCause, KvOutcome, OrderOutcome};
use dahliastile_gateway::feature::Feature;
use dahliastile_gateway::message::{Message, decode, encode};
use dahliastile_gateway::request::fingerprint::Fingerprint;
use serde::Serialize;

/// Kinds of messages; their indexes are 0 up to this number.
const KINDS: u8 = 39;

/// Lists of one message each, in hexadecimal, with the message's kind. Together they hold each variant and each state of an
/// optional field that a message can carry.
const MESSAGES: [(&str, &str); 62] = [
    (
        "want",
        "0100096472616674732f6575e9070b63616c6c65722dc3bc2f3906626173652d37010561312f6672ad02f1a2040290e4\
         d0b287d3aeeefe0182014dab0192a10fe2c65bc3a8a504c9056e6f7274680203692d3405692d353535",
    ),
    (
        "want",
        "0100096472616674732f6575ea070b63616c6c65722dc3bc2f3906626173652d3700ad02f1a2040290e4d0b287d3aeee\
         fe0182014dab0193a10fe2c65bc3a8a504c9056e6f7274680203692d3405692d353535",
    ),
    ("progress", "0101096472616674732f6575d20900"),
    ("progress", "0101096472616674732f6575d30901"),
    ("progress", "0101096472616674732f6575940a020000"),
    ("progress", "0101096472616674732f6575950a020101"),
    ("progress", "0101096472616674732f6575960a020202"),
    ("progress", "0101096472616674732f6575970a020003"),
    ("progress", "0101096472616674732f6575980a020004"),
    ("progress", "0101096472616674732f6575990a020205f703"),
    ("progress", "0101096472616674732f65759a0a020006"),
    (
        "hello",
        "0102096472616674732f6575000a02400daf4105736f757468fbd8c1a28c34800502d10f04692d333106626173652d37\
         010561312f6672b502f9a2040290e4d0b287d3aeeefe018a014dab01d20f04692d333106626173652d3700b502f9a204\
         0290e4d0b287d3aeeefe018a014dab0102eb070b63616c6c65722dc3bc2f3906626173652d37010561312f6672ad02f1\
         a2040290e4d0b287d3aeeefe0182014dab0194a10fe2c65bc3a8a504c9056e6f7274680203692d3405692d353535ec07\
         0b63616c6c65722dc3bc2f3906626173652d3700ad02f1a2040290e4d0b287d3aeeefe0182014dab0195a10fe2c65bc3\
         a8a504c9056e6f7274680203692d3405692d353535",
    ),
    (
        "place",
        "0103096472616674732f6575dfa304d40904692d323101ae11",
    ),
    ("place", "0103096472616674732f6575e0a304d50904692d323200"),
    ("refuse", "0104096472616674732f6575e1a304d609b1e32d"),
    (
        "residents",
        "0105096472616674732f6575e2a3040203692d3802026131ae110261320303692d3900",
    ),
    (
        "passed",
        "0106096472616674732f6575e3a3040203692d3802026131ae110261320303692d3900",
    ),
    ("alive", "0107096472616674732f6575e4a304"),
    (
        "request_lease_vote",
        "0108096472616674732f6575e5a304b1d1f9d603",
    ),
    ("lease_vote", "0109096472616674732f6575e6a304b2d1f9d603"),
    (
        "follow",
        "010a01fd000001000200000000000000000009984205736f757468fbd8c1a28c348005e7a304",
    ),
    (
        "replicate",
        "010b889b04faa204b58402010a00f1a204e1d4030100e7240407726f7574652d310b6170692e6578616d706c65042f76\
         312f008187a70e80897a80b518c096b1020301900102096472616674732f6575840705706c61696e6407726f7574652d\
         320b6170692e6578616d706c65042f76322f018287a70e80897a80b518c096b1020300900102096472616674732f6575\
         840705706c61696e6407726f7574652d330b6170692e6578616d706c65042f76332f028387a70e80897a80b518c096b1\
         020300900102096472616674732f6575840705706c61696e6407726f7574652d340b6170692e6578616d706c65042f76\
         342f038487a70e80897a80b518c096b1020301900102096472616674732f6575840705706c61696e6402096472616674\
         732f6575013080b518000000000800f4408402000000000000e83f0106626173652d37000000002058cb400000000000\
         c46740c0caba1505706c61696e00a09c01c096b102e09abd0180de9f0701020461636d650226d0c6707fa55eb438c324\
         739e39569726785c18c50a9285a88fcb72d604ef6f2d2e93ac7883517e3978c2a77e3eee83c420ce9e4b5be1a6157ce1\
         053efdac3c010701c80101e820a84604626172650000000000f2a204e2d4030100050000a09c01c096b102e09abd0180\
         de9f07000106626173652d37026131f3a204e3d4030101b8450204692d3132f4a204e4d4030102096472616674732f65\
         7500c0a80304ffff0304776573748201010206626173652d3706626173652d3801c8dbc1a28c340204692d3133f5a204\
         e5d4030102096472616674732f65750120010db8000000000000000000000007bb030477657374820100020662617365\
         2d3706626173652d38000304766d2d33f6a204e6d403010301fd000001000200000000000000000009984205736f7574\
         68fbd8c1a28c34800504096472616674732f6575f7a204e7d403010404766d2d3495dec1a28c340581dcf7e6bcd7eacc\
         88ef99abc5e88c9111f8a204e8d40301050204692d3134f9a204e9d40301060582dcf7e6bcd7eacc88ef99abc5e88c91\
         11faa2040000",
    ),
    ("replicate", "010bfaa204fba2049cdb020000"),
    (
        "struck",
        "010c0283dcf7e6bcd7eacc88ef99abc5e88c911181ea30892784dcf7e6bcd7eacc88ef99abc5e88c911182ea308a27",
    ),
    (
        "standings",
        "010d0385dcf7e6bcd7eacc88ef99abc5e88c91110086dcf7e6bcd7eacc88ef99abc5e88c911101808c8d9e0287dcf7e6\
         bcd7eacc88ef99abc5e88c911102",
    ),
    ("draw", "010e0461636d65b8028420908001"),
    ("grant", "010f0461636d65b80200908001"),
    ("grant", "010f0461636d65b90201d0a54c"),
    ("collect", "01108304020461636d650462617265"),
    ("deposit", "01118404020461636d65bb17046261726500"),
    ("limit", "011204692d343101c00c"),
    ("limit", "011204692d343200"),
    ("leaving", "011304692d343301c1dac1a28c34"),
    ("leaving", "011304692d343400"),
    ("rest", "011404692d3435a0cb9801"),
    ("permit", "0115d70904692d3436"),
    ("permitted", "0116d80904692d343700"),
    ("permitted", "0116d90904692d34380191bf05"),
    ("progress", "0101096472616674732f65759b0a032b809f4990bf05"),
    (
        "want_detail",
        "0117096472616674732f6575ea070b63616c6c65722dc3bc2f3906626173652d3700ad02f1a2040290e4d0b287d3aeee\
         fe0182014dab0193a10fe2c65bc3a8a504c9056e6f7274680203692d3405692d353535010461636d65e82080b51801ff\
         01",
    ),
    (
        "want_detail",
        "0117096472616674732f6575ea070b63616c6c65722dc3bc2f3906626173652d3700ad02f1a2040290e4d0b287d3aeee\
         fe0182014dab0193a10fe2c65bc3a8a504c9056e6f7274680203692d3405692d353535000080b51800",
    ),
    ("loan_request", "01180461636d65ba02e012c02502"),
    ("loan_answer", "01190461636d65ba0200e012f0fe1c"),
    ("loan_answer", "01190461636d65bb0201d0860390a10f01"),
    ("lend_request", "011a0461636d65bc02e012"),
    ("lend_answer", "011b0461636d65bc02e012dc0ba90b"),
    ("withdraw", "011c096472616674732f6575e8a304d70904692d3439"),
    (
        "want_bound",
        "011d096472616674732f6575ea070b63616c6c65722dc3bc2f3906626173652d3700ad02f1a2040290e4d0b287d3aeee\
         fe0182014dab0193a10fe2c65bc3a8a504c9056e6f7274680203692d3405692d3535350000000000",
    ),
    (
        "want_bound",
        "011d096472616674732f6575ea070b63616c6c65722dc3bc2f3906626173652d3700ad02f1a2040290e4d0b287d3aeee\
         fe0182014dab0193a10fe2c65bc3a8a504c9056e6f7274680203692d3405692d35353500000000010476312e32",
    ),
    (
        "want_bound",
        "011d096472616674732f6575ea070b63616c6c65722dc3bc2f3906626173652d3700ad02f1a2040290e4d0b287d3aeee\
         fe0182014dab0193a10fe2c65bc3a8a504c9056e6f7274680203692d3405692d3535350000000002",
    ),
    ("build_request", "011e0204692d353104692d3532"),
    (
        "builds",
        "011f0204692d353101c1dac1a28c340476312e3204692d353200012d",
    ),
    (
        "origins",
        "012002a3a093c1d1bbe4c783beeab0afa2acf4f45201066472616674730476312e3202d209a3a093c1d1bbe4c783beea\
         b0afa2acf4f4520002d209",
    ),
    (
        "origin_request",
        "0121ed04a3a093c1d1bbe4c783beeab0afa2acf4f45206647261667473",
    ),
    ("origin_reply", "0122ee040001066472616674730476312e32"),
    ("origin_reply", "0122ef040000"),
    ("origin_reply", "0122f00401010476312e32"),
    ("origin_reply", "0122f1040100"),
    ("origins_request", "0123"),
    (
        "build_history",
        "01240106647261667473020476312e3207027631a006a846",
    ),
    (
        "part_crash_reports",
        "01250283dcf7e6bcd7eacc88ef99abc5e88c911181ea30892784dcf7e6bcd7eacc88ef99abc5e88c911182ea308a27",
    ),
    (
        "parts_watched",
        "01260285dcf7e6bcd7eacc88ef99abc5e88c91110086dcf7e6bcd7eacc88ef99abc5e88c9111808c8d9e02",
    ),
];

/// A list of three messages, with their kinds.
const LIST: (&[&str], &str) = (
    &["alive", "limit", "permit"],
    "0307096472616674732f6575e4a3041204692d34320015d70904692d3436",
);

/// The bytes that a hexadecimal text gives.
fn bytes_of(hex: &str) -> Vec<u8> {
    let pairs = hex.as_bytes().chunks(2);
    let pairs = pairs.map(|pair| std::str::from_utf8(pair).expect("ASCII digits"));
    let bytes = pairs.map(|pair| u8::from_str_radix(pair, 16));
    bytes.collect::<Result<_, _>>().expect("pairs of digits")
}

fn hex_of(bytes: &[u8]) -> String {
    let digits = |byte: &u8| [byte >> 4, byte & 15].map(|digit| char::from_digit(digit.into(), 16));
    bytes.iter().flat_map(digits).flatten().collect()
}

fn revision(number: u64) -> Revision {
    Revision::new(Era::default(), number)
}

/// The kinds of the messages that an encoded list holds, and the list encoded again.
fn reencoded(hex: &str) -> (Vec<&'static str>, String) {
    let messages = decode(&bytes_of(hex)).unwrap_or_else(|| panic!("does not decode: {hex}"));
    let kinds = messages.iter().map(Message::kind).collect();
    let bytes = encode(&messages).expect("messages can be encoded");
    (kinds, hex_of(&bytes))
}

#[test]
fn messages_decodeasbefore() {
    for (kind, hex) in MESSAGES {
        assert_eq!(reencoded(hex), (vec![kind], hex.to_owned()));
    }
}

#[test]
fn messages_eachindexisknown() {
    let examples = MESSAGES.map(|(_, hex)| bytes_of(hex));
    let indexes: BTreeSet<u8> = examples.iter().map(|bytes| bytes[1]).collect();
    assert_eq!(indexes, (0..KINDS).collect());
    let kinds: BTreeSet<&str> = MESSAGES.iter().map(|(kind, _)| *kind).collect();
    assert_eq!(kinds.len(), usize::from(KINDS));
    // Bytes after the last message are ignored, so a variant with any fields would decode from some of these.
    for mut bytes in examples {
        bytes[1] = KINDS;
        assert_eq!(decode(&bytes), None);
        bytes.truncate(2);
        bytes.extend([0; 64]);
        assert_eq!(decode(&bytes), None);
    }
}

#[test]
fn messages_listdecodesasbefore() {
    let (kinds, hex) = LIST;
    assert_eq!(reencoded(hex), (kinds.to_vec(), hex.to_owned()));
    assert_eq!(reencoded("00"), (Vec::new(), "00".to_owned()));
}

#[test]
fn messages_truncateddonotdecode() {
    let examples = MESSAGES.map(|(_, hex)| hex);
    for hex in examples.into_iter().chain([LIST.1]) {
        let bytes = bytes_of(hex);
        for length in 0..bytes.len() {
            assert_eq!(decode(&bytes[..length]), None, "{length} bytes of {hex}");
        }
    }
}

/// Values with the bytes and the text that they are written as.
fn check_written<T: std::fmt::Debug + Serialize>(values: &[(T, &str, &str)]) {
    for (value, hex, text) in values {
        let bytes = postcard::to_stdvec(value).expect("values can be encoded");
        assert_eq!((&*hex_of(&bytes), &*format!("{value:?}")), (*hex, *text));
    }
}

/// Values with the text that logs show of them.
fn check_printed<T: std::fmt::Debug>(values: &[(T, &str)]) {
    for (value, text) in values {
        assert_eq!(format!("{value:?}"), *text);
    }
}

#[test]
fn execution_writtenasbefore() {
    check_written(&[
        (Execution::No, "00", "No"),
        (Execution::Maybe, "01", "Maybe"),
        (Execution::Yes, "02", "Yes"),
    ]);
}

#[test]
fn failurecause_writtenasbefore() {
    check_written(&[
        (FailureCause::Unreachable, "00", "Unreachable"),
        (FailureCause::Broken, "01", "Broken"),
        (FailureCause::Malformed, "02", "Malformed"),
        (FailureCause::Full, "03", "Full"),
        (FailureCause::Missing, "04", "Missing"),
        (FailureCause::Status(503), "05f703", "Status(503)"),
        (FailureCause::Declined, "06", "Declined"),
    ]);
}

#[test]
fn orderoutcome_printedasbefore() {
    check_printed(&[
        (OrderOutcome::Accepted, "Accepted"),
        (OrderOutcome::Holds, "Holds"),
        (OrderOutcome::Conflict, "Conflict"),
        (OrderOutcome::Fenced, "Fenced"),
        (OrderOutcome::Missing, "Missing"),
        (OrderOutcome::Invalid, "Invalid"),
        (OrderOutcome::Unknown, "Unknown"),
        (OrderOutcome::NotSent, "NotSent"),
    ]);
}

fn server() -> Server {
    "i-1".parse().expect("a name")
}

fn service() -> Service {
    "drafts".parse().expect("a name")
}

fn vm() -> Vm {
    "vm-1".parse().expect("a name")
}

fn fingerprint() -> Fingerprint {
    let digits = "000000000000000000000000000000ff";
    digits.parse().expect("32 digits")
}

#[test]
fn entrykey_writtenasbefore() {
    check_written(&[
        (EntryKey::Config, "00", "Config"),
        (
            EntryKey::Version("base".into(), "a1".into()),
            "010462617365026131",
            r#"Version("base", "a1")"#,
        ),
        (
            EntryKey::Server(server()),
            "0203692d31",
            r#"Server(Server("i-1"))"#,
        ),
        (
            EntryKey::Member(vm()),
            "0304766d2d31",
            r#"Member(Vm("vm-1"))"#,
        ),
        (
            EntryKey::Holder(service()),
            "0406647261667473",
            r#"Holder(Service("drafts"))"#,
        ),
        (
            EntryKey::Quarantine(fingerprint()),
            "05ff01",
            "Quarantine(Fingerprint(255))",
        ),
    ]);
}

/// The outcomes of calls of the key-value service. A log line shows those of lists and watches that brought no changes; none of
/// them holds a `Change`, which the platform's tests check, so the text of a `Change` is not part of this.
#[test]
fn kvoutcome_printedasbefore() {
    check_printed(&[
        (KvOutcome::Listed(Vec::new(), revision(8)), "Listed([], 8)"),
        (
            KvOutcome::Watched(Vec::new(), revision(9)),
            "Watched([], 9)",
        ),
        (KvOutcome::Compacted, "Compacted"),
        (
            KvOutcome::Granted(4, Span(5_000_000)),
            "Granted(4, Span(5000000))",
        ),
        (
            KvOutcome::Renewed(Span(5_000_000)),
            "Renewed(Span(5000000))",
        ),
        (KvOutcome::Written(revision(10)), "Written(10)"),
        (KvOutcome::Conflict(Vec::new()), "Conflict([])"),
        (KvOutcome::NoLease, "NoLease"),
        (KvOutcome::Refused, "Refused"),
        (KvOutcome::Unknown, "Unknown"),
    ]);
}

#[test]
fn feature_namedasbefore() {
    let names = [
        (Feature::CachedAdapters, "recent-adapters"),
        (Feature::CachedAdapterWait, "recent-patience"),
        (Feature::PrefixCache, "kept-parts"),
        (Feature::ExtraReplicas, "copies"),
        (Feature::ZonePreference, "zone-preference"),
        (Feature::ForecastRefusals, "forecast-refusals"),
        (Feature::HealthRanking, "health-ranking"),
        (Feature::OldVersions, "old-versions"),
        (Feature::LeaseVotes, "pledges"),
        (Feature::Strength, "strength"),
        (Feature::TokenPool, "token-pool"),
        (Feature::WindowQuota, "window-quota"),
        (Feature::QuotaPriority, "quota-priority"),
        (Feature::EngineSpeed, "engine-speed"),
        (Feature::StreamPauses, "stream-pauses"),
        (Feature::FairShares, "fair-shares"),
        (Feature::UrgentReserve, "urgent-reserve"),
        (Feature::ReturningCallers, "returning-callers"),
        (Feature::ParallelCopies, "parallel-copies"),
        (Feature::StalledEngines, "stalled-engines"),
        (Feature::ExpeditedAdapters, "expedited-adapters"),
        (Feature::StagedBaseLoads, "staged-base-loads"),
    ];
    assert_eq!(Feature::ALL, names);
    for (feature, name) in names {
        assert_eq!(feature.to_string(), name);
        assert_eq!(name.parse(), Ok(feature));
    }
}

/// Labels of metrics.
#[test]
fn labels_asbefore() {
    let change = Change {
        key: EntryKey::Config,
        revision: Revision::default(),
        created: Revision::default(),
        value: None,
    };
    for (op, name) in [
        (KvOperation::List, "list"),
        (KvOperation::Watch(revision(1), Span(2)), "watch"),
        (KvOperation::GrantLease(Span(1)), "lease_grant"),
        (KvOperation::RenewLease(1), "lease_renew"),
        (KvOperation::RevokeLease(1), "lease_end"),
        (KvOperation::Put(change, 1, Vec::new()), "put"),
        (KvOperation::Remove(EntryKey::Config, revision(1)), "remove"),
    ] {
        assert_eq!(op.name(), name);
    }
    assert_eq!(Locality::SameZone.name(), "zone");
    assert_eq!(Locality::CrossZone.name(), "beyond");
}
