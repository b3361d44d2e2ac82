//! This VM's lease in the key-value service, and the seats under it: the right to schedule a service's engines.
//!
//! The revision at which a seat's key was written is the fencing number of its holder's orders. The holder renews its
//! lease; when that ends, the key goes and another VM writes it anew, with a higher number. Servers that check
//! fencing numbers refuse the older holder from the newer one's first order on, so an older holder may go on while
//! the key-value service is away. Where servers don't check, it stops before its lease can end.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use dahliastile_core::id::{Service, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};

use crate::book;
use crate::desk::Desk;
use crate::effect::{Effects, Op, OpId};
use crate::event::{Lease, Outcome};
use crate::fact::{Change, Fact, Holder, Subject, Way};
use crate::node::Gateway;
use crate::pledge::PLEDGE;
use crate::timer::Timer;

/// The time that a VM waits for each VM before it in the order of candidates before it takes a free seat: some calls
/// of the key-value service.
const CANDIDATE_GAP: Span = Span::from_millis(120);

/// How long a VM that has just started waits for the entries of others before it counts those before it: all VMs of a
/// deployment start within 0.3 s of each other, and small ones need as long to write their entries.
const MEETING: Span = Span::from_millis(600);

/// What a call of the key-value service was for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Purpose {
    /// A lease.
    Grant,
    /// A renewal.
    Renew,
    /// This VM's own entry.
    Member,
    /// A seat.
    Seat(Service),
    /// Something that nothing depends on.
    Other,
}

/// A VM's turn for a seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    /// It looks then who is there, and waits for those before it.
    Look(Instant),
    /// It takes the seat then.
    Take(Instant),
}

impl Turn {
    /// When it comes.
    fn at(self) -> Instant {
        match self {
            Self::Look(at) | Self::Take(at) => at,
        }
    }
}

/// Whether this VM may take a seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Vacancy {
    /// Another VM holds it, or this one does.
    Held,
    /// Nobody holds it.
    Free,
    /// An earlier start of this VM held it, or this one, which stopped before its lease could end.
    Mine,
    /// Another VM may take it, and this one later: it held the seat a moment ago.
    Resting,
    /// It is this VM's, which has stopped to schedule twice in a short time: another one is to have it.
    Weary,
    /// Its holder is silent, and engines refuse that holder's orders from the next one's first on.
    Silent,
}

/// How long a seat stays with a holder that seems silent to this VM: orders of two holders in turn within three seconds
/// are not wanted, even where fencing numbers keep them harmless.
const SETTLED: Span = Span::from_millis(3_500);

/// How soon after one loss of a seat the next one shows that this VM can't hold it: five leases. What passes by itself, such as an
/// outage, ends its scheduling once. A VM with an eighth of a core at 60 engines lost its seat every 0.6 to 2 s, and took it again
/// each time with a scheduler that knew nothing: half of the answers' worth on two heavy days (0.28 and 0.34, 0.53 where a strong
/// VM held it).
const AGAIN: Span = Span::from_secs(10);

/// When this VM ceased to hold a seat.
#[derive(Clone, Copy, Debug)]
struct Loss {
    /// The last time.
    at: Instant,
    /// Whether that was soon after the time before.
    again: bool,
}

/// The lease and the seats.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The lease.
    lease: Option<Lease>,
    /// When the lease was last granted or renewed, counted from when the call was sent.
    renewed: Instant,
    /// When the lease was granted.
    granted: Instant,
    /// When the next call on the lease is due.
    next: Instant,
    /// Whether this VM's own entry has been written under the lease.
    entered: bool,
    /// Calls in progress, with the time at which each was sent.
    calls: BTreeMap<OpId, (Purpose, Instant)>,
    /// This VM's turns for free seats.
    turns: BTreeMap<Service, Turn>,
    /// Until when other VMs that start beside this one may still write their entries.
    meets: Instant,
    /// When the holder of a seat last changed, as far as this VM saw it.
    changes: BTreeMap<Service, Instant>,
    /// When this VM ceased to hold a seat.
    lost: BTreeMap<Service, Loss>,
}

impl State {
    /// When the holder of a seat last changed; the start of time where this VM has seen no change.
    fn changed(&self, service: &Service) -> Instant {
        self.changes.get(service).copied().unwrap_or_default()
    }

