//! Simulates gateways that grant units of limits, their control group and faults, on a virtual
//! clock.
// Each test file uses a part.
#![allow(dead_code)]

use crate::common::{parts, tenant};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_control::{FleetView, GATEWAY_TIMEOUT, GatewayListUpdate, GatewayReport};
use topazmount_gateway::{
    Catalog, CatalogParts, GatewaySettings, GatewayState, GrantResponse, Granter, LimitUnit,
    QuotaSettings, STRIPES, StripeId, Tenant, TenantLimit,
};
use topazmount_types::{TenantId, Time};

const STEP: Duration = Duration::from_millis(50);
/// Time between a gateway's requests to the control group.
const UPDATE_INTERVAL: Duration = Duration::from_millis(400);
pub const WINDOW: Duration = Duration::from_secs(8);
pub const QUOTA: QuotaSettings = QuotaSettings { window: WINDOW, overrun: 0.0, slack: 300.0 };
pub const LIMIT: TenantLimit =
    TenantLimit { rate: 1_000.0, burst: 1_000.0, unit: LimitUnit::Tokens { unspecified: 200 } };
/// Maximum number of requests of a gateway in a step.
const MAX_REQUESTS_PER_STEP: usize = 3;

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000))
}

pub fn catalog(version: u64, limit: TenantLimit) -> Catalog {
    let limited = Tenant { limit: Some(limit), ..tenant("limited", "key") };
    Catalog::new(CatalogParts { tenants: Some(vec![limited]), version, ..parts(version) }).unwrap()
}

pub fn tenant_hash() -> u64 {
    TenantId::from_name("limited").0
}

/// The leader of the control group, whose list of gateways is empty at first.
pub struct Leader {
    pub term: u64,
    pub last_report_at: BTreeMap<usize, Time>,
    pub count: u64,
}

pub struct Gateway {
    pub state: GatewayState,
    pub next_update_at: Time,
    /// Responses in transit: when they arrive and when they were requested.
    pub responses: VecDeque<(Time, Time, FleetView)>,
    pub is_frozen: bool,
}

pub struct Simulation {
    pub now: Time,
    pub rng: ChaCha8Rng,
    pub leader: Option<Leader>,
    pub term: u64,
    pub gateways: Vec<Option<Gateway>>,
    /// Gateways without connection to the leader.
    pub cut_from_leader: BTreeSet<usize>,
    /// Pairs of gateways without connection to each other.
    pub partitioned: BTreeSet<(usize, usize)>,
    pub limit: TenantLimit,
    pub version: u64,
    pub spent: Vec<(Time, f64)>,
    pub requests: usize,
    pub refused: usize,
    pub grant_requests: usize,
}

