//! What a change of a fact does on this VM, whatever way it came: by its own watch, a list, another VM or a conflict.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dahliastile_core::id::Server;
use dahliastile_core::log::Code;
use dahliastile_core::time::{Instant, Span};

use crate::cluster::snapshot::{Backend, Change, Delivery, EntryKey, EntryValue, Revision};
use crate::config::{Config, RouteIndex};
use crate::effect::{Effect, Effects};
use crate::node::Gateway;
use crate::request::load_balancer::ServerState;
use crate::request::quarantine::QUARANTINE_DURATION;
use crate::timer::Timer;

/// The least time between two lines on entries that can't be read.
const UNREADABLE_AGAIN: Span = Span::from_secs(1);

/// What is noted beside the facts.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Servers whose entry lapsed while the key-value service was away, and until when they may come back.
    lapsed: BTreeMap<Server, Instant>,
    /// Whether servers tell their starts here.
    starts: bool,
    /// Entries that could not be read since the last line on one.
    unreadable: u64,
    /// When that line was written.
    told: Instant,
}

impl Gateway {
    /// Takes changes in. Where the key-value service was away until a moment ago, servers whose entries are gone may
    /// still come back.
    pub(crate) fn apply_changes(
        &mut self,
        changes: Vec<Change>,
        way: Delivery,
        recovering: bool,
        out: &mut Effects,
    ) {
        for change in changes {
            match &change.key {
                EntryKey::Server(server) if recovering && change.value.is_none() => {
                    // It may be told late, and the server be back by now.
                    if self.snapshot.lacks(&change) {
                        self.lapse(server.clone(), out);
                    }
                }
                _ => self.apply(change, way, out),
            }
        }
    }

    /// Takes a whole list in. What it lacks is gone, but for servers while the key-value service comes back.
    pub(crate) fn apply_list(
        &mut self,
        changes: Vec<Change>,
        revision: Revision,
        out: &mut Effects,
    ) {
        let known: Vec<EntryKey> = self.snapshot.present().map(|c| c.key.clone()).collect();
        let listed: BTreeSet<EntryKey> = changes.iter().map(|c| c.key.clone()).collect();
        self.apply_changes(changes, Delivery::LatestOnly, false, out);
        for subject in known.into_iter().filter(|s| !listed.contains(s)) {
            match subject {
                EntryKey::Config | EntryKey::Version(..) => {}
                EntryKey::Server(server) if self.recovering() => self.lapse(server, out),
                subject => self.apply(removal(subject, revision), Delivery::LatestOnly, out),
            }
        }
    }

    fn lapse(&mut self, server: Server, out: &mut Effects) {
        let until = self.now + self.settings.tuning.lapse_grace;
        Self::log(
            out,
            Code::EntryLapsed,
            format!("server={server} until={until}"),
        );
        self.snapshot.lapse(&EntryKey::Server(server.clone()));
        self.applied.lapsed.entry(server).or_insert(until);
        self.timers.set(until, Timer::Watch);
    }

    pub(crate) fn drop_lapsed(&mut self, out: &mut Effects) {
        let due: Vec<Server> = self
            .applied
            .lapsed
            .iter()
            .filter(|(_, at)| **at <= self.now)
            .map(|(s, _)| s.clone())
            .collect();
        for server in due {
            self.applied.lapsed.remove(&server);
            self.snapshot.forget(&EntryKey::Server(server.clone()));
            self.lose_server(&server, out);
        }
    }

