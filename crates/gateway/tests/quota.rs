//! Limits of tenants over all gateways together: what is granted in any window keeps the limit, whoever is cut off, frozen,
//! restarted or replaced, and what is within the limit is let through.

mod common;

use common::{parts, tenant};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_control::{FleetView, GATEWAY_SILENCE, GatewayNews, GatewayReport};
use topazmount_gateway::{
    Catalog, CatalogParts, GatewaySettings, GrantAnswer, Granting, Knowledge, LimitUnit,
    QuotaSettings, STRIPES, StripeId, Tenant, TenantLimit,
};
use topazmount_types::{TenantId, Time};

const STEP: Duration = Duration::from_millis(50);
/// Time between two requests for news of a gateway.
const ASKING: Duration = Duration::from_millis(400);
const WINDOW: Duration = Duration::from_secs(8);
const QUOTA: QuotaSettings = QuotaSettings { window: WINDOW, overrun: 0.0, slack: 300.0 };
const LIMIT: TenantLimit =
    TenantLimit { rate: 1_000.0, burst: 1_000.0, unit: LimitUnit::Tokens { untold: 200 } };
/// Tries of a gateway in a step.
const TRIES: usize = 3;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000))
}

fn catalog(version: u64, limit: TenantLimit) -> Catalog {
    let limited = Tenant { limit: Some(limit), ..tenant("limited", "key") };
    Catalog::new(CatalogParts { tenants: Some(vec![limited]), version, ..parts(version) }).unwrap()
}

fn tenant_hash() -> u64 {
    TenantId::from_name("limited").0
}

/// The control group as gateways see it: one leader at a time, whose list begins empty.
struct Leader {
    term: u64,
    heard: BTreeMap<usize, Time>,
    count: u64,
}

struct Gateway {
    knowledge: Knowledge,
    asks_at: Time,
    /// Answers on their way: when they arrive, when they were asked for.
    answers: VecDeque<(Time, Time, FleetView)>,
    is_frozen: bool,
}

struct World {
    now: Time,
    rng: ChaCha8Rng,
    leader: Option<Leader>,
    term: u64,
    gateways: Vec<Option<Gateway>>,
    /// Gateways that do not reach the leader.
    cut: BTreeSet<usize>,
    /// Pairs that do not reach each other.
    parted: BTreeSet<(usize, usize)>,
    limit: TenantLimit,
    version: u64,
    spent: Vec<(Time, f64)>,
    asked: usize,
    refused: usize,
    questions: usize,
}

