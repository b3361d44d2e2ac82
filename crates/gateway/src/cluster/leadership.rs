//! Leaderships: the right to schedule a service's engines, under a lease that only the holder has.
//!
//! The revision at which the entry of a leadership was written is the fencing token of its holder's orders. The
//! holder renews its lease; when the lease ends, the entry is deleted and another VM writes it again, with a
//! higher fencing token. Servers that check fencing tokens refuse orders of the older holder after the first
//! order of the newer one, so the older one may go on while the key-value service is away. Where servers don't
//! check fencing tokens, the holder stops before its lease can end.
//!
//! The lease is granted when a leadership is to be taken, and renewed as long as a leadership is held or a
//! write of one may still be performed. The lease is short, so that a holder that has failed is replaced
//! quickly; since only the holder has it, its renewals are the calls of one VM, however many VMs there are.

use std::collections::{BTreeMap, BTreeSet};

use dahliastile_core::id::Service;
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};

use crate::cluster::candidacy::{Candidacy, MIN_TENURE};
use crate::cluster::lease::{LeaseKeeper, Terms};
use crate::cluster::revision::Revision;
use crate::cluster::snapshot::{Change, Delivery, EntryKey, EntryValue, Holder, proposed_change};
use crate::effect::{Effects, KvOperation, KvOperationId};
use crate::event::KvOutcome;
use crate::node::Gateway;
use crate::scheduler::Scheduler;
use crate::timer::Timer;

/// How long a VM that has just started waits for the entries of other VMs before it determines its rank among
/// them: the VMs of a deployment start within 0.3 s of each other, and small ones need as long again to write
/// their entries.
const STARTUP_WAIT: Span = Span::from_millis(600);

/// The purpose of a call of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Purpose {
    /// To grant or renew the lease.
    Lease,
    /// To write a leadership.
    Leadership(Service),
    /// A call whose outcome is ignored.
    Other,
}

/// The longest time between two losses of a leadership after which the second one shows that this VM is too
/// weak for it: five leases. A temporary fault such as an outage stops the scheduler once. A VM that is too
/// weak loses its leadership every second or two, and would take it again each time with a scheduler that knows
/// nothing.
const REPEATED_LOSS_WINDOW: Span = Span::from_secs(10);

/// This VM's last loss of a leadership.
#[derive(Clone, Copy, Debug)]
struct Loss {
    /// When this VM ceased to hold the leadership.
    at: Instant,
    /// Whether the previous loss of the same leadership was less than [`REPEATED_LOSS_WINDOW`] before this one.
    is_repeated: bool,
}

/// The lease and this VM's part in the leaderships.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The lease of the leaderships that this VM holds.
    lease: LeaseKeeper,
    /// The leaderships that this VM takes as soon as it has a lease and an entry.
    awaiting_lease: BTreeSet<Service>,
    /// Calls in progress, each with the time at which it was sent.
    calls: BTreeMap<KvOperationId, (Purpose, Instant)>,
    /// This VM's candidacies for free leaderships.
    pub(crate) candidacies: BTreeMap<Service, Candidacy>,
    /// Until when VMs that started together with this one may still be writing their entries.
    pub(crate) startup_wait_until: Instant,
    /// When the holder of each leadership last changed, as this VM saw it.
    holder_changes: BTreeMap<Service, Instant>,
    /// This VM's last loss of each leadership.
    losses: BTreeMap<Service, Loss>,
    /// When the call was sent that last renewed the lease by which this VM holds leaderships, if the key-value
    /// service may have forgotten them; none otherwise.
    renewed_before_restore: Option<Instant>,
}

