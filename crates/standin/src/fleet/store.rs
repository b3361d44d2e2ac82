//! The platform's key-value service.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::http::{Asked, Reply, serve};
use super::replica::Flood;

/// How often leases are looked at.
const LOOK: Duration = Duration::from_millis(20);

/// The header of all answers that names the era.
const ERA: &str = "Store-Era";

/// Items of a page of a list, unless another number is set.
const PAGE_ITEMS: usize = 500;

/// What is wrong with the lists that the service gives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListFault {
    /// Nothing.
    #[default]
    None,
    /// Each page is the first one, and says that more follow.
    Repeats,
    /// The list has no end: behind its items come others.
    Endless,
    /// Each page says that more follow, and the second and later ones are empty.
    Empty,
}

/// A copy of the contents, from which the service may come back.
struct Copy {
    made: Instant,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    revision: u64,
}

/// One item.
#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// The keys changed, by revision.
    history: Vec<(u64, String)>,
    revision: u64,
    /// The leases with their lengths and ends.
    leases: BTreeMap<u64, (Duration, Instant)>,
    down: bool,
    /// How many times the service has come back from a copy.
    era: u64,
    /// The copies, the oldest first.
    copies: VecDeque<Copy>,
    /// Items of a page; none for the usual number.
    page_items: Option<usize>,
    list_fault: ListFault,
    /// Items added to lists that have no end.
    made_up: u64,
    flood: Option<Flood>,
    extra_headers: Vec<(String, String)>,
    /// Keys after which pages were asked for.
    asked_after: Vec<String>,
}

/// The service. Clones are the same one.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    address: Option<SocketAddr>,
}

