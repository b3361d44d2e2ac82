//! Revisions of the key-value service: their order across eras, their texts and their encoding.

use dahliastile_gateway::cluster::revision::{Era, Revision};
use quickcheck::{Gen, QuickCheck};

fn revision(era: u32, number: u64) -> Revision {
    Revision::new(Era::new(era).expect("an era"), number)
}

#[test]
fn revision_orderedbyerafirst() {
    let property = |era: u16, number: u32, later: u32| {
        let before = revision(era.into(), number.into());
        let after = revision(u32::from(era) + 1, later.into());
        before < after
            && before.fence() < after.fence()
            && before < revision(era.into(), u64::from(number) + 1)
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .quickcheck(property as fn(u16, u32, u32) -> bool);
}

#[test]
fn revision_textisreadasprinted() {
    for (era, number, text) in [
        (0, 0, "0"),
        (0, 41, "41"),
        (1, 41, "1:41"),
        (8_191, 7, "8191:7"),
    ] {
        assert_eq!(revision(era, number).to_string(), text);
        assert_eq!(text.parse(), Ok(revision(era, number)));
    }
    for text in ["", ":", "1:", ":1", "x", "1:2:3", "16777216:1"] {
        assert!(text.parse::<Revision>().is_err(), "{text}");
    }
}

/// Builds that know no eras encode a revision as a plain integer, and VMs of both builds run side by side.
#[test]
fn revision_encodedasaninteger() {
    for number in [0, 1, 127, 128, 70_111] {
        let integer = postcard::to_stdvec(&number).expect("an integer");
        let encoded = postcard::to_stdvec(&revision(0, number)).expect("a revision");
        assert_eq!(encoded, integer);
    }
    let encoded = postcard::to_stdvec(&revision(2, 5)).expect("a revision");
    let integer: u64 = postcard::from_bytes(&encoded).expect("an integer");
    assert!(integer > 70_111);
    assert_eq!(integer, revision(2, 5).fence());
}

/// Fencing tokens are JSON numbers, and some readers hold these as floating-point numbers.
#[test]
fn fence_exactasajsonnumber() {
    let fence = revision(8_191, (1 << 40) - 1).fence();
    assert!(fence < 1 << 53);
}
