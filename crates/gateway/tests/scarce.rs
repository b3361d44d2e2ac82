//! Schedules under contention: more requests than the adapter slots, loads and prefill of the engines can serve.

mod support;

use std::sync::LazyLock;

use dahliastile_core::time::{Instant, Span};
use dahliastile_gateway::feature::Feature;
use dahliastile_gateway::message::{PlacementDetail, PlacementRequest};
use dahliastile_gateway::request::fingerprint::Fingerprint;
use dahliastile_gateway::scheduler::{Decision, Scheduler};
use dahliastile_gateway::settings::Tuning;
use support::contention::{Caller, Load, Outcome, REVIEWS, play};
use support::setup::{self, inference_spec, name, zone};

/// The features that take effect when capacity is scarce.
const FEATURES: [Feature; 3] = [
    Feature::FairShares,
    Feature::UrgentReserve,
    Feature::ReturningCallers,
];

/// The load of a heavy day at a third of its size: 30 engines with 4 adapter slots, 2,000 adapters, bursts of 2.5
/// times of the lowest and the highest priority together, all at 1.3 times the usual rates.
fn heavy_load(without: &[Feature]) -> Load {
    Load {
        deployment: REVIEWS,
        length: 14_000,
        burst: (4_000, 9_000),
        shifts: Vec::new(),
        losses: Vec::new(),
        without: without.to_vec(),
        scale: 1.3,
        accounts: 16,
        flood: 1.0,
        priorities: true,
        replaced_at: None,
        seed: 1,
    }
}

static WITHOUT_FEATURES: LazyLock<Outcome> = LazyLock::new(|| play(&heavy_load(&FEATURES)));

static ONLY_RETURNING: LazyLock<Outcome> = LazyLock::new(|| play(&heavy_load(&FEATURES[..2])));

static WITH_RESERVE: LazyLock<Outcome> = LazyLock::new(|| play(&heavy_load(&FEATURES[..1])));

fn count(outcome: &Outcome, condition: impl Fn(&Caller) -> bool) -> usize {
    outcome.callers.iter().filter(|c| condition(c)).count()
}

/// Guards against callers that are told to retry and then refused again: 179 of 553 with the feature off. With claims,
/// at most two thirds as many are refused twice, and no fewer answers come in time.
#[test]
fn returning_rarelyrefusedtwice() {
    let (off, on) = (&WITHOUT_FEATURES, &ONLY_RETURNING);
    let twice = |outcome| count(outcome, |c| c.refusals > 1);
    let on_time = |outcome| count(outcome, Caller::is_on_time);
    let figures = format!("off: {}\non: {}", off.table(), on.table());
    assert!(twice(on) * 3 <= twice(off) * 2, "{figures}");
    assert!(on_time(on) >= on_time(off), "{figures}");
    assert!(on.value() >= off.value() + 0.02, "{figures}");
}

/// Guards against requests that are held for half of their time and longer, and never sent to an engine, as more urgent
/// ones pass by. At most three quarters as many are held as without early refusals, and the answers are worth as much.
#[test]
fn overtaken_refusedearly() {
    let (off, on) = (&ONLY_RETURNING, &WITH_RESERVE);
    let figures = format!("off: {}\non: {}", off.table(), on.table());
    let held = |outcome| count(outcome, Caller::is_held);
    assert!(held(on) * 4 <= held(off) * 3, "{figures}");
    assert!(on.value() >= off.value() - 0.01, "{figures}");
}

/// Guards against streams of the least urgent requests that occupy the slots which urgent requests need a moment later:
/// at least 2 % more of the most urgent requests are served in time than without the reserve, and at least 90 % as many
/// of the least urgent ones.
#[test]
fn reserve_usedbyurgent() {
    let (off, on) = (&ONLY_RETURNING, &WITH_RESERVE);
    let figures = format!("off: {}\non: {}", off.table(), on.table());
    let on_time = |outcome: &Outcome, kind| outcome.count(kind, Caller::is_on_time);
    assert!(on_time(on, 0) * 100 >= on_time(off, 0) * 102, "{figures}");
    assert!(on_time(on, 2) * 100 >= on_time(off, 2) * 90, "{figures}");
    assert!(on.events.contains_key(&531), "{figures}");
    let labels: Vec<&str> = on.contention.keys().copied().collect();
    assert_eq!(labels, ["loads_put_off", "overtaken", "returned"]);
    assert_eq!(off.contention["returned"] as usize, off.events[&530]);
}

/// Guards against an account that takes engines from others of the same urgency: for five seconds one of 16 accounts
/// sends six times its usual requests. At least a tenth more of the requests of all other accounts are served in time
/// than without shares, and a quarter of those of the account itself, which is not shut out.
#[test]
fn fair_floodwaitsbehinditself() {
    let flood = |without: &[Feature]| Load {
        flood: 6.0,
        ..heavy_load(without)
    };
    let (off, on) = (play(&flood(&FEATURES[..1])), play(&flood(&[])));
    let on_time = |outcome: &Outcome, is_flood: bool| {
        count(outcome, |c| (c.account == 3) == is_flood && c.is_on_time())
    };
    let figures = format!("off: {}\non: {}", off.table(), on.table());
    assert!(
        on_time(&on, false) * 10 >= on_time(&off, false) * 11,
        "{figures}"
    );
    let flood = count(&on, |c| c.account == 3);
    assert!(on_time(&on, true) * 4 >= flood, "{figures}");
    assert!(on.events.contains_key(&532), "{figures}");
    assert!(on.contention["behind_share"] > 0, "{figures}");
}

