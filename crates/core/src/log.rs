//! Numbered log events. The catalogue in `docs/EVENTS.md` is held equal to this table by a test.

use serde::{Deserialize, Serialize};

/// How grave an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Of use when looking for a fault.
    Debug,
    /// Ordinary news.
    Info,
    /// Something that an operator may want to look at.
    Warn,
    /// A promise is at risk, or the VM can't work.
    Error,
}

macro_rules! events {
    ($($(#[doc = $doc:literal])* $code:ident = $number:literal $level:ident $advice:literal;)*) => {
        /// A kind of log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum Code {
            $($(#[doc = $doc])* $code = $number,)*
        }

        impl Code {
            /// Every kind, by number.
            pub const ALL: &[Self] = &[$(Self::$code),*];

            /// The number.
            #[must_use]
            pub const fn number(self) -> u16 {
                self as u16
            }

            /// How grave it is.
            #[must_use]
            pub const fn level(self) -> Level {
                match self { $(Self::$code => Level::$level,)* }
            }

            /// What it means.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$code => concat!($($doc),*),)* }
            }

            /// What an operator does about it.
            #[must_use]
            pub const fn advice(self) -> &'static str {
                match self { $(Self::$code => $advice,)* }
            }
        }
    };
}

events! {
    /// The daemon started.
    Started = 100 Info "Nothing.";
    /// The daemon began to drain.
    Draining = 101 Info "Nothing; new connections go to other VMs.";
    /// The daemon stopped with nothing left in progress.
    Stopped = 102 Info "Nothing.";
    /// The daemon was told to stop at once and cut requests in progress.
    Cutting = 103 Warn "Check why a second signal was sent.";
    /// The node was not run for longer than a pause allows and gave its leases and grants up.
    Paused = 104 Warn "Look for a frozen or overcommitted VM.";
    /// The settings file was read again and its figures are in force.
    Reloaded = 105 Info "Nothing.";
    /// The settings file was read again and can't be used; the figures stay as they were.
    ReloadFailed = 106 Warn "Correct the file and have it read again.";
    /// The process came to what was due later than other VMs expect, with the events that wait for it.
    Late = 107 Warn "Look for a VM with too small a share of its processor, or with more work than the others.";
    /// The process ended while a request had no final answer; what the request waited for.
    Unanswered = 108 Warn "Look for what it waited for; its caller saw the connection end.";
    /// Clients were turned away for want of room, in the last second at most: new connections, requests, and connections that ended for others; what clients make the process hold, and what they may.
    ClientsShed = 109 Warn "Look whether `held` or the connections are at their bound, and whose they are; docs/OPERATIONS.md goes on from here.";
    /// The configured limit on bodies is larger than what clients may make the process hold; bodies over `largest` are refused.
    BodyLimitTooLarge = 110 Warn "Lower the limit on bodies, or give the VM more memory.";
    /// A task of the process ended by a panic; what it does, and the message.
    TaskPanicked = 111 Error "Report it with the log around it; what the task was for is told as lost, and the others go on.";
    /// An edition of the configuration is in force on this VM.
    EditionInForce = 200 Info "Nothing.";
    /// A configuration that was read does not hold together and was not applied.
    EditionRejected = 201 Error "Compare the key-value service's content with `dahliactl rules history`.";
    /// An operator's edit was accepted.
    EditAccepted = 202 Info "Nothing.";
    /// An operator's edit was refused.
    EditRefused = 203 Info "The operator sees both versions and decides.";
    /// This VM wrote editions again that are in force and that the key-value service had lost.
    EditionsWrittenAgain = 204 Warn "Check why the key-value service lost what it had acknowledged.";
    /// The key-value service lacks editions that are in force here, and this VM can't write them again.
    EditionsNotWritten = 205 Error "If no VM logs E204, see `docs/OPERATIONS.md`.";
    /// The key-value service stopped answering.
    PlatformLost = 300 Warn "Check the key-value service; what is resident is served on.";
    /// The key-value service answers again.
    PlatformBack = 301 Info "Nothing.";
    /// This VM holds a control domain.
    LeaseTaken = 400 Info "Nothing.";
    /// This VM gave a control domain up.
    LeaseLost = 401 Info "Another VM takes it within seconds.";
    /// A load was ordered.
    LoadOrdered = 410 Debug "Nothing.";
    /// A load is done.
    LoadDone = 411 Debug "Nothing.";
    /// A load failed.
    LoadFailed = 412 Warn "If it repeats, check the weight store and the adapter's files.";
    /// An adapter is revoked so that another can take its slot.
    RevokeBegun = 413 Debug "Nothing.";
    /// A revoked adapter is still in use somewhere long after it was revoked.
    RevokeSlow = 414 Warn "Look for a VM that is frozen or cut off.";
    /// A backend server does not answer.
    ServerLost = 420 Warn "Check the server.";
    /// A backend server started anew.
    ServerRestarted = 421 Warn "Nothing if it was planned; its adapters are loaded again.";
    /// A backend server is leaving and gets no new work.
    ServerLeaving = 422 Info "Nothing.";
    /// A piece of an answer came for an attempt that is over, and was dropped.
    PieceDropped = 500 Debug "Nothing.";
    /// A backend server answered with another adapter or version than asked.
    WrongAdapter = 501 Error "Take the server out and check its engine.";
    /// A request failed after it may have run.
    MayHaveRun = 502 Warn "The caller was told so.";
    /// A request was refused.
    Refused = 503 Debug "Nothing.";
    /// An idempotency key came a second time.
    Duplicate = 504 Info "Nothing.";
    /// Another entry VM joined.
    PeerJoined = 600 Info "Nothing.";
    /// Another entry VM is suspected to be gone.
    PeerSuspected = 601 Warn "Check the VM if it was not replaced.";
    /// Another entry VM is gone.
    PeerGone = 602 Info "Nothing.";
    /// The key-value service no longer has the history that was asked for; everything is listed anew.
    StoreCompacted = 310 Info "Nothing.";
    /// The key-value service has come back from a copy and forgot what was written after the copy was made.
    StoreRestored = 316 Warn "Nothing; entries are written again. Check that the operator's last changes are there.";
    /// All entries of the key-value service were listed.
    StoreListed = 317 Info "Nothing.";
    /// A list of all entries could not be read to its end; `after` is the key behind which the next page would have begun. What was read is applied, other VMs are asked for the rest, and the list is read again after a pause that grows.
    ListIncomplete = 328 Warn "Look at the entry with that key, and at the one behind it; docs/OPERATIONS.md goes on from here.";
    /// A change was not applied, since a later one of the same entry is known.
    ChangeOutdated = 318 Info "If it lasts, compare the revisions with those of the key-value service.";
    /// The entry of a backend server lapsed while the key-value service was away.
    EntryLapsed = 311 Info "Nothing; it counts as gone if it does not come back.";
    /// Another VM knows that the key-value service was not away; servers whose entries seemed to have lapsed are gone.
    OutageDismissed = 319 Info "Check this VM's way to the key-value service if it repeats.";
    /// This VM schedules on though its lease may have ended, as all other VMs have given it their lease votes.
    HeldByPledges = 324 Warn "Check the key-value service.";
    /// This VM waits for its turn to take a free leadership.
    SeatAwaited = 325 Debug "Nothing.";
    /// This VM leaves a leadership to another one.
    SeatLeft = 326 Info "If it is not being stopped, it is too weak for the leadership, or its way to the key-value service is.";
    /// An entry of the key-value service can't be read, and tells nothing of its subject.
    EntryUnreadable = 315 Warn "Look for another program that writes there.";
    /// A lease of this VM in the key-value service ended: that of its entry or that of its leaderships.
    StoreLeaseLost = 312 Warn "Check the VM's way to the key-value service if it repeats.";
    /// This VM hears of the key-value service's changes from another VM.
    Following = 313 Info "Nothing.";
    /// This VM no longer hears of them from that VM.
    FollowingEnded = 314 Info "Nothing; it watches by itself or follows another VM.";
    /// The key-value service names the VM that schedules a service's engines.
    HolderNamed = 320 Info "Nothing.";
    /// No VM schedules a service's engines.
    HolderGone = 321 Info "Another VM takes over within seconds.";
    /// The VM that schedules a service's engines does not answer.
    HolderSilent = 322 Warn "Check that VM; what is resident is served on.";
    /// A backend server has seen a higher fencing number than this VM's.
    Fenced = 323 Warn "Nothing; this VM gave the leadership up.";
    /// The key-value service came back from a copy, and the known holder of a leadership is kept while it may write it again.
    HolderKept = 327 Info "Nothing; another VM takes over if it does not.";
    /// A backend server is listed.
    ServerListed = 423 Info "Nothing.";
    /// A backend server is no longer listed.
    ServerGone = 424 Info "Nothing.";
    /// A newer version of an adapter is named.
    VersionNamed = 425 Info "Nothing.";
    /// An order to a backend server came back.
    OrderAnswered = 426 Debug "Nothing.";
    /// What the scheduler of a service's engines sees, once a second.
    SchedulerState = 427 Info "Nothing.";
    /// A backend server says something new of itself in its answers: the requests a second that it takes from all VMs, that it is leaving, or how long it wants nothing.
    ServerNotice = 428 Info "If it lasts, look why that server is in need.";
    /// An engine has started no answer for much longer than forecast; it gets no new requests until it starts one.
    EngineStalled = 429 Info "If it repeats for one engine, check that engine.";
    /// A new connection to a backend server could not be made.
    ConnectionFailed = 440 Info "Look whether other VMs reach that server; `failing` is the number of servers that this VM has not reached since it last reached them.";
    /// This VM reaches no backend server, and sends requests over other VMs.
    PathLost = 441 Warn "Check the VM's links to the servers; its callers are served over other VMs meanwhile.";
    /// This VM reaches backend servers again.
    PathBack = 442 Info "Nothing.";
    /// Another VM, which reaches no backend server, asked this one to carry a request to a server.
    RelayRequested = 443 Debug "Nothing.";
    /// A request was given a place at an engine.
    Placed = 510 Debug "Nothing.";
    /// The scheduler refused a request that can't be served in time.
    TurnedAway = 516 Info "If it lasts, the engines or the weight store have too little room for the load.";
    /// Adapters of which requests were refused and none was served since: how many, and for those unserved for longest their name, the number of requests, for how long, and why the last one was not served. Once a second.
    AdaptersUnserved = 533 Info "Look at the lines with `adapter=` one of these; docs/OPERATIONS.md goes on from here.";
    /// A request was sent to a backend server.
    Sent = 511 Debug "Nothing.";
    /// A backend server's answer does not bear the id of the request that it came for.
    AnswerUnmatched = 527 Warn "If it repeats for one server, check that server; its answers may be late copies of earlier ones.";
    /// A backend server sent more bytes than an answer has, and its connection was closed.
    AnswerOversized = 528 Warn "Check that server.";
    /// A backend server's answer promises that its request did not run: it states so (`stated`), or only has a status by which callers take it so (`implied`). `exchanges` is the number of answers that its connection had brought before.
    PromiseReceived = 529 Debug "Nothing; if a request ran all the same, its lines tell which answer was believed.";
    /// A backend server did not answer a request well.
    SendFailed = 512 Info "If it repeats for one server, check that server.";
    /// A request got its whole answer.
    Served = 513 Debug "Nothing.";
    /// A caller left before its answer.
    CallerLeft = 514 Debug "Nothing.";
    /// A request's time was over before its answer.
    TimedOut = 515 Info "Look at the lines of the same id for where it waited.";
    /// A backend server ended while it had requests.
    ServerEnded = 517 Warn "Look which request, or which part of a prompt, it has in common with other servers that ended.";
    /// Servers have ended under a request, one after the other; it is refused from now on.
    RequestQuarantined = 518 Warn "Find its caller and what of it crashes servers; remove its record to lift it.";
    /// A request is no longer refused.
    QuarantineLifted = 519 Info "Nothing.";
    /// A client account has used all that it may over all VMs.
    LimitReached = 520 Info "If it lasts and is not a fault of the account's callers, raise its limit.";
    /// The VM that lends tokens to this one did not answer, and another one is asked.
    PoolSilent = 521 Warn "Check that VM.";
    /// What this VM has and used of a client account's window, at most every 10 s while the account is in use.
    AccountShare = 522 Info "If one VM's share is used up and others rest, look whether its loan requests are answered.";
    /// The scheduler asked a VM to withdraw a request from an engine that has fallen behind.
    WithdrawalAsked = 525 Debug "Nothing.";
    /// A request was withdrawn from an engine that has fallen behind, and waits for a place at another one.
    Withdrawn = 526 Info "If it repeats for one engine, check that engine.";
    /// A caller that was refused came back after the time that it was given, and keeps the place of its first try.
    CallerReturned = 530 Debug "Nothing.";
    /// Adapter loads for less urgent requests were put off in the last second, to leave loads and slots for more urgent ones.
    LoadsReserved = 531 Info "If it lasts, the engines have too few adapter slots for the load.";
    /// Requests of some accounts wait behind those of others, as these accounts have used more than their shares of the engines.
    SharesExceeded = 532 Info "If it lasts, look why the account sends so much; a higher limit gives it a larger share.";
    /// What began the stream that a caller resumes is known; the request goes on at servers of that build.
    OriginFound = 540 Debug "Nothing.";
    /// An internal invariant does not hold.
    Broken = 900 Error "Report it with the log around it.";
}

impl Code {
    /// Returns whether the event sums up what happened over a while, so that the rate of its lines does not grow with the
    /// load.
    #[must_use]
    pub const fn is_summary(self) -> bool {
        matches!(
            self,
            Self::SchedulerState
                | Self::LoadsReserved
                | Self::SharesExceeded
                | Self::AdaptersUnserved
                | Self::AccountShare
        )
    }
}

/// A log event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its kind.
    pub code: Code,
    /// What tells it apart, as `name=value` words.
    pub detail: String,
}

impl Record {
    /// A log event.
    #[must_use]
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
        }
    }
}
