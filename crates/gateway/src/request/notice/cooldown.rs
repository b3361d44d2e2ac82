//! Servers that turn requests away and ask this VM for rest.

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};
use rand::Rng;

use crate::effect::Effects;
use crate::event::{Execution, FailureCause, RequestId};
use crate::message::{Message, Progress};
use crate::node::Gateway;

impl Gateway {
    /// An answer asks this VM for rest.
    pub(super) fn report_rest(&mut self, server: &Server, span: Span, out: &mut Effects) {
        let until = self.now + span;
        let row = self.notices.rows.entry(server.clone()).or_default();
        row.cooldown_until = row.cooldown_until.max(until);
        Self::log(
            out,
            Code::ServerNotice,
            format!("server={server} rest={span}"),
        );
        self.send_rest(server, span, out);
    }

    /// Tells the scheduler of a server that it asked this VM for rest.
    fn send_rest(&mut self, server: &Server, span: Span, out: &mut Effects) {
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

    /// A server has asked a VM for rest.
    pub(crate) fn handle_server_cooldown(&mut self, vm: &Vm, server: &Server, span: Span) {
        let service = self.service_of(server);
        if let Some(scheduler) = service.and_then(|service| self.schedulers.get_mut(&service)) {
            scheduler.start_cooldown(self.now, vm, server, span);
        }
    }

    /// Declines the place that the scheduler found for a request, and tells it why once more: it may not have heard. The request goes
    /// elsewhere, as the scheduler may think otherwise of the server for a while.
    pub(crate) fn decline_place(&mut self, request: RequestId, server: &Server, out: &mut Effects) {
        let cooldown = self.notices.cooldown_until(server).since(self.now);
        if cooldown > Span::ZERO {
            self.send_rest(server, cooldown, out);
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

    /// When callers may come back to a service all of whose servers are closed to this VM until a time. They are told times that differ.
    pub(crate) fn retry_after(&mut self, opens: Instant) -> Span {
        let wait = opens.since(self.now);
        wait + Span(self.rng.random_range(0..=wait.0 / 4))
    }
}

impl super::ServerNotices {
    /// Until when a server wants nothing of this VM.
    pub(crate) fn cooldown_until(&self, server: &Server) -> Instant {
        self.rows
            .get(server)
            .map_or_else(Instant::default, |row| row.cooldown_until)
    }
}
