//! Membership: the live entries of a fleet, as one of them knows them.
//!
//! Each entry counts up a heartbeat number and sends it to the entries of its cell and to a few
//! random others. Datagrams relay a sample of the numbers that the sender knows. An entry is live
//! while its number increases, whether it is heard directly or through others.

use std::{collections, net, time};

use crate::{cells, ids};

/// Heartbeat of one entry, as relayed by others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Address of the entry.
    pub ip: net::IpAddr,
    /// Its availability zone.
    pub zone: ids::ZoneTag,
    /// Number that the entry increases with each datagram. It begins with the Unix time of the
    /// process's start in milliseconds, so that it also increases over restarts.
    pub seq: u64,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    zone: ids::ZoneTag,
    cell: cells::CellId,
    seq: u64,
    // Last heartbeat received from the entry itself.
    direct: Option<Direct>,
    // When `seq` last increased.
    seen_at: time::Instant,
    // When it last said that it follows the platform's store.
    following_at: Option<time::Instant>,
    // When it last said that it is ready for callers.
    ready_at: Option<time::Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Direct {
    incarnation: ids::Incarnation,
    seq: u64,
    heard_at: time::Instant,
}

/// Place of an entry in the order of the addresses of the live ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Number of entries that come before it.
    pub rank: u32,
    /// Number of entries, this one included.
    pub entries: u32,
}

/// Entries of a fleet, as the entry at `ip` knows them.
#[derive(Clone, Debug)]
pub struct Members {
    ip: net::IpAddr,
    zone: ids::ZoneTag,
    started_at: time::Instant,
    members: collections::BTreeMap<net::IpAddr, Member>,
    // Addresses that may be members, and when they expire.
    candidates: collections::BTreeMap<net::IpAddr, time::Instant>,
    // Members that were not heard for long, and until when they are contacted nevertheless: two
    // parts of the fleet that lost each other must find each other again.
    lost: collections::BTreeMap<net::IpAddr, time::Instant>,
    // Members that joined and have not been greeted.
    greetings: collections::BTreeSet<net::IpAddr>,
    // Numbers of live entries in the window, without those that a later one equals or exceeds; the
    // first is therefore the largest.
    counts: collections::VecDeque<(time::Instant, u32)>,
    // Largest number of entries ever known, this one included.
    largest: u32,
    // Whether the platform has told the size of the fleet.
    size_known: bool,
    // Live members relayed so far in a fleet that is one cell, which are relayed in turn.
    relayed: usize,
    // When the last member joined or restarted.
    joined_at: Option<time::Instant>,
    partition: cells::Partition,
    own_cell: cells::CellId,
    is_follower: bool,
}

/// An entry of the own cell is live for this long after its last heartbeat.
const TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Added to the timeout of entries of other cells for each cell. Ten datagrams per second arrive
/// from random cells, so that a cell is not heard for this long per cell once in a thousand times.
const CELL_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Time for which heartbeats are sent to a candidate address after it was announced.
const CANDIDATE_TTL: time::Duration = time::Duration::from_secs(10);
/// Window whose largest number of live entries shares the budgets. Entries that cannot be heard may
/// still spend from them, so it covers a partition of the network that lasts some minutes.
const COUNT_WINDOW: time::Duration = time::Duration::from_secs(600);
/// Time for which an entry that is not heard stays in the partition, so that short silences change
/// no cell.
const PARTITION_TTL: time::Duration = time::Duration::from_secs(20);
/// Time after its start in which an entry may not have heard all others.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(5);
/// Least number of entries to count in that time.
const INITIAL_ENTRIES: u32 = 8;
/// Heartbeats relayed by a datagram within a fleet that is one cell, where each entry is heard
/// directly: with three datagrams per second from each entry, all are relayed within seconds.
const CELL_SAMPLE: usize = 4;
/// Heartbeats relayed by a datagram in a larger fleet: those of a cell, within half of a packet.
const SAMPLE: usize = 44;
/// Age of the last heartbeat heard from an entry itself up to which it is relayed.
const RELAY_AGE: time::Duration = time::Duration::from_secs(1);
/// Time for which each datagram relays as many heartbeats as it can after an entry has joined, so
/// that it learns early how many entries share the budgets.
const JOIN_PERIOD: time::Duration = time::Duration::from_secs(1);
/// Random entries outside the own cell that get each heartbeat.
const FANOUT: usize = 3;
/// Candidates, and new members, that get a datagram in one round.
const MAX_CONTACTS: usize = 16;
/// Lost members that get a datagram in one round.
const MAX_LOST: usize = 2;
/// Entries of each cell that follow the platform's store.
const FOLLOWERS: usize = 2;
/// Entries of a fleet of one cell that check often that the store is heard; one may be cut off from it.
const CHECKERS: usize = 2;
/// An entry counts as following the store for this long after it said so: three heartbeats.
const SOURCE_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// The same for entries that are ready for callers.
const READY_TIMEOUT: time::Duration = SOURCE_TIMEOUT;
/// Entries that keep what another one has begun, and how many of them are of its availability zone.
const KEEPERS: usize = 3;
const NEAR_KEEPERS: usize = 2;
/// Time for which lost members are contacted.
const LOST_TTL: time::Duration = time::Duration::from_secs(600);

