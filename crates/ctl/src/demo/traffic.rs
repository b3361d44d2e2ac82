//! Callers: real HTTP requests in closed loops, and the check of each answer.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Instant;

use dahliastile_standin::caller::{self, Fault, Request};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use serde_json::Value;

use super::board::{Board, Done, Ending, Phase};
use super::stage::{ADAPTERS, DEPLOYMENTS, GUARDED, ZONES, adapter, token};

/// Callers of each model deployment at a time.
const CALLERS: u64 = 8;
/// Callers of each plain service at a time.
const PLAIN_CALLERS: u64 = 2;
/// The fewest and the most tokens of an answer.
const TOKENS: (u64, u64) = (6, 20);
/// How long a caller waits for its answer, in milliseconds.
const TIMEOUT_MS: &str = "3000";
/// The longest time for a plain call, in seconds.
const PLAIN_TIMEOUT: u64 = 10;

/// What callers need.
#[derive(Clone)]
pub(super) struct Traffic {
    /// Where results go.
    pub(super) board: Arc<Board>,
    /// The callers' listeners.
    pub(super) vms: Arc<Vec<SocketAddr>>,
    /// Numbers for requests and idempotency keys.
    pub(super) numbers: Arc<AtomicU64>,
}

/// A call of a plain service.
pub(super) struct Call {
    /// The service.
    pub(super) service: &'static str,
    /// Who calls.
    pub(super) caller: &'static str,
    /// The idempotency key, or none.
    pub(super) key: Option<String>,
}

impl Traffic {
    /// Starts the callers. They end when the board is closed.
    pub(super) fn start(&self) -> Vec<JoinHandle<()>> {
        let mut threads = Vec::new();
        for (number, deployment) in DEPLOYMENTS.iter().enumerate() {
            let caller = ["skipper", "merchandiser"][number];
            for worker in 0..CALLERS {
                let traffic = self.clone();
                let rng = ChaCha8Rng::seed_from_u64(number as u64 * CALLERS + worker);
                threads.push(thread::spawn(move || {
                    traffic.models(deployment.service, caller, rng);
                }));
            }
        }
        for (service, caller) in [(GUARDED, "terminal"), ("store", "manager")] {
            for worker in 0..PLAIN_CALLERS {
                let traffic = self.clone();
                threads.push(thread::spawn(move || {
                    traffic.plain(service, caller, worker);
                }));
            }
        }
        threads
    }

    /// A number that nothing else has.
    pub(super) fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends one completion and notes how it ended.
    pub(super) fn model(&self, vm: usize, service: &'static str, request: &Request) -> Ending {
        let at = (self.board.phase(), Instant::now());
        self.judge(vm, service, request, request.send(), at)
    }

    fn judge(
        &self,
        vm: usize,
        service: &'static str,
        request: &Request,
        answer: Result<caller::Answer, minreq::Error>,
        (phase, sent): (Phase, Instant),
    ) -> Ending {
        let ending = match answer {
            Ok(answer) => judged(request, &answer),
            Err(error) => unanswered(&error),
        };
        let subject = request.body["model"].as_str().unwrap_or_default();
        self.note(phase, vm, service, subject.to_owned(), sent, ending.clone());
        ending
    }

    /// As [`Traffic::model`], and says when the first token came.
    pub(super) fn stream(
        &self,
        vm: usize,
        service: &'static str,
        request: &Request,
        begun: &flume::Sender<()>,
    ) -> Ending {
        let (phase, sent) = (self.board.phase(), Instant::now());
        let answer = request.send_while(|tokens| {
            if tokens.len() == 1 {
                // Nobody waits any more where the receiver is gone.
                let _ = begun.send(());
            }
            ControlFlow::Continue(())
        });
        self.judge(vm, service, request, answer, (phase, sent))
    }

    /// A completion for a VM.
    pub(super) fn request(&self, vm: usize, caller: &str, model: &str, tokens: u64) -> Request {
        let prompt = format!("request {} for {model}", self.number());
        Request::completion(self.vms[vm], model, &prompt, tokens)
            .header("Authorization", &format!("Bearer {}", token(caller)))
            .header("X-Timeout-Ms", TIMEOUT_MS)
    }

