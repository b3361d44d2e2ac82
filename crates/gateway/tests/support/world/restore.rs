//! The key-value service comes back from a copy, and its other writers write again what it has forgotten.

use dahliastile_core::id::Server;
use dahliastile_core::time::Span;
use dahliastile_gateway::cluster::snapshot::{EntryKey, EntryValue};

use super::World;
use crate::support::setup::MODEL;

impl World {
    /// Makes a copy of the key-value service's contents, from which it may come back.
    pub fn copy_store(&mut self) {
        self.store.make_copy(self.now, self.now);
    }

    /// Takes the key-value service away for `away` and brings it back from its last copy. Without a time, the
    /// service is never away, and pending watches stay pending.
    pub fn restore_store(&mut self, away: Option<Span>) {
        if let Some(away) = away {
            self.store_up = false;
            self.wake_watchers();
            self.run(away);
            self.store_up = true;
        }
        self.store.restore(self.now);
        self.wake_watchers();
    }

    /// Writes the operator's entries again where the key-value service has forgotten them or has older ones.
    pub fn rewrite_operator_entries(&mut self) {
        if let Some(config) = self.operator_config.clone() {
            self.rewrite(EntryKey::Config, EntryValue::Config(config));
        }
        for (adapter, version) in self.versions.clone() {
            let key = EntryKey::Version(MODEL.into(), adapter);
            self.rewrite(key, EntryValue::Version(version));
        }
    }

    /// Writes the entries of all running servers again, changed or not, as the servers do about once a second.
    /// Removes the entries of servers that have ended, as the service does when a server is silent.
    pub fn rewrite_server_entries(&mut self) {
        let running = |world: &Self, id: &Server| world.servers.get(id).is_some_and(|(e, _)| e.up);
        for key in self.store.keys() {
            if matches!(&key, EntryKey::Server(id) if !running(self, id)) {
                self.store.remove(&key);
            }
        }
        let entries = self.servers.values().filter(|(engine, _)| engine.up);
        let entries: Vec<_> = entries
            .map(|(engine, backend)| (engine.id.clone(), backend.clone()))
            .collect();
        for (id, backend) in entries {
            self.store
                .put(EntryKey::Server(id), EntryValue::Server(backend), 0);
        }
        self.wake_watchers();
    }

    fn rewrite(&mut self, key: EntryKey, value: EntryValue) {
        let known = self.store.get(&key).and_then(|change| change.value.clone());
        if known.as_ref() != Some(&value) {
            self.write_entry(key, value);
        }
    }
}
