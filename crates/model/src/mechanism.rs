//! What keeps the rules, each of which can be taken away.

use clap::ValueEnum;

/// One mechanism of the controllers or of the workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, ValueEnum)]
pub enum Mechanism {
    /// A worker drops answers and commands with a token below the highest it has seen.
    TokenCheck,
    /// Absence is a proof only after a token above every launch that may be on its way.
    LaterToken,
    /// An exit counts only in a report that answers its owner or shows its token.
    TrustedReport,
    /// The owner counts the lease longer than a worker's slow clock may make it.
    LeaseSlack,
    /// A lease is held over only if the worker has shown a token of the present map.
    LeaseToken,
    /// The renewal counts from the moment the report was sent.
    LeaseFromSend,
    /// Placements and ends are conditional on the map.
    EpochFence,
    /// A placement is committed before it is launched.
    RecordFirst,
    /// What was proven over is not launched any more.
    EndedStays,
    /// An owner that lost a machine and has it again knows nothing of it.
    NewOwnerForgets,
    /// A user is told of a cancellation only once it is committed.
    ConfirmCommitted,
    /// Answers to reports end a while after what is known was last fresh.
    RenewalBound,
    /// Launches sent straight to workers end at the same bound.
    LaunchBound,
    /// Each answer that renews carries the stops, also while a request is unanswered.
    StopWithAnswer,
    /// It carries them for what the report does not show: a launch may be on its way.
    StopUnseen,
    /// So does the one answer of a controller that does not own the machine.
    FirstAnswerStops,
    /// Every configured peer's word is needed, not that of one.
    AllPeers,
    /// What a peer has read or committed beyond the mirror is applied before its word counts.
    ReadIndex,
    /// An answer that lacks a part of it does not count.
    Complete,
    /// An answer is matched to its request.
    Nonce,
    /// A peer's word counts from when it was asked, not from when the answer came.
    AskTime,
    /// A process that has read nothing counts only if it was heard of before the own reading.
    Incarnation,
    /// A process that has read nothing counts at all only by that rule.
    Unread,
    /// "Has read" is of the process's life: one that reads anew still has confirmed.
    EverRead,
    /// What is read late does not replace a newer record.
    NewerWins,
    /// Reading all records anew keeps what was committed or learnt meanwhile.
    RereadKeeps,
    /// A peer that knows a newer map does not count.
    PeerEpoch,
    /// The rule until now was another: that all peers say they have no state service either.
    NotBySilence,
}

impl Mechanism {
    const fn bit(self) -> u32 {
        1 << self as u32
    }
}

/// Which mechanisms are taken away.
#[derive(Debug, Clone, Copy, Default)]
pub struct Without(u32);

impl Without {
    pub fn one(mechanism: Mechanism) -> Self {
        Self(mechanism.bit())
    }

    pub fn and(self, mechanism: Mechanism) -> Self {
        Self(self.0 | mechanism.bit())
    }

    pub fn has(self, mechanism: Mechanism) -> bool {
        self.0 & mechanism.bit() == 0
    }
}