    /// From when on this VM may hold a seat again that it held before: a holder in between must not find itself between two
    /// of this VM's orders within three seconds.
    fn rested(&self, service: &Service) -> Instant {
        let lost = self.lost.get(service);
        lost.map_or(Instant::default(), |lost| lost.at + SETTLED)
    }

    /// This VM ceases to hold a seat.
    fn note_loss(&mut self, service: &Service, now: Instant) {
        let before = self.lost.get(service);
        let again = before.is_some_and(|before| now.since(before.at) < AGAIN);
        self.lost.insert(service.clone(), Loss { at: now, again });
    }

    /// Whether this VM has lost a seat twice in a short time, and a moment ago.
    fn weary(&self, service: &Service, now: Instant) -> bool {
        let lost = self.lost.get(service);
        lost.is_some_and(|lost| lost.again && now < lost.at + SETTLED)
    }

    /// When the lease was last renewed.
    pub(crate) fn renewed(&self) -> Instant {
        self.renewed
    }

    /// Whether this VM is about to write itself into a seat.
    pub(crate) fn writes(&self, service: &Service) -> bool {
        let mut purposes = self.calls.values().map(|(purpose, _)| purpose);
        purposes.any(|purpose| *purpose == Purpose::Seat(service.clone()))
    }

    /// The holder of a seat changed.
    pub(crate) fn note_change(&mut self, service: &Service, now: Instant) {
        self.changes.insert(service.clone(), now);
    }
}

impl Gateway {
    pub(crate) fn seat_start(&mut self, out: &mut Effects) {
        self.seats.meets = self.now + MEETING;
        self.grant(out);
    }

    fn grant(&mut self, out: &mut Effects) {
        let ttl = self.settings.tuning.lease;
        self.seat_call(Purpose::Grant, Op::Grant(ttl), out);
    }

    /// A call on the lease or a seat came back.
    pub(crate) fn seated(&mut self, op: OpId, outcome: Outcome, out: &mut Effects) {
        let Some((purpose, sent)) = self.seats.calls.remove(&op) else {
            return;
        };
        if let Purpose::Seat(_) = &purpose {
            self.pledges.seat_written(self.now, &outcome);
        }
        match (purpose, outcome) {
            (Purpose::Grant, Outcome::Granted(lease, _)) => {
                self.seats.lease = Some(lease);
                self.seats.granted = self.now;
                self.seats.renewed = sent;
                self.seats.entered = false;
                self.enter(out);
                self.seats_changed(out);
            }
            (Purpose::Renew, Outcome::Renewed(_)) => {
                self.seats.renewed = sent;
                self.seats_changed(out);
            }
            (Purpose::Member, Outcome::Written(_)) => self.seats.entered = true,
            (Purpose::Seat(service), Outcome::Written(revision)) => {
                self.seat_written(&service, revision, out);
            }
            (Purpose::Seat(_), Outcome::Conflict(changes)) => {
                self.take_changes(changes, Way::Told, false, out);
            }
            (Purpose::Renew | Purpose::Member | Purpose::Seat(_), Outcome::NoLease) => {
                self.lease_lost(out);
            }
            _ => {}
        }
        self.plan_renewal();
    }

    pub(crate) fn seat_due(&mut self, out: &mut Effects) {
        self.watch_holders(out);
        self.ask_pledges(out);
        self.stop_in_time(out);
        self.keep_lease(out);
        self.take_seats(out);
    }

    /// The configuration, a holder or what is known of it changed.
    pub(crate) fn seats_changed(&mut self, out: &mut Effects) {
        let services: Vec<Service> = self.index.engines().map(|s| s.name.clone()).collect();
        for service in services {
            let vacancy = self.vacancy(&service);
            let waits = self.seats.turns.get(&service).map(|turn| turn.at());
            let turn = match vacancy {
                Vacancy::Held => continue,
                // Nobody else may have it, so it waits for nobody's turn.
                Vacancy::Mine | Vacancy::Weary if waits.is_none_or(|at| at > self.now) => {
                    Turn::Take(self.now)
                }
                _ if waits.is_some() => continue,
                _ if self.now < self.seats.meets => Turn::Look(self.seats.meets),
                _ => self.turn(&service),
            };
            self.set_turn(service, turn, out);
        }
        self.take_seats(out);
    }

