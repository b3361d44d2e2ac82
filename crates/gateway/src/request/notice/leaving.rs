//! Servers that announce in their answers that they are leaving.
//!
//! The announcement holds for the present incarnation of the server, whatever its entry in the key-value
//! service says: the service may not have been updated yet, or may be unavailable.

use dahliastile_core::id::{Incarnation, Server, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};

use crate::effect::Effects;
use crate::message::Message;
use crate::node::Gateway;
use crate::scheduler::Scheduler;

/// How long the announcement of a server is remembered after its entry was removed, counted from the
/// announcement; the entry may return unchanged.
const ANNOUNCEMENT_RETENTION: Span = Span::from_secs(600);

impl Gateway {
    /// Handles an answer to this VM that announces that its server is leaving.
    pub(super) fn report_leaving(&mut self, server: &Server, out: &mut Effects) {
        let me = self.settings.vm.clone();
        let start = self
            .servers
            .get(server)
            .and_then(|server_state| server_state.backend.start);
        let counting_vm = self.counting_vm(server);
        if self.mark_leaving(&me, server, start, out) && counting_vm != me {
            self.send(
                &counting_vm,
                Message::ServerLeaving(server.clone(), start),
                out,
            );
        }
    }

    /// Records that a server is leaving, as its incarnation `start` announced to the VM `by`. Returns whether
    /// this is new.
    pub(crate) fn mark_leaving(
        &mut self,
        by: &Vm,
        server: &Server,
        start: Option<Incarnation>,
        out: &mut Effects,
    ) -> bool {
        let now = self.now;
        let Some(server_state) = self.servers.get(server) else {
            return false;
        };
        if server_state.backend.start != start || self.notices.leaving(server).is_some() {
            return false;
        }
        let service = server_state.backend.service.clone();
        let notice = self.notices.by_server.entry(server.clone()).or_default();
        (notice.leaving, notice.start) = (Some(now), start);
        if let Some(scheduler) = self.schedulers.get_mut(&service) {
            scheduler.set_leaving(server, now);
        }
        Self::log(
            out,
            Code::ServerNotice,
            format!("server={server} leaving=true by={by}"),
        );
        if self.counting_vm(server) == self.settings.vm {
            self.broadcast(&Message::ServerLeaving(server.clone(), start), out);
        }
        true
    }

    /// Returns how long after its announcement a leaving server is used if there is no other server.
    pub(crate) fn last_resort_period(&self) -> Span {
        last_resort_period(self.settings.tuning.drain)
    }
}

/// Returns how long after its announcement a leaving server is used if there is no other server: half of
/// `drain`, the time for which a leaving server still accepts requests, since a request that is sent late in
/// that time may arrive after its end.
pub(crate) fn last_resort_period(drain: Span) -> Span {
    Span(drain.0 / 2)
}

impl super::ServerNotices {
    /// Passes the latest notices of an engine to a scheduler.
    pub(crate) fn inform_scheduler(
        &self,
        now: Instant,
        me: &Vm,
        scheduler: &mut Scheduler,
        server: &Server,
    ) {
        if let Some(limit) = self.limit(server) {
            scheduler.set_rate_limit(now, server, Some(limit));
        }
        if let Some(at) = self.leaving(server) {
            scheduler.set_leaving(server, at);
        }
        let cooldown = self.cooldown_until(server).since(now);
        if cooldown > Span::ZERO {
            scheduler.start_cooldown(now, me, server, cooldown);
        }
    }

    /// Returns when this VM first learned that a server is leaving; `None` if it is not leaving.
    pub(crate) fn leaving(&self, server: &Server) -> Option<Instant> {
        self.by_server.get(server)?.leaving
    }

    /// Returns whether a server has been leaving for at least `span`.
    pub(crate) fn has_left(&self, server: &Server, now: Instant, span: Span) -> bool {
        self.leaving(server).is_some_and(|at| now.since(at) >= span)
    }

    /// Drops the notices of a server that has an entry with another incarnation.
    pub(crate) fn server_listed(&mut self, server: &Server, start: Option<Incarnation>) {
        if self
            .by_server
            .get(server)
            .is_some_and(|notice| notice.start != start)
        {
            self.by_server.remove(server);
        }
    }

    /// Drops the notices of a server whose entry was removed, except the announcement that it is leaving. Drops
    /// all announcements that are older than [`ANNOUNCEMENT_RETENTION`].
    pub(crate) fn server_unlisted(&mut self, server: &Server, now: Instant) {
        if let Some(notice) = self
            .by_server
            .remove(server)
            .filter(|notice| notice.leaving.is_some())
        {
            let kept = super::LatestNotice {
                leaving: notice.leaving,
                start: notice.start,
                ..super::LatestNotice::default()
            };
            self.by_server.insert(server.clone(), kept);
        }
        let is_expired = |notice: &super::LatestNotice| {
            notice
                .leaving
                .is_some_and(|at| now.since(at) >= ANNOUNCEMENT_RETENTION)
        };
        self.by_server.retain(|_, notice| !is_expired(notice));
    }
}
