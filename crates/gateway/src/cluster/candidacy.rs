//! Decides which VM may take a leadership and when: each VM's candidacy is delayed by its rank among the
//! candidates.

use std::cmp::Reverse;

use dahliastile_core::id::{Service, Vm};
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};

use crate::cluster::lease_vote::VOTE_DURATION;
use crate::cluster::membership;
use crate::cluster::revision::Era;
use crate::cluster::snapshot::{EntryKey, EntryValue};
use crate::effect::Effects;
use crate::node::Gateway;
use crate::scheduler::client::HOLDER_TIMEOUT;
use crate::timer::Timer;

/// The delay of a VM's candidacy for a free leadership per VM ranked before it: a few round trips to the
/// key-value service.
const CANDIDATE_GAP: Span = Span::from_millis(120);

/// The minimum time for which a scheduler runs before its VM resigns the leadership to a stronger VM: a new
/// scheduler first queries all engines for reports, so its load is not judged earlier.
const MIN_TRIAL: Span = Span::from_secs(5);

/// How many times as strong as this VM a peer must be for this VM to resign to it.
const MUCH_STRONGER_FACTOR: u32 = 2;

/// The maximum time since the last message of a much stronger peer for this VM to resign to that peer.
const HEARD_WITHIN: Span = Span::from_secs(2);

/// The time after which a VM that reaches no server considers again whether to take a leadership.
const PATH_WAIT: Span = Span::from_millis(500);

/// This VM's plan to take a leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Candidacy {
    /// At this time, this VM determines its rank among the live VMs and the delay that follows from it.
    DetermineRank(Instant),
    /// At this time, this VM takes the leadership.
    Take(Instant),
}

impl Candidacy {
    /// Returns the time of the next step.
    pub(crate) fn at(self) -> Instant {
        match self {
            Self::DetermineRank(at) | Self::Take(at) => at,
        }
    }
}

/// Whether a leadership can be taken, from this VM's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Vacancy {
    /// Its holder is another VM, or this VM's running scheduler.
    Held,
    /// It has no holder.
    Free,
    /// Its entry names this VM, but no scheduler runs here: the entry is of an earlier start of this VM, or
    /// this VM stopped scheduling because its lease could have ended. Or this VM schedules by an entry that the
    /// key-value service may have forgotten.
    Own,
    /// Other VMs may take it. This VM may do so only later, because it held the leadership recently or because
    /// lease votes still bind it.
    NotYet,
    /// As for `Own`, but this VM is to resign: it has stopped scheduling twice within a short time, or it has
    /// restarted and a stronger VM is present.
    Resign,
    /// Its holder is silent, and engines check fencing tokens: after the first order of the next holder, they
    /// refuse the silent holder's orders.
    HolderSilent,
}

/// The minimum time between two changes of a leadership's holder. Where fencing tokens are checked, a VM
/// doesn't take the leadership of a silent holder earlier. A VM that has lost a leadership doesn't take it
/// again earlier. Alternating orders of two holders within three seconds are unwanted, even where fencing
/// tokens make them harmless.
pub(crate) const MIN_TENURE: Span = Span::from_millis(3_500);

impl Gateway {
    /// Whether a leadership is free for which this VM has no candidacy. A leadership may become free by the
    /// passing of time alone, without an event that updates the candidacies.
    pub(crate) fn lacks_candidacy(&self) -> bool {
        let mut engines = self.index.engines().map(|service| &service.name);
        engines.any(|service| {
            let free = matches!(self.vacancy(service), Vacancy::Free | Vacancy::HolderSilent);
            free && !self.leaderships.candidacies.contains_key(service)
        })
    }

    /// Starts the candidacies that have become possible by a change of the configuration, of a holder, or of
    /// what is known of a holder, and performs the steps that are due.
    pub(crate) fn update_candidacies(&mut self, out: &mut Effects) {
        let services: Vec<Service> = self.index.engines().map(|s| s.name.clone()).collect();
        for service in services {
            let vacancy = self.vacancy(&service);
            let planned_at = self
                .leaderships
                .candidacies
                .get(&service)
                .map(|candidacy| candidacy.at());
            let candidacy = match vacancy {
                Vacancy::Held => continue,
                // No other VM may take the leadership, so this VM has no rank to wait for.
                Vacancy::Own | Vacancy::Resign if planned_at.is_none_or(|at| at > self.now) => {
                    Candidacy::Take(self.now)
                }
                _ if planned_at.is_some() => continue,
                _ if self.now < self.leaderships.startup_wait_until => {
                    Candidacy::DetermineRank(self.leaderships.startup_wait_until)
                }
                _ => self.ranked_candidacy(&service),
            };
            self.set_candidacy(service, candidacy, out);
        }
        self.advance_candidacies(out);
    }