    /// Makes one call of a plain service and notes how it ended; returns the body of a whole answer.
    pub(super) fn call(&self, vm: usize, call: &Call) -> (Ending, String) {
        let id = format!("call-{}", self.number());
        let url = format!("http://{}/services/{}/slots", self.vms[vm], call.service);
        let mut request = minreq::post(url)
            .with_header("Authorization", format!("Bearer {}", token(call.caller)))
            .with_header("X-Request-Id", &id)
            .with_header("X-Timeout-Ms", TIMEOUT_MS)
            .with_timeout(PLAIN_TIMEOUT)
            .with_body(r#"{"berth": 7}"#);
        if let Some(key) = &call.key {
            request = request.with_header("Idempotency-Key", key);
        }
        let (phase, sent) = (self.board.phase(), Instant::now());
        let answer = request.send().and_then(|answer| {
            caller::answered(&answer.reason_phrase)?;
            Ok(answer)
        });
        let (ending, body) = match answer {
            Ok(answer) => {
                let body = answer.as_str().unwrap_or_default().to_owned();
                let status = u16::try_from(answer.status_code).unwrap_or(0);
                (plain_ending(status, &body), body)
            }
            Err(error) => (unanswered(&error), String::new()),
        };
        let subject = call.key.clone().unwrap_or(id);
        self.note(phase, vm, call.service, subject, sent, ending.clone());
        (ending, body)
    }

    fn models(&self, service: &'static str, caller: &str, mut rng: ChaCha8Rng) {
        while let Some(targets) = self.board.targets() {
            let vm = pick(&mut rng, &targets);
            let model = format!("{}@1", adapter(service, skewed(&mut rng)));
            let tokens = TOKENS.0 + rng.next_u64() % (TOKENS.1 - TOKENS.0);
            let mut request = self.request(vm, caller, &model, tokens);
            request = request.header("X-Zone", pick(&mut rng, &ZONES));
            if rng.next_u32().is_multiple_of(3) {
                request = request.whole();
            }
            let ending = self.model(vm, service, &request);
            back_off(&ending);
        }
    }

    fn plain(&self, service: &'static str, caller: &'static str, worker: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(1_000 + worker);
        while let Some(targets) = self.board.targets() {
            let vm = pick(&mut rng, &targets);
            let key = (service == GUARDED).then(|| format!("booking-{}", self.number()));
            let call = Call {
                service,
                caller,
                key,
            };
            let (ending, _) = self.call(vm, &call);
            back_off(&ending);
        }
    }

    fn note(
        &self,
        phase: Phase,
        vm: usize,
        service: &'static str,
        subject: String,
        sent: Instant,
        ending: Ending,
    ) {
        self.board.add(Done {
            phase,
            vm,
            service,
            subject,
            sent,
            ending,
        });
    }
}

/// Makes one call through two VMs, at once or one after the other; whether both answers are whole and differ.
pub(super) fn twice(traffic: &Traffic, number: usize) -> bool {
    let call = Call {
        service: GUARDED,
        caller: "terminal",
        key: Some(format!("repeat-{number}")),
    };
    let vms = traffic.vms.len();
    let (first, second) = (number % vms, (number + 1) % vms);
    let ((one, one_body), (two, two_body)) = if number.is_multiple_of(2) {
        thread::scope(|scope| {
            let other = scope.spawn(|| traffic.call(second, &call));
            let one = traffic.call(first, &call);
            let lost = || {
                (
                    Ending::Broken("a caller's thread panicked".to_owned()),
                    String::new(),
                )
            };
            (one, other.join().unwrap_or_else(|_| lost()))
        })
    } else {
        (traffic.call(first, &call), traffic.call(second, &call))
    };
    one == Ending::Whole && two == Ending::Whole && one_body != two_body
}

/// A caller that was refused comes back a little later, as well-behaved callers do.
fn back_off(ending: &Ending) {
    const PAUSE: std::time::Duration = std::time::Duration::from_millis(50);
    match ending {
        Ending::Whole => {}
        _ => thread::sleep(PAUSE),
    }
}

fn pick<T: Copy>(rng: &mut ChaCha8Rng, items: &[T]) -> T {
    let at = rng.next_u64() % items.len().max(1) as u64;
    items[usize::try_from(at).unwrap_or(0)]
}

/// The number of an adapter: small numbers much more often than large ones.
fn skewed(rng: &mut ChaCha8Rng) -> usize {
    // The product of three evenly spread shares is heavily skewed towards zero.
    let share = |rng: &mut ChaCha8Rng| f64::from(rng.next_u32()) / f64::from(u32::MAX);
    let skewed = share(rng) * share(rng) * share(rng);
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let number = (skewed * ADAPTERS as f64) as usize;
    number.min(ADAPTERS - 1)
}

/// What an answer to a completion amounts to.
fn judged(request: &Request, answer: &caller::Answer) -> Ending {
    match (&answer.error, answer.verify(request)) {
        (Some(error), _) => refusal(error).unwrap_or_else(|| Ending::Broken(error.to_string())),
        (None, Ok(())) => Ending::Whole,
        (None, Err(Fault::Refused(status))) => {
            Ending::Broken(format!("status {status} without a kind"))
        }
        (None, Err(fault)) => Ending::Broken(fault.to_string()),
    }
}

fn plain_ending(status: u16, body: &str) -> Ending {
    let json: Value = serde_json::from_str(body).unwrap_or_default();
    match refusal(&json) {
        Some(ending) => ending,
        None if status == 200 && json["path"] == "/slots" => Ending::Whole,
        None => Ending::Broken(format!("status {status}: {body}")),
    }
}

/// The refusal in a body, where it has both a kind and what it says of whether the request ran.
fn refusal(body: &Value) -> Option<Ending> {
    let error = &body["error"];
    Some(Ending::Refused {
        kind: error["kind"].as_str()?.to_owned(),
        ran: error["ran"].as_str()?.to_owned(),
        detail: error["message"].as_str().unwrap_or_default().to_owned(),
        request: error["request_id"].as_str().unwrap_or_default().to_owned(),
    })
}

fn unanswered(error: &minreq::Error) -> Ending {
    match error {
        minreq::Error::IoError(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            Ending::Unreached
        }
        error => Ending::Broken(format!("no answer: {error}")),
    }
}
