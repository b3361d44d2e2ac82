//! What is known of one entry VM, and which of two pieces of news about it is the later one.
//!
//! A VM counts its own beats in even numbers. A VM that suspects another raises the last beat it knows of it by one
//! and spreads that: it beats the news it rests on, and is beaten by the next sign of life.

use crate::id::{self, Edition, Incarnation};
use crate::peer::Member;
use crate::time::Instant;

use super::ring;

/// How far a VM's own beat goes up with each heartbeat.
pub(super) const BEAT: u64 = 2;

/// One other entry VM.
#[derive(Clone, Debug)]
#[allow(clippy::struct_excessive_bools)]
pub(super) struct Row {
    /// The latest news of it.
    pub(super) member: Member,
    /// The hash of its name.
    pub(super) hash: u64,
    /// Whether anything was heard of it; otherwise only the platform lists it.
    pub(super) heard: bool,
    /// When the row was made.
    pub(super) added: Instant,
    /// When later news of it last arrived, from whomever.
    pub(super) word: Instant,
    /// When it last sent a message itself.
    pub(super) direct: Option<Instant>,
    /// Since when it is expected to send heartbeats to this VM.
    pub(super) expected: Option<Instant>,
    /// Until when its silence towards this VM says nothing: others hear it.
    pub(super) muted: Instant,
    /// When it was last asked for a sign of life.
    pub(super) probed: Instant,
    /// When the present suspicion was first heard of.
    pub(super) doubted: Instant,
    /// Whether this VM raised the present suspicion.
    pub(super) accused: bool,
    /// Whether its address refused a connection after the last message from it.
    pub(super) refused: bool,
    /// Whether the platform's last list had it.
    pub(super) listed: bool,
    /// Whether that list said that it is leaving.
    pub(super) listed_leaving: bool,
    /// In how many more rounds of heartbeats it is told on as news.
    pub(super) rounds: u8,
    /// Whether it was logged as gone.
    pub(super) buried: bool,
}

impl Row {
    /// A row of a VM of which nothing is known but where it is.
    pub(super) fn new(vm: id::Vm, address: String, zone: id::Zone, now: Instant) -> Self {
        Self {
            hash: ring::digest(vm.as_str().as_bytes()),
            member: Member {
                vm,
                address,
                zone,
                incarnation: Incarnation(0),
                beat: 0,
                leaving: false,
                edition: Edition(0),
            },
            heard: false,
            added: now,
            word: now,
            direct: None,
            expected: None,
            muted: Instant(0),
            probed: Instant(0),
            doubted: now,
            accused: false,
            refused: false,
            listed: false,
            listed_leaving: false,
            rounds: 0,
            buried: false,
        }
    }

    /// Whether someone suspects that it is gone and it has not shown itself since.
    pub(super) const fn suspected(&self) -> bool {
        suspicion(&self.member)
    }

    /// Whether it takes part in the fleet, be it leaving or not.
    pub(super) const fn present(&self) -> bool {
        self.heard && !self.suspected()
    }

    /// Whether it takes new work.
    pub(super) const fn live(&self) -> bool {
        self.present() && !self.member.leaving && !self.listed_leaving
    }

    /// Takes later news of it in.
    pub(super) fn adopt(&mut self, news: Member, now: Instant) {
        let suspected = suspicion(&news);
        if suspected && !self.suspected() {
            self.doubted = now;
        }
        self.accused &= suspected;
        self.refused &= suspected && news.incarnation == self.member.incarnation;
        self.buried &= suspected;
        self.heard = true;
        self.word = now;
        self.member = news;
    }

    /// Raises a suspicion.
    pub(super) fn doubt(&mut self, now: Instant) {
        let mut news = self.member.clone();
        news.beat |= 1;
        news.leaving = true;
        self.adopt(news, now);
        self.accused = true;
    }
}

/// Which news of one VM is later: the greater.
pub(super) const fn order(member: &Member) -> (Incarnation, u64) {
    (member.incarnation, member.beat)
}

/// Whether news says that a VM is suspected.
pub(super) const fn suspicion(member: &Member) -> bool {
    !member.beat.is_multiple_of(BEAT)
}
