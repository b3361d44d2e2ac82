//! What backend servers say of themselves in their answers, beside what they answer.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use dahliastile_core::id::Server;
use dahliastile_core::log::Code;
use serde::{Deserialize, Serialize};

use crate::effect::Effects;
use crate::node::Gateway;

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(pub u64);

impl Rate {
    /// Requests a second.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.as_f64().fmt(f)
    }
}

/// A text that is no rate: no number, or below 0.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no number of requests a second")]
pub struct NoRate(String);

impl FromStr for Rate {
    type Err = NoRate;

    // A rate beyond all bounds is the largest one.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn from_str(text: &str) -> Result<Self, NoRate> {
        match text.trim().parse::<f64>() {
            Ok(rate) if rate >= 0.0 => Ok(Self((rate * 1_000.0) as u64)),
            Ok(_) | Err(_) => Err(NoRate(text.to_owned())),
        }
    }
}

/// One thing that an answer may say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word<T> {
    /// It does not.
    #[default]
    Unsaid,
    /// It does, and can't be read.
    Unreadable,
    /// It does.
    Said(T),
}

/// What one answer says of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The requests a second that the server takes from all VMs together, for as long as it says so.
    pub limit: Word<Rate>,
}

impl Notice {
    /// Whether it says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What servers said last.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// By server.
    rows: BTreeMap<Server, Row>,
}

/// What one server said last.
#[derive(Debug, Default)]
struct Row {
    /// The requests a second that it takes from all VMs together.
    limit: Option<Rate>,
}

impl Table {
    /// A server is gone.
    pub(crate) fn forget(&mut self, server: &Server) {
        self.rows.remove(server);
    }
}

impl Gateway {
    /// An answer to this VM says something of its server, or says no more what an earlier one did.
    pub(crate) fn noticed(&mut self, server: &Server, notice: Notice, out: &mut Effects) {
        let row = self.notices.rows.entry(server.clone()).or_default();
        let limit = match notice.limit {
            Word::Unsaid => None,
            Word::Unreadable => row.limit,
            Word::Said(rate) => Some(rate),
        };
        if limit != row.limit || notice.limit == Word::Unreadable {
            let detail = format!("server={server} limit={limit:?} was={:?}", row.limit);
            row.limit = limit;
            Self::log(out, Code::ServerNotice, detail);
        }
    }
}
