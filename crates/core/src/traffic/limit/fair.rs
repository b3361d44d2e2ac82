//! Fair shares of callers: who is served next, and who has to go when a queue is full.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use crate::entity::Caller;
use crate::id::Request;

/// Start-time fair queueing: each request gets a tag, and smaller tags are served first. A caller's tags grow by
/// the cost of its requests over its weight, so a caller that asks much waits behind its own requests and not
/// others behind them.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    /// The tag of the request that was served last.
    now: u64,
    /// Where the next request of each caller starts.
    next: BTreeMap<Caller, u64>,
}

/// Tag units that one unit of cost takes at weight one.
const SCALE: u64 = 1_000;

impl Clock {
    /// The tag that a caller's next request will get.
    #[must_use]
    pub fn start(&self, caller: Caller) -> u64 {
        let next = self.next.get(&caller).copied().unwrap_or(0);
        self.now.max(next)
    }

    /// The tag of a request that arrives.
    pub fn tag(&mut self, caller: Caller, weight: u32, cost: u32) -> u64 {
        let start = self.start(caller);
        let length = u64::from(cost.max(1)) * SCALE / u64::from(weight.max(1));
        self.next.insert(caller, start + length.max(1));
        start
    }

    /// A request with this tag is served.
    pub fn served(&mut self, tag: u64) {
        self.now = self.now.max(tag);
    }
}

/// What one caller has waiting at one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Row {
    /// The caller's weight.
    weight: u32,
    /// How many requests.
    count: u64,
}

/// The waiting requests of one service by priority and caller.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// What each caller has waiting at each priority.
    rows: BTreeMap<(i32, Caller), Row>,
    /// The requests; later ones of a caller have higher numbers.
    requests: BTreeSet<(i32, Caller, Request)>,
}

impl Shares {
    /// A request begins to wait.
    pub fn add(&mut self, priority: i32, caller: Caller, weight: u32, request: Request) {
        if self.requests.insert((priority, caller, request)) {
            let row = self.rows.entry((priority, caller)).or_default();
            row.weight = weight;
            row.count += 1;
        }
    }

    /// A request waits no more.
    pub fn remove(&mut self, priority: i32, caller: Caller, request: Request) {
        let key = (priority, caller);
        let removed = self.requests.remove(&(priority, caller, request));
        match self.rows.get_mut(&key) {
            Some(row) if removed && row.count > 1 => row.count -= 1,
            Some(_) if removed => drop(self.rows.remove(&key)),
            Some(_) | None => {}
        }
    }

    /// How many wait.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.requests.len()).unwrap_or(u32::MAX)
    }

    /// Which waiting request has to go so that one more can wait; none where the new one itself is the one that
    /// would have to go. It is the newest of the caller that is most over its share at the lowest priority.
    #[must_use]
    pub fn victim(&self, priority: i32, caller: Caller, weight: u32) -> Option<Request> {
        let ((worst, _), _) = self.rows.last_key_value()?;
        if priority > *worst {
            return None;
        }
        let own = (priority == *worst).then_some(caller);
        let others = self.rows.range((*worst, Caller::from_u32(0))..);
        let others = others.filter(|((_, other), _)| own != Some(*other));
        let ((_, who), most) = others.max_by_key(|(_, row)| row.excess(0))?;
        let mine = own.map(|caller| match self.rows.get(&(*worst, caller)) {
            Some(row) => row.excess(1),
            None => Excess::new(1, weight),
        });
        // On equal terms the new request goes: it is the newest.
        match mine {
            Some(mine) if mine >= most.excess(0) => None,
            _ => self.newest(*worst, *who),
        }
    }

    fn newest(&self, priority: i32, caller: Caller) -> Option<Request> {
        let least = (priority, caller, Request(0));
        let most = (priority, caller, Request(u64::MAX));
        let mut own = self.requests.range(least..=most);
        own.next_back().map(|(_, _, request)| *request)
    }
}

impl Row {
    fn excess(&self, more: u64) -> Excess {
        Excess::new(self.count + more, self.weight)
    }
}

/// How far a caller is over its share: what it has waiting over its weight.
struct Excess {
    waiting: u64,
    weight: u64,
}

impl Excess {
    fn new(waiting: u64, weight: u32) -> Self {
        Self {
            waiting,
            weight: u64::from(weight.max(1)),
        }
    }
}

impl Ord for Excess {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.waiting * other.weight).cmp(&(other.waiting * self.weight))
    }
}

impl PartialOrd for Excess {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Excess {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Excess {}
