//! Who may take a leadership, and when: this VM's candidacy among those that could.

use std::cmp::Reverse;

use dahliastile_core::id::{Service, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};

use crate::cluster::lease_vote::VOTE;
use crate::cluster::membership;
use crate::cluster::snapshot::{EntryKey, EntryValue};
use crate::effect::Effects;
use crate::node::Gateway;
use crate::scheduler::client::HOLDER_TIMEOUT;
use crate::timer::Timer;

/// The time that a VM waits for each VM before it in the order of candidates before it takes a free leadership: some calls
/// of the key-value service.
const CANDIDATE_GAP: Span = Span::from_millis(120);

/// How long a VM holds a leadership before it leaves it to a stronger one: a new scheduler asks all engines for reports first.
const TRIED: Span = Span::from_secs(5);

/// How many times stronger that one is.
const MUCH: u32 = 2;

/// How long ago it was heard at most.
const HEARD: Span = Span::from_secs(2);

/// A VM's candidacy for a leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Candidacy {
    /// It looks then who is there, and waits for those before it.
    Look(Instant),
    /// It takes the leadership then.
    Take(Instant),
}

impl Candidacy {
    /// When it comes.
    pub(crate) fn at(self) -> Instant {
        match self {
            Self::Look(at) | Self::Take(at) => at,
        }
    }
}

/// Whether this VM may take a leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Vacancy {
    /// Another VM holds it, or this one does.
    Held,
    /// Nobody holds it.
    Free,
    /// An earlier start of this VM held it, or this one, which stopped before its lease could end.
    Mine,
    /// Another VM may take it, and this one later: it held the leadership a moment ago.
    Resting,
    /// It is this VM's, which another one is to have: it has stopped to schedule twice in a short time, or starts anew beside stronger
    /// ones.
    Yielded,
    /// Its holder is silent, and engines refuse that holder's orders from the next one's first on.
    Silent,
}

/// How long a leadership stays with a holder that seems silent to this VM: orders of two holders in turn within three seconds
/// are not wanted, even where fencing numbers keep them harmless.
pub(crate) const MIN_TENURE: Span = Span::from_millis(3_500);

impl Gateway {
    /// Whether a leadership became free by time alone, and this VM does not wait for its candidacy yet.
    pub(crate) fn lacks_candidacy(&self) -> bool {
        let mut engines = self.index.engines().map(|service| &service.name);
        engines.any(|service| {
            let free = matches!(self.vacancy(service), Vacancy::Free | Vacancy::Silent);
            free && !self.leaderships.candidacies.contains_key(service)
        })
    }

    /// The configuration, a holder or what is known of it changed.
    pub(crate) fn update_candidacies(&mut self, out: &mut Effects) {
        let services: Vec<Service> = self.index.engines().map(|s| s.name.clone()).collect();
        for service in services {
            let vacancy = self.vacancy(&service);
            let waits = self
                .leaderships
                .candidacies
                .get(&service)
                .map(|candidacy| candidacy.at());
            let candidacy = match vacancy {
                Vacancy::Held => continue,
                // Nobody else may have it, so it waits for nobody's candidacy.
                Vacancy::Mine | Vacancy::Yielded if waits.is_none_or(|at| at > self.now) => {
                    Candidacy::Take(self.now)
                }
                _ if waits.is_some() => continue,
                _ if self.now < self.leaderships.meets => Candidacy::Look(self.leaderships.meets),
                _ => self.candidacy(&service),
            };
            self.set_candidacy(service, candidacy, out);
        }
        self.take_leaderships(out);
    }

    /// From when on this VM may take a leadership: where engines don't check fencing numbers not before its vote is over, nor, where
    /// it has just got a lease, before the votes of others that it does not know of. At once where it never knew another VM; where
    /// the last entry of one has just gone, as all go when the key-value service loses its leases, they may still act by them.
    fn rested(&self, service: &Service) -> Instant {
        let fencing = self.settings.tuning.fencing;
        let vote = VOTE + self.settings.tuning.lease_guard;
        if self.peers().next().is_none() {
            let left = self.membership.left().filter(|_| !fencing);
            return left.map_or(Instant::default(), |left| left + vote);
        }
        let rested = self.leaderships.rested(service);
        if fencing {
            return rested;
        }
        let others = self.registration.granted().unwrap_or_default() + vote;
        rested.max(self.votes.given(service)).max(others)
    }

    pub(crate) fn set_candidacy(
        &mut self,
        service: Service,
        candidacy: Candidacy,
        out: &mut Effects,
    ) {
        let act = match candidacy {
            Candidacy::Look(_) => "look",
            Candidacy::Take(_) => "take",
        };
        let (after, vms) = (candidacy.at().since(self.now), self.peers().count());
        let lease = self
            .now
            .since(self.registration.granted().unwrap_or_default());
        let detail =
            format!("service={service} act={act} after={after} vms={vms} entry_age={lease}");
        Self::log(out, Code::SeatAwaited, detail);
        self.timers.set(candidacy.at(), Timer::Leadership);
        self.leaderships.candidacies.insert(service, candidacy);
    }

    /// Whether this VM may take a leadership.
    fn vacancy(&self, service: &Service) -> Vacancy {
        let vacancy = self.vacancy_for_any(service);
        let resting = self.now < self.rested(service);
        match vacancy {
            Vacancy::Free | Vacancy::Silent if resting => Vacancy::Resting,
            vacancy => vacancy,
        }
    }

