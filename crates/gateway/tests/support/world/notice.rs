//! Simulates the notices that servers attach to their answers (rate limit, leaving, cooldown), and records
//! what arrives at these servers.

use std::collections::BTreeMap;

use dahliastile_core::id::Server;
use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::event::Event;
use dahliastile_gateway::request::notice::{Notice, NoticeField, Rate};

use super::{Action, World};
use crate::support::setup::name;

/// The window over which the arrivals at a server are counted against the rate limit that it announced.
const WINDOW: Span = Span::from_secs(4);
/// Time that VMs have to react to a notice. Arrivals within this time don't count.
const REACTION_TIME: Span = Span::from_millis(500);
/// Time after a server's first rate limit from which on no window may exceed what is allowed.
const ENFORCEMENT_DELAY: Span = Span::from_secs(3);
/// Arrivals that a window may have: the arrivals that the rate limit allows times the first number, plus the
/// second number.
const ALLOWED: (f64, u32) = (1.5, 5);

/// The arrival of a request, an order or a report query at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of the arrival.
    pub at: Instant,
    /// Whether a caller's request arrived, not an order or a query.
    pub request: bool,
    /// The VM that sent the request, order or query.
    pub vm: usize,
    /// Incarnation of that VM.
    pub incarnation: u64,
    /// When that incarnation of the VM was first told that the server leaves.
    pub leaving: Option<Instant>,
    /// Whether that incarnation of the VM had known a rate limit of the server for 500 ms.
    pub limit_known: bool,
    /// The server that received the request, order or query.
    pub server: Server,
}

/// A cooldown that a server asked a VM for.
#[derive(Clone, Debug)]
pub struct Cooldown {
    /// When the VM was told.
    pub at: Instant,
    /// Length of the cooldown.
    pub span: Span,
    /// The VM and its incarnation.
    pub vm: (usize, u64),
    /// The server that asked for the cooldown.
    pub server: Server,
}

/// The head of a server's answer, which carries the server's notice.
pub(super) struct Head {
    /// The VM that receives the answer, and its incarnation.
    to: (usize, u64),
    /// The server that answers.
    server: Server,
    /// When the VM sent what the server answers.
    sent: Instant,
    /// Whether the server rejected the request. Only such an answer carries a cooldown.
    rejected: bool,
}

impl Head {
    fn new(to: (usize, u64), server: &Server, sent: Instant) -> Self {
        Self {
            to,
            server: server.clone(),
            sent,
            rejected: false,
        }
    }
}

/// The notices of all servers, and the arrivals at the servers that have announced something.
#[derive(Default)]
pub struct Notices {
    /// When each incarnation of a VM was first told by a server that the server leaves.
    leaving_told_at: BTreeMap<(usize, u64, Server), Instant>,
    /// The cooldowns that VMs were asked for.
    pub cooldowns: Vec<Cooldown>,
    /// The notice that each server attaches to its answers.
    announced: BTreeMap<Server, Notice>,
    /// The rate limits that each server has announced, with the times. `None` withdraws the limit.
    limits: BTreeMap<Server, Vec<(Instant, Option<Rate>)>>,
    /// When each incarnation of a VM was first told a rate limit by a server.
    limit_told_at: BTreeMap<(usize, u64, Server), Instant>,
    /// The servers of which an incarnation of a VM receives all notices, also empty ones, and when the last
    /// notice that was not empty came.
    tracked: BTreeMap<(usize, u64, Server), Instant>,
    /// Arrivals at the servers that have ever announced something.
    pub arrivals: Vec<Arrival>,
}

impl Notices {
    /// Returns what a server attaches to its answers, to be changed.
    pub(super) fn announced_by(&mut self, server: &Server) -> &mut Notice {
        self.announced.entry(server.clone()).or_default()
    }
}

impl World {
    /// Sets the rate limit that a server announces in its answers; `None` for no limit.
    pub fn announce_limit(&mut self, id: &str, limit: Option<Rate>) {
        let server: Server = name(id);
        let limits = self.notices.limits.entry(server.clone()).or_default();
        limits.push((self.now, limit));
        self.notices.announced.entry(server).or_default().limit =
            limit.map_or(NoticeField::Absent, NoticeField::Present);
    }

    /// Tells a VM the notices of all servers at once.
    pub fn tell_notices(&mut self, vm: usize) {
        let notices: Vec<(Server, Notice)> = self
            .notices
            .announced
            .iter()
            .map(|(server, notice)| (server.clone(), *notice))
            .collect();
        for (server, notice) in notices {
            self.deliver(vm, Event::NoticeReceived(server, notice));
        }
    }

