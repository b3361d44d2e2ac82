//! A proved connection to another VM.

use std::io::ErrorKind;
use std::net::SocketAddr;

use capnp_rpc::rpc_twoparty_capnp::Side;
use dahliastile_core::id;
use dahliastile_core::id::Incarnation;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::context::Context;
use super::proof::{Challenge, Nonce, PROOF, Parties};
use super::socket::Socket;
use super::{rpc, within};
use crate::convert::array;
use crate::error::{Error, Result, Step};
use crate::peer_capnp::{Refusal, admission, door, peer, welcome};

/// A proved connection to another VM.
pub(crate) struct Session {
    /// What takes messages on the other side.
    peer: peer::Client,
    /// The connection itself.
    connection: Connection,
}

/// The task that drives a connection. Dropping it ends the task and closes the stream.
struct Connection {
    /// The task.
    driver: JoinHandle<()>,
    /// The stream.
    _socket: Socket,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Session {
    /// Connects to a VM and has it prove itself.
    pub(crate) async fn open(context: &Context, to: &id::Vm, address: &str) -> Result<Self> {
        let stream = within(Step::Connect, context.limits.connect, connect(address)).await??;
        let socket = Socket::new(stream);
        let trust = socket.trust();
        let mut system = rpc(&socket, Side::Client, None);
        let door: door::Client = system.bootstrap(Side::Server);
        let connection = Connection {
            driver: tokio::task::spawn_local(async { drop(system.await) }),
            _socket: socket,
        };
        let handshake = enter(context, to, &door);
        let peer = within(Step::Handshake, context.limits.handshake, handshake).await??;
        trust.give();
        Ok(Self { peer, connection })
    }

    /// Delivers messages. The call is on its way when this returns; the future waits for its answer.
    pub(crate) fn deliver(
        &self,
        context: &Context,
        messages: &[Vec<u8>],
    ) -> impl Future<Output = Result<usize>> + 'static {
        let mut request = self.peer.deliver_request();
        let count = messages.len();
        let length = u32::try_from(count).expect("a batch is small");
        let mut list = request.get().init_messages(length);
        for (at, message) in (0..).zip(messages) {
            list.set(at, message);
        }
        let answer = request.send().promise;
        let limit = context.limits.delivery;
        async move {
            let answer = within(Step::Delivery, limit, answer).await?;
            answer.map(|_| count).map_err(|error| broken(&error))
        }
    }

    /// Waits until the connection ends.
    pub(crate) async fn ended(&mut self) -> Error {
        // Whether the driver returned or failed, the connection is over.
        let _ = (&mut self.connection.driver).await;
        Error::Broken("the peer closed it".to_owned())
    }
}

async fn connect(address: &str) -> Result<TcpStream> {
    let address: SocketAddr = address
        .parse()
        .map_err(|_| Error::Address(address.to_owned()))?;
    match TcpStream::connect(address).await {
        // TCP joins a connection to itself when the system picks the target's port for its near end.
        Ok(stream) if stream.local_addr().is_ok_and(|near| near == address) => {
            Err(Error::ConnectionRefused)
        }
        Ok(stream) => Ok(stream),
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => Err(Error::ConnectionRefused),
        Err(error) => Err(Error::Connect(error.to_string())),
    }
}

/// Proves the secret to each other. Names are told only to a server that has proved the secret.
async fn enter(context: &Context, to: &id::Vm, door: &door::Client) -> Result<peer::Client> {
    let challenge = challenge(context, door).await?;
    let parties = Parties {
        caller: context.vm.clone(),
        incarnation: context.incarnation,
        server: to.clone(),
    };
    let proof = context.secret.caller(&challenge, &parties);
    let mut request = door.enter_request();
    let mut entry = request.get();
    entry.set_vm(parties.caller.as_str());
    entry.set_incarnation(parties.incarnation.0);
    entry.set_to(parties.server.as_str());
    entry.set_proof(proof.as_bytes());
    let answer = request
        .send()
        .promise
        .await
        .map_err(|error| broken(&error))?;
    match answer.get()?.which()? {
        admission::Welcome(welcome) => greeted(context, &challenge, &parties, welcome?),
        admission::Refusal(refusal) => Err(refused(refusal?)),
    }
}

/// Exchanges random numbers, and checks that the server knows the secret.
async fn challenge(context: &Context, door: &door::Client) -> Result<Challenge> {
    let caller = Nonce::random()?;
    let mut request = door.challenge_request();
    request.get().set_nonce(&caller.0);
    let answer = request
        .send()
        .promise
        .await
        .map_err(|error| broken(&error))?;
    let answer = answer.get()?;
    let server = Nonce(array("nonce", answer.get_nonce())?);
    let challenge = Challenge { caller, server };
    let proof: [u8; PROOF] = array("proof", answer.get_proof())?;
    verify(context.secret.door(&challenge), proof)?;
    Ok(challenge)
}

/// Checks that the server vouches for its name and start.
fn greeted(
    context: &Context,
    challenge: &Challenge,
    parties: &Parties,
    from: welcome::Reader<'_>,
) -> Result<peer::Client> {
    let incarnation = Incarnation(from.get_incarnation());
    let proof: [u8; PROOF] = array("proof", from.get_proof())?;
    verify(
        context.secret.server(challenge, parties, incarnation),
        proof,
    )?;
    Ok(from.get_peer()?)
}

fn verify(expected: blake3::Hash, found: [u8; PROOF]) -> Result<()> {
    // This comparison takes the same time wherever the difference is.
    let same = expected == blake3::Hash::from_bytes(found);
    same.then_some(()).ok_or(Error::WrongSecret)
}

fn refused(refusal: Refusal) -> Error {
    match refusal {
        Refusal::Secret => Error::WrongSecret,
        Refusal::Name => Error::WrongName,
        Refusal::Malformed => Error::BadEntry,
    }
}

fn broken(error: &capnp::Error) -> Error {
    Error::Broken(error.to_string())
}
