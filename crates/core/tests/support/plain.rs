//! Fake servers of plain services. Each keeps count of what it ran.

use dahliastile_core::effect::Work;
use dahliastile_core::event::{Event, Failure, Head, Reason, Target};
use dahliastile_core::id;

use super::callers::token;
use super::engine::take;
use super::{Fleet, MS, Micros, Origin};

/// One server.
#[derive(Debug)]
pub struct Plain {
    /// Its name.
    pub name: id::Server,
    /// Its address.
    pub address: String,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Whether it is up.
    pub up: bool,
    /// Time of one call.
    pub span: Micros,
    /// Calls that it ran.
    pub runs: u64,
    /// The next calls that it refuses as not run.
    pub refuse: u32,
    /// The next calls that it runs and answers with an error.
    pub reject: u32,
    /// The next calls that it runs and whose connection breaks before the first byte.
    pub break_first: u32,
    /// The next calls that it runs and whose connection breaks after the first byte.
    pub break_after: u32,
    /// The next calls whose answer never comes.
    pub hang: u32,
}

impl Plain {
    /// A server that is up.
    pub fn new(name: &str, zone: &str) -> Self {
        Self {
            name: name.parse().unwrap(),
            address: format!("{name}:8000"),
            zone: zone.parse().unwrap(),
            up: true,
            span: 5 * MS,
            runs: 0,
            refuse: 0,
            reject: 0,
            break_first: 0,
            break_after: 0,
            hang: 0,
        }
    }
}

impl Fleet {
    /// Adds a server of a plain service.
    pub fn add_plain(&mut self, plain: Plain) -> usize {
        self.plains.push(plain);
        self.plains.len() - 1
    }

    pub(crate) fn plain(&self, address: &str) -> Option<&Plain> {
        self.plains.iter().find(|plain| plain.address == address)
    }

    pub(crate) fn plain_takes(&mut self, origin: Origin, work: Work) {
        let attempt = work.attempt;
        let fail = |failure| Event::Failed { attempt, failure };
        let plain = self.plains.iter_mut().find(|p| p.address == *work.address);
        let Some(plain) = plain.filter(|plain| plain.up) else {
            return self.tell(origin, MS, fail(Failure::Refused));
        };
        if take(&mut plain.refuse) {
            return self.tell(origin, MS, fail(Failure::NotRun(Reason::Overloaded)));
        }
        plain.runs += 1;
        let (name, span) = (plain.name.to_string(), plain.span);
        let failure = match () {
            () if take(&mut plain.reject) => Some(Failure::Rejected { status: 500 }),
            () if take(&mut plain.break_first) => Some(Failure::Broken),
            () => None,
        };
        let (hangs, breaks) = (take(&mut plain.hang), take(&mut plain.break_after));
        let Some(ask) = self.ask_of(origin, work.request) else {
            return self.violate(format!("{} was sent but never asked", work.request));
        };
        let call = &self.asks[ask].call;
        let Target::Service(service) = call.target.clone() else {
            return self.violate(format!("{name} is no engine"));
        };
        let data = token(&service, call.digest, 0).into_bytes();
        let run = self.run_begins(ask, &name, &service);
        if let Some(failure) = failure {
            return self.tell(origin, span, fail(failure));
        }
        if hangs {
            return;
        }
        self.asks[ask].runs[run].whole = !breaks;
        let head = Head {
            status: 200,
            content_type: "application/json".to_owned(),
            model: None,
        };
        self.tell(origin, span, Event::Begun { attempt, head });
        if breaks {
            return self.tell(origin, span, fail(Failure::Broken));
        }
        let chunk = Event::Chunk {
            attempt,
            model: None,
            tokens: 1,
            data,
        };
        self.tell(origin, span, chunk);
        self.tell(origin, span, Event::Ended { attempt });
    }
}