    /// Returns the earliest time at which this VM may take a leadership. A leadership that this VM held before
    /// is free to it again [`MIN_TENURE`] after its loss. Where engines don't check fencing tokens, this VM
    /// also waits until its own lease vote has expired and, if the lease of its entry was granted recently,
    /// until the votes have expired that other VMs may have given without its knowledge. A VM that never knew
    /// another VM may take the leadership at once. If the last entry of another VM has just disappeared, as all
    /// do when the key-value service loses its leases, the other VMs may still act on their leases, and this VM
    /// waits for the duration of a vote.
    fn earliest_take(&self, service: &Service) -> Instant {
        let fencing = self.settings.tuning.fencing;
        let vote = VOTE_DURATION + self.settings.tuning.lease_guard;
        if self.peers().next().is_none() {
            let gone_at = self.membership.last_unlisted().filter(|_| !fencing);
            return gone_at.map_or(Instant::default(), |gone_at| gone_at + vote);
        }
        let mut earliest_take = self.leaderships.earliest_retake(service);
        if self.path.is_lost() {
            earliest_take = earliest_take.max(self.now + PATH_WAIT);
        }
        if fencing {
            return earliest_take;
        }
        // A holder that the key-value service has forgotten trusts its lease for as long as the lease would live.
        let trust = match self.watch.era {
            Some(era) if era > Era::default() => vote.max(self.settings.tuning.lease),
            _ => vote,
        };
        let others = self.registration.granted_at().unwrap_or_default() + trust;
        earliest_take
            .max(self.votes.given_until(service))
            .max(others)
    }

    /// Sets this VM's candidacy for a leadership, logs it, and sets the timer for its next step.
    pub(crate) fn set_candidacy(
        &mut self,
        service: Service,
        candidacy: Candidacy,
        out: &mut Effects,
    ) {
        let step = match candidacy {
            Candidacy::DetermineRank(_) => "look",
            Candidacy::Take(_) => "take",
        };
        let (after, vms) = (candidacy.at().since(self.now), self.peers().count());
        let entry_age = self
            .now
            .since(self.registration.granted_at().unwrap_or_default());
        let detail =
            format!("service={service} act={step} after={after} vms={vms} entry_age={entry_age}");
        Self::log(out, Code::SeatAwaited, detail);
        self.timers.set(candidacy.at(), Timer::Leadership);
        self.leaderships.candidacies.insert(service, candidacy);
    }

    /// Returns the vacancy of a leadership, including the waiting time that applies to this VM alone.
    fn vacancy(&self, service: &Service) -> Vacancy {
        let vacancy = self.vacancy_for_any(service);
        let must_wait = self.now < self.earliest_take(service);
        match vacancy {
            Vacancy::Free | Vacancy::HolderSilent if must_wait => Vacancy::NotYet,
            vacancy => vacancy,
        }
    }

    /// Returns the vacancy of a leadership, disregarding the waiting time that applies to this VM alone.
    fn vacancy_for_any(&self, service: &Service) -> Vacancy {
        if self.is_reclaiming(service) {
            return Vacancy::Own;
        }
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
        let has_min_tenure =
            self.now.since(self.leaderships.holder_changed_at(service)) >= MIN_TENURE;
        match holder.vm == self.settings.vm {
            true if holder.incarnation != self.settings.incarnation => {
                if self.has_stronger_peer() {
                    Vacancy::Resign
                } else {
                    Vacancy::Own
                }
            }
            true if self.is_idle_holder(service) && self.should_yield(service) => Vacancy::Resign,
            true if self.is_idle_holder(service) => Vacancy::Own,
            false if fencing && silent && has_min_tenure => Vacancy::HolderSilent,
            _ => Vacancy::Held,
        }
    }

    /// Whether the entry of a leadership names this VM although its scheduler has stopped: the lease could have
    /// ended, but did not. No other VM may take the leadership while the lease lives, so this VM writes the
    /// entry again, with a new fencing token.
    fn is_idle_holder(&self, service: &Service) -> bool {
        let has_safe_lease = self.leaderships.has_lease() && self.now < self.lease_safe_until();
        has_safe_lease && !self.is_stopping() && !self.schedulers.contains_key(service)
    }

    /// Whether this VM is to resign a leadership to another VM.
    fn should_yield(&self, service: &Service) -> bool {
        let is_unfit = self.path.is_lost() || self.leaderships.should_yield(service, self.now);
        self.peers().next().is_some() && is_unfit
    }

