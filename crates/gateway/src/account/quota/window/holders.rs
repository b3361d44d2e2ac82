//! The VMs that have a share of an account.
//!
//! Designed for accounts of a few thousand to a million tokens per second over 70 to 720 VMs. If all VMs had a share of
//! a small account, none could serve a request by itself and each loan would have many lenders.

use dahliastile_core::id::{Tenant, Vm};

use crate::account::{TokenLimit, Unit};
use crate::cluster::membership::rendezvous_score;
use crate::settings::Tuning;

/// The number of usual requests that a share holds. Half of a share can be used at once: several groups of requests that
/// callers send together. Where one group takes most of that half, the share permits next to nothing for seconds, though
/// most of its tokens are unused.
const REQUESTS_PER_SHARE: f64 = 32.0;

/// The number of usual requests that a share holds at least, where [`REQUESTS_PER_SHARE`] would make fewer shares than
/// [`AMPLE_HOLDERS`]: two groups at once.
const MIN_REQUESTS_PER_SHARE: f64 = 16.0;

/// The number of shares from which on a part of the VMs that is cut off from the others has its part of the tokens too.
const AMPLE_HOLDERS: usize = 64;

/// The least number of shares of an account, so that the loss of one VM leaves most of the account's tokens.
const MIN_HOLDERS: usize = 3;

/// The usual number of tokens of a request: a prompt of 2,000 tokens and a short answer. A constant, since all VMs must
/// compute the same number of shares.
const USUAL_TOKENS: f64 = 2_400.0;

/// What remains of the permitted tokens after a margin for requests that reach their servers up to some ten
/// milliseconds after they are charged, and for VMs that learn a little late of a new VM.
const MARGIN: f64 = 0.99;

/// Returns the number of tokens that an account may use in a window over all VMs.
pub(super) fn window_tokens(limit: TokenLimit, tuning: &Tuning) -> f64 {
    let seconds = tuning.quota_window.as_secs_f64();
    let window = limit.rate.as_f64() * seconds + limit.burst.as_f64();
    (window * (1.0 + tuning.quota_overage) + tuning.quota_slack) * MARGIN
}

/// Returns the number of VMs that have a share of an account with `tokens` tokens per window.
// The number is not negative, and only its comparison with a number of VMs matters.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn count(tokens: f64, unit: Unit, vms: usize) -> usize {
    let usual = match unit {
        Unit::Requests => 1.0,
        Unit::Tokens(_) => USUAL_TOKENS,
    };
    let shares_of = |requests: f64| (tokens / (requests * usual)) as usize;
    let least = shares_of(MIN_REQUESTS_PER_SHARE).clamp(MIN_HOLDERS, AMPLE_HOLDERS);
    shares_of(REQUESTS_PER_SHARE).max(least).min(vms)
}

/// Returns the rank of a VM among those that may hold a share of an account; the VMs with the lowest ranks do.
pub(super) fn rank(account: &Tenant, vm: &Vm) -> (u64, Vm) {
    (
        rendezvous_score(&("share", account.as_str(), vm.as_str())),
        vm.clone(),
    )
}
