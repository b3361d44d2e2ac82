//! The last edits, kept as the key-value service holds them.

use std::collections::VecDeque;

use super::store::{self, Digest, Segment};
use crate::config::Edit;
use crate::id::Edition;

/// Bytes of edits kept in memory at most; the last edit is kept whatever its length.
const MAX_BYTES: usize = 2 * 1024 * 1024;

/// Edits kept in memory at most.
const MAX_EDITS: usize = 1_024;

/// One edit.
#[derive(Debug)]
pub(crate) struct Kept {
    /// Its id.
    pub(crate) id: String,
    /// Its hash.
    pub(crate) digest: Digest,
    /// The hash of the edit before it.
    pub(crate) prev: Digest,
    /// Its text.
    pub(crate) raw: Vec<u8>,
}

impl Kept {
    /// Reads an edit's text.
    pub(crate) fn read(raw: Vec<u8>) -> Result<(Self, Segment), store::Damage> {
        let (segment, digest) = store::open::<Segment>(&raw)?;
        let kept = Self {
            id: segment.edit.id.clone(),
            digest,
            prev: segment.prev,
            raw,
        };
        Ok((kept, segment))
    }
}

/// The last edits without a gap, up to the edition in force.
#[derive(Debug, Default)]
pub(crate) struct Log {
    /// The edition of the last edit, which is the one in force.
    last: Edition,
    /// The edits, the oldest first.
    entries: VecDeque<Kept>,
    /// The length of their texts.
    bytes: usize,
}

impl Log {
    /// The edition of the oldest edit kept, or the next edition where none is kept.
    pub(crate) fn first(&self) -> Edition {
        Edition(self.last.0 + 1 - self.entries.len() as u64)
    }

    /// The edition in force.
    pub(crate) fn last(&self) -> Edition {
        self.last
    }

    /// The oldest edit kept.
    pub(crate) fn front(&self) -> Option<&Kept> {
        self.entries.front()
    }

    /// Adds the edit that made the next edition.
    pub(crate) fn push(&mut self, kept: Kept) {
        self.last = Edition(self.last.0 + 1);
        self.bytes += kept.raw.len();
        self.entries.push_back(kept);
        while self.entries.len() > 1 && self.full() {
            let dropped = self.entries.pop_front();
            self.bytes -= dropped.map_or(0, |kept| kept.raw.len());
        }
    }

    /// Adds the edit before the oldest one, unless there is no room.
    pub(crate) fn prepend(&mut self, kept: Kept) -> bool {
        if self.full() {
            return false;
        }
        self.bytes += kept.raw.len();
        self.entries.push_front(kept);
        true
    }

    /// Begins anew after a snapshot.
    pub(crate) fn reset(&mut self, edition: Edition) {
        *self = Self {
            last: edition,
            ..Self::default()
        };
    }

    /// The edition that the edit of an id made.
    pub(crate) fn find(&self, id: &str) -> Option<Edition> {
        let position = self.entries.iter().position(|kept| kept.id == id)?;
        Some(Edition(self.first().0 + position as u64))
    }

    /// The hash of the edit that made an edition, where that edit or the one after it is kept.
    pub(crate) fn digest(&self, edition: Edition) -> Option<Digest> {
        let next = edition.0 + 1;
        match next.checked_sub(self.first().0)? {
            0 => self.front().map(|kept| kept.prev),
            number => {
                let position = usize::try_from(number - 1).ok()?;
                self.entries.get(position).map(|kept| kept.digest)
            }
        }
    }

    /// The edits that made the editions after one, with their editions; those no longer kept are left out.
    pub(crate) fn after(
        &self,
        edition: Edition,
    ) -> impl DoubleEndedIterator<Item = (Edition, &Kept)> {
        let first = self.first().0;
        let skip = usize::try_from((edition.0 + 1).saturating_sub(first)).unwrap_or(usize::MAX);
        let skip = skip.min(self.entries.len());
        let entries = self.entries.range(skip..);
        let from = first + skip as u64;
        entries
            .enumerate()
            .map(move |(number, kept)| (Edition(from + number as u64), kept))
    }

    /// The edits after an edition, read.
    pub(crate) fn edits_after(
        &self,
        edition: Edition,
    ) -> impl DoubleEndedIterator<Item = (Edition, Edit)> {
        let read = |(edition, kept): (Edition, &Kept)| {
            let (segment, _) = store::open::<Segment>(&kept.raw).ok()?;
            Some((edition, segment.edit))
        };
        self.after(edition).filter_map(read)
    }

    fn full(&self) -> bool {
        self.bytes > MAX_BYTES || self.entries.len() > MAX_EDITS
    }
}
