//! Asks whether a request is within the limits of its tenant and of its replica.

use super::Exchange;
use crate::fleet::gateway::Shared;
use crate::fleet::peers::send_grant_event;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use topazmount_gateway::{Choice, GrantResponse, Granter, LimitUpdate, STRIPES, StripeId};
use topazmount_types::Time;

/// Time that a granter has for its answer: the way there and back, a few milliseconds, and a moment in which its
/// machine is busy.
const GRANT_LIMIT: Duration = Duration::from_millis(60);
/// Time within which units of a request that has not run are given back. Later another gateway may grant.
const GIVE_BACK_TIME: Duration = Duration::from_secs(1);
/// Time after which a client should come back that is refused since no granter answers; up to as much is added, so that
/// clients return one after another.
const NO_GRANTER_WAIT: Duration = Duration::from_millis(300);

/// Time for which a replica that names a limit is passed over where nobody grants of it.
const NO_SEND_GRANT_PAUSE: Duration = Duration::from_millis(200);
/// Least time for which one whose limit is used up is passed over; up to as much as the whole is added, so that gateways don't
/// ask again at one moment.
const LEAST_SPENT_PAUSE: Duration = Duration::from_millis(50);

/// Why a request must not run now.
pub(super) enum OverLimit {
    /// Its tenant has used up its limit for so long.
    Used(Duration),
    /// Nobody could grant; it is worth a try after so long.
    NoGranter(Duration),
}

/// Units that a request was granted; given back when it is dropped, unless the request may have run.
pub(super) struct Grant<'a> {
    shared: &'a Shared,
    from: Option<(Granter, StripeId)>,
    amount: u32,
    at: Time,
    may_have_run: AtomicBool,
}

impl Grant<'_> {
    /// Takes the grant for one send; it is used only once.
    pub(super) fn take(&self) -> bool {
        !self.may_have_run.swap(true, Ordering::SeqCst)
    }

    /// Sets whether a replica may have run the request.
    pub(super) fn set_used(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::SeqCst);
    }
}

impl Drop for Grant<'_> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let Some((granting, stripe)) = self.from else { return };
        if self.may_have_run.load(Ordering::SeqCst) || now >= self.at + GIVE_BACK_TIME {
            return;
        }
        match granting {
            Granter::Local => {
                self.shared.knowledge.lock().unwrap().return_units(stripe, self.amount, now);
            }
            Granter::Remote(granter) => self.shared.peers.give_back(granter, stripe, self.amount),
        }
    }
}

