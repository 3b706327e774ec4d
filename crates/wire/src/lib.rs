//! Messages between rhubarbloom processes, their framing and their authentication.
//!
//! ```
//! use rhubarb_wire::{auth, datagram};
//!
//! let keys = auth::Keys::new(vec!["a shared secret of 16 or more".to_string()]).unwrap();
//! let heartbeat = datagram::Heartbeat::Follow(datagram::Follow::default());
//! let bytes = datagram::encode(&keys, &heartbeat);
//! assert_eq!(datagram::decode(&keys, &bytes).unwrap(), heartbeat);
//! ```

pub mod auth;
pub mod chunk;
pub mod datagram;
pub mod frame;
pub mod message;
pub mod offer;
pub mod origins;
pub mod share;
