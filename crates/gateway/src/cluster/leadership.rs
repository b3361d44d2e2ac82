//! The leaderships: the right to schedule a service's engines, under a lease that only their holder has.
//!
//! The revision at which a leadership's key was written is the fencing number of its holder's orders. The holder renews its
//! lease; when that ends, the key goes and another VM writes it anew, with a higher number. Servers that check
//! fencing numbers refuse the older holder from the newer one's first order on, so an older holder may go on while
//! the key-value service is away. Where servers don't check, it stops before its lease can end.
//!
//! The lease is granted when a leadership is to be taken, and kept as long as a leadership is held or may yet be written: so a quick end of
//! a holder that is gone costs the calls of one VM, however many there are.

use std::collections::{BTreeMap, BTreeSet};

use dahliastile_core::id::Service;
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};

use crate::cluster::candidacy::{Candidacy, MIN_TENURE};
use crate::cluster::lease::{Kept, Terms};
use crate::cluster::snapshot::{Change, Delivery, EntryKey, EntryValue, Holder, proposed_change};
use crate::effect::{Effects, KvOperation, KvOperationId};
use crate::event::KvOutcome;
use crate::node::Gateway;
use crate::scheduler::Scheduler;
use crate::timer::Timer;

/// How long a VM that has just started waits for the entries of others before it counts those before it: all VMs of a
/// deployment start within 0.3 s of each other, and small ones need as long to write their entries.
const MEETING: Span = Span::from_millis(600);

/// What a call of the key-value service was for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Purpose {
    /// The lease.
    Lease,
    /// A leadership.
    Leadership(Service),
    /// Something that nothing depends on.
    Other,
}

/// How soon after one loss of a leadership the next one shows that this VM can't hold it: five leases. What passes by itself, such as an
/// outage, ends its scheduling once. A VM that is too weak loses its leadership every second or two, and would take it again each time with a scheduler
/// that knows nothing.
const AGAIN: Span = Span::from_secs(10);

/// When this VM ceased to hold a leadership.
#[derive(Clone, Copy, Debug)]
struct Loss {
    /// The last time.
    at: Instant,
    /// Whether that was soon after the time before.
    again: bool,
}

/// The lease and the leaderships.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The lease of the leaderships that this VM holds.
    lease: Kept,
    /// The leaderships that this VM takes once it has a lease.
    asked: BTreeSet<Service>,
    /// Calls in progress, with the time at which each was sent.
    calls: BTreeMap<KvOperationId, (Purpose, Instant)>,
    /// This VM's candidacies for free leaderships.
    pub(crate) candidacies: BTreeMap<Service, Candidacy>,
    /// Until when other VMs that start beside this one may still write their entries.
    pub(crate) meets: Instant,
    /// When the holder of a leadership last changed, as far as this VM saw it.
    changes: BTreeMap<Service, Instant>,
    /// When this VM ceased to hold a leadership.
    lost: BTreeMap<Service, Loss>,
}

impl State {
    /// When the holder of a leadership last changed; the start of time where this VM has seen no change.
    pub(crate) fn changed(&self, service: &Service) -> Instant {
        self.changes.get(service).copied().unwrap_or_default()
    }

    /// From when on this VM may hold a leadership again that it held before: a holder in between must not find itself between two
    /// of this VM's orders within three seconds.
    pub(crate) fn rested(&self, service: &Service) -> Instant {
        let lost = self.lost.get(service);
        lost.map_or(Instant::default(), |lost| lost.at + MIN_TENURE)
    }

    /// This VM ceases to hold a leadership.
    fn note_loss(&mut self, service: &Service, now: Instant) {
        let before = self.lost.get(service);
        let again = before.is_some_and(|before| now.since(before.at) < AGAIN);
        self.lost.insert(service.clone(), Loss { at: now, again });
    }

    /// Whether this VM has lost a leadership twice in a short time, and a moment ago.
    pub(crate) fn should_yield(&self, service: &Service, now: Instant) -> bool {
        let lost = self.lost.get(service);
        lost.is_some_and(|lost| lost.again && now < lost.at + MIN_TENURE)
    }

