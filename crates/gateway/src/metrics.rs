//! Figures of what a gateway does, by service.

use std::borrow::Cow;

use dahliastile_core::id::{Class, Service, Tenant};
use dahliastile_core::metric::{Figure, Sample};
use dahliastile_core::time::Span;

use crate::account::Tokens;
use crate::effect::{Effect, Effects};

/// Counts one of a figure for a service.
pub(crate) fn count_for_service(
    out: &mut Effects,
    figure: Figure,
    service: &Service,
    label: &'static str,
) {
    put(out, figure, 1.0, Some(service), Some(label));
}

/// Observes a time of a figure for a service.
pub(crate) fn observe_seconds(out: &mut Effects, figure: Figure, service: &Service, span: Span) {
    put(out, figure, span.as_secs_f64(), Some(service), None);
}

/// Counts one of a figure that belongs to no service.
pub(crate) fn count_global(out: &mut Effects, figure: Figure, label: &'static str) {
    put(out, figure, 1.0, None, Some(label));
}

/// Counts tokens of a client account.
pub(crate) fn count_tokens(
    out: &mut Effects,
    account: Option<&Tenant>,
    tokens: Tokens,
    label: &'static str,
) {
    out.push(Effect::Measure(Sample {
        figure: Figure::AccountTokens,
        value: tokens.as_f64(),
        tenant: account.cloned(),
        class: None,
        label: Some(Cow::Borrowed(label)),
    }));
}

fn put(
    out: &mut Effects,
    figure: Figure,
    value: f64,
    service: Option<&Service>,
    label: Option<&'static str>,
) {
    let class: Option<Class> = service.and_then(|service| service.as_str().parse().ok());
    out.push(Effect::Measure(Sample {
        figure,
        value,
        tenant: None,
        class,
        label: label.map(Cow::Borrowed),
    }));
}
