//! What a peer without the secret, or without manners, gets.

mod fleet;
mod relay;
#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    unreachable_pub,
    unused
)]
#[rustfmt::skip]
#[path = "../src/generated/peer_capnp.rs"]
mod peer_capnp;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::{RpcSystem, new_client};
use dahliastile_core::time::Span;
use dahliastile_wire::{Error, Secret, Step};
use fleet::{Node, PATIENCE, Plan, heard};
use peer_capnp::{Refusal, admission, door};
use quickcheck::{Arbitrary, Gen};
use relay::Relay;
use tokio::task::LocalSet;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// Runs a test that speaks the protocol itself.
fn run<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let limited = async { tokio::time::timeout(PATIENCE, work).await.unwrap() };
    runtime.block_on(LocalSet::new().run_until(limited))
}

fn system(
    stream: tokio::net::TcpStream,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
) -> RpcSystem<Side> {
    let (reader, writer) = futures::AsyncReadExt::split(stream.compat());
    let network = VatNetwork::new(reader, writer, side, capnp::message::ReaderOptions::new());
    RpcSystem::new(Box::new(network), bootstrap)
}

async fn door(address: SocketAddr) -> door::Client {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let mut system = system(stream, Side::Client, None);
    let door = system.bootstrap(Side::Server);
    tokio::task::spawn_local(system);
    door
}

/// Sends an entry with a proof that is made up, and returns the refusal.
async fn enter(door: &door::Client, to: &str, proof: &[u8]) -> Refusal {
    let mut request = door.enter_request();
    request.get().set_vm("s");
    request.get().set_to(to);
    request.get().set_proof(proof);
    let answer = request.send().promise.await.unwrap();
    match answer.get().unwrap().which().unwrap() {
        admission::Refusal(refusal) => refusal.unwrap(),
        admission::Welcome(_) => panic!("a stranger was let in"),
    }
}

async fn challenge(door: &door::Client) {
    let mut request = door.challenge_request();
    request.get().set_nonce(&[1; 32]);
    request.send().promise.await.unwrap();
}

/// Reads until the other side closes, and returns what it sent.
fn read_to_close(mut stream: &TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    match stream.read_to_end(&mut bytes) {
        Err(error) if error.kind() != ErrorKind::ConnectionReset => panic!("{error}"),
        _ => bytes,
    }
}

#[test]
fn secret_of_other_fleet_is_refused() {
    let mut plan = Plan::new("b");
    plan.secret = "a secret of other length";
    let (a, b) = (Node::new("a"), plan.start());
    a.send("b", &b, 1);
    assert_eq!(a.next_down(), ("b".to_owned(), false, Error::WrongSecret));
    assert!(b.news.is_empty());
}

#[test]
fn secret_too_short_is_refused() {
    assert_eq!(
        "too short".parse::<Secret>().err(),
        Some(Error::ShortSecret(16))
    );
}

#[test]
fn secret_is_not_printed() {
    let secret: Secret = fleet::SECRET.parse().unwrap();
    assert_eq!(format!("{secret:?}"), "Secret");
}

#[test]
fn entry_with_made_up_proof_learns_no_name() {
    let a = Node::new("a");
    run(async {
        // The answer is the same whether the name fits or not.
        for name in ["a", "b"] {
            let door = door(a.link.address()).await;
            challenge(&door).await;
            assert_eq!(enter(&door, name, &[7; 32]).await, Refusal::Secret);
        }
    });
    assert!(a.news.is_empty());
}

#[test]
fn entry_without_challenge_is_refused() {
    let a = Node::new("a");
    run(async {
        let door = door(a.link.address()).await;
        assert_eq!(enter(&door, "a", &[7; 32]).await, Refusal::Malformed);
        // A challenge is good for one entry only.
        challenge(&door).await;
        assert_eq!(enter(&door, "a", &[7; 32]).await, Refusal::Secret);
        assert_eq!(enter(&door, "a", &[7; 32]).await, Refusal::Malformed);
    });
}

#[test]
fn entry_that_is_malformed_is_refused() {
    let a = Node::new("a");
    run(async {
        let door = door(a.link.address()).await;
        for (name, proof) in [("", [7; 32].as_slice()), ("a", &[7; 31]), ("a b", &[7; 32])] {
            challenge(&door).await;
            assert_eq!(enter(&door, name, proof).await, Refusal::Malformed);
        }
    });
}

/// A server that does not know the secret and notes whether anyone tries to enter.
struct Impostor(flume::Sender<()>);

impl door::Server for Impostor {
    fn challenge(
        &mut self,
        _: door::ChallengeParams,
        mut results: door::ChallengeResults,
    ) -> capnp::capability::Promise<(), capnp::Error> {
        results.get().set_nonce(&[2; 32]);
        results.get().set_proof(&[3; 32]);
        capnp::capability::Promise::ok(())
    }

