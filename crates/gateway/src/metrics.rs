//! Functions that append samples of metrics to a step's effects.

use std::borrow::Cow;

use dahliastile_core::id::{Class, Service, Tenant};
use dahliastile_core::metric::{Figure, Sample};
use dahliastile_core::time::Span;

use crate::account::Tokens;
use crate::effect::{Effect, Effects};

/// Adds one to a counter, with the labels of a service and of a kind of event.
pub(crate) fn count_for_service(
    out: &mut Effects,
    figure: Figure,
    service: &Service,
    label: &'static str,
) {
    push_sample(out, figure, 1.0, Some(service), Some(label));
}

/// Adds a number to a counter, with the labels of a service and of a kind of event.
pub(crate) fn add_for_service(
    out: &mut Effects,
    figure: Figure,
    service: &Service,
    count: u32,
    label: &'static str,
) {
    push_sample(out, figure, f64::from(count), Some(service), Some(label));
}

/// Records a duration in seconds, with the label of a service.
pub(crate) fn observe_seconds(out: &mut Effects, figure: Figure, service: &Service, span: Span) {
    push_sample(out, figure, span.as_secs_f64(), Some(service), None);
}

/// Adds one to a counter, with the label of a kind of event and none of a service.
pub(crate) fn count_global(out: &mut Effects, figure: Figure, label: &'static str) {
    push_sample(out, figure, 1.0, None, Some(label));
}

/// Adds tokens to the token counter of a client account; `label` says whether they were admitted or refused.
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

/// Adds borrowed tokens that were not used in time to the token counter of a client account, if there are any.
pub(crate) fn count_lapsed(out: &mut Effects, account: &Tenant, tokens: Tokens) {
    if tokens > Tokens(0) {
        count_tokens(out, Some(account), tokens, "lapsed");
    }
}

/// Adds one to the counter of loan requests of a client account.
pub(crate) fn count_loan_request(out: &mut Effects, account: &Tenant, cause: &'static str) {
    out.push(Effect::Measure(Sample {
        figure: Figure::LoanRequests,
        value: 1.0,
        tenant: Some(account.clone()),
        class: None,
        label: Some(Cow::Borrowed(cause)),
    }));
}

/// Appends a sample with the labels that are given.
fn push_sample(
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
