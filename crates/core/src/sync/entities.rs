//! Brings the entities in line after an edit. Where it touches no more than adapters, only their rows are looked at:
//! going over tens of thousands of them for each edit would cost more than all the rest.

use crate::catalog::{AdapterRow, Catalog};
use crate::config::{Adapter, Change, Document, Edit, Undo};
use crate::id;

/// A change of one adapter.
#[derive(Debug)]
struct Step {
    /// The adapter as it was, unless it is new.
    before: Option<Adapter>,
    /// The adapter as it is, unless it is gone.
    after: Option<Adapter>,
}

/// What edits that are applied together leave to be done.
#[derive(Debug, Default)]
pub(crate) struct Work {
    /// Whether more than rules and adapters was touched.
    all: bool,
    /// The adapters touched, in order.
    steps: Vec<Step>,
}

impl Work {
    /// Everything is to be done.
    pub(crate) const fn all() -> Self {
        let steps = Vec::new();
        Self { all: true, steps }
    }

    /// Adds an edit that was applied.
    pub(crate) fn add(&mut self, edit: Edit, undo: Undo) {
        self.all |= undo.touched_lists();
        let adapter = |change| match change {
            Change::PutAdapter(adapter) => Some(Some(adapter)),
            Change::RemoveAdapter(_) => Some(None),
            _ => None,
        };
        let after = edit.changes.into_iter().filter_map(adapter);
        let steps = undo.into_adapters().zip(after);
        self.steps
            .extend(steps.map(|(before, after)| Step { before, after }));
    }

    /// Does it.
    pub(crate) fn run(self, catalog: &mut Catalog, document: &Document) {
        if self.all {
            return catalog.apply(document);
        }
        for step in self.steps {
            if let Some(before) = step.before {
                remove(catalog, &before);
            }
            if let Some(after) = step.after {
                put(catalog, &after);
            }
        }
    }
}

fn names(adapter: &Adapter) -> impl Iterator<Item = id::Adapter> {
    let name = |version| format!("{}@{version}", adapter.name).parse().ok();
    adapter.versions.iter().filter_map(name)
}

fn remove(catalog: &mut Catalog, adapter: &Adapter) {
    for name in names(adapter) {
        if let Some(entity) = catalog.adapters.find(&name) {
            catalog.adapters.get_mut(entity).listed = false;
        }
    }
    catalog.names.remove(&adapter.name);
}

fn put(catalog: &mut Catalog, adapter: &Adapter) {
    let Some(service) = catalog.services.find(&adapter.service) else {
        debug_assert!(false, "{} names a service that is not there", adapter.name);
        return;
    };
    for name in names(adapter) {
        let row = || AdapterRow {
            name: name.clone(),
            service,
            listed: true,
        };
        let entity = catalog.adapters.intern(name.clone(), row);
        *catalog.adapters.get_mut(entity) = row();
    }
    catalog.names.insert(adapter.name.clone(), 1);
}