    /// When the lease was last renewed.
    pub(crate) fn renewed(&self) -> Instant {
        self.lease.renewed()
    }

    /// Whether this VM is about to write itself into a leadership.
    pub(crate) fn writes(&self, service: &Service) -> bool {
        let mut purposes = self.calls.values().map(|(purpose, _)| purpose);
        purposes.any(|purpose| *purpose == Purpose::Leadership(service.clone()))
    }

    /// Whether this VM has the lease of its leaderships.
    pub(crate) fn leased(&self) -> bool {
        self.lease.id().is_some()
    }

    /// Another VM schedules: a candidacy that waits was one for the vacancy before. Kept, it would come at once in the next one, and a weak VM
    /// go before strong ones.
    pub(crate) fn cancel_candidacy(&mut self, service: &Service) {
        self.candidacies.remove(service);
    }

    /// The holder of a leadership changed.
    pub(crate) fn record_holder_change(&mut self, service: &Service, now: Instant) {
        self.changes.insert(service.clone(), now);
    }
}

impl Gateway {
    pub(crate) fn start_candidacy_delay(&mut self) {
        self.leaderships.meets = self.now + MEETING;
    }

    fn leadership_terms(&self) -> Terms {
        let tuning = &self.settings.tuning;
        Terms {
            ttl: tuning.lease,
            renew: tuning.renew,
            retry: tuning.store_retry,
            longest: tuning.store_retry,
        }
    }

    /// A call on the lease or a leadership came back.
    pub(crate) fn handle_leadership_outcome(
        &mut self,
        op: KvOperationId,
        outcome: KvOutcome,
        out: &mut Effects,
    ) {
        let Some((purpose, sent)) = self.leaderships.calls.remove(&op) else {
            return;
        };
        if let Purpose::Leadership(_) = &purpose {
            self.votes.leadership_written(self.now, &outcome);
        }
        let (now, terms) = (self.now, self.leadership_terms());
        match (purpose, outcome) {
            (Purpose::Lease, KvOutcome::Granted(id, _)) => {
                self.leaderships.lease.was_granted(now, sent, id, terms);
                self.take_asked(out);
            }
            (Purpose::Lease, KvOutcome::Renewed(_)) => {
                self.leaderships.lease.was_renewed(sent, terms);
                self.update_candidacies(out);
            }
            (Purpose::Leadership(service), KvOutcome::Written(revision)) => {
                self.leadership_written(&service, revision, out);
            }
            (Purpose::Leadership(_), KvOutcome::Conflict(changes)) => {
                self.apply_changes(changes, Delivery::LatestOnly, false, out);
                // It may be the entry that is gone.
                self.probe_by_registration(out);
            }
            (Purpose::Lease | Purpose::Leadership(_), KvOutcome::NoLease) => self.lease_lost(out),
            (Purpose::Lease, _) => self.leaderships.lease.failed(now, terms, &mut self.rng),
            _ => {}
        }
        self.keep_lease(out);
    }

    pub(crate) fn handle_leadership_timer(&mut self, out: &mut Effects) {
        self.check_holder_timeouts(out);
        self.request_votes(out);
        self.stop_in_time(out);
        self.leave_to_stronger(out);
        self.keep_lease(out);
        if self.lacks_candidacy() {
            self.update_candidacies(out);
        } else {
            self.take_leaderships(out);
        }
    }

    /// This VM holds a leadership.
    pub(crate) fn start_scheduler(&mut self, service: &Service, fence: u64, out: &mut Effects) {
        let Some(application) = self.index.service(service.as_str()).cloned() else {
            return;
        };
        if self
            .schedulers
            .get(service)
            .is_some_and(|scheduler| scheduler.fence() == fence)
            || self.stopping
        {
            return;
        }
        Self::log(
            out,
            Code::LeaseTaken,
            format!("service={service} fence={fence}"),
        );
        let mut scheduler = Scheduler::new(self.now, &application, fence, self.settings.clone());
        for (server, row) in &self.servers {
            if row.backend.service == *service {
                scheduler.update_server(server, &row.backend);
                self.notices
                    .inform_scheduler(self.now, &self.settings.vm, &mut scheduler, server);
            }
        }
        for change in self.snapshot.present() {
            if let (EntryKey::Version(model, adapter), Some(EntryValue::Version(version))) =
                (&change.key, &change.value)
            {
                scheduler.update_adapter_version(model, adapter, *version, None);
            }
        }
        let (running, wants) = self.running_and_waiting(service);
        scheduler.resync_vm(self.now, &self.settings.vm, &running, wants);
        self.schedulers.insert(service.clone(), scheduler);
        self.timers.set(self.now, Timer::Scheduler(service.clone()));
        self.timers.set(self.now, Timer::Leadership);
    }