impl Members {
    /// Creates the membership of the entry at `ip`, which knows no other.
    pub fn new(ip: net::IpAddr, zone: ids::ZoneTag, now: time::Instant) -> Members {
        Members {
            ip,
            zone,
            started_at: now,
            members: collections::BTreeMap::new(),
            candidates: collections::BTreeMap::new(),
            lost: collections::BTreeMap::new(),
            greetings: collections::BTreeSet::new(),
            counts: collections::VecDeque::new(),
            largest: 0,
            size_known: false,
            relayed: 0,
            joined_at: None,
            partition: cells::Partition::default(),
            own_cell: cells::CellId::default(),
            is_follower: true,
        }
    }

    /// Adds an address at which an entry may be reached.
    pub fn add_candidate(&mut self, ip: net::IpAddr, now: time::Instant) {
        if ip != self.ip {
            self.candidates.insert(ip, now + CANDIDATE_TTL);
        }
    }

    /// Records a heartbeat received from its sender; false if it is not newer than the last one of
    /// the same process.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        incarnation: ids::Incarnation,
        now: time::Instant,
    ) -> bool {
        let Heartbeat { ip, zone, seq } = heartbeat;
        let known = self.members.get(&ip);
        let last = known.and_then(|member| member.direct);
        let last = last.filter(|last| last.incarnation == incarnation);
        if last.is_some_and(|last| last.seq >= seq) {
            return false;
        }
        if last.is_none() {
            self.joined_at = Some(now);
            self.greetings.insert(ip);
        }
        // Others may have relayed a later number of the same process.
        let later = known.filter(|member| last.is_some() && member.seq >= seq);
        let (seq_known, seen_at) = later.map_or((seq, now), |member| (member.seq, member.seen_at));
        let direct = Some(Direct { incarnation, seq, heard_at: now });
        let cell = self.partition.entry(ip, zone);
        let following_at = known.and_then(|member| member.following_at);
        let ready_at = known.and_then(|member| member.ready_at);
        let member = Member { zone, cell, seq: seq_known, direct, seen_at, following_at, ready_at };
        self.members.insert(ip, member);
        true
    }

    /// Records heartbeats that another entry has relayed.
    pub fn record_relayed(&mut self, heartbeats: &[Heartbeat], now: time::Instant) {
        for Heartbeat { ip, zone, seq } in heartbeats.iter().copied() {
            if ip == self.ip {
                continue;
            }
            match self.members.get_mut(&ip) {
                Some(member) if member.seq >= seq => {}
                Some(member) => (member.seq, member.seen_at) = (seq, now),
                None => {
                    let cell = self.partition.entry(ip, zone);
                    self.members.insert(
                        ip,
                        Member {
                            zone,
                            cell,
                            seq,
                            direct: None,
                            seen_at: now,
                            following_at: None,
                            ready_at: None,
                        },
                    );
                }
            }
        }
    }

    // Time for which an entry of another cell is live after its heartbeat number has increased.
    fn timeout(&self) -> time::Duration {
        if self.partition.is_single() {
            return TIMEOUT;
        }
        TIMEOUT + CELL_TIMEOUT * self.partition.cells().len() as u32
    }

    // Members that are live, or those that are not.
    fn members_by(
        &self,
        is_live: bool,
        now: time::Instant,
    ) -> impl Iterator<Item = (&net::IpAddr, &Member)> {
        let (own, timeout) = (self.own_cell, self.timeout());
        let ttl = move |member: &Member| if member.cell == own { TIMEOUT } else { timeout };
        let members = self.members.iter();
        members.filter(move |(_, member)| (now <= member.seen_at + ttl(member)) == is_live)
    }

    fn live_members(&self, now: time::Instant) -> impl Iterator<Item = (&net::IpAddr, &Member)> {
        self.members_by(true, now)
    }

    /// Addresses of the live entries other than this one.
    pub fn live(&self, now: time::Instant) -> impl Iterator<Item = net::IpAddr> {
        self.live_members(now).map(|(ip, _)| *ip)
    }

    /// Whether the entry at `ip` is live.
    pub fn is_live(&self, ip: net::IpAddr, now: time::Instant) -> bool {
        let is_own = |member: &Member| member.cell == self.own_cell;
        let ttl = |member: &Member| if is_own(member) { TIMEOUT } else { self.timeout() };
        self.members.get(&ip).is_some_and(|member| now <= member.seen_at + ttl(member))
    }

    /// Updates counts and cells and drops what has expired; to be called regularly.
    pub fn tick(&mut self, now: time::Instant) {
        let live = self.live(now).count() as u32 + 1;
        while self.counts.front().is_some_and(|(at, _)| *at + COUNT_WINDOW < now) {
            self.counts.pop_front();
        }
        while self.counts.back().is_some_and(|(_, count)| *count <= live) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, live));
        self.largest = self.largest.max(live);
        // By then no other entry relays the last heartbeat any more.
        let ttl = PARTITION_TTL.max(self.timeout() * 3);
        self.members.retain(|ip, member| {
            let is_kept = now <= member.seen_at + ttl;
            if !is_kept {
                self.lost.insert(*ip, now + LOST_TTL);
            }
            is_kept
        });
        self.lost.retain(|ip, until| now <= *until && !self.members.contains_key(ip));
        self.candidates.retain(|_, until| now <= *until);
        let zones = self.members.values().map(|member| member.zone);
        let partition = cells::Partition::new(zones.chain([self.zone]));
        if self.partition != partition {
            for (ip, member) in &mut self.members {
                member.cell = partition.entry(*ip, member.zone);
            }
            self.own_cell = partition.entry(self.ip, self.zone);
            self.partition = partition;
        }
        self.is_follower = self.partition.is_single() || self.is_ranked_follower(now);
    }

    // Whether this entry is one of the first of its cell in the order of a hash of their addresses.
    fn is_ranked_follower(&self, now: time::Instant) -> bool {
        let rank = |ip: net::IpAddr| ids::digest(&[ip.to_string().as_bytes()]);
        let own = rank(self.ip);
        self.in_cell(self.own_cell, now).filter(|ip| rank(*ip) < own).count() < FOLLOWERS
    }

    /// Whether this entry is to follow the platform's store. In a fleet of several cells a few
    /// entries of each do, and pass changes on.
    pub fn is_follower(&self) -> bool {
        self.is_follower
    }

    /// Records that the entry at `ip` receives the changes of the platform's store.
    pub fn record_following(&mut self, ip: net::IpAddr, now: time::Instant) {
        if let Some(member) = self.members.get_mut(&ip) {
            member.following_at = Some(now);
        }
    }

    /// Whether another entry of the own cell receives the changes of the platform's store.
    pub fn has_source(&self, now: time::Instant) -> bool {
        let is_source = |member: &Member| {
            let is_fresh = member.following_at.is_some_and(|at| now <= at + SOURCE_TIMEOUT);
            is_fresh && member.cell == self.own_cell
        };
        self.members.values().any(is_source)
    }

    /// Records whether the entry at `ip` is ready for callers, as it says.
    pub fn record_ready(&mut self, ip: net::IpAddr, is_ready: bool, now: time::Instant) {
        if let Some(member) = self.members.get_mut(&ip) {
            member.ready_at = is_ready.then_some(now);
        }
    }

    /// Whether a caller of this entry, which is not ready, reaches one that is. Those of its availability
    /// zone are all used by the balancer while less than half of them are ready, and those of other
    /// zones if none is.
    pub fn has_ready_peer(&self, now: time::Instant) -> bool {
        let is_near = |member: &&Member| member.zone == self.zone;
        let is_ready =
            |member: &&Member| member.ready_at.is_some_and(|at| now <= at + READY_TIMEOUT);
        let near = self.live_members(now).map(|(_, member)| member).filter(is_near).count() + 1;
        match self.members.values().filter(is_near).filter(is_ready).count() {
            0 => self.members.values().any(|member| is_ready(&member)),
            ready => ready * 2 >= near,
        }
    }

    /// Number of entries that share the fleet's budgets, this one included; `None` while nothing is
    /// known of the fleet.
    ///
    /// Shortly after its start, and while it hears nobody, an entry counts the largest fleet that it
    /// has known.
    pub fn count(&self, now: time::Instant) -> Option<u32> {
        let counted = self.counts.front().map_or(1, |(_, count)| *count);
        let is_alone = self.live(now).next().is_none();
        let is_new = now < self.started_at + SETTLE_TIME;
        if is_alone && self.largest <= 1 && !self.size_known && !is_new {
            return None;
        }
        let least = if is_new { INITIAL_ENTRIES } else { 1 };
        let known = if is_new || is_alone { self.largest } else { 1 };
        Some(counted.max(known).max(least))
    }

    /// Records that the fleet has had `count` entries, as the platform knows.
    pub fn record_size(&mut self, count: u32) {
        self.size_known = true;
        self.largest = self.largest.max(count);
    }

    /// Largest number of entries that the fleet has had, this one included, if the platform has told.
    pub fn known_size(&self) -> Option<u32> {
        self.size_known.then_some(self.largest)
    }

    /// Partition of the fleet into cells.
    pub fn partition(&self) -> &cells::Partition {
        &self.partition
    }

    /// Cell of this entry.
    pub fn own_cell(&self) -> cells::CellId {
        self.own_cell
    }

    /// Cell of the entry at `ip`; `None` if it is unknown.
    pub fn cell(&self, ip: net::IpAddr) -> Option<cells::CellId> {
        self.members.get(&ip).map(|member| member.cell)
    }

    /// Entries that keep what this one must not forget with its end: some of its own availability
    /// zone, whose entries its callers turn to, and one of another. Others find them again by asking.
    pub fn keepers(&self, now: time::Instant) -> collections::BTreeSet<net::IpAddr> {
        let rank = |ip: &net::IpAddr| {
            ids::digest(&[self.ip.to_string().as_bytes(), ip.to_string().as_bytes()])
        };
        let mut live: Vec<_> =
            self.live_members(now).map(|(ip, member)| (rank(ip), *ip, member.zone)).collect();
        live.sort();
        let is_near = |zone: &ids::ZoneTag| *zone == self.zone;
        let near = live.iter().filter(|(.., zone)| is_near(zone)).take(NEAR_KEEPERS);
        let far = live.iter().filter(|(.., zone)| !is_near(zone));
        let missing = KEEPERS.saturating_sub(near.clone().count());
        let mut keepers: collections::BTreeSet<_> =
            near.chain(far.take(missing)).map(|(_, ip, _)| *ip).collect();
        let others = live.iter().map(|(_, ip, _)| *ip).filter(|ip| !keepers.contains(ip));
        let rest: Vec<_> = others.take(KEEPERS - keepers.len()).collect();
        keepers.extend(rest);
        keepers
    }

    /// Live entries other than this one, those of its own availability zone first.
    pub fn nearest(&self, now: time::Instant) -> Vec<net::IpAddr> {
        let mut live: Vec<_> =
            self.live_members(now).map(|(ip, member)| (member.zone != self.zone, *ip)).collect();
        live.sort();
        live.into_iter().map(|(_, ip)| ip).collect()
    }

    /// Live entries of `cell` other than this one.
    pub fn in_cell(
        &self,
        cell: cells::CellId,
        now: time::Instant,
    ) -> impl Iterator<Item = net::IpAddr> {
        self.live_members(now).filter(move |(_, member)| member.cell == cell).map(|(ip, _)| *ip)
    }

    /// Whether this entry has the lowest address of the live entries of its cell.
    pub fn is_speaker(&self, now: time::Instant) -> bool {
        self.in_cell(self.own_cell(), now).min().is_none_or(|lowest| self.ip < lowest)
    }

    /// Live entry with the lowest address, which leads the fleet; `None` if it is this one.
    pub fn leader(&self, now: time::Instant) -> Option<net::IpAddr> {
        self.live(now).min().filter(|lowest| *lowest < self.ip)
    }

    /// Place of this entry among the live ones.
    pub fn rank(&self, now: time::Instant) -> Rank {
        let (mut rank, mut entries) = (0, 1);
        for ip in self.live(now) {
            entries += 1;
            rank += u32::from(ip < self.ip);
        }
        Rank { rank, entries }
    }

    /// Whether this entry is one of those that check often that the platform's store is heard: in a fleet
    /// that is one cell the [`CHECKERS`] live entries with the lowest addresses, otherwise the followers
    /// of each cell, as only these are heard by its entries at each heartbeat.
    pub fn is_checker(&self, now: time::Instant) -> bool {
        if !self.partition.is_single() {
            return self.is_follower;
        }
        self.live(now).filter(|ip| *ip < self.ip).count() < CHECKERS
    }

    /// Entries outside the own cell to send the next heartbeat to: some random live ones and some
    /// candidates. `random` draws a number below its argument.
    pub fn contacts(
        &self,
        mut random: impl FnMut(usize) -> usize,
        now: time::Instant,
    ) -> collections::BTreeSet<net::IpAddr> {
        let mut contacts = collections::BTreeSet::new();
        let others = self.live_members(now).filter(|(_, member)| member.cell != self.own_cell);
        let outside: Vec<_> = others.map(|(ip, _)| *ip).collect();
        if !outside.is_empty() {
            contacts.extend((0..FANOUT).map(|_| outside[random(outside.len())]));
        }
        let unheard: Vec<_> =
            self.candidates.keys().filter(|ip| !self.is_live(**ip, now)).collect();
        let start = random(unheard.len().max(1));
        let count = MAX_CONTACTS.min(unheard.len());
        contacts.extend(unheard.into_iter().cycle().skip(start).take(count));
        let silent = self.members_by(false, now).map(|(ip, _)| ip);
        let silent: Vec<_> = silent.chain(self.lost.keys()).collect();
        if !silent.is_empty() {
            contacts.extend((0..MAX_LOST).map(|_| *silent[random(silent.len())]));
        }
        contacts
    }

    /// New members to which a datagram is to be sent now.
    pub fn take_greetings(&mut self) -> collections::BTreeSet<net::IpAddr> {
        (0..MAX_CONTACTS).filter_map(|_| self.greetings.pop_first()).collect()
    }

    /// Heartbeats to relay in a datagram: in a fleet of several cells those of the own cell, then
    /// others at random; in a fleet that is one cell a few in turn, or more after one has joined.
    ///
    /// Only what was just heard from an entry itself is relayed, so that old heartbeats do not
    /// make an entry that is gone look live.
    pub fn sample(
        &mut self,
        mut random: impl FnMut(usize) -> usize,
        now: time::Instant,
    ) -> Vec<Heartbeat> {
        let is_single = self.partition.is_single();
        let has_joined = self.joined_at.is_some_and(|at| now <= at + JOIN_PERIOD);
        let is_calm = is_single && !has_joined;
        let size = if is_calm { CELL_SAMPLE } else { SAMPLE };
        let is_heard = |member: &Member| {
            member.direct.is_some_and(|direct| now <= direct.heard_at + RELAY_AGE)
        };
        let heard = self.members.iter().filter(|(_, member)| is_heard(member));
        let (mut sample, others): (Vec<_>, Vec<_>) =
            heard.partition(|(_, member)| !is_single && member.cell == self.own_cell);
        if is_calm {
            let start = self.relayed % others.len().max(1);
            self.relayed = start + size;
            sample.extend(others.iter().cycle().skip(start).take(size.min(others.len())));
        } else {
            for mut group in [std::mem::take(&mut sample), others] {
                while sample.len() < size && !group.is_empty() {
                    sample.push(group.swap_remove(random(group.len())));
                }
            }
        }
        let heartbeats = sample.into_iter().map(|(ip, member)| Heartbeat {
            ip: *ip,
            zone: member.zone,
            seq: member.seq,
        });
        heartbeats.collect()
    }
}
