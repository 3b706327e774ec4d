//! Customers, and the keys by which their requests are recognized.

use std::{collections, fmt, sync};

use crate::{ids, outcome, urgency};

use outcome::{Reason, Refusal};

/// Customers of one version of the configuration.
///
/// Keys are kept as digests, so that no log line can show one, and the time of a look-up tells
/// nothing about the keys that exist.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Customers {
    customers: collections::BTreeMap<ids::CustomerName, sync::Arc<Customer>>,
    keys: collections::BTreeMap<KeyTag, sync::Arc<Customer>>,
    // Ranks that customers have; `None` for those without one.
    ranks: collections::BTreeSet<Option<urgency::Rank>>,
}

/// One customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name, which servers and reports get.
    pub name: ids::CustomerName,
    /// Rank of all of its requests, if it has one; otherwise the route's rank applies.
    pub rank: Option<urgency::Rank>,
    /// Limit on its requests at all entries together.
    pub limit: Option<Limit>,
}

/// Limit on the requests of one customer at all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and of the longest answer.
    Tokens {
        /// Tokens that a request without a size counts for.
        plain: u32,
    },
}

impl Unit {
    /// Units that a request counts for; `tokens` are those of its prompt and of its longest answer,
    /// if it has a size.
    pub fn cost(self, tokens: Option<u32>) -> f64 {
        match self {
            Unit::Requests => 1.0,
            Unit::Tokens { plain } => f64::from(tokens.unwrap_or(plain)),
        }
    }

    /// Parts of a unit in which an entry reckons: a request is told as finely as one of some thousand
    /// tokens, since an entry's part of a limit may be less than one.
    pub fn parts(self) -> f64 {
        match self {
            Unit::Requests => 1_000.0,
            Unit::Tokens { .. } => 1.0,
        }
    }

    /// What most requests count for at most, if they count for `usual` in the mean.
    pub fn most(self, usual: f64) -> f64 {
        match self {
            Unit::Requests => usual,
            Unit::Tokens { .. } => 2.0 * usual,
        }
    }
}

/// Digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyTag(u128);

impl KeyTag {
    /// Digest of the key with these bytes.
    pub fn new(key: &[u8]) -> KeyTag {
        KeyTag(ids::digest(&[b"customer key", key]))
    }
}

impl fmt::Debug for KeyTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyTag(..)")
    }
}

impl Customers {
    /// Adds a customer with its keys. A key that two customers have is of neither.
    pub fn add(&mut self, customer: Customer, keys: &[KeyTag], taken: &mut Taken) {
        let customer = sync::Arc::new(customer);
        for key in keys {
            match taken.0.insert(*key, customer.name.clone()) {
                Some(other) if other != customer.name => {
                    self.keys.remove(key);
                }
                _ => {
                    self.keys.insert(*key, customer.clone());
                }
            }
        }
        self.ranks.insert(customer.rank);
        if self.customers.insert(customer.name.clone(), customer).is_some() {
            // Nobody may have the rank of the one that was replaced.
            self.ranks = self.customers.values().map(|customer| customer.rank).collect();
        }
    }

    /// Ranks that customers have; `None` for those without one.
    pub fn ranks(&self) -> impl Iterator<Item = Option<urgency::Rank>> {
        self.ranks.iter().copied()
    }

    /// Whether requests need no key, because there are no customers.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Customers by name.
    pub fn iter(&self) -> impl Iterator<Item = &sync::Arc<Customer>> {
        self.customers.values()
    }

    /// The customer with the key `key`.
    ///
    /// # Errors
    /// Returns a refusal if no customer has the key, or there is none.
    pub fn identify(&self, key: Option<KeyTag>) -> Result<sync::Arc<Customer>, Refusal> {
        let customer = key.and_then(|key| self.keys.get(&key));
        customer.cloned().ok_or(Refusal::permanent(Reason::UnknownCaller))
    }
}

/// Customers of the keys that were added so far.
#[derive(Debug, Default)]
pub struct Taken(collections::BTreeMap<KeyTag, ids::CustomerName>);
