//! Servers that say that they are leaving.
//!
//! It holds for the server's present start, whatever the key-value service says of it: that may not know yet, or be away.

use dahliastile_core::id::{Incarnation, Server, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};

use crate::effect::Effects;
use crate::message::Message;
use crate::node::Gateway;
use crate::scheduler::Scheduler;

/// How long it is remembered of a server without an entry, which may come back as it was.
const REMEMBERED: Span = Span::from_secs(600);

impl Gateway {
    /// An answer to this VM says that its server is leaving.
    pub(super) fn report_leaving(&mut self, server: &Server, out: &mut Effects) {
        let me = self.settings.vm.clone();
        let start = self.servers.get(server).and_then(|row| row.backend.start);
        let counting = self.counting_vm(server);
        if self.mark_leaving(&me, server, start, out) && counting != me {
            self.send(
                &counting,
                Message::ServerLeaving(server.clone(), start),
                out,
            );
        }
    }

    /// A server is leaving, as an answer of this start of it to a VM says. Says whether that is new.
    pub(crate) fn mark_leaving(
        &mut self,
        by: &Vm,
        server: &Server,
        start: Option<Incarnation>,
        out: &mut Effects,
    ) -> bool {
        let now = self.now;
        let Some(row) = self.servers.get(server) else {
            return false;
        };
        if row.backend.start != start || self.notices.leaving(server).is_some() {
            return false;
        }
        let service = row.backend.service.clone();
        let notices = self.notices.rows.entry(server.clone()).or_default();
        (notices.leaving, notices.start) = (Some(now), start);
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

    /// How long a server that leaves is used where no other one is there: it takes requests for a while, and what is sent late in that time
    /// may reach it after.
    pub(crate) fn last_resort_period(&self) -> Span {
        last_resort_period(self.settings.tuning.drain)
    }
}

/// The part of the time that leaving servers take requests for in which they are used where no other is there.
pub(crate) fn last_resort_period(drain: Span) -> Span {
    Span(drain.0 / 2)
}

impl super::ServerNotices {
    /// Tells a scheduler what an engine has said of itself.
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

    /// When a server was first heard to say that it is leaving.
    pub(crate) fn leaving(&self, server: &Server) -> Option<Instant> {
        self.rows.get(server)?.leaving
    }

    /// Whether a server has said so longer ago than a span.
    pub(crate) fn has_left(&self, server: &Server, now: Instant, span: Span) -> bool {
        self.leaving(server).is_some_and(|at| now.since(at) >= span)
    }

    /// A server has an entry again, of this start of it: what an earlier start said does not hold.
    pub(crate) fn server_listed(&mut self, server: &Server, start: Option<Incarnation>) {
        if self.rows.get(server).is_some_and(|row| row.start != start) {
            self.rows.remove(server);
        }
    }

    /// A server has no entry any more: that it leaves is remembered for a while.
    pub(crate) fn server_unlisted(&mut self, server: &Server, now: Instant) {
        if let Some(row) = self.rows.remove(server).filter(|row| row.leaving.is_some()) {
            let kept = super::Row {
                leaving: row.leaving,
                start: row.start,
                ..super::Row::default()
            };
            self.rows.insert(server.clone(), kept);
        }
        let old = |row: &super::Row| row.leaving.is_some_and(|at| now.since(at) >= REMEMBERED);
        self.rows.retain(|_, row| !old(row));
    }
}
