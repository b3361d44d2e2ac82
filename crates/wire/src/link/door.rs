//! The server's side of a connection: the door for strangers and the capability for proved peers.

use std::rc::Rc;
use std::sync::Arc;

use capnp::capability::Promise;
use capnp_rpc::pry;
use dahliastile_core::id::{self, Incarnation};
use futures::channel::oneshot;

use super::context::Context;
use super::guests::{Guests, Pass, Seat};
use super::proof::{Challenge, Nonce, PROOF, Parties};
use super::socket::Trust;
use crate::convert::{array, name};
use crate::error::Result;
use crate::message::decode;
use crate::peer_capnp::{Refusal, admission, door, entry, peer};

/// What a stranger finds on one connection.
pub(crate) struct Door {
    /// What the link's tasks share.
    context: Arc<Context>,
    /// The VMs that are let in.
    guests: Rc<Guests>,
    /// Lifts the bound on reading once the caller is proved.
    trust: Trust,
    /// The challenge that the next entry has to meet.
    challenge: Option<Challenge>,
    /// Takes the seat of the caller that is let in, once.
    admitted: Option<oneshot::Sender<Seat>>,
}

/// An entry as the caller wrote it.
struct Claimed {
    /// Who wants to go where.
    parties: Parties,
    /// The caller's proof.
    proof: [u8; PROOF],
}

impl Door {
    /// A door that hands over the seat of whom it lets in.
    pub(crate) fn new(
        context: Arc<Context>,
        guests: Rc<Guests>,
        trust: Trust,
        admitted: oneshot::Sender<Seat>,
    ) -> Self {
        Self {
            context,
            guests,
            trust,
            challenge: None,
            admitted: Some(admitted),
        }
    }

    /// Meets the caller's random number with one of its own, and proves that it knows the secret.
    fn meet(&mut self, caller: Nonce) -> Result<(Nonce, blake3::Hash)> {
        let server = Nonce::random()?;
        let challenge = Challenge { caller, server };
        self.challenge = Some(challenge);
        Ok((server, self.context.secret.door(&challenge)))
    }

    /// Checks an entry. The secret comes first, so that a stranger learns nothing of names.
    fn check(&self, challenge: &Challenge, claimed: &Claimed) -> std::result::Result<(), Refusal> {
        let expected = self.context.secret.caller(challenge, &claimed.parties);
        // This comparison takes the same time wherever the difference is.
        let proved = expected == blake3::Hash::from_bytes(claimed.proof);
        match &claimed.parties.server {
            _ if !proved => Err(Refusal::Secret),
            server if *server != self.context.vm => Err(Refusal::Name),
            _ => Ok(()),
        }
    }

    fn admit(
        &mut self,
        from: entry::Reader<'_>,
        mut to: admission::Builder<'_>,
    ) -> std::result::Result<(), Refusal> {
        let challenge = self.challenge.take().ok_or(Refusal::Malformed)?;
        let claimed = read(from).map_err(|_| Refusal::Malformed)?;
        self.check(&challenge, &claimed)?;
        let admitted = self.admitted.take().ok_or(Refusal::Malformed)?;
        let parties = &claimed.parties;
        let (seat, pass) = self.guests.seat(&parties.caller);
        let server = self.context.incarnation;
        let proof = self.context.secret.server(&challenge, parties, server);
        let mut welcome = to.reborrow().init_welcome();
        welcome.set_incarnation(server.0);
        welcome.set_proof(proof.as_bytes());
        welcome.set_peer(capnp_rpc::new_client(Receiver {
            context: self.context.clone(),
            vm: parties.caller.clone(),
            incarnation: parties.incarnation,
            pass,
        }));
        self.trust.give();
        // Where the connection is going away, the seat is dropped at once and so given back.
        let _ = admitted.send(seat);
        Ok(())
    }
}

fn read(from: entry::Reader<'_>) -> Result<Claimed> {
    Ok(Claimed {
        parties: Parties {
            caller: name("vm", from.get_vm())?,
            incarnation: Incarnation(from.get_incarnation()),
            server: name("to", from.get_to())?,
        },
        proof: array("proof", from.get_proof())?,
    })
}

impl door::Server for Door {
    fn challenge(
        &mut self,
        params: door::ChallengeParams,
        mut results: door::ChallengeResults,
    ) -> Promise<(), capnp::Error> {
        let nonce = array("nonce", pry!(params.get()).get_nonce()).map(Nonce);
        let (nonce, proof) = pry!(nonce.and_then(|caller| self.meet(caller)));
        let mut to = results.get();
        to.set_nonce(&nonce.0);
        to.set_proof(proof.as_bytes());
        Promise::ok(())
    }

    fn enter(
        &mut self,
        params: door::EnterParams,
        mut results: door::EnterResults,
    ) -> Promise<(), capnp::Error> {
        let mut to = results.get();
        if let Err(refusal) = self.admit(pry!(params.get()), to.reborrow()) {
            to.set_refusal(refusal);
        }
        Promise::ok(())
    }
}

/// Takes messages of one proved VM.
struct Receiver {
    /// What the link's tasks share.
    context: Arc<Context>,
    /// The VM.
    vm: id::Vm,
    /// Its start.
    incarnation: Incarnation,
    /// Shows whether the VM is still let in.
    pass: Pass,
}

impl Receiver {
    /// Takes one message. One that can't be read, of a newer kind perhaps, does not stop the others.
    fn take(&self, bytes: &[u8]) {
        match decode(bytes) {
            Ok(message) => self.context.received(&self.vm, self.incarnation, message),
            Err(_) => self.context.counters.malformed.one(),
        }
    }
}

impl peer::Server for Receiver {
    fn deliver(
        &mut self,
        params: peer::DeliverParams,
        _: peer::DeliverResults,
    ) -> Promise<(), capnp::Error> {
        if !self.pass.show() {
            return Promise::err(capnp::Error::disconnected("replaced".to_owned()));
        }
        for bytes in pry!(pry!(params.get()).get_messages()) {
            self.take(pry!(bytes));
        }
        Promise::ok(())
    }
}
