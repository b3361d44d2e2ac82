//! The platform's key-value service.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Channel};
use crate::json::{self, Value};

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change as it is told to watches, with its revision.
    history: Vec<(u64, String)>,
    /// The end and the length of each lease.
    leases: BTreeMap<u64, (Instant, u64)>,
    last_lease: u64,
}

/// The service; clones are the same one.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn row(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createRevision\":{},\"lease\":{}}}",
        json::quoted(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.history.push((revision, row(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let text = format!(
                "{{\"key\":{},\"revision\":{},\"tombstone\":true}}",
                json::quoted(key),
                self.revision
            );
            self.history.push((self.revision, text));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn transact(&mut self, body: &Value) -> (u16, String) {
        let expected = body.list("expected");
        let known = |row: &Value| self.items.get(&row.text("key"));
        let is_met =
            |row: &Value| known(row).map_or(0, |item| item.revision) == row.number("revision");
        if !expected.iter().all(is_met) {
            let items = expected
                .iter()
                .filter_map(|r| Some(row(&r.text("key"), known(r)?)));
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.list("puts");
        if puts
            .iter()
            .any(|put| put.number("lease") > 0 && !self.leases.contains_key(&put.number("lease")))
        {
            return (404, "{}".to_owned());
        }
        for put in puts {
            self.put(&put.text("key"), put.text("value"), put.number("lease"));
        }
        for key in body.list("delete") {
            if let Value::Text(key) = key {
                self.remove(&key);
            }
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

impl Store {
    pub fn start(ip: IpAddr) -> io::Result<Self> {
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        shared.0.lock().unwrap().revision = 10;
        let served = shared.clone();
        let address = http::serve(ip, move |channel| serve(&served, channel))?;
        let store = Self { shared, address };
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.change(|state| {
                    let now = Instant::now();
                    let ended = state.leases.iter().filter(|(_, (end, _))| *end < now);
                    let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
                    ended.into_iter().for_each(|lease| state.end_lease(lease));
                });
            }
        });
        Ok(store)
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let (state, changed) = &*self.shared;
        let result = change(&mut state.lock().unwrap());
        changed.notify_all();
        result
    }

    /// Writes an item as the operator or a server.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.put(key, json::base64(value.as_bytes()), 0));
    }

    pub fn remove(&self, key: &str) {
        self.change(|state| state.remove(key));
    }
}

fn serve(shared: &(Mutex<State>, Condvar), mut channel: Channel) -> io::Result<()> {
    while let Some(request) = channel.read()? {
        let target = request.first.get(1).cloned().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            let value = fields
                .find(|(other, _)| *other == name)
                .map(|(_, value)| value);
            value.unwrap_or("").replace("%2F", "/").replace("%2f", "/")
        };
        let body = Value::parse(&request.body).unwrap_or(Value::Null);
        let (state, changed) = shared;
        let mut state = state.lock().unwrap();
        let path = path.trim_start_matches("/dahliastile/");
        let (status, text) = match path.split_once('/').unwrap_or((path, "")) {
            ("kv-range", _) => {
                let (prefix, after) = (field("prefix"), field("after"));
                let items = state.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| row(key, item)).collect();
                let text = format!(
                    "{{\"items\":[{}],\"morePages\":false,\"storeRevision\":{}}}",
                    items.join(","),
                    state.revision
                );
                (200, text)
            }
            ("kv-watch", _) => {
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                while state.revision <= after && Instant::now() < until {
                    let left = until - Instant::now();
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
                let events = state
                    .history
                    .iter()
                    .filter(|(revision, _)| *revision > after);
                let events: Vec<&str> = events.map(|(_, text)| text.as_str()).collect();
                let text = format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
                (200, text)
            }
            ("kv-txn", _) => state.transact(&body),
            ("kv-lease", _) => {
                state.last_lease += 1;
                let (lease, ttl) = (state.last_lease, body.number("ttlMs"));
                state
                    .leases
                    .insert(lease, (Instant::now() + Duration::from_millis(ttl), ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            ("kv-keep", lease) => match lease
                .parse()
                .ok()
                .and_then(|lease| state.leases.get_mut(&lease))
            {
                Some((end, ttl)) => {
                    *end = Instant::now() + Duration::from_millis(*ttl);
                    (200, format!("{{\"ttlMs\":{ttl}}}"))
                }
                None => (404, "{}".to_owned()),
            },
            ("kv-lease-end", lease) => {
                state.end_lease(lease.parse().unwrap_or(0));
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        drop(state);
        changed.notify_all();
        let kind = [("Content-Type", "application/json")];
        channel.write(&http::answer(status, &kind, text.as_bytes()))?;
    }
    Ok(())
}
