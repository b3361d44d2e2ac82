//! Applies changes of the key-value service's entries to this VM. A change arrives from this VM's own watch, a
//! list, another VM, or the conflict that a failed transaction reports.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dahliastile_core::id::Server;
use dahliastile_core::log::Code;
use dahliastile_core::metric::Figure;
use dahliastile_core::time::{Instant, Span};

use crate::cluster::revision::{Era, Revision};
use crate::cluster::snapshot::{Backend, Change, Delivery, EntryKey, EntryValue};
use crate::config::{Config, RouteIndex};
use crate::effect::{Effect, Effects};
use crate::metrics;
use crate::node::Gateway;
use crate::request::load_balancer::ServerState;
use crate::request::quarantine::QUARANTINE_DURATION;
use crate::timer::Timer;

/// The minimum time between two log lines about unreadable entries.
const UNREADABLE_LOG_INTERVAL: Span = Span::from_secs(1);

/// The minimum time between two log lines about outdated changes.
const OUTDATED_LOG_INTERVAL: Span = Span::from_millis(200);

/// State kept beside the snapshot to apply changes.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Servers whose entries disappeared while the key-value service was away, each with the time until which
    /// the entry may return before the server is removed.
    lapsed_servers: BTreeMap<Server, Instant>,
    /// Whether any server has reported its start.
    servers_report_starts: bool,
    /// Number of unreadable entries since the last log line about one.
    unreadable_since_log: u64,
    /// When the last log line about an unreadable entry was written.
    last_unreadable_log: Instant,
    /// When the last log line about an outdated change was written.
    last_outdated_log: Instant,
}

impl Gateway {
    /// Applies `changes`. If `is_recovering`, entries may have lapsed in an outage of the key-value service, and a server
    /// whose entry is gone is kept until [`Self::recovery_end`], since the server may still write its entry again.
    pub(crate) fn apply_changes(
        &mut self,
        changes: Vec<Change>,
        delivery: Delivery,
        is_recovering: bool,
        out: &mut Effects,
    ) {
        for change in changes {
            match &change.key {
                EntryKey::Server(server) if is_recovering && change.value.is_none() => {
                    let server = server.clone();
                    self.start_lapse_grace(server, change, delivery, out);
                }
                _ => self.apply(change, delivery, out),
            }
        }
    }

    /// Applies a complete list. Entries that the list lacks are deleted, with three exceptions. The operator's
    /// entries (configuration and versions) stay in force. While the key-value service recovers, a server without
    /// an entry is kept for a grace period. A quarantine that the service has forgotten goes on, and its record is
    /// written again.
    pub(crate) fn apply_list(
        &mut self,
        changes: Vec<Change>,
        revision: Revision,
        out: &mut Effects,
    ) {
        let known: Vec<EntryKey> = self.snapshot.existing().map(|c| c.key.clone()).collect();
        let listed: BTreeSet<EntryKey> = changes.iter().map(|c| c.key.clone()).collect();
        self.apply_listed(changes, out);
        for key in known.into_iter().filter(|s| !listed.contains(s)) {
            let change = deletion(key.clone(), revision);
            match key {
                EntryKey::Quarantine(fingerprint) if self.is_of_later_era(&change) => {
                    self.snapshot.mark_unconfirmed(&key);
                    self.schedule_write(fingerprint, out);
                }
                EntryKey::Holder(_) if self.is_of_later_era(&change) => {
                    self.apply_listed_holder(change, out);
                }
                EntryKey::Config | EntryKey::Version(..) => {}
                EntryKey::Server(server) if self.is_recovering() => {
                    self.start_lapse_grace(server, change, Delivery::Listed, out);
                }
                _ => self.apply(change, Delivery::Listed, out),
            }
        }
    }

    /// Applies the entries of a list, or of a part of one.
    pub(crate) fn apply_listed(&mut self, changes: Vec<Change>, out: &mut Effects) {
        let (holders, changes) = changes.into_iter().partition(|change| {
            matches!(change.key, EntryKey::Holder(_)) && self.is_of_later_era(change)
        });
        self.apply_changes(changes, Delivery::Listed, false, out);
        for change in holders {
            self.apply_listed_holder(change, out);
        }
    }

    /// Whether the last known change of an entry is of an earlier era than `change`.
    pub(crate) fn is_of_later_era(&self, change: &Change) -> bool {
        let known = self.snapshot.get(&change.key);
        known.is_some_and(|known| known.revision.era() < change.revision.era())
    }

