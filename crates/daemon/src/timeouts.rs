//! Timeouts that several modules depend on.

use std::time::Duration;

/// How long a controller may be out of contact with the key-value store before its lease expires
/// and it is no longer live.
pub const MEMBER_TTL: Duration = Duration::from_secs(4);
