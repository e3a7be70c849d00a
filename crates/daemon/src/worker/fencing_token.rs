//! Fencing tokens: a worker obeys a token only if it has not seen a higher one.

/// How many tokens an owner has for each of its workers in one epoch. Requests to that worker use
/// them up: at two a second in six days.
const TOKENS_PER_EPOCH: u64 = 1 << 20;
/// Once so many of them are used, a new epoch is due, which has new ones.
const MAX_TOKENS_BEFORE_NEW_EPOCH: u64 = TOKENS_PER_EPOCH / 4 * 3;

/// A fencing token. The epochs of the cluster map divide the tokens into ranges, so that every
/// token of a later epoch is above all of an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Below every token that is given out.
    pub const NONE: Self = Self(0);

    /// The token that an epoch begins with.
    pub fn first_of_epoch(epoch: u64) -> Self {
        Self(epoch * TOKENS_PER_EPOCH)
    }

    /// The last token of an epoch.
    pub fn last_of_epoch(epoch: u64) -> Self {
        Self(Self::first_of_epoch(epoch).0 + TOKENS_PER_EPOCH - 1)
    }

    /// The token after this one, which may belong to the next epoch.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Whether the tokens of an epoch will soon be used up, if this is the newest one.
    pub fn is_near_end_of_epoch(self, epoch: u64) -> bool {
        self.0 >= Self::first_of_epoch(epoch).0 + MAX_TOKENS_BEFORE_NEW_EPOCH
    }

    /// The token as it is sent and recorded.
    pub fn get(self) -> u64 {
        self.0
    }
}

impl From<u64> for FencingToken {
    fn from(token: u64) -> Self {
        Self(token)
    }
}
