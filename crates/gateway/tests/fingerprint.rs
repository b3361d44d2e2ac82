//! Fingerprints of requests: which requests share one, and their text form.

use dahliastile_gateway::request::fingerprint::Fingerprint;
use quickcheck::{Gen, QuickCheck};

fn check_property(property: fn(Vec<Vec<u8>>, Vec<Vec<u8>>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(8, 23))
        .tests(2_000)
        .quickcheck(property);
}

fn fingerprint_of(parts: &[Vec<u8>]) -> Fingerprint {
    Fingerprint::of(parts.iter().map(Vec::as_slice))
}

/// Two requests have the same fingerprint if and only if all their parts are equal.
#[test]
fn fingerprint_distinguishesrequests() {
    check_property(|one, other| (fingerprint_of(&one) == fingerprint_of(&other)) == (one == other));
    check_property(|one, _| {
        // The same bytes, split into parts differently.
        let joined = vec![one.concat()];
        fingerprint_of(&one) != fingerprint_of(&joined) || one == joined
    });
}

/// A fingerprint that is written and parsed again is unchanged, and malformed texts are rejected.
#[test]
fn fingerprint_isformattedandparsed() {
    check_property(|parts, _| {
        fingerprint_of(&parts).to_string().parse() == Ok(fingerprint_of(&parts))
    });
    for malformed in ["", "0", &"g".repeat(32), &"+".repeat(32), &"0".repeat(33)] {
        assert!(malformed.parse::<Fingerprint>().is_err(), "{malformed}");
    }
}
