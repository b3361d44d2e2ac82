//! The key-value service: etcd v3's JSON mapping over one versioned store.

mod feed;
mod json;
mod lease;
mod store;
mod watch;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::call::Call;
use crate::host::{Host, Service};

pub use json::{Bytes, Int};
pub use store::Item;
use store::{Refusal, Store};

/// The longest wait of the thread that ends leases.
const IDLE: Duration = Duration::from_hours(1);

/// A running key-value service.
pub type Server = Host<Kv>;

/// How the service behaves.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The length of one second of a lease's time to live.
    pub second: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            second: Duration::from_secs(1),
        }
    }
}

/// The faults that can be set. A write is a put, a deletion or a transaction that may change keys.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The next writes take effect and their connections are dropped.
    LoseAnswers(u64),
    /// The next writes have no effect and their connections are dropped.
    DropWrites(u64),
    /// The next writes lose their connections at once and take effect later.
    LateWrites {
        /// How many writes.
        count: u64,
        /// How much later, in milliseconds.
        delay_ms: u64,
    },
    /// Forgets all history below the latest revision.
    Compact,
    /// Ends a lease before its time.
    ExpireLease(i64),
    /// Cuts the connections of all watches.
    CutWatches,
}

/// The number of calls by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Calls {
    /// Ranges, and transactions that cannot change anything.
    pub reads: u64,
    /// Puts, deletions and transactions that may change keys.
    pub writes: u64,
    /// Grants, renewals and revocations.
    pub leases: u64,
    /// Watches started so far.
    pub watches: u64,
    /// Watches that wait now.
    pub watching: u64,
}

/// Counts to come for the faults that hit the next writes.
#[derive(Debug, Default)]
struct Pending {
    /// See [`Fault::LoseAnswers`].
    lose: u64,
    /// See [`Fault::DropWrites`].
    drop: u64,
    /// See [`Fault::LateWrites`].
    late: u64,
    /// How much later those writes take effect.
    late_by: Duration,
}

/// What happens to one write.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// It is answered.
    Answered,
    /// It takes effect without an answer.
    Unanswered,
    /// It has no effect and no answer.
    Dropped,
    /// It takes effect after this time, without an answer.
    Late(Duration),
}

/// The service's state.
#[derive(Debug)]
pub struct Kv {
    /// What the thread that ends leases shares.
    shared: Arc<Shared>,
    /// The faults of the next writes.
    pending: Mutex<Pending>,
    /// The calls so far; `watching` is counted when asked for.
    calls: Mutex<Calls>,
}

/// What the thread that ends leases shares.
#[derive(Debug)]
struct Shared {
    /// All items.
    store: Mutex<Store>,
    /// Signalled when a lease was granted or the service stops.
    changed: Condvar,
    /// Whether the service stops.
    stopped: AtomicBool,
    /// The number of the next watch.
    watches: AtomicU64,
}

impl Shared {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends each lease when its time is over.
    fn expire(&self) {
        let mut store = self.store();
        while !self.stopped.load(Ordering::Acquire) {
            let now = Instant::now();
            let wait = store
                .expire(now)
                .map_or(IDLE, |next| next.saturating_duration_since(now));
            let woken = self.changed.wait_timeout(store, wait);
            store = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Kv {
    /// An empty service.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let shared = Arc::new(Shared {
            store: Mutex::new(Store::new(settings.second)),
            changed: Condvar::new(),
            stopped: AtomicBool::new(false),
            watches: AtomicU64::new(0),
        });
        let expiry = Arc::clone(&shared);
        thread::spawn(move || expiry.expire());
        Self {
            shared,
            pending: Mutex::default(),
            calls: Mutex::default(),
        }
    }

