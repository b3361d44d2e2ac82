//! Prints a page of `docs/` that is a table of the code: `pages events | errors | tuning | metrics`.

use dahliastile_core::pages;

fn main() {
    let page = match std::env::args().nth(1).as_deref() {
        Some("events") => pages::events(),
        Some("errors") => pages::errors(),
        Some("tuning") => pages::tuning(),
        Some("metrics") => pages::metrics(),
        _ => "usage: pages events | errors | tuning | metrics\n".to_owned(),
    };
    print!("{page}");
}
