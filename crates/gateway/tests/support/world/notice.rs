//! What servers say of themselves in their answers, and what they get from whom.

use std::collections::BTreeMap;

use dahliastile_core::id::Server;
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::event::Event;
use dahliastile_gateway::request::notice::{Notice, NoticeField, Rate};

use super::{Act, World};
use crate::support::setup::name;

/// The window in which what a server gets is counted against the limit that it names.
const WINDOW: Span = Span::from_secs(4);
/// How long after a server first named a limit what it gets counts.
const TOLD: Span = Span::from_millis(500);
/// How long after that the limit holds.
const CONTACT: Span = Span::from_secs(3);
/// The part of a limit that a window may see, and the requests besides.
const ALLOWED: (f64, u32) = (1.5, 5);

/// Something that a server got: a request, an order or a question for its report.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When.
    pub at: Instant,
    /// Whether it is a request of a caller.
    pub request: bool,
    /// The VM that sent it.
    pub vm: usize,
    /// The number of that VM's start.
    pub start: u64,
    /// When the server first told that start that it leaves.
    pub leaving: Option<Instant>,
    /// Whether the server had told that start of the VM of a limit for as long as counts.
    pub limit_known: bool,
    /// The server.
    pub server: Server,
}

/// A server has asked a VM for rest.
#[derive(Clone, Debug)]
pub struct Rest {
    /// When the VM was told.
    pub at: Instant,
    /// For how long.
    pub span: Span,
    /// The VM and the number of its start.
    pub vm: (usize, u64),
    /// The server.
    pub server: Server,
}

/// The head of an answer.
pub(super) struct Head {
    /// The VM that it comes to, and the number of its start.
    to: (usize, u64),
    /// The server.
    server: Server,
    /// When what it answers was sent.
    sent: Instant,
    /// Whether the request was turned away.
    turned_away: bool,
}

impl Head {
    fn new(to: (usize, u64), server: &Server, sent: Instant) -> Self {
        Self {
            to,
            server: server.clone(),
            sent,
            turned_away: false,
        }
    }
}

/// What servers say of themselves.
#[derive(Default)]
pub struct Notices {
    /// When a server first told a start of a VM that it leaves.
    left: BTreeMap<(usize, u64, Server), Instant>,
    /// The rests that servers asked for.
    pub rests: Vec<Rest>,
    /// What each says now.
    says: BTreeMap<Server, Notice>,
    /// The limits that each has named, with the times.
    limits: BTreeMap<Server, Vec<(Instant, Option<Rate>)>>,
    /// When a server first told a start of a VM of a limit.
    told: BTreeMap<(usize, u64, Server), Instant>,
    /// The servers all of whose answers a start of a VM is told, and when each last said something of itself.
    tracked: BTreeMap<(usize, u64, Server), Instant>,
    /// What servers got that have ever said something.
    pub arrivals: Vec<Arrival>,
}

impl World {
    /// A server names a limit in its answers from now on, or none any more.
    pub fn announce_limit(&mut self, id: &str, limit: Option<Rate>) {
        let server: Server = name(id);
        let limits = self.notices.limits.entry(server.clone()).or_default();
        limits.push((self.now, limit));
        self.notices.says.entry(server).or_default().limit =
            limit.map_or(NoticeField::Absent, NoticeField::Present);
    }

    /// Something reaches a server from a VM.
    pub(super) fn reached(&mut self, vm: usize, server: &Server, request: bool) {
        if self.notices.says.contains_key(server) {
            let start = self.vms[vm].start;
            let key = (vm, start, server.clone());
            let told = self.notices.told.get(&key);
            self.notices.arrivals.push(Arrival {
                at: self.now,
                request,
                vm,
                start,
                leaving: self.notices.left.get(&key).copied(),
                limit_known: told.is_some_and(|at| *at + TOLD <= self.now),
                server: server.clone(),
            });
        }
    }

    /// The head of a server's answer to what a VM sent at a time comes to that VM after a while.
    pub(super) fn head_in(
        &mut self,
        after: Span,
        to: (usize, u64),
        server: &Server,
        sent: Instant,
    ) {
        self.head_later(after, Head::new(to, server, sent));
    }

    /// The same of an answer that turns a request away.
    pub(super) fn refusal_in(
        &mut self,
        after: Span,
        to: (usize, u64),
        server: &Server,
        sent: Instant,
    ) {
        let head = Head {
            turned_away: true,
            ..Head::new(to, server, sent)
        };
        self.head_later(after, head);
    }

    fn head_later(&mut self, after: Span, head: Head) {
        if self.notices.says.contains_key(&head.server) {
            self.at(self.now + after, Act::Head(head));
        }
    }

    /// The head of an answer comes.
    pub(super) fn head(&mut self, head: Head) {
        let Head {
            to: (vm, start),
            server,
            sent,
            turned_away,
        } = head;
        let mut notice = self.notices.says[&server];
        if !turned_away {
            notice.cooldown = NoticeField::Absent;
        }
        let key = (vm, start, server.clone());
        if notice.leaving {
            self.notices.left.entry(key.clone()).or_insert(self.now);
        }
        if let NoticeField::Present(span) = notice.cooldown {
            self.notices.rests.push(Rest {
                at: self.now,
                span,
                vm: (vm, start),
                server: server.clone(),
            });
        }
        if matches!(notice.limit, NoticeField::Present(_)) {
            self.notices.told.entry(key.clone()).or_insert(self.now);
        }
        let last = self.notices.tracked.get_mut(&key);
        let told = match last {
            Some(last) if !notice.is_empty() => {
                *last = self.now;
                true
            }
            Some(last) => *last <= sent,
            None => !notice.is_empty(),
        };
        if told && self.vms[vm].start == start {
            self.deliver(vm, Event::NoticeReceived(server, notice));
        }
    }

