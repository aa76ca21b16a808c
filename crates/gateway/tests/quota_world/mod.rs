//! Gateways that grant of limits, a control group as they see it, and what can happen to either, on a virtual clock.
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
/// Time between two requests for news of a gateway.
const ASKING: Duration = Duration::from_millis(400);
pub const WINDOW: Duration = Duration::from_secs(8);
pub const QUOTA: QuotaSettings = QuotaSettings { window: WINDOW, overrun: 0.0, slack: 300.0 };
pub const LIMIT: TenantLimit =
    TenantLimit { rate: 1_000.0, burst: 1_000.0, unit: LimitUnit::Tokens { unspecified: 200 } };
/// Tries of a gateway in a step.
const TRIES: usize = 3;

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

/// The control group as gateways see it: one leader at a time, whose list begins empty.
pub struct Leader {
    pub term: u64,
    pub heard: BTreeMap<usize, Time>,
    pub count: u64,
}

pub struct Gateway {
    pub knowledge: GatewayState,
    pub asks_at: Time,
    /// Answers on their way: when they arrive, when they were asked for.
    pub answers: VecDeque<(Time, Time, FleetView)>,
    pub is_frozen: bool,
}

pub struct World {
    pub now: Time,
    pub rng: ChaCha8Rng,
    pub leader: Option<Leader>,
    pub term: u64,
    pub gateways: Vec<Option<Gateway>>,
    /// Gateways that do not reach the leader.
    pub cut: BTreeSet<usize>,
    /// Pairs that do not reach each other.
    pub parted: BTreeSet<(usize, usize)>,
    pub limit: TenantLimit,
    pub version: u64,
    pub spent: Vec<(Time, f64)>,
    pub asked: usize,
    pub refused: usize,
    pub questions: usize,
}

