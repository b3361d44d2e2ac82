//! The pages of `docs/` that are tables of the code are equal to the code.

use std::path::Path;

use dahliastile_core::pages;

fn doc(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

#[test]
fn events_equal_page() {
    assert_eq!(doc("EVENTS.md"), pages::events());
}

#[test]
fn errors_equal_page() {
    assert_eq!(doc("ERRORS.md"), pages::errors());
}

#[test]
fn metrics_equal_page() {
    assert_eq!(doc("METRICS.md"), pages::metrics());
}

#[test]
fn tuning_within_page() {
    let page = doc("CONFIGURATION.md");
    assert!(
        page.contains(&pages::tuning()),
        "docs/CONFIGURATION.md lacks this table:\n{}",
        pages::tuning()
    );
}
