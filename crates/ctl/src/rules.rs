//! The commands on rules.

use dahliastile_core::config::Change;
use dahliastile_core::event::{Call, Target};
use dahliastile_core::id::Edition;
use dahliastile_core::operator::{Command, Reply};
use serde_json::json;

use crate::args::{Insert, Move, RulesCommand, parse, place};
use crate::client::Accepted;
use crate::diff::script;
use crate::error::{Error, Result};
use crate::output::Output;
use crate::revert::{around, opposite};
use crate::session::Session;
use crate::{edit, file, render};

/// The most edits that are read to take one back.
const MOST_EDITS: u32 = 100_000;

/// Carries out a command on rules.
pub(crate) fn run(session: &mut Session, command: &RulesCommand) -> Result<Output> {
    match command {
        RulesCommand::List(_) => list(session),
        RulesCommand::Get(named) => get(session, &named.rule),
        RulesCommand::Insert(options) => insert(session, options),
        RulesCommand::Move(options) => shift(session, options),
        RulesCommand::Replace(options) => {
            let rules = file::rules(&options.file)?;
            let changes = rules.into_iter().map(|rule| Change::ReplaceRule { rule });
            send(session, options.base, changes.collect())
        }
        RulesCommand::Remove(named) => {
            let name = parse(&named.rule)?;
            send(session, named.base, vec![Change::RemoveRule { name }])
        }
        RulesCommand::Apply(options) => apply(session, &options.file, options.base),
        RulesCommand::Diff(options) => diff(session, &options.file),
        RulesCommand::History(options) => {
            let entries = session.client.history(options.limit)?;
            Ok(Output::new(render::history(&entries), &entries))
        }
        RulesCommand::Test(options) => test(session, &options.request),
        RulesCommand::Revert(options) => revert(session, Edition(options.edition)),
    }
}

fn list(session: &Session) -> Result<Output> {
    let (edition, document) = session.client.show()?;
    let text = format!("edition {}\n{}", edition.0, render::rules(&document.rules));
    Ok(Output::new(
        text,
        &json!({"edition": edition, "rules": document.rules}),
    ))
}

fn get(session: &Session, name: &str) -> Result<Output> {
    let (_, document) = session.client.show()?;
    let found = document
        .rules
        .iter()
        .find(|rule| rule.name.as_str() == name);
    let rule = found.ok_or_else(|| Error::Missing(format!("there is no rule {name}")))?;
    let text = serde_saphyr::to_string(rule).map_err(|error| Error::Usage(error.to_string()))?;
    Ok(Output::new(text.trim_end(), rule))
}

fn insert(session: &mut Session, options: &Insert) -> Result<Output> {
    let (before, after) = (options.before.as_deref(), options.after.as_deref());
    let mut place = place(before, after, options.first, options.last)?;
    let mut changes = Vec::new();
    for rule in file::rules(&options.file)? {
        let next = dahliastile_core::config::Place::After(rule.name.clone());
        changes.push(Change::InsertRule { rule, place });
        place = next;
    }
    send(session, options.base, changes)
}

fn shift(session: &mut Session, options: &Move) -> Result<Output> {
    let (before, after) = (options.before.as_deref(), options.after.as_deref());
    let place = place(before, after, options.first, options.last)?;
    let name = parse(&options.name)?;
    send(
        session,
        options.base,
        vec![Change::MoveRule { name, place }],
    )
}

fn apply(session: &mut Session, path: &str, base: Option<u64>) -> Result<Output> {
    let rules = file::rules(path)?;
    let (edition, document) = session.client.show()?;
    match base {
        // The list as it was is not at hand, so the daemon merges the whole list.
        Some(base) if base != edition.0 => {
            send(session, Some(base), vec![Change::SetRules { rules }])
        }
        _ => send(session, Some(edition.0), script(&document.rules, &rules)),
    }
}

fn diff(session: &Session, path: &str) -> Result<Output> {
    let rules = file::rules(path)?;
    let (edition, document) = session.client.show()?;
    let changes = script(&document.rules, &rules);
    let text = render::changes(&changes, &document.rules);
    Ok(Output::new(
        text,
        &json!({"edition": edition, "changes": changes}),
    ))
}

fn test(session: &Session, words: &[String]) -> Result<Output> {
    let command = Command::Test(Box::new(call(words)?));
    match session.client.ask(&command)? {
        Reply::Test(decided) => Ok(Output::new(render::decided(&decided), &decided)),
        other => Err(session.client.strange(&other)),
    }
}

fn revert(session: &mut Session, edition: Edition) -> Result<Output> {
    let entries = session.client.history(MOST_EDITS)?;
    let (before, after) = around(&entries, edition)?;
    let (now, document) = session.client.show()?;
    let changes = opposite((&before, &after), (now, &document.rules))?;
    send(session, Some(now.0), changes)
}

/// Sends changes on the edition given, or else on the one in force.
fn send(session: &mut Session, base: Option<u64>, changes: Vec<Change>) -> Result<Output> {
    let base = match base {
        Some(base) => Edition(base),
        None => session.client.show()?.0,
    };
    let (client, author) = (&session.client, &session.author);
    let accepted = edit::send(client, author, base, changes, &mut session.progress)?;
    Ok(accepted_output(accepted))
}

/// What is printed of an accepted edit.
pub(crate) fn accepted_output(accepted: Option<Accepted>) -> Output {
    let Some(accepted) = accepted else {
        return Output::new(
            "nothing to change",
            &json!({"edition": null, "warnings": []}),
        );
    };
    let mut lines = vec![format!(
        "accepted as edition {}; `dahliactl status --wait` returns when it is in force everywhere",
        accepted.edition.0
    )];
    lines.extend(
        accepted
            .warnings
            .iter()
            .map(|text| format!("warning: {text}")),
    );
    let body = json!({"edition": accepted.edition, "warnings": accepted.warnings});
    Output::new(lines.join("\n"), &body)
}

/// A request as `rules test` takes it: `field=value` words.
///
/// # Errors
/// When a word is not understood, or the caller or the target is not given.
pub(crate) fn call(words: &[String]) -> Result<Call> {
    let (mut caller, mut target, mut zone) = (None, None, None);
    let mut headers = Vec::new();
    for word in words {
        let pair = word.split_once('=');
        let (field, value) = pair.ok_or_else(|| unknown(word))?;
        match (field, field.strip_prefix("header.")) {
            ("caller", _) => caller = Some(parse(value)?),
            ("model", _) => target = Some(Target::Model(value.to_owned())),
            ("service", _) => target = Some(Target::Service(value.to_owned())),
            ("zone", _) => zone = Some(parse(value)?),
            (_, Some(name)) => headers.push((name.to_lowercase(), value.to_owned())),
            _ => return Err(unknown(word)),
        }
    }
    let missing = |what: &str| Error::Usage(format!("the request lacks {what}"));
    Ok(Call {
        caller: caller.ok_or_else(|| missing("caller=NAME"))?,
        target: target.ok_or_else(|| missing("model=ADAPTER@VERSION or service=NAME"))?,
        zone,
        headers,
        key: None,
        digest: 0,
        non_idempotent: false,
        timeout: None,
        stream: false,
        prefix: Vec::new(),
        prompt_tokens: 0,
        max_tokens: 0,
    })
}

fn unknown(word: &str) -> Error {
    Error::Usage(format!(
        "{word:?} is not one of caller=, model=, service=, zone=, header.NAME="
    ))
}