impl Simulation {
    pub fn new(gateways: usize, seed: u64) -> Self {
        let mut simulation = Simulation {
            now: Time::from_secs(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            leader: None,
            term: 0,
            gateways: (0..gateways).map(|_| None).collect(),
            cut_from_leader: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            limit: LIMIT,
            version: 1,
            spent: Vec::new(),
            requests: 0,
            refused: 0,
            grant_requests: 0,
        };
        simulation.elect();
        (0..gateways).for_each(|number| simulation.start(number));
        simulation
    }

    pub fn elect(&mut self) {
        self.term += 1;
        self.leader = Some(Leader { term: self.term, last_report_at: BTreeMap::new(), count: 0 });
    }

    pub fn start(&mut self, number: usize) {
        let settings = GatewaySettings { quota: QUOTA, ..GatewaySettings::default() };
        let mut state = GatewayState::new("north", settings, number as u64);
        state.set_own_address(address(number));
        let next_update_at = self.now;
        let responses = VecDeque::new();
        let gateway = Gateway { state, next_update_at, responses, is_frozen: false };
        self.gateways[number].get_or_insert(gateway);
    }

    pub fn advance(&mut self, time: Duration, mut each: impl FnMut(&mut Self)) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.exchange_updates();
            each(self);
        }
    }

    pub fn exchange_updates(&mut self) {
        let now = self.now;
        if let Some(leader) = &mut self.leader {
            let before = leader.last_report_at.len();
            leader.last_report_at.retain(|_, reported_at| now < *reported_at + GATEWAY_TIMEOUT);
            leader.count += u64::from(before != leader.last_report_at.len());
        }
        for number in 0..self.gateways.len() {
            let catalog = catalog(self.version, self.limit);
            let Some(gateway) = &mut self.gateways[number] else { continue };
            if gateway.is_frozen {
                continue;
            }
            while gateway.responses.front().is_some_and(|(at, ..)| *at <= now) {
                let Some((_, asked_at, view)) = gateway.responses.pop_front() else { break };
                gateway.state.apply(&view, Some(catalog.clone()), asked_at);
                gateway.state.confirm_grants(&view, asked_at, now);
            }
            if now < gateway.next_update_at || self.cut_from_leader.contains(&number) {
                continue;
            }
            let Some(leader) = &mut self.leader else { continue };
            gateway.next_update_at = now + UPDATE_INTERVAL;
            leader.count += u64::from(leader.last_report_at.insert(number, now).is_none());
            let seen = gateway.state.seen_versions();
            let gateways = (seen.gateways != (leader.term, leader.count)).then(|| {
                let reports = leader.last_report_at.keys().map(|number| report(*number)).collect();
                GatewayListUpdate::full((leader.term, leader.count), reports)
            });
            let view = FleetView {
                staleness: Some(Duration::ZERO),
                gateway_count: leader.last_report_at.len() as u32,
                gateways,
                ..FleetView::default()
            };
            let delay = Duration::from_millis(self.rng.random_range(1..250));
            let at =
                gateway.responses.back().map_or(now + delay, |(at, ..)| (now + delay).max(*at));
            gateway.responses.push_back((at, now, view));
        }
    }

    /// Sends a request to a gateway, which asks for a grant as the gateway process does.
    pub fn request(&mut self, number: usize, amount: u32) -> bool {
        self.requests += 1;
        let first = self.rng.random_range(0..STRIPES);
        for offset in 0..STRIPES {
            let stripe = StripeId { owner: tenant_hash(), stripe: (first + offset) % STRIPES };
            if self.ask(number, stripe, amount) == Some(GrantResponse::Granted) {
                self.spent.push((self.now, f64::from(amount)));
                return true;
            }
        }
        let now = self.now;
        let gateway = self.gateways[number].as_mut().unwrap();
        let is_spent = gateway.state.spend_without_grant(tenant_hash(), amount, now);
        if is_spent {
            self.spent.push((now, f64::from(amount)));
        }
        self.refused += usize::from(!is_spent);
        is_spent
    }

    pub fn ask(&mut self, number: usize, stripe: StripeId, amount: u32) -> Option<GrantResponse> {
        let now = self.now;
        let requester = self.gateways[number].as_mut()?;
        let granter = match requester.state.granter(stripe, now)? {
            Granter::Local => return Some(requester.state.grant(stripe, amount, now)),
            Granter::Remote(granter) => granter,
        };
        self.grant_requests += 1;
        let other = (0..self.gateways.len()).find(|index| address(*index) == granter)?;
        let is_partitioned = self.partitioned.contains(&(number, other));
        let granter_gateway =
            self.gateways[other].as_mut().filter(|gateway| !gateway.is_frozen && !is_partitioned);
        let response = granter_gateway.map(|gateway| gateway.state.grant(stripe, amount, now));
        if response.is_none() {
            let requester = self.gateways[number].as_mut()?;
            requester.state.on_granter_timeout(granter, now);
        }
        response
    }

    /// All gateways use as much as they are granted.
    pub fn demand_all(&mut self) {
        for number in 0..self.gateways.len() {
            for _ in 0..MAX_REQUESTS_PER_STEP {
                let is_up =
                    self.gateways[number].as_ref().is_some_and(|gateway| !gateway.is_frozen);
                let amount = self.rng.random_range(20..150);
                if !is_up || !self.request(number, amount) {
                    break;
                }
            }
        }
    }

    /// Maximum number of units used in any window.
    pub fn max_in_window(&self) -> f64 {
        let (mut from, mut sum, mut max_used) = (0, 0.0, 0.0f64);
        for (at, amount) in &self.spent {
            sum += amount;
            while self.spent[from].0 + WINDOW < *at {
                sum -= self.spent[from].1;
                from += 1;
            }
            max_used = max_used.max(sum);
        }
        max_used
    }

    pub fn apply(&mut self, event: Event) {
        let count = self.gateways.len();
        match event {
            Event::Kill(number) => self.gateways[number % count] = None,
            Event::Start(number) => self.start(number % count),
            Event::Freeze(number) => self.set_frozen(number % count, true),
            Event::Thaw(number) => self.set_frozen(number % count, false),
            Event::CutFromLeader(number) => drop(self.cut_from_leader.insert(number % count)),
            Event::Part(sides) => self.partition(sides),
            Event::Heal => {
                self.cut_from_leader.clear();
                self.partitioned.clear();
            }
            Event::LoseLeader => self.leader = None,
            Event::Elect => self.elect(),
            Event::Pass(millis) => {
                self.advance(Duration::from_millis(millis), Simulation::demand_all)
            }
        }
    }

    pub fn set_frozen(&mut self, number: usize, is_frozen: bool) {
        if let Some(gateway) = &mut self.gateways[number] {
            gateway.is_frozen = is_frozen;
        }
    }

    /// Partitions the gateways into two sides, of which one is cut off from the leader.
    pub fn partition(&mut self, sides: u8) {
        let is_on_side = |number: usize| sides >> (number % 8) & 1 == 1;
        let count = self.gateways.len();
        let pairs = (0..count).flat_map(|index| (0..count).map(move |other| (index, other)));
        self.partitioned =
            pairs.filter(|(index, other)| is_on_side(*index) != is_on_side(*other)).collect();
        self.cut_from_leader = (0..count).filter(|number| is_on_side(*number)).collect();
    }
}

pub fn report(number: usize) -> GatewayReport {
    GatewayReport {
        address: SocketAddr::new(address(number).ip(), 80).to_string(),
        zone: "north".to_owned(),
        region: String::new(),
        is_ready: true,
        is_legacy: false,
    }
}

pub fn bound(limit: TenantLimit) -> f64 {
    (limit.rate * WINDOW.as_secs_f64() + limit.burst) * (1.0 + QUOTA.overrun) + QUOTA.slack
}

/// An event of a series.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    Kill(usize),
    Start(usize),
    Freeze(usize),
    Thaw(usize),
    CutFromLeader(usize),
    Part(u8),
    Heal,
    LoseLeader,
    Elect,
    Pass(u64),
}

pub fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0usize..8).prop_map(Event::Kill),
        3 => (0usize..8).prop_map(Event::Start),
        1 => (0usize..8).prop_map(Event::Freeze),
        2 => (0usize..8).prop_map(Event::Thaw),
        2 => (0usize..8).prop_map(Event::CutFromLeader),
        1 => any::<u8>().prop_map(Event::Part),
        3 => Just(Event::Heal),
        1 => Just(Event::LoseLeader),
        3 => Just(Event::Elect),
        9 => (50u64..3_500).prop_map(Event::Pass),
    ]
}
