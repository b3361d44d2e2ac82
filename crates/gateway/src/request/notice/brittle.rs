//! Brittle servers: they fall over when they reject too many requests in a second for want of room, counted over all VMs.
//!
//! A VM that chooses servers by itself does not know what the others send. So it keeps at a brittle server no more requests
//! than its share of the batch slots, at least one, and refuses at once what the servers would reject. After a rejection it
//! sends that server nothing for so long that the VMs together stay below the server's bound. Where there are more VMs
//! than slots, first requests that come together may still be rejected.

use dahliastile_core::id::Server;
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};

use crate::effect::Effects;
use crate::node::Gateway;

/// How long a server counts as brittle after its last answer that said so.
const RETENTION: Span = Span::from_secs(5);

/// How many times as long as the server's bound asks for the VMs' pauses are: they do not coincide.
const PAUSE_FACTOR: u64 = 2;

/// The longest pause after a rejection.
const MAX_PAUSE: Span = Span::from_secs(5);

/// What a brittle server said.
#[derive(Clone, Copy, Debug)]
pub(super) struct Brittle {
    /// Rejections in a second that it bears.
    rejections: u32,
    /// Until when that holds.
    until: Instant,
    /// Until when this VM sends it nothing, after a rejection.
    paused_until: Instant,
}

impl Gateway {
    /// Records a server's word that it is brittle. All servers of a service are at the same time.
    pub(super) fn record_brittle(&mut self, server: &Server, rejections: u32, out: &mut Effects) {
        let now = self.now;
        let Some(service) = self.service_of(server) else {
            return;
        };
        let same_service = self.servers.iter();
        let same_service = same_service.filter(|(_, state)| state.backend.service == service);
        let mut is_new = false;
        for (server, _) in same_service {
            let notice = self.notices.by_server.entry(server.clone()).or_default();
            let before = notice.brittle.filter(|brittle| brittle.until > now);
            is_new |= before.is_none_or(|before| before.rejections != rejections);
            notice.brittle = Some(Brittle {
                rejections,
                until: now + RETENTION,
                paused_until: before.map_or(now, |before| before.paused_until),
            });
        }
        if is_new {
            let detail = format!("service={service} server={server} brittle={rejections}");
            Self::log(out, Code::ServerNotice, detail);
        }
    }

    /// Records that a server rejected a request for want of room.
    pub(crate) fn record_rejection(&mut self, server: &Server) {
        let (now, vms) = (self.now, self.peers().count() + 1);
        let notice = self.notices.by_server.get_mut(server);
        if let Some(brittle) = notice.and_then(|notice| notice.brittle.as_mut()) {
            let pause = Span::from_secs(vms as u64 * PAUSE_FACTOR);
            let pause = Span(pause.0 / u64::from(brittle.rejections.max(1)));
            brittle.paused_until = now + pause.min(MAX_PAUSE);
        }
    }
}

impl super::ServerNotices {
    /// Returns whether one more request of this VM, which has `open` there, has room at a server with so many batch slots,
    /// as far as the server's word and rejections tell. `vms` is the number of VMs that send it requests.
    pub(crate) fn has_room(
        &self,
        server: &Server,
        (open, slots): (u32, u32),
        vms: u32,
        now: Instant,
    ) -> bool {
        let notice = self.by_server.get(server);
        let Some(brittle) = notice.and_then(|notice| notice.brittle) else {
            return true;
        };
        let share = (slots / vms).max(1);
        now >= brittle.until || (now >= brittle.paused_until && open < share)
    }
}