    /// Whether a stronger VM is among the peers.
    fn has_stronger_peer(&self) -> bool {
        let mine = self.strength(&self.settings.vm);
        self.peers().any(|vm| self.strength(vm) > mine)
    }

    /// Resigns leaderships whose schedulers overload this VM if a much stronger VM is heard. This VM took them
    /// while the stronger one was away, and would fall further behind with each request.
    pub(crate) fn resign_to_stronger(&mut self, out: &mut Effects) {
        let overloaded = self.schedulers.iter();
        let overloaded = overloaded.filter(|(_, scheduler)| {
            scheduler.is_overloaded() && self.now.since(scheduler.started_at()) >= MIN_TRIAL
        });
        let overloaded: Vec<Service> = overloaded.map(|(service, _)| service.clone()).collect();
        if overloaded.is_empty() || !self.hears_much_stronger_peer() {
            return;
        }
        for service in overloaded {
            self.stop_scheduler(&service, out);
            self.resign(&service, out);
        }
    }

    /// Whether a peer at least [`MUCH_STRONGER_FACTOR`] times as strong as this VM was heard recently.
    fn hears_much_stronger_peer(&self) -> bool {
        let required_strength = self
            .strength(&self.settings.vm)
            .saturating_mul(MUCH_STRONGER_FACTOR);
        let since = self.now.back(HEARD_WITHIN);
        let mut peers = self.peers();
        peers
            .any(|vm| self.strength(vm) >= required_strength && self.membership.is_heard(vm, since))
    }

    /// Performs the due step of each candidacy.
    pub(crate) fn advance_candidacies(&mut self, out: &mut Effects) {
        let candidacies = self.leaderships.candidacies.iter();
        let due = candidacies.filter(|(_, candidacy)| candidacy.at() <= self.now);
        let due: Vec<Service> = due.map(|(service, _)| service.clone()).collect();
        for service in due {
            let candidacy = self.leaderships.candidacies.remove(&service);
            let next = match (self.vacancy(&service), candidacy) {
                (Vacancy::Held, _) => continue,
                // When this VM may take the leadership, VMs that rank before it still go first. So this VM
                // determines its rank only at that time.
                (Vacancy::NotYet, _) => Candidacy::DetermineRank(self.earliest_take(&service)),
                (Vacancy::Free, Some(Candidacy::DetermineRank(_))) => {
                    self.ranked_candidacy(&service)
                }
                (Vacancy::Resign, _) => {
                    self.resign(&service, out);
                    Candidacy::DetermineRank(self.now + self.settings.tuning.renew)
                }
                _ => {
                    self.take_leadership(service.clone(), out);
                    Candidacy::Take(self.now + self.settings.tuning.renew)
                }
            };
            self.set_candidacy(service, next, out);
        }
    }

    /// Returns this VM's candidacy for a leadership that is free from this moment on: delayed by one
    /// [`CANDIDATE_GAP`] for each live VM that ranks before it, strongest first. The delay counts from the time
    /// at which this VM may take the leadership, as it does on the other VMs: counted from an earlier time, a
    /// weak VM took the leadership at the moment at which the strongest ones were allowed to start.
    fn ranked_candidacy(&self, service: &Service) -> Candidacy {
        let mine = self.candidate_rank(service, &self.settings.vm);
        let silent = self.silent_holder(service);
        let others = self.peers().filter(|vm| Some(*vm) != silent);
        let before = others.filter(|vm| self.candidate_rank(service, vm) < mine);
        let before = before.count() as u64;
        let mut from = self.now.max(self.earliest_take(service));
        if silent.is_some() && before > 0 {
            // Some VMs notice a broken link, others only missing heartbeats. The candidacies of the VMs that
            // rank before this one may begin only when the heartbeats are overdue.
            from = from.max(self.holder_last_heard(service) + HOLDER_TIMEOUT);
        }
        Candidacy::Take(from + CANDIDATE_GAP.times(before))
    }

    /// Returns the holder whose entry still exists but which is silent.
    fn silent_holder(&self, service: &Service) -> Option<&Vm> {
        let silent = self.vacancy_for_any(service) == Vacancy::HolderSilent;
        let client = self.scheduler_clients.get(service).filter(|_| silent)?;
        client.holder.as_ref()
    }

    /// Returns the rank of a VM among the candidates for a leadership; lower ranks go first.
    fn candidate_rank(&self, service: &Service, vm: &Vm) -> (Reverse<u32>, u64) {
        let score = membership::rendezvous_score(&(service.as_str(), vm.as_str()));
        (Reverse(self.strength(vm)), score)
    }
}