/// Guards against a new scheduler that cannot serve callers whose claims its predecessor had, or that places requests
/// where others run that it was told of (the engines' fakes crash then). In the middle of the burst another scheduler
/// takes over; the answers are worth nine tenths of what they are worth without that.
#[test]
fn replaced_servesfromresync() {
    let load = Load {
        replaced_at: Some(6_500),
        ..heavy_load(&[])
    };
    let (kept, replaced) = (play(&heavy_load(&[])), play(&load));
    let figures = format!("kept: {}\nreplaced: {}", kept.table(), replaced.table());
    assert!(replaced.value() >= kept.value() * 0.9, "{figures}");
}

/// Guards against decisions that differ from those before the features existed, while these are off. The digest is that
/// of all decisions at commit ec06946 under the same load.
#[test]
fn off_decidesasbefore() {
    let without: Vec<Feature> = Feature::ALL[11..].iter().map(|(f, _)| *f).collect();
    let load = Load {
        scale: 1.0,
        ..heavy_load(&without)
    };
    assert_eq!(
        play(&load).digest().to_string(),
        "133916f3e2652788b46cd6d5787e59d7"
    );
}

/// Guards against features that change decisions where nothing calls for them: all requests have the same priority and
/// no account. The digest is that of all decisions at commit ec06946.
#[test]
fn uncalled_decidesasbefore() {
    let load = Load {
        scale: 1.0,
        accounts: 0,
        priorities: false,
        ..heavy_load(&[])
    };
    assert_eq!(
        play(&load).digest().to_string(),
        "c6f4e0588d7704cd0eef516bbf97123e"
    );
}

/// A scheduler without engines, which refuses each new request whose objective is shorter than a load, and how many
/// requests it was sent.
struct Refusing(Scheduler, u64);

impl Refusing {
    fn new() -> Self {
        let settings = setup::settings(0, 1, &Tuning::default());
        let config = setup::config(1);
        Self(
            Scheduler::new(Instant::default(), &config.services[0], 1, settings),
            0,
        )
    }

    /// Enqueues a request with this content.
    fn enqueue(&mut self, now: Instant, content: &str) {
        self.1 += 1;
        let placement = PlacementRequest {
            request: self.1,
            id: content.into(),
            work: inference_spec("a1", 600, 20),
            waited: Span::ZERO,
            objective: Span::from_millis(300),
            left: Span::from_secs(5),
            priority: 1,
            zone: zone(0),
            failed: Vec::new(),
        };
        let detail = PlacementDetail {
            account: Some(name("account")),
            fingerprint: Some(Fingerprint::of([content.as_bytes()])),
            ..PlacementDetail::default()
        };
        self.0.enqueue(now, &name("vm1"), placement, detail);
    }

    /// Runs the scheduler; returns the times after which refused callers may retry.
    fn run(&mut self, now: Instant) -> Vec<Span> {
        let mut out = Vec::new();
        self.0.run(self.0.next_run().max(now), &mut out);
        let spans = out.iter().filter_map(|decision| match decision {
            Decision::Refuse(.., after) => Some(*after),
            _ => None,
        });
        spans.collect()
    }

    /// Sends a request; returns the time after which its caller may retry, if it is refused.
    fn send(&mut self, now: Instant, content: &str) -> Option<Span> {
        self.enqueue(now, content);
        self.run(now).pop()
    }
}

/// Guards against a claim that serves a caller more than once, one that comes before its time, or one that comes after
/// ten seconds: these are refused like new callers.
#[test]
fn claim_usedonceandintime() {
    let start = Instant::default() + Span::from_secs(1);
    for (content, early, late, kept) in [
        ("in time", Span::ZERO, Span::ZERO, true),
        ("early", Span::from_millis(20), Span::ZERO, false),
        ("expired", Span::ZERO, Span::from_secs(11), false),
    ] {
        let mut scheduler = Refusing::new();
        let after = scheduler.send(start, content).expect("refused");
        let retry_at = (start + after + Span::from_millis(10) + late).back(early);
        assert_eq!(
            scheduler.send(retry_at, content).is_none(),
            kept,
            "{content}"
        );
        let again = scheduler.send(retry_at + Span::from_millis(10), content);
        assert!(again.is_some(), "{content}");
    }
}

/// Guards against a request that loses its place because the message with its refusal was lost: its VM asks again for a
/// placement of the same request.
#[test]
fn claim_refusallost() {
    let start = Instant::default() + Span::from_secs(1);
    let mut scheduler = Refusing::new();
    assert!(scheduler.send(start, "content").is_some());
    scheduler.1 -= 1;
    assert!(
        scheduler
            .send(start + Span::from_millis(20), "content")
            .is_none()
    );
}

/// Guards against claims that grow without bound: of 5,000 refused callers, the last 4,096 have a claim.
#[test]
fn claim_oldestdropped() {
    let mut scheduler = Refusing::new();
    let start = Instant::default() + Span::from_secs(1);
    for batch in 0..100 {
        let now = start + Span::from_millis(batch * 10);
        (0..50).for_each(|at| scheduler.enqueue(now, &format!("r{}", batch * 50 + at)));
        assert_eq!(scheduler.run(now).len(), 50, "{batch}");
    }
    let later = start + Span::from_secs(4);
    assert!(scheduler.send(later, "r100").is_some());
    assert!(scheduler.send(later, "r4900").is_none());
}