    /// From when on this VM may take a seat: where engines don't check fencing numbers not before its pledge is over, nor, where
    /// it has just got a lease, before the pledges of others that it does not know of. At once where it knows no other VM.
    fn rested(&self, service: &Service) -> Instant {
        let rested = self.seats.rested(service);
        if self.peers().next().is_none() {
            return Instant::default();
        }
        if self.settings.tuning.fencing {
            return rested;
        }
        let others = self.seats.granted + (PLEDGE + self.settings.tuning.lease_guard);
        rested.max(self.pledges.given(service)).max(others)
    }

    fn set_turn(&mut self, service: Service, turn: Turn, out: &mut Effects) {
        let act = match turn {
            Turn::Look(_) => "look",
            Turn::Take(_) => "take",
        };
        let (after, vms) = (turn.at().since(self.now), self.peers().count());
        let lease = self.now.since(self.seats.granted);
        let detail =
            format!("service={service} act={act} after={after} vms={vms} lease_age={lease}");
        Self::log(out, Code::SeatAwaited, detail);
        self.timers.set(turn.at(), Timer::Seat);
        self.seats.turns.insert(service, turn);
    }

    /// Whether this VM may take a seat.
    fn vacancy(&self, service: &Service) -> Vacancy {
        let vacancy = self.vacancy_for_any(service);
        let resting = self.now < self.rested(service);
        match vacancy {
            Vacancy::Free | Vacancy::Silent if resting => Vacancy::Resting,
            vacancy => vacancy,
        }
    }

    /// Whether a seat can be taken by any VM, as far as this one knows.
    fn vacancy_for_any(&self, service: &Service) -> Vacancy {
        let change = self.facts.get(&Subject::Holder(service.clone()));
        let Some(Fact::Holder(holder)) = change.and_then(|change| change.fact.as_ref()) else {
            return Vacancy::Free;
        };
        let fencing = self.settings.tuning.fencing;
        let silent = self.agents.get(service).is_some_and(|agent| agent.silent);
        let settled = self.now.since(self.seats.changed(service)) >= SETTLED;
        match holder.vm == self.settings.vm {
            true if holder.incarnation != self.settings.incarnation => Vacancy::Mine,
            true if self.idle_seat(service) && self.weary(service) => Vacancy::Weary,
            true if self.idle_seat(service) => Vacancy::Mine,
            false if fencing && silent && settled => Vacancy::Silent,
            _ => Vacancy::Held,
        }
    }

    /// Whether a seat is this VM's, though it has stopped to schedule: its lease could have ended, and did not. Nobody else may
    /// take the seat as long as the lease goes on, so this VM writes it anew, under a new number.
    fn idle_seat(&self, service: &Service) -> bool {
        let sure = self.seats.lease.is_some() && self.now < self.lease_sure();
        sure && !self.stopping && !self.desks.contains_key(service)
    }

    /// Whether this VM is to leave a seat to another one.
    fn weary(&self, service: &Service) -> bool {
        self.peers().next().is_some() && self.seats.weary(service, self.now)
    }

    /// This VM holds a seat.
    pub(crate) fn seat_won(&mut self, service: &Service, fence: u64, out: &mut Effects) {
        let Some(application) = self.index.service(service.as_str()).cloned() else {
            return;
        };
        if self
            .desks
            .get(service)
            .is_some_and(|desk| desk.fence() == fence)
            || self.stopping
        {
            return;
        }
        Self::log(
            out,
            Code::LeaseTaken,
            format!("service={service} fence={fence}"),
        );
        let mut desk = Desk::new(self.now, &application, fence, self.settings.clone());
        for (server, row) in &self.servers {
            if row.backend.service == *service {
                desk.server(server, &row.backend);
            }
        }
        for change in self.facts.present() {
            if let (Subject::Version(model, adapter), Some(Fact::Version(version))) =
                (&change.subject, &change.fact)
            {
                desk.newer(model, adapter, *version, None);
            }
        }
        let (running, wants) = self.state_for(service);
        desk.hello(self.now, &self.settings.vm, &running, wants);
        self.desks.insert(service.clone(), desk);
        self.timers.set(self.now, Timer::Desk(service.clone()));
        self.timers.set(self.now, Timer::Seat);
    }

