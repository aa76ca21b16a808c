//! Delays, order and cuts between places.

use crate::sim::packet::{Packet, Place};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use topazmount_types::Time;

/// One-way delay within a zone.
const LOCAL_DELAY: Duration = Duration::from_micros(150);
/// Longest extra delay of a message.
const JITTER_US: u64 = 200;
/// What was sent into a cut is delivered after it when it is not older than this; then the
/// connection is given up.
const RETRANSMISSION: Duration = Duration::from_secs(5);

/// A message under way, with the runs of the processes that it connects.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// Sender.
    pub from: Place,
    /// Run of the sender when it was sent.
    pub from_run: u64,
    /// Receiver.
    pub to: Place,
    /// Run of the receiver that the connection leads to; `None` for a new connection.
    pub to_run: Option<u64>,
    /// When it was sent.
    pub sent_at: Time,
    /// Content.
    pub packet: Packet,
}

/// The network.
pub struct Network {
    zone_delay: Duration,
    client_delay: Duration,
    zones: HashMap<Place, usize>,
    /// Directed cuts with the number of faults that hold them.
    cuts: BTreeMap<(Place, Place), u32>,
    /// When the last message of a direction arrives: connections keep their order.
    last_arrival: HashMap<(Place, Place), Time>,
    held: Vec<Transfer>,
}

impl Network {
    /// A network without cuts.
    pub fn new(zone_delay: Duration, client_delay: Duration) -> Self {
        Network {
            zone_delay,
            client_delay,
            zones: HashMap::new(),
            cuts: BTreeMap::new(),
            last_arrival: HashMap::new(),
            held: Vec::new(),
        }
    }

    /// Puts a place into a zone.
    pub fn place(&mut self, place: Place, zone: usize) {
        self.zones.insert(place, zone);
    }

    /// Zone of a place; 0 for those that were put nowhere.
    pub fn zone(&self, place: Place) -> usize {
        self.zones.get(&place).copied().unwrap_or(0)
    }

    /// All places of a zone.
    pub fn places_in(&self, zone: usize) -> Vec<Place> {
        let mut places: Vec<Place> =
            self.zones.iter().filter(|(_, of)| **of == zone).map(|(place, _)| *place).collect();
        places.sort_unstable();
        places
    }

    fn delay(&self, from: Place, to: Place) -> Duration {
        if matches!(from, Place::Caller(_)) || matches!(to, Place::Caller(_)) {
            return self.client_delay;
        }
        if self.zone(from) == self.zone(to) { LOCAL_DELAY } else { self.zone_delay }
    }

    /// When a message sent now arrives. Messages of a direction keep their order.
    pub fn arrival(&mut self, now: Time, from: Place, to: Place, rng: &mut ChaCha8Rng) -> Time {
        let jitter = Duration::from_micros(rng.random_range(0..JITTER_US));
        let at = now + self.delay(from, to) + jitter;
        let last = self.last_arrival.entry((from, to)).or_insert(at);
        *last = at.max(*last);
        *last
    }

    /// Whether messages in this direction are lost now.
    pub fn is_cut(&self, from: Place, to: Place) -> bool {
        self.cuts.contains_key(&(from, to))
    }

    /// Whether the place takes part in any cut.
    pub fn touches_cut(&self, place: Place) -> bool {
        self.cuts.keys().any(|(from, to)| *from == place || *to == place)
    }

    /// Cuts a direction.
    pub fn cut(&mut self, from: Place, to: Place) {
        *self.cuts.entry((from, to)).or_default() += 1;
    }

    /// Heals a direction; gives the messages that are retransmitted now.
    pub fn heal(&mut self, now: Time, from: Place, to: Place) -> Vec<Transfer> {
        if let Some(count) = self.cuts.get_mut(&(from, to)) {
            *count -= 1;
            if *count == 0 {
                self.cuts.remove(&(from, to));
            }
        }
        if self.is_cut(from, to) {
            return Vec::new();
        }
        let held = std::mem::take(&mut self.held);
        let (healed, rest): (Vec<_>, Vec<_>) =
            held.into_iter().partition(|transfer| transfer.from == from && transfer.to == to);
        self.held = rest;
        let is_fresh = |transfer: &Transfer| now.since(transfer.sent_at) < RETRANSMISSION;
        healed.into_iter().filter(is_fresh).collect()
    }

    /// Keeps a message that was sent into a cut.
    pub fn hold(&mut self, transfer: Transfer) {
        self.held.push(transfer);
    }
}
