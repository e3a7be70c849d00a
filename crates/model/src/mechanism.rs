//! The mechanisms of the protocol that keep the invariants. Each can be removed from the model.

use clap::ValueEnum;

/// A mechanism of the controllers or of the workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, ValueEnum)]
pub enum Mechanism {
    /// A worker drops answers and commands whose token is below the highest it has seen.
    TokenCheck,
    /// A task's absence proves its end only if the worker's token is above that of every launch in transit.
    #[value(name = "later-token")]
    AbsenceNeedsLaterToken,
    /// An exit counts only if reported in reply to the owner's request, or with a token of its ownership.
    TrustedReport,
    /// An owner adds slack before it counts a lease as over, because the worker's clock may be slow.
    LeaseSlack,
    /// A lease counts as over only if the worker has shown a token of the current map.
    LeaseToken,
    /// A worker counts the renewal of its lease from the moment it sent the report.
    LeaseFromSend,
    /// Placements and ends of assignments are conditional on the epoch of the map.
    EpochFence,
    /// A placement is committed before the task is launched.
    #[value(name = "record-first")]
    CommitBeforeLaunch,
    /// An attempt that is proven to be over is never launched again.
    #[value(name = "ended-stays")]
    NoLaunchAfterEnd,
    /// An owner that lost a worker and owns it again discards its earlier knowledge of the worker.
    #[value(name = "new-owner-forgets")]
    ResetOnReacquire,
    /// A cancellation is confirmed to the user only once it is committed.
    ConfirmCommitted,
    /// A controller answers reports only within a bound after the last confirmation of its records.
    RenewalBound,
    /// Launches that are sent to workers as commands end at the renewal bound, too.
    LaunchBound,
    /// Each answer that renews a lease carries the stop, even while a command is unanswered.
    StopWithAnswer,
    /// The answer also carries the stop of a task that is not in the report: its launch may be in transit.
    #[value(name = "stop-unseen")]
    StopUnreported,
    /// A controller that does not own the worker sends the stop, too, in the one answer that it gives.
    #[value(name = "first-answer-stops")]
    NonOwnerStops,
    /// Renewal without the state service needs the answers of all configured peers, not of just one.
    AllPeers,
    /// What a peer has read or committed beyond the asker's mirror is applied before its answer counts.
    ReadIndex,
    /// A peer's answer that is incomplete does not count.
    #[value(name = "complete")]
    CompleteAnswer,
    /// A peer's answer is matched to the request by a nonce.
    Nonce,
    /// The age of a peer's answer counts from the request, not from the arrival of the answer.
    #[value(name = "ask-time")]
    AgeFromRequest,
    /// A peer that has read no records counts only if its incarnation was known before the asker's last read.
    #[value(name = "incarnation")]
    KnownIncarnation,
    /// A peer that has read no records does not count, unless its incarnation is known.
    #[value(name = "unread")]
    UnreadPeerCheck,
    /// A peer has read the records if it did so since its start, even while it rereads them.
    #[value(name = "ever-read")]
    ReadSinceStart,
    /// The late answer to a read does not replace a newer record.
    #[value(name = "newer-wins")]
    NewerRecordWins,
    /// Rereading all records keeps what was committed or learned from peers in the meantime.
    #[value(name = "reread-keeps")]
    RereadKeepsNewer,
    /// The answer of a peer that knows a newer map does not count.
    PeerEpoch,
    /// Renewal needs confirmed records; formerly it sufficed that all peers reported an outage, too.
    #[value(name = "not-by-silence")]
    NoRenewalByOutage,
}

impl Mechanism {
    const fn bit(self) -> u32 {
        1 << self as u32
    }
}

/// The mechanisms in effect: all but the removed ones, which are kept as a bit set.
#[derive(Debug, Clone, Copy, Default)]
pub struct Mechanisms(u32);

impl Mechanisms {
    pub fn all_except(mechanism: Mechanism) -> Self {
        Self(mechanism.bit())
    }

    pub fn without(self, mechanism: Mechanism) -> Self {
        Self(self.0 | mechanism.bit())
    }

    pub fn has(self, mechanism: Mechanism) -> bool {
        self.0 & mechanism.bit() == 0
    }
}