    /// Another VM holds a seat, or nobody does.
    pub(crate) fn seat_lost(&mut self, service: &Service, out: &mut Effects) {
        if self.desks.remove(service).is_some() {
            self.seats.note_loss(service, self.now);
            Self::log(out, Code::LeaseLost, format!("service={service}"));
        }
    }

    /// A server has seen a higher fencing number than that of this VM's seat.
    pub(crate) fn fenced_off(&mut self, service: &Service, out: &mut Effects) {
        let Some(desk) = self.desks.get(service) else {
            return;
        };
        let fence = desk.fence();
        Self::log(
            out,
            Code::Fenced,
            format!("service={service} fence={fence}"),
        );
        self.seat_lost(service, out);
        let known = self.facts.get(&Subject::Holder(service.clone()));
        if known.is_some_and(|change| change.revision == fence) {
            self.give_seat_up(service, out);
        }
    }

    /// Gives all seats up, for a graceful stop.
    pub(crate) fn leave_seats(&mut self, out: &mut Effects) {
        let services: Vec<Service> = self.desks.keys().cloned().collect();
        for service in services {
            self.seat_lost(&service, out);
            self.give_seat_up(&service, out);
            if let Some(agent) = self.agents.get_mut(&service) {
                agent.holder = None;
            }
        }
    }

    /// Takes this VM out of a seat, unless somebody else has it by now.
    fn give_seat_up(&mut self, service: &Service, out: &mut Effects) {
        let subject = Subject::Holder(service.clone());
        if let Some(revision) = self.facts.get(&subject).map(|c| c.revision) {
            Self::log(
                out,
                Code::SeatLeft,
                format!("service={service} fence={revision}"),
            );
            self.seat_call(Purpose::Other, Op::Remove(subject, revision), out);
        }
    }

    fn seat_call(&mut self, purpose: Purpose, op: Op, out: &mut Effects) {
        let now = self.now;
        let id = self.store(op, out);
        self.seats.calls.insert(id, (purpose, now));
    }

    fn enter(&mut self, out: &mut Effects) {
        let Some(lease) = self.seats.lease else {
            return;
        };
        let fact = Fact::Member(self.member());
        let change = own(Subject::Member(self.settings.vm.clone()), fact);
        self.seat_call(Purpose::Member, Op::Put(change, lease, None), out);
    }

    fn seat_written(&mut self, service: &Service, revision: u64, out: &mut Effects) {
        let holder = Holder {
            vm: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
        };
        let mut change = own(Subject::Holder(service.clone()), Fact::Holder(holder));
        change.revision = revision;
        change.created = revision;
        self.take_changes(vec![change], Way::Told, false, out);
    }

    fn lease_lost(&mut self, out: &mut Effects) {
        self.seats.lease = None;
        self.seats.entered = false;
        Self::log(out, Code::StoreLeaseLost, "next=grant".to_owned());
        if !self.settings.tuning.fencing {
            self.lose_seats(out);
        }
    }

    /// Stops scheduling before the lease can end, where engines would take the orders of two holders, unless all other VMs have
    /// pledged to take no seat meanwhile.
    fn stop_in_time(&mut self, out: &mut Effects) {
        if self.settings.tuning.fencing {
            return;
        }
        let sure = self.lease_sure();
        let services: Vec<Service> = self.desks.keys().cloned().collect();
        for service in services {
            let pledged = self.pledged_until(&service);
            match sure.max(pledged) {
                last if self.now >= last => self.seat_lost(&service, out),
                last => self.timers.set_once(last, Timer::Seat),
            }
            let alone = self.now >= sure && self.now < pledged;
            if alone && !self.pledges.holds {
                let vms = self.peers().count();
                let detail = format!("service={service} vms={vms} until={pledged}");
                Self::log(out, Code::HeldByPledges, detail);
            }
            self.pledges.holds = alone;
        }
    }

    /// Until when the lease certainly holds, with the time that an order may be on its way.
    fn lease_sure(&self) -> Instant {
        let tuning = &self.settings.tuning;
        self.seats.renewed + (tuning.lease - tuning.lease_guard)
    }

