//! Takes new editions from peers and serves them to peers, so that few VMs read the platform.

use rand::Rng;

use super::apply;
use super::store::{Digest, MAX_SNAPSHOT_BYTES};
use crate::Node;
use crate::effect::Effects;
use crate::id::{self, Edition};
use crate::peer::{Fetch, Message, Piece};
use crate::time::{Instant, Span};

/// The length of a piece of a snapshot, and of the edits in one message unless one alone is longer.
const PIECE_BYTES: usize = 64 * 1024;

/// How long a peer may take to answer.
const FETCH_TIMEOUT: Span = Span::from_millis(500);

/// Silent peers in a row after which the platform is read instead.
const MAX_SILENT: u32 = 3;

/// Peers with a higher edition that are remembered.
const MAX_AHEAD: usize = 16;

/// How long a snapshot is kept for peers after it was last asked for.
const EXPORT_KEEP: Span = Span::from_secs(10);

/// A fetch in progress.
#[derive(Debug)]
struct Pending {
    /// The peer asked.
    from: id::Vm,
    /// When it was asked.
    sent: Instant,
}

/// A snapshot that comes in pieces.
#[derive(Debug)]
struct Assembly {
    /// Its edition.
    edition: Edition,
    /// Its length.
    total: u64,
    /// Its hash.
    hash: Digest,
    /// What has come.
    bytes: Vec<u8>,
}

/// A snapshot that is served.
#[derive(Debug)]
struct Export {
    /// Its edition.
    edition: Edition,
    /// Its hash.
    hash: Digest,
    /// Its bytes.
    bytes: Vec<u8>,
    /// When it was last asked for.
    used: Instant,
}

/// What is fetched from and served to peers.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Peers that said they have a higher edition, and which.
    ahead: Vec<(id::Vm, Edition)>,
    /// The fetch in progress.
    fetch: Option<Pending>,
    /// Peers in a row that did not answer.
    silent: u32,
    /// The snapshot that is coming.
    assembly: Option<Assembly>,
    /// The snapshot that is served.
    export: Option<Export>,
}

impl State {
    /// Whether a fetch is in progress.
    pub(crate) fn fetching(&self) -> bool {
        self.fetch.is_some()
    }

    fn forget(&mut self, vm: &id::Vm) {
        self.ahead.retain(|(ahead, _)| ahead != vm);
    }
}

/// A peer says which edition it has.
pub(crate) fn peer_has(node: &mut Node, from: &id::Vm, edition: Edition, out: &mut Effects) {
    if edition <= node.sync.edition || *from == node.settings.vm {
        return;
    }
    let ahead = &mut node.sync.spread.ahead;
    if let Some((_, known)) = ahead.iter_mut().find(|(vm, _)| vm == from) {
        *known = edition.max(*known);
    } else if ahead.len() < MAX_AHEAD {
        ahead.push((from.clone(), edition));
    }
    fetch(node, out);
}

/// Asks one of the peers that are ahead, unless one is being asked.
fn fetch(node: &mut Node, out: &mut Effects) {
    let own = node.sync.edition;
    let state = &mut node.sync.spread;
    state.ahead.retain(|(_, edition)| *edition > own);
    if state.fetch.is_some() || state.ahead.is_empty() {
        return;
    }
    let chosen = node.rng.random_range(0..state.ahead.len());
    let peer = state.ahead[chosen].0.clone();
    let assembly = state.assembly.as_ref();
    let message = Fetch {
        have: own,
        offset: assembly.map_or(0, |assembly| assembly.bytes.len() as u64),
        snapshot: assembly.map_or(Edition(0), |assembly| assembly.edition),
    };
    state.fetch = Some(Pending {
        from: peer.clone(),
        sent: node.now,
    });
    node.send(&peer, Message::Fetch(message), out);
}

/// Gives up a peer that does not answer, and a snapshot that nobody asks for any more.
pub(crate) fn tick(node: &mut Node, out: &mut Effects) {
    let now = node.now;
    let state = &mut node.sync.spread;
    let idle = |export: &Export| now.since(export.used) > EXPORT_KEEP;
    if state.export.as_ref().is_some_and(idle) {
        state.export = None;
    }
    let late = |fetch: &Pending| now.since(fetch.sent) > FETCH_TIMEOUT;
    if !state.fetch.as_ref().is_some_and(late) {
        return;
    }
    if let Some(pending) = state.fetch.take() {
        state.forget(&pending.from);
    }
    state.silent += 1;
    if state.silent >= MAX_SILENT {
        state.silent = 0;
        node.sync.reader.want_head();
    }
    fetch(node, out);
}