impl Store {
    /// A service that listens at an address.
    ///
    /// # Errors
    /// Where it can't listen.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let mut store = Self::default();
        let served = store.clone();
        store.address = Some(serve(address, move |asked| served.answer(asked))?);
        let watched = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(LOOK);
                watched.expire();
            }
        });
        Ok(store)
    }

    /// Where it listens; none if it does not.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Writes an item as the operator or a server does.
    pub fn put(&self, key: &str, value: &Value) {
        self.state().put(key, value.to_string().into_bytes(), 0);
        self.shared.1.notify_all();
    }

    /// Writes an item with any bytes, as another program may.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.state().put(key, value.to_vec(), 0);
        self.shared.1.notify_all();
    }

    /// The number of items of a page.
    ///
    /// # Panics
    /// Where it is 0.
    pub fn set_page_items(&self, items: usize) {
        assert!(items > 0, "pages without items");
        self.state().page_items = Some(items);
    }

    /// What is wrong with its lists.
    pub fn set_list_fault(&self, fault: ListFault) {
        self.state().list_fault = fault;
    }

    /// Sends bytes without end in place of answers, or answers again.
    pub fn set_flood(&self, flood: Option<Flood>) {
        self.state().flood = flood;
    }

    /// Adds headers to all its answers.
    pub fn set_extra_headers(&self, headers: &[(&str, &str)]) {
        self.state().extra_headers = super::http::owned(headers);
    }

    /// The keys after which pages of lists were asked for, as they were understood.
    #[must_use]
    pub fn asked_after(&self) -> Vec<String> {
        self.state().asked_after.clone()
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.state().remove(key);
        self.shared.1.notify_all();
    }

    /// Takes the service away or brings it back. Leases pause meanwhile.
    pub fn set_down(&self, down: bool) {
        self.state().down = down;
        self.shared.1.notify_all();
    }

    /// Makes a copy of the contents and drops copies older than `age`.
    pub fn copy(&self, age: Duration) {
        let mut state = self.state();
        state.copies.retain(|copy| copy.made.elapsed() <= age);
        let copy = Copy {
            made: Instant::now(),
            items: state.items.clone(),
            leases: state.leases.clone(),
            revision: state.revision,
        };
        state.copies.push_back(copy);
    }

    /// Comes back from the oldest copy, in a new era: what was written since is forgotten, and its revisions and
    /// the numbers of its leases are given out again. Leases have as long to live as they had at the copy. Without a
    /// copy nothing happens.
    pub fn restore(&self) {
        let mut state = self.state();
        let Some(copy) = state.copies.pop_front() else {
            return;
        };
        let age = copy.made.elapsed();
        state.copies.clear();
        state.era += 1;
        state.items = copy.items;
        state.leases = copy.leases;
        for (_, end) in state.leases.values_mut() {
            *end += age;
        }
        state.revision = copy.revision;
        state
            .history
            .retain(|(revision, _)| *revision <= copy.revision);
        drop(state);
        self.shared.1.notify_all();
    }

    /// The value of an item.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Value> {
        let state = self.state();
        serde_json::from_slice(&state.items.get(key)?.value).ok()
    }

    /// The keys that begin so.
    #[must_use]
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state();
        let keys = state.items.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A test that panicked with the lock held has failed already.
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn expire(&self) {
        let mut state = self.state();
        if state.down {
            for (_, end) in state.leases.values_mut() {
                *end += LOOK;
            }
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(l, _)| *l)
            .collect();
        for lease in &ended {
            state.end(*lease);
        }
        if !ended.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn answer(&self, asked: &Asked) -> Reply {
        if self.state().down {
            return Reply::Whole(503, self.headers(), Vec::new());
        }
        let flood = self.state().flood;
        if let Some(flood) = flood {
            return flood.reply(&self.headers());
        }
        let body: Value = serde_json::from_slice(&asked.body).unwrap_or_default();
        let (status, value) = match asked.path.as_str() {
            "/dahliastile/kv-range" => self.range(asked),
            "/dahliastile/kv-watch" => self.watch(asked),
            "/dahliastile/kv-txn" => self.txn(&body),
            "/dahliastile/kv-lease" => self.grant(&body),
            path if path.starts_with("/dahliastile/kv-keep/") => self.keep(number(path)),
            path if path.starts_with("/dahliastile/kv-lease-end/") => {
                self.state().end(number(path));
                (200, json!({}))
            }
            _ => (404, json!({})),
        };
        self.shared.1.notify_all();
        Reply::Whole(status, self.headers(), value.to_string().into_bytes())
    }

    fn headers(&self) -> Vec<(String, String)> {
        let state = self.state();
        let mut headers = state.extra_headers.clone();
        headers.push(("Content-Type".to_owned(), "application/json".to_owned()));
        headers.push((ERA.to_owned(), state.era.to_string()));
        headers
    }

    fn range(&self, asked: &Asked) -> (u16, Value) {
        let mut state = self.state();
        let text = |name: &str| asked.query.get(name).map_or("", String::as_str);
        let (prefix, after) = (text("prefix"), text("after"));
        if !after.is_empty() {
            state.asked_after.push(after.to_owned());
        }
        let first = match state.list_fault {
            ListFault::Repeats => "",
            _ => after,
        };
        let limit = match state.list_fault {
            ListFault::Empty if !after.is_empty() => 0,
            _ => state.page_items.unwrap_or(PAGE_ITEMS),
        };
        let keys = state.items.keys();
        let keys = keys.filter(|key| key.starts_with(prefix) && key.as_str() > first);
        let page: Vec<&String> = keys.take(limit + 1).collect();
        let mut items: Vec<Value> = page.iter().take(limit).map(|key| state.item(key)).collect();
        let mut has_more = page.len() > limit;
        match state.list_fault {
            ListFault::None => {}
            ListFault::Repeats | ListFault::Empty => has_more = true,
            ListFault::Endless => {
                if !has_more {
                    state.made_up += 1;
                    let key = format!("zz/{:020}", state.made_up);
                    let value = STANDARD.encode("{}");
                    items.push(
                        json!({"key": key, "value": value, "revision": 1, "createRevision": 1}),
                    );
                }
                has_more = true;
            }
        }
        (
            200,
            json!({"items": items, "morePages": has_more, "storeRevision": state.revision}),
        )
    }

    fn watch(&self, asked: &Asked) -> (u16, Value) {
        let field = |name: &str| {
            asked
                .query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = field("after").unwrap_or(0);
        let wait = Duration::from_millis(field("waitMs").unwrap_or(0));
        let state = self.state();
        let waits = |state: &mut State| !state.down && state.revision == after;
        let (state, _) = self
            .shared
            .1
            .wait_timeout_while(state, wait, waits)
            .unwrap_or_else(PoisonError::into_inner);
        if state.down {
            return (503, json!({}));
        }
        if after > state.revision {
            return (410, json!({}));
        }
        let changed = state
            .history
            .iter()
            .filter(|(revision, _)| *revision > after);
        let events: Vec<Value> = changed
            .map(|(revision, key)| state.event(key, *revision))
            .collect();
        (
            200,
            json!({"events": events, "storeRevision": state.revision}),
        )
    }

    fn txn(&self, body: &Value) -> (u16, Value) {
        let mut state = self.state();
        let rows = body["expected"].as_array().cloned().unwrap_or_default();
        let known = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let fits = rows
            .iter()
            .all(|row| known(&text(&row["key"])) == row["revision"].as_u64().unwrap_or(0));
        if !fits {
            let items: Vec<Value> = rows
                .iter()
                .map(|row| state.item(&text(&row["key"])))
                .collect();
            return (412, json!({"items": items}));
        }
        for put in body["puts"].as_array().cloned().unwrap_or_default() {
            let lease = put["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, json!({}));
            }
            let value = STANDARD.decode(text(&put["value"])).unwrap_or_default();
            state.put(&text(&put["key"]), value, lease);
        }
        for key in body["delete"].as_array().cloned().unwrap_or_default() {
            state.remove(&text(&key));
        }
        (200, json!({"revision": state.revision}))
    }

    fn grant(&self, body: &Value) -> (u16, Value) {
        let mut state = self.state();
        state.revision += 1;
        let lease = state.revision;
        let ttl = body["ttlMs"].as_u64().unwrap_or(1_000);
        let length = Duration::from_millis(ttl);
        state
            .leases
            .insert(lease, (length, Instant::now() + length));
        (200, json!({"lease": lease, "ttlMs": ttl}))
    }

    fn keep(&self, lease: u64) -> (u16, Value) {
        let mut state = self.state();
        match state.leases.get_mut(&lease) {
            Some((length, end)) => {
                *end = Instant::now() + *length;
                (
                    200,
                    json!({"ttlMs": u64::try_from(length.as_millis()).unwrap_or(0)}),
                )
            }
            None => (404, json!({})),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(
            key.to_owned(),
            Item {
                value,
                revision,
                created,
                lease,
            },
        );
        self.history.push((revision, key.to_owned()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned()));
        }
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let under = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = under.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn item(&self, key: &str) -> Value {
        self.items.get(key).map_or_else(
            || json!({"key": key, "revision": 0}),
            |item| {
                json!({
                    "key": key, "value": STANDARD.encode(&item.value), "revision": item.revision,
                    "createRevision": item.created, "lease": item.lease,
                })
            },
        )
    }

    fn event(&self, key: &str, revision: u64) -> Value {
        match self.items.get(key) {
            Some(_) => self.item(key),
            None => json!({"key": key, "revision": revision, "tombstone": true}),
        }
    }
}

/// The number that a path ends with.
fn number(path: &str) -> u64 {
    path.rsplit('/')
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}
