//! Orders to an engine: load, unload, fencing number, role and abort.

use std::thread;
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::state::{Loading, State, take};
use super::token::Model;
use super::{Refusal, Shared, Source};
use crate::call::Call;

/// The longest time that a fetch from the weight store may take, in seconds.
const FETCH_TIMEOUT: u64 = 600;

/// The body of a load or unload order.
#[derive(Debug, Deserialize)]
struct Adapter {
    /// The adapter and version.
    lora_name: Model,
    /// The fencing number.
    #[serde(default)]
    fence: u64,
}

/// The body of `POST /v1/fence`.
#[derive(Debug, Deserialize)]
struct Fence {
    /// The fencing number.
    fence: u64,
}

/// The body of `POST /v1/role`.
#[derive(Debug, Deserialize)]
struct Role {
    /// What the engine shall do.
    #[serde(rename = "role")]
    _role: Part,
    /// The fencing number.
    #[serde(default)]
    fence: u64,
}

/// An engine's part in serving.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Part {
    /// Only prompts.
    Prefill,
    /// Only tokens.
    Decode,
    /// Both.
    Both,
}

/// The body of `POST /v1/abort`.
#[derive(Debug, Deserialize)]
struct Abort {
    /// The request.
    request_id: String,
}

/// How a load ended.
enum Loaded {
    /// The adapter is resident and the answer says so.
    Answered,
    /// The adapter is resident but the connection breaks.
    Unanswered,
    /// The engine restarted meanwhile.
    Restarted,
}

/// `POST /v1/load_lora_adapter`.
pub(crate) fn load(shared: &Shared, call: Call) {
    let Some((call, order)) = parse::<Adapter>(call) else {
        return;
    };
    let model = &order.lora_name;
    let begun = shared.lock().begin_load(Instant::now(), model, order.fence);
    let outcome = match begun {
        Ok(Loading::Already) => Ok(Loaded::Answered),
        Ok(Loading::Started(boot)) => {
            // The lock must not be held while the adapter is fetched.
            let source = shared.lock().settings.source.clone();
            let fetched = fetch(&source, model);
            finish(&mut shared.lock(), model, boot, fetched)
        }
        Err(refusal) => Err(refusal),
    };
    let word = match &outcome {
        Ok(Loaded::Answered) => "ok",
        Ok(Loaded::Unanswered) => "unanswered",
        Ok(Loaded::Restarted) => "restarted",
        Err(refusal) => refusal.code(),
    };
    let now = Instant::now();
    shared
        .lock()
        .ordered(now, "load_lora_adapter", Some(model), order.fence, word);
    match outcome {
        Ok(Loaded::Answered) => call.answer(200, &json!({})),
        Ok(Loaded::Unanswered | Loaded::Restarted) => call.vanish(),
        Err(refusal) => refusal.answer(call),
    }
}

/// `POST /v1/unload_lora_adapter`.
pub(crate) fn unload(shared: &Shared, call: Call) {
    let Some((call, order)) = parse::<Adapter>(call) else {
        return;
    };
    let now = Instant::now();
    let mut state = shared.lock();
    let outcome = state.unload(now, &order.lora_name, order.fence);
    let word = word(outcome);
    state.ordered(
        now,
        "unload_lora_adapter",
        Some(&order.lora_name),
        order.fence,
        word,
    );
    drop(state);
    reply(call, outcome);
}

/// `POST /v1/fence`.
pub(crate) fn fence(shared: &Shared, call: Call) {
    if let Some((call, order)) = parse::<Fence>(call) {
        whole_engine(shared, call, "fence", order.fence);
    }
}

/// `POST /v1/role`.
pub(crate) fn role(shared: &Shared, call: Call) {
    if let Some((call, order)) = parse::<Role>(call) {
        whole_engine(shared, call, "role", order.fence);
    }
}

/// `POST /v1/abort`.
pub(crate) fn abort(shared: &Shared, call: Call) {
    if let Some((call, order)) = parse::<Abort>(call) {
        let aborted = shared.lock().abort(Instant::now(), &order.request_id);
        call.answer(200, &json!({ "aborted": aborted }));
    }
}

fn whole_engine(shared: &Shared, call: Call, name: &str, fence: u64) {
    let now = Instant::now();
    let mut state = shared.lock();
    let outcome = state.check_fence(fence);
    state.ordered(now, name, None, fence, word(outcome));
    state.note(now);
    drop(state);
    reply(call, outcome);
}

/// Fetches the weights; whether that worked.
fn fetch(source: &Source, model: &Model) -> bool {
    match source {
        Source::Local(time) => {
            pause(*time);
            true
        }
        Source::Store(address) => {
            let request = minreq::get(format!("http://{address}/weights/{model}"));
            let answer = request.with_timeout(FETCH_TIMEOUT).send();
            answer.is_ok_and(|answer| answer.status_code == 200)
        }
    }
}

/// Models the time of a load.
fn pause(time: Duration) {
    if !time.is_zero() {
        thread::sleep(time);
    }
}

/// Makes a fetched adapter resident, as far as the faults let it.
fn finish(state: &mut State, model: &Model, boot: u64, fetched: bool) -> Result<Loaded, Refusal> {
    if state.boot != boot {
        return Ok(Loaded::Restarted);
    }
    let loaded = fetched && !take(&mut state.faults.fail_loads);
    state.end_load(Instant::now(), model, loaded);
    match loaded {
        false => Err(Refusal::LoadFailed),
        true if take(&mut state.faults.false_failures) => Err(Refusal::LoadFailed),
        true if take(&mut state.faults.lose_loads) => Ok(Loaded::Unanswered),
        true => Ok(Loaded::Answered),
    }
}

fn parse<T: DeserializeOwned>(call: Call) -> Option<(Call, T)> {
    match call.json() {
        Ok(body) => Some((call, body)),
        Err(error) => {
            call.refuse(400, "bad_request", &error.to_string());
            None
        }
    }
}

fn word(outcome: Result<(), Refusal>) -> &'static str {
    outcome.err().map_or("ok", |refusal| refusal.code())
}

fn reply(call: Call, outcome: Result<(), Refusal>) {
    match outcome {
        Ok(()) => call.answer(200, &json!({})),
        Err(refusal) => refusal.answer(call),
    }
}