impl World {
    fn new(gateways: usize, seed: u64) -> Self {
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

    fn elect(&mut self) {
        self.term += 1;
        self.leader = Some(Leader { term: self.term, heard: BTreeMap::new(), count: 0 });
    }

    fn start(&mut self, number: usize) {
        let settings = GatewaySettings { quota: QUOTA, ..GatewaySettings::default() };
        let mut knowledge = Knowledge::new("north", settings, number as u64);
        knowledge.set_own_address(address(number));
        let asks_at = self.now;
        let answers = VecDeque::new();
        let gateway = Gateway { knowledge, asks_at, answers, is_frozen: false };
        self.gateways[number].get_or_insert(gateway);
    }

    fn pass(&mut self, time: Duration, mut each: impl FnMut(&mut Self)) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.exchange_news();
            each(self);
        }
    }

    fn exchange_news(&mut self) {
        let now = self.now;
        if let Some(leader) = &mut self.leader {
            let before = leader.heard.len();
            leader.heard.retain(|_, heard| now < *heard + GATEWAY_SILENCE);
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
            let seen = gateway.knowledge.seen();
            let gateways = (seen.gateways != (leader.term, leader.count)).then(|| {
                let reports = leader.heard.keys().map(|number| report(*number)).collect();
                GatewayNews::full((leader.term, leader.count), reports)
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
    fn request(&mut self, number: usize, amount: u32) -> bool {
        self.asked += 1;
        let first = self.rng.random_range(0..STRIPES);
        for turn in 0..STRIPES {
            let stripe = StripeId { owner: tenant_hash(), stripe: (first + turn) % STRIPES };
            if self.ask(number, stripe, amount) == Some(GrantAnswer::Granted) {
                self.spent.push((self.now, f64::from(amount)));
                return true;
            }
        }
        let now = self.now;
        let gateway = self.gateways[number].as_mut().unwrap();
        let is_spent = gateway.knowledge.spend_ungranted(tenant_hash(), amount, now);
        if is_spent {
            self.spent.push((now, f64::from(amount)));
        }
        self.refused += usize::from(!is_spent);
        is_spent
    }

    fn ask(&mut self, number: usize, stripe: StripeId, amount: u32) -> Option<GrantAnswer> {
        let now = self.now;
        let asker = self.gateways[number].as_mut()?;
        let granter = match asker.knowledge.granting(stripe, now)? {
            Granting::Own => return Some(asker.knowledge.grant(stripe, amount, now)),
            Granting::Other(granter) => granter,
        };
        self.questions += 1;
        let other = (0..self.gateways.len()).find(|one| address(*one) == granter)?;
        let is_parted = self.parted.contains(&(number, other));
        let answerer = self.gateways[other].as_mut().filter(|one| !one.is_frozen && !is_parted);
        let answer = answerer.map(|one| one.knowledge.grant(stripe, amount, now));
        if answer.is_none() {
            let asker = self.gateways[number].as_mut()?;
            asker.knowledge.note_silent_granter(granter, now);
        }
        answer
    }

    /// All gateways ask for as much as they can get.
    fn press(&mut self) {
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
    fn most_in_window(&self) -> f64 {
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

    fn take(&mut self, event: Event) {
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

    fn set_frozen(&mut self, number: usize, is_frozen: bool) {
        if let Some(gateway) = &mut self.gateways[number] {
            gateway.is_frozen = is_frozen;
        }
    }

    /// Cuts the gateways into two sides, of which one does not reach the leader.
    fn part(&mut self, side: u8) {
        let is_there = |number: usize| side >> (number % 8) & 1 == 1;
        let count = self.gateways.len();
        let pairs = (0..count).flat_map(|one| (0..count).map(move |other| (one, other)));
        self.parted = pairs.filter(|(one, other)| is_there(*one) != is_there(*other)).collect();
        self.cut = (0..count).filter(|number| is_there(*number)).collect();
    }
}

fn report(number: usize) -> GatewayReport {
    GatewayReport {
        address: SocketAddr::new(address(number).ip(), 80).to_string(),
        zone: "north".to_owned(),
        region: String::new(),
        is_ready: true,
    }
}

fn bound(limit: TenantLimit) -> f64 {
    (limit.rate * WINDOW.as_secs_f64() + limit.burst) * (1.0 + QUOTA.overrun) + QUOTA.slack
}

#[derive(Clone, Copy, Debug)]
enum Event {
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

fn any_event() -> impl Strategy<Value = Event> {
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

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn no_window_exceeds_the_limit(
        seed in any::<u64>(),
        events in prop::collection::vec(any_event(), 10..50),
    ) {
        let mut world = World::new(8, seed);
        world.take(Event::Pass(8_000));
        events.into_iter().for_each(|event| world.take(event));
        world.take(Event::Heal);
        world.take(Event::Elect);
        world.take(Event::Pass(10_000));
        let most = world.most_in_window();
        prop_assert!(most <= bound(LIMIT), "{most} of {}", bound(LIMIT));
        // The series says something only where grants were given to the end.
        prop_assert!(world.spent.len() > 50);
    }
}

/// The whole list is lost with each leader, and gateways come back to it one after the other.
#[test]
fn a_new_leader_moves_no_grants() {
    let mut world = World::new(12, 7);
    world.pass(Duration::from_secs(8), World::press);
    world.spent.clear();
    for _ in 0..10 {
        world.take(Event::LoseLeader);
        world.take(Event::Pass(1_300));
        world.take(Event::Elect);
        world.take(Event::Pass(2_000));
    }
    assert!(world.most_in_window() <= bound(LIMIT));
    let used: f64 = world.spent.iter().map(|(_, amount)| amount).sum();
    let owed = LIMIT.rate * 33.0;
    assert!(used > 0.9 * owed, "{used} of {owed}: grants go on while there is no leader");
}

/// Requests come at about half of the limit, as they do on a calm day; a size is what a long prompt has.
fn calm_day(gateways: usize, lose_one: bool) -> World {
    let mut world = World::new(gateways, 3);
    world.pass(Duration::from_secs(9), |_| {});
    if lose_one {
        let stripe = StripeId { owner: tenant_hash(), stripe: 0 };
        let knowledge = |world: &World, number: usize| {
            let gateway = world.gateways[number].as_ref().unwrap();
            gateway.knowledge.granting(stripe, world.now)
        };
        let holder = (0..gateways).find(|one| knowledge(&world, *one) == Some(Granting::Own));
        world.take(Event::Kill(holder.unwrap()));
    }
    world.pass(Duration::from_secs(40), |world| {
        let number = world.rng.random_range(0..world.gateways.len());
        if world.gateways[number].is_some() && world.rng.random_bool(0.55) {
            let amount = world.rng.random_range(10..90);
            world.request(number, amount);
        }
    });
    world
}

#[test]
fn what_is_within_the_limit_is_let_through_at_one_question() {
    for gateways in [30, 300] {
        let world = calm_day(gateways, false);
        assert!(world.asked > 300);
        assert_eq!(world.refused, 0);
        assert!(world.questions <= world.asked, "{} questions", world.questions);
    }
}

#[test]
fn the_loss_of_a_granter_costs_no_request_within_the_limit() {
    let world = calm_day(30, true);
    assert!(world.asked > 300);
    assert_eq!(world.refused, 0);
}

#[test]
fn a_lower_limit_holds_a_window_later_and_a_higher_one_at_once() {
    let mut world = World::new(8, 5);
    world.pass(Duration::from_secs(12), World::press);
    world.limit = TenantLimit { rate: 100.0, burst: 100.0, ..LIMIT };
    world.version = 2;
    world.take(Event::Pass(1_000));
    world.spent.clear();
    world.take(Event::Pass(20_000));
    assert!(world.most_in_window() <= bound(world.limit));
    world.limit = LIMIT;
    world.version = 3;
    world.take(Event::Pass(1_000));
    world.spent.clear();
    world.take(Event::Pass(5_000));
    let used: f64 = world.spent.iter().map(|(_, amount)| amount).sum();
    assert!(used > 4_500.0, "{used}");
}

/// Refused clients are told to come one after another, when there is enough for each.
#[test]
fn refused_clients_return_one_after_another() {
    let mut world = World::new(1, 5);
    world.pass(Duration::from_secs(12), |_| {});
    let stripe = StripeId { owner: tenant_hash(), stripe: 0 };
    while world.ask(0, stripe, 100) == Some(GrantAnswer::Granted) {}
    let waits: Vec<Duration> = (0..5)
        .filter_map(|_| match world.ask(0, stripe, 100) {
            Some(GrantAnswer::Over(wait)) => Some(wait),
            _ => None,
        })
        .collect();
    assert_eq!(waits.len(), 5);
    let apart: Vec<f64> = waits.windows(2).map(|two| (two[1] - two[0]).as_secs_f64()).collect();
    let each = 100.0 / (LIMIT.rate / f64::from(STRIPES));
    assert!(apart.iter().all(|time| (time - each).abs() < 0.001), "{apart:?}");
}

#[test]
fn what_did_not_run_is_given_back() {
    let mut world = World::new(1, 5);
    world.pass(Duration::from_secs(12), |_| {});
    let stripe = StripeId { owner: tenant_hash(), stripe: 0 };
    while world.ask(0, stripe, 100) == Some(GrantAnswer::Granted) {}
    let now = world.now;
    world.gateways[0].as_mut().unwrap().knowledge.give_back(stripe, 100, now);
    assert_eq!(world.ask(0, stripe, 100), Some(GrantAnswer::Granted));
}
