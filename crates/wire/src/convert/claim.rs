//! Claims on idempotency keys and their verdicts.

use dahliastile_core::id::Request;
use dahliastile_core::peer::{Claim, Finding, Outcome, Step, Verdict};

use super::Convert;
use super::field::{array, missing, string};
use crate::error::Result;
use crate::peer_capnp::{claim, kept, outcome, verdict};

impl Convert for Claim {
    type Schema = claim::Owned;

    fn write(&self, mut to: claim::Builder<'_>) {
        to.set_key(&self.key);
        to.set_digest(self.digest);
        to.set_request(self.request.0);
        let mut step = to.init_step();
        match &self.step {
            Step::Take => step.set_take(()),
            Step::Free => step.set_free(()),
            Step::Done(outcome) => outcome.write(step.init_done()),
        }
    }

    fn read(from: claim::Reader<'_>) -> Result<Self> {
        Ok(Self {
            key: array("key", from.get_key())?,
            digest: from.get_digest(),
            request: Request(from.get_request()),
            step: read_step(from.get_step())?,
        })
    }
}

fn read_step(from: claim::step::Reader<'_>) -> Result<Step> {
    match from.which()? {
        claim::step::Take(()) => Ok(Step::Take),
        claim::step::Free(()) => Ok(Step::Free),
        claim::step::Done(_) if !from.has_done() => missing("done"),
        claim::step::Done(inner) => Outcome::read(inner?).map(Step::Done),
    }
}

impl Convert for Outcome {
    type Schema = outcome::Owned;

    fn write(&self, mut to: outcome::Builder<'_>) {
        match self {
            Self::Kept {
                status,
                content_type,
                body,
            } => {
                let mut kept = to.init_kept();
                kept.set_status(*status);
                kept.set_content_type(content_type.as_str());
                kept.set_body(body);
            }
            Self::Whole => to.set_whole(()),
            Self::Unknown => to.set_unknown(()),
        }
    }

    fn read(from: outcome::Reader<'_>) -> Result<Self> {
        match from.which()? {
            outcome::Kept(_) if !from.has_kept() => missing("kept"),
            outcome::Kept(inner) => read_kept(inner?),
            outcome::Whole(()) => Ok(Self::Whole),
            outcome::Unknown(()) => Ok(Self::Unknown),
        }
    }
}

fn read_kept(from: kept::Reader<'_>) -> Result<Outcome> {
    Ok(Outcome::Kept {
        status: from.get_status(),
        content_type: string(from.get_content_type())?.to_owned(),
        body: from.get_body()?.to_vec(),
    })
}

impl Convert for Verdict {
    type Schema = verdict::Owned;

    fn write(&self, mut to: verdict::Builder<'_>) {
        to.set_key(&self.key);
        to.set_request(self.request.0);
        let mut finding = to.init_finding();
        match &self.finding {
            Finding::Granted => finding.set_granted(()),
            Finding::Taken(Some(outcome)) => outcome.write(finding.init_ended()),
            Finding::Taken(None) => finding.set_taken(()),
            Finding::Reused => finding.set_reused(()),
            Finding::Down => finding.set_down(()),
            Finding::NotHome => finding.set_not_home(()),
        }
    }

    fn read(from: verdict::Reader<'_>) -> Result<Self> {
        Ok(Self {
            key: array("key", from.get_key())?,
            request: Request(from.get_request()),
            finding: read_finding(from.get_finding())?,
        })
    }
}

fn read_finding(from: verdict::finding::Reader<'_>) -> Result<Finding> {
    match from.which()? {
        verdict::finding::Granted(()) => Ok(Finding::Granted),
        verdict::finding::Taken(()) => Ok(Finding::Taken(None)),
        verdict::finding::Ended(_) if !from.has_ended() => missing("ended"),
        verdict::finding::Ended(inner) => Ok(Finding::Taken(Some(Outcome::read(inner?)?))),
        verdict::finding::Reused(()) => Ok(Finding::Reused),
        verdict::finding::Down(()) => Ok(Finding::Down),
        verdict::finding::NotHome(()) => Ok(Finding::NotHome),
    }
}
