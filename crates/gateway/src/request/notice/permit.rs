//! Leave to send a request to a server that names a limit, where no scheduler places it.
//!
//! All VMs ask the same one, by rendezvous hashing among those that are there, so that its count is the whole fleet's. While VMs disagree
//! on which it is, two may count; each begins with nothing.

use std::cmp::Reverse;

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::time::Span;

use super::rate_limiter::RateLimiter;
use crate::cluster::membership;
use crate::cluster::snapshot::Version;
use crate::effect::Effects;
use crate::event::RequestId;
use crate::message::Message;
use crate::node::Gateway;
use crate::request::state::Phase;
use crate::timer::Timer;

/// How long a permit is waited for: some round trips between availability zones.
const ANSWER: Span = Span::from_millis(150);

/// How long a server is passed over whose permits nobody answers for.
const UNANSWERED: Span = Span::from_millis(500);

impl Gateway {
    /// Sends a request that no scheduler placed to a server, if that names a limit only by leave.
    pub(crate) fn send_unscheduled(
        &mut self,
        request: RequestId,
        server: &Server,
        version: Option<Version>,
        out: &mut Effects,
    ) {
        if self.notices.limit(server).is_none() {
            self.send_to(request, server, version, out);
            return;
        }
        let until = self.now + ANSWER;
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        state.phase = Phase::Permit {
            server: server.clone(),
            version,
            until,
        };
        let issuer = self.permit_issuer(server);
        if issuer == self.settings.vm {
            let answer = self.permit(server);
            self.handle_permit_reply(request, server, answer, out);
        } else {
            self.timers.set(until, Timer::Request(request));
            let message = Message::SendPermitRequest(request, server.clone());
            self.send(&issuer, message, out);
        }
    }

    /// The VM that counts what a server is sent without a scheduler.
    pub(crate) fn permit_issuer(&self, server: &Server) -> Vm {
        let me = &self.settings.vm;
        let vms = self.peers().chain([me]);
        let first = vms.min_by_key(|vm| Reverse(membership::rendezvous_score(&(*vm, server))));
        first.unwrap_or(me).clone()
    }

    /// A VM asks for leave to send a request to a server.
    pub(crate) fn handle_permit_request(
        &mut self,
        from: &Vm,
        request: RequestId,
        server: Server,
        out: &mut Effects,
    ) {
        let answer = self.permit(&server);
        self.send(from, Message::SendPermitReply(request, server, answer), out);
    }

    /// Counts a request to a server that names a limit, or says when to ask again.
    fn permit(&mut self, server: &Server) -> Result<(), Span> {
        let now = self.now;
        let Some(row) = self.notices.rows.get_mut(server) else {
            return Ok(());
        };
        let Some(limit) = row.limit else {
            return Ok(());
        };
        let rate_limiter = row
            .rate_limiter
            .get_or_insert_with(|| RateLimiter::new(now, limit));
        if rate_limiter.try_take(now) {
            Ok(())
        } else {
            Err(rate_limiter.promise(now))
        }
    }

    /// A request may be sent to a server, or none of this VM may be before a time.
    pub(crate) fn handle_permit_reply(
        &mut self,
        request: RequestId,
        server: &Server,
        answer: Result<(), Span>,
        out: &mut Effects,
    ) {
        let version = match self.in_flight.get(&request).map(|state| &state.phase) {
            Some(Phase::Permit {
                server: of,
                version,
                ..
            }) if of == server => *version,
            _ => return,
        };
        let listed = self.takes_work(server);
        match answer {
            Ok(()) if listed => self.send_to(request, server, version, out),
            Ok(()) => self.find_server(request, out),
            Err(after) => {
                self.notices.close(server, self.now + after);
                self.find_server(request, out);
            }
        }
    }

    /// Goes on with a request whose permit did not come in time.
    pub(crate) fn permit_due(&mut self, request: RequestId, out: &mut Effects) {
        match self.in_flight.get(&request).map(|state| &state.phase) {
            Some(Phase::Permit { server, until, .. }) if *until <= self.now => {
                let server = server.clone();
                self.notices.close(&server, self.now + UNANSWERED);
                self.find_server(request, out);
            }
            _ => {}
        }
    }
}