impl<'e> Exchange<'e> {
    /// Has the request's units granted, by whichever stripe has them; `None` where nothing limits its tenant.
    pub(super) async fn ask_limit(&self) -> Result<Option<Grant<'e>>, OverLimit> {
        let counted =
            self.shared.knowledge.lock().unwrap().limit_cost(self.admission, self.tags.tokens);
        let Some((tenant, amount)) = counted else { return Ok(None) };
        let grant = |from, at| Grant {
            shared: self.shared,
            from,
            amount,
            at,
            may_have_run: AtomicBool::new(false),
        };
        let first = rand::random_range(0..STRIPES);
        let mut shortest: Option<Duration> = None;
        for turn in 0..STRIPES {
            let stripe = StripeId { owner: tenant, stripe: (first + turn) % STRIPES };
            let asked_at = self.shared.clock.now();
            let granting = self.shared.knowledge.lock().unwrap().granter(stripe, asked_at);
            let Some(granting) = granting else { continue };
            match self.ask_granter(granting, stripe, amount).await {
                Some(GrantResponse::Granted) => {
                    return Ok(Some(grant(Some((granting, stripe)), asked_at)));
                }
                Some(GrantResponse::LimitExceeded(wait)) => {
                    shortest = Some(shortest.map_or(wait, |known| known.min(wait)));
                }
                Some(GrantResponse::NotGranter) | None => {}
            }
        }
        self.spend_ungranted(tenant, amount, shortest).map(|at| Some(grant(None, at)))
    }

    async fn ask_granter(
        &self,
        granting: Granter,
        stripe: StripeId,
        amount: u32,
    ) -> Option<GrantResponse> {
        let granter = match granting {
            Granter::Local => {
                let now = self.shared.clock.now();
                return Some(self.shared.knowledge.lock().unwrap().grant(stripe, amount, now));
            }
            Granter::Remote(granter) => granter,
        };
        let limit = GRANT_LIMIT.min(self.left());
        let answer = self.shared.peers.ask_grant(granter, stripe, amount, limit).await;
        if answer.is_none() {
            self.note_silent_granter(granter);
        }
        answer
    }

    fn note_silent_granter(&self, granter: SocketAddr) {
        let now = self.shared.clock.now();
        self.shared.knowledge.lock().unwrap().on_granter_timeout(granter, now);
        self.shared.metrics.event("granter_silent");
        let request = &self.tags.id;
        self.shared
            .journal
            .line(|| format!("gateway: event=granter_silent granter={granter} request={request}"));
    }

    /// Where nothing is granted, this gateway's part of what may be used beyond the limit is left.
    fn spend_ungranted(
        &self,
        tenant: u64,
        amount: u32,
        wait: Option<Duration>,
    ) -> Result<Time, OverLimit> {
        let now = self.shared.clock.now();
        let is_spent =
            self.shared.knowledge.lock().unwrap().spend_without_grant(tenant, amount, now);
        if is_spent {
            self.shared.metrics.event("ungranted_spent");
            return Ok(now);
        }
        Err(match wait {
            Some(wait) => OverLimit::Used(wait),
            None => {
                self.shared.metrics.event("no_granter");
                OverLimit::NoGranter(NO_GRANTER_WAIT.mul_f64(1.0 + rand::random::<f64>()))
            }
        })
    }

    /// Asks for one request to a replica that names a limit. Where it is not granted, the replica is no candidate for a while.
    pub(super) async fn ask_send_grant(&self, choice: &Choice) -> Option<Grant<'e>> {
        let asked_at = self.shared.clock.now();
        let (asked, granting) = {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            let asked = knowledge.limit_update(choice, asked_at)?;
            (asked, knowledge.send_granter(asked.replica, asked_at))
        };
        let answer = match granting {
            None => None,
            Some(Granter::Local) => {
                let answer = self.shared.knowledge.lock().unwrap().grant_send(&asked, asked_at);
                self.shared.metrics.event(send_grant_event(answer));
                Some(answer)
            }
            Some(Granter::Remote(granter)) => self.ask_send_granter(granter, asked).await,
        };
        if answer == Some(GrantResponse::Granted) {
            let from = granting.map(|granting| (granting, StripeId::of_replica(asked.replica)));
            let may_have_run = AtomicBool::new(false);
            return Some(Grant {
                shared: self.shared,
                from,
                amount: 1,
                at: asked_at,
                may_have_run,
            });
        }
        self.note_spent(choice, asked.replica, answer);
        None
    }

    async fn ask_send_granter(
        &self,
        granter: SocketAddr,
        asked: LimitUpdate,
    ) -> Option<GrantResponse> {
        let limit = GRANT_LIMIT.min(self.left());
        let answer = self.shared.peers.ask_send_grant(granter, asked, limit).await;
        if answer.is_none() {
            let now = self.shared.clock.now();
            self.shared.knowledge.lock().unwrap().on_send_granter_timeout(granter, now);
            self.shared.metrics.event("send_granter_silent");
        }
        answer
    }

    fn note_spent(&self, choice: &Choice, replica: u64, answer: Option<GrantResponse>) {
        let (event, pause) = match answer {
            Some(GrantResponse::LimitExceeded(wait)) => {
                ("limit_spent", wait.max(LEAST_SPENT_PAUSE))
            }
            _ => ("limit_not_granted", NO_SEND_GRANT_PAUSE),
        };
        let pause = pause.mul_f64(1.0 + rand::random::<f64>());
        let now = self.shared.clock.now();
        self.shared.knowledge.lock().unwrap().pause_replica(replica, pause, now);
        self.shared.metrics.event(event);
        self.shared.journal.line(|| {
            format!(
                "gateway: event={event} request={} instance={} pause_ms={}",
                self.tags.id,
                choice.instance.id,
                pause.as_millis()
            )
        });
    }
}
