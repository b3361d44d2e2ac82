//! Client accounts: whose request it is, by the key that it bears, and how much each account may use.

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
use crate::effect::{Effects, RefusalReason};
use crate::event::{CallerRequest, RequestId};
use crate::node::Gateway;
use crate::request::state::refusal;

/// How old the newest word of the key-value service may be for a key that is not in the configuration to count as unknown. A VM
/// that is well hears within 1.4 s; one that heard longer ago may lack the version that holds the key.
const CERTAIN: Span = Span::from_millis(1_500);

/// When a caller may come back whose key this VM may not know yet: about the time in which a VM turns to another one for changes.
const CONFIRMED_WITHIN: Span = Span::from_millis(700);

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $name(pub u64);

        impl $name {
            /// The number for reckoning.
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

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    )*};
}

numbers! {
    /// A number of tokens, or of requests where an account counts those.
    Tokens;
    /// Tokens a second.
    TokenRate;
}

/// What a request counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// One.
    Requests,
    /// The tokens that it names; those given here where it names none.
    Tokens(Tokens),
}

/// How much an account may use over all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLimit {
    /// Without end.
    pub rate: TokenRate,
    /// Besides, at once.
    pub burst: Tokens,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Its name.
    pub name: Tenant,
    /// The keys that its callers bear.
    pub keys: Vec<AccountKey>,
    /// The rank of its requests, 0 first; none where that of the route counts.
    pub priority: Option<u8>,
    /// What its requests count as.
    pub unit: Unit,
    /// How much it may use; none for any amount.
    pub limit: Option<TokenLimit>,
}

impl Account {
    /// What a request counts as that names so many tokens.
    #[must_use]
    pub fn cost(&self, named: Option<Tokens>) -> Tokens {
        match self.unit {
            Unit::Requests => Tokens(1),
            Unit::Tokens(plain) => named.unwrap_or(plain),
        }
    }
}

/// Finds the account of a key.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Whether requests need a key at all.
    required: bool,
    /// The accounts by key.
    by_key: FxHashMap<AccountKey, Arc<Account>>,
}

impl Table {
    /// The accounts of a configuration.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let accounts = config.accounts.iter().flatten();
        let keys = accounts.flat_map(|account| account.keys.iter().map(move |key| (*key, account)));
        Self {
            required: config.accounts.is_some(),
            by_key: keys.map(|(key, account)| (key, account.clone())).collect(),
        }
    }

    /// The account that holds a key.
    #[must_use]
    pub fn find(&self, key: &AccountKey) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }
}

impl Gateway {
    /// The account of a request, none where it needs none; or why the request can't be taken.
    pub(crate) fn identify(
        &self,
        route: &Route,
        call: &CallerRequest,
    ) -> Result<Option<Arc<Account>>, RefusalReason> {
        let accounts = self.index.accounts();
        let account = call.key.as_ref().and_then(|key| accounts.find(key));
        match account {
            Some(account) => Ok(Some(account.clone())),
            None if route.public || !accounts.required => Ok(None),
            None if self.store_answer_age() <= CERTAIN => Err(RefusalReason::UnknownKey),
            None => Err(RefusalReason::UnconfirmedKey),
        }
    }

    /// Refuses a request that bears no key of an account.
    pub(crate) fn refuse_unidentified(
        &self,
        request: RequestId,
        call: &CallerRequest,
        reason: RefusalReason,
        out: &mut Effects,
    ) {
        let (why, after) = match reason {
            RefusalReason::UnconfirmedKey => ("key_unconfirmed", Some(CONFIRMED_WITHIN)),
            _ => ("key_unknown", None),
        };
        let key = call.key.map_or("none".to_owned(), |key| key.to_string());
        let (version, age) = (self.config_version(), self.store_answer_age());
        let detail = format!(
            "id={} why={why} key={key} config={version} word_age={age}",
            call.id
        );
        Self::log(out, Code::Refused, detail);
        out.push(refusal(request, reason, after));
    }
}