    /// Whether a leadership can be taken by any VM, as far as this one knows.
    fn vacancy_for_any(&self, service: &Service) -> Vacancy {
        let change = self.snapshot.get(&EntryKey::Holder(service.clone()));
        let Some(EntryValue::Holder(holder)) = change.and_then(|change| change.value.as_ref())
        else {
            return Vacancy::Free;
        };
        let fencing = self.settings.tuning.fencing;
        let silent = self
            .scheduler_clients
            .get(service)
            .is_some_and(|client| client.silent);
        let settled = self.now.since(self.leaderships.changed(service)) >= MIN_TENURE;
        match holder.vm == self.settings.vm {
            true if holder.incarnation != self.settings.incarnation => {
                if self.is_stronger_there() {
                    Vacancy::Yielded
                } else {
                    Vacancy::Mine
                }
            }
            true if self.idle_leadership(service) && self.should_yield(service) => Vacancy::Yielded,
            true if self.idle_leadership(service) => Vacancy::Mine,
            false if fencing && silent && settled => Vacancy::Silent,
            _ => Vacancy::Held,
        }
    }

    /// Whether a leadership is this VM's, though it has stopped to schedule: its lease could have ended, and did not. Nobody else may
    /// take the leadership as long as the lease goes on, so this VM writes it anew, under a new number.
    fn idle_leadership(&self, service: &Service) -> bool {
        let sure = self.leaderships.leased() && self.now < self.lease_sure();
        sure && !self.stopping && !self.schedulers.contains_key(service)
    }

    /// Whether this VM is to leave a leadership to another one.
    fn should_yield(&self, service: &Service) -> bool {
        self.peers().next().is_some() && self.leaderships.should_yield(service, self.now)
    }

    /// Whether a stronger VM has an entry.
    fn is_stronger_there(&self) -> bool {
        let mine = self.strength(&self.settings.vm);
        self.peers().any(|vm| self.strength(vm) > mine)
    }

    /// Leaves leaderships that are too much for this VM, where one that is much stronger is heard: it took them while that one was away, and
    /// would fall further behind with each request.
    pub(crate) fn leave_to_stronger(&mut self, out: &mut Effects) {
        let strained = self.schedulers.iter();
        let strained = strained.filter(|(_, scheduler)| {
            scheduler.is_overloaded() && self.now.since(scheduler.started_at()) >= TRIED
        });
        let strained: Vec<Service> = strained.map(|(service, _)| service.clone()).collect();
        if strained.is_empty() || !self.is_much_stronger_heard() {
            return;
        }
        for service in strained {
            self.stop_scheduler(&service, out);
            self.resign(&service, out);
        }
    }

    fn is_much_stronger_heard(&self) -> bool {
        let enough = self.strength(&self.settings.vm).saturating_mul(MUCH);
        let since = self.now.back(HEARD);
        let mut peers = self.peers();
        peers.any(|vm| self.strength(vm) >= enough && self.membership.is_heard(vm, since))
    }

    /// Tries to take the leaderships whose candidacy has come.
    pub(crate) fn take_leaderships(&mut self, out: &mut Effects) {
        let candidacies = self.leaderships.candidacies.iter();
        let due = candidacies.filter(|(_, candidacy)| candidacy.at() <= self.now);
        let due: Vec<Service> = due.map(|(service, _)| service.clone()).collect();
        for service in due {
            let candidacy = self.leaderships.candidacies.remove(&service);
            let next = match (self.vacancy(&service), candidacy) {
                (Vacancy::Held, _) => continue,
                // Then it is still the candidacy of those before it.
                (Vacancy::Resting, _) => Candidacy::Look(self.rested(&service)),
                (Vacancy::Free, Some(Candidacy::Look(_))) => self.candidacy(&service),
                (Vacancy::Yielded, _) => {
                    self.resign(&service, out);
                    Candidacy::Look(self.now + self.settings.tuning.renew)
                }
                _ => {
                    self.take_leadership(service.clone(), out);
                    Candidacy::Take(self.now + self.settings.tuning.renew)
                }
            };
            self.set_candidacy(service, next, out);
        }
    }

    /// This VM's candidacy for a leadership that is free from now on: after the live VMs that stand before it in the order of
    /// candidates, the strongest first. Counted from when this VM may take it, as the others count theirs: a weak VM whose candidacy
    /// was counted from before that took the leadership in the moment in which the strongest were allowed to look at it.
    fn candidacy(&self, service: &Service) -> Candidacy {
        let mine = self.rank(service, &self.settings.vm);
        let silent = self.silent_holder(service);
        let others = self.peers().filter(|vm| Some(*vm) != silent);
        let before = others.filter(|vm| self.rank(service, vm) < mine);
        let before = before.count() as u64;
        let mut from = self.now.max(self.rested(service));
        if silent.is_some() && before > 0 {
            // Some see its link break, the others only that its word does not come, and the candidacies of those before this VM begin then.
            from = from.max(self.holder_last_heard(service) + HOLDER_TIMEOUT);
        }
        Candidacy::Take(from + CANDIDATE_GAP.times(before))
    }

    /// The holder whose key is still there, but whose word does not come.
    fn silent_holder(&self, service: &Service) -> Option<&Vm> {
        let silent = self.vacancy_for_any(service) == Vacancy::Silent;
        let client = self.scheduler_clients.get(service).filter(|_| silent)?;
        client.holder.as_ref()
    }

    fn rank(&self, service: &Service, vm: &Vm) -> (Reverse<u32>, u64) {
        let score = membership::rendezvous_score(&(service.as_str(), vm.as_str()));
        (Reverse(self.strength(vm)), score)
    }
}