    /// Records an arrival at a server that has ever announced something.
    pub(super) fn record_arrival(&mut self, vm: usize, server: &Server, request: bool) {
        if self.notices.announced.contains_key(server) {
            let incarnation = self.vms[vm].incarnation;
            let key = (vm, incarnation, server.clone());
            let limit_told_at = self.notices.limit_told_at.get(&key);
            self.notices.arrivals.push(Arrival {
                at: self.now,
                request,
                vm,
                incarnation,
                leaving: self.notices.leaving_told_at.get(&key).copied(),
                limit_known: limit_told_at.is_some_and(|at| *at + REACTION_TIME <= self.now),
                server: server.clone(),
            });
        }
    }

    /// Schedules the head of a server's answer to what a VM sent at `sent`.
    pub(super) fn schedule_head(
        &mut self,
        after: Span,
        to: (usize, u64),
        server: &Server,
        sent: Instant,
    ) {
        self.schedule_if_announced(after, Head::new(to, server, sent));
    }

    /// Schedules the head of an answer that rejects a request.
    pub(super) fn schedule_rejection(
        &mut self,
        after: Span,
        to: (usize, u64),
        server: &Server,
        sent: Instant,
    ) {
        let head = Head {
            rejected: true,
            ..Head::new(to, server, sent)
        };
        self.schedule_if_announced(after, head);
    }

    /// Schedules the head of an answer if its server has ever announced something.
    fn schedule_if_announced(&mut self, after: Span, head: Head) {
        if self.notices.announced.contains_key(&head.server) {
            self.schedule(self.now + after, Action::DeliverHead(head));
        }
    }

    /// Delivers the head of an answer to its VM: the VM gets the notice if it is not empty, or if the VM has
    /// asked for all notices of the server and this answer is to something sent after the last one that was
    /// not empty.
    pub(super) fn deliver_head(&mut self, head: Head) {
        let Head {
            to: (vm, incarnation),
            server,
            sent,
            rejected,
        } = head;
        let mut notice = self.notices.announced[&server];
        if !rejected {
            notice.cooldown = NoticeField::Absent;
        }
        let key = (vm, incarnation, server.clone());
        if notice.leaving {
            self.notices
                .leaving_told_at
                .entry(key.clone())
                .or_insert(self.now);
        }
        if let NoticeField::Present(span) = notice.cooldown {
            self.notices.cooldowns.push(Cooldown {
                at: self.now,
                span,
                vm: (vm, incarnation),
                server: server.clone(),
            });
        }
        if matches!(notice.limit, NoticeField::Present(_)) {
            self.notices
                .limit_told_at
                .entry(key.clone())
                .or_insert(self.now);
        }
        let last_notice = self.notices.tracked.get_mut(&key);
        let is_due = match last_notice {
            Some(last_notice) if !notice.is_empty() => {
                *last_notice = self.now;
                true
            }
            Some(last_notice) => *last_notice <= sent,
            None => !notice.is_empty(),
        };
        if is_due && self.vms[vm].incarnation == incarnation {
            self.deliver(vm, Event::NoticeReceived(server, notice));
        }
    }

    /// Sets whether a VM receives the notices of all answers of a server, or only those that are not empty.
    pub(super) fn set_tracking(&mut self, vm: usize, server: Server, all: bool) {
        let key = (vm, self.vms[vm].incarnation, server);
        if all {
            self.notices.tracked.entry(key).or_insert(self.now);
        } else {
            self.notices.tracked.remove(&key);
        }
    }

    /// Returns the windows in which more arrived at a server than its announced rate limits allow: each
    /// window's end, the number of arrivals and the number allowed. Counts the arrivals from all VMs, from
    /// 500 ms after the first announcement, whichever VM received it.
    pub fn windows_over_limit(&self, id: &str) -> Vec<(Instant, u32, f64)> {
        self.windows_over_limit_where(id, |_| true)
    }

