//! Fencing tokens: a worker accepts a token only if it has not seen a higher one.

/// Number of tokens for each worker in one epoch. Each request to the worker uses one up, and each one
/// that launches tasks a second one: at two requests a second, they last for three days at least.
const TOKENS_PER_EPOCH: u64 = 1 << 20;
/// Once this many tokens are used, a new epoch is requested, which has new tokens.
const MAX_TOKENS_BEFORE_NEW_EPOCH: u64 = TOKENS_PER_EPOCH / 4 * 3;

/// A fencing token. Each epoch of the cluster map has its own range of tokens, so that every token
/// of a later epoch is higher than all tokens of an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Lower than every token that is issued.
    pub const NONE: Self = Self(0);

    /// The first token of an epoch.
    pub fn first_of_epoch(epoch: u64) -> Self {
        Self(epoch * TOKENS_PER_EPOCH)
    }

    /// The last token of an epoch.
    pub fn last_of_epoch(epoch: u64) -> Self {
        Self(Self::first_of_epoch(epoch).0 + TOKENS_PER_EPOCH - 1)
    }

    /// The epoch that the token belongs to.
    pub fn epoch(self) -> u64 {
        self.0 / TOKENS_PER_EPOCH
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