impl State {
    /// Returns when the holder of a leadership last changed; the start of time if this VM has seen no change.
    pub(crate) fn holder_changed_at(&self, service: &Service) -> Instant {
        self.holder_changes
            .get(service)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the earliest time at which this VM may take a leadership that it held before: another holder's
    /// orders must not come between two of this VM's orders within three seconds.
    pub(crate) fn earliest_retake(&self, service: &Service) -> Instant {
        let loss = self.losses.get(service);
        loss.map_or(Instant::default(), |loss| loss.at + MIN_TENURE)
    }

    /// Records that this VM ceased to hold a leadership.
    fn record_loss(&mut self, service: &Service, now: Instant) {
        let before = self.losses.get(service);
        let is_repeated = before.is_some_and(|before| now.since(before.at) < REPEATED_LOSS_WINDOW);
        self.losses.insert(
            service.clone(),
            Loss {
                at: now,
                is_repeated,
            },
        );
    }

    /// Whether this VM has lost a leadership twice within [`REPEATED_LOSS_WINDOW`], the second time less than
    /// [`MIN_TENURE`] ago.
    pub(crate) fn should_yield(&self, service: &Service, now: Instant) -> bool {
        let loss = self.losses.get(service);
        loss.is_some_and(|loss| loss.is_repeated && now < loss.at + MIN_TENURE)
    }

    /// Returns when the call was sent that last granted or renewed the lease.
    pub(crate) fn renewed_at(&self) -> Instant {
        self.lease.renewed_at()
    }

    /// Whether a write of this VM as holder of a leadership is in progress.
    pub(crate) fn is_writing(&self, service: &Service) -> bool {
        let mut purposes = self.calls.values().map(|(purpose, _)| purpose);
        purposes.any(|purpose| *purpose == Purpose::Leadership(service.clone()))
    }

    /// Whether this VM has the lease of leaderships.
    pub(crate) fn has_lease(&self) -> bool {
        self.lease.id().is_some()
    }

    /// Cancels this VM's candidacy, since another VM schedules. If it were kept, it would be due at once at the
    /// next vacancy, and a weak VM would go before strong ones.
    pub(crate) fn cancel_candidacy(&mut self, service: &Service) {
        self.candidacies.remove(service);
    }

    /// Records that the holder of a leadership changed.
    pub(crate) fn record_holder_change(&mut self, service: &Service, now: Instant) {
        self.holder_changes.insert(service.clone(), now);
    }
}

impl Gateway {
    /// Delays this VM's candidacies by [`STARTUP_WAIT`]; called once at its start.
    pub(crate) fn start_candidacy_delay(&mut self) {
        self.leaderships.startup_wait_until = self.now + STARTUP_WAIT;
    }

    fn leadership_terms(&self) -> Terms {
        let tuning = &self.settings.tuning;
        Terms {
            ttl: tuning.lease,
            renew_interval: tuning.renew,
            first_retry: tuning.store_retry,
            max_retry: tuning.store_retry,
        }
    }

