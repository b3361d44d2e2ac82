//! A request arrives: who asks, for what, which rule decides, and whether it is taken in.

use std::cmp::Reverse;

use super::dispatch;
use super::limit::{self, Asked};
use super::queue::{self, Key, Place};
use super::table::{Claim, Decision, RequestRow, Stage};
use super::trail::{Note, Notes};
use crate::Node;
use crate::config::rules::Subject;
use crate::config::{ServiceKind, Then};
use crate::effect::{Effect, Effects};
use crate::entity::{Adapter, Caller, Rule, Service};
use crate::error::{Answer, Kind};
use crate::event::{Call, Target};
use crate::id::{self, Request, Ticket};
use crate::operator::{Decided, Reply};
use crate::time::{Instant, Span};
use crate::{domain, sync};

/// A caller, service and adapter that a call names, all in the configuration in force.
struct Named {
    caller: Caller,
    service: Service,
    adapter: Option<Adapter>,
}

/// A caller's request arrived.
pub(crate) fn arrived(node: &mut Node, request: Request, call: Box<Call>, out: &mut Effects) {
    debug_assert!(
        !node.traffic.requests.contains_key(&request),
        "{request} came twice"
    );
    match admit(node, request, call, out) {
        Ok(row) => enqueue(node, request, row, out),
        Err(answer) => super::end::turn_away(node, request, answer, out),
    }
}

fn admit(
    node: &mut Node,
    request: Request,
    call: Box<Call>,
    out: &mut Effects,
) -> Result<RequestRow, Answer> {
    if node.fleet.draining {
        return Err(Answer::shutting_down("this VM is shutting down"));
    }
    if !sync::ready(node) {
        let answer = Answer::new(Kind::NotReady, "this VM has no configuration yet");
        return Err(answer.after(Span::from_secs(1)));
    }
    let named = name(node, &call)?;
    let rule = node.rules.find(&subject(node, &call, &named));
    let decision = decide(node, rule);
    let then = rule.map(|rule| node.rules.then(rule));
    if let Some(reason) = then.and_then(|then| then.refuse.as_deref()) {
        return Err(Answer::new(Kind::RefusedByRule, reason));
    }
    let timeout = timeout(node, &call, then, named.service)?;
    let non_idempotent = then
        .and_then(|then| then.non_idempotent)
        .unwrap_or(node.catalog.services.get(named.service).non_idempotent);
    let asked = Asked {
        caller: named.caller,
        service: named.service,
        adapter: named.adapter,
        rule,
        priority: decision.priority,
        timeout,
    };
    limit::admit(node, &asked, out)?;
    let idempotent = !(non_idempotent || call.non_idempotent);
    let place = Place {
        priority: decision.priority,
        tag: limit::tag(node, named.caller, call.max_tokens),
        arrived: node.now,
        request,
        deadline: node.now + timeout,
        weight: node.catalog.callers.get(named.caller).weight,
    };
    let needs_claim = !idempotent && call.key.is_some();
    let row = RequestRow {
        caller: named.caller,
        service: named.service,
        adapter: named.adapter,
        key: named
            .adapter
            .map_or(Key::Service(named.service), Key::Adapter),
        place,
        decision,
        arrived: node.now,
        deadline: place.deadline,
        idempotent,
        claim: if needs_claim {
            Claim::Wanted
        } else {
            Claim::Unneeded
        },
        stage: Stage::Waiting,
        sent: None,
        tries: 0,
        failed_on: smallvec::SmallVec::new(),
        barred_until: Instant::default(),
        maybe_ran: false,
        cold: false,
        begun: false,
        tokens: 0,
        last_token: None,
        kept: needs_claim.then(Default::default),
        notes: Notes::default(),
        call,
    };
    Ok(row)
}

fn enqueue(node: &mut Node, request: Request, mut row: RequestRow, out: &mut Effects) {
    let candidates = row.adapter.map_or_else(
        || node.catalog.services.get(row.service).servers.len(),
        |adapter| node.domains.usable(adapter).len(),
    );
    row.cold = candidates == 0;
    row.notes.add(Span::ZERO, Note::Queued { candidates });
    let (adapter, cold, held_until) = (row.adapter, row.cold, row.held_until());
    let wish = row.decision.wish();
    node.traffic.deadlines.push(row.deadline, request);
    node.traffic.requests.insert(request, row);
    if cold || !dispatch::at_once(node, request, out) {
        queue::push(node, request);
    }
    if let Some(adapter) = adapter {
        if held_until > node.now {
            node.traffic.holds.push(Reverse((held_until, adapter)));
        } else {
            domain::arrived(node, adapter, wish, cold, out);
        }
    }
}

