//! Arrivals over time.

use crate::workload::classes::{Class, ClassShape, Mix};
use crate::workload::prompt::PromptPath;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use topazmount_settings::Declarations;
use topazmount_types::{Digest, Time};

/// Exponent of the heat of topics and subjects.
const HEAT: f64 = 0.9;
/// Exponent of tenants' sizes: a few are large.
const TENANT_SIZE: f64 = 0.8;
/// Tokens that one request of the Lakeshore mix asks for is no more than this; for deadlines.
const DEADLINE: Duration = Duration::from_secs(30);
/// Deadline of an at-most-once call.
const ACTION_DEADLINE: Duration = Duration::from_secs(5);

/// What to generate.
#[derive(Clone, Debug)]
pub struct TrafficSettings {
    /// Mix of classes.
    pub mix: Mix,
    /// Mean arrivals a second, over all zones.
    pub rate: f64,
    /// Seed.
    pub seed: u64,
    /// When the hot topics and subjects change places.
    pub shift_at: Option<Time>,
    /// Bursts: from, to, factor on the rate.
    pub bursts: Vec<(Time, Time, f64)>,
    /// A tenant that floods: its number, and the factor on its share.
    pub flood: Option<(usize, f64)>,
    /// Arrivals to replay in place of the mix.
    pub replay: Option<Arc<Vec<Arrival>>>,
}

/// What arrives.
#[derive(Clone, Debug)]
pub enum Work {
    /// A completion.
    Chat {
        /// Class.
        class: Class,
        /// Prompt.
        path: PromptPath,
        /// Most tokens.
        max_tokens: u32,
        /// Conversation.
        session: u64,
    },
    /// An at-most-once call with this key.
    Action {
        /// Key.
        key: String,
        /// Body.
        body: String,
    },
}

/// One arrival at a caller.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When.
    pub at: Time,
    /// Number of the zone whose caller asks.
    pub zone: usize,
    /// Number of the tenant, as declared.
    pub tenant: usize,
    /// What.
    pub work: Work,
    /// Deadline from then on.
    pub deadline: Duration,
}

/// Cumulative weights of a Zipf-like law.
#[derive(Clone, Debug)]
struct Heat(Vec<f64>);

impl Heat {
    fn new(count: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let weights = (1..=count).map(|rank| {
            sum += (rank as f64).powf(-exponent);
            sum
        });
        Heat(weights.collect())
    }

    fn draw(&self, rng: &mut impl Rng) -> usize {
        let total = self.0.last().copied().unwrap_or(1.0);
        let point = rng.random_range(0.0..total);
        self.0.partition_point(|sum| *sum <= point)
    }
}

/// Generator of arrivals in order of time.
pub struct Traffic {
    settings: TrafficSettings,
    rng: ChaCha8Rng,
    zones: usize,
    tenants: Heat,
    heats: HashMap<Class, Heat>,
    /// Turns taken so far in each conversation.
    turns: HashMap<(Class, usize, u32), u32>,
    now: Time,
    count: u64,
}

fn label(parts: &[u64]) -> u64 {
    let bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_le_bytes()).collect();
    Digest::of(&bytes).prefix()
}

impl Traffic {
    /// A generator for a deployment's zones and tenants.
    pub fn new(settings: TrafficSettings, declarations: &Declarations) -> Self {
        let heat = |class: &Class| (*class, Heat::new(class.shape().subjects as usize, HEAT));
        Traffic {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            zones: declarations.zones.len(),
            tenants: Heat::new(declarations.tenants.len(), TENANT_SIZE),
            heats: settings.mix.classes.iter().map(|(class, _)| heat(class)).collect(),
            turns: HashMap::new(),
            now: Time::ZERO,
            count: 0,
            settings,
        }
    }

