//! Proofs that a peer holds the deployment's shared key.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Length of a proof in bytes.
pub const PROOF_BYTES: usize = 16;
/// Shortest shared key that is accepted, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// Truncated HMAC-SHA-256.
pub type Proof = [u8; PROOF_BYTES];
/// Random bytes that make a proof valid for one connection only.
pub type Nonce = [u8; 16];

/// Shared keys: the first signs, all are accepted, so that keys can be rotated.
#[derive(Clone)]
pub struct Keys {
    keys: Vec<String>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({})", self.keys.len())
    }
}

impl Keys {
    /// Checks and keeps the keys; `None` if there is none or one is too short.
    pub fn new(keys: Vec<String>) -> Option<Keys> {
        let is_sound = !keys.is_empty() && keys.iter().all(|key| key.len() >= MIN_KEY_BYTES);
        is_sound.then_some(Keys { keys })
    }

    /// Whether `key` is one of the keys; takes the same time whatever differs.
    pub fn contains(&self, key: &str) -> bool {
        let is_same = |known: &String| bool::from(known.as_bytes().ct_eq(key.as_bytes()));
        self.keys.iter().any(is_same)
    }

    /// Proof for `parts` by the first key.
    pub fn sign(&self, parts: &[&[u8]]) -> Proof {
        prove(&self.keys[0], parts)
    }

    /// Whether any key made `proof` for `parts`.
    pub fn verify(&self, parts: &[&[u8]], proof: &Proof) -> bool {
        self.keys.iter().any(|key| bool::from(prove(key, parts).ct_eq(proof)))
    }
}

fn prove(key: &str, parts: &[&[u8]]) -> Proof {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC takes any key");
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    let sum = mac.finalize().into_bytes();
    let mut proof = [0; PROOF_BYTES];
    proof.copy_from_slice(&sum[..PROOF_BYTES]);
    proof
}
