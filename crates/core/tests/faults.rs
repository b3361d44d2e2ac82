//! The matrix of faults, in virtual time and with the verifier after each step: each fault alone, random pairs, and
//! each while the key-value service is down for minutes. The fakes' own record decides.

mod edits;
#[path = "faults/fault.rs"]
mod fault;
mod support;
#[path = "faults/traffic.rs"]
mod traffic;

use fault::{Fault, Strike};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use support::{MS, SEC};
use traffic::Plan;

impl Arbitrary for Plan {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            seed: u64::arbitrary(g),
            fenced: bool::arbitrary(g),
            lasts: 18 * SEC,
            pause: 120 * MS,
            strikes: vec![Strike::arbitrary(g), Strike::arbitrary(g)],
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        Box::new((0..self.strikes.len()).map(move |i| {
            let mut less = plan.clone();
            less.strikes.remove(i);
            less
        }))
    }
}

/// Runs plans of faults, and says of each what did not hold.
fn hold(plans: impl Iterator<Item = Plan>) {
    let failed: Vec<String> = plans
        .filter_map(|plan| {
            let flaws = plan.run();
            let first = flaws.first()?;
            Some(format!("{plan:?}: {} flaws: {first}", flaws.len()))
        })
        .collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Plans that are tried; more where the environment says so, for a long run.
fn plans() -> u64 {
    let text = std::env::var("DAHLIASTILE_PLANS").unwrap_or_default();
    text.parse().unwrap_or(24)
}

/// Each fault alone, on engines that check fencing numbers or do not.
fn alone(fenced: bool) {
    let faults = Fault::ALL.iter().copied().enumerate();
    hold(faults.map(|(whom, fault)| Plan {
        seed: whom as u64,
        fenced,
        lasts: 18 * SEC,
        pause: 120 * MS,
        strikes: vec![Strike {
            fault,
            at: 3 * SEC,
            lasts: 12 * SEC,
            whom,
        }],
    }));
}

#[test]
fn fault_alone_unfenced() {
    alone(false);
}

#[test]
fn fault_alone_fenced() {
    alone(true);
}

/// The key-value service is down for minutes; the fault strikes and ends meanwhile.
#[test]
fn fault_in_outage() {
    let of_platform = [
        Fault::PlatformDown,
        Fault::PlatformSilent,
        Fault::PlatformSlow,
    ];
    let faults = Fault::ALL.iter().copied().enumerate();
    let faults = faults.filter(|(_, fault)| !of_platform.contains(fault));
    hold(faults.map(|(whom, fault)| {
        let strike = |fault, at, lasts| Strike {
            fault,
            at,
            lasts,
            whom,
        };
        let outage = of_platform[whom % 2];
        Plan {
            seed: whom as u64,
            fenced: whom % 4 < 2,
            lasts: 125 * SEC,
            pause: 600 * MS,
            strikes: vec![
                strike(outage, 2 * SEC, 120 * SEC),
                strike(fault, 20 * SEC, 40 * SEC),
            ],
        }
    }));
}

#[test]
fn fault_pairs_random() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(plan: Plan) -> TestResult {
        let flaws = plan.run();
        match flaws.first() {
            None => TestResult::passed(),
            Some(_) => TestResult::error(format!("{:#?}", &flaws[..flaws.len().min(5)])),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 0xfa17))
        .tests(plans())
        .quickcheck(property as fn(Plan) -> TestResult);
}
