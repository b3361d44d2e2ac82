//! Request rate limits of servers: which VM counts the requests to a server, and which VMs are informed of a
//! limit.

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::Instant;

use super::Rate;
use crate::effect::{Effect, Effects};
use crate::message::Message;
use crate::node::Gateway;

impl Gateway {
    /// Handles the limit in an answer to this VM; `None` if the answer has none.
    pub(super) fn report_limit(&mut self, server: &Server, limit: Option<Rate>, out: &mut Effects) {
        let me = self.settings.vm.clone();
        self.set_limit(&me, server, limit, out);
        let counting_vm = self.counting_vm(server);
        if counting_vm != me {
            self.send(
                &counting_vm,
                Message::ServerRateLimit(server.clone(), limit),
                out,
            );
        }
    }

    /// Records the limit of a server, from an answer to the VM `by`; `None` if the server has no limit.
    pub(crate) fn set_limit(
        &mut self,
        by: &Vm,
        server: &Server,
        limit: Option<Rate>,
        out: &mut Effects,
    ) {
        let now = self.now;
        let Some(service) = self.service_of(server) else {
            return;
        };
        let notice = self.notices.by_server.entry(server.clone()).or_default();
        let previous = std::mem::replace(&mut notice.limit, limit);
        match (limit, &mut notice.rate_limiter) {
            (Some(rate), Some(rate_limiter)) => rate_limiter.set_rate(now, rate),
            (Some(_), None) => {}
            (None, _) => (notice.rate_limiter, notice.closed_until) = (None, Instant::default()),
        }
        if let Some(scheduler) = self.schedulers.get_mut(&service) {
            scheduler.set_rate_limit(now, server, limit);
        }
        if limit != previous {
            let format_limit =
                |limit: Option<Rate>| limit.map_or_else(|| "-".to_owned(), |rate| rate.to_string());
            let detail = format!(
                "server={server} limit={} was={} by={by}",
                format_limit(limit),
                format_limit(previous)
            );
            Self::log(out, Code::ServerNotice, detail);
        }
        if limit.is_some() != previous.is_some() {
            out.push(Effect::TrackAnswers(server.clone(), limit.is_some()));
            if self.counting_vm(server) == self.settings.vm {
                self.broadcast(&Message::ServerRateLimit(server.clone(), limit), out);
            }
        }
    }

    /// Returns the VM that counts the requests to a server: the VM of its scheduler, or without a scheduler the
    /// issuer of permits.
    pub(super) fn counting_vm(&self, server: &Server) -> Vm {
        let service = self.service_of(server);
        let scheduler = service.and_then(|service| self.scheduler_vm(&service));
        scheduler.unwrap_or_else(|| self.permit_issuer(server))
    }
}
