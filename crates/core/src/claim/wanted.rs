//! Claims that requests of this VM want, hold or give back. Each is asked for again until it is answered.

use std::collections::BTreeMap;

use crate::Node;
use crate::effect::Effects;
use crate::id::{self, Request};
use crate::peer::{Claim, Finding, Key, Message, Outcome, Step, Verdict};
use crate::time::{Instant, Span};
use crate::traffic;

use super::{home_of, masked, slot_of};

/// The time after which a claim is first asked for again.
const RESEND: Span = Span::from_millis(250);

/// The longest time after which it is.
const RESEND_MAX: Span = Span::from_secs(2);

/// The time after which a home that is leaving is asked again: by then another may be known.
const RESEND_MOVED: Span = Span::from_millis(50);

/// Where a claim stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// It is asked for.
    Asking,
    /// It is the request's.
    Held,
    /// The request is over, and the home is to know how.
    Closing(Step),
}

/// One claim.
#[derive(Clone, Debug)]
struct Want {
    /// The key.
    key: Key,
    /// The hash of what was asked.
    digest: u64,
    /// Where it stands.
    stage: Stage,
    /// Since when it has stood there.
    since: Instant,
    /// The home that was last asked.
    home: Option<id::Vm>,
    /// When it is asked again.
    next: Instant,
    /// The time until then.
    pause: Span,
}

/// The claims of this VM's requests.
#[derive(Debug, Default)]
pub(super) struct Wants {
    /// By request.
    rows: BTreeMap<Request, Want>,
}

impl Wants {
    /// Whether nothing is asked for, held or to be told.
    pub(super) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Puts a claim into a stage and has it sent at once.
    fn enter(&mut self, request: Request, stage: Stage, now: Instant) {
        if let Some(want) = self.rows.get_mut(&request) {
            want.stage = stage;
            want.since = now;
            want.next = now;
            want.pause = RESEND;
        }
    }
}

/// Asks for a claim.
pub(super) fn take(node: &mut Node, request: Request, key: Key, digest: u64, out: &mut Effects) {
    let now = node.now;
    let rows = &mut node.claims.wants.rows;
    let closing = rows.get(&request).map(|want| &want.stage);
    if matches!(closing, Some(Stage::Closing(_))) {
        debug_assert!(false, "{request} gave its claim back");
        return;
    }
    let want = Want {
        key,
        digest,
        stage: Stage::Asking,
        since: now,
        home: None,
        next: now,
        pause: RESEND,
    };
    rows.insert(request, want);
    send(node, request, out);
}

/// A request with a claim is over.
pub(super) fn release(
    node: &mut Node,
    request: Request,
    ending: Option<Outcome>,
    out: &mut Effects,
) {
    let now = node.now;
    let limit = usize::try_from(node.settings.tuning.claim_result_bytes).unwrap_or(usize::MAX);
    let step = match ending {
        None => Step::Free,
        Some(Outcome::Kept { body, .. }) if body.len() > limit => Step::Done(Outcome::Whole),
        Some(ending) => Step::Done(ending),
    };
    let stage = node.claims.wants.rows.get(&request).map(|want| &want.stage);
    match stage {
        // What was not claimed, or is known to be another's, has nothing to tell.
        None | Some(Stage::Closing(_)) => return,
        Some(Stage::Asking | Stage::Held) => {}
    }
    node.claims.wants.enter(request, Stage::Closing(step), now);
    send(node, request, out);
}

