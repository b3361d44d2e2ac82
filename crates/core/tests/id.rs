//! Names, and the forms in which they are written.

use std::collections::HashMap;

use dahliastile_core::id::{Adapter, Malformed, Request, Zone};
use dahliastile_core::time::Span;

#[test]
fn adapter_foundbytext() {
    let adapter: Adapter = "lock-7@3".parse().expect("well-formed");
    let map = HashMap::from([(adapter, 1)]);
    assert_eq!(map.get("lock-7@3"), Some(&1));
}

#[test]
fn adapter_split() {
    let adapter: Adapter = "lock-7@3".parse().expect("well-formed");
    assert_eq!((adapter.name(), adapter.version()), ("lock-7", "3"));
}

#[test]
fn adapter_withoutversion() {
    assert_eq!("lock-7".parse::<Adapter>(), Err(Malformed::MissingVersion));
    assert_eq!("lock-7@".parse::<Adapter>(), Err(Malformed::Empty));
    assert_eq!("a@b@c".parse::<Adapter>(), Err(Malformed::Character('@')));
}

#[test]
fn zone_badcharacter() {
    assert_eq!("a b".parse::<Zone>(), Err(Malformed::Character(' ')));
}

#[test]
fn numbers_prefix() {
    assert_eq!(Request(17).to_string(), "req17");
    assert_eq!("req17".parse::<Request>(), Ok(Request(17)));
}

#[test]
fn span_forms() {
    for text in ["250ms", "3s", "800us"] {
        assert_eq!(text.parse::<Span>().expect("well-formed").to_string(), text);
    }
    assert!("3h".parse::<Span>().is_err());
}
