//! A whole document put in force: only what differs is sent, in an order in which nothing names what is not there.

use dahliastile_core::config::{Change, Document};

use crate::diff::script;

/// Adds the changes that put the new rows of one list in place of the old ones.
fn puts<T: PartialEq + Clone>(
    (old, new): (&[T], &[T]),
    key: impl Fn(&T) -> &str,
    change: impl Fn(T) -> Change,
) -> Vec<Change> {
    let rows: std::collections::HashMap<&str, &T> = old.iter().map(|row| (key(row), row)).collect();
    let differs = |row: &&T| rows.get(key(row)).is_none_or(|there| there != row);
    new.iter().filter(differs).cloned().map(change).collect()
}

/// The old rows that the new list does not name.
fn gone<'a, T>((old, new): (&'a [T], &[T]), key: impl Fn(&T) -> &str) -> Vec<&'a T> {
    let names: std::collections::HashSet<&str> = new.iter().map(&key).collect();
    old.iter().filter(|row| !names.contains(key(row))).collect()
}

/// The changes that lead from one document to another: services, servers, adapters, callers, then rules. With
/// `prune`, what the new document does not name is removed afterwards, what names others first.
#[must_use]
pub fn changes(old: &Document, new: &Document, prune: bool) -> Vec<Change> {
    let services = (&old.services[..], &new.services[..]);
    let servers = (&old.servers[..], &new.servers[..]);
    let adapters = (&old.adapters[..], &new.adapters[..]);
    let callers = (&old.callers[..], &new.callers[..]);
    let mut all = puts(services, |row| row.name.as_str(), Change::PutService);
    all.extend(puts(servers, |row| row.name.as_str(), Change::PutServer));
    all.extend(puts(adapters, |row| &row.name, Change::PutAdapter));
    all.extend(puts(callers, |row| row.name.as_str(), Change::PutCaller));
    all.extend(script(&old.rules, &new.rules));
    if !prune {
        return all;
    }
    let gone_callers = gone(callers, |row| row.name.as_str());
    let gone_adapters = gone(adapters, |row| &row.name);
    let gone_servers = gone(servers, |row| row.name.as_str());
    let gone_services = gone(services, |row| row.name.as_str());
    all.extend(
        gone_callers
            .iter()
            .map(|row| Change::RemoveCaller(row.name.clone())),
    );
    all.extend(
        gone_adapters
            .iter()
            .map(|row| Change::RemoveAdapter(row.name.clone())),
    );
    all.extend(
        gone_servers
            .iter()
            .map(|row| Change::RemoveServer(row.name.clone())),
    );
    all.extend(
        gone_services
            .iter()
            .map(|row| Change::RemoveService(row.name.clone())),
    );
    all
}