    /// The calls so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        let watching = self.shared.store().watching() as u64;
        Calls {
            watching,
            ..*self.counts()
        }
    }

    /// The present item of a key.
    #[must_use]
    pub fn item(&self, key: &[u8]) -> Option<Item> {
        self.shared.store().item(key).cloned()
    }

    fn counts(&self) -> MutexGuard<'_, Calls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pending(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fate(&self) -> Fate {
        let mut pending = self.pending();
        match *pending {
            Pending { drop: 1.., .. } => {
                pending.drop -= 1;
                Fate::Dropped
            }
            Pending { lose: 1.., .. } => {
                pending.lose -= 1;
                Fate::Unanswered
            }
            Pending {
                late: 1.., late_by, ..
            } => {
                pending.late -= 1;
                Fate::Late(late_by)
            }
            _ => Fate::Answered,
        }
    }

    fn read<T: DeserializeOwned>(&self, call: Call, run: impl FnOnce(&Store, &T) -> Outcome) {
        self.counts().reads += 1;
        match call.json() {
            Ok(body) => {
                let outcome = run(&self.shared.store(), &body);
                answer(call, outcome);
            }
            Err(error) => malformed(call, &error),
        }
    }

    fn write<T: DeserializeOwned>(&self, call: Call, run: impl FnOnce(&mut Store, &T) -> Outcome) {
        self.counts().writes += 1;
        let body = match call.json() {
            Ok(body) => body,
            Err(error) => return malformed(call, &error),
        };
        let run = || run(&mut self.shared.store(), &body);
        match self.fate() {
            Fate::Answered => answer(call, run()),
            Fate::Dropped => call.vanish(),
            Fate::Unanswered => {
                // The outcome is what the client never learns.
                let _ = run();
                call.vanish();
            }
            Fate::Late(delay) => {
                call.vanish();
                thread::sleep(delay);
                let _ = run();
            }
        }
    }

    fn lease(&self, call: Call, run: impl FnOnce(&mut Store, &json::Lease) -> Outcome) {
        self.counts().leases += 1;
        match call.json() {
            Ok(body) => {
                let outcome = run(&mut self.shared.store(), &body);
                self.shared.changed.notify_all();
                answer(call, outcome);
            }
            Err(error) => malformed(call, &error),
        }
    }

    fn txn(&self, call: Call) {
        match call.json::<json::Txn>() {
            Ok(txn) if txn.is_read() => {
                self.counts().reads += 1;
                let outcome = self.shared.store().txn(&txn);
                answer(call, outcome);
            }
            _ => self.write(call, |store, txn: &json::Txn| store.txn(txn)),
        }
    }

    fn keep_alive(&self, call: Call) {
        let wrapped = |value| Ok(json!({ "result": value }));
        self.lease(call, |store, lease| {
            wrapped(store.keep_alive(lease.id, Instant::now()))
        });
    }

    fn watch(&self, call: Call) {
        self.counts().watches += 1;
        match call.json::<json::Watch>() {
            Ok(body) => {
                let id = self.shared.watches.fetch_add(1, Ordering::Relaxed);
                watch::serve(&self.shared.store, call, &body.create_request, id);
            }
            Err(error) => malformed(call, &error),
        }
    }
}

impl Service for Kv {
    type Fault = Fault;

    fn serve(&self, call: Call) {
        match call.path() {
            "/v3/kv/range" => self.read(call, |store, body: &json::Range| store.range(body)),
            "/v3/kv/put" => self.write(call, |store, body: &json::Put| store.put(body)),
            "/v3/kv/deleterange" => self.write(call, |s, body: &json::Delete| s.delete(body)),
            "/v3/kv/txn" => self.txn(call),
            "/v3/kv/compaction" => {
                self.write(call, |store, body: &json::Compaction| {
                    store.compact(body.revision)
                });
            }
            "/v3/lease/grant" => {
                self.lease(call, |store, body| {
                    store.grant(body.id, body.ttl, Instant::now())
                });
            }
            "/v3/lease/keepalive" => self.keep_alive(call),
            "/v3/lease/revoke" => self.lease(call, |store, body| store.revoke(body.id)),
            "/v3/watch" => self.watch(call),
            _ => call.answer(404, &json!({"code": 5, "message": "Not Found"})),
        }
    }

    fn fault(&self, fault: Fault) {
        match fault {
            Fault::LoseAnswers(count) => self.pending().lose = count,
            Fault::DropWrites(count) => self.pending().drop = count,
            Fault::LateWrites { count, delay_ms } => {
                let mut pending = self.pending();
                pending.late = count;
                pending.late_by = Duration::from_millis(delay_ms);
            }
            Fault::Compact => self.shared.store().compact_all(),
            Fault::ExpireLease(id) => {
                // A lease that is over already needs no fault.
                let _ = self.shared.store().revoke(Int(id));
            }
            Fault::CutWatches => self.shared.store().cut_watches(),
        }
    }

    fn record(&self) -> Value {
        json!({ "calls": self.calls() })
    }

    fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Release);
        self.shared.store().cut_watches();
        self.shared.changed.notify_all();
    }
}

/// The answer of one operation.
type Outcome = store::Result<Value>;

fn answer(call: Call, outcome: Outcome) {
    match outcome {
        Ok(body) => call.answer(200, &body),
        Err(refusal) => {
            let (status, code, message) = refusal.describe();
            call.answer(
                status,
                &json!({"error": message, "code": code, "message": message}),
            );
        }
    }
}

fn malformed(call: Call, error: &serde_json::Error) {
    const INVALID_ARGUMENT: u32 = 3;
    let message = error.to_string();
    call.answer(
        400,
        &json!({"error": message, "code": INVALID_ARGUMENT, "message": message}),
    );
}

impl Refusal {
    /// The HTTP status, gRPC code and message that etcd answers.
    fn describe(self) -> (u16, u32, &'static str) {
        match self {
            Self::Compacted => (
                400,
                11,
                "etcdserver: mvcc: required revision has been compacted",
            ),
            Self::Future => (
                400,
                11,
                "etcdserver: mvcc: required revision is a future revision",
            ),
            Self::NoLease => (404, 5, "etcdserver: requested lease not found"),
            Self::LeaseExists => (400, 9, "etcdserver: lease already exists"),
            Self::DuplicateKey => (400, 3, "etcdserver: duplicate key given in txn request"),
            Self::EmptyKey => (400, 3, "etcdserver: key is not provided"),
        }
    }
}
