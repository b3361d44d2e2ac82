//! What was seen, in words.

use std::time::Duration;

use dahliastile_core::operator::{Command, Reply};

use super::board::{Done, Ending};
use crate::client::Client;
use crate::render;

/// Prints what was done with a request, where a VM that is left still knows it.
pub(super) fn explain(client: &Client, request: &str) {
    let request = request.to_owned();
    if let Ok(Reply::Explain(trail)) = client.ask(&Command::Explain { request }) {
        eprintln!("{}", render::trail(&trail));
    }
}

/// What three VMs answered, in one line.
pub(super) fn said(endings: &[Ending]) -> String {
    let word = |ending: &Ending| match ending {
        Ending::Whole => "whole".to_owned(),
        Ending::Refused { kind, ran, .. } => format!("{kind} (ran: {ran})"),
        Ending::Unreached => "nothing listened".to_owned(),
        Ending::Broken(reason) => reason.clone(),
    };
    endings.iter().map(word).collect::<Vec<_>>().join(", ")
}

/// One request and how it ended.
pub(super) fn described(done: &Done) -> String {
    format!(
        "{} on VM {} ({:?}): {:?}",
        done.subject,
        done.vm + 1,
        done.phase,
        done.ending
    )
}

/// How long something took.
pub(super) fn spelled(took: Option<Duration>) -> String {
    took.map_or("not in time".to_owned(), |took| {
        format!("{} ms", took.as_millis())
    })
}

/// The number of what was found, and the first few.
pub(super) fn shortened(found: &[String]) -> String {
    const SHOWN: usize = 3;
    match found.len() {
        0 => "0".to_owned(),
        count => format!("{count}, such as {}", found[..count.min(SHOWN)].join("; ")),
    }
}
