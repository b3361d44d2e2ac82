//! Limits on what is taken in, and who goes when there is too much.
//!
//! The files below this one hold pure tables; this one asks them in turn. What is refused is refused at once.

pub(crate) mod bucket;
pub(crate) mod budget;
pub(crate) mod fair;
pub(crate) mod pace;

use std::collections::BTreeMap;

use super::end;
use super::queue::{Key, Place};
use crate::Node;
use crate::effect::Effects;
use crate::entity::{Adapter, Caller, Rule, Service};
use crate::error::{Answer, Kind};
use crate::id;
use crate::time::Span;

use bucket::Bucket;
use budget::Budget;
use fair::{Clock, Shares};

/// What is counted against limits.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Rate limits of callers.
    callers: BTreeMap<Caller, Bucket>,
    /// Rate limits of rules, by name: positions move with each edit.
    rules: BTreeMap<id::Rule, Bucket>,
    /// Retry budgets.
    budgets: BTreeMap<Service, Budget>,
    /// Who waits.
    pub(super) shares: BTreeMap<Service, Shares>,
    /// Who is served next.
    clock: Clock,
}

/// A request that asks to be taken in.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    /// The caller.
    pub(crate) caller: Caller,
    /// The service.
    pub(crate) service: Service,
    /// The adapter, or none for a plain service.
    pub(crate) adapter: Option<Adapter>,
    /// The rule that decides.
    pub(crate) rule: Option<Rule>,
    /// The priority.
    pub(crate) priority: i32,
    /// How long the caller waits.
    pub(crate) timeout: Span,
}

/// How long a caller does well to stay away when a queue is full.
const FULL: Span = Span::from_millis(500);

/// Says whether one more request may be taken in; where the queue is full, another may have to go for it.
pub(crate) fn admit(node: &mut Node, asked: &Asked, out: &mut Effects) -> Result<(), Answer> {
    resident_in_time(node, asked)?;
    served_in_time(node, asked)?;
    within_rates(node, asked)?;
    make_room(node, asked, out)?;
    take_tokens(node, asked);
    Ok(())
}

/// A request's tag in fair queueing.
pub(crate) fn tag(node: &mut Node, caller: Caller, tokens: u32) -> u64 {
    let weight = node.catalog.callers.get(caller).weight;
    node.traffic.limits.clock.tag(caller, weight, tokens)
}

/// A request is on its way to a server.
pub(crate) fn served(node: &mut Node, place: &Place) {
    node.traffic.limits.clock.served(place.tag);
}

/// A first attempt is sent: it earns the service a part of a retry.
pub(crate) fn attempted(node: &mut Node, service: Service) {
    let percent = node.settings.tuning.retry_percent;
    budget(node, service).earn(percent);
}

/// Says whether one more retry is within the service's budget, and takes it.
pub(crate) fn retry(node: &mut Node, service: Service) -> bool {
    let now = node.now;
    budget(node, service).spend(now)
}

fn budget(node: &mut Node, service: Service) -> &mut Budget {
    let now = node.now;
    let budgets = &mut node.traffic.limits.budgets;
    budgets.entry(service).or_insert_with(|| Budget::new(now))
}

/// Refuses what can't be resident before its deadline, where the domain's holder has said so.
fn resident_in_time(node: &Node, asked: &Asked) -> Result<(), Answer> {
    let cold = |adapter: &Adapter| node.domains.usable(*adapter).is_empty();
    let cold = asked.adapter.filter(cold);
    match cold.and_then(|adapter| node.domains.expected(adapter)) {
        Some(wait) if wait > asked.timeout => {
            let detail = "the adapter can't be loaded before the deadline";
            Err(Answer::new(Kind::NotResident, detail).after(wait))
        }
        Some(_) | None => Ok(()),
    }
}

/// Refuses what would still wait at its deadline, by the pace of its queue.
fn served_in_time(node: &Node, asked: &Asked) -> Result<(), Answer> {
    let key = asked
        .adapter
        .map_or(Key::Service(asked.service), Key::Adapter);
    let queues = &node.traffic.queues;
    let tag = node.traffic.limits.clock.start(asked.caller);
    let ahead = queues.ahead(key, asked.priority, tag);
    match queues.wait(key, node.now, ahead) {
        Some(wait) if wait > asked.timeout => {
            let detail = format!("{ahead} requests wait before this one, about {wait}");
            Err(Answer::new(Kind::Overloaded, detail).after(wait - asked.timeout))
        }
        Some(_) | None => Ok(()),
    }
}

fn within_rates(node: &Node, asked: &Asked) -> Result<(), Answer> {
    let limits = &node.traffic.limits;
    let full = Bucket::new(node.now);
    let caller = node.catalog.callers.get(asked.caller);
    if let Some(rate) = caller.rate {
        let bucket = limits.callers.get(&asked.caller).unwrap_or(&full);
        over_rate(bucket.wait(node.now, rate), "the caller's")?;
    }
    let rule = asked.rule.map(|rule| node.rules.rule(rule));
    if let Some((rule, rate)) = rule.and_then(|rule| Some((rule, rule.then.rate?))) {
        let bucket = limits.rules.get(&rule.name).unwrap_or(&full);
        over_rate(bucket.wait(node.now, rate), "the rule's")?;
    }
    Ok(())
}

fn over_rate(wait: Span, whose: &str) -> Result<(), Answer> {
    match wait {
        Span::ZERO => Ok(()),
        wait => {
            let detail = format!("over {whose} rate on this VM");
            Err(Answer::new(Kind::RateLimited, detail).after(wait))
        }
    }
}

fn take_tokens(node: &mut Node, asked: &Asked) {
    let now = node.now;
    let limits = &mut node.traffic.limits;
    let full = || Bucket::new(now);
    if let Some(rate) = node.catalog.callers.get(asked.caller).rate {
        let bucket = limits.callers.entry(asked.caller).or_insert_with(full);
        bucket.take(now, rate);
    }
    let rule = asked.rule.map(|rule| node.rules.rule(rule));
    if let Some((rule, rate)) = rule.and_then(|rule| Some((rule, rule.then.rate?))) {
        let bucket = limits.rules.entry(rule.name.clone()).or_insert_with(full);
        bucket.take(now, rate);
    }
}

/// Makes room in a full queue: the lowest priority goes first, then the caller most over its share.
fn make_room(node: &mut Node, asked: &Asked, out: &mut Effects) -> Result<(), Answer> {
    let limits = &node.traffic.limits;
    let waiting = |service| limits.shares.get(&service).map_or(0, Shares::count);
    let queue = node.catalog.services.get(asked.service).queue;
    let full = if waiting(asked.service) >= queue {
        Some(asked.service)
    } else if node.traffic.queues.len() as u64 >= node.settings.tuning.queue {
        // The VM is full: the service that has most waiting gives way.
        let shares = limits.shares.iter();
        shares
            .max_by_key(|(_, shares)| shares.count())
            .map(|s| *s.0)
    } else {
        return Ok(());
    };
    let weight = node.catalog.callers.get(asked.caller).weight;
    let shares = full.and_then(|service| limits.shares.get(&service));
    match shares.and_then(|shares| shares.victim(asked.priority, asked.caller, weight)) {
        Some(victim) => {
            end::shed(node, victim, queue_full(), out);
            Ok(())
        }
        None => Err(queue_full()),
    }
}

fn queue_full() -> Answer {
    let detail = "the queue is full and others are less over their share or come first";
    Answer::new(Kind::QueueFull, detail).after(FULL)
}
