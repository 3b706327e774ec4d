//! Urgency of requests.

/// Rank of a request among those that compete with it; 0 is the most urgent.
pub type Rank = u8;
