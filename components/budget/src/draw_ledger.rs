//! Counts of what each process has drawn on a budget.

use std::{net, time};

/// Difference between two reports' beginnings, in tenths of a second, by which a process has begun to
/// count anew.
const RESTART_GAP: i32 = 20;

/// Number of processes by which the list of them grows.
const PEER_STEP: usize = 8;

/// What a process has drawn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrawCount {
    /// Units drawn since the process began to count, less those given back. Wraps around.
    pub drawn: u32,
    /// Units of the callers whom the process has told when to return. Wraps around.
    pub booked: u32,
    /// Time since the process's first draw.
    pub counted_for: time::Duration,
}

/// Process that reports what it has drawn.
#[derive(Clone, Copy, Debug)]
pub struct DrawSource {
    /// Address of the instance.
    pub address: net::Ipv4Addr,
    /// Start of the process.
    pub incarnation: u64,
}

/// Units that a report adds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DrawChange {
    /// Units drawn; negative when more were given back.
    pub drawn: i64,
    /// Units of callers who were told when to return.
    pub booked: i64,
}

/// What a report adds to what was known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NewDraws {
    /// Units since the process's last report.
    Since(DrawChange),
    /// Units of a process whose first draw came about when this one began to follow it, or later.
    All(DrawChange),
    /// The process had drawn before this one followed it: when it drew is unknown.
    Unknown,
}

/// Last count of another process.
#[derive(Clone, Copy, Debug)]
struct PeerCount {
    address: net::Ipv4Addr,
    /// Low bits of the incarnation.
    process: u32,
    /// Time at which the process began to count, in tenths of a second of the own clock.
    began: i32,
    drawn: u32,
    booked: u32,
}

/// Counts of what each process has drawn on a budget.
#[derive(Clone, Debug)]
pub struct DrawLedger {
    /// Time from which the counts of others are followed.
    followed_from: clock::Timestamp,
    /// Difference between the times at which two processes learn of the same budget, at the most.
    learning_delay: time::Duration,
    /// Time of the first own draw.
    counted_from: Option<clock::Timestamp>,
    drawn: u32,
    booked: u32,
    /// Last counts of the others, in order of address.
    peers: Vec<PeerCount>,
}

impl DrawLedger {
    /// Begins to count. What processes drew before that counts if they drew first at most
    /// `learning_delay` earlier.
    #[must_use]
    pub const fn new(now: clock::Timestamp, learning_delay: time::Duration) -> Self {
        Self {
            followed_from: now,
            learning_delay,
            counted_from: None,
            drawn: 0,
            booked: 0,
            peers: Vec::new(),
        }
    }

    /// Counts units that this process draws.
    pub fn draw(&mut self, now: clock::Timestamp, units: u32) {
        self.counted_from.get_or_insert(now);
        self.drawn = self.drawn.wrapping_add(units);
    }

    /// Counts units of a caller whom this process tells when to return.
    pub fn book(&mut self, now: clock::Timestamp, units: u32) {
        self.counted_from.get_or_insert(now);
        self.booked = self.booked.wrapping_add(units);
    }

    /// Counts units that this process gives back.
    pub const fn give_back(&mut self, units: u32) {
        self.drawn = self.drawn.wrapping_sub(units);
    }

    /// Returns the count of this process.
    #[must_use]
    pub fn count(&self, now: clock::Timestamp) -> DrawCount {
        DrawCount {
            drawn: self.drawn,
            booked: self.booked,
            counted_for: now.since(self.counted_from.unwrap_or(now)),
        }
    }

    /// Returns the number of other processes that have reported.
    #[must_use]
    pub fn peers(&self) -> usize {
        self.peers.len()
    }

    /// Records the count of another process; returns what it adds.
    pub fn record(
        &mut self,
        now: clock::Timestamp,
        source: DrawSource,
        count: DrawCount,
    ) -> NewDraws {
        let reported = PeerCount {
            address: source.address,
            process: low_bits(source.incarnation),
            began: tenths(now.since(clock::Timestamp::default())) - tenths(count.counted_for),
            drawn: count.drawn,
            booked: count.booked,
        };
        let position = self
            .peers
            .binary_search_by_key(&source.address, |peer| peer.address);
        let known = match position {
            Ok(index) => Some(std::mem::replace(&mut self.peers[index], reported)),
            Err(index) => {
                if self.peers.len() == self.peers.capacity() {
                    self.peers.reserve_exact(PEER_STEP);
                }
                self.peers.insert(index, reported);
                None
            }
        };
        if let Some(known) = known.filter(|known| known.continues_in(&reported)) {
            return NewDraws::Since(DrawChange {
                drawn: difference(known.drawn, reported.drawn),
                booked: difference(known.booked, reported.booked),
            });
        }
        if count.counted_for <= now.since(self.followed_from) + self.learning_delay {
            NewDraws::All(DrawChange {
                drawn: i64::from(reported.drawn),
                booked: i64::from(reported.booked),
            })
        } else {
            NewDraws::Unknown
        }
    }
}

impl PeerCount {
    /// Returns whether a later report continues this one's count. One that was handled late seems to
    /// have begun later, but hasn't fallen.
    fn continues_in(&self, later: &Self) -> bool {
        let seems_new = later.began - self.began > RESTART_GAP;
        let has_fallen = difference(self.drawn, later.drawn) < 0;
        self.process == later.process && !(seems_new && has_fallen)
    }
}

/// Returns the units between two counts, which may have wrapped around.
fn difference(before: u32, after: u32) -> i64 {
    i64::from(after.wrapping_sub(before).cast_signed())
}

fn low_bits(incarnation: u64) -> u32 {
    (incarnation & u64::from(u32::MAX)) as u32
}

/// Returns a span in tenths of a second.
fn tenths(span: time::Duration) -> i32 {
    i32::try_from(span.as_millis() / 100).unwrap_or(i32::MAX / 2)
}