    fn enter(
        &mut self,
        _: door::EnterParams,
        _: door::EnterResults,
    ) -> capnp::capability::Promise<(), capnp::Error> {
        self.0.send(()).unwrap();
        capnp::capability::Promise::ok(())
    }
}

#[test]
fn impostor_learns_no_name() {
    let a = Node::new("a");
    let (sender, entries) = flume::unbounded();
    run(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        a.send_to("b", &listener.local_addr().unwrap().to_string(), 1);
        let (stream, _) = listener.accept().await.unwrap();
        let impostor: door::Client = new_client(Impostor(sender));
        // The caller closes the connection.
        let _ = system(stream, Side::Server, Some(impostor.client)).await;
    });
    assert_eq!(a.next_down(), ("b".to_owned(), false, Error::WrongSecret));
    assert!(entries.is_empty());
}

#[test]
fn garbage_does_no_harm() {
    let (a, b) = (Node::new("a"), Node::new("b"));
    let mut g = Gen::from_size_and_seed(400, 9);
    for _ in 0..40 {
        let mut stream = TcpStream::connect(a.link.address()).unwrap();
        let garbage = Vec::<u8>::arbitrary(&mut g);
        // The link may close the connection before all is written.
        let _ = stream.write_all(&garbage);
        let _ = stream.shutdown(Shutdown::Write);
        read_to_close(&stream);
    }
    b.send("a", &a, 1);
    assert_eq!(a.next(), heard("b", 1, 1));
    assert_eq!(a.link.counts().malformed, 0);
}

#[test]
fn flood_of_bytes_is_cut() {
    let mut plan = Plan::new("a");
    plan.limits.handshake = Span::from_secs(3_600);
    let a = plan.start();
    let mut stream = TcpStream::connect(a.link.address()).unwrap();
    // The first half of a message of 64 KiB, which a stranger has no use for.
    let mut flood = vec![0; 32 << 10];
    flood[4..8].copy_from_slice(&(8_u32 << 10).to_le_bytes());
    let _ = stream.write_all(&flood);
    read_to_close(&stream);
}

#[test]
fn stranger_that_says_nothing_is_closed() {
    let mut plan = Plan::new("a");
    plan.limits.handshake = Span::from_millis(20);
    let a = plan.start();
    let stream = TcpStream::connect(a.link.address()).unwrap();
    assert!(read_to_close(&stream).is_empty());
}

#[test]
fn strangers_beyond_limit_are_closed_at_once() {
    let mut plan = Plan::new("a");
    plan.limits.handshake = Span::from_secs(3_600);
    plan.limits.strangers = 2;
    let a = plan.start();
    let first = TcpStream::connect(a.link.address()).unwrap();
    let _second = TcpStream::connect(a.link.address()).unwrap();
    read_to_close(&TcpStream::connect(a.link.address()).unwrap());
    drop(first);
    let b = Node::new("b");
    b.send_until_heard("a", &a);
}

#[test]
fn listener_of_another_protocol_is_reported() {
    let other = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let a = Node::new("a");
    a.send_to("b", &other.local_addr().unwrap().to_string(), 1);
    let (mut stream, _) = other.accept().unwrap();
    stream
        .write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n")
        .unwrap();
    let (peer, refused, cause) = a.next_down();
    assert_eq!((peer.as_str(), refused), ("b", false));
    assert!(matches!(cause, Error::Broken(_)), "{cause:?}");
}

#[test]
fn peer_that_freezes_is_reported() {
    let limit = Span::from_millis(50);
    let mut plan = Plan::new("a");
    plan.limits.delivery = limit;
    let (a, b) = (plan.start(), Node::new("b"));
    let relay = Relay::new(b.link.address());
    let address = relay.address().to_string();
    a.send_to("b", &address, 1);
    assert_eq!(b.next(), heard("a", 1, 1));
    relay.freeze();
    a.send_to("b", &address, 2);
    let step = Step::Delivery;
    let cause = Error::Timeout { step, limit };
    assert_eq!(a.next_down(), ("b".to_owned(), false, cause));
}

#[test]
fn replay_of_a_recorded_connection_is_refused() {
    let (a, b) = (Node::new("a"), Node::new("b"));
    let relay = Relay::new(b.link.address());
    a.send_to("b", &relay.address().to_string(), 1);
    assert_eq!(b.next(), heard("a", 1, 1));
    let recorded = relay.recorded();
    assert!(!recorded.is_empty());
    let mut stream = TcpStream::connect(b.link.address()).unwrap();
    stream.write_all(&recorded).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    read_to_close(&stream);
    assert!(b.news.is_empty());
}
