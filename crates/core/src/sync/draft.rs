//! Prepares the write of an edit: whether it clashes, whether the document after it holds together, and the new head.

use super::store::{self, Damage, Head, Segment};
use crate::Node;
use crate::config::rebase::{self, Scope};
use crate::config::{self, Edit, Problem};
use crate::id::Edition;
use crate::operator::Clash;

/// Edits that one write deletes at most, besides adding one.
const TRIM: u64 = 16;

/// Problems that a refusal names at most.
const MAX_PROBLEMS: usize = 10;

/// An edit that may be written.
pub(super) struct Draft {
    /// The new head.
    pub(super) head: Head,
    /// The text of the edit.
    pub(super) text: Vec<u8>,
    /// What the operator may want to look at.
    pub(super) warnings: Vec<String>,
}

/// The clash of an edit with those accepted after its base.
pub(super) fn clash(node: &Node, edit: &Edit) -> Option<Clash> {
    let scope = Scope::of(edit);
    let state = &node.sync;
    for (_, other) in state.log.edits_after(edit.base).rev() {
        let Some(subject) = scope.clash(&Scope::of(&other)) else {
            continue;
        };
        return Some(Clash {
            edition: state.edition,
            yours: rebase::wanted(edit, &subject),
            theirs: rebase::in_force(&state.document, &subject),
            subject: subject.to_string(),
            author: other.author,
        });
    }
    None
}

/// Tries an edit on the document, which is left as it was, and prepares its write.
pub(super) fn draft(node: &mut Node, edit: &Edit) -> Result<Draft, Vec<Problem>> {
    let state = &mut node.sync;
    let undo = config::patch(&mut state.document, edit).map_err(|problem| vec![problem])?;
    let problems = config::check_after(&state.document, edit);
    let warnings = match problems.as_slice() {
        [] => config::warnings(&state.document),
        _ => Vec::new(),
    };
    undo.run(&mut state.document);
    if !problems.is_empty() {
        return Err(problems);
    }
    let unwritable = |damage: &Damage| vec![Problem::new("changes", damage.to_string())];
    let segment = Segment {
        edition: Edition(state.edition.0 + 1),
        prev: state.chain,
        edit: edit.clone(),
    };
    let (text, _) = store::seal(&segment).map_err(|damage| unwritable(&damage))?;
    if text.len() > store::MAX_EDIT_BYTES {
        let message = format!(
            "are {} bytes; split them into edits of {} bytes at most",
            text.len(),
            store::MAX_EDIT_BYTES
        );
        return Err(vec![Problem::new("changes", message)]);
    }
    let head = new_head(node, &segment);
    let warnings = warnings.iter().map(ToString::to_string).collect();
    Ok(Draft {
        head,
        text,
        warnings,
    })
}

/// The head after an edit. Edits that the last snapshot makes needless go, a few with each write.
fn new_head(node: &Node, segment: &Segment) -> Head {
    let old = node
        .sync
        .reader
        .known()
        .map(|known| known.head.clone())
        .unwrap_or_default();
    let keep = node.settings.tuning.snapshot_edits;
    let shown = old.snapshot.as_ref().map_or(0, |stored| stored.edition.0);
    let needed = shown.saturating_sub(keep) + 1;
    let first = old.first.0.max(1);
    Head {
        edition: segment.edition,
        last: segment.edit.id.clone(),
        first: Edition(needed.min(first + TRIM).max(first)),
        snapshot: old.snapshot,
    }
}

/// The problems of an edit in one sentence.
pub(super) fn list(problems: &[Problem], base: Edition, edition: Edition) -> String {
    let mut lines: Vec<_> = problems
        .iter()
        .take(MAX_PROBLEMS)
        .map(ToString::to_string)
        .collect();
    if problems.len() > MAX_PROBLEMS {
        lines.push(format!("and {} more", problems.len() - MAX_PROBLEMS));
    }
    if base < edition {
        lines.push(format!(
            "the edit was made on {base}; {edition} is in force now"
        ));
    }
    lines.join("; ")
}
