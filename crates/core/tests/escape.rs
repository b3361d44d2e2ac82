//! Texts of any characters as parts of others.

use dahliastile_core::escape::{Line, query_value};
use quickcheck::{Gen, QuickCheck};

/// What a query or a path is made of, and what may not stand in a value.
const SEPARATORS: &str = "&=+#%?;@: \"<>\\^`{|}";

#[test]
fn queryvalue_namesareaswritten() {
    let name = "op/version/base-2_x.a1~";
    assert_eq!(query_value(name).to_string(), name);
}

#[test]
fn queryvalue_separatorsareescaped() {
    for c in SEPARATORS.chars() {
        let text = query_value(&format!("a{c}b")).to_string();
        assert_eq!(text, format!("a%{:02X}b", u32::from(c)));
    }
}

/// Any text comes back as it went, and holds nothing but letters, digits and what a query may hold as it is.
#[test]
fn queryvalue_anytextcomesback() {
    #[allow(clippy::needless_pass_by_value)] // The library passes values.
    fn comes_back(text: String) -> bool {
        let escaped = query_value(&text).to_string();
        let is_plain = |c: char| c.is_ascii_alphanumeric() || "-._~/%".contains(c);
        let decoded = percent_encoding::percent_decode_str(&escaped).decode_utf8();
        escaped.chars().all(is_plain) && decoded.is_ok_and(|decoded| decoded == text)
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(200, 65))
        .quickcheck(comes_back as fn(String) -> bool);
}

#[test]
fn line_plaintextisaswritten() {
    let text = "id=a-1 key=servers/\u{e4}b c=\"x\"";
    assert_eq!(Line(text).to_string(), text);
}

/// A text can't end its line, nor hide or turn a part of it.
#[test]
fn line_controlsareescaped() {
    let text = "a\r\nb\tc\0d\u{1b}[31me\u{7f}f\u{85}g\u{2028}h\u{202e}i";
    let escaped = r"a\r\nb\tc\u{0}d\u{1b}[31me\u{7f}f\u{85}g\u{2028}h\u{202e}i";
    assert_eq!(Line(text).to_string(), escaped);
}

#[test]
fn line_anytextisoneline() {
    #[allow(clippy::needless_pass_by_value)] // The library passes values.
    fn is_one_line(text: String) -> bool {
        let line = Line(&text).to_string();
        !line.chars().any(char::is_control) && line.lines().count() <= 1
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(200, 66))
        .quickcheck(is_one_line as fn(String) -> bool);
}