    /// The next arrival.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<Arrival> {
        if let Some(replay) = &self.settings.replay {
            let arrival = replay.get(self.count as usize).cloned();
            self.count += 1;
            return arrival;
        }
        let rate = self.settings.rate * self.factor();
        let gap = -self.rng.random_range(f64::EPSILON..1.0f64).ln() / rate;
        self.now = self.now + Duration::from_secs_f64(gap);
        self.count += 1;
        let zone = self.rng.random_range(0..self.zones);
        let tenant = self.draw_tenant();
        let is_action = self.rng.random_bool(self.settings.mix.actions);
        let work = if is_action { self.action() } else { self.chat(tenant) };
        let deadline = if is_action { ACTION_DEADLINE } else { DEADLINE };
        Some(Arrival { at: self.now, zone, tenant, work, deadline })
    }

    fn factor(&self) -> f64 {
        let active =
            self.settings.bursts.iter().filter(|(from, to, _)| (*from..*to).contains(&self.now));
        active.map(|(_, _, factor)| factor).product()
    }

    fn draw_tenant(&mut self) -> usize {
        if let Some((tenant, factor)) = self.settings.flood {
            let share = factor / (factor + self.tenants.0.len() as f64);
            if self.rng.random_bool(share) {
                return tenant;
            }
        }
        self.tenants.draw(&mut self.rng)
    }

    fn action(&mut self) -> Work {
        let key = format!("call-{}-{}", self.settings.seed, self.count);
        let body = format!("{{\"amount\":{}}}", self.rng.random_range(1..1_000));
        Work::Action { key, body }
    }

    fn draw_class(&mut self) -> Class {
        let total: f64 = self.settings.mix.classes.iter().map(|(_, weight)| weight).sum();
        let mut point = self.rng.random_range(0.0..total);
        for (class, weight) in &self.settings.mix.classes {
            if point < *weight {
                return *class;
            }
            point -= weight;
        }
        self.settings.mix.classes[0].0
    }

    fn chat(&mut self, tenant: usize) -> Work {
        let class = self.draw_class();
        let shape = class.shape();
        let rank = self.heats[&class].draw(&mut self.rng) as u32;
        let subject = self.shifted(rank, shape.subjects);
        let turn = self.next_turn(class, tenant, subject, shape.turns);
        let path = self.path(class, &shape, tenant, subject, turn);
        let (low, high) = shape.answer_tokens;
        Work::Chat {
            class,
            path,
            max_tokens: self.rng.random_range(low..=high),
            session: label(&[class as u64, tenant as u64, u64::from(subject)]) | 1,
        }
    }

    /// After a shift, what was cold is hot.
    fn shifted(&self, rank: u32, count: u32) -> u32 {
        match self.settings.shift_at {
            Some(at) if self.now >= at => (rank + count / 2) % count,
            _ => rank,
        }
    }

    fn next_turn(&mut self, class: Class, tenant: usize, subject: u32, turns: u32) -> u32 {
        let turn = self.turns.entry((class, tenant, subject)).or_default();
        let current = *turn;
        *turn = (current + 1) % turns;
        current
    }

    fn path(
        &mut self,
        class: Class,
        shape: &ClassShape,
        tenant: usize,
        subject: u32,
        turn: u32,
    ) -> PromptPath {
        let seed = self.settings.seed;
        let tenant = tenant as u64;
        let topic = u64::from(subject % shape.topics);
        let subject = u64::from(subject);
        let (low, high) = shape.subject_blocks;
        let class_number = class as u64;
        let spread = u64::from(high - low + 1);
        let subject_blocks = low + (label(&[7, class_number, tenant, subject]) % spread) as u32;
        let mut labels = Vec::new();
        // What all prompts of a class begin with is the same text for all tenants: caches must not
        // share it all the same.
        let everybody = u64::MAX;
        let mut push = |owner: u64, count: u32, kind: &[u64]| {
            for number in 0..count {
                let mut parts = vec![seed, owner, u64::from(number)];
                parts.extend_from_slice(kind);
                labels.push(label(&parts));
            }
        };
        push(everybody, shape.common_blocks, &[1]);
        push(tenant, shape.topic_blocks, &[2, class_number, topic]);
        push(tenant, subject_blocks, &[3, class_number, subject]);
        push(tenant, turn * shape.turn_blocks, &[4, class_number, subject]);
        let (low, high) = shape.tail_tokens;
        PromptPath {
            labels,
            tail: label(&[5, seed, self.count]),
            tail_tokens: self.rng.random_range(low..=high),
        }
    }
}
