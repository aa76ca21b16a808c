//! Follows the event feeds of prompt stores, so that the gateway knows which prompt parts they hold.

use super::gateway::SharedState;
use super::http_client::HttpClient;
use crate::Executor;
use async_io::Timer;
use eyre::{Result, bail, eyre};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use topazmount_admission::{Pushback, PushbackRecords};
use topazmount_gateway::StoreKey;

/// How often the list of stores is checked.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// How long a store may hold a response while it has no events.
const HOLD_TIME: Duration = Duration::from_millis(1_000);
/// Additional time after which a call times out.
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// Time between two calls, to batch events.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Largest page of events.
const MAX_PAGE_BYTES: usize = 1024 * 1024;

/// Follows all stores of the current catalog, forever.
pub(super) async fn run(executor: Executor, shared: Arc<SharedState>) {
    let mut followed: HashSet<StoreKey> = HashSet::new();
    loop {
        let stores_in_catalog: Vec<(StoreKey, String)> = {
            let mut gateway_state = shared.gateway_state.lock();
            let stores = gateway_state.balancer().stores();
            stores.keys().map(|(key, address)| (key, address.to_owned())).collect()
        };
        for (key, address) in stores_in_catalog {
            if followed.insert(key) {
                let shared = shared.clone();
                executor.spawn(async move { follow(&shared, key, &address).await }).detach();
            }
        }
        Timer::after(LIST_INTERVAL).await;
    }
}

/// Follows one store until the catalog no longer lists it. With many gateways only some follow each
/// store, since a store serves few calls at a time; the others use another store or none.
async fn follow(shared: &SharedState, key: StoreKey, address: &str) {
    let mut client = match HttpClient::new(address) {
        Ok(client) => client,
        Err(error) => return log::error!("gateway: event=store_refused error={error:#}"),
    };
    let name = client.address().to_string();
    let mut pushbacks = PushbackRecords::default();
    loop {
        pushbacks.set_settings(shared.gateway_state.lock().settings().pushback);
        if !pushbacks.is_available(&name, shared.clock.now()) {
            Timer::after(RETRY_DELAY).await;
            continue;
        }
        let position = shared.gateway_state.lock().balancer().stores().position(key);
        let Some(position) = position else { return };
        let now = shared.clock.now();
        let should_follow = shared.gateway_state.lock().should_follow_store(address, now);
        let result = match should_follow {
            true => read_page(shared, key, &mut client, &mut pushbacks, position).await,
            false => Err(eyre!("enough other gateways follow the store")),
        };
        match result {
            Ok(()) => Timer::after(READ_INTERVAL).await,
            Err(error) => {
                if shared.gateway_state.lock().balancer().stores().on_unreachable(key) {
                    shared.metrics.count_event("store_lost");
                    log::info!("gateway: event=store_lost address={address} error={error:#}");
                }
                Timer::after(RETRY_DELAY).await
            }
        };
    }
}

async fn read_page(
    shared: &SharedState,
    key: StoreKey,
    client: &mut HttpClient,
    pushbacks: &mut PushbackRecords,
    position: u64,
) -> Result<()> {
    let request = shared.dialect.store_events_call(position, HOLD_TIME);
    let response = client.call(request, MAX_PAGE_BYTES, HOLD_TIME + RESPONSE_MARGIN).await?;
    // Of a store's pushback only the backoff counts; stores don't leave.
    let pushback =
        Pushback { is_leaving: false, ..shared.dialect.response_metadata(&response.head).pushback };
    if let Some(change) =
        pushbacks.record(&client.address().to_string(), pushback, shared.clock.now())
    {
        let backoff_ms = change.backoff.unwrap_or_default().as_millis();
        log::info!(
            "gateway: event=store_pushback address={} rest_ms={backoff_ms}",
            client.address()
        );
    }
    if response.head.status.code() != 200 {
        bail!("status {}", response.head.status);
    }
    let page = shared.dialect.parse_store_events(&response.body);
    let page = page.ok_or_else(|| eyre!("the response is not a page of events"))?;
    let (epoch, next) = (page.epoch, page.next);
    if shared.gateway_state.lock().balancer().stores().apply(key, page) {
        shared.metrics.count_event("store_renewed");
        log::info!(
            "gateway: event=store_renewed address={} epoch={epoch} next={next}",
            client.address()
        );
    }
    Ok(())
}
