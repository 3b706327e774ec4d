//! Ranges of loopback addresses, one for each deployment on the machine.

use std::{net, process, sync::atomic};

/// Addresses of one deployment, which no other one on this machine uses until this is dropped.
#[derive(Debug)]
pub struct Subnet {
    // First bytes of the addresses after 127.
    bytes: [u8; 2],
    // Held, so that other processes see that the range is in use.
    _held: net::TcpListener,
}

/// Number of ranges to choose from, and the first.
const RANGES: u32 = 120;
const FIRST_RANGE: u32 = 2;
/// Address that shows that a range is in use.
const HELD: (u8, u16) = (3, 8140);
/// Address of the first entry, which may have outlived its test.
const FIRST_ENTRY: (u8, u16) = (10, 8144);

impl Subnet {
    /// Takes the next range that is not in use, beginning with one that depends on the process.
    ///
    /// # Errors
    /// Returns an error if all are in use.
    pub fn take() -> anyhow::Result<Subnet> {
        static COUNT: atomic::AtomicU8 = atomic::AtomicU8::new(1);
        let second = COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        let first = |offset| ((process::id() + offset) % RANGES + FIRST_RANGE) as u8;
        let mut ranges = (0..RANGES).map(|offset| [first(offset), second]);
        let taken = ranges.find_map(Subnet::take_range);
        taken.ok_or_else(|| anyhow::anyhow!("all ranges of addresses are in use"))
    }

    /// Takes the range `bytes`; `None` if it is in use.
    pub fn take_range(bytes: [u8; 2]) -> Option<Subnet> {
        let bind = |(host, port)| net::TcpListener::bind((address(bytes, host), port)).ok();
        let held = bind(HELD)?;
        bind(FIRST_ENTRY)?;
        Some(Subnet { bytes, _held: held })
    }

    /// First bytes of the addresses after 127.
    pub fn bytes(&self) -> [u8; 2] {
        self.bytes
    }

    /// Address of `host`.
    pub fn ip(&self, host: u8) -> net::IpAddr {
        address(self.bytes, host)
    }
}

fn address([first, second]: [u8; 2], host: u8) -> net::IpAddr {
    [127, first, second, host].into()
}