/// A peer asks for the configuration.
pub(crate) fn fetched(node: &mut Node, from: &id::Vm, fetch: &Fetch, out: &mut Effects) {
    let reading = |export: &Export| export.edition == fetch.snapshot;
    let goes_on = node.sync.spread.export.as_ref().is_some_and(reading);
    let log = &node.sync.log;
    let next = Edition(fetch.have.0 + 1);
    let piece = if !goes_on && (fetch.have >= node.sync.edition || log.first() <= next) {
        Some(edits(node, fetch.have))
    } else {
        snapshot_piece(node, fetch)
    };
    if let Some(piece) = piece {
        node.send(from, Message::Piece(piece), out);
    }
}

/// The edits after an edition, as many as go into one message; none where there is no newer one.
fn edits(node: &Node, have: Edition) -> Piece {
    let mut edits = Vec::new();
    let mut bytes = 0;
    for (_, kept) in node.sync.log.after(have) {
        bytes += kept.raw.len();
        if bytes > PIECE_BYTES && !edits.is_empty() {
            break;
        }
        edits.push(kept.raw.clone());
    }
    let first = Edition(have.0 + 1);
    Piece::Edits { first, edits }
}

/// The next piece of a snapshot.
fn snapshot_piece(node: &mut Node, fetch: &Fetch) -> Option<Piece> {
    renew_export(node, fetch);
    let now = node.now;
    let export = node.sync.spread.export.as_mut()?;
    export.used = now;
    let goes_on = fetch.snapshot == export.edition;
    let offset = if goes_on { fetch.offset } else { 0 };
    let from = usize::try_from(offset).ok()?.min(export.bytes.len());
    let to = (from + PIECE_BYTES).min(export.bytes.len());
    Some(Piece::Snapshot {
        edition: export.edition,
        offset: from as u64,
        total: export.bytes.len() as u64,
        hash: export.hash.0,
        data: export.bytes[from..to].to_vec(),
    })
}

/// Makes a new snapshot to serve, unless the last one still leads on to the edition in force.
fn renew_export(node: &mut Node, fetch: &Fetch) {
    let first = node.sync.log.first();
    let good = |export: &Export| {
        let leads_on = first <= Edition(export.edition.0 + 1);
        export.edition > fetch.have && (leads_on || export.edition == fetch.snapshot)
    };
    if node.sync.spread.export.as_ref().is_some_and(good) {
        return;
    }
    let export = apply::export(node).ok().map(|bytes| Export {
        edition: node.sync.edition,
        hash: Digest::of(&bytes),
        bytes,
        used: node.now,
    });
    node.sync.spread.export = export;
}

/// A peer sent a piece of the configuration.
pub(crate) fn piece(node: &mut Node, from: &id::Vm, piece: Piece, out: &mut Effects) {
    let progress = match piece {
        Piece::Edits { first, edits } => edits_came(node, from, first, edits, out),
        Piece::Snapshot {
            edition,
            offset,
            total,
            hash,
            data,
        } => {
            let head = Assembly {
                edition,
                total,
                hash: Digest(hash),
                bytes: Vec::new(),
            };
            snapshot_came(node, from, head, offset, &data, out)
        }
    };
    // A piece that brings nothing new is late or doubled, so it does not answer the fetch in progress.
    if progress {
        let state = &mut node.sync.spread;
        state.fetch = None;
        state.silent = 0;
        fetch(node, out);
    }
}

fn edits_came(
    node: &mut Node,
    from: &id::Vm,
    first: Edition,
    edits: Vec<Vec<u8>>,
    out: &mut Effects,
) -> bool {
    let next = Edition(node.sync.edition.0 + 1);
    if edits.is_empty() {
        node.sync.spread.forget(from);
        return first == next;
    }
    if first > next {
        return false;
    }
    let run = apply::edits(node, edits.into_iter(), out);
    if run.damage.is_some() {
        node.sync.spread.forget(from);
    }
    if run.applied > 0 {
        node.sync.spread.assembly = None;
    }
    run.applied > 0 || run.damage.is_some()
}

fn snapshot_came(
    node: &mut Node,
    from: &id::Vm,
    head: Assembly,
    offset: u64,
    data: &[u8],
    out: &mut Effects,
) -> bool {
    if head.edition <= node.sync.edition || head.total > MAX_SNAPSHOT_BYTES {
        return false;
    }
    let state = &mut node.sync.spread;
    let same = |assembly: &Assembly| {
        let hash = assembly.hash == head.hash && assembly.total == head.total;
        hash && assembly.edition == head.edition
    };
    if offset == 0 && !state.assembly.as_ref().is_some_and(same) {
        state.assembly = Some(head);
    } else if !state.assembly.as_ref().is_some_and(same) {
        return false;
    }
    let Some(assembly) = &mut state.assembly else {
        return false;
    };
    if offset != assembly.bytes.len() as u64 || data.is_empty() {
        return false;
    }
    assembly.bytes.extend_from_slice(data);
    if (assembly.bytes.len() as u64) < assembly.total {
        return true;
    }
    if let Some(whole) = state.assembly.take() {
        let applied = apply::snapshot(node, whole.edition, whole.hash, &whole.bytes, out);
        if applied.is_err() {
            node.sync.spread.forget(from);
        }
    }
    true
}