/// The home answered.
pub(super) fn verdict(node: &mut Node, from: &id::Vm, verdict: Verdict, out: &mut Effects) {
    let now = node.now;
    let request = masked(node, verdict.request);
    let wants = &mut node.claims.wants;
    let want = wants.rows.get_mut(&request);
    let Some(want) = want.filter(|want| want.key == verdict.key) else {
        disown(node, from, &verdict, out);
        return;
    };
    match (&want.stage, verdict.finding) {
        (Stage::Held, _) | (Stage::Closing(_), Finding::Granted | Finding::Down) => {}
        (_, Finding::NotHome) => want.next = want.next.min(now + RESEND_MOVED),
        (Stage::Closing(_), Finding::Taken(_) | Finding::Reused) => {
            wants.rows.remove(&request);
        }
        (Stage::Asking, Finding::Granted) => {
            wants.enter(request, Stage::Held, now);
            traffic::claimed(node, request, Finding::Granted, out);
        }
        (Stage::Asking, Finding::Down) => {
            // An earlier home may have written the claim nevertheless, so it is given back.
            wants.enter(request, Stage::Closing(Step::Free), now);
            if let Some(want) = wants.rows.get_mut(&request) {
                want.next = now + RESEND;
            }
            traffic::claimed(node, request, Finding::Down, out);
        }
        (Stage::Asking, finding) => {
            wants.rows.remove(&request);
            traffic::claimed(node, request, finding, out);
        }
    }
}

/// A claim was granted to a request that is over. It was told so before, or the log has its end.
fn disown(node: &mut Node, from: &id::Vm, verdict: &Verdict, out: &mut Effects) {
    if verdict.finding != Finding::Granted {
        return;
    }
    let claim = Claim {
        key: verdict.key,
        digest: 0,
        request: verdict.request,
        step: Step::Free,
    };
    node.send(from, Message::Claim(claim), out);
}

/// Time has passed.
pub(super) fn tick(node: &mut Node, moved: bool, out: &mut Effects) {
    let now = node.now;
    let keep = super::keep(node);
    let open = node.claims.wants.rows.iter();
    let open = open.filter(|(_, want)| want.stage != Stage::Held);
    let due = open.filter(|(_, want)| moved || want.next <= now);
    let due: Vec<Request> = due.map(|(request, _)| *request).collect();
    for request in due {
        let Some(want) = node.claims.wants.rows.get(&request) else {
            continue;
        };
        let closing = matches!(want.stage, Stage::Closing(_));
        let home = home_of(node, slot_of(node, &want.key));
        match () {
            // The key itself is forgotten by now.
            () if closing && now.since(want.since) >= keep => {
                node.claims.wants.rows.remove(&request);
            }
            () if moved && want.home.as_ref() == Some(&home) && want.next > now => {}
            () => send(node, request, out),
        }
    }
}

/// Sends a claim to its home, or, where that has long been silent, sees to it itself: any VM may write to any log.
fn send(node: &mut Node, request: Request, out: &mut Effects) {
    let now = node.now;
    let patience = Span::from_millis(node.settings.tuning.platform_timeout_ms).times(2);
    let Some(want) = node.claims.wants.rows.get(&request) else {
        return;
    };
    let own = &node.settings.vm;
    let silent = now.since(want.since) >= patience && want.home.as_ref() != Some(own);
    let home = match () {
        () if silent && !node.fleet.draining => own.clone(),
        () => home_of(node, slot_of(node, &want.key)),
    };
    let Some(want) = node.claims.wants.rows.get_mut(&request) else {
        return;
    };
    let step = match &want.stage {
        Stage::Asking => Step::Take,
        Stage::Closing(step) => step.clone(),
        Stage::Held => return,
    };
    want.home = Some(home.clone());
    want.next = now + want.pause;
    want.pause = want.pause.times(2).min(RESEND_MAX);
    let (key, digest) = (want.key, want.digest);
    let claim = Claim {
        key,
        digest,
        request: masked(node, request),
        step,
    };
    node.send(&home, Message::Claim(claim), out);
}

/// Adds what is broken.
pub(super) fn verify(node: &Node, broken: &mut Vec<String>) {
    for (request, want) in &node.claims.wants.rows {
        let late = node.now.since(want.next) > RESEND_MAX.times(2);
        if want.stage != Stage::Held && late && node.now.since(node.claims.ticked) < RESEND {
            broken.push(format!("claims: {request} is not asked for again"));
        }
    }
}
