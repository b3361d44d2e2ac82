//! Puts new editions in force: the next edits, or a whole snapshot. Nothing older is ever taken.

use super::entities::Work;
use super::log::Kept;
use super::store::{self, Damage, Digest, Segment, Snapshot};
use crate::Node;
use crate::config::rules::Rules;
use crate::config::{self, Edit, Problem, Undo};
use crate::effect::{Effect, Effects};
use crate::id::Edition;
use crate::log::{Code, Record};
use crate::{domain, traffic};

/// What a run over some edits brought.
#[derive(Debug, Default)]
pub(crate) struct Run {
    /// The number of edits applied.
    pub(crate) applied: u32,
    /// Why it stopped early: the next edition and what is wrong with its edit.
    pub(crate) damage: Option<(Edition, Damage)>,
}

/// Applies the texts of edits that follow the edition in force; older ones and those after a gap are left out.
pub(crate) fn edits(
    node: &mut Node,
    texts: impl Iterator<Item = Vec<u8>>,
    out: &mut Effects,
) -> Run {
    let mut run = Run::default();
    let mut work = Work::default();
    for text in texts {
        match one(node, text) {
            Ok(Some((edit, undo))) => {
                run.applied += 1;
                work.add(edit, undo);
            }
            Ok(None) => {}
            Err(damage) => {
                let next = Edition(node.sync.edition.0 + 1);
                reject(node, next, &damage, out);
                run.damage = Some((next, damage));
                break;
            }
        }
    }
    if run.applied > 0 {
        put_in_force(node, work, out);
    }
    run
}

/// Applies one edit, or none where it is not the next.
fn one(node: &mut Node, text: Vec<u8>) -> Result<Option<(Edit, Undo)>, Damage> {
    let (kept, segment) = Kept::read(text)?;
    let state = &mut node.sync;
    if segment.edition != Edition(state.edition.0 + 1) {
        return Ok(None);
    }
    if segment.prev != state.chain {
        return Err(Damage::Unchained(state.edition));
    }
    let undo = change(&mut state.document, &segment)?;
    state.edition = segment.edition;
    state.chain = kept.digest;
    state.log.push(kept);
    Ok(Some((segment.edit, undo)))
}

/// Changes the document, unless the result does not hold together.
fn change(document: &mut config::Document, segment: &Segment) -> Result<Undo, Damage> {
    let invalid = |problem: &Problem| Damage::Invalid(problem.to_string());
    let undo = config::patch(document, &segment.edit).map_err(|problem| invalid(&problem))?;
    let problems = config::check_after(document, &segment.edit);
    match problems.first() {
        None => Ok(undo),
        Some(problem) => {
            undo.run(document);
            Err(invalid(problem))
        }
    }
}

/// Puts a snapshot in force, where it is newer.
pub(crate) fn snapshot(
    node: &mut Node,
    edition: Edition,
    hash: Digest,
    bytes: &[u8],
    out: &mut Effects,
) -> Result<(), Damage> {
    if edition <= node.sync.edition {
        return Ok(());
    }
    let snapshot = read_snapshot(edition, hash, bytes);
    let snapshot = snapshot.inspect_err(|damage| reject(node, edition, damage, out))?;
    let state = &mut node.sync;
    state.edition = edition;
    state.chain = snapshot.chain;
    state.document = snapshot.document;
    state.log.reset(edition);
    put_in_force(node, Work::all(), out);
    Ok(())
}

fn read_snapshot(edition: Edition, hash: Digest, bytes: &[u8]) -> Result<Snapshot, Damage> {
    if Digest::of(bytes) != hash {
        return Err(Damage::Hash);
    }
    let snapshot: Snapshot =
        serde_json::from_slice(bytes).map_err(|error| Damage::Unreadable(error.to_string()))?;
    if snapshot.edition != edition {
        return Err(Damage::Unchained(edition));
    }
    match config::check(&snapshot.document).first() {
        None => Ok(snapshot),
        Some(problem) => Err(Damage::Invalid(problem.to_string())),
    }
}

/// Brings the tables in line with the document.
fn put_in_force(node: &mut Node, work: Work, out: &mut Effects) {
    work.run(&mut node.catalog, &node.sync.document);
    node.rules = Rules::new(node.sync.document.rules.clone());
    domain::configured(node, out);
    traffic::wake_all(node);
    node.sync.reader.progressed();
    let detail = format!("edition={}", node.sync.edition);
    out.push(Effect::Log(Record::new(Code::EditionInForce, detail)));
}

/// Logs that an edition is not applied, once for each.
pub(crate) fn reject(node: &mut Node, edition: Edition, damage: &Damage, out: &mut Effects) {
    if node.sync.reader.reject(edition) {
        let detail = format!("edition={edition} cause=\"{damage}\"");
        out.push(Effect::Log(Record::new(Code::EditionRejected, detail)));
    }
}

/// The whole document as the platform and peers get it.
pub(crate) fn export(node: &Node) -> Result<Vec<u8>, Damage> {
    let state = &node.sync;
    let snapshot = Snapshot {
        edition: state.edition,
        chain: state.chain,
        document: &state.document,
    };
    serde_json::to_vec(&snapshot).map_err(|error| store::Damage::Unreadable(error.to_string()))
}