    /// Another VM holds a leadership, or nobody does.
    pub(crate) fn stop_scheduler(&mut self, service: &Service, out: &mut Effects) {
        if self.schedulers.remove(service).is_some() {
            self.leaderships.note_loss(service, self.now);
            Self::log(out, Code::LeaseLost, format!("service={service}"));
        }
    }

    /// A server has seen a higher fencing number than that of this VM's leadership.
    pub(crate) fn handle_fenced_order(&mut self, service: &Service, out: &mut Effects) {
        let Some(scheduler) = self.schedulers.get(service) else {
            return;
        };
        let fence = scheduler.fence();
        Self::log(
            out,
            Code::Fenced,
            format!("service={service} fence={fence}"),
        );
        self.stop_scheduler(service, out);
        let known = self.snapshot.get(&EntryKey::Holder(service.clone()));
        if known.is_some_and(|change| change.revision == fence) {
            self.resign(service, out);
        }
    }

    /// Gives all leaderships up, for a graceful stop.
    pub(crate) fn resign_all(&mut self, out: &mut Effects) {
        let services: Vec<Service> = self.schedulers.keys().cloned().collect();
        for service in services {
            self.stop_scheduler(&service, out);
            self.resign(&service, out);
            if let Some(client) = self.scheduler_clients.get_mut(&service) {
                client.holder = None;
            }
        }
    }

    /// Takes this VM out of a leadership, unless somebody else has it by now.
    pub(crate) fn resign(&mut self, service: &Service, out: &mut Effects) {
        let subject = EntryKey::Holder(service.clone());
        if let Some(revision) = self.snapshot.get(&subject).map(|c| c.revision) {
            Self::log(
                out,
                Code::SeatLeft,
                format!("service={service} fence={revision}"),
            );
            self.leadership_call(Purpose::Other, KvOperation::Remove(subject, revision), out);
        }
    }

    /// This VM, in this start, as the holder of a leadership.
    pub(crate) fn as_holder(&self) -> Holder {
        Holder {
            vm: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
        }
    }

    /// Whether a change says that this VM, in this start, holds a leadership.
    fn is_holder(&self, change: &Change) -> bool {
        change.value == Some(EntryValue::Holder(self.as_holder()))
    }

    fn leadership_call(&mut self, purpose: Purpose, op: KvOperation, out: &mut Effects) {
        let now = self.now;
        let id = self.call_kv(op, out);
        self.leaderships.calls.insert(id, (purpose, now));
    }

    fn leadership_written(&mut self, service: &Service, revision: u64, out: &mut Effects) {
        let mut change = proposed_change(
            EntryKey::Holder(service.clone()),
            EntryValue::Holder(self.as_holder()),
        );
        change.revision = revision;
        change.created = revision;
        self.apply_changes(vec![change], Delivery::LatestOnly, false, out);
    }

    fn lease_lost(&mut self, out: &mut Effects) {
        let (now, terms) = (self.now, self.leadership_terms());
        self.leaderships.lease.ended(now, terms, &mut self.rng);
        let detail = "of=leaderships next=grant".to_owned();
        Self::log(out, Code::StoreLeaseLost, detail);
        if !self.settings.tuning.fencing {
            self.lose_leaderships(out);
        }
    }

