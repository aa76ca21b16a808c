//! Chooses the replica for a request's next attempt, locally or by asking a shard's coordinator.

use super::limit::Grant;
use super::trial::Trial;
use super::{Exchange, InFlight};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use topazmount_gateway::{Choice, ChoiceRequest, PromptEvent, RequestPlan, Shard};

/// Time for a coordinator to respond before the next one is asked.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(60);

/// Share of the target latency for which a request waits for a place at an overload-prone replica.
const MAX_PLACE_WAIT: f64 = 0.25;
/// Time between checks whether there is one.
const PLACE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Replicas with a request limit that are tried for a grant in one choice.
const MAX_GRANT_REQUESTS: usize = 8;

/// No coordinator of a shard responded.
struct NoCoordinator;

impl<'e> Exchange<'e> {
    /// Chooses a replica, counts the request as in flight there and tells other gateways.
    pub(super) async fn choose(&self, plan: &RequestPlan) -> Option<InFlight<'e>> {
        let (choice, grant) = self.choose_with_place(plan).await?;
        let request = self.choice_request(plan);
        let now = self.shared.clock.now();
        let update = {
            let mut gateway_state = self.shared.gateway_state.lock();
            gateway_state.balancer().on_sent(&choice, &request, now);
            gateway_state.load_update(&choice, &request, PromptEvent::Sent, now)
        };
        self.shared.peers.send_load_update(update);
        Some(InFlight {
            shared: self.shared,
            choice,
            grant,
            has_first_token: AtomicBool::new(false),
            has_failed: AtomicBool::new(false),
            path: Mutex::default(),
            is_path_suspect: AtomicBool::new(false),
        })
    }

    /// Chooses a replica. If only this gateway's own requests keep it from using the overload-prone replicas of
    /// the service, the request waits for one of them to end, but not for long: a rejected client may
    /// find a place at another gateway.
    async fn choose_with_place(&self, plan: &RequestPlan) -> Option<(Choice, Option<Grant<'e>>)> {
        let target = self.admission.route.target_latency;
        let wait = target.mul_f64(MAX_PLACE_WAIT).min(self.remaining_time());
        let wait_until = self.shared.clock.now() + wait;
        loop {
            let chosen = self.choose_within_limits(plan).await;
            let now = self.shared.clock.now();
            let may_wait = chosen.is_none() && now < wait_until && {
                let mut gateway_state = self.shared.gateway_state.lock();
                gateway_state.balancer().awaits_place(&self.choice_request(plan), now)
            };
            if !may_wait {
                return chosen;
            }
            async_io::Timer::after(PLACE_CHECK_INTERVAL).await;
        }
    }

    /// Chooses until a replica has no request limit or the request is granted within its limit.
    async fn choose_within_limits(
        &self,
        plan: &RequestPlan,
    ) -> Option<(Choice, Option<Grant<'e>>)> {
        for _ in 0..MAX_GRANT_REQUESTS {
            let choice = match &self.trial {
                Some(trial) => self.choose_for_trial(plan, trial)?,
                None => match self.choose_in_shards(plan).await {
                    Some(choice) => choice,
                    None => self.choose_locally(plan)?,
                },
            };
            if choice.limit.is_none() {
                return Some((choice, None));
            }
            if let Some(grant) = self.acquire_send_grant(&choice).await {
                return Some((choice, Some(grant)));
            }
        }
        None
    }

    /// Chooses a replica at whose address none has ended lately, if there is one.
    fn choose_for_trial(&self, plan: &RequestPlan, trial: &Trial<'_>) -> Option<Choice> {
        let tried = [plan.tried(), trial.unfit()].concat();
        let request = ChoiceRequest { tried: &tried, ..self.choice_request(plan) };
        let now = self.shared.clock.now();
        let choice = self.shared.gateway_state.lock().choose(&request, now);
        choice.or_else(|| self.choose_locally(plan))
    }

    fn choose_locally(&self, plan: &RequestPlan) -> Option<Choice> {
        let request = self.choice_request(plan);
        let now = self.shared.clock.now();
        self.shared.gateway_state.lock().choose(&request, now)
    }

    /// Asks the prompt's shards in order until one offers a replica that is not overloaded;
    /// otherwise returns the offer with the lowest estimated time to the first token.
    async fn choose_in_shards(&self, plan: &RequestPlan) -> Option<Choice> {
        let request = self.choice_request(plan);
        let now = self.shared.clock.now();
        let shards = self.shared.gateway_state.lock().shards_for(&request, now);
        let mut best: Option<Choice> = None;
        for shard in shards {
            let choice = match self.choose_in_shard(plan, shard).await {
                Ok(Some(choice)) => choice,
                Ok(None) => continue,
                // The timeouts have used up the time for further requests.
                Err(NoCoordinator) => break,
            };
            if !self.shared.gateway_state.lock().is_overloaded(&choice, &request) {
                return Some(choice);
            }
            if best.as_ref().is_none_or(|best| choice.estimate_ms < best.estimate_ms) {
                best = Some(choice);
            }
        }
        best
    }

    /// Asks the coordinators of a shard in order until one responds; `None` if it offers no replica
    /// that this gateway may use.
    async fn choose_in_shard(
        &self,
        plan: &RequestPlan,
        shard: Shard,
    ) -> Result<Option<Choice>, NoCoordinator> {
        let request = self.choice_request(plan);
        let service = &self.admission.service;
        let now = self.shared.clock.now();
        let coordinators =
            self.shared.gateway_state.lock().gateways().coordinators(service, shard, now);
        for coordinator in coordinators {
            {
                let mut gateway_state = self.shared.gateway_state.lock();
                if gateway_state.gateways().is_own(coordinator) {
                    return Ok(gateway_state.choose_in_shard(&request, Some(shard), now));
                }
            }
            if let Some(choice) = self.request_placement(plan, shard, coordinator).await {
                return Ok(choice);
            }
        }
        Err(NoCoordinator)
    }

    /// Asks one coordinator: `None` if it does not respond, otherwise its choice, if it has one that
    /// this gateway may use.
    async fn request_placement(
        &self,
        plan: &RequestPlan,
        shard: Shard,
        coordinator: SocketAddr,
    ) -> Option<Option<Choice>> {
        let request = self.choice_request(plan);
        let now = self.shared.clock.now();
        let placement_request =
            self.shared.gateway_state.lock().placement_request(&request, shard, now)?;
        let timeout = COORDINATOR_TIMEOUT.min(self.remaining_time());
        let response =
            self.shared.peers.request_placement(coordinator, placement_request, timeout).await;
        let now = self.shared.clock.now();
        let mut gateway_state = self.shared.gateway_state.lock();
        let Some(offer) = response else {
            gateway_state.gateways().on_timeout(coordinator, now);
            drop(gateway_state);
            self.shared.metrics.count_event("coordinator_silent");
            log::info!(
                "gateway: event=coordinator_silent coordinator={coordinator} request={}",
                self.metadata.id
            );
            return None;
        };
        gateway_state.gateways().on_response();
        Some(offer.and_then(|offer| gateway_state.accept_offer(&offer, &request, now)))
    }
}
