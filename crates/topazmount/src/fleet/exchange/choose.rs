//! Which replica a request goes to next: by what this gateway knows, or as a coordinator says.

use super::limit::Grant;
use super::{Exchange, InFlight};
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use topazmount_gateway::{Choice, PromptEvent, RequestPlan, Shard};

/// Time that a coordinator has for its answer: the way there and back, a few milliseconds, and a moment
/// in which its machine is busy. Then the next one is asked, and after it this gateway decides by itself.
const ANSWER_LIMIT: Duration = Duration::from_millis(60);

/// Replicas that name a limit of which one request has grants asked, in one choice.
const MOST_GRANTS_ASKED: usize = 8;

/// No coordinator of a shard answered.
struct Unanswered;

impl<'e> Exchange<'e> {
    /// Chooses a replica and counts the request there; other gateways are told.
    pub(super) async fn choose(&self, plan: &RequestPlan) -> Option<InFlight<'e>> {
        let (choice, grant) = self.choose_within_limits(plan).await?;
        let request = self.choice_request(plan);
        let now = self.shared.clock.now();
        let news = {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            knowledge.balancer().on_sent(&choice, &request, now);
            knowledge.load_update(&choice, &request, PromptEvent::Sent, now)
        };
        self.shared.peers.tell(news);
        Some(InFlight {
            shared: self.shared,
            choice,
            grant,
            has_first_token: AtomicBool::new(false),
            has_failed: AtomicBool::new(false),
        })
    }

    /// Chooses until a replica has no limit, or one within which the request is granted.
    async fn choose_within_limits(
        &self,
        plan: &RequestPlan,
    ) -> Option<(Choice, Option<Grant<'e>>)> {
        for _ in 0..MOST_GRANTS_ASKED {
            let choice = match self.choose_in_shards(plan).await {
                Some(choice) => choice,
                None => self.choose_alone(plan)?,
            };
            if choice.limit.is_none() {
                return Some((choice, None));
            }
            if let Some(grant) = self.ask_send_grant(&choice).await {
                return Some((choice, Some(grant)));
            }
        }
        None
    }

    fn choose_alone(&self, plan: &RequestPlan) -> Option<Choice> {
        let request = self.choice_request(plan);
        let now = self.shared.clock.now();
        self.shared.knowledge.lock().unwrap().choose(&request, now)
    }

    /// Asks the shards of the prompt in order until one has a replica that can begin soon; else the
    /// best of their offers.
    async fn choose_in_shards(&self, plan: &RequestPlan) -> Option<Choice> {
        let request = self.choice_request(plan);
        let now = self.shared.clock.now();
        let shards = self.shared.knowledge.lock().unwrap().shards_for(&request, now);
        let mut best: Option<Choice> = None;
        for shard in shards {
            let choice = match self.ask_shard(plan, shard).await {
                Ok(Some(choice)) => choice,
                Ok(None) => continue,
                // The time for further questions has been spent.
                Err(Unanswered) => break,
            };
            if !self.shared.knowledge.lock().unwrap().is_overloaded(&choice, &request) {
                return Some(choice);
            }
            if best.as_ref().is_none_or(|best| choice.estimate_ms < best.estimate_ms) {
                best = Some(choice);
            }
        }
        best
    }

    /// Asks the coordinators of a shard in order until one answers; `None` where it knows no replica that
    /// this gateway may ask.
    async fn ask_shard(
        &self,
        plan: &RequestPlan,
        shard: Shard,
    ) -> Result<Option<Choice>, Unanswered> {
        let request = self.choice_request(plan);
        let service = &self.admission.service;
        let now = self.shared.clock.now();
        let coordinators =
            self.shared.knowledge.lock().unwrap().gateways().coordinators(service, shard, now);
        for coordinator in coordinators {
            {
                let mut knowledge = self.shared.knowledge.lock().unwrap();
                if knowledge.gateways().is_own(coordinator) {
                    return Ok(knowledge.choose_in_shard(&request, Some(shard), now));
                }
            }
            if let Some(answer) = self.ask_coordinator(plan, shard, coordinator).await {
                return Ok(answer);
            }
        }
        Err(Unanswered)
    }

    /// Asks one coordinator: `None` where it does not answer, else its choice if it has one that this
    /// gateway may follow.
    async fn ask_coordinator(
        &self,
        plan: &RequestPlan,
        shard: Shard,
        coordinator: SocketAddr,
    ) -> Option<Option<Choice>> {
        let request = self.choice_request(plan);
        let now = self.shared.clock.now();
        let question =
            self.shared.knowledge.lock().unwrap().placement_request(&request, shard, now)?;
        let limit = ANSWER_LIMIT.min(self.left());
        let answer = self.shared.peers.ask(coordinator, question, limit).await;
        let now = self.shared.clock.now();
        let mut knowledge = self.shared.knowledge.lock().unwrap();
        let Some(offer) = answer else {
            knowledge.gateways().on_timeout(coordinator, now);
            drop(knowledge);
            self.shared.metrics.event("coordinator_silent");
            log::info!(
                "gateway: event=coordinator_silent coordinator={coordinator} request={}",
                self.tags.id
            );
            return None;
        };
        knowledge.gateways().on_response();
        Some(offer.and_then(|offer| knowledge.accept_offer(&offer, &request, now)))
    }
}
