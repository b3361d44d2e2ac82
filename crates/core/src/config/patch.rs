//! Applies an edit to a document in place, and takes it back where the result is not accepted.

use rustc_hash::FxHashMap;

use super::check::Problem;
use super::document::{Adapter, Caller, Document, Rule, Server, Service};
use super::edit::{Change, Edit, Place};

/// From this number of changed adapters on, an edit builds an index of names instead of searching for each.
const INDEX_FROM: usize = 32;

/// The document after an edit, or what is wrong with the edit.
///
/// The result is not checked as a whole; [`super::check`] does that.
///
/// # Errors
/// Where a change names something that is not there, or adds a rule that is.
pub fn apply(document: &Document, edit: &Edit) -> Result<Document, Problem> {
    let mut changed = document.clone();
    patch(&mut changed, edit)?;
    Ok(changed)
}

/// What brings a document back to its state before an edit.
///
/// The short lists are kept whole. There are tens of thousands of adapters, so only those changed are kept.
#[derive(Debug, Default)]
pub(crate) struct Undo {
    /// The callers as they were, where the edit touched them.
    callers: Option<Vec<Caller>>,
    /// The services as they were, where the edit touched them.
    services: Option<Vec<Service>>,
    /// The servers as they were, where the edit touched them.
    servers: Option<Vec<Server>>,
    /// The rules as they were, where the edit touched them.
    rules: Option<Vec<Rule>>,
    /// What was done to adapters, in order.
    adapters: Vec<Step>,
}

/// One change of the list of adapters.
#[derive(Debug)]
enum Step {
    /// One was added at the end.
    Added,
    /// The one at this position was replaced.
    Replaced(usize, Adapter),
    /// The one at this position was removed, and the last one took its place.
    Removed(usize, Adapter),
}

impl Undo {
    /// Brings the document back.
    pub(crate) fn run(self, document: &mut Document) {
        restore(&mut document.callers, self.callers);
        restore(&mut document.services, self.services);
        restore(&mut document.servers, self.servers);
        restore(&mut document.rules, self.rules);
        for step in self.adapters.into_iter().rev() {
            step.undo(&mut document.adapters);
        }
    }

    /// Whether the edit touched callers, services or servers.
    pub(crate) fn touched_lists(&self) -> bool {
        self.callers.is_some() || self.services.is_some() || self.servers.is_some()
    }

    /// For each change of an adapter, in order, the adapter as it was before.
    pub(crate) fn into_adapters(self) -> impl Iterator<Item = Option<Adapter>> {
        self.adapters.into_iter().map(|step| match step {
            Step::Added => None,
            Step::Replaced(_, adapter) | Step::Removed(_, adapter) => Some(adapter),
        })
    }
}

impl Step {
    fn undo(self, adapters: &mut Vec<Adapter>) {
        match self {
            Self::Added => {
                adapters.pop();
            }
            Self::Replaced(position, adapter) => adapters[position] = adapter,
            Self::Removed(position, adapter) => {
                let last = adapters.len();
                adapters.push(adapter);
                adapters.swap(position, last);
            }
        }
    }
}

fn restore<T>(list: &mut Vec<T>, kept: Option<Vec<T>>) {
    if let Some(kept) = kept {
        *list = kept;
    }
}

/// Applies all changes of an edit, or none.
pub(crate) fn patch(document: &mut Document, edit: &Edit) -> Result<Undo, Problem> {
    let mut patch = Patch {
        index: index(document, edit),
        document,
        undo: Undo::default(),
    };
    for (number, change) in edit.changes.iter().enumerate() {
        if let Err(message) = patch.change(change) {
            patch.undo.run(patch.document);
            return Err(Problem::new(format!("changes[{number}]"), message));
        }
    }
    Ok(patch.undo)
}

/// The positions of all adapters, where an edit changes so many that this is the faster way.
fn index(document: &Document, edit: &Edit) -> Option<FxHashMap<String, usize>> {
    let adapter =
        |change: &&Change| matches!(change, Change::PutAdapter(_) | Change::RemoveAdapter(_));
    let many = edit.changes.iter().filter(adapter).count() >= INDEX_FROM;
    let entry = |(position, adapter): (usize, &Adapter)| (adapter.name.clone(), position);
    many.then(|| document.adapters.iter().enumerate().map(entry).collect())
}

/// An edit on its way into a document.
struct Patch<'a> {
    /// The document.
    document: &'a mut Document,
    /// How to take it back.
    undo: Undo,
    /// Positions of adapters by name.
    index: Option<FxHashMap<String, usize>>,
}