    /// Stops scheduling before the lease can end, where engines would take the orders of two holders, unless all other VMs have
    /// voted to take no leadership meanwhile.
    fn stop_in_time(&mut self, out: &mut Effects) {
        if self.settings.tuning.fencing {
            return;
        }
        let sure = self.lease_sure();
        let services: Vec<Service> = self.schedulers.keys().cloned().collect();
        for service in services {
            let voted = self.voted_until(&service);
            match sure.max(voted) {
                last if self.now >= last => self.stop_scheduler(&service, out),
                last => self.timers.set_once(last, Timer::Leadership),
            }
            let alone = self.now >= sure && self.now < voted;
            if alone && !self.votes.holds {
                let vms = self.peers().count();
                let detail = format!("service={service} vms={vms} until={voted}");
                Self::log(out, Code::HeldByPledges, detail);
            }
            self.votes.holds = alone;
        }
    }

    /// Until when the lease certainly holds, with the time that an order may be on its way.
    pub(crate) fn lease_sure(&self) -> Instant {
        let tuning = &self.settings.tuning;
        self.leaderships.renewed() + (tuning.lease - tuning.lease_guard)
    }

    fn lose_leaderships(&mut self, out: &mut Effects) {
        let services: Vec<Service> = self.schedulers.keys().cloned().collect();
        for service in services {
            self.stop_scheduler(&service, out);
        }
    }

    /// The lease was granted or the entry written: takes the leaderships whose candidacy came before that.
    pub(crate) fn take_asked(&mut self, out: &mut Effects) {
        if self.leaderships.leased() && self.registration.written().is_some() {
            for service in std::mem::take(&mut self.leaderships.asked) {
                self.set_candidacy(service, Candidacy::Take(self.now), out);
            }
        }
        self.update_candidacies(out);
    }

    /// Whether the lease is wanted: a leadership is held or to be taken, or may yet be written by a call that had no answer.
    fn wants_lease(&self) -> bool {
        let engines = self.index.engines();
        let mut held = engines.filter_map(|s| self.snapshot.get(&EntryKey::Holder(s.name.clone())));
        !self.schedulers.is_empty()
            || !self.leaderships.asked.is_empty()
            || !self.leaderships.calls.is_empty()
            || self.now < self.votes.unsure()
            || held.any(|change| self.is_holder(change))
    }

    /// Renews the lease, or gets a new one, when it is time.
    fn keep_lease(&mut self, out: &mut Effects) {
        if self.stopping {
            return;
        }
        if !self.wants_lease() {
            self.leaderships.lease.drop_it();
            return;
        }
        if let Some(due) = self.leaderships.lease.due(self.now) {
            let op = due.op(self.leadership_terms().ttl);
            self.leaderships.lease.called();
            self.leadership_call(Purpose::Lease, op, out);
        }
        if let Some(next) = self.leaderships.lease.next() {
            self.timers.set_once(next, Timer::Leadership);
        }
    }

    /// Whether the key-value service has answered no call of this VM lately: neither a watch nor, since one failed, a renewal. A holder
    /// whose renewals get through and whose watches don't would else keep its leadership and not schedule.
    fn is_unreached(&self) -> bool {
        let away = self.watch.away;
        away.is_some_and(|since| self.leaderships.renewed() < since)
    }

    /// Writes this VM into a leadership, if nobody else did since.
    pub(crate) fn take_leadership(&mut self, service: Service, out: &mut Effects) {
        let purpose = Purpose::Leadership(service.clone());
        let asked = self.leaderships.writes(&service);
        if asked || self.is_unreached() || self.stopping {
            return;
        }
        // A leadership is written only while this VM's entry is there: whoever asks all VMs for votes must know of it.
        let (Some(lease), Some(entry)) = (self.leaderships.lease.id(), self.registration.written())
        else {
            self.leaderships.asked.insert(service);
            self.keep_lease(out);
            return;
        };
        let subject = EntryKey::Holder(service);
        let known = self
            .snapshot
            .get(&subject)
            .filter(|change| change.value.is_some());
        let expected = known.map_or(0, |change| change.revision);
        let member = EntryKey::Member(self.settings.vm.clone());
        let conditions = vec![(subject.clone(), expected), (member, entry)];
        let change = proposed_change(subject, EntryValue::Holder(self.as_holder()));
        self.leadership_call(purpose, KvOperation::Put(change, lease, conditions), out);
    }
}