    /// A VM wants all answers of a server told, or only those that say something of it.
    pub(super) fn track(&mut self, vm: usize, server: Server, all: bool) {
        let key = (vm, self.vms[vm].start, server);
        if all {
            self.notices.tracked.entry(key).or_insert(self.now);
        } else {
            self.notices.tracked.remove(&key);
        }
    }

    /// What a server got in each of the windows that saw more of it than the limit allows that it named, with what was allowed.
    /// Whichever VM was told, what any sends counts from half a second after the server first named it.
    pub fn windows_over_limit(&self, id: &str) -> Vec<(Instant, u32, f64)> {
        self.windows_over_limit_where(id, |_| true)
    }

    /// The same of some of what the server got.
    pub fn windows_over_limit_where(
        &self,
        id: &str,
        counts: impl Fn(&Arrival) -> bool,
    ) -> Vec<(Instant, u32, f64)> {
        let server: Server = name(id);
        let limits = &self.notices.limits[&server];
        let (from, holds) = (limits[0].0 + TOLD, limits[0].0 + CONTACT);
        let got = self.notices.arrivals.iter();
        let got: Vec<Instant> = got
            .filter(|a| a.server == server && a.at >= from && counts(a))
            .map(|a| a.at)
            .collect();
        let mut over = Vec::new();
        for (last, until) in got.iter().enumerate() {
            let since = until.back(WINDOW);
            let count = got[..=last].iter().filter(|at| **at > since).count();
            let count = u32::try_from(count).expect("few");
            let allowed =
                named(limits, since, *until).map(|named| named * ALLOWED.0 + f64::from(ALLOWED.1));
            match allowed.filter(|_| *until >= holds) {
                Some(allowed) if f64::from(count) > allowed => over.push((*until, count, allowed)),
                Some(_) | None => {}
            }
        }
        over
    }

    /// That no server got more than it named a limit for.
    pub fn check_limits(&self) {
        for server in self.notices.limits.keys() {
            let over = self.windows_over_limit(server.as_str());
            assert!(
                over.is_empty(),
                "{server}: {} windows, {:?}",
                over.len(),
                over[0]
            );
        }
    }

    /// How many requests, orders and questions a server got since a time.
    pub fn arrivals_at(&self, id: &str, since: Instant) -> usize {
        let got = self.notices.arrivals.iter();
        got.filter(|a| a.server.as_str() == id && a.at >= since)
            .count()
    }
}

/// The requests that the limits named in a time allow, the first one as if it had always been; none where for a part of it none was.
fn named(limits: &[(Instant, Option<Rate>)], since: Instant, until: Instant) -> Option<f64> {
    let ends = limits.iter().skip(1).map(|(at, _)| *at);
    let spans = limits.iter().zip(ends.chain([Instant::NEVER]));
    let (first, limit) = limits.first()?;
    let mut sum = limit.as_ref()?.as_f64() * first.since(since).as_secs_f64();
    for ((begin, limit), end) in spans {
        let (begin, end) = ((*begin).max(since), end.min(until));
        if end > begin {
            sum += limit.as_ref()?.as_f64() * end.since(begin).as_secs_f64();
        }
    }
    Some(sum)
}

impl World {
    /// A server says that it is leaving in its answers from now on, and nowhere else.
    pub fn announce_leaving(&mut self, id: &str) {
        let server: Server = name(id);
        self.notices.says.entry(server).or_default().leaving = true;
    }

    /// A server no longer says so.
    pub fn withdraw_leaving(&mut self, id: &str) {
        let server: Server = name(id);
        self.notices.says.entry(server).or_default().leaving = false;
    }

    /// Whether a VM was told that a server leaves.
    pub fn has_told_leaving(&self, id: &str) -> bool {
        let mut told = self.notices.left.keys();
        told.any(|(_, _, server)| server.as_str() == id)
    }

    /// A server turns all requests away from now on and asks each VM for so much rest; or takes them again.
    pub fn announce_cooldown(&mut self, id: &str, rest: Option<Span>) {
        let server: Server = name(id);
        let (engine, _) = self.servers.get_mut(&server).expect("a server");
        engine.resting = rest.is_some();
        self.notices.says.entry(server).or_default().cooldown =
            rest.map_or(NoticeField::Absent, NoticeField::Present);
    }

    /// The requests that reached a server from a VM later than a span after that VM was told that it leaves.
    pub fn requests_after_leaving(&self, id: &str, bound: Span) -> Vec<&Arrival> {
        let late = |a: &&Arrival| {
            let told = a.leaving.is_some_and(|told| a.at.since(told) > bound);
            told && a.request && a.server.as_str() == id
        };
        self.notices.arrivals.iter().filter(late).collect()
    }

    /// How many requests and orders reached a server from a VM in the longest of its rests, from half a second on.
    pub fn max_arrivals_in_cooldown(&self, id: &str) -> usize {
        self.max_arrivals_in_cooldown_where(id, |_| true)
    }

    /// The same of some of what the server got.
    pub fn max_arrivals_in_cooldown_where(
        &self,
        id: &str,
        counts: impl Fn(&Arrival) -> bool,
    ) -> usize {
        let server: Server = name(id);
        let rests = self
            .notices
            .rests
            .iter()
            .filter(|rest| rest.server == server);
        let got = |rest: &Rest| {
            let (from, until) = (rest.at + TOLD, rest.at + rest.span);
            let got = self.notices.arrivals.iter();
            let got = got.filter(|a| a.server == server && (a.vm, a.start) == rest.vm);
            got.filter(|a| a.at >= from && a.at < until && counts(a))
                .count()
        };
        rests.map(got).max().unwrap_or_default()
    }
}