    /// Handles the outcome of a call for the lease or a leadership.
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
            self.votes.record_leadership_write(self.now, &outcome);
        }
        let (now, terms) = (self.now, self.leadership_terms());
        match (purpose, outcome) {
            (Purpose::Lease, KvOutcome::Granted(id, _)) => {
                self.leaderships.lease.record_grant(now, sent, id, terms);
                self.take_awaiting_lease(out);
            }
            (Purpose::Lease, KvOutcome::Renewed(_)) => {
                self.leaderships.lease.record_renewal(sent, terms);
                self.update_candidacies(out);
            }
            (Purpose::Leadership(service), KvOutcome::Written(revision)) => {
                self.handle_leadership_written(&service, revision, out);
            }
            (Purpose::Leadership(service), KvOutcome::Conflict(changes)) => {
                self.apply_conflict(&service, changes, out);
                // The conflict may be about this VM's own entry, if it was deleted.
                self.probe_by_registration(out);
            }
            (Purpose::Lease | Purpose::Leadership(_), KvOutcome::NoLease) => {
                self.handle_lease_lost(out);
            }
            (Purpose::Lease, _) => self
                .leaderships
                .lease
                .record_failure(now, terms, &mut self.rng),
            _ => {}
        }
        self.maintain_lease(out);
    }

    /// Applies the entries that made the write of a leadership fail. A scheduler goes on where the key-value service
    /// holds an entry that may be as old as the copy, and its VM writes again, on condition of that entry.
    fn apply_conflict(&mut self, service: &Service, changes: Vec<Change>, out: &mut Effects) {
        let is_reclaiming = self.is_reclaiming(service);
        for change in changes {
            if is_reclaiming && change.key == EntryKey::Holder(service.clone()) {
                self.record_holder_to_replace(service, change.expected_revision(), out);
            } else {
                self.apply_changes(vec![change], Delivery::Listed, false, out);
            }
        }
    }

    /// Requests a new lease, since the key-value service came back from a copy, to write the leaderships of the
    /// schedulers that run on this VM again.
    pub(crate) fn reclaim_leaderships(&mut self, out: &mut Effects) {
        let renewed_at = self.leaderships.renewed_at();
        let (now, rng) = (self.now, &mut self.rng);
        self.leaderships.lease.invalidate(now, Span::ZERO, rng);
        if !self.schedulers.is_empty() {
            let before = &mut self.leaderships.renewed_before_restore;
            before.get_or_insert(renewed_at);
            let held = self.schedulers.keys().cloned();
            self.leaderships.awaiting_lease.extend(held);
        }
        self.maintain_lease(out);
    }

    /// Trusts the present lease again once all leaderships of the schedulers that run on this VM are written in the
    /// latest era.
    fn end_reclaim(&mut self) {
        let mut services = self.schedulers.keys();
        if !services.any(|service| self.is_reclaiming(service)) {
            self.leaderships.renewed_before_restore = None;
        }
    }

    pub(crate) fn handle_leadership_timer(&mut self, out: &mut Effects) {
        self.check_holder_timeouts(out);
        self.request_votes(out);
        self.stop_before_lease_ends(out);
        self.resign_to_stronger(out);
        self.maintain_lease(out);
        if self.lacks_candidacy() {
            self.update_candidacies(out);
        } else {
            self.advance_candidacies(out);
        }
    }

    /// Starts the scheduler of a service whose leadership this VM holds, unless it runs already with the
    /// fencing token `fence` or this VM is stopping. A scheduler whose leadership this VM has written again after
    /// the key-value service came back from a copy goes on with the new token.
    pub(crate) fn start_scheduler(&mut self, service: &Service, fence: u64, out: &mut Effects) {
        let Some(service_config) = self.index.service(service.as_str()).cloned() else {
            return;
        };
        if self
            .schedulers
            .get(service)
            .is_some_and(|scheduler| scheduler.fence() == fence)
            || self.is_stopping()
        {
            return;
        }
        let goes_on = self.is_reclaiming(service);
        let revision = Revision::of_fence(fence);
        let detail = format!("service={service} fence={revision} goes_on={goes_on}");
        Self::log(out, Code::LeaseTaken, detail);
        if goes_on && let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.raise_fence(self.now, fence);
            self.timers.set(self.now, Timer::Scheduler(service.clone()));
            self.end_reclaim();
            return;
        }
        let mut scheduler = Scheduler::new(self.now, &service_config, fence, self.settings.clone());
        for (server, state) in &self.servers {
            if state.backend.service == *service {
                scheduler.update_server(server, &state.backend);
                self.notices
                    .inform_scheduler(self.now, &self.settings.vm, &mut scheduler, server);
            }
        }
        for change in self.snapshot.existing() {
            if let (EntryKey::Version(model, adapter), Some(EntryValue::Version(version))) =
                (&change.key, &change.value)
            {
                scheduler.update_adapter_version(model, adapter, *version, None);
            }
        }
        let (running, waiting) = self.running_and_waiting(service);
        scheduler.resync_vm(self.now, &self.settings.vm, &running, waiting);
        for (placement, detail) in self.bound_and_waiting(service) {
            scheduler.enqueue(self.now, &self.settings.vm, placement, detail);
        }
        self.schedulers.insert(service.clone(), scheduler);
        self.timers.set(self.now, Timer::Scheduler(service.clone()));
        self.timers.set(self.now, Timer::Leadership);
    }

    /// Stops the scheduler of a service whose leadership this VM doesn't hold, resigns or may lose.
    pub(crate) fn stop_scheduler(&mut self, service: &Service, out: &mut Effects) {
        if self.schedulers.remove(service).is_some() {
            self.leaderships.record_loss(service, self.now);
            self.end_reclaim();
            Self::log(out, Code::LeaseLost, format!("service={service}"));
        }
    }

    /// Stops the scheduler of a service after a server has seen a higher fencing token than this scheduler's.
    /// Resigns the leadership if its known entry is still the one that this VM wrote.
    pub(crate) fn handle_fenced_order(&mut self, service: &Service, out: &mut Effects) {
        let Some(scheduler) = self.schedulers.get(service) else {
            return;
        };
        let fence = scheduler.fence();
        Self::log(
            out,
            Code::Fenced,
            format!("service={service} fence={}", Revision::of_fence(fence)),
        );
        self.stop_scheduler(service, out);
        let known = self.snapshot.get(&EntryKey::Holder(service.clone()));
        if known.is_some_and(|change| change.revision.fence() == fence) {
            self.resign(service, out);
        }
    }

    /// Resigns all leaderships for a graceful stop.
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

    /// Deletes the entry of a leadership that this VM holds, unless another VM has written it since.
    pub(crate) fn resign(&mut self, service: &Service, out: &mut Effects) {
        let key = EntryKey::Holder(service.clone());
        if let Some(revision) = self.snapshot.get(&key).map(|c| c.revision) {
            self.resign_at(service, revision, out);
        }
    }

    /// Deletes the entry of a leadership, unless it was written after `revision`.
    pub(crate) fn resign_at(&mut self, service: &Service, revision: Revision, out: &mut Effects) {
        let detail = format!("service={service} fence={revision}");
        Self::log(out, Code::SeatLeft, detail);
        let op = KvOperation::Remove(EntryKey::Holder(service.clone()), revision);
        self.start_leadership_call(Purpose::Other, op, out);
    }

    /// Returns this VM, with its incarnation, as the holder of a leadership.
    pub(crate) fn as_holder(&self) -> Holder {
        Holder {
            vm: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
        }
    }

    /// Whether a change names this VM, with its incarnation, as the holder of a leadership.
    fn names_this_start(&self, change: &Change) -> bool {
        change.value == Some(EntryValue::Holder(self.as_holder()))
    }

    fn start_leadership_call(&mut self, purpose: Purpose, op: KvOperation, out: &mut Effects) {
        let now = self.now;
        let id = self.call_kv(op, out);
        self.leaderships.calls.insert(id, (purpose, now));
    }

    fn handle_leadership_written(
        &mut self,
        service: &Service,
        revision: Revision,
        out: &mut Effects,
    ) {
        let mut change = proposed_change(
            EntryKey::Holder(service.clone()),
            EntryValue::Holder(self.as_holder()),
        );
        change.revision = revision;
        change.created = revision;
        self.apply_changes(vec![change], Delivery::Known, false, out);
    }

    fn handle_lease_lost(&mut self, out: &mut Effects) {
        let had_lease = self.leaderships.has_lease();
        let (now, terms) = (self.now, self.leadership_terms());
        self.leaderships.lease.record_end(now, terms, &mut self.rng);
        if !had_lease {
            return;
        }
        let detail = "of=leaderships next=grant".to_owned();
        Self::log(out, Code::StoreLeaseLost, detail);
        if !self.settings.tuning.fencing {
            self.stop_all_schedulers(out);
        }
    }

    /// Stops schedulers before the lease can end, where engines would take orders of two holders, unless all
    /// other VMs have voted not to take the leadership meanwhile.
    fn stop_before_lease_ends(&mut self, out: &mut Effects) {
        if self.settings.tuning.fencing {
            return;
        }
        let safe_until = self.lease_safe_until();
        let services: Vec<Service> = self.schedulers.keys().cloned().collect();
        for service in services {
            let voted_until = self.votes_valid_until(&service);
            match safe_until.max(voted_until) {
                last if self.now >= last => self.stop_scheduler(&service, out),
                last => self.timers.set_once(last, Timer::Leadership),
            }
            let schedules_by_votes = self.now >= safe_until && self.now < voted_until;
            if schedules_by_votes && !self.votes.schedules_by_votes {
                let vms = self.peers().count();
                let detail = format!("service={service} vms={vms} until={voted_until}");
                Self::log(out, Code::HeldByPledges, detail);
            }
            self.votes.schedules_by_votes = schedules_by_votes;
        }
    }

    /// Returns until when the lease is certain to live, less the time that an order may be in transit.
    pub(crate) fn lease_safe_until(&self) -> Instant {
        let tuning = &self.settings.tuning;
        let leaderships = &self.leaderships;
        let renewed_at = leaderships.renewed_before_restore;
        renewed_at.unwrap_or(leaderships.renewed_at()) + (tuning.lease - tuning.lease_guard)
    }

    fn stop_all_schedulers(&mut self, out: &mut Effects) {
        let services: Vec<Service> = self.schedulers.keys().cloned().collect();
        for service in services {
            self.stop_scheduler(&service, out);
        }
    }

    /// Takes the leaderships that this VM could not take when their candidacies were due, since it had no lease
    /// or its entry was not written. Updates all candidacies.
    pub(crate) fn take_awaiting_lease(&mut self, out: &mut Effects) {
        if self.leaderships.has_lease() && self.registration.written_revision().is_some() {
            for service in std::mem::take(&mut self.leaderships.awaiting_lease) {
                self.set_candidacy(service, Candidacy::Take(self.now), out);
            }
        }
        self.update_candidacies(out);
    }

    /// Whether the lease is needed: a leadership is held or to be taken, or a write of one that had no answer
    /// may still be performed.
    fn needs_lease(&self) -> bool {
        let engines = self.index.engines();
        let mut held = engines.filter_map(|s| self.snapshot.get(&EntryKey::Holder(s.name.clone())));
        !self.schedulers.is_empty()
            || !self.leaderships.awaiting_lease.is_empty()
            || !self.leaderships.calls.is_empty()
            || self.now < self.votes.write_unsettled_until()
            || held.any(|change| self.names_this_start(change))
    }

    /// Renews the lease, or requests a new one, if it is time to.
    fn maintain_lease(&mut self, out: &mut Effects) {
        if self.is_stopping() {
            return;
        }
        if !self.needs_lease() {
            self.leaderships.lease.give_up();
            return;
        }
        if let Some(due) = self.leaderships.lease.due_call(self.now) {
            let op = due.op(self.leadership_terms().ttl);
            self.leaderships.lease.record_call();
            self.start_leadership_call(Purpose::Lease, op, out);
        }
        if let Some(next) = self.leaderships.lease.next_call() {
            self.timers.set_once(next, Timer::Leadership);
        }
    }

    /// Whether the key-value service is away: a watch has failed, and no renewal has been answered since. If
    /// watches alone counted, a holder whose renewals are answered but whose watches are not would keep its
    /// leadership without scheduling.
    fn is_kv_away(&self) -> bool {
        let away = self.watch.away_since;
        away.is_some_and(|since| self.leaderships.renewed_at() < since)
    }

    /// Writes this VM as the holder of a leadership, on condition that the known entry is unchanged.
    pub(crate) fn take_leadership(&mut self, service: Service, out: &mut Effects) {
        let purpose = Purpose::Leadership(service.clone());
        let is_writing = self.leaderships.is_writing(&service);
        if is_writing || self.is_kv_away() || self.is_stopping() {
            return;
        }
        // A leadership is written only while this VM's own entry exists: a VM that requests votes of all VMs
        // must know of this one.
        let (Some(lease), Some(entry)) = (
            self.leaderships.lease.id(),
            self.registration.written_revision(),
        ) else {
            self.leaderships.awaiting_lease.insert(service);
            self.maintain_lease(out);
            return;
        };
        let key = EntryKey::Holder(service.clone());
        let known = self.snapshot.get(&key);
        let expected = known.map_or(Revision::default(), Change::expected_revision);
        let expected = self.holder_to_replace(&service).unwrap_or(expected);
        let member = EntryKey::Member(self.settings.vm.clone());
        let conditions = vec![(key.clone(), expected), (member, entry)];
        let change = proposed_change(key, EntryValue::Holder(self.as_holder()));
        self.start_leadership_call(purpose, KvOperation::Put(change, lease, conditions), out);
    }
}
