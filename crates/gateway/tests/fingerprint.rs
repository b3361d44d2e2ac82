//! By what a request that comes again is known.

use dahliastile_gateway::request::fingerprint::Fingerprint;
use quickcheck::{Gen, QuickCheck};

fn check(property: fn(Vec<Vec<u8>>, Vec<Vec<u8>>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(8, 23))
        .tests(2_000)
        .quickcheck(property);
}

fn of(parts: &[Vec<u8>]) -> Fingerprint {
    Fingerprint::of(parts.iter().map(Vec::as_slice))
}

/// Requests have the same fingerprint where all their parts are the same, and only there.
#[test]
fn fingerprint_tellsrequestsapart() {
    check(|one, other| (of(&one) == of(&other)) == (one == other));
    check(|one, _| {
        // The same bytes in other parts.
        let joined = vec![one.concat()];
        of(&one) != of(&joined) || one == joined
    });
}

/// It is written and read as the same.
#[test]
fn fingerprint_iswrittenandread() {
    check(|parts, _| of(&parts).to_string().parse() == Ok(of(&parts)));
    for wrong in ["", "0", &"g".repeat(32), &"+".repeat(32), &"0".repeat(33)] {
        assert!(wrong.parse::<Fingerprint>().is_err(), "{wrong}");
    }
}
