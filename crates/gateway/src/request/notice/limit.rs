//! The limits that servers name: who counts what each is sent, and who is told.

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::Instant;

use super::Rate;
use crate::effect::{Effect, Effects};
use crate::message::Message;
use crate::node::Gateway;

impl Gateway {
    /// An answer to this VM names its server's limit, or none.
    pub(super) fn report_limit(&mut self, server: &Server, limit: Option<Rate>, out: &mut Effects) {
        let me = self.settings.vm.clone();
        self.set_limit(&me, server, limit, out);
        let counting = self.counting_vm(server);
        if counting != me {
            self.send(
                &counting,
                Message::ServerRateLimit(server.clone(), limit),
                out,
            );
        }
    }

    /// A server names a limit or none any more, as an answer to a VM says.
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
        let row = self.notices.rows.entry(server.clone()).or_default();
        let was = std::mem::replace(&mut row.limit, limit);
        match (limit, &mut row.rate_limiter) {
            (Some(rate), Some(rate_limiter)) => rate_limiter.set_rate(now, rate),
            (Some(_), None) => {}
            (None, _) => (row.rate_limiter, row.closed) = (None, Instant::default()),
        }
        if let Some(scheduler) = self.schedulers.get_mut(&service) {
            scheduler.set_rate_limit(now, server, limit);
        }
        if limit != was {
            let named =
                |limit: Option<Rate>| limit.map_or_else(|| "-".to_owned(), |rate| rate.to_string());
            let detail = format!(
                "server={server} limit={} was={} by={by}",
                named(limit),
                named(was)
            );
            Self::log(out, Code::ServerNotice, detail);
        }
        if limit.is_some() != was.is_some() {
            out.push(Effect::TrackAnswers(server.clone(), limit.is_some()));
            if self.counting_vm(server) == self.settings.vm {
                self.broadcast(&Message::ServerRateLimit(server.clone(), limit), out);
            }
        }
    }

    /// The VM that counts what a server is sent.
    pub(super) fn counting_vm(&self, server: &Server) -> Vm {
        let service = self.service_of(server);
        let scheduler = service.and_then(|service| self.scheduler_vm(&service));
        scheduler.unwrap_or_else(|| self.permit_issuer(server))
    }
}