    /// Takes one change in, unless a newer one of its subject is known.
    fn apply(&mut self, change: Change, way: Delivery, out: &mut Effects) {
        if change.value == Some(EntryValue::Unreadable) {
            self.note_unreadable(&change.key, out);
            // What the operator wrote stays in force until it writes anew.
            if matches!(change.key, EntryKey::Config | EntryKey::Version(..)) {
                return;
            }
        }
        if !self.snapshot.apply(change.clone(), way) {
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
                self.applied.lapsed.remove(&server);
                self.apply_server(&server, &backend, out);
            }
            (EntryKey::Server(server), _) => self.lose_server(&server, out),
            (EntryKey::Holder(service), Some(EntryValue::Holder(holder))) => {
                self.handle_new_holder(&service, &holder, change.revision, out);
            }
            (EntryKey::Holder(service), _) => self.handle_holder_gone(&service, out),
            (EntryKey::Quarantine(fingerprint), Some(_)) => {
                self.put_in_quarantine(fingerprint, QUARANTINE_DURATION, "record", out);
            }
            (EntryKey::Quarantine(fingerprint), None) => {
                self.end_quarantine(fingerprint, "record_gone", out);
            }
            (EntryKey::Member(vm), None) if vm == self.settings.vm => self.registration_gone(),
            (EntryKey::Member(vm), Some(EntryValue::Member(member))) => {
                if vm == self.settings.vm && member.incarnation != self.settings.incarnation {
                    self.quota_restarted();
                }
                self.membership.listed(&vm, &member);
            }
            (EntryKey::Member(vm), _) if self.membership.unlisted(&vm, self.now) => {
                self.remove_scheduler_vm(&vm);
            }
            _ => {}
        }
    }

    /// Writes a line on an entry that can't be read. A writer of such entries may write any number of them.
    fn note_unreadable(&mut self, subject: &EntryKey, out: &mut Effects) {
        self.applied.unreadable += 1;
        if self.now < self.applied.told + UNREADABLE_AGAIN {
            return;
        }
        let since = std::mem::take(&mut self.applied.unreadable);
        self.applied.told = self.now;
        let detail = format!("subject={subject:?} since_last={since}");
        Self::log(out, Code::EntryUnreadable, detail);
    }

    fn apply_config(&mut self, config: Arc<Config>, out: &mut Effects) {
        if config.version <= self.config_version() {
            return;
        }
        self.index = RouteIndex::new(&config);
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

    /// Takes a server's entry in. Where any server tells its start all do, so that one that does not is another program's.
    fn apply_server(&mut self, server: &Server, backend: &Arc<Backend>, out: &mut Effects) {
        match backend.start {
            Some(_) if !self.applied.starts => {
                self.applied.starts = true;
                let rows = self.servers.iter();
                let without = rows.filter(|(_, row)| row.backend.start.is_none());
                let without: Vec<Server> = without.map(|(server, _)| server.clone()).collect();
                for server in without {
                    self.lose_server(&server, out);
                }
            }
            None if self.applied.starts => {
                self.note_unreadable(&EntryKey::Server(server.clone()), out);
                self.lose_server(server, out);
                return;
            }
            Some(_) | None => {}
        }
        if let Some(row) = self.servers.get_mut(server) {
            if row.backend.ready && !backend.ready {
                Self::log(out, Code::ServerLeaving, format!("server={server}"));
            }
            let restarted = row.update_backend(backend);
            if restarted {
                let detail = format!("server={server} start={:?}", backend.start);
                Self::log(out, Code::ServerRestarted, detail);
                self.clear_residents(&backend.service, server);
                self.forget_notices(server, out);
                self.server_ended(server, out);
            }
        } else {
            let (service, address) = (&backend.service, backend.address);
            let detail = format!("server={server} service={service} address={address}");
            Self::log(out, Code::ServerListed, detail);
            self.notices.server_listed(server, backend.start);
            self.servers
                .insert(server.clone(), ServerState::new(backend.clone()));
        }
        self.update_scheduler_server(server, backend);
    }

    fn lose_server(&mut self, server: &Server, out: &mut Effects) {
        if let Some(row) = self.servers.remove(server) {
            Self::log(out, Code::ServerGone, format!("server={server}"));
            let leaving = self.notices.leaving(server).is_some();
            self.notices.server_unlisted(server, self.now);
            out.push(Effect::TrackAnswers(server.clone(), false));
            // The end of one that was leaving is its own.
            if row.backend.ready && !leaving {
                self.server_ended(server, out);
            }
            self.remove_scheduler_server(server, &row.backend.service);
        }
    }
}

/// That a subject is gone as of a revision.
fn removal(key: EntryKey, revision: Revision) -> Change {
    Change {
        key,
        revision,
        created: 0,
        value: None,
    }
}
