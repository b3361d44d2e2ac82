//! Calls of the key-value service, and its watches.

use std::time::Duration;

use dahliastile_core::event::Event;
use dahliastile_core::id::{self, Op};
use dahliastile_core::platform::{self, Call, Notice, Outcome, Pair};
use dahliastile_core::time::Span;
use dahliastile_outside::kv::{self, Change, Client, Entry, Timeouts};
use dahliastile_outside::{Cancel, Endpoint, Error, Lease, Revision};

use super::Mailbox;

/// The life of a watch, after which it is opened anew: a bound on how long a dead connection goes unnoticed.
const WATCH: Duration = Duration::from_secs(30);

/// What calls of the key-value service need.
#[derive(Debug)]
pub(super) struct Context {
    /// Where outcomes go.
    pub(super) mailbox: Mailbox,
    /// The service.
    pub(super) client: Client,
}

/// A call to make.
#[derive(Debug)]
pub(super) struct Job {
    /// Its number.
    pub(super) op: Op,
    /// What to do.
    pub(super) call: Call,
}

/// A client of the service.
pub(super) fn client(endpoints: Vec<Endpoint>, timeout: Duration, cancel: Cancel) -> Client {
    let timeouts = Timeouts {
        read: timeout,
        write: timeout,
        lease: timeout,
        watch: WATCH,
    };
    Client::new(endpoints, timeouts, cancel)
}

/// Makes a call.
pub(super) fn run(context: &Context, job: Job) {
    let Job { op, call } = job;
    let outcome = carry_out(&context.client, call);
    context.mailbox.event(Event::Platform { op, outcome });
}

fn carry_out(client: &Client, call: Call) -> Outcome {
    match call {
        Call::Range { prefix, limit } => outcome(client.range(prefix.as_bytes(), limit), |range| {
            reply(range.revision, range.entries, None)
        }),
        Call::Get { key } => outcome(client.get(key.as_bytes()), |(revision, entry)| {
            reply(revision, entry.into_iter().collect(), None)
        }),
        Call::Txn {
            compares,
            puts,
            deletes,
        } => outcome(client.txn(&txn(compares, puts, deletes)), |done| {
            reply(done.revision, Vec::new(), None)
        }),
        Call::LeaseGrant { ttl } => outcome(client.lease_grant(duration(ttl)), |(lease, _)| {
            reply(Revision(0), Vec::new(), Some(lease))
        }),
        Call::LeaseRenew { lease } => outcome(client.lease_keepalive(own_lease(lease)), |_| {
            reply(Revision(0), Vec::new(), Some(own_lease(lease)))
        }),
        Call::LeaseRevoke { lease } => outcome(client.lease_revoke(own_lease(lease)), |()| {
            reply(Revision(0), Vec::new(), None)
        }),
        // Watches are run by `watch` and have no outcome.
        Call::Watch { .. } => Outcome::NotSent,
    }
}

/// Runs a watch until it is over or cancelled. One whose life has ended in order is opened anew.
pub(super) fn watch(client: &Client, mailbox: &Mailbox, op: Op, prefix: &str, from: id::Revision) {
    let post = |notice| mailbox.event(Event::Watch { op, notice });
    let mut next = own_revision(from);
    loop {
        let Ok(notices) = client.watch(prefix.as_bytes(), next) else {
            return post(Notice::Broken);
        };
        match pass(notices, &mut next, post) {
            // The end of its life is no fault; any other break is left to the node, which paces new ones.
            Some(Error::Timeout) => {}
            Some(_) => return post(Notice::Broken),
            None => return,
        }
    }
}

/// Passes the notices of one watch on, and says why it broke, if it did.
fn pass(notices: kv::Watch, next: &mut Revision, post: impl Fn(Notice)) -> Option<Error> {
    for notice in notices {
        match notice {
            // Changes up to the revision of the opening may still follow, so that it moves nothing on.
            kv::Notice::Opened(_) => {}
            kv::Notice::Changes(_, changes) => {
                for change in changes {
                    *next = (*next).max(after(&change));
                    post(changed(change));
                }
            }
            kv::Notice::Compacted(_) => post(Notice::Compacted),
            kv::Notice::Broken(error) => return Some(error),
        }
    }
    None
}

/// The revision after a change.
fn after(change: &Change) -> Revision {
    let revision = match change {
        Change::Put(entry) => entry.changed,
        Change::Delete { revision, .. } => *revision,
    };
    Revision(revision.0.saturating_add(1))
}

fn changed(change: Change) -> Notice {
    match change {
        Change::Put(entry) => Notice::Changed(pairs(vec![entry])),
        Change::Delete { key, revision } => {
            Notice::Deleted(key_text(key).into_iter().collect(), core_revision(revision))
        }
    }
}

fn outcome<T, C>(outcome: kv::Outcome<T, C>, done: impl FnOnce(T) -> platform::Reply) -> Outcome {
    match outcome {
        kv::Outcome::Done(value) => Outcome::Done(done(value)),
        kv::Outcome::Conflict(_) => Outcome::Conflict,
        kv::Outcome::NotSent => Outcome::NotSent,
        kv::Outcome::Unknown(_) => Outcome::Unknown,
    }
}

fn reply(revision: Revision, entries: Vec<Entry>, lease: Option<Lease>) -> platform::Reply {
    platform::Reply {
        revision: core_revision(revision),
        pairs: pairs(entries),
        lease: lease.map(|lease| id::Lease(lease.0.unsigned_abs())),
    }
}

fn txn(
    compares: Vec<platform::Compare>,
    puts: Vec<platform::Put>,
    deletes: Vec<String>,
) -> kv::Txn {
    let put = |put: platform::Put| kv::Put {
        key: put.key.into_bytes(),
        value: put.value,
        lease: put.lease.map(own_lease),
    };
    kv::Txn {
        compares: compares.into_iter().map(compare).collect(),
        puts: puts.into_iter().map(put).collect(),
        deletes: deletes.into_iter().map(String::into_bytes).collect(),
        reads: Vec::new(),
    }
}

fn compare(compare: platform::Compare) -> kv::Compare {
    const ABSENT: id::Revision = id::Revision(0);
    match compare {
        platform::Compare::Changed(key, ABSENT) | platform::Compare::Created(key, ABSENT) => {
            kv::Compare::Absent(key.into_bytes())
        }
        platform::Compare::Changed(key, at) => {
            kv::Compare::Changed(key.into_bytes(), own_revision(at))
        }
        platform::Compare::Created(key, at) => {
            kv::Compare::Created(key.into_bytes(), own_revision(at))
        }
    }
}

/// The entries as the core knows them. The core writes no key that is not text, and none of another writer's
/// matters to it.
fn pairs(entries: Vec<Entry>) -> Vec<Pair> {
    let pair = |entry: Entry| {
        Some(Pair {
            key: key_text(entry.key)?,
            value: entry.value,
            created: core_revision(entry.created),
            changed: core_revision(entry.changed),
        })
    };
    entries.into_iter().filter_map(pair).collect()
}

fn key_text(key: Vec<u8>) -> Option<String> {
    String::from_utf8(key).ok()
}

fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

fn core_revision(revision: Revision) -> id::Revision {
    id::Revision(revision.0.unsigned_abs())
}

fn own_revision(revision: id::Revision) -> Revision {
    Revision(i64::try_from(revision.0).unwrap_or(i64::MAX))
}

fn own_lease(lease: id::Lease) -> Lease {
    Lease(i64::try_from(lease.0).unwrap_or(i64::MAX))
}
