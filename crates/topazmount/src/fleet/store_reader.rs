//! Follows the events of the stores of prompt parts, so that a gateway knows what they hold.

use super::caller::Caller;
use super::gateway::Shared;
use crate::Executor;
use async_io::Timer;
use eyre::{Result, bail, eyre};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use topazmount_admission::{Pushback, Pushbacks};
use topazmount_gateway::StoreKey;

/// How often the list of stores is looked at.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// How long a store may hold an answer while it has no events.
const HOLD: Duration = Duration::from_millis(1_000);
/// Time beyond that after which a store counts as lost.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);
/// Pause between two calls, in which events gather.
const PAUSE: Duration = Duration::from_millis(250);
/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Largest page of events.
const MAX_PAGE: usize = 1024 * 1024;

/// Follows all stores of the catalog in force, for ever.
pub(super) async fn run(executor: Executor, shared: Arc<Shared>) {
    let mut followed: HashSet<StoreKey> = HashSet::new();
    loop {
        let named: Vec<(StoreKey, String)> = {
            let mut knowledge = shared.knowledge.lock().unwrap();
            let stores = knowledge.balancer().stores();
            stores.keys().map(|(key, address)| (key, address.to_owned())).collect()
        };
        for (key, address) in named {
            if followed.insert(key) {
                let shared = shared.clone();
                executor.spawn(async move { follow(&shared, key, &address).await }).detach();
            }
        }
        Timer::after(LIST_INTERVAL).await;
    }
}

/// Follows one store until the catalog names it no more. Where there are many gateways only some
/// follow each store, which holds few calls at a time; the others use another store or none.
async fn follow(shared: &Shared, key: StoreKey, address: &str) {
    let mut caller = match Caller::new(address) {
        Ok(caller) => caller,
        Err(error) => return log::error!("gateway: event=store_refused error={error:#}"),
    };
    let name = caller.address().to_string();
    let mut asked = Pushbacks::default();
    loop {
        asked.set(shared.knowledge.lock().unwrap().settings().pushback);
        if !asked.may_call(&name, shared.clock.now()) {
            Timer::after(FAILURE_PAUSE).await;
            continue;
        }
        let position = shared.knowledge.lock().unwrap().balancer().stores().position(key);
        let Some(position) = position else { return };
        let now = shared.clock.now();
        let is_ours = shared.knowledge.lock().unwrap().should_follow_store(address, now);
        let result = match is_ours {
            true => read_page(shared, key, &mut caller, &mut asked, position).await,
            false => Err(eyre!("enough other gateways follow it")),
        };
        match result {
            Ok(()) => Timer::after(PAUSE).await,
            Err(error) => {
                if shared.knowledge.lock().unwrap().balancer().stores().on_unreachable(key) {
                    shared.metrics.event("store_lost");
                    log::info!("gateway: event=store_lost address={address} error={error:#}");
                }
                Timer::after(FAILURE_PAUSE).await
            }
        };
    }
}

async fn read_page(
    shared: &Shared,
    key: StoreKey,
    caller: &mut Caller,
    asked: &mut Pushbacks,
    position: u64,
) -> Result<()> {
    let req = shared.dialect.store_events_call(position, HOLD);
    let answer = caller.call(req, MAX_PAGE, HOLD + ANSWER_MARGIN).await?;
    // A store is no replica, which others may take the place of: only a time of rest counts.
    let said =
        Pushback { is_leaving: false, ..shared.dialect.response_metadata(&answer.head).pushback };
    if let Some(heard) = asked.hear(&caller.address().to_string(), said, shared.clock.now()) {
        let rest = heard.rests_for.unwrap_or_default().as_millis();
        log::info!("gateway: event=store_pushback address={} rest_ms={rest}", caller.address());
    }
    if answer.head.status != 200 {
        bail!("status {}", answer.head.status);
    }
    let page = shared.dialect.parse_store_events(&answer.body);
    let page = page.ok_or_else(|| eyre!("an answer that is no page of events"))?;
    let (epoch, next) = (page.epoch, page.next);
    if shared.knowledge.lock().unwrap().balancer().stores().apply(key, page) {
        shared.metrics.event("store_renewed");
        log::info!(
            "gateway: event=store_renewed address={} epoch={epoch} next={next}",
            caller.address()
        );
    }
    Ok(())
}
