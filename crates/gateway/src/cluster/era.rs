//! What a VM does when the key-value service comes back from a copy and so begins a new era.
//!
//! The service has forgotten what was written since the copy was made, leases included, and gives their numbers out
//! again. So each VM discards its leases, asks for new ones and writes its entry again. A scheduler goes on: its VM
//! writes the leadership again, on condition that no other VM has. Until it has, or has had the time to, the other
//! VMs keep to it, whatever the copy names as holder.

use std::collections::BTreeMap;

use dahliastile_core::id::Service;
use dahliastile_core::log::Code;
use dahliastile_core::metric::Figure;
use dahliastile_core::time::Instant;

use crate::cluster::candidacy::Candidacy;
use crate::cluster::revision::{Era, Revision};
use crate::cluster::snapshot::{Change, Delivery, EntryKey, EntryValue};
use crate::effect::Effects;
use crate::metrics;
use crate::node::Gateway;
use crate::timer::Timer;

/// Leaderships whose holder the first list of an era may have forgotten.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// For each leadership, until when its known holder may write it again, and what the list holds instead.
    forgotten_holders: BTreeMap<Service, (Instant, Change)>,
    /// For each leadership that this VM is to write again, the revision of the entry that the key-value service
    /// holds; 0 if it holds none.
    holders_to_replace: BTreeMap<Service, Revision>,
}

impl Gateway {
    /// Records an era of the key-value service that an answer of the service or another VM named.
    pub(crate) fn record_era(&mut self, era: Era, out: &mut Effects) {
        let Some(before) = self.watch.era else {
            self.watch.era = Some(era);
            return;
        };
        if era <= before {
            return;
        }
        self.watch.era = Some(era);
        self.watch.era_began_at = Some(self.now);
        metrics::count_global(out, Figure::StoreRestores, "noticed");
        let detail = format!(
            "era={era} before={before} cursor={} known={}",
            self.watch.cursor.unwrap_or_default(),
            self.snapshot.last_revision()
        );
        Self::log(out, Code::StoreRestored, detail);
        self.restored = State::default();
        if !self.is_stopping() {
            self.renew_registration(out);
            self.quarantine.invalidate_lease();
            self.invalidate_origin_lease();
            self.reclaim_leaderships(out);
        }
    }

    /// Records the era of a revision up to which another VM knows all changes; 0 if it knows none.
    pub(crate) fn record_era_of(&mut self, revision: Revision, out: &mut Effects) {
        if revision > Revision::default() {
            self.record_era(revision.era(), out);
        }
    }

    /// Whether this VM schedules a service by an entry of an earlier era and is to write the leadership again.
    pub(crate) fn is_reclaiming(&self, service: &Service) -> bool {
        let scheduler = self.schedulers.get(service);
        scheduler.is_some_and(|s| Some(Revision::of_fence(s.fence()).era()) < self.watch.era)
    }

    /// Records the revision of the entry, 0 for none, that the key-value service holds of a leadership that this VM is
    /// to write again. The entry may be as old as the copy and isn't sent on to other VMs.
    pub(crate) fn record_holder_to_replace(
        &mut self,
        service: &Service,
        revision: Revision,
        out: &mut Effects,
    ) {
        let holders = &mut self.restored.holders_to_replace;
        if holders.insert(service.clone(), revision) != Some(revision) {
            self.set_candidacy(service.clone(), Candidacy::Take(self.now), out);
        }
    }

    /// Returns the revision of the entry that the key-value service holds of a leadership which this VM is to write
    /// again, if it is known.
    pub(crate) fn holder_to_replace(&self, service: &Service) -> Option<Revision> {
        let revision = self.restored.holders_to_replace.get(service).copied();
        revision.filter(|_| self.is_reclaiming(service))
    }

    /// Applies the entry of a leadership, or its absence, as the first list of an era holds it: it may be as old as
    /// the copy.
    pub(crate) fn apply_listed_holder(&mut self, change: Change, out: &mut Effects) {
        let EntryKey::Holder(service) = change.key.clone() else {
            return;
        };
        let me = EntryValue::Holder(self.as_holder());
        let known = self.snapshot.get(&change.key);
        let known = known.and_then(|known| known.value.clone());
        let names_me = change.value.as_ref() == Some(&me);
        match known {
            _ if self.is_reclaiming(&service) => {
                self.record_holder_to_replace(&service, change.expected_revision(), out);
            }
            // This VM stopped its scheduler before, and may start another one only by a write of this era.
            Some(known) if known == me && names_me => {
                self.snapshot.apply(change, Delivery::Listed);
                self.update_candidacies(out);
            }
            Some(known) if known != me => {
                let until = self.now + self.settings.tuning.lease;
                let detail = format!(
                    "service={service} known={} listed={} until={until}",
                    holder_name(Some(&known)),
                    holder_name(change.value.as_ref())
                );
                Self::log(out, Code::HolderKept, detail);
                let forgotten = &mut self.restored.forgotten_holders;
                forgotten.insert(service, (until, change));
                self.timers.set(until, Timer::Watch);
            }
            _ => self.apply_holder_of_copy(change, names_me, out),
        }
    }

    /// Applies the entry of a leadership that may be as old as the copy. If it names this VM, which has held the
    /// leadership once and doesn't hold it now, this VM deletes it.
    fn apply_holder_of_copy(&mut self, change: Change, names_me: bool, out: &mut Effects) {
        match &change.key {
            EntryKey::Holder(service) if names_me => {
                let service = service.clone();
                self.resign_at(&service, change.revision, out);
            }
            _ => self.apply_changes(vec![change], Delivery::Listed, false, out),
        }
    }

    /// Applies what lists hold of the leaderships that their holders have not written again in time.
    pub(crate) fn apply_forgotten_holders(&mut self, out: &mut Effects) {
        let now = self.now;
        let forgotten = &mut self.restored.forgotten_holders;
        let due: Vec<_> = forgotten
            .extract_if(.., |_, (until, _)| *until <= now)
            .collect();
        let me = EntryValue::Holder(self.as_holder());
        for (_, (_, change)) in due {
            if self.is_of_later_era(&change) {
                let names_me = change.value.as_ref() == Some(&me);
                self.apply_holder_of_copy(change, names_me, out);
            }
        }
    }
}

/// Returns the VM that the entry of a leadership names, for log lines; a dash for none.
fn holder_name(value: Option<&EntryValue>) -> &str {
    match value {
        Some(EntryValue::Holder(holder)) => holder.vm.as_str(),
        _ => "-",
    }
}