    /// Returns the same for the arrivals that `counts` accepts.
    pub fn windows_over_limit_where(
        &self,
        id: &str,
        counts: impl Fn(&Arrival) -> bool,
    ) -> Vec<(Instant, u32, f64)> {
        let server: Server = name(id);
        let limits = &self.notices.limits[&server];
        let (from, enforced_from) = (limits[0].0 + REACTION_TIME, limits[0].0 + ENFORCEMENT_DELAY);
        let arrivals = self.notices.arrivals.iter();
        let arrivals: Vec<Instant> = arrivals
            .filter(|a| a.server == server && a.at >= from && counts(a))
            .map(|a| a.at)
            .collect();
        let mut over = Vec::new();
        for (last, until) in arrivals.iter().enumerate() {
            let since = until.back(WINDOW);
            let count = arrivals[..=last].iter().filter(|at| **at > since).count();
            let count = u32::try_from(count).expect("the count fits");
            let allowed = allowed_arrivals(limits, since, *until)
                .map(|arrivals| arrivals * ALLOWED.0 + f64::from(ALLOWED.1));
            match allowed.filter(|_| *until >= enforced_from) {
                Some(allowed) if f64::from(count) > allowed => over.push((*until, count, allowed)),
                Some(_) | None => {}
            }
        }
        over
    }

    /// Asserts that no server received more than its announced rate limits allow.
    pub fn check_limits(&self) {
        for server in self.notices.limits.keys() {
            let windows = self.windows_over_limit(server.as_str());
            assert!(
                windows.is_empty(),
                "{server}: {} windows over the rate limit, the first (end, arrivals, allowed): {:?}",
                windows.len(),
                windows[0]
            );
        }
    }

    /// Returns how many requests, orders and report queries have arrived at a server since a time.
    pub fn arrivals_at(&self, id: &str, since: Instant) -> usize {
        let arrivals = self.notices.arrivals.iter();
        arrivals
            .filter(|a| a.server.as_str() == id && a.at >= since)
            .count()
    }
}

/// Returns the number of arrivals that the limits allow from `since` until `until`. Before the first
/// announcement, the first limit counts. Returns `None` where there is a time without a limit.
fn allowed_arrivals(
    limits: &[(Instant, Option<Rate>)],
    since: Instant,
    until: Instant,
) -> Option<f64> {
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
    /// Makes a server announce in its answers, but not in its entry, that it leaves.
    pub fn announce_leaving(&mut self, id: &str) {
        let server: Server = name(id);
        self.notices.announced.entry(server).or_default().leaving = true;
    }

    /// Makes a server stop announcing that it leaves.
    pub fn withdraw_leaving(&mut self, id: &str) {
        let server: Server = name(id);
        self.notices.announced.entry(server).or_default().leaving = false;
    }

    /// Whether any VM was told by a server that the server leaves.
    pub fn has_told_leaving(&self, id: &str) -> bool {
        let mut told = self.notices.leaving_told_at.keys();
        told.any(|(_, _, server)| server.as_str() == id)
    }

    /// Makes a server reject all requests and ask each VM for a cooldown of this length; `None` ends this.
    pub fn announce_cooldown(&mut self, id: &str, cooldown: Option<Span>) {
        let server: Server = name(id);
        let (engine, _) = self.servers.get_mut(&server).expect("the server exists");
        engine.in_cooldown = cooldown.is_some();
        self.notices.announced.entry(server).or_default().cooldown =
            cooldown.map_or(NoticeField::Absent, NoticeField::Present);
    }

    /// Returns the requests that arrived at a server later than `bound` after their VM was told that the
    /// server leaves.
    pub fn requests_after_leaving(&self, id: &str, bound: Span) -> Vec<&Arrival> {
        let late = |a: &&Arrival| {
            let told = a.leaving.is_some_and(|told| a.at.since(told) > bound);
            told && a.request && a.server.as_str() == id
        };
        self.notices.arrivals.iter().filter(late).collect()
    }

    /// Returns the most requests, orders and report queries that arrived at a server from one VM within a
    /// cooldown asked of that VM. Leaves out the first 500 ms of each cooldown.
    pub fn max_arrivals_in_cooldown(&self, id: &str) -> usize {
        self.max_arrivals_in_cooldown_where(id, |_| true)
    }

    /// Returns the same for the arrivals that `counts` accepts.
    pub fn max_arrivals_in_cooldown_where(
        &self,
        id: &str,
        counts: impl Fn(&Arrival) -> bool,
    ) -> usize {
        let server: Server = name(id);
        let cooldowns = self
            .notices
            .cooldowns
            .iter()
            .filter(|cooldown| cooldown.server == server);
        let count = |cooldown: &Cooldown| {
            let (from, until) = (cooldown.at + REACTION_TIME, cooldown.at + cooldown.span);
            let arrivals = self.notices.arrivals.iter();
            let arrivals =
                arrivals.filter(|a| a.server == server && (a.vm, a.incarnation) == cooldown.vm);
            arrivals
                .filter(|a| a.at >= from && a.at < until && counts(a))
                .count()
        };
        cooldowns.map(count).max().unwrap_or_default()
    }
}
