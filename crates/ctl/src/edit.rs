//! Edits: given an id and an author, cut to size and sent.

use dahliastile_core::config::{Change, Edit};
use dahliastile_core::id::Edition;

use crate::client::{Accepted, Client};
use crate::error::{Error, Result};
use crate::progress::Progress;

/// The most bytes of JSON that the changes of one edit may have: half of what a value of the key-value service holds.
pub const MOST_BYTES: usize = 512 * 1024;
/// Bytes left for the rest of an edit.
const FRAME_BYTES: usize = 4 * 1024;

/// A new edit with a random id.
#[must_use]
pub(crate) fn new(author: &str, base: Edition, changes: Vec<Change>) -> Edit {
    Edit {
        id: format!("{:016x}", rand::random::<u64>()),
        author: author.to_owned(),
        base,
        changes,
    }
}

/// The same changes in the same order, in parts that each fit one edit.
///
/// # Errors
/// When one change alone is too large.
pub fn parts(changes: Vec<Change>) -> Result<Vec<Vec<Change>>> {
    let room = MOST_BYTES - FRAME_BYTES;
    let mut parts: Vec<Vec<Change>> = Vec::new();
    let mut size = room;
    for change in changes {
        let bytes = serde_json::to_vec(&change).map_or(0, |json| json.len() + 1);
        match parts.last_mut() {
            _ if bytes > room => {
                return Err(Error::Usage(format!(
                    "one change has {bytes} bytes, more than the {room} that an edit may have"
                )));
            }
            Some(part) if size + bytes <= room => part.push(change),
            _ => {
                parts.push(vec![change]);
                size = 0;
            }
        }
        size += bytes;
    }
    Ok(parts)
}

/// Has changes accepted, in as many edits as their size needs. Each builds on the edition that the one before it
/// made. Returns what the last one made, or none where nothing was to be changed.
///
/// # Errors
/// When an edit is not accepted; those before it stay in force.
pub(crate) fn send(
    client: &Client,
    author: &str,
    base: Edition,
    changes: Vec<Change>,
    progress: &mut Progress,
) -> Result<Option<Accepted>> {
    let parts = parts(changes)?;
    let total = parts.len();
    let mut last: Option<Accepted> = None;
    for (part, number) in parts.into_iter().zip(1..) {
        if total > 1 {
            progress.say(&format!("edit {number} of {total}: {} changes", part.len()));
        }
        let base = last.as_ref().map_or(base, |accepted| accepted.edition);
        let accepted = client.edit(&new(author, base, part), progress);
        match (accepted, &last) {
            (Ok(accepted), _) => last = Some(accepted),
            (Err(error), Some(done)) => {
                progress.say(&format!(
                    "{} of {total} edits are in force, as edition {}; run the command again for the rest",
                    number - 1,
                    done.edition.0,
                ));
                return Err(error);
            }
            (Err(error), None) => return Err(error),
        }
    }
    Ok(last)
}
