//! What backend servers say of themselves in their answers, beside what they answer.
//!
//! It comes sooner than the key-value service's word, and to one VM. That VM tells the one that counts what the server is sent: the
//! service's scheduler, or else the VM that hashing names ([`permit`]); and that one tells all. Each VM must know whose answers to look at
//! for the end of a limit, and which servers leave.

mod cooldown;
pub(crate) mod leaving;
mod limit;
mod permit;
pub(crate) mod rate_limiter;

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use dahliastile_core::id::{Incarnation, Server, Service, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};
use serde::{Deserialize, Serialize};

use self::rate_limiter::RateLimiter;
use crate::effect::{Effect, Effects};
use crate::message::Message;
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
pub enum NoticeField<T> {
    /// It does not.
    #[default]
    Absent,
    /// It does, and can't be read.
    Unreadable,
    /// It does.
    Present(T),
}

/// What one answer says of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The requests a second that the server takes from all VMs together, for as long as it says so.
    pub limit: NoticeField<Rate>,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// How long the server, which turns a request away, wants nothing more of the VM that sent it.
    pub cooldown: NoticeField<Span>,
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
pub(crate) struct ServerNotices {
    /// By server.
    rows: BTreeMap<Server, Row>,
}

/// What one server said last.
#[derive(Debug, Default)]
struct Row {
    /// The requests a second that it takes from all VMs together.
    limit: Option<Rate>,
    /// What it may still be sent of that, where this VM counts it.
    rate_limiter: Option<RateLimiter>,
    /// Until when this VM sends it nothing.
    closed: Instant,
    /// Until when it wants nothing of this VM.
    cooldown_until: Instant,
    /// When it was first heard to say that it is leaving.
    leaving: Option<Instant>,
    /// The start of which that was heard.
    start: Option<Incarnation>,
}

impl Row {
    /// What holds for all VMs of what the server said.
    fn for_all(&self, server: &Server) -> impl Iterator<Item = Message> {
        let limit = self
            .limit
            .map(|_| Message::ServerRateLimit(server.clone(), self.limit));
        let leaving = self
            .leaving
            .map(|_| Message::ServerLeaving(server.clone(), self.start));
        limit.into_iter().chain(leaving)
    }
}

impl ServerNotices {
    /// The limit that a server names.
    pub(crate) fn limit(&self, server: &Server) -> Option<Rate> {
        self.rows.get(server)?.limit
    }

    /// Whether this VM may send to a server.
    pub(crate) fn open(&self, server: &Server, now: Instant) -> bool {
        self.opens(server) <= now
    }

    /// From when on this VM may send to a server.
    pub(crate) fn opens(&self, server: &Server) -> Instant {
        self.rows
            .get(server)
            .map_or_else(Instant::default, |row| row.closed.max(row.cooldown_until))
    }

    fn close(&mut self, server: &Server, until: Instant) {
        if let Some(row) = self.rows.get_mut(server) {
            row.closed = until;
        }
    }
}

impl Gateway {
    /// An answer to this VM says something of its server, or says no more what an earlier one did.
    pub(crate) fn handle_notice(&mut self, server: &Server, notice: Notice, out: &mut Effects) {
        if !self.servers.contains_key(server) {
            return;
        }
        Self::note_unreadable_word(server, notice, out);
        if notice.leaving {
            self.report_leaving(server, out);
        }
        if let NoticeField::Present(cooldown) = notice.cooldown {
            self.report_rest(server, cooldown, out);
        }
        match notice.limit {
            NoticeField::Absent => self.report_limit(server, None, out),
            NoticeField::Present(rate) => self.report_limit(server, Some(rate), out),
            NoticeField::Unreadable => {}
        }
    }

    /// Writes a line on what can't be read. Nothing is changed by it: what the server said before holds on.
    fn note_unreadable_word(server: &Server, notice: Notice, out: &mut Effects) {
        let words = [
            ("limit", notice.limit == NoticeField::Unreadable),
            ("rest", notice.cooldown == NoticeField::Unreadable),
        ];
        for (word, _) in words.iter().filter(|(_, unreadable)| *unreadable) {
            let detail = format!("server={server} {word}=unreadable");
            Self::log(out, Code::ServerNotice, detail);
        }
    }

    /// Tells a VM that starts what servers have said that holds for all VMs.
    pub(crate) fn tell_notices(&self, to: &Vm, out: &mut Effects) {
        for (server, row) in &self.notices.rows {
            for message in row.for_all(server) {
                self.send(to, message, out);
            }
        }
    }

    /// All that servers of a service have said to this VM or others, as messages to a new scheduler of it.
    pub(crate) fn notice_messages(&self, service: &Service) -> Vec<Message> {
        let of = |server: &Server| self.service_of(server).as_ref() == Some(service);
        let rows = self.notices.rows.iter().filter(|(server, _)| of(server));
        let messages = rows.flat_map(|(server, row)| {
            let cooldown = row.cooldown_until.since(self.now);
            let cooldown =
                (cooldown > Span::ZERO).then(|| Message::ServerCooldown(server.clone(), cooldown));
            row.for_all(server).chain(cooldown)
        });
        messages.collect()
    }

    /// What a server said of itself is that of an earlier start.
    pub(crate) fn forget_notices(&mut self, server: &Server, out: &mut Effects) {
        if self.notices.rows.remove(server).is_some() {
            out.push(Effect::TrackAnswers(server.clone(), false));
        }
    }
}