    fn lose_seats(&mut self, out: &mut Effects) {
        let services: Vec<Service> = self.desks.keys().cloned().collect();
        for service in services {
            self.seat_lost(&service, out);
        }
    }

    /// Sets the time of the next call on the lease.
    fn plan_renewal(&mut self) {
        let tuning = &self.settings.tuning;
        let pause = match self.seats.lease {
            Some(_) => tuning.renew,
            None => tuning.store_retry,
        };
        let next = (self.seats.renewed + pause).max(self.now + tuning.store_retry);
        self.seats.next = next;
        self.timers.set(next, Timer::Seat);
    }

    /// Renews the lease, or gets a new one, when it is time.
    fn keep_lease(&mut self, out: &mut Effects) {
        let busy = self
            .seats
            .calls
            .values()
            .any(|(p, _)| matches!(p, Purpose::Grant | Purpose::Renew));
        if busy || self.now < self.seats.next || self.stopping {
            return;
        }
        match self.seats.lease {
            None => self.grant(out),
            Some(lease) => self.seat_call(Purpose::Renew, Op::Renew(lease), out),
        }
        if self.seats.lease.is_some() && !self.seats.entered {
            self.enter(out);
        }
    }

    /// Tries to take the seats whose turn has come.
    fn take_seats(&mut self, out: &mut Effects) {
        let turns = self.seats.turns.iter();
        let due = turns.filter(|(_, turn)| turn.at() <= self.now);
        let due: Vec<Service> = due.map(|(service, _)| service.clone()).collect();
        for service in due {
            let turn = self.seats.turns.remove(&service);
            let next = match (self.vacancy(&service), turn) {
                (Vacancy::Held, _) => continue,
                // Then it is still the turn of those before it.
                (Vacancy::Resting, _) => Turn::Look(self.rested(&service)),
                (Vacancy::Free, Some(Turn::Look(_))) => self.turn(&service),
                (Vacancy::Weary, _) => {
                    self.give_seat_up(&service, out);
                    Turn::Look(self.now + self.settings.tuning.renew)
                }
                _ => {
                    self.take_seat(service.clone(), out);
                    Turn::Take(self.now + self.settings.tuning.renew)
                }
            };
            self.set_turn(service, next, out);
        }
    }

    /// Writes this VM into a seat, if nobody else did since.
    fn take_seat(&mut self, service: Service, out: &mut Effects) {
        let purpose = Purpose::Seat(service.clone());
        let asked = self.seats.writes(&service);
        let away = self.follow.away.is_some();
        let Some(lease) = self
            .seats
            .lease
            .filter(|_| !asked && !away && !self.stopping)
        else {
            return;
        };
        let holder = Holder {
            vm: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
        };
        let subject = Subject::Holder(service);
        let known = self
            .facts
            .get(&subject)
            .filter(|change| change.fact.is_some());
        let expected = known.map_or(0, |change| change.revision);
        let change = own(subject, Fact::Holder(holder));
        self.seat_call(purpose, Op::Put(change, lease, Some(expected)), out);
    }

    /// This VM's turn for a seat that is free from now on: after the live VMs that stand before it in the order of
    /// candidates, the strongest first. Counted from when this VM may take it, as the others count theirs: a weak VM whose turn
    /// was counted from before that took the seat in the moment in which the strongest were allowed to look at it.
    fn turn(&self, service: &Service) -> Turn {
        let mine = self.rank(service, &self.settings.vm);
        let before = self.peers().filter(|vm| self.rank(service, vm) < mine);
        let from = self.now.max(self.rested(service));
        Turn::Take(from + CANDIDATE_GAP.times(before.count() as u64))
    }

    fn rank(&self, service: &Service, vm: &Vm) -> (Reverse<u32>, u64) {
        let score = book::score(&(service.as_str(), vm.as_str()));
        (Reverse(self.strength(vm)), score)
    }
}

/// A fact that this VM writes; the key-value service gives it its revision.
fn own(subject: Subject, fact: Fact) -> Change {
    Change {
        subject,
        revision: 0,
        created: 0,
        fact: Some(fact),
    }
}
