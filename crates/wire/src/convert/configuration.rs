//! The configuration as peers fetch it from each other.

use dahliastile_core::id::Edition;
use dahliastile_core::peer::{Fetch, Piece};

use super::Convert;
use super::field::{array, count, missing, read_blobs, write_blobs};
use crate::error::Result;
use crate::peer_capnp::{edits, fetch, piece, snapshot};

impl Convert for Fetch {
    type Schema = fetch::Owned;

    fn write(&self, mut to: fetch::Builder<'_>) {
        to.set_have(self.have.0);
        to.set_offset(self.offset);
        to.set_snapshot(self.snapshot.0);
    }

    fn read(from: fetch::Reader<'_>) -> Result<Self> {
        Ok(Self {
            have: Edition(from.get_have()),
            offset: from.get_offset(),
            snapshot: Edition(from.get_snapshot()),
        })
    }
}

impl Convert for Piece {
    type Schema = piece::Owned;

    fn write(&self, to: piece::Builder<'_>) {
        match self {
            Self::Edits { first, edits } => {
                let mut to = to.init_edits();
                to.set_first(first.0);
                write_blobs(edits, to.init_edits(count(edits.len())));
            }
            Self::Snapshot {
                edition,
                offset,
                total,
                hash,
                data,
            } => {
                let mut to = to.init_snapshot();
                to.set_edition(edition.0);
                to.set_offset(*offset);
                to.set_total(*total);
                to.set_hash(hash);
                to.set_data(data);
            }
        }
    }

    fn read(from: piece::Reader<'_>) -> Result<Self> {
        match from.which()? {
            piece::Edits(_) if !from.has_edits() => missing("edits"),
            piece::Edits(inner) => read_edits(inner?),
            piece::Snapshot(_) if !from.has_snapshot() => missing("snapshot"),
            piece::Snapshot(inner) => read_snapshot(inner?),
        }
    }
}

fn read_edits(from: edits::Reader<'_>) -> Result<Piece> {
    Ok(Piece::Edits {
        first: Edition(from.get_first()),
        edits: read_blobs(from.get_edits())?,
    })
}

fn read_snapshot(from: snapshot::Reader<'_>) -> Result<Piece> {
    Ok(Piece::Snapshot {
        edition: Edition(from.get_edition()),
        offset: from.get_offset(),
        total: from.get_total(),
        hash: array("hash", from.get_hash())?,
        data: from.get_data()?.to_vec(),
    })
}
