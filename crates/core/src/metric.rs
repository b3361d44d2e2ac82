//! Figures that the shell hands to the metrics recorder.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::id;

macro_rules! figures {
    ($($(#[doc = $doc:literal])* $figure:ident $name:literal $unit:literal;)*) => {
        /// A figure that is counted or observed.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum Figure {
            $($(#[doc = $doc])* $figure,)*
        }

        impl Figure {
            /// Every figure.
            pub const ALL: &[Self] = &[$(Self::$figure),*];

            /// The name under which it is exported.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$figure => $name,)* }
            }

            /// The unit of its values; `1` for plain counts.
            #[must_use]
            pub const fn unit(self) -> &'static str {
                match self { $(Self::$figure => $unit,)* }
            }

            /// One sentence for the docs.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$figure => concat!($($doc),*),)* }
            }
        }
    };
}

figures! {
    /// How long a request waited for its adapter to become resident.
    LoadStall "dahliastile_load_stall_seconds" "s";
    /// How long a request waited in this VM before it was sent.
    QueueWait "dahliastile_queue_wait_seconds" "s";
    /// The time from arrival to the first token.
    FirstToken "dahliastile_first_token_seconds" "s";
    /// The time between two tokens of one answer.
    TokenGap "dahliastile_token_gap_seconds" "s";
    /// The time from arrival to the end of the whole answer.
    WholeAnswer "dahliastile_whole_answer_seconds" "s";
    /// The share of an engine's batch that was in use, per load report.
    BatchFill "dahliastile_batch_fill_ratio" "ratio";
    /// Answers passed on up to their end, by whether their server showed that they are whole (`whole`, `unproven`).
    Answered "dahliastile_answered_total" "1";
    /// Requests refused or failed, by kind and `ran`.
    Refused "dahliastile_refused_total" "1";
    /// Attempts sent to backend servers.
    Attempts "dahliastile_attempts_total" "1";
    /// Attempts sent after a first one failed.
    Retries "dahliastile_retries_total" "1";
    /// Loads ordered.
    Loads "dahliastile_loads_total" "1";
    /// Decisions of a scheduler because engine capacity is scarce: `returned`, `overtaken`, `loads_put_off`, `behind_share`, `expedited`.
    Contention "dahliastile_contention_total" "1";
    /// Tokens of client accounts: admitted or refused, and of these borrowed, or refused to keep them for more urgent requests (`reserved`); and lent to other VMs, or borrowed and not used in time (`lapsed`).
    AccountTokens "dahliastile_account_tokens_total" "1";
    /// Requests of this VM for loans of tokens, by account and cause: no share of the account here (`no_share`), too few tokens in it (`short`), too few in an earlier loan (`again`), no answer (`unanswered`).
    LoanRequests "dahliastile_loan_requests_total" "1";
    /// Calls of the key-value service, by kind.
    PlatformCalls "dahliastile_outside_calls_total" "1";
    /// Copies from which the key-value service came back, as this VM noticed.
    StoreRestores "dahliastile_store_restores_total" "1";
    /// Changes of the key-value service's entries that were not applied as a later one is known, by the kind of entry.
    OutdatedChanges "dahliastile_outdated_changes_total" "1";
    /// Bytes of messages sent to other VMs, by kind and by whether they leave the availability zone (`replicate_zone`, `replicate_beyond`).
    PeerBytes "dahliastile_peer_sent_bytes_total" "bytes";
    /// Messages sent to other VMs, by the same.
    PeerMessages "dahliastile_peer_sent_messages_total" "1";
    /// Streams that paused for longer than their route allows.
    PausedStreams "dahliastile_paused_streams_total" "1";
    /// Late, crossed or duplicated pieces of answers that were dropped.
    Dropped "dahliastile_dropped_pieces_total" "1";
    /// Requests that were to be withdrawn from an engine that has fallen behind: `withdrawn`, or why they stayed (`started`, `not_repeatable`, `late`, `budget`).
    Withdrawals "dahliastile_withdrawals_total" "1";
    /// New connections to backend servers: `made`, `refused`, or nothing came back in time (`silent`).
    ServerConnections "dahliastile_server_connections_total" "1";
    /// Attempts that went over another VM (`sent`), and attempts of other VMs that this one took (`carried`) or did not (`refused`).
    Relayed "dahliastile_relayed_total" "1";
    /// Attempts that continue a stream, by who resumes it: its caller (`caller`), or this VM within one answer (`answer`).
    Resumed "dahliastile_resumed_total" "1";
    /// Answers of backend servers that do not bear the id of the request that they came for, by what they claim: that the server did not run a request (`rejection`), or something else (`other`); or with a head of two answers (`spliced`).
    UnmatchedAnswers "dahliastile_unmatched_answers_total" "1";
    /// Answers of backend servers that were given up as they exceeded a limit in bytes, by the part of them: `head`, `body` or `event`.
    OversizedAnswers "dahliastile_oversized_answers_total" "1";
    /// Streams that callers resumed, by how this VM learnt what began them: `register`, `keeper` (another VM), `only_build`, or not at all (`unknown`).
    Origins "dahliastile_origins_total" "1";
    /// Memory that connections of clients make the process hold (`held`), as the ledger counts it, and that they may (`most`).
    ClientMemory "dahliastile_client_memory_bytes" "bytes";
    /// Open connections of callers (`callers`), and of other VMs or operators (`others`).
    ClientConnections "dahliastile_client_connections" "connections";
    /// Tasks of the process that ended by a panic, by what they do.
    TaskPanics "dahliastile_task_panics_total" "1";
    /// Clients that were turned away for want of room: new connections (`connection`), requests (`request`), and connections that ended for others (`yielded`).
    ClientsShed "dahliastile_clients_shed_total" "1";
}

/// One value of a figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The figure.
    pub figure: Figure,
    /// The value, in the figure's unit; 1 for plain counts.
    pub value: f64,
    /// The tenant it is counted for.
    pub tenant: Option<id::Tenant>,
    /// The class it is counted for.
    pub class: Option<id::Class>,
    /// What else tells it apart, such as the kind of a refusal.
    pub label: Option<Cow<'static, str>>,
}

impl Eq for Sample {}
