//! Changes, and the watchers that are told of them.

use serde_json::{Value, json};

use super::json::{Bytes, Int};
use super::store::Item;

/// The range end that means all keys from the first on.
const TO_THE_END: &[u8] = &[0];

/// A span of keys.
#[derive(Clone, Debug)]
pub(crate) struct Span {
    /// The first key.
    first: Vec<u8>,
    /// The key behind the last; empty for one key.
    end: Vec<u8>,
}

impl Span {
    /// A span as the mapping writes it.
    pub(crate) fn new(key: &Bytes, range_end: &Bytes) -> Self {
        Self {
            first: key.0.clone(),
            end: range_end.0.clone(),
        }
    }

    pub(super) fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.first,
            TO_THE_END => key >= self.first.as_slice(),
            end => key >= self.first.as_slice() && key < end,
        }
    }
}

/// What a watcher gets: one revision's events.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    /// The revision.
    pub(crate) revision: Int,
    /// The events in the mapping's form.
    pub(crate) events: Vec<Value>,
}

/// A client that waits for changes.
#[derive(Debug)]
pub(super) struct Watcher {
    /// The keys it watches.
    pub(super) span: Span,
    /// The first revision it wants.
    pub(super) from: Int,
    /// Where its events go.
    pub(super) batches: flume::Sender<Batch>,
}

/// One key's change.
#[derive(Clone, Debug)]
pub(super) struct Change {
    /// The key.
    pub(super) key: Vec<u8>,
    /// The new item; `None` after a deletion.
    pub(super) item: Option<Item>,
}

/// How a watch begins.
pub(crate) enum Watching {
    /// Its start lies below this compacted revision.
    Compacted(Int),
    /// It waits here.
    Started(flume::Receiver<Batch>),
}

impl Watcher {
    pub(super) fn tell(&self, revision: Int, changes: &[Change]) {
        let seen = changes
            .iter()
            .filter(|change| self.span.contains(&change.key));
        let events: Vec<Value> = seen.map(|change| change.event(revision)).collect();
        if revision >= self.from && !events.is_empty() {
            // A watcher that went away is removed at the next watch.
            let _ = self.batches.send(Batch { revision, events });
        }
    }
}

impl Change {
    /// The mapping's form; `PUT` is its default and left out.
    fn event(&self, revision: Int) -> Value {
        if let Some(item) = &self.item {
            return json!({ "kv": item });
        }
        let key = Bytes(self.key.clone());
        json!({"type": "DELETE", "kv": {"key": key, "mod_revision": revision}})
    }
}
