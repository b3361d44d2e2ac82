//! Where the time of requests goes and how they end, from the logs of entry VMs: a budget that adds up, a row for each route.
//!
//! A request's time to its first piece is what it waited for its place and what its server took from then on. Each request
//! ends in exactly one of the ways counted, the last of its lines deciding.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use dahliastile_core::time::Span;
use serde::Serialize;

use crate::error::{Error, Result};
use crate::file;
use crate::output::Output;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    /// It has not, as far as the lines go.
    Open,
    /// In time.
    InTime,
    /// Served whole, its first piece late.
    LateFirst,
    /// Served whole, with too long a pause.
    LatePause,
    /// Refused.
    Refused,
    /// It may have run, and no whole answer came.
    Failed,
    /// Its time was over.
    TimedOut,
    /// Its caller left.
    Left,
}

/// One request.
#[derive(Clone, Debug)]
struct Request {
    /// Its route, where a line names it.
    route: String,
    /// How long it waited for its place.
    wait: Option<Span>,
    /// The time to its first piece.
    first: Option<Span>,
    /// The longest pause between two of its events.
    pause: Option<Span>,
    /// How it ended.
    end: End,
}

/// The requests of one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Row {
    /// All of them.
    pub requests: usize,
    /// Served in time.
    pub in_time: usize,
    /// Served, but begun late.
    pub late_first: usize,
    /// Served, but with too long a pause.
    pub late_pause: usize,
    /// Refused.
    pub refused: usize,
    /// Failed.
    pub failed: usize,
    /// Ended by their time.
    pub timed_out: usize,
    /// Left by their callers.
    pub left: usize,
    /// Without an end in the lines.
    pub open: usize,
    /// The wait for a place of half and of nine tenths of those served, in microseconds.
    pub wait: (Span, Span),
    /// The same of the time from the place to the first piece.
    pub server: (Span, Span),
    /// The same of the longest pause.
    pub pause: (Span, Span),
}

/// The budget of all routes, by name. Requests that no line with a route names stand under `-`.
#[must_use]
pub fn budget(log: &str) -> BTreeMap<String, Row> {
    let mut requests: BTreeMap<&str, Request> = BTreeMap::new();
    for line in log.lines() {
        take(line, &mut requests);
    }
    let mut routes: BTreeMap<String, Vec<Request>> = BTreeMap::new();
    for request in requests.into_values() {
        routes
            .entry(request.route.clone())
            .or_default()
            .push(request);
    }
    let rows = routes.into_iter();
    rows.map(|(route, requests)| (route, row(&requests)))
        .collect()
}

/// Takes a line in, if it is one on a request.
fn take<'a>(line: &'a str, requests: &mut BTreeMap<&'a str, Request>) {
    let words: Vec<&str> = line.split_whitespace().collect();
    let value = |name: &str| {
        let mut pairs = words.iter().filter_map(|word| word.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    let span = |name| value(name).and_then(|text| text.parse::<Span>().ok());
    let Some(id) = value("id") else {
        return;
    };
    let end = match words.iter().find(|word| is_code(word)) {
        Some(&"E510" | &"E511" | &"E512") => None,
        Some(&"E503" | &"E516") if value("ran").is_none_or(|ran| ran == "0") => Some(End::Refused),
        Some(&"E503") => Some(End::Failed),
        Some(&"E513") => Some(match value("late") {
            Some("first") => End::LateFirst,
            Some("pause") => End::LatePause,
            _ => End::InTime,
        }),
        Some(&"E514") => Some(End::Left),
        Some(&"E515") => Some(End::TimedOut),
        _ => return,
    };
    let request = requests.entry(id).or_insert_with(|| Request {
        route: "-".to_owned(),
        wait: None,
        first: None,
        pause: None,
        end: End::Open,
    });
    if let Some(route) = value("route") {
        route.clone_into(&mut request.route);
    }
    request.wait = request.wait.or(span("waited"));
    request.first = span("first").or(request.first);
    request.pause = span("pause").or(request.pause);
    request.end = end.unwrap_or(request.end);
}

/// Whether a word is the number of a log event.
fn is_code(word: &str) -> bool {
    let digits = word.strip_prefix('E').unwrap_or_default();
    digits.len() == 3 && digits.bytes().all(|byte| byte.is_ascii_digit())
}

fn row(requests: &[Request]) -> Row {
    let count = |end: End| requests.iter().filter(|request| request.end == end).count();
    let served = requests.iter().filter(|request| request.first.is_some());
    let spans = |of: fn(&Request) -> Option<Span>| quantiles(served.clone().filter_map(of));
    Row {
        requests: requests.len(),
        in_time: count(End::InTime),
        late_first: count(End::LateFirst),
        late_pause: count(End::LatePause),
        refused: count(End::Refused),
        failed: count(End::Failed),
        timed_out: count(End::TimedOut),
        left: count(End::Left),
        open: count(End::Open),
        wait: spans(|request| request.wait),
        server: spans(|request| Some(request.first? - request.wait?)),
        pause: spans(|request| request.pause),
    }
}

/// The half and the nine tenths of some times; zero where there are none.
fn quantiles(spans: impl Iterator<Item = Span>) -> (Span, Span) {
    let mut spans: Vec<Span> = spans.collect();
    spans.sort_unstable();
    let at = |tenths: usize| {
        let last = spans.len().saturating_sub(1);
        spans.get(last * tenths / 10).copied().unwrap_or_default()
    };
    (at(5), at(9))
}

/// Reads logs and prints their budget.
pub(crate) fn run(path: &str) -> Result<Output> {
    let rows = budget(&file::read(path)?);
    if rows.is_empty() {
        return Err(Error::Missing(format!("{path} has no line on a request")));
    }
    let mut text = format!(
        "{:<16}{:>9}{:>9}{:>7}{:>7}{:>9}{:>8}{:>9}{:>6}{:>6}  {:>13}  {:>13}  {:>13}\n",
        "route",
        "requests",
        "in time",
        "first",
        "pause",
        "refused",
        "failed",
        "timed out",
        "left",
        "open",
        "wait ms",
        "server ms",
        "pause ms"
    );
    for (route, row) in &rows {
        let pair =
            |(half, most): (Span, Span)| format!("{}/{}", half.as_millis(), most.as_millis());
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{route:<16}{:>9}{:>9}{:>7}{:>7}{:>9}{:>8}{:>9}{:>6}{:>6}  {:>13}  {:>13}  {:>13}",
            row.requests,
            row.in_time,
            row.late_first,
            row.late_pause,
            row.refused,
            row.failed,
            row.timed_out,
            row.left,
            row.open,
            pair(row.wait),
            pair(row.server),
            pair(row.pause)
        );
    }
    text.push_str("\ntimes: half / nine tenths of those served");
    Ok(Output::new(text, &rows))
}
