//! Permits to send to a server that has a rate limit, for requests that no scheduler places.
//!
//! All VMs ask the same VM, which is chosen among the live ones by rendezvous hashing, so that its token
//! bucket counts the requests of the whole fleet. While the VMs disagree on which VMs are live, two VMs may
//! issue permits; each of them starts with an empty bucket.

use std::cmp::Reverse;

use dahliastile_core::id::{Server, Vm};
use dahliastile_core::time::Span;

use super::LatestNotice;
use super::rate_limiter::{self, RateLimiter};
use crate::cluster::membership;
use crate::cluster::snapshot::Version;
use crate::effect::Effects;
use crate::event::RequestId;
use crate::message::Message;
use crate::node::Gateway;
use crate::request::state::Phase;
use crate::timer::Timer;

/// How long a VM waits for the reply to a permit request: several round trips between availability zones.
const PERMIT_TIMEOUT: Span = Span::from_millis(150);

/// How long a VM sends nothing to a server after a permit request for it got no reply.
const NO_REPLY_PAUSE: Span = Span::from_millis(500);

impl Gateway {
    /// Sends a request that no scheduler placed to the server that [`Self::choose_server`] chose for it in this step.
    /// Obtains a permit first if the server has a rate limit.
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
        let issuer = self.permit_issuer(server);
        if issuer == self.settings.vm {
            let permit = self.take_permit(server);
            debug_assert!(permit.is_ok(), "a server without a permit was chosen");
            self.send_to(request, server, version, out);
            return;
        }
        let until = self.now + PERMIT_TIMEOUT;
        let Some(state) = self.in_flight.get_mut(&request) else {
            return;
        };
        state.phase = Phase::Permit {
            server: server.clone(),
            version,
            until,
        };
        self.timers.set(until, Timer::Request(request));
        let message = Message::SendPermitRequest(request, server.clone());
        self.send(&issuer, message, out);
    }

    /// Returns whether this VM issues the permits for a server and has none left.
    pub(crate) fn lacks_permit(&self, server: &Server) -> bool {
        let notice = self.notices.by_server.get(server);
        let is_limited = |notice: &&LatestNotice| notice.limit.is_some();
        notice.filter(is_limited).is_some_and(|notice| {
            let has_token = notice
                .rate_limiter
                .is_some_and(|rate_limiter| rate_limiter.has_tokens(1, self.now));
            !has_token && self.permit_issuer(server) == self.settings.vm
        })
    }

    /// Closes a server, for which this VM issues the permits and has none left, until the next permit.
    pub(crate) fn close_without_permit(&mut self, server: &Server) {
        if let Err(after) = self.take_permit(server) {
            self.notices.close_for(server, after, self.now);
        }
    }

    /// Returns the VM that issues permits for a server.
    pub(crate) fn permit_issuer(&self, server: &Server) -> Vm {
        let me = &self.settings.vm;
        let vms = self.peers().chain([me]);
        let first = vms.min_by_key(|vm| Reverse(membership::rendezvous_score(&(*vm, server))));
        first.unwrap_or(me).clone()
    }

    /// Handles a permit request of another VM.
    pub(crate) fn handle_permit_request(
        &mut self,
        from: &Vm,
        request: RequestId,
        server: Server,
        out: &mut Effects,
    ) {
        let reply = self.take_permit(&server);
        self.send(from, Message::SendPermitReply(request, server, reply), out);
    }

    /// Takes a token for a request to a server. If there is none, returns as the error the time after which the
    /// VM of the request may send to the server again. A server without a limit needs no token.
    fn take_permit(&mut self, server: &Server) -> Result<(), Span> {
        let now = self.now;
        let Some(notice) = self.notices.by_server.get_mut(server) else {
            return Ok(());
        };
        let Some(limit) = notice.limit else {
            return Ok(());
        };
        let rate_limiter = notice
            .rate_limiter
            .get_or_insert_with(|| RateLimiter::new(now, limit));
        if rate_limiter.try_take(now) {
            Ok(())
        } else {
            Err(rate_limiter.reserve(now))
        }
    }

    /// Handles the reply to a permit request: the permit, or the time for which this VM may not send to the
    /// server.
    pub(crate) fn handle_permit_reply(
        &mut self,
        request: RequestId,
        server: &Server,
        reply: Result<(), Span>,
        out: &mut Effects,
    ) {
        let version = match self.in_flight.get(&request).map(|state| &state.phase) {
            Some(Phase::Permit {
                server: expected,
                version,
                ..
            }) if expected == server => *version,
            _ => return,
        };
        let accepts = self.accepts_requests(server);
        match reply {
            Ok(()) if accepts => self.send_to(request, server, version, out),
            Ok(()) => self.find_server(request, out),
            Err(after) => {
                let after = after.min(rate_limiter::MAX_WAIT);
                self.notices.close_for(server, after, self.now);
                self.find_server(request, out);
            }
        }
    }

    /// Finds another server for a request whose permit request got no reply in time.
    pub(crate) fn handle_permit_timeout(&mut self, request: RequestId, out: &mut Effects) {
        match self.in_flight.get(&request).map(|state| &state.phase) {
            Some(Phase::Permit { server, until, .. }) if *until <= self.now => {
                let server = server.clone();
                self.notices.close_for(&server, NO_REPLY_PAUSE, self.now);
                self.find_server(request, out);
            }
            _ => {}
        }
    }
}
