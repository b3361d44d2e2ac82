//! Links over real sockets.

mod fleet;

use std::net::{SocketAddr, TcpListener};

use dahliastile_core::id::{Edition, Incarnation};
use dahliastile_core::peer::{Message, Piece};
use dahliastile_core::time::Span;
use dahliastile_wire::{Error, Limits, MAX_MESSAGE, Step};
use fleet::{Node, Plan, heard, vm};
use tokio::net::TcpSocket;

/// An address where nothing listens, and which nobody else gets while this is held.
struct Deserted(TcpSocket);

impl Deserted {
    fn new() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
        Self(socket)
    }

    fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }
}

#[test]
fn send_delivers_both_ways() {
    let (a, b) = (Node::new("a"), Node::new("b"));
    a.send("b", &b, 1);
    assert_eq!(b.next(), heard("a", 1, 1));
    b.send("a", &a, 2);
    assert_eq!(a.next(), heard("b", 1, 2));
}

#[test]
fn send_keeps_order_over_many_batches() {
    let (a, b) = (Node::new("a"), Node::new("b"));
    for number in 0..5_000 {
        a.send("b", &b, number);
        if number % 100 == 99 {
            for expected in number - 99..=number {
                assert_eq!(b.next(), heard("a", 1, expected));
            }
        }
    }
    assert_eq!(a.link.counts().dropped, 0);
    assert_eq!(b.link.counts().received, 5_000);
}

#[test]
fn send_to_deserted_address_reports_refused() {
    let (a, deserted) = (Node::new("a"), Deserted::new());
    a.send_to("b", &deserted.address().to_string(), 1);
    assert_eq!(
        a.next_down(),
        ("b".to_owned(), true, Error::ConnectionRefused)
    );
}

#[test]
fn send_to_bad_address_reports_it() {
    let a = Node::new("a");
    a.send_to("b", "b.example:7000", 1);
    let cause = Error::Address("b.example:7000".to_owned());
    assert_eq!(a.next_down(), ("b".to_owned(), false, cause));
}

#[test]
fn send_to_other_vm_reports_wrong_name() {
    let (a, b) = (Node::new("a"), Node::new("b"));
    a.send("c", &b, 1);
    assert_eq!(a.next_down(), ("c".to_owned(), false, Error::WrongName));
    assert!(b.news.is_empty());
}

#[test]
fn send_to_silent_listener_reports_timeout() {
    let silent = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let limit = Span::from_millis(50);
    let mut plan = Plan::new("a");
    plan.limits.handshake = limit;
    let a = plan.start();
    a.send_to("b", &silent.local_addr().unwrap().to_string(), 1);
    let step = Step::Handshake;
    let cause = Error::Timeout { step, limit };
    assert_eq!(a.next_down(), ("b".to_owned(), false, cause));
}

#[test]
fn send_after_failure_connects_again() {
    let (a, deserted) = (Node::new("a"), Deserted::new());
    a.send_to("b", &deserted.address().to_string(), 1);
    a.next_down();
    let mut plan = Plan::new("b");
    plan.listen = deserted.address();
    let b = plan.start();
    assert_eq!(a.send_until_heard("b", &b), Incarnation(1));
}

#[test]
fn send_to_new_address_leaves_old_link() {
    let (a, old, new) = (Node::new("a"), Node::new("b"), Node::new("b"));
    a.send("b", &old, 1);
    assert_eq!(old.next(), heard("a", 1, 1));
    a.send("b", &new, 2);
    assert_eq!(new.next(), heard("a", 1, 2));
    let (peer, refused, _) = old.next_down();
    assert_eq!((peer.as_str(), refused), ("a", false));
}

#[test]
fn send_beyond_queue_drops_oldest() {
    let silent = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = silent.local_addr().unwrap().to_string();
    let mut plan = Plan::new("a");
    plan.limits.queue = 3;
    let a = plan.start();
    for number in 0..10 {
        a.send_to("b", &address, number);
    }
    assert_eq!(a.link.counts().dropped, 7);
}

