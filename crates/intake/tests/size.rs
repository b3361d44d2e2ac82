//! Sizes as text.

use dahliastile_intake::Size;

#[test]
fn parse_roundtrip() {
    for size in [
        Size(0),
        Size(1_023),
        Size::kib(3),
        Size::mib(7),
        Size::megabytes(80),
    ] {
        assert_eq!(size.to_string().parse(), Ok(size));
    }
    assert_eq!("80MiB".parse(), Ok(Size::mib(80)));
}

#[test]
fn parse_malformed() {
    for text in ["", "MiB", "-1", "1.5KiB", "1 KiB", "99999999999999999999"] {
        assert!(text.parse::<Size>().is_err(), "{text}");
    }
}
