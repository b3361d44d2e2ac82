//! The pages of `docs/` that are tables of this crate: rendered here, held equal to the files by a test.

use std::fmt::Write;

use crate::error::{Fixed, Kind, Retry};
use crate::log::Code;
use crate::metric::Figure;
use crate::settings::Tuning;

/// `docs/EVENTS.md`: every numbered log event.
#[must_use]
pub fn events() -> String {
    let mut page = String::from(
        "# Log events\n\nEvery line that dahliastile logs carries one of these numbers. \
         Rendered by `cargo run -p dahliastile-core --example pages -- events`.\n\n\
         | number | name | level | meaning | what an operator does |\n|---|---|---|---|---|\n",
    );
    for code in Code::ALL {
        let (number, level) = (code.number(), format!("{:?}", code.level()).to_lowercase());
        let (meaning, advice) = (code.meaning().trim(), code.advice());
        line(
            &mut page,
            format_args!("| E{number} | {code:?} | {level} | {meaning} | {advice} |"),
        );
    }
    page
}

/// `docs/ERRORS.md`: every kind of refusal or error.
#[must_use]
pub fn errors() -> String {
    let mut page = String::from(
        "# Errors\n\nEach refusal and each error is one of these kinds, sent as soon as it is decided:\n\
         `{\"error\": {\"kind\", \"ran\", \"retry_after_ms\", \"request_id\", \"message\"}}`. `ran: no` is said only \
         when no byte of the\nrequest can have reached a backend server, or that server itself refused to run it. \
         Rendered by\n`cargo run -p dahliastile-core --example pages -- errors`.\n\n\
         | kind | status | ran | ask again | meaning |\n|---|---|---|---|---|\n",
    );
    for kind in Kind::ALL {
        let row = kind.row();
        let ran = match row.ran {
            Fixed::Always(ran) => ran.to_string(),
            Fixed::Case => "as the case is".to_owned(),
        };
        let retry = match row.retry {
            Retry::Never => "no",
            Retry::Later => "after `retry_after_ms`",
            Retry::Idempotent => "only idempotent work",
        };
        let (name, status, meaning) = (row.name, row.status, row.meaning.trim());
        line(
            &mut page,
            format_args!("| `{name}` | {status} | {ran} | {retry} | {meaning} |"),
        );
    }
    page
}

/// The table of tuning settings for `docs/CONFIGURATION.md`.
#[must_use]
pub fn tuning() -> String {
    let mut page =
        String::from("| setting | meaning | unit | default | range |\n|---|---|---|---|---|\n");
    for entry in Tuning::ENTRIES {
        let (name, doc, unit) = (entry.name, entry.doc.trim(), entry.unit);
        let (default, min, max) = (entry.default, entry.min, entry.max);
        line(
            &mut page,
            format_args!("| `{name}` | {doc} | {unit} | {default} | {min} to {max} |"),
        );
    }
    page
}

/// `docs/METRICS.md`: every figure.
#[must_use]
pub fn metrics() -> String {
    let mut page = String::from(
        "# Metrics\n\nServed at `/metrics` on the operators' listener, per tenant and class where that makes sense. \
         Rendered by\n`cargo run -p dahliastile-core --example pages -- metrics`.\n\n\
         | name | unit | meaning |\n|---|---|---|\n",
    );
    for figure in Figure::ALL {
        let (name, unit, meaning) = (figure.name(), figure.unit(), figure.meaning().trim());
        line(&mut page, format_args!("| `{name}` | {unit} | {meaning} |"));
    }
    page
}

fn line(page: &mut String, text: std::fmt::Arguments<'_>) {
    let written = writeln!(page, "{text}");
    debug_assert!(
        written.is_ok(),
        "writing to a string fails only out of memory"
    );
}
