//! Cooldowns: a server that rejects a request may ask this VM to send it nothing for a while.

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};
use rand::Rng;

use crate::effect::Effects;
use crate::event::{Execution, FailureCause, RequestId};
use crate::message::{Message, Progress};
use crate::node::Gateway;

impl Gateway {
    /// Handles an answer that asks this VM for a cooldown.
    pub(super) fn report_cooldown(&mut self, server: &Server, span: Span, out: &mut Effects) {
        let until = self.now + span;
        let notice = self.notices.by_server.entry(server.clone()).or_default();
        notice.cooldown_until = notice.cooldown_until.max(until);
        Self::log(
            out,
            Code::ServerNotice,
            format!("server={server} rest={span}"),
        );
        self.send_cooldown(server, span, out);
    }

    /// Tells the scheduler of a server that the server asked this VM for a cooldown.
    fn send_cooldown(&mut self, server: &Server, span: Span, out: &mut Effects) {
        let Some(service) = self.service_of(server) else {
            return;
        };
        let me = self.settings.vm.clone();
        match self.scheduler_vm(&service) {
            Some(vm) if vm == me => self.handle_server_cooldown(&me, server, span),
            Some(vm) => self.send(&vm, Message::ServerCooldown(server.clone(), span), out),
            None => {}
        }
    }

    /// Passes the cooldown that a server asked of `vm` to the scheduler of its service, if that scheduler is on
    /// this VM.
    pub(crate) fn handle_server_cooldown(&mut self, vm: &Vm, server: &Server, span: Span) {
        let service = self.service_of(server);
        if let Some(scheduler) = service.and_then(|service| self.schedulers.get_mut(&service)) {
            scheduler.start_cooldown(self.now, vm, server, span);
        }
    }

    /// Declines the scheduler's placement of a request on a server. Repeats the server's cooldown, if it is
    /// the reason, to the scheduler, which may not have received it. Asks for a placement on another server,
    /// because the scheduler may still count this one as available for a while.
    pub(crate) fn decline_placement(
        &mut self,
        request: RequestId,
        server: &Server,
        out: &mut Effects,
    ) {
        let cooldown = self.notices.cooldown_until(server).since(self.now);
        if cooldown > Span::ZERO {
            self.send_cooldown(server, cooldown, out);
        }
        if let Some(state) = self.in_flight.get_mut(&request) {
            state.failed.push(server.clone());
        }
        self.report_progress(
            request,
            Progress::Failed(Execution::No, FailureCause::Declined),
            out,
        );
        self.request_placement(request, out);
    }

    /// Returns how long a caller should wait before a retry if all servers of a service are closed to this VM
    /// until `open_at`. Random jitter of up to a quarter of the wait keeps callers from retrying at the same
    /// time.
    pub(crate) fn retry_after(&mut self, open_at: Instant) -> Span {
        let wait = open_at.since(self.now);
        wait + Span(self.rng.random_range(0..=wait.0 / 4))
    }
}

impl super::ServerNotices {
    /// Returns the end of the cooldown that a server asked of this VM.
    pub(crate) fn cooldown_until(&self, server: &Server) -> Instant {
        self.by_server
            .get(server)
            .map_or_else(Instant::default, |notice| notice.cooldown_until)
    }
}
