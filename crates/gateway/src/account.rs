//! Client accounts: finds the account of a request by its API key, and enforces the quota of each account.

pub mod key;
pub mod quota;

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

use dahliastile_core::id::Tenant;
use dahliastile_core::log::Code;
use dahliastile_core::time::Span;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use self::key::AccountKey;
use crate::config::{Config, Route};
use crate::effect::{Effects, Refusal, RefusalReason};
use crate::event::{CallerRequest, RequestId};
use crate::node::Gateway;
use crate::request::proof::Proof;
use crate::request::state::refuse;

/// The greatest age of the key-value service's last answer at which a key that is not in the configuration is refused
/// as unknown. A healthy VM learns of an answer within 1.4 s; if the last answer is older, the VM may not know the
/// version of the configuration that holds the key.
const MAX_ANSWER_AGE: Span = Span::from_millis(1_500);

/// The time after which a caller may retry if this VM may not know its key yet: about the time in which a VM without
/// news of the key-value service subscribes at another upstream.
const UNCONFIRMED_RETRY_AFTER: Span = Span::from_millis(700);

macro_rules! number_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(from = "u64")]
        pub struct $name(pub u64);

        impl $name {
            /// The largest number that is read: a million of them have a sum.
            pub const MAX: Self = Self(1 << 40);

            /// Returns the number as a float, for arithmetic with fractions.
            #[must_use]
            #[allow(clippy::cast_precision_loss)]
            pub const fn as_f64(self) -> f64 {
                self.0 as f64
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl From<u64> for $name {
            fn from(number: u64) -> Self {
                Self(number.min(Self::MAX.0))
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(|number: u64| number.into())
            }
        }
    )*};
}

number_types! {
    /// A number of tokens, or of requests for an account with [`Unit::Requests`].
    Tokens;
    /// A rate in tokens per second.
    TokenRate;
}

/// What the quota of an account counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Requests: each counts as 1.
    Requests,
    /// Tokens: a request counts as the number of tokens that the caller gives, or as this number if the caller gives
    /// none.
    Tokens(Tokens),
}

/// The quota of an account over all VMs together: a token bucket's rate and burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLimit {
    /// Tokens per second in the long run.
    pub rate: TokenRate,
    /// Tokens that may be used at once in addition to the rate.
    pub burst: Tokens,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The name of the account.
    pub name: Tenant,
    /// The API keys of its callers.
    pub keys: Vec<AccountKey>,
    /// The priority of its requests, lower numbers first; none where the priority of the route applies.
    pub priority: Option<u8>,
    /// What its quota counts.
    pub unit: Unit,
    /// Its quota; none for unlimited use.
    pub limit: Option<TokenLimit>,
}

impl Account {
    /// Returns the number of tokens to charge for a request, given the number that the caller gives.
    #[must_use]
    pub fn cost(&self, given: Option<Tokens>) -> Tokens {
        match self.unit {
            Unit::Requests => Tokens(1),
            Unit::Tokens(default) => given.unwrap_or(default),
        }
    }
}

/// The accounts of a configuration by API key.
#[derive(Clone, Debug, Default)]
pub struct AccountIndex {
    /// Whether requests need a key; false if the configuration has no accounts.
    required: bool,
    /// The account that holds each key.
    by_key: FxHashMap<AccountKey, Arc<Account>>,
}

impl AccountIndex {
    /// Builds the index of a configuration.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let accounts = config.accounts.iter().flatten();
        let keys = accounts.flat_map(|account| account.keys.iter().map(move |key| (*key, account)));
        Self {
            required: config.accounts.is_some(),
            by_key: keys.map(|(key, account)| (key, account.clone())).collect(),
        }
    }

    /// Returns the account that holds a key.
    #[must_use]
    pub fn find(&self, key: &AccountKey) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }
}

impl Gateway {
    /// Finds the account of a request. Returns `None` if the request needs no account, and an error if the request must
    /// be refused.
    pub(crate) fn identify(
        &self,
        route: &Route,
        caller_request: &CallerRequest,
    ) -> Result<Option<Arc<Account>>, RefusalReason> {
        let accounts = self.index.accounts();
        let account = caller_request
            .key
            .as_ref()
            .and_then(|key| accounts.find(key));
        match account {
            Some(account) => Ok(Some(account.clone())),
            None if route.public || !accounts.required => Ok(None),
            None if self.kv_answer_age() <= MAX_ANSWER_AGE => Err(RefusalReason::UnknownKey),
            None => Err(RefusalReason::UnconfirmedKey),
        }
    }

    /// Refuses a request without the key of any known account.
    pub(crate) fn refuse_unidentified(
        &self,
        request: RequestId,
        caller_request: &CallerRequest,
        reason: RefusalReason,
        out: &mut Effects,
    ) {
        let (why, after) = match reason {
            RefusalReason::UnconfirmedKey => ("key_unconfirmed", Some(UNCONFIRMED_RETRY_AFTER)),
            _ => ("key_unknown", None),
        };
        let key = caller_request
            .key
            .map_or("none".to_owned(), |key| key.to_string());
        let (version, age) = (self.config_version(), self.kv_answer_age());
        let detail = format!(
            "id={} why={why} key={key} config={version} word_age={age}",
            caller_request.id
        );
        Self::log(out, Code::Refused, detail);
        let refusal = Refusal::new(reason, Some(Proof::UNADMITTED), after);
        out.push(refuse(request, refusal));
    }
}