fn name(node: &Node, call: &Call) -> Result<Named, Answer> {
    let caller = node.catalog.callers.find(call.caller.as_str());
    let caller = caller.filter(|caller| node.catalog.callers.get(*caller).listed);
    let Some(caller) = caller else {
        return Err(Answer::new(Kind::Unauthorized, "no such caller"));
    };
    let (service, adapter) = match &call.target {
        Target::Model(text) => {
            let adapter = adapter(node, text)?;
            (node.catalog.adapters.get(adapter).service, Some(adapter))
        }
        Target::Service(text) => (plain(node, text)?, None),
    };
    Ok(Named {
        caller,
        service,
        adapter,
    })
}

fn adapter(node: &Node, text: &str) -> Result<Adapter, Answer> {
    let found = node.catalog.adapters.find(text);
    match found.filter(|adapter| node.catalog.adapters.get(*adapter).listed) {
        Some(adapter) => Ok(adapter),
        None => Err(unknown(node, text)),
    }
}

fn unknown(node: &Node, text: &str) -> Answer {
    match text.parse::<id::Adapter>() {
        Ok(adapter) if node.catalog.names.contains_key(adapter.name()) => Answer::new(
            Kind::UnknownVersion,
            format!("{} has no version {}", adapter.name(), adapter.version()),
        ),
        Ok(adapter) => Answer::new(
            Kind::UnknownAdapter,
            format!("there is no adapter {}", adapter.name()),
        ),
        Err(id::Malformed::MissingVersion) => Answer::new(
            Kind::MissingVersion,
            "name the model as <adapter>@<version>",
        ),
        Err(malformed) => Answer::new(Kind::UnknownAdapter, malformed.to_string()),
    }
}

fn plain(node: &Node, text: &str) -> Result<Service, Answer> {
    let found = node.catalog.services.find(text).filter(|service| {
        let row = node.catalog.services.get(*service);
        row.listed && row.kind == ServiceKind::Plain
    });
    found.ok_or_else(|| Answer::new(Kind::NotFound, format!("there is no plain service {text}")))
}

fn subject<'a>(node: &'a Node, call: &'a Call, named: &Named) -> Subject<'a> {
    let caller = node.catalog.callers.get(named.caller);
    let adapter = named
        .adapter
        .map(|adapter| &node.catalog.adapters.get(adapter).name);
    Subject {
        caller: caller.name.as_str(),
        tenant: caller.tenant.as_str(),
        class: caller.class.as_str(),
        adapter: adapter.map_or("", |name| name.name()),
        version: adapter.map_or("", |name| name.version()),
        service: node.catalog.services.get(named.service).name.as_str(),
        zone: call.zone.as_ref().map_or("", |zone| zone.as_str()),
        headers: &call.headers,
    }
}

fn decide(node: &Node, rule: Option<Rule>) -> Decision {
    let Some(rule) = rule.map(|rule| node.rules.rule(rule)) else {
        return Decision::default();
    };
    let zone =
        |name: &Option<id::Zone>| name.as_ref().and_then(|name| node.catalog.zones.find(name));
    let servers = |names: &[id::Server]| {
        names
            .iter()
            .filter_map(|name| node.catalog.servers.find(name))
            .collect()
    };
    Decision {
        rule: Some(rule.name.clone()),
        prefer: zone(&rule.then.prefer_zone),
        require: zone(&rule.then.require_zone),
        pin: servers(&rule.then.pin),
        avoid: servers(&rule.then.avoid),
        priority: rule.then.priority.unwrap_or(0),
        hold: Span::from_millis(rule.then.hold_ms.unwrap_or(0)),
    }
}

fn timeout(
    node: &Node,
    call: &Call,
    then: Option<&Then>,
    service: Service,
) -> Result<Span, Answer> {
    let most = Span::from_millis(node.settings.tuning.deadline_max_ms);
    let rule = then
        .and_then(|then| then.deadline_ms)
        .map_or(most, Span::from_millis);
    let wanted = call
        .timeout
        .unwrap_or(node.catalog.services.get(service).timeout);
    match wanted.min(rule).min(most) {
        Span::ZERO => Err(Answer::new(
            Kind::DeadlinePast,
            "the timeout is already over",
        )),
        timeout => Ok(timeout),
    }
}

/// An operator wants to know which rule decides a request.
pub(crate) fn test(node: &mut Node, ticket: Ticket, call: &Call, out: &mut Effects) {
    let named = match name(node, call) {
        Ok(named) => named,
        Err(answer) => {
            out.push(Effect::Reply {
                ticket,
                reply: Reply::Failed(answer),
            });
            return;
        }
    };
    let subject = subject(node, call, &named);
    let found = node.rules.find(&subject);
    let decided = Decided {
        rule: found.map(|rule| node.rules.rule(rule).clone()),
        position: found.map(|rule| rule.as_u32() + 1),
        reasons: node.rules.explain(&subject),
        warnings: node.rules.unreachable(),
    };
    out.push(Effect::Reply {
        ticket,
        reply: Reply::Test(Box::new(decided)),
    });
}