    /// Starts the grace period of a server whose entry was deleted while the key-value service was away: the
    /// deletion is known, and sent on to subscribers, but the server is still used. A deletion that arrives late,
    /// after the entry has returned, changes nothing.
    fn start_lapse_grace(
        &mut self,
        server: Server,
        deletion: Change,
        delivery: Delivery,
        out: &mut Effects,
    ) {
        if !self.snapshot.apply(deletion, delivery) {
            return;
        }
        let until = self.recovery_end().unwrap_or(self.now);
        let left = until.since(self.now);
        let detail = format!("server={server} left={left} delivery={delivery:?}");
        Self::log(out, Code::EntryLapsed, detail);
        self.applied.lapsed_servers.entry(server).or_insert(until);
        self.timers.set(until, Timer::Watch);
    }

    /// Removes the servers whose grace period ends at `by` or before without a return of their entries, and returns their
    /// number.
    pub(crate) fn remove_lapsed_servers(&mut self, by: Instant, out: &mut Effects) -> usize {
        let lapsed = &mut self.applied.lapsed_servers;
        let due: Vec<_> = lapsed.extract_if(.., |_, until| *until <= by).collect();
        for (server, _) in &due {
            self.remove_server(server, out);
        }
        due.len()
    }

    /// Applies one change, unless an equally new or newer one of the same key is known.
    fn apply(&mut self, change: Change, delivery: Delivery, out: &mut Effects) {
        if change.value == Some(EntryValue::Unreadable) {
            self.log_unreadable(&change.key, out);
            // The operator's last readable entry stays in force until a readable one replaces it.
            if matches!(change.key, EntryKey::Config | EntryKey::Version(..)) {
                return;
            }
        }
        if !self.snapshot.apply(change.clone(), delivery) {
            self.record_outdated(&change, out);
            return;
        }
        match (change.key, change.value) {
            (EntryKey::Config, Some(EntryValue::Config(config))) => self.apply_config(config, out),
            (EntryKey::Version(model, adapter), Some(EntryValue::Version(version))) => {
                self.update_adapter_version(&model, &adapter, version);
                Self::log(
                    out,
                    Code::VersionNamed,
                    format!("adapter={model}/{adapter} version={version}"),
                );
            }
            (EntryKey::Server(server), Some(EntryValue::Server(backend))) => {
                self.applied.lapsed_servers.remove(&server);
                self.apply_server(&server, &backend, out);
            }
            (EntryKey::Server(server), _) => self.remove_server(&server, out),
            (EntryKey::Holder(service), Some(EntryValue::Holder(holder))) => {
                self.handle_new_holder(&service, &holder, change.revision, out);
            }
            (EntryKey::Holder(service), None) if self.is_reclaiming(&service) => {
                self.record_holder_to_replace(&service, Revision::default(), out);
            }
            (EntryKey::Holder(service), _) => self.handle_holder_gone(&service, out),
            (EntryKey::Quarantine(fingerprint), Some(_)) => {
                self.put_in_quarantine(fingerprint, QUARANTINE_DURATION, "record", out);
            }
            (EntryKey::Quarantine(fingerprint), None) => {
                self.end_quarantine(fingerprint, "record_gone", out);
            }
            (EntryKey::Builds(service), Some(EntryValue::Builds(builds))) => {
                // The first list after the key-value service came back from a copy may lack what was written since.
                let is_current = change.revision.era() == Era::default() || self.watch.has_listed;
                self.apply_builds(&service, &builds, is_current, out);
            }
            (EntryKey::Streams(vm, _), Some(EntryValue::Streams(batch))) => {
                self.apply_origin_batch(&vm, &batch);
            }
            (EntryKey::Member(vm), None) if vm == self.settings.vm => self.rewrite_registration(),
            (EntryKey::Member(vm), Some(EntryValue::Member(member))) => {
                if vm == self.settings.vm && member.incarnation != self.settings.incarnation {
                    self.quota_restarted();
                }
                self.membership.record_listed(&vm, &member);
            }
            (EntryKey::Member(vm), _) if self.membership.record_unlisted(&vm, self.now) => {
                self.remove_scheduler_vm(&vm);
            }
            _ => {}
        }
    }

    /// Logs an unreadable entry, at most one line per [`UNREADABLE_LOG_INTERVAL`], since a faulty program may
    /// write any number of them.
    fn log_unreadable(&mut self, key: &EntryKey, out: &mut Effects) {
        self.applied.unreadable_since_log += 1;
        if self.now < self.applied.last_unreadable_log + UNREADABLE_LOG_INTERVAL {
            return;
        }
        let since = std::mem::take(&mut self.applied.unreadable_since_log);
        self.applied.last_unreadable_log = self.now;
        let detail = format!("subject={key:?} since_last={since}");
        Self::log(out, Code::EntryUnreadable, detail);
    }

