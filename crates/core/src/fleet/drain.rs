//! How this VM leaves: nothing in progress is cut before its time, and everything held is handed over.

use crate::Node;
use crate::effect::{Effect, Effects};
use crate::log::{Code, Record};
use crate::time::{Instant, Span};
use crate::{claim, domain, traffic};

use super::gossip;

/// How long handing over may take once nothing is in progress any more.
const HAND_OVER: Span = Span::from_secs(10);

/// How long handing over may take after requests were cut.
const CUT_GRACE: Span = Span::from_secs(1);

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    /// When requests in progress are cut, or, once they are, when the VM stops whatever is left.
    deadline: Instant,
    /// Whether requests in progress were cut.
    cut: bool,
    /// When the last request in progress ended.
    idle: Option<Instant>,
    /// Whether the VM has stopped.
    stopped: bool,
}

/// Begins a shutdown, or speeds one up.
pub(super) fn begin(node: &mut Node, at_once: bool, out: &mut Effects) {
    let now = node.now;
    if node.fleet.drain.is_none() {
        let patience = Span::from_millis(node.settings.tuning.drain_ms);
        node.fleet.draining = true;
        node.fleet.drain = Some(Drain {
            deadline: now + patience,
            cut: false,
            idle: None,
            stopped: false,
        });
        node.fleet.refresh();
        out.push(Effect::Log(Record::new(Code::Draining, "")));
        gossip::round(node, out);
    }
    if at_once {
        cut(node, "told to stop at once", out);
    }
    pass(node, out);
}

/// Goes on with a shutdown.
pub(super) fn pass(node: &mut Node, out: &mut Effects) {
    let Some(drain) = node.fleet.drain.filter(|drain| !drain.stopped) else {
        return;
    };
    let handed = domain::hand_over(node, out);
    match idle_since(node) {
        Some(_) if handed && claim::drained(node) => stop(node, out),
        Some(idle) if node.now >= idle + HAND_OVER => stop(node, out),
        _ if node.now < drain.deadline => {}
        _ if drain.cut => stop(node, out),
        _ => cut(node, "requests outlasted drain_ms", out),
    }
}

/// Since when no request has been in progress.
fn idle_since(node: &mut Node) -> Option<Instant> {
    let idle = traffic::idle(node);
    let now = node.now;
    let drain = node.fleet.drain.as_mut()?;
    drain.idle = idle.then(|| drain.idle.unwrap_or(now));
    drain.idle
}

fn cut(node: &mut Node, why: &str, out: &mut Effects) {
    let now = node.now;
    let Some(drain) = node.fleet.drain.as_mut().filter(|drain| !drain.cut) else {
        return;
    };
    drain.cut = true;
    drain.deadline = now + CUT_GRACE;
    out.push(Effect::Log(Record::new(Code::Cutting, why)));
    traffic::cut(node, out);
}

fn stop(node: &mut Node, out: &mut Effects) {
    if let Some(drain) = node.fleet.drain.as_mut() {
        drain.stopped = true;
    }
    gossip::round(node, out);
    out.push(Effect::Log(Record::new(Code::Stopped, "")));
    out.push(Effect::Stopped);
}