#[test]
fn send_of_too_large_message_is_counted() {
    let (a, deserted) = (Node::new("a"), Deserted::new());
    let piece = Message::Piece(Piece::Edits {
        first: Edition(1),
        edits: vec![vec![1; MAX_MESSAGE]],
    });
    a.link
        .send(&vm("b"), &deserted.address().to_string(), &piece);
    assert_eq!(a.link.counts().oversized, 1);
}

#[test]
fn send_of_large_message_delivers() {
    let (a, b) = (Node::new("a"), Node::new("b"));
    let piece = Message::Piece(Piece::Edits {
        first: Edition(1),
        edits: vec![vec![0xa5; MAX_MESSAGE / 2], vec![0; MAX_MESSAGE / 3]],
    });
    a.link.send(&vm("b"), &b.address(), &piece);
    match b.next() {
        dahliastile_wire::Incoming::Message { message, .. } => assert!(message == piece),
        other @ dahliastile_wire::Incoming::Down { .. } => panic!("{other:?}"),
    }
}

#[test]
fn restart_is_noticed_and_connected_again() {
    let (a, b) = (Node::new("a"), Node::new("b"));
    a.send("b", &b, 1);
    b.send("a", &a, 2);
    assert_eq!(b.next(), heard("a", 1, 1));
    assert_eq!(a.next(), heard("b", 1, 2));
    let listen = b.link.address();
    b.link.stop();
    let (peer, refused, _) = a.next_down();
    assert_eq!((peer.as_str(), refused), ("b", false));
    let mut plan = Plan::new("b");
    plan.listen = listen;
    plan.incarnation = 2;
    let b = plan.start();
    a.send_until_heard("b", &b);
    b.send("a", &a, 3);
    let expected = heard("b", 2, 3);
    while a.next() != expected {}
}

#[test]
fn new_incarnation_replaces_old_link() {
    let (a, old) = (Node::new("a"), Node::new("b"));
    old.send("a", &a, 1);
    assert_eq!(a.next(), heard("b", 1, 1));
    let mut plan = Plan::new("b");
    plan.incarnation = 2;
    let new = plan.start();
    new.send("a", &a, 2);
    assert_eq!(a.next(), heard("b", 2, 2));
    // The old start finds its link closed, while the other side says nothing: the VM is not down.
    let (peer, refused, _) = old.next_down();
    assert_eq!((peer.as_str(), refused), ("a", false));
    assert!(a.news.is_empty());
}

#[test]
fn guests_beyond_limit_close_the_most_silent() {
    let mut plan = Plan::new("a");
    plan.limits.guests = 2;
    let a = plan.start();
    let (b, c, d) = (Node::new("b"), Node::new("c"), Node::new("d"));
    b.send("a", &a, 1);
    assert_eq!(a.next(), heard("b", 1, 1));
    c.send("a", &a, 2);
    assert_eq!(a.next(), heard("c", 1, 2));
    b.send("a", &a, 3);
    assert_eq!(a.next(), heard("b", 1, 3));
    d.send("a", &a, 4);
    assert_eq!(a.next(), heard("d", 1, 4));
    assert_eq!(c.next_down().0, "a");
    b.send("a", &a, 5);
    assert_eq!(a.next(), heard("b", 1, 5));
}

#[test]
fn stop_delivers_what_was_sent() {
    let mut plan = Plan::new("a");
    plan.limits.flush = Span::from_secs(30);
    let (a, b) = (plan.start(), Node::new("b"));
    for number in 0..300 {
        a.send("b", &b, number);
    }
    a.link.stop();
    for number in 0..300 {
        assert_eq!(b.next(), heard("a", 1, number));
    }
}

#[test]
fn start_refuses_taken_address() {
    let a = Node::new("a");
    let mut plan = Plan::new("b");
    plan.listen = a.link.address();
    assert!(matches!(plan.try_start().err(), Some(Error::Listen { .. })));
}

#[test]
fn limits_allow_largest_message() {
    assert!(Limits::default().queue_bytes >= MAX_MESSAGE);
}