    /// Counts a change that is older than the known one of the same entry, and logs it unless a line of this kind
    /// was written within [`OUTDATED_LOG_INTERVAL`]. A change that is known already counts as none.
    fn record_outdated(&mut self, change: &Change, out: &mut Effects) {
        let known = self.snapshot.get(&change.key);
        let Some(known) = known.filter(|known| change.revision < known.revision) else {
            return;
        };
        metrics::count_global(out, Figure::OutdatedChanges, change.key.kind());
        if self.now < self.applied.last_outdated_log + OUTDATED_LOG_INTERVAL {
            return;
        }
        let detail = format!(
            "subject={:?} revision={} known={} same_value={}",
            change.key,
            change.revision,
            known.revision,
            change.value == known.value
        );
        self.applied.last_outdated_log = self.now;
        Self::log(out, Code::ChangeOutdated, detail);
    }

    fn apply_config(&mut self, config: Arc<Config>, out: &mut Effects) {
        if config.version <= self.config_version() {
            return;
        }
        self.index = RouteIndex::new(&config);
        let names: BTreeSet<&str> = config.routes.iter().map(|r| r.name.as_str()).collect();
        self.durations.retain(|route| names.contains(route));
        let (version, routes) = (config.version, config.routes.len());
        Self::log(
            out,
            Code::EditionInForce,
            format!("version={version} routes={routes}"),
        );
        self.config = Some(config);
        self.apply_account_limits(out);
        self.update_candidacies(out);
    }

    /// Applies a server's entry. If one server reports its start, all do: an entry without a start was then
    /// written by another program and is ignored.
    fn apply_server(&mut self, server: &Server, backend: &Arc<Backend>, out: &mut Effects) {
        match backend.start {
            Some(_) if !self.applied.servers_report_starts => {
                self.applied.servers_report_starts = true;
                let states = self.servers.iter();
                let without = states.filter(|(_, state)| state.backend.start.is_none());
                let without: Vec<Server> = without.map(|(server, _)| server.clone()).collect();
                for server in without {
                    self.remove_server(&server, out);
                }
            }
            None if self.applied.servers_report_starts => {
                self.log_unreadable(&EntryKey::Server(server.clone()), out);
                self.remove_server(server, out);
                return;
            }
            Some(_) | None => {}
        }
        let backend = &self.with_known_build(server, backend);
        if let Some(state) = self.servers.get_mut(server) {
            if state.backend.ready && !backend.ready {
                Self::log(out, Code::ServerLeaving, format!("server={server}"));
            }
            let is_same_build = state.backend.build.0 == backend.build.0;
            let restarted = state.update_backend(backend);
            if restarted && !is_same_build {
                self.doubt_origins(server, out);
            }
            if restarted {
                let detail = format!(
                    "server={server} start={:?} build={}",
                    backend.start, backend.build
                );
                Self::log(out, Code::ServerRestarted, detail);
                self.clear_residents(&backend.service, server);
                self.forget_notices(server, out);
                self.server_ended(server, out);
            }
        } else {
            let (service, address) = (&backend.service, backend.address);
            let detail = format!(
                "server={server} service={service} address={address} build={}",
                backend.build
            );
            Self::log(out, Code::ServerListed, detail);
            self.notices.server_listed(server, backend.start);
            self.servers
                .insert(server.clone(), ServerState::new(backend.clone()));
        }
        self.update_scheduler_server(server, backend);
        self.record_build(server, out);
        self.place_awaiting_build(out);
    }

    fn remove_server(&mut self, server: &Server, out: &mut Effects) {
        self.record_build(server, out);
        if let Some(state) = self.servers.remove(server) {
            Self::log(out, Code::ServerGone, format!("server={server}"));
            let leaving = self.notices.leaving(server).is_some();
            self.notices.server_unlisted(server, self.now);
            out.push(Effect::TrackAnswers(server.clone(), false));
            // A server that announced that it is leaving ends by intention, not by a crash.
            if state.backend.ready && !leaving {
                self.server_ended(server, out);
            }
            self.remove_scheduler_server(server, &state.backend.service);
        }
    }
}

/// Returns the change that deletes `key` at `revision`.
fn deletion(key: EntryKey, revision: Revision) -> Change {
    Change {
        key,
        revision,
        created: Revision::default(),
        value: None,
    }
}
