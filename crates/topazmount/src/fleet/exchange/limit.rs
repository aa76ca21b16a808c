//! Acquires grants for a request within the limits of its tenant and of its replica.

use super::Exchange;
use crate::fleet::gateway::SharedState;
use crate::fleet::peers::send_grant_event;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use topazmount_gateway::{Choice, GrantResponse, Granter, LimitUpdate, STRIPES, StripeId};
use topazmount_types::Time;

/// Time for a granter to respond.
const GRANT_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after a grant within which unused units are returned; later another gateway may be the granter.
const RETURN_WINDOW: Duration = Duration::from_secs(1);
/// Retry delay for clients that are refused because no granter responds. Up to the same time is added
/// at random, so that clients don't retry all at once.
const NO_GRANTER_WAIT: Duration = Duration::from_millis(300);

/// Time for which a replica with a request limit is not chosen if no granter responds.
const NO_GRANTER_PAUSE: Duration = Duration::from_millis(200);
/// Minimum time for which a replica is not chosen after its limit is used up.
const MIN_EXHAUSTED_PAUSE: Duration = Duration::from_millis(50);

/// Why a request may not run now.
pub(super) enum OverLimit {
    /// The tenant's limit is used up for this time.
    Exhausted(Duration),
    /// No granter responded; the client should retry after this time.
    NoGranter(Duration),
}

/// Units granted to a request. Returned on drop unless the request may have run.
pub(super) struct Grant<'a> {
    shared: &'a SharedState,
    source: Option<(Granter, StripeId)>,
    amount: u32,
    granted_at: Time,
    may_have_run: AtomicBool,
}

impl Grant<'_> {
    /// Uses the grant for one send. Returns false if it has been used before.
    pub(super) fn take(&self) -> bool {
        !self.may_have_run.swap(true, Ordering::SeqCst)
    }

    /// Sets whether a replica may have run the request.
    pub(super) fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::SeqCst);
    }
}

impl Drop for Grant<'_> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let Some((granter, stripe)) = self.source else { return };
        if self.may_have_run.load(Ordering::SeqCst) || now >= self.granted_at + RETURN_WINDOW {
            return;
        }
        match granter {
            Granter::Local => {
                self.shared.gateway_state.lock().return_units(stripe, self.amount, now);
            }
            Granter::Remote(address) => {
                self.shared.peers.return_units(address, stripe, self.amount)
            }
        }
    }
}

