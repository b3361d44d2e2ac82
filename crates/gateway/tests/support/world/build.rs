//! Simulates servers of several builds of their software, and callers that resume streams. What two builds write does not
//! fit together, and servers don't check it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use dahliastile_core::id::{Build, Incarnation, Server};
use dahliastile_core::time::Instant;
use dahliastile_gateway::cluster::snapshot::KnownBuild;
use dahliastile_gateway::event::{CallerRequest, Resumption};
use dahliastile_gateway::message::{Message, decode, encode};

use super::{Answer, World};
use crate::support::setup::name;

/// What the callers of all streams hold of them.
#[derive(Default)]
pub struct Streams {
    /// The builds whose events reached the caller, by the id of the request that brought the first event.
    builds: BTreeMap<Arc<str>, BTreeSet<Build>>,
}

impl Streams {
    /// Records that events of a server's build reach the caller of a request.
    pub(super) fn record_events(&mut self, request: &CallerRequest, build: &KnownBuild) {
        if let Some(build) = &build.0 {
            let stream = first_request(request).unwrap_or(&request.id);
            let builds = self.builds.entry(stream.clone()).or_default();
            builds.insert(build.clone());
        }
    }

    /// Returns the streams that hold events of two builds.
    pub fn mixed(&self) -> Vec<&str> {
        let mixed = self.builds.iter().filter(|(_, builds)| builds.len() > 1);
        mixed.map(|(stream, _)| &**stream).collect()
    }

    /// Returns the build that began a stream; none if no event of it has reached its caller.
    pub fn build(&self, stream: &str) -> Option<&Build> {
        self.builds.get(stream)?.first()
    }
}

/// Returns the request that brought the first event of the stream that a request resumes.
fn first_request(request: &CallerRequest) -> Option<&Arc<str>> {
    request.resumes.as_ref()?.first_request.as_ref()
}

impl World {
    /// Restarts a server under the same id with another build. Its entry stays as it is until it is written again.
    pub fn restart_as(&mut self, id: &str, incarnation: u64, build: &str) {
        let id: Server = name(id);
        let (engine, backend) = self.servers.get_mut(&id).expect("the server exists");
        let adapters = engine.slots.clone();
        engine.restart(self.now, Incarnation(incarnation));
        // As if it had loaded them at once, so that requests run there before its entry changes.
        engine.slots = adapters;
        let mut restarted = (**backend).clone();
        restarted.start = Some(Incarnation(incarnation));
        restarted.build = KnownBuild(Some(name(build)));
        *backend = Arc::new(restarted);
    }

    /// Replaces an engine by one of a build, as an operator does who releases it: the new one starts first, then the old
    /// one leaves and gets no new work.
    pub fn release(&mut self, old: &str, new: &str, build: &str) {
        let number = self.servers.len();
        self.add_server_of(new, number, true, build);
        self.drain(old);
    }

    /// Has the caller of a request resume its stream at a VM, after it has closed its connection if that is still open.
    /// Returns the number of the new request.
    pub fn resume(&mut self, number: u64, vm: usize) -> u64 {
        let request = self.requests[&number].request.clone();
        if self.vms[self.requests[&number].vm].gateway.is_some() {
            self.disconnect_caller(number);
        }
        self.forget_run(number);
        let stream = first_request(&request).unwrap_or(&request.id).clone();
        let resumption = Resumption {
            first_request: Some(stream),
            last_event: Some("2".into()),
        };
        let again = CallerRequest {
            id: format!("{}+{}", request.id, self.now.0).into(),
            resumes: Some(resumption),
            ..request
        };
        self.send_request(vm, again)
    }

    /// Returns those of some requests whose caller has an event, and which are not over.
    pub fn streaming(&self, numbers: &[u64]) -> Vec<u64> {
        let has_event = |number: &&u64| {
            let record = &self.requests[*number];
            let stream = first_request(&record.request).unwrap_or(&record.request.id);
            let runs = self.running.get(*number);
            self.streams.builds.contains_key(stream) && runs.is_some_and(|run| run.answer_started)
        };
        numbers.iter().filter(has_event).copied().collect()
    }

    /// Returns how many of some requests' callers got events, of those that were sent to a VM within a time span.
    pub fn began(&self, numbers: &[u64], span: std::ops::Range<Instant>) -> (usize, usize) {
        let records = numbers.iter().map(|number| &self.requests[number]);
        let sent: Vec<_> = records.filter(|record| span.contains(&record.at)).collect();
        let began = |record: &&&super::RequestRecord| {
            matches!(record.ended, Some((_, Answer::Served(_) | Answer::Cut)))
        };
        (sent.iter().filter(began).count(), sent.len())
    }

    /// Returns a message as its receiver decodes it.
    pub(super) fn received(message: Message) -> Message {
        match message {
            // The encoding leaves parts of these out.
            Message::Replicate(_) | Message::DetailedPlacementRequest(..) => {
                let bytes = encode(&[message]).expect("a message can be encoded");
                let decoded = decode(&bytes).expect("it decodes");
                decoded.into_iter().next().expect("there is one")
            }
            message => message,
        }
    }
}
