//! Notices: what backend servers say about themselves in the heads of their answers.
//!
//! A notice arrives earlier than a change of the server's entry in the key-value service, but at one VM only.
//! That VM forwards it to the VM that counts the requests to the server: the scheduler of the service, or
//! without a scheduler the VM chosen by rendezvous hashing ([`permit`]). The counting VM informs all others,
//! because each VM must know which servers are leaving, and which servers have a limit, whose end only their
//! answers show.

mod brittle;
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

/// Requests per second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "u64")]
pub struct Rate(pub u64);

impl From<u64> for Rate {
    fn from(thousandths: u64) -> Self {
        Self(thousandths.min(Self::MAX.0))
    }
}

impl Rate {
    /// The largest rate that is read: a request per microsecond, the resolution of the clock.
    pub const MAX: Self = Self(1_000_000_000);

    /// Requests per second.
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

/// Error for a text that is not a rate: not a number, or negative.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a rate: expected a non-negative number of requests per second")]
pub struct ParseRateError(String);

impl FromStr for Rate {
    type Err = ParseRateError;

    // The cast saturates.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn from_str(text: &str) -> Result<Self, ParseRateError> {
        match text.trim().parse::<f64>() {
            Ok(rate) if rate >= 0.0 => Ok(((rate * 1_000.0) as u64).into()),
            Ok(_) | Err(_) => Err(ParseRateError(text.to_owned())),
        }
    }
}

/// A field of a notice, as read from the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeField<T> {
    /// The answer lacks the field.
    #[default]
    Absent,
    /// The answer has the field, with a value that can't be parsed.
    Unreadable,
    /// The answer has the field, with this value.
    Present(T),
}

/// What the head of one answer says about its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Requests per second that the server accepts from all VMs together, as long as its answers say so.
    pub limit: NoticeField<Rate>,
    /// The requests that the server may reject in a second for want of room; with more it falls over. Absent unless the
    /// server says so in each of its answers.
    pub brittle: NoticeField<u32>,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// How long the VM that received this answer, which rejects its request, should send the server nothing.
    pub cooldown: NoticeField<Span>,
}

impl Notice {
    /// Returns whether no field is present.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The latest notices of all servers, merged by server.
#[derive(Debug, Default)]
pub(crate) struct ServerNotices {
    /// State by server.
    by_server: BTreeMap<Server, LatestNotice>,
}

/// What one server said last about itself.
#[derive(Debug, Default)]
struct LatestNotice {
    /// Requests per second that it accepts from all VMs together.
    limit: Option<Rate>,
    /// Token bucket for this limit, if this VM counts the requests to the server.
    rate_limiter: Option<RateLimiter>,
    /// End of the time in which this VM sends nothing to the server, after it was refused a permit or got no
    /// reply to its permit request.
    closed_until: Instant,
    /// End of the cooldown that the server asked of this VM.
    cooldown_until: Instant,
    /// The server's word that it falls over under rejections.
    brittle: Option<brittle::Brittle>,
    /// When this VM first learned that the server is leaving.
    leaving: Option<Instant>,
    /// Incarnation of the server that announced that it is leaving.
    start: Option<Incarnation>,
}

impl LatestNotice {
    /// Returns the notices that concern all VMs, the limit and the announcement that the server is leaving, as
    /// messages.
    fn messages_for_all(&self, server: &Server) -> impl Iterator<Item = Message> {
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
    /// Returns the request rate limit of a server, if it has one.
    pub(crate) fn limit(&self, server: &Server) -> Option<Rate> {
        self.by_server.get(server)?.limit
    }

    /// Returns whether this VM may send to a server.
    pub(crate) fn is_open(&self, server: &Server, now: Instant) -> bool {
        self.open_at(server) <= now
    }

    /// Returns the time from which this VM may send to a server.
    pub(crate) fn open_at(&self, server: &Server) -> Instant {
        self.by_server
            .get(server)
            .map_or_else(Instant::default, |notice| {
                notice.closed_until.max(notice.cooldown_until)
            })
    }

    /// Closes a server to this VM for `span`, but at least until the next step: a request that could not be sent to the
    /// server is not offered to it again in this one.
    fn close_for(&mut self, server: &Server, span: Span, now: Instant) {
        if let Some(notice) = self.by_server.get_mut(server) {
            notice.closed_until = now + span.max(Span(1));
        }
    }
}

impl Gateway {
    /// Handles a notice in an answer to this VM. While a server has a limit, its empty notices are delivered
    /// too: they mean that the limit has ended.
    pub(crate) fn handle_notice(&mut self, server: &Server, notice: Notice, out: &mut Effects) {
        if !self.servers.contains_key(server) {
            return;
        }
        Self::log_unreadable_fields(server, notice, out);
        if notice.leaving {
            self.report_leaving(server, out);
        }
        if let NoticeField::Present(cooldown) = notice.cooldown {
            self.report_cooldown(server, cooldown, out);
        }
        if let NoticeField::Present(rejections) = notice.brittle {
            self.record_brittle(server, rejections, out);
        }
        match notice.limit {
            NoticeField::Absent => self.report_limit(server, None, out),
            NoticeField::Present(rate) => self.report_limit(server, Some(rate), out),
            NoticeField::Unreadable => {}
        }
    }

    /// Logs fields that can't be parsed. They change nothing: the value of an earlier answer remains in
    /// force.
    fn log_unreadable_fields(server: &Server, notice: Notice, out: &mut Effects) {
        let fields = [
            ("limit", notice.limit == NoticeField::Unreadable),
            ("brittle", notice.brittle == NoticeField::Unreadable),
            ("rest", notice.cooldown == NoticeField::Unreadable),
        ];
        for (name, _) in fields.iter().filter(|(_, unreadable)| *unreadable) {
            let detail = format!("server={server} {name}=unreadable");
            Self::log(out, Code::ServerNotice, detail);
        }
    }

    /// Sends the notices that concern all VMs to a VM that has started.
    pub(crate) fn send_notices(&self, to: &Vm, out: &mut Effects) {
        for (server, notice) in &self.notices.by_server {
            for message in notice.messages_for_all(server) {
                self.send(to, message, out);
            }
        }
    }

    /// Returns the notices of all servers of a service, whether received by this VM or from others, as
    /// messages for a new scheduler.
    pub(crate) fn notice_messages(&self, service: &Service) -> Vec<Message> {
        let is_of_service = |server: &Server| self.service_of(server).as_ref() == Some(service);
        let by_server = self
            .notices
            .by_server
            .iter()
            .filter(|(server, _)| is_of_service(server));
        let messages = by_server.flat_map(|(server, notice)| {
            let cooldown = notice.cooldown_until.since(self.now);
            let cooldown =
                (cooldown > Span::ZERO).then(|| Message::ServerCooldown(server.clone(), cooldown));
            notice.messages_for_all(server).chain(cooldown)
        });
        messages.collect()
    }

    /// Removes the notices of an earlier incarnation of a server, and ends the delivery of empty notices.
    pub(crate) fn forget_notices(&mut self, server: &Server, out: &mut Effects) {
        if self.notices.by_server.remove(server).is_some() {
            out.push(Effect::TrackAnswers(server.clone(), false));
        }
    }
}
