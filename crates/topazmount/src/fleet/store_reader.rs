//! Follows the events of the stores of prompt parts, so that a gateway knows what they hold.

use super::dialect::HttpCall;
use super::gateway::Shared;
use crate::Executor;
use crate::http1::{ClientAnswer, Headers, call};
use async_io::Timer;
use eyre::{Result, WrapErr, bail, eyre};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

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
    let followed: Arc<Mutex<HashSet<String>>> = Arc::default();
    loop {
        let addresses = shared.knowledge.lock().unwrap().balancer().stores().addresses();
        for address in addresses {
            if followed.lock().unwrap().insert(address.clone()) {
                let (shared, followed) = (shared.clone(), followed.clone());
                let following = async move {
                    follow(&shared, &address).await;
                    followed.lock().unwrap().remove(&address);
                };
                executor.spawn(following).detach();
            }
        }
        Timer::after(LIST_INTERVAL).await;
    }
}

/// Follows one store until the catalog names it no more.
async fn follow(shared: &Shared, address: &str) {
    loop {
        let position = shared.knowledge.lock().unwrap().balancer().stores().position(address);
        let Some(position) = position else { return };
        match read_page(shared, address, position).await {
            Ok(()) => Timer::after(PAUSE).await,
            Err(error) => {
                if shared.knowledge.lock().unwrap().balancer().stores().lost(address) {
                    shared.metrics.event("store_lost");
                    log::info!("gateway: event=store_lost address={address} error={error:#}");
                }
                Timer::after(FAILURE_PAUSE).await
            }
        };
    }
}

async fn read_page(shared: &Shared, address: &str, position: u64) -> Result<()> {
    let answer = send(address, shared.dialect.store_events_call(position, HOLD)).await?;
    if answer.head.status != 200 {
        bail!("status {}", answer.head.status);
    }
    let events = shared.dialect.store_events(&answer.body);
    let events = events.ok_or_else(|| eyre!("an answer that is no page of events"))?;
    let (epoch, next) = (events.epoch, events.next);
    if shared.knowledge.lock().unwrap().balancer().stores().apply(address, events) {
        shared.metrics.event("store_renewed");
        log::info!("gateway: event=store_renewed address={address} epoch={epoch} next={next}");
    }
    Ok(())
}

async fn send(address: &str, request: HttpCall) -> Result<ClientAnswer> {
    let parsed = address.parse().wrap_err_with(|| format!("the address {address}"))?;
    let mut fields = vec![("Host".to_owned(), address.as_bytes().to_vec())];
    fields.extend(request.fields.into_iter().map(|(name, value)| (name, value.into_bytes())));
    let limit = HOLD + ANSWER_MARGIN;
    let headers = Headers(fields);
    call(parsed, request.method, &request.target, &headers, &request.body, MAX_PAGE, limit).await
}