impl Patch<'_> {
    fn change(&mut self, change: &Change) -> Result<(), String> {
        match change {
            Change::PutCaller(caller) => put(self.callers(), caller),
            Change::RemoveCaller(name) => remove(self.callers(), name.as_str())?,
            Change::PutService(service) => put(self.services(), service),
            Change::RemoveService(name) => remove(self.services(), name.as_str())?,
            Change::PutServer(server) => put(self.servers(), server),
            Change::RemoveServer(name) => remove(self.servers(), name.as_str())?,
            Change::PutAdapter(adapter) => self.put_adapter(adapter),
            Change::RemoveAdapter(name) => self.remove_adapter(name)?,
            Change::InsertRule { rule, place } => insert_rule(self.rules(), rule, place)?,
            Change::MoveRule { name, place } => move_rule(self.rules(), name.as_str(), place)?,
            Change::ReplaceRule { rule } => replace_rule(self.rules(), rule)?,
            Change::RemoveRule { name } => remove(self.rules(), name.as_str())?,
            Change::SetRules { rules } => self.rules().clone_from(rules),
        }
        Ok(())
    }

    fn callers(&mut self) -> &mut Vec<Caller> {
        keep(&mut self.undo.callers, &mut self.document.callers)
    }

    fn services(&mut self) -> &mut Vec<Service> {
        keep(&mut self.undo.services, &mut self.document.services)
    }

    fn servers(&mut self) -> &mut Vec<Server> {
        keep(&mut self.undo.servers, &mut self.document.servers)
    }

    fn rules(&mut self) -> &mut Vec<Rule> {
        keep(&mut self.undo.rules, &mut self.document.rules)
    }

    fn find_adapter(&self, name: &str) -> Option<usize> {
        match &self.index {
            Some(index) => index.get(name).copied(),
            None => position(&self.document.adapters, name),
        }
    }

    fn put_adapter(&mut self, adapter: &Adapter) {
        let adapters = &mut self.document.adapters;
        let found = match &self.index {
            Some(index) => index.get(&adapter.name).copied(),
            None => position(adapters, &adapter.name),
        };
        let step = if let Some(found) = found {
            Step::Replaced(
                found,
                std::mem::replace(&mut adapters[found], adapter.clone()),
            )
        } else {
            adapters.push(adapter.clone());
            Step::Added
        };
        self.undo.adapters.push(step);
        if let Some(index) = &mut self.index {
            let last = self.document.adapters.len() - 1;
            index.entry(adapter.name.clone()).or_insert(last);
        }
    }

    fn remove_adapter(&mut self, name: &str) -> Result<(), String> {
        let found = self
            .find_adapter(name)
            .ok_or_else(|| missing::<Adapter>(name))?;
        let adapters = &mut self.document.adapters;
        let removed = adapters.swap_remove(found);
        if let Some(index) = &mut self.index {
            index.remove(name);
            if let Some(moved) = adapters.get(found) {
                index.insert(moved.name.clone(), found);
            }
        }
        self.undo.adapters.push(Step::Removed(found, removed));
        Ok(())
    }
}

/// Keeps a list as it is before its first change.
fn keep<'a, T: Clone>(kept: &mut Option<Vec<T>>, list: &'a mut Vec<T>) -> &'a mut Vec<T> {
    if kept.is_none() {
        *kept = Some(list.clone());
    }
    list
}

/// Something that the configuration lists by name.
trait Named {
    /// What it is called in messages.
    const KIND: &'static str;

    /// Its name.
    fn name(&self) -> &str;
}

macro_rules! named {
    ($($type:ident $kind:literal;)*) => {$(
        impl Named for $type {
            const KIND: &'static str = $kind;

            fn name(&self) -> &str {
                self.name.as_str()
            }
        }
    )*};
}

named! {
    Caller "caller";
    Service "service";
    Server "server";
    Adapter "adapter";
    Rule "rule";
}

fn missing<T: Named>(name: &str) -> String {
    format!("there is no {} {name}", T::KIND)
}

fn position<T: Named>(list: &[T], name: &str) -> Option<usize> {
    list.iter().position(|item| item.name() == name)
}

fn put<T: Named + Clone>(list: &mut Vec<T>, item: &T) {
    match position(list, item.name()) {
        Some(found) => list[found] = item.clone(),
        None => list.push(item.clone()),
    }
}

fn remove<T: Named>(list: &mut Vec<T>, name: &str) -> Result<(), String> {
    let found = position(list, name).ok_or_else(|| missing::<T>(name))?;
    list.remove(found);
    Ok(())
}

fn insert_rule(rules: &mut Vec<Rule>, rule: &Rule, place: &Place) -> Result<(), String> {
    if position(rules, rule.name()).is_some() {
        return Err(format!("there is a rule {} already", rule.name));
    }
    let target = place_of(rules, place)?;
    rules.insert(target, rule.clone());
    Ok(())
}

fn move_rule(rules: &mut Vec<Rule>, name: &str, place: &Place) -> Result<(), String> {
    let found = position(rules, name).ok_or_else(|| missing::<Rule>(name))?;
    let rule = rules.remove(found);
    let target = place_of(rules, place)?;
    rules.insert(target, rule);
    Ok(())
}

fn replace_rule(rules: &mut [Rule], rule: &Rule) -> Result<(), String> {
    let found = position(rules, rule.name()).ok_or_else(|| missing::<Rule>(rule.name()))?;
    rules[found] = rule.clone();
    Ok(())
}

/// The position at which a rule is to be inserted.
fn place_of(rules: &[Rule], place: &Place) -> Result<usize, String> {
    let find = |name: &str| position(rules, name).ok_or_else(|| missing::<Rule>(name));
    match place {
        Place::First => Ok(0),
        Place::Last => Ok(rules.len()),
        Place::Before(name) => find(name.as_str()),
        Place::After(name) => find(name.as_str()).map(|found| found + 1),
    }
}