impl<'e> Exchange<'e> {
    /// Acquires the request's units from any stripe of the tenant's limit that has enough; `None` if
    /// the tenant has no limit.
    pub(super) async fn acquire_tenant_grant(&self) -> Result<Option<Grant<'e>>, OverLimit> {
        let cost =
            self.shared.gateway_state.lock().limit_cost(self.admission, self.metadata.tokens);
        let Some((tenant, amount)) = cost else { return Ok(None) };
        let grant = |source, granted_at| Grant {
            shared: self.shared,
            source,
            amount,
            granted_at,
            may_have_run: AtomicBool::new(false),
        };
        let first_stripe = rand::random_range(0..STRIPES);
        let mut min_wait: Option<Duration> = None;
        for offset in 0..STRIPES {
            let stripe = StripeId { owner: tenant, stripe: (first_stripe + offset) % STRIPES };
            let requested_at = self.shared.clock.now();
            let granter = self.shared.gateway_state.lock().granter(stripe, requested_at);
            let Some(granter) = granter else { continue };
            match self.request_tenant_grant(granter, stripe, amount).await {
                Some(GrantResponse::Granted) => {
                    return Ok(Some(grant(Some((granter, stripe)), requested_at)));
                }
                Some(GrantResponse::LimitExceeded(wait)) => {
                    min_wait = Some(min_wait.map_or(wait, |known| known.min(wait)));
                }
                Some(GrantResponse::NotGranter) | None => {}
            }
        }
        self.spend_ungranted(tenant, amount, min_wait)
            .map(|granted_at| Some(grant(None, granted_at)))
    }

    async fn request_tenant_grant(
        &self,
        granter: Granter,
        stripe: StripeId,
        amount: u32,
    ) -> Option<GrantResponse> {
        let address = match granter {
            Granter::Local => {
                let now = self.shared.clock.now();
                return Some(self.shared.gateway_state.lock().grant(stripe, amount, now));
            }
            Granter::Remote(address) => address,
        };
        let timeout = GRANT_TIMEOUT.min(self.remaining_time());
        let response = self.shared.peers.request_grant(address, stripe, amount, timeout).await;
        if response.is_none() {
            self.record_silent_granter(address);
        }
        response
    }

    fn record_silent_granter(&self, granter: SocketAddr) {
        let now = self.shared.clock.now();
        self.shared.gateway_state.lock().on_granter_timeout(granter, now);
        self.shared.metrics.count_event("granter_silent");
        let request = &self.metadata.id;
        self.shared
            .event_log
            .info(|| format!("gateway: event=granter_silent granter={granter} request={request}"));
    }

    /// Spends from this gateway's share of the allowed overrun, for requests that got no grant.
    fn spend_ungranted(
        &self,
        tenant: u64,
        amount: u32,
        wait: Option<Duration>,
    ) -> Result<Time, OverLimit> {
        let now = self.shared.clock.now();
        let is_spent = self.shared.gateway_state.lock().spend_without_grant(tenant, amount, now);
        if is_spent {
            self.shared.metrics.count_event("ungranted_spent");
            return Ok(now);
        }
        Err(match wait {
            Some(wait) => OverLimit::Exhausted(wait),
            None => {
                self.shared.metrics.count_event("no_granter");
                OverLimit::NoGranter(NO_GRANTER_WAIT.mul_f64(1.0 + rand::random::<f64>()))
            }
        })
    }

    /// Acquires a grant for one request to a replica with a request limit. Without a grant the replica
    /// is not chosen for a while.
    pub(super) async fn acquire_send_grant(&self, choice: &Choice) -> Option<Grant<'e>> {
        let requested_at = self.shared.clock.now();
        let (update, granter) = {
            let mut gateway_state = self.shared.gateway_state.lock();
            let update = gateway_state.limit_update(choice, requested_at)?;
            (update, gateway_state.send_granter(update.replica, requested_at))
        };
        let response = match granter {
            None => None,
            Some(Granter::Local) => {
                let response = self.shared.gateway_state.lock().grant_send(&update, requested_at);
                self.shared.metrics.count_event(send_grant_event(response));
                Some(response)
            }
            Some(Granter::Remote(address)) => self.request_send_grant(address, update).await,
        };
        if response == Some(GrantResponse::Granted) {
            let source = granter.map(|granter| (granter, StripeId::of_replica(update.replica)));
            let may_have_run = AtomicBool::new(false);
            return Some(Grant {
                shared: self.shared,
                source,
                amount: 1,
                granted_at: requested_at,
                may_have_run,
            });
        }
        self.record_limit_spent(choice, update.replica, response);
        None
    }

    async fn request_send_grant(
        &self,
        granter: SocketAddr,
        update: LimitUpdate,
    ) -> Option<GrantResponse> {
        let timeout = GRANT_TIMEOUT.min(self.remaining_time());
        let response = self.shared.peers.request_send_grant(granter, update, timeout).await;
        if response.is_none() {
            let now = self.shared.clock.now();
            self.shared.gateway_state.lock().on_send_granter_timeout(granter, now);
            self.shared.metrics.count_event("send_granter_silent");
        }
        response
    }

    fn record_limit_spent(&self, choice: &Choice, replica: u64, response: Option<GrantResponse>) {
        let (event, pause) = match response {
            Some(GrantResponse::LimitExceeded(wait)) => {
                ("limit_spent", wait.max(MIN_EXHAUSTED_PAUSE))
            }
            _ => ("limit_not_granted", NO_GRANTER_PAUSE),
        };
        // Spread, so that gateways don't ask again all at once.
        let pause = pause.mul_f64(1.0 + rand::random::<f64>());
        let now = self.shared.clock.now();
        self.shared.gateway_state.lock().pause_replica(replica, pause, now);
        self.shared.metrics.count_event(event);
        self.shared.event_log.info(|| {
            format!(
                "gateway: event={event} request={} instance={} pause_ms={}",
                self.metadata.id,
                choice.instance.id,
                pause.as_millis()
            )
        });
    }
}