impl World {
    pub fn new(gateways: usize, seed: u64) -> Self {
        let mut world = World {
            now: Time::from_secs(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            leader: None,
            term: 0,
            gateways: (0..gateways).map(|_| None).collect(),
            cut: BTreeSet::new(),
            parted: BTreeSet::new(),
            limit: LIMIT,
            version: 1,
            spent: Vec::new(),
            asked: 0,
            refused: 0,
            questions: 0,
        };
        world.elect();
        (0..gateways).for_each(|number| world.start(number));
        world
    }

    pub fn elect(&mut self) {
        self.term += 1;
        self.leader = Some(Leader { term: self.term, heard: BTreeMap::new(), count: 0 });
    }

    pub fn start(&mut self, number: usize) {
        let settings = GatewaySettings { quota: QUOTA, ..GatewaySettings::default() };
        let mut knowledge = GatewayState::new("north", settings, number as u64);
        knowledge.set_own_address(address(number));
        let asks_at = self.now;
        let answers = VecDeque::new();
        let gateway = Gateway { knowledge, asks_at, answers, is_frozen: false };
        self.gateways[number].get_or_insert(gateway);
    }

    pub fn pass(&mut self, time: Duration, mut each: impl FnMut(&mut Self)) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.exchange_news();
            each(self);
        }
    }

    pub fn exchange_news(&mut self) {
        let now = self.now;
        if let Some(leader) = &mut self.leader {
            let before = leader.heard.len();
            leader.heard.retain(|_, heard| now < *heard + GATEWAY_TIMEOUT);
            leader.count += u64::from(before != leader.heard.len());
        }
        for number in 0..self.gateways.len() {
            let catalog = catalog(self.version, self.limit);
            let Some(gateway) = &mut self.gateways[number] else { continue };
            if gateway.is_frozen {
                continue;
            }
            while gateway.answers.front().is_some_and(|(at, ..)| *at <= now) {
                let Some((_, asked_at, view)) = gateway.answers.pop_front() else { break };
                gateway.knowledge.apply(&view, Some(catalog.clone()), asked_at);
                gateway.knowledge.confirm_grants(&view, asked_at, now);
            }
            if now < gateway.asks_at || self.cut.contains(&number) {
                continue;
            }
            let Some(leader) = &mut self.leader else { continue };
            gateway.asks_at = now + ASKING;
            leader.count += u64::from(leader.heard.insert(number, now).is_none());
            let seen = gateway.knowledge.seen_versions();
            let gateways = (seen.gateways != (leader.term, leader.count)).then(|| {
                let reports = leader.heard.keys().map(|number| report(*number)).collect();
                GatewayListUpdate::full((leader.term, leader.count), reports)
            });
            let view = FleetView {
                staleness: Some(Duration::ZERO),
                gateway_count: leader.heard.len() as u32,
                gateways,
                ..FleetView::default()
            };
            let delay = Duration::from_millis(self.rng.random_range(1..250));
            let at = gateway.answers.back().map_or(now + delay, |(at, ..)| (now + delay).max(*at));
            gateway.answers.push_back((at, now, view));
        }
    }

    /// A request at a gateway, as the shell asks for it.
    pub fn request(&mut self, number: usize, amount: u32) -> bool {
        self.asked += 1;
        let first = self.rng.random_range(0..STRIPES);
        for turn in 0..STRIPES {
            let stripe = StripeId { owner: tenant_hash(), stripe: (first + turn) % STRIPES };
            if self.ask(number, stripe, amount) == Some(GrantResponse::Granted) {
                self.spent.push((self.now, f64::from(amount)));
                return true;
            }
        }
        let now = self.now;
        let gateway = self.gateways[number].as_mut().unwrap();
        let is_spent = gateway.knowledge.spend_without_grant(tenant_hash(), amount, now);
        if is_spent {
            self.spent.push((now, f64::from(amount)));
        }
        self.refused += usize::from(!is_spent);
        is_spent
    }

    pub fn ask(&mut self, number: usize, stripe: StripeId, amount: u32) -> Option<GrantResponse> {
        let now = self.now;
        let asker = self.gateways[number].as_mut()?;
        let granter = match asker.knowledge.granter(stripe, now)? {
            Granter::Local => return Some(asker.knowledge.grant(stripe, amount, now)),
            Granter::Remote(granter) => granter,
        };
        self.questions += 1;
        let other = (0..self.gateways.len()).find(|one| address(*one) == granter)?;
        let is_parted = self.parted.contains(&(number, other));
        let answerer = self.gateways[other].as_mut().filter(|one| !one.is_frozen && !is_parted);
        let answer = answerer.map(|one| one.knowledge.grant(stripe, amount, now));
        if answer.is_none() {
            let asker = self.gateways[number].as_mut()?;
            asker.knowledge.on_granter_timeout(granter, now);
        }
        answer
    }

    /// All gateways ask for as much as they can get.
    pub fn press(&mut self) {
        for number in 0..self.gateways.len() {
            for _ in 0..TRIES {
                let is_up = self.gateways[number].as_ref().is_some_and(|one| !one.is_frozen);
                let amount = self.rng.random_range(20..150);
                if !is_up || !self.request(number, amount) {
                    break;
                }
            }
        }
    }

    /// The most that was used in any window.
    pub fn most_in_window(&self) -> f64 {
        let (mut from, mut sum, mut most) = (0, 0.0, 0.0f64);
        for (at, amount) in &self.spent {
            sum += amount;
            while self.spent[from].0 + WINDOW < *at {
                sum -= self.spent[from].1;
                from += 1;
            }
            most = most.max(sum);
        }
        most
    }

    pub fn take(&mut self, event: Event) {
        let count = self.gateways.len();
        match event {
            Event::Kill(number) => self.gateways[number % count] = None,
            Event::Start(number) => self.start(number % count),
            Event::Freeze(number) => self.set_frozen(number % count, true),
            Event::Thaw(number) => self.set_frozen(number % count, false),
            Event::CutFromLeader(number) => drop(self.cut.insert(number % count)),
            Event::Part(side) => self.part(side),
            Event::Heal => {
                self.cut.clear();
                self.parted.clear();
            }
            Event::LoseLeader => self.leader = None,
            Event::Elect => self.elect(),
            Event::Pass(millis) => self.pass(Duration::from_millis(millis), World::press),
        }
    }

    pub fn set_frozen(&mut self, number: usize, is_frozen: bool) {
        if let Some(gateway) = &mut self.gateways[number] {
            gateway.is_frozen = is_frozen;
        }
    }

    /// Cuts the gateways into two sides, of which one does not reach the leader.
    pub fn part(&mut self, side: u8) {
        let is_there = |number: usize| side >> (number % 8) & 1 == 1;
        let count = self.gateways.len();
        let pairs = (0..count).flat_map(|one| (0..count).map(move |other| (one, other)));
        self.parted = pairs.filter(|(one, other)| is_there(*one) != is_there(*other)).collect();
        self.cut = (0..count).filter(|number| is_there(*number)).collect();
    }
}

pub fn report(number: usize) -> GatewayReport {
    GatewayReport {
        address: SocketAddr::new(address(number).ip(), 80).to_string(),
        zone: "north".to_owned(),
        region: String::new(),
        is_ready: true,
    }
}

pub fn bound(limit: TenantLimit) -> f64 {
    (limit.rate * WINDOW.as_secs_f64() + limit.burst) * (1.0 + QUOTA.overrun) + QUOTA.slack
}

/// What happens in a series.
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
